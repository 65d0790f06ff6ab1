"""Tests of backoff, retry budgets and circuit breakers."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from lycheegate.utils import backoff, clock


@hypothesis.given(attempt=st.integers(1, 5000), seed=st.integers(0, 1000))
def test_delay_is_bounded(attempt, seed):
    """Guards against a delay outside its bounds, and an overflow after many attempts."""
    delay_s = backoff.compute_delay_s(attempt, random.Random(seed), 0.1, 3.0)
    assert 0.0 <= delay_s <= min(3.0, 0.1 * 2 ** min(attempt - 1, 20))


def test_delay_has_full_jitter():
    """Guards against callers that all retry at the same time."""
    generator = random.Random(1)
    delays = [backoff.compute_delay_s(4, generator, 0.1, 10.0) for _ in range(2000)]
    for low in (0.0, 0.2, 0.4, 0.6):
        fraction = sum(low <= delay < low + 0.2 for delay in delays) / len(delays)
        assert 0.2 < fraction < 0.3


@hypothesis.given(st.lists(st.booleans(), max_size=400))
def test_budget_bounds_retries(outcomes):
    """Guards against more retries than ``max_tokens`` plus the fraction of successes."""
    budget = backoff.RetryBudget(ratio=0.25, max_tokens=4.0)
    retries = successes = 0
    for success in outcomes:
        if success:
            budget.record_success()
            successes += 1
        elif budget.take():
            retries += 1
        assert retries <= 4 + 0.25 * successes


def test_successes_refill_the_budget():
    """Guards against a budget that is never refilled.

    Rounding errors of the fraction must not delay the retry by one more success.
    """
    budget = backoff.RetryBudget(ratio=0.1, max_tokens=1.0)
    assert budget.take()
    assert not budget.take()
    for _ in range(10):
        budget.record_success()
    assert budget.take()


_OK, _FAIL, _ALLOW, _DENY = "ok", "fail", "allow", "deny"


@pytest.mark.parametrize(
    ("steps", "state"),
    [
        ([_FAIL, _FAIL, _ALLOW], "closed"),
        ([_FAIL, _FAIL, _OK, _FAIL, _FAIL, _ALLOW], "closed"),
        ([_FAIL, _FAIL, _FAIL, _DENY], "open"),
        ([_FAIL, _FAIL, _FAIL, 0.49, _DENY], "open"),
        ([_FAIL, _FAIL, _FAIL, 1.01, _ALLOW, _DENY], "half_open"),
        ([_FAIL, _FAIL, _FAIL, 1.01, _ALLOW, _OK, _ALLOW, _ALLOW], "closed"),
        ([_FAIL, _FAIL, _FAIL, 1.01, _ALLOW, _FAIL, _DENY, 0.9, _DENY], "open"),
        ([_FAIL, _FAIL, _FAIL, 1.01, _ALLOW, _FAIL, 2.01, _ALLOW, _DENY], "half_open"),
        # After cap_s, another probe is allowed even if the first one has no recorded outcome.
        ([_FAIL, _FAIL, _FAIL, 1.01, _ALLOW, 7.9, _DENY, 0.2, _ALLOW], "half_open"),
        # Failures of calls that started before the breaker opened do not prolong the open period.
        ([_FAIL, _FAIL, _FAIL, 0.4, _FAIL, _FAIL, 0.61, _ALLOW], "half_open"),
    ],
)
def test_breaker(steps, state):
    """Guards against a breaker that opens too late, allows too many probes or never closes."""
    fake = clock.FakeClock()
    breaker = backoff.CircuitBreaker(
        fake.monotonic_s, random.Random(2), failure_threshold=3, base_s=1.0, cap_s=8.0
    )
    for step in steps:
        if step == _OK:
            breaker.record_success()
        elif step == _FAIL:
            breaker.record_failure()
        elif step in (_ALLOW, _DENY):
            assert breaker.allow() == (step == _ALLOW)
        else:
            fake.advance(step)
    assert breaker.state == state


def test_probe_rate_is_bounded():
    """Guards against continuous probing of a system that is down."""
    fake = clock.FakeClock()
    breaker = backoff.CircuitBreaker(fake.monotonic_s, random.Random(2))
    calls = 0
    for _ in range(60_000):
        if breaker.allow():
            calls += 1
            breaker.record_failure()
        fake.advance(0.01)
    # 5 failures open the breaker; then there is one probe every 2.5 s to 5 s, for 600 s.
    assert calls <= 5 + 600 / 2.5
