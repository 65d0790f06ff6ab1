"""Requests of callers, and how they end."""

import dataclasses
import enum

from lycheegate.model import resources

__all__ = ["End", "Outcome", "Request", "Urgency"]


class Urgency(enum.IntEnum):
    """Scheduling priority of a job class; lower values are served first."""

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
    """Whether the job of an answered request succeeded."""

    OK = "ok"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as seen by the scheduler, without its payload, which the daemon keeps.

    Times are readings of the clock that is passed to the scheduler.

    Attributes:
        request_id: Unique identifier.
        client_account: Client account on whose behalf the caller acts.
        caller: Caller that sent the request.
        job_class: Name of the class, such as ``preview``.
        urgency: Urgency of the class.
        shape: Resources that it requires.
        idempotent: Whether it may run more than once.
        preemptible: Whether it may be stopped and run again; implies ``idempotent``.
        submitted_at_s: Time at which it was accepted.
        deadline_at_s: Time after which completion is of no use, or None.
        declared_run_s: Run time declared by the caller, or None; often inaccurate.
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
