"""Health of workers: suspicion and quarantine after failures, and detection of stalled runs.

Handles two kinds of faulty workers. Some fail every task at once; their room is always free, so
most of the queue would be placed on them and fail. They are suspected from the first early failure,
and quarantined for a while after failures of several jobs. On others, runs make no progress
although reports arrive. Both kinds get new work only if no other worker has room; gangs and last
attempts are not placed on them at all (``placement.list_sound``).
"""

from lycheegate.jobs import commands, estimates, state

__all__ = [
    "MIN_FAILURES",
    "is_quarantined",
    "is_stalled",
    "is_suspected",
    "list_stalled",
    "list_suspects",
    "record_failure",
    "record_success",
]

MIN_FAILURES = 2
"""Number of different jobs with consecutive failures after which a worker is quarantined."""
MIN_STALL_S = 1.6
"""Minimum time without progress before a run is stalled. Progress is seen with a delay, because
workers report once a second."""
STALL_FACTOR = 4.0
"""A run is stalled if its next percent takes this many times its average time per percent."""
STALL_CHECK_S = 0.25
"""Interval of the checks for stalled runs; to check every run in each scheduling pass would cost
more than the placement."""
BASE_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 20.0
SUSPICION_S = 10.0
"""How long a worker stays suspected after a failed run if nothing succeeds on it. It has to end,
because a suspected worker may get no work that could prove it sound."""
EARLY_FAILURE_S = 0.5
"""Age up to which the failure of a run makes its worker suspected. A faulty worker fails a run soon
after its start, whereas a faulty task may fail at any time."""
MAX_SUSPECTS_PER_STEP = 3
"""Number of workers that become suspected because of one step. If it fails on more, the step itself
is the likely cause."""

MAX_LISTED_SUSPECTS = 200
"""Maximum number of suspected workers that one scheduler tells the next. It keeps their record
below the store's limit for a row also with the longest identifiers."""


def record_failure(
    current: state.SchedulerState, run: state.Run, other_workers: int, now_s: float
) -> list[commands.Command]:
    """Records a failed run; its worker becomes suspected or quarantined if it is a likely cause.

    A worker is quarantined for the first time only after failures of several jobs, because
    failures of a single job are more likely the fault of the job.

    Args:
        current: State of the scheduler.
        run: The run.
        other_workers: Number of other workers on which its step has failed.
        now_s: Time on the scheduler's clock.

    Returns:
        Decisions to be logged.
    """
    worker = current.workers.get(run.worker_id)
    if worker is None:
        return []
    worker.failed_at_s = now_s
    return [
        *_suspect(worker, run, other_workers, now_s),
        *_quarantine(worker, run.task.job_id, now_s),
    ]


def _suspect(
    worker: state.WorkerState, run: state.Run, other_workers: int, now_s: float
) -> list[commands.Command]:
    """Suspects a worker after the early failure of a run."""
    age_s = 0.0 if run.running_since_s is None else now_s - run.running_since_s
    if age_s >= EARLY_FAILURE_S or other_workers >= MAX_SUSPECTS_PER_STEP:
        return []
    worker.suspected_until_s = now_s + SUSPICION_S
    worker.proved_at_s = None
    fields = {"worker": worker.worker_id, "job": run.task.job_id, "failed_after_s": round(age_s, 3)}
    return [commands.Decision("worker_suspected", fields)]


def _quarantine(worker: state.WorkerState, job_id: str, now_s: float) -> list[commands.Command]:
    """Quarantines a worker after failures of several jobs, or of one since its last quarantine."""
    if job_id not in worker.failures:
        worker.failures.append(job_id)
    if len(worker.failures) < MIN_FAILURES and not worker.quarantines:
        return []
    duration_s = min(MAX_QUARANTINE_S, BASE_QUARANTINE_S * 2.0 ** min(worker.quarantines, 10))
    fields = {"worker": worker.worker_id, "jobs": list(worker.failures), "for_s": duration_s}
    worker.quarantined_until_s = now_s + duration_s
    worker.quarantines += 1
    worker.failures.clear()
    return [commands.Decision("worker_quarantined", fields)]


def record_success(current: state.SchedulerState, worker_id: str, now_s: float) -> None:
    """Clears a worker's failures and ends its suspicion and quarantine; the worker is proved."""
    worker = current.workers.get(worker_id)
    if worker is not None:
        worker.failures.clear()
        worker.quarantines = 0
        worker.quarantined_until_s = 0.0
        worker.suspected_until_s = 0.0
        worker.proved_at_s = now_s


def is_suspected(worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether a run has failed early on a worker, and none has succeeded there since."""
    return now_s < worker.suspected_until_s


def list_suspects(current: state.SchedulerState, now_s: float) -> dict[str, float]:
    """Returns for how many seconds from now on each suspected worker stays suspected.

    Of many, those that are suspected longest are returned.
    """
    until_s = current.inherited_suspects | {
        worker.worker_id: worker.suspected_until_s
        for worker in current.workers.values()
        if is_suspected(worker, now_s)
    }
    longest = sorted(until_s, key=lambda worker_id: (-until_s[worker_id], worker_id))
    return {
        worker_id: until_s[worker_id] - now_s
        for worker_id in longest[:MAX_LISTED_SUSPECTS]
        if until_s[worker_id] > now_s
    }


def is_quarantined(worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether a worker is quarantined because of its failures."""
    return now_s < worker.quarantined_until_s


def list_stalled(current: state.SchedulerState, now_s: float) -> frozenset[str]:
    """Returns the workers with a stalled run; checks at most once per ``STALL_CHECK_S``."""
    if now_s - current.stall_checked_at_s >= STALL_CHECK_S:
        current.stall_checked_at_s = now_s
        current.stalled = frozenset(
            worker.worker_id for worker in current.workers.values() if is_stalled(worker, now_s)
        )
    return current.stalled


def is_stalled(worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether some run on a worker has stopped making progress.

    Only runs that have made progress before are checked, because declared durations are too
    inaccurate.
    """
    return any(_is_run_stalled(run, now_s) for run in worker.runs.values())


def _is_run_stalled(run: state.Run, now_s: float) -> bool:
    if run.phase is not state.RunPhase.RUNNING or not 0 < run.percent < 100:
        return False
    s_per_percent = estimates.compute_s_per_percent(run)
    if s_per_percent is None:
        return False
    return now_s - run.advanced_at_s > max(MIN_STALL_S, STALL_FACTOR * s_per_percent)
