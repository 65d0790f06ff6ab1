"""Backoff, retry budgets and circuit breakers for calls to outside systems."""

import enum
import random
import threading
from collections.abc import Callable

__all__ = ["BreakerState", "CircuitBreaker", "RetryBudget", "compute_delay_s"]


def compute_delay_s(
    attempt: int, generator: random.Random, base_s: float = 0.05, cap_s: float = 2.0
) -> float:
    """Returns the delay before a retry: exponential backoff with full jitter.

    Args:
        attempt: Number of failed attempts so far, from 1.
        generator: Source of the jitter.
        base_s: Upper bound of the first delay; it doubles with each further attempt.
        cap_s: Upper bound of all delays.
    """
    # The exponent is bounded because 2**attempt overflows a float at 1,024.
    return generator.uniform(0.0, min(cap_s, base_s * 2.0 ** min(attempt - 1, 60)))


class RetryBudget:
    """Token bucket that allows retries as a share of successes.

    Retries are the extra load that keeps an overloaded system overloaded. With this budget they
    add at most ``ratio`` to the load, apart from ``max_tokens`` at the start of an outage.
    """

    def __init__(self, ratio: float = 0.1, max_tokens: float = 10.0):
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens
        self._lock = threading.Lock()

    def record_success(self) -> None:
        """Adds the share that one success earns."""
        with self._lock:
            self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def take(self) -> bool:
        """Takes the token of one retry; returns whether there was one."""
        with self._lock:
            # Shares such as 0.1 do not add up to exactly 1.
            if self._tokens < 1.0 - 1e-9:
                return False
            self._tokens -= 1.0
            return True


class BreakerState(enum.StrEnum):
    """Whether a circuit breaker lets calls through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Refuses calls after consecutive failures, and lets one probe through at a time.

    Attributes:
        failure_threshold: Consecutive failures that open it.
        base_s: Upper bound of the first time that it stays open; doubles with each failed probe.
        cap_s: Upper bound of that time.
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
        """The state as of the last call."""
        return self._state

    def allow(self) -> bool:
        """Returns whether a call may be made now; its outcome must be recorded."""
        with self._lock:
            if self._state is BreakerState.CLOSED:
                return True
            if self._now() < self._until_s:
                return False
            # The probe holds the breaker for ``cap_s``. A probe whose outcome was never recorded
            # does not block it for longer.
            self._state = BreakerState.HALF_OPEN
            self._until_s = self._now() + self.cap_s
            return True

    def record_success(self) -> None:
        """Closes the breaker."""
        with self._lock:
            self._state = BreakerState.CLOSED
            self._failures = self._probe_failures = 0

    def record_failure(self) -> None:
        """Counts a failure, and opens the breaker at the threshold or after a failed probe."""
        with self._lock:
            self._failures += 1
            if self._state is BreakerState.HALF_OPEN:
                self._probe_failures += 1
            elif self._state is BreakerState.OPEN or self._failures < self.failure_threshold:
                return
            self._state = BreakerState.OPEN
            limit_s = min(self.cap_s, self.base_s * 2.0 ** min(self._probe_failures, 60))
            # At least half of the limit, so that a process does not probe without pause.
            self._until_s = self._now() + self._random.uniform(limit_s / 2, limit_s)
