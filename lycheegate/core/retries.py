"""Queueing, delaying and ending of requests."""

import dataclasses
import random

from lycheegate.core import commands, estimates, quarantine, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = ["abandon", "compute_backoff_s", "delay", "end_request", "enqueue", "retry"]

# Ended requests are kept for this time, up to this many, to recognize late events for them. The
# caller's own repeats are answered from the request record, so a short memory suffices.
_ENDED_KEPT_S = 600.0
_MAX_ENDED_KEPT = 10000
_MAX_BACKOFF_S = 30.0
# Attempts in which no member started are cheap, so this multiple of ``max_attempts`` is allowed.
_REFUSALS_PER_ATTEMPT = 8
# Failures on unhealthy workers do not count against ``max_attempts``. This multiple of it bounds
# them, so that a request is not retried indefinitely.
_MAX_ATTEMPTS_FACTOR = 3
# Retry budget of each client account: 10 retries per second after a burst of 100. Retries beyond it
# are delayed, so that the loss of a rack does not overload the remaining workers.
_RETRY_INTERVAL_S = 0.1
_RETRY_BURST = 100
_RETRY_AFTER_S = 5.0


def enqueue(state: partition_state.PartitionState, job: partition_state.Job) -> None:
    """Adds a job to the queue, with the estimated run time in place of the declared one."""
    request = job.request
    partition_state.set_phase(state, job, partition_state.Phase.QUEUED)
    job.attempt_id = None
    learned_s = estimates.estimate_run_s(state, request)
    if learned_s != request.declared_run_s:
        request = dataclasses.replace(request, declared_run_s=learned_s)
    scheduling.enqueue(state.scheduling, request, state.now_s)
    state.plan_due = True


def delay(state: partition_state.PartitionState, job: partition_state.Job, until_s: float) -> None:
    """Keeps a job out of the queue until the given time."""
    partition_state.set_phase(state, job, partition_state.Phase.DELAYED)
    job.attempt_id = None
    job.delayed_until_s = until_s
    partition_state.add_timer(state, until_s, partition_state.Timer.DELAY, job.request.request_id)


def compute_backoff_s(state: partition_state.PartitionState, key: str, tries: int) -> float:
    """Returns an exponential backoff with full jitter, determined by seed, key and tries."""
    limit_s = min(_MAX_BACKOFF_S, state.settings.retry_backoff_s * 2 ** min(tries, 16))
    return random.Random(f"{state.seed}/{key}/{tries}").uniform(0.0, limit_s)


def end_request(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    end: requests.End,
    out: list[commands.Command],
    outcome: requests.Outcome | None = None,
    reason: str = "",
    retry_after_s: float | None = None,
    attempt_id: str | None = None,
    detail: str = "",
) -> None:
    """Ends a request and removes its job.

    Args:
        state: State, changed in place.
        job: The request's job.
        end: How the request ended.
        out: Commands, appended to.
        outcome: Outcome of an answered request, or None.
        reason: Code of the reason.
        retry_after_s: When the caller should try again, or None.
        attempt_id: Attempt whose stored answer is the answer, or None.
        detail: Error of the job, if it failed.
    """
    request_id = job.request.request_id
    if job.phase is partition_state.Phase.QUEUED:
        scheduling.withdraw(state.scheduling, request_id)
        state.plan_due = True
    partition_state.set_phase(state, job, None)
    record_end(state, request_id)
    out.append(
        commands.EndRequest(request_id, end, outcome, reason, retry_after_s, attempt_id, detail)
    )


def record_end(state: partition_state.PartitionState, request_id: str) -> None:
    """Records that a request has ended, so that repeated submissions are ignored."""
    state.ended[request_id] = state.now_s
    while state.ended:
        oldest = next(iter(state.ended))
        if (
            len(state.ended) <= _MAX_ENDED_KEPT
            and state.ended[oldest] > state.now_s - _ENDED_KEPT_S
        ):
            return
        del state.ended[oldest]


def abandon(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    reason: str,
    out: list[commands.Command],
    retry_after_s: float | None = None,
    detail: str = "",
) -> None:
    """Ends a request that is not attempted any more, or not at all.

    The request ends as ``not_run`` only if it is proven not to have run. Otherwise it ends as
    failed if it is idempotent, and else as ``may_have_run``.

    Args:
        state: State, changed in place.
        job: The request's job.
        reason: Code of the reason.
        out: Commands, appended to.
        retry_after_s: For ``not_run``: when the caller should try again, or None.
        detail: Error of the job, if it failed.
    """
    if not job.ran:
        end_request(
            state, job, requests.End.NOT_RUN, out, reason=reason, retry_after_s=retry_after_s
        )
    elif job.request.idempotent:
        end_request(
            state,
            job,
            requests.End.ANSWERED,
            out,
            outcome=requests.Outcome.FAILED,
            reason=reason,
            detail=detail,
        )
    else:
        end_request(state, job, requests.End.MAY_HAVE_RUN, out, reason=reason)


def retry(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    attempt: partition_state.Attempt,
    is_proven: bool,
    out: list[commands.Command],
) -> None:
    """Requeues or delays a request after an attempt, or ends it if it must not be retried.

    Args:
        state: State, changed in place.
        job: The request's job.
        attempt: The attempt, which has ended.
        is_proven: Whether the attempt is proven not to have started.
        out: Commands, appended to.
    """
    settings = state.settings
    healthy = sum(
        quarantine.is_healthy(state, worker_id, job.request.request_id)
        for worker_id in job.failed_on
    )
    if job.cancelled:
        end_request(state, job, requests.End.CANCELLED, out)
        return
    if healthy >= settings.bad_job_workers:
        abandon(state, job, "job_failed", out, detail=attempt.detail)
        return
    if is_deadline_past(state, job.request):
        abandon(state, job, "deadline", out)
        return
    if attempt.after is partition_state.After.REQUEUE:
        enqueue(state, job)
        return
    if is_proven:
        job.refusals += 1
    else:
        job.attempts += 1
    counted = job.attempts - (len(job.failed_on) - healthy)
    if (
        counted >= settings.max_attempts
        or job.attempts >= settings.max_attempts * _MAX_ATTEMPTS_FACTOR
        or job.refusals >= settings.max_attempts * _REFUSALS_PER_ATTEMPT
    ):
        reason = "job_failed" if attempt.detail else "attempts_exhausted"
        abandon(state, job, reason, out, retry_after_s=_RETRY_AFTER_S, detail=attempt.detail)
        return
    backoff_s = compute_backoff_s(state, job.request.request_id, job.delays)
    job.delays += 1
    delay(state, job, max(state.now_s + backoff_s, _consume_retry_budget(state, job.request)))


def is_deadline_past(state: partition_state.PartitionState, request: requests.Request) -> bool:
    """Returns whether the deadline of a request has passed."""
    return request.deadline_at_s is not None and state.now_s >= request.deadline_at_s


def _consume_retry_budget(
    state: partition_state.PartitionState, request: requests.Request
) -> float:
    """Consumes one retry of a client account's budget and returns its earliest time."""
    account = request.client_account
    earliest_s = state.now_s - _RETRY_BURST * _RETRY_INTERVAL_S
    free_s = max(state.retry_free_s.get(account, 0.0), earliest_s) + _RETRY_INTERVAL_S
    state.retry_free_s[account] = free_s
    return free_s
