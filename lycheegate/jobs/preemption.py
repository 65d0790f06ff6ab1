"""Selection of the runs to preempt for more urgent work.

Handles bursts of urgent gangs that arrive while the workers are full of long work. Victims whose
stop loses the least work are preferred, and members of one gang are only stopped together. Runs
that end soon enough by themselves are awaited instead of stopped.
"""

import dataclasses

from lycheegate.jobs import model, placement

__all__ = ["Preemption", "VictimUnit", "choose_victims"]

AWAITED_COST_PER_S = 1e-3
"""Cost of awaiting a unit, for each second until it ends: lower than that of any stop, and lowest
for the unit that ends first."""


@dataclasses.dataclass(frozen=True, slots=True)
class VictimUnit:
    """Runs that are stopped together: one run, or all runs of a gang.

    Attributes:
        key: Unique key of the unit; also breaks ties between equal costs.
        cost: Cost of stopping it, in the unit that the caller compares, such as the core-seconds
            of work that are lost.
        room_by_worker: Resources that stopping it frees, by worker.
        remaining_s: Time until it ends by itself, or None if that is not known.
        lost_core_s: Work that is lost with it, for the log.
    """

    key: tuple
    cost: float
    room_by_worker: dict[str, model.Resources]
    remaining_s: float | None = None
    lost_core_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """A placement that becomes possible once its victims are stopped and other runs have ended.

    Attributes:
        placement: Worker of each task.
        victims: Units to stop.
        cost: Sum of the costs of the victims.
        awaited: Units that end by themselves.
    """

    placement: list[str]
    victims: list[VictimUnit]
    cost: float
    awaited: list[VictimUnit]


def choose_victims(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    victims: list[VictimUnit],
    same_rack: bool,
    wait_s: float = 0.0,
) -> Preemption | None:
    """Returns a low-cost preemption that makes room for all tasks, or None if there is none.

    Tasks are placed one at a time, each on the worker where its victims cost least. This is done
    twice: with the cost of each unit, and with its cost for each task that it makes room for, which
    favors gangs that make room for several. Units that turn out to be unnecessary are then left
    out, and the cheaper result is returned.

    Args:
        count: Number of tasks.
        need: Resources of one task.
        candidates: Workers, with the room that is free on each.
        victims: Units that may be stopped.
        same_rack: Whether to prefer a placement within one rack; all racks are used if no single
            rack suffices.
        wait_s: Units that end by themselves within this time are awaited instead of stopped.
    """
    priced = [_price(unit, wait_s) for unit in victims]
    priced.sort(key=lambda item: (item.cost, item.unit.key))
    best: Preemption | None = None
    if same_rack:
        for rack_candidates in placement.group_by_rack(candidates).values():
            found = _choose_within(count, need, rack_candidates, priced)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
    if best is None:
        best = _choose_within(count, need, candidates, priced)
    return best


@dataclasses.dataclass(frozen=True, slots=True)
class _PricedUnit:
    """A unit with what it costs to get its room.

    Attributes:
        unit: The unit.
        cost: Cost of stopping it, or of awaiting it.
        is_awaited: Whether it is awaited.
    """

    unit: VictimUnit
    cost: float
    is_awaited: bool


def _price(unit: VictimUnit, wait_s: float) -> _PricedUnit:
    if unit.remaining_s is not None and unit.remaining_s < wait_s:
        return _PricedUnit(unit, AWAITED_COST_PER_S * unit.remaining_s, True)
    return _PricedUnit(unit, unit.cost, False)


@dataclasses.dataclass(slots=True)
class _TentativePlan:
    """Free room and remaining task limits per worker while a preemption is being built.

    Attributes:
        rooms: Free room of each worker, including what chosen victims free.
        limits: Number of further tasks that each worker may run.
        chosen: Victims chosen so far, by key.
    """

    rooms: dict[str, model.Resources]
    limits: dict[str, int]
    chosen: dict[tuple, _PricedUnit] = dataclasses.field(default_factory=dict)


def _make_plan(candidates: list[placement.Candidate]) -> _TentativePlan:
    rooms = {candidate.worker_id: candidate.room for candidate in candidates}
    limits = {candidate.worker_id: candidate.limit for candidate in candidates}
    return _TentativePlan(rooms, limits)


def _choose_within(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    victims: list[_PricedUnit],
) -> Preemption | None:
    """Places the tasks on the given workers, or returns None if they do not all fit.

    The victims are in order of their cost.
    """
    best = _choose_units_for_all(count, need, candidates, victims)
    if best is None or len(best.victims) < 2:
        return best
    shared = [_price_per_task(count, need, victim) for victim in victims]
    shared.sort(key=lambda item: (item.cost, item.unit.key))
    found = _choose_units_for_all(count, need, candidates, shared)
    return found if found is not None and found.cost < best.cost else best


