"""Evacuation of workers that are about to leave.

Handles loads in which many workers are removed at short notice. A run that is still on a worker
when it leaves is lost, and the scheduler knows this only once the run's lease has expired. Runs
that cannot end in time are therefore stopped in advance: runs that resume from a checkpoint and
long-running ones as late as possible, others at once because they start from the beginning anyway.
"""

from lycheegate.jobs import commands, estimates, runs, state
from lycheegate.jobs.durations import predictions

__all__ = ["evacuate", "list_departures"]

STOP_MARGIN_S = 0.6
"""Time for a stop order to reach the worker and for its report of the checkpoint to arrive, in
addition to the time that the worker takes to stop a run."""


MAX_LISTED_DEPARTURES = 200
"""Number of departures that fit into a row, also with the longest identifiers of workers."""


def list_departures(current: state.SchedulerState) -> dict[str, state.AnnouncedDeparture]:
    """Returns the departures of workers with runs, for the next scheduler; the next ones of many.

    Their registrations tell only how long they stayed when these were written, so that the next
    scheduler would expect them too late.
    """
    leaving = [
        worker
        for worker in current.workers.values()
        if worker.runs and worker.draining and worker.leaves_at_s is not None
    ]
    leaving.sort(key=lambda worker: worker.leaves_at_s)
    return {
        worker.worker_id: state.AnnouncedDeparture(
            worker.leaves_at_s, worker.registered_remaining_s, worker.registered_born_ms
        )
        for worker in leaving[:MAX_LISTED_DEPARTURES]
    }


def evacuate(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Stops runs that would be lost with draining workers whose departure time is known."""
    result: list[commands.Command] = []
    for worker in current.workers.values():
        if not worker.draining or worker.leaves_at_s is None:
            continue
        for run in list(worker.runs.values()):
            if run.phase is not state.RunPhase.STOPPING:
                result += _evacuate_run(current, run, worker.leaves_at_s - now_s, now_s)
    return result


def _evacuate_run(
    current: state.SchedulerState, run: state.Run, leaves_in_s: float, now_s: float
) -> list[commands.Command]:
    step = runs.find_step(current, run.task)
    if step is None or not _must_stop(current, step, run, leaves_in_s, now_s):
        return []
    fields = {
        "job": run.task.job_id,
        "step": f"{step.key[0]}.{step.key[1]}",
        "worker": run.worker_id,
        "leaves_in_s": round(leaves_in_s, 2),
    }
    result: list[commands.Command] = [commands.Decision("evacuated", fields)]
    reason = state.StopReason.EVACUATED
    if step.step.gang:
        return result + runs.stop_step(current, step, reason, now_s)
    return result + runs.stop_run(current, run, reason, now_s)


def _has_unknown_end(step: state.StepState, run: state.Run, now_s: float) -> bool:
    """Returns whether nothing tells when a run ends that an earlier scheduler has started.

    When it began is not known, and it may have exceeded its expected duration long ago. Only runs
    with checkpoints are treated so, as these lose little by a stop shortly before the departure.
    """
    is_predicted = estimates.predict_remaining_s(run, now_s) is not None
    return run.was_recovered and step.step.checkpoints and not is_predicted


def _must_stop(
    current: state.SchedulerState,
    step: state.StepState,
    run: state.Run,
    leaves_in_s: float,
    now_s: float,
) -> bool:
    if not step.step.long_running and not _has_unknown_end(step, run, now_s):
        job = current.jobs[run.task.job_id]
        duration_s = (
            predictions.predict_s(current, job, step, run.worker_id, now_s)
            if predictions.is_used(current, job)
            else None
        )
        if estimates.estimate_remaining_s(step, run, now_s, duration_s) <= leaves_in_s:
            return False
    can_stop_late = step.step.checkpoints or step.step.long_running
    return not can_stop_late or leaves_in_s <= current.policy.stop_s + STOP_MARGIN_S
