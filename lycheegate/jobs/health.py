"""Workers that fail or stall what they start.

Answers two load patterns. Some workers fail every task at once: their room is always free, so
they would attract and destroy most of the queue; they get no work for a while. On others, tasks
stand still although reports arrive: they get new work only when no other worker has room.
"""

from lycheegate.jobs import state

__all__ = [
    "MIN_FAILURES",
    "is_quarantined",
    "is_stalled",
    "list_stalled",
    "record_failure",
    "record_success",
]

MIN_FAILURES = 2
"""Consecutive failures, of as many jobs, after which a worker is quarantined."""
MIN_STALL_S = 1.6
"""Reports come once a second, so progress is seen with that delay."""
STALL_FACTOR = 4.0
"""A run stalls when its next percent takes so many times longer than the others took."""
STALL_CHECK_S = 0.25
"""Looking at every run in every pass would cost more than placing work."""
QUARANTINE_BASE_S = 3.0
QUARANTINE_CAP_S = 20.0


def record_failure(
    current: state.SchedulerState, worker_id: str, job_id: str, now_s: float
) -> None:
    """Counts a failed run; failures of one job alone say more about the job than the worker."""
    worker = current.workers.get(worker_id)
    if worker is None:
        return
    if job_id not in worker.failures:
        worker.failures.append(job_id)
    if len(worker.failures) < MIN_FAILURES and not worker.quarantines:
        return
    duration_s = min(QUARANTINE_CAP_S, QUARANTINE_BASE_S * 2.0 ** min(worker.quarantines, 10))
    worker.quarantined_until_s = now_s + duration_s
    worker.quarantines += 1
    worker.failures.clear()


def record_success(current: state.SchedulerState, worker_id: str) -> None:
    """Clears a worker's failures."""
    worker = current.workers.get(worker_id)
    if worker is not None:
        worker.failures.clear()
        worker.quarantines = 0
        worker.quarantined_until_s = 0.0


def is_quarantined(worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether a worker gets no work because of its failures."""
    return now_s < worker.quarantined_until_s


def list_stalled(current: state.SchedulerState, now_s: float) -> frozenset[str]:
    """Returns the workers on which some run stands still, as of the last check."""
    if now_s - current.stalled_at_s >= STALL_CHECK_S:
        current.stalled_at_s = now_s
        current.stalled = frozenset(
            worker.worker_id for worker in current.workers.values() if is_stalled(worker, now_s)
        )
    return current.stalled


def is_stalled(worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether some run on a worker has stopped making progress.

    Only runs that have advanced before are judged: declared durations are too far from the truth.
    """
    return any(_is_run_stalled(run, now_s) for run in worker.runs.values())


def _is_run_stalled(run: state.Run, now_s: float) -> bool:
    if run.phase is not state.RunPhase.RUNNING or not 0 < run.percent < 100:
        return False
    percent_s = (run.advanced_at_s - run.since_s) / run.percent
    return now_s - run.advanced_at_s > max(MIN_STALL_S, STALL_FACTOR * percent_s)
