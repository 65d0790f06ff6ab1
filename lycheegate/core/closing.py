"""Ends attempts: collects the answer, or stops all members and decides what follows."""

from lycheegate.core import commands, estimates, quarantine, retries, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = [
    "STOP_ANSWER_TIMEOUT_S",
    "close",
    "collect_answer",
    "conclude",
    "conclude_if_stopped",
    "find_job",
    "handle_stop_timeout",
    "is_proven_not_started",
    "order_release",
    "release_capacity",
    "remove_attempt",
    "set_due",
    "unblock_workers",
]

# A stop order without a reply this long after the grace period is followed by a release order,
# which the daemon repeats until the worker replies or is lost.
STOP_ANSWER_TIMEOUT_S = 0.5

_RELEASE_DIRECTLY = (partition_state.Status.ORDERED, partition_state.Status.HELD)
_STOP_FIRST = (partition_state.Status.START_ORDERED, partition_state.Status.RUNNING)
_KEPT_BY_WORKER = (
    partition_state.Status.FINISHED,
    partition_state.Status.FAILED,
    partition_state.Status.STOPPED,
)
_NEVER_STARTED = (partition_state.Status.PLANNED, partition_state.Status.NOT_STARTED)


def find_job(
    state: partition_state.PartitionState, attempt: partition_state.Attempt
) -> partition_state.Job | None:
    """Returns the open job whose current attempt this is, or None."""
    job = state.jobs.get(attempt.request.request_id)
    if job is None or job.attempt_id != attempt.attempt_id:
        return None
    return job


def set_due(
    state: partition_state.PartitionState, attempt: partition_state.Attempt, due_s: float | None
) -> None:
    """Sets the timer of an attempt, in place of an earlier one; None disables it."""
    attempt.due_s = due_s
    if due_s is not None:
        partition_state.add_timer(state, due_s, partition_state.Timer.ATTEMPT, attempt.attempt_id)


def release_capacity(
    state: partition_state.PartitionState, attempt: partition_state.Attempt
) -> None:
    """Releases the capacity that is allocated to an attempt."""
    if attempt.occupies:
        attempt.occupies = False
        scheduling.free_allocation(state.scheduling, attempt.request.request_id, state.now_s)
        state.plan_due = True


def order_release(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    out: list[commands.Command],
) -> None:
    """Orders the worker of a member to release its task."""
    place = attempt.placement[member]
    if place is not None:
        task_id = partition_state.format_member_task_id(attempt, member)
        out.append(commands.ReleaseTask(task_id, place.worker_id))


def close(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    after: partition_state.After,
    out: list[commands.Command],
    reason: str = "",
    detail: str = "",
    grace_s: float = 0.0,
) -> None:
    """Stops every member of an attempt; it is concluded when all members have stopped.

    Args:
        state: State, changed in place.
        attempt: The attempt. If it is already being closed, the call has no effect.
        after: What follows when the attempt is concluded.
        out: Commands, appended to.
        reason: Code of the reason.
        detail: Error of the job, if that is the reason.
        grace_s: Time that running members have to checkpoint, if the request is preemptible.
    """
    if attempt.step is partition_state.Step.CLOSING:
        return
    attempt.step = partition_state.Step.CLOSING
    attempt.since_s = state.now_s
    attempt.after = after
    attempt.reason = reason
    attempt.detail = detail
    mode = commands.StopMode.KILL
    if grace_s > 0 and attempt.request.preemptible:
        mode = commands.StopMode.CHECKPOINT
    else:
        grace_s = 0.0
    is_stopping = False
    for member, status in enumerate(attempt.statuses):
        place = attempt.placement[member]
        if status in _RELEASE_DIRECTLY:
            attempt.statuses[member] = partition_state.Status.RELEASING
            order_release(state, attempt, member, out)
        elif status in _STOP_FIRST and place is not None:
            is_stopping = True
            task_id = partition_state.format_member_task_id(attempt, member)
            out.append(commands.StopTask(task_id, place.worker_id, mode, grace_s))
        elif status is partition_state.Status.UNKNOWN:
            # A stopped gang cannot produce an answer any more, so the report of the missing member
            # is not awaited.
            attempt.statuses[member] = partition_state.Status.LOST
    set_due(state, attempt, state.now_s + grace_s + STOP_ANSWER_TIMEOUT_S if is_stopping else None)
    conclude_if_stopped(state, attempt, out)


