"""Queueing, delaying and ending of requests."""

import dataclasses
import random

from lycheegate.core import commands, estimates, quarantine, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = ["compute_backoff_s", "delay", "end_request", "enqueue", "refuse", "retry"]

# Later events for an ended request are recognised for this time and this many requests. The
# caller's own repeats are answered from the request record, so the memory may be short.
_ENDED_KEPT_S = 600.0
_ENDED_KEPT = 10000
_MAX_BACKOFF_S = 30.0
# Attempts in which no member started are cheap, so more of them are allowed.
_REFUSALS_PER_ATTEMPT = 8
# Attempts that failed on bad workers do not count, but a request does not try without end.
_HARD_LIMIT_FACTOR = 3
# Retry budget of each client account: 10 retries a second after a burst of 100. Retries beyond it
# are delayed, so that the loss of a rack does not flood the workers that remain.
_RETRY_INTERVAL_S = 0.1
_RETRY_BURST = 100
_RETRY_AFTER_S = 5.0


def enqueue(state: partition_state.PartitionState, job: partition_state.Job) -> None:
    """Puts a job into the queue, with the learned run time in place of the declared one."""
    request = job.request
    partition_state.set_phase(state, job, partition_state.Phase.QUEUED)
    job.attempt_id = None
    learned_s = estimates.estimate_run_s(state, request)
    if learned_s != request.declared_run_s:
        request = dataclasses.replace(request, declared_run_s=learned_s)
    scheduling.enqueue(state.scheduling, request, state.now_s)
    state.plan_due = True


def delay(state: partition_state.PartitionState, job: partition_state.Job, until_s: float) -> None:
    """Keeps a job out of the queue until a time."""
    partition_state.set_phase(state, job, partition_state.Phase.DELAYED)
    job.attempt_id = None
    job.delayed_until_s = until_s
    partition_state.add_timer(state, until_s, partition_state.Timer.DELAY, job.request.request_id)


def compute_backoff_s(state: partition_state.PartitionState, key: str, tries: int) -> float:
    """Returns an exponential backoff with full jitter; the same seed and key give the same."""
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
    """Ends a request and forgets its job."""
    request_id = job.request.request_id
    if job.phase is partition_state.Phase.QUEUED:
        scheduling.withdraw(state.scheduling, request_id)
        state.plan_due = True
    partition_state.set_phase(state, job, None)
    remember_end(state, request_id)
    out.append(
        commands.EndRequest(request_id, end, outcome, reason, retry_after_s, attempt_id, detail)
    )


def remember_end(state: partition_state.PartitionState, request_id: str) -> None:
    """Remembers that a request has ended, so that a repeated submission is ignored."""
    state.ended[request_id] = state.now_s
    while state.ended:
        oldest = next(iter(state.ended))
        if len(state.ended) <= _ENDED_KEPT and state.ended[oldest] > state.now_s - _ENDED_KEPT_S:
            return
        del state.ended[oldest]


def refuse(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    reason: str,
    out: list[commands.Command],
    retry_after_s: float | None = None,
    detail: str = "",
) -> None:
    """Ends a request that is not tried any more.

    Only a request that is proven not to have run ends ``not_run``.
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
    """Queues a request again after an attempt, or ends it if its attempts are used up."""
    settings = state.settings
    healthy = sum(
        quarantine.is_healthy(state, worker_id, job.request.request_id)
        for worker_id in job.failed_on
    )
    if job.cancelled:
        end_request(state, job, requests.End.CANCELLED, out)
        return
    if healthy >= settings.bad_job_workers:
        refuse(state, job, "job_failed", out, detail=attempt.detail)
        return
    if is_deadline_past(state, job.request):
        refuse(state, job, "deadline", out)
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
        or job.attempts >= settings.max_attempts * _HARD_LIMIT_FACTOR
        or job.refusals >= settings.max_attempts * _REFUSALS_PER_ATTEMPT
    ):
        reason = "job_failed" if attempt.detail else "attempts_exhausted"
        refuse(state, job, reason, out, retry_after_s=_RETRY_AFTER_S, detail=attempt.detail)
        return
    backoff_s = compute_backoff_s(state, job.request.request_id, job.delays)
    job.delays += 1
    delay(state, job, max(state.now_s + backoff_s, _take_retry_budget(state, job.request)))


def is_deadline_past(state: partition_state.PartitionState, request: requests.Request) -> bool:
    """Returns whether the deadline of a request is over."""
    return request.deadline_at_s is not None and state.now_s >= request.deadline_at_s


def _take_retry_budget(state: partition_state.PartitionState, request: requests.Request) -> float:
    """Returns the earliest time at which the retry budget allows one more retry."""
    account = request.client_account
    earliest_s = state.now_s - _RETRY_BURST * _RETRY_INTERVAL_S
    free_s = max(state.retry_free_s.get(account, 0.0), earliest_s) + _RETRY_INTERVAL_S
    state.retry_free_s[account] = free_s
    return free_s
