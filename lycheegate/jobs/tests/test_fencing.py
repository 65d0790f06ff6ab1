"""Tests of the fencing tokens within the range of a term."""

import pytest

from lycheegate.jobs import fencing, model, state

_CAPACITY = model.Resources(8_000, 8_000, 8)
_RANGE = fencing.EPOCHS_PER_TERM


def _make_worker(current: state.SchedulerState, worker_id: str = "w0") -> state.WorkerState:
    worker = state.WorkerState(
        worker_id, "render", "a:1", "z", "r0", frozenset(), _CAPACITY, _CAPACITY
    )
    fencing.add_worker(current, worker)
    return worker


@pytest.mark.parametrize(
    ("epoch", "raises", "expected"),
    [
        (_RANGE, 0, 1),
        (_RANGE, 5, 6),
        (3 + _RANGE, 0, 4),
        (3 + _RANGE, 2 * _RANGE, 3 + _RANGE),
        (3, 0, 1),
        (3, 9, 3),
    ],
    ids=["first_term", "raised", "after_an_earlier_build", "used_up", "narrow", "narrow_used_up"],
)
def test_tokens_stay_within_the_range_of_the_term(epoch, raises, expected):
    """Guards against a token that a term shares with an earlier or a later one."""
    current = state.SchedulerState(epoch, state.Policy(), 0.0)
    worker = _make_worker(current)
    worker.token_raises = raises
    assert fencing.get_token(current, worker) == expected


def test_worker_that_registers_again_keeps_its_token():
    """Guards against a term that ends because it calls a worker with a token it has outgrown.

    A worker without runs is forgotten when it leaves the registry, and may return.
    """
    current = state.SchedulerState(_RANGE, state.Policy(), 0.0)
    before = _make_worker(current)
    for _ in range(3):
        fencing.raise_token(current, before, 1.0)
    fencing.raise_token(current, _make_worker(current, "w1"), 1.0)
    again = _make_worker(current)
    assert fencing.get_token(current, again) >= fencing.get_token(current, before)


def test_range_that_is_used_up_fences_nothing():
    """Guards against a run taken for absent because of a token that could not be raised."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    worker = _make_worker(current)
    fencing.raise_token(current, worker, 5.0)
    assert worker.token_raised_at_s is None
