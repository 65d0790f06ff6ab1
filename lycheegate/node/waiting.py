"""Lets a thread that serves a request wait for a store call, which runs on the event thread."""

import threading
import time
from collections.abc import Callable

from returns import result

from lycheegate.node import storage
from lycheegate.utils import exceptions

__all__ = ["wait_for_store"]

PROGRESS_INTERVAL_S = 0.25
"""Time between reports of progress. A caller abandons the call 1 s after the last one, so three of
them may be late."""


def wait_for_store(
    send: Callable[[Callable[[storage.StoreResult], None]], None],
    limit_s: float,
    report_progress: Callable[[], bool] = lambda: False,
) -> storage.StoreResult:
    """Makes a store call and blocks the calling thread until its outcome is known.

    Args:
        send: Makes the call; receives the callback to pass to it.
        limit_s: Time in seconds after which the outcome counts as unknown.
        report_progress: Called each ``PROGRESS_INTERVAL_S`` while there is no outcome; returns
            whether the outcome is still on its way, which starts the limit anew.
    """
    answered = threading.Event()
    outcomes: list[storage.StoreResult] = []

    def record(outcome: storage.StoreResult) -> None:
        outcomes.append(outcome)
        answered.set()

    send(record)
    due_s = time.monotonic() + limit_s
    while not answered.wait(max(0.0, min(PROGRESS_INTERVAL_S, due_s - time.monotonic()))):
        if report_progress():
            due_s = time.monotonic() + limit_s
        elif time.monotonic() >= due_s:
            break
    if not outcomes:
        return result.Failure(
            exceptions.OutcomeUnknownError(f"store client did not answer within {limit_s:g} s")
        )
    return outcomes[0]
