"""In-memory table service with the interface of ``lycheegate.clients.table.Table``."""

import threading
import time
from collections.abc import Callable, Sequence

import msgspec
import sortedcontainers
from returns import result

from lycheegate.clients import table as table_module
from lycheegate.utils import exceptions
from standins import faults as faults_module

__all__ = ["MemoryTable"]

_Key = tuple[str, str]


class MemoryTable:
    """Table that keeps its rows in this process.

    It applies the switches ``down``, ``refused``, ``refuse_reads``, ``stalled``, ``slow_s``,
    ``lose_answers`` and ``lose_requests`` of ``faults``. The outcome of a transaction whose answer
    is lost cannot be read back either, so the call fails with ``OutcomeUnknownError``. If the
    table is stalled or too slow, a call fails after its timeout. Tests replace ``sleep`` to avoid
    real delays.

    Attributes:
        faults: Fault switches.
        request_count: Calls so far, including refused ones.
        write_count: Transactions applied so far, except those that consist of checks only.
    """

    def __init__(self, sleep: Callable[[float], None] = time.sleep):
        self.faults = faults_module.Faults()
        self.request_count = 0
        self.write_count = 0
        self._sleep = sleep
        self._lock = threading.Lock()
        # Values are stored encoded, so that a caller cannot modify a row through a reference.
        self._rows: sortedcontainers.SortedDict = sortedcontainers.SortedDict()

    def transact(
        self, operations: Sequence[table_module.Operation], timeout_s: float = 2.0
    ) -> result.Result[tuple[int, ...], exceptions.LycheegateError]:
        """Applies all operations or none; returns the new version of each row."""
        error = self._apply_faults(timeout_s, reads=False)
        if error is not None:
            return result.Failure(error)
        if self.faults.consume("lose_requests"):
            return result.Failure(exceptions.OutcomeUnknownError("table transaction: request lost"))
        outcome = self.apply(operations)
        if self.faults.consume("lose_answers"):
            return result.Failure(exceptions.OutcomeUnknownError("table transaction: answer lost"))
        return outcome

    def read(
        self, table: str, key: str, timeout_s: float = 2.0
    ) -> result.Result[table_module.Row | None, exceptions.LycheegateError]:
        """Returns a row, or None if it is absent."""
        error = self._apply_faults(timeout_s, reads=True)
        return result.Failure(error) if error is not None else result.Success(self.get(table, key))

    def scan(
        self, table: str, prefix: str = "", timeout_s: float = 10.0
    ) -> result.Result[list[table_module.Row], exceptions.LycheegateError]:
        """Returns all rows whose key starts with ``prefix``, in key order."""
        error = self._apply_faults(timeout_s, reads=True)
        if error is not None:
            return result.Failure(error)
        return result.Success(self.list_rows(table, prefix))

    def apply(
        self, operations: Sequence[table_module.Operation]
    ) -> result.Result[tuple[int, ...], exceptions.LycheegateError]:
        """Applies a transaction without fault injection."""
        encoded = [msgspec.json.encode(operation.value) for operation in operations]
        with self._lock:
            for index, operation in enumerate(operations):
                data, version = self._rows.get((operation.table, operation.key), (b"null", 0))
                if operation.if_version not in (table_module.ANY_VERSION, version):
                    value = msgspec.json.decode(data)
                    failure = exceptions.ConditionFailedError(index, version, value)
                    return result.Failure(failure)
            versions = [
                self._apply_one(operation, data)
                for operation, data in zip(operations, encoded, strict=True)
            ]
            if any(op.kind is not table_module.OperationKind.CHECK for op in operations):
                self.write_count += 1
        return result.Success(tuple(versions))

    def get(self, table: str, key: str) -> table_module.Row | None:
        """Returns a row without fault injection, or None if it is absent."""
        with self._lock:
            stored = self._rows.get((table, key))
        return _make_row((table, key), stored) if stored is not None else None

    def list_rows(
        self, table: str, prefix: str = "", after: str = "", limit: int | None = None
    ) -> list[table_module.Row]:
        """Returns rows in key order without fault injection."""
        rows: list[table_module.Row] = []
        with self._lock:
            for full_key in self._rows.irange(minimum=(table, max(prefix, after))):
                if full_key[0] != table or not full_key[1].startswith(prefix):
                    break
                if limit is not None and len(rows) >= limit:
                    break
                if full_key[1] > after or not after:
                    rows.append(_make_row(full_key, self._rows[full_key]))
        return rows

    def _apply_one(self, operation: table_module.Operation, data: bytes) -> int:
        full_key = (operation.table, operation.key)
        _, version = self._rows.get(full_key, (b"", 0))
        if operation.kind is table_module.OperationKind.PUT:
            self._rows[full_key] = (data, version + 1)
            return version + 1
        if operation.kind is table_module.OperationKind.DELETE:
            self._rows.pop(full_key, None)
            return 0
        return version

    def _apply_faults(self, timeout_s: float, reads: bool) -> exceptions.LycheegateError | None:
        """Applies the faults that come before any effect; returns the resulting error or None."""
        with self._lock:
            self.request_count += 1
        switches = self.faults.get()
        if switches.down or switches.refused or (reads and switches.refuse_reads):
            return exceptions.UnavailableError("table service unavailable")
        delay_s = timeout_s if switches.stalled else min(switches.slow_s, timeout_s)
        if delay_s > 0:
            self._sleep(delay_s)
        if delay_s >= timeout_s and delay_s > 0:
            if reads:
                return exceptions.UnavailableError(f"table service: no answer within {timeout_s} s")
            return exceptions.OutcomeUnknownError(f"table service: no answer within {timeout_s} s")
        return None


def _make_row(full_key: _Key, stored: tuple[bytes, int]) -> table_module.Row:
    data, version = stored
    return table_module.Row(full_key[1], msgspec.json.decode(data), version)
