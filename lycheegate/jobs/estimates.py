"""How long runs will go on."""

from lycheegate.jobs import state

__all__ = ["estimate_left_s", "is_nearly_done"]

UNKNOWN_LEFT_S = 2.0
"""Remaining time of a run that is overdue."""
NEARLY_DONE_S = 0.25


def estimate_left_s(step: state.StepState, run: state.Run, now_s: float) -> float:
    """Returns how long a run will go on, from its reported progress or its declared duration."""
    whole_s = _estimate_whole_s(run)
    if whole_s is None:
        whole_s = step.step.estimate_s
    # A run that goes on beyond its estimate tells nothing about its end.
    left_s = whole_s - (now_s - run.since_s)
    return left_s if left_s > 0.0 else UNKNOWN_LEFT_S


def is_nearly_done(run: state.Run, now_s: float) -> bool:
    """Returns whether a run's reported progress, not its declared duration, says it is ending."""
    whole_s = _estimate_whole_s(run)
    return whole_s is not None and 0.0 <= whole_s - (now_s - run.since_s) < NEARLY_DONE_S


def _estimate_whole_s(run: state.Run) -> float | None:
    if run.percent <= 0 or run.advanced_at_s <= run.since_s:
        return None
    return (run.advanced_at_s - run.since_s) * 100.0 / run.percent
