"""Owner of a partition: one thread runs the scheduling core, pools execute its commands.

Only this thread accesses the state of the scheduling core. A takeover applies the epoch, the
release, a fence on every worker and the open requests from the table, in this order; ticks start
afterwards. An order for a non-idempotent request is sent only after its attempt is in the table,
and a worker is told to release an answer only after the end of the request is in the table.
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
from lycheegate.utils import exceptions

__all__ = ["PartitionOwner"]

_log = logs.Log("lycheegate.entry.owner")

TICK_S = 0.25
RESCAN_INTERVAL_S = 30.0
"""Interval of searches for requests whose entry VM failed before it submitted them to the owner."""

MAX_RECENT_ENDS = 2000
"""Number of ended requests kept, so that a repeated submission is answered at once."""


class PartitionOwner:
    """Owner of one partition under one epoch.

    Attributes:
        open: Requests that have not ended, by identifier.
        attempts: Identifier of the request of each attempt with tasks on workers.
        live: Workers that report, by identifier.
        leaving: Workers that have announced their departure.
        quarantined: Reason for the quarantine of each quarantined worker.
        short_guarantees: Units missing and the reason, by client account and guarantee.
        recent_ends: Ends of the latest ended requests, oldest first.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        dependencies: partitions.Dependencies,
        release: releases.Release,
        workers: dict[str, resources.Worker],
        list_partitions: Callable[[str], list[str]] = lambda data_centre: [],
    ):
        """Creates the owner; ``start`` starts its takeover.

        Args:
            partition: Partition that it owns.
            epoch: Epoch of the lease on the partition.
            dependencies: Functions and objects of the daemon.
            release: Release in force.
            workers: Workers of the partition, by identifier.
            list_partitions: Returns the partitions of a data centre, among which its guarantees
                are divided.
        """
        self.partition = partition
        self.epoch = epoch
        self.deps = dependencies
        self.open: dict[str, partitions.OpenRequest] = {}
        self.attempts: dict[str, str] = {}
        self.live: dict[str, resources.Worker] = {}
        self.leaving: set[str] = set()
        self.quarantined: dict[str, str] = {}
        self.short_guarantees: dict[tuple[str, str], tuple[int, str]] = {}
        self.recent_ends: collections.OrderedDict[str, records.EndRecord] = (
            collections.OrderedDict()
        )
        self._initial_release = release
        self._initial_workers = dict(workers)
        self._list_partitions = list_partitions
        self._listed_workers: set[str] = set()
        self._applied_listing: tuple[str, ...] = ()
        self._inbox: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_numbers = itertools.count()
        self._unrecovered: set[str] = set()
        self._is_recovered = False
        self._deferred_submissions: list[partitions.Submission] = []
        self._deferred_events: list[events.Event] = []
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
        """Starts the takeover of the partition."""
        self._thread.start()

    def stop(self, graceful: bool) -> None:
        """Stops the owner.

        A graceful stop first waits until every open request has a record and no read or write is in
        progress, then calls ``on_stopped``.
        """
        if graceful:
            self.call(self._begin_graceful_stop)
        else:
            self._stopped.set()
            self.call(lambda: None)

    def join(self, timeout_s: float) -> None:
        """Waits for the thread to end."""
        self._thread.join(timeout_s)

    @property
    def is_stopped(self) -> bool:
        """Whether the owner has stopped and sends no more orders."""
        return self._stopped.is_set()

    @property
    def is_accepting(self) -> bool:
        """Whether submissions are accepted."""
        return not self._stopped.is_set() and not self._is_graceful

    def call(self, function: Callable[[], None]) -> None:
        """Runs a function in the owner's thread."""
        self._inbox.put(function)

    def post(self, event: events.Event) -> None:
        """Passes an event of the worker client to the scheduling core."""
        self._inbox.put(lambda: self._handle_worker_event(event))

    def submit(self, submission: partitions.Submission) -> None:
        """Accepts a request, or replies ``not_owner`` if the owner is stopping."""
        if not self.is_accepting:
            submission.reply("not_owner")
            return
        self.call(lambda: self._handle_submission(submission))

    def cancel(self, request_id: str) -> None:
        """Requests the cancellation of a request."""
        self.call(lambda: self._cancel(request_id))

    def set_workers(self, workers: dict[str, resources.Worker], leaving: set[str]) -> None:
        """Sets the workers of the partition and the leaving workers, as of the VM list."""
        self.call(lambda: self._set_workers(workers, leaving))

    def apply_release(self, release: releases.Release) -> None:
        """Applies a release that has come into force."""
        self.call(lambda: self._apply_release(release))

    def rescan(self) -> None:
        """Searches the table for open requests that were not submitted to this owner."""
        self.call(lambda: self._list_open_requests(self._adopt_orphans))

    def count_unrecorded(self) -> int:
        """Returns the number of open requests that have no record in the table."""
        return sum(not open_request.is_recorded for open_request in list(self.open.values()))

    def get_load(self) -> tuple[int, int]:
        """Returns the number of open requests and of slots."""
        return len(self.open), sum(worker.slots for worker in list(self.live.values()))

    # Called in the owner's thread.

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Runs a function in the owner's thread after a delay."""
        due_s = self.deps.clock.monotonic_s() + delay_s
        heapq.heappush(self._timers, (due_s, next(self._timer_numbers), function))

    def apply(self, event: events.Event) -> None:
        """Passes an event to the scheduling core and executes the commands that it returns."""
        if not self.is_accepting:
            return
        self._track_workers(event)
        decided = self.deps.core.decide(self._state, event, self.deps.clock.monotonic_s())
        if isinstance(event, events.WorkerReported):
            self.workers.accept_orders(event.worker.worker_id)
        for command in decided:
            self._executor.execute(command)

    def close_request(self, request_id: str) -> None:
        """Closes a request whose end is final and notifies the waiting entry VMs."""
        open_request = self.open.pop(request_id, None)
        if open_request is None:
            return
        self.recent_ends[request_id] = open_request.end
        if len(self.recent_ends) > MAX_RECENT_ENDS:
            self.recent_ends.popitem(last=False)
        self._record_time(open_request, histograms.Kind.COMPLETION)
        self._executor.notify_waiters(open_request)
        for command in open_request.deferred:
            self.workers.release(command)

    def _track_workers(self, event: events.Event) -> None:
        """Updates the views of workers and tasks that the daemon itself uses."""
        match event:
            case events.WorkerReported():
                self.live[event.worker.worker_id] = event.worker
                for task in event.tasks:
                    attempt_id, _ = commands.split_task_id(task.task_id)
                    self.attempts[attempt_id] = task.request_id
            case events.TaskStarted():
                attempt_id, _ = commands.split_task_id(event.task_id)
                open_request = self.open.get(self.attempts.get(attempt_id, ""))
                if open_request is not None and not open_request.is_started:
                    open_request.is_started = True
                    self._record_time(open_request, histograms.Kind.QUEUEING)
            case events.TaskReleased() | events.TaskRefused() | events.TaskStopped():
                attempt_id, _ = commands.split_task_id(event.task_id)
                open_request = self.open.get(self.attempts.get(attempt_id, ""))
                if open_request is not None:
                    open_request.task_placements.pop(event.task_id, None)
                    open_request.is_started = open_request.is_started and bool(
                        open_request.task_placements
                    )
                if isinstance(event, events.TaskReleased):
                    self.attempts.pop(attempt_id, None)
            case events.WorkerLost():
                self.live.pop(event.worker_id, None)
            case events.WorkerLeaving():
                self.leaving.add(event.worker_id)

    def _record_time(self, open_request: partitions.OpenRequest, kind: histograms.Kind) -> None:
        record = open_request.versioned.record
        duration_s = self.deps.clock.now().timestamp() - record.submitted_at
        self.deps.record_time(record.client_account, record.job_class, kind, duration_s)

    def _run(self) -> None:
        try:
            self._take_over()
            while not self._stopped.is_set():
                self._run_once()
        except Exception:  # An exception in one partition must not end the process.
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

    def _run_once(self) -> None:
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
        self._apply_release(self._initial_release)
        self._set_workers(self._initial_workers, set())
        self._start_recovery()

    def _handle_worker_event(self, event: events.Event) -> None:
        if self._is_recovered:
            self.apply(event)
        else:
            # If a task ended between the report of its worker and the recovery of its request,
            # it would be adopted as running, and its end would never be reported again.
            self._deferred_events.append(event)

    def _tick(self) -> None:
        self.apply(events.Tick())
        self.call_later(TICK_S, self._tick)

    def _set_workers(self, workers: dict[str, resources.Worker], leaving: set[str]) -> None:
        for worker in workers.values():
            self.workers.add(worker)
        for worker_id in self._listed_workers - set(workers):
            if worker_id in self.live:
                # The VM list lags behind, so a worker that still reports is kept, but gets no new
                # work.
                self.workers.mark_leaving(worker_id)
            else:
                self.workers.remove(worker_id)
                self._listed_workers.discard(worker_id)
        self._listed_workers |= set(workers)
        self._apply_listing(tuple(sorted(set(workers) - leaving)))
        for worker_id in leaving & set(workers):
            self.workers.mark_leaving(worker_id)

    def _apply_listing(self, worker_ids: tuple[str, ...]) -> None:
        if worker_ids != self._applied_listing:
            self._applied_listing = worker_ids
            self.apply(events.WorkersListed(worker_ids))

    def _apply_release(self, release: releases.Release) -> None:
        data_centre = self.partition.rpartition("/")[0]
        names = self._list_partitions(data_centre) or [self.partition]
        guarantees = tuple(
            guarantee
            for guarantee in release.guarantees.values()
            if guarantee.data_centre == data_centre
            and execution.find_guarantee_partition(guarantee, names) == self.partition
        )
        self.apply(
            events.ReleaseApplied(
                release.number, tuple(release.client_accounts.values()), guarantees
            )
        )

    def _handle_submission(self, submission: partitions.Submission) -> None:
        if not self.is_accepting:
            submission.reply("not_owner")
            return
        versioned = submission.versioned
        request_id = versioned.record.request_id
        open_request = self.open.get(request_id)
        if open_request is not None:
            if submission.vm_id is not None:
                open_request.waiters.add(submission.vm_id)
            submission.reply("queued")
        elif request_id in self.recent_ends or versioned.record.end is not None:
            submission.reply("ended")
        elif not versioned.version:
            self._add_request(versioned, submission.vm_id)
            submission.reply("queued")
        elif not self._is_recovered:
            # Whether an earlier owner has started the request is known only after the recovery.
            self._deferred_submissions.append(submission)
        elif submission.is_repeated:
            self._read_record(request_id, lambda found: self._handle_reread(submission, found))
        else:
            self._add_request(versioned, submission.vm_id)
            submission.reply("queued")

    def _handle_reread(self, submission: partitions.Submission, found: result.Result) -> None:
        match found:
            case result.Success(records.VersionedRecord() as versioned):
                submission = dataclasses.replace(submission, versioned=versioned, is_repeated=False)
                self._handle_submission(submission)
            case _:
                # The sender repeats the submission.
                submission.reply("not_owner")

    def _add_request(self, versioned: records.VersionedRecord, vm_id: str | None) -> None:
        record = versioned.record
        self.open[record.request_id] = partitions.OpenRequest(versioned, {vm_id} - {None})
        if versioned.version and (record.attempt or record.cancel_requested):
            self._recover(versioned)
        else:
            self.apply(events.RequestSubmitted(self._make_request(record)))

    def _make_request(self, record: records.Record) -> requests.Request:
        clock = self.deps.clock
        return records.make_request(record, clock.monotonic_s(), clock.now().timestamp())

    def _recover(self, versioned: records.VersionedRecord) -> None:
        record = versioned.record
        self.open.setdefault(
            record.request_id, partitions.OpenRequest(versioned)
        ).versioned = versioned
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
            self._list_open_requests(self._adopt_orphans)

    def _list_open_requests(self, callback: Callable[[result.Result], None]) -> None:
        def work() -> None:
            found = records.list_open(self.deps.table, self.partition)
            self.call(lambda: callback(found))

        self._executor.run(self.deps.table_pool, work)

    def _read_record(self, request_id: str, callback: Callable[[result.Result], None]) -> None:
        def work() -> None:
            found = records.read(self.deps.table, request_id)
            self.call(lambda: callback(found))

        self._executor.run(self.deps.table_pool, work)

    def _start_recovery(self) -> None:
        self._list_open_requests(self._recover_listed)

    def _recover_listed(self, found: result.Result) -> None:
        match found:
            case result.Success(request_ids):
                self._unrecovered = set(request_ids)
                for request_id in request_ids:
                    self._recover_one(request_id)
                self._finish_recovery()
            case result.Failure():
                self.call_later(0.2, self._start_recovery)

    def _recover_one(self, request_id: str) -> None:
        self._read_record(request_id, lambda found: self._handle_recovery_read(request_id, found))

    def _handle_recovery_read(self, request_id: str, found: result.Result) -> None:
        match found:
            case result.Success(records.VersionedRecord() as versioned) if (
                versioned.record.end is None
            ):
                self._recover(versioned)
            case result.Failure(exceptions.ProtocolError() as error):
                # Another read would fail as well, and the other requests must not wait for it.
                _log.error("record_malformed", request=request_id, reason=error)
            case result.Failure():
                self.call_later(0.2, lambda: self._recover_one(request_id))
                return
        self._unrecovered.discard(request_id)
        self._finish_recovery()

    def _finish_recovery(self) -> None:
        if self._unrecovered or self._is_recovered:
            return
        self._is_recovered = True
        _log.info("recovered", partition=self.partition, open=len(self.open))
        deferred_events, self._deferred_events = self._deferred_events, []
        for event in deferred_events:
            self.apply(event)
        self._tick()
        deferred_submissions, self._deferred_submissions = self._deferred_submissions, []
        for submission in deferred_submissions:
            self._handle_submission(dataclasses.replace(submission, is_repeated=True))
        self.call_later(RESCAN_INTERVAL_S, self._rescan_regularly)

    def _rescan_regularly(self) -> None:
        self._list_open_requests(self._adopt_orphans)
        self.call_later(RESCAN_INTERVAL_S * random.uniform(0.8, 1.2), self._rescan_regularly)

    def _adopt_orphans(self, found: result.Result) -> None:
        for request_id in found.value_or([]):
            if request_id not in self.open and request_id not in self.recent_ends:
                self._read_record(request_id, self._adopt_orphan)

    def _adopt_orphan(self, found: result.Result) -> None:
        match found:
            case result.Success(records.VersionedRecord() as versioned) if (
                versioned.record.end is None
            ):
                self._handle_submission(
                    partitions.Submission(versioned, None, lambda state: None, False)
                )

    def _begin_graceful_stop(self) -> None:
        unrecorded = [
            open_request for open_request in self.open.values() if not open_request.is_recorded
        ]
        if unrecorded:
            # These requests have no record, so no other owner could finish them.
            self.call_later(0.1, self._begin_graceful_stop)
            return
        self._is_graceful = True
        if self._executor.is_busy():
            self.call_later(0.02, self._begin_graceful_stop)
            return
        self._stopped.set()
        _log.info("handover", partition=self.partition, epoch=self.epoch)
        self.deps.on_stopped(self.partition, self.epoch)
