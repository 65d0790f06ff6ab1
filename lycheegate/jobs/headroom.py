"""Room that is kept free for urgent work.

Answers the load pattern in which short urgent jobs arrive every second while more long work waits
than fits. Without it, the room that an urgent job leaves is given to long work at once, and the
next urgent job stops that again: the urgent job waits for the stop, and the work done is lost.
"""

import dataclasses

from lycheegate.jobs import model

__all__ = [
    "Headroom",
    "UrgentDemand",
    "allows",
    "compute_reserve",
    "compute_share",
    "update_demand",
]

PERIOD_S = 4.0
"""A peak of urgent demand counts until the end of the period after its own. It is forgotten at
once then: a reserve that shrinks little by little would leave no whole worker free."""
MAX_RESERVE_RATIO = 0.15
"""Largest share of all room that is kept; the rest of a peak is met by preemption."""
ALWAYS_ALLOWED_RATIO = 0.5
"""Share of all room that may be used whatever the reserve, so that a calm pool holds nothing back
and a gang that is larger than the rest still runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentDemand:
    """Recent peak of what urgent work uses or waits for, in workers.

    Attributes:
        current: Peak in this period.
        previous: Peak in the period before.
        began_at_s: Begin of this period.
    """

    current: float = 0.0
    previous: float = 0.0
    began_at_s: float = 0.0

    @property
    def peak(self) -> float:
        """The peak of both periods."""
        return max(self.current, self.previous)


@dataclasses.dataclass(slots=True)
class Headroom:
    """Room of one service during a pass, in workers.

    Attributes:
        total: All room of usable workers.
        used: What is in use.
        reserve: What is kept free of work that is not urgent.
        largest: The most of each resource that a worker has; the unit of the amounts.
    """

    total: float = 0.0
    used: float = 0.0
    reserve: float = 0.0
    largest: model.Resources = model.Resources()


def compute_share(need: model.Resources, largest: model.Resources) -> float:
    """Returns the share of a worker that an amount takes, by the resource it needs most of.

    A task with all accelerators of a worker takes the whole worker, however few cores it needs.
    """
    return max(
        need.cpu_millicores / max(1, largest.cpu_millicores),
        need.memory_mb / max(1, largest.memory_mb),
        need.accelerators / max(1, largest.accelerators),
    )


def update_demand(known: UrgentDemand, demand: float, now_s: float) -> UrgentDemand:
    """Returns the recent peak after demand was observed."""
    periods = int((now_s - known.began_at_s) / PERIOD_S)
    if periods <= 0:
        return UrgentDemand(max(known.current, demand), known.previous, known.began_at_s)
    previous = known.current if periods == 1 else 0.0
    return UrgentDemand(demand, previous, known.began_at_s + periods * PERIOD_S)


def compute_reserve(demand: UrgentDemand, urgent_used: float, total: float) -> float:
    """Returns what is to be kept free beside what urgent work uses already."""
    return min(max(0.0, demand.peak - urgent_used), MAX_RESERVE_RATIO * total)


def allows(room: Headroom, need: float) -> bool:
    """Returns whether work that is not urgent may take an amount of room."""
    used = room.used + need
    return used <= max(room.total - room.reserve, ALWAYS_ALLOWED_RATIO * room.total)
