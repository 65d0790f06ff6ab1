"""Which progress is written when, and what a completed write allows.

A run is ordered only after its intention is durable, and a worker is told to forget an end only
after its effect is durable. Each record is written under the version that was last seen, so a
write that takes effect late cannot replace a newer one.
"""

import dataclasses

from lycheegate.jobs import commands, model, progress, state

__all__ = ["Batch", "ProgressWrite", "apply_conflict", "collect_batch", "complete_batch"]

MAX_JOBS = 40
"""Jobs in one transaction; each takes a condition and a write of the 100 entries allowed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressWrite:
    """A progress record to write.

    Attributes:
        job_id: The job.
        version: Version that the record must have.
        data: The record.
        status: What callers are told once the record is written.
        intended: Runs whose orders may be sent once the record is written.
    """

    job_id: str
    version: int
    data: bytes
    status: state.JobStatus
    intended: tuple[tuple[model.TaskKey, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that are written in one transaction.

    Attributes:
        writes: The records.
        ends: Number of the last end of each worker whose effect is in them.
    """

    writes: tuple[ProgressWrite, ...]
    ends: dict[str, int]

    @property
    def has_intentions(self) -> bool:
        """Whether orders follow it."""
        return any(write.intended for write in self.writes)


def collect_batch(current: state.SchedulerState) -> Batch | None:
    """Returns what has to be written now, or None; at most one batch is under way at a time."""
    dirty = [job for job in current.jobs.values() if job.dirty]
    if not dirty:
        _advance_kept(current, {w.worker_id: w.processed_end for w in current.workers.values()})
        return None
    writes = tuple(_make_write(job) for job in dirty[:MAX_JOBS])
    ends: dict[str, int] = {}
    if len(dirty) <= MAX_JOBS:
        ends = {worker.worker_id: worker.processed_end for worker in current.workers.values()}
    return Batch(writes, ends)


def _make_write(job: state.JobState) -> ProgressWrite:
    job.dirty = False
    intended = tuple(
        (run.task, run.number) for run in job.list_runs() if run.phase is state.RunPhase.INTENDED
    )
    data, status = progress.encode_progress(job), progress.make_status(job)
    return ProgressWrite(job.job.job_id, job.version, data, status, intended)


def complete_batch(
    current: state.SchedulerState, batch: Batch, version: int, now_s: float
) -> list[commands.Command]:
    """Notes that a batch is durable and returns the orders that it allows."""
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
                result.append(_order(job, run, now_s))
    _advance_kept(current, batch.ends)
    return result


def _order(job: state.JobState, run: state.Run, now_s: float) -> commands.Command:
    run.phase = state.RunPhase.ORDERED
    run.since_s = run.advanced_at_s = now_s
    step = job.steps[run.task.occurrence, run.task.step]
    checkpoint = step.checkpoints.get(run.task.index, "")
    run.checkpoint = checkpoint
    return commands.StartRun(run.worker_id, run.task, run.number, job.job.spec, checkpoint)


def _advance_kept(current: state.SchedulerState, ends: dict[str, int]) -> None:
    for worker_id, end_number in ends.items():
        worker = current.workers.get(worker_id)
        # The numbers begin anew when a worker restarts, so an older batch may name more.
        if worker is not None and end_number <= worker.processed_end:
            worker.durable_end = max(worker.durable_end, end_number)


def apply_conflict(current: state.SchedulerState, batch: Batch, versions: dict[str, int]) -> None:
    """Prepares the repetition of a batch that met other versions.

    Only this scheduler writes progress during its term, so another version is one of its own
    writes whose answer was lost.

    Args:
        current: The state.
        batch: The batch.
        versions: Versions that were found, by job.
    """
    for write in batch.writes:
        job = current.jobs.get(write.job_id)
        if job is not None:
            job.version = versions.get(write.job_id, job.version)
            job.dirty = True
