"""Admission, deadlines and cancellation of requests."""

from lycheegate.core import closing, commands, estimates, recovery, reports, retries, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = ["cancel_request", "expire_request", "reject_impossible_requests", "submit_request"]

_OVERLOAD_RETRY_AFTER_S = 10.0
# Lost workers usually return or are replaced within minutes.
_LOST_CAPACITY_RETRY_AFTER_S = 60.0
# Requests that are not urgent may use this part of a client account's queue limit, so that the
# account's backlog does not block its urgent requests.
_BACKLOG_RATIO = 0.9
_MIN_WEIGHT_FACTOR = 0.25
_MAX_WEIGHT_FACTOR = 4.0
# Cancellations that arrive before their submissions are kept for this time, up to this many.
_EARLY_CANCELS_KEPT_S = 60.0
_MAX_EARLY_CANCELS_KEPT = 10000


def submit_request(
    state: partition_state.PartitionState,
    request: requests.Request,
    resubmitted: bool,
    out: list[commands.Command],
) -> None:
    """Queues a new request, or rejects it immediately.

    Args:
        state: State, changed in place.
        request: The request.
        resubmitted: Whether another owner may have run the request.
        out: Commands, appended to.
    """
    request_id = request.request_id
    if request_id in state.jobs or request_id in state.ended:
        return
    job = partition_state.Job(request, ran=resubmitted and request.idempotent)
    partition_state.set_phase(state, job, partition_state.Phase.DELAYED)
    if state.early_cancels.pop(request_id, None) is not None:
        retries.end_request(state, job, requests.End.CANCELLED, out)
        return
    recovery.adopt_unclaimed_tasks(state, job, out)
    if job.phase is partition_state.Phase.ACTIVE:
        return
    reason, retry_after_s = _find_rejection(state, job)
    if reason is not None:
        retries.abandon(state, job, reason, out, retry_after_s=retry_after_s)
        return
    if request.deadline_at_s is not None:
        partition_state.add_timer(
            state, request.deadline_at_s, partition_state.Timer.DEADLINE, request_id
        )
    retries.enqueue(state, job)


def _find_rejection(
    state: partition_state.PartitionState, job: partition_state.Job
) -> tuple[str | None, float | None]:
    """Returns the reason to reject a request, or None, and the seconds until a new try, or None."""
    request = job.request
    if reports.is_capacity_known(state):
        impossible = scheduling.find_infeasibility_reason(state.scheduling, request)
        if impossible is not None:
            return impossible, _get_impossible_retry_after_s(state)
    if estimates.will_miss_deadline(state, job):
        return "deadline", None
    # The count already includes the request itself.
    waiting = state.waiting[request.client_account] - 1
    limit = _compute_queue_limit(state, request.client_account)
    if request.urgency is not requests.Urgency.URGENT:
        limit *= _BACKLOG_RATIO
    if waiting >= limit:
        return "overload", _OVERLOAD_RETRY_AFTER_S
    return None, None


def _get_impossible_retry_after_s(state: partition_state.PartitionState) -> float | None:
    """Returns the seconds until a request may fit, or None if no worker is lost or awaited."""
    if state.unreported or any(worker.lost_at_s is not None for worker in state.workers.values()):
        return _LOST_CAPACITY_RETRY_AFTER_S
    return None


def _compute_queue_limit(state: partition_state.PartitionState, client_account: str) -> float:
    """Returns the maximum number of waiting requests of a client account.

    The limit is a multiple of the remaining room in the queue, as in dynamic threshold buffer
    management. However many client accounts fill the queue, room remains for an account with few
    waiting requests, and no other request has to be evicted.
    """
    room = state.settings.max_queued - (state.waiting_total - 1)
    account = state.client_accounts.get(client_account)
    factor = 1.0
    if account is not None and state.weight_total > 0:
        factor = account.weight * len(state.client_accounts) / state.weight_total
        factor = min(_MAX_WEIGHT_FACTOR, max(_MIN_WEIGHT_FACTOR, factor))
    return min(state.settings.max_queued_per_account, room * factor)


def expire_request(
    state: partition_state.PartitionState, request_id: str, out: list[commands.Command]
) -> None:
    """Ends a request that has not started by its deadline."""
    job = state.jobs.get(request_id)
    if job is None or job.phase is partition_state.Phase.ACTIVE:
        return
    if retries.is_deadline_past(state, job.request):
        retries.abandon(state, job, "deadline", out)


def cancel_request(
    state: partition_state.PartitionState, request_id: str, out: list[commands.Command]
) -> None:
    """Cancels a request that has not ended.

    An idempotent request ends immediately and its tasks are stopped afterwards. The end of a
    non-idempotent request that may have started depends on the reports of its workers: if it has
    finished, it is answered in spite of the cancellation.
    """
    job = state.jobs.get(request_id)
    if job is None:
        if request_id not in state.ended:
            _record_early_cancel(state, request_id)
        return
    job.cancelled = True
    attempt = state.attempts.get(job.attempt_id or "")
    if attempt is None:
        retries.end_request(state, job, requests.End.CANCELLED, out)
    elif attempt.step is partition_state.Step.COLLECTING:
        # The answer is complete and is delivered if it can be fetched.
        return
    elif job.request.idempotent:
        retries.end_request(state, job, requests.End.CANCELLED, out)
        closing.close(state, attempt, partition_state.After.CANCEL, out, "cancelled")
    elif attempt.step is not partition_state.Step.UNCERTAIN:
        closing.close(state, attempt, partition_state.After.CANCEL, out, "cancelled")


def _record_early_cancel(state: partition_state.PartitionState, request_id: str) -> None:
    cancels = state.early_cancels
    cancels[request_id] = state.now_s
    while cancels:
        oldest = next(iter(cancels))
        if (
            len(cancels) <= _MAX_EARLY_CANCELS_KEPT
            and cancels[oldest] > state.now_s - _EARLY_CANCELS_KEPT_S
        ):
            return
        del cancels[oldest]


def reject_impossible_requests(
    state: partition_state.PartitionState, out: list[commands.Command]
) -> None:
    """Ends waiting requests that fit nowhere, unless workers are still awaited."""
    if not reports.is_capacity_known(state):
        return
    reasons: dict[tuple, str | None] = {}
    for job in [
        job for job in state.jobs.values() if job.phase is not partition_state.Phase.ACTIVE
    ]:
        request = job.request
        key = (request.client_account, request.shape, request.preemptible, request.urgency)
        if key not in reasons:
            reasons[key] = scheduling.find_infeasibility_reason(state.scheduling, request)
        reason = reasons[key]
        if reason is not None:
            retry_after_s = _get_impossible_retry_after_s(state)
            retries.abandon(state, job, reason, out, retry_after_s=retry_after_s)
