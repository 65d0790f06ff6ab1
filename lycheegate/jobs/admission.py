"""Refusal of jobs that cannot end in time, according to the load that the holder publishes.

Handles loads in which more work arrives than the workers can do. Without refusals the waiting work
grows without limit, and workers spend their time on jobs that end too late to be of use. The holder
of the term summarises its load (``load_summary``), and the VM that takes a submission decides by
that summary (``decide``). Whatever is not certain is decided in favour of the job: an accepted job
may then wait longer than predicted, whereas a refused one is not served at all.
"""

import dataclasses
import math
from collections.abc import Callable

from lycheegate.jobs import model, ordering

__all__ = [
    "MAX_LOAD_AGE_S",
    "MAX_RETRY_AFTER_S",
    "Accept",
    "Backlog",
    "Decision",
    "Load",
    "PriorityLoad",
    "Refuse",
    "ServiceLoad",
    "classify_size",
    "compute_wait_s",
    "compute_work",
    "decide",
    "measure",
    "multiply",
]

MAX_LOAD_AGE_S = 3.0
"""Age of the published load from which nothing is refused."""
OBJECTIVE_FACTOR = 3.0
"""Multiple of its objective after which the end of a job is of no use to its caller."""
SAFETY_RATIO = 0.5
"""Share of a predicted duration that is certain; declared durations are wrong by 50%."""
SAME_CLASS_RATIO = 0.5
"""Share of the work of jobs of about the same size that goes ahead of a job."""
SPREAD_RATIO = 0.5
"""Largest deviation of a time to come back from the expected one, as a share of that."""
MAX_RETRY_AFTER_S = 300
"""Room may appear earlier than predicted, when workers are added or callers cancel their jobs."""
SIZE_CLASS_FACTOR = 4.0
"""Ratio of the sizes of neighbouring classes of jobs."""
MAX_SIZE_CLASS = 10
FIRST_CLASS = 0
"""Class of the work that goes first whatever its size: urgent, or near its objective."""

