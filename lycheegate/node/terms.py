"""Rules for claiming the scheduler's term. The functions read no clock and do no I/O.

The holder of the term renews it by rewriting its heartbeat in the store. An observer claims the
next term if the heartbeat has not changed for ``HEARTBEAT_TIMEOUT_S`` on the observer's clock, or
is older than that on the store's clock. The claim is conditional on the row versions that the
observer has read. Comparing with the store's clock lets a VM that has just started claim an
expired term without waiting.

To shorten the time without a scheduler after a holder fails, observers probe the holder's VM once
its heartbeat is overdue, and use a shorter timeout if the probe shows that the holder is gone or
unreachable. A mistaken claim costs a change of holders; versions and epochs keep it safe.
"""

import dataclasses
import enum

from returns import result

from lycheegate.jobs import admission, fencing, state
from lycheegate.node import load_row, storage, tables
from lycheegate.utils import exceptions

__all__ = [
    "HEARTBEAT_OVERDUE_S",
    "HEARTBEAT_TIMEOUT_S",
    "MAX_RENEWAL_AGE_S",
    "MAX_RENEWAL_AGE_WITHOUT_STORE_S",
    "RELEASED_JITTER_RATIO",
    "RENEWAL_INTERVAL_S",
    "ProbeResult",
    "TermView",
    "apply_rows",
    "compute_jitter_s",
    "count_pending",
    "estimate_clock_ms",
    "find_claimed_version",
    "find_lease_ends",
    "find_lease_row",
    "find_load",
    "find_load_age_s",
    "is_heartbeat_overdue",
    "list_departures",
    "list_suspects",
    "make_claim",
    "may_claim",
    "record_probe_result",
]

RENEWAL_INTERVAL_S = 0.7
HEARTBEAT_TIMEOUT_S = 1.9
"""Two renewal intervals, plus 0.5 s for a slow answer of the store."""
RENEWING_HOLDER_TIMEOUT_S = 4.0
"""Heartbeat timeout for a holder whose VM answers that it still holds the term."""
MAX_RENEWAL_AGE_S = 2.2
"""Age of its last renewal from which a VM no longer reports that it holds the term."""
MAX_RENEWAL_AGE_WITHOUT_STORE_S = 1.6
"""The same while the store is unreachable for the VM; long enough for a renewal through a peer."""
MAX_PROBE_AGE_S = 1.0
"""Age above which a probe result is ignored."""
HEARTBEAT_OVERDUE_S = 0.9
"""One renewal interval, plus the time to write the heartbeat and deliver it to observers."""
UNREACHABLE_HOLDER_TIMEOUT_S = 1.2
"""Heartbeat timeout for a holder whose VM cannot be reached."""
RELEASED_JITTER_RATIO = 0.1
"""Share of the claim jitter that applies to a released term. It is small because there is no holder
to wait for, but not 0, so that VMs with less than a whole core claim after larger ones."""
PROBED_JITTER_RATIO = 0.25
"""Share of the claim jitter that applies once a probe has found the holder gone or unreachable."""


CLAIM_JITTER_S = 0.4
CLAIM_SPACING_S = 0.01
"""Mean time between the claims of VMs that see the term expire together. A claim takes some 10 ms
until the other VMs know of it, and each claim in between is a transaction in the part in which the
new holder writes."""
MAX_CLAIM_JITTER_S = 2.0
"""Limit of the spread, because the rows of VMs that left may count as well."""
SMALL_VM_DELAY_S = 1.0
"""Claim delay of a VM with almost no processor time."""


