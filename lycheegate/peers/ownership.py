"""Partition ownership: leases with epochs in table ``partition``.

``decide`` takes the state of one partition, an event and the time, and returns the new state and
the actions. Times are on the monotonic clock of this process. Safety does not depend on clocks: a
lease is acquired by a conditional write of the next higher epoch, and workers refuse orders with a
lower epoch than the highest they have seen.
"""

import dataclasses
from collections.abc import Mapping

from lycheegate.peers import hashing

__all__ = [
    "Action",
    "Claim",
    "Claimed",
    "Event",
    "Fenced",
    "LeaseReleased",
    "LeaseRow",
    "OwnerStopped",
    "OwnershipState",
    "ReadRow",
    "ReleaseLease",
    "Renew",
    "Renewed",
    "RowRead",
    "StartOwner",
    "StopOwner",
    "Tick",
    "WriteRejected",
    "create_state",
    "decide",
    "rank_candidates",
]

LEASE_S = 2.0
"""Time without a change of the row after which another VM may claim the partition."""

RENEW_INTERVAL_S = 0.5
READ_INTERVAL_S = 0.25
"""Interval between reads of the row of a partition that this process does not own; bounds the
delay between the expiry of a lease and its next claim."""

OWNER_LIVE_READ_INTERVAL_S = 0.5
"""Read interval while the owner is live. At 0.25 s, 8 entry VMs with 16 rows would make 512 reads
per second. The longer interval may delay the claim of a released lease by as much."""

RANK_DELAY_S = 0.4
"""Delay of a claim per candidate that ranks higher.

Longer than ``READ_INTERVAL_S``. At 0.15 s, a VM that had just released the lease claimed it again
before the preferred candidate had read the row.
"""

SETTLE_S = 3.0
"""Time for which another VM must be the preferred owner before the owner hands over to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Row of a partition.

    Attributes:
        owner: Entry VM that owns the partition.
        boot_id: Identifier of the owner's process.
        epoch: Epoch of the ownership, which fences off earlier owners.
        released: Whether the owner has released the lease, so that the next owner need not wait
            for its expiry.
        version: Version of the row.
    """

    owner: str
    boot_id: str
    epoch: int
    released: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipState:
    """View of one entry VM on one partition.

    Attributes:
        partition: Name, ``{data_centre}/{number}``.
        vm_id: This entry VM.
        boot_id: Identifier of this process.
        row: Latest known row, or None if it is absent.
        is_read: Whether the row has been read or written since the start of the process.
        seen_at_s: Time at which the latest change of the row was seen.
        owned_epoch: Epoch under which this process owns the partition, or None.
        lost_epoch: Epoch of the latest ownership of this process that has ended, or 0.
        stopping: Whether a handover is in progress.
        is_stopped: Whether the owner has stopped, so that the lease may be released.
        is_uncertain: Whether the result of a write is unknown, so that the row must be read before
            the next write.
        is_writing: Whether a claim, renewal or release is in progress.
        next_write_s: Time of the next renewal of the lease.
        next_read_s: Time of the next read of the row.
        is_owner_live: Whether the owner in the row is a live member.
        preferred_since_s: Time since which another VM has been the preferred owner, or None.
        draining: Whether this process is about to exit.
    """

    partition: str
    vm_id: str
    boot_id: str
    row: LeaseRow | None = None
    is_read: bool = False
    seen_at_s: float = 0.0
    owned_epoch: int | None = None
    lost_epoch: int = 0
    stopping: bool = False
    is_stopped: bool = False
    is_uncertain: bool = False
    is_writing: bool = False
    next_write_s: float = 0.0
    next_read_s: float = 0.0
    is_owner_live: bool = False
    preferred_since_s: float | None = None
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed.

    Attributes:
        live: Data centre of each live member, by name.
        draining: Whether this process is about to exit.
    """

    live: Mapping[str, str]
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row was read; ``row`` is None if it is absent."""

    row: LeaseRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The claim took effect."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The renewal took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The row was marked as released."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerStopped:
    """The owner has stopped gracefully and the lease may be released."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRejected:
    """A write was refused, or its result is unknown; the row must be read again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """A worker refused an order because it has seen the higher epoch ``epoch``."""

    epoch: int


