"""Takeover of a partition by a new owner.

The new owner reads from the table which requests have not ended, and gets the running tasks from
the reports of the workers.
"""

import dataclasses

from lycheegate.core import closing, commands, events, reports, retries, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import requests, resources

__all__ = [
    "adopt_unclaimed_tasks",
    "await_attempt_outcome",
    "begin_epoch",
    "finish_recovery",
    "handle_attempt_not_recorded",
    "recover_request",
]

_KEPT_ACROSS_EPOCHS = (
    "estimates",
    "hopeless",
    "ended",
    "release_number",
    "client_accounts",
    "weight_total",
    "guarantees",
    "now_s",
    "timer_number",
    "short",
)


def begin_epoch(state: partition_state.PartitionState, epoch: int) -> None:
    """Begins an ownership epoch; discards the tasks and the queue of an earlier epoch."""
    if epoch <= state.epoch:
        return
    fresh = partition_state.create_state(state.partition, state.settings, state.seed)
    for field in dataclasses.fields(fresh):
        if field.name not in _KEPT_ACROSS_EPOCHS:
            setattr(state, field.name, getattr(fresh, field.name))
    state.epoch = epoch
    state.epoch_at_s = state.now_s
    if state.client_accounts or state.guarantees:
        scheduling.apply_release(
            state.scheduling, tuple(state.client_accounts.values()), state.guarantees
        )
    partition_state.add_timer(
        state, state.now_s + reports.RECOVERY_WAIT_S, partition_state.Timer.RECOVERY, ""
    )


def recover_request(
    state: partition_state.PartitionState,
    event: events.RecoveredRequest,
    out: list[commands.Command],
) -> None:
    """Adds a request that the table lists as not ended."""
    request = event.request
    request_id = request.request_id
    job = state.jobs.get(request_id)
    if job is None:
        if request_id in state.ended:
            return
        # Attempts of idempotent requests are not recorded, so an earlier owner may have run it.
        job = partition_state.Job(request, ran=request.idempotent)
        partition_state.set_phase(state, job, partition_state.Phase.DELAYED)
        if request.deadline_at_s is not None:
            partition_state.add_timer(
                state, request.deadline_at_s, partition_state.Timer.DEADLINE, request_id
            )
    elif (
        job.phase is partition_state.Phase.QUEUED
        and event.attempt_id is not None
        and state.recovering
    ):
        scheduling.withdraw(state.scheduling, request_id)
    elif job.phase is not partition_state.Phase.DELAYED or event.attempt_id is None:
        return
    job.cancelled = job.cancelled or event.cancel_requested
    job.cancelled = job.cancelled or state.early_cancels.pop(request_id, None) is not None
    if not request.idempotent and event.attempt_id is not None:
        await_attempt_outcome(state, job, event.attempt_id, event.placement, event.instances, out)
        return
    if job.cancelled:
        retries.end_request(state, job, requests.End.CANCELLED, out)
        return
    adopt_unclaimed_tasks(state, job, out)
    if job.phase is partition_state.Phase.ACTIVE:
        return
    if request.idempotent and request.urgency is not requests.Urgency.URGENT:
        retries.delay(state, job, max(state.now_s, state.epoch_at_s + reports.RECOVERY_WAIT_S))
    else:
        retries.enqueue(state, job)


def adopt_unclaimed_tasks(
    state: partition_state.PartitionState, job: partition_state.Job, out: list[commands.Command]
) -> None:
    """Adopts tasks of a request that were reported before the request was known."""
    for worker_id, task in state.unclaimed.pop(job.request.request_id, ()):
        worker = state.workers.get(worker_id)
        if worker is not None and worker.lost_at_s is None:
            reports.handle_reported_task(state, worker, task, True, out)


def await_attempt_outcome(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    attempt_id: str,
    placement: resources.Placement,
    instances: tuple[str, ...],
    out: list[commands.Command],
) -> None:
    """Restores an attempt that another owner recorded, until workers report its outcome.

    Args:
        state: State, changed in place.
        job: The job that the attempt belongs to.
        attempt_id: The recorded attempt.
        placement: Its recorded placement; empty if there is none.
        instances: Recorded instance of each member's worker.
        out: Commands, appended to.
    """
    places: list[resources.MemberPlacement | None] = list(placement)
    members = job.request.shape.members
    attempt = reports.create_recovered_attempt(state, job, attempt_id, places or [None] * members)
    attempt.instances = instances
    closing.set_due(state, attempt, state.now_s + state.settings.outcome_wait_s)
    tasks = {
        task.task_id: (worker_id, task)
        for worker_id, task in state.unclaimed.pop(job.request.request_id, ())
    }
    for member, place in enumerate(placement):
        worker = state.workers.get(place.worker_id)
        if worker is None or worker.lost_at_s is not None:
            state.awaited.setdefault(place.worker_id, {})[attempt_id] = None
            continue
        worker.attempts[attempt_id] = None
        if partition_state.format_member_task_id(attempt, member) not in tasks:
            restarted = reports.has_restarted(worker, attempt, member, False)
            reports.handle_absent_task(state, attempt, member, restarted, out)
    for worker_id, task in tasks.values():
        reports.handle_reported_task(state, state.workers[worker_id], task, True, out)


def finish_recovery(state: partition_state.PartitionState, out: list[commands.Command]) -> None:
    """Ends the takeover; releases the unclaimed tasks, because all open requests are known."""
    state.recovering = False
    state.plan_due = True
    for tasks in state.unclaimed.values():
        for worker_id, task in tasks:
            worker = state.workers.get(worker_id)
            if worker is not None and worker.lost_at_s is None:
                reports.release_stale_task(state, worker, task.task_id, out)
    state.unclaimed.clear()


def handle_attempt_not_recorded(
    state: partition_state.PartitionState,
    event: events.AttemptNotRecorded,
    out: list[commands.Command],
) -> None:
    """Closes an attempt that is not in the table, so that its request is retried.

    If the table holds an attempt of another owner, the outcome of that attempt is awaited first.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or attempt.step is not partition_state.Step.RECORDING:
        return
    job = closing.find_job(state, attempt)
    if event.found_attempt_id is None or job is None:
        closing.close(state, attempt, partition_state.After.RETRY, out, "not_recorded")
        return
    closing.remove_attempt(state, attempt, out)
    await_attempt_outcome(
        state, job, event.found_attempt_id, event.found_placement, event.found_instances, out
    )