class ProbeResult(enum.StrEnum):
    """Result of probing the VM that holds the term."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    UNREACHABLE = "unreachable"
    GONE = "gone"
    """The VM does not hold the term any more: its process restarted, or cannot renew the term."""


@dataclasses.dataclass(slots=True)
class TermView:
    """An observer's view of the term, from the store and from probes of the holder's VM.

    Attributes:
        holder: Holder of the term, or None if the term has never been claimed.
        holder_version: Version of the holder's row.
        heartbeat: The holder's heartbeat, or None.
        heartbeat_version: Version of the heartbeat's row.
        more_counts: Further counts of waiting jobs, by the key of their row.
        suspects: Until when each worker is suspected, in milliseconds on the store's clock.
        suspects_version: Version of the row of suspected workers.
        departures: Announced departures of workers, by worker.
        departures_version: Version of their row.
        durations: Content of the row of learned durations, which only the next holder decodes.
        durations_version: Version of that row.
        lease_ends: When leases end according to the row that was last read, or None.
        lease_ends_version: Version of that row.
        load: Load of the services as last published, or None.
        load_version: Version of its row.
        load_read_at_s: When that row was read.
        is_load_unreadable: Whether that row cannot be decoded.
        changed_at_s: When a change of either version was last observed.
        read_at_s: When the store last answered.
        clock_ms: The store's clock in that answer, or 0 if not reported.
        is_loaded: Whether the rows have been read at least once.
        probe_result: Latest result of probing the holder's VM.
        probe_epoch: Epoch of the term that was probed.
        probed_at_s: When the probe result was received.
    """

    holder: tables.Holder | None = None
    holder_version: int = storage.ABSENT
    heartbeat: tables.Heartbeat | None = None
    heartbeat_version: int = storage.ABSENT
    more_counts: dict[str, tables.PendingCounts] = dataclasses.field(default_factory=dict)
    suspects: dict[str, int] = dataclasses.field(default_factory=dict)
    suspects_version: int = storage.ABSENT
    departures: dict[str, tables.Departure] = dataclasses.field(default_factory=dict)
    departures_version: int = storage.ABSENT
    durations: bytes = b""
    durations_version: int = storage.ABSENT
    lease_ends: tables.LeaseEnds | None = None
    lease_ends_version: int = storage.ABSENT
    load: load_row.LoadRow | None = None
    load_version: int = storage.ABSENT
    load_read_at_s: float = 0.0
    is_load_unreadable: bool = False
    changed_at_s: float = 0.0
    read_at_s: float = 0.0
    clock_ms: int = 0
    is_loaded: bool = False
    probe_result: ProbeResult = ProbeResult.UNKNOWN
    probe_epoch: int = 0
    probed_at_s: float = 0.0


def apply_rows(
    view: TermView, rows: tuple[storage.Row, ...], now_s: float, clock_ms: int = 0
) -> None:
    """Updates a view with rows that were read from the store or received from its change feed.

    Args:
        view: The view, which is changed in place.
        rows: Rows of the table of terms.
        now_s: Time of the store's answer.
        clock_ms: The store's clock in the answer, or 0 if not reported.

    Raises:
        ProtocolError: A row cannot be decoded; the others have been applied.
    """
    if clock_ms:
        view.clock_ms = clock_ms
        view.read_at_s = now_s
    if not view.is_loaded:
        view.changed_at_s = now_s
        view.is_loaded = True
    unreadable: exceptions.ProtocolError | None = None
    for row in rows:
        try:
            _apply_row(view, row, now_s)
        except exceptions.ProtocolError as error:
            # The other rows hold: a heartbeat must be known although the suspected workers are not.
            unreadable = unreadable or error
    if unreadable is not None:
        raise unreadable


def _apply_row(view: TermView, row: storage.Row, now_s: float) -> None:
    if row.key == tables.HOLDER and row.version > view.holder_version:
        view.holder = tables.decode_holder(row.value)
        view.holder_version = row.version
        view.changed_at_s = now_s
    elif row.key == tables.HEARTBEAT and row.version > view.heartbeat_version:
        view.heartbeat = tables.decode_heartbeat(row.value)
        view.heartbeat_version = row.version
        view.changed_at_s = now_s
        view.probe_result = ProbeResult.UNKNOWN
    elif row.key == tables.SUSPECTS and row.version > view.suspects_version:
        view.suspects = tables.decode_suspects(row.value)
        view.suspects_version = row.version
    elif row.key == tables.DEPARTURES and row.version > view.departures_version:
        view.departures = {} if row.deleted else tables.decode_departures(row.value)
        view.departures_version = row.version
    elif row.key == tables.DURATIONS and row.version > view.durations_version:
        view.durations = b"" if row.deleted else row.value
        view.durations_version = row.version
    elif row.key == tables.LEASES and row.version > view.lease_ends_version:
        view.lease_ends = None if row.deleted else tables.decode_lease_ends(row.value)
        view.lease_ends_version = row.version
    elif row.key == tables.LOAD and row.version > view.load_version:
        _apply_load(view, row, now_s)
    elif tables.is_counts_key(row.key) and not row.deleted:
        view.more_counts[row.key.key] = tables.decode_counts(row.value)


def _apply_load(view: TermView, row: storage.Row, now_s: float) -> None:
    """Applies the row of the load; a holder of another build writes unreadable ones each second."""
    view.load_version, view.load_read_at_s, view.load = row.version, now_s, None
    if row.deleted:
        return
    was_unreadable, view.is_load_unreadable = view.is_load_unreadable, True
    try:
        view.load = load_row.decode_load(row.value)
        view.is_load_unreadable = False
    except exceptions.ProtocolError:
        if not was_unreadable:
            raise


def find_load(view: TermView, now_s: float) -> tuple[admission.Load | None, float]:
    """Returns the load that the holder has published, or None, and its age in seconds.

    The load of an earlier holder does not count: that of the next one is known only once its
    workers have reported.
    """
    row, heartbeat, term_holder = view.load, view.heartbeat, view.holder
    if row is None or heartbeat is None or heartbeat.is_released or row.epoch != heartbeat.epoch:
        return None, 0.0
    if term_holder is not None and term_holder.epoch != row.epoch:
        return None, 0.0
    # The estimate of the store's clock is never later than that clock.
    clock_age_s = (estimate_clock_ms(view, now_s) - row.sent_at_ms) / 1000.0
    return row.load, max(clock_age_s, now_s - view.load_read_at_s)


def find_load_age_s(view: TermView, now_s: float) -> float | None:
    """Returns the age of the load that any holder has last published, or None if it is not known.

    It is counted on the store's clock, as the row may have been written long before it was read.
    """
    clock_ms = estimate_clock_ms(view, now_s)
    return (clock_ms - view.load.sent_at_ms) / 1000.0 if view.load and clock_ms else None


def count_pending(view: TermView, route: str) -> int:
    """Returns the number of jobs of a queue that have not started, as of the last heartbeat."""
    if view.heartbeat is None:
        return 0
    if route in view.heartbeat.pending:
        return view.heartbeat.pending[route]
    for counts in list(view.more_counts.values()):
        if counts.epoch == view.heartbeat.epoch and route in counts.pending:
            return counts.pending[route]
    return 0


def list_suspects(view: TermView, now_s: float) -> dict[str, float]:
    """Returns for how many seconds from now on each worker is suspected by the last holder."""
    clock_ms = estimate_clock_ms(view, now_s)
    return {
        worker_id: (until_ms - clock_ms) / 1000.0
        for worker_id, until_ms in view.suspects.items()
        if until_ms > clock_ms
    }


def list_departures(view: TermView, now_s: float) -> dict[str, state.AnnouncedDeparture]:
    """Returns the departures of workers that the last holder knew of, on this VM's clock."""
    clock_ms = estimate_clock_ms(view, now_s)
    return {
        worker_id: state.AnnouncedDeparture(
            now_s + (departure.leaves_at_ms - clock_ms) / 1000.0,
            departure.remaining_ms / 1000.0,
            departure.born_ms,
        )
        for worker_id, departure in view.departures.items()
    }


