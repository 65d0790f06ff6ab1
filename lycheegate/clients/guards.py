"""Retries of requests to an outside system, under a budget and a circuit breaker."""

import dataclasses
import random
import time
from collections.abc import Callable
from concurrent import futures

from returns import result

from lycheegate.clients import http
from lycheegate.utils import backoff, exceptions

__all__ = ["Guard", "create_guard", "find_error", "send", "send_and_wait"]

HttpResult = http.HttpResult

_MAX_ATTEMPTS = 4
# Time beyond the request's own time-out that a waiting thread allows for the client's thread.
_WAIT_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """What all calls to one outside system share.

    Attributes:
        budget: Allows retries.
        breaker: Refuses calls while the system fails.
        generator: Source of jitter.
        monotonic_s: Clock.
    """

    budget: backoff.RetryBudget
    breaker: backoff.CircuitBreaker
    generator: random.Random
    monotonic_s: Callable[[], float]


def create_guard(
    generator: random.Random, monotonic_s: Callable[[], float] = time.monotonic
) -> Guard:
    """Returns a guard with the default budget and breaker."""
    breaker = backoff.CircuitBreaker(monotonic_s, generator)
    return Guard(backoff.RetryBudget(), breaker, generator, monotonic_s)


def find_error(response: http.Response) -> exceptions.LycheegateError | None:
    """Returns the failure that a server error stands for, or None for a proper answer."""
    if response.status == 503:
        return exceptions.UnavailableError("status 503")
    if response.status >= 500:
        # The system may have failed before or after the request took effect.
        return exceptions.OutcomeUnknownError(f"status {response.status}")
    return None


def send(
    client: http.HttpClient,
    guard: Guard,
    request: http.Request,
    repeatable: bool,
    find: Callable[[http.Response], exceptions.LycheegateError | None] = find_error,
) -> futures.Future[HttpResult]:
    """Sends a request, and again if that is safe and the budget allows it.

    A request that was not sent, or was refused, may always be sent again. One whose outcome is
    unknown is sent again only if it is ``repeatable``; if no attempt gives an answer, the outcome
    stays unknown, whatever the last attempt met.

    Args:
        client: HTTP client.
        guard: Budget and breaker of the outside system.
        request: The request.
        repeatable: Whether it may take effect twice.
        find: Tells which responses are failures.

    Returns:
        A future of the response. ``request.timeout_s`` bounds all attempts together.
    """
    future: futures.Future[HttpResult] = futures.Future()
    ends_s = guard.monotonic_s() + request.timeout_s
    unknown: list[exceptions.LycheegateError] = []

    def attempt(number: int) -> None:
        if not guard.breaker.allow():
            finish(result.Failure(exceptions.UnavailableError("circuit open")))
            return
        remaining_s = max(0.001, ends_s - guard.monotonic_s())
        current = dataclasses.replace(request, timeout_s=remaining_s)
        sent = client.send(current)
        sent.add_done_callback(lambda done: take_outcome(number, done.result()))

    def take_outcome(number: int, outcome: HttpResult) -> None:
        if isinstance(outcome, result.Success):
            found = find(outcome.unwrap())
            if found is None:
                guard.breaker.record_success()
                guard.budget.record_success()
                finish(outcome)
                return
            outcome = result.Failure(found)
        error = outcome.failure()
        guard.breaker.record_failure()
        may_repeat = isinstance(error, exceptions.UnavailableError)
        if isinstance(error, exceptions.OutcomeUnknownError):
            unknown.append(error)
            may_repeat = repeatable
        delay_s = backoff.compute_delay_s(number, guard.generator)
        in_time = guard.monotonic_s() + delay_s < ends_s
        if may_repeat and number < _MAX_ATTEMPTS and in_time and guard.budget.take():
            client.call_later(delay_s, lambda: attempt(number + 1))
        else:
            finish(outcome)

    def finish(outcome: HttpResult) -> None:
        if unknown and isinstance(outcome, result.Failure):
            outcome = result.Failure(unknown[-1])
        if future.set_running_or_notify_cancel():
            future.set_result(outcome)

    attempt(1)
    return future


def send_and_wait(
    client: http.HttpClient, guard: Guard, request: http.Request, repeatable: bool
) -> HttpResult:
    """Sends like ``send`` and waits for the outcome.

    Raises:
        RuntimeError: Called on the client's own thread, which would wait for itself.
    """
    if client.is_own_thread():
        raise RuntimeError("waiting on the thread of the HTTP client")
    future = send(client, guard, request, repeatable)
    try:
        return future.result(request.timeout_s + _WAIT_MARGIN_S)
    except futures.TimeoutError:
        return result.Failure(exceptions.OutcomeUnknownError("time-out"))
