"""An error with one job keeps no other job from running, nor the term from being renewed."""

import dataclasses
import json
import random

import pytest

from lycheegate.jobs import (
    crashes,
    evacuation,
    headroom,
    leases,
    lifecycle,
    model,
    ordering,
    placement,
    runs,
    scheduling,
    sharing,
    state,
    unevenness,
    units,
    waiting,
)
from lycheegate.node.tests import simulation

FAULTY_ID = "f" * 16
FAULTY_NEED = model.Resources(1_237, 1_000, 1)
"""Need of the tasks of the faulty job only."""

OF_ONE_JOB = [
    (crashes, "is_suspect"),
    (lifecycle, "is_ready"),
    (lifecycle, "_advance_job"),
    (ordering, "rank_job"),
    (placement, "place_gang"),
    (placement, "place_task"),
    (runs, "add_run"),
    (scheduling, "_add_runs"),
    (scheduling, "choose_workers"),
    (scheduling, "is_admitted"),
    (units, "compute_share"),
    (units, "list_candidates"),
]
OF_ALL_JOBS = [
    (evacuation, "evacuate"),
    (headroom, "update_demand"),
    (leases, "check_leases"),
    (lifecycle, "advance_jobs"),
    (scheduling, "_measure_capacities"),
    (scheduling, "schedule"),
    (sharing, "list_turns"),
    (unevenness, "update_uneven_services"),
    (waiting, "check_waiting"),
]


def _is_of_faulty_job(value) -> bool:
    match value:
        case units.Unit():
            return value.job.job.job_id == FAULTY_ID
        case state.JobState():
            return value.job.job_id == FAULTY_ID
        case state.StepState():
            return value.step.need == FAULTY_NEED
        case model.Step():
            return value.need == FAULTY_NEED
        case model.Resources():
            return value == FAULTY_NEED
    return False


def _raise_for_faulty_job(monkeypatch, module, name: str, draw: random.Random) -> None:
    """Lets a function raise for the faulty job, before or after it has taken effect."""
    original = getattr(module, name)

    def function(*args, **fields):
        if not any(_is_of_faulty_job(value) for value in args):
            return original(*args, **fields)
        if draw.random() < 0.5:
            original(*args, **fields)
        raise IndexError(f"{name} of a faulty job")

    monkeypatch.setattr(module, name, function)


def _submit(world: simulation.World, number: int, gang: bool, need=simulation.SMALL) -> None:
    job_id = FAULTY_ID if need == FAULTY_NEED else f"{number:016x}"
    step = simulation.make_step(3, need, gang=gang, max_per_worker=2)
    is_urgent = number % 2 == 0
    job = simulation.make_job(job_id, step, route="urgent" if is_urgent else "batch")
    job = dataclasses.replace(job, accepted_at_s=world.loop.now_s)
    world.submit(job, world.urgent if is_urgent else None)


def _list_events(world: simulation.World, event: str) -> list[dict]:
    lines = map(json.loads, world.lines)
    return [line for line in lines if line["event"] == event]


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(("module", "name"), OF_ONE_JOB, ids=lambda value: str(value)[-30:])
def test_error_with_one_job_does_not_hold_up_the_others(monkeypatch, module, name, gang):
    """Guards against one job whose error ends each pass for all jobs that rank after it.

    The faulty job ranks first. It runs as well once the error has gone away.
    """
    world = simulation.World(1)
    world.claim_term("a")
    world.run(1.0)
    with monkeypatch.context() as patch:
        _raise_for_faulty_job(patch, module, name, random.Random(name))
        _submit(world, 0, gang, FAULTY_NEED)
        world.run(0.5)
        for number in range(1, 6):
            _submit(world, number, gang=number % 2 == 0)
        world.run(6.0)
        for number in range(1, 6):
            outcome = world.read_status(f"{number:016x}").outcome
            assert outcome is model.Outcome.SUCCEEDED
        started = sum(task.job_id == FAULTY_ID for task in world.fleet.starts)
        assert started in (0, 3) or not gang
        assert name != "rank_job" or 5 < len(_list_events(world, "stage_failed")) < 100
    world.run(12.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize(("module", "name"), OF_ALL_JOBS, ids=lambda value: str(value)[-30:])
def test_error_in_a_stage_does_not_end_the_term(monkeypatch, module, name):
    """Guards against a stage whose error keeps the later ones, and the write, from running.

    It raises in half of its calls.
    """
    world = simulation.World(1)
    draw = random.Random(name)
    original = getattr(module, name)

    def function(*args, **fields):
        if draw.random() < 0.5:
            raise KeyError(name)
        return original(*args, **fields)

    monkeypatch.setattr(module, name, function)
    world.claim_term("a")
    for number in range(6):
        _submit(world, number, gang=number % 2 == 0)
        world.run(0.7)
    world.run(20.0)
    simulation.assert_all_succeed(world)
    assert _list_events(world, "stage_failed") != []
