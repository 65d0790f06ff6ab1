"""Retries requests to an external system, limited by a budget and a circuit breaker."""

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
# Time that a waiting thread grants the client's thread beyond the timeout of the request.
_WAIT_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """Retry state that all calls to one external system share.

    Attributes:
        budget: Limits retries.
        breaker: Refuses calls while the system fails.
        generator: Source of jitter.
        monotonic_s: Returns the monotonic time in seconds.
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
    """Returns the error for a response with a server error status, or None for any other."""
    if response.status == 503:
        return exceptions.UnavailableError("server refused the request with status 503")
    if response.status >= 500:
        # The server may have failed before or after the request took effect.
        return exceptions.OutcomeUnknownError(f"server failed with status {response.status}")
    return None


def send(
    client: http.HttpClient,
    guard: Guard,
    request: http.Request,
    repeatable: bool,
    find_failure: Callable[[http.Response], exceptions.LycheegateError | None] = find_error,
) -> futures.Future[HttpResult]:
    """Sends a request, and retries it if that is safe and the budget allows it.

    A request that was not sent or was refused is always safe to retry. One whose outcome is unknown
    is retried only if it is ``repeatable``. Once the outcome of an attempt is unknown, the outcome
    of the request is unknown unless a later attempt succeeds.

    Args:
        client: HTTP client.
        guard: Retry budget and circuit breaker of the external system.
        request: The request.
        repeatable: Whether the request may take effect more than once.
        find_failure: Returns the error that a response stands for, or None for a valid response.

    Returns:
        A future of the response. ``request.timeout_s`` limits all attempts together.
    """
    future: futures.Future[HttpResult] = futures.Future()
    ends_s = guard.monotonic_s() + request.timeout_s
    unknown_outcomes: list[exceptions.LycheegateError] = []

    def attempt(number: int) -> None:
        if not guard.breaker.allow():
            finish(
                result.Failure(
                    exceptions.UnavailableError(
                        f"{request.method} {request.url} not sent: circuit breaker is open"
                    )
                )
            )
            return
        remaining_s = max(0.001, ends_s - guard.monotonic_s())
        current = dataclasses.replace(request, timeout_s=remaining_s)
        response_future = client.send(current)
        response_future.add_done_callback(lambda done: handle_outcome(number, done.result()))

    def handle_outcome(number: int, outcome: HttpResult) -> None:
        if isinstance(outcome, result.Success):
            failure = find_failure(outcome.unwrap())
            if failure is None:
                guard.breaker.record_success()
                guard.budget.record_success()
                finish(outcome)
                return
            outcome = result.Failure(failure)
        error = outcome.failure()
        guard.breaker.record_failure()
        may_repeat = isinstance(error, exceptions.UnavailableError)
        if isinstance(error, exceptions.OutcomeUnknownError):
            unknown_outcomes.append(error)
            may_repeat = repeatable
        delay_s = backoff.compute_delay_s(number, guard.generator)
        in_time = guard.monotonic_s() + delay_s < ends_s
        if may_repeat and number < _MAX_ATTEMPTS and in_time and guard.budget.take():
            client.call_later(delay_s, lambda: attempt(number + 1))
        else:
            finish(outcome)

    def finish(outcome: HttpResult) -> None:
        if unknown_outcomes and isinstance(outcome, result.Failure):
            outcome = result.Failure(unknown_outcomes[-1])
        if future.set_running_or_notify_cancel():
            future.set_result(outcome)

    attempt(1)
    return future


def send_and_wait(
    client: http.HttpClient, guard: Guard, request: http.Request, repeatable: bool
) -> HttpResult:
    """Sends a request like ``send``, and waits for the outcome.

    Raises:
        RuntimeError: Called on the client's own thread, which would deadlock.
    """
    if client.is_own_thread():
        raise RuntimeError(
            f"{request.method} {request.url}: cannot wait on the HTTP client's own thread"
        )
    future = send(client, guard, request, repeatable)
    try:
        return future.result(request.timeout_s + _WAIT_MARGIN_S)
    except futures.TimeoutError:
        return result.Failure(
            exceptions.OutcomeUnknownError(
                f"{request.method} {request.url}: timeout, no outcome within "
                f"{request.timeout_s + _WAIT_MARGIN_S:g} s"
            )
        )
