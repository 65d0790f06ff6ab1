"""Writes of progress records: what to write, and which orders a completed write allows.

A run is ordered only after its intention is durable, and the end of a run is acknowledged to its
worker only after the effect of the end is durable. Each write has the condition that the record
still has the version that was last seen, so a delayed write cannot replace a newer record.

Handles records that the store rejects. The jobs of a rejected batch are written in smaller ones
until the record that is rejected is found; it is then held back, and no other job waits for it.
"""

import dataclasses

from lycheegate.jobs import commands, model, progress, state

__all__ = [
    "Batch",
    "BatchSize",
    "ProgressWrite",
    "collect_batch",
    "complete_batch",
    "reject_batch",
    "requeue_batch",
]

MAX_JOBS = 40
"""Maximum number of jobs in one transaction; each takes a condition and a write out of the 100
entries that a transaction may have."""
BASE_REJECTION_DELAY_S = 1.0
"""Delay before a rejected record is written again; doubles with each further rejection."""
MAX_REJECTION_DELAY_S = 30.0


@dataclasses.dataclass(slots=True)
class BatchSize:
    """Number of jobs that the next batch may hold.

    Attributes:
        max_jobs: The number; below ``MAX_JOBS`` while a rejected record is searched for.
    """

    max_jobs: int = MAX_JOBS

    @property
    def is_searching(self) -> bool:
        """Whether a rejected record is searched for, so that the heartbeat is written alone."""
        return self.max_jobs < MAX_JOBS

    def record_rejected(self, jobs: int) -> None:
        """Records that a batch of a number of jobs was rejected."""
        self.max_jobs = max(1, jobs // 2)

    def record_written(self) -> None:
        """Records that a batch was written."""
        self.max_jobs = min(MAX_JOBS, 2 * self.max_jobs)


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressWrite:
    """A progress record to write.

    Attributes:
        job_id: Identifier of the job.
        version: Version that the stored record must have.
        data: The encoded record.
        status: Status that callers see once the record is written.
        intended: Runs (task and number) that may be ordered once the record is written.
        ends: First end of a run whose effect is stored with the record, by worker and its
            incarnation.
    """

    job_id: str
    version: int
    data: bytes
    status: state.JobStatus
    intended: tuple[tuple[model.TaskKey, int], ...]
    ends: dict[state.EndSource, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Progress records that are written in one transaction.

    Attributes:
        writes: The records.
    """

    writes: tuple[ProgressWrite, ...]

    @property
    def has_intentions(self) -> bool:
        """Whether start orders follow once it is written."""
        return any(write.intended for write in self.writes)


def collect_batch(
    current: state.SchedulerState, now_s: float, max_jobs: int = MAX_JOBS
) -> Batch | None:
    """Returns the batch to write now, or None; the caller writes only one batch at a time.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        max_jobs: Maximum number of jobs in the batch.
    """
    due = [job for job in current.jobs.values() if job.dirty and now_s >= job.write_not_before_s]
    if not due:
        _advance_durable_ends(current)
        return None
    return Batch(tuple(_make_write(job) for job in due[:max_jobs]))


def _make_write(job: state.JobState) -> ProgressWrite:
    """Encodes a job's progress and marks the job as clean."""
    job.dirty = False
    intended = tuple(
        (run.task, run.number) for run in job.list_runs() if run.phase is state.RunPhase.INTENDED
    )
    data, status = progress.encode_progress(job), progress.make_status(job)
    ends, job.unstored_ends = job.unstored_ends, {}
    return ProgressWrite(job.job.job_id, job.version, data, status, intended, ends)


def complete_batch(
    current: state.SchedulerState, batch: Batch, version: int, now_s: float
) -> list[commands.Command]:
    """Records that a batch is durable and returns the start orders that it allows.

    Args:
        current: State of the scheduler.
        batch: The batch.
        version: Version of its records in the store.
        now_s: Time on the scheduler's clock.
    """
    result: list[commands.Command] = []
    for write in batch.writes:
        job = current.jobs.get(write.job_id)
        if job is None:
            continue
        job.version = version
        job.stored_status = write.status
        job.rejections = 0
        intended = set(write.intended)
        for run in job.list_runs():
            if run.phase is state.RunPhase.INTENDED and (run.task, run.number) in intended:
                result.append(_order_start(job, run, now_s))
    _advance_durable_ends(current)
    return result


def _order_start(job: state.JobState, run: state.Run, now_s: float) -> commands.Command:
    """Marks a run as ordered and returns its start order."""
    run.phase = state.RunPhase.ORDERED
    run.phase_began_at_s = run.advanced_at_s = now_s
    step = job.steps[run.task.occurrence, run.task.step]
    checkpoint = step.checkpoints.get(run.task.index, "")
    run.checkpoint = checkpoint
    run.baseline_percent = None if checkpoint else 0
    return commands.StartRun(run.worker_id, run.task, run.number, job.job.spec, checkpoint)


def _advance_durable_ends(current: state.SchedulerState) -> None:
    """Computes up to which end the effects of a worker's ends are stored; nothing is being written.

    An end whose effect is not stored holds back only those of its own worker.
    """
    first_unstored: dict[state.EndSource, int] = {}
    for job in current.jobs.values():
        for source, end_number in job.unstored_ends.items():
            first_unstored[source] = min(end_number, first_unstored.get(source, end_number))
    for worker in current.workers.values():
        first = first_unstored.get((worker.worker_id, worker.born_ms))
        stored = worker.processed_end if first is None else first - 1
        worker.durable_end = max(worker.durable_end, stored)


def requeue_batch(current: state.SchedulerState, batch: Batch, versions: dict[str, int]) -> None:
    """Marks the jobs of a batch as dirty again after its write failed, so that they are rewritten.

    On a version conflict, the versions that the store found are adopted. Only this scheduler
    writes progress during its term, so an unexpected version comes from one of its own writes
    whose answer was lost.

    Args:
        current: State of the scheduler.
        batch: The batch.
        versions: Versions that the store found, by job; others are assumed unchanged.
    """
    for write in batch.writes:
        job = current.jobs.get(write.job_id)
        if job is not None:
            job.version = versions.get(write.job_id, job.version)
            job.dirty = True
            # The ends of the batch are older than those that were processed since.
            job.unstored_ends |= write.ends


def reject_batch(
    current: state.SchedulerState, batch: Batch, reason: str, now_s: float
) -> list[commands.Command]:
    """Handles a batch that the store rejects, and would reject again.

    A record that was alone in its batch is held back for a while. Its job starts nothing more, and
    the ends of its runs are not acknowledged, until it can be stored.

    Args:
        current: State of the scheduler.
        batch: The batch.
        reason: The store's answer, for the log.
        now_s: Time on the scheduler's clock.
    """
    requeue_batch(current, batch, {})
    result: list[commands.Command] = []
    for write in batch.writes if len(batch.writes) == 1 else ():
        job = current.jobs.get(write.job_id)
        if job is None:
            continue
        delay_s = min(MAX_REJECTION_DELAY_S, BASE_REJECTION_DELAY_S * 2.0 ** min(job.rejections, 8))
        job.rejections += 1
        job.write_not_before_s = now_s + delay_s
        fields = {"job": write.job_id, "bytes": len(write.data), "error": reason}
        result.append(commands.Decision("record_rejected", {**fields, "retry_in_s": delay_s}))
    return result
