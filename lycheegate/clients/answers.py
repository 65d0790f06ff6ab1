"""Fetches answers from workers and checks that they are whole."""

import dataclasses
import hashlib
import hmac
from concurrent import futures

from returns import result

from lycheegate.clients import guards, http
from lycheegate.utils import backoff, exceptions

__all__ = ["AnswerRequest", "check_answer", "fetch_answer"]

AnswerResult = result.Result[bytes, exceptions.LycheegateError]

_MAX_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequest:
    """What to fetch, and what it must be.

    Attributes:
        url: URL of the answer.
        request_id: The request that it must belong to.
        length: Length that the worker stated when the task finished, or None if not known.
        sha256: Digest that the worker stated then, or None if not known.
        timeout_s: Time of each attempt.
        max_bytes: Largest accepted answer.
    """

    url: str
    request_id: str
    length: int | None = None
    sha256: str | None = None
    timeout_s: float = 30.0
    max_bytes: int = 64 << 20


def check_answer(request: AnswerRequest, response: http.Response) -> AnswerResult:
    """Returns the answer if it is whole and belongs to the request."""
    if response.status != 200:
        return result.Failure(exceptions.UnavailableError(f"status {response.status}"))
    if response.get_header("x-request-id") != request.request_id:
        return result.Failure(exceptions.ProtocolError("answer of another request"))
    digest = hashlib.sha256(response.body).hexdigest()
    stated = response.get_header("x-sha256") or ""
    if not hmac.compare_digest(digest, stated.lower()):
        return result.Failure(exceptions.ProtocolError("wrong digest"))
    if request.sha256 is not None and request.sha256 != digest:
        return result.Failure(exceptions.ProtocolError("not the answer that was announced"))
    length = request.length
    if response.get_header("content-length") is None or length not in (None, len(response.body)):
        return result.Failure(exceptions.ProtocolError("wrong length"))
    return result.Success(response.body)


def fetch_answer(
    client: http.HttpClient, guard: guards.Guard, request: AnswerRequest
) -> futures.Future[AnswerResult]:
    """Fetches an answer; a broken one is fetched again if the budget allows it.

    Returns:
        A future of the whole answer. Failures: ``UnavailableError`` if the worker has none or
        was not reached, ``ProtocolError`` if it stayed broken or is too large.
    """
    future: futures.Future[AnswerResult] = futures.Future()

    def attempt(number: int) -> None:
        fetch = http.Request(
            "GET", request.url, timeout_s=request.timeout_s, max_body_bytes=request.max_bytes
        )
        sent = guards.send(client, guard, fetch, repeatable=True)
        sent.add_done_callback(lambda done: check(number, done.result()))

    def check(number: int, outcome: http.HttpResult) -> None:
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            if not isinstance(error, exceptions.ProtocolError):
                error = exceptions.UnavailableError(str(error))
            finish(result.Failure(error))
            return
        answer = check_answer(request, outcome.unwrap())
        broken = isinstance(answer, result.Failure) and isinstance(
            answer.failure(), exceptions.ProtocolError
        )
        if broken and number < _MAX_ATTEMPTS and guard.budget.take():
            delay_s = backoff.compute_delay_s(number, guard.generator)
            client.call_later(delay_s, lambda: attempt(number + 1))
        else:
            finish(answer)

    def finish(answer: AnswerResult) -> None:
        if future.set_running_or_notify_cancel():
            future.set_result(answer)

    attempt(1)
    return future
