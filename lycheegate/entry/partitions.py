"""Data types of a partition owner."""

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
    """Functions of the scheduling core: ``lycheegate.core.engine`` or ``naive``."""

    create_state: Callable[..., Any]
    decide: Callable[[Any, events.Event, float], list[commands.Command]]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Functions and objects of the daemon that an owner uses.

    Attributes:
        core: Functions of the scheduling core.
        policy: Settings of the scheduling core.
        table: Table service.
        objects: Object store.
        http_client: HTTP client for calls to workers.
        worker_settings: Timeouts and limits of these calls.
        table_pool: Pool for the table service and the object store.
        budget: Limit on the size of the answers in memory.
        clock: Source of time.
        notify_ended: Called with the waiting entry VMs, the request, its end and its answer.
        on_fenced: Called with the partition and the newer epoch that a worker has seen.
        on_stopped: Called with the partition and the epoch after a graceful stop.
        count: Increments a counter by name.
        record_time: Records a duration for a client account, job class and kind.
    """

    core: Core
    policy: Any
    table: Any
    objects: answers.ObjectStore
    http_client: http.HttpClient
    worker_settings: workers.WorkerSettings
    table_pool: pools.BoundedPool
    budget: answers.AnswerBudget
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
        versioned: Its record as last read or written; version 0 if it is served without one.
        waiters: Entry VMs that wait for its end.
        answer: Attempt and reference of its answer, once the answer is stored.
        body: The answer itself, if it is small enough to be sent with the end.
        end: Its end, once decided.
        deferred: Commands that are executed once the end is in the table.
        is_started: Whether one of its tasks has started under this owner.
        task_placements: Placements of its tasks, by task identifier.
    """

    versioned: records.VersionedRecord
    waiters: set[str] = dataclasses.field(default_factory=set)
    answer: tuple[str, records.AnswerReference] | None = None
    body: bytes | None = None
    end: records.EndRecord | None = None
    deferred: list[commands.ReleaseTask] = dataclasses.field(default_factory=list)
    is_started: bool = False
    task_placements: dict[str, resources.MemberPlacement] = dataclasses.field(default_factory=dict)

    @property
    def is_recorded(self) -> bool:
        """Whether the request has a record in the table."""
        return self.versioned.version > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A request submitted by an entry VM.

    Attributes:
        versioned: Its record.
        vm_id: Entry VM that waits for its end, or None.
        reply: Called with ``queued``, ``ended`` or ``not_owner``.
        is_repeated: Whether it may have been submitted before; ``versioned`` may then be outdated.
    """

    versioned: records.VersionedRecord
    vm_id: str | None
    reply: Callable[[str], None]
    is_repeated: bool


def make_placement(attempt: records.Attempt) -> resources.Placement:
    """Returns the placement of a recorded attempt."""
    return tuple(resources.MemberPlacement(*place) for place in attempt.placement)
