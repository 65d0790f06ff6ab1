"""Deterministic stand-ins of the store and the workers, on one event queue with a fake clock.

Faults are drawn from a seeded generator: answers that are lost, calls that are carried out late,
VMs that the store turns away, workers that restart. The workers check what must always hold, from
what they see: no task twice at the same time, no run after success, no worker over its capacity.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from returns import result

from lycheegate.jobs import commands, model, progress, runs, state, workers
from lycheegate.metrics import histograms, jsonlog
from lycheegate.node import scheduler, storage, tables, terms
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

MAX_PART_QUEUE_S = 1.0
STORE_DELAY_S = 0.004
WORKER_DELAY_S = 0.002
STOP_S = 0.2
MAX_LEASE_S = 6.0


class Loop:
    """Event queue with its own clock."""

    def __init__(self):
        self.now_s = 100.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Runs a function after a delay."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._numbers), function))

    def run_until(self, end_s: float) -> None:
        """Runs everything that is due up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            due_s, _, function = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, due_s)
            function()
        self.now_s = max(self.now_s, end_s)


@dataclasses.dataclass(slots=True)
class Faults:
    """Shares of calls that go wrong, and who is turned away."""

    lost_writes: float = 0.0
    late_writes: float = 0.0
    lost_orders: float = 0.0
    late_orders: float = 0.0
    refused: set[str] = dataclasses.field(default_factory=set)
    history_lost: bool = False
    transaction_s: float = 0.0
    """Time of a transaction; those of one part are carried out one after another."""
    silent_feeds: bool = False


class FakeStore:
    """Linearizable store; ``connect`` gives each VM its own client."""

    def __init__(self, loop: Loop, faults: Faults, generator: random.Random):
        self.loop = loop
        self.faults = faults
        self.generator = generator
        self.rows: dict[storage.RowKey, storage.Row] = {}
        self.changes: list[storage.Row] = []
        self.version = 1
        self._busy_until_s: dict[str, float] = {}

    def connect(self, vm: str) -> "FakeStoreClient":
        """Returns the client of a VM."""
        return FakeStoreClient(self, vm)

    def apply(self, transaction: storage.Transaction) -> storage.StoreResult:
        """Makes changes at once."""
        keys = [item.key for item in (*transaction.conditions, *transaction.writes)]
        parts = {key.part for key in (*keys, *transaction.deletes)}
        assert len(parts) <= 1, f"a transaction over several parts: {parts}"
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else storage.ABSENT) != condition.version:
                found = [self.rows.get(item.key) for item in transaction.conditions]
                return result.Failure(storage.ConflictError(tuple(r for r in found if r)))
        self.version += 1
        for write in transaction.writes:
            row = storage.Row(write.key, write.value, self.version)
            self.rows[write.key] = row
            self.changes.append(row)
        for key in transaction.deletes:
            if self.rows.pop(key, None):
                self.changes.append(storage.Row(key, b"", self.version, True))
        return result.Success(self.version)

    def queue(self, transaction: storage.Transaction) -> float | None:
        """Returns when a transaction is carried out, or None if its part refuses it."""
        key = (transaction.conditions or transaction.writes)[0].key
        begin_s = max(self.loop.now_s, self._busy_until_s.get(key.part, 0.0))
        if begin_s - self.loop.now_s > MAX_PART_QUEUE_S:
            return None
        self._busy_until_s[key.part] = begin_s + self.faults.transaction_s
        return self._busy_until_s[key.part]

    def put(self, key: storage.RowKey, value: bytes) -> None:
        """Writes a row as another writer does."""
        self.apply(storage.Transaction(writes=(storage.Write(key, value),)))


