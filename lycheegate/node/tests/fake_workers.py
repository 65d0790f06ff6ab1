"""Deterministic fakes of workers, which check the scheduler's invariants.

No task runs twice at the same time or again after an acknowledged success, no task starts before
the tasks that it depends on have succeeded, no worker's capacity is exceeded, and only tasks of
submitted jobs run. Limits of tasks on a worker and required labels are kept, nothing starts on a
worker long after it announced its departure, and a task that crashes its workers is given up in
time.
"""

import dataclasses
import random
from collections.abc import Callable

from returns import result

from lycheegate.jobs import commands, model, runs, workers
from lycheegate.node.tests import fake_store
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

WORKER_DELAY_S = 0.002
STOP_S = 0.2
DRAIN_S = 2.0
"""Time from the announcement of a departure after which nothing may start."""
FAILURE_S = 0.05
"""Duration of a run on a faulty worker."""
MAX_LEASE_S = 6.0
SHRINK_GRACE_S = 4.5
"""Time after which a smaller capacity counts: 3 s and a heartbeat."""
LASTING_WORK_S = 1e6
"""Duration of the runs of tasks that last until their job is cancelled."""
CRASH_DELAY_S = 0.02
"""Time from the start of a deadly task until its worker crashes."""
CRASH_DOWN_S = 3.0
"""Time from a crash until the worker is back."""
CRASHES_UNTIL_COUNT = 3
"""Number of crashes under a task from which its further starts are counted."""
MAX_STARTS_AFTER_CRASHES = 2


@dataclasses.dataclass(slots=True)
class LiveRun:
    """A run on a worker.

    Attributes:
        task: The task.
        number: Number of the run.
        need: Resources that it uses.
        work_s: Duration of the run.
        work_left_s: Part of the duration that remains.
        stops_at_s: When a stop order takes effect, or None.
        is_faulty: Whether it fails, as its worker was faulty when it started.
        is_unpreventable: Whether it was started by a late order that no scheduler could prevent.
    """

    task: model.TaskKey
    number: int
    need: model.Resources
    work_s: float
    work_left_s: float
    stops_at_s: float | None = None
    is_faulty: bool = False
    is_unpreventable: bool = False


