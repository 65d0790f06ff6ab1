"""Contract tests of the table service, for the in-memory table and the HTTP client."""

import random
import threading

import pytest
from returns import result

from lycheegate.clients import http, table_client
from lycheegate.clients import table as table_module
from lycheegate.utils import backoff, exceptions
from standins import memory
from standins import table as table_standin

PUT = table_module.OperationKind.PUT
DELETE = table_module.OperationKind.DELETE
CHECK = table_module.OperationKind.CHECK
_TIMEOUT_S = 1.0


def _op(kind, key, value=None, if_version=None):
    return table_module.Operation(kind, "t", key, value, if_version)


class _Subject:
    """A table implementation under test, with its stored rows and its fault switches."""

    def __init__(self, table, rows, faults, count_requests):
        self.table, self.rows, self.faults = table, rows, faults
        self.count_requests = count_requests

    def seed(self):
        self.rows.apply([_op(PUT, "a", {"n": 1}), _op(PUT, "b/x", {"n": 2})])
        self.rows.apply([_op(PUT, "a", {"n": 3})])

    def list_rows(self):
        rows = self.rows.list_rows("t")
        return {row.key: (_remove_write_id(row.value), row.version) for row in rows}


def _remove_write_id(value):
    return {name: part for name, part in value.items() if name != table_client.WRITE_ID_FIELD}


# Each test has its own stand-in. A request that timed out in one test continues in the stand-in and
# could consume a fault that is set for the next test.
@pytest.fixture(name="standin")
def _standin():
    standin = table_standin.TableStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture(name="client")
def _client():
    client = http.HttpClient()
    yield client
    client.close()


def _make_http_subject(standin, client):
    table = table_client.HttpTable(client, f"http://{standin.address}", random.Random(7))
    return _Subject(table, standin.rows, standin.faults, lambda: standin.request_count)


@pytest.fixture(name="subject", params=["memory", "http"])
def _subject(request, standin, client):
    if request.param == "memory":
        table = memory.MemoryTable(sleep=lambda _: None)
        subject = _Subject(table, table, table.faults, lambda: table.request_count)
    else:
        subject = _make_http_subject(standin, client)
    subject.seed()
    yield subject
    subject.faults.clear()


_SEEDED = {"a": ({"n": 3}, 2), "b/x": ({"n": 2}, 1)}


@pytest.mark.parametrize(
    ("operations", "versions", "changed"),
    [
        ([_op(PUT, "c", {"n": 1}, 0)], (1,), {"c": ({"n": 1}, 1)}),
        ([_op(PUT, "a", {"n": 9}, 2)], (3,), {"a": ({"n": 9}, 3)}),
        ([_op(PUT, "a", {"n": 9})], (3,), {"a": ({"n": 9}, 3)}),
        ([_op(PUT, "c", {})], (1,), {"c": ({}, 1)}),
        ([_op(DELETE, "a", None, 2)], (0,), {"a": None}),
        ([_op(DELETE, "none")], (0,), {}),
        ([_op(CHECK, "a", None, 2), _op(PUT, "c", {"n": 1}, 0)], (2, 1), {"c": ({"n": 1}, 1)}),
        ([_op(CHECK, "none", None, 0)], (0,), {}),
    ],
)
def test_apply(subject, operations, versions, changed):
    """Guards against a transaction that makes wrong changes or returns wrong versions."""
    assert subject.table.transact(operations).unwrap() == versions
    expected = {key: row for key, row in (_SEEDED | changed).items() if row is not None}
    assert subject.list_rows() == expected


@pytest.mark.parametrize(
    ("operations", "error"),
    [
        ([_op(PUT, "a", {"n": 9}, 1)], exceptions.ConditionFailedError(0, 2, {"n": 3})),
        ([_op(PUT, "a", {"n": 9}, 0)], exceptions.ConditionFailedError(0, 2, {"n": 3})),
        ([_op(PUT, "c", {"n": 9}, 1)], exceptions.ConditionFailedError(0, 0, None)),
        ([_op(DELETE, "a", None, 1)], exceptions.ConditionFailedError(0, 2, {"n": 3})),
        (
            [_op(PUT, "c", {}, 0), _op(CHECK, "b/x", None, 2)],
            exceptions.ConditionFailedError(1, 1, {"n": 2}),
        ),
    ],
)
def test_apply_nothing_when_a_condition_fails(subject, operations, error):
    """Guards against a transaction that takes effect only in part."""
    assert subject.table.transact(operations).failure() == error
    assert subject.list_rows() == _SEEDED


def test_read_and_scan(subject):
    """Guards against reads that omit rows, return internal fields or ignore the prefix."""
    subject.table.transact([_op(PUT, "b/y", {"n": 5})]).unwrap()
    assert subject.table.read("t", "a").unwrap() == table_module.Row("a", {"n": 3}, 2)
    assert subject.table.read("t", "none").unwrap() is None
    assert subject.table.read("other", "a").unwrap() is None
    keys = [row.key for row in subject.table.scan("t", "b/").unwrap()]
    assert keys == ["b/x", "b/y"]
    assert [row.value for row in subject.table.scan("t").unwrap()] == [
        {"n": 3},
        {"n": 2},
        {"n": 5},
    ]


