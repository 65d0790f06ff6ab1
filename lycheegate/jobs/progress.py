"""Durable records of jobs: the job as accepted, and its progress.

A record is a list in CBOR whose first item is the number of the format. A progress record lists
every run that may exist on a worker. It is written before the first order for a run is sent, so
the scheduler of the next term knows which tasks may run where.

A progress record that is too large for a row has the compact form of its steps. If that is too
large as well, it is divided into pages, which are written together with the record.
"""

import dataclasses

import cbor2

from lycheegate.jobs import compact, model, state, validation
from lycheegate.utils import exceptions

__all__ = [
    "AcceptedJob",
    "JobStatus",
    "ProgressRecord",
    "RecordLimits",
    "decode_accepted",
    "decode_progress",
    "decode_status",
    "encode_accepted",
    "encode_progress",
    "make_status",
]

FORMAT = 1
COMPACT_FORMAT = 2
"""Format of a record whose steps are compact: as bytes, or as the number of pages."""
HEADER_BYTES = 64
"""Upper limit of the size of a compact record without its steps."""
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    RecursionError,
)
"""What decoding raises for a record with other types or fewer items than expected."""

JobStatus = state.JobStatus


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job with its queue as it was at the time of acceptance."""

    job: model.Job
    route: model.Route


def encode_accepted(accepted: AcceptedJob, max_bytes: int) -> bytes:
    """Returns the record of an accepted job; its steps are compressed if it is too large otherwise.

    Args:
        accepted: The job.
        max_bytes: Maximum size of a plain record.

    Returns:
        The record, which may still be too large.
    """
    job, route = accepted.job, accepted.route
    steps = [_encode_step(step) for step in job.steps]
    submission = [job.route, job.account, job.spec, job.accepted_at_s]
    times = [job.occurrences, job.start_at_s, job.interval_s]
    route_fields = [
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch_ratio,
        route.target_s,
    ]
    data = cbor2.dumps([FORMAT, submission, times, steps, route_fields])
    if len(data) <= max_bytes:
        return data
    packed = compact.compress(cbor2.dumps(steps))
    return cbor2.dumps([COMPACT_FORMAT, submission, times, packed, route_fields])


def decode_accepted(job_id: str, data: bytes) -> AcceptedJob:
    """Returns the accepted job that a record holds.

    Raises:
        ProtocolError: The record cannot be decoded.
    """
    try:
        format_, submission, times, steps, route_fields = cbor2.loads(data)
        if format_ == COMPACT_FORMAT:
            steps = cbor2.loads(compact.decompress(steps))
        else:
            _check_format(format_)
        job = model.Job(
            job_id=job_id,
            route=submission[0],
            account=submission[1],
            spec=submission[2],
            steps=tuple(_decode_step(step) for step in steps),
            accepted_at_s=submission[3],
            occurrences=times[0],
            start_at_s=times[1],
            interval_s=times[2],
        )
        accepted = AcceptedJob(job, model.Route(submission[0], *route_fields))
        validation.check_job(job)
        validation.check_route(accepted.route)
        return accepted
    except _DECODE_ERRORS as error:
        raise exceptions.ProtocolError(
            f"record of job {job_id} cannot be decoded: {error}"
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class RecordLimits:
    """Limits of the size of a progress record, in bytes.

    Attributes:
        row_bytes: Maximum size of the record, and of each of its pages.
        total_bytes: Maximum size of all pages.
    """

    row_bytes: int
    total_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressRecord:
    """The record of a job's progress.

    Attributes:
        data: The record.
        plain_bytes: Size of the record in the plain form.
        pages: Pages of the steps, if these do not fit into the record.
        is_compact: Whether its steps have the compact form.
        omits_checkpoints: Whether checkpoints were left out because the pages were too large.
    """

    data: bytes
    plain_bytes: int
    pages: tuple[bytes, ...] = ()
    is_compact: bool = False
    omits_checkpoints: bool = False


def encode_progress(job: state.JobState, limits: RecordLimits) -> ProgressRecord:
    """Returns the record of a job's progress, in the plain form if that fits into a row."""
    steps = [] if job.outcome is not None and not job.list_runs() else list(job.steps.values())
    items = [_encode_step_state(step) for step in steps]
    header = [job.outcome.value if job.outcome else "", job.started, job.next_occurrence]
    data = cbor2.dumps([FORMAT, *header, items])
    plain_bytes = len(data)
    if plain_bytes <= limits.row_bytes:
        return ProgressRecord(data, plain_bytes)
    packed = compact.pack_steps(items)
    omits_checkpoints = len(packed) > limits.total_bytes
    if omits_checkpoints:
        packed = compact.pack_steps(items, keep_checkpoints=False)
    if len(packed) + HEADER_BYTES <= limits.row_bytes:
        data = cbor2.dumps([COMPACT_FORMAT, *header, packed])
        return ProgressRecord(data, plain_bytes, (), True, omits_checkpoints)
    size = limits.row_bytes
    pages = tuple(packed[first : first + size] for first in range(0, len(packed), size))
    data = cbor2.dumps([COMPACT_FORMAT, *header, len(pages)])
    return ProgressRecord(data, plain_bytes, pages, True, omits_checkpoints)


