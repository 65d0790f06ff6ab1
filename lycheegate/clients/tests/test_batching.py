"""Tests of the merging of transactions."""

import threading
from concurrent import futures

import pytest
from returns import result

from lycheegate.clients import batching
from lycheegate.clients import table as table_module
from lycheegate.utils import exceptions
from standins import memory

PUT = table_module.OperationKind.PUT
CHECK = table_module.OperationKind.CHECK


def _op(kind, key, value=None, if_version=0):
    return table_module.Operation(kind, "t", key, value, if_version)


class _BlockingTable(memory.MemoryTable):
    """Table that blocks the first transaction until ``gate`` is set, and records sizes."""

    def __init__(self):
        super().__init__(sleep=lambda _: None)
        self.gate = threading.Event()
        self.entered = threading.Event()
        self.sizes = []
        self._errors = {}

    def fail_second(self, error):
        """Makes the second transaction fail without effect."""
        self._errors[2] = error

    def transact(self, operations, timeout_s=2.0):
        self.sizes.append(len(operations))
        if len(self.sizes) == 1:
            self.entered.set()
            self.gate.wait(20.0)
        if len(self.sizes) in self._errors:
            return result.Failure(self._errors.pop(len(self.sizes)))
        return super().transact(operations, timeout_s)


def _run_together(transactions, prepare=None, **options):
    """Submits transactions that all wait while a first one is in flight."""
    inner = _BlockingTable()
    inner.apply([_op(PUT, "lease", {}, None)])
    table = batching.BatchingTable(inner, max_in_flight=1, **options)
    with futures.ThreadPoolExecutor(len(transactions) + 1) as pool:
        first = pool.submit(table.transact, [_op(PUT, "first", {})], 20.0)
        assert inner.entered.wait(20.0)
        waiting = []
        for count, operations in enumerate(transactions, 1):
            waiting.append(pool.submit(table.transact, operations, 20.0))
            while len(table._waiting) < count:
                pass
        if prepare is not None:
            prepare(inner)
        inner.gate.set()
        assert first.result(20.0) == result.Success((1,))
        outcomes = [future.result(20.0) for future in waiting]
    # All slots are free again, so the next transaction is sent immediately.
    assert table.transact([_op(PUT, "last", {})], 20.0) == result.Success((1,))
    return inner, outcomes


_LEASE = _op(CHECK, "lease", None, 1)
_FAILED = exceptions.ConditionFailedError


@pytest.mark.parametrize(
    ("transactions", "options", "sizes", "outcomes"),
    [
        ([[_op(PUT, k, {})] for k in "abc"], {}, [1, 3], [(1,), (1,), (1,)]),
        ([[_LEASE, _op(PUT, k, {})] for k in "ab"], {}, [1, 4], [(1, 1), (1, 1)]),
        ([[_op(PUT, k, {})] for k in "abc"], {"max_operations": 2}, [1, 2, 1], [(1,)] * 3),
        # Transactions on the same row are not merged, nor is one with a check of a changed row.
        ([[_op(PUT, "a", {})], [_op(PUT, "a", {}, 1)]], {}, [1, 1, 1], [(1,), (2,)]),
        ([[_LEASE], [_op(PUT, "lease", {}, 1)]], {}, [1, 1, 1], [(1,), (2,)]),
        # Unconditional writes are not merged, because they must not be sent again.
        ([[_op(PUT, "a", {}, None)], [_op(PUT, "b", {})]], {}, [1, 1, 1], [(1,), (1,)]),
        # A failed condition fails only its own transaction, with the index in that transaction.
        (
            [[_op(PUT, "a", {})], [_LEASE, _op(PUT, "first", {})], [_op(PUT, "c", {})]],
            {},
            [1, 4, 2],
            [(1,), _FAILED(1, 1, {}), (1,)],
        ),
        (
            [[_op(PUT, "a", {}, 7)], [_op(PUT, "b", {}, 7)]],
            {},
            [1, 2, 1],
            [_FAILED(0, 0, None)] * 2,
        ),
    ],
)
def test_merge(transactions, options, sizes, outcomes):
    """Guards against merged transactions that get the outcome or the failure of another."""
    inner, found = _run_together(transactions, **options)
    assert inner.sizes == [*sizes, 1]
    for outcome, expected in zip(found, outcomes, strict=True):
        if isinstance(expected, _FAILED):
            assert outcome.failure() == expected
        else:
            assert outcome.unwrap() == expected


@pytest.mark.parametrize(
    "error", [exceptions.OutcomeUnknownError("lost"), exceptions.UnavailableError("down")]
)
def test_failed_batch(error):
    """Guards against a transaction of a failed batch that gets no outcome or a wrong one."""
    transactions = [[_op(PUT, key, {})] for key in "ab"]
    inner, outcomes = _run_together(transactions, lambda table: table.fail_second(error))
    assert outcomes == [result.Failure(error)] * 2
    assert inner.sizes == [1, 2, 1]


def test_time_out_while_waiting():
    """Guards against a transaction that is reported as not sent and is sent later."""
    inner = _BlockingTable()
    table = batching.BatchingTable(inner, max_in_flight=1)
    thread = threading.Thread(target=table.transact, args=([_op(PUT, "first", {})], 20.0))
    thread.start()
    assert inner.entered.wait(20.0)
    outcome = table.transact([_op(PUT, "a", {})], 0.01)
    assert type(outcome.failure()) is exceptions.UnavailableError
    inner.gate.set()
    thread.join(20.0)
    assert [row.key for row in inner.list_rows("t")] == ["first"]


def test_all_threads_end():
    """Guards against a thread that waits forever for a slot, and against lost rows."""
    inner = memory.MemoryTable()
    table = batching.BatchingTable(inner, max_in_flight=2)

    def write(thread):
        return [table.transact([_op(PUT, f"{thread}/{n}", {})], 20.0) for n in range(50)]

    with futures.ThreadPoolExecutor(16) as pool:
        outcomes = [outcome for part in pool.map(write, range(16)) for outcome in part]
    assert outcomes == [result.Success((1,))] * 800
    assert len(inner.list_rows("t")) == 800
