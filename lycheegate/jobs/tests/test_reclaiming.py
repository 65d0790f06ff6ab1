"""Preemption for urgent work, and waiting for runs that end soon."""

import random

import pytest

from lycheegate.jobs import (
    commands,
    lifecycle,
    model,
    placement,
    preemption,
    reclaiming,
    scheduling,
    state,
)

_SMALL = model.Resources(1_000, 1_000, 1)
_WHOLE = model.Resources(8_000, 8_000, 8)
_ROUTES = {
    "batch": model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0),
    "urgent": model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.25),
}
_BATCH_JOB, _URGENT_JOB = "0" * 16, "1" * 16


def _make_state(percents: list[list[int]], guaranteed: int = 0) -> state.SchedulerState:
    """Returns a state at 11 s with workers full of batch runs that began at 1 s.

    Args:
        percents: For each worker, the progress of each of its runs at 10 s.
        guaranteed: Accelerators guaranteed to the account.
    """
    current = state.SchedulerState(1, state.Policy(), 0.0)
    account = model.Account("acme", frozenset(), guaranteed)
    services = {"render": model.Service("render")}
    current.configuration = model.Configuration(1, _ROUTES, services, {"acme": account}, {}, 1)
    for number in range(len(percents)):
        current.workers[f"w{number}"] = state.WorkerState(
            f"w{number}",
            "render",
            "a:1",
            "z",
            "r0",
            frozenset(),
            _WHOLE,
            _WHOLE,
            incarnation=state.Incarnation(confirmed=True),
        )
    count = sum(map(len, percents))
    need = model.Resources(8_000 // len(percents[0]), 1_000, 8 // len(percents[0]))
    _add_job(current, _BATCH_JOB, "batch", model.Step(count, need, 10.0), 1.0)
    for worker, worker_percents in zip(current.workers.values(), percents, strict=True):
        runs = sorted(worker.runs.values(), key=lambda run: run.task)
        for run, percent in zip(runs, worker_percents, strict=True):
            run.phase = state.RunPhase.RUNNING
            run.percent, run.advanced_at_s = percent, 10.0
    return current


def _add_job(current, job_id, route, step, now_s):
    job = model.Job(job_id, route, "acme", "x", (step,), now_s)
    lifecycle.add_job(current, state.JobState(job, _ROUTES[route]), now_s, now_s)
    return _schedule(current, now_s)


def _schedule(current, now_s):
    for worker in current.workers.values():
        worker.reported_at_s = now_s
    return scheduling.schedule(current, now_s, now_s)


def _list_stopped(result):
    return {c.task.index for c in result if isinstance(c, commands.StopRun)}


@pytest.mark.parametrize(
    ("percents", "need", "guaranteed", "stopped"),
    [
        # 9 s for 86 percent: 0.47 s remain at 11 s; for 85 percent, 0.59 s.
        ([[50, 86]], 4, 0, set()),
        ([[50, 86]], 4, 8, set()),
        ([[50, 85]], 4, 8, {0}),
        ([[50, 80]], 4, 0, {0}),
        ([[85, 86]], 8, 0, set()),
        # Half of the loss is saved by waiting for one of two runs; then nothing is gained by it.
        ([[50, 86]], 8, 0, {0}),
        ([[50, 50], [50, 50], [86, 50]], 8, 0, {5}),
    ],
    ids=[
        "ends_soon",
        "guaranteed_ends_soon",
        "guaranteed_waits_less",
        "ends_late",
        "both_end_soon",
        "one_of_two",
        "cheapest_worker",
    ],
)
def test_wait_for_runs_that_end_within_the_slack(percents, need, guaranteed, stopped):
    """Guards against work that is stopped although waiting would serve the urgent job in time.

    Load pattern: an urgent job arrives while the workers are full of batch work, of which some
    ends within half a second.
    """
    current = _make_state(percents, guaranteed)
    step = model.Step(1, model.Resources(1_000 * need, 1_000, need), 3.0)
    result = _add_job(current, _URGENT_JOB, "urgent", step, 11.0)
    assert _list_stopped(result) == stopped
    assert len(current.reservations) == 1


def test_run_that_does_not_end_as_predicted_is_stopped():
    """Guards against an urgent job that waits on and on for runs which stand still."""
    current = _make_state([[50, 86]])
    step = model.Step(1, model.Resources(4_000, 1_000, 4), 3.0)
    _add_job(current, _URGENT_JOB, "urgent", step, 11.0)
    for tick in range(1, 6):
        result = _schedule(current, 11.0 + 0.25 * tick)
        if _list_stopped(result):
            break
    assert tick == 3
    assert len(_list_stopped(result)) == 1


def test_freed_room_is_kept_for_the_waiting_job():
    """Guards against batch work that takes the room for which an urgent job waits."""
    current = _make_state([[50, 86]])
    _add_job(current, "2" * 16, "batch", model.Step(9, _SMALL, 1.0), 10.9)
    step = model.Step(1, model.Resources(4_000, 1_000, 4), 3.0)
    _add_job(current, _URGENT_JOB, "urgent", step, 11.0)
    worker = current.workers["w0"]
    ended = next(run for run in worker.runs.values() if run.percent == 86)
    del worker.runs[ended.task], current.jobs[_BATCH_JOB].steps[0, 0].runs[ended.task.index]
    current.jobs[_BATCH_JOB].steps[0, 0].done.add(ended.task.index)
    worker.room = worker.room + ended.need
    _schedule(current, 11.4)
    assert len(current.jobs[_URGENT_JOB].list_runs()) == 1


@pytest.mark.parametrize(
    ("level", "slack_s", "waited_s", "expected_s"),
    [
        (1, 1.5, 0.0, 0.6),
        (1, 1.2, 0.3, 0.3),
        (1, 0.9, 0.6, 0.25),
        (1, 60.0, 0.0, 1.0),
        (1, -5.0, 0.0, 0.25),
        (0, 60.0, 0.0, 0.5),
        (0, 60.0, 0.4, 0.1),
        (0, 60.0, 0.6, 0.0),
        (0, -5.0, 0.0, 0.0),
    ],
)
def test_compute_wait(level, slack_s, waited_s, expected_s):
    """Guards against urgent work that waits beyond its objective or its guarantee."""
    found_s = reclaiming.compute_wait_s(level, slack_s, waited_s)
    assert found_s == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("number", "failures", "stopped"),
    [(1, 0, {0}), (2, 0, {1}), (2, 1, {0}), (3, 1, {1})],
    ids=["first_run", "stopped_before", "failed_before", "stopped_and_failed_before"],
)
def test_preemption_is_spread_over_the_jobs(number, failures, stopped):
    """Guards against work that is stopped again and again while other work never is.

    Load pattern: urgent jobs arrive for many seconds while the workers are full of batch work, and
    some of that is always cheaper to stop than the rest.
    """
    current = _make_state([[50], [50]])
    step = current.jobs[_BATCH_JOB].steps[0, 0]
    step.runs[0].number = number
    step.failures[0] = failures
    urgent = model.Step(1, model.Resources(4_000, 1_000, 4), 3.0)
    assert _list_stopped(_add_job(current, _URGENT_JOB, "urgent", urgent, 11.0)) == stopped


