"""Preview of a placement: the same decisions as the next scheduling pass, and no effect."""

import copy
import dataclasses
import random

import pytest

from lycheegate.jobs import (
    commands,
    evacuation,
    exclusions,
    headroom,
    lifecycle,
    model,
    preview,
    runs,
    scheduling,
    state,
    waiting,
)
from lycheegate.jobs.durations import factors
from lycheegate.jobs.tests import speeds

_NOW_S = 100.0
_JOB_ID = "f" * 16
_RUNNING = state.RunPhase.RUNNING


def _make_job(route: str, *steps: model.Step, **fields) -> model.Job:
    return model.Job(_JOB_ID, route, "acme", "x", steps, _NOW_S, **fields)


def _draw_step(draw: random.Random) -> model.Step:
    return model.Step(
        draw.choice([1, 2, 5, 13]),
        speeds.make_need(draw.choice([1, 2, 4, 8])),
        draw.choice([2.0, 6.0, 30.0]),
        gang=draw.random() < 0.5,
        same_rack=draw.random() < 0.5,
        label=draw.choice(["", "", "", "a"]),
        near_rack=draw.choice(["", "", "r1"]),
        max_per_worker=draw.choice([0, 0, 2]),
    )


def _draw_state(draw: random.Random) -> state.SchedulerState:
    """Returns a state with faulty, cold, uneven and evacuated workers, runs and waiting jobs."""
    current = speeds.make_state([8] * draw.randint(6, 24), rack_size=5, guaranteed=16)
    current.durations.worker_variance = 0.1
    for number, worker in enumerate(current.workers.values()):
        worker.data_centre = f"z{number // 10}"
        worker.labels = frozenset("a" if draw.random() < 0.7 else "")
        worker.reported_at_s = _NOW_S - draw.choice([0.0, 0.5, 1.0, 1.0, 3.0])
        worker.draining = draw.random() < 0.05
        worker.leaves_at_s = _NOW_S + 1.0 if worker.draining else None
        worker.suspected_until_s = draw.choice([0.0] * 9 + [_NOW_S + 1.0])
        worker.quarantined_until_s = draw.choice([0.0] * 9 + [_NOW_S + 1.0])
        worker.cold_until_s = draw.choice([0.0] * 5 + [_NOW_S + 1.0])
        current.durations.workers[worker.worker_id] = factors.WorkerEffect(
            0, draw.choice([-0.5, 0.0, 0.5]), 0.002, 9, _NOW_S
        )
    if draw.random() < 0.2:
        current.evacuations = state.Evacuations(frozenset({"z1"}), _NOW_S)
    for number in range(draw.randint(0, 30)):
        job_id = f"{number:016x}"
        step = _draw_step(draw)
        job = speeds.add_job(current, job_id, draw.choice([*speeds.ROUTES]), step, _NOW_S - 9.0)
        if draw.random() < 0.3:
            job.steps[0, 0].ready_since_s = _NOW_S - draw.choice([0.2, 3.0])
    if draw.random() < 0.8:
        # Earlier passes leave runs and reservations.
        scheduling.schedule(current, _NOW_S - 5.0, _NOW_S - 5.0)
    for run in [run for job in current.jobs.values() for run in job.list_runs()]:
        run.phase = draw.choice([_RUNNING, _RUNNING, state.RunPhase.ORDERED, run.phase])
        run.percent = draw.choice([0, 50, 95])
        if run.phase is _RUNNING:
            run.running_since_s = run.phase_began_at_s
            run.advanced_at_s = _NOW_S - 0.2
    current.urgent_demand["render"] = headroom.UrgentDemand(draw.choice([0.0, 2.0]), 0.0, _NOW_S)
    return current


def _schedule(current: state.SchedulerState, job: model.Job) -> tuple[list, state.JobState]:
    """Submits a job and makes the next pass, as the holder does; returns its commands."""
    if job.job_id not in current.jobs:
        accepted = state.JobState(job, speeds.ROUTES[job.route])
        lifecycle.add_job(current, accepted, _NOW_S, _NOW_S)
    lifecycle.advance_jobs(current, _NOW_S, _NOW_S)
    evacuation.evacuate(current, _NOW_S)
    return scheduling.schedule(current, _NOW_S, _NOW_S), current.jobs[job.job_id]