def find_lease_row(view: TermView) -> tables.LeaseEnds | None:
    """Returns the row of the ends of leases if it belongs to the last heartbeat, else None.

    It holds for a claim of the term that names the versions in the view. Rows of one transaction
    have the same version. Times alone do not tell heartbeats apart, since the estimate of the
    store's clock may recur, and the conflict of a claim reports the heartbeat without this row.
    """
    heartbeat, ends = view.heartbeat, view.lease_ends
    if (
        heartbeat is None
        or ends is None
        or not heartbeat.sent_at_ms
        or view.lease_ends_version != view.heartbeat_version
        or (ends.epoch, ends.sent_at_ms) != (heartbeat.epoch, heartbeat.sent_at_ms)
    ):
        return None
    return ends


def find_lease_ends(view: TermView, now_s: float) -> state.InheritedLeases:
    """Returns when the leases that earlier holders have granted end, as far as the last one tells.

    The result holds for a claim of the term that names the versions in the view.

    Args:
        view: This VM's view of the term.
        now_s: Time on a clock that includes time spent suspended.
    """
    ends = find_lease_row(view)
    if ends is None:
        return state.InheritedLeases()
    # The estimate is never later than the store's clock.
    clock_ms = estimate_clock_ms(view, now_s)
    end_s = {worker: now_s + (ms - clock_ms) / 1000.0 for worker, ms in ends.workers.items()}
    others_s = now_s + (ends.others_ms - clock_ms) / 1000.0 if ends.others_ms else None
    return state.InheritedLeases(end_s, others_s)


