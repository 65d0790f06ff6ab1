"""Attempts to run requests: orders to workers, and their replies.

The attempt of a non-idempotent request is recorded before the first order is sent. Every event is
checked against the known status of its member; late, repeated and unknown events change nothing.
"""

from lycheegate.core import (
    closing,
    commands,
    estimates,
    events,
    gangs,
    quarantine,
    retries,
    scheduling,
)
from lycheegate.core import state as partition_state
from lycheegate.model import requests, resources

__all__ = [
    "begin",
    "find_attempt",
    "handle_answer_broken",
    "handle_answer_stored",
    "handle_attempt_recorded",
    "handle_task_failed",
    "handle_task_finished",
    "handle_task_held",
    "handle_task_refused",
    "handle_task_released",
    "handle_task_started",
    "handle_task_stopped",
    "handle_timer",
    "preempt",
]

# An attempt that is not recorded within this time releases its capacity, because the store may be
# unavailable for hours.
_RECORD_TIMEOUT_S = 5.0
_MAX_ORDER_REPEATS = 3
# For this time after a failure, a request avoids the workers that it failed on. The time is bounded
# because the other workers possibly have no room.
_AVOID_WORKERS_S = 10.0

_NOT_SEEN_RUNNING = (
    partition_state.Status.ORDERED,
    partition_state.Status.HELD,
    partition_state.Status.START_ORDERED,
)


def find_attempt(
    state: partition_state.PartitionState, task_id: str
) -> tuple[partition_state.Attempt, int] | tuple[None, int]:
    """Returns the attempt and member number of a task; the attempt is None if it is unknown."""
    attempt_id, _, member = task_id.rpartition(".")
    attempt = state.attempts.get(attempt_id)
    if attempt is None or not member.isdigit() or int(member) >= len(attempt.statuses):
        return None, 0
    return attempt, int(member)


def begin(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    placement: resources.Placement,
    out: list[commands.Command],
    probe_of: str | None = None,
) -> None:
    """Begins an attempt on the capacity that the scheduling state has allocated to the request.

    A request that would miss its deadline is abandoned instead.

    Args:
        state: State, changed in place.
        job: The request's job.
        placement: The allocated capacity.
        out: Commands, appended to.
        probe_of: Quarantined worker that the attempt probes, or None.
    """
    request = job.request
    if estimates.will_miss_deadline(state, job):
        scheduling.free_allocation(state.scheduling, request.request_id, state.now_s)
        partition_state.set_phase(state, job, partition_state.Phase.ACTIVE)
        state.plan_due = True
        retries.abandon(state, job, "deadline", out)
        return
    state.attempt_number += 1
    attempt_id = f"{request.request_id}-{state.epoch}-{state.attempt_number}"
    attempt = partition_state.Attempt(
        attempt_id,
        request,
        list(placement),
        [partition_state.Status.PLANNED] * len(placement),
        partition_state.Step.RECORDING,
        state.now_s,
        probe_of=probe_of,
    )
    state.attempts[attempt_id] = attempt
    partition_state.set_phase(state, job, partition_state.Phase.ACTIVE)
    job.attempt_id = attempt_id
    for place in placement:
        state.workers[place.worker_id].attempts[attempt_id] = None
    if request.idempotent:
        _order_members(state, attempt, out)
    else:
        out.append(commands.RecordAttempt(request.request_id, attempt_id, placement))
        closing.set_due(state, attempt, state.now_s + _RECORD_TIMEOUT_S)


def _workers_accept_orders(
    state: partition_state.PartitionState, attempt: partition_state.Attempt
) -> bool:
    """Returns whether every worker of an attempt is known, present and not leaving."""
    for place in attempt.placement:
        worker = state.workers.get(place.worker_id) if place is not None else None
        if worker is None or worker.lost_at_s is not None or worker.leaving:
            return False
    return True


