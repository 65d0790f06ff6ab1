"""Model of a worker that restarts under its identifier, for a search of all orders of events.

Worker w0 may restart, and then has none of its memory: its clock and its numbers of ends begin
anew, and it has seen no fencing token and no run. It carries out calls that were meant for its
former incarnation, also late. The exchange with the workers and all decisions are the real ones;
the order of calls in ``scheduler`` and ``term_writer`` is repeated here. The other worker, w1,
answers all calls at once, and the store writes at once.
"""

import collections
import dataclasses
import heapq
from collections.abc import Callable, Iterator
from typing import Any

from returns import result

from lycheegate.jobs import (
    commands,
    fencing,
    leases,
    lifecycle,
    model,
    progress,
    runs,
    scheduling,
    state,
    workers,
    writes,
)
from lycheegate.node import exchange, tables, terms
from lycheegate.node.tests import simulation
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

START_S = 100.0
EVENT_S = 0.01
"""Time that an event takes, so that times tell which of two events came first."""
SHORT_PASS_S = 0.3
LONG_PASS_S = 1.5
"""A short pass is longer than the stop of a run takes, and a long one than the order timeout. Both
together are shorter than the time for which a call may be carried out late."""
MAX_LATE_S = 2.0
"""Time after which a call is not carried out any more."""
CLOCK_RATIO = 0.98
"""Rate of the workers' clocks, the slowest that is allowed."""
BOOT_S = 0.05
"""Reading of the clock of a new incarnation."""
STOP_S = 0.2
ANSWER_S = 0.002
"""Time that a call to a worker takes which answers at once."""
TICK_S = 0.25
WARM_UP_S = 11.0
"""Time after which the leases that an earlier holder may have granted have expired."""
SETTLE_S = 3.0
"""Time within which a task starts again whose success was forgotten."""
MAX_STEPS = 5_000
"""Number of timers during one event from which the model is taken to loop."""
POLICY = state.Policy(max_lease_s=10.0)
"""The longest lease is that of the deployment on which two runs were seen."""
JOB_ID = "0" * 16
TASK = model.TaskKey(JOB_ID, 0, 0, 0)
FAULTY = "w0"
SOUND = "w1"
_CAPACITIES = {FAULTY: simulation.WHOLE, SOUND: model.Resources(4_000, 4_000, 4)}
"""The fullest worker is preferred, so a task starts on the sound worker if it may."""
_RUNTIME_ATTRIBUTES = {"_client", "_state", "_now_s", "_log", "_hooks"}
"""Attributes of the exchange that hold nothing that it has learned."""
_OUTCOMES = worker_calls.StartOutcome
Event = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class ModelWorker:
    """A worker, with what it keeps for each incarnation.

    Attributes:
        worker_id: Its identifier.
        born_ms: Start of its incarnation.
        booted_at_s: When its clock would have read 0.
        deadline_ms: Deadline of the lease of its runs, on its clock.
        live: Number of the run of the task that is present, or 0.
        stops_at_s: When that run stops, or None.
        highest_number: Highest number of a run that was started or stopped there.
        token: Highest fencing token that it has seen.
        end_number: Number of its last end.
        ended: Ends that were not acknowledged.
        registered_born_ms: Incarnation that the registry lists, or 0.
        restarts: Number of its restarts.
    """

    worker_id: str
    born_ms: int = 1_000
    booted_at_s: float = START_S - 60.0
    deadline_ms: int = 0
    live: int = 0
    stops_at_s: float | None = None
    highest_number: int = 0
    token: int = 0
    end_number: int = 0
    ended: tuple[workers.EndedRun, ...] = ()
    registered_born_ms: int = 0
    restarts: int = 0

    @property
    def address(self) -> str:
        """Its address, which is the same in all incarnations."""
        return f"{self.worker_id}.test:80"

    def read_clock_ms(self, now_s: float) -> int:
        """Returns its clock."""
        return int(1000.0 * CLOCK_RATIO * (now_s - self.booted_at_s))

    def compute_end_s(self, now_s: float) -> float:
        """Returns when its run ends: once it is stopped, or its lease expires."""
        remaining_ms = self.deadline_ms - self.read_clock_ms(now_s)
        end_s = now_s + max(0.0, remaining_ms) / 1000.0 / CLOCK_RATIO
        return end_s if self.stops_at_s is None else min(end_s, self.stops_at_s)

    def restart(self, now_s: float) -> None:
        """Begins its next incarnation."""
        self.restarts += 1
        self.born_ms += 1_000
        self.booted_at_s = now_s - BOOT_S
        self.deadline_ms = self.live = self.highest_number = self.token = self.end_number = 0
        self.stops_at_s, self.ended = None, ()

    def advance(self, now_s: float) -> None:
        """Ends its run if that has been stopped or its lease has expired."""
        if self.live and self.stops_at_s is not None and now_s >= self.stops_at_s:
            self.end(runs.End.INTERRUPTED, "stopped")
        if self.live and self.read_clock_ms(now_s) > self.deadline_ms:
            self.end(runs.End.INTERRUPTED, "lapsed")

    def end(self, end: runs.End, reason: str) -> None:
        """Ends its run."""
        self.end_number += 1
        ended = workers.EndedRun(self.end_number, TASK, self.live, end, reason, "")
        self.ended = (*self.ended, ended)
        self.live, self.stops_at_s = 0, None

    def renew(self, deadline_ms: int, now_s: float) -> None:
        """Renews its lease, which is never shortened and at most the longest."""
        longest_ms = self.read_clock_ms(now_s) + int(1000.0 * POLICY.max_lease_s)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def accepts(self, token: int) -> bool:
        """Returns whether it carries out a call with a fencing token, and remembers that."""
        if token < self.token:
            return False
        self.token = token
        return True


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A call to a worker.

    Attributes:
        label: Worker, kind and number of the call, for the events. Numbers of the second holder
            begin with b.
        worker_id: The worker.
        kind: Its kind.
        sent_at_s: When it was sent.
        wait_s: For how long the worker may wait before it answers.
        arguments: What was sent, to recognise situations.
        execute: Carries it out and returns the answer.
        handle: Called with the answer, or None once the caller has given up.
        lost: Answer that the caller gets if it gives up.
        answer: Answer of a call that was carried out, or None.
    """

    label: str
    worker_id: str
    kind: str
    sent_at_s: float
    wait_s: float
    arguments: tuple
    execute: Callable[[], Any]
    handle: Callable[[Any], None] | None
    lost: Any
    answer: Any = None


class _Log:
    """Log of a holder, which only shows errors that the scheduler would go on after."""

    def __init__(self, world: "ModelWorld"):
        self._world = world

    def write(self, event: str, **fields) -> None:
        """Records an error that must not occur in the model."""
        if event in ("poll_failed", "report_failed", "stage_failed"):
            self._world.errors.append(f"{event}: {fields}")


class _Client:
    """Client of the workers for one holder, with the interface of ``PlatformWorkers``."""

    def __init__(self, world: "ModelWorld", holder: "ModelHolder"):
        self._world = world
        self._holder = holder

    def start(self, address, order, epoch, deadline_ms, callback) -> None:
        """Sends an order to start a run."""

        def execute() -> worker_calls.OrderResult:
            return self._world.start(order, epoch, deadline_ms)

        arguments = (order.number, epoch, deadline_ms)
        self._send_order(order.worker_id, "start", arguments, execute, callback)

    def stop(self, address, order, epoch, callback) -> None:
        """Sends an order to stop a run."""

        def execute() -> worker_calls.OrderResult:
            return self._world.stop(order, epoch)

        self._send_order(order.worker_id, "stop", (order.number, epoch), execute, callback)

    def _send_order(self, worker_id, kind, arguments, execute, callback) -> None:
        lost = worker_calls.OrderResult(_OUTCOMES.UNKNOWN)
        timeout_s = worker_calls.ORDER_TIMEOUT_S
        self._world.send(
            self._holder, worker_id, kind, timeout_s, 0.0, arguments, execute, callback, lost
        )

    def report(self, address, worker_id, epoch, durable_end, deadline_ms, wait_s, callback) -> None:
        """Renews the lease of a worker and requests its report."""
        sent_at_s = self._world.now_s

        def execute() -> result.Result:
            return self._world.report(worker_id, epoch, durable_end, deadline_ms, sent_at_s)

        def handle(outcome: result.Result) -> None:
            if isinstance(outcome, result.Success):
                report = dataclasses.replace(outcome.unwrap(), received_at_s=self._world.now_s)
                outcome = result.Success(report)
            callback(outcome)

        lost = result.Failure(exceptions.OutcomeUnknownError(f"no answer of worker {worker_id}"))
        timeout_s = wait_s + worker_calls.REPORT_GRACE_S
        arguments = (epoch, durable_end, deadline_ms)
        self._world.send(
            self._holder,
            worker_id,
            "report",
            timeout_s,
            wait_s,
            arguments,
            execute,
            handle,
            lost,
        )


class ModelHolder:
    """A holder of the term, and what its scheduler does."""

    def __init__(self, world: "ModelWorld", epoch: int, inherited: state.InheritedLeases):
        self.world = world
        self.has_ended = False
        self.lost_store_at_s: float | None = None
        """From when on it can neither read nor write the store, or None."""
        self.is_pass_due = True
        self.current = state.SchedulerState(epoch, POLICY, world.now_s)
        self.current.configuration = world.configuration
        self.current.inherited_leases = inherited
        self.exchange = exchange.WorkerExchange(
            _Client(world, self),
            self.current,
            lambda: world.now_s,
            _Log(world),
            exchange.TermHooks(
                self.execute,
                self._request_pass,
                self._end,
                self._call_later,
                lambda: self.has_ended,
                lambda: world.now_s if self.lost_store_at_s is None else self.lost_store_at_s,
            ),
        )

    def begin(self) -> None:
        """Begins the term."""
        self.load()
        self.read_registry()

    def load(self) -> None:
        """Loads the job and its progress, as ``JobRows.apply_loaded`` does."""
        world = self.world
        if not world.is_submitted:
            return
        job = state.JobState(simulation.make_job(JOB_ID, simulation.make_step(1)), self.world.route)
        if world.record:
            progress.decode_progress(job, world.record, world.now_s)
            job.version = world.version
        lifecycle.add_job(self.current, job, world.now_s, world.now_s)
        self.is_pass_due = True
        self._call_later(TICK_S, self._tick)

    def read_registry(self) -> None:
        """Applies the registrations, as ``Scheduler._apply_registry_rows`` does."""
        registrations = [
            workers.Registration(
                worker.worker_id,
                "render",
                worker.address,
                "z",
                "r0",
                frozenset(),
                _CAPACITIES[worker.worker_id],
                False,
                worker.registered_born_ms,
            )
            for worker in self.world.workers.values()
            if worker.registered_born_ms
        ]
        self.execute(workers.apply_registrations(self.current, registrations, self.world.now_s))
        self.exchange.poll_new_workers()
        self.is_pass_due = True

    def _request_pass(self, has_changed: bool = True) -> None:
        self.is_pass_due |= has_changed or self.current.schedule_due

    def _end(self, reason: str) -> None:
        self.has_ended = True

    def _call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        def run() -> None:
            if not self.has_ended:
                function()

        self.world.call_later(delay_s, run, function)

    def execute(self, command_list: list[commands.Command]) -> None:
        """Executes commands, as ``Scheduler._execute`` does."""
        for command in command_list:
            if isinstance(command, commands.StartRun):
                self.exchange.send_start(command)
            elif isinstance(command, commands.StopRun):
                self.exchange.send_stop(command)
            elif command.event == "stage_failed":
                self.world.errors.append(f"{command.event}: {command.fields}")

    def check_leases(self) -> None:
        """Ends the runs whose leases have expired, and requests a pass."""
        self.execute(leases.check_leases(self.current, self.world.now_s))
        self.current.schedule_due = self.is_pass_due = True

    def _tick(self) -> None:
        self.check_leases()
        self._call_later(TICK_S, self._tick)

    def run_pass(self) -> None:
        """Runs a pass if one was requested, and writes what has changed.

        A holder that has lost the store sends no orders for what it places, so it places nothing.
        """
        self.is_pass_due = False
        if self.lost_store_at_s is not None:
            return
        current, now_s = self.current, self.world.now_s
        self.execute(lifecycle.advance_jobs(current, now_s, now_s))
        if current.schedule_due:
            self.execute(scheduling.schedule(current, now_s, now_s))
        while (batch := writes.collect_batch(current, now_s)) is not None:
            self.world.version += 1
            self.world.record = batch.writes[0].record.data
            orders = writes.complete_batch(current, batch, self.world.version, now_s)
            self.exchange.resume_polls()
            self.execute(orders)

    def find_run(self) -> state.Run | None:
        """Returns the run of the task, or None."""
        return next((run for job in self.current.jobs.values() for run in job.list_runs()), None)

    def has_run(self, worker_id: str, number: int) -> bool:
        """Returns whether it takes a run for present on a worker."""
        run = self.find_run()
        return run is not None and (run.worker_id, run.number) == (worker_id, number)

    def describe(self) -> tuple:
        """Returns what its later acts depend on."""
        known = {
            name: sorted(value, key=repr) if isinstance(value, set) else value
            for name, value in vars(self.exchange).items()
            if name not in _RUNTIME_ATTRIBUTES
        }
        return (self.has_ended, self.lost_store_at_s, self.current, known)


class ModelWorld:
    """The workers, the calls to them, and the holders of the term, one after the other."""

    def __init__(self, max_holders: int, max_restarts: int):
        self.now_s = START_S
        self.max_holders = max_holders
        self.max_restarts = max_restarts
        self.route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
        self.configuration = simulation.make_configuration(self.route)
        self.is_submitted = False
        self.record = b""
        self.version = 0
        self.workers = {worker_id: ModelWorker(worker_id) for worker_id in (FAULTY, SOUND)}
        self.workers[FAULTY].registered_born_ms = self.workers[FAULTY].born_ms
        self.calls: dict[str, Call] = {}
        """Calls that have not been carried out, or not been answered, by label."""
        self.sent_calls: collections.Counter[str] = collections.Counter()
        self.timers: list[tuple[float, int, Callable[[], None], Callable]] = []
        self._timer_count = 0
        self.automatic = set(self.workers)
        """Workers that answer all calls at once."""
        self.is_success_forgotten = False
        self.is_silent = False
        """Whether the worker of a run has been cut off."""
        self.violations: list[tuple[str, str]] = []
        """Kind and description of each violation."""
        self.errors: list[str] = []
        self.holders: list[ModelHolder] = []
        self._add_holder(fencing.EPOCHS_PER_TERM, state.InheritedLeases())
        self._submit()

    @property
    def holder(self) -> ModelHolder:
        """The present holder."""
        return self.holders[-1]

    def _add_holder(self, epoch: int, inherited: state.InheritedLeases) -> None:
        holder = ModelHolder(self, epoch, inherited)
        self.holders.append(holder)
        holder.begin()

    def _submit(self) -> None:
        """Adds the job once leases of an earlier holder have expired on the faulty worker."""
        self.advance(WARM_UP_S)
        self.automatic = {SOUND}
        (poll,) = self.calls.values()
        poll.label = f"{FAULTY}/report/0"
        self.calls = {poll.label: poll}
        self.sent_calls.clear()
        self.is_submitted = True
        self.holder.load()
        self._settle()

    def call_later(
        self, delay_s: float, run: Callable[[], None], function: Callable | None = None
    ) -> None:
        """Runs a function after a delay in seconds; the other one describes it."""
        self._timer_count += 1
        entry = (self.now_s + delay_s, self._timer_count, run, function or run)
        heapq.heappush(self.timers, entry)

    def send(
        self, holder, worker_id, kind, timeout_s, wait_s, arguments, execute, callback, lost
    ) -> None:
        """Sends a call of a holder to a worker."""
        prefix = f"{worker_id}/{kind}/{'b' * self.holders.index(holder)}"
        self.sent_calls[prefix] += 1
        label = f"{prefix}{self.sent_calls[prefix]}"
        now_s = self.now_s

        def handle(answer: Any) -> None:
            if not holder.has_ended:
                callback(answer)

        call = Call(label, worker_id, kind, now_s, wait_s, arguments, execute, handle, lost)
        self.calls[label] = call
        self.call_later(timeout_s, lambda: self._fail(call), self._fail)
        if worker_id in self.automatic:
            self._answer_automatically(call)

    def _answer_automatically(self, call: Call) -> None:
        """Answers a call at once, or a request for a report after its wait."""

        def answer() -> None:
            if call.worker_id in self.automatic and call.label in self.calls:
                self._answer(call)

        self.call_later(max(ANSWER_S, call.wait_s), answer)

    def _carry_out(self, call: Call) -> None:
        call.answer = call.execute()
        if call.handle is None:
            del self.calls[call.label]

    def _deliver(self, call: Call) -> None:
        handle, call.handle = call.handle, None
        self.calls.pop(call.label, None)
        handle(call.answer)

    def _answer(self, call: Call) -> None:
        self._carry_out(call)
        if call.label in self.calls:
            self._deliver(call)

    def _fail(self, call: Call) -> None:
        """Lets the caller give up; a call that was not carried out may be so later."""
        if call.handle is None:
            return
        handle, call.handle = call.handle, None
        if call.answer is not None:
            self.calls.pop(call.label, None)
        handle(call.lost)

    def start(
        self, order: commands.StartRun, token: int, deadline_ms: int
    ) -> worker_calls.OrderResult:
        """Carries out an order to start a run."""
        worker = self.workers[order.worker_id]
        return worker_calls.OrderResult(
            self._start(worker, order, token, deadline_ms), worker.read_clock_ms(self.now_s)
        )

    def _start(
        self, worker: ModelWorker, order: commands.StartRun, token: int, deadline_ms: int
    ) -> worker_calls.StartOutcome:
        worker.advance(self.now_s)
        if not worker.accepts(token):
            return _OUTCOMES.FENCED
        if worker.live == order.number:
            worker.renew(deadline_ms, self.now_s)
            return _OUTCOMES.STARTED
        if order.number <= worker.highest_number:
            worker.renew(deadline_ms, self.now_s)
            return _OUTCOMES.OLD_RUN
        if deadline_ms <= worker.read_clock_ms(self.now_s):
            return _OUTCOMES.LATE
        self._check_start(worker, order.number)
        worker.renew(deadline_ms, self.now_s)
        worker.live, worker.stops_at_s = order.number, None
        worker.highest_number = order.number
        return _OUTCOMES.STARTED

    def _check_start(self, worker: ModelWorker, number: int) -> None:
        for other in self.workers.values():
            other.advance(self.now_s)
            if other.live:
                text = f"run {number} starts on {worker.worker_id}"
                self._report("two_runs", f"{text}, run {other.live} is on {other.worker_id}")
        if self.is_success_forgotten:
            text = f"run {number} starts on {worker.worker_id} after an acknowledged success"
            self._report("after_success", text)

    def _report(self, kind: str, text: str) -> None:
        kind = f"silent_{kind}" if self.is_silent else kind
        self.violations.append((kind, f"{text} at {self.now_s - START_S:.2f} s"))

    def stop(self, order: commands.StopRun, token: int) -> worker_calls.OrderResult:
        """Carries out an order to stop a run."""
        worker = self.workers[order.worker_id]
        worker.advance(self.now_s)
        clock_ms = worker.read_clock_ms(self.now_s)
        if not worker.accepts(token):
            return worker_calls.OrderResult(_OUTCOMES.FENCED, clock_ms)
        worker.highest_number = max(worker.highest_number, order.number)
        if worker.live == order.number and worker.stops_at_s is None:
            worker.stops_at_s = self.now_s + STOP_S
        return worker_calls.OrderResult(_OUTCOMES.STARTED, clock_ms)

    def report(
        self,
        worker_id: str,
        token: int,
        durable_end: int,
        deadline_ms: int | None,
        sent_at_s: float,
    ) -> result.Result:
        """Carries out a request for a report."""
        worker = self.workers[worker_id]
        worker.advance(self.now_s)
        if not worker.accepts(token):
            return result.Failure(exceptions.FencedError(0))
        forgotten = [ended for ended in worker.ended if ended.end_number <= durable_end]
        worker.ended = tuple(e for e in worker.ended if e.end_number > durable_end)
        self.is_success_forgotten |= any(e.end is runs.End.DONE for e in forgotten)
        if deadline_ms is not None:
            worker.renew(deadline_ms, self.now_s)
        listed = (workers.ListedRun(TASK, "", worker.live, "", 1),) if worker.live else ()
        clock_ms = worker.read_clock_ms(self.now_s)
        report = workers.Report(
            worker_id, clock_ms, worker.born_ms, listed, worker.ended, sent_at_s, self.now_s
        )
        return result.Success(report)

    def _settle(self) -> None:
        """Runs the timers that are due and the passes that were requested."""
        for _ in range(MAX_STEPS):
            if self.timers and self.timers[0][0] <= self.now_s:
                heapq.heappop(self.timers)[2]()
                continue
            due = [h for h in self.holders if h.is_pass_due and not h.has_ended]
            if not due:
                return
            due[0].run_pass()
        raise AssertionError("the model loops")

    def advance(self, duration_s: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + duration_s
        self._settle()
        while self.timers and self.timers[0][0] <= end_s:
            self._set_time(max(self.now_s, self.timers[0][0]))
            self._settle()
        self._set_time(end_s)
        for label, call in list(self.calls.items()):
            if call.handle is None and self.now_s - call.sent_at_s > MAX_LATE_S:
                del self.calls[label]

    def _set_time(self, now_s: float) -> None:
        self.now_s = now_s
        for worker in self.workers.values():
            worker.advance(now_s)

    def list_events(self) -> Iterator[Event]:
        """Yields the events that are possible now."""
        yield ("pass", str(SHORT_PASS_S))
        yield ("pass", str(LONG_PASS_S))
        for call in self.calls.values():
            if call.worker_id not in self.automatic:
                yield from self._list_call_events(call)
        worker = self.workers[FAULTY]
        if worker.restarts < self.max_restarts:
            yield ("restart", FAULTY)
        for worker in self.workers.values():
            if worker.registered_born_ms != worker.born_ms:
                yield ("register", worker.worker_id)
            if worker.live:
                yield ("end", worker.worker_id, "done")
                yield ("end", worker.worker_id, "failed")
        run = self.holder.find_run()
        if not self.holder.has_ended and run is not None and run.phase is state.RunPhase.RUNNING:
            yield ("preempt",)
        if len(self.holders) < self.max_holders:
            yield ("claim",)
            if not self.holder.has_ended:
                yield ("release",)

    def _list_call_events(self, call: Call) -> Iterator[Event]:
        age_s = self.now_s + EVENT_S - call.sent_at_s
        may_arrive = call.answer is None and age_s < MAX_LATE_S
        if call.handle is None:
            if may_arrive:
                yield ("arrive", call.label)
            return
        if call.answer is not None:
            yield ("deliver", call.label)
        elif may_arrive:
            yield ("answer", call.label)
            yield ("arrive", call.label)
            if call.kind == "report":
                yield ("refuse", call.label)
        yield ("fail", call.label)

    def do(self, event: Event) -> None:
        """Lets an event happen, unless what it is about has ended while it began."""
        self.advance(EVENT_S)
        match event:
            case ("pass", duration):
                self.advance(float(duration))
            case ("answer" | "arrive" | "deliver" | "fail" | "refuse", label):
                call = self.calls.get(label)
                if call is not None and (call.handle is not None or event[0] == "arrive"):
                    self._handle_call_event(event[0], call)
            case ("restart", worker_id):
                self.workers[worker_id].restart(self.now_s)
            case ("register", worker_id):
                worker = self.workers[worker_id]
                worker.registered_born_ms = worker.born_ms
                if not self.holder.has_ended:
                    self.holder.read_registry()
            case ("end", worker_id, how):
                if self.workers[worker_id].live:
                    self.workers[worker_id].end(runs.End(how), how)
                    self._report_end(worker_id)
            case ("preempt",):
                holder, reason = self.holder, state.StopReason.PREEMPTED
                run = holder.find_run()
                if run is not None:
                    holder.execute(runs.stop_run(holder.current, run, reason, self.now_s))
            case ("claim" | "release",):
                self._change_holder(event[0] == "release")
        self._settle()

    def _handle_call_event(self, kind: str, call: Call) -> None:
        if kind == "arrive":
            self._carry_out(call)
        elif kind == "answer":
            self._answer(call)
        elif kind == "deliver":
            self._deliver(call)
        elif kind == "fail":
            self._fail(call)
        else:
            call.lost = result.Failure(exceptions.NotSentError(f"{call.worker_id} refuses"))
            del self.calls[call.label]
            self._fail(call)

    def _report_end(self, worker_id: str) -> None:
        """Answers the requests that wait for an end on a worker that answers at once."""
        for call in list(self.calls.values()):
            is_waiting = call.worker_id == worker_id and call.kind == "report"
            if is_waiting and worker_id in self.automatic and call.label in self.calls:
                self._answer(call)

    def _change_holder(self, is_released: bool) -> None:
        """Lets another VM claim the term, which relies on the ends of leases that it is told.

        A holder that has not released the term has lost the store. It acts on what it knows until
        a worker refuses its calls, or its last renewal is too old.
        """
        former = self.holder
        told = leases.list_lease_ends(former.current, self.now_s, is_released)
        if is_released:
            former.has_ended = True
        else:
            former.lost_store_at_s = self.now_s
        for call in list(self.calls.values()) if is_released else ():
            # Nobody waits for the answer, but the call may still be carried out.
            call.handle = None
            if call.answer is not None:
                del self.calls[call.label]
        view = terms.TermView()
        view.holder = tables.Holder(former.current.epoch, "former")
        claimed, _ = terms.make_claim(view, "next", self.now_s)
        self._add_holder(claimed.epoch, told)

    def check(self) -> tuple[str, str] | None:
        """Returns the first violation, or None.

        The worker on which the task runs is cut off from now on, until its lease has expired. If
        none does although it has succeeded, all calls are answered. This changes the world, so
        nothing can be done with it afterwards.
        """
        if not self.violations:
            busy = [worker for worker in self.workers.values() if worker.live]
            if busy:
                self.is_silent = True
                self._cut_off(busy[0])
            elif self.is_success_forgotten:
                for worker_id in self.workers:
                    self._make_automatic(worker_id)
                self.advance(SETTLE_S)
        if self.errors:
            raise AssertionError(self.errors[0])
        return self.violations[0] if self.violations else None

    def _cut_off(self, worker: ModelWorker) -> None:
        """Cuts the worker of a run off until its lease expires; the other one is well."""
        self.automatic.discard(worker.worker_id)
        (other_id,) = self.workers.keys() - {worker.worker_id}
        self._make_automatic(other_id)
        holder, number, end_s = self.holder, worker.live, worker.compute_end_s(self.now_s)
        is_known = holder.has_run(worker.worker_id, number)
        self.advance(max(0.0, end_s - self.now_s - EVENT_S))
        if not holder.has_ended:
            holder.check_leases()
            self.advance(EVENT_S / 2)
            if is_known and not holder.has_run(worker.worker_id, number):
                self._report("early_end", f"run {number} is taken for ended on {worker.worker_id}")

    def _register(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        if worker.registered_born_ms != worker.born_ms:
            worker.registered_born_ms = worker.born_ms
            if not self.holder.has_ended:
                self.holder.read_registry()

    def _make_automatic(self, worker_id: str) -> None:
        self.automatic.add(worker_id)
        self._register(worker_id)
        for call in list(self.calls.values()):
            is_waited_for = call.handle is not None and call.label in self.calls
            if call.worker_id != worker_id or not is_waited_for:
                continue
            if call.answer is None:
                call.wait_s = 0.0
                self._answer_automatically(call)
            else:
                self._deliver(call)

    def describe(self) -> tuple:
        """Returns what later events depend on, to recognise situations that were searched."""
        return (
            self.now_s,
            self.workers,
            [
                (call.label, call.sent_at_s, call.handle is None, call.arguments, call.answer)
                for call in self.calls.values()
            ],
            sorted((due_s, _describe_function(function)) for due_s, _, _, function in self.timers),
            self.is_success_forgotten,
            [holder.describe() for holder in self.holders],
        )


def _describe_function(function: Callable) -> str:
    """Returns the name of a delayed function with the orders and identifiers that it is for."""
    cells = getattr(function, "__closure__", None) or ()
    values = [c.cell_contents for c in cells]
    shown = [v for v in values if isinstance(v, str | float | commands.StartRun)]
    return f"{function.__qualname__} {shown}"
