"""Commands that the scheduler core returns and the daemon executes."""

import dataclasses
import enum

from lycheegate.model import requests, resources

__all__ = [
    "CollectAnswer",
    "Command",
    "EndRequest",
    "HoldTask",
    "QuarantineWorker",
    "RecordAttempt",
    "ReleaseTask",
    "ReportShortGuarantee",
    "RestoreWorker",
    "StartTask",
    "StopMode",
    "StopTask",
    "format_task_id",
    "split_task_id",
]


class StopMode(enum.StrEnum):
    """How a task is stopped."""

    CHECKPOINT = "checkpoint"
    KILL = "kill"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAttempt:
    """Write the attempt to the request record with a conditional write.

    Answered by ``AttemptRecorded`` or ``AttemptNotRecorded``. No order for the attempt is sent
    before ``AttemptRecorded``.
    """

    request_id: str
    attempt_id: str
    placement: resources.Placement


@dataclasses.dataclass(frozen=True, slots=True)
class HoldTask:
    """Order a worker to reserve the resources of a task.

    Answered by ``TaskHeld`` (or ``TaskStarted`` when ``start`` is set) or ``TaskRefused``.

    Attributes:
        task_id: Identifier of the task, made of attempt and member.
        request_id: The request.
        member: Member number, from 0.
        place: Worker and accelerators of the task.
        start: Whether the task starts immediately; set for single tasks, which need no second
            phase.
    """

    task_id: str
    request_id: str
    member: int
    place: resources.MemberPlacement
    start: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start a held task; answered by ``TaskStarted`` or ``TaskRefused``."""

    task_id: str
    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task; answered by ``TaskStopped``, or ``TaskFinished`` if it finished before."""

    task_id: str
    worker_id: str
    mode: StopMode
    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseTask:
    """Order the worker to remove a task and to refuse late orders for it.

    Answered by ``TaskReleased``. The daemon repeats the order until the worker replies or is lost.
    """

    task_id: str
    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CollectAnswer:
    """Fetch the answer from member 0, check its length and digest, and store it.

    Answered by ``AnswerStored`` or ``AnswerBroken``.
    """

    request_id: str
    attempt_id: str
    task_id: str
    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndRequest:
    """Write the end of a request to its record and notify its caller.

    Attributes:
        request_id: The request.
        end: How it ended.
        outcome: Set for ``answered`` only.
        reason: Short code of the reason, such as ``deadline`` or ``quota``.
        retry_after_s: For ``not_run``: seconds until the caller should try again, or None if a
            retry would not help.
        attempt_id: Attempt whose stored answer is the answer, or None.
        detail: Error message of the job, for a failed outcome.
    """

    request_id: str
    end: requests.End
    outcome: requests.Outcome | None = None
    reason: str = ""
    retry_after_s: float | None = None
    attempt_id: str | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineWorker:
    """Notify operators that a worker is given no work because of its failures."""

    worker_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreWorker:
    """Notify operators that a quarantined worker is in use again."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportShortGuarantee:
    """Notify operators that the number of units of a guarantee without a home has changed.

    Attributes:
        client_account: Client account that has the guarantee.
        guarantee: Name of the guarantee.
        short_units: Number of units without a home; 0 if the guarantee is fully covered again.
        reason: Code of the reason, such as ``capacity_lost``.
    """

    client_account: str
    guarantee: str
    short_units: int
    reason: str


Command = (
    RecordAttempt
    | HoldTask
    | StartTask
    | StopTask
    | ReleaseTask
    | CollectAnswer
    | EndRequest
    | QuarantineWorker
    | RestoreWorker
    | ReportShortGuarantee
)


def format_task_id(attempt_id: str, member: int) -> str:
    """Returns the task identifier of a member of an attempt."""
    return f"{attempt_id}.{member}"


def split_task_id(task_id: str) -> tuple[str, int]:
    """Returns the attempt identifier and the member number of a task."""
    attempt_id, _, member = task_id.rpartition(".")
    return attempt_id, int(member)
