"""Merges independent transactions of several threads into one for the table service."""

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
class _Transaction:
    """A transaction to send.

    Attributes:
        operations: Its operations.
        ends_s: Monotonic time at which it times out, in seconds.
        wakeup: Set when its thread may send it, or when it has an outcome.
        outcome: Its outcome, or None.
    """

    operations: Sequence[table_module.Operation]
    ends_s: float
    wakeup: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: Versions | None = None


class BatchingTable:
    """Table that merges transactions which are submitted while others are in flight.

    While fewer than ``max_in_flight`` transactions are in flight, a transaction is sent
    immediately, so that batching adds no latency at low load. Transactions are merged only if all
    their operations are conditional and none changes a row that another one names. If a condition
    of the merged transaction fails, nothing is written: the transaction with that condition fails,
    and the others are sent again without it.
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
        self._waiting: list[_Transaction] = []
        self._in_flight = 0

    def transact(
        self, operations: Sequence[table_module.Operation], timeout_s: float = 2.0
    ) -> Versions:
        """Applies all operations or none; returns the new version of each row."""
        transaction = _Transaction(operations, self._now() + timeout_s)
        with self._lock:
            is_sent_now = self._in_flight < self._max_in_flight
            if is_sent_now:
                self._in_flight += 1
            else:
                self._waiting.append(transaction)
        if not is_sent_now:
            transaction.wakeup.wait(timeout_s)
            with self._lock:
                if transaction in self._waiting:
                    self._waiting.remove(transaction)
                    return result.Failure(
                        exceptions.UnavailableError(
                            f"transaction of {len(operations)} operations not sent within "
                            f"{timeout_s:g} s: limit of {self._max_in_flight} transactions in "
                            "flight reached"
                        )
                    )
            # Either another thread has sent it, or this thread must send it.
            transaction.wakeup.wait()
            if transaction.outcome is not None:
                return transaction.outcome
        try:
            self._send([transaction, *self._pop_mergeable(transaction)])
        finally:
            self._release_slot()
        if transaction.outcome is None:
            raise RuntimeError(f"transaction of {len(operations)} operations has no outcome")
        return transaction.outcome

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

    def _release_slot(self) -> None:
        """Lets the longest waiting transaction be sent next, or reduces the number in flight."""
        with self._lock:
            if self._waiting:
                self._waiting.pop(0).wakeup.set()
            else:
                self._in_flight -= 1

    def _pop_mergeable(self, base: _Transaction) -> list[_Transaction]:
        """Removes the waiting transactions that can be merged with ``base``, and returns them."""
        if not _is_mergeable(base):
            return []
        mergeable = []
        changed, touched = _list_rows(base)
        size = len(base.operations)
        with self._lock:
            for transaction in list(self._waiting):
                changed_by_it, touched_by_it = _list_rows(transaction)
                total_size = size + len(transaction.operations)
                conflicts = changed_by_it & touched or changed & touched_by_it
                if conflicts or total_size > self._max_operations or not _is_mergeable(transaction):
                    continue
                mergeable.append(transaction)
                changed |= changed_by_it
                touched |= touched_by_it
                size = total_size
                self._waiting.remove(transaction)
        return mergeable

    def _send(self, batch: list[_Transaction]) -> None:
        """Sends a batch until each of its transactions has an outcome."""
        try:
            while batch:
                # The latest deadline applies, so that no transaction fails because of the shorter
                # timeout of another. A thread may therefore wait beyond its own timeout.
                timeout_s = max(
                    0.001, max(transaction.ends_s for transaction in batch) - self._now()
                )
                operations = [op for transaction in batch for op in transaction.operations]
                outcome = self._inner.transact(operations, timeout_s)
                batch = _assign_outcomes(batch, outcome)
        finally:
            for transaction in batch:
                # Reached only if the inner table raised an exception.
                transaction.outcome = result.Failure(
                    exceptions.OutcomeUnknownError(
                        f"batch of {len(batch)} transactions aborted by an exception"
                    )
                )
                transaction.wakeup.set()


def _assign_outcomes(batch: list[_Transaction], outcome: Versions) -> list[_Transaction]:
    """Assigns each transaction its part of the outcome of the batch.

    Returns:
        The transactions without an outcome, which must be sent again.
    """
    error = None if isinstance(outcome, result.Success) else outcome.failure()
    unresolved = []
    begin = 0
    for transaction in batch:
        end = begin + len(transaction.operations)
        if error is None:
            transaction.outcome = result.Success(outcome.unwrap()[begin:end])
        elif not isinstance(error, exceptions.ConditionFailedError):
            transaction.outcome = result.Failure(error)
        elif begin <= error.index < end:
            own = exceptions.ConditionFailedError(error.index - begin, error.version, error.value)
            transaction.outcome = result.Failure(own)
        else:
            unresolved.append(transaction)
        begin = end
        if transaction.outcome is not None:
            transaction.wakeup.set()
    return unresolved


def _is_mergeable(transaction: _Transaction) -> bool:
    return all(op.if_version is not table_module.ANY_VERSION for op in transaction.operations)


def _list_rows(transaction: _Transaction) -> tuple[set[_RowKey], set[_RowKey]]:
    """Returns the rows that a transaction changes, and all rows that it names."""
    check = table_module.OperationKind.CHECK
    changed = {(op.table, op.key) for op in transaction.operations if op.kind is not check}
    return changed, {(op.table, op.key) for op in transaction.operations}
