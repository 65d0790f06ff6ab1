"""Headroom: room that is kept free for urgent work.

Handles loads in which short urgent jobs arrive every second while more long work waits than fits.
Without headroom, the room that an urgent job frees would be given to long work at once and the
next urgent job would have to preempt it: the urgent job waits for the stop, and work is lost.
"""

import dataclasses

from lycheegate.jobs import model

__all__ = [
    "ServiceCapacity",
    "UrgentDemand",
    "admits",
    "compute_headroom",
    "compute_share",
    "update_demand",
]

PEAK_PERIOD_S = 4.0
"""A peak of urgent demand counts until the end of the period after the one it occurred in. It is
then dropped at once, because a headroom that shrank gradually would leave no whole worker free."""
MAX_HEADROOM_RATIO = 0.15
"""Maximum headroom as a share of the total capacity; preemption covers the rest of a peak."""
ALWAYS_ALLOWED_RATIO = 0.5
"""Share of the total capacity that any work may use regardless of the headroom, so that a lightly
loaded service delays no work and a gang too large for the remaining capacity still runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentDemand:
    """Recent peak of what urgent work uses and waits for, in workers.

    Attributes:
        current: Peak in the current period.
        previous: Peak in the previous period.
        began_at_s: Start of the current period.
    """

    current: float = 0.0
    previous: float = 0.0
    began_at_s: float = 0.0

    @property
    def peak(self) -> float:
        """The higher peak of the two periods."""
        return max(self.current, self.previous)


@dataclasses.dataclass(slots=True)
class ServiceCapacity:
    """Capacity of one service during a pass, in workers.

    Attributes:
        total: Total capacity of the usable workers.
        used: Capacity that is in use.
        headroom: Capacity that only urgent work may use.
        largest: Largest amount of each resource that any worker has; one worker of this size is
            the unit of the other amounts.
        cores: Total capacity in cores, an accelerator counting as several.
    """

    total: float = 0.0
    used: float = 0.0
    headroom: float = 0.0
    largest: model.Resources = model.Resources()
    cores: float = 0.0


def compute_share(need: model.Resources, largest: model.Resources) -> float:
    """Returns the share of a worker that an amount takes up, as the largest share of any resource.

    A task that needs all accelerators of a worker takes up the whole worker, however few cores it
    needs.
    """
    return max(
        need.cpu_millicores / max(1, largest.cpu_millicores),
        need.memory_mb / max(1, largest.memory_mb),
        need.accelerators / max(1, largest.accelerators),
    )


def update_demand(recent: UrgentDemand, demand: float, now_s: float) -> UrgentDemand:
    """Returns the recent peak, updated with the demand that was observed at ``now_s``."""
    periods = int((now_s - recent.began_at_s) / PEAK_PERIOD_S)
    if periods <= 0:
        return UrgentDemand(max(recent.current, demand), recent.previous, recent.began_at_s)
    previous = recent.current if periods == 1 else 0.0
    return UrgentDemand(demand, previous, recent.began_at_s + periods * PEAK_PERIOD_S)


def compute_headroom(demand: UrgentDemand, urgent_used: float, total: float) -> float:
    """Returns the capacity to keep free in addition to what urgent work already uses."""
    return min(max(0.0, demand.peak - urgent_used), MAX_HEADROOM_RATIO * total)


def admits(capacity: ServiceCapacity, need: float) -> bool:
    """Returns whether work that is not urgent may use ``need`` more of the capacity."""
    used = capacity.used + need
    return used <= max(capacity.total - capacity.headroom, ALWAYS_ALLOWED_RATIO * capacity.total)
