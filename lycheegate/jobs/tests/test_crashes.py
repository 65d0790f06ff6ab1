"""Crashes of workers: for which tasks they count, and how these are tried again."""

import pytest

from lycheegate.jobs import (
    commands,
    crashes,
    leases,
    lifecycle,
    model,
    progress,
    runs,
    scheduling,
    state,
    workers,
    writes,
)

_LIMITS = progress.RecordLimits(49_152, 600_000)
_CAPACITY = model.Resources(8_000, 8_000, 8)
_NEED = model.Resources(1_000, 1_000, 1)
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
_BORN_MS = 1_000


def _add_worker(current: state.SchedulerState, worker_id: str) -> state.WorkerState:
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
    worker.incarnation.born_ms = _BORN_MS
    current.workers[worker_id] = worker
    return worker


def _make_state(worker_count: int = 1) -> state.SchedulerState:
    current = state.SchedulerState(1, state.Policy(), 0.0)
    for number in range(worker_count):
        _add_worker(current, f"w{number}")
    return current


def _add_job(current: state.SchedulerState, job_id: str, **fields) -> state.JobState:
    step = model.Step(fields.pop("count", 1), _NEED, 60.0, **fields)
    job = state.JobState(model.Job(job_id, "batch", "acme", "x", (step,), 0.0), _ROUTE)
    lifecycle.add_job(current, job, 0.0, 0.0)
    return job


def _start(current: state.SchedulerState, now_s: float) -> None:
    """Places what waits, and sends the orders."""
    for worker in current.workers.values():
        worker.reported_at_s = now_s
    current.schedule_due = True
    scheduling.schedule(current, now_s, now_s)
    writes.complete_batch(current, writes.collect_batch(current, now_s), 2, now_s)


def _report(current: state.SchedulerState, born_ms: int, now_s: float, *listed: state.Run) -> list:
    """Applies a report of w0 that lists some runs."""
    rows = tuple(workers.ListedRun(r.task, "", r.number, "", 1) for r in listed)
    report = workers.Report("w0", int(now_s * 1000), born_ms, rows, (), now_s, now_s)
    return workers.apply_report(current, report)


@pytest.mark.parametrize(
    ("confirmed", "listed_after_s", "restarted", "expected"),
    [
        (True, None, True, 1),
        (True, crashes.SURVIVAL_S / 2, True, 1),
        (True, crashes.SURVIVAL_S, True, 0),
        (True, None, False, 0),
        (False, None, True, 0),
    ],
    ids=["crashed", "listed_early", "survived", "not_restarted", "unanswered"],
)
def test_crash_counts_soon_after_a_confirmed_start(confirmed, listed_after_s, restarted, expected):
    """Guards against tasks that are given up because their workers crash for another reason."""
    current = _make_state()
    job = _add_job(current, "0" * 16)
    _start(current, 1.0)
    (run,) = job.list_runs()
    run.confirmed_at_s = 2.0
    if confirmed:
        runs.record_start_confirmed(current, run, 2.0)
    if listed_after_s is not None:
        _report(current, _BORN_MS, 2.0 + listed_after_s, run)
    _report(current, _BORN_MS + restarted, 4.0)
    assert job.list_runs() == []
    assert crashes.get_crash_weight(job.steps[0, 0], 0) == expected * crashes.CRASH_WEIGHT


@pytest.mark.parametrize(
    ("registered", "draining", "expected"),
    [(True, False, 0), (False, False, 1), (False, True, 0)],
    ids=["silent", "unregistered", "departed"],
)
def test_expired_lease_counts_only_for_a_worker_that_is_gone(registered, draining, expected):
    """Guards against crashes that are counted for workers that are only silent or have left."""
    current = _make_state()
    job = _add_job(current, "0" * 16)
    _start(current, 1.0)
    (run,) = job.list_runs()
    runs.record_start_confirmed(current, run, 2.0)
    worker = current.workers["w0"]
    worker.registered, worker.draining = registered, draining
    leases.check_leases(current, 60.0)
    assert job.list_runs() == []
    assert crashes.get_crash_weight(job.steps[0, 0], 0) == expected * crashes.CRASH_WEIGHT


