"""Leases of the runs on workers, and orders that were not answered.

The scheduler renews the leases of all runs on a worker with each report that it requests, on the
worker's own clock. Once they have certainly expired, runs on a worker that does not report are
gone, and their tasks may start elsewhere.
"""

import dataclasses
import functools

from lycheegate.jobs import boundaries, commands, incarnations, runs, state, strays

__all__ = [
    "RecordedDeadline",
    "check_leases",
    "compute_deadline_ms",
    "compute_handover_end_s",
    "compute_inherited_end_s",
    "compute_lapse_s",
    "compute_longest_lease_s",
    "is_inherited_end_known",
    "has_untold_departure",
    "list_lease_ends",
    "list_lease_limits",
    "record_deadline",
    "revoke_deadline",
    "update_clock",
    "update_expiry",
]

MIN_LEASE_S = 2.5
"""Minimum lease on the runs of a worker that is about to leave; long enough that the loss of two
reports does not let it expire."""
CLOCK_MARGIN_S = 0.1
"""Allowance for the time that a worker's answer takes to arrive."""
_INTENDED, _ORDERED, _RUNNING = (
    state.RunPhase.INTENDED,
    state.RunPhase.ORDERED,
    state.RunPhase.RUNNING,
)
MAX_REPORT_AGE_S = 2.5
"""Age of a worker's last report from which its lease is no longer renewed. Calls whose answers
are lost may still reach the worker, and would keep alive runs that the scheduler cannot see."""
MAX_LISTED_WORKERS = 200
"""Number of workers whose ends of leases fit into a row, also with the longest identifiers."""
DRAINING_RENEWAL_S = 2.0
"""Time from one heartbeat within which a later one is stored unless the store is lost. The end of
leases that the first one tells leaves room for those that are granted meanwhile."""
MIN_SILENCE_S = 1.0
"""Time since its last report for which the leases of a worker do not count as expired."""


def compute_handover_end_s(current: state.SchedulerState) -> float:
    """Returns when leases that the previous scheduler granted have certainly expired."""
    handover_s = current.policy.handover_s
    return current.began_at_s + handover_s + compute_longest_lease_s(current.policy)


def compute_longest_lease_s(policy: state.Policy) -> float:
    """Returns how long after a call the longest lease that a worker grants on it may last."""
    return policy.max_lease_s / (1.0 - policy.clock_slowness_ratio) + CLOCK_MARGIN_S


def compute_inherited_end_s(current: state.SchedulerState, worker_id: str) -> float:
    """Returns when leases that earlier schedulers granted on a worker have certainly expired."""
    inherited = current.inherited_leases
    end_s = inherited.workers.get(worker_id, inherited.others_s)
    handover_end_s = compute_handover_end_s(current)
    return handover_end_s if end_s is None else min(handover_end_s, end_s + CLOCK_MARGIN_S)


def is_inherited_end_known(current: state.SchedulerState, worker_id: str) -> bool:
    """Returns whether an earlier scheduler has told when leases on a worker end.

    Otherwise they are waited for as long as it may have renewed them without this scheduler's
    knowledge.
    """
    inherited = current.inherited_leases
    return inherited.workers.get(worker_id, inherited.others_s) is not None


def list_lease_ends(
    current: state.SchedulerState, now_s: float, withholds_all: bool
) -> state.InheritedLeases:
    """Returns the ends of leases for the next scheduler, on this scheduler's clock.

    From then on, this scheduler must grant none to the workers that are listed, or to none at all.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        withholds_all: Whether it grants no lease to any worker from now on.
    """
    departed: dict[str, float] = {}
    others_s = now_s
    for worker in current.workers.values():
        if not worker.runs and not worker.strays and not _has_unstored_ends(worker):
            continue
        is_silent = now_s - worker.reported_at_s >= MAX_REPORT_AGE_S
        if is_silent and not worker.registered and len(departed) < MAX_LISTED_WORKERS:
            departed[worker.worker_id] = _compute_end_s(current, worker)
        else:
            others_s = max(others_s, _compute_end_s(current, worker))
    for worker_id in sorted(_list_unlisted_workers(current)):
        end_s = compute_inherited_end_s(current, worker_id)
        if len(departed) < MAX_LISTED_WORKERS:
            departed[worker_id] = end_s
        else:
            others_s = max(others_s, end_s)
    return state.InheritedLeases(departed, others_s if withholds_all else None)


