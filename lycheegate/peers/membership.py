"""Membership: which entry VMs exist and which of them are live.

``decide`` takes the state, an event and the time, and returns the new state and the actions, which
the daemon executes. Times are on the monotonic clock of this process.
"""

import dataclasses
from collections.abc import Mapping

from lycheegate.peers import messages

__all__ = [
    "Action",
    "Event",
    "HeartbeatReceived",
    "Member",
    "MembershipState",
    "ReadRows",
    "ReadVms",
    "RemoveRow",
    "RowsRead",
    "Tick",
    "VmsRead",
    "WriteRow",
    "create_state",
    "decide",
    "list_live",
    "list_peers",
]

ROW_INTERVAL_S = 2.0
"""Interval at which the own row is rewritten, and the rows and the VM list are read."""

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_LOSS_S = 1.75
"""Time without heartbeats after which a peer is not live: three intervals and half an interval for
jitter."""

ROW_EXPIRY_S = 60.0
"""Time without a change after which the row of a member that is not in the VM list is removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry VM with a row in table ``member``.

    Attributes:
        vm_id: Its name.
        address: Its peer address, ``host:port``.
        data_centre: Its data centre.
        draining: Whether it is about to exit.
        version: Version of the row.
        changed_at_s: Time at which this process first read that version.
    """

    vm_id: str
    address: str
    data_centre: str
    draining: bool
    version: int
    changed_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerContact:
    heard_at_s: float
    data_centre: str
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipState:
    """View of one entry VM on the membership.

    Attributes:
        vm_id: This entry VM.
        data_centre: Its data centre.
        members: Members by name, as of the latest read of table ``member``.
        contacts: Peers by name, as of the latest heartbeat of each.
        listed: Names of the entry VMs in the VM list, or None before the first read.
        draining: Whether this process is about to exit.
        next_table_access_s: Time at which the own row is written next, and the rows and the VM
            list are read.
    """

    vm_id: str
    data_centre: str
    members: Mapping[str, Member] = dataclasses.field(default_factory=dict)
    contacts: Mapping[str, _PeerContact] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] | None = None
    draining: bool = False
    next_table_access_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """Table ``member`` was read; ``rows`` maps names to the value and the version of the row."""

    rows: Mapping[str, tuple[Mapping[str, object], int]]


@dataclasses.dataclass(frozen=True, slots=True)
class VmsRead:
    """The VM list was read; ``listed`` has the names of the entry VMs in it."""

    listed: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat has arrived."""

    heartbeat: messages.Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row of this entry VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Read table ``member``; answered by ``RowsRead`` unless the store is unavailable."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadVms:
    """Read the VM list; answered by ``VmsRead`` unless it is unavailable."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveRow:
    """Delete the row of a VM that no longer exists, provided that it has version ``if_version``."""

    vm_id: str
    if_version: int


Event = Tick | RowsRead | VmsRead | HeartbeatReceived
Action = WriteRow | ReadRows | ReadVms | RemoveRow


def create_state(vm_id: str, data_centre: str) -> MembershipState:
    """Returns the initial view of an entry VM."""
    return MembershipState(vm_id, data_centre)


def decide(
    state: MembershipState, event: Event, now_s: float
) -> tuple[MembershipState, list[Action]]:
    """Applies an event.

    Args:
        state: View so far.
        event: The event.
        now_s: Time of the event, in seconds.

    Returns:
        The new view, and the actions to execute in order.
    """
    match event:
        case Tick():
            if now_s < state.next_table_access_s:
                return state, []
            state = dataclasses.replace(state, next_table_access_s=now_s + ROW_INTERVAL_S)
            write = [] if state.draining else [WriteRow()]
            return state, [*write, ReadRows(), ReadVms()]
        case RowsRead():
            return _apply_rows(state, event, now_s)
        case VmsRead():
            return dataclasses.replace(state, listed=event.listed), []
        case HeartbeatReceived():
            heartbeat = event.heartbeat
            if heartbeat.vm_id == state.vm_id:
                return state, []
            contact = _PeerContact(now_s, heartbeat.data_centre, heartbeat.draining)
            contacts = {**state.contacts, heartbeat.vm_id: contact}
            return dataclasses.replace(state, contacts=contacts), []


def _apply_rows(
    state: MembershipState, event: RowsRead, now_s: float
) -> tuple[MembershipState, list[Action]]:
    members: dict[str, Member] = {}
    actions: list[Action] = []
    for vm_id, (value, version) in event.rows.items():
        previous = state.members.get(vm_id)
        changed_at_s = previous.changed_at_s if previous and previous.version == version else now_s
        members[vm_id] = Member(
            vm_id,
            str(value.get("address", "")),
            str(value.get("data_centre", "")),
            bool(value.get("draining", False)),
            version,
            changed_at_s,
        )
        is_listed = state.listed is None or vm_id in state.listed
        if vm_id != state.vm_id and not is_listed and now_s - changed_at_s >= ROW_EXPIRY_S:
            actions.append(RemoveRow(vm_id, version))
    contacts = {
        vm_id: contact
        for vm_id, contact in state.contacts.items()
        if vm_id in members or now_s - contact.heard_at_s < ROW_EXPIRY_S
    }
    return dataclasses.replace(state, members=members, contacts=contacts), actions


def list_live(state: MembershipState, now_s: float) -> dict[str, str]:
    """Returns the data centre of each live entry VM that is not draining, by name.

    This entry VM is always live in its own view.
    """
    live = {} if state.draining else {state.vm_id: state.data_centre}
    for vm_id, contact in state.contacts.items():
        if now_s - contact.heard_at_s < HEARTBEAT_LOSS_S and not contact.draining:
            live[vm_id] = contact.data_centre
    return live


def list_peers(state: MembershipState) -> dict[str, str]:
    """Returns the peer addresses of all other members, by name."""
    return {
        vm_id: member.address
        for vm_id, member in state.members.items()
        if vm_id != state.vm_id and member.address
    }
