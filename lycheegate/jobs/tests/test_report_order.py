"""Reports of one worker that overtake each other."""

from lycheegate.jobs import model, state, workers

JOB_ID = "0" * 16


def _make_worker_state() -> tuple[state.SchedulerState, state.WorkerState]:
    """Returns a state with one worker, which has reported."""
    capacity = model.Resources(64_000, 64_000, 64)
    current = state.SchedulerState(2, state.Policy(), 1.0)
    worker = state.WorkerState("w0", "render", "a:1", "z", "r0", frozenset(), capacity, capacity)
    worker.incarnation.confirmed = True
    current.workers["w0"] = worker
    route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
    step = model.Step(1, model.Resources(1_000, 1_000, 1), 9.0)
    job = model.Job(JOB_ID, "batch", "acme", "x", (step,), 0.0)
    current.jobs[JOB_ID] = state.JobState(job, route)
    return current, worker


def test_stray_run_outlasts_a_report_that_may_be_older():
    """Guards against a task that starts again while its stray run goes on.

    A poll waits for an end at its worker, while a report is requested beside it. The answers
    overtake each other. The report may have been made before the stray run began, although it was
    requested later than the poll.
    """
    current, _ = _make_worker_state()
    task = model.TaskKey(JOB_ID, 0, 0, 0)
    stray = workers.ListedRun(task, str(task), 3, "", 10)
    poll = workers.Report("w0", 5_000, 1, (stray,), (), 10.0, 11.4)
    additional = workers.Report("w0", 4_700, 1, (), (), 11.0, 11.5)
    workers.apply_report(current, poll)
    workers.apply_report(current, additional)
    assert current.stray_tasks == {task: 1}


def test_unknown_runs_outlast_a_report_that_may_be_older():
    """Guards against work that is placed beside a run of unknown size, which is still present."""
    current, worker = _make_worker_state()
    unknown = workers.ListedRun(None, "odd", 3, "", 10)
    workers.apply_report(current, workers.Report("w0", 5_000, 1, (unknown,), (), 10.0, 11.4))
    workers.apply_report(current, workers.Report("w0", 4_700, 1, (), (), 11.0, 11.5))
    assert worker.unknown_runs


def test_list_after_a_clock_that_was_reset_counts():
    """Guards against a worker whose lists are ignored for good after a restart without a birth."""
    current, worker = _make_worker_state()
    unknown = workers.ListedRun(None, "odd", 3, "", 10)
    workers.apply_report(current, workers.Report("w0", 900_000, 0, (unknown,), (), 10.0, 10.1))
    workers.apply_report(current, workers.Report("w0", 1_000, 0, (), (), 10.1, 11.4))
    assert not worker.unknown_runs