Event = Tick | RowRead | Claimed | Renewed | LeaseReleased | OwnerStopped | WriteRejected | Fenced


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row; answered by ``RowRead`` unless the store is unavailable."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim the lease under ``epoch``, provided that the row has version ``if_version``.

    Answered by ``Claimed`` or ``WriteRejected``.
    """

    epoch: int
    if_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Rewrite the row to renew the lease; answered by ``Renewed`` or ``WriteRejected``."""

    epoch: int
    if_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Mark the row as released; answered by ``LeaseReleased`` or ``WriteRejected``."""

    epoch: int
    if_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartOwner:
    """Start the owner of the partition under an epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopOwner:
    """Stop the owner of the partition.

    With ``graceful``, it finishes its orders first, and the answer is ``OwnerStopped``, after which
    it is not requested again.
    """

    epoch: int
    graceful: bool


Action = ReadRow | Claim | Renew | ReleaseLease | StartOwner | StopOwner


def create_state(partition: str, vm_id: str, boot_id: str) -> OwnershipState:
    """Returns the initial view on a partition, before its row is read."""
    return OwnershipState(partition, vm_id, boot_id)


def rank_candidates(partition: str, live: Mapping[str, str]) -> list[str]:
    """Returns the live members in order of preference as owners of a partition.

    Members in the data centre of the partition come first.

    Args:
        partition: Name of the partition.
        live: Data centre of each live member, by name.
    """
    data_centre = partition.rpartition("/")[0]
    local = [vm_id for vm_id, location in live.items() if location == data_centre]
    remote = [vm_id for vm_id, location in live.items() if location != data_centre]
    return hashing.rank(partition, local) + hashing.rank(partition, remote)


def decide(
    state: OwnershipState, event: Event, now_s: float
) -> tuple[OwnershipState, list[Action]]:
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
            return _handle_tick(state, event, now_s)
        case RowRead():
            return _apply_row(state, event.row, now_s)
        case Claimed():
            row = LeaseRow(state.vm_id, state.boot_id, event.epoch, False, event.version)
            return _start_owning(_record_row(state, row, now_s), event.epoch, now_s)
        case Renewed():
            return _record_write(state, event.version, False, now_s), []
        case LeaseReleased() if state.owned_epoch is None:
            return _record_write(state, event.version, True, now_s), []
        case LeaseReleased():
            state = _record_write(state, event.version, True, now_s)
            return dataclasses.replace(state, owned_epoch=None, lost_epoch=state.owned_epoch), []
        case OwnerStopped():
            return dataclasses.replace(state, is_stopped=state.stopping), []
        case WriteRejected():
            return dataclasses.replace(
                state, is_writing=False, is_uncertain=True, next_read_s=now_s
            ), []
        case Fenced():
            if state.owned_epoch is None or event.epoch <= state.owned_epoch:
                return state, []
            return _lose_ownership(state, now_s)


def _record_row(state: OwnershipState, row: LeaseRow | None, now_s: float) -> OwnershipState:
    is_changed = not state.is_read or row != state.row
    seen_at_s = now_s if is_changed else state.seen_at_s
    return dataclasses.replace(state, row=row, is_read=True, seen_at_s=seen_at_s)


def _start_owning(
    state: OwnershipState, epoch: int, now_s: float
) -> tuple[OwnershipState, list[Action]]:
    state = dataclasses.replace(
        state,
        owned_epoch=epoch,
        stopping=False,
        is_stopped=False,
        is_writing=False,
        is_uncertain=False,
        preferred_since_s=None,
        next_write_s=now_s + RENEW_INTERVAL_S,
    )
    return state, [StartOwner(epoch)]


def _lose_ownership(state: OwnershipState, now_s: float) -> tuple[OwnershipState, list[Action]]:
    epoch = state.owned_epoch
    has_stopped = state.is_stopped
    state = dataclasses.replace(
        state, owned_epoch=None, lost_epoch=epoch, is_writing=False, next_read_s=now_s
    )
    return state, [] if has_stopped else [StopOwner(epoch, graceful=False)]


def _record_write(
    state: OwnershipState, version: int, released: bool, now_s: float
) -> OwnershipState:
    state = dataclasses.replace(state, is_writing=False, next_write_s=now_s + RENEW_INTERVAL_S)
    if state.row is None or version <= state.row.version:
        return state
    return _record_row(
        state, dataclasses.replace(state.row, version=version, released=released), now_s
    )


