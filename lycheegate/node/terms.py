"""When a VM may claim the scheduler's term; pure.

The holder rewrites its heartbeat. An observer that reads the store and sees no change for
``LAPSE_S`` on its own clock, or a heartbeat that is older than that on the store's clock, claims
the next term, under the versions that it has seen. The store's clock lets VMs that have just
started claim a term whose holder is long gone without waiting.

Answers the load pattern in which all work waits for a new holder: a heartbeat that is overdue
makes observers ask the holder's VM, and what they learn shortens the wait. A claim by mistake
costs a change of holders; versions and epochs keep it safe.
"""

import dataclasses
import enum

from lycheegate.node import storage, tables

__all__ = [
    "FRESH_S",
    "LAPSE_S",
    "RELEASED_JITTER_RATIO",
    "RENEW_S",
    "SUSPECT_S",
    "HolderSign",
    "TermView",
    "compute_jitter_s",
    "estimate_clock_ms",
    "is_suspect",
    "make_claim",
    "may_claim",
    "note_sign",
    "observe",
]

RENEW_S = 0.7
LAPSE_S = 1.9
"""Two renewals and the slowness of a store whose answers take half a second."""
ALIVE_LAPSE_S = 4.0
"""Silence after which even a holder that says it renews is replaced."""
FRESH_S = 2.2
"""Age of its last renewal up to which a holder says that it holds the term."""
SIGN_AGE_S = 1.0
"""Age above which an answer of the holder's VM says nothing any more."""
SUSPECT_S = 0.9
"""One renewal, its write and the way of its news to the observers."""
UNREACHABLE_S = 1.2
"""Silence after which a holder that cannot be reached either is replaced."""
RELEASED_JITTER_RATIO = 0.1
"""Share of the usual delay when the term is free: nothing is to be waited for, but VMs with little
processor time should let others go first."""
PROBED_JITTER_RATIO = 0.25
"""Share of the usual delay between the claims of several VMs, once the holder was asked."""


CLAIM_SPREAD_S = 0.4
WEAK_VM_DELAY_S = 1.0
"""Delay of a VM with next to no processor time."""