def may_claim(view: TermView, now_s: float, jitter_s: float) -> bool:
    """Returns whether the term is released or expired, so that this VM may claim it.

    Args:
        view: This VM's view of the term.
        now_s: Time on a clock that includes time spent suspended.
        jitter_s: Claim delay of this VM, which keeps VMs from claiming at the same time.
    """
    if not view.is_loaded or now_s - view.read_at_s > HEARTBEAT_TIMEOUT_S:
        return False
    is_released = view.heartbeat is not None and view.heartbeat.is_released
    if view.holder is None or (is_released and view.heartbeat.epoch == view.holder.epoch):
        return now_s - view.changed_at_s >= RELEASED_JITTER_RATIO * jitter_s
    timeout_s, jitter_ratio = _compute_takeover_timeout_s(view, now_s)
    return _compute_silence_s(view, now_s) > timeout_s + jitter_ratio * jitter_s


def _compute_takeover_timeout_s(view: TermView, now_s: float) -> tuple[float, float]:
    """Returns the heartbeat timeout, and the share of the claim jitter to add to it."""
    probe_result = view.probe_result
    if view.probe_epoch != view.holder.epoch or now_s - view.probed_at_s > MAX_PROBE_AGE_S:
        probe_result = ProbeResult.UNKNOWN
    match probe_result:
        case ProbeResult.GONE:
            return HEARTBEAT_OVERDUE_S, PROBED_JITTER_RATIO
        case ProbeResult.UNREACHABLE:
            return UNREACHABLE_HOLDER_TIMEOUT_S, PROBED_JITTER_RATIO
        case ProbeResult.ALIVE:
            # The store is slow. Claims would contend with the holder's renewals, because both
            # are transactions of the same part.
            return RENEWING_HOLDER_TIMEOUT_S, 1.0
    return HEARTBEAT_TIMEOUT_S, 1.0


def compute_jitter_s(processor_cores: float, draw: float, vms: int = 0) -> float:
    """Returns how long a VM delays its claim to avoid contention with other VMs.

    VMs with less than a whole core claim only if no larger VM does, because a burst of jobs keeps
    the holder's processor busy most of the time. The claims of many VMs are spread over a longer
    time; the first of them hardly comes later.

    Args:
        processor_cores: Processor time available to the VM, in seconds per second.
        draw: Random number from 0 to 1, which spreads the claims of VMs of the same size.
        vms: Number of VMs, or 0 if it is not known.
    """
    missing_cores = max(0.0, 1.0 - processor_cores)
    spread_s = min(MAX_CLAIM_JITTER_S, max(CLAIM_JITTER_S, CLAIM_SPACING_S * vms))
    return spread_s * draw + SMALL_VM_DELAY_S * missing_cores


