"""Decides whether an entry VM may accept requests under its current release.

The functions take the state, an input and the time, and return the new state. All times are on the
monotonic clock of this process. A heartbeat is dated by the timestamp of this process that it
echoes, not by its arrival, so a delayed heartbeat cannot confirm a release that has been replaced.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from lycheegate.peers import messages

__all__ = [
    "CONFIRM_WINDOW_S",
    "SETTLE_S",
    "ConfirmationState",
    "ConfirmationStatus",
    "PeerReport",
    "apply_heartbeat",
    "apply_known_members",
    "apply_release",
    "apply_table_read",
    "compute_status",
    "is_settled",
    "prepare",
    "withdraw",
]

CONFIRM_WINDOW_S = 3.0
"""Time without confirmation after which new requests are refused.

Shorter than the 4 s within which an accepted release must be in force on all entry VMs.
"""


SETTLE_S = 10.0
"""Time after its acknowledgement within which a release is accepted or rejected.

An operator's write of the head follows the acknowledgements within the timeouts of the prepare
round (3 s) and of the table client (2 s), so a read of the head after this time returns the result
of that write. A restarted process no longer knows which releases it acknowledged. Therefore it
counts towards the majority of members that cannot reach the store only once it has read the head
this long after its start.
"""


class ConfirmationStatus(enum.StrEnum):
    """Whether new requests may be accepted under the current release."""

    CONFIRMED = "confirmed"
    STORE_UNREACHABLE = "store_unreachable"
    """A strict majority of the members cannot reach the store, so no release can be accepted."""
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Content of the latest heartbeat of a peer.

    Attributes:
        sent_after_s: Earliest time at which the peer can have sent the heartbeat.
        release: Release in force on the peer.
        prepared: Highest release that it has acknowledged and that is undecided, or 0.
        table_ok_at_s: Time of its latest successful read of the head, or None.
        settled: Whether it counts towards the majority of members that cannot reach the store.
    """

    sent_after_s: float
    release: int
    prepared: int
    table_ok_at_s: float | None
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationState:
    """View of one entry VM on the releases in force.

    Attributes:
        vm_id: This entry VM.
        started_s: Start of this process.
        release: Release in force on this entry VM; 0 before the first.
        is_release_known: Whether the current release was obtained since the start of the process,
            from the table or from a peer.
        confirmed_at_s: Latest time at which ``release`` is proven to have been the newest.
        table_ok_at_s: Start of the latest successful read of the head from the table.
        prepared: Highest release that this entry VM has acknowledged and that is undecided, or 0.
        proposals: Open proposals of ``prepared``; operators may propose the same number
            concurrently.
        prepared_at_s: Time of the latest acknowledgement.
        members: Known members, this entry VM included.
        reports: Latest report of each peer, by name.
    """

    vm_id: str
    started_s: float
    release: int = 0
    is_release_known: bool = False
    confirmed_at_s: float | None = None
    table_ok_at_s: float | None = None
    prepared: int = 0
    proposals: frozenset[str] = frozenset()
    prepared_at_s: float = 0.0
    members: frozenset[str] = frozenset()
    reports: Mapping[str, PeerReport] = dataclasses.field(default_factory=dict)


def apply_table_read(state: ConfirmationState, head: int, read_began_s: float) -> ConfirmationState:
    """Applies a successful read of the head from the table.

    Only a head equal to the release in force confirms that release. A newer one is put into force
    by ``apply_release``, once its document has been read. The head never decreases, so a head below
    the release in force is inconsistent and confirms nothing.

    Args:
        state: View so far.
        head: Number of the release that the table returned.
        read_began_s: Start of the read.

    Returns:
        The new view.
    """
    confirmed_at_s = state.confirmed_at_s
    if head == state.release:
        confirmed_at_s = _compute_latest(confirmed_at_s, read_began_s)
    is_decided = state.prepared <= head or read_began_s >= state.prepared_at_s + SETTLE_S
    prepared = 0 if is_decided else state.prepared
    return dataclasses.replace(
        state,
        is_release_known=state.is_release_known or head == state.release,
        confirmed_at_s=confirmed_at_s,
        table_ok_at_s=_compute_latest(state.table_ok_at_s, read_began_s),
        prepared=prepared,
    )


