"""Caller over HTTP that retries with the same idempotency key until its request has ended."""

import dataclasses
import http.client
import json
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["Caller", "RequestResult", "Reply", "call"]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """HTTP response; ``body`` is decoded if it is JSON."""

    status: int
    headers: Mapping[str, str]
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of a request as its caller saw it.

    Attributes:
        end: End of the request, or ``lost`` if none was received within the limit.
        outcome: ``ok`` or ``failed`` for an answered request.
        body: The answer.
        request_id: Identifier assigned to the request, or an empty string.
        accepted: Whether any response reported the request as accepted.
        duration_s: Time from the first call to the end.
        reason: Reason in the last response.
    """

    end: str
    outcome: str = ""
    body: bytes = b""
    request_id: str = ""
    accepted: bool = False
    duration_s: float = 0.0
    reason: str = ""


def call(
    address: str,
    method: str,
    path: str,
    token: str,
    body: Any = None,
    key: str | None = None,
    timeout_s: float = 70.0,
) -> Reply:
    """Sends one HTTP request and returns the response.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The response was incomplete.
    """
    headers = {"Authorization": f"Bearer {token}"}
    if key is not None:
        headers["Idempotency-Key"] = key
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers["Content-Type"] = "application/json"
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        content: Any = response.read()
        response_headers = {name.lower(): value for name, value in response.getheaders()}
    finally:
        connection.close()
    if response_headers.get("content-type") == "application/json":
        content = json.loads(content)
    return Reply(response.status, response_headers, content)


class Caller:
    """Caller that picks an entry VM at random for each call, as a load balancer would."""

    def __init__(self, token: str, list_addresses: Callable[[], list[str]], seed: int = 0):
        self.token = token
        self._list_addresses = list_addresses
        self._random = random.Random(seed)

    def run(
        self,
        key: str,
        job_class: str,
        payload: Mapping[str, Any],
        limit_s: float = 60.0,
        wait_s: float = 5.0,
        **fields: Any,
    ) -> RequestResult:
        """Submits a request and retries until its end is known.

        A refusal counts as the end only if no earlier call with the same key can have started the
        request.
        """
        body = {"class": job_class, "payload": payload, "wait_s": wait_s, **fields}
        began_s = time.monotonic()
        accepted, may_have_started, reply = False, False, None
        while time.monotonic() - began_s < limit_s:
            address = self._random.choice(self._list_addresses())
            try:
                reply = call(address, "POST", "/v1/requests", self.token, body, key, wait_s + 20.0)
            except (OSError, http.client.HTTPException):
                may_have_started = True
                time.sleep(0.05)
                continue
            duration_s = time.monotonic() - began_s
            if reply.headers.get("content-type") != "application/json":
                request_id = reply.headers.get("x-request-id", "")
                return RequestResult("answered", "ok", reply.body, request_id, True, duration_s)
            content = reply.body
            covers_request = content.get("covers") == "request"
            accepted = accepted or covers_request
            if content.get("end") is not None and (
                covers_request
                or (content["end"] == "not_run" and not may_have_started and not accepted)
            ):
                if not covers_request and reply.status in (503, 429):
                    # Nothing was started; the response gives the delay before the next try.
                    time.sleep(min(0.2, content.get("retry_after_s") or 0.2))
                    if time.monotonic() - began_s < limit_s / 2:
                        continue
                return RequestResult(
                    content["end"],
                    content.get("outcome") or "",
                    b"",
                    content.get("request_id") or "",
                    accepted,
                    duration_s,
                    content.get("reason", ""),
                )
            may_have_started = may_have_started or reply.status == 504
            if reply.status in (503, 504, 429):
                time.sleep(0.1)
        return RequestResult("lost", accepted=accepted, duration_s=time.monotonic() - began_s)
