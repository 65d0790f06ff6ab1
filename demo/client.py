"""A caller on real HTTP that asks again with the same key until it knows the end."""

import dataclasses
import http.client
import json
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["Caller", "Ended", "Reply", "call"]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A response; ``body`` is decoded if it is JSON."""

    status: int
    headers: Mapping[str, str]
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How a request ended for its caller.

    Attributes:
        end: The end, or ``lost`` if it was not told in time.
        outcome: ``ok`` or ``failed`` for an answered request.
        body: The answer.
        request_id: Identifier that the system gave, or an empty text.
        accepted: Whether the request was ever reported as accepted.
        duration_s: Time from the first call to the end.
        reason: Reason that was given.
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
    """Sends one call.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The response was not complete.
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
        found = {name.lower(): value for name, value in response.getheaders()}
    finally:
        connection.close()
    if found.get("content-type") == "application/json":
        content = json.loads(content)
    return Reply(response.status, found, content)


class Caller:
    """A caller that knows the addresses of the entry VMs, as behind a balancer."""

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
    ) -> Ended:
        """Submits a request and asks until its end is known.

        A refusal counts as the end only if no earlier call with the key can have started it.
        """
        body = {"class": job_class, "payload": payload, "wait_s": wait_s, **fields}
        began_s = time.monotonic()
        accepted, uncertain, reply = False, False, None
        while time.monotonic() - began_s < limit_s:
            address = self._random.choice(self._list_addresses())
            try:
                reply = call(address, "POST", "/v1/requests", self.token, body, key, wait_s + 20.0)
            except (OSError, http.client.HTTPException):
                uncertain = True
                time.sleep(0.05)
                continue
            duration_s = time.monotonic() - began_s
            if reply.headers.get("content-type") != "application/json":
                request_id = reply.headers.get("x-request-id", "")
                return Ended("answered", "ok", reply.body, request_id, True, duration_s)
            document = reply.body
            covers_request = document.get("covers") == "request"
            accepted = accepted or covers_request
            if document.get("end") is not None and (
                covers_request or (document["end"] == "not_run" and not uncertain and not accepted)
            ):
                if not covers_request and reply.status in (503, 429):
                    # Nothing was started, and the response says when to try again.
                    time.sleep(min(0.2, document.get("retry_after_s") or 0.2))
                    if time.monotonic() - began_s < limit_s / 2:
                        continue
                return Ended(
                    document["end"],
                    document.get("outcome") or "",
                    b"",
                    document.get("request_id") or "",
                    accepted,
                    duration_s,
                    document.get("reason", ""),
                )
            uncertain = uncertain or reply.status == 504
            if reply.status in (503, 504, 429):
                time.sleep(0.1)
        return Ended("lost", accepted=accepted, duration_s=time.monotonic() - began_s)