def list_lease_limits(
    current: state.SchedulerState, now_s: float, departed: frozenset[str]
) -> dict[str, float]:
    """Returns times by which all leases on workers that are about to leave will have expired.

    They are told the next scheduler as well. Until a later heartbeat is stored, this scheduler must
    grant no lease beyond them. A lease there is not renewed for long beyond the departure, so the
    limits bind only once that is past and the store is lost.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        departed: Workers whose ends of leases are told already.
    """
    draining = [w for w in _list_departing(current) if w.worker_id not in departed]
    draining.sort(key=lambda worker: worker.leaves_at_s)
    return {
        worker.worker_id: _compute_limit_s(current, worker, now_s)
        for worker in draining[: max(0, MAX_LISTED_WORKERS - len(departed))]
    }


def has_untold_departure(current: state.SchedulerState) -> bool:
    """Returns whether a worker with runs is about to leave, and no heartbeat has told its limit.

    A worker leaves within seconds of its announcement. If this scheduler is lost before the next
    heartbeat, the next one does not know the worker and cannot tell when its leases end.
    """
    if len(current.lease_limits) + len(current.withheld_leases) >= MAX_LISTED_WORKERS:
        return False
    return any(
        worker.worker_id not in current.lease_limits
        and worker.worker_id not in current.withheld_leases
        for worker in _list_departing(current)
    )


def _list_departing(current: state.SchedulerState) -> list[state.WorkerState]:
    """Returns the workers with runs that have announced when they leave.

    An incarnation that is not known yet keeps no limit, as it measures a deadline on another clock.
    """
    return [
        worker
        for worker in current.workers.values()
        if (worker.runs or worker.strays)
        and worker.draining
        and worker.leaves_at_s is not None
        and not incarnations.has_unverified_start(worker)
    ]


def _has_unstored_ends(worker: state.WorkerState) -> bool:
    """Returns whether the records may still name runs that have ended on a worker."""
    return worker.incarnation.processed_end > worker.incarnation.durable_end


def _compute_end_s(current: state.SchedulerState, worker: state.WorkerState) -> float:
    """Returns when all leases on a worker have expired, whichever incarnation has granted them."""
    ends_s = [_compute_unverified_end_s(current, worker, run) for run in worker.runs.values()]
    return max(worker.leases_expire_at_s, *ends_s, 0.0)


def _compute_unverified_end_s(
    current: state.SchedulerState, worker: state.WorkerState, run: state.Run
) -> float:
    """Returns when the lease of a run has expired if an unknown incarnation runs it, else 0.

    Each call with a deadline that this incarnation carries out renews the lease.
    """
    if run.unverified_until_s is None:
        return 0.0
    open_until_s = max(run.unverified_until_s, worker.deadline_open_until_s)
    return open_until_s + compute_longest_lease_s(current.policy)


def _compute_limit_s(
    current: state.SchedulerState, worker: state.WorkerState, now_s: float
) -> float:
    latest_s = max(worker.leaves_at_s, now_s + DRAINING_RENEWAL_S + MIN_LEASE_S)
    slowness_ratio = current.policy.clock_slowness_ratio
    end_s = now_s + (latest_s - now_s) / (1.0 - slowness_ratio) + CLOCK_MARGIN_S
    return max(worker.leases_expire_at_s, end_s)


def _list_unlisted_workers(current: state.SchedulerState) -> set[str]:
    """Returns the workers of recorded runs that never registered with this scheduler."""
    if current.unlisted_runs_ended:
        return set()
    return {
        run.worker_id
        for job in current.jobs.values()
        for run in job.list_runs()
        if run.worker_id not in current.workers
    }


def update_clock(worker: state.WorkerState, clock_ms: int, sent_at_s: float, now_s: float) -> None:
    """Updates what is known of a worker's clock from one of its answers.

    Args:
        worker: The worker.
        clock_ms: Its clock.
        sent_at_s: When the call was sent.
        now_s: When its answer was received.
    """
    incarnation = worker.incarnation
    if clock_ms >= incarnation.clock_ms:
        incarnation.clock_ms = clock_ms
        incarnation.clock_sent_at_s, incarnation.clock_at_s = sent_at_s, now_s