def _order_members(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    if not _workers_accept_orders(state, attempt):
        closing.close(state, attempt, partition_state.After.RETRY, out, "worker_leaving")
        return
    attempt.step = partition_state.Step.ORDERING
    attempt.since_s = state.now_s
    attempt.start_ordered = len(attempt.statuses) == 1
    attempt.statuses = [partition_state.Status.ORDERED] * len(attempt.statuses)
    _order_holds(attempt, out)
    closing.set_due(state, attempt, state.now_s + state.settings.hold_timeout_s)


def _order_holds(attempt: partition_state.Attempt, out: list[commands.Command]) -> None:
    is_single = len(attempt.statuses) == 1
    for member, place in enumerate(attempt.placement):
        if attempt.statuses[member] is partition_state.Status.ORDERED and place is not None:
            task_id = partition_state.format_member_task_id(attempt, member)
            out.append(
                commands.HoldTask(
                    task_id, attempt.request.request_id, member, place, start=is_single
                )
            )


def handle_timer(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Handles the expiry of the timer of an attempt, according to its step."""
    match attempt.step:
        case partition_state.Step.RECORDING:
            closing.close(state, attempt, partition_state.After.RETRY, out, "record_timeout")
        case partition_state.Step.ORDERING:
            _repeat_holds(state, attempt, out)
        case partition_state.Step.STARTING if _workers_accept_orders(state, attempt):
            gangs.handle_timer(state, attempt, out)
        case partition_state.Step.STARTING:
            closing.close(state, attempt, partition_state.After.RETRY, out, "worker_leaving")
        case partition_state.Step.UNCERTAIN:
            closing.close(state, attempt, partition_state.After.RETRY, out, "outcome_unknown")
        case partition_state.Step.CLOSING:
            closing.handle_stop_timeout(state, attempt, out)
        case _:
            pass


def _repeat_holds(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Repeats hold orders without a reply; they are idempotent at the worker.

    The attempt is closed if a worker is unavailable, or after too many repeats or, for a gang,
    ``hold_timeout_s``.
    """
    is_gang = len(attempt.statuses) > 1
    limit_s = attempt.since_s + state.settings.hold_timeout_s
    if not _workers_accept_orders(state, attempt):
        closing.close(state, attempt, partition_state.After.RETRY, out, "worker_leaving")
    elif attempt.repeats >= _MAX_ORDER_REPEATS or (is_gang and state.now_s >= limit_s):
        closing.close(state, attempt, partition_state.After.RETRY, out, "hold_timeout")
    else:
        attempt.repeats += 1
        _order_holds(attempt, out)
        due_s = limit_s if is_gang else state.now_s + state.settings.hold_timeout_s
        closing.set_due(state, attempt, due_s)


def preempt(
    state: partition_state.PartitionState, request_id: str, out: list[commands.Command]
) -> None:
    """Stops the attempt of an idempotent request so that another request can use its capacity."""
    job = state.jobs.get(request_id)
    attempt = state.attempts.get(job.attempt_id or "") if job is not None else None
    if attempt is None or attempt.step in (
        partition_state.Step.CLOSING,
        partition_state.Step.COLLECTING,
    ):
        return
    if not attempt.request.idempotent:
        return
    closing.close(
        state,
        attempt,
        partition_state.After.REQUEUE,
        out,
        "preempted",
        grace_s=state.settings.preemption_grace_s,
    )


def handle_attempt_recorded(
    state: partition_state.PartitionState, attempt_id: str, out: list[commands.Command]
) -> None:
    """Sends the orders of an attempt that is now recorded."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.step is not partition_state.Step.RECORDING:
        return
    if retries.is_deadline_past(state, attempt.request):
        closing.close(state, attempt, partition_state.After.RETRY, out, "deadline")
        return
    _order_members(state, attempt, out)


def handle_task_held(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    out: list[commands.Command],
) -> None:
    """Records that a member of a gang is held; starts the gang if it was the last one."""
    if (
        attempt.statuses[member] is partition_state.Status.ORDERED
        and attempt.step is partition_state.Step.ORDERING
        and len(attempt.statuses) > 1
    ):
        attempt.statuses[member] = partition_state.Status.HELD
        if all(status is partition_state.Status.HELD for status in attempt.statuses):
            if _workers_accept_orders(state, attempt):
                gangs.start_members(state, attempt, out)
            else:
                closing.close(state, attempt, partition_state.After.RETRY, out, "worker_leaving")


def handle_task_started(
    state: partition_state.PartitionState, attempt: partition_state.Attempt, member: int
) -> None:
    """Records that a member runs."""
    status = attempt.statuses[member]
    if status in _NOT_SEEN_RUNNING or status is partition_state.Status.RELEASING:
        attempt.statuses[member] = partition_state.Status.RUNNING
        attempt.has_started = True
        if attempt.started_at_s is None:
            attempt.started_at_s = state.now_s
        gangs.mark_running_if_started(state, attempt)


def handle_task_finished(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    out: list[commands.Command],
) -> None:
    """Records that a member has finished; fetches the answer when all members have."""
    if (
        not partition_state.Status.PLANNED
        < attempt.statuses[member]
        < partition_state.Status.FINISHED
    ):
        return
    attempt.statuses[member] = partition_state.Status.FINISHED
    attempt.has_started = True
    if attempt.step is partition_state.Step.CLOSING:
        closing.conclude_if_stopped(state, attempt, out)
    elif all(status is partition_state.Status.FINISHED for status in attempt.statuses):
        closing.collect_answer(state, attempt, out)
    else:
        gangs.mark_running_if_started(state, attempt)


def handle_task_failed(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    error: str,
    out: list[commands.Command],
) -> None:
    """Records that the task of a member failed, and stops the other members."""
    if (
        not partition_state.Status.PLANNED
        < attempt.statuses[member]
        < partition_state.Status.FINISHED
    ):
        return
    attempt.statuses[member] = partition_state.Status.FAILED
    attempt.has_started = True
    job = closing.find_job(state, attempt)
    place = attempt.placement[member]
    if place is not None:
        quarantine.record_failure(state, place.worker_id, job, attempt, out)
        if job is not None:
            job.failed_on[place.worker_id] = error
            job.avoid_until_s = state.now_s + _AVOID_WORKERS_S
    if attempt.step is partition_state.Step.CLOSING:
        attempt.detail = attempt.detail or error
        closing.conclude_if_stopped(state, attempt, out)
        return
    after = (
        partition_state.After.RETRY if attempt.request.idempotent else partition_state.After.FAIL
    )
    closing.close(state, attempt, after, out, "job_failed", error)


def handle_task_stopped(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    out: list[commands.Command],
) -> None:
    """Records that a member was stopped, by an order or because its lease expired."""
    if (
        not partition_state.Status.PLANNED
        < attempt.statuses[member]
        < partition_state.Status.FINISHED
    ):
        return
    attempt.statuses[member] = partition_state.Status.STOPPED
    if attempt.step is partition_state.Step.CLOSING:
        closing.conclude_if_stopped(state, attempt, out)
    else:
        grace_s = gangs.compute_loss_grace_s(state)
        closing.close(state, attempt, partition_state.After.RETRY, out, "stopped", grace_s=grace_s)


def handle_task_refused(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    reason: events.Refusal,
    out: list[commands.Command],
) -> None:
    """Handles an order that was refused, or whose reply was lost.

    An order to an unreachable worker is repeated after a backoff. Otherwise the attempt is closed.
    """
    status = attempt.statuses[member]
    is_conclusive = attempt.repeats == 0 and reason is not events.Refusal.TOMBSTONE
    place = attempt.placement[member]
    worker = state.workers.get(place.worker_id) if place is not None else None
    if reason is events.Refusal.LEAVING and worker is not None:
        worker.leaving = True
        quarantine.update_placeable(state, worker)
    if attempt.step not in (partition_state.Step.ORDERING, partition_state.Step.STARTING):
        return
    if status not in (partition_state.Status.ORDERED, partition_state.Status.START_ORDERED):
        return
    if reason is events.Refusal.UNREACHABLE:
        backoff_s = retries.compute_backoff_s(state, attempt.attempt_id, attempt.repeats)
        due_s = state.now_s + backoff_s
        if attempt.due_s is None or due_s < attempt.due_s:
            closing.set_due(state, attempt, due_s)
        return
    if is_conclusive:
        # The only order sent was refused, so it can no longer take effect. After a repeat, an
        # earlier copy may still be in transit; a release order then makes the worker refuse it.
        if status is partition_state.Status.ORDERED:
            attempt.statuses[member] = partition_state.Status.NOT_STARTED
        else:
            attempt.statuses[member] = partition_state.Status.HELD
    closing.close(state, attempt, partition_state.After.RETRY, out, f"refused_{reason}")


def handle_task_released(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    started: bool,
    out: list[commands.Command],
) -> None:
    """Records that a worker has removed a task, and whether the task had started."""
    status = attempt.statuses[member]
    if not partition_state.Status.PLANNED < status < partition_state.Status.FINISHED:
        return
    if started or status is partition_state.Status.RUNNING:
        attempt.has_started = True
        attempt.statuses[member] = partition_state.Status.RELEASED
    else:
        attempt.statuses[member] = partition_state.Status.NOT_STARTED
    if attempt.step is partition_state.Step.CLOSING:
        closing.conclude_if_stopped(state, attempt, out)
    elif attempt.step is not partition_state.Step.UNCERTAIN:
        closing.close(state, attempt, partition_state.After.RETRY, out, "released")


def handle_answer_stored(
    state: partition_state.PartitionState, attempt_id: str, out: list[commands.Command]
) -> None:
    """Ends a request whose answer has been stored."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.step is not partition_state.Step.COLLECTING:
        return
    job = closing.find_job(state, attempt)
    if job is not None:
        retries.end_request(
            state,
            job,
            requests.End.ANSWERED,
            out,
            outcome=requests.Outcome.OK,
            attempt_id=attempt_id,
        )
    closing.remove_attempt(state, attempt, out)


def handle_answer_broken(
    state: partition_state.PartitionState, attempt_id: str, out: list[commands.Command]
) -> None:
    """Retries a request whose answer was lost, or ends it if it must not run again."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.step is not partition_state.Step.COLLECTING:
        return
    job = closing.find_job(state, attempt)
    closing.remove_attempt(state, attempt, out)
    attempt.after = partition_state.After.RETRY
    attempt.reason = "answer_lost"
    if job is not None:
        closing.conclude(state, attempt, job, out)