def test_awaited_units_cost_less_than_any_stop():
    """Guards against a unit that is stopped beside others that end by themselves in time."""
    generator = random.Random(3)
    for _ in range(200):
        candidates = [
            placement.Candidate(f"w{n}", "r0", model.Resources(), _WHOLE, 9) for n in range(4)
        ]
        victims = [
            preemption.VictimUnit(
                (number,),
                generator.uniform(1.0, 50.0),
                {f"w{number % 4}": model.Resources(4_000, 1_000, 4)},
                generator.choice([None, generator.uniform(0.0, 2.0)]),
            )
            for number in range(8)
        ]
        awaited = {v.key for v in victims if v.remaining_s is not None and v.remaining_s < 0.5}
        count = generator.randint(1, 3)
        need = model.Resources(4_000, 1_000, 4)
        found = preemption.choose_victims(count, need, candidates, victims, False, 0.5)
        assert len(found.placement) == count
        assert {unit.key for unit in found.awaited} <= awaited
        assert len(found.awaited) == min(count, len(awaited))
        assert found.cost == pytest.approx(sum(unit.cost for unit in found.victims))


@pytest.mark.parametrize(
    ("age_s", "confirmed", "stops"),
    [(0.05, False, False), (0.05, True, True), (1.0, False, True)],
    ids=["others_still_report", "all_have_reported", "one_stays_silent"],
)
def test_new_scheduler_stops_nothing_before_the_workers_have_reported(age_s, confirmed, stops):
    """Guards against work that a change of schedulers costs although there is free room.

    Load pattern: an urgent job waits when another VM takes over. The first worker that reports is
    full, and the others, which have room, report some milliseconds later.
    """
    current = _make_state([[50, 50]])
    current.began_at_s = 11.0 - age_s
    current.workers["w1"] = state.WorkerState(
        "w1",
        "render",
        "a:1",
        "z",
        "r0",
        frozenset(),
        _WHOLE,
        _WHOLE,
        incarnation=state.Incarnation(confirmed=confirmed),
    )
    current.workers["w1"].room = model.Resources()
    step = model.Step(1, model.Resources(4_000, 1_000, 4), 3.0)
    result = _add_job(current, _URGENT_JOB, "urgent", step, 11.0)
    assert bool(_list_stopped(result)) is stops
