"""Sends independent transactions of several threads to the table service as one."""

import dataclasses
import threading
import time
from collections.abc import Callable, Sequence

from returns import result

from lycheegate.clients import table as table_module
from lycheegate.utils import exceptions

__all__ = ["BatchingTable"]

Versions = result.Result[tuple[int, ...], exceptions.LycheegateError]
_RowKey = tuple[str, str]


@dataclasses.dataclass(eq=False)
class _Entry:
    """A transaction that waits for its turn."""

    operations: Sequence[table_module.Operation]
    ends_s: float
    turn: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: Versions | None = None


class BatchingTable:
    """Table that merges transactions which arrive while others are under way.

    With fewer than ``max_in_flight`` transactions under way, a transaction is sent at once, so
    nothing is delayed when there is little to do. Only transactions whose operations are all
    conditional and which do not change each other's rows are merged. If a merged transaction fails
    a condition, nothing was written: the transaction with that condition fails, the others are sent
    again without it.
    """

    def __init__(
        self,
        inner: table_module.Table,
        max_in_flight: int = 4,
        max_operations: int = 32,
        monotonic_s: Callable[[], float] = time.monotonic,
    ):
        self._inner = inner
        self._max_in_flight = max_in_flight
        self._max_operations = max_operations
        self._now = monotonic_s
        self._lock = threading.Lock()
        self._waiting: list[_Entry] = []
        self._in_flight = 0

    def transact(
        self, operations: Sequence[table_module.Operation], timeout_s: float = 2.0
    ) -> Versions:
        """Applies all operations or none; returns the new version of each row."""
        entry = _Entry(operations, self._now() + timeout_s)
        with self._lock:
            at_once = self._in_flight < self._max_in_flight
            if at_once:
                self._in_flight += 1
            else:
                self._waiting.append(entry)
        if not at_once:
            entry.turn.wait(timeout_s)
            with self._lock:
                if entry in self._waiting:
                    self._waiting.remove(entry)
                    return result.Failure(exceptions.UnavailableError("time-out before sending"))
            # Another thread may have sent it; else it is this thread's turn to send.
            entry.turn.wait()
            if entry.outcome is not None:
                return entry.outcome
        try:
            self._send([entry, *self._take_companions(entry)])
        finally:
            self._pass_turn()
        if entry.outcome is None:
            raise RuntimeError("transaction without an outcome")
        return entry.outcome

    def read(
        self, table: str, key: str, timeout_s: float = 2.0
    ) -> result.Result[table_module.Row | None, exceptions.LycheegateError]:
        """Returns a row, or None if it is absent."""
        return self._inner.read(table, key, timeout_s)

    def scan(
        self, table: str, prefix: str = "", timeout_s: float = 10.0
    ) -> result.Result[list[table_module.Row], exceptions.LycheegateError]:
        """Returns all rows whose key starts with ``prefix``, in key order."""
        return self._inner.scan(table, prefix, timeout_s)

    def _pass_turn(self) -> None:
        """Lets the transaction that has waited longest be sent by its own thread."""
        with self._lock:
            if self._waiting:
                self._waiting.pop(0).turn.set()
            else:
                self._in_flight -= 1

    def _take_companions(self, first: _Entry) -> list[_Entry]:
        """Takes waiting transactions that can be merged with ``first``."""
        if not _is_mergeable(first):
            return []
        companions = []
        changed, touched = _list_rows(first)
        size = len(first.operations)
        with self._lock:
            for entry in list(self._waiting):
                entry_changed, entry_touched = _list_rows(entry)
                size_with_it = size + len(entry.operations)
                conflicts = entry_changed & touched or changed & entry_touched
                if conflicts or size_with_it > self._max_operations or not _is_mergeable(entry):
                    continue
                companions.append(entry)
                changed |= entry_changed
                touched |= entry_touched
                size = size_with_it
                self._waiting.remove(entry)
        return companions

    def _send(self, batch: list[_Entry]) -> None:
        """Sends a batch until each of its transactions has an outcome."""
        try:
            while batch:
                # The last one to give up decides, so that no transaction fails for the haste of
                # another; a thread may so wait for longer than its own time-out.
                timeout_s = max(0.001, max(entry.ends_s for entry in batch) - self._now())
                operations = [op for entry in batch for op in entry.operations]
                outcome = self._inner.transact(operations, timeout_s)
                batch = _distribute(batch, outcome)
        finally:
            for entry in batch:
                # Only after a defect in the inner table.
                entry.outcome = result.Failure(exceptions.OutcomeUnknownError("not completed"))
                entry.turn.set()


def _distribute(batch: list[_Entry], outcome: Versions) -> list[_Entry]:
    """Gives each transaction its part of the outcome; returns those to be sent again."""
    error = None if isinstance(outcome, result.Success) else outcome.failure()
    again = []
    begin = 0
    for entry in batch:
        end = begin + len(entry.operations)
        if error is None:
            entry.outcome = result.Success(outcome.unwrap()[begin:end])
        elif not isinstance(error, exceptions.ConditionFailedError):
            entry.outcome = result.Failure(error)
        elif begin <= error.index < end:
            own = exceptions.ConditionFailedError(error.index - begin, error.version, error.value)
            entry.outcome = result.Failure(own)
        else:
            again.append(entry)
        begin = end
        if entry.outcome is not None:
            entry.turn.set()
    return again


def _is_mergeable(entry: _Entry) -> bool:
    return all(op.if_version is not table_module.ANY_VERSION for op in entry.operations)


def _list_rows(entry: _Entry) -> tuple[set[_RowKey], set[_RowKey]]:
    """Returns the rows that a transaction changes, and all rows that it names."""
    check = table_module.OperationKind.CHECK
    changed = {(op.table, op.key) for op in entry.operations if op.kind is not check}
    return changed, {(op.table, op.key) for op in entry.operations}
