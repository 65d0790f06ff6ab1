"""Discrete-event simulation of the decisions with fake workers and a fake request table.

There is no network and no cluster model: an order takes a fixed time, a task takes its actual run
time, and faults occur at the times of the fault plan. With ``partitioned`` set, each data centre is
a partition with its own state, and requests are routed by partition summaries that are refreshed at
each tick.
"""

import dataclasses
import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable
from types import ModuleType
from typing import Any

from benchmarks import faults, recorders, workloads
from lycheegate.core import commands, events, policy, routing
from lycheegate.model import requests, resources

__all__ = ["Driver", "Task"]

ORDER_S = 0.003  # order to a worker and its reply
RECORD_S = 0.010  # conditional write to the table service
CHECKPOINT_S = 0.5  # time to checkpoint a task
FAIL_S = 0.2  # time after which a task fails on a broken worker
LOSS_TIMEOUT_S = 3.0
TICK_S = 0.5
SAMPLE_S = 5.0
_ACTIVE_STATES = (events.TaskState.HELD, events.TaskState.RUNNING)


@dataclasses.dataclass(slots=True)
class Task:
    """Task on a fake worker.

    Attributes:
        task_id: Identifier of the task.
        request_id: Request of the task.
        place: Accelerators of the task.
        state: Current state.
        started_at_s: Time of its start.
        start_number: Number of its start, by which outdated timers are ignored.
    """

    task_id: str
    request_id: str
    place: resources.MemberPlacement
    state: events.TaskState
    started_at_s: float = 0.0
    start_number: int = 0