def _check_same(found: preview.Preview, result: list, job: state.JobState) -> None:
    """Checks that the preview names the workers and victims of the pass."""
    placed = {
        (f"{run.task.occurrence}.{run.task.step}", run.task.index): run.worker_id
        for run in job.list_runs()
        if run.phase is state.RunPhase.INTENDED and run.phase_began_at_s == _NOW_S
    }
    assert {(s.step, i): w for s in found.steps for i, w in s.placed.items()} == placed
    preempted = [
        each.fields
        for each in result
        if isinstance(each, commands.Decision)
        and each.event == "preempted"
        and each.fields["job"] == job.job.job_id
    ]
    victims = [key.split(":")[0] for fields in preempted for key in fields["victims"]]
    assert [v.job_id for s in found.steps for v in s.victims] == victims
    assert sum(s.awaited for s in found.steps) == sum(f["awaited"] for f in preempted)


def _check_groups(current: state.SchedulerState, found: preview.Preview) -> None:
    for step in found.steps:
        assert sum(group.workers for group in step.groups) in (0, len(current.workers))
        assert sum(g.chosen for g in step.groups) == len(step.placed) + len(step.reserved)
        # Tasks without a group of workers have a run that is not confirmed, or wait for a retry.
        assert (step.reason is None) == (len(step.placed) == step.tasks) or not step.groups
        for group in step.groups:
            assert sum(group.excluded.values()) <= group.workers


def _check_seed(seed: int) -> set[str]:
    """Compares preview and pass on a drawn state; returns what the preview contains."""
    draw = random.Random(seed)
    current = _draw_state(draw)
    steps = [_draw_step(draw) for _ in range(draw.choice([1, 1, 2]))]
    job = _make_job(draw.choice([*speeds.ROUTES]), *steps)
    waiting_ids = [each.job.job_id for each in state.iterate_open_jobs(current)]
    if waiting_ids and draw.random() < 0.4:
        job = current.jobs[draw.choice(waiting_ids)].job
    before = copy.deepcopy(current)
    subject = job.job_id if job.job_id in current.jobs else job
    found: preview.Preview | None = None
    try:
        found = preview.preview(current, subject, _NOW_S, _NOW_S)
    except preview.PreviewError as error:
        assert error.problem is preview.Problem.JOB_NOT_WAITING
    assert current == before
    result, scheduled = _schedule(current, job)
    if found is None:
        assert not any(run.phase_began_at_s == _NOW_S for run in scheduled.list_runs())
        return {"not waiting"}
    _check_same(found, result, scheduled)
    _check_groups(current, found)
    names = ("placed", "reserved", "victims", "awaited", "reason", "is_learned")
    return {name for name in names for step in found.steps if getattr(step, name)}


@pytest.mark.parametrize("block", range(6))
def test_preview_equals_the_next_pass(block):
    """Guards against an answer that differs from what a submission right after it gets.

    Also against a preview that changes the state, for a new job and for one that waits, and against
    drawn states in which nothing is stopped, awaited or learned.
    """
    seen = set().union(*(_check_seed(seed) for seed in range(90 * block, 90 * block + 90)))
    assert seen >= {"placed", "reserved", "victims", "awaited", "reason", "is_learned"}


def _set(worker_id: str, **fields):
    """Returns a function that sets fields of a worker."""

    def apply(current: state.SchedulerState) -> None:
        for name, value in fields.items():
            setattr(current.workers[worker_id], name, value)

    return apply


def _reserve(current: state.SchedulerState) -> None:
    speeds.add_job(current, "0" * 16, "gang", dataclasses.replace(_GANG, count=9), _NOW_S)
    key = ("0" * 16, 0, 0, -1)
    placed = dict.fromkeys(range(8), "w1") | {8: "w0"}
    current.reservations[key] = state.Reservation(placed, _ONE, _NOW_S + 9.0, False)
    current.workers["w0"].room = speeds.make_need(1)


