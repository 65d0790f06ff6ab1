"""State on which the owner of a partition bases its decisions, and snapshots of it."""

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
# A snapshot may refer only to classes in these modules and to the names below. Anything else is
# rejected, because unpickling an arbitrary class can execute code.
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
    """Phase of a request that has not ended."""

    QUEUED = 0
    DELAYED = 1
    """Waits for its retry backoff to expire, or for worker reports after a takeover."""
    ACTIVE = 2
    """Has an attempt in progress."""


class Step(enum.IntEnum):
    """Progress of an attempt."""

    RECORDING = 0
    ORDERING = 1
    STARTING = 2
    RUNNING = 3
    COLLECTING = 4
    UNCERTAIN = 5
    """At least one member is on a worker that has not reported the state of its task."""
    CLOSING = 6


class Status(enum.IntEnum):
    """Known state of the task of one member."""

    PLANNED = 0
    ORDERED = 1
    HELD = 2
    START_ORDERED = 3
    RUNNING = 4
    UNKNOWN = 5
    RELEASING = 6
    """Not known to have started; its worker has not yet confirmed the order to release it."""
    FINISHED = 7
    FAILED = 8
    STOPPED = 9
    RELEASED = 10
    """Released by its worker after it had started."""
    NOT_STARTED = 11
    """Refused by its worker, or released without having started."""
    LOST = 12


class After(enum.IntEnum):
    """What happens to the request when its attempt is closed."""

    RETRY = 0
    """Requeue; the attempt counts against the limit on attempts of the request."""
    REQUEUE = 1
    """Requeue; the attempt does not count against that limit."""
    CANCEL = 2
    FAIL = 3


class Timer(enum.IntEnum):
    """Kinds of timers."""

    ATTEMPT = 0
    DELAY = 1
    DEADLINE = 2
    SWEEP = 3
    """Removes lost workers, and ends waiting requests that fit nowhere any more."""
    RECOVERY = 4
    """Ends the wait for the first reports of workers after a takeover."""


@dataclasses.dataclass(slots=True)
class Job:
    """A request that has not ended.

    Attributes:
        request: The request.
        phase: Its phase.
        attempt_id: Its attempt while ``ACTIVE``.
        attempts: Attempts that count against ``max_attempts``.
        refusals: Attempts that ended before any member started.
        delays: Number of delays so far; the backoff grows with it.
        delayed_until_s: End of the delay while ``DELAYED``.
        ran: Whether some attempt may have started; False only if it is proven that none has.
        cancelled: Whether its caller has requested cancellation.
        failed_on: Error of the request's task on each worker where it failed.
        avoid_until_s: Time until which these workers are avoided if possible.
        is_trial: Whether it may start although it is estimated to miss its deadline. Without such
            runs, an estimate that is too long would never be corrected.
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
        placement: Places of its members; None for a member that no worker has reported yet.
        statuses: Known state of the task of each member.
        step: Its current step.
        since_s: When the step began.
        due_s: When its timer fires, or None.
        start_ordered: Whether any order was sent that allows a member to start.
        has_started: Whether some member is known to have started.
        started_at_s: When the first member started, or None if unknown.
        repeats: Number of times that orders were repeated in this step.
        occupies: Whether it has an allocation in the scheduling state.
        after: What happens to the request when it is closed.
        reason: Code of the reason for closing.
        detail: Error of the job, if that is the reason.
        probe_of: Quarantined worker that it probes, or None.
        instances: Instance of each member's worker when an earlier owner recorded the attempt;
            empty if the current owner created it.
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
    """A worker as the owner knows it.

    Attributes:
        worker: Its description.
        lost_at_s: When it was declared lost, or None.
        leaving: Whether it has announced its departure; it then gets no new work.
        placeable: Value last passed to ``scheduling.set_placeable``.
        attempts: Attempts with a member on it.
        stale: Tasks that must be released before new work is placed on it.
        failures: Number of consecutive failed tasks, by request.
        failing_since_s: When the first of these failures happened.
        succeeded_at_s: When a task last finished on it, or None.
        quarantined_at_s: When it was put in quarantine, or None.
        probe_at_s: When the next probe is due.
        probe_interval_s: Time from that probe to the one after it.
        probe_attempt_id: Attempt that probes it now, or None.
        instance: Identifier of the worker instance that reported last, which changes with each
            restart; an empty string if unknown.
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
    """Everything that the decisions of one partition depend on.

    Attributes:
        partition: Name of the partition.
        settings: Limits and weights.
        seed: Seed of the jitter.
        scheduling: Capacity, homes, queue and allocations.
        epoch: Epoch of the current ownership.
        now_s: Time of the latest event.
        epoch_at_s: When the epoch was gained.
        recovering: Whether requests of earlier owners may still be reported.
        attempt_number: Number of attempts created under this epoch.
        timer_number: Number of timers added; breaks ties between timers due at the same time.
        plan_due: Whether a planning pass is needed.
        jobs: Requests that have not ended.
        attempts: Attempts that have not been concluded.
        workers: Known workers.
        waiting: Number of waiting requests of each client account.
        waiting_total: Number of waiting requests.
        ended: Requests that ended recently, with the time.
        early_cancels: Cancellations of requests that are not known yet, with the time.
        timers: Heap of due time, number, kind and key.
        unclaimed: Reported tasks, with their workers, of requests that are not known yet.
        stale: Worker of each task that must be released before its worker gets new work.
        quarantined: Workers in quarantine, oldest first.
        estimates: Logarithms of recent run times, by caller and job class.
        hopeless: Number of requests estimated to miss their deadline, by caller and job class.
        retry_free_s: Time up to which each client account has used its retry budget.
        release_number: Number of the release in force.
        client_accounts: Client accounts of that release.
        weight_total: Sum of their weights.
        guarantees: Guarantees of that release.
        awaited: Recorded attempts of earlier owners whose worker has not reported yet, by worker.
        short: Short guarantees last reported to operators: missing units and reason.
        capacity_changed: Whether short guarantees have to be determined again.
        unrefreshed: While a worker report is handled, the workers whose placeability is updated
            after it; else None.
        unreported: Listed workers without a report under this epoch.
    """

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
    unreported: dict[str, None] = dataclasses.field(default_factory=dict)


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
    """Adds a timer. Timers are not cancelled; the handler checks whether one still applies."""
    state.timer_number += 1
    heapq.heappush(state.timers, (due_s, state.timer_number, int(kind), key))


