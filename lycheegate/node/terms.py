"""When a VM may claim the scheduler's term; pure.

The holder rewrites its heartbeat. An observer that reads the store and sees no change for
``LAPSE_S`` on its own clock, or a heartbeat that is older than that on the store's clock, claims
the next term, under the versions that it has seen. The store's clock lets VMs that have just
started claim a term whose holder is long gone without waiting.
"""

import dataclasses

from lycheegate.node import storage, tables

__all__ = [
    "LAPSE_S",
    "RENEW_S",
    "TermView",
    "estimate_clock_ms",
    "make_claim",
    "may_claim",
    "observe",
]

RENEW_S = 0.7
LAPSE_S = 1.9
"""Two renewals and the slowness of a store whose answers take half a second."""


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
    """

    owner: tables.Owner | None = None
    owner_version: int = storage.ABSENT
    beat: tables.Beat | None = None
    beat_version: int = storage.ABSENT
    changed_at_s: float = 0.0
    read_at_s: float = 0.0
    clock_ms: int = 0
    is_loaded: bool = False


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


def may_claim(view: TermView, now_s: float, jitter_s: float) -> bool:
    """Returns whether the term is free.

    Args:
        view: What was read.
        now_s: Time on a clock that goes on while the VM is suspended.
        jitter_s: Delay of this VM, so that not all claim at once.
    """
    if not view.is_loaded or now_s - view.read_at_s > LAPSE_S:
        return False
    if view.owner is None:
        return True
    if view.beat is not None and view.beat.is_released and view.beat.epoch == view.owner.epoch:
        return True
    if now_s - view.changed_at_s > LAPSE_S + jitter_s:
        return True
    if view.beat is None or not view.beat.sent_at_ms:
        return False
    age_s = (estimate_clock_ms(view, now_s) - view.beat.sent_at_ms) / 1000.0
    return age_s > LAPSE_S + jitter_s


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