def _hold_back(current: state.SchedulerState) -> None:
    current.workers["w0"].room = speeds.make_need(4)
    current.workers["w1"].room = model.Resources()
    current.urgent_demand["render"] = headroom.UrgentDemand(9.0, 0.0, _NOW_S)


def _fail_on_w1(current: state.SchedulerState) -> None:
    job = current.jobs[_JOB_ID]
    job.steps[0, 0].avoided_workers.add("w1")


_ONE = speeds.make_need(1)
_TASK = model.Step(1, _ONE, 6.0)
_GANG = model.Step(2, _ONE, 2.0, gang=True)
_UNKNOWN_RUN = {("strange", 1)}
_E = exclusions.Exclusion
_EXCLUSIONS = {
    _E.NOT_REGISTERED: ("batch", _TASK, _set("w1", registered=False), {}),
    _E.EVACUATED: ("batch", _TASK, _set("w1", data_centre="evacuated"), {}),
    _E.DRAINING: ("batch", _TASK, _set("w1", draining=True), {}),
    _E.QUARANTINED: ("batch", _TASK, _set("w1", quarantined_until_s=_NOW_S + 1.0), {}),
    _E.UNKNOWN_RUNS: ("batch", _TASK, _set("w1", unknown_runs=_UNKNOWN_RUN), {}),
    _E.NOT_REPORTING: ("batch", _TASK, _set("w1", reported_at_s=_NOW_S - 3.0), {}),
    _E.NOT_ANSWERING: ("batch", _TASK, _set("w1", unreachable_until_s=_NOW_S + 1.0), {}),
    _E.LABEL: (
        "batch",
        dataclasses.replace(_TASK, label="a"),
        _set("w0", labels=frozenset("a")),
        {},
    ),
    _E.TRIAL: ("batch", _TASK, _set("w1", trials={model.TaskKey("0" * 16, 0, 0, 0)}), {}),
    _E.SUSPECTED: ("gang", _GANG, _set("w1", suspected_until_s=_NOW_S + 1.0), {}),
    _E.AVOIDED: ("batch", _TASK, _fail_on_w1, {}),
    _E.TASK_LIMIT: ("batch", dataclasses.replace(_TASK, count=3, max_per_worker=1), None, {}),
    _E.TOO_SMALL: ("batch", _TASK, _set("w1", capacity=model.Resources(1, 1, 0)), {}),
    _E.NO_ROOM: ("batch", _TASK, _set("w1", room=model.Resources()), {}),
    _E.RESERVED: ("urgent", _TASK, _reserve, {}),
    _E.HEADROOM: ("batch", dataclasses.replace(_TASK, need=speeds.make_need(4)), _hold_back, {}),
    _E.FAR_FROM_DATA: (
        "batch",
        dataclasses.replace(_TASK, near_rack="r0"),
        _set("w1", rack="r1"),
        {},
    ),
    _E.COLD: ("urgent", _GANG, _set("w1", cold_until_s=_NOW_S + 1.0), {}),
    _E.SLOW: ("urgent", _GANG, None, {"w1": 3.0}),
    _E.KEPT_FOR_URGENT: ("batch", _TASK, None, {"w0": 3.0}),
}


@pytest.mark.parametrize("exclusion", _EXCLUSIONS)
def test_exclusion(exclusion):
    """Guards against a worker that is not chosen without its reason, or with a wrong one."""
    route, step, prepare, speed_by_worker = _EXCLUSIONS[exclusion]
    current = speeds.make_state([8, 8], guaranteed=64)
    current.evacuations = state.Evacuations(frozenset({"evacuated"}), _NOW_S)
    for worker in current.workers.values():
        worker.reported_at_s = _NOW_S
    job = speeds.add_job(current, _JOB_ID, route, step, _NOW_S)
    if exclusion is _E.TASK_LIMIT:
        runs.add_run(current, job, job.steps[0, 0], 0, current.workers["w1"], 1, _NOW_S)
    if prepare is not None:
        prepare(current)
    if speed_by_worker:
        current.uneven_services = frozenset({"render"})
        current.unevenness_checked_at_s = _NOW_S
    with speeds.fix_speeds(speed_by_worker):
        found = preview.preview(current, _JOB_ID, _NOW_S, _NOW_S)
    (step_preview,) = found.steps
    excluded = sum((list(group.excluded) for group in step_preview.groups), [])
    assert exclusion in excluded
    assert "w1" not in step_preview.placed.values()


