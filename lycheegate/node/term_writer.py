"""Writes of the holder of the term: progress of jobs and the heartbeat, one transaction at a time.

Handles a store that carries writes out without answering them, or seconds later. A write without an
answer is repeated long before its timeout if the store answers a read meanwhile, since orders and
the renewal of the term wait for it. A slow store answers neither soon, and a repeated write would
only queue behind the first. Each write has the versions of the rows that it replaces as conditions,
so one that is carried out late changes nothing.
"""

import dataclasses
from collections.abc import Callable

from returns import result

from lycheegate.jobs import commands, state, writes
from lycheegate.metrics import jsonlog
from lycheegate.node import storage, tables, term_rows, terms

__all__ = ["TermWriter", "WriterHooks"]

TIMEOUT_S = 2.0
RETRY_S = 0.15
"""Delay after a write that failed."""
MIN_PATIENCE_S = 0.3
"""Minimum time to wait for an answer; the store answers within some milliseconds."""
PATIENCE_FACTOR = 3.0
"""Time to wait for an answer as a multiple of the duration of recent ones."""
MIN_RATE_BYTES_PER_S = 400_000
"""Rate at which a large write arrives at least. A link of 5 Mbit/s has 625 KB/s, which it shares
with other transfers."""
PROBE_TIMEOUT_S = 0.15
"""Time within which a store that is not slow answers a read of one row."""
PROBE_INTERVAL_S = 0.25
_PROBED_ROW = (tables.TERMS, tables.PART, tables.HOLDER.key, f"{tables.HOLDER.key}\0")
"""Table, part and range of keys of the row that is read to test whether the store answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriterHooks:
    """Functions of the scheduler.

    Attributes:
        execute: Executes commands.
        handle_completed: Called with the start orders that a write allows, and when it was sent.
        end_term: Ends the term for the reason given.
        call_later: Runs a function after a delay in seconds, unless the term has ended.
        is_stopped: Returns whether the term has ended.
        is_loaded: Returns whether the jobs of the term have been loaded.
        are_workers_known: Returns whether the registry has been read as well.
    """

    execute: Callable[[list[commands.Command]], None]
    handle_completed: Callable[[list[commands.Command], float], None]
    end_term: Callable[[str], None]
    call_later: Callable[[float, Callable[[], None]], None]
    is_stopped: Callable[[], bool]
    is_loaded: Callable[[], bool]
    are_workers_known: Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _PendingWrite:
    """A write that was sent.

    Attributes:
        batch: Progress that it holds, or None.
        sent_at_s: When it was sent.
        has_heartbeat: Whether it holds the heartbeat.
        is_release: Whether it releases the term.
    """

    batch: writes.Batch | None
    sent_at_s: float
    has_heartbeat: bool
    is_release: bool

    @property
    def size_bytes(self) -> int:
        """Upper limit of the size of its progress."""
        return sum(write.size_bytes for write in self.batch.writes) if self.batch else 0


class TermWriter:
    """Writes progress and heartbeats during one term; runs on the event thread.

    Args:
        store: The store.
        current: State of the scheduler.
        rows: Rows that go with the heartbeat.
        holder_version: Version of the holder's row, and of the heartbeat that the claim wrote.
        claimed_at_s: When the claim was sent.
        now_s: Clock that includes time spent suspended.
        log: Log of decisions.
        hooks: Functions of the scheduler.
    """

    def __init__(
        self,
        store: storage.Store,
        current: state.SchedulerState,
        rows: term_rows.TermRows,
        holder_version: int,
        claimed_at_s: float,
        now_s: Callable[[], float],
        log: jsonlog.JsonLog,
        hooks: WriterHooks,
    ):
        self._store = store
        self._state = current
        self._rows = rows
        self._holder_version = holder_version
        self._heartbeat_version = holder_version
        self._now_s = now_s
        self._log = log
        self._hooks = hooks
        self._pending: _PendingWrite | None = None
        self._answer_s = 0.0
        self._renewal_sent_at_s = 0.0
        self._not_before_s = 0.0
        self._may_be_released = False
        self.renewed_at_s = claimed_at_s
        """When the last write that is known to be stored was sent."""
        self.is_releasing = False

    def release(self) -> None:
        """Releases the term with the first write after which no order has to be sent."""
        self.is_releasing = True
        self.write()

    def renew_soon(self) -> None:
        """Lets the next write hold the heartbeat, however recent the last one is."""
        self._renewal_sent_at_s = 0.0

    def retry_now(self) -> None:
        """Makes a write at once that waits for a retry."""
        self._not_before_s = 0.0
        self.write()

    def write(self) -> None:
        """Writes changed progress, and the heartbeat if it is due."""
        now_s = self._now_s()
        if self._pending is not None or self._hooks.is_stopped() or now_s < self._not_before_s:
            return
        renew = now_s - self._renewal_sent_at_s >= terms.RENEWAL_INTERVAL_S
        # Other VMs may have seen a release whose answer was lost, so it is repeated as it was.
        batch = None
        if not self._may_be_released:
            batch = self._collect_batch(now_s, renew or self.is_releasing)
        # Orders are sent after the write of their intentions, so the write that releases the term
        # must hold none. It may hold ends of runs; the next holder reads from the workers those
        # that are not stored.
        release = self.is_releasing and (batch is None or not batch.has_intentions)
        renew = renew or release
        if batch is not None or renew:
            self._send(_PendingWrite(batch, now_s, renew, release))

    def _send(self, pending: _PendingWrite) -> None:
        self._pending = pending
        self._may_be_released |= pending.is_release
        try:
            transaction = self._make_transaction(pending)
            if pending.has_heartbeat:
                self._renewal_sent_at_s = pending.sent_at_s
            self._store.transact(
                transaction, TIMEOUT_S, lambda outcome: self._handle_outcome(pending, outcome)
            )
        except Exception:
            # Otherwise the term would neither be renewed nor store anything again.
            self._pending = None
            self._prepare_repetition(pending)
            raise
        self._hooks.call_later(
            self._compute_patience_s(pending), lambda: self._check_answer(pending)
        )

    def _collect_batch(self, now_s: float, has_heartbeat: bool) -> writes.Batch | None:
        """Returns the progress to write now, or None."""
        if not self._hooks.is_loaded():
            return None
        batch = writes.collect_batch(self._state, now_s, has_heartbeat)
        if batch is None:
            return None
        self._hooks.execute(list(batch.decisions))
        return batch if batch.writes else None

    def _make_transaction(self, pending: _PendingWrite) -> storage.Transaction:
        conditions = [storage.Condition(tables.HOLDER, self._holder_version)]
        changes: list[storage.Write] = []
        if pending.has_heartbeat:
            conditions.append(storage.Condition(tables.HEARTBEAT, self._heartbeat_version))
            changes += self._rows.make_writes(
                pending.is_release, self._hooks.is_loaded(), self._hooks.are_workers_known()
            )
        deletes: list[storage.RowKey] = []
        for write in pending.batch.writes if pending.batch else ():
            key = tables.get_progress_key(write.job_id)
            conditions.append(storage.Condition(key, write.version))
            changes.append(storage.Write(key, write.record.data))
            for number, page in enumerate(write.record.pages):
                changes.append(storage.Write(tables.get_page_key(write.job_id, number), page))
            for number in range(len(write.record.pages), write.stored_pages):
                deletes.append(tables.get_page_key(write.job_id, number))
        return storage.Transaction(tuple(conditions), tuple(changes), tuple(deletes))

    def _compute_patience_s(self, pending: _PendingWrite) -> float:
        """Returns after how long the answer to a write is overdue."""
        transfer_s = pending.size_bytes / MIN_RATE_BYTES_PER_S
        return transfer_s + max(MIN_PATIENCE_S, PATIENCE_FACTOR * self._answer_s)

    def _check_answer(self, pending: _PendingWrite) -> None:
        """Tests whether the store answers a read, if a write is still not answered."""
        if self._pending is not pending:
            return
        probed_at_s = self._now_s()

        def handle(outcome: storage.StoreResult) -> None:
            if self._pending is not pending or self._hooks.is_stopped():
                return
            is_fast = self._now_s() - probed_at_s <= PROBE_TIMEOUT_S
            if is_fast and isinstance(outcome, result.Success):
                self._repeat(pending)
            else:
                self._hooks.call_later(PROBE_INTERVAL_S, lambda: self._check_answer(pending))

        self._store.read(*_PROBED_ROW, PROBE_TIMEOUT_S, handle)

    def _repeat(self, pending: _PendingWrite) -> None:
        """Gives up a write whose answer is lost, and writes again."""
        self._pending = None
        self._log.write(
            "write_unanswered",
            epoch=self._state.epoch,
            after_s=round(self._now_s() - pending.sent_at_s, 3),
            jobs=len(pending.batch.writes) if pending.batch else 0,
        )
        self._prepare_repetition(pending)
        self.write()

    def _prepare_repetition(self, pending: _PendingWrite) -> None:
        """Lets the next write hold all that this one did."""
        self._rows.handle_failure()
        self._requeue(pending.batch, {})
        self._renewal_sent_at_s = 0.0

    def _requeue(self, batch: writes.Batch | None, versions: dict[str, int]) -> None:
        if batch is not None:
            writes.requeue_batch(self._state, batch, versions)

    def _handle_outcome(self, pending: _PendingWrite, outcome: storage.StoreResult) -> None:
        if self._hooks.is_stopped():
            return
        is_stored = isinstance(outcome, result.Success)
        error = None if is_stored else outcome.failure()
        if is_stored or isinstance(error, storage.ConflictError | storage.RejectedError):
            self._answer_s = self._now_s() - pending.sent_at_s
        if is_stored:
            self.renewed_at_s = max(self.renewed_at_s, pending.sent_at_s)
        if isinstance(error, storage.ConflictError) and self._end_if_lost(error):
            return
        if self._pending is not pending:
            # Its rows have been written again. If it was stored, that write finds its versions.
            return
        self._pending = None
        if is_stored:
            self._handle_stored(pending, outcome.unwrap())
        elif isinstance(error, storage.ConflictError):
            self._handle_conflict(pending, error)
        elif isinstance(error, storage.RejectedError) and pending.batch is not None:
            self._handle_rejection(pending.batch, error)
        else:
            self._handle_failure(pending, error)

    def _handle_stored(self, pending: _PendingWrite, version: int) -> None:
        if pending.has_heartbeat:
            self._heartbeat_version = version
            self._rows.handle_stored()
        if pending.is_release:
            self._hooks.end_term("released")
            return
        if pending.batch is not None:
            now_s = self._now_s()
            orders = writes.complete_batch(self._state, pending.batch, version, now_s)
            self._hooks.handle_completed(orders, pending.sent_at_s)
        self.write()

    def _handle_failure(self, pending: _PendingWrite, error: Exception) -> None:
        self._prepare_repetition(pending)
        self._log.write("write_failed", epoch=self._state.epoch, error=str(error))
        self._not_before_s = self._now_s() + RETRY_S
        self._hooks.call_later(RETRY_S, self.write)

    def _handle_rejection(self, batch: writes.Batch, error: storage.RejectedError) -> None:
        """Writes the heartbeat without the jobs of the batch, then these in smaller batches."""
        self._rows.handle_failure()
        now_s = self._now_s()
        self._hooks.execute(writes.reject_batch(self._state, batch, str(error), now_s))
        self._renewal_sent_at_s = 0.0
        self.write()

    def _end_if_lost(self, error: storage.ConflictError) -> bool:
        """Ends the term if a conflict shows that another VM holds it; returns whether it does."""
        versions = {row.key: row.version for row in error.rows}
        found = versions.get(tables.HOLDER)
        if found == self._holder_version:
            return False
        self._hooks.end_term(
            f"another VM holds the term: holder row has version {found}, "
            f"expected {self._holder_version}"
        )
        return True

    def _handle_conflict(self, pending: _PendingWrite, error: storage.ConflictError) -> None:
        versions = {row.key: row.version for row in error.rows}
        self._rows.handle_failure()
        if pending.has_heartbeat:
            self._heartbeat_version = versions.get(tables.HEARTBEAT, storage.ABSENT)
            self._renewal_sent_at_s = 0.0
        batch = pending.batch
        if batch is not None:
            stored_versions = {
                write.job_id: versions.get(tables.get_progress_key(write.job_id), storage.ABSENT)
                for write in batch.writes
            }
            self._requeue(batch, stored_versions)
        jobs = [write.job_id for write in batch.writes][:5] if batch is not None else []
        self._log.write("write_conflict", jobs=jobs)
        self.write()
