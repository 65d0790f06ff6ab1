"""Log lines about unexpected errors name the class of the error, and where it was raised."""

import json
import re

import pytest
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import lifecycle, workers, writes
from lycheegate.node import exchange, job_rows, reads
from lycheegate.node.tests import simulation
from lycheegate.platform import store as stores
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import errors

_PLACE = re.compile(r"lycheegate/node/tests/test_error_places\.py:\d+")


class _Unexpected(Exception):
    """An error that no code expects."""


def _fail(*_, **__):
    raise _Unexpected("step")


def _fail_read(world, monkeypatch):
    monkeypatch.setattr(reads.TableRead, "_read_page", _read_page_without_store)


def _read_page_without_store(read, table, part, first, failures):
    try:
        _fail()
    except _Unexpected as error:
        read._on_error(error)


def _fail_feed(world, monkeypatch):
    monkeypatch.setattr(job_rows.JobRows, "apply_rows", _fail)


_CASES = {
    "poll_failed": lambda world, patch: patch.setattr(exchange, "_get_report_wait_s", _fail),
    "report_failed": lambda world, patch: patch.setattr(exchange.workers, "apply_report", _fail),
    "stage_failed": lambda world, patch: patch.setattr(lifecycle, "advance_jobs", _fail),
    "record_rejected": lambda world, patch: patch.setattr(writes, "_make_write", _fail),
    "record_unreadable": lambda world, patch: patch.setattr(lifecycle, "add_job", _fail),
    "registration_failed": lambda world, patch: patch.setattr(
        workers, "_apply_registration", _fail
    ),
    "feed_failed": _fail_feed,
    "term_load_failed": _fail_read,
}


@pytest.mark.parametrize("event", _CASES)
def test_place_of_an_unexpected_error(monkeypatch, event):
    """Guards against a line about a defect that does not tell which part of the code has it.

    The text of an error such as ``KeyError`` alone names a key.
    """
    world = simulation.World(1, worker_count=2)
    if event not in ("term_load_failed", "registration_failed"):
        world.claim_term("a")
        world.run(2.0)
    _CASES[event](world, monkeypatch)
    if event in ("term_load_failed", "registration_failed"):
        world.claim_term("a")
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1)))
    world.run(2.0)
    lines = [line for line in map(json.loads, world.lines) if line["event"] == event]
    assert lines
    assert {line["error_type"] for line in lines} == {"_Unexpected"}
    assert all(_PLACE.fullmatch(line["place"]) for line in lines)
    assert all("step" in line["error"] for line in lines)


def test_place_of_a_decoder_error(monkeypatch):
    """Guards against a defect of a decoder that looks like an answer of the store or a worker."""
    monkeypatch.setattr(stores, "_decode_answer", _fail)
    monkeypatch.setattr(worker_calls, "_decode_running", _fail)
    answers = [
        stores._decode(_make_response(b"{}"), lambda *_: None).failure(),
        worker_calls._decode_report(
            _make_response(b'{"running":[[1]],"clock-ms":1}'), "w", 1.0, 1.0
        ).failure(),
    ]
    for answer in answers:
        description = errors.describe(answer)
        assert (description.kind, "step" in description.text) == ("_Unexpected", True)
        assert _PLACE.fullmatch(description.place)


def _make_response(body: bytes):
    return result.Success(http.Response(200, (), body))


def test_place_in_the_reason_of_an_unreadable_registration(monkeypatch):
    """Guards against a worker that is missing for a defect which its line takes for its row."""
    world = simulation.World(1, worker_count=2)
    monkeypatch.setattr(worker_calls, "decode_registration", _fail)
    world.claim_term("a")
    world.run(2.0)
    lines = [json.loads(line) for line in world.lines if b"registration_unreadable" in line]
    assert {line["worker"] for line in lines} == {"w0", "w1"}
    for line in lines:
        text, _, place = line["reason"].removesuffix(")").partition(" (")
        assert text == "_Unexpected: step"
        assert _PLACE.fullmatch(place)
