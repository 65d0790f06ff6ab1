"""Refusal of jobs that cannot end in time, according to the load that the holder publishes.

Handles loads in which more work arrives than the workers can do. Without refusals the waiting work
grows without limit, and workers spend their time on jobs that end too late to be of use. The holder
of the term summarises its load (``summarise_load``), and the VM that takes a submission decides by
that summary (``decide``). Whatever is not certain is decided in favour of the job: an accepted job
may then wait longer than predicted, whereas a refused one is not served at all.
"""

import dataclasses
import math
from collections.abc import Callable

from lycheegate.jobs import (
    headroom,
    lifecycle,
    model,
    ordering,
    placement,
    pool,
    scheduling,
    state,
)

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
    "compute_work",
    "decide",
    "summarise_load",
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
SETTLE_S = 3.0
"""Time from the start of a term until its load is known: reports of most workers are missing
before."""
SIZE_CLASS_FACTOR = 4.0
"""Ratio of the sizes of neighbouring classes of jobs."""
MAX_SIZE_CLASS = 10
FIRST_CLASS = 0
"""Class of the work that goes first whatever its size: urgent, or near its objective."""
MAX_SEARCHED_NEEDS = 16
"""Number of kinds of tasks for which room is searched; the others count as not fitting."""
SIGNIFICANT_DIGITS = 2
"""Precision of the published amounts. Smaller changes are not worth another write."""

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
        running_core_s: Remaining work of its runs; an accelerator counts as 8 cores.
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
        need = need + _multiply(step.need, step.count)
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
    wait_s = _compute_wait_s(service, route.priority, size_class, uses, is_late=False)
    if SAFETY_RATIO * wait_s <= slack_s:
        return wait_s
    return _compute_wait_s(service, route.priority, size_class, uses, is_late=True)


