"""Tests of request records and answers."""

import hashlib

import msgspec
import pytest
from returns import result

from lycheegate.core import commands
from lycheegate.entry import answers, records
from lycheegate.model import requests, resources
from lycheegate.utils import exceptions
from standins import memory


def _make_record(**fields):
    base = records.Record(
        records.make_request_id("c", "k"),
        "c",
        "acc",
        "preview",
        0,
        1,
        1,
        resources.Adjacency.RACK,
        False,
        False,
        1000.0,
        "dc/0",
        "digest",
        payload={"x": 1},
    )
    return msgspec.structs.replace(base, **fields)


def _make_table():
    return memory.MemoryTable(sleep=lambda seconds_s: None)


def _create(table, record=None):
    return records.create(table, record or _make_record(), sleep=lambda seconds_s: None)


def _make_end(end=requests.End.CANCELLED, **fields):
    command = commands.EndRequest("r", end, **fields)
    return records.make_end(command, 2000.0, None)


ATTEMPT = records.Attempt("a-1", 1, [("w", 0, 1)])


def test_create_once():
    """Guards against two records for one idempotency key."""
    table = _make_table()
    first, created = _create(table).unwrap()
    second, created_again = _create(table, _make_record(spec_digest="other")).unwrap()
    assert (created, created_again) == (True, False)
    assert second == first


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
def test_create_with_lost_messages(fault):
    """Guards against a wrong report of whether a record was created, after a lost message."""
    table = _make_table()
    table.faults.set(**{fault: 1})
    versioned, created = _create(table).unwrap()
    assert created
    assert records.read(table, versioned.record.request_id).unwrap() == versioned


def test_create_without_store():
    """Guards against a report of an unknown outcome when certainly nothing was written."""
    table = _make_table()
    table.faults.set(down=True)
    assert isinstance(_create(table).failure(), exceptions.UnavailableError)


def test_open_index_follows_the_record():
    """Guards against an index that lacks open requests or still lists ended ones."""
    table = _make_table()
    versioned, _ = _create(table).unwrap()
    request_id = versioned.record.request_id
    assert records.list_open(table, "dc/0").unwrap() == [request_id]
    assert records.list_open(table, "dc/1").unwrap() == []
    records.write_end(table, versioned, _make_end()).unwrap()
    assert records.list_open(table, "dc/0").unwrap() == []


@pytest.mark.parametrize("fault", [None, "lose_answers", "lose_requests"])
def test_end_is_written_once(fault):
    """Guards against a second end that replaces the first."""
    table = _make_table()
    versioned, _ = _create(table).unwrap()
    if fault is not None:
        table.faults.set(**{fault: 1})
    first = records.write_end(table, versioned, _make_end()).unwrap()
    second = records.write_end(table, versioned, _make_end(requests.End.NOT_RUN)).unwrap()
    assert first.record.end.end is requests.End.CANCELLED
    assert second == first


def test_end_after_cancellation_request():
    """Guards against an end that is lost because the record has changed concurrently."""
    table = _make_table()
    versioned, _ = _create(table).unwrap()
    records.request_cancel(table, versioned.record.request_id).unwrap()
    ended = records.write_end(table, versioned, _make_end()).unwrap()
    assert ended.record.cancel_requested
    assert ended.record.end == _make_end()


def test_attempt_of_an_ended_request_is_refused():
    """Guards against a non-idempotent request that starts after its end was reported."""
    table = _make_table()
    versioned, _ = _create(table).unwrap()
    records.write_end(table, versioned, _make_end(requests.End.NOT_RUN)).unwrap()
    refused = records.record_attempt(table, versioned, ATTEMPT).failure()
    assert isinstance(refused, exceptions.ConditionFailedError)


def test_two_owners_record_one_attempt():
    """Guards against two owners that both start a non-idempotent request."""
    table = _make_table()
    versioned, _ = _create(table).unwrap()
    records.record_attempt(table, versioned, ATTEMPT).unwrap()
    other = records.Attempt("b-2", 2, [("w", 1, 1)])
    refused = records.record_attempt(table, versioned, other).failure()
    assert isinstance(refused, exceptions.ConditionFailedError)
    assert records.decode(refused.value).attempt == ATTEMPT


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
def test_attempt_with_lost_messages(fault):
    """Guards against an attempt that is reported as absent although it is in the table."""
    table = _make_table()
    versioned, _ = _create(table).unwrap()
    table.faults.set(**{fault: 1})
    written = records.record_attempt(table, versioned, ATTEMPT).unwrap()
    assert records.read(table, versioned.record.request_id).unwrap() == written


def test_key_belongs_to_its_caller():
    """Guards against callers that reach the requests of others by choice of the key."""
    assert records.make_request_id("a", "bk") != records.make_request_id("ab", "k")


BODY = b"answer"
DIGEST = hashlib.sha256(BODY).hexdigest()


@pytest.mark.parametrize(
    ("body", "length", "digest", "stated", "is_whole"),
    [
        (BODY, 6, DIGEST, "r", True),
        (BODY, 6, DIGEST.upper(), "r", True),
        (BODY[:3], 6, DIGEST, "r", False),
        (BODY, 7, DIGEST, "r", False),
        (b"answeR", 6, DIGEST, "r", False),
        (BODY, 6, DIGEST, "other", False),
    ],
)
def test_check_answer(body, length, digest, stated, is_whole):
    """Guards against answers that are truncated, corrupted or belong to another request."""
    checked = answers.check(body, length, digest, "r", stated)
    assert isinstance(checked, result.Success) is is_whole


class _Objects(dict):
    def put(self, key, data):
        self[key] = data
        return result.Success(None)

    def get(self, key):
        return result.Success(dict.get(self, key))


@pytest.mark.parametrize("size_bytes", [0, records.INLINE_BYTES, records.INLINE_BYTES + 1])
def test_store_and_load(size_bytes):
    """Guards against large answers in rows and against answers corrupted in the store."""
    objects = _Objects()
    body = bytes(size_bytes)
    reference = answers.store(objects, "r", "a", body).unwrap()
    reference = msgspec.convert(msgspec.to_builtins(reference), records.AnswerReference)
    assert bool(objects) is (size_bytes > records.INLINE_BYTES)
    assert answers.load(objects, reference).unwrap() == body
    for key in objects:
        objects[key] = b"x" + objects[key][1:]
        assert isinstance(answers.load(objects, reference), result.Failure)


def test_budget_bounds_memory():
    """Guards against answers that exhaust memory, and against one that is never admitted."""
    budget = answers.AnswerBudget(10)
    assert budget.acquire_bytes(20, 0.0)
    assert not budget.acquire_bytes(1, 0.0)
    budget.release_bytes(20)
    assert (
        budget.acquire_bytes(6, 0.0)
        and budget.acquire_bytes(4, 0.0)
        and not budget.acquire_bytes(1, 0.0)
    )