class HolderSign(enum.StrEnum):
    """What the holder's VM answered when it was asked."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    UNREACHABLE = "unreachable"
    GONE = "gone"
    """It answers and does not hold the term: its process has restarted, or cannot renew."""


@dataclasses.dataclass(slots=True)
class TermView:
    """What an observer has read of the term.

    Attributes:
        owner: Holder, or None if there never was one.
        owner_version: Version of the holder's row.
        beat: Its heartbeat, or None.
        beat_version: Version of the heartbeat's row.
        changed_at_s: When either version was seen to change.
        read_at_s: When the store last answered.
        clock_ms: The store's clock in that answer, or 0 if not told.
        is_loaded: Whether the rows have been read at all.
        sign: What the holder's VM answered last.
        sign_epoch: Term that the answer is about.
        sign_at_s: When it was received.
    """

    owner: tables.Owner | None = None
    owner_version: int = storage.ABSENT
    beat: tables.Beat | None = None
    beat_version: int = storage.ABSENT
    changed_at_s: float = 0.0
    read_at_s: float = 0.0
    clock_ms: int = 0
    is_loaded: bool = False
    sign: HolderSign = HolderSign.UNKNOWN
    sign_epoch: int = 0
    sign_at_s: float = 0.0


def observe(view: TermView, rows: tuple[storage.Row, ...], now_s: float, clock_ms: int = 0) -> None:
    """Takes rows as read or as changed.

    Args:
        view: What was read before.
        rows: The rows.
        now_s: Time of the answer.
        clock_ms: The store's clock in the answer, or 0 if not told.

    Raises:
        ProtocolError: A row cannot be read.
    """
    if clock_ms:
        view.clock_ms = clock_ms
        view.read_at_s = now_s
    if not view.is_loaded:
        view.changed_at_s = now_s
        view.is_loaded = True
    for row in rows:
        if row.key == tables.OWNER and row.version > view.owner_version:
            view.owner = tables.decode_owner(row.value)
            view.owner_version = row.version
            view.changed_at_s = now_s
        elif row.key == tables.BEAT and row.version > view.beat_version:
            view.beat = tables.decode_beat(row.value)
            view.beat_version = row.version
            view.changed_at_s = now_s
            view.sign = HolderSign.UNKNOWN


def may_claim(view: TermView, now_s: float, jitter_s: float) -> bool:
    """Returns whether the term is free.

    Args:
        view: What was read.
        now_s: Time on a clock that goes on while the VM is suspended.
        jitter_s: Delay of this VM, so that not all claim at once.
    """
    if not view.is_loaded or now_s - view.read_at_s > LAPSE_S:
        return False
    is_released = view.beat is not None and view.beat.is_released
    if view.owner is None or (is_released and view.beat.epoch == view.owner.epoch):
        return now_s - view.changed_at_s >= RELEASED_JITTER_RATIO * jitter_s
    lapse_s, jitter_ratio = _compute_lapse_s(view, now_s)
    return _compute_silence_s(view, now_s) > lapse_s + jitter_ratio * jitter_s


def _compute_lapse_s(view: TermView, now_s: float) -> tuple[float, float]:
    """Returns the silence after which the holder is replaced, and the share of the jitter."""
    sign = view.sign
    if view.sign_epoch != view.owner.epoch or now_s - view.sign_at_s > SIGN_AGE_S:
        sign = HolderSign.UNKNOWN
    match sign:
        case HolderSign.GONE:
            return SUSPECT_S, PROBED_JITTER_RATIO
        case HolderSign.UNREACHABLE:
            return UNREACHABLE_S, PROBED_JITTER_RATIO
        case HolderSign.ALIVE:
            # The store is slow. Claims would take turns with the holder's renewals in one part.
            return ALIVE_LAPSE_S, 1.0
    return LAPSE_S, 1.0


def compute_jitter_s(processor_cores: float, draw: float) -> float:
    """Returns how much later than others a VM claims.

    Answers the load pattern in which a burst makes the holder compute for most of its time: VMs
    with less than a whole core claim only if no larger one does.

    Args:
        processor_cores: Processor time that the VM has a second, in seconds.
        draw: A draw from 0 to 1, which spreads VMs of one size.
    """
    weakness = max(0.0, 1.0 - processor_cores)
    return CLAIM_SPREAD_S * draw + WEAK_VM_DELAY_S * weakness


def is_suspect(view: TermView, now_s: float) -> bool:
    """Returns whether the holder's heartbeat is overdue while the store answers."""
    if not view.is_loaded or view.owner is None or now_s - view.read_at_s > LAPSE_S:
        return False
    return _compute_silence_s(view, now_s) > SUSPECT_S


def note_sign(view: TermView, epoch: int, sign: HolderSign, now_s: float) -> bool:
    """Takes what the holder's VM answered; returns whether that is news."""
    is_new = (view.sign, view.sign_epoch) != (sign, epoch)
    view.sign, view.sign_epoch, view.sign_at_s = sign, epoch, now_s
    return is_new


def _compute_silence_s(view: TermView, now_s: float) -> float:
    """Returns the age of the holder's last sign of life, by either clock."""
    silence_s = now_s - view.changed_at_s
    if view.beat is not None and view.beat.sent_at_ms:
        age_s = (estimate_clock_ms(view, now_s) - view.beat.sent_at_ms) / 1000.0
        silence_s = max(silence_s, age_s)
    return silence_s


def estimate_clock_ms(view: TermView, now_s: float) -> int:
    """Returns the store's clock now, or 0 if it was never told."""
    if not view.clock_ms:
        return 0
    return view.clock_ms + int((now_s - view.read_at_s) * 1000.0)


def make_claim(
    view: TermView, claim_id: str, now_s: float
) -> tuple[tables.Owner, storage.Transaction]:
    """Returns the next term and the transaction that claims it."""
    epoch = (view.owner.epoch if view.owner else 0) + 1
    owner = tables.Owner(epoch, claim_id)
    beat = tables.Beat(
        epoch, False, view.beat.pending if view.beat else {}, estimate_clock_ms(view, now_s)
    )
    transaction = storage.Transaction(
        conditions=(
            storage.Condition(tables.OWNER, view.owner_version),
            storage.Condition(tables.BEAT, view.beat_version),
        ),
        writes=(
            storage.Write(tables.OWNER, tables.encode_owner(owner)),
            storage.Write(tables.BEAT, tables.encode_beat(beat)),
        ),
    )
    return owner, transaction