def _apply_row(
    state: OwnershipState, row: LeaseRow | None, now_s: float
) -> tuple[OwnershipState, list[Action]]:
    # A read that began before a write of this process may return the version before that write.
    if state.row is not None and (row is None or row.version < state.row.version):
        return state, []
    state = _record_row(state, row, now_s)
    state = dataclasses.replace(
        state, next_read_s=now_s + _get_read_interval_s(state), is_uncertain=False
    )
    is_ours = row is not None and (row.owner, row.boot_id) == (state.vm_id, state.boot_id)
    if state.owned_epoch is None:
        if is_ours and not row.released and not state.is_writing and row.epoch > state.lost_epoch:
            # A claim of this process took effect, but its response was lost.
            return _start_owning(state, row.epoch, now_s)
        return state, []
    if not is_ours or row.epoch != state.owned_epoch:
        return _lose_ownership(state, now_s)
    if row.released:
        return dataclasses.replace(state, owned_epoch=None, lost_epoch=row.epoch), []
    return state, []


def _handle_tick(
    state: OwnershipState, tick: Tick, now_s: float
) -> tuple[OwnershipState, list[Action]]:
    state = dataclasses.replace(state, draining=tick.draining)
    if state.owned_epoch is not None:
        return _handle_tick_as_owner(state, tick, now_s)
    is_owner_live = state.row is not None and state.row.owner in tick.live
    if state.is_owner_live and not is_owner_live:
        state = dataclasses.replace(state, next_read_s=now_s)
    state = dataclasses.replace(state, is_owner_live=is_owner_live)
    actions: list[Action] = []
    if now_s >= state.next_read_s:
        state = dataclasses.replace(state, next_read_s=now_s + _get_read_interval_s(state))
        actions.append(ReadRow())
    if state.is_read and not state.is_writing and not state.draining:
        ranked = rank_candidates(state.partition, tick.live)
        rank = ranked.index(state.vm_id) if state.vm_id in ranked else len(ranked)
        if _may_claim(state, rank, now_s):
            epoch = state.row.epoch + 1 if state.row else 1
            version = state.row.version if state.row else 0
            state = dataclasses.replace(state, is_writing=True)
            actions.append(Claim(epoch, version))
    return state, actions


def _get_read_interval_s(state: OwnershipState) -> float:
    is_owned_by_live_peer = state.owned_epoch is None and state.is_owner_live
    return OWNER_LIVE_READ_INTERVAL_S if is_owned_by_live_peer else READ_INTERVAL_S


def _may_claim(state: OwnershipState, rank: int, now_s: float) -> bool:
    waited_s = now_s - state.seen_at_s - rank * RANK_DELAY_S
    if state.row is None or state.row.released:
        return waited_s >= 0
    return waited_s >= LEASE_S


def _handle_tick_as_owner(
    state: OwnershipState, tick: Tick, now_s: float
) -> tuple[OwnershipState, list[Action]]:
    if state.is_uncertain:
        if now_s < state.next_read_s:
            return state, []
        return dataclasses.replace(state, next_read_s=now_s + READ_INTERVAL_S), [ReadRow()]
    ranked = rank_candidates(state.partition, tick.live)
    preferred = ranked[0] if ranked else state.vm_id
    since_s = state.preferred_since_s
    since_s = None if preferred == state.vm_id else now_s if since_s is None else since_s
    state = dataclasses.replace(state, preferred_since_s=since_s)
    is_handover_due = since_s is not None and now_s - since_s >= SETTLE_S
    if not state.stopping and (state.draining or is_handover_due):
        state = dataclasses.replace(state, stopping=True)
        return state, [StopOwner(state.owned_epoch, graceful=True)]
    if state.is_writing:
        return state, []
    if state.is_stopped:
        state = dataclasses.replace(state, is_writing=True)
        return state, [ReleaseLease(state.owned_epoch, state.row.version)]
    if now_s < state.next_write_s:
        return state, []
    state = dataclasses.replace(state, is_writing=True)
    return state, [Renew(state.owned_epoch, state.row.version)]
