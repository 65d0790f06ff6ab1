"""Validation and rate limiting of submissions, before anything is stored."""

import dataclasses
import threading
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from returns import result

from lycheegate.entry import records
from lycheegate.model import releases, resources
from lycheegate.settings import models

__all__ = ["Body", "Fault", "RateLimiter", "decode_body", "make_record"]

MAX_BUCKETS = 10_000
"""Number of buckets at which all of them are dropped."""


class ShapeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shape in the body of a submission."""

    members: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    adjacency: resources.Adjacency = resources.Adjacency.DATA_CENTRE


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission."""

    job_class: str = msgspec.field(name="class")
    payload: dict[str, Any] = {}
    shape: ShapeBody | None = None
    idempotent: bool | None = None
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=31_536_000)] | None = None
    wait_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    declared_run_s: Annotated[float, msgspec.Meta(gt=0)] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Reason for refusing a request: a code and an explanation."""

    reason: str
    detail: str = ""


def decode_body(data: bytes) -> result.Result[Body, Fault]:
    """Decodes the body of a submission; fails with ``Fault`` if it is malformed."""
    try:
        return result.Success(msgspec.json.decode(data, type=Body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return result.Failure(Fault("malformed", str(error)[:300]))


def make_record(
    body: Body,
    caller: releases.Caller,
    key: str,
    job_classes: Mapping[str, models.JobClassSettings],
    wall_s: float,
) -> result.Result[records.Record, Fault]:
    """Returns the record of a submission; its partition is left empty.

    A caller may declare a request of an idempotent class non-idempotent, but not the reverse.
    """
    settings = job_classes.get(body.job_class)
    if settings is None or (caller.classes and body.job_class not in caller.classes):
        allowed = sorted(set(job_classes) & set(caller.classes or job_classes))
        return result.Failure(
            Fault(
                "class_not_allowed",
                f"class {body.job_class!r} is not available to caller {caller.name!r}; "
                f"allowed: {', '.join(allowed)}",
            )
        )
    shape = models.make_shape(settings.shape)
    if body.shape is not None:
        shape = resources.Shape(body.shape.members, body.shape.accelerators, body.shape.adjacency)
    idempotent = settings.idempotent and body.idempotent is not False
    deadline_s = body.deadline_s if body.deadline_s is not None else settings.deadline_s
    spec = [body.job_class, body.payload, dataclasses.astuple(shape), idempotent]
    return result.Success(
        records.Record(
            records.make_request_id(caller.name, key),
            caller.name,
            caller.client_account,
            body.job_class,
            int(models.make_urgency(settings.urgency)),
            shape.members,
            shape.accelerators,
            shape.adjacency,
            idempotent,
            settings.preemptible and idempotent,
            wall_s,
            "",
            records.digest_spec(spec),
            None if deadline_s is None else wall_s + deadline_s,
            body.declared_run_s,
            body.payload,
        )
    )


class RateLimiter:
    """Rate limiter with a token bucket for each caller."""

    def __init__(self, rate_per_s: float, burst: int):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._lock = threading.Lock()
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(self, caller: str, now_s: float) -> float:
        """Takes a token; returns 0, or the time in seconds until the next one is available."""
        with self._lock:
            tokens, at_s = self._buckets.get(caller, (float(self._burst), now_s))
            tokens = min(self._burst, tokens + (now_s - at_s) * self._rate_per_s)
            if tokens < 1.0:
                self._buckets[caller] = (tokens, now_s)
                return (1.0 - tokens) / self._rate_per_s
            if len(self._buckets) >= MAX_BUCKETS:
                # Only callers of a release get buckets. The limit bounds the buckets of callers
                # that a later release has withdrawn.
                self._buckets.clear()
            self._buckets[caller] = (tokens - 1.0, now_s)
            return 0.0
