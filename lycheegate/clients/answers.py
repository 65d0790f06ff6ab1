"""Fetches answers from workers and verifies their integrity."""

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
    """An answer to fetch, with its expected properties.

    Attributes:
        url: URL of the answer.
        request_id: Identifier of the request that the answer must belong to.
        length: Length in bytes that the worker reported when the task finished, or None if
            unknown.
        sha256: SHA-256 checksum that the worker reported when the task finished, or None if
            unknown.
        timeout_s: Timeout of each attempt.
        max_bytes: Maximum size of the answer.
    """

    url: str
    request_id: str
    length: int | None = None
    sha256: str | None = None
    timeout_s: float = 30.0
    max_bytes: int = 64 << 20


def check_answer(request: AnswerRequest, response: http.Response) -> AnswerResult:
    """Returns the answer if it is complete, unaltered and belongs to the request.

    Failures: ``UnavailableError`` if the status is not 200, ``ProtocolError`` if the answer is
    invalid.
    """
    if response.status != 200:
        return result.Failure(
            exceptions.UnavailableError(
                f"request {request.request_id}: answer: expected status 200, got {response.status}"
            )
        )
    if response.get_header("x-request-id") != request.request_id:
        return result.Failure(
            exceptions.ProtocolError(
                f"answer of another request: expected {request.request_id}, "
                f"got {response.get_header('x-request-id')!r:.80}"
            )
        )
    digest = hashlib.sha256(response.body).hexdigest()
    stated = response.get_header("x-sha256") or ""
    if not hmac.compare_digest(digest, stated.lower()):
        return result.Failure(
            exceptions.ProtocolError(
                f"request {request.request_id}: answer checksum mismatch: "
                f"header states {stated!r:.80}, body has {digest}"
            )
        )
    if request.sha256 is not None and request.sha256 != digest:
        return result.Failure(
            exceptions.ProtocolError(
                f"request {request.request_id}: answer checksum mismatch: "
                f"event reported {request.sha256}, body has {digest}"
            )
        )
    length = request.length
    if response.get_header("content-length") is None or length not in (None, len(response.body)):
        return result.Failure(
            exceptions.ProtocolError(
                f"request {request.request_id}: answer length mismatch: event reported {length}, "
                f"Content-Length is {response.get_header('content-length')!r:.80}, "
                f"body has {len(response.body)} bytes"
            )
        )
    return result.Success(response.body)


def fetch_answer(
    client: http.HttpClient, guard: guards.Guard, request: AnswerRequest
) -> futures.Future[AnswerResult]:
    """Fetches an answer; retries an invalid one if the retry budget allows it.

    Args:
        client: HTTP client.
        guard: Retry budget and circuit breaker of the worker.
        request: The answer to fetch.

    Returns:
        A future of the verified answer. Failures: ``UnavailableError`` if the worker is unreachable
        or has no answer, ``ProtocolError`` if the answer is too large or remains invalid.
    """
    future: futures.Future[AnswerResult] = futures.Future()

    def attempt(number: int) -> None:
        fetch = http.Request(
            "GET", request.url, timeout_s=request.timeout_s, max_body_bytes=request.max_bytes
        )
        sent = guards.send(client, guard, fetch, repeatable=True)
        sent.add_done_callback(lambda done: handle_response(number, done.result()))

    def handle_response(number: int, outcome: http.HttpResult) -> None:
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            if not isinstance(error, exceptions.ProtocolError):
                error = exceptions.UnavailableError(str(error))
            finish(result.Failure(error))
            return
        answer = check_answer(request, outcome.unwrap())
        is_invalid = isinstance(answer, result.Failure) and isinstance(
            answer.failure(), exceptions.ProtocolError
        )
        if is_invalid and number < _MAX_ATTEMPTS and guard.budget.take():
            delay_s = backoff.compute_delay_s(number, guard.generator)
            client.call_later(delay_s, lambda: attempt(number + 1))
        else:
            finish(answer)

    def finish(answer: AnswerResult) -> None:
        if future.set_running_or_notify_cancel():
            future.set_result(answer)

    attempt(1)
    return future
