"""Headroom: room that is kept free for urgent work."""

import pytest

from lycheegate.jobs import (
    commands,
    headroom,
    lifecycle,
    model,
    runs,
    scheduling,
    state,
)

_CAPACITY = model.Resources(64_000, 128_000, 8)
_BATCH = model.Step(400, model.Resources(8_000, 8_000, 1), 6.0)
_URGENT = model.Step(3, model.Resources(8_000, 8_000, 8), 2.5, gang=True)
_WORKERS = 24
_ROUTES = {
    "batch": model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0),
    "urgent": model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.25),
}


_PEAK_PERIOD_S = headroom.PEAK_PERIOD_S


@pytest.mark.parametrize(
    ("after_s", "demand", "expected"),
    [
        (0.0, 2.0, 10.0),
        (0.0, 20.0, 20.0),
        (_PEAK_PERIOD_S, 2.0, 10.0),
        (2 * _PEAK_PERIOD_S - 0.1, 2.0, 10.0),
        (2 * _PEAK_PERIOD_S, 2.0, 2.0),
        (50 * _PEAK_PERIOD_S, 0.0, 0.0),
    ],
)
def test_peak_expires(after_s, demand, expected):
    """Guards against headroom that is kept free long after the last urgent job."""
    previous = headroom.UrgentDemand(10.0, 3.0, 50.0)
    found = headroom.update_demand(previous, demand, 50.0 + after_s)
    assert found.peak == expected


@pytest.mark.parametrize(
    ("need", "expected"),
    [
        (model.Resources(8_000, 8_000, 8), 1.0),
        (model.Resources(8_000, 8_000, 1), 0.125),
        (model.Resources(32_000, 8_000, 0), 0.5),
        (model.Resources(1_000, 96_000, 1), 0.75),
    ],
)
def test_share_is_the_largest_of_all_resources(need, expected):
    """Guards against a task that occupies a whole worker but is counted by its few cores."""
    assert headroom.compute_share(need, _CAPACITY) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("peak", "used", "expected"),
    [(100.0, 40.0, 60.0), (100.0, 140.0, 0.0), (900.0, 0.0, 150.0)],
)
def test_headroom_is_bounded(peak, used, expected):
    """Guards against a burst of urgent work that keeps all other work from starting."""
    demand = headroom.UrgentDemand(peak)
    assert headroom.compute_headroom(demand, used, 1_000.0) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("used", "need", "expected"),
    [(0.0, 500.0, True), (400.0, 100.0, True), (800.0, 60.0, False), (800.0, 50.0, True)],
)
def test_admission_beside_headroom(used, need, expected):
    """Guards against work that waits although half of the capacity is free."""
    assert headroom.admits(headroom.ServiceCapacity(1_000.0, used, 150.0), need) is expected


def _make_state() -> state.SchedulerState:
    current = state.SchedulerState(1, state.Policy(), 0.0)
    account = model.Account("acme", frozenset(), _WORKERS * 8)
    services = {"render": model.Service("render")}
    current.configuration = model.Configuration(1, _ROUTES, services, {"acme": account}, {}, 1)
    for number in range(_WORKERS):
        worker_id = f"w{number:02}"
        worker = state.WorkerState(
            worker_id, "render", "a:1", "z", f"r{number // 8}", frozenset(), _CAPACITY, _CAPACITY
        )
        worker.incarnation.confirmed = True
        current.workers[worker_id] = worker
    return current


def _submit(current: state.SchedulerState, number: int, step: model.Step, route: str) -> str:
    job = model.Job(f"{number:016x}", route, "acme", "x", (step,), 0.0)
    lifecycle.add_job(current, state.JobState(job, _ROUTES[route]), 0.0, 0.0)
    return job.job_id


