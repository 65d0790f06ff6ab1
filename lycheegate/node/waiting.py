"""Waiting for a call of the event thread, from a thread that serves a request."""

import threading
from collections.abc import Callable

from returns import result

from lycheegate.node import storage
from lycheegate.utils import exceptions

__all__ = ["wait_for_store"]


def wait_for_store(
    send: Callable[[Callable[[storage.StoreResult], None]], None], limit_s: float
) -> storage.StoreResult:
    """Makes a store call and waits for its outcome.

    Args:
        send: Makes the call with the callback that it is given.
        limit_s: Time after which the call counts as unanswered, in seconds.
    """
    answered = threading.Event()
    outcomes: list[storage.StoreResult] = []

    def take(outcome: storage.StoreResult) -> None:
        outcomes.append(outcome)
        answered.set()

    send(take)
    answered.wait(limit_s)
    if not outcomes:
        return result.Failure(exceptions.OutcomeUnknownError("no answer of the store client"))
    return outcomes[0]
