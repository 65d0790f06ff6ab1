"""Writes of progress records: what to write, and which orders a completed write allows.

A run is ordered only after its intention is durable, and the end of a run is acknowledged to its
worker only after the effect of the end is durable. Each write has the condition that the record
still has the version that was last seen, so a delayed write cannot replace a newer record.

Handles records that the store rejects. The jobs of a rejected batch are written in batches of half
the size, and without the heartbeat, until each has been written or was rejected alone. That one is
held back for a while, and no other job waits for it.

Also handles jobs of thousands of tasks, whose records are large. A batch has a limited size, and a
record that is larger is written by itself, without the heartbeat, and not with each change.
"""

import dataclasses

from lycheegate.jobs import commands, model, progress, state
from lycheegate.utils import errors

__all__ = [
    "Batch",
    "ProgressWrite",
    "collect_batch",
    "complete_batch",
    "reject_batch",
    "requeue_batch",
]

MAX_ENTRIES = 84
"""Maximum number of entries of a batch; the others are for the rows of the term."""
MAX_BATCH_BYTES = 250_000
"""Maximum size of a batch that may hold the heartbeat. It takes 0.4 s over a link of 5 Mbit/s."""
MAX_CALL_BYTES = 980_000
"""Maximum size of a batch that holds one large record; the store accepts calls of 1 MB."""
ENTRY_BYTES = 200
"""Upper limit of the size of an entry of a transaction without the value."""
REWRITE_BYTES_PER_S = 1_000_000
"""Rate at which a compact record is rewritten, by its size in the plain form. Each change rewrites
the whole record, which takes up to 0.06 s of processor time for 1 MB."""
BASE_REJECTION_DELAY_S = 1.0
"""Delay before a rejected record is written again; doubles with each further rejection."""
MAX_REJECTION_DELAY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressWrite:
    """A progress record to write.

    Attributes:
        job_id: Identifier of the job.
        version: Version that the stored record must have.
        record: The encoded record.
        stored_pages: Number of pages that may be stored.
        status: Status that callers see once the record is written.
        intended: Runs (task and number) that may be ordered once the record is written.
        ends: First end of a run whose effect is stored with the record, by worker and its
            incarnation.
    """

    job_id: str
    version: int
    record: progress.ProgressRecord
    stored_pages: int
    status: state.JobStatus
    intended: tuple[tuple[model.TaskKey, int], ...]
    ends: dict[state.EndSource, int]

    @property
    def entries(self) -> int:
        """Number of entries of the transaction: a condition, the record, and the pages."""
        return 2 + max(self.stored_pages, len(self.record.pages))

    @property
    def size_bytes(self) -> int:
        """Upper limit of the size of its entries, whose values are in Base64."""
        sizes = map(len, (self.record.data, *self.record.pages))
        return sum(map(_compute_base64_bytes, sizes)) + ENTRY_BYTES * self.entries

    @property
    def is_large(self) -> bool:
        """Whether it is written by itself."""
        return self.size_bytes > MAX_BATCH_BYTES or self.entries > MAX_ENTRIES // 2


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Progress records that are written in one transaction.

    Attributes:
        writes: The records; empty if none could be encoded.
        decisions: Decisions to be logged.
    """

    writes: tuple[ProgressWrite, ...]
    decisions: tuple[commands.Command, ...] = ()

    @property
    def has_intentions(self) -> bool:
        """Whether start orders follow once it is written."""
        return any(write.intended for write in self.writes)


def collect_batch(
    current: state.SchedulerState, now_s: float, has_heartbeat: bool = False
) -> Batch | None:
    """Returns the batch to write now, or None; the caller writes only one batch at a time.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        has_heartbeat: Whether the heartbeat is written with the batch, which then holds no large
            record, and none that was rejected.
    """
    due = [job for job in current.jobs.values() if job.dirty and now_s >= job.write_not_before_s]
    if not due:
        _advance_durable_ends(current)
        return None
    # Those that have waited longest go first, so that a large record is alone in a batch at last.
    due.sort(key=lambda job: job.written_at_s)
    writes: list[ProgressWrite] = []
    decisions: list[commands.Command] = []
    entries = size_bytes = 0
    max_jobs = state.MAX_BATCH_JOBS
    limits = _make_limits(current.policy.max_row_bytes)
    for job in due:
        if len(writes) >= max_jobs:
            break
        if len(writes) >= job.max_batch_jobs or (
            has_heartbeat and job.max_batch_jobs < state.MAX_BATCH_JOBS
        ):
            continue
        try:
            write = _make_write(job, limits)
        except Exception as error:
            # One job must not keep the others from being written.
            decision = _hold_back(job, 0, f"{type(error).__name__}: {error!s:.200}", now_s)
            decision.fields.update(errors.describe(error).make_fields(decision.fields["error"]))
            decisions.append(decision)
            continue
        if write.is_large and (writes or has_heartbeat):
            continue
        entries += write.entries
        size_bytes += write.size_bytes
        if writes and (entries > MAX_ENTRIES or size_bytes > MAX_BATCH_BYTES):
            break
        _record_collected(job, write, now_s)
        writes.append(write)
        if write.record.omits_checkpoints:
            fields = {"job": write.job_id, "bytes": write.size_bytes}
            decisions.append(commands.Decision("checkpoints_omitted", fields))
        max_jobs = 1 if write.is_large else min(max_jobs, job.max_batch_jobs)
    return Batch(tuple(writes), tuple(decisions)) if writes or decisions else None


def _record_collected(job: state.JobState, write: ProgressWrite, now_s: float) -> None:
    """Marks a job as clean, as its progress is about to be written."""
    job.dirty = False
    job.unstored_ends = {}
    job.written_at_s = now_s
    if write.record.is_compact:
        job.write_not_before_s = now_s + write.record.plain_bytes / REWRITE_BYTES_PER_S


def _make_write(job: state.JobState, limits: progress.RecordLimits) -> ProgressWrite:
    intended = tuple(
        (run.task, run.number) for run in job.list_runs() if run.phase is state.RunPhase.INTENDED
    )
    record = progress.encode_progress(job, limits)
    status = progress.make_status(job)
    return ProgressWrite(
        job.job.job_id, job.version, record, job.stored_pages, status, intended, job.unstored_ends
    )


def _make_limits(max_row_bytes: int) -> progress.RecordLimits:
    """Returns the limits of a record that is alone in its batch, all of its pages included."""
    page_bytes = _compute_base64_bytes(max_row_bytes) + ENTRY_BYTES
    pages = min(MAX_ENTRIES - 2, MAX_CALL_BYTES // page_bytes - 1)
    return progress.RecordLimits(max_row_bytes, max(1, pages) * max_row_bytes)


def _compute_base64_bytes(size_bytes: int) -> int:
    """Returns the size of a value in Base64."""
    return (size_bytes + 2) // 3 * 4


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
        job.stored_pages = len(write.record.pages)
        job.stored_status = write.status
        job.rejections = 0
        job.max_batch_jobs = state.MAX_BATCH_JOBS
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
        stored = worker.incarnation.processed_end if first is None else first - 1
        worker.incarnation.durable_end = max(worker.incarnation.durable_end, stored)


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
            job.stored_pages = max(job.stored_pages, len(write.record.pages))
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
    for write in batch.writes:
        job = current.jobs.get(write.job_id)
        if job is None:
            continue
        job.max_batch_jobs = max(1, len(batch.writes) // 2)
        if len(batch.writes) == 1:
            result.append(_hold_back(job, write.size_bytes, reason, now_s))
    return result


def _hold_back(
    job: state.JobState, size_bytes: int, reason: str, now_s: float
) -> commands.Decision:
    """Holds a job's record back, and returns the decision to be logged."""
    delay_s = min(MAX_REJECTION_DELAY_S, BASE_REJECTION_DELAY_S * 2.0 ** min(job.rejections, 8))
    job.rejections += 1
    job.write_not_before_s = now_s + delay_s
    fields = {"job": job.job.job_id, "bytes": size_bytes, "error": reason, "retry_in_s": delay_s}
    return commands.Decision("record_rejected", fields)
