"""Responses to callers.

A refusal that is given before a record was looked up covers only the call itself: it says that
this call started nothing, and nothing about an earlier call with the same key. An end that was
read from a record, or that its owner has settled, covers the request. The field ``covers`` tells
the two apart.
"""

from typing import Any

import msgspec
from werkzeug import wrappers

from lycheegate.entry import records
from lycheegate.model import requests

__all__ = [
    "find_status",
    "make_accepted",
    "make_answer",
    "make_end",
    "make_json",
    "make_unknown",
    "refuse",
    "refuse_later",
]


def find_status(end: records.EndRecord) -> int:
    """Returns the status code of an end."""
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
    """Returns the refusal of a call that started nothing."""
    body = {
        "end": requests.End.NOT_RUN,
        "covers": "call",
        "reason": reason,
        "detail": detail,
        "retry_after_s": retry_after_s,
        "request_id": request_id,
    }
    return make_json(status, body, retry_after_s)


def refuse_later(reason: str, request_id: str) -> wrappers.Response:
    """Returns that the state of a request cannot be told now."""
    body = {"end": None, "covers": "call", "reason": reason, "request_id": request_id}
    return make_json(503, {**body, "retry_after_s": 1.0}, 1.0)


def make_unknown(reason: str, request_id: str | None = None) -> wrappers.Response:
    """Returns that the request may have run, or may yet run; the same key settles it."""
    body = {
        "end": requests.End.MAY_HAVE_RUN,
        "covers": "call",
        "reason": reason,
        "request_id": request_id,
        "retry_after_s": 1.0,
    }
    return make_json(504, body, 1.0)


def make_accepted(record: records.Record) -> wrappers.Response:
    """Returns that a request is accepted and has not ended."""
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
    """Returns how a request ended, without its answer."""
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
    return make_json(find_status(end), body, retry_after_s)


def make_answer(record: records.Record, end: records.EndRecord, body: bytes) -> wrappers.Response:
    """Returns the answer of a request."""
    response = wrappers.Response(body, find_status(end), content_type="application/octet-stream")
    response.headers["X-Request-Id"] = record.request_id
    response.headers["X-Sha256"] = end.answer.sha256
    return response