@pytest.mark.parametrize(
    ("others", "found_at_s", "state_of_others", "expected"),
    [
        (2, 9.9, {}, crashes.WEIGHT_AMONG_OTHERS),
        (2, 10.1, {}, crashes.WEIGHT_AMONG_OTHERS),
        (1, 9.9, {}, crashes.CRASH_WEIGHT),
        (2, 7.9, {}, crashes.CRASH_WEIGHT),
        (2, 12.1, {}, crashes.CRASH_WEIGHT),
        (2, 9.9, {"draining": True}, crashes.CRASH_WEIGHT),
        (2, 9.9, {"reported_at_s": 4.0}, crashes.CRASH_WEIGHT),
    ],
    ids=["before", "after", "one", "long_before", "long_after", "departed", "long_silent"],
)
def test_crash_weighs_less_among_others(others, found_at_s, state_of_others, expected):
    """Guards against jobs that fail because many workers crash for another reason.

    Other workers without new runs crash at about the same time, and are found before or after.
    """
    current = _make_state()
    job = _add_job(current, "0" * 16)
    _start(current, 7.0)
    (run,) = job.list_runs()
    runs.record_start_confirmed(current, run, 7.0)

    def find_others() -> None:
        for number in range(others):
            worker = _add_worker(current, f"other{number}")
            worker.reported_at_s = state_of_others.get("reported_at_s", 7.0)
            worker.draining = state_of_others.get("draining", False)
            workers.handle_restart(current, worker, _BORN_MS + 1, found_at_s)

    if found_at_s < 10.0:
        find_others()
    runs.end_run(current, run, runs.End.CRASHED, "worker_replaced", 10.0)
    if found_at_s > 10.0:
        find_others()
    assert crashes.get_crash_weight(job.steps[0, 0], 0) == expected


def test_counted_crashes_are_forgotten():
    """Guards against a list of crashes that grows for as long as a term lasts."""
    current = _make_state()
    job = _add_job(current, "0" * 16)
    for number in range(2):
        _start(current, 20.0 * number)
        (run,) = job.list_runs()
        runs.record_start_confirmed(current, run, 20.0 * number)
        runs.end_run(current, run, runs.End.CRASHED, "worker_replaced", 20.0 * number + 3.0)
        assert len(current.counted_crashes) == 1


def test_gang_counts_once_for_each_run():
    """Guards against a gang that is given up after one run whose members crash several workers."""
    current = _make_state(3)
    job = _add_job(current, "0" * 16, count=3, gang=True)
    _start(current, 1.0)
    step = job.steps[0, 0]
    members = job.list_runs()
    for run in members:
        runs.record_start_confirmed(current, run, 1.0)
    for run in members:
        runs.end_run(current, run, runs.End.CRASHED, "worker_replaced", 4.0)
    assert step.crash_weights == {0: crashes.CRASH_WEIGHT}
    assert job.outcome is None


@pytest.mark.parametrize("long_running", [False, True])
def test_job_fails_after_several_crashes(long_running):
    """Guards against a task that is started for ever, and against a log that names no cause."""
    current = _make_state(4)
    job = _add_job(current, "0" * 16, long_running=long_running)
    result: list[commands.Command] = []
    for number in range(3):
        assert job.outcome is None
        _start(current, 10.0 * number)
        (run,) = job.list_runs()
        runs.record_start_confirmed(current, run, 10.0 * number)
        ended_at_s = 10.0 * number + 3.0
        result += runs.end_run(current, run, runs.End.CRASHED, "worker_replaced", ended_at_s)
        verdict_at_s = job.steps[0, 0].not_before_s
        result += lifecycle.advance_jobs(current, verdict_at_s - 0.01, 0.0)
        assert job.outcome is None
        result += lifecycle.advance_jobs(current, verdict_at_s, 0.0)
    assert job.outcome is model.Outcome.FAILED
    events = [c.event for c in result if isinstance(c, commands.Decision)]
    assert events.count("worker_crashed") == 3
    assert events[-2:] == ["task_given_up", "job_failed"]


def test_long_running_task_is_cleared_once_it_has_run_for_a_while():
    """Guards against long-running work that is given up after unrelated crashes, months apart."""
    current = _make_state()
    job = _add_job(current, "0" * 16, long_running=True)
    step = job.steps[0, 0]
    step.crash_weights = {0: 2}
    _start(current, 1.0)
    (run,) = job.list_runs()
    runs.record_start_confirmed(current, run, 1.0)
    _report(current, _BORN_MS, 2.0, run)
    assert step.crash_weights == {0: 2}
    assert current.workers["w0"].trials == set()
    _report(current, _BORN_MS, 20.0, run)
    assert step.crash_weights == {}
    assert job.dirty


