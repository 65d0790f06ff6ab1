"""Estimates of the remaining time of runs."""

from lycheegate.jobs import state

__all__ = [
    "compute_s_per_percent",
    "estimate_remaining_s",
    "estimate_unsaved_s",
    "predict_end_s",
    "predict_remaining_s",
]

OVERDUE_REMAINING_S = 2.0
"""Assumed remaining time of a run that has exceeded its estimated duration."""
NEARLY_DONE_S = 0.25
"""Remaining time below which a run is nearly done, so that stopping it would gain nothing."""


def estimate_remaining_s(
    step: state.StepState, run: state.Run, now_s: float, duration_s: float | None = None
) -> float:
    """Returns the remaining time of a run, from its reported progress or its expected duration.

    Args:
        step: Its step.
        run: The run.
        now_s: Time on the scheduler's clock.
        duration_s: Its learned duration, or None for the declared one.
    """
    remaining_s = predict_remaining_s(run, now_s)
    if remaining_s is None:
        expected_s = step.step.estimate_s if duration_s is None else duration_s
        remaining_s = expected_s - (now_s - run.phase_began_at_s)
    # Once a run exceeds its estimate, the estimate says nothing about when it will end.
    return remaining_s if remaining_s > 0.0 else OVERDUE_REMAINING_S


def predict_remaining_s(run: state.Run, now_s: float) -> float | None:
    """Returns the remaining time extrapolated from a run's progress, or None without progress.

    It is negative if the run should have ended.
    """
    s_per_percent = compute_s_per_percent(run)
    if s_per_percent is None:
        return None
    return (100 - run.percent) * s_per_percent - (now_s - run.advanced_at_s)


def predict_end_s(run: state.Run, duration_s: float | None, now_s: float) -> float | None:
    """Returns the remaining time of a run if it is known well enough to wait for its end.

    Args:
        run: The run.
        duration_s: Its learned duration, or None if there is too little evidence for it.
        now_s: Time on the scheduler's clock.

    Returns:
        The remaining time, or None if neither progress nor the learned duration tells. A run that
        should have ended may last any time.
    """
    remaining_s = predict_remaining_s(run, now_s)
    if remaining_s is None and duration_s is not None and run.phase is state.RunPhase.RUNNING:
        remaining_s = duration_s - (now_s - run.phase_began_at_s)
    return remaining_s if remaining_s is not None and remaining_s >= 0.0 else None


def compute_s_per_percent(run: state.Run) -> float | None:
    """Returns the average time that one percent of progress takes, or None without progress.

    A run that resumes from a checkpoint, or that an earlier scheduler started, reports progress
    from before this scheduler observed it. Its progress counts from its first report.
    """
    if run.baseline_percent is None or run.percent <= run.baseline_percent:
        return None
    began_at_s = run.phase_began_at_s if run.baseline_at_s is None else run.baseline_at_s
    if run.advanced_at_s <= began_at_s:
        return None
    return (run.advanced_at_s - began_at_s) / (run.percent - run.baseline_percent)


def estimate_unsaved_s(run: state.Run, now_s: float) -> float:
    """Returns the running time that is lost if a run ends now, or ended now, without success.

    A checkpoint preserves the work of a run but for the time since it was made, which the scheduler
    does not know; it counts as 0.
    """
    if run.running_since_s is None or run.checkpoint:
        return 0.0
    return max(0.0, now_s - run.running_since_s)
