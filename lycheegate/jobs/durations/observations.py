"""Observations of durations, from reports and ends of runs."""

from lycheegate.jobs import commands, state

__all__ = ["observe_end", "observe_report"]


def observe_report(
    current: state.SchedulerState, worker: state.WorkerState, now_s: float
) -> list[commands.Command]:
    """Learns from the progress of the runs on a worker, after its report was applied."""
    return []


def observe_end(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    now_s: float,
) -> None:
    """Learns from a run that has ended as done."""