def test_suspect_task_is_tried_apart_from_new_runs():
    """Guards against a crash that counts for several tasks although one of them was tried before.

    Load pattern: tasks wait beside one that has crashed a worker, while there is room for all of
    them on one worker.
    """
    current = _make_state(3)
    old = _add_job(current, "0" * 16)
    _start(current, 1.0)
    (old_run,) = old.list_runs()
    old_run.has_survived = True
    suspect = _add_job(current, "1" * 16)
    suspect.steps[0, 0].crash_weights = {0: crashes.CRASH_WEIGHT}
    others = _add_job(current, "2" * 16, count=4)
    _start(current, 2.0)
    (suspect_run,) = suspect.list_runs()
    placed_beside = {run.worker_id for run in others.list_runs()}
    assert len(others.list_runs()) == 4
    # The worker without any runs is preferred to the one where another task would be lost.
    assert suspect_run.worker_id not in {old_run.worker_id, *placed_beside}
    late = _add_job(current, "3" * 16, count=30)
    _start(current, 3.0)
    assert suspect_run.worker_id not in {run.worker_id for run in late.list_runs()}


def test_next_holder_reads_crashes_and_incarnations():
    """Guards against crashes that the next holder does not know or does not notice."""
    current = _make_state(2)
    job = _add_job(current, "0" * 16)
    job.steps[0, 0].crash_weights = {0: crashes.CRASH_WEIGHT}
    job.steps[0, 0].last_crashed_numbers = {0: 1}
    job.steps[0, 0].run_numbers = {0: 1}
    _start(current, 1.0)
    restored = state.JobState(job.job, _ROUTE)
    progress.decode_progress(restored, progress.encode_progress(job, _LIMITS).data, 5.0)
    (run,) = restored.list_runs()
    assert run.worker_born_ms == _BORN_MS
    following = state.SchedulerState(2, state.Policy(), 5.0)
    lifecycle.add_job(following, restored, 5.0, 5.0)
    registration = workers.Registration(
        run.worker_id, "render", "a:1", "z", "r0", frozenset(), _CAPACITY, False, _BORN_MS + 1
    )
    workers.apply_registrations(following, [registration], 5.0)
    assert following.workers[run.worker_id].trials == {run.task}
    report = workers.Report(run.worker_id, 1_000, _BORN_MS + 1, (), (), 6.0, 6.0)
    workers.apply_report(following, report)
    assert crashes.get_crash_weight(restored.steps[0, 0], 0) == 2 * crashes.CRASH_WEIGHT


@pytest.mark.parametrize(
    ("crashed", "total", "outcome"),
    [
        (["w0", "w0", "w0"], 11, None),
        (["w0", "w0", "w0", "w0"], 14, None),
        (["w0", "w0", "w0", "w0", "w0"], 17, model.Outcome.FAILED),
        (["w0", "w1", "w0"], 13, None),
        (["w0", "w1", "w0", "w1"], 16, model.Outcome.FAILED),
        (["w0", "w1", "w2"], 15, model.Outcome.FAILED),
    ],
)
def test_repeated_crashes_of_one_worker_weigh_less(crashed, total, outcome):
    """Guards against a job that is shown as failed because one worker is faulty.

    Five crashes on one worker give the task up all the same, since it may crash that worker.
    """
    current = _make_state(3)
    job = _add_job(current, "0" * 16)
    for number, worker_id in enumerate(crashed):
        now_s = 10.0 * number
        for worker in current.workers.values():
            worker.registered = worker.worker_id == worker_id
        _start(current, now_s)
        (run,) = job.list_runs()
        assert run.worker_id == worker_id
        runs.record_start_confirmed(current, run, now_s)
        runs.end_run(current, run, runs.End.CRASHED, "absent", now_s + 1.0)
        lifecycle.advance_jobs(current, now_s + 9.0, 0.0)
    assert job.outcome is outcome
    assert crashes.get_crash_weight(job.steps[0, 0], 0) == total


def test_task_is_tried_elsewhere_after_a_crash():
    """Guards against a task that is started again on the worker that has just crashed under it."""
    current = _make_state(3)
    job = _add_job(current, "0" * 16)
    used = []
    for number in range(3):
        _start(current, 10.0 * number)
        (run,) = job.list_runs()
        used.append(run.worker_id)
        runs.record_start_confirmed(current, run, 10.0 * number)
        runs.end_run(current, run, runs.End.CRASHED, "absent", 10.0 * number + 1.0)
    assert len(set(used)) == 3
