"""Test doubles of requests, workers, records and owners for the tests of the engine."""

import dataclasses

from lycheegate.core import commands, engine, events
from lycheegate.model import requests, resources

LOSS_TIMEOUT_S = 3.0
# Possible fates of an order to a worker and of its reply.
FATES = ("ok", "lost", "late", "late_unreachable", "reply_lost", "reply_late", "reply_repeated")


def make_request(
    request_id: str,
    members: int = 1,
    accelerators: int = 1,
    idempotent: bool = True,
    **changes,
) -> requests.Request:
    """Returns a request with the default values of the tests."""
    request = requests.Request(
        request_id,
        "hanbok-studio",
        "retoucher-1",
        "hero-shot",
        requests.Urgency.NORMAL,
        resources.Shape(members, accelerators),
        idempotent,
        idempotent,
        0.0,
    )
    return dataclasses.replace(request, **changes)


def make_worker(worker_id: str, slots: int = 4, accelerators: int = 4) -> resources.Worker:
    """Returns a worker in the rack of the tests."""
    return resources.Worker(worker_id, "", "r", "suwon", "rack-1", slots, accelerators)


@dataclasses.dataclass
class Task:
    """A task on a fake worker."""

    order: commands.HoldTask
    state: events.TaskState
    run_s: float
    started: bool = False
    paused: bool = False


@dataclasses.dataclass
class FakeWorker:
    """A worker that holds, runs, stops and removes tasks and refuses outdated epochs.

    Attributes:
        known_lost: Whether the current owner has been told that the worker is lost.
        reachable_by_old: Whether the previous owner can still reach an unreachable worker.
    """

    worker: resources.Worker
    epoch: int = 0
    reachable: bool = True
    alive: bool = True
    leaving_since_s: float | None = None
    fails_all: bool = False
    crashed: bool = False
    instance_number: int = 0
    reported_epoch: int = 0
    unreachable_since_s: float = 0.0
    known_lost: bool = False
    reachable_by_old: bool = False
    connection: int = 0
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    tombstones: dict[str, bool] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Record:
    """A row of the request table."""

    request: requests.Request
    end: commands.EndRequest | None = None
    attempt_id: str | None = None
    placement: resources.Placement = ()
    instances: tuple[str, ...] = ()
    cancel_requested: bool = False


@dataclasses.dataclass
class Owner:
    """A process that owns the partition or still assumes that it does."""

    state: engine.PartitionState
    epoch: int
    ended: set[str] = dataclasses.field(default_factory=set)
    leaving: set[str] = dataclasses.field(default_factory=set)


def has_room(worker: FakeWorker, place: resources.MemberPlacement) -> bool:
    """Returns whether a place is free of held and running tasks."""
    active = (events.TaskState.HELD, events.TaskState.RUNNING)
    places = [task.order.place for task in worker.tasks.values() if task.state in active]
    return len(places) < worker.worker.slots and not any(
        other.first < place.first + place.count and place.first < other.first + other.count
        for other in places
    )


def stop_task(worker: FakeWorker, command: commands.StopTask) -> events.Event | None:
    """Stops a task and returns the resulting event, or None if the task is unknown."""
    task = worker.tasks.get(command.task_id)
    if task is None:
        return None
    if task.state is events.TaskState.FINISHED:
        return events.TaskFinished(command.task_id)
    if task.state is events.TaskState.FAILED:
        return events.TaskFailed(command.task_id, "error")
    task.state = events.TaskState.STOPPED
    return events.TaskStopped(command.task_id, False)
