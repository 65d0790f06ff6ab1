"""What tells the incarnations of a worker apart.

A worker may restart under its identifier and address. The next incarnation carries out calls that
were meant for the former one, and has none of its memory: its clock and its numbers of ends begin
anew, and it has seen no epoch and no run. Only a report names its incarnation. An answer to an
order names none, but its reading of the clock shows whether the known incarnation can have given
it, because the clocks of later ones stand earlier.
"""

import dataclasses

from lycheegate.jobs import state

__all__ = ["ClockRange", "compute_clock_range"]

CLOCK_TOLERANCE_MS = 20
"""Allowance for the rounding of a worker's clock and the delays of measuring it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClockRange:
    """Readings of its clock that the known incarnation of a worker can give, in milliseconds.

    Attributes:
        least_ms: Least reading.
        most_ms: Greatest reading.
    """

    least_ms: int
    most_ms: int

    def includes(self, clock_ms: int) -> bool:
        """Returns whether the known incarnation can have given a reading."""
        return self.least_ms <= clock_ms <= self.most_ms


def compute_clock_range(
    current: state.SchedulerState, worker: state.WorkerState, sent_at_s: float, now_s: float
) -> ClockRange | None:
    """Computes what the known incarnation of a worker can answer to a call.

    Args:
        current: State of the scheduler.
        worker: The worker.
        sent_at_s: When the call was sent.
        now_s: When its answer was received.

    Returns:
        The range, or None if no reading of the clock is known.
    """
    if not worker.incarnation.clock_ms:
        return None
    slowest_ratio = 1.0 - current.policy.clock_slowness_ratio
    at_least_s = max(0.0, sent_at_s - worker.incarnation.clock_at_s) * slowest_ratio
    at_most_s = now_s - worker.incarnation.clock_sent_at_s
    return ClockRange(
        worker.incarnation.clock_ms + int(at_least_s * 1000.0) - CLOCK_TOLERANCE_MS,
        worker.incarnation.clock_ms + int(at_most_s * 1000.0) + CLOCK_TOLERANCE_MS,
    )
