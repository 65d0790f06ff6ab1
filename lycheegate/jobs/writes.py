"""Writes of progress records: what to write, and which orders a completed write allows.

A run is ordered only after its intention is durable, and the end of a run is acknowledged to its
worker only after the effect of the end is durable. Each write has the condition that the record
still has the version that was last seen, so a delayed write cannot replace a newer record.
"""

import dataclasses

from lycheegate.jobs import commands, model, progress, state

__all__ = ["Batch", "ProgressWrite", "collect_batch", "complete_batch", "requeue_batch"]

MAX_JOBS = 40
"""Maximum number of jobs in one transaction; each takes a condition and a write out of the 100
entries that a transaction may have."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressWrite:
    """A progress record to write.

    Attributes:
        job_id: Identifier of the job.
        version: Version that the stored record must have.
        data: The encoded record.
        status: Status that callers see once the record is written.
        intended: Runs (task and number) that may be ordered once the record is written.
    """

    job_id: str
    version: int
    data: bytes
    status: state.JobStatus
    intended: tuple[tuple[model.TaskKey, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Progress records that are written in one transaction.

    Attributes:
        writes: The records.
        ends: By worker, the number of its last end of a run whose effect the records include.
    """

    writes: tuple[ProgressWrite, ...]
    ends: dict[str, int]

    @property
    def has_intentions(self) -> bool:
        """Whether start orders follow once it is written."""
        return any(write.intended for write in self.writes)


def collect_batch(current: state.SchedulerState) -> Batch | None:
    """Returns the batch to write now, or None; the caller writes only one batch at a time."""
    dirty = [job for job in current.jobs.values() if job.dirty]
    if not dirty:
        _advance_durable_ends(
            current, {w.worker_id: w.processed_end for w in current.workers.values()}
        )
        return None
    writes = tuple(_make_write(job) for job in dirty[:MAX_JOBS])
    ends: dict[str, int] = {}
    if len(dirty) <= MAX_JOBS:
        ends = {worker.worker_id: worker.processed_end for worker in current.workers.values()}
    return Batch(writes, ends)


def _make_write(job: state.JobState) -> ProgressWrite:
    """Encodes a job's progress and marks the job as clean."""
    job.dirty = False
    intended = tuple(
        (run.task, run.number) for run in job.list_runs() if run.phase is state.RunPhase.INTENDED
    )
    data, status = progress.encode_progress(job), progress.make_status(job)
    return ProgressWrite(job.job.job_id, job.version, data, status, intended)


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
        intended = set(write.intended)
        for run in job.list_runs():
            if run.phase is state.RunPhase.INTENDED and (run.task, run.number) in intended:
                result.append(_order_start(job, run, now_s))
    _advance_durable_ends(current, batch.ends)
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


def _advance_durable_ends(current: state.SchedulerState, ends: dict[str, int]) -> None:
    for worker_id, end_number in ends.items():
        worker = current.workers.get(worker_id)
        # The numbering of ends starts again when a worker restarts, so a batch from before the
        # restart may have a higher number.
        if worker is not None and end_number <= worker.processed_end:
            worker.durable_end = max(worker.durable_end, end_number)


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