def apply_release(state: ConfirmationState, number: int) -> ConfirmationState:
    """Puts an accepted release into force if it is newer than the current one."""
    if number <= state.release:
        return state
    prepared = state.prepared if state.prepared > number else 0
    return dataclasses.replace(
        state, release=number, is_release_known=True, confirmed_at_s=None, prepared=prepared
    )


def apply_heartbeat(state: ConfirmationState, heartbeat: messages.Heartbeat) -> ConfirmationState:
    """Records the report of a peer.

    A heartbeat that echoes no timestamp of this process cannot be dated and is ignored.
    """
    if heartbeat.echo_s is None:
        return state
    table_ok_at_s = None
    if heartbeat.table_ok_age_s is not None:
        table_ok_at_s = heartbeat.echo_s - heartbeat.table_ok_age_s
    report = PeerReport(
        heartbeat.echo_s,
        heartbeat.release,
        heartbeat.prepared,
        table_ok_at_s,
        heartbeat.settled,
    )
    reports = {**state.reports, heartbeat.vm_id: report}
    confirmed_at_s = state.confirmed_at_s
    if heartbeat.release == state.release and table_ok_at_s is not None:
        confirmed_at_s = _compute_latest(confirmed_at_s, table_ok_at_s)
    return dataclasses.replace(state, reports=reports, confirmed_at_s=confirmed_at_s)


def apply_known_members(state: ConfirmationState, members: Iterable[str]) -> ConfirmationState:
    """Replaces the known members by those in the rows of table ``member``."""
    return dataclasses.replace(state, members=frozenset(members) | {state.vm_id})


def prepare(
    state: ConfirmationState, number: int, now_s: float, proposal: str = ""
) -> tuple[ConfirmationState, bool]:
    """Acknowledges a proposed release, unless it is not newer than the one in force.

    Args:
        state: View so far.
        number: Number of the proposed release.
        now_s: Time of the acknowledgement.
        proposal: Identifier of the proposal.

    Returns:
        The new view, and whether the release was acknowledged.
    """
    if number <= state.release:
        return state, False
    proposals = frozenset() if number > state.prepared else state.proposals
    if number >= state.prepared:
        proposals |= {proposal}
    prepared = max(state.prepared, number)
    state = dataclasses.replace(state, prepared=prepared, proposals=proposals, prepared_at_s=now_s)
    return state, True


def withdraw(state: ConfirmationState, number: int, proposal: str = "") -> ConfirmationState:
    """Removes a proposal that will not be accepted.

    The number stays prepared while there are other proposals of the same number, because one of
    them may still be accepted.
    """
    if state.prepared != number:
        return state
    proposals = state.proposals - {proposal}
    return dataclasses.replace(state, proposals=proposals, prepared=number if proposals else 0)


def compute_status(state: ConfirmationState, now_s: float) -> ConfirmationStatus:
    """Returns whether new requests may be accepted at ``now_s``."""
    oldest_s = now_s - CONFIRM_WINDOW_S
    if not state.is_release_known:
        return ConfirmationStatus.UNCONFIRMED
    if state.confirmed_at_s is not None and state.confirmed_at_s >= oldest_s:
        return ConfirmationStatus.CONFIRMED
    if state.prepared > state.release or _reaches_table(state.table_ok_at_s, oldest_s):
        return ConfirmationStatus.UNCONFIRMED
    without_store_count = int(is_settled(state))
    for vm_id in state.members - {state.vm_id}:
        report = state.reports.get(vm_id)
        if report is None or report.sent_after_s < oldest_s:
            continue
        if report.release > state.release or report.prepared > state.release:
            return ConfirmationStatus.UNCONFIRMED
        if report.settled and not _reaches_table(report.table_ok_at_s, oldest_s):
            without_store_count += 1
    if 2 * without_store_count > len(state.members):
        return ConfirmationStatus.STORE_UNREACHABLE
    return ConfirmationStatus.UNCONFIRMED


def is_settled(state: ConfirmationState) -> bool:
    """Returns whether this process counts towards the majority that cannot reach the store.

    It does once it has read the head at least ``SETTLE_S`` after its start.
    """
    return state.table_ok_at_s is not None and state.table_ok_at_s >= state.started_s + SETTLE_S


def _reaches_table(table_ok_at_s: float | None, oldest_s: float) -> bool:
    return table_ok_at_s is not None and table_ok_at_s >= oldest_s


def _compute_latest(first_s: float | None, second_s: float) -> float:
    return second_s if first_s is None else max(first_s, second_s)
