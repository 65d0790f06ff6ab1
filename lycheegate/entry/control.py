"""Control thread: membership, partition ownership and the confirmation of releases.

The thread calls the pure decision functions of ``lycheegate.peers`` and executes their actions on a
bounded pool, which posts the results to the inbox of the thread. A slow store therefore does not
delay heartbeats.
"""

import contextlib
import dataclasses
import queue
import threading
import traceback
from collections.abc import Callable, Mapping

from returns import result

from lycheegate.clients import table as table_module
from lycheegate.entry import routing, rows
from lycheegate.metrics import logs
from lycheegate.model import releases
from lycheegate.peers import confirmation, links, membership, messages, ownership
from lycheegate.release import current, encoding, store
from lycheegate.utils import clock as clock_module
from lycheegate.utils import exceptions, pools

__all__ = ["Control"]

_log = logs.Log("lycheegate.entry.control")

TICK_S = 0.1
HEAD_READ_INTERVAL_S = 1.0


class Control:
    """Control thread of an entry VM.

    Other threads may read the public attributes at any time: states are replaced rather than
    changed, and mappings never gain or lose a key in place.

    Attributes:
        identity: Identity of this entry VM towards its peers.
        data_centre: Data centre of this entry VM.
        current_release: The release in force.
        membership: Members and the contacts with them.
        confirmation: State of the confirmation of the release in force.
        ownership: State of each partition, by its name.
        heartbeats: Latest heartbeat of each peer.
        draining: Whether this entry VM is about to exit.
    """

    def __init__(
        self,
        identity: links.Identity,
        data_centre: str,
        seeds: Mapping[str, str],
        partitions: Mapping[str, int],
        hooks: rows.Hooks,
        mesh: links.Mesh,
        pool: pools.BoundedPool,
        clock: clock_module.Clock,
    ):
        self.identity = identity
        self.data_centre = data_centre
        self.current_release = current.CurrentRelease()
        self.membership = membership.create_state(identity.vm_id, data_centre)
        self.confirmation = confirmation.ConfirmationState(identity.vm_id, clock.monotonic_s())
        self.ownership: dict[str, ownership.OwnershipState] = {}
        self.heartbeats: dict[str, messages.Heartbeat] = {}
        self.draining = False
        self._seeds = dict(seeds)
        self._partitions = partitions
        self._hooks = hooks
        self._mesh = mesh
        self._pool = pool
        self._clock = clock
        self._inbox: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._stopped = threading.Event()
        # ``sent_s`` of the latest heartbeat of each peer, sent back in the next heartbeat to it.
        self._echo_times_s: dict[str, float] = {}
        self._row_version: int | None = None
        self._is_reading_partitions = False
        # Versions of the malformed rows in the latest read, so that each is logged once.
        self._malformed_leases: dict[str, int] = {}
        self._is_reading_head = False
        self._next_heartbeat_s = 0.0
        self._next_head_read_s = 0.0
        self._live: frozenset[str] = frozenset()
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)

    # Called from any thread.

    @property
    def release(self) -> releases.Release:
        """The release in force."""
        return self.current_release.get()

    def start(self) -> None:
        """Starts the control thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the control thread."""
        self._stopped.set()
        self.call(lambda: None)
        self._thread.join(5.0)

    def call(self, function: Callable[[], None]) -> None:
        """Runs a function in the control thread."""
        self._inbox.put(function)

    def get_confirmation_status(self) -> confirmation.ConfirmationStatus:
        """Returns the confirmation status of the release in force."""
        return confirmation.compute_status(self.confirmation, self._clock.monotonic_s())

    def list_live(self) -> dict[str, str]:
        """Returns the live entry VMs and their data centres."""
        return membership.list_live(self.membership, self._clock.monotonic_s())

    def find_owner(self, partition: str) -> tuple[str, int] | None:
        """Returns the owner and epoch of a partition, or None if no owner is known."""
        found: tuple[int, str] | None = None
        state = self.ownership.get(partition)
        if state is not None and state.owned_epoch is not None:
            found = (state.owned_epoch, self.identity.vm_id)
        elif state is not None and state.row is not None:
            row = state.row
            if not row.released and row.owner in self.membership.contacts:
                found = (row.epoch, row.owner)
        for vm_id, heartbeat in self.heartbeats.items():
            owned = heartbeat.owned.get(partition)
            if owned is not None and (found is None or owned.epoch > found[0]):
                found = (owned.epoch, vm_id)
        return (found[1], found[0]) if found else None

    def list_loads(self) -> dict[str, routing.PartitionLoad]:
        """Returns the load of each partition that has a live owner."""
        loads: dict[str, routing.PartitionLoad] = {}
        live = membership.list_live(self.membership, self._clock.monotonic_s())
        for partition in list(self.ownership):
            owner = self.find_owner(partition)
            if owner is None:
                continue
            if owner[0] == self.identity.vm_id:
                loads[partition] = routing.PartitionLoad(*self._hooks.get_load(partition))
            elif owner[0] in self.heartbeats and owner[0] in live:
                owned = self.heartbeats[owner[0]].owned.get(partition)
                if owned is not None:
                    loads[partition] = routing.PartitionLoad(owned.open_requests, owned.slots)
        return loads

    def handle_message(self, vm_id: str, message: messages.Message) -> None:
        """Handles a heartbeat or a pushed release from a peer."""
        received_s = self._clock.monotonic_s()
        self.call(lambda: self._apply_message(vm_id, message, received_s))

    def handle_fenced(self, partition: str, epoch: int) -> None:
        """Handles an order that a worker rejected because it has seen the newer ``epoch``."""
        self.call(lambda: self._decide_ownership(partition, ownership.Fenced(epoch)))

    def handle_owner_stopped(self, partition: str) -> None:
        """Handles the graceful stop of the owner of a partition."""
        self.call(lambda: self._decide_ownership(partition, ownership.OwnerStopped()))

    def adopt(self, release: releases.Release) -> None:
        """Puts an accepted release in force if it is newer."""
        self.call(lambda: self._adopt(release))

    def push_release(self, release: releases.Release) -> None:
        """Sends an accepted release to all peers."""
        push = messages.ReleasePush(release.number, encoding.encode_release(release))
        for vm_id in self._mesh.list_connected():
            self._mesh.send(vm_id, push)

    def prepare(
        self, number: int, withdrawn: bool, reply: Callable[[bool], None], proposal: str = ""
    ) -> None:
        """Prepares for a release that is about to be accepted, or handles its withdrawal.

        ``reply`` is called with whether this entry VM acknowledges it.
        """
        self.call(lambda: self._prepare(number, withdrawn, reply, proposal))

    def start_drain(self) -> None:
        """Announces the drain of this entry VM and starts the handover of its partitions."""

        def begin() -> None:
            self.draining = True
            self.membership = dataclasses.replace(self.membership, draining=True)
            self._next_heartbeat_s = 0.0

        self.call(begin)

    def list_owned(self) -> list[str]:
        """Returns the partitions that this entry VM owns."""
        return [name for name, state in self.ownership.items() if state.owned_epoch is not None]

    def remove_own_row(self) -> None:
        """Deletes the member row; called at the end of a drain."""
        rows.remove_member(self._hooks.table, self.identity.vm_id)

    # Called in the control thread.

    def _run(self) -> None:
        next_tick_s = 0.0
        while not self._stopped.is_set():
            try:
                timeout_s = max(0.0, next_tick_s - self._clock.monotonic_s())
                with contextlib.suppress(queue.Empty):
                    self._inbox.get(timeout=timeout_s)()
                if self._clock.monotonic_s() >= next_tick_s:
                    next_tick_s = self._clock.monotonic_s() + TICK_S
                    self._tick()
            except Exception:  # An exception in one step must not stop the control thread.
                _log.error("control_failed", error=traceback.format_exc()[-500:])

    def _run_in_background(self, work: Callable[[], Callable[[], None]]) -> None:
        """Runs ``work`` on the pool, then the callback that it returns in the control thread.

        Raises:
            QueueFullError: The pool has no room for the work.
        """

        def run() -> None:
            try:
                callback = work()
            except Exception:
                _log.error("control_action_failed", error=traceback.format_exc()[-500:])
                return
            self.call(callback)

        try:
            self._pool.submit(run)
        except exceptions.QueueFullError:
            _log.warning("control_pool_full")
            raise

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        self._decide_membership(membership.Tick())
        live = membership.list_live(self.membership, now_s)
        for vm_id in self._live - set(live):
            _log.info("member_lost", vm_id=vm_id)
            self._hooks.on_member_lost(vm_id)
        self._live = frozenset(live)
        candidates = {
            vm_id: data_centre for vm_id, data_centre in live.items() if self._reaches_table(vm_id)
        }
        for partition in self.ownership:
            self._decide_ownership(partition, ownership.Tick(candidates, self.draining))
        if now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = now_s + membership.HEARTBEAT_INTERVAL_S
            self._send_heartbeats()
        if now_s >= self._next_head_read_s:
            self._next_head_read_s = now_s + HEAD_READ_INTERVAL_S
            self._start_head_read()

    def _reaches_table(self, vm_id: str) -> bool:
        if vm_id == self.identity.vm_id:
            return True
        heartbeat = self.heartbeats.get(vm_id)
        age_s = heartbeat.table_ok_age_s if heartbeat else None
        return age_s is not None and age_s < confirmation.CONFIRM_WINDOW_S

    def _send_heartbeats(self) -> None:
        now_s = self._clock.monotonic_s()
        state = self.confirmation
        ok_at_s = state.table_ok_at_s
        owned = {
            name: messages.OwnedPartition(
                self.ownership[name].owned_epoch, *self._hooks.get_load(name)
            )
            for name in self.list_owned()
            if not self.ownership[name].stopping
        }
        for vm_id in self._mesh.list_connected():
            self._mesh.send(
                vm_id,
                messages.Heartbeat(
                    self.identity.vm_id,
                    self.identity.boot_id,
                    self.data_centre,
                    state.release,
                    state.prepared,
                    None if ok_at_s is None else now_s - ok_at_s,
                    confirmation.is_settled(state),
                    owned,
                    self.draining,
                    now_s,
                    self._echo_times_s.get(vm_id),
                ),
            )

    def _apply_message(self, vm_id: str, message: messages.Message, received_s: float) -> None:
        match message:
            case messages.Heartbeat():
                known = self.heartbeats.get(vm_id)
                self.heartbeats = {**self.heartbeats, vm_id: message}
                self._echo_times_s[vm_id] = message.sent_s
                self._decide_membership(membership.HeartbeatReceived(message), received_s)
                self.confirmation = confirmation.apply_heartbeat(self.confirmation, message)
                if message.release > self.release.number:
                    self._start_head_read()
                elif message.release < self.release.number:
                    self._push_release(vm_id)
                if known is not None and known.boot_id != message.boot_id:
                    self._hooks.on_member_lost(vm_id)
            case messages.ReleasePush():
                if message.document is not None:
                    self._adopt(encoding.decode_release(message.document))
                elif message.number > self.release.number:
                    self._start_head_read()

    def _push_release(self, vm_id: str) -> None:
        document = encoding.encode_release(self.release)
        self._mesh.send(vm_id, messages.ReleasePush(self.release.number, document))

    def _adopt(self, release: releases.Release) -> None:
        if not self.current_release.adopt(release):
            return
        self.confirmation = confirmation.apply_release(self.confirmation, release.number)
        _log.info("release_in_force", number=release.number)
        self._hooks.on_release(release)

    def _prepare(
        self, number: int, withdrawn: bool, reply: Callable[[bool], None], proposal: str
    ) -> None:
        if withdrawn:
            self.confirmation = confirmation.withdraw(self.confirmation, number, proposal)
            reply(True)
            return
        now_s = self._clock.monotonic_s()
        self.confirmation, accepted = confirmation.prepare(
            self.confirmation, number, now_s, proposal
        )
        reply(accepted)

    def _start_head_read(self) -> None:
        if self._is_reading_head:
            return
        self._is_reading_head = True
        number = self.release.number

        def work() -> Callable[[], None]:
            began_s = self._clock.monotonic_s()
            head = store.read_head(self._hooks.table).map(lambda found: found.number)
            newer = None
            if head.value_or(0) > number:
                newer = store.read_release(self._hooks.table, head.unwrap()).value_or(None)
            return lambda: self._apply_head(head.value_or(None), newer, began_s)

        try:
            self._run_in_background(work)
        except exceptions.QueueFullError:
            self._is_reading_head = False

    def _apply_head(self, head: int | None, newer: releases.Release | None, began_s: float) -> None:
        self._is_reading_head = False
        if newer is not None:
            self._adopt(newer)
        if head is not None:
            self.confirmation = confirmation.apply_table_read(self.confirmation, head, began_s)

    def _decide_membership(self, event: membership.Event, at_s: float | None = None) -> None:
        now_s = self._clock.monotonic_s() if at_s is None else at_s
        self.membership, actions = membership.decide(self.membership, event, now_s)
        for action in actions:
            self._run_in_background(self._make_membership_work(action))

    def _make_membership_work(self, action: membership.Action):
        hooks = self._hooks

        def write_row() -> Callable[[], None]:
            if not self.draining:
                rows.write_member(hooks.table, self.identity, self.data_centre)
            return lambda: None

        def read_rows() -> Callable[[], None]:
            found = hooks.table.scan(rows.MEMBERS)
            return lambda: found.map(self._apply_member_rows)

        def read_vms() -> Callable[[], None]:
            found = hooks.list_vms()
            return lambda: found.map(self._apply_vm_list)

        def remove_row() -> Callable[[], None]:
            rows.remove_member(hooks.table, action.vm_id, action.if_version)
            return lambda: None

        match action:
            case membership.WriteRow():
                return write_row
            case membership.ReadRows():
                return read_rows
            case membership.ReadVms():
                return read_vms
            case membership.RemoveRow():
                return remove_row

    def _apply_member_rows(self, found: list[table_module.Row]) -> None:
        values = {row.key: (row.value, row.version) for row in found}
        self._decide_membership(membership.RowsRead(values))
        self.confirmation = confirmation.apply_known_members(self.confirmation, values)
        peers = membership.list_peers(self.membership)
        self._mesh.set_peers({**self._seeds, **peers})

    def _apply_vm_list(self, vms: list[rows.ListedVm]) -> None:
        entry_vms = frozenset(vm.vm_id for vm in vms if vm.is_entry)
        self._decide_membership(membership.VmsRead(entry_vms))
        workers = [vm.worker for vm in vms if vm.worker is not None]
        leaving = {vm.vm_id for vm in vms if vm.worker is not None and vm.is_leaving}
        groups = routing.group_workers(workers, self._partitions)
        added = {
            name: ownership.create_state(name, self.identity.vm_id, self.identity.boot_id)
            for name in groups
            if name not in self.ownership
        }
        self.ownership = {**self.ownership, **added}
        self._hooks.on_workers(groups, leaving)

    def _decide_ownership(self, partition: str, event: ownership.Event) -> None:
        state = self.ownership.get(partition)
        if state is None:
            return
        state, actions = ownership.decide(state, event, self._clock.monotonic_s())
        self.ownership[partition] = state
        for action in actions:
            self._execute_ownership_action(partition, action)

    def _execute_ownership_action(self, partition: str, action: ownership.Action) -> None:
        match action:
            case ownership.StartOwner():
                self._hooks.start_owner(partition, action.epoch)
                self._next_heartbeat_s = 0.0
            case ownership.StopOwner():
                self._hooks.stop_owner(partition, action.epoch, action.graceful)
                self._next_heartbeat_s = 0.0
            case ownership.ReadRow():
                self._start_partition_read()
            case _:
                try:
                    self._run_in_background(lambda: self._write_lease(partition, action))
                except exceptions.QueueFullError:
                    self._decide_ownership(partition, ownership.WriteRejected())

    def _start_partition_read(self) -> None:
        """Starts a read of all partition rows; there are few enough for a single scan."""
        if self._is_reading_partitions:
            return
        self._is_reading_partitions = True

        def work() -> Callable[[], None]:
            found = self._hooks.table.scan(rows.PARTITIONS)
            return lambda: self._apply_partition_rows(found)

        try:
            self._run_in_background(work)
        except exceptions.QueueFullError:
            self._is_reading_partitions = False

    def _apply_partition_rows(self, found: result.Result) -> None:
        self._is_reading_partitions = False
        found_rows = found.value_or(None)
        if found_rows is None:
            return
        leases: dict[str, ownership.LeaseRow] = {}
        malformed: dict[str, int] = {}
        for row in found_rows:
            try:
                leases[row.key] = rows.decode_lease(row)
            except exceptions.ProtocolError as error:
                malformed[row.key] = row.version
                if self._malformed_leases.get(row.key) != row.version:
                    _log.error("lease_malformed", partition=row.key, reason=error)
        self._malformed_leases = malformed
        for partition in list(self.ownership):
            # A partition whose row is malformed has an unknown owner, which may be live.
            if partition not in malformed:
                self._decide_ownership(partition, ownership.RowRead(leases.get(partition)))

    def _write_lease(self, partition: str, action: ownership.Action) -> Callable[[], None]:
        event = rows.write_lease(self._hooks.table, self.identity, partition, action)
        return lambda: self._decide_ownership(partition, event)
