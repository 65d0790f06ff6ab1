"""Store calls of a caller's request, repeated until its time limit.

Handles a store that refuses calls and answers that are lost, for threads that serve callers.
"""

import functools
import threading
from collections.abc import Callable

from returns import result

from lycheegate.node import storage, waiting
from lycheegate.utils import exceptions

__all__ = ["read_row", "transact"]

STORE_TIMEOUT_S = 0.7
STORE_CLIENT_GRACE_S = 1.0
"""Time beyond the limit of a call for the store client to try peers."""
UNAVAILABLE_RETRIES = 2
UNAVAILABLE_PAUSE_S = 0.03
LOST_ANSWER_PAUSE_S = 0.05
"""Delay after the first lost answer of a call; doubles with each further one."""
MAX_LOST_ANSWER_PAUSE_S = 0.4
MAX_LOST_READS = 3
"""Lost answers of a read after which the holder of the term is asked instead."""


def transact(
    store: storage.Store,
    transaction: storage.Transaction,
    deadline_s: float,
    now_s: Callable[[], float],
) -> storage.StoreResult:
    """Applies a transaction; success holds the version of the written rows.

    Args:
        store: The store.
        transaction: The transaction; conditional or idempotent, because it may be repeated.
        deadline_s: Time until which calls are made.
        now_s: Clock of the deadline.
    """

    def send(timeout_s: float, callback: Callable) -> None:
        store.transact(transaction, timeout_s, callback)

    return _call_store(send, deadline_s, now_s)


def read_row(
    store: storage.Store, key: storage.RowKey, deadline_s: float, now_s: Callable[[], float]
) -> storage.StoreResult:
    """Reads one row; success holds it, or None if it does not exist.

    Args:
        store: The store.
        key: Key of the row.
        deadline_s: Time until which calls are made.
        now_s: Clock of the deadline.
    """

    def send(timeout_s: float, callback: Callable) -> None:
        store.read(key.table, key.part, key.key, key.key + "\0", timeout_s, callback)

    outcome = _call_store(send, deadline_s, now_s, MAX_LOST_READS)
    if not isinstance(outcome, result.Success):
        return outcome
    rows = outcome.unwrap().rows
    return result.Success(rows[0] if rows else None)


def _call_store(
    send: Callable[[float, Callable], None],
    deadline_s: float,
    now_s: Callable[[], float],
    max_lost_answers: int | None = None,
) -> storage.StoreResult:
    """Calls the store until it answers, refuses several times in a row, or the time is up.

    The calls are conditional or idempotent, so repeating one whose answer was lost is safe, and
    the answer to the repetition shows what became of it. After a lost answer, the outcome stays
    unknown even if later calls are refused, because the call whose answer was lost may have
    taken effect.

    Args:
        send: Makes the call with a time limit in seconds and a callback.
        deadline_s: Time until which calls are made.
        now_s: Clock of the deadline.
        max_lost_answers: Number of lost answers after which no more calls are made, or None.
    """
    refusals = lost_answers = 0
    unknown: storage.StoreResult | None = None
    while True:
        remaining_s = deadline_s - now_s()
        if remaining_s <= 0.0:
            error = exceptions.UnavailableError(
                f"time limit of the call reached after {refusals} refused store calls"
            )
            return unknown or result.Failure(error)
        timeout_s = min(remaining_s, STORE_TIMEOUT_S)
        outcome = waiting.wait_for_store(
            functools.partial(send, timeout_s), timeout_s + STORE_CLIENT_GRACE_S
        )
        if isinstance(outcome, result.Success):
            return outcome
        error = outcome.failure()
        if isinstance(error, exceptions.OutcomeUnknownError):
            unknown = outcome
            refusals = 0
            pause_s = LOST_ANSWER_PAUSE_S * 2.0 ** min(lost_answers, 8)
            lost_answers += 1
            if max_lost_answers is not None and lost_answers > max_lost_answers:
                return unknown
            threading.Event().wait(min(pause_s, MAX_LOST_ANSWER_PAUSE_S))
        elif isinstance(error, exceptions.UnavailableError):
            refusals += 1
            if refusals > UNAVAILABLE_RETRIES:
                return unknown or outcome
            threading.Event().wait(UNAVAILABLE_PAUSE_S)
        else:
            return outcome
