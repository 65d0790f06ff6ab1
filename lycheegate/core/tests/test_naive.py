"""Tests of the baseline scheduler."""

import pytest

from lycheegate.core import commands, events, naive
from lycheegate.model import requests, resources


def _request(request_id: str, shape: resources.Shape, idempotent: bool = True) -> requests.Request:
    return requests.Request(
        request_id, "a", "c", "x", requests.Urgency.NORMAL, shape, idempotent, idempotent, 0.0
    )


def _state(workers: int) -> naive.PartitionState:
    state = naive.create_state("dc/0")
    naive.decide(state, events.EpochGained(1), 0.0)
    for number in range(workers):
        worker = resources.Worker(f"w{number}", "", "r", "dc", "rack", 8, 8)
        naive.decide(state, events.WorkerReported(worker), 0.0)
    return state


@pytest.mark.parametrize(
    ("workers", "shape", "expected_holds"),
    [
        (1, resources.Shape(1, 8), 1),
        (1, resources.Shape(2, 8, resources.Adjacency.RACK), 0),
        (2, resources.Shape(2, 8, resources.Adjacency.RACK), 2),
        (2, resources.Shape(2, 8, resources.Adjacency.WORKER), 0),
        (1, resources.Shape(), 1),
    ],
)
def test_order_all_members_or_none(workers, shape, expected_holds):
    """Guards against ordering only some members of a gang."""
    state = _state(workers)
    out = naive.decide(state, events.RequestSubmitted(_request("r", shape)), 1.0)
    assert sum(isinstance(command, commands.HoldTask) for command in out) == expected_holds


def test_record_non_idempotent_before_any_order():
    """Guards against dispatching a non-idempotent request without a recorded attempt."""
    state = _state(1)
    out = naive.decide(
        state, events.RequestSubmitted(_request("r", resources.Shape(1, 1), False)), 1.0
    )
    assert [type(command) for command in out] == [commands.RecordAttempt]
    out = naive.decide(state, events.AttemptRecorded(out[0].attempt_id), 1.0)
    assert [type(command) for command in out] == [commands.HoldTask]


@pytest.mark.parametrize(
    "late_event",
    [
        events.AttemptRecorded("r-1-0"),
        events.AttemptNotRecorded("r-1-0"),
        events.TaskStarted("r-1-0.0"),
        events.AnswerStored("r-1-0"),
    ],
)
def test_ignore_events_of_a_closed_attempt(late_event):
    """Guards against an error or an order when an event arrives after a cancellation."""
    state = _state(1)
    naive.decide(state, events.RequestSubmitted(_request("r", resources.Shape(1, 1), False)), 1.0)
    naive.decide(state, events.CancelRequested("r"), 1.0)
    assert naive.decide(state, late_event, 2.0) == []