class FakeStoreClient:
    """Store as one VM reaches it."""

    def __init__(self, store: FakeStore, vm: str):
        self._store = store
        self._vm = vm

    def _refuse(self, callback: Callable) -> bool:
        if self._vm not in self._store.faults.refused:
            return False
        failure = result.Failure(exceptions.UnavailableError("turned away"))
        self._store.loop.call_later(STORE_DELAY_S, lambda: callback(failure))
        return True

    def transact(self, transaction, timeout_s: float, callback: Callable) -> None:
        """Makes changes, unless a fault is drawn."""
        if self._refuse(callback):
            return
        store, loop = self._store, self._store.loop
        if store.faults.transaction_s:
            self._transact_slowly(transaction, timeout_s, callback)
            return
        draw = store.generator.random()
        if draw < store.faults.late_writes:
            delay_s = store.generator.uniform(1.0, 6.0)
            loop.call_later(delay_s, lambda: store.apply(transaction))
            loop.call_later(timeout_s, lambda: callback(_unknown()))
            return
        outcome = store.apply(transaction)
        if draw < store.faults.late_writes + store.faults.lost_writes:
            loop.call_later(timeout_s, lambda: callback(_unknown()))
            return
        loop.call_later(STORE_DELAY_S, lambda: callback(outcome))

    def _transact_slowly(self, transaction, timeout_s: float, callback: Callable) -> None:
        store, loop = self._store, self._store.loop
        done_s = store.queue(transaction)
        if done_s is None:
            failure = result.Failure(exceptions.UnavailableError("part has too many waiting"))
            loop.call_later(STORE_DELAY_S, lambda: callback(failure))
            return
        is_late = done_s - loop.now_s > timeout_s

        def apply() -> None:
            outcome = store.apply(transaction)
            if not is_late:
                callback(outcome)

        loop.call_later(done_s - loop.now_s, apply)
        if is_late:
            loop.call_later(timeout_s, lambda: callback(_unknown()))

    def read(self, table, part, first, end, timeout_s, callback: Callable) -> None:
        """Reads rows."""
        if self._refuse(callback):
            return
        rows = sorted(
            (
                row
                for key, row in self._store.rows.items()
                if key.table == table
                and key.part == part
                and key.key >= first
                and (not end or key.key < end)
            ),
            key=lambda row: row.key.key,
        )
        page = storage.Page(tuple(rows), False, self._store.version)
        self._store.loop.call_later(STORE_DELAY_S, lambda: callback(result.Success(page)))

    def follow(self, table, after, wait_s, callback: Callable) -> None:
        """Waits for changes."""
        if self._refuse(callback):
            return
        if self._store.faults.history_lost:
            lost = result.Failure(storage.HistoryLostError("history"))
            self._store.loop.call_later(STORE_DELAY_S, lambda: callback(lost))
            return
        self._poll(table, after, self._store.loop.now_s + wait_s, callback)

    def _poll(self, table, after, end_s, callback: Callable) -> None:
        store = self._store
        rows = tuple(r for r in store.changes if r.version > after and r.key.table == table)
        if store.faults.silent_feeds:
            rows = ()
        if rows or store.loop.now_s >= end_s:
            silent = store.faults.silent_feeds
            version = after if silent else max([store.version, *(row.version for row in rows)])
            changes = storage.Changes(rows, version)
            store.loop.call_later(STORE_DELAY_S, lambda: callback(result.Success(changes)))
            return
        store.loop.call_later(0.02, lambda: self._poll(table, after, end_s, callback))


def _unknown() -> storage.StoreResult:
    return result.Failure(exceptions.OutcomeUnknownError("answer lost"))


@dataclasses.dataclass(slots=True)
class LiveRun:
    """A run at a worker."""

    task: model.TaskKey
    number: int
    need: model.Resources
    work_s: float
    work_left_s: float
    stops_at_s: float | None = None


