"""Lets a thread that serves a request wait for a store call, which runs on the event thread."""

import threading
from collections.abc import Callable

from returns import result

from lycheegate.node import storage
from lycheegate.utils import exceptions

__all__ = ["wait_for_store"]


def wait_for_store(
    send: Callable[[Callable[[storage.StoreResult], None]], None], limit_s: float
) -> storage.StoreResult:
    """Makes a store call and blocks the calling thread until its outcome is known.

    Args:
        send: Makes the call; receives the callback to pass to it.
        limit_s: Time in seconds after which the outcome counts as unknown.
    """
    answered = threading.Event()
    outcomes: list[storage.StoreResult] = []

    def record(outcome: storage.StoreResult) -> None:
        outcomes.append(outcome)
        answered.set()

    send(record)
    answered.wait(limit_s)
    if not outcomes:
        return result.Failure(
            exceptions.OutcomeUnknownError(f"store client did not answer within {limit_s:g} s")
        )
    return outcomes[0]
