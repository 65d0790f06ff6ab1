"""Wire format of the callers' requests: job documents, job states and keys."""

import re

import msgspec

from lycheegate.jobs import model, progress, validation
from lycheegate.platform import foreign
from lycheegate.utils import exceptions

__all__ = [
    "DEADLINE_HEADER",
    "JOB_ID",
    "decode_job",
    "encode_pending",
    "encode_status",
    "parse_key",
]

DEADLINE_HEADER = "X-Lycheegate-Deadline-Ms"
JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES = 4000
_STATE_BY_OUTCOME = {
    model.Outcome.SUCCEEDED: "succeeded",
    model.Outcome.FAILED: "failed",
    model.Outcome.CANCELLED: "canceled",
}


class _Step(msgspec.Struct, rename="kebab"):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    depends_on: list[int] = []
    """Indices of the steps that must have ended before this one starts."""
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    """A single label, although the name is plural."""
    affinity: str = ""
    """Rack that stores the data."""
    anti_affinity: int = 0
    """Maximum number of tasks on one worker."""
    long_running: bool = False
    speculative: bool = False
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct, rename="kebab"):
    spec: str
    steps: list[_Step]
    repeats: int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0


def decode_job(
    data: bytes, job_id: str, route: str, account: str, accepted_at_s: float
) -> model.Job:
    """Decodes a submitted job.

    Args:
        data: Job document.
        job_id: Identifier chosen by the caller.
        route: Name of the route on which the job was submitted.
        account: Client account, or an empty string on a public route.
        accepted_at_s: Time of acceptance, in seconds since 1970.

    Raises:
        ProtocolError: The document is malformed or exceeds a limit.
    """
    try:
        document = foreign.decode_json(data, _Job, strict=False)
    except exceptions.ProtocolError as error:
        raise exceptions.ProtocolError(f"cannot decode job {job_id}: {error}") from error
    if not document.steps or len(document.spec.encode()) > MAX_SPEC_BYTES:
        raise exceptions.ProtocolError(
            f"job {job_id}: expected at least 1 step and a spec of at most {MAX_SPEC_BYTES} bytes, "
            f"got {len(document.steps)} steps and {len(document.spec.encode())} bytes"
        )
    if document.interval_ms < 0 or document.start_at_ms < 0:
        raise exceptions.ProtocolError(
            f"job {job_id}: start-at-ms and interval-ms must be at least 0, "
            f"got {document.start_at_ms} and {document.interval_ms}"
        )
    steps = tuple(_make_step(step, number) for number, step in enumerate(document.steps))
    job = model.Job(
        job_id=job_id,
        route=route,
        account=account,
        spec=document.spec,
        steps=steps,
        accepted_at_s=accepted_at_s,
        occurrences=max(1, document.repeats),
        start_at_s=document.start_at_ms / 1000.0 if document.repeats else 0.0,
        interval_s=document.interval_ms / 1000.0,
    )
    try:
        validation.check_job(job)
        validation.check_submitted_size(job)
    except ValueError as error:
        raise exceptions.ProtocolError(f"job {job_id}: {error}") from error
    return job


def _make_step(step: _Step, number: int) -> model.Step:
    if not 0 < step.count <= validation.MAX_TASKS:
        raise exceptions.ProtocolError(
            f"step {number}: count must be between 1 and {validation.MAX_TASKS}, got {step.count}"
        )
    if any(not 0 <= other < number for other in step.depends_on):
        raise exceptions.ProtocolError(
            f"step {number}: dependencies must be non-negative and less than {number}, "
            f"got values from {min(step.depends_on)} to {max(step.depends_on)}"
        )
    amounts = {
        "cpu": step.cpu,
        "mem-mb": step.mem_mb,
        "gpu": step.gpu,
        "estimate-ms": step.estimate_ms,
        "anti-affinity": step.anti_affinity,
        "may-miss": step.may_miss,
    }
    for name, amount in amounts.items():
        # NaN is not at least 0 either.
        if not amount >= 0:
            raise exceptions.ProtocolError(
                f"step {number}: {name} must be at least 0, got {amount}"
            )
    return model.Step(
        count=step.count,
        need=model.Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_s=max(model.MIN_ESTIMATE_S, step.estimate_ms / 1000.0),
        depends_on=tuple(step.depends_on),
        checkpoints=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requirements,
        near_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        long_running=step.long_running,
        speculative=step.speculative,
        fills=step.fills,
        may_miss=step.may_miss,
    )


def encode_status(status: progress.JobStatus) -> bytes:
    """Returns the body of the response to a query for the state of a job."""
    if status.outcome is not None:
        text = _STATE_BY_OUTCOME[status.outcome]
    else:
        text = "running" if status.started else "queued"
    return msgspec.json.encode({"state": text})


def encode_pending(count: int) -> bytes:
    """Returns the body of the response to a query for the number of queued jobs of a route."""
    return msgspec.json.encode({"pending": count})


def parse_key(authorization: str) -> str | None:
    """Returns the bearer key in an ``Authorization`` header, or None if there is none."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key:
        return None
    return key.strip()
