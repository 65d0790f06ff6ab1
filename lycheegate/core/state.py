"""State of the decisions for one partition, and its snapshots."""

import dataclasses
import enum
import hashlib
import heapq
import io
import pickle
import struct

from lycheegate.core import commands, events, policy, scheduling
from lycheegate.model import releases, requests, resources
from lycheegate.utils import exceptions

__all__ = [
    "SNAPSHOT_FORMAT",
    "After",
    "Attempt",
    "Job",
    "PartitionState",
    "Phase",
    "Status",
    "Step",
    "Timer",
    "WorkerState",
    "add_timer",
    "create_state",
    "format_member_task_id",
    "make_snapshot",
    "restore_snapshot",
    "set_phase",
]

SNAPSHOT_FORMAT = 1
_MAGIC = b"LYCHEEG"
_HEADER = struct.Struct(">7sH32s")
# A snapshot names classes of the core and of the domain only; anything else is refused, because
# unpickling an arbitrary class can run code.
_ALLOWED_MODULES = ("lycheegate.core.", "lycheegate.model.", "sortedcontainers.")
_ALLOWED_NAMES = {
    ("collections", "OrderedDict"),
    ("collections", "defaultdict"),
    ("collections", "deque"),
    ("builtins", "set"),
    ("builtins", "frozenset"),
    ("builtins", "list"),
    ("builtins", "dict"),
    ("builtins", "int"),
    ("builtins", "float"),
}


class Phase(enum.IntEnum):
    """Where an open request is."""

    QUEUED = 0
    DELAYED = 1
    """Waits for its backoff, or for reports of workers after a takeover."""
    ACTIVE = 2
    """Has an attempt."""


class Step(enum.IntEnum):
    """Progress of an attempt."""

    RECORDING = 0
    ORDERING = 1
    STARTING = 2
    RUNNING = 3
    COLLECTING = 4
    UNCERTAIN = 5
    """At least one member is at a worker that has not told about it."""
    CLOSING = 6


class Status(enum.IntEnum):
    """What is known about the task of one member."""

    PLANNED = 0
    ORDERED = 1
    HELD = 2
    START_ORDERED = 3
    RUNNING = 4
    UNKNOWN = 5
    RELEASING = 6
    """Never seen to start; its worker was told to forget it and has not answered yet."""
    FINISHED = 7
    FAILED = 8
    STOPPED = 9
    RELEASED = 10
    """Forgotten by its worker; it had started."""
    NOT_STARTED = 11
    """Refused, or forgotten by its worker without ever having started."""
    LOST = 12


class After(enum.IntEnum):
    """What follows when an attempt is closed."""

    RETRY = 0
    """Queue again; counts against the attempts of the request."""
    REQUEUE = 1
    """Queue again; does not count."""
    CANCEL = 2
    FAIL = 3


class Timer(enum.IntEnum):
    """Kinds of timers."""

    ATTEMPT = 0
    DELAY = 1
    DEADLINE = 2
    SWEEP = 3
    RECOVERY = 4