def _schedule(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    for worker in current.workers.values():
        worker.reported_at_s = now_s
    found = scheduling.schedule(current, now_s, now_s)
    for job in current.jobs.values():
        for run in job.list_runs():
            run.phase = max(run.phase, state.RunPhase.RUNNING)
    return found


def _finish(current: state.SchedulerState, job_id: str) -> None:
    """Ends all runs of a job, which frees their room, and removes the job."""
    job = current.jobs[job_id]
    for run in job.list_runs():
        runs.end_run(current, run, runs.End.DONE, "done", 0.0)
    del current.jobs[job_id]


def test_later_urgent_jobs_need_no_preemption():
    """Guards against urgent jobs that each preempt long work.

    The load is more batch work than fits and, every 2.5 s, an urgent gang that needs three
    workers. Only the first gang has to preempt; the room that it frees is kept for the next ones.
    """
    current = _make_state()
    _submit(current, 0, _BATCH, "batch")
    _schedule(current, 1.0)
    preempted: list[int] = []
    for number in range(1, 7):
        now_s = 2.5 * number
        job_id = _submit(current, number, _URGENT, "urgent")
        for _ in range(4):
            found = _schedule(current, now_s)
            preempted += [number for item in found if isinstance(item, commands.StopRun)]
            _end_stopped(current)
            now_s += 0.2
        assert len(current.jobs[job_id].list_runs()) == _URGENT.count
        _finish(current, job_id)
        _schedule(current, now_s + 0.1)
    assert set(preempted) <= {1}


def _end_stopped(current: state.SchedulerState) -> None:
    for job in list(current.jobs.values()):
        for run in job.list_runs():
            if run.stop_sent_at_s is not None:
                runs.end_run(current, run, runs.End.INTERRUPTED, "stopped", 0.0)


def test_batch_work_gets_the_headroom_back():
    """Guards against headroom that stays unused once no more urgent work arrives."""
    current = _make_state()
    _submit(current, 0, _BATCH, "batch")
    job_id = _submit(current, 1, _URGENT, "urgent")
    _schedule(current, 1.0)
    _finish(current, job_id)
    _schedule(current, 1.2)
    kept = sum(worker.room.accelerators for worker in current.workers.values())
    assert kept == _URGENT.count * 8
    for second in range(2, 40):
        _schedule(current, float(second))
    assert sum(worker.room.accelerators for worker in current.workers.values()) == 0


def test_large_gang_is_not_blocked_by_headroom():
    """Guards against a gang that never starts because it does not fit beside the headroom."""
    current = _make_state()
    urgent = _submit(current, 1, _URGENT, "urgent")
    _schedule(current, 1.0)
    _finish(current, urgent)
    gang = model.Step(12, model.Resources(8_000, 8_000, 8), 11.0, gang=True)
    job_id = _submit(current, 2, gang, "batch")
    _schedule(current, 1.2)
    assert len(current.jobs[job_id].list_runs()) == gang.count
    assert gang.count <= headroom.ALWAYS_ALLOWED_RATIO * _WORKERS


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"count": 24, "gang": True}, 24.0),
        ({"count": 25, "gang": True}, 0.0),
        ({"count": 30}, 30.0),
        ({"count": 2, "gang": True, "label": "other"}, 0.0),
        ({"count": 26, "gang": True, "max_per_worker": 1, "need": _BATCH.need}, 0.0),
        ({"count": 1, "need": model.Resources(64_001, 1, 0)}, 0.0),
    ],
)
def test_only_work_that_fits_raises_the_demand(fields, expected):
    """Guards against headroom for urgent work that no worker could hold, which serves nobody.

    It is still kept while a worker of a gang that fits is silent for a moment.
    """
    current = _make_state()
    _submit(current, 1, model.Step(**{"need": _URGENT.need, "estimate_s": 1.0} | fields), "urgent")
    for worker in current.workers.values():
        worker.room = model.Resources()
    _schedule(current, 100.0)
    assert current.urgent_demand["render"].peak == pytest.approx(expected)
    current.workers["w00"].unreachable_until_s = 200.0
    _schedule(current, 102.0)
    assert current.urgent_demand["render"].peak == pytest.approx(expected)