def decode_progress(
    job: state.JobState, data: bytes, now_s: float, pages: tuple[bytes, ...] = ()
) -> None:
    """Restores a job's progress from a record; its runs become ordered but not confirmed.

    Args:
        job: State of the job, which is changed.
        data: The record.
        now_s: Time on the scheduler's clock.
        pages: The pages of the record.

    Raises:
        ProtocolError: The record cannot be decoded.
    """
    try:
        format_, outcome, started, next_occurrence, steps = cbor2.loads(data)
        if format_ == COMPACT_FORMAT:
            steps = _unpack_steps(steps, pages)
        else:
            _check_format(format_)
        job.outcome = model.Outcome(outcome) if outcome else None
        job.started = started
        job.next_occurrence = next_occurrence
        for item in steps:
            step = _decode_step_state(job.job, item, now_s)
            job.steps[step.key] = step
        validation.check_progress(job)
    except _DECODE_ERRORS as error:
        text = f"progress of job {job.job.job_id} cannot be decoded: {error}"
        raise exceptions.ProtocolError(text) from error
    if job.outcome is not None:
        job.ended_at_s = now_s


def _unpack_steps(steps: bytes | int, pages: tuple[bytes, ...]) -> list[list]:
    if isinstance(steps, bytes):
        return compact.unpack_steps(steps)
    if steps != len(pages):
        raise ValueError(f"expected {steps!r:.40} pages, got {len(pages)}")
    return compact.unpack_steps(b"".join(pages))


def make_status(job: state.JobState) -> JobStatus:
    """Returns the status that callers see once a job's current progress is stored."""
    return JobStatus(job.outcome, job.started)


def decode_status(data: bytes) -> JobStatus:
    """Returns the status that callers see, from a progress record.

    Raises:
        ProtocolError: The record cannot be decoded.
    """
    try:
        format_, outcome, started, _, steps = cbor2.loads(data)
        if format_ != COMPACT_FORMAT or not isinstance(steps, bytes | int):
            _check_format(format_)
        return JobStatus(model.Outcome(outcome) if outcome else None, bool(started))
    except _DECODE_ERRORS as error:
        raise exceptions.ProtocolError(f"progress record cannot be decoded: {error}") from error


def _check_format(format_: object) -> None:
    if format_ != FORMAT:
        raise ValueError(f"record has format {format_}; expected format {FORMAT}")


def _encode_step(step: model.Step) -> list:
    need = step.need
    return [
        step.count,
        [need.cpu_millicores, need.memory_mb, need.accelerators],
        step.estimate_s,
        list(step.depends_on),
        step.checkpoints,
        step.gang,
        step.same_rack,
        step.label,
        step.near_rack,
        step.max_per_worker,
        step.long_running,
        step.speculative,
        step.fills,
        step.may_miss,
    ]


def _decode_step(item: list) -> model.Step:
    count, need, estimate_s, depends_on, *rest = item
    return model.Step(count, model.Resources(*need), estimate_s, tuple(depends_on), *rest)


def _encode_step_state(step: state.StepState) -> list:
    """Returns a step's progress; what is known of crashes follows only if there is any."""
    incarnations = {
        index: run.worker_born_ms for index, run in step.runs.items() if run.worker_born_ms
    }
    crash_fields = [incarnations, step.crash_weights, step.last_crashed_numbers]
    return [
        list(step.key),
        sorted(step.done),
        step.failures,
        step.run_numbers,
        {index: run.worker_id for index, run in step.runs.items()},
        {index: value for index, value in step.checkpoints.items() if index not in step.done},
        step.last_failed_number,
        *(crash_fields if any(crash_fields) else ()),
    ]


def _decode_step_state(job: model.Job, item: list, now_s: float) -> state.StepState:
    key, done, failures, numbers, workers, checkpoints, last_failed_number, *crash_fields = item
    incarnations, crash_weights, last_crashed_numbers = crash_fields or ({}, {}, {})
    occurrence, number = key
    step = state.StepState((occurrence, number), job.steps[number])
    step.done = set(done)
    step.failures = dict(failures)
    step.run_numbers = dict(numbers)
    step.checkpoints = dict(checkpoints)
    step.last_failed_number = last_failed_number
    step.crash_weights = dict(crash_weights)
    step.last_crashed_numbers = dict(last_crashed_numbers)
    for index, worker_id in workers.items():
        step.runs[index] = state.Run(
            task=model.TaskKey(job.job_id, occurrence, number, index),
            worker_id=worker_id,
            number=step.run_numbers[index],
            need=step.step.need,
            phase=state.RunPhase.ORDERED,
            phase_began_at_s=now_s,
            advanced_at_s=now_s,
            baseline_percent=None,
            was_recovered=True,
            worker_born_ms=incarnations.get(index, 0),
            awaits_first_report=True,
        )
    return step