@dataclasses.dataclass(slots=True)
class Job:
    """A request that has not ended.

    Attributes:
        request: The request.
        phase: Where it is.
        attempt_id: Its attempt while ``ACTIVE``.
        attempts: Attempts that count against the limit.
        refusals: Attempts that ended before any member started.
        delays: Delays so far; the backoff grows with it.
        delayed_until_s: End of the delay while ``DELAYED``.
        ran: Whether some attempt is not proven to have never started.
        cancelled: Whether its caller has asked for cancellation.
        failed_on: Workers on which a task of the request failed, with the error.
        avoid_until_s: Until when it is kept off these workers if possible.
        is_trial: Whether it is started although its estimated run time exceeds its deadline.
    """

    request: requests.Request
    phase: Phase = Phase.QUEUED
    attempt_id: str | None = None
    attempts: int = 0
    refusals: int = 0
    delays: int = 0
    delayed_until_s: float = 0.0
    ran: bool = False
    cancelled: bool = False
    failed_on: dict[str, str] = dataclasses.field(default_factory=dict)
    avoid_until_s: float = 0.0
    is_trial: bool = False


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try at running a request.

    Attributes:
        attempt_id: Its identifier.
        request: The request.
        placement: Where its members run; places of members not found yet are None.
        statuses: What is known about the task of each member.
        step: Progress.
        since_s: When the step began.
        due_s: When its timer fires, or None.
        start_ordered: Whether any order was given that lets a member start.
        has_started: Whether some member was seen to have started.
        started_at_s: When the first member started, or None if that is not known.
        repeats: Repeated orders in this step.
        occupies: Whether it has an allocation in the scheduling state.
        after: What follows when it is closed.
        reason: Code of the reason for closing.
        detail: Error of the job, if that is the reason.
        probe_of: Quarantined worker that it tests, or None.
        instances: Instance of each member's worker when an earlier owner recorded the attempt;
            empty if this owner made it.
    """

    attempt_id: str
    request: requests.Request
    placement: list[resources.MemberPlacement | None]
    statuses: list[Status]
    step: Step
    since_s: float
    due_s: float | None = None
    start_ordered: bool = False
    has_started: bool = False
    started_at_s: float | None = None
    repeats: int = 0
    occupies: bool = True
    after: After = After.RETRY
    reason: str = ""
    detail: str = ""
    probe_of: str | None = None
    instances: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker.

    Attributes:
        worker: Its description.
        lost_at_s: When it was lost, or None.
        leaving: Whether it gets no new work because it leaves.
        placeable: What the scheduling state was told last.
        attempts: Attempts with a member there.
        stale: Tasks there that must be gone before new work is placed.
        failures: Consecutive failed tasks, as requests with their counts.
        failing_since_s: When the first of these failures happened.
        succeeded_at_s: When a task last finished there, or None.
        quarantined_at_s: When it was put in quarantine, or None.
        probe_at_s: When the next probe is due.
        probe_interval_s: Time to the probe after that.
        probe_attempt_id: Attempt that tests it now, or None.
        instance: Identity of its life, as it reported last, or an empty string.
    """

    worker: resources.Worker
    lost_at_s: float | None = None
    leaving: bool = False
    placeable: bool = True
    attempts: dict[str, None] = dataclasses.field(default_factory=dict)
    stale: dict[str, None] = dataclasses.field(default_factory=dict)
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    failing_since_s: float = 0.0
    succeeded_at_s: float | None = None
    quarantined_at_s: float | None = None
    probe_at_s: float = 0.0
    probe_interval_s: float = 0.0
    probe_attempt_id: str | None = None
    instance: str = ""


@dataclasses.dataclass(slots=True)
class PartitionState:
    """Everything that the decisions of one partition depend on."""

    partition: str
    settings: policy.PolicySettings
    seed: int
    scheduling: scheduling.SchedulingState
    epoch: int = 0
    now_s: float = 0.0
    epoch_at_s: float = 0.0
    recovering: bool = True
    attempt_number: int = 0
    timer_number: int = 0
    plan_due: bool = False
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    workers: dict[str, WorkerState] = dataclasses.field(default_factory=dict)
    waiting: dict[str, int] = dataclasses.field(default_factory=dict)
    waiting_total: int = 0
    ended: dict[str, float] = dataclasses.field(default_factory=dict)
    early_cancels: dict[str, float] = dataclasses.field(default_factory=dict)
    timers: list[tuple[float, int, int, str]] = dataclasses.field(default_factory=list)
    unclaimed: dict[str, list[tuple[str, events.TaskReport]]] = dataclasses.field(
        default_factory=dict
    )
    stale: dict[str, str] = dataclasses.field(default_factory=dict)
    quarantined: dict[str, None] = dataclasses.field(default_factory=dict)
    estimates: dict[tuple[str, str], list[float]] = dataclasses.field(default_factory=dict)
    hopeless: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    retry_free_s: dict[str, float] = dataclasses.field(default_factory=dict)
    release_number: int = 0
    client_accounts: dict[str, releases.ClientAccount] = dataclasses.field(default_factory=dict)
    weight_total: float = 0.0
    guarantees: tuple[releases.Guarantee, ...] = ()
    awaited: dict[str, dict[str, None]] = dataclasses.field(default_factory=dict)
    short: dict[tuple[str, str], tuple[int, str]] = dataclasses.field(default_factory=dict)
    capacity_changed: bool = False
    unrefreshed: dict[str, None] | None = None


