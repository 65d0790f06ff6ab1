"""Owner of a partition: one thread feeds the decisions, pools carry out their commands.

The thread is the only one that touches the state of the decisions. It takes over in this order:
the epoch, the release, a fence of every worker, the open requests from the table; only then it
sends ticks. No order for a non-idempotent request is sent before its attempt is in the table, and
no worker is told to forget an answer before the end of its request is in the table.
"""

import collections
import dataclasses
import heapq
import itertools
import queue
import random
import threading
import traceback
from collections.abc import Callable

from returns import result

from lycheegate.clients import workers as workers_module
from lycheegate.core import commands, events
from lycheegate.entry import execution, partitions, records
from lycheegate.metrics import histograms, logs
from lycheegate.model import releases, requests, resources

__all__ = ["PartitionOwner"]

_log = logs.Log("lycheegate.entry.owner")

TICK_S = 0.25
RESCAN_INTERVAL_S = 30.0
"""Time between searches for requests whose accepting entry VM died before handing them over."""

RECENT_LIMIT = 2000
"""Ended requests that are remembered, so that a repeated submission is answered at once."""


class PartitionOwner:
    """Owner of one partition under one epoch."""

    def __init__(
        self,
        partition: str,
        epoch: int,
        dependencies: partitions.Dependencies,
        release: releases.Release,
        workers: dict[str, resources.Worker],
        partitions_of: Callable[[str], list[str]] = lambda data_centre: [],
    ):
        self.partition = partition
        self.epoch = epoch
        self.deps = dependencies
        self.open: dict[str, partitions.OpenRequest] = {}
        self.attempts: dict[str, str] = {}
        self.live: dict[str, resources.Worker] = {}
        self.leaving: set[str] = set()
        self.quarantined: dict[str, str] = {}
        self.short: dict[tuple[str, str], tuple[int, str]] = {}
        self.recent: collections.OrderedDict[str, records.EndRecord] = collections.OrderedDict()
        self._first_release = release
        self._first_workers = dict(workers)
        self._partitions_of = partitions_of
        self._listed: set[str] = set()
        self._inbox: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_numbers = itertools.count()
        self._unread: set[str] = set()
        self._is_recovered = False
        self._early: list[partitions.Submission] = []
        self._held_back: list[events.Event] = []
        self._stopped = threading.Event()
        self._is_graceful = False
        self._executor = execution.Executor(self)
        self.workers = workers_module.WorkerPool(
            dependencies.http_client,
            partition,
            epoch,
            self.post,
            lambda epoch: dependencies.on_fenced(partition, epoch),
            random.Random(),
            dependencies.worker_settings,
        )
        seed = random.getrandbits(32)
        self._state = dependencies.core.create_state(partition, dependencies.policy, seed)
        self._thread = threading.Thread(target=self._run, name=f"owner-{partition}", daemon=True)

    # Called from any thread.

    def start(self) -> None:
        """Takes the partition over."""
        self._thread.start()

    def stop(self, graceful: bool) -> None:
        """Stops; a graceful stop first lets orders under way finish, then calls ``on_stopped``."""
        if graceful:
            self.call(self._begin_graceful_stop)
        else:
            self._stopped.set()
            self.call(lambda: None)

    def join(self, timeout_s: float) -> None:
        """Waits for the thread."""
        self._thread.join(timeout_s)

    @property
    def is_stopped(self) -> bool:
        """Whether orders are no longer given."""
        return self._stopped.is_set()

    @property
    def is_accepting(self) -> bool:
        """Whether submissions are taken."""
        return not self._stopped.is_set() and not self._is_graceful

    def call(self, function: Callable[[], None]) -> None:
        """Runs a function in the owner's thread."""
        self._inbox.put(function)

    def post(self, event: events.Event) -> None:
        """Feeds an event of the worker client to the decisions."""
        self._inbox.put(lambda: self._take_worker_event(event))

    def submit(self, submission: partitions.Submission) -> None:
        """Takes a request."""
        if not self.is_accepting:
            submission.reply("not_owner")
            return
        self.call(lambda: self._take(submission))

    def cancel(self, request_id: str) -> None:
        """Asks for the cancellation of a request."""
        self.call(lambda: self._cancel(request_id))

    def set_workers(self, workers: dict[str, resources.Worker], leaving: set[str]) -> None:
        """Tells which workers the VM list shows."""
        self.call(lambda: self._set_workers(workers, leaving))

    def apply_release(self, release: releases.Release) -> None:
        """Puts a release in force."""
        self.call(lambda: self._apply_release(release))

    def rescan(self) -> None:
        """Searches the table for open requests that were not handed over."""
        self.call(lambda: self._list_open(self._note_orphans))

    def count_unrecorded(self) -> int:
        """Returns the number of open requests that only this process knows."""
        return sum(not entry.is_recorded for entry in list(self.open.values()))

    def get_load(self) -> tuple[int, int]:
        """Returns the number of open requests and of slots."""
        return len(self.open), sum(worker.slots for worker in list(self.live.values()))

    # Called in the owner's thread.

    def later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Runs a function in the owner's thread after a delay."""
        due_s = self.deps.clock.monotonic_s() + delay_s
        heapq.heappush(self._timers, (due_s, next(self._timer_numbers), function))

    def apply(self, event: events.Event) -> None:
        """Feeds an event to the decisions and carries out what they return."""
        if not self.is_accepting:
            return
        self._note_event(event)
        decided = self.deps.core.decide(self._state, event, self.deps.clock.monotonic_s())
        if isinstance(event, events.WorkerReported):
            self.workers.accept_orders(event.worker.worker_id)
        for command in decided:
            self._executor.execute(command)

    def close(self, request_id: str) -> None:
        """Forgets a request whose end is settled and tells who waits for it."""
        entry = self.open.pop(request_id, None)
        if entry is None:
            return
        self.recent[request_id] = entry.end
        if len(self.recent) > RECENT_LIMIT:
            self.recent.popitem(last=False)
        self._record_time(entry, histograms.Kind.COMPLETION)
        self._executor.deliver(entry)
        for command in entry.deferred:
            self.workers.release(command)

    def _note_event(self, event: events.Event) -> None:
        """Keeps what the daemon itself needs to know of the workers."""
        match event:
            case events.WorkerReported():
                self.live[event.worker.worker_id] = event.worker
                for task in event.tasks:
                    attempt_id, _ = commands.split_task_id(task.task_id)
                    self.attempts[attempt_id] = task.request_id
            case events.TaskStarted():
                attempt_id, _ = commands.split_task_id(event.task_id)
                entry = self.open.get(self.attempts.get(attempt_id, ""))
                if entry is not None and not entry.is_started:
                    entry.is_started = True
                    self._record_time(entry, histograms.Kind.QUEUEING)
            case events.TaskReleased() | events.TaskRefused() | events.TaskStopped():
                attempt_id, _ = commands.split_task_id(event.task_id)
                entry = self.open.get(self.attempts.get(attempt_id, ""))
                if entry is not None:
                    entry.places.pop(event.task_id, None)
                    entry.is_started = entry.is_started and bool(entry.places)
                if isinstance(event, events.TaskReleased):
                    self.attempts.pop(attempt_id, None)
            case events.WorkerLost():
                self.live.pop(event.worker_id, None)
            case events.WorkerLeaving():
                self.leaving.add(event.worker_id)

    def _record_time(self, entry: partitions.OpenRequest, kind: histograms.Kind) -> None:
        record = entry.known.record
        duration_s = self.deps.clock.now().timestamp() - record.submitted_at
        self.deps.record_time(record.client_account, record.job_class, kind, duration_s)

    def _run(self) -> None:
        try:
            self._take_over()
            while not self._stopped.is_set():
                self._step()
        except Exception:  # A defect in one partition must not end the process.
            _log.error(
                "owner_failed",
                partition=self.partition,
                epoch=self.epoch,
                error=traceback.format_exc()[-500:],
            )
            self.deps.count("owner_failed")
            self._stopped.set()
            self.deps.on_fenced(self.partition, self.epoch + 1)
        finally:
            self.workers.close()

    def _step(self) -> None:
        now_s = self.deps.clock.monotonic_s()
        timeout_s = max(0.0, self._timers[0][0] - now_s) if self._timers else TICK_S
        try:
            self._inbox.get(timeout=timeout_s)()
        except queue.Empty:
            pass
        else:
            for _ in range(256):
                if self._inbox.empty() or self._stopped.is_set():
                    break
                self._inbox.get()()
        now_s = self.deps.clock.monotonic_s()
        while self._timers and self._timers[0][0] <= now_s and not self._stopped.is_set():
            heapq.heappop(self._timers)[2]()

    def _take_over(self) -> None:
        _log.info("takeover", partition=self.partition, epoch=self.epoch)
        self.deps.count("takeover")
        self.apply(events.EpochGained(self.epoch))
        self._apply_release(self._first_release)
        self._set_workers(self._first_workers, set())
        self._recover_all()

    def _take_worker_event(self, event: events.Event) -> None:
        if self._is_recovered:
            self.apply(event)
        else:
            # A task that ends between the report of its worker and the recovery of its request
            # would be adopted as running, and its end would never be told again.
            self._held_back.append(event)

    def _tick(self) -> None:
        self.apply(events.Tick())
        self.later(TICK_S, self._tick)

    def _set_workers(self, workers: dict[str, resources.Worker], leaving: set[str]) -> None:
        for worker in workers.values():
            self.workers.add(worker)
        for worker_id in self._listed - set(workers):
            if worker_id in self.live:
                # The VM list lags, so a worker that still answers stays, but gets no new work.
                self.workers.mark_leaving(worker_id)
            else:
                self.workers.remove(worker_id)
                self._listed.discard(worker_id)
        self._listed |= set(workers)
        for worker_id in leaving & set(workers):
            self.workers.mark_leaving(worker_id)

    def _apply_release(self, release: releases.Release) -> None:
        data_centre = self.partition.rpartition("/")[0]
        names = self._partitions_of(data_centre) or [self.partition]
        carried = tuple(
            guarantee
            for guarantee in release.guarantees.values()
            if guarantee.data_centre == data_centre
            and execution.find_carrier(guarantee, names) == self.partition
        )
        self.apply(
            events.ReleaseApplied(release.number, tuple(release.client_accounts.values()), carried)
        )

    def _take(self, submission: partitions.Submission) -> None:
        if not self.is_accepting:
            submission.reply("not_owner")
            return
        known = submission.known
        request_id = known.record.request_id
        entry = self.open.get(request_id)
        if entry is not None:
            if submission.vm_id is not None:
                entry.waiters.add(submission.vm_id)
            submission.reply("queued")
        elif request_id in self.recent or known.record.end is not None:
            submission.reply("ended")
        elif not known.version:
            self._add(known, submission.vm_id)
            submission.reply("queued")
        elif not self._is_recovered:
            # Only the recovery under way knows whether an earlier owner has started it.
            self._early.append(submission)
        elif submission.is_repeated:
            self._read(request_id, lambda found: self._take_read(submission, found))
        else:
            self._add(known, submission.vm_id)
            submission.reply("queued")

    def _take_read(self, submission: partitions.Submission, found: result.Result) -> None:
        match found:
            case result.Success(records.Versioned() as known):
                submission = dataclasses.replace(submission, known=known, is_repeated=False)
                self._take(submission)
            case _:
                # The sender repeats it.
                submission.reply("not_owner")

    def _add(self, known: records.Versioned, vm_id: str | None) -> None:
        record = known.record
        self.open[record.request_id] = partitions.OpenRequest(known, {vm_id} - {None})
        if known.version and (record.attempt or record.cancel_requested):
            self._recover(known)
        else:
            self.apply(events.RequestSubmitted(self._make_request(record)))

    def _make_request(self, record: records.Record) -> requests.Request:
        clock = self.deps.clock
        return records.make_request(record, clock.monotonic_s(), clock.now().timestamp())

    def _recover(self, known: records.Versioned) -> None:
        record = known.record
        self.open.setdefault(record.request_id, partitions.OpenRequest(known)).known = known
        placement: resources.Placement = ()
        if record.attempt is not None:
            placement = partitions.make_placement(record.attempt)
        self.apply(
            events.RecoveredRequest(
                self._make_request(record),
                record.attempt.attempt_id if record.attempt else None,
                placement,
                record.cancel_requested,
                tuple(record.attempt.instances) if record.attempt else (),
            )
        )

    def _cancel(self, request_id: str) -> None:
        if request_id in self.open:
            self.apply(events.CancelRequested(request_id))
        elif self._is_recovered:
            self._list_open(self._note_orphans)

    def _list_open(self, then: Callable[[result.Result], None]) -> None:
        def work() -> None:
            found = records.list_open(self.deps.table, self.partition)
            self.call(lambda: then(found))

        self._executor.run(self.deps.table_pool, work)

    def _read(self, request_id: str, then: Callable[[result.Result], None]) -> None:
        def work() -> None:
            found = records.read(self.deps.table, request_id)
            self.call(lambda: then(found))

        self._executor.run(self.deps.table_pool, work)

    def _recover_all(self) -> None:
        self._list_open(self._note_listed)

    def _note_listed(self, found: result.Result) -> None:
        match found:
            case result.Success(request_ids):
                self._unread = set(request_ids)
                for request_id in request_ids:
                    self._recover_one(request_id)
                self._finish_recovery()
            case result.Failure():
                self.later(0.2, self._recover_all)

    def _recover_one(self, request_id: str) -> None:
        self._read(request_id, lambda found: self._note_read(request_id, found))

    def _note_read(self, request_id: str, found: result.Result) -> None:
        match found:
            case result.Success(records.Versioned() as known) if known.record.end is None:
                self._recover(known)
            case result.Failure():
                self.later(0.2, lambda: self._recover_one(request_id))
                return
        self._unread.discard(request_id)
        self._finish_recovery()

    def _finish_recovery(self) -> None:
        if self._unread or self._is_recovered:
            return
        self._is_recovered = True
        _log.info("recovered", partition=self.partition, open=len(self.open))
        held_back, self._held_back = self._held_back, []
        for event in held_back:
            self.apply(event)
        self._tick()
        early, self._early = self._early, []
        for submission in early:
            self._take(dataclasses.replace(submission, is_repeated=True))
        self.later(RESCAN_INTERVAL_S, self._rescan_regularly)

    def _rescan_regularly(self) -> None:
        self._list_open(self._note_orphans)
        self.later(RESCAN_INTERVAL_S * random.uniform(0.8, 1.2), self._rescan_regularly)

    def _note_orphans(self, found: result.Result) -> None:
        for request_id in found.value_or([]):
            if request_id not in self.open and request_id not in self.recent:
                self._read(request_id, self._note_orphan)

    def _note_orphan(self, found: result.Result) -> None:
        match found:
            case result.Success(records.Versioned() as known) if known.record.end is None:
                self._take(partitions.Submission(known, None, lambda state: None, False))

    def _begin_graceful_stop(self) -> None:
        unrecorded = [entry for entry in self.open.values() if not entry.is_recorded]
        if unrecorded:
            # Nobody else knows these requests, so they are finished here.
            self.later(0.1, self._begin_graceful_stop)
            return
        self._is_graceful = True
        if self._executor.is_busy():
            self.later(0.02, self._begin_graceful_stop)
            return
        self._stopped.set()
        _log.info("handover", partition=self.partition, epoch=self.epoch)
        self.deps.on_stopped(self.partition, self.epoch)