class FakeWorker:
    """Worker that keeps the protocol and checks the promises."""

    def __init__(self, fleet: "Fleet", worker_id: str, rack: str, capacity: model.Resources):
        self.fleet = fleet
        self.worker_id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.born_ms = 1_000
        self.reset()

    def reset(self) -> None:
        """Forgets everything, as a restart does."""
        self.epoch = 0
        self.live: dict[model.TaskKey, LiveRun] = {}
        self.highest: dict[model.TaskKey, int] = {}
        self.ended: list[workers.EndedRun] = []
        self.end_number = 0
        self.ended_at_s: dict[int, float] = {}
        self.deadline_ms = 0
        self.booted_at_s = self.fleet.loop.now_s - 1.0
        self.advanced_at_s = self.fleet.loop.now_s

    def restart(self) -> None:
        """Starts anew under the same identifier."""
        self.born_ms += 1_000
        self.reset()

    def clock_ms(self) -> int:
        """Returns the worker's clock."""
        return int((self.fleet.loop.now_s - self.booted_at_s) * 1000)

    def advance(self) -> None:
        """Lets runs work up to now."""
        now_s = self.fleet.loop.now_s
        passed_s = now_s - self.advanced_at_s
        self.advanced_at_s = now_s
        for run in list(self.live.values()):
            run.work_left_s -= passed_s
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                self._end(run, runs.End.INTERRUPTED, "stopped")
            elif self.clock_ms() > self.deadline_ms:
                self._end(run, runs.End.INTERRUPTED, "lapsed")
            elif run.work_left_s <= 0.0:
                failed = self.fleet.generator.random() < self.fleet.failure_share
                self._end(run, runs.End.FAILED if failed else runs.End.DONE, "ended")

    def _end(self, run: LiveRun, end: runs.End, reason: str) -> None:
        del self.live[run.task]
        self.end_number += 1
        self.ended.append(workers.EndedRun(self.end_number, run.task, run.number, end, reason, ""))
        if end is runs.End.DONE:
            self.fleet.done[run.task] = self.fleet.loop.now_s
            self.ended_at_s[self.end_number] = self.fleet.loop.now_s

    def acknowledge(self, kept_end: int) -> None:
        """Forgets ends; a success counts for good from here on."""
        for ended in self.ended:
            if ended.end_number <= kept_end and ended.end is runs.End.DONE:
                self.fleet.note_success(ended.task, self.ended_at_s[ended.end_number])
        self.ended = [ended for ended in self.ended if ended.end_number > kept_end]

    def start(self, order: commands.StartRun, epoch: int, deadline_ms: int):
        """Carries out an order to start."""
        self.advance()
        if epoch < self.epoch:
            return worker_calls.StartOutcome.FENCED
        self.epoch = epoch
        run = self.live.get(order.task)
        if run is not None and run.number == order.number:
            return worker_calls.StartOutcome.STARTED
        if order.number <= self.highest.get(order.task, 0):
            return worker_calls.StartOutcome.OLD_RUN
        if deadline_ms <= self.clock_ms():
            return worker_calls.StartOutcome.LATE
        limit_ms = self.clock_ms() + int(MAX_LEASE_S * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))
        self.highest[order.task] = order.number
        self.fleet.check_start(order, self)
        need, work_s = self.fleet.describe(order.task)
        self.live[order.task] = LiveRun(order.task, order.number, need, work_s, work_s)
        used = sum((r.need for r in self.live.values()), model.Resources())
        if not used.fits(self.capacity):
            self.fleet.violations.append(f"LIMIT {self.worker_id} {order.task}")
        return worker_calls.StartOutcome.STARTED

    def stop(self, order: commands.StopRun, epoch: int):
        """Carries out an order to stop."""
        self.advance()
        if epoch < self.epoch:
            return worker_calls.StartOutcome.FENCED
        self.epoch = epoch
        self.highest[order.task] = max(self.highest.get(order.task, 0), order.number)
        run = self.live.get(order.task)
        if run is not None and run.number == order.number and run.stops_at_s is None:
            run.stops_at_s = self.fleet.loop.now_s + STOP_S
        return worker_calls.StartOutcome.STARTED


class Fleet:
    """All workers, with the client of them that the scheduler uses."""

    def __init__(self, loop: Loop, faults: Faults, generator: random.Random):
        self.loop = loop
        self.faults = faults
        self.generator = generator
        self.workers: dict[str, FakeWorker] = {}
        self.specs: dict[str, model.Job] = {}
        self.done: dict[model.TaskKey, float] = {}
        self.noted: set[model.TaskKey] = set()
        self.starts: dict[model.TaskKey, int] = {}
        self.started_at_s: dict[model.TaskKey, float] = {}
        self.violations: list[str] = []
        self.failure_share = 0.0
        self.cut: set[str] = set()
        self.mute: set[str] = set()
        """Workers that get calls but whose answers are lost."""
        self.work_s = 1.0

    def add(self, worker_id: str, rack: str, capacity: model.Resources) -> FakeWorker:
        """Adds a worker."""
        self.workers[worker_id] = FakeWorker(self, worker_id, rack, capacity)
        return self.workers[worker_id]

    def describe(self, task: model.TaskKey) -> tuple[model.Resources, float]:
        """Returns the resources and the work of a task."""
        return self.specs[task.job_id].steps[task.step].need, self.work_s

    def check_start(self, order: commands.StartRun, worker: FakeWorker) -> None:
        """Checks what must hold whenever a task starts."""
        self.starts[order.task] = self.starts.get(order.task, 0) + 1
        self.started_at_s[order.task] = self.loop.now_s
        job = self.specs.get(order.task.job_id)
        if job is None or order.spec != job.spec:
            self.violations.append(f"UNASKED {order.task}")
            return
        for other in self.workers.values():
            other.advance()
            if order.task in other.live:
                self.violations.append(f"TWICE {order.task} on {other.worker_id}")
        if order.task in self.noted:
            self.violations.append(f"TWICE after success {order.task}")
        for number in job.steps[order.task.step].depends_on:
            for index in range(job.steps[number].count):
                before = model.TaskKey(order.task.job_id, order.task.occurrence, number, index)
                if before not in self.done:
                    self.violations.append(f"ORDER {order.task} before {before}")

    def note_success(self, task: model.TaskKey, ended_at_s: float) -> None:
        """Notes a success that the scheduler has acknowledged.

        A success that nobody acknowledged dies with its worker, and its task may start again.
        """
        if self.started_at_s[task] > ended_at_s:
            self.violations.append(f"TWICE after success {task}")
        self.noted.add(task)

    def connect(self, vm: str) -> "FakeWorkers":
        """Returns the client of a VM."""
        return FakeWorkers(self, vm)


