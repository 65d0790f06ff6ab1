"""Room that is kept free for urgent work.

Answers the load pattern in which short urgent jobs arrive every second while more long work waits
than fits. Without it, the room that an urgent job leaves is given to long work at once, and the
next urgent job stops that again: the urgent job waits for the stop, and the work done is lost.
"""

import dataclasses
import math

__all__ = ["Headroom", "UrgentDemand", "allows", "compute_reserve", "update_demand"]

DECAY_S = 5.0
"""Time constant with which a peak of urgent demand is forgotten."""
MAX_RESERVE_RATIO = 0.15
"""Largest share of all room that is kept; the rest of a peak is met by preemption."""
ALWAYS_ALLOWED_RATIO = 0.5
"""Share of all room that may be used whatever the reserve, so that a calm pool holds nothing back
and a gang that is larger than the rest still runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentDemand:
    """Recent peak of what urgent work uses or waits for, in cores.

    Attributes:
        peak: The peak.
        at_s: When it was computed.
    """

    peak: float = 0.0
    at_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Headroom:
    """Room of one service during a pass, in cores.

    Attributes:
        total: All room of usable workers.
        used: What is in use.
        reserve: What is kept free of work that is not urgent.
    """

    total: float = 0.0
    used: float = 0.0
    reserve: float = 0.0


def update_demand(known: UrgentDemand, demand: float, now_s: float) -> UrgentDemand:
    """Returns the recent peak after demand was observed."""
    faded = known.peak * math.exp(-max(0.0, now_s - known.at_s) / DECAY_S)
    return UrgentDemand(max(demand, faded), now_s)


def compute_reserve(demand: UrgentDemand, urgent_used: float, total: float) -> float:
    """Returns what is to be kept free beside what urgent work uses already."""
    return min(max(0.0, demand.peak - urgent_used), MAX_RESERVE_RATIO * total)


def allows(room: Headroom, need: float) -> bool:
    """Returns whether work that is not urgent may take an amount of room."""
    used = room.used + need
    return used <= max(room.total - room.reserve, ALWAYS_ALLOWED_RATIO * room.total)