def set_phase(state: PartitionState, job: Job, phase: Phase | None) -> None:
    """Moves a job to a phase, or removes it for None, and updates the counts of waiting jobs."""
    account = job.request.client_account
    is_listed = state.jobs.get(job.request.request_id) is job
    was_waiting = is_listed and job.phase is not Phase.ACTIVE
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
        raise exceptions.SnapshotFormatError(f"snapshot refers to {module}.{name}: not allowed")


def make_snapshot(state: PartitionState) -> bytes:
    """Returns the state as bytes, with a format version and a SHA-256 digest."""
    payload = pickle.dumps(state, protocol=5)
    return _HEADER.pack(_MAGIC, SNAPSHOT_FORMAT, hashlib.sha256(payload).digest()) + payload


def restore_snapshot(data: bytes) -> PartitionState:
    """Returns the state stored in a snapshot.

    Raises:
        SnapshotFormatError: The format is unknown or the data is corrupt.
    """
    if len(data) < _HEADER.size:
        raise exceptions.SnapshotFormatError(
            f"snapshot truncated: got {len(data)} bytes, expected at least {_HEADER.size}"
        )
    magic, version, digest = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    if magic != _MAGIC:
        raise exceptions.SnapshotFormatError(f"not a snapshot: got magic {magic}, not {_MAGIC}")
    if version != SNAPSHOT_FORMAT:
        raise exceptions.SnapshotFormatError(
            f"unsupported snapshot format {version}; this version reads format {SNAPSHOT_FORMAT}"
        )
    if hashlib.sha256(payload).digest() != digest:
        raise exceptions.SnapshotFormatError(
            f"snapshot checksum mismatch: expected {digest.hex()} over {len(payload)} bytes"
        )
    try:
        state = _Unpickler(io.BytesIO(payload)).load()
    except exceptions.SnapshotFormatError:
        raise
    except Exception as error:
        raise exceptions.SnapshotFormatError(f"snapshot cannot be unpickled: {error}") from error
    if not isinstance(state, PartitionState):
        raise exceptions.SnapshotFormatError(
            f"snapshot contains a {type(state).__name__}, not a PartitionState"
        )
    if not hasattr(state, "unreported"):
        # Snapshots of earlier builds lack this field.
        state.unreported = {}
    return state
