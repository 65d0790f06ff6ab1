"""Client of the platform's object store."""

import hashlib
import random
import time
import urllib.parse
from collections.abc import Callable

from returns import result

from lycheegate.clients import guards, http
from lycheegate.utils import exceptions

__all__ = ["ObjectStore"]

Failure = result.Failure


class ObjectStore:
    """Object store over HTTP.

    Each key is written with one content only, so that a put can be retried when its answer was
    lost. Callers must choose keys that identify the content, such as the key of an attempt's
    answer.

    All calls block, and fail with ``UnavailableError`` (no effect), ``OutcomeUnknownError`` (a put
    or deletion may have taken effect) or ``ProtocolError`` (the content is damaged or too large).
    """

    def __init__(
        self,
        client: http.HttpClient,
        url: str,
        generator: random.Random,
        max_object_bytes: int = 64 << 20,
        monotonic_s: Callable[[], float] = time.monotonic,
    ):
        self._client = client
        self._url = url.rstrip("/")
        self._max_object_bytes = max_object_bytes
        self._guard = guards.create_guard(generator, monotonic_s)

    def put(
        self, key: str, data: bytes, timeout_s: float = 10.0
    ) -> result.Result[None, exceptions.LycheegateError]:
        """Stores an object."""
        if len(data) > self._max_object_bytes:
            return Failure(
                exceptions.ProtocolError(
                    f"object {key} exceeds {self._max_object_bytes} bytes: got {len(data)}"
                )
            )
        headers = (
            "Content-Type: application/octet-stream",
            f"X-Sha256: {hashlib.sha256(data).hexdigest()}",
        )
        return self._change(http.Request("PUT", self._make_url(key), data, headers, timeout_s))

    def delete(
        self, key: str, timeout_s: float = 5.0
    ) -> result.Result[None, exceptions.LycheegateError]:
        """Deletes an object; succeeds if it is absent."""
        return self._change(http.Request("DELETE", self._make_url(key), timeout_s=timeout_s))

    def get(
        self, key: str, timeout_s: float = 10.0
    ) -> result.Result[bytes | None, exceptions.LycheegateError]:
        """Returns an object, or None if it is absent.

        Verifies the checksum if the store sends one.
        """
        request = http.Request(
            "GET",
            self._make_url(key),
            timeout_s=timeout_s,
            max_body_bytes=self._max_object_bytes,
        )
        outcome = guards.send_and_wait(self._client, self._guard, request, repeatable=True)
        if isinstance(outcome, Failure):
            error = outcome.failure()
            if isinstance(error, exceptions.OutcomeUnknownError):
                error = exceptions.UnavailableError(str(error))
            return Failure(error)
        response = outcome.unwrap()
        if response.status == 404:
            return result.Success(None)
        if response.status != 200:
            return Failure(
                exceptions.UnavailableError(
                    f"object {key}: expected status 200 or 404, got {response.status}"
                )
            )
        stated = response.get_header("x-sha256")
        if stated is not None and stated != hashlib.sha256(response.body).hexdigest():
            return Failure(
                exceptions.ProtocolError(
                    f"object {key}: checksum mismatch: the body of {len(response.body)} bytes does "
                    f"not match the checksum {stated!r:.80} in the header"
                )
            )
        return result.Success(response.body)

    def _make_url(self, key: str) -> str:
        return f"{self._url}/v1/objects/{urllib.parse.quote(key, safe='/')}"

    def _change(self, request: http.Request) -> result.Result[None, exceptions.LycheegateError]:
        outcome = guards.send_and_wait(self._client, self._guard, request, repeatable=True)
        if isinstance(outcome, Failure):
            return Failure(outcome.failure())
        status = outcome.unwrap().status
        if status not in (200, 201, 204) and not (request.method == "DELETE" and status == 404):
            return Failure(
                exceptions.UnavailableError(
                    f"{request.method} {request.url}: unexpected status {status}"
                )
            )
        return result.Success(None)
