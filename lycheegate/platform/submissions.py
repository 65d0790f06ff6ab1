"""Calls of clients: job documents, job states, keys."""

import re

import msgspec

from lycheegate.jobs import model, progress
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
MAX_TASKS = 100_000
_STATES = {
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
    """Numbers of the steps that must be done first."""
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    """A label, in spite of the plural."""
    affinity: str = ""
    """The rack that holds the data."""
    anti_affinity: int = 0
    """Most tasks on one worker."""
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
    """Returns the job of a submission.

    Raises:
        ProtocolError: The document is not a job.
    """
    try:
        document = msgspec.json.decode(data, type=_Job, strict=False)
    except msgspec.DecodeError as error:
        raise exceptions.ProtocolError(f"job cannot be read: {error}") from error
    if not document.steps or len(document.spec.encode()) > MAX_SPEC_BYTES:
        raise exceptions.ProtocolError("job has no steps, or its spec is too long")
    steps = tuple(_make_step(step, number) for number, step in enumerate(document.steps))
    return model.Job(
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


def _make_step(step: _Step, number: int) -> model.Step:
    if not 0 < step.count <= MAX_TASKS:
        raise exceptions.ProtocolError(f"step {number}: count {step.count} is out of range")
    if any(not 0 <= other < number for other in step.depends_on):
        raise exceptions.ProtocolError(f"step {number}: depends on a step that is not earlier")
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
    """Returns the answer to a question for a job's state."""
    if status.outcome is not None:
        text = _STATES[status.outcome]
    else:
        text = "running" if status.started else "queued"
    return msgspec.json.encode({"state": text})


def encode_pending(count: int) -> bytes:
    """Returns the answer to a question for the jobs of a queue that have not begun."""
    return msgspec.json.encode({"pending": count})


def parse_key(authorization: str) -> str | None:
    """Returns the key of an ``Authorization`` header, or None."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key:
        return None
    return key.strip()