def handle_stop_timeout(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Sends release orders to members that have not replied to their stop order in time.

    Members whose status is still unknown count as lost.
    """
    attempt.due_s = None
    for member, status in enumerate(attempt.statuses):
        if status in _STOP_FIRST:
            order_release(state, attempt, member, out)
        elif status is partition_state.Status.UNKNOWN:
            attempt.statuses[member] = partition_state.Status.LOST
    conclude_if_stopped(state, attempt, out)


def conclude_if_stopped(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Concludes an attempt that is being closed if none of its members can still run."""
    if attempt.step is not partition_state.Step.CLOSING or attempt.attempt_id not in state.attempts:
        return
    if any(
        partition_state.Status.PLANNED < status < partition_state.Status.FINISHED
        for status in attempt.statuses
    ):
        return
    job = find_job(state, attempt)
    if job is not None and all(
        status is partition_state.Status.FINISHED for status in attempt.statuses
    ):
        # All members finished before the stop orders took effect, so the answer is complete.
        collect_answer(state, attempt, out)
        return
    remove_attempt(state, attempt, out)
    if job is not None:
        conclude(state, attempt, job, out)


def is_proven_not_started(attempt: partition_state.Attempt) -> bool:
    """Returns whether no member of an attempt can have started.

    An observed start takes precedence over a worker's report that nothing started, because the
    worker may have restarted since and lost its record of the task.
    """
    if attempt.has_started:
        return False
    return not attempt.start_ordered or all(status in _NEVER_STARTED for status in attempt.statuses)


def conclude(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    job: partition_state.Job,
    out: list[commands.Command],
) -> None:
    """Ends or retries the job of an attempt that has been removed."""
    is_proven = is_proven_not_started(attempt)
    if not is_proven:
        job.ran = True
    idempotent = job.request.idempotent
    has_failed = partition_state.Status.FAILED in attempt.statuses
    if not idempotent and not is_proven and not has_failed:
        is_lost = partition_state.Status.LOST in attempt.statuses
        if job.cancelled and not is_lost and attempt.step is partition_state.Step.CLOSING:
            retries.end_request(state, job, requests.End.CANCELLED, out)
        else:
            retries.abandon(state, job, attempt.reason or "outcome_unknown", out)
    elif attempt.after is partition_state.After.FAIL or (not idempotent and has_failed):
        retries.end_request(
            state,
            job,
            requests.End.ANSWERED,
            out,
            outcome=requests.Outcome.FAILED,
            reason="job_failed",
            detail=attempt.detail,
        )
    else:
        retries.retry(state, job, attempt, is_proven, out)


def collect_answer(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Fetches the answer of an attempt whose members have all finished."""
    release_capacity(state, attempt)
    unblock_workers(state, attempt)
    attempt.step = partition_state.Step.COLLECTING
    attempt.since_s = state.now_s
    attempt.due_s = None
    if attempt.started_at_s is not None:
        estimates.record_run_time(state, attempt.request, state.now_s - attempt.started_at_s)
    for worker_id in dict.fromkeys(place.worker_id for place in attempt.placement if place):
        quarantine.record_success(state, worker_id, out)
    place = attempt.placement[0]
    assert place is not None
    out.append(
        commands.CollectAnswer(
            attempt.request.request_id,
            attempt.attempt_id,
            partition_state.format_member_task_id(attempt, 0),
            place.worker_id,
        )
    )


def remove_attempt(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Removes an attempt and releases the tasks that its workers still keep."""
    release_capacity(state, attempt)
    unblock_workers(state, attempt)
    for member, status in enumerate(attempt.statuses):
        if status in _KEPT_BY_WORKER:
            order_release(state, attempt, member, out)
    for place in attempt.placement:
        if place is not None:
            worker = state.workers.get(place.worker_id)
            if worker is not None:
                worker.attempts.pop(attempt.attempt_id, None)
            awaited = state.awaited.get(place.worker_id)
            if awaited is not None:
                awaited.pop(attempt.attempt_id, None)
                if not awaited:
                    del state.awaited[place.worker_id]
    del state.attempts[attempt.attempt_id]
    if attempt.probe_of is not None:
        quarantine.finish_probe(state, attempt)


def unblock_workers(
    state: partition_state.PartitionState, attempt: partition_state.Attempt
) -> None:
    """Allows new work on the workers that were blocked until all members were found."""
    for place in attempt.placement:
        worker = state.workers.get(place.worker_id) if place is not None else None
        if worker is not None and worker.stale.pop(attempt.attempt_id, 0) is None:
            quarantine.update_placeable(state, worker)
