"""Pacing of scheduling passes.

Handles loads in which hundreds of runs end each second while more work waits than fits. A pass
after each of these events would take most of the processor time of the scheduler's VM, and the
answers of callers and workers would wait for it.
"""

__all__ = ["compute_pass_delay_s"]

MIN_PASS_DELAY_S = 0.004
"""Delay that batches events which arrive close together."""
MAX_PASS_DELAY_S = 0.06
"""Limit of the delay, well below the objective of urgent jobs."""
IDLE_PASS_INTERVAL_S = 0.05
"""Shortest time between passes for reports without a change, of which thousands of workers send
more than a thousand a second."""
IDLE_RATIO = 2.0
"""Time between two passes as a multiple of the duration of a pass."""


def compute_pass_delay_s(duration_s: float) -> float:
    """Returns the delay before the next pass, from the duration of the last one in seconds."""
    return min(MAX_PASS_DELAY_S, max(MIN_PASS_DELAY_S, IDLE_RATIO * duration_s))