def is_heartbeat_overdue(view: TermView, now_s: float) -> bool:
    """Returns whether the holder's heartbeat is overdue while the store answers."""
    if not view.is_loaded or view.holder is None or now_s - view.read_at_s > HEARTBEAT_TIMEOUT_S:
        return False
    return _compute_silence_s(view, now_s) > HEARTBEAT_OVERDUE_S


def record_probe_result(
    view: TermView, epoch: int, probe_result: ProbeResult, now_s: float
) -> bool:
    """Records the result of probing the holder's VM; returns whether it differs from the last."""
    is_new = (view.probe_result, view.probe_epoch) != (probe_result, epoch)
    view.probe_result, view.probe_epoch, view.probed_at_s = probe_result, epoch, now_s
    return is_new


def _compute_silence_s(view: TermView, now_s: float) -> float:
    """Returns the time since the last heartbeat, the longer of those on both clocks."""
    silence_s = now_s - view.changed_at_s
    if view.heartbeat is not None and view.heartbeat.sent_at_ms:
        age_s = (estimate_clock_ms(view, now_s) - view.heartbeat.sent_at_ms) / 1000.0
        silence_s = max(silence_s, age_s)
    return silence_s


def estimate_clock_ms(view: TermView, now_s: float) -> int:
    """Returns the estimated time on the store's clock, or 0 if the store never reported it."""
    if not view.clock_ms:
        return 0
    return view.clock_ms + int((now_s - view.read_at_s) * 1000.0)


def make_claim(
    view: TermView, claim_id: str, now_s: float
) -> tuple[tables.Holder, storage.Transaction]:
    """Returns the holder of the next term, and the transaction that claims it.

    The claim carries the ends of leases on, as its heartbeat replaces the one that they belong to.
    The claimant grants no lease to which they apply until it has stored a later heartbeat.
    """
    epoch = (view.holder.epoch if view.holder else 0) + fencing.EPOCHS_PER_TERM
    holder = tables.Holder(epoch, claim_id)
    heartbeat = tables.Heartbeat(
        epoch,
        False,
        view.heartbeat.pending if view.heartbeat else {},
        estimate_clock_ms(view, now_s),
    )
    writes = [
        storage.Write(tables.HOLDER, tables.encode_holder(holder)),
        storage.Write(tables.HEARTBEAT, tables.encode_heartbeat(heartbeat)),
    ]
    ends = find_lease_row(view)
    if ends is not None and heartbeat.sent_at_ms:
        carried = dataclasses.replace(ends, epoch=epoch, sent_at_ms=heartbeat.sent_at_ms)
        writes.append(storage.Write(tables.LEASES, tables.encode_lease_ends(carried)))
    transaction = storage.Transaction(
        conditions=(
            storage.Condition(tables.HOLDER, view.holder_version),
            storage.Condition(tables.HEARTBEAT, view.heartbeat_version),
        ),
        writes=tuple(writes),
    )
    return holder, transaction


def find_claimed_version(outcome: storage.StoreResult, claimed: tables.Holder) -> int | None:
    """Returns the version of the holder's row if a claim took effect, else None.

    A claim that was sent twice, because the first answer was lost, conflicts with itself.
    """
    if isinstance(outcome, result.Success):
        return outcome.unwrap()
    error = outcome.failure()
    for row in error.rows if isinstance(error, storage.ConflictError) else ():
        if row.key == tables.HOLDER and _is_claim(row, claimed):
            return row.version
    return None


def _is_claim(row: storage.Row, claimed: tables.Holder) -> bool:
    try:
        return tables.decode_holder(row.value) == claimed
    except exceptions.ProtocolError:
        return False
