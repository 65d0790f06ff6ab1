"""The entry daemon: creates its components from the settings, starts and stops them."""

import secrets
import signal
import threading
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from lycheegate.entry import (
    answers,
    callers,
    control,
    drain,
    following,
    operating,
    operators,
    owner,
    partitions,
    records,
    routing,
    rows,
    server,
    wiring,
)
from lycheegate.metrics import counters, histograms, logs
from lycheegate.model import releases, resources
from lycheegate.peers import links, messages
from lycheegate.settings import models
from lycheegate.utils import clock as clock_module
from lycheegate.utils import exceptions, pools

__all__ = ["Daemon", "run"]

_log = logs.Log("lycheegate.entry.daemon")

CONTROL_THREADS = 4
CONTROL_QUEUE = 64
ANSWER_MEMORY_BYTES = 16 * 1024 * 1024
"""Limit on the answers in memory; half of the memory that an entry VM may use for its state."""

NON_WAITING_THREADS = 4
"""Caller threads that waiting calls may not use, so that other calls are still served."""


class Daemon:
    """The daemon of one entry VM.

    Attributes:
        calls: Calls to peers that wait for their reply.
        owners: Owners in this process, by partition.
        workers: Workers in the VM list, by partition and worker identifier.
        leaving: Workers that are leaving, as of the VM list.
        is_draining: Whether this entry VM is about to exit.
        stopped: Set once the daemon has stopped.
        callers_address: Address on which callers are served, once started.
    """

    def __init__(self, settings: models.EntrySettings, clock: clock_module.Clock | None = None):
        self.settings = settings
        self.clock = clock or clock_module.SystemClock()
        self.counters = counters.make_counters(settings.statsd)
        self.histograms = histograms.Histograms()
        self.platform = wiring.create_platform(settings)
        self.calls = links.PendingCalls()
        self.owners: dict[str, owner.PartitionOwner] = {}
        self.workers: dict[str, dict[str, resources.Worker]] = {}
        self.leaving: set[str] = set()
        self.is_draining = False
        self.stopped = threading.Event()
        self._interrupt = threading.Event()
        limits = settings.limits
        self._budget = answers.AnswerBudget(ANSWER_MEMORY_BYTES)
        self._table_pool = pools.BoundedPool("table", limits.table_threads, limits.table_queue)
        self._control_pool = pools.BoundedPool("control", CONTROL_THREADS, CONTROL_QUEUE)
        waiting = max(1, min(limits.max_waiting, limits.caller_threads - NON_WAITING_THREADS))
        self._waiting = threading.BoundedSemaphore(waiting)
        self._in_flight = 0
        self._in_flight_lock = threading.Lock()
        self._drain_thread: threading.Thread | None = None
        self._listen_peers()
        self.request_follower = following.RequestFollower(
            self.control.find_owner, self._submit, self._read_record, self.clock
        )
        self._callers = callers.CallersApplication(self._make_caller_services())
        self.operator_services = operating.DaemonOperatorServices(self)
        self._operators = operators.OperatorApplication(self.operator_services, self.clock)
        host, port = wiring.split_address(settings.callers_address)
        self._server = server.CallersServer(host, port, self._serve, limits, settings.tls)
        self.callers_address = ""

    def start(self) -> None:
        """Connects to the peers and starts serving callers."""
        self.control.start()
        self.mesh.start()
        self.request_follower.start()
        host, _ = wiring.split_address(self.settings.callers_address)
        self.callers_address = f"{host}:{self._server.start()}"
        _log.info("started", vm_id=self.settings.vm_id, address=self.callers_address)

    def start_drain(self) -> None:
        """Starts a graceful shutdown in the background; ``stopped`` is set at its end."""
        with self._in_flight_lock:
            if self._drain_thread is not None:
                return
            self._drain_thread = threading.Thread(target=self._drain, name="drain", daemon=True)
        self._drain_thread.start()

    def close(self) -> None:
        """Stops without a drain; calls in progress are aborted."""
        self.is_draining = True
        self._server.stop()
        self.request_follower.stop()
        for partition_owner in list(self.owners.values()):
            partition_owner.stop(graceful=False)
        self.control.stop()
        self.mesh.close()
        self._control_pool.shutdown(wait=False)
        self._table_pool.shutdown(wait=False)
        self.platform.close()
        self.stopped.set()

    def get_load(self, partition: str) -> tuple[int, int]:
        """Returns the open requests and slots of a partition; zeros if it is not owned here."""
        partition_owner = self.owners.get(partition)
        return partition_owner.get_load() if partition_owner is not None else (0, 0)

    # Peers.

    def _listen_peers(self) -> None:
        settings = self.settings
        host, port = wiring.split_address(settings.peers_address)
        boot_id = secrets.token_hex(8)
        keys = wiring.make_peer_keys(settings)
        identity = links.Identity(settings.vm_id, boot_id, settings.peers_address, keys)
        self.mesh = links.Mesh(identity, self._handle_message)
        identity = self.mesh.bind(host, port)
        seeds = {peer.vm_id: peer.address for peer in settings.peers}
        self.control = control.Control(
            identity,
            settings.data_centre,
            seeds,
            settings.partitions,
            self._make_hooks(),
            self.mesh,
            self._control_pool,
            self.clock,
        )

    def _make_hooks(self) -> rows.Hooks:
        platform = self.platform
        return rows.Hooks(
            platform.table,
            platform.list_vms,
            self._apply_release,
            self._start_owner,
            self._stop_owner,
            self.get_load,
            self._apply_worker_groups,
            self._handle_member_lost,
        )

    def _handle_message(self, vm_id: str, message: messages.Message) -> None:
        """Handles a message from a peer; called in the thread of its link."""
        match message:
            case messages.Heartbeat() | messages.ReleasePush():
                self.control.handle_message(vm_id, message)
            case messages.Submit():
                versioned = records.VersionedRecord(records.decode(message.record), message.version)
                self._submit_locally(vm_id, versioned, message.wait, message.repeated)
            case messages.SubmitReply():
                self.request_follower.handle_reply(vm_id, message)
            case messages.Ended():
                end = msgspec.convert(message.end, records.EndRecord)
                settled = following.SettledRequest(end, message.answer)
                self.request_follower.settle(message.request_id, settled)
            case messages.Cancel():
                self._cancel(message.partition, message.request_id, forward=False)
            case messages.ReleasePrepare():

                def reply(accepted: bool) -> None:
                    ack = messages.ReleaseAck(message.call_id, message.number, accepted)
                    self.mesh.send(vm_id, ack)

                self.control.prepare(message.number, message.withdrawn, reply, message.proposal)
            case messages.ReleaseAck():
                self.calls.resolve(message.call_id, message)
            case messages.Status():
                self._handle_status(vm_id, message)
            case messages.StatusReply():
                self.calls.resolve(message.call_id, message)

    def _handle_status(self, vm_id: str, message: messages.Status) -> None:
        def work() -> None:
            value = self.operator_services.handle_status(message.subject)
            self.mesh.send(vm_id, messages.StatusReply(message.call_id, value))

        try:
            self._control_pool.submit(work)
        except exceptions.QueueFullError:
            _log.warning("status_refused", vm_id=vm_id)

    # Partitions.

    def _apply_release(self, release: releases.Release) -> None:
        for partition_owner in list(self.owners.values()):
            partition_owner.apply_release(release)

    def _start_owner(self, partition: str, epoch: int) -> None:
        previous = self.owners.get(partition)
        if previous is not None:
            previous.stop(graceful=False)
        started = owner.PartitionOwner(
            partition,
            epoch,
            self._make_dependencies(),
            self.control.release,
            self.workers.get(partition, {}),
            lambda data_centre: sorted(
                name for name in self.workers if name.rpartition("/")[0] == data_centre
            ),
        )
        self.owners[partition] = started
        started.start()

    def _stop_owner(self, partition: str, epoch: int, graceful: bool) -> None:
        partition_owner = self.owners.get(partition)
        if partition_owner is None or partition_owner.epoch != epoch:
            return
        partition_owner.stop(graceful)
        if not graceful:
            self.owners.pop(partition, None)

    def _handle_owner_stopped(self, partition: str, epoch: int) -> None:
        partition_owner = self.owners.get(partition)
        if partition_owner is not None and partition_owner.epoch == epoch:
            self.owners.pop(partition, None)
        self.control.handle_owner_stopped(partition)

    def _apply_worker_groups(
        self, groups: dict[str, dict[str, resources.Worker]], leaving: set[str]
    ) -> None:
        self.workers, self.leaving = groups, leaving
        for partition, partition_owner in list(self.owners.items()):
            partition_owner.set_workers(groups.get(partition, {}), leaving)

    def _handle_member_lost(self, vm_id: str) -> None:
        del vm_id
        for partition_owner in list(self.owners.values()):
            partition_owner.rescan()

    def _make_dependencies(self) -> partitions.Dependencies:
        return partitions.Dependencies(
            wiring.get_core(),
            models.make_policy(self.settings.policy),
            self.platform.table,
            self.platform.objects,
            self.platform.worker_client,
            wiring.make_worker_settings(self.settings),
            self._table_pool,
            self._budget,
            self.clock,
            self._notify_ended,
            self.control.handle_fenced,
            self._handle_owner_stopped,
            self.counters.increment,
            self.histograms.record,
        )

    def _notify_ended(
        self,
        vm_ids: Iterable[str],
        request_id: str,
        end: records.EndRecord,
        body: bytes | None,
    ) -> None:
        if end.answer is not None and end.answer.inline is not None:
            body = None
        for vm_id in vm_ids:
            if vm_id == self.settings.vm_id:
                self.request_follower.settle(request_id, following.SettledRequest(end, body))
            else:
                ended = messages.Ended(request_id, msgspec.to_builtins(end), body)
                self.mesh.send(vm_id, ended)

    # Requests of callers.

    def _submit(
        self, vm_id: str, versioned: records.VersionedRecord, waits: bool, is_repeated: bool
    ) -> None:
        """Submits a request to the owner of its partition, which may be in this process."""
        if vm_id == self.settings.vm_id:
            self._submit_locally(vm_id, versioned, waits, is_repeated)
            return
        record = versioned.record
        submit = messages.Submit(
            record.request_id,
            record.partition,
            records.encode(record),
            versioned.version,
            waits,
            is_repeated,
        )
        self.mesh.send(vm_id, submit)

    def _submit_locally(
        self, vm_id: str, versioned: records.VersionedRecord, waits: bool, is_repeated: bool
    ) -> None:
        record = versioned.record
        partition_owner = self.owners.get(record.partition)
        epoch = partition_owner.epoch if partition_owner is not None else 0

        def reply(state: str) -> None:
            answer = messages.SubmitReply(record.request_id, record.request_id, state, epoch)
            if vm_id == self.settings.vm_id:
                self.request_follower.handle_reply(vm_id, answer)
            else:
                self.mesh.send(vm_id, answer)

        if partition_owner is None:
            reply("not_owner")
            return
        waiter = vm_id if waits else None
        partition_owner.submit(partitions.Submission(versioned, waiter, reply, is_repeated))

    def _cancel(self, partition: str, request_id: str, forward: bool = True) -> None:
        partition_owner = self.owners.get(partition)
        if partition_owner is not None:
            partition_owner.cancel(request_id)
            return
        owned_by = self.control.find_owner(partition) if forward else None
        if owned_by is not None:
            self.mesh.send(owned_by[0], messages.Cancel(partition, request_id))

    def _read_record(
        self, request_id: str, callback: Callable[[records.VersionedRecord | None], None]
    ) -> None:
        def work() -> None:
            callback(records.read(self.platform.table, request_id).value_or(None))

        try:
            self._table_pool.submit(work)
        except exceptions.QueueFullError:
            # The request is submitted to its owner again later, which repeats the read.
            _log.warning("table_pool_full")

    def _choose_partition(
        self, client_account: str, shape: resources.Shape, request_id: str
    ) -> str | None:
        return routing.choose_partition(
            self.control.list_loads(),
            self.control.release,
            client_account,
            shape,
            self.settings.data_centre,
            request_id,
        )

    def _make_caller_services(self) -> callers.Services:
        return callers.Services(
            self.settings,
            self.platform.table,
            self.platform.objects,
            lambda: self.control.release,
            lambda header, today: self.control.current_release.authenticate(header, today),
            self.control.get_confirmation_status,
            lambda: self.is_draining,
            self._choose_partition,
            self.request_follower,
            self._cancel,
            lambda: self._waiting.acquire(blocking=False),
            self._waiting.release,
            self._budget,
            self.clock,
            lambda name, seconds_s: self.counters.record_time("call", name, duration_s=seconds_s),
            self.counters.increment,
        )

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        with self._in_flight_lock:
            self._in_flight += 1
        try:
            if environ.get("PATH_INFO", "").startswith(operators.PREFIX):
                return self._operators(environ, start_response)
            return self._callers(environ, start_response)
        finally:
            with self._in_flight_lock:
                self._in_flight -= 1

    # Drain.

    def _drain(self) -> None:
        steps = drain.DrainSteps(
            self._announce_drain,
            lambda: len(self.control.list_owned()),
            lambda: sum(
                partition_owner.count_unrecorded() for partition_owner in list(self.owners.values())
            ),
            lambda: self._in_flight + self.request_follower.count(),
            self._finish_drain,
        )
        drain.drain(steps, self.clock, self.settings.limits.drain_timeout_s, self._interrupt)

    def _announce_drain(self) -> None:
        self.is_draining = True
        self.control.start_drain()

    def _finish_drain(self) -> None:
        self.control.remove_own_row()
        self.close()


def run(settings: models.EntrySettings, announce: Callable[[Daemon], None] | None = None) -> int:
    """Runs an entry VM until it is drained.

    Args:
        settings: Settings of the entry VM.
        announce: Called once it serves callers.

    Returns:
        The exit status of the process.
    """
    logs.set_up(settings.log.level)
    daemon = Daemon(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.start_drain())
    daemon.start()
    if announce is not None:
        announce(daemon)
    daemon.stopped.wait()
    return 0