def compute_deadline_ms(
    current: state.SchedulerState, worker: state.WorkerState, now_s: float
) -> int | None:
    """Returns the lease deadline to send, on the worker's clock.

    Returns:
        The deadline, or None if the clock is unknown or no lease is granted to the worker.
    """
    is_withheld = current.withholds_all_leases or worker.worker_id in current.withheld_leases
    incarnation = worker.incarnation
    if not incarnation.clock_ms or is_withheld:
        return None
    slowness_ratio = current.policy.clock_slowness_ratio
    elapsed_s = (now_s - incarnation.clock_at_s) * (1.0 - slowness_ratio)
    lease_s = current.policy.lease_s
    if worker.draining and worker.leaves_at_s is not None:
        # Runs that are lost with the worker are known to be gone only once the lease has expired.
        lease_s = min(lease_s, max(MIN_LEASE_S, worker.leaves_at_s - now_s))
    deadline_ms = incarnation.clock_ms + int((elapsed_s + lease_s) * 1000.0)
    limit_s = current.lease_limits.get(worker.worker_id)
    if limit_s is None:
        return deadline_ms
    # The latest deadline that has certainly passed by the limit, as ``update_expiry`` computes it.
    until_limit_s = (limit_s - CLOCK_MARGIN_S - incarnation.clock_at_s) * (1.0 - slowness_ratio)
    limited_ms = min(deadline_ms, incarnation.clock_ms + int(until_limit_s * 1000.0))
    return limited_ms if limited_ms > incarnation.clock_ms + int(elapsed_s * 1000.0) else None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedDeadline:
    """A lease deadline that was recorded before it was sent.

    Attributes:
        incarnation: Incarnation of the worker for which it was computed.
        count: Number of deadlines recorded for the worker, including this one.
        previous_ms: Latest deadline before it.
        previous_open_until_s: Until when an earlier call with a deadline may be carried out.
    """

    incarnation: state.Incarnation
    count: int
    previous_ms: int
    previous_open_until_s: float


def record_deadline(
    current: state.SchedulerState,
    worker: state.WorkerState,
    deadline_ms: int,
    now_s: float,
    wait_s: float = 0.0,
) -> RecordedDeadline:
    """Records a lease deadline before it is sent, because it may arrive without an answer.

    Args:
        current: State of the scheduler.
        worker: The worker.
        deadline_ms: The deadline on the worker's clock.
        now_s: Time on the scheduler's clock.
        wait_s: How long the call may wait before it is answered.
    """
    incarnation = worker.incarnation
    incarnation.deadlines_recorded += 1
    recorded = RecordedDeadline(
        incarnation,
        incarnation.deadlines_recorded,
        incarnation.max_deadline_ms,
        worker.deadline_open_until_s,
    )
    worker.deadline_open_until_s = now_s + wait_s + incarnations.LATE_CALL_S
    incarnation.max_deadline_ms = max(incarnation.max_deadline_ms, deadline_ms)
    update_expiry(current, worker)
    return recorded


def revoke_deadline(
    current: state.SchedulerState, worker: state.WorkerState, recorded: RecordedDeadline
) -> None:
    """Revokes a deadline that certainly was not sent, unless another one was recorded since.

    Without this, each attempt to reach a worker that has crashed would postpone the time from which
    its runs certainly have ended.
    """
    incarnation = worker.incarnation
    if incarnation is recorded.incarnation and incarnation.deadlines_recorded == recorded.count:
        incarnation.max_deadline_ms = recorded.previous_ms
        worker.deadline_open_until_s = recorded.previous_open_until_s
        update_expiry(current, worker)


def update_expiry(current: state.SchedulerState, worker: state.WorkerState) -> None:
    """Computes when the leases on a worker have certainly expired, on the scheduler's clock."""
    incarnation = worker.incarnation
    if not incarnation.clock_ms or not incarnation.confirmed:
        return
    remaining_s = max(0.0, (incarnation.max_deadline_ms - incarnation.clock_ms) / 1000.0)
    remaining_s /= 1.0 - current.policy.clock_slowness_ratio
    expire_at_s = incarnation.clock_at_s + remaining_s + CLOCK_MARGIN_S
    worker.leases_expire_at_s = max(expire_at_s, incarnation.least_expiry_s)


