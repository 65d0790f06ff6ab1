"""Run times learned per caller and class.

Declared run times are far from the truth, so they are not used. An estimate is the median of the
logarithms of the last run times. It ranks candidates, and it tells when a request can no longer be
answered by its deadline.
"""

import math
import statistics

from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = ["estimate_run_s", "is_hopeless", "observe_run"]

_SAMPLES = 15
_MIN_SAMPLES = 5
_MAX_KEYS = 4000
# Run times spread by a factor of two around the median, so half the median is the least time that
# a request is assumed to need.
_LEAST_SHARE = 0.5
# One request in this many is started although its estimate says that it is hopeless; without
# that, an estimate that is too long would never be corrected.
_TRIAL_INTERVAL = 10


def observe_run(
    state: partition_state.PartitionState, request: requests.Request, run_s: float
) -> None:
    """Adds the run time of a finished request."""
    key = (request.caller, request.job_class)
    samples = state.estimates.pop(key, None)
    if samples is None:
        samples = []
        if len(state.estimates) >= _MAX_KEYS:
            del state.estimates[next(iter(state.estimates))]
    # Insertion order is the order of use, so that the least recently used key goes first.
    state.estimates[key] = samples
    samples.append(math.log(max(run_s, 1e-3)))
    del samples[:-_SAMPLES]


def estimate_run_s(
    state: partition_state.PartitionState, request: requests.Request
) -> float | None:
    """Returns the expected run time in seconds, or None with too few observations."""
    samples = state.estimates.get((request.caller, request.job_class))
    if samples is None or len(samples) < _MIN_SAMPLES:
        return None
    return math.exp(statistics.median(samples))


def is_hopeless(state: partition_state.PartitionState, job: partition_state.Job) -> bool:
    """Returns whether an answer by the deadline is out of reach."""
    request = job.request
    if request.deadline_at_s is None:
        return False
    if state.now_s >= request.deadline_at_s:
        return True
    run_s = estimate_run_s(state, request)
    if run_s is None or state.now_s + _LEAST_SHARE * run_s < request.deadline_at_s:
        return False
    if not job.is_trial:
        key = (request.caller, request.job_class)
        if len(state.hopeless) >= _MAX_KEYS and key not in state.hopeless:
            state.hopeless.clear()
        state.hopeless[key] = state.hopeless.get(key, 0) + 1
        job.is_trial = state.hopeless[key] % _TRIAL_INTERVAL == 0
    return not job.is_trial
