"""Messages of the worker protocol, and their translation into events of ``core``."""

import urllib.parse
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec
from returns import result

from lycheegate.clients import guards, http
from lycheegate.core import commands, events
from lycheegate.utils import exceptions

__all__ = [
    "AFTER_ALL_EVENTS",
    "EventBody",
    "FenceBody",
    "PollBody",
    "ReplyBody",
    "decode",
    "encode_fence",
    "encode_order",
    "encode_start",
    "encode_stop",
    "find_error",
    "get_state_rank",
    "interpret_refusal",
    "make_event",
    "make_report",
    "make_task_path",
]

AFTER_ALL_EVENTS = (1 << 53) - 1
"""Event number that no worker reaches. A poll for the events after it returns the number of the
latest event without waiting."""

_RANKS = {events.TaskState.HELD: 1, events.TaskState.RUNNING: 2}
_FINAL_RANK = 3

_Model = TypeVar("_Model", bound=msgspec.Struct)


class EventBody(msgspec.Struct):
    """An event of a worker: a task has reached ``state``.

    ``length`` and ``sha256`` describe the answer of a finished task. ``checkpoint`` is true if a
    stopped task has made a checkpoint.
    """

    seq: int
    task_id: str
    state: events.TaskState
    error: str = ""
    length: int | None = None
    sha256: str | None = None
    checkpoint: bool = False


class PollBody(msgspec.Struct):
    """Answer to a long poll.

    ``next`` is the number of the latest event, and ``instance`` changes with each start of the
    worker.
    """

    next: int
    events: list[EventBody]
    leaving: bool = False
    usage: dict[str, Any] = {}
    instance: str = ""


class _TaskBody(msgspec.Struct):
    task_id: str
    request_id: str
    member: int
    state: events.TaskState
    accelerators: list[int] = []
    checkpoint: bool = False


class FenceBody(msgspec.Struct):
    """Answer to a fence: the tasks of the partition and the capacity of the worker."""

    tasks: list[_TaskBody]
    slots: int
    accelerators: int
    leaving: bool = False


class ReplyBody(msgspec.Struct):
    """Answer to an order, whether accepted or refused."""

    state: events.TaskState | None = None
    started: bool = False
    error: str = ""
    epoch: int = 0
    instance: str = ""


def make_task_path(task_id: str) -> str:
    """Returns the URL path of a task."""
    return f"/v1/tasks/{urllib.parse.quote(task_id, safe='')}"


def encode_order(
    command: commands.HoldTask,
    partition: str,
    epoch: int,
    lease_s: float,
    job_class: str,
    payload: Mapping[str, Any],
) -> bytes:
    """Returns the body of an order to accept a task.

    Args:
        command: The task and its placement.
        partition: Partition of the owner that gives the order.
        epoch: Epoch of the owner.
        lease_s: Lease of the task.
        job_class: Job class of the request.
        payload: Payload of the request.
    """
    place = command.place
    return msgspec.json.encode(
        {
            "request_id": command.request_id,
            "partition": partition,
            "epoch": epoch,
            "member": command.member,
            "lease_s": lease_s,
            "accelerators": list(range(place.first, place.first + place.count)),
            "state": events.TaskState.RUNNING if command.start else events.TaskState.HELD,
            "job_class": job_class,
            "payload": payload,
        }
    )


def encode_start(epoch: int) -> bytes:
    """Returns the body of a start order."""
    return msgspec.json.encode({"epoch": epoch})


def encode_stop(command: commands.StopTask, epoch: int) -> bytes:
    """Returns the body of a stop order."""
    body = {"epoch": epoch, "mode": command.mode, "grace_s": command.grace_s}
    return msgspec.json.encode(body)


def encode_fence(partition: str, epoch: int, lease_s: float) -> bytes:
    """Returns the body of a fence.

    A fence raises the epoch of a partition on the worker, which then refuses orders under lower
    epochs, and renews the leases of the tasks of the partition.
    """
    return msgspec.json.encode({"partition": partition, "epoch": epoch, "lease_s": lease_s})


def decode(
    outcome: http.HttpResult, model: type[_Model], statuses: tuple[int, ...] = (200,)
) -> result.Result[_Model, exceptions.LycheegateError]:
    """Decodes the answer of a worker.

    Args:
        outcome: Outcome of the HTTP request.
        model: Type of the answer.
        statuses: Accepted HTTP statuses.

    Returns:
        The decoded answer, or the error of the request, or ``ProtocolError``.
    """
    if isinstance(outcome, result.Failure):
        return result.Failure(outcome.failure())
    response = outcome.unwrap()
    if response.status not in statuses:
        return result.Failure(
            exceptions.ProtocolError(
                f"{model.__name__}: expected status in {statuses}, got {response.status}"
            )
        )
    try:
        return result.Success(msgspec.json.decode(response.body, type=model))
    except msgspec.DecodeError as error:
        return result.Failure(
            exceptions.ProtocolError(
                f"{model.__name__}: malformed answer of {len(response.body)} bytes: {error}"
            )
        )


def find_error(response: http.Response) -> exceptions.LycheegateError | None:
    """Returns the error that a response stands for, or None for a valid answer.

    A worker's refusal for lack of capacity, or because it is leaving, is a valid answer.
    """
    error = guards.find_error(response)
    if error is None or response.status == 507:
        return None
    if response.status == 503:
        try:
            if msgspec.json.decode(response.body, type=ReplyBody).error == "leaving":
                return None
        except msgspec.DecodeError:
            return error
    return error


def interpret_refusal(status: int, reply: ReplyBody) -> events.Refusal | None:
    """Returns why an order to accept or start a task was refused, or None if it was accepted."""
    if status in (200, 201):
        return None
    if status == 503:
        return events.Refusal.LEAVING
    if status == 507:
        return events.Refusal.CAPACITY
    if status == 404 or reply.error in ("tombstone", "state"):
        # The worker does not know the task, or deleted or stopped it; it can no longer start.
        return events.Refusal.TOMBSTONE
    return events.Refusal.UNREACHABLE


def get_state_rank(state: events.TaskState) -> int:
    """Returns the rank of a state; the states of a task have increasing ranks."""
    return _RANKS.get(state, _FINAL_RANK)


def make_event(
    task_id: str, state: events.TaskState, error: str = "", checkpointed: bool = False
) -> events.Event:
    """Returns the ``core`` event for a state that a task has reached."""
    if state is events.TaskState.HELD:
        return events.TaskHeld(task_id)
    if state is events.TaskState.RUNNING:
        return events.TaskStarted(task_id)
    if state is events.TaskState.FINISHED:
        return events.TaskFinished(task_id)
    if state is events.TaskState.FAILED:
        return events.TaskFailed(task_id, error)
    return events.TaskStopped(task_id, checkpointed)


def make_report(task: _TaskBody) -> events.TaskReport:
    """Returns the ``core`` report of a task that the answer to a fence lists."""
    first = min(task.accelerators, default=0)
    count = len(task.accelerators)
    return events.TaskReport(task.task_id, task.request_id, task.member, task.state, first, count)
