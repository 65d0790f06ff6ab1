"""Estimates of the remaining time of runs."""

from lycheegate.jobs import state

__all__ = ["estimate_remaining_s", "is_nearly_done"]

OVERDUE_REMAINING_S = 2.0
"""Assumed remaining time of a run that has exceeded its estimated duration."""
NEARLY_DONE_S = 0.25
"""Remaining time below which a run is nearly done."""


def estimate_remaining_s(step: state.StepState, run: state.Run, now_s: float) -> float:
    """Returns the remaining time of a run, from its reported progress or its declared duration."""
    total_s = _estimate_total_s(run)
    if total_s is None:
        total_s = step.step.estimate_s
    # Once a run exceeds its estimate, the estimate says nothing about when it will end.
    remaining_s = total_s - (now_s - run.phase_began_at_s)
    return remaining_s if remaining_s > 0.0 else OVERDUE_REMAINING_S


def is_nearly_done(run: state.Run, now_s: float) -> bool:
    """Returns whether a run will end soon according to its reported progress.

    Declared durations are not used for this.
    """
    total_s = _estimate_total_s(run)
    return total_s is not None and 0.0 <= total_s - (now_s - run.phase_began_at_s) < NEARLY_DONE_S


def _estimate_total_s(run: state.Run) -> float | None:
    """Returns the total duration extrapolated from a run's progress, or None without progress."""
    if run.percent <= 0 or run.advanced_at_s <= run.phase_began_at_s:
        return None
    return (run.advanced_at_s - run.phase_began_at_s) * 100.0 / run.percent
