"""Faults of a benchmark run, given by their times."""

import dataclasses

__all__ = ["FaultPlan", "is_store_down"]


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults, by time in seconds.

    Attributes:
        lost_workers: (time, worker number, time until it returns).
        broken_workers: (from, until, worker number): fails every task in that time.
        store_outages: (from, until): attempts cannot be recorded.
        cancel_waves: Times at which a third of all live requests is cancelled.
    """

    lost_workers: tuple[tuple[float, int, float], ...] = ()
    broken_workers: tuple[tuple[float, float, int], ...] = ()
    store_outages: tuple[tuple[float, float], ...] = ()
    cancel_waves: tuple[float, ...] = ()


def is_store_down(plan: FaultPlan, now_s: float) -> bool:
    """Returns whether the table service is down at ``now_s`` seconds."""
    return any(start_s <= now_s < end_s for start_s, end_s in plan.store_outages)
