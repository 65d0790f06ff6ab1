"""Cancellations of jobs that are not known.

Handles a submission that is still on its way when its caller cancels the job, for example in a VM
that is suspended, or in a call that the store executes seconds later. The caller was told that
there is no such job, so the job must not run if it is stored afterwards. The cancellation stays in
the store as long as the status of ended jobs, which is longer than a submission can be on its way.
"""

import dataclasses

from lycheegate.jobs import commands, lifecycle, state

__all__ = [
    "apply_to_new_job",
    "list_expired",
    "postpone_deletion",
    "record_cancellation",
    "remove_cancellation",
]


def record_cancellation(
    current: state.SchedulerState, job_id: str, version: int, now_s: float
) -> list[commands.Command]:
    """Cancels a job, or records the cancellation of one that is not known.

    Args:
        current: State of the scheduler.
        job_id: Identifier of the job.
        version: Version of the cancellation's row in the store.
        now_s: Time on the scheduler's clock.
    """
    if job_id in current.jobs:
        return lifecycle.cancel_job(current, job_id, now_s)
    recorded = current.unknown_cancellations.get(job_id)
    since_s = recorded.recorded_at_s if recorded is not None else now_s
    current.unknown_cancellations[job_id] = state.UnknownCancellation(version, since_s)
    return []


def apply_to_new_job(
    current: state.SchedulerState, job_id: str, now_s: float
) -> list[commands.Command]:
    """Cancels a job that has just been added if its cancellation was recorded before."""
    if current.unknown_cancellations.pop(job_id, None) is None:
        return []
    return lifecycle.cancel_job(current, job_id, now_s)


def list_expired(current: state.SchedulerState, now_s: float) -> list[str]:
    """Returns the jobs whose recorded cancellation is no longer needed."""
    return [
        job_id
        for job_id, recorded in current.unknown_cancellations.items()
        if now_s - recorded.recorded_at_s > current.policy.retention_s
        and now_s >= recorded.delete_not_before_s
    ]


def remove_cancellation(current: state.SchedulerState, job_id: str) -> None:
    """Removes a recorded cancellation whose row has been deleted."""
    current.unknown_cancellations.pop(job_id, None)


def postpone_deletion(current: state.SchedulerState, job_id: str, not_before_s: float) -> None:
    """Postpones the deletion of a recorded cancellation."""
    recorded = current.unknown_cancellations.get(job_id)
    if recorded is not None:
        current.unknown_cancellations[job_id] = dataclasses.replace(
            recorded, delete_not_before_s=not_before_s
        )
