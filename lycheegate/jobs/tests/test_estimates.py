"""Estimates of the remaining time of runs."""

import pytest

from lycheegate.jobs import (
    adequacy,
    estimates,
    evacuation,
    lifecycle,
    model,
    ordering,
    runs,
    scheduling,
    state,
    workers,
    writes,
)
from lycheegate.jobs.durations import factors, predictions

_NEED = model.Resources(1_000, 1_000, 1)
_CAPACITY = model.Resources(8_000, 8_000, 8)
_ROUTE = model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0)


def _make_state(checkpoint: str = "") -> tuple[state.SchedulerState, state.Run]:
    """Returns a state with one run, which was started at 1 s."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    current.workers["w0"] = state.WorkerState(
        "w0",
        "render",
        "a:1",
        "z",
        "r0",
        frozenset(),
        _CAPACITY,
        _CAPACITY,
        incarnation=state.Incarnation(confirmed=True),
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


def _fix_step_estimate(monkeypatch, ratio: float, observations: int) -> None:
    estimate = factors.Estimate(ratio, ratio, observations)
    monkeypatch.setattr(predictions, "get_step_estimate", lambda *_: estimate)


@pytest.mark.parametrize(
    ("is_uneven", "ratio", "slack_band", "is_late"),
    [(True, 1.0, 1, True), (True, 1.07, 0, False), (True, 3.0, 1, False), (False, 3.0, 1, True)],
)
def test_rank_depends_on_the_learned_duration(monkeypatch, is_uneven, ratio, slack_band, is_late):
    """Guards against a job that counts as late because it was declared as shorter than it is.

    Its objective is a multiple of its work. On even workers, only the declaration counts.
    """
    current, run = _make_state()
    job = current.jobs[run.task.job_id]
    declared = ordering.rank_job(current, job, set(), 130.0)
    if is_uneven:
        current.uneven_services = frozenset({job.route.service})
    _fix_step_estimate(monkeypatch, ratio, 5)
    rank = ordering.rank_job(current, job, set(), 130.0)
    assert (rank.slack_band, rank.is_late) == (slack_band, is_late)
    assert rank.size == pytest.approx((ratio if is_uneven else 1.0) * declared.size)
    assert ordering.compute_remaining_s(job) == 60.0


@pytest.mark.parametrize(
    ("step_runs", "worker_runs", "now_s", "percent", "expected_s"),
    [
        (5, 5, 21.0, 0, 10.0),
        (2, 5, 21.0, 0, None),
        (5, 0, 21.0, 0, None),
        (5, 5, 32.0, 0, None),
        (5, 5, 21.0, 40, 30.0),
    ],
    ids=["learned", "too_few_runs", "unknown_worker", "overdue", "progress"],
)
def test_end_is_predicted_from_learned_durations(
    monkeypatch, step_runs, worker_runs, now_s, percent, expected_s
):
    """Guards against urgent work that waits for an end which nothing proves to be near."""
    current, run = _make_state()
    job = current.jobs[run.task.job_id]
    current.uneven_services = frozenset({job.route.service})
    _fix_step_estimate(monkeypatch, 0.25, step_runs)
    worker = factors.Estimate(2.0, 2.0, worker_runs)
    monkeypatch.setattr(factors, "get_worker_estimate", lambda *_: worker)
    if percent:
        _report(current, run, percent, now_s)
    found = adequacy.FleetSpeeds(current, now_s, now_s)
    duration_s = found.predict_known_s(job, job.steps[0, 0], run.worker_id)
    assert estimates.predict_end_s(run, duration_s, now_s) == expected_s


@pytest.mark.parametrize(("ratio", "is_stopped"), [(1.0, True), (0.5, False)])
def test_run_that_ends_before_its_worker_leaves_goes_on(monkeypatch, ratio, is_stopped):
    """Guards against lost work: a run is stopped although its learned duration is short enough."""
    current, run = _make_state()
    current.uneven_services = frozenset({"render"})
    current.workers["w0"].draining, current.workers["w0"].leaves_at_s = True, 31.1
    _fix_step_estimate(monkeypatch, ratio, 5)
    evacuation.evacuate(current, 30.4)
    assert (run.phase is state.RunPhase.STOPPING) is is_stopped