class Driver:
    """Simulation of one workload with one implementation of the decisions."""

    def __init__(
        self,
        core: ModuleType,
        workload: workloads.Workload,
        settings: policy.PolicySettings,
        fault_plan: faults.FaultPlan | None = None,
        seed: int = 0,
        window_s: float = float("inf"),
        partitioned: bool = False,
    ):
        self.core = core
        self.window_s = window_s
        self.workload = workload
        self.faults = fault_plan or faults.FaultPlan()
        self.now_s = 0.0
        self.recorder = recorders.Recorder()
        self.workers = {w.worker_id: w for w in workloads.make_workers(workload)}
        names = workload.data_centres if partitioned else ("all",)
        self.partitions = {
            w.worker_id: w.data_centre if partitioned else "all" for w in self.workers.values()
        }
        self.states: dict[str, Any] = {
            name: core.create_state(f"{name}/0", settings, seed) for name in names
        }
        self._request_partition: dict[str, str] = {}
        self._summaries: list[routing.PartitionSummary] = []
        self._router_rng = random.Random(f"router/{seed}")
        self.alive = dict.fromkeys(self.workers, True)
        self.tasks: dict[str, Task] = {}
        self._accelerators: dict[str, list[str | None]] = {
            w.worker_id: [None] * w.accelerators for w in self.workers.values()
        }
        self.tombstones: set[str] = set()
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = itertools.count()
        self._start_numbers = itertools.count(1)
        self._rng = random.Random(f"faults/{seed}")
        self._open_traces: dict[str, recorders.RequestTrace] = {}
        self._partial_since: dict[str, float] = {}
        self._stopped_at_s: dict[str, float] = {}
        self._broken = {
            f"w{number:03d}": (start_s, until_s)
            for start_s, until_s, number in self.faults.broken_workers
        }

    def run(
        self, arrivals: Iterable[tuple[float, workloads.Arrival]], until_s: float
    ) -> recorders.Recorder:
        """Simulates until ``until_s`` and returns the figures."""
        for name in self.states:
            self._start_partition(name)
        self._refresh_summaries()
        for at_s, arrival in arrivals:
            self._schedule_at(at_s, self._submit, arrival)
        for at_s, number, outage_s in self.faults.lost_workers:
            self._schedule_at(at_s, self._fail_worker, f"w{number:03d}", outage_s)
        for at_s in self.faults.cancel_waves:
            self._schedule_at(at_s, self._cancel_at_random)
        self._schedule_at(TICK_S, self._handle_tick)
        self._schedule_at(SAMPLE_S, self._sample_fragmentation)
        while self._heap and self._heap[0][0] <= until_s:
            at_s, _, function, arguments = heapq.heappop(self._heap)
            self.now_s = at_s
            function(*arguments)
        for task in list(self.tasks.values()):
            if task.state is events.TaskState.RUNNING:
                self._record_usage(task, useful=True)
        return self.recorder

    def _start_partition(self, name: str) -> None:
        self._deliver_to_partition(name, events.EpochGained(1))
        for worker in self.workers.values():
            if self.partitions[worker.worker_id] == name:
                self._deliver_to_partition(name, events.WorkerReported(worker))
        guarantees = tuple(g for g in self.workload.guarantees if name in ("all", g.data_centre))
        self._deliver_to_partition(
            name, events.ReleaseApplied(1, self.workload.client_accounts, guarantees)
        )

    def _schedule_at(self, at_s: float, function: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._heap, (at_s, next(self._sequence), function, arguments))

    def _schedule_after(
        self, delay_s: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        self._schedule_at(self.now_s + delay_s, function, *arguments)

    def _deliver(self, event: events.Event) -> None:
        """Delivers an event to the partition of its worker, task, attempt or request."""
        if hasattr(event, "worker_id"):
            name = self.partitions[event.worker_id]
        elif hasattr(event, "task_id"):
            name = self._request_partition[_get_request_id(event.task_id)]
        elif hasattr(event, "attempt_id"):
            name = self._request_partition[_get_request_id(event.attempt_id)]
        else:
            name = self._request_partition[event.request_id]
        self._deliver_to_partition(name, event)

    def _deliver_to_partition(self, name: str, event: events.Event) -> None:
        before_s = time.perf_counter()
        issued = self.core.decide(self.states[name], event, self.now_s)
        self.recorder.decision_s.append(time.perf_counter() - before_s)
        for command in issued:
            self._execute_command(command)

    def _execute_command(self, command: commands.Command) -> None:
        match command:
            case commands.RecordAttempt():
                self._record_attempt(command.attempt_id)
            case commands.HoldTask():
                self._schedule_after(ORDER_S, self._handle_hold, command)
            case commands.StartTask():
                self._schedule_after(ORDER_S, self._start_task, command.task_id)
            case commands.StopTask():
                self._schedule_after(ORDER_S, self._handle_stop, command)
            case commands.ReleaseTask():
                self._schedule_after(ORDER_S, self._handle_release, command)
            case commands.CollectAnswer():
                self._schedule_after(ORDER_S, self._handle_collect, command)
            case commands.EndRequest():
                self._record_end(command)
            case commands.ReportShortGuarantee():
                key = (command.client_account, command.guarantee)
                if command.short_units:
                    self.recorder.short_guarantees.add(key)

    # Callers.

    def _submit(self, arrival: workloads.Arrival) -> None:
        trace = recorders.RequestTrace(
            arrival, guarantee_idle=self._has_idle_guarantee(arrival.request)
        )
        request_id = arrival.request.request_id
        self.recorder.traces[request_id] = trace
        self._open_traces[request_id] = trace
        if arrival.cancel_after_s is not None:
            self._schedule_after(arrival.cancel_after_s, self._cancel, request_id)
        if not arrival.request.idempotent and faults.is_table_down(self.faults, self.now_s):
            # The entry VM cannot record the request and refuses it before any decision.
            self._record_end(
                commands.EndRequest(request_id, requests.End.NOT_RUN, reason="store_unavailable")
            )
            return
        name = self._route(arrival.request)
        self._request_partition[request_id] = name
        self._deliver_to_partition(name, events.RequestSubmitted(arrival.request))

    def _route(self, request: requests.Request) -> str:
        if len(self.states) == 1:
            return next(iter(self.states))
        local_data_centre = self._router_rng.choice(self.workload.data_centres)
        name = routing.choose_partition(
            request, self._summaries, local_data_centre, self._router_rng
        )
        return name.rpartition("/")[0] if name else local_data_centre

    def _refresh_summaries(self) -> None:
        if len(self.states) == 1:
            return
        self._summaries = [self.core.summarize(state) for state in self.states.values()]

    def _has_idle_guarantee(self, request: requests.Request) -> bool:
        units = sum(
            g.count
            for g in self.workload.guarantees
            if g.client_account == request.client_account and g.shape == request.shape
        )
        in_use = sum(
            trace.arrival.request.client_account == request.client_account
            and trace.arrival.request.shape == request.shape
            for trace in self._open_traces.values()
        )
        return in_use < units

    def _cancel(self, request_id: str) -> None:
        if request_id in self._open_traces:
            self._deliver(events.CancelRequested(request_id))

    def _cancel_at_random(self) -> None:
        for request_id in sorted(self._open_traces):
            if self._rng.random() < 1 / 3:
                self._cancel(request_id)

    def _record_end(self, command: commands.EndRequest) -> None:
        trace = self.recorder.traces[command.request_id]
        trace.ends += 1
        trace.end = command
        trace.ended_at_s = self.now_s
        self._open_traces.pop(command.request_id, None)

    # Request table.

    def _record_attempt(self, attempt_id: str) -> None:
        for start_s, until_s in self.faults.table_outages:
            if start_s <= self.now_s < until_s:
                self._schedule_at(until_s, self._deliver, events.AttemptRecorded(attempt_id))
                return
        self._schedule_after(RECORD_S, self._deliver, events.AttemptRecorded(attempt_id))

    # Workers.

    def _handle_hold(self, command: commands.HoldTask) -> None:
        worker_id = command.place.worker_id
        if not self.alive[worker_id]:
            self._deliver_refusal(command.task_id, events.Refusal.UNREACHABLE)
        elif command.task_id in self.tombstones:
            self._deliver_refusal(command.task_id, events.Refusal.TOMBSTONE)
        else:
            self._assign_accelerators(command)
            self.tasks[command.task_id] = Task(
                command.task_id, command.request_id, command.place, events.TaskState.HELD
            )
            if command.start:
                self._start_task(command.task_id)
            else:
                self._deliver(events.TaskHeld(command.task_id))

    def _assign_accelerators(self, command: commands.HoldTask) -> None:
        place = command.place
        occupants = self._accelerators[place.worker_id]
        for index in range(place.first, place.first + place.count):
            occupant = self.tasks.get(occupants[index] or "")
            if occupant is not None and occupant.state in _ACTIVE_STATES:
                self.recorder.overbooked += 1
            occupants[index] = command.task_id

    def _deliver_refusal(self, task_id: str, reason: events.Refusal) -> None:
        self._deliver(events.TaskRefused(task_id, reason))

    def _start_task(self, task_id: str) -> None:
        task = self.tasks.get(task_id)
        if task is None:
            self._deliver_refusal(task_id, events.Refusal.UNREACHABLE)
            return
        if task.state is not events.TaskState.HELD:
            return
        task.state = events.TaskState.RUNNING
        task.started_at_s = self.now_s
        task.start_number = next(self._start_numbers)
        trace = self.recorder.traces[task.request_id]
        _, member = commands.split_task_id(task_id)
        if member == 0:
            trace.starts += 1
        if trace.started_at_s is None:
            trace.started_at_s = self.now_s
        self._schedule_after(
            self._compute_remaining_s(task, trace), self._finish_task, task_id, task.start_number
        )
        self._deliver(events.TaskStarted(task_id))

    def _compute_remaining_s(self, task: Task, trace: recorders.RequestTrace) -> float:
        if self._is_broken(task.place.worker_id) or trace.arrival.always_fails:
            return FAIL_S
        return max(0.01, trace.arrival.run_s - trace.checkpointed_s)

    def _is_broken(self, worker_id: str) -> bool:
        start_s, until_s = self._broken.get(worker_id, (0.0, 0.0))
        return start_s <= self.now_s < until_s

    def _finish_task(self, task_id: str, start_number: int) -> None:
        task = self.tasks.get(task_id)
        if (
            task is None
            or task.start_number != start_number
            or task.state is not events.TaskState.RUNNING
        ):
            return
        trace = self.recorder.traces[task.request_id]
        if self._is_broken(task.place.worker_id) or trace.arrival.always_fails:
            task.state = events.TaskState.FAILED
            self._record_usage(task, useful=False)
            self._deliver(events.TaskFailed(task_id, "failed"))
        else:
            task.state = events.TaskState.FINISHED
            self._record_usage(task, useful=True)
            self._deliver(events.TaskFinished(task_id))

    def _handle_stop(self, command: commands.StopTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is None or not self.alive[task.place.worker_id]:
            return
        if task.state is events.TaskState.HELD:
            task.state = events.TaskState.STOPPED
            self._deliver(events.TaskStopped(command.task_id, checkpointed=False))
            return
        checkpoint = command.mode is commands.StopMode.CHECKPOINT
        checkpoint = checkpoint and command.grace_s >= CHECKPOINT_S
        delay_s = CHECKPOINT_S if checkpoint else 0.0
        self._schedule_after(
            delay_s, self._complete_stop, command.task_id, task.start_number, checkpoint
        )

    def _complete_stop(self, task_id: str, start_number: int, checkpointed: bool) -> None:
        task = self.tasks.get(task_id)
        if (
            task is None
            or task.start_number != start_number
            or task.state is not events.TaskState.RUNNING
        ):
            return
        trace = self.recorder.traces[task.request_id]
        task.state = events.TaskState.STOPPED
        self._record_usage(task, useful=checkpointed)
        _, member = commands.split_task_id(task_id)
        if checkpointed and member == 0:
            trace.checkpointed_s += self.now_s - task.started_at_s
        self._deliver(events.TaskStopped(task_id, checkpointed))

    def _handle_release(self, command: commands.ReleaseTask) -> None:
        if not self.alive[command.worker_id]:
            return
        task = self.tasks.pop(command.task_id, None)
        self.tombstones.add(command.task_id)
        if task is not None and task.state is events.TaskState.RUNNING:
            self._record_usage(task, useful=False)
        started = task is not None and task.started_at_s > 0
        self._deliver(events.TaskReleased(command.task_id, started))

    def _handle_collect(self, command: commands.CollectAnswer) -> None:
        if command.task_id in self.tasks:
            self._schedule_after(RECORD_S, self._deliver, events.AnswerStored(command.attempt_id))
        else:
            self._deliver(events.AnswerBroken(command.attempt_id))

    def _record_usage(self, task: Task, useful: bool) -> None:
        ran_s = min(self.now_s, self.window_s) - min(task.started_at_s, self.window_s)
        used_accelerator_s = task.place.count * ran_s
        self.recorder.busy_accelerator_s += used_accelerator_s
        if useful:
            self.recorder.useful_accelerator_s += used_accelerator_s
        else:
            self.recorder.wasted_accelerator_s += used_accelerator_s

    def _fail_worker(self, worker_id: str, outage_s: float) -> None:
        self.alive[worker_id] = False
        for task_id, task in list(self.tasks.items()):
            if task.place.worker_id == worker_id:
                if task.state is events.TaskState.RUNNING:
                    self._record_usage(task, useful=False)
                del self.tasks[task_id]
        self._schedule_after(LOSS_TIMEOUT_S, self._deliver, events.WorkerLost(worker_id))
        self._schedule_after(max(outage_s, LOSS_TIMEOUT_S + 1), self._restore_worker, worker_id)

    def _restore_worker(self, worker_id: str) -> None:
        self.alive[worker_id] = True
        name = self.partitions[worker_id]
        self._deliver_to_partition(name, events.WorkerReported(self.workers[worker_id]))

    # Time.

    def _handle_tick(self) -> None:
        for name in self.states:
            self._deliver_to_partition(name, events.Tick())
        self._refresh_summaries()
        self._record_partial_gangs()
        self._schedule_after(TICK_S, self._handle_tick)

    def _record_partial_gangs(self) -> None:
        running: dict[str, str] = {}
        counts: dict[str, int] = {}
        for task in self.tasks.values():
            attempt_id, _ = commands.split_task_id(task.task_id)
            if task.state is events.TaskState.RUNNING:
                running[attempt_id] = task.request_id
            if task.state in (events.TaskState.RUNNING, events.TaskState.FINISHED):
                counts[attempt_id] = counts.get(attempt_id, 0) + 1
        partial = set()
        for attempt_id, request_id in running.items():
            shape = self.recorder.traces[request_id].arrival.request.shape
            if counts[attempt_id] < shape.members:
                partial.add(attempt_id)
        for attempt_id in partial:
            since_s = self._partial_since.setdefault(attempt_id, self.now_s)
            self.recorder.partial_gang_s = max(
                self.recorder.partial_gang_s, self.now_s - since_s + TICK_S
            )
        for attempt_id in list(self._partial_since):
            if attempt_id not in partial:
                del self._partial_since[attempt_id]

    def _sample_fragmentation(self) -> None:
        free = self._list_free_range_lengths()
        shape = self._find_largest_wanted_shape()
        if self.now_s > self.window_s:
            return
        total = sum(sum(lengths) for rack in free.values() for lengths in rack)
        self.recorder.free_samples += total
        self.recorder.unusable_samples += total - recorders.count_usable(free, shape)
        self._schedule_after(SAMPLE_S, self._sample_fragmentation)

    def _list_free_range_lengths(self) -> dict[str, list[list[int]]]:
        busy: dict[str, set[int]] = {}
        for task in self.tasks.values():
            if task.state in _ACTIVE_STATES:
                place = task.place
                indices = range(place.first, place.first + place.count)
                busy.setdefault(place.worker_id, set()).update(indices)
        racks: dict[str, list[list[int]]] = {}
        for worker in self.workers.values():
            if self.alive[worker.worker_id]:
                taken = busy.get(worker.worker_id, set())
                racks.setdefault(worker.rack, []).append(
                    recorders.list_free_range_lengths(taken, worker.accelerators)
                )
        return racks

    def _find_largest_wanted_shape(self) -> resources.Shape:
        wanted = [guarantee.shape for guarantee in self.workload.guarantees]
        wanted.extend(
            trace.arrival.request.shape
            for trace in self._open_traces.values()
            if trace.started_at_s is None
        )
        return max(wanted, key=lambda shape: shape.total_accelerators)


def _get_request_id(attempt_or_task_id: str) -> str:
    """Returns the request of an attempt with identifier ``request-epoch-number`` or its task."""
    return attempt_or_task_id.rsplit("-", 2)[0]
