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
    """

    key: tuple
    cost: float
    room_by_worker: dict[str, model.Resources]
    remaining_s: float | None = None


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

    Tasks are placed one at a time, each on the worker where its victims cost least.

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


def _choose_within(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    victims: list[_PricedUnit],
) -> Preemption | None:
    """Places the tasks on the given workers, or returns None if they do not all fit.

    The victims are in order of their cost.
    """
    plan = _TentativePlan({c.worker_id: c.room for c in candidates}, {})
    plan.limits = {c.worker_id: c.limit for c in candidates}
    units_by_worker: dict[str, list[_PricedUnit]] = {c.worker_id: [] for c in candidates}
    for victim in victims:
        for worker_id in victim.unit.room_by_worker:
            if worker_id in units_by_worker:
                units_by_worker[worker_id].append(victim)
    placed: list[str] = []
    while len(placed) < count:
        choice = _find_cheapest_worker(need, candidates, units_by_worker, plan)
        if choice is None:
            return None
        worker_id, victims_there = choice
        for victim in victims_there:
            _add_victim(victim, plan)
        plan.rooms[worker_id] = plan.rooms[worker_id] - need
        plan.limits[worker_id] -= 1
        placed.append(worker_id)
    stopped = [victim.unit for victim in plan.chosen.values() if not victim.is_awaited]
    awaited = [victim.unit for victim in plan.chosen.values() if victim.is_awaited]
    return Preemption(placed, stopped, sum(unit.cost for unit in stopped), awaited)


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