def create_state(
    partition: str, settings: policy.PolicySettings | None = None, seed: int = 0
) -> PartitionState:
    """Returns an empty state.

    Args:
        partition: Name of the partition.
        settings: Limits and weights.
        seed: Seed of the jitter; the same seed and events give the same commands.
    """
    settings = settings or policy.PolicySettings()
    return PartitionState(partition, settings, seed, scheduling.create_scheduling_state(settings))


def add_timer(state: PartitionState, due_s: float, kind: Timer, key: str) -> None:
    """Adds a timer; its receiver checks whether it still applies."""
    state.timer_number += 1
    heapq.heappush(state.timers, (due_s, state.timer_number, int(kind), key))


def set_phase(state: PartitionState, job: Job, phase: Phase | None) -> None:
    """Moves a job to a phase, or out of the jobs for None, and keeps the counts of waiting ones."""
    account = job.request.client_account
    known = state.jobs.get(job.request.request_id) is job
    was_waiting = known and job.phase is not Phase.ACTIVE
    is_waiting = phase is not None and phase is not Phase.ACTIVE
    if is_waiting != was_waiting:
        step = 1 if is_waiting else -1
        state.waiting_total += step
        state.waiting[account] = state.waiting.get(account, 0) + step
        if not state.waiting[account]:
            del state.waiting[account]
    if phase is None:
        del state.jobs[job.request.request_id]
        return
    state.jobs[job.request.request_id] = job
    job.phase = phase


def format_member_task_id(attempt: Attempt, member: int) -> str:
    """Returns the task identifier of a member."""
    return commands.format_task_id(attempt.attempt_id, member)


class _Unpickler(pickle.Unpickler):
    def find_class(self, module: str, name: str):
        if module.startswith(_ALLOWED_MODULES) or (module, name) in _ALLOWED_NAMES:
            return super().find_class(module, name)
        raise exceptions.SnapshotFormatError(f"snapshot names {module}.{name}")


def make_snapshot(state: PartitionState) -> bytes:
    """Returns the state as bytes with a format version and a digest."""
    payload = pickle.dumps(state, protocol=5)
    return _HEADER.pack(_MAGIC, SNAPSHOT_FORMAT, hashlib.sha256(payload).digest()) + payload


def restore_snapshot(data: bytes) -> PartitionState:
    """Returns the state that a snapshot holds.

    Raises:
        SnapshotFormatError: The format is unknown or the data is damaged.
    """
    if len(data) < _HEADER.size:
        raise exceptions.SnapshotFormatError("snapshot is truncated")
    magic, version, digest = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    if magic != _MAGIC:
        raise exceptions.SnapshotFormatError("not a snapshot")
    if version != SNAPSHOT_FORMAT:
        raise exceptions.SnapshotFormatError(
            f"snapshot format {version} is unknown; this version reads {SNAPSHOT_FORMAT}"
        )
    if hashlib.sha256(payload).digest() != digest:
        raise exceptions.SnapshotFormatError("snapshot is damaged")
    try:
        state = _Unpickler(io.BytesIO(payload)).load()
    except exceptions.SnapshotFormatError:
        raise
    except Exception as error:
        raise exceptions.SnapshotFormatError(f"snapshot cannot be read: {error}") from error
    if not isinstance(state, PartitionState):
        raise exceptions.SnapshotFormatError("snapshot holds no partition state")
    return state
