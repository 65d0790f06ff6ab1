"""Learning which workers are slow."""

import random

import pytest

from lycheegate.jobs import model, placement, speeds, state

_NEED = model.Resources(1_000, 1_000, 1)
_STEP = model.Step(40, _NEED, 6.0)


def _make_worker(name="w"):
    return state.WorkerState(name, "s", "a:1", "z", "r", frozenset(), _NEED, _NEED)


def _run(slowness, seed, steps=6):
    """Returns workers after steps whose tasks differ; a third of the workers is slower."""
    generator = random.Random(seed)
    workers = [_make_worker(f"w{number}") for number in range(24)]
    for _ in range(steps):
        step = state.StepState((0, 0), _STEP)
        true_s = generator.uniform(2.0, 12.0)
        for _ in range(_STEP.count):
            worker = generator.choice(workers)
            factor = slowness if int(worker.worker_id[1:]) % 3 == 0 else 1.0
            speeds.record_duration(worker, step, true_s * factor * generator.uniform(0.85, 1.15))
    return workers


@pytest.mark.parametrize("seed", range(5))
def test_slow_workers_are_found(seed):
    """Guards against urgent work that lands on slow workers while fast ones are free."""
    workers = _run(1.4, seed)
    slow = {w.worker_id for w in workers if speeds.is_slow(w)}
    expected = {f"w{number}" for number in range(0, 24, 3)}
    assert len(slow & expected) >= 7
    assert len(slow - expected) <= 1


@pytest.mark.parametrize("seed", range(5))
def test_equal_workers_are_not_told_apart(seed):
    """Guards against placement by noise where all workers are alike."""
    assert sum(speeds.is_slow(w) for w in _run(1.0, seed)) <= 2


@pytest.mark.parametrize("prefers_fast", [False, True])
def test_urgent_work_prefers_fast_workers(prefers_fast):
    """Guards against a preference that keeps work from starting at all."""
    slow = placement.Candidate("slow", "r", _NEED, _NEED, 1, is_slow=True)
    fast = placement.Candidate("z-fast", "r", _NEED, _NEED, 1)
    expected = "z-fast" if prefers_fast else "slow"
    args = (_NEED, [slow, fast], "", False, prefers_fast)
    assert placement.place_task(*args) == expected
    found = placement.place_gang(1, _NEED, [slow, fast], False, prefers_fast=prefers_fast)
    assert found == [expected]
    assert placement.place_gang(2, _NEED, [slow, fast], False, prefers_fast=True) is not None
    assert placement.place_task(_NEED, [slow], "", False, True) == "slow"
