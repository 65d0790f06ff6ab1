"""Runs membership, partition ownership and the confirmation of releases in one thread.

The thread applies the pure decisions of ``lycheegate.peers`` and starts their actions on a
bounded pool; results come back through its inbox. So a slow store delays no heartbeat.
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
HEAD_INTERVAL_S = 1.0


class Control:
    """Control thread of an entry VM.

    The public attributes are replaced as a whole, so other threads may read them at any time.
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
        self._echoes: dict[str, float] = {}
        self._row_version: int | None = None
        self._is_reading_rows = False
        self._is_reading_head = False
        self._next_heartbeat_s = 0.0
        self._next_head_s = 0.0
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

    def judge(self) -> confirmation.Verdict:
        """Returns whether new requests may be accepted."""
        return confirmation.judge(self.confirmation, self._clock.monotonic_s())

    def list_live(self) -> dict[str, str]:
        """Returns the live entry VMs and their data centres."""
        return membership.list_live(self.membership, self._clock.monotonic_s())

    def find_owner(self, partition: str) -> tuple[str, int] | None:
        """Returns owner and epoch of a partition as far as known."""
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

    def note_message(self, vm_id: str, message: messages.Message) -> None:
        """Takes a message of a peer that concerns this thread."""
        received_s = self._clock.monotonic_s()
        self.call(lambda: self._apply_message(vm_id, message, received_s))

    def note_fenced(self, partition: str, epoch: int) -> None:
        """Takes the epoch that a worker has seen."""
        self.call(lambda: self._own(partition, ownership.Fenced(epoch)))

    def note_owner_stopped(self, partition: str) -> None:
        """Takes the news that an owner has stopped gracefully."""
        self.call(lambda: self._own(partition, ownership.OwnerStopped()))

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
        """Acknowledges a release that is about to be accepted, or its withdrawal."""
        self.call(lambda: self._prepare(number, withdrawn, reply, proposal))

    def start_drain(self) -> None:
        """Announces that this entry VM is about to exit and hands its partitions over."""

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
            except Exception:  # A defect in one step must not end membership.
                _log.error("control_failed", error=traceback.format_exc()[-500:])

    def _background(self, work: Callable[[], Callable[[], None]]) -> None:
        """Runs ``work`` on the pool and what it returns in the control thread."""

        def run() -> None:
            try:
                then = work()
            except Exception:
                _log.error("control_action_failed", error=traceback.format_exc()[-500:])
                return
            self.call(then)

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
        candidates = {vm_id: place for vm_id, place in live.items() if self._reaches_table(vm_id)}
        for partition in self.ownership:
            self._own(partition, ownership.Tick(candidates, self.draining))
        if now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = now_s + membership.HEARTBEAT_INTERVAL_S
            self._send_heartbeats()
        if now_s >= self._next_head_s:
            self._next_head_s = now_s + HEAD_INTERVAL_S
            self._start_read_head()

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
                    self._echoes.get(vm_id),
                ),
            )

    def _apply_message(self, vm_id: str, message: messages.Message, received_s: float) -> None:
        match message:
            case messages.Heartbeat():
                known = self.heartbeats.get(vm_id)
                self.heartbeats = {**self.heartbeats, vm_id: message}
                self._echoes[vm_id] = message.sent_s
                self._decide_membership(membership.Heard(message), received_s)
                self.confirmation = confirmation.learn_from_heartbeat(self.confirmation, message)
                if message.release > self.release.number:
                    self._start_read_head()
                elif message.release < self.release.number:
                    self._push_release(vm_id)
                if known is not None and known.boot_id != message.boot_id:
                    self._hooks.on_member_lost(vm_id)
            case messages.ReleasePush():
                if message.document is not None:
                    self._adopt(encoding.decode_release(message.document))
                elif message.number > self.release.number:
                    self._start_read_head()

    def _push_release(self, vm_id: str) -> None:
        document = encoding.encode_release(self.release)
        self._mesh.send(vm_id, messages.ReleasePush(self.release.number, document))

    def _adopt(self, release: releases.Release) -> None:
        if not self.current_release.adopt(release):
            return
        self.confirmation = confirmation.learn_release(self.confirmation, release.number)
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

    def _start_read_head(self) -> None:
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
            return lambda: self._note_head(head.value_or(None), newer, began_s)

        try:
            self._background(work)
        except exceptions.QueueFullError:
            self._is_reading_head = False

    def _note_head(self, head: int | None, newer: releases.Release | None, began_s: float) -> None:
        self._is_reading_head = False
        if newer is not None:
            self._adopt(newer)
        if head is not None:
            self.confirmation = confirmation.learn_from_table(self.confirmation, head, began_s)

    def _decide_membership(self, event: membership.Event, at_s: float | None = None) -> None:
        now_s = self._clock.monotonic_s() if at_s is None else at_s
        self.membership, actions = membership.decide(self.membership, event, now_s)
        for action in actions:
            self._background(self._make_membership_work(action))

    def _make_membership_work(self, action: membership.Action):
        hooks = self._hooks

        def write_row() -> Callable[[], None]:
            if not self.draining:
                rows.write_member(hooks.table, self.identity, self.data_centre)
            return lambda: None

        def read_rows() -> Callable[[], None]:
            found = hooks.table.scan(rows.MEMBERS)
            return lambda: found.map(self._note_members)

        def read_vms() -> Callable[[], None]:
            found = hooks.list_vms()
            return lambda: found.map(self._note_vms)

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

    def _note_members(self, found: list[table_module.Row]) -> None:
        values = {row.key: (row.value, row.version) for row in found}
        self._decide_membership(membership.RowsRead(values))
        self.confirmation = confirmation.learn_known_members(self.confirmation, values)
        peers = membership.list_peers(self.membership)
        self._mesh.set_peers({**self._seeds, **peers})

    def _note_vms(self, vms: list[rows.VmEntry]) -> None:
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

    def _own(self, partition: str, event: ownership.Event) -> None:
        state = self.ownership.get(partition)
        if state is None:
            return
        state, actions = ownership.decide(state, event, self._clock.monotonic_s())
        self.ownership[partition] = state
        for action in actions:
            self._carry_out(partition, action)

    def _carry_out(self, partition: str, action: ownership.Action) -> None:
        match action:
            case ownership.StartOwner():
                self._hooks.start_owner(partition, action.epoch)
                self._next_heartbeat_s = 0.0
            case ownership.StopOwner():
                self._hooks.stop_owner(partition, action.epoch, action.graceful)
                self._next_heartbeat_s = 0.0
            case ownership.ReadRow():
                self._start_read_partitions()
            case _:
                try:
                    self._background(lambda: self._write_lease(partition, action))
                except exceptions.QueueFullError:
                    self._own(partition, ownership.WriteRejected())

    def _start_read_partitions(self) -> None:
        """Reads all partition rows at once; they are few."""
        if self._is_reading_rows:
            return
        self._is_reading_rows = True

        def work() -> Callable[[], None]:
            found = self._hooks.table.scan(rows.PARTITIONS)
            return lambda: self._note_partitions(found)

        try:
            self._background(work)
        except exceptions.QueueFullError:
            self._is_reading_rows = False

    def _note_partitions(self, found: result.Result) -> None:
        self._is_reading_rows = False
        found_rows = found.value_or(None)
        if found_rows is None:
            return
        by_key = {row.key: rows.decode_lease(row) for row in found_rows}
        for partition in list(self.ownership):
            self._own(partition, ownership.RowRead(by_key.get(partition)))

    def _write_lease(self, partition: str, action: ownership.Action) -> Callable[[], None]:
        event = rows.write_lease(self._hooks.table, self.identity, partition, action)
        return lambda: self._own(partition, event)