def _price_per_task(count: int, need: model.Resources, victim: _PricedUnit) -> _PricedUnit:
    """Returns a unit with its cost for each of the tasks that it makes room for."""
    rooms = victim.unit.room_by_worker.values()
    tasks = min(count, sum(placement.count_fitting(need, room, count) for room in rooms))
    return dataclasses.replace(victim, cost=victim.cost / max(1, tasks))


def _choose_units_for_all(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    victims: list[_PricedUnit],
) -> Preemption | None:
    """Returns a preemption that uses the cheapest units for one task after the other, or None."""
    plan = _make_plan(candidates)
    units_by_worker: dict[str, list[_PricedUnit]] = {c.worker_id: [] for c in candidates}
    for victim in victims:
        for worker_id in victim.unit.room_by_worker:
            if worker_id in units_by_worker:
                units_by_worker[worker_id].append(victim)
    for _ in range(count):
        choice = _find_cheapest_worker(need, candidates, units_by_worker, plan)
        if choice is None:
            return None
        worker_id, victims_there = choice
        for victim in victims_there:
            _add_victim(victim, plan)
        plan.rooms[worker_id] = plan.rooms[worker_id] - need
        plan.limits[worker_id] -= 1
    return _trim(count, need, candidates, list(plan.chosen.values()))


def _trim(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    chosen: list[_PricedUnit],
) -> Preemption:
    """Places the tasks with as few of the chosen units as they need, the costly ones left first.

    The room that later units free may make earlier ones unnecessary.
    """
    plan = _make_plan(candidates)
    for victim in chosen:
        _add_victim(victim, plan)
    fitting = {
        worker_id: placement.count_fitting(need, room, plan.limits[worker_id])
        for worker_id, room in plan.rooms.items()
    }
    spare = sum(fitting.values()) - count
    for victim in sorted(chosen, key=lambda item: (-item.unit.cost, item.unit.key)):
        rooms = {
            worker_id: plan.rooms[worker_id] - freed
            for worker_id, freed in victim.unit.room_by_worker.items()
            if worker_id in plan.rooms
        }
        without = {
            worker_id: placement.count_fitting(need, room, plan.limits[worker_id])
            for worker_id, room in rooms.items()
        }
        reduction = sum(fitting[worker_id] - number for worker_id, number in without.items())
        if reduction <= spare:
            spare -= reduction
            plan.rooms.update(rooms)
            fitting.update(without)
            del plan.chosen[victim.unit.key]
    placed = _assign(count, fitting, plan)
    stopped = [victim.unit for victim in plan.chosen.values() if not victim.is_awaited]
    awaited = [victim.unit for victim in plan.chosen.values() if victim.is_awaited]
    return Preemption(placed, stopped, sum(unit.cost for unit in stopped), awaited)


def _assign(count: int, fitting: dict[str, int], plan: _TentativePlan) -> list[str]:
    """Returns a worker for each task, workers on which units are stopped or awaited first.

    Args:
        count: Number of tasks.
        fitting: Number of tasks that fit on each worker.
        plan: The plan with the chosen units.
    """
    freed = {w for victim in plan.chosen.values() for w in victim.unit.room_by_worker}
    placed: list[str] = []
    for worker_id in sorted(fitting, key=lambda worker_id: worker_id not in freed):
        placed += [worker_id] * min(fitting[worker_id], count - len(placed))
    return placed


def _find_cheapest_worker(
    need: model.Resources,
    candidates: list[placement.Candidate],
    units_by_worker: dict[str, list[_PricedUnit]],
    plan: _TentativePlan,
) -> tuple[str, list[_PricedUnit]] | None:
    """Returns the worker where a task costs least, with the units to stop there, or None."""
    best: tuple[str, list[_PricedUnit]] | None = None
    best_cost = 0.0
    for candidate in candidates:
        worker_id = candidate.worker_id
        if plan.limits[worker_id] < 1:
            continue
        units = _choose_units(
            need, plan.rooms[worker_id], units_by_worker[worker_id], worker_id, plan
        )
        if units is None:
            continue
        cost = sum(unit.cost for unit in units)
        if best is None or cost < best_cost:
            best, best_cost = (worker_id, units), cost
    return best


def _choose_units(
    need: model.Resources,
    room: model.Resources,
    victims: list[_PricedUnit],
    worker_id: str,
    plan: _TentativePlan,
) -> list[_PricedUnit] | None:
    """Returns the cheapest units that make a task fit on a worker, or None if it cannot fit."""
    chosen: list[_PricedUnit] = []
    for victim in victims:
        if need.fits(room):
            break
        if victim.unit.key in plan.chosen:
            continue
        chosen.append(victim)
        room = room + victim.unit.room_by_worker[worker_id]
    return chosen if need.fits(room) else None


def _add_victim(victim: _PricedUnit, plan: _TentativePlan) -> None:
    plan.chosen[victim.unit.key] = victim
    for worker_id, freed in victim.unit.room_by_worker.items():
        if worker_id in plan.rooms:
            plan.rooms[worker_id] = plan.rooms[worker_id] + freed
