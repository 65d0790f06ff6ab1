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
MAX_COUNTED_S = 10.0
"""Longest declared duration of a task that counts. A few long tasks start as soon as others end,
and then leave the rest of the workers to the work behind them."""
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
    tallies: dict[str, _Tally] = {}
    for worker in current.workers.values():
        # Workers that are silent for a moment count: without them, waits would be too long.
        if pool.is_eligible(current, worker, now_s):
            tally = tallies.setdefault(worker.service, _Tally())
            tally.total = tally.total + worker.capacity
            tally.largest = tally.largest.max(worker.capacity)
    for job in current.jobs.values():
        route = state.get_route(current, job)
        if route.service in tallies:
            _add_job(tallies[route.service], job, route, now_s, wall_s)
    result: admission.Load = {}
    for service, tally in tallies.items():
        rooms = workers.list_rooms(service)
        capacity = capacities.get(service, headroom.ServiceCapacity())
        demand = current.urgent_demand.get(service, headroom.UrgentDemand())
        used = sum(
            count * headroom.compute_share(need, capacity.largest)
            for need, count in tally.urgent_runs.items()
        )
        capacity.headroom = headroom.compute_headroom(demand, used, capacity.total)
        result[service] = _make_service_load(tally, rooms, capacity)
    return result


@dataclasses.dataclass(slots=True)
class _Tally:
    """Sums over the workers and jobs of a service.

    Attributes:
        total: Resources of its workers.
        largest: Largest amount of each resource that any worker has.
        running_core_s: Remaining work of runs by priority.
        urgent_runs: Number of runs of urgent jobs by what each needs.
        backlogs: Waiting work by priority, lateness, class of size, and need of its tasks, as the
            sum of their declared durations.
        demands: Number of running and ready tasks by client account and need.
        waiting_steps: Steps with tasks that could start at once, and the number of these tasks.
    """

    total: model.Resources = model.Resources()
    largest: model.Resources = model.Resources()
    running_core_s: dict[int, float] = dataclasses.field(default_factory=dict)
    urgent_runs: dict[model.Resources, int] = dataclasses.field(default_factory=dict)
    backlogs: dict[tuple[int, bool, int, model.Resources], float] = dataclasses.field(
        default_factory=dict
    )
    demands: dict[tuple[str, model.Resources], int] = dataclasses.field(default_factory=dict)
    waiting_steps: list[tuple[model.Step, int]] = dataclasses.field(default_factory=list)


def _add_job(
    tally: _Tally, job: state.JobState, route: model.Route, now_s: float, wall_s: float
) -> None:
    """Adds the runs of a job, and those of its tasks that only wait for room."""
    order: tuple[int, bool, int] | None = None
    for step in job.steps.values():
        need, running = step.step.need, len(step.runs)
        waiting = _count_waiting(job, step, now_s)
        if waiting and not _may_fit(tally, step.step):
            waiting = 0
        if running or waiting:
            _add(tally.demands, (job.job.account, need), running + waiting)
        if running:
            # Runs are half done on average; the figure is for the operators only.
            work = running * 0.5 * step.step.estimate_s * ordering.compute_usage(need)
            _add(tally.running_core_s, route.priority, work)
            if route.priority == 0:
                _add(tally.urgent_runs, need, running)
        if waiting:
            order = order or _classify_job(job, route, wall_s)
            duration_s = min(MAX_COUNTED_S, step.step.estimate_s)
            _add(tally.backlogs, (*order, need), waiting * duration_s)
            tally.waiting_steps.append((step.step, waiting))


def _count_waiting(job: state.JobState, step: state.StepState, now_s: float) -> int:
    """Returns the number of tasks of a step that could start on any worker with room."""
    if not job.is_open or step.is_done or step.not_before_s > now_s:
        return 0
    # Steps with a label may wait for workers that do not exist, and delay no other work. What a
    # long-running step occupies never becomes free, so its declared duration says nothing.
    if step.step.label or step.step.long_running or not lifecycle.is_ready(job, step):
        return 0
    placed = len(step.runs)
    if step.done:
        placed = sum(index not in step.done for index in step.runs)
    if step.step.gang and placed:
        return 0
    return step.step.count - len(step.done) - placed


def _may_fit(tally: _Tally, step: model.Step) -> bool:
    """Returns whether a step could start on empty workers; others wait without delaying any."""
    need = admission.multiply(step.need, step.count) if step.gang else step.need
    return step.need.fits(tally.largest) and need.fits(tally.total)


def _classify_job(job: state.JobState, route: model.Route, wall_s: float) -> tuple[int, bool, int]:
    """Returns the priority of a waiting job, whether it is late, and the class of its size."""
    slack_s = ordering.compute_objective_s(job, route) - wall_s - ordering.compute_remaining_s(job)
    is_near = 0.0 <= slack_s < ordering.NEAR_OBJECTIVE_SLACK_S
    is_first = is_near or route.priority == 0
    size_class = admission.classify_size(is_first, ordering.compute_remaining_work(job))
    return route.priority, slack_s < 0.0, size_class


def _make_service_load(
    tally: _Tally, rooms: list[tuple[str, model.Resources]], capacity: headroom.ServiceCapacity
) -> admission.ServiceLoad:
    urgent_free, largest_free = model.Resources(), model.Resources()
    for _, room in rooms:
        if _EMPTY.fits(room):
            urgent_free = urgent_free + room
            largest_free = largest_free.max(room)
    urgent_free = _subtract_fitting(urgent_free, tally.waiting_steps, rooms)
    priorities = sorted(tally.running_core_s.keys() | {key[0] for key in tally.backlogs})
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
    waiting_core_s = 0.0
    sums: dict[tuple[bool, int], list[float]] = {}
    for (found, is_late, size_class, need), task_s in tally.backlogs.items():
        if found != priority:
            continue
        waiting_core_s += task_s * ordering.compute_usage(need)
        amounts = sums.setdefault((is_late, size_class), [0.0, 0.0, 0.0])
        for number, amount in enumerate(admission.measure(need)):
            amounts[number] += task_s * amount
    backlogs = tuple(
        admission.Backlog(*order, tuple(_round(amount) for amount in amounts))
        for order, amounts in sorted(sums.items())
    )
    running_core_s = tally.running_core_s.get(priority, 0.0)
    return admission.PriorityLoad(
        priority, _round(running_core_s), _round(waiting_core_s), 0, backlogs
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
        if not fitting or (step.gang and fitting < count):
            continue
        free = (free - admission.multiply(step.need, fitting)).max(_EMPTY)
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
    demands: dict[str, model.Resources] = {}
    for (account, need), count in tally.demands.items():
        demands[account] = demands.get(account, _EMPTY) + admission.multiply(need, count)

    def compute_share(demand: model.Resources) -> float:
        amounts = zip(admission.measure(demand), total, strict=True)
        return max((amount / have for amount, have in amounts if have > 0.0), default=0.0)

    equal_share = 1.0 / max(1, len(demands))
    return frozenset(a for a, demand in demands.items() if compute_share(demand) > equal_share)


def _add(sums: dict, key: object, amount: float) -> None:
    sums[key] = sums.get(key, 0) + amount


def _scale(amount: model.Resources, ratio: float) -> model.Resources:
    return model.Resources(
        int(amount.cpu_millicores * ratio),
        int(amount.memory_mb * ratio),
        int(amount.accelerators * ratio),
    )


def _round(amount: float) -> int:
    """Returns an amount with the published precision."""
    if amount < 1.0:
        return 0
    digits = SIGNIFICANT_DIGITS - 1 - int(math.log10(amount))
    return int(round(amount, min(0, digits)))
