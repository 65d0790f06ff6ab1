"""Data of a partition owner."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from lycheegate.clients import http, workers
from lycheegate.core import commands, events
from lycheegate.entry import answers, records
from lycheegate.metrics import histograms
from lycheegate.model import resources
from lycheegate.utils import clock as clock_module
from lycheegate.utils import pools

__all__ = ["Core", "Dependencies", "OpenRequest", "Submission", "make_placement"]


@dataclasses.dataclass(frozen=True)
class Core:
    """Functions of the scheduling decisions: ``lycheegate.core.engine`` or ``naive``."""

    create_state: Callable[..., Any]
    decide: Callable[[Any, events.Event, float], list[commands.Command]]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What an owner needs of the daemon.

    Attributes:
        core: The decisions.
        policy: Settings of the decisions.
        table: Table service.
        objects: Object store.
        http_client: Client for the calls of workers.
        worker_settings: Times and limits of these calls.
        table_pool: Pool for the table service and the object store.
        budget: Bound on the bytes of answers in memory.
        clock: Source of time.
        notify_ended: Called with the entry VMs that wait, the request, its end and its answer.
        on_fenced: Called with the partition and the epoch that a worker has seen.
        on_stopped: Called with the partition and the epoch after a graceful stop.
        count: Counts an event by name.
        record_time: Records a duration of a client account's class.
    """

    core: Core
    policy: Any
    table: Any
    objects: answers.ObjectStore
    http_client: http.HttpClient
    worker_settings: workers.WorkerSettings
    table_pool: pools.BoundedPool
    budget: answers.Budget
    clock: clock_module.Clock
    notify_ended: Callable[[Iterable[str], str, records.EndRecord, bytes | None], None]
    on_fenced: Callable[[str, int], None]
    on_stopped: Callable[[str, int], None]
    count: Callable[[str], None] = lambda name: None
    record_time: Callable[[str, str, histograms.Kind, float], None] = lambda *_: None


@dataclasses.dataclass
class OpenRequest:
    """A request of the partition that has not ended.

    Attributes:
        known: Its record as last read or written; version 0 if it is served without one.
        waiters: Entry VMs that want its end.
        answer: Reference of the answer of an attempt, once it is stored.
        body: The answer itself, while it is small enough to travel with the end.
        end: Its end, once decided.
        deferred: Commands that wait until the end is in the table.
        is_started: Whether a task of it was started under this owner.
        places: Places of its tasks, by task identifier.
    """

    known: records.Versioned
    waiters: set[str] = dataclasses.field(default_factory=set)
    answer: tuple[str, records.AnswerReference] | None = None
    body: bytes | None = None
    end: records.EndRecord | None = None
    deferred: list[commands.ReleaseTask] = dataclasses.field(default_factory=list)
    is_started: bool = False
    places: dict[str, resources.MemberPlacement] = dataclasses.field(default_factory=dict)

    @property
    def is_recorded(self) -> bool:
        """Whether the request has a record."""
        return self.known.version > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A request handed over by an entry VM.

    Attributes:
        known: Its record.
        vm_id: Entry VM that wants its end, or None.
        reply: Called with ``queued``, ``ended`` or ``not_owner``.
        is_repeated: Whether it may have been handed over before, so that ``known`` may be old.
    """

    known: records.Versioned
    vm_id: str | None
    reply: Callable[[str], None]
    is_repeated: bool


def make_placement(attempt: records.Attempt) -> resources.Placement:
    """Returns the placement of a recorded attempt."""
    return tuple(resources.MemberPlacement(*place) for place in attempt.placement)