class FakeWorkers:
    """Client of the workers, with the interface of ``PlatformWorkers``."""

    def __init__(self, fleet: Fleet, vm: str):
        self._fleet = fleet
        self._vm = vm

    def start(self, address, order, epoch, deadline_ms, callback) -> None:
        """Sends an order to start."""
        worker = self._fleet.workers[order.worker_id]
        self._send(lambda: worker.start(order, epoch, deadline_ms), worker, callback)

    def stop(self, address, order, epoch, callback) -> None:
        """Sends an order to stop."""
        worker = self._fleet.workers[order.worker_id]
        self._send(lambda: worker.stop(order, epoch), worker, callback)

    def _send(self, carry_out: Callable, worker: FakeWorker, callback: Callable) -> None:
        fleet, loop = self._fleet, self._fleet.loop
        lost = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)
        if worker.worker_id in fleet.mute:
            loop.call_later(WORKER_DELAY_S, carry_out)
            loop.call_later(0.5, lambda: callback(lost))
            return
        draw = fleet.generator.random()
        if worker.worker_id in fleet.cut:
            loop.call_later(0.5, lambda: callback(lost))
            return
        if draw < fleet.faults.late_orders:
            born_ms = worker.born_ms
            delay_s = fleet.generator.uniform(2.0, 12.0)

            def carry_out_late() -> None:
                if worker.worker_id not in fleet.cut and born_ms == worker.born_ms:
                    carry_out()

            loop.call_later(delay_s, carry_out_late)
            loop.call_later(0.5, lambda: callback(lost))
            return

        def arrive() -> None:
            answer = worker_calls.OrderResult(carry_out(), worker.clock_ms())
            if draw < fleet.faults.late_orders + fleet.faults.lost_orders:
                loop.call_later(0.5, lambda: callback(lost))
            else:
                loop.call_later(WORKER_DELAY_S, lambda: callback(answer))

        loop.call_later(WORKER_DELAY_S, arrive)

    def report(self, address, worker_id, epoch, kept_end, deadline_ms, wait_s, callback) -> None:
        """Asks for a report."""
        fleet, loop = self._fleet, self._fleet.loop
        worker = fleet.workers[worker_id]
        if worker_id in fleet.cut:
            error = result.Failure(exceptions.OutcomeUnknownError("silent"))
            loop.call_later(0.8, lambda: callback(error))
            return
        sent_at_s = loop.now_s

        def begin() -> None:
            worker.advance()
            if epoch < worker.epoch:
                loop.call_later(
                    WORKER_DELAY_S, lambda: callback(result.Failure(exceptions.FencedError(0)))
                )
                return
            worker.epoch = epoch
            worker.acknowledge(kept_end)
            if deadline_ms is not None:
                limit_ms = worker.clock_ms() + int(MAX_LEASE_S * 1000)
                worker.deadline_ms = max(worker.deadline_ms, min(deadline_ms, limit_ms))
            wait(loop.now_s + wait_s)

        def wait(end_s: float) -> None:
            worker.advance()
            if worker_id in fleet.mute:
                error = result.Failure(exceptions.OutcomeUnknownError("silent"))
                loop.call_later(0.8, lambda: callback(error))
                return
            if worker.ended or loop.now_s >= end_s:
                loop.call_later(WORKER_DELAY_S, lambda: callback(result.Success(make_report())))
                return
            loop.call_later(0.05, lambda: wait(end_s))

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
            return workers.Report(
                worker_id,
                worker.clock_ms(),
                worker.born_ms,
                listed,
                tuple(worker.ended[:500]),
                sent_at_s,
                loop.now_s,
            )

        loop.call_later(WORKER_DELAY_S, begin)