def test_scan_more_than_a_page(subject):
    """Guards against a scan that ends after the first page or repeats its last row."""
    puts = [_op(PUT, f"k{number:04}", {}) for number in range(1203)]
    subject.rows.apply(puts)
    keys = [row.key for row in subject.table.scan("t", "k").unwrap()]
    assert keys == [operation.key for operation in puts]


_UNAVAILABLE = exceptions.UnavailableError
_UNKNOWN = exceptions.OutcomeUnknownError


@pytest.mark.parametrize(
    ("switches", "write", "read"),
    [
        ({"refused": True}, _UNAVAILABLE, _UNAVAILABLE),
        ({"refuse_reads": True}, None, _UNAVAILABLE),
        ({"refuse_reads": True, "lose_answers": 1}, _UNKNOWN, _UNAVAILABLE),
        ({"refuse_reads": True, "lose_requests": 1}, _UNKNOWN, _UNAVAILABLE),
        ({"stalled": True}, _UNKNOWN, _UNAVAILABLE),
        ({"slow_s": 2.0}, _UNKNOWN, _UNAVAILABLE),
        ({"slow_s": 0.05}, None, None),
    ],
)
def test_faults(subject, switches, write, read):
    """Guards against a fault that is reported as a success or as the wrong kind of failure.

    A failed write may have taken effect only if the failure is ``OutcomeUnknownError``.
    """
    subject.faults.set(**switches)
    written = subject.table.transact([_op(PUT, "a", {"n": 9})], _TIMEOUT_S)
    found = subject.table.read("t", "a", _TIMEOUT_S)
    subject.faults.clear()
    for outcome, expected in ((written, write), (found, read)):
        if expected is None:
            assert isinstance(outcome, result.Success)
        else:
            assert type(outcome.failure()) is expected
    if write is _UNAVAILABLE:
        assert subject.list_rows() == _SEEDED


@pytest.mark.parametrize(
    ("switches", "operations", "versions"),
    [
        ({"lose_answers": 1}, [_op(PUT, "a", {"n": 9}, 2)], (3,)),
        ({"lose_answers": 1}, [_op(PUT, "a", {"n": 9})], (3,)),
        ({"lose_answers": 1}, [_op(CHECK, "b/x", None, 1), _op(PUT, "c", {}, 0)], (1, 1)),
        ({"lose_answers": 1}, [_op(DELETE, "a", None, 2)], (0,)),
        ({"lose_answers": 1}, [_op(DELETE, "a"), _op(PUT, "c", {})], (0, 1)),
        ({"lose_answers": 1}, [_op(CHECK, "a", None, 2)], (2,)),
        ({"lose_requests": 1}, [_op(PUT, "a", {"n": 9}, 2)], (3,)),
        ({"lose_requests": 1}, [_op(DELETE, "a", None, 2)], (0,)),
        ({"lose_answers": 2}, [_op(PUT, "c", {}, 0)], (1,)),
    ],
)
def test_resolve_lost_answer(standin, client, switches, operations, versions):
    """Guards against a lost answer that is reported as a failure, or a write made twice."""
    subject = _make_http_subject(standin, client)
    subject.seed()
    before = subject.rows.write_count
    subject.faults.set(**switches)
    assert subject.table.transact(operations).unwrap() == versions
    changes = any(operation.kind is not CHECK for operation in operations)
    assert subject.rows.write_count == before + changes


@pytest.mark.parametrize(
    ("operation", "error"),
    [
        (_op(PUT, "a", {"n": 9}, 2), exceptions.ConditionFailedError),
        (_op(PUT, "a", {"n": 9}), exceptions.OutcomeUnknownError),
    ],
)
def test_lost_request_before_another_write(standin, client, operation, error):
    """Guards against an unsafe retry that overwrites the write of another client."""
    subject = _make_http_subject(standin, client)
    subject.seed()
    subject.faults.set(lose_requests=1, slow_s=0.2)
    timer = threading.Timer(0.1, subject.rows.apply, ([_op(PUT, "a", {"n": 7})],))
    timer.start()
    outcome = subject.table.transact([operation])
    timer.join()
    assert type(outcome.failure()) is error
    assert subject.list_rows()["a"] == ({"n": 7}, 3)


def test_table_outage(subject):
    """Guards against an outage that multiplies requests, or whose end is not detected."""
    subject.faults.set(down=True)
    for _ in range(100):
        assert isinstance(subject.table.read("t", "a", 0.2), result.Failure)
    if isinstance(subject.table, table_client.HttpTable):
        # 5 failures open the breaker, and the budget allows at most 10 retries.
        assert subject.count_requests() <= 15
        assert subject.table.breaker_state is backoff.BreakerState.OPEN
    subject.faults.clear()
    ended = threading.Event()
    for _ in range(200):
        if isinstance(subject.table.read("t", "a"), result.Success):
            break
        ended.wait(0.02)
    assert subject.table.read("t", "a").unwrap().version == 2