def _compute_wait_s(
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
            for amount, total, is_used in zip(ahead, _measure(service.total), uses, strict=True)
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


def summarise_load(current: state.SchedulerState, now_s: float, wall_s: float) -> Load:
    """Returns the load of each service that has workers, or nothing while it is not known yet.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
    """
    if now_s - current.began_at_s < SETTLE_S:
        return {}
    workers = pool.WorkerPool(current, now_s, current.stalled)
    capacities = scheduling.measure_use(current, workers)
    urgent_used = scheduling.sum_urgent_use(current, capacities)
    tallies: dict[str, _Tally] = {}
    for worker in current.workers.values():
        # Workers that are silent for a moment count: without them, waits would be too long.
        if pool.is_eligible(current, worker, now_s):
            tally = tallies.setdefault(worker.service, _Tally())
            tally.total = tally.total + worker.capacity
    for job in current.jobs.values():
        route = state.get_route(current, job)
        if route.service in tallies:
            _add_job(tallies[route.service], job, route, now_s, wall_s)
    result: Load = {}
    for service, tally in tallies.items():
        rooms = workers.list_rooms(service)
        capacity = capacities.get(service, headroom.ServiceCapacity())
        demand = current.urgent_demand.get(service, headroom.UrgentDemand())
        used = urgent_used.get(service, 0.0)
        capacity.headroom = headroom.compute_headroom(demand, used, capacity.total)
        result[service] = _make_service_load(tally, rooms, capacity)
    return result


@dataclasses.dataclass(slots=True)
class _Tally:
    """Sums over the workers and jobs of a service.

    Attributes:
        total: Resources of its workers.
        running_core_s: Remaining work of runs by priority.
        waiting_core_s: Waiting work by priority.
        backlogs: Waiting work by priority, lateness and class of size.
        demands: What each client account uses and could use now.
        waiting_steps: Steps with tasks that could start at once, and the number of these tasks.
    """

    total: model.Resources = model.Resources()
    running_core_s: dict[int, float] = dataclasses.field(default_factory=dict)
    waiting_core_s: dict[int, float] = dataclasses.field(default_factory=dict)
    backlogs: dict[tuple[int, bool, int], list[float]] = dataclasses.field(default_factory=dict)
    demands: dict[str, model.Resources] = dataclasses.field(default_factory=dict)
    waiting_steps: list[tuple[model.Step, int]] = dataclasses.field(default_factory=list)


def _add_job(
    tally: _Tally, job: state.JobState, route: model.Route, now_s: float, wall_s: float
) -> None:
    """Adds the runs of a job, and those of its tasks that only wait for room."""
    order: tuple[int, bool, int] | None = None
    account = job.job.account
    for step in job.steps.values():
        usage = ordering.compute_usage(step.step.need)
        if step.runs:
            _add(tally.running_core_s, route.priority, usage * _sum_remaining_s(step, now_s))
            _add_demand(tally, account, step.step.need, len(step.runs))
        waiting = _count_waiting(job, step, now_s)
        if not waiting:
            continue
        _add_demand(tally, account, step.step.need, waiting)
        _add(tally.waiting_core_s, route.priority, usage * waiting * step.step.estimate_s)
        order = order or _classify_job(job, route, wall_s)
        sums = tally.backlogs.setdefault(order, [0.0, 0.0, 0.0])
        for number, amount in enumerate(_measure(step.step.need)):
            sums[number] += amount * waiting * step.step.estimate_s
        tally.waiting_steps.append((step.step, waiting))


def _count_waiting(job: state.JobState, step: state.StepState, now_s: float) -> int:
    """Returns the number of tasks of a step that could start on any worker with room."""
    if not job.is_open or step.is_done or step.not_before_s > now_s:
        return 0
    # Steps with a label may wait for workers that do not exist, and delay no other work. What a
    # long-running step occupies never becomes free, so its declared duration says nothing.
    if step.step.label or step.step.long_running or not lifecycle.is_ready(job, step):
        return 0
    placed = sum(index not in step.done for index in step.runs)
    if step.step.gang and placed:
        return 0
    return step.step.count - len(step.done) - placed


def _classify_job(job: state.JobState, route: model.Route, wall_s: float) -> tuple[int, bool, int]:
    """Returns the priority of a waiting job, whether it is late, and the class of its size."""
    slack_s = ordering.compute_objective_s(job, route) - wall_s - ordering.compute_remaining_s(job)
    is_near = 0.0 <= slack_s < ordering.NEAR_OBJECTIVE_SLACK_S
    is_first = is_near or route.priority == 0
    size_class = classify_size(is_first, ordering.compute_remaining_work(job))
    return route.priority, slack_s < 0.0, size_class


def _sum_remaining_s(step: state.StepState, now_s: float) -> float:
    # The declared duration suffices: the figure is for the log, and there may be 10,000 runs.
    return sum(
        max(0.0, step.step.estimate_s - (now_s - run.phase_began_at_s))
        for run in step.runs.values()
    )


def _make_service_load(
    tally: _Tally, rooms: list[tuple[str, model.Resources]], capacity: headroom.ServiceCapacity
) -> ServiceLoad:
    urgent_free, largest_free = model.Resources(), model.Resources()
    for _, room in rooms:
        if _EMPTY.fits(room):
            urgent_free = urgent_free + room
            largest_free = largest_free.max(room)
    urgent_free = _subtract_fitting(urgent_free, tally.waiting_steps, rooms)
    priorities = sorted(
        tally.running_core_s.keys() | tally.waiting_core_s.keys() | {k[0] for k in tally.backlogs}
    )
    load = ServiceLoad(
        tally.total,
        _scale(urgent_free, _compute_admitted_ratio(capacity)),
        urgent_free,
        largest_free,
        _list_heavy_accounts(tally),
        tuple(_make_priority_load(tally, priority) for priority in priorities),
    )
    waits = {
        p: _compute_wait_s(load, p, MAX_SIZE_CLASS + 1, (True,) * 3, False) for p in priorities
    }
    return dataclasses.replace(
        load,
        priorities=tuple(
            dataclasses.replace(p, wait_s=_round(waits[p.priority])) for p in load.priorities
        ),
    )


def _make_priority_load(tally: _Tally, priority: int) -> PriorityLoad:
    backlogs = tuple(
        Backlog(is_late, size_class, tuple(_round(amount) for amount in amounts))
        for (found, is_late, size_class), amounts in sorted(tally.backlogs.items())
        if found == priority
    )
    running, waiting = tally.running_core_s, tally.waiting_core_s
    return PriorityLoad(
        priority,
        _round(running.get(priority, 0.0)),
        _round(waiting.get(priority, 0.0)),
        0,
        backlogs,
    )


def _subtract_fitting(
    free: model.Resources,
    waiting: list[tuple[model.Step, int]],
    rooms: list[tuple[str, model.Resources]],
) -> model.Resources:
    """Returns the free resources without those that waiting tasks are about to get.

    Runs end all the time, so that there is always some room that the next pass fills. Room in which
    no waiting task fits is free for smaller ones.
    """
    found: dict[tuple[model.Resources, bool], int] = {}
    for step, count in waiting:
        kind = (step.need, step.gang and step.same_rack)
        if kind not in found:
            if len(found) >= MAX_SEARCHED_NEEDS:
                continue
            found[kind] = _count_fitting(step.need, rooms, kind[1])
        fitting = min(count, found[kind])
        if step.gang and fitting < count:
            continue
        free = _clip(free - _multiply(step.need, fitting))
    return free


def _count_fitting(
    need: model.Resources, rooms: list[tuple[str, model.Resources]], in_one_rack: bool
) -> int:
    """Returns how many tasks fit into the free rooms, or into those of the best rack."""
    by_rack: dict[str, int] = {}
    for rack, room in rooms:
        _add(by_rack, rack, placement.count_fitting(need, room, pool.NO_LIMIT))
    return max(by_rack.values(), default=0) if in_one_rack else sum(by_rack.values())


def _compute_admitted_ratio(capacity: headroom.ServiceCapacity) -> float:
    """Returns the share of the free capacity that work which is not urgent may use."""
    free = capacity.total - capacity.used
    limit = max(capacity.total - capacity.headroom, headroom.ALWAYS_ALLOWED_RATIO * capacity.total)
    return max(0.0, min(1.0, (limit - capacity.used) / free)) if free > 0.0 else 0.0


def _list_heavy_accounts(tally: _Tally) -> frozenset[str]:
    """Returns the client accounts that demand more than an equal share of the service.

    The others are within their share, so that jobs of accounts above it must not keep them out.
    """
    total = _measure(tally.total)

    def compute_share(demand: model.Resources) -> float:
        amounts = zip(_measure(demand), total, strict=True)
        return max((amount / have for amount, have in amounts if have > 0.0), default=0.0)

    equal_share = 1.0 / max(1, len(tally.demands))
    return frozenset(
        a for a, demand in tally.demands.items() if compute_share(demand) > equal_share
    )


_EMPTY = model.Resources()


def _add(sums: dict, key: object, amount: float) -> None:
    sums[key] = sums.get(key, 0) + amount


def _add_demand(tally: _Tally, account: str, need: model.Resources, count: int) -> None:
    tally.demands[account] = tally.demands.get(account, _EMPTY) + _multiply(need, count)


def _measure(amount: model.Resources) -> tuple[float, float, float]:
    """Returns an amount in cores, gigabytes and accelerators."""
    return amount.cpu_millicores / 1000.0, amount.memory_mb / 1000.0, float(amount.accelerators)


def _multiply(need: model.Resources, count: int) -> model.Resources:
    return _scale(need, count)


def _scale(amount: model.Resources, ratio: float) -> model.Resources:
    return model.Resources(*(int(number * ratio) for number in dataclasses.astuple(amount)))


def _clip(amount: model.Resources) -> model.Resources:
    return model.Resources(*(max(0, number) for number in dataclasses.astuple(amount)))


def _round(amount: float) -> int:
    """Returns an amount with the published precision."""
    if amount < 1.0:
        return 0
    digits = SIGNIFICANT_DIGITS - 1 - int(math.log10(amount))
    return int(round(amount, min(0, digits)))