def test_every_exclusion_has_a_case():
    """Guards against a reason that no test has seen."""
    assert set(_EXCLUSIONS) == set(exclusions.Exclusion)


def test_preempting_job():
    """Guards against victims, times or reserved workers that the preview leaves out."""
    current = speeds.make_state([8, 8], guaranteed=16)
    batch = speeds.add_job(current, "0" * 16, "batch", model.Step(16, _ONE, 60.0), _NOW_S - 9.0)
    speeds.schedule(current, _NOW_S - 9.0)
    for run in batch.list_runs():
        run.phase = _RUNNING
    for worker in current.workers.values():
        worker.reported_at_s = _NOW_S
    found = preview.preview(current, _make_job("urgent", _GANG), _NOW_S, _NOW_S)
    (step,) = found.steps
    assert (found.level, step.units_before, step.placed) == (0, 0, {})
    assert [(v.job_id, v.queue, v.tasks) for v in step.victims] == [("0" * 16, "batch", 1)] * 2
    assert len(step.reserved) == 2
    assert step.starts_in_s == pytest.approx(0.6)
    assert step.ends_in_s == pytest.approx(2.6)
    assert step.reason is waiting.Reason.RESERVATION
    assert step.lost_core_s > 0.0


@pytest.mark.parametrize(
    ("subject", "problem"),
    [
        ("0" * 16, preview.Problem.JOB_UNKNOWN),
        ("e" * 16, preview.Problem.JOB_ENDED),
        ("d" * 16, preview.Problem.JOB_NOT_WAITING),
        (_make_job("strange", _TASK), preview.Problem.QUEUE_UNKNOWN),
        (dataclasses.replace(_make_job("batch", _TASK), job_id="d" * 16), "job_exists"),
    ],
)
def test_problems(subject, problem):
    """Guards against an exception, or an empty answer, where there is nothing to preview."""
    current = speeds.make_state([8])
    speeds.add_job(current, "e" * 16, "batch", _TASK, _NOW_S)
    lifecycle.cancel_job(current, "e" * 16, _NOW_S)
    speeds.add_job(current, "d" * 16, "batch", _TASK, _NOW_S)
    speeds.schedule(current, _NOW_S)
    current.jobs["d" * 16].list_runs()[0].phase = _RUNNING
    with pytest.raises(preview.PreviewError) as raised:
        preview.preview(current, subject, _NOW_S, _NOW_S)
    assert raised.value.problem == problem


def test_jobs_that_may_not_start():
    """Guards against a timed job, a retry or a lost confirmation without its reason."""
    current = speeds.make_state([8])
    timed = _make_job("batch", _TASK, start_at_s=_NOW_S + 60.0)
    assert preview.preview(current, timed, _NOW_S, _NOW_S).due_in_s == 60.0
    job = speeds.add_job(current, _JOB_ID, "batch", _TASK, _NOW_S)
    job.steps[0, 0].not_before_s = _NOW_S + 1.0
    (step,) = preview.preview(current, _JOB_ID, _NOW_S, _NOW_S).steps
    assert step.reason is waiting.Reason.BACKOFF
    job.steps[0, 0].not_before_s = 0.0
    current.policy = state.Policy(max_operator_view_age_s=1.0)
    (step,) = preview.preview(current, _JOB_ID, _NOW_S, _NOW_S).steps
    assert (step.reason, step.fields) == (waiting.Reason.EVACUATED, {"confirmed": False})
