"""Quarantine of failing workers and detection of stalled runs."""

import pytest

from lycheegate.jobs import health, model, state

_NEED = model.Resources(1, 1, 1)


def _make_worker():
    capacity = model.Resources(8, 8, 8)
    return state.WorkerState("w", "s", "h:1", "z", "r", frozenset(), capacity, capacity)


def _make_state(worker):
    current = state.SchedulerState(1, state.Policy(), 0.0)
    current.workers["w"] = worker
    return current


def _make_failed_run(job_id, running_since_s=None):
    task = model.TaskKey(job_id, 0, 0, 0)
    run = state.Run(task, "w", 1, _NEED, state.RunPhase.RUNNING, 0.0)
    run.running_since_s = running_since_s
    return run


def _add_run(worker, percent, phase_began_at_s, advanced_at_s, phase=state.RunPhase.RUNNING):
    task = model.TaskKey("j", 0, 0, len(worker.runs))
    run = state.Run(task, "w", 1, _NEED, phase, phase_began_at_s, percent, advanced_at_s)
    worker.runs[task] = run


@pytest.mark.parametrize(
    ("percent", "advanced_at_s", "now_s", "expected"),
    [
        (40, 4.0, 5.0, False),
        (40, 4.0, 5.7, True),
        # One percent takes 40 s here, so 100 s without progress is no stall.
        (10, 400.0, 500.0, False),
        (10, 400.0, 561.0, True),
        (0, 0.0, 60.0, False),
        (100, 4.0, 60.0, False),
    ],
)
def test_stalled_worker_is_detected(percent, advanced_at_s, now_s, expected):
    """Guards against new work on workers whose runs make no progress, and against false alarms."""
    worker = _make_worker()
    _add_run(worker, percent, 0.0, advanced_at_s)
    assert health.is_stalled(worker, now_s) is expected


def test_stopping_run_does_not_count_as_stalled():
    """Guards against a worker that is avoided because one of its runs takes long to stop."""
    worker = _make_worker()
    _add_run(worker, 40, 0.0, 4.0, state.RunPhase.STOPPING)
    assert not health.is_stalled(worker, 60.0)


@pytest.mark.parametrize(
    ("jobs", "expected"), [(["a"], False), (["a", "a", "a"], False), (["a", "b"], True)]
)
def test_quarantine_needs_failures_of_two_jobs(jobs, expected):
    """Guards against a quarantine that a single bad job causes, and a bad worker that gets none."""
    worker = _make_worker()
    current = _make_state(worker)
    for job_id in jobs:
        health.record_failure(current, _make_failed_run(job_id), 0, 10.0)
    assert health.is_quarantined(worker, 10.1) is expected


def test_quarantine_grows_up_to_a_maximum_and_ends_on_success():
    """Guards against a failing worker that is given work as often as a healthy one."""
    worker = _make_worker()
    current = _make_state(worker)
    ends = []
    for number in range(6):
        health.record_failure(current, _make_failed_run(f"a{number}"), 0, 10.0)
        health.record_failure(current, _make_failed_run(f"b{number}"), 0, 10.0)
        ends.append(worker.quarantined_until_s)
    assert ends == sorted(ends)
    assert ends[-1] - 10.0 == health.MAX_QUARANTINE_S
    health.record_success(current, "w", 10.0)
    assert not health.is_quarantined(worker, 10.1)


@pytest.mark.parametrize(
    ("running_since_s", "other_workers", "expected"),
    [(9.9, 0, True), (None, 0, True), (9.4, 0, False), (9.9, 2, True), (9.9, 3, False)],
    ids=["early", "unconfirmed", "late", "third_worker", "fourth_worker"],
)
def test_early_failure_makes_a_worker_suspected(running_since_s, other_workers, expected):
    """Guards against work on workers that fail it at once, and workers blamed for bad jobs."""
    worker = _make_worker()
    current = _make_state(worker)
    run = _make_failed_run("a", running_since_s)
    decisions = health.record_failure(current, run, other_workers, 10.0)
    assert [decision.event for decision in decisions] == ["worker_suspected"] * expected
    assert health.is_suspected(worker, 10.1) is expected
    assert not health.is_suspected(worker, 10.0 + health.SUSPICION_S)
    health.record_success(current, "w", 10.0)
    assert not health.is_suspected(worker, 10.1)


def test_list_of_suspects_is_bounded():
    """Guards against a record of suspected workers that is too large for the store."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    current.inherited_suspects = {f"w{number}": 20.0 + number for number in range(1000)}
    listed = health.list_suspects(current, 10.0)
    assert len(listed) == health.MAX_LISTED_SUSPECTS
    assert min(listed.values()) == 810.0
    assert health.list_suspects(current, 2000.0) == {}
