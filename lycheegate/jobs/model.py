"""Jobs as callers describe them, and the configuration that governs them."""

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
"""Lower bound of a declared duration; zero would make a task look free."""


class Outcome(enum.StrEnum):
    """How a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource.

    Attributes:
        cpu_millicores: Processor, in thousandths of a core.
        memory_mb: Memory, in megabytes.
        accelerators: Accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Returns whether this amount is available in ``room``."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def max(self, other: "Resources") -> "Resources":
        """Returns the larger amount of each resource."""
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
    """Tasks of a job that are alike.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_s: Declared duration of a task, in seconds; often far from the truth.
        depends_on: Numbers of earlier steps that must have ended first.
        checkpoints: Whether its tasks save their progress.
        gang: Whether the tasks work only together.
        same_rack: Whether the gang is slowed down when it spans racks.
        label: Label that a worker must have, or an empty string.
        near_rack: Rack that holds the data, or an empty string.
        max_per_worker: Most tasks of one occurrence on one worker, or 0 for no limit.
        long_running: Whether its tasks run until the job is cancelled.
        speculative: Whether copies of a task may run in parallel.
        fills: Whether its processor demand is served from what other tasks leave unused.
        may_miss: Most tasks that the scheduler may take away at the same time, or 0.
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
        job_id: Identifier chosen by the caller; it makes the submission idempotent.
        route: Name of the queue.
        account: Client account, or an empty string on a public route.
        spec: What the tasks run, passed to workers unchanged.
        steps: Its steps.
        accepted_at_s: Time of acceptance, in seconds since 1970.
        occurrences: How many times the steps run.
        start_at_s: When the first occurrence is due, in seconds since 1970, or 0 for at once.
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
        """Whether its occurrences have due times."""
        return self.start_at_s > 0.0

    def compute_due_s(self, occurrence: int) -> float:
        """Returns when an occurrence is due, in seconds since 1970."""
        if not self.is_timed:
            return 0.0
        return self.start_at_s + occurrence * self.interval_s


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue.

    Attributes:
        name: Its name.
        host: Host name of its requests.
        path_prefix: Start of the path of its requests.
        service: Service whose workers run its tasks.
        priority: 0 is the most urgent and may preempt the others.
        max_attempts: Failed attempts of one task after which its job has failed.
        stretch_ratio: Latency objective as a multiple of the longest chain of work.
        target_s: Constant part of the latency objective, in seconds.
        is_public: Whether requests need no key.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes:
        name: Its name.
        checks_admission: Whether its workers refuse what does not fit.
    """

    name: str
    checks_admission: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Its name.
        keys: Credentials of its callers.
        guaranteed_accelerators: Accelerators that its urgent jobs can always have.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Its number; higher replaces lower.
        routes: Queues by name.
        services: Pools of workers by name.
        accounts: Client accounts by name.
        account_by_key: Name of the client account that a key belongs to.
        max_body_bytes: Largest accepted request body.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    accounts: dict[str, Account]
    account_by_key: dict[str, str]
    max_body_bytes: int

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of ``path``, or None."""
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
        job_id: Its job.
        occurrence: Occurrence of the job, from 0.
        step: Step, from 0.
        index: Task of the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


def estimate_chain_s(steps: tuple[Step, ...]) -> float:
    """Returns the declared duration of the longest chain of dependent steps, in seconds."""
    ends_s: list[float] = []
    for step in steps:
        before_s = max((ends_s[i] for i in step.depends_on if i < len(ends_s)), default=0.0)
        ends_s.append(before_s + step.estimate_s)
    return max(ends_s, default=0.0)
