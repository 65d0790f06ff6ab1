"""Events that the decisions are driven with."""

import dataclasses
import enum

from lycheegate.model import releases, requests, resources

__all__ = [
    "AnswerBroken",
    "AnswerStored",
    "AttemptNotRecorded",
    "AttemptRecorded",
    "CancelRequested",
    "EpochGained",
    "Event",
    "RecoveredRequest",
    "Refusal",
    "ReleaseApplied",
    "RequestSubmitted",
    "TaskFailed",
    "TaskFinished",
    "TaskHeld",
    "TaskRefused",
    "TaskReleased",
    "TaskReport",
    "TaskStarted",
    "TaskState",
    "TaskStopped",
    "Tick",
    "WorkerLeaving",
    "WorkerLost",
    "WorkerReported",
]


class TaskState(enum.StrEnum):
    """State of a task at its worker."""

    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class Refusal(enum.StrEnum):
    """Why a worker did not take an order."""

    LEAVING = "leaving"
    CAPACITY = "capacity"
    TOMBSTONE = "tombstone"
    UNREACHABLE = "unreachable"
    """The order was not delivered, or its answer was lost; it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """A task as its worker reports it after a fence."""

    task_id: str
    request_id: str
    member: int
    state: TaskState
    first: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class EpochGained:
    """This process now owns the partition under ``epoch``.

    Sent before any other event. Recovered requests and worker reports follow it; the daemon
    sends ``Tick`` only after every recovered request was delivered.
    """

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveredRequest:
    """A request found in the table without an end, at takeover.

    Attributes:
        request: The request.
        attempt_id: Attempt that was recorded before dispatch (non-idempotent only), or None.
        placement: Placement of that attempt; empty if there is none.
        cancel_requested: Whether its caller has asked for cancellation.
        instances: Instance of each member's worker when the attempt was recorded, or an empty
            string where it was not known.
    """

    request: requests.Request
    attempt_id: str | None = None
    placement: resources.Placement = ()
    cancel_requested: bool = False
    instances: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A new request for this partition.

    Attributes:
        request: The request.
        resubmitted: Whether it was sent to another owner before, which may have run it. Only
            idempotent requests without a recorded attempt are sent again.
    """

    request: requests.Request
    resubmitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """The caller wants the request stopped."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """The attempt of a non-idempotent request is in the table."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptNotRecorded:
    """The attempt is certainly not in the table; the request may be placed again.

    Attributes:
        attempt_id: The attempt.
        found_attempt_id: Attempt of another owner that the record holds instead, or None. The
            request is then placed again only after that attempt is proven not to have started.
        found_placement: Placement of that attempt.
        found_instances: Instances of its workers when it was recorded.
    """

    attempt_id: str
    found_attempt_id: str | None = None
    found_placement: resources.Placement = ()
    found_instances: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker accepted our epoch and told what it runs.

    Sent when a worker appears, at takeover, and when it comes back after being lost.
    ``tasks`` is complete: a task of ours that is absent does not exist there, and an order
    sent before the fence under an older epoch can no longer take effect.

    Attributes:
        worker: The worker.
        tasks: Its tasks of this partition.
        leaving: Whether it says that it is leaving; it then gets no new work.
        restarted: Whether it has lost the memory of earlier tasks; the absence of a task then
            does not prove that the task never ran. The first report under an epoch says so
            too, as nothing is known then of earlier restarts; ``instance`` tells more.
        instance: Identity of the life of the worker; another one after each restart.
    """

    worker: resources.Worker
    tasks: tuple[TaskReport, ...] = ()
    leaving: bool = False
    restarted: bool = False
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """The worker gets no new work; what runs there goes on."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLost:
    """The worker has not answered for the loss time-out, or is gone from the VM list."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskHeld:
    """The worker holds the task's resources; the task has not started."""

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRefused:
    """The worker did not take a hold or a start."""

    task_id: str
    reason: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """The task runs."""

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFinished:
    """The task ran to its end and its worker keeps the answer."""

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """The task's own run failed."""

    task_id: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped:
    """The task was stopped by a stop order or because its lease lapsed."""

    task_id: str
    checkpointed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReleased:
    """The worker forgot the task and refuses later orders for it.

    Attributes:
        task_id: The task.
        started: Whether it had ever started.
    """

    task_id: str
    started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStored:
    """The whole answer was fetched, checked and stored."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The answer could not be fetched whole within the retry budget."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseApplied:
    """A release is in force.

    Attributes:
        client_accounts: All client accounts.
        guarantees: Guarantees that this partition carries.
    """

    number: int
    client_accounts: tuple[releases.ClientAccount, ...]
    guarantees: tuple[releases.Guarantee, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at least every 0.5 s."""


Event = (
    EpochGained
    | RecoveredRequest
    | RequestSubmitted
    | CancelRequested
    | AttemptRecorded
    | AttemptNotRecorded
    | WorkerReported
    | WorkerLeaving
    | WorkerLost
    | TaskHeld
    | TaskRefused
    | TaskStarted
    | TaskFinished
    | TaskFailed
    | TaskStopped
    | TaskReleased
    | AnswerStored
    | AnswerBroken
    | ReleaseApplied
    | Tick
)
