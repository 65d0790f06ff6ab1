"""Backoff, retry budgets and circuit breakers for calls to external systems."""

import enum
import random
import threading
from collections.abc import Callable

__all__ = ["BreakerState", "CircuitBreaker", "RetryBudget", "compute_delay_s"]


def compute_delay_s(
    attempt: int, generator: random.Random, base_s: float = 0.05, cap_s: float = 2.0
) -> float:
    """Returns the delay before a retry, with exponential backoff and full jitter.

    Args:
        attempt: Number of failed attempts so far; at least 1.
        generator: Random number generator for the jitter.
        base_s: Upper bound of the first delay; the bound doubles with each further attempt.
        cap_s: Upper bound of all delays.
    """
    # The exponent is bounded because 2.0**1024 overflows a float.
    return generator.uniform(0.0, min(cap_s, base_s * 2.0 ** min(attempt - 1, 60)))


class RetryBudget:
    """Token bucket that limits retries to a fraction of the successful calls.

    Unlimited retries add load to a system that is already overloaded and keep it so. This budget
    allows ``ratio`` retries for each successful call, plus ``max_tokens`` retries at the start of
    an outage.
    """

    def __init__(self, ratio: float = 0.1, max_tokens: float = 10.0):
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens
        self._lock = threading.Lock()

    def record_success(self) -> None:
        """Adds ``ratio`` tokens, up to ``max_tokens``."""
        with self._lock:
            self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def take(self) -> bool:
        """Consumes one token for a retry; returns False if less than one token is left."""
        with self._lock:
            # The tolerance is needed because fractions such as 0.1 do not add up to exactly 1.
            if self._tokens < 1.0 - 1e-9:
                return False
            self._tokens -= 1.0
            return True


class BreakerState(enum.StrEnum):
    """State of a circuit breaker: all calls allowed, none, or a single probe."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Rejects calls after consecutive failures, then allows one probe at a time.

    Attributes:
        failure_threshold: Number of consecutive failures after which the breaker opens.
        base_s: Upper bound of the first open period; it doubles with each failed probe.
        cap_s: Upper bound of all open periods.
    """

    def __init__(
        self,
        monotonic_s: Callable[[], float],
        generator: random.Random,
        failure_threshold: int = 5,
        base_s: float = 0.5,
        cap_s: float = 5.0,
    ):
        self.failure_threshold = failure_threshold
        self.base_s = base_s
        self.cap_s = cap_s
        self._now = monotonic_s
        self._random = generator
        self._lock = threading.Lock()
        self._failures = 0
        self._probe_failures = 0
        self._state = BreakerState.CLOSED
        self._until_s = 0.0

    @property
    def state(self) -> BreakerState:
        """State as of the last call; stays open until ``allow`` admits a probe."""
        return self._state

    def allow(self) -> bool:
        """Returns whether a call is allowed now; the caller must record its outcome."""
        with self._lock:
            if self._state is BreakerState.CLOSED:
                return True
            if self._now() < self._until_s:
                return False
            # No other probe is allowed for ``cap_s``. After that, the next one is, even if the
            # outcome of this probe was never recorded.
            self._state = BreakerState.HALF_OPEN
            self._until_s = self._now() + self.cap_s
            return True

    def record_success(self) -> None:
        """Closes the breaker and resets its failure counts."""
        with self._lock:
            self._state = BreakerState.CLOSED
            self._failures = self._probe_failures = 0

    def record_failure(self) -> None:
        """Counts a failure; opens the breaker at the threshold or after a failed probe."""
        with self._lock:
            self._failures += 1
            if self._state is BreakerState.HALF_OPEN:
                self._probe_failures += 1
            elif self._state is BreakerState.OPEN or self._failures < self.failure_threshold:
                return
            self._state = BreakerState.OPEN
            limit_s = min(self.cap_s, self.base_s * 2.0 ** min(self._probe_failures, 60))
            # The open period is at least half of the limit, which bounds the rate of probes.
            self._until_s = self._now() + self._random.uniform(limit_s / 2, limit_s)
