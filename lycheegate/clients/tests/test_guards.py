"""Tests of the retries that all clients share."""

import random
from concurrent import futures

import pytest
from returns import result

from lycheegate.clients import guards, http
from lycheegate.utils import backoff, clock, exceptions

_UNAVAILABLE = exceptions.UnavailableError
_UNKNOWN = exceptions.OutcomeUnknownError
_PROTOCOL = exceptions.ProtocolError


class _ScriptedClient:
    """HTTP client with a script of outcomes, each a status or a class of error."""

    def __init__(self, script, fake_clock):
        self.script = list(script)
        self.sent = []
        self._clock = fake_clock

    def send(self, request):
        self.sent.append(request)
        step = self.script.pop(0)
        future = futures.Future()
        if isinstance(step, int):
            future.set_result(result.Success(http.Response(step, (), b"")))
        else:
            future.set_result(result.Failure(step("scripted")))
        return future

    def call_later(self, delay_s, function):
        self._clock.advance(delay_s)
        function()


def _run(script, repeatable, tokens=10.0, timeout_s=5.0, guard=None):
    fake = clock.FakeClock()
    generator = random.Random(4)
    if guard is None:
        breaker = backoff.CircuitBreaker(fake.monotonic_s, generator)
        budget = backoff.RetryBudget(max_tokens=tokens)
        guard = guards.Guard(budget, breaker, generator, fake.monotonic_s)
    client = _ScriptedClient(script, fake)
    request = http.Request("POST", "http://127.0.0.1:1/", timeout_s=timeout_s)
    outcome = guards.send(client, guard, request, repeatable).result(1.0)
    if isinstance(outcome, result.Success):
        return outcome.unwrap().status, len(client.sent)
    return type(outcome.failure()), len(client.sent)


@pytest.mark.parametrize(
    ("script", "repeatable", "expected", "sent"),
    [
        ([200], False, 200, 1),
        ([404], False, 404, 1),
        ([409], True, 409, 1),
        ([_UNAVAILABLE, 200], False, 200, 2),
        ([503, 200], False, 200, 2),
        ([503, 503, 503, 503], False, _UNAVAILABLE, 4),
        ([_UNKNOWN, 200], False, _UNKNOWN, 1),
        ([500, 200], False, _UNKNOWN, 1),
        ([_UNKNOWN, 200], True, 200, 2),
        ([500, 200], True, 200, 2),
        ([_PROTOCOL, 200], True, _PROTOCOL, 1),
        # The outcome of the first attempt is unknown, whatever the other outcomes are.
        ([_UNKNOWN, _UNAVAILABLE, 503, _UNAVAILABLE], True, _UNKNOWN, 4),
        ([_UNAVAILABLE, _UNKNOWN, 200], False, _UNKNOWN, 2),
    ],
)
def test_retries(script, repeatable, expected, sent):
    """Guards against unsafe retries of writes, and a lost write that is reported as not sent."""
    assert _run(script, repeatable) == (expected, sent)


def test_no_retry_without_budget():
    """Guards against retries that multiply the load of a failing system."""
    assert _run([503, 200], True, tokens=0.0) == (_UNAVAILABLE, 1)


def test_no_retry_past_the_timeout():
    """Guards against a retry after the timeout, whose answer nobody waits for."""
    assert _run([503, 200], True, timeout_s=1e-6) == (_UNAVAILABLE, 1)


def test_open_breaker():
    """Guards against requests to a system that has failed in all recent calls."""
    fake = clock.FakeClock()
    generator = random.Random(4)
    breaker = backoff.CircuitBreaker(fake.monotonic_s, generator)
    guard = guards.Guard(backoff.RetryBudget(), breaker, generator, fake.monotonic_s)
    outcomes = [_run([503] * 9, True, guard=guard) for _ in range(20)]
    assert sum(sent for _, sent in outcomes) == 5
    assert {outcome for outcome, _ in outcomes} == {_UNAVAILABLE}
    fake.advance(10.0)
    assert _run([200], True, guard=guard) == (200, 1)
    assert breaker.state is backoff.BreakerState.CLOSED


def test_breaker_opens_during_retries():
    """Guards against a lost write that an open breaker reports as not sent."""
    fake = clock.FakeClock()
    generator = random.Random(4)
    breaker = backoff.CircuitBreaker(fake.monotonic_s, generator, failure_threshold=1)
    guard = guards.Guard(backoff.RetryBudget(), breaker, generator, fake.monotonic_s)
    assert _run([_UNKNOWN, 200], True, guard=guard) == (_UNKNOWN, 1)
