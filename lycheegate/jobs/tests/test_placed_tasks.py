"""Number of tasks that one scheduling pass places."""

import pytest

from lycheegate.jobs import lifecycle, model, scheduling, state

_CAPACITY = model.Resources(4_000_000, 4_000_000, 1_000)
_TINY = model.Resources(100, 100, 0)
_BATCH = model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0)
_URGENT = model.Route("urgent", "h", "/u/", "render", 0, 3, 3.0, 3.0)
_LIMIT = scheduling.MAX_PLACED_TASKS


def _make_state(workers: int = 2) -> state.SchedulerState:
    current = state.SchedulerState(1, state.Policy(), 0.0)
    for number in range(workers):
        worker_id = f"w{number}"
        worker = state.WorkerState(
            worker_id,
            "render",
            "a:1",
            "z",
            "r0",
            frozenset(),
            _CAPACITY,
            _CAPACITY,
            incarnation=state.Incarnation(confirmed=True),
        )
        worker.reported_at_s = 1.0
        current.workers[worker_id] = worker
    return current


def _add_job(
    current: state.SchedulerState, job_id: str, count: int, route=_BATCH, **fields
) -> state.JobState:
    step = model.Step(count, _TINY, 30.0, **fields)
    job = state.JobState(model.Job(job_id, route.name, "acme", "x", (step,), 0.0), route)
    lifecycle.add_job(current, job, 0.0, 0.0)
    return job


@pytest.mark.parametrize("count", [1, _LIMIT, _LIMIT + 1, 20 * _LIMIT])
def test_tasks_of_a_large_job_are_placed_over_several_passes(count):
    """Guards against a term that expires while thousands of start orders are sent at once."""
    current = _make_state()
    job = _add_job(current, "0" * 16, count)
    passes = 0
    while len(job.list_runs()) < count:
        before = len(job.list_runs())
        scheduling.schedule(current, 1.0, 1.0)
        passes += 1
        assert 0 < len(job.list_runs()) - before <= _LIMIT
        assert current.schedule_due == (len(job.list_runs()) - before == _LIMIT)
    assert passes == -(-count // _LIMIT)


def test_small_jobs_do_not_wait_for_a_large_one():
    """Guards against ordinary jobs that wait until all tasks of a large job have started."""
    current = _make_state()
    large = _add_job(current, "0" * 16, 20 * _LIMIT)
    scheduling.schedule(current, 1.0, 1.0)
    small = _add_job(current, "1" * 16, 1)
    scheduling.schedule(current, 1.1, 1.1)
    assert len(small.list_runs()) == 1
    assert len(large.list_runs()) == 2 * _LIMIT - 1


@pytest.mark.parametrize("gang", [False, True])
def test_urgent_tasks_do_not_wait_for_others(gang):
    """Guards against urgent work that waits, although it fits, because other tasks were placed."""
    current = _make_state()
    _add_job(current, "0" * 16, 2 * _LIMIT)
    urgent = _add_job(current, "1" * 16, 3 * _LIMIT, _URGENT, gang=gang)
    scheduling.schedule(current, 1.0, 1.0)
    assert len(urgent.list_runs()) == 3 * _LIMIT


def test_urgent_tasks_of_a_large_job():
    """Guards against a term that expires while thousands of urgent tasks are ordered at once."""
    current = _make_state()
    urgent = _add_job(current, "1" * 16, 2 * scheduling.MAX_PLACED_URGENT_TASKS, _URGENT)
    for number in (1, 2):
        scheduling.schedule(current, 1.0, 1.0)
        assert len(urgent.list_runs()) == number * scheduling.MAX_PLACED_URGENT_TASKS


def test_gang_is_placed_as_a_whole():
    """Guards against a gang that is larger than the limit and is never placed."""
    current = _make_state()
    gang = _add_job(current, "0" * 16, 2 * _LIMIT, gang=True)
    scheduling.schedule(current, 1.0, 1.0)
    assert len(gang.list_runs()) == 2 * _LIMIT
