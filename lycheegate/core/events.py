"""Events that the daemon passes to the scheduler core."""

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
    "WorkersListed",
]


class TaskState(enum.StrEnum):
    """State of a task on its worker."""

    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class Refusal(enum.StrEnum):
    """Reason why a worker did not accept an order."""

    LEAVING = "leaving"
    CAPACITY = "capacity"
    TOMBSTONE = "tombstone"
    """The worker has removed the task and refuses late orders for it."""
    UNREACHABLE = "unreachable"
    """The order was not delivered or its reply was lost, so it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """A task as reported by its worker after a fence."""

    task_id: str
    request_id: str
    member: int
    state: TaskState
    first: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class EpochGained:
    """This process now owns the partition under ``epoch``.

    Sent before any other event. Recovered requests and worker reports follow; the daemon sends
    ``Tick`` only after it has delivered every recovered request.
    """

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveredRequest:
    """A request that the table lists as not ended at a takeover.

    Attributes:
        request: The request.
        attempt_id: Attempt that was recorded before dispatch (non-idempotent only), or None.
        placement: Placement of that attempt; empty if there is none.
        cancel_requested: Whether its caller has asked for cancellation.
        instances: Instance of each member's worker when the attempt was recorded, or an empty
            string where it was unknown.
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
        resubmitted: Whether the request was submitted to another owner before, which may have
            run it. Only idempotent requests without a recorded attempt are resubmitted.
    """

    request: requests.Request
    resubmitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """The caller has asked for cancellation of the request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """The attempt of a non-idempotent request has been written to the table."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptNotRecorded:
    """The attempt is confirmed not to be in the table, so the request may be placed again.

    Attributes:
        attempt_id: The attempt.
        found_attempt_id: Attempt of another owner that the record has instead, or None. If set,
            the request is placed again only after that attempt is proven not to have started.
        found_placement: Placement of that attempt.
        found_instances: Instances of its members' workers when it was recorded.
    """

    attempt_id: str
    found_attempt_id: str | None = None
    found_placement: resources.Placement = ()
    found_instances: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker accepted the epoch of this owner and reported its tasks.

    Sent when a worker appears, at a takeover, and when a lost worker returns. ``tasks`` is
    complete: a task of this partition that is absent does not exist on the worker, and an order
    sent before the fence under an older epoch can no longer take effect.

    Attributes:
        worker: The worker.
        tasks: Its tasks of this partition.
        leaving: Whether the worker has announced its departure; it is then given no new work.
        restarted: Whether the worker may have lost its record of earlier tasks, so that the
            absence of a task does not prove that it never ran. Also set in the first report
            under an epoch, when earlier restarts are unknown; ``instance`` then decides.
        instance: Identifier of the worker process; it changes with each restart.
    """

    worker: resources.Worker
    tasks: tuple[TaskReport, ...] = ()
    leaving: bool = False
    restarted: bool = False
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """The worker is given no new work; its running tasks continue."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLost:
    """The worker has not replied within the loss timeout, or has left the list of VMs."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskHeld:
    """The worker holds the task's resources; the task has not started."""

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRefused:
    """The worker did not accept a hold or start order."""

    task_id: str
    reason: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """The task runs."""

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFinished:
    """The task has finished and its worker keeps the answer."""

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """The task ran and failed with an error of its own."""

    task_id: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped:
    """The task was stopped by a stop order or because its lease expired."""

    task_id: str
    checkpointed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReleased:
    """The worker has removed the task and refuses later orders for it.

    Attributes:
        task_id: The task.
        started: Whether the task had started.
    """

    task_id: str
    started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStored:
    """The complete answer was fetched, checked and stored."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The complete answer could not be fetched within the retry budget."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkersListed:
    """The VM list names these workers of the partition, not counting those that are leaving.

    A request that fits only on a worker without a first report under this epoch is not impossible.
    """

    worker_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseApplied:
    """A release has taken effect.

    Attributes:
        number: Number of the release.
        client_accounts: All client accounts.
        guarantees: Guarantees that are assigned to this partition.
    """

    number: int
    client_accounts: tuple[releases.ClientAccount, ...]
    guarantees: tuple[releases.Guarantee, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Advances the time; sent at least every 0.5 s."""


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
    | WorkersListed
    | ReleaseApplied
    | Tick
)
