"""Deterministic fake of the store, on one event loop with a fake clock, with the store's limits.

Simulates lost answers, calls that take effect late, VMs that the store refuses, slow transactions,
and change feeds that lost their history or stay silent. Random faults use a seeded generator.
"""

import base64
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from returns import result

from lycheegate.node import storage
from lycheegate.utils import exceptions

MAX_PART_QUEUE_S = 1.0
MAX_ROW_BYTES = 65_536
MAX_CALL_BYTES = 1_000_000
MAX_CALL_ENTRIES = 100
STORE_DELAY_S = 0.004


READING_S = 1e-6
"""Time that passes with each reading of the clock, as it does in a real process."""


class EventLoop:
    """Event loop with its own clock."""

    def __init__(self):
        self.now_s = 100.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def read_clock_s(self) -> float:
        """Returns the time; two readings never return the same."""
        self.now_s += READING_S
        return self.now_s

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Runs a function after a delay."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._numbers), function))

    def run_until(self, end_s: float) -> None:
        """Runs all functions that are due up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            due_s, _, function = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, due_s)
            function()
        self.now_s = max(self.now_s, end_s)


@dataclasses.dataclass(slots=True)
class Faults:
    """Probabilities of faults, VMs that the store refuses, and other faults to simulate."""

    lost_writes: float = 0.0
    late_writes: float = 0.0
    lost_orders: float = 0.0
    late_orders: float = 0.0
    late_calls_survive_restarts: bool = False
    """Whether the next incarnation of a worker carries out late calls of the former one.

    Requests for a report are then lost and late as orders are, and those that wait on a worker get
    no answer once it has crashed or is cut off. An order that starts nothing renews the lease.
    """
    refused_vms: set[str] = dataclasses.field(default_factory=set)
    history_lost: bool = False
    transaction_s: float = 0.0
    """Duration of a transaction; those of one part run one after another."""
    read_delays_s: dict[str, float] = dataclasses.field(default_factory=dict)
    """Additional duration of the reads of a table."""
    silent_feeds: bool = False
    rows_per_answer: int = 1_000_000
    """Number of changed rows in one answer of a change feed; the others follow in the next."""


class FakeStore:
    """Linearizable store; each VM uses its own client, from ``connect``."""

    def __init__(self, loop: EventLoop, faults: Faults, generator: random.Random):
        self.loop = loop
        self.faults = faults
        self.generator = generator
        self.rows: dict[storage.RowKey, storage.Row] = {}
        self.changes: list[storage.Row] = []
        self.version = 1
        self.rejections: list[str] = []
        """Reasons for which transactions were rejected."""
        self.max_row_bytes = MAX_ROW_BYTES
        self.rejected_keys: set[storage.RowKey] = set()
        """Rows that the store does not accept."""
        self._busy_until_s: dict[str, float] = {}

    def connect(self, vm: str) -> "FakeStoreClient":
        """Returns the client of a VM."""
        return FakeStoreClient(self, vm)

    def apply(self, transaction: storage.Transaction) -> storage.StoreResult:
        """Applies a transaction at once."""
        keys = [item.key for item in (*transaction.conditions, *transaction.writes)]
        parts = {key.part for key in (*keys, *transaction.deletes)}
        assert len(parts) <= 1, f"expected a transaction in one part, got parts {parts}"
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else storage.ABSENT) != condition.version:
                found = [self.rows.get(item.key) for item in transaction.conditions]
                return result.Failure(storage.ConflictError(tuple(r for r in found if r)))
        rejection = self._check_limits(transaction)
        if rejection:
            self.rejections.append(rejection)
            return result.Failure(storage.RejectedError(rejection))
        self.version += 1
        for write in transaction.writes:
            row = storage.Row(write.key, write.value, self.version)
            self.rows[write.key] = row
            self.changes.append(row)
        for key in transaction.deletes:
            if self.rows.pop(key, None):
                self.changes.append(storage.Row(key, b"", self.version, True))
        return result.Success(self.version)

    def _check_limits(self, transaction: storage.Transaction) -> str:
        """Returns why the store rejects a transaction, or an empty string."""
        entries = [*transaction.conditions, *transaction.writes, *transaction.deletes]
        if len(entries) > MAX_CALL_ENTRIES:
            return f"{len(entries)} entries"
        for write in transaction.writes:
            if len(write.value) > self.max_row_bytes or write.key in self.rejected_keys:
                return f"row {write.key.key} of {len(write.value)} bytes"
        size = sum(len(base64.b64encode(write.value)) for write in transaction.writes)
        return f"call of {size} bytes" if size > MAX_CALL_BYTES else ""

    def enqueue(self, transaction: storage.Transaction) -> float | None:
        """Queues a transaction; returns when it will be applied, or None if its part refuses it."""
        key = (transaction.conditions or transaction.writes)[0].key
        begin_s = max(self.loop.now_s, self._busy_until_s.get(key.part, 0.0))
        if begin_s - self.loop.now_s > MAX_PART_QUEUE_S:
            return None
        self._busy_until_s[key.part] = begin_s + self.faults.transaction_s
        return self._busy_until_s[key.part]

    def put(self, key: storage.RowKey, value: bytes) -> None:
        """Writes a row without conditions, as another writer would."""
        self.apply(storage.Transaction(writes=(storage.Write(key, value),)))


class FakeStoreClient:
    """Client through which one VM calls the store."""

    def __init__(self, store: FakeStore, vm: str):
        self._store = store
        self._vm = vm

    def _refuse(self, callback: Callable) -> bool:
        if self._vm not in self._store.faults.refused_vms:
            return False
        failure = result.Failure(
            exceptions.UnavailableError(f"store refuses calls of VM {self._vm}")
        )
        self._store.loop.call_later(STORE_DELAY_S, lambda: callback(failure))
        return True

    def transact(self, transaction, timeout_s: float, callback: Callable) -> None:
        """Applies a transaction, with the faults that are drawn."""
        if self._refuse(callback):
            return
        store, loop = self._store, self._store.loop
        if store.faults.transaction_s:
            self._transact_slowly(transaction, timeout_s, callback)
            return
        draw = store.generator.random()
        if draw < store.faults.late_writes:
            delay_s = store.generator.uniform(1.0, 6.0)
            loop.call_later(delay_s, lambda: store.apply(transaction))
            loop.call_later(timeout_s, lambda: callback(make_unknown()))
            return
        outcome = store.apply(transaction)
        if draw < store.faults.late_writes + store.faults.lost_writes:
            loop.call_later(timeout_s, lambda: callback(make_unknown()))
            return
        loop.call_later(STORE_DELAY_S, lambda: callback(outcome))

    def _transact_slowly(self, transaction, timeout_s: float, callback: Callable) -> None:
        store, loop = self._store, self._store.loop
        done_s = store.enqueue(transaction)
        if done_s is None:
            failure = result.Failure(
                exceptions.UnavailableError(
                    f"part would queue the call for over {MAX_PART_QUEUE_S} s"
                )
            )
            loop.call_later(STORE_DELAY_S, lambda: callback(failure))
            return
        is_late = done_s - loop.now_s > timeout_s

        def apply() -> None:
            outcome = store.apply(transaction)
            if not is_late:
                callback(outcome)

        loop.call_later(done_s - loop.now_s, apply)
        if is_late:
            loop.call_later(timeout_s, lambda: callback(make_unknown()))

    def read(self, table, part, first, end, timeout_s, callback: Callable) -> None:
        """Reads rows."""
        if self._refuse(callback):
            return
        rows = sorted(
            (
                row
                for key, row in self._store.rows.items()
                if key.table == table
                and key.part == part
                and key.key >= first
                and (not end or key.key < end)
            ),
            key=lambda row: row.key.key,
        )
        page = storage.Page(tuple(rows), False, self._store.version)
        # A slow store takes as long for a read as for a transaction.
        delay_s = max(STORE_DELAY_S, self._store.faults.transaction_s)
        delay_s += self._store.faults.read_delays_s.get(table, 0.0)
        self._store.loop.call_later(delay_s, lambda: callback(result.Success(page)))

    def follow(self, table, after, wait_s, callback: Callable) -> None:
        """Waits for changes of a table after a version."""
        if self._refuse(callback):
            return
        if self._store.faults.history_lost:
            lost = result.Failure(
                storage.HistoryLostError(f"no changes of {table} after version {after}")
            )
            self._store.loop.call_later(STORE_DELAY_S, lambda: callback(lost))
            return
        self._poll(table, after, self._store.loop.now_s + wait_s, callback)

    def _poll(self, table, after, end_s, callback: Callable) -> None:
        store = self._store
        rows = tuple(r for r in store.changes if r.version > after and r.key.table == table)
        if store.faults.silent_feeds:
            rows = ()
        if rows or store.loop.now_s >= end_s:
            silent = store.faults.silent_feeds
            version = after if silent else max([store.version, *(row.version for row in rows)])
            if len(rows) > store.faults.rows_per_answer:
                rows = rows[: store.faults.rows_per_answer]
                version = rows[-1].version
            changes = storage.Changes(rows, version)
            store.loop.call_later(STORE_DELAY_S, lambda: callback(result.Success(changes)))
            return
        store.loop.call_later(0.02, lambda: self._poll(table, after, end_s, callback))


def make_unknown() -> storage.StoreResult:
    """Returns the outcome of a call whose answer was lost."""
    return result.Failure(exceptions.OutcomeUnknownError("answer lost"))
