"""Jobs as callers submit them, and the operators' configuration."""

import dataclasses
import enum

__all__ = [
    "Account",
    "Configuration",
    "Job",
    "Outcome",
    "Resources",
    "Route",
    "Service",
    "Step",
    "TaskKey",
    "estimate_chain_s",
]

MIN_ESTIMATE_S = 0.2
"""Lower bound of a declared duration; a duration of 0 would make a task appear to cost nothing."""


class Outcome(enum.StrEnum):
    """How a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource.

    Attributes:
        cpu_millicores: Processor time, in thousandths of a core.
        memory_mb: Memory, in megabytes.
        accelerators: Number of accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Returns whether ``room`` has at least this amount of each resource."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def max(self, other: "Resources") -> "Resources":
        """Returns the larger of the two amounts for each resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Identical tasks of a job.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_s: Declared duration of a task, in seconds; often inaccurate.
        depends_on: Numbers of the earlier steps that must be done before this one starts.
        checkpoints: Whether its tasks save checkpoints from which they can resume.
        gang: Whether all tasks must run at the same time.
        same_rack: Whether the gang runs slower when it spans racks.
        label: Label that a worker must have, or an empty string.
        near_rack: Rack that holds the data, or an empty string.
        max_per_worker: Maximum number of tasks of one occurrence on one worker, or 0 for no limit.
        long_running: Whether its tasks run until the job is cancelled.
        speculative: Whether copies of a task may run in parallel.
        fills: Whether its tasks only use processor time that other tasks leave unused.
        may_miss: Maximum number of tasks that the scheduler may stop at the same time, or 0.
    """

    count: int
    need: Resources
    estimate_s: float = MIN_ESTIMATE_S
    depends_on: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near_rack: str = ""
    max_per_worker: int = 0
    long_running: bool = False
    speculative: bool = False
    fills: bool = False
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted.

    Attributes:
        job_id: Identifier chosen by the caller, which makes repeated submissions idempotent.
        route: Name of its queue.
        account: Client account, or an empty string on a public route.
        spec: What the tasks run, passed to workers unchanged.
        steps: Its steps.
        accepted_at_s: Time of acceptance, in seconds since 1970.
        occurrences: Number of times that the steps run.
        start_at_s: Due time of the first occurrence, in seconds since 1970, or 0 if all
            occurrences are due at once.
        interval_s: Time between occurrences, in seconds.
    """

    job_id: str
    route: str
    account: str
    spec: str
    steps: tuple[Step, ...]
    accepted_at_s: float
    occurrences: int = 1
    start_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def is_timed(self) -> bool:
        """Whether each of its occurrences has a due time."""
        return self.start_at_s > 0.0

    def compute_due_s(self, occurrence: int) -> float:
        """Returns the due time of an occurrence, in seconds since 1970, or 0 if due at once."""
        if not self.is_timed:
            return 0.0
        return self.start_at_s + occurrence * self.interval_s


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue, and the requests that are routed to it.

    Attributes:
        name: Its name.
        host: Host name of its requests.
        path_prefix: Prefix of the path of its requests.
        service: Service whose workers run its tasks.
        priority: Priority of its jobs; 0 is the most urgent and may preempt the others.
        max_attempts: Number of failed runs of one task after which its job fails.
        stretch_ratio: Part of the latency objective that grows with the job, as a multiple of the
            declared duration of its longest chain of steps.
        target_s: Constant part of the latency objective, in seconds.
        is_public: Whether its requests need no key.
        refuses_late: Whether its jobs are refused under overload if they cannot end in time.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch_ratio: float
    target_s: float
    is_public: bool = False
    refuses_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes:
        name: Its name.
        checks_admission: Whether its workers refuse tasks that do not fit.
        preemption_loss_ratio: Share of its capacity that may be lost to preemptions for urgent work
            beyond the guarantee, above 0 and at most 1, or None if it is not limited.
        limits_unproved_gangs: Whether gangs prefer proved workers while many workers fail.
    """

    name: str
    checks_admission: bool = False
    preemption_loss_ratio: float | None = None
    limits_unproved_gangs: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Its name.
        keys: Credentials of its callers.
        guaranteed_accelerators: Number of accelerators guaranteed to its urgent jobs.
        weight: Weight of its share while accounts compete for room; finite and above 0.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Its number; a higher version replaces a lower one.
        routes: Queues by name.
        services: Pools of workers by name.
        accounts: Client accounts by name.
        account_by_key: Name of the client account of each key.
        max_body_bytes: Maximum size of a request body, in bytes.
        findings: Invalid values of the document that were replaced by defaults, for the log.
        divides_room: Whether client accounts have shares while they compete for room.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    accounts: dict[str, Account]
    account_by_key: dict[str, str]
    max_body_bytes: int
    findings: tuple[str, ...] = ()
    divides_room: bool = False

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of ``host`` with the longest prefix of ``path``, or None."""
        best: Route | None = None
        for route in self.routes.values():
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identity of a task.

    Attributes:
        job_id: Identifier of its job.
        occurrence: Number of the occurrence of the job, from 0.
        step: Number of the step in the job, from 0.
        index: Index of the task in the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


def estimate_chain_s(steps: tuple[Step, ...]) -> float:
    """Returns the declared duration of the longest chain of dependent steps, in seconds."""
    ends_s: list[float] = []
    for step in steps:
        start_s = max((ends_s[i] for i in step.depends_on if i < len(ends_s)), default=0.0)
        ends_s.append(start_s + step.estimate_s)
    return max(ends_s, default=0.0)
