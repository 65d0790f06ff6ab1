"""Requests of callers and the ways they end."""

import dataclasses
import enum

from lycheegate.model import resources

__all__ = ["End", "Outcome", "Request", "Urgency"]


class Urgency(enum.IntEnum):
    """Order in which classes of work are served; lower values go first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class End(enum.StrEnum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    CANCELLED = "cancelled"
    MAY_HAVE_RUN = "may_have_run"


class Outcome(enum.StrEnum):
    """Whether an answered request's own run succeeded."""

    OK = "ok"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as the decisions see it; the payload stays with the daemon.

    Times are on the clock that the decisions are driven with.

    Attributes:
        request_id: Unique identifier.
        client_account: Client account that the caller acts for.
        caller: Caller that sent the request.
        job_class: Name of the class, such as ``preview``.
        urgency: Urgency of the class.
        shape: Resources it needs.
        idempotent: Whether it may run more than once.
        preemptible: Whether it may be stopped and run again; implies ``idempotent``.
        submitted_at_s: When it was accepted.
        deadline_at_s: Latest useful completion, or None.
        declared_run_s: Run time that the caller declared, or None; often far from the truth.
    """

    request_id: str
    client_account: str
    caller: str
    job_class: str
    urgency: Urgency
    shape: resources.Shape
    idempotent: bool
    preemptible: bool
    submitted_at_s: float
    deadline_at_s: float | None = None
    declared_run_s: float | None = None
