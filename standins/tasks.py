"""Tasks of the worker stand-in: fencing, tombstones, capacity, leases and events.

Nothing here reads a clock or waits: each function receives the time, and ``advance`` executes the
timers that have become due. A test can therefore apply events in any order.
"""

import collections
import dataclasses
import hashlib
import heapq
from typing import Any

import msgspec

from lycheegate.core import events

__all__ = ["Order", "Reply", "Task", "WorkerState"]

TaskState = events.TaskState
_ACTIVE_STATES = (TaskState.HELD, TaskState.RUNNING)
_MAX_EVENTS = 20_000
_USAGE_LAG_S = 2.0


class Order(msgspec.Struct, kw_only=True):
    """Body of the order that assigns a task to the worker."""

    request_id: str
    partition: str
    epoch: int
    member: int = 0
    lease_s: float = 60.0
    accelerators: list[int] = []
    state: TaskState = TaskState.RUNNING
    job_class: str = ""
    payload: dict[str, Any] = {}


@dataclasses.dataclass(slots=True)
class Task:
    """Task assigned to the worker and not yet deleted.

    Attributes:
        task_id: Identifier of the task.
        order: Order that assigned the task.
        state: Current state.
        started: Whether it has ever started.
        lease_until_s: Time at which its lease expires.
        checkpoint: Whether it was stopped with a checkpoint.
        stopping: Whether a stop order is pending.
        answer: Answer of a finished task.
    """

    task_id: str
    order: Order
    state: TaskState
    started: bool
    lease_until_s: float
    checkpoint: bool = False
    stopping: bool = False
    answer: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and JSON body of the reply to an order."""

    status: int
    body: dict[str, Any]


class WorkerState:
    """State of one worker.

    Attributes:
        slots: Maximum number of tasks that are held or running.
        accelerators: Number of accelerators.
        leaving: Whether the worker refuses new tasks.
        tasks: Tasks by identifier, until they are deleted.
        tombstones: Whether a deleted task had started, by task identifier.
        epochs: Highest epoch seen, by partition.
        starts: Number of task starts, by request identifier and member.
        fail_everything: Whether each task fails as soon as it starts.
        checkpoint_on_stop: Whether tasks can be checkpointed.
        last_seq: Sequence number of the newest event.
    """

    def __init__(self, slots: int = 8, accelerators: int = 8):
        self.slots = slots
        self.accelerators = accelerators
        self.leaving = False
        self.tasks: dict[str, Task] = {}
        self.tombstones: dict[str, bool] = {}
        self.epochs: dict[str, int] = {}
        self.starts: collections.Counter[tuple[str, int]] = collections.Counter()
        self.fail_everything = False
        self.checkpoint_on_stop = True
        self.last_seq = 0
        self._events: collections.deque[dict[str, Any]] = collections.deque(maxlen=_MAX_EVENTS)
        self._timers: list[tuple[float, int, str, str]] = []
        self._timer_count = 0
        self._usage: dict[str, Any] = {"slots": 0, "accelerators": 0}
        self._usage_at_s = float("-inf")

    def put_task(self, task_id: str, order: Order, now_s: float) -> Reply:
        """Accepts a task as held or running."""
        self.advance(now_s)
        refusal = self._check_epoch(order.partition, order.epoch)
        if refusal is not None:
            return refusal
        if task_id in self.tombstones:
            return Reply(409, {"error": "tombstone"})
        if task_id in self.tasks:
            return Reply(200, {"state": self.tasks[task_id].state})
        if self.leaving:
            return Reply(503, {"error": "leaving"})
        if not self._has_capacity(order.accelerators):
            return Reply(507, {"error": "capacity"})
        task = Task(task_id, order, TaskState.HELD, False, now_s + order.lease_s)
        self.tasks[task_id] = task
        self._schedule(task.lease_until_s, task_id, "lease")
        if order.state is TaskState.RUNNING:
            self._run_task(task, now_s)
        else:
            self._record_event(task)
        self.advance(now_s)
        return Reply(201, {"state": task.state})

    def start_task(self, task_id: str, epoch: int, now_s: float) -> Reply:
        """Starts a held task; has no effect if it has started already."""
        self.advance(now_s)
        task = self.tasks.get(task_id)
        if task is None:
            return self._make_unknown_reply(task_id)
        refusal = self._check_epoch(task.order.partition, epoch)
        if refusal is not None:
            return refusal
        if task.state is TaskState.HELD:
            self._run_task(task, now_s)
            self.advance(now_s)
        elif task.state is TaskState.STOPPED:
            return Reply(409, {"error": "state", "state": task.state})
        return Reply(200, {"state": task.state})

    def stop_task(self, task_id: str, epoch: int, mode: str, grace_s: float, now_s: float) -> Reply:
        """Stops a task, with a checkpoint if ``mode`` asks for one and ``grace_s`` allows it."""
        self.advance(now_s)
        task = self.tasks.get(task_id)
        if task is None:
            return self._make_unknown_reply(task_id)
        refusal = self._check_epoch(task.order.partition, epoch)
        if refusal is not None:
            return refusal
        if task.state is TaskState.HELD or (task.state is TaskState.RUNNING and mode == "kill"):
            self._end_task(task, TaskState.STOPPED)
        elif task.state is TaskState.RUNNING and not task.stopping:
            task.stopping = True
            can_checkpoint = self.checkpoint_on_stop and bool(
                task.order.payload.get("checkpoint", True)
            )
            checkpoint_s = float(task.order.payload.get("checkpoint_s", 0.0))
            if can_checkpoint and checkpoint_s <= grace_s:
                self._schedule(now_s + checkpoint_s, task_id, "checkpoint")
            else:
                self._schedule(now_s + (grace_s if can_checkpoint else 0.0), task_id, "kill")
            self.advance(now_s)
        return Reply(200, {"state": task.state})

    def delete_task(
        self, task_id: str, epoch: int, partition: str | None = None, now_s: float = 0.0
    ) -> Reply:
        """Deletes a task, stopping it if it is active, and records a tombstone."""
        self.advance(now_s)
        task = self.tasks.get(task_id)
        if task is not None:
            partition = task.order.partition
        if partition is not None:
            refusal = self._check_epoch(partition, epoch)
            if refusal is not None:
                return refusal
        if task is not None:
            if task.state in _ACTIVE_STATES:
                self._end_task(task, TaskState.STOPPED)
            del self.tasks[task_id]
            self.tombstones[task_id] = task.started
        return Reply(200, {"started": self.tombstones.setdefault(task_id, False)})

    def fence(self, partition: str, epoch: int, lease_s: float, now_s: float) -> Reply:
        """Raises the epoch of a partition, renews its leases and lists its tasks."""
        self.advance(now_s)
        refusal = self._check_epoch(partition, epoch)
        if refusal is not None:
            return refusal
        tasks = []
        for task in self.tasks.values():
            if task.order.partition != partition:
                continue
            if task.state in _ACTIVE_STATES:
                task.lease_until_s = now_s + lease_s
                self._schedule(task.lease_until_s, task.task_id, "lease")
            tasks.append(
                {
                    "task_id": task.task_id,
                    "request_id": task.order.request_id,
                    "member": task.order.member,
                    "state": task.state,
                    "accelerators": task.order.accelerators,
                    "checkpoint": task.checkpoint,
                }
            )
        body = {
            "tasks": tasks,
            "leaving": self.leaving,
            "slots": self.slots,
            "accelerators": self.accelerators,
        }
        return Reply(200, body)

    def list_events(self, after: int, now_s: float) -> list[dict[str, Any]]:
        """Returns the events with a sequence number above ``after``."""
        self.advance(now_s)
        missing = min(self.last_seq - after, len(self._events))
        return [self._events[index] for index in range(-missing, 0)] if missing > 0 else []

    def get_usage(self, now_s: float) -> dict[str, Any]:
        """Returns the used slots and accelerators, as of at most ``_USAGE_LAG_S`` ago."""
        if now_s - self._usage_at_s >= _USAGE_LAG_S:
            active = [task for task in self.tasks.values() if task.state in _ACTIVE_STATES]
            used = sum(len(task.order.accelerators) for task in active)
            self._usage = {"slots": len(active), "accelerators": used}
            self._usage_at_s = now_s
        return self._usage

    def lapse_leases(self, now_s: float) -> None:
        """Makes the leases of all tasks expire now."""
        for task in list(self.tasks.values()):
            task.lease_until_s = now_s
            self._schedule(now_s, task.task_id, "lease")
        self.advance(now_s)

    def get_next_due_s(self) -> float | None:
        """Returns when the next timer is due, or None if there is none."""
        return self._timers[0][0] if self._timers else None

    def advance(self, now_s: float) -> None:
        """Executes all timers that have become due, in order of time."""
        while self._timers and self._timers[0][0] <= now_s:
            due_s, _, task_id, action = heapq.heappop(self._timers)
            task = self.tasks.get(task_id)
            if task is None or task.state not in _ACTIVE_STATES:
                continue
            if action == "run":
                self._finish_task(task)
            elif action == "kill":
                self._end_task(task, TaskState.STOPPED)
            elif action == "checkpoint" or task.lease_until_s <= due_s:
                task.checkpoint = task.state is TaskState.RUNNING and self.checkpoint_on_stop
                self._end_task(task, TaskState.STOPPED)

    def _check_epoch(self, partition: str, epoch: int) -> Reply | None:
        """Records the epoch, or returns a refusal if a higher one has been seen."""
        highest = self.epochs.get(partition, 0)
        if epoch < highest:
            return Reply(409, {"error": "fenced", "epoch": highest})
        self.epochs[partition] = epoch
        return None

    def _make_unknown_reply(self, task_id: str) -> Reply:
        if task_id in self.tombstones:
            return Reply(409, {"error": "tombstone"})
        return Reply(404, {"error": "unknown"})

    def _has_capacity(self, wanted: list[int]) -> bool:
        active = [task for task in self.tasks.values() if task.state in _ACTIVE_STATES]
        used = {number for task in active for number in task.order.accelerators}
        in_range = all(0 <= number < self.accelerators for number in wanted)
        return len(active) < self.slots and in_range and used.isdisjoint(wanted)

    def _run_task(self, task: Task, now_s: float) -> None:
        task.state = TaskState.RUNNING
        task.started = True
        self.starts[task.order.request_id, task.order.member] += 1
        self._record_event(task)
        if self.fail_everything:
            self._end_task(task, TaskState.FAILED, error="worker defect")
        else:
            run_s = float(task.order.payload.get("run_s", 0.0))
            self._schedule(now_s + run_s, task.task_id, "run")

    def _finish_task(self, task: Task) -> None:
        failure = task.order.payload.get("fail")
        if failure:
            self._end_task(task, TaskState.FAILED, error=str(failure))
            return
        task.answer = _make_answer(task.order)
        digest = hashlib.sha256(task.answer).hexdigest()
        self._end_task(task, TaskState.FINISHED, length=len(task.answer), sha256=digest)

    def _end_task(self, task: Task, state: TaskState, **details: Any) -> None:
        task.state = state
        if task.checkpoint:
            details["checkpoint"] = True
        self._record_event(task, **details)

    def _record_event(self, task: Task, **details: Any) -> None:
        self.last_seq += 1
        event = {"seq": self.last_seq, "task_id": task.task_id, "state": task.state}
        self._events.append(event | details)

    def _schedule(self, at_s: float, task_id: str, action: str) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (at_s, self._timer_count, task_id, action))


def _make_answer(order: Order) -> bytes:
    """Returns the payload's ``answer``, or ``answer_bytes`` bytes made from the request's id."""
    if "answer" in order.payload:
        return str(order.payload["answer"]).encode()
    size = int(order.payload.get("answer_bytes", len(order.request_id)))
    pattern = order.request_id.encode() or b"-"
    return (pattern * (size // len(pattern) + 1))[:size]