Amounts = tuple[int, int, int]
"""Core-seconds, gigabyte-seconds of memory, and accelerator-seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Waiting work of one queue priority that is ordered alike.

    Attributes:
        is_late: Whether it has missed its objective, and therefore goes last.
        size_class: Class of the size of its jobs; lower ones go first.
        amounts: What it needs of each resource, times its declared duration.
    """

    is_late: bool
    size_class: int
    amounts: Amounts


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityLoad:
    """Work of the queues of one priority.

    Attributes:
        priority: The priority.
        running_core_s: Half of the declared work of its runs; an accelerator counts as 8 cores.
        waiting_core_s: Work that could start at once if there were room.
        wait_s: Expected time until the waiting work ahead of a new job has started, for a job that
            goes after all work of its priority that is not late.
        backlogs: The waiting work by order.
    """

    priority: int
    running_core_s: int
    waiting_core_s: int
    wait_s: int
    backlogs: tuple[Backlog, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service.

    Attributes:
        total: Resources of all workers that may get work.
        free: Resources that are left to new work after the waiting work that fits.
        urgent_free: The same for urgent work, which may use the headroom.
        largest_free: Largest free amount of each resource on any worker.
        heavy_accounts: Client accounts that demand more than an equal share of the service.
        priorities: Load by queue priority, in ascending order.
    """

    total: model.Resources
    free: model.Resources
    urgent_free: model.Resources
    largest_free: model.Resources
    heavy_accounts: frozenset[str]
    priorities: tuple[PriorityLoad, ...]

    @property
    def has_waiting_work(self) -> bool:
        """Whether any work waits."""
        return any(load.backlogs for load in self.priorities)


Load = dict[str, ServiceLoad]
"""Load by name of the service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The job is to be accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The job cannot end in time.

    Attributes:
        retry_after_s: Time after which its caller should come again.
        wait_s: Predicted time until it would start.
        limit_s: Time by which it would have to end.
    """

    retry_after_s: int
    wait_s: float
    limit_s: float


Decision = Accept | Refuse


def decide(
    load: Load | None,
    age_s: float,
    job: model.Job,
    route: model.Route,
    account: model.Account | None,
    draw: Callable[[], float],
) -> Decision:
    """Decides whether a job can end within three times its objective.

    Args:
        load: Load that the holder of the term has published, or None if it is not known.
        age_s: Its age.
        job: The submitted job.
        route: Its queue.
        account: Its client account, or None on a public route.
        draw: Generator of random numbers from 0 to 1, for the time to come back.
    """
    service = load.get(route.service) if load else None
    if service is None or not 0.0 <= age_s < MAX_LOAD_AGE_S or _is_exempt(job, route, account):
        return Accept()
    if job.account not in service.heavy_accounts or _has_room(service, job, route):
        return Accept()
    chain_s = model.estimate_chain_s(job.steps)
    objective_s = route.stretch_ratio * chain_s + route.target_s
    limit_s = OBJECTIVE_FACTOR * objective_s
    wait_s = _predict_wait_s(service, job, route, objective_s - chain_s) - age_s
    if SAFETY_RATIO * (wait_s + chain_s) <= limit_s:
        return Accept()
    return Refuse(_draw_retry_after_s(wait_s, draw()), wait_s, limit_s)


def _is_exempt(job: model.Job, route: model.Route, account: model.Account | None) -> bool:
    """Returns whether a job is never refused, whatever the load.

    Labels limit a job to some workers, and the load is not known by label. Whether other urgent
    jobs use up a guarantee is not known either, so each job that fits into it counts as within it.
    """
    if job.is_timed or any(step.long_running or step.label for step in job.steps):
        return True
    if route.priority != 0 or account is None:
        return False
    accelerators = max(step.count * step.need.accelerators for step in job.steps)
    return accelerators <= account.guaranteed_accelerators


def _has_room(service: ServiceLoad, job: model.Job, route: model.Route) -> bool:
    """Returns whether all tasks with which a job begins have room."""
    first_steps = [step for step in job.steps if not step.depends_on]
    need = model.Resources()
    for step in first_steps:
        need = need + multiply(step.need, step.count)
    free = service.urgent_free if route.priority == 0 else service.free
    return need.fits(free) and all(step.need.fits(service.largest_free) for step in first_steps)


def _predict_wait_s(
    service: ServiceLoad, job: model.Job, route: model.Route, slack_s: float
) -> float:
    """Returns the time until the work ahead of a job has started, if nothing else is accepted.

    Only work that needs the same resources delays the job. Late work goes after a job as long as
    the job itself is not late.
    """
    size_class = classify_size(route.priority == 0, compute_work(job.steps))
    needs = [step.need for step in job.steps]
    uses = (
        any(need.cpu_millicores for need in needs),
        any(need.memory_mb for need in needs),
        any(need.accelerators for need in needs),
    )
    wait_s = compute_wait_s(service, route.priority, size_class, uses, is_late=False)
    if SAFETY_RATIO * wait_s <= slack_s:
        return wait_s
    return compute_wait_s(service, route.priority, size_class, uses, is_late=True)


def compute_wait_s(
    service: ServiceLoad,
    priority: int,
    size_class: int,
    uses: tuple[bool, bool, bool],
    is_late: bool,
) -> float:
    """Returns how long all workers need for the work ahead, for the resource that is scarcest.

    The work that runs now is left out: until the work ahead has started, the workers finish what
    runs now, and are left with about as much.

    Args:
        service: Load of the service.
        priority: Priority of the job's queue.
        size_class: Class of its size.
        uses: Which resources it needs.
        is_late: Whether the job has missed its objective.
    """
    ahead = [0.0, 0.0, 0.0]
    for load in service.priorities:
        for backlog in load.backlogs:
            ratio = _compute_ratio_ahead(load.priority, backlog, priority, size_class, is_late)
            for number, amount in enumerate(backlog.amounts):
                ahead[number] += ratio * amount
    return max(
        (
            amount / total
            for amount, total, is_used in zip(ahead, measure(service.total), uses, strict=True)
            if is_used and total > 0.0
        ),
        default=0.0,
    )


def _compute_ratio_ahead(
    priority: int, backlog: Backlog, own_priority: int, own_class: int, is_late: bool
) -> float:
    """Returns the share of a backlog that goes ahead of a new job; see ``ordering.Rank``.

    When the job is late, work that waits now is late as well, so that its priority and size count.
    """
    if priority > own_priority:
        return 0.0
    is_urgent = priority == 0 and own_priority != 0
    if backlog.is_late and not is_late and not is_urgent:
        return 0.0
    if priority < own_priority or backlog.size_class == FIRST_CLASS:
        return 1.0
    if backlog.size_class == own_class:
        return SAME_CLASS_RATIO
    return 1.0 if backlog.size_class < own_class else 0.0


def _draw_retry_after_s(wait_s: float, draw: float) -> int:
    """Returns a time to come back, spread around the expected time of room.

    That time is a point in time which does not depend on when a caller asks, so that callers who
    were refused earlier do not come back later than new ones.
    """
    ratio = 1.0 + SPREAD_RATIO * (2.0 * draw - 1.0)
    return max(1, min(MAX_RETRY_AFTER_S, math.ceil(ratio * wait_s)))


def classify_size(is_first: bool, work_core_s: float) -> int:
    """Returns the class of a job by its work, or ``FIRST_CLASS`` if its size does not count."""
    if is_first:
        return FIRST_CLASS
    size_class = 1 + int(math.log(max(1.0, work_core_s), SIZE_CLASS_FACTOR))
    return min(MAX_SIZE_CLASS, size_class)


def compute_work(steps: tuple[model.Step, ...]) -> float:
    """Returns the declared work of all tasks of steps, in core-seconds."""
    return sum(step.count * step.estimate_s * ordering.compute_usage(step.need) for step in steps)


def measure(amount: model.Resources) -> tuple[float, float, float]:
    """Returns an amount in cores, gigabytes and accelerators."""
    return amount.cpu_millicores / 1000.0, amount.memory_mb / 1000.0, float(amount.accelerators)


def multiply(need: model.Resources, count: int) -> model.Resources:
    """Returns the amount that several tasks need."""
    return model.Resources(
        need.cpu_millicores * count, need.memory_mb * count, need.accelerators * count
    )
