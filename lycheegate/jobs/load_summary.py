"""Summary of the load of each service, by which other VMs decide whether to refuse a job.

Handles a fleet that is full all the time, in which some room is always free for a moment until the
next pass fills it: only room that no waiting task can use counts as free.
"""

import dataclasses
import math

from lycheegate.jobs import (
    admission,
    headroom,
    lifecycle,
    model,
    ordering,
    placement,
    pool,
    scheduling,
    state,
)

__all__ = ["SETTLE_S", "summarise_load"]

SETTLE_S = 3.0
"""Time from the start of a term until its load is known: reports of most workers are missing
before."""
MAX_SEARCHED_NEEDS = 16
"""Number of kinds of tasks for which room is searched; the others count as not fitting."""
SIGNIFICANT_DIGITS = 2
"""Precision of the published amounts. Smaller changes are not worth another write."""
_EMPTY = model.Resources()


def summarise_load(current: state.SchedulerState, now_s: float, wall_s: float) -> admission.Load:
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
    result: admission.Load = {}
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
        for number, amount in enumerate(admission.measure(step.step.need)):
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
    size_class = admission.classify_size(is_first, ordering.compute_remaining_work(job))
    return route.priority, slack_s < 0.0, size_class


def _sum_remaining_s(step: state.StepState, now_s: float) -> float:
    # The declared duration suffices: the figure is for the log, and there may be 10,000 runs.
    return sum(
        max(0.0, step.step.estimate_s - (now_s - run.phase_began_at_s))
        for run in step.runs.values()
    )


def _make_service_load(
    tally: _Tally, rooms: list[tuple[str, model.Resources]], capacity: headroom.ServiceCapacity
) -> admission.ServiceLoad:
    urgent_free, largest_free = model.Resources(), model.Resources()
    for _, room in rooms:
        if _EMPTY.fits(room):
            urgent_free = urgent_free + room
            largest_free = largest_free.max(room)
    urgent_free = _subtract_fitting(urgent_free, tally.waiting_steps, rooms)
    priorities = sorted(
        tally.running_core_s.keys() | tally.waiting_core_s.keys() | {k[0] for k in tally.backlogs}
    )
    load = admission.ServiceLoad(
        tally.total,
        _scale(urgent_free, _compute_admitted_ratio(capacity)),
        urgent_free,
        largest_free,
        _list_heavy_accounts(tally),
        tuple(_make_priority_load(tally, priority) for priority in priorities),
    )
    waits = {
        p: admission.compute_wait_s(load, p, admission.MAX_SIZE_CLASS + 1, (True,) * 3, False)
        for p in priorities
    }
    return dataclasses.replace(
        load,
        priorities=tuple(
            dataclasses.replace(p, wait_s=_round(waits[p.priority])) for p in load.priorities
        ),
    )


def _make_priority_load(tally: _Tally, priority: int) -> admission.PriorityLoad:
    backlogs = tuple(
        admission.Backlog(is_late, size_class, tuple(_round(amount) for amount in amounts))
        for (found, is_late, size_class), amounts in sorted(tally.backlogs.items())
        if found == priority
    )
    running, waiting = tally.running_core_s, tally.waiting_core_s
    return admission.PriorityLoad(
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
        free = _clip(free - admission.multiply(step.need, fitting))
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
    total = admission.measure(tally.total)

    def compute_share(demand: model.Resources) -> float:
        amounts = zip(admission.measure(demand), total, strict=True)
        return max((amount / have for amount, have in amounts if have > 0.0), default=0.0)

    equal_share = 1.0 / max(1, len(tally.demands))
    return frozenset(
        a for a, demand in tally.demands.items() if compute_share(demand) > equal_share
    )


def _add(sums: dict, key: object, amount: float) -> None:
    sums[key] = sums.get(key, 0) + amount


def _add_demand(tally: _Tally, account: str, need: model.Resources, count: int) -> None:
    tally.demands[account] = tally.demands.get(account, _EMPTY) + admission.multiply(need, count)


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
