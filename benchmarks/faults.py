"""Faults of a simulation, given by their times."""

import dataclasses

__all__ = ["FaultPlan", "is_table_down"]


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults with their times in seconds.

    Attributes:
        lost_workers: (time, worker number, time until it returns).
        broken_workers: (from, until, worker number): the worker fails every task in that interval.
        table_outages: (from, until): attempts cannot be recorded in that interval.
        cancel_waves: Times at which each open request is cancelled with a probability of 1/3.
    """

    lost_workers: tuple[tuple[float, int, float], ...] = ()
    broken_workers: tuple[tuple[float, float, int], ...] = ()
    table_outages: tuple[tuple[float, float], ...] = ()
    cancel_waves: tuple[float, ...] = ()


def is_table_down(plan: FaultPlan, now_s: float) -> bool:
    """Returns whether the table service is down at ``now_s``."""
    return any(start_s <= now_s < end_s for start_s, end_s in plan.table_outages)
