"""Estimates of the remaining time of runs."""

import pytest

from lycheegate.jobs import estimates, lifecycle, model, runs, scheduling, state, workers, writes

_NEED = model.Resources(1_000, 1_000, 1)
_CAPACITY = model.Resources(8_000, 8_000, 8)
_ROUTE = model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0)


def _make_state(checkpoint: str = "") -> tuple[state.SchedulerState, state.Run]:
    """Returns a state with one run, which was started at 1 s."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    current.workers["w0"] = state.WorkerState(
        "w0", "render", "a:1", "z", "r0", frozenset(), _CAPACITY, _CAPACITY, confirmed=True
    )
    step = model.Step(1, _NEED, 60.0, checkpoints=True)
    job = state.JobState(model.Job("0" * 16, "batch", "acme", "x", (step,), 0.0), _ROUTE)
    lifecycle.add_job(current, job, 0.0, 0.0)
    job.steps[0, 0].checkpoints[0] = checkpoint
    current.workers["w0"].reported_at_s = 1.0
    scheduling.schedule(current, 1.0, 1.0)
    writes.complete_batch(current, writes.collect_batch(current, 1.0), 2, 1.0)
    (run,) = job.list_runs()
    runs.record_start_confirmed(current, run, 1.0)
    return current, run


def _report(current: state.SchedulerState, run: state.Run, percent: int, now_s: float) -> None:
    listed = workers.ListedRun(run.task, "t", run.number, "", percent)
    workers.apply_report(current, workers.Report("w0", 1, 0, (listed,), (), now_s, now_s))


@pytest.mark.parametrize(
    ("checkpoint", "reports", "now_s", "expected_s"),
    [
        ("", [], 2.0, None),
        ("", [(20, 2.0)], 2.0, 4.0),
        ("", [(20, 2.0), (40, 3.0)], 3.5, 2.5),
        ("c", [(60, 2.0)], 2.0, None),
        ("c", [(60, 2.0), (70, 4.0)], 4.0, 6.0),
        ("c", [(0, 1.5), (60, 2.0), (70, 4.0)], 5.0, 5.0),
    ],
)
def test_predict_remaining(checkpoint, reports, now_s, expected_s):
    """Guards against a resumed run that counts as nearly done, so that urgent work waits for it."""
    current, run = _make_state(checkpoint)
    for percent, at_s in reports:
        _report(current, run, percent, at_s)
    found_s = estimates.predict_remaining_s(run, now_s)
    assert found_s == (None if expected_s is None else pytest.approx(expected_s))