class FakeWorker:
    """Worker that follows the protocol and reports violations to its fleet."""

    def __init__(self, fleet: "Fleet", worker_id: str, rack: str, capacity: model.Resources):
        self.fleet = fleet
        self.worker_id = worker_id
        self.address = f"{worker_id}.test:80"
        self.rack = rack
        self.capacity = capacity
        self.previous_capacities: list[tuple[float, model.Resources]] = []
        """Earlier capacities, each with the time at which it changed."""
        self.labels = {"a", rack}
        self.draining_since_s: float | None = None
        self.born_ms = 1_000
        self.reset()

    def reset(self) -> None:
        """Discards all state, as a restart does."""
        self.epoch = 0
        self.live: dict[model.TaskKey, LiveRun] = {}
        self.highest_run_numbers: dict[model.TaskKey, int] = {}
        self.ended: list[workers.EndedRun] = []
        self.end_number = 0
        self.ended_at_s: dict[int, float] = {}
        self.listed_end = 0
        """Number of the last end that a report has listed."""
        self.deadline_ms = 0
        self.has_been_polled = False
        """Whether it has carried out a request for a report that was not late."""
        self.lapsed_at_s = self.fleet.loop.now_s
        """When its lease was last seen to have expired."""
        self.booted_at_s = self.fleet.loop.now_s - 1.0
        self.advanced_at_s = self.fleet.loop.now_s

    def restart(self) -> None:
        """Restarts the worker under the same identifier."""
        self.born_ms += 1_000
        self.reset()

    def resize(self, capacity: model.Resources) -> None:
        """Changes the capacity; runs that exceed it go on."""
        self.previous_capacities.append((self.fleet.loop.now_s, self.capacity))
        self.capacity = capacity

    def compute_limit(self) -> model.Resources:
        """Returns the largest capacity that a start may still rely on."""
        limit = self.capacity
        for changed_at_s, capacity in self.previous_capacities:
            if self.fleet.loop.now_s - changed_at_s <= SHRINK_GRACE_S:
                limit = limit.max(capacity)
        return limit

    def count_live(self) -> int:
        """Returns the number of runs that are present."""
        self.advance()
        return len(self.live)

    def clock_ms(self) -> int:
        """Returns the time on the worker's clock."""
        elapsed_s = self.fleet.loop.now_s - self.booted_at_s
        return int(elapsed_s * self.fleet.clock_ratio * 1000)

    def advance(self) -> None:
        """Advances all runs to the current time."""
        now_s = self.fleet.loop.now_s
        passed_s = now_s - self.advanced_at_s
        self.advanced_at_s = now_s
        if self.clock_ms() > self.deadline_ms:
            self.lapsed_at_s = now_s
        for run in list(self.live.values()):
            run.work_left_s -= passed_s
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                self._end(run, runs.End.INTERRUPTED, "stopped")
            elif self.clock_ms() > self.deadline_ms:
                self._end(run, runs.End.INTERRUPTED, "lapsed")
            elif run.work_left_s <= 0.0:
                failed = self.fleet.generator.random() < self.fleet.failure_share
                failed = failed or run.is_faulty or self.worker_id in self.fleet.faulty
                self._end(run, runs.End.FAILED if failed else runs.End.DONE, "ended")

    def _end(self, run: LiveRun, end: runs.End, reason: str) -> None:
        del self.live[run.task]
        self.end_number += 1
        self.ended.append(workers.EndedRun(self.end_number, run.task, run.number, end, reason, ""))
        if end is runs.End.FAILED:
            self.fleet.failed_runs.setdefault(run.task, set()).add(run.number)
        if end is runs.End.DONE:
            self.fleet.succeeded_at_s[run.task] = self.fleet.loop.now_s
            self.ended_at_s[self.end_number] = self.fleet.loop.now_s

    def acknowledge(self, durable_end: int) -> None:
        """Discards the ends up to a number; successes among them are final."""
        for ended in self.ended:
            if ended.end_number <= durable_end and ended.end is runs.End.DONE:
                ended_at_s = self.ended_at_s[ended.end_number]
                has_lapsed = self.lapsed_at_s >= ended_at_s
                is_listed = ended.end_number <= self.listed_end
                self.fleet.record_success(ended.task, ended_at_s, has_lapsed, is_listed)
        self.ended = [ended for ended in self.ended if ended.end_number > durable_end]

    def renew(self, deadline_ms: int) -> None:
        """Prolongs the lease of all runs, by the longest lease at most."""
        limit_ms = self.clock_ms() + int(MAX_LEASE_S * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def start(self, order: commands.StartRun, epoch: int, deadline_ms: int):
        """Handles an order to start a run."""
        self.advance()
        if epoch < self.epoch:
            return worker_calls.StartOutcome.FENCED
        is_unpreventable = self.fleet.is_for_former_incarnation and not self.has_been_polled
        self.epoch = epoch
        if self.fleet.faults.late_calls_survive_restarts:
            # An order that starts nothing renews the lease, too. Other plays rely on the earlier
            # behaviour of this fake.
            self.renew(deadline_ms)
        run = self.live.get(order.task)
        if run is not None and run.number == order.number:
            return worker_calls.StartOutcome.STARTED
        if order.number <= self.highest_run_numbers.get(order.task, 0):
            return worker_calls.StartOutcome.OLD_RUN
        if deadline_ms <= self.clock_ms():
            return worker_calls.StartOutcome.LATE
        if self.fleet.is_for_former_incarnation and not self._has_room(order.task):
            return worker_calls.StartOutcome.NO_ROOM
        self.renew(deadline_ms)
        self.highest_run_numbers[order.task] = order.number
        self.fleet.check_start(order, self, is_unpreventable)
        need, work_s = self.fleet.get_work(order.task)
        work_s *= self.fleet.work_ratios.get(self.worker_id, 1.0)
        is_faulty = self.worker_id in self.fleet.faulty
        if is_faulty:
            work_s = FAILURE_S
        run = LiveRun(order.task, order.number, need, work_s, work_s, None, is_faulty)
        run.is_unpreventable = is_unpreventable
        self.live[order.task] = run
        if order.task in self.fleet.deadly:
            born_ms = self.born_ms
            self.fleet.loop.call_later(
                CRASH_DELAY_S, lambda: self.fleet.crash_incarnation(self, born_ms)
            )
        used, limit = self._compute_used(), self.compute_limit()
        if not used.fits(limit):
            self.fleet.violations.append(
                f"capacity of {self.worker_id} exceeded by {order.task}: {used} of {limit}"
            )
        return worker_calls.StartOutcome.STARTED

    def _compute_used(self) -> model.Resources:
        return sum((run.need for run in self.live.values()), model.Resources())

    def _has_room(self, task: model.TaskKey) -> bool:
        """Returns whether a worker would accept a run, which the scheduler has to know itself."""
        need, _ = self.fleet.get_work(task)
        return (self._compute_used() + need).fits(self.compute_limit())

    def stop(self, order: commands.StopRun, epoch: int):
        """Handles an order to stop a run."""
        self.advance()
        if epoch < self.epoch:
            return worker_calls.StartOutcome.FENCED
        self.epoch = epoch
        self.highest_run_numbers[order.task] = max(
            self.highest_run_numbers.get(order.task, 0), order.number
        )
        run = self.live.get(order.task)
        if run is not None and run.number == order.number and run.stops_at_s is None:
            run.stops_at_s = self.fleet.loop.now_s + STOP_S
        return worker_calls.StartOutcome.STARTED


class Fleet:
    """All workers, the faults of their connections, and the violations found."""

    def __init__(
        self, loop: fake_store.EventLoop, faults: fake_store.Faults, generator: random.Random
    ):
        self.loop = loop
        self.faults = faults
        self.generator = generator
        self.workers: dict[str, FakeWorker] = {}
        self.specs: dict[str, model.Job] = {}
        self.succeeded_at_s: dict[model.TaskKey, float] = {}
        self.acknowledged: set[model.TaskKey] = set()
        self.unlisted: set[model.TaskKey] = set()
        """Tasks with a success that was acknowledged although no report had listed it."""
        self.failed_runs: dict[model.TaskKey, set[int]] = {}
        """Numbers of the runs of each task that have ended as failed."""
        self.starts: dict[model.TaskKey, int] = {}
        self.started_at_s: dict[model.TaskKey, float] = {}
        self.violations: list[str] = []
        self.unpreventable: list[str] = []
        """Violations that no scheduler can prevent, as none knows of the incarnation.

        A late order of the former incarnation has reached the next one before the first request for
        a report that is meant for it.
        """
        self.is_for_former_incarnation = False
        """Whether the order that is being carried out was meant for a former incarnation."""
        self.failure_share = 0.0
        self.clock_ratio = 1.0
        """Rate of the workers' clocks."""
        self.faulty: set[str] = set()
        """Workers that fail all that they start."""
        self.unreachable: set[str] = set()
        """Workers that receive no calls."""
        self.refusing: set[str] = set()
        """Workers that have crashed: no connection can be opened to them."""
        self.answers_lost: set[str] = set()
        """Workers that receive calls but whose answers are lost."""
        self.replaced: set[str] = set()
        """Workers whose address now belongs to another worker."""
        self.deadly: set[model.TaskKey] = set()
        """Tasks that crash each worker that starts them."""
        self.crashes: dict[model.TaskKey, int] = {}
        """Number of workers that each deadly task has crashed."""
        self.starts_after_crashes: dict[model.TaskKey, int] = {}
        self.on_returned: Callable[[str], None] = lambda worker_id: None
        """Called with a worker that is back after a crash."""
        self.work_s = 1.0
        self.job_work_s: dict[str, float] = {}
        """Seconds of work in each task of a job, if not ``work_s``."""
        self.work_ratios: dict[str, float] = {}
        """Time that workers take for a task, relative to the others."""
        self.ends_per_report = 500

    def add(self, worker_id: str, rack: str, capacity: model.Resources) -> FakeWorker:
        """Adds a worker."""
        self.workers[worker_id] = FakeWorker(self, worker_id, rack, capacity)
        return self.workers[worker_id]

    def crash_incarnation(self, worker: FakeWorker, born_ms: int) -> None:
        """Crashes a worker because of the deadly tasks on it, unless it has restarted since."""
        if worker.born_ms != born_ms or worker.worker_id in self.refusing | self.replaced:
            return
        for task in worker.live.keys() & self.deadly:
            self.crashes[task] = self.crashes.get(task, 0) + 1
        self.crash(worker.worker_id)

    def crash(self, worker_id: str) -> None:
        """Crashes a worker, which loses its runs and is back after a while."""
        self.workers[worker_id].reset()
        self.refusing.add(worker_id)
        self.loop.call_later(CRASH_DOWN_S, lambda: self._return_worker(worker_id))

    def restart_silently(self, worker_id: str, down_s: float, registered_s: float | None) -> None:
        """Crashes a worker, which answers nothing until it is back under its identifier.

        Args:
            worker_id: Identifier of the worker.
            down_s: Time until it is back.
            registered_s: Time from its return until its registration is seen, or None for never.
        """
        worker = self.workers[worker_id]
        worker.reset()
        self.unreachable.add(worker_id)

        def return_worker() -> None:
            worker.restart()
            self.unreachable.discard(worker_id)
            if registered_s is not None:
                self.loop.call_later(registered_s, lambda: self.on_returned(worker_id))

        self.loop.call_later(down_s, return_worker)

    def list_deaf(self) -> set[str]:
        """Returns the workers that calls on their way do not reach."""
        deaf = self.refusing | self.replaced
        return deaf | self.unreachable if self.faults.late_calls_survive_restarts else deaf

    def _return_worker(self, worker_id: str) -> None:
        self.workers[worker_id].restart()
        self.refusing.discard(worker_id)
        self.on_returned(worker_id)

    def find_busy_worker(self) -> str:
        """Returns the identifier of the first worker that runs anything."""
        return next(worker_id for worker_id, worker in self.workers.items() if worker.live)

    def get_work(self, task: model.TaskKey) -> tuple[model.Resources, float]:
        """Returns the resources that a task needs, and the seconds of work in it."""
        step = self.specs[task.job_id].steps[task.step]
        work_s = self.job_work_s.get(task.job_id, self.work_s)
        return step.need, LASTING_WORK_S if step.long_running else work_s

    def check_start(
        self, order: commands.StartRun, worker: FakeWorker, is_unpreventable: bool
    ) -> None:
        """Checks the invariants that apply when a task starts."""
        violations = self.unpreventable if is_unpreventable else self.violations
        self.starts[order.task] = self.starts.get(order.task, 0) + 1
        self.started_at_s[order.task] = self.loop.now_s
        self._check_crashes(order.task)
        job = self.specs.get(order.task.job_id)
        if job is None or order.spec != job.spec:
            self.violations.append(
                f"started {order.task} with spec {order.spec!r}, which was not submitted"
            )
            return
        for other in self.workers.values():
            other.advance()
            if order.task in other.live:
                text = f"started {order.task} while it runs on {other.worker_id}"
                is_known = not other.live[order.task].is_unpreventable
                (violations if is_known else self.unpreventable).append(text)
        if order.task in self.acknowledged:
            suffix = ", which no report had listed" if order.task in self.unlisted else ""
            violations.append(f"started {order.task} after its success{suffix}")
        self._check_constraints(order, job.steps[order.task.step], worker)
        for number in job.steps[order.task.step].depends_on:
            before = [
                model.TaskKey(order.task.job_id, order.task.occurrence, number, index)
                for index in range(job.steps[number].count)
            ]
            unsucceeded = [task for task in before if task not in self.succeeded_at_s]
            # The members of a gang end together, so the success of one is that of all.
            is_done = not unsucceeded or (job.steps[number].gang and unsucceeded != before)
            if not is_done:
                self.violations.append(f"started {order.task} before {unsucceeded[0]} succeeded")

    def _check_crashes(self, task: model.TaskKey) -> None:
        """Checks that a task under which several workers have crashed is given up."""
        if self.crashes.get(task, 0) < CRASHES_UNTIL_COUNT:
            return
        count = self.starts_after_crashes[task] = self.starts_after_crashes.get(task, 0) + 1
        if count > MAX_STARTS_AFTER_CRASHES:
            self.violations.append(
                f"started {task} {count} times after {CRASHES_UNTIL_COUNT} workers had crashed "
                "under it"
            )

    def _check_constraints(
        self, order: commands.StartRun, step: model.Step, worker: FakeWorker
    ) -> None:
        """Checks where a task starts."""
        if step.label and step.label not in worker.labels:
            self.violations.append(f"started {order.task} on {worker.worker_id} without its label")
        group = (order.task.job_id, order.task.occurrence, order.task.step)
        present = sum((t.job_id, t.occurrence, t.step) == group for t in worker.live)
        if step.max_per_worker and present >= step.max_per_worker:
            self.violations.append(
                f"started {order.task} beside {present} tasks of its step on {worker.worker_id}"
            )
        since_s = worker.draining_since_s
        if since_s is not None and self.loop.now_s - since_s > DRAIN_S:
            self.violations.append(
                f"started {order.task} {self.loop.now_s - since_s:.1f} s after {worker.worker_id} "
                "announced its departure"
            )

    def record_success(
        self, task: model.TaskKey, ended_at_s: float, has_lapsed: bool, is_listed: bool
    ) -> None:
        """Records a success that the scheduler has acknowledged.

        A success that has not been acknowledged is lost if its worker restarts, and its task may
        then start again. So may a task once the lease of its worker has expired after the success,
        as the scheduler cannot know of it. An acknowledgement is final even if no report had listed
        the success, so the scheduler must not send one that may reach another incarnation.
        """
        if not has_lapsed and self.started_at_s[task] > ended_at_s:
            self.violations.append(f"started {task} after its success at {ended_at_s} s")
        self.acknowledged.add(task)
        if not is_listed:
            self.unlisted.add(task)

    def connect(self, vm: str) -> "FakeWorkers":
        """Returns the client of a VM."""
        return FakeWorkers(self, vm)


class FakeWorkers:
    """Fake client of the workers, with the interface of ``PlatformWorkers``."""

    def __init__(self, fleet: Fleet, vm: str):
        self._fleet = fleet
        self._vm = vm

    def start(self, address, order, epoch, deadline_ms, callback) -> None:
        """Sends an order to start a run."""
        worker = self._find(address, order.worker_id)
        if worker is None:
            self._refuse_order(address, callback)
            return
        self._send(lambda: worker.start(order, epoch, deadline_ms), worker, callback)

    def stop(self, address, order, epoch, callback) -> None:
        """Sends an order to stop a run."""
        worker = self._find(address, order.worker_id)
        if worker is None:
            self._refuse_order(address, callback)
            return
        self._send(lambda: worker.stop(order, epoch), worker, callback)

    def _find(self, address: str, worker_id: str) -> FakeWorker | None:
        """Returns the worker, or None if another one or none is at the address."""
        worker = self._fleet.workers.get(worker_id)
        return worker if worker is not None and worker.address == address else None

    def _is_served(self, address: str) -> bool:
        return any(worker.address == address for worker in self._fleet.workers.values())

    def _refuse_order(self, address: str, callback: Callable) -> None:
        outcome = worker_calls.StartOutcome.UNKNOWN
        if self._is_served(address):
            outcome = worker_calls.StartOutcome.WRONG_INCARNATION
        refused = worker_calls.OrderResult(outcome)
        self._fleet.loop.call_later(WORKER_DELAY_S, lambda: callback(refused))

    def _refuse_report(self, address: str, worker_id: str, callback: Callable) -> None:
        error = exceptions.NotSentError(f"{address}: connection refused")
        if self._is_served(address):
            error = worker_calls.WrongIncarnationError(f"{address} is not worker {worker_id}")
        self._fleet.loop.call_later(WORKER_DELAY_S, lambda: callback(result.Failure(error)))

    def _send(self, execute: Callable, worker: FakeWorker, callback: Callable) -> None:
        fleet, loop = self._fleet, self._fleet.loop
        lost = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)
        if worker.worker_id in fleet.answers_lost:
            loop.call_later(WORKER_DELAY_S, execute)
            loop.call_later(0.5, lambda: callback(lost))
            return
        draw = fleet.generator.random()
        if worker.worker_id in fleet.replaced:
            replaced = worker_calls.OrderResult(worker_calls.StartOutcome.WRONG_INCARNATION)
            loop.call_later(WORKER_DELAY_S, lambda: callback(replaced))
            return
        if worker.worker_id in fleet.refusing:
            # No connection can be opened, so nothing of the order is sent.
            unsent = dataclasses.replace(lost, was_sent=False)
            loop.call_later(0.5, lambda: callback(unsent))
            return
        if worker.worker_id in fleet.unreachable:
            loop.call_later(0.5, lambda: callback(lost))
            return
        if draw < fleet.faults.late_orders:
            born_ms = worker.born_ms
            delay_s = fleet.generator.uniform(2.0, 12.0)

            def execute_late() -> None:
                lost = fleet.unreachable | fleet.refusing | fleet.replaced
                is_known = born_ms == worker.born_ms or fleet.faults.late_calls_survive_restarts
                if worker.worker_id not in lost and is_known:
                    fleet.is_for_former_incarnation = born_ms != worker.born_ms
                    execute()
                    fleet.is_for_former_incarnation = False

            loop.call_later(delay_s, execute_late)
            loop.call_later(0.5, lambda: callback(lost))
            return

        def arrive() -> None:
            if worker.worker_id in fleet.list_deaf():
                loop.call_later(0.5, lambda: callback(lost))
                return
            answer = worker_calls.OrderResult(execute(), worker.clock_ms())
            if draw < fleet.faults.late_orders + fleet.faults.lost_orders:
                loop.call_later(0.5, lambda: callback(lost))
            else:
                loop.call_later(WORKER_DELAY_S, lambda: callback(answer))

        loop.call_later(WORKER_DELAY_S, arrive)

    def report(self, address, worker_id, epoch, durable_end, deadline_ms, wait_s, callback) -> None:
        """Renews the lease of a worker and requests its report."""
        fleet, loop = self._fleet, self._fleet.loop
        worker = self._find(address, worker_id)
        if worker is None:
            self._refuse_report(address, worker_id, callback)
            return
        if worker_id in fleet.unreachable:
            error = result.Failure(
                exceptions.OutcomeUnknownError(f"no answer of worker {worker_id}")
            )
            loop.call_later(0.8, lambda: callback(error))
            return
        if worker_id in fleet.replaced:
            replaced = result.Failure(worker_calls.WrongIncarnationError(worker_id))
            loop.call_later(WORKER_DELAY_S, lambda: callback(replaced))
            return
        if worker_id in fleet.refusing:
            refused = result.Failure(exceptions.NotSentError(f"{worker_id} refuses"))
            loop.call_later(WORKER_DELAY_S, lambda: callback(refused))
            return
        sent_at_s = loop.now_s
        may_be_lost = fleet.faults.late_calls_survive_restarts
        draw = fleet.generator.random() if may_be_lost else 1.0
        is_late = draw < fleet.faults.late_orders
        is_lost = draw < fleet.faults.late_orders + fleet.faults.lost_orders

        def lose() -> None:
            error = result.Failure(
                exceptions.OutcomeUnknownError(f"no answer of worker {worker_id}")
            )
            loop.call_later(0.8, lambda: callback(error))

        def execute() -> bool:
            """Carries out the request; returns False if it is refused."""
            worker.advance()
            if epoch < worker.epoch:
                return False
            worker.epoch = epoch
            worker.acknowledge(durable_end)
            if deadline_ms is not None:
                worker.renew(deadline_ms)
            return True

        def execute_late() -> None:
            if worker_id not in fleet.unreachable | fleet.refusing | fleet.replaced:
                execute()

        def begin() -> None:
            if may_be_lost and worker_id in fleet.list_deaf():
                lose()
                return
            if not execute():
                loop.call_later(
                    WORKER_DELAY_S, lambda: callback(result.Failure(exceptions.FencedError(0)))
                )
                return
            worker.has_been_polled = True
            wait(loop.now_s + wait_s, worker.born_ms)

        def wait(end_s: float, born_ms: int) -> None:
            worker.advance()
            if worker_id in fleet.refusing:
                error = result.Failure(exceptions.OutcomeUnknownError(f"{worker_id} reset"))
                loop.call_later(WORKER_DELAY_S, lambda: callback(error))
                return
            is_cut_off = worker_id in fleet.unreachable or worker.born_ms != born_ms
            if worker_id in fleet.answers_lost or is_lost or (may_be_lost and is_cut_off):
                lose()
                return
            if worker.ended or loop.now_s >= end_s:
                loop.call_later(WORKER_DELAY_S, answer)
                return
            loop.call_later(0.05, lambda: wait(end_s, born_ms))

        def answer() -> None:
            if worker_id in fleet.refusing:
                # The worker has crashed meanwhile, and the connection with it.
                wait(loop.now_s, worker.born_ms)
            else:
                callback(result.Success(make_report()))

        def make_report() -> workers.Report:
            listed = tuple(
                workers.ListedRun(
                    run.task,
                    worker_calls.format_task(run.task),
                    run.number,
                    "",
                    int(100 * (1.0 - run.work_left_s / run.work_s)),
                )
                for run in worker.live.values()
            )
            ended = tuple(worker.ended[: fleet.ends_per_report])
            worker.listed_end = max([worker.listed_end, *(e.end_number for e in ended)])
            return workers.Report(
                worker_id,
                worker.clock_ms(),
                worker.born_ms,
                listed,
                ended,
                sent_at_s,
                loop.now_s,
                lists_all_ends=len(worker.ended) < fleet.ends_per_report,
            )

        if is_late:
            loop.call_later(fleet.generator.uniform(2.0, 12.0), execute_late)
            lose()
            return
        loop.call_later(WORKER_DELAY_S, begin)