def compute_lapse_s(
    current: state.SchedulerState, worker: state.WorkerState, run: state.Run | None = None
) -> float:
    """Returns when a run ends unless its worker reports before, on the scheduler's clock.

    Args:
        current: State of the scheduler.
        worker: The worker.
        run: The run, or None for what the known incarnation of the worker runs.
    """
    lapse_s = max(worker.leases_expire_at_s, worker.reported_at_s + MIN_SILENCE_S)
    if run is None:
        return lapse_s
    return max(lapse_s, _compute_unverified_end_s(current, worker, run))


def check_leases(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Ends runs whose leases have expired, strays too, and handles orders that were not answered.

    A run whose start order was not answered is stopped; an unconfirmed stop order is sent again.
    """
    result: list[commands.Command] = []
    for worker in list(current.workers.values()):
        if worker.runs or worker.strays:
            check = functools.partial(_check_worker, current, worker, now_s)
            subject = ("leases", worker.worker_id)
            result += boundaries.run_guarded(current, subject, now_s, check, result) or []
    if not current.unlisted_runs_ended:
        result += _end_unlisted_runs(current, now_s)
        current.unlisted_runs_ended = now_s > compute_handover_end_s(current)
    return result


def _check_worker(
    current: state.SchedulerState, worker: state.WorkerState, now_s: float
) -> list[commands.Command]:
    result: list[commands.Command] = []
    if now_s > compute_lapse_s(current, worker):
        strays.clear_strays(current, worker)
    for run in list(worker.runs.values()):
        phase = run.phase
        has_expired = now_s > compute_lapse_s(current, worker, run)
        if phase is _INTENDED or (phase is _RUNNING and not has_expired):
            continue
        if has_expired:
            result += runs.end_run(current, run, _classify_lapse(worker), "lease_lapsed", now_s)
        elif phase is _ORDERED:
            result += _handle_start_timeout(current, run, worker, now_s)
        else:
            result += _resend_stop(current, run, now_s)
    return result


def _classify_lapse(worker: state.WorkerState) -> runs.End:
    """Returns how the runs ended on a worker whose leases have expired.

    A worker that was only unreachable is still registered, and one that left has announced it.
    """
    has_crashed = not worker.registered and not worker.draining
    return runs.End.CRASHED if has_crashed else runs.End.INTERRUPTED


def _end_unlisted_runs(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Ends the runs that an earlier term recorded on workers that never registered with this one.

    Only the records that a term begins with can name such workers, so this is done until the leases
    of all earlier terms have expired.
    """
    expired = {
        worker_id
        for worker_id in _list_unlisted_workers(current)
        if now_s > compute_inherited_end_s(current, worker_id)
    }
    result: list[commands.Command] = []
    for job in list(current.jobs.values()) if expired else ():
        for run in job.list_runs():
            if run.worker_id in expired:
                result += runs.end_run(current, run, runs.End.CRASHED, "worker_unlisted", now_s)
    return result


def _handle_start_timeout(
    current: state.SchedulerState,
    run: state.Run,
    worker: state.WorkerState,
    now_s: float,
) -> list[commands.Command]:
    """Stops a run, with its gang if any, if its start order was not answered in time."""
    if run.awaits_first_report or now_s - run.phase_began_at_s < current.policy.order_timeout_s:
        return []
    worker.unreachable_until_s = now_s + runs.UNREACHABLE_S
    step = runs.find_step(current, run.task)
    fields = {"job": run.task.job_id, "worker": run.worker_id, "run": run.number}
    result: list[commands.Command] = [commands.Decision("start_unanswered", fields)]
    reason = state.StopReason.UNANSWERED
    if step is not None and step.step.gang:
        return result + runs.stop_step(current, step, reason, now_s)
    return result + runs.stop_run(current, run, reason, now_s)


def _resend_stop(
    current: state.SchedulerState, run: state.Run, now_s: float
) -> list[commands.Command]:
    """Sends the stop order for a run again if it was not confirmed in time."""
    if run.confirmed_at_s is not None or run.stop_sent_at_s is None:
        return []
    if now_s - run.stop_sent_at_s < current.policy.stop_retry_s:
        return []
    run.stop_sent_at_s = now_s
    return [commands.StopRun(run.worker_id, run.task, run.number)]
