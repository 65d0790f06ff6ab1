"""Carries out the commands of the decisions at workers and translates the replies to events."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from returns import result

from lycheegate.core import commands, events
from lycheegate.model import resources
from lycheegate.utils import exceptions

__all__ = [
    "Answer",
    "EventsReply",
    "FenceReply",
    "RefusedError",
    "TaskOrder",
    "WorkerCalls",
    "order_task",
    "release_task",
    "start_task",
    "stop_task",
    "translate_event",
    "translate_tasks",
]

LEASE_S = 60.0
ORDER_TRIES = 3
"""Deliveries of one order; a worker treats a repeated order as the same."""


@dataclasses.dataclass
class RefusedError(exceptions.LycheegateError):
    """A worker refused an order for a reason other than the epoch.

    Attributes:
        reason: ``leaving``, ``capacity``, ``tombstone``, ``unknown`` or ``state``.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskOrder:
    """Order to take a task."""

    request_id: str
    partition: str
    epoch: int
    member: int
    accelerators: tuple[int, ...]
    start: bool
    job_class: str
    payload: Mapping[str, Any]
    lease_s: float = LEASE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer as a worker sent it, with what the worker states about it."""

    body: bytes
    length: int
    sha256: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReply:
    """What a worker runs for a partition."""

    tasks: Sequence[Mapping[str, Any]]
    leaving: bool
    slots: int
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """Events of a worker after a position, and the next position."""

    next: int
    events: Sequence[Mapping[str, Any]]
    leaving: bool


class WorkerCalls(Protocol):
    """Calls of the worker protocol.

    Failures are ``FencedError``, ``RefusedError``, ``UnavailableError`` (no effect) and
    ``OutcomeUnknownError``.
    """

    def put_task(
        self, endpoint: str, task_id: str, order: TaskOrder
    ) -> result.Result[None, exceptions.LycheegateError]:
        """Orders a task."""

    def start_task(
        self, endpoint: str, task_id: str, epoch: int
    ) -> result.Result[None, exceptions.LycheegateError]:
        """Starts a held task."""

    def stop_task(
        self, endpoint: str, task_id: str, epoch: int, mode: str, grace_s: float
    ) -> result.Result[None, exceptions.LycheegateError]:
        """Stops a task."""

    def delete_task(
        self, endpoint: str, task_id: str, partition: str, epoch: int
    ) -> result.Result[bool, exceptions.LycheegateError]:
        """Deletes a task; returns whether it had started."""

    def fetch_answer(
        self, endpoint: str, task_id: str
    ) -> result.Result[Answer, exceptions.LycheegateError]:
        """Fetches an answer."""

    def fence(
        self, endpoint: str, partition: str, epoch: int, lease_s: float
    ) -> result.Result[FenceReply, exceptions.LycheegateError]:
        """Announces an epoch and renews leases."""

    def poll_events(
        self, endpoint: str, after: int, wait_s: float
    ) -> result.Result[EventsReply, exceptions.LycheegateError]:
        """Waits for events."""


_REFUSALS = {
    "leaving": events.Refusal.LEAVING,
    "capacity": events.Refusal.CAPACITY,
    "tombstone": events.Refusal.TOMBSTONE,
}


def order_task(
    calls: WorkerCalls, endpoint: str, task_id: str, order: TaskOrder
) -> result.Result[events.Event, exceptions.LycheegateError]:
    """Orders a task.

    Returns:
        The event that answers the command; the failure is ``FencedError``.
    """
    reply = _repeat(lambda: calls.put_task(endpoint, task_id, order))
    event = events.TaskStarted(task_id) if order.start else events.TaskHeld(task_id)
    return _judge(reply, task_id, event)


def start_task(
    calls: WorkerCalls, endpoint: str, task_id: str, epoch: int
) -> result.Result[events.Event, exceptions.LycheegateError]:
    """Starts a held task; see ``order_task``."""
    reply = _repeat(lambda: calls.start_task(endpoint, task_id, epoch))
    return _judge(reply, task_id, events.TaskStarted(task_id))


def stop_task(
    calls: WorkerCalls, endpoint: str, command: commands.StopTask, epoch: int
) -> result.Result[events.Event | None, exceptions.LycheegateError]:
    """Stops a task.

    Returns:
        None if the order was taken: the worker's event stream then says how the task ended. An
        event if the worker does not know the task. Failures are ``FencedError`` and those after
        which the order is repeated.
    """
    reply = _repeat(
        lambda: calls.stop_task(
            endpoint, command.task_id, epoch, str(command.mode), command.grace_s
        )
    )
    match reply:
        case result.Failure(RefusedError()):
            return result.Success(events.TaskStopped(command.task_id, False))
        case result.Failure():
            return reply
    return result.Success(None)


def release_task(
    calls: WorkerCalls, endpoint: str, task_id: str, partition: str, epoch: int
) -> result.Result[events.Event, exceptions.LycheegateError]:
    """Makes a worker forget a task; failures other than ``FencedError`` are repeated."""
    reply = calls.delete_task(endpoint, task_id, partition, epoch)
    return reply.map(lambda started: events.TaskReleased(task_id, started))


def _repeat(call):
    """Repeats an order whose delivery is not certain."""
    reply = call()
    for _ in range(ORDER_TRIES - 1):
        match reply:
            case result.Failure(exceptions.UnavailableError() | exceptions.OutcomeUnknownError()):
                reply = call()
            case _:
                break
    return reply


def _judge(
    reply: result.Result, task_id: str, event: events.Event
) -> result.Result[events.Event, exceptions.LycheegateError]:
    match reply:
        case result.Success():
            return result.Success(event)
        case result.Failure(exceptions.FencedError()):
            return reply
        case result.Failure(RefusedError() as error):
            refusal = _REFUSALS.get(error.reason, events.Refusal.CAPACITY)
            return result.Success(events.TaskRefused(task_id, refusal))
    return result.Success(events.TaskRefused(task_id, events.Refusal.UNREACHABLE))


def translate_event(event: Mapping[str, Any]) -> events.Event | None:
    """Returns the event of a task state that a worker reports."""
    task_id = str(event["task_id"])
    match event["state"]:
        case events.TaskState.HELD:
            return events.TaskHeld(task_id)
        case events.TaskState.RUNNING:
            return events.TaskStarted(task_id)
        case events.TaskState.FINISHED:
            return events.TaskFinished(task_id)
        case events.TaskState.FAILED:
            return events.TaskFailed(task_id, str(event.get("error") or "failed"))
        case events.TaskState.STOPPED:
            return events.TaskStopped(task_id, bool(event.get("checkpoint", False)))
    return None


def translate_tasks(tasks: Sequence[Mapping[str, Any]]) -> tuple[events.TaskReport, ...]:
    """Returns the tasks of a fence reply as reports."""
    reports = []
    for task in tasks:
        numbers = sorted(int(number) for number in task.get("accelerators") or ())
        reports.append(
            events.TaskReport(
                str(task["task_id"]),
                str(task["request_id"]),
                int(task["member"]),
                events.TaskState(task["state"]),
                numbers[0] if numbers else 0,
                len(numbers),
            )
        )
    return tuple(reports)


def list_accelerators(place: resources.MemberPlacement) -> tuple[int, ...]:
    """Returns the accelerator numbers of a place."""
    return tuple(range(place.first, place.first + place.count))
