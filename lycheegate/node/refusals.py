"""Deletion of the marks of refused submissions, one part of their table at a time.

Handles callers that give up after a refusal, whose marks no accepted submission removes. A mark is
kept for as long as a call from before it may still be on its way at another VM.
"""

from collections.abc import Callable

from returns import result

from lycheegate.metrics import jsonlog
from lycheegate.node import deletion, storage, tables
from lycheegate.utils import exceptions

__all__ = ["RefusalSweeper"]

SWEEP_INTERVAL_S = 10.0
"""Time between the reads of two parts, so that the whole table is read every 160 s."""
SWEEP_AFTER_S = 900.0
"""Time beyond the retention of marks for which they are deleted after refusals were switched off.
The last ones end within ``refusal_switch.compute_keep_s``; the table is read twice in the rest."""
TIMEOUT_S = 2.0


class RefusalSweeper:
    """Deletes old marks during one term; runs on the event thread.

    Args:
        store: The store.
        store_clock_ms: The store's clock, as estimated from its last answer, or 0.
        retention_s: How long marks are kept after their callers were to come again.
        is_any_on: Returns whether any queue refuses late jobs.
        log: Log of decisions.
    """

    def __init__(
        self,
        store: storage.Store,
        store_clock_ms: Callable[[], int],
        retention_s: float,
        is_any_on: Callable[[], bool],
        log: jsonlog.JsonLog,
    ):
        self._store = store
        self._store_clock_ms = store_clock_ms
        self._retention_s = retention_s
        self._is_any_on = is_any_on
        self._log = log
        self._next_part = 0
        self._swept_at_s: float | None = None
        self._on_at_s: float | None = None

    def sweep(self, now_s: float) -> None:
        """Deletes the old marks of the next part, if the last sweep was long enough ago.

        It goes on for a while after no queue refuses late jobs any more. Marks that are left then
        do no harm, and are deleted when refusals are used again.
        """
        if self._swept_at_s is not None and now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        is_first = self._swept_at_s is None
        self._swept_at_s = now_s
        if self._is_any_on():
            self._on_at_s = now_s
        if self._on_at_s is None or now_s - self._on_at_s > self._retention_s + SWEEP_AFTER_S:
            return
        if is_first:
            # The first seconds of a term are for the jobs.
            return
        parts = tables.list_refusal_parts()
        part = parts[self._next_part]
        self._next_part = (self._next_part + 1) % len(parts)
        self._store.read(tables.REFUSALS, part, "", "", TIMEOUT_S, self._handle_page)

    def _handle_page(self, outcome: storage.StoreResult) -> None:
        clock_ms = self._store_clock_ms()
        if not isinstance(outcome, result.Success) or not clock_ms:
            return
        old = [row for row in outcome.unwrap().rows if self._is_old(row, clock_ms)]
        old = old[: deletion.MAX_DELETED_ROWS]
        if old:
            # A mark that was written again since has another version and stays.
            conditions = tuple(storage.Condition(row.key, row.version) for row in old)
            deletes = tuple(row.key for row in old)
            transaction = storage.Transaction(conditions, (), deletes)
            self._store.transact(transaction, TIMEOUT_S, self._handle_deleted)

    def _is_old(self, row: storage.Row, clock_ms: int) -> bool:
        try:
            mark = tables.decode_refusal_mark(row.value)
        except exceptions.ProtocolError:
            return False
        return clock_ms - mark.not_before_ms > 1000.0 * self._retention_s

    def _handle_deleted(self, outcome: storage.StoreResult) -> None:
        if not isinstance(outcome, result.Success):
            self._log.write("deletion_failed", error=str(outcome.failure()))
