"""How fast workers are, learned from tasks of one step that ran on several of them.

Answers the load pattern in which short urgent jobs meet workers of unequal speed: what a slow
worker adds to them is more than their objective leaves. Declared durations are too far from the
truth to tell a slow worker from a long task, but tasks of one step are alike.
"""

import statistics

from lycheegate.jobs import state

__all__ = ["is_slow", "record_duration"]

MIN_PEERS = 4
"""Ended tasks of a step from which on another one is compared with them."""
MAX_PEERS = 30
GAIN = 0.2
"""Weight of a new comparison; single tasks of a step differ by half of their duration."""
SLOW_RATIO = 1.1
"""Duration against that of like tasks above which a worker counts as slow."""
MIN_COMPARISONS = 3


def record_duration(worker: state.WorkerState, step: state.StepState, duration_s: float) -> None:
    """Compares an ended task with the others of its step."""
    if len(step.durations_s) >= MIN_PEERS:
        ratio = duration_s / max(0.001, statistics.median(step.durations_s))
        worker.slowness += GAIN * (min(ratio, 2.0) - worker.slowness)
        worker.comparisons += 1
    if len(step.durations_s) < MAX_PEERS:
        step.durations_s.append(duration_s)


def is_slow(worker: state.WorkerState) -> bool:
    """Returns whether a worker is known to be slower than others."""
    return worker.comparisons >= MIN_COMPARISONS and worker.slowness > SLOW_RATIO
