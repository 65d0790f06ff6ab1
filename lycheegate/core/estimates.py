"""Run time estimates for each caller and job class.

Declared run times are unreliable and not used. The estimate is the exponential of the median of
the logarithms of the most recent run times. It is used to rank candidates and to detect requests
that can no longer be answered by their deadline.
"""

import math
import statistics

from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = ["estimate_run_s", "record_run_time", "will_miss_deadline"]

_SAMPLES = 15
_MIN_SAMPLES = 5
_MAX_KEYS = 4000
# Run times spread by a factor of two around the median, so a request is assumed to need at least
# half the median.
_MIN_RUN_TIME_RATIO = 0.5
# One request in this many is started although its estimated run time exceeds its deadline.
# Otherwise an estimate that is too long would never be corrected.
_EXPLORATION_INTERVAL = 10


def record_run_time(
    state: partition_state.PartitionState, request: requests.Request, run_s: float
) -> None:
    """Adds the run time of a finished request to the samples of its caller and class."""
    key = (request.caller, request.job_class)
    samples = state.estimates.pop(key, None)
    if samples is None:
        samples = []
        if len(state.estimates) >= _MAX_KEYS:
            del state.estimates[next(iter(state.estimates))]
    # Keys are kept in order of use, so that the least recently used key is evicted first.
    state.estimates[key] = samples
    samples.append(math.log(max(run_s, 1e-3)))
    del samples[:-_SAMPLES]


def estimate_run_s(
    state: partition_state.PartitionState, request: requests.Request
) -> float | None:
    """Returns the expected run time in seconds, or None if there are too few samples."""
    samples = state.estimates.get((request.caller, request.job_class))
    if samples is None or len(samples) < _MIN_SAMPLES:
        return None
    return math.exp(statistics.median(samples))


def will_miss_deadline(state: partition_state.PartitionState, job: partition_state.Job) -> bool:
    """Returns whether a request can no longer be answered by its deadline.

    Also counts the requests that the estimate rules out, and lets one in
    ``_EXPLORATION_INTERVAL`` of them start nevertheless.
    """
    request = job.request
    if request.deadline_at_s is None:
        return False
    if state.now_s >= request.deadline_at_s:
        return True
    run_s = estimate_run_s(state, request)
    if run_s is None or state.now_s + _MIN_RUN_TIME_RATIO * run_s < request.deadline_at_s:
        return False
    if not job.is_trial:
        key = (request.caller, request.job_class)
        if len(state.hopeless) >= _MAX_KEYS and key not in state.hopeless:
            state.hopeless.clear()
        state.hopeless[key] = state.hopeless.get(key, 0) + 1
        job.is_trial = state.hopeless[key] % _EXPLORATION_INTERVAL == 0
    return not job.is_trial