class World:
    """Store, workers and VMs that take terms."""

    def __init__(self, seed: int, worker_count: int = 6):
        self.generator = random.Random(seed)
        self.loop = Loop()
        self.faults = Faults()
        self.store = FakeStore(self.loop, self.faults, self.generator)
        self.fleet = Fleet(self.loop, self.faults, self.generator)
        self.schedulers: dict[str, scheduler.Scheduler] = {}
        self.lines: list[bytes] = []
        self.route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
        self.urgent = model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.3)
        self.configuration = make_configuration(self.route, self.urgent)
        for number in range(worker_count):
            worker_id = f"w{number}"
            rack = f"r{number // 3}"
            self.fleet.add(worker_id, rack, model.Resources(16_000, 32_000, 8))
            self.register(worker_id)

    def register(
        self, worker_id: str, draining: bool = False, remaining_ms: int | None = None
    ) -> None:
        """Writes a worker's registration."""
        worker = self.fleet.workers[worker_id]
        text = (
            f'{{"service":"render","address":"10.0.0.1:1","zone":"z",'
            f'"state":"{"draining" if draining else "ready"}",'
            f'"capacity":{{"cpu":16000,"mem-mb":32000,"gpu":8}},'
            f'"labels":["a","{worker.rack}"],"born":{worker.born_ms}'
        )
        text += "}" if remaining_ms is None else f',"remaining-ms":{remaining_ms}}}'
        self.store.put(storage.RowKey(worker_calls.REGISTRY_TABLE, "", worker_id), text.encode())

    def unregister(self, worker_id: str) -> None:
        """Deletes a worker's registration."""
        key = storage.RowKey(worker_calls.REGISTRY_TABLE, "", worker_id)
        self.store.apply(storage.Transaction(deletes=(key,)))

    def submit(self, job: model.Job, route: model.Route | None = None) -> None:
        """Accepts a job as an entry does."""
        self.fleet.specs[job.job_id] = job
        record = progress.encode_accepted(progress.AcceptedJob(job, route or self.route))
        self.store.put(tables.get_job_key(job.job_id), record)

    def cancel(self, job_id: str) -> None:
        """Cancels a job as an entry does."""
        self.store.put(tables.get_cancel_key(job_id), b"1")

    def take_term(self, vm: str) -> scheduler.Scheduler:
        """Lets a VM claim the next term and schedule."""
        view = terms.TermView()
        rows = tuple(r for k, r in self.store.rows.items() if k.table == tables.TERMS)
        terms.observe(view, rows, self.loop.now_s, int(self.loop.now_s * 1000))
        owner, transaction = terms.make_claim(view, vm, self.loop.now_s)
        version = self.store.apply(transaction).unwrap()
        runtime = scheduler.Runtime(
            self.store.connect(vm),
            self.fleet.connect(vm),
            self.loop.call_later,
            lambda: self.loop.now_s,
            lambda: self.loop.now_s,
            lambda: int(self.loop.now_s * 1000),
            jsonlog.JsonLog(vm, lambda: self.loop.now_s, self._log),
            histograms.Histograms(),
        )
        found = scheduler.Scheduler(
            runtime, state.Policy(), owner, version, self.configuration, lambda reason: None
        )
        self.schedulers[vm] = found
        found.start()
        return found

    def _log(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        self.loop.run_until(self.loop.now_s + duration_s)

    def read_status(self, job_id: str) -> progress.JobStatus:
        """Returns what a caller would be told."""
        row = self.store.rows.get(tables.get_progress_key(job_id))
        if row is None:
            assert tables.get_job_key(job_id) in self.store.rows, "an accepted job is unknown"
            return progress.JobStatus(None, False)
        return progress.decode_status(row.value)


def make_configuration(*routes: model.Route, guaranteed: int = 16) -> model.Configuration:
    """Returns a configuration with one account."""
    account = model.Account("acme", frozenset({"k"}), guaranteed)
    return model.Configuration(
        1,
        {route.name: route for route in routes},
        {"render": model.Service("render")},
        {"acme": account},
        {"k": "acme"},
        100_000,
    )


def make_job(job_id: str, *steps: model.Step, route: str = "batch", **fields) -> model.Job:
    """Returns a job."""
    account = fields.pop("account", "acme")
    return model.Job(job_id, route, account, f"spec-{job_id}", steps, 100.0, **fields)
