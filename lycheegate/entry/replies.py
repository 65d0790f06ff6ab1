"""Responses to callers.

The field ``covers`` states what a response is about. A refusal that is sent before any record was
read covers only the ``call``: this call started nothing, but an earlier call with the same key may
have. An end that was read from a record or reported by the owner covers the ``request``.
"""

from typing import Any

import msgspec
from werkzeug import wrappers

from lycheegate.entry import records
from lycheegate.model import requests

__all__ = [
    "get_status_code",
    "make_accepted",
    "make_answer",
    "make_end",
    "make_json",
    "make_unknown",
    "refuse",
    "make_unavailable",
]


def get_status_code(end: records.EndRecord) -> int:
    """Returns the HTTP status code for an end."""
    match end.end:
        case requests.End.ANSWERED:
            return 200 if end.outcome is requests.Outcome.OK else 422
        case requests.End.CANCELLED:
            return 409
        case requests.End.NOT_RUN:
            return 503
    return 504


def make_json(status: int, body: Any, retry_after_s: float | None = None) -> wrappers.Response:
    """Returns a JSON response."""
    response = wrappers.Response(msgspec.json.encode(body), status, content_type="application/json")
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, int(retry_after_s + 0.999)))
    return response


def refuse(
    status: int,
    reason: str,
    detail: str = "",
    retry_after_s: float | None = None,
    request_id: str | None = None,
) -> wrappers.Response:
    """Returns the response to a call that is refused and has started nothing."""
    body = {
        "end": requests.End.NOT_RUN,
        "covers": "call",
        "reason": reason,
        "detail": detail,
        "retry_after_s": retry_after_s,
        "request_id": request_id,
    }
    return make_json(status, body, retry_after_s)


def make_unavailable(reason: str, request_id: str) -> wrappers.Response:
    """Returns the response to a call about a request whose state is currently unavailable."""
    body = {"end": None, "covers": "call", "reason": reason, "request_id": request_id}
    return make_json(503, {**body, "retry_after_s": 1.0}, 1.0)


def make_unknown(reason: str, request_id: str | None = None) -> wrappers.Response:
    """Returns the response for a request that may have run or may still run.

    The caller learns its end by repeating the call with the same key.
    """
    body = {
        "end": requests.End.MAY_HAVE_RUN,
        "covers": "call",
        "reason": reason,
        "request_id": request_id,
        "retry_after_s": 1.0,
    }
    return make_json(504, body, 1.0)


def make_accepted(record: records.Record) -> wrappers.Response:
    """Returns the response for a request that is accepted and has not ended."""
    body = {
        "request_id": record.request_id,
        "end": None,
        "covers": "request",
        "class": record.job_class,
        "cancel_requested": record.cancel_requested,
    }
    response = make_json(202, body)
    response.headers["Location"] = f"/v1/requests/{record.request_id}"
    return response


def make_end(record: records.Record, end: records.EndRecord, wall_s: float) -> wrappers.Response:
    """Returns the response with the end of a request, without its answer."""
    retry_after_s = None if end.retry_at is None else max(0.0, end.retry_at - wall_s)
    body = {
        "request_id": record.request_id,
        "end": end.end,
        "covers": "request",
        "outcome": end.outcome,
        "reason": end.reason,
        "detail": end.detail,
        "retry_after_s": retry_after_s,
        "answer_bytes": end.answer.length if end.answer else None,
    }
    return make_json(get_status_code(end), body, retry_after_s)


def make_answer(record: records.Record, end: records.EndRecord, body: bytes) -> wrappers.Response:
    """Returns the response with the answer of a request."""
    response = wrappers.Response(
        body, get_status_code(end), content_type="application/octet-stream"
    )
    response.headers["X-Request-Id"] = record.request_id
    response.headers["X-Sha256"] = end.answer.sha256
    return response
