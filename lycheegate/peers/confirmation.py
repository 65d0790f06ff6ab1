"""When an entry VM may act on its release.

The functions take the state, what was learned and the time, and return the new state. All times
are on the monotonic clock of this process. What a peer states is dated by the echo of a time
stamp of this process, so a message that was delayed on its way cannot confirm anything.
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

Shorter than the 4 s within which an accepted release is in force everywhere.
"""


SETTLE_S = 10.0
"""Time after its start for which a process does not count towards a majority without store.

A process that restarts forgets which releases it acknowledged. An operator's write of the head
follows the acknowledgements within the time-outs of the prepare round (3 s) and of the table
client (2 s), so after this time a read of the head shows its result.
"""


class ConfirmationStatus(enum.StrEnum):
    """Whether new requests may be accepted under the current release."""

    CONFIRMED = "confirmed"
    STORE_UNREACHABLE = "store_unreachable"
    """No member of a strict majority reaches the store, so no release can be accepted."""
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer stated last.

    Attributes:
        dated_s: Time before which the statement cannot have been made.
        release: Its release.
        prepared: Release that it has acknowledged and not seen decided, or 0.
        table_ok_at_s: Time of its last read of the head, or None.
        settled: Whether it counts towards a majority without store.
    """

    dated_s: float
    release: int
    prepared: int
    table_ok_at_s: float | None
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationState:
    """Knowledge of one entry VM about releases.

    Attributes:
        vm_id: This entry VM.
        started_s: Start of this process.
        release: Release in force here; 0 before the first.
        known: Whether the head was learned since the start.
        confirmed_at_s: Latest time at which ``release`` was certainly the newest.
        table_ok_at_s: Start of the latest successful read of the head from the table.
        prepared: Highest release acknowledged here and not seen decided.
        proposals: Proposals of that release; operators may propose the same number at once.
        prepared_at_s: When it was acknowledged.
        members: Known members, this entry VM included.
        reports: Latest statement of each peer.
    """

    vm_id: str
    started_s: float
    release: int = 0
    known: bool = False
    confirmed_at_s: float | None = None
    table_ok_at_s: float | None = None
    prepared: int = 0
    proposals: frozenset[str] = frozenset()
    prepared_at_s: float = 0.0
    members: frozenset[str] = frozenset()
    reports: Mapping[str, PeerReport] = dataclasses.field(default_factory=dict)


def apply_table_read(state: ConfirmationState, head: int, read_began_s: float) -> ConfirmationState:
    """Notes the head that a read of the table returned.

    The release itself is adopted by ``apply_release`` once its document is present. A head below
    the release in force is impossible and confirms nothing.
    """
    confirmed_at_s = state.confirmed_at_s
    if head == state.release:
        confirmed_at_s = _latest(confirmed_at_s, read_began_s)
    is_decided = state.prepared <= head or read_began_s >= state.prepared_at_s + SETTLE_S
    prepared = 0 if is_decided else state.prepared
    return dataclasses.replace(
        state,
        known=state.known or head == state.release,
        confirmed_at_s=confirmed_at_s,
        table_ok_at_s=_latest(state.table_ok_at_s, read_began_s),
        prepared=prepared,
    )


def apply_release(state: ConfirmationState, number: int) -> ConfirmationState:
    """Adopts an accepted release if it is newer than the one in force."""
    if number <= state.release:
        return state
    prepared = state.prepared if state.prepared > number else 0
    return dataclasses.replace(
        state, release=number, known=True, confirmed_at_s=None, prepared=prepared
    )


def apply_heartbeat(state: ConfirmationState, heartbeat: messages.Heartbeat) -> ConfirmationState:
    """Notes what a peer stated; a heartbeat without an echo of ours cannot be dated."""
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
        confirmed_at_s = _latest(confirmed_at_s, table_ok_at_s)
    return dataclasses.replace(state, reports=reports, confirmed_at_s=confirmed_at_s)


def apply_known_members(state: ConfirmationState, members: Iterable[str]) -> ConfirmationState:
    """Replaces the known members by the rows as just read."""
    return dataclasses.replace(state, members=frozenset(members) | {state.vm_id})


def prepare(
    state: ConfirmationState, number: int, now_s: float, proposal: str = ""
) -> tuple[ConfirmationState, bool]:
    """Acknowledges a release that is about to be accepted.

    Returns:
        The state, and whether the release may be accepted as far as this entry VM knows.
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
    """Notes that a proposal of a release will certainly not be accepted.

    Another proposal of the same number may still be, so that the number stays prepared for it.
    """
    if state.prepared != number:
        return state
    proposals = state.proposals - {proposal}
    return dataclasses.replace(state, proposals=proposals, prepared=number if proposals else 0)


def compute_status(state: ConfirmationState, now_s: float) -> ConfirmationStatus:
    """Returns whether new requests may be accepted at ``now_s``."""
    oldest_s = now_s - CONFIRM_WINDOW_S
    if not state.known:
        return ConfirmationStatus.UNCONFIRMED
    if state.confirmed_at_s is not None and state.confirmed_at_s >= oldest_s:
        return ConfirmationStatus.CONFIRMED
    if state.prepared > state.release or _reaches_table(state.table_ok_at_s, oldest_s):
        return ConfirmationStatus.UNCONFIRMED
    without_store = int(is_settled(state))
    for vm_id in state.members - {state.vm_id}:
        report = state.reports.get(vm_id)
        if report is None or report.dated_s < oldest_s:
            continue
        if report.release > state.release or report.prepared > state.release:
            return ConfirmationStatus.UNCONFIRMED
        if report.settled and not _reaches_table(report.table_ok_at_s, oldest_s):
            without_store += 1
    if 2 * without_store > len(state.members):
        return ConfirmationStatus.STORE_UNREACHABLE
    return ConfirmationStatus.UNCONFIRMED


def is_settled(state: ConfirmationState) -> bool:
    """Returns whether this process counts towards a majority without store."""
    return state.table_ok_at_s is not None and state.table_ok_at_s >= state.started_s + SETTLE_S


def _reaches_table(table_ok_at_s: float | None, oldest_s: float) -> bool:
    return table_ok_at_s is not None and table_ok_at_s >= oldest_s


def _latest(first_s: float | None, second_s: float) -> float:
    return second_s if first_s is None else max(first_s, second_s)
