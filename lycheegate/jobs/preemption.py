"""Selection of the runs to preempt for more urgent work.

Handles bursts of urgent gangs that arrive while the workers are full of long work. Victims whose
stop loses the least work are preferred, and members of one gang are only stopped together.
"""

import dataclasses

from lycheegate.jobs import model, placement

__all__ = ["Preemption", "VictimUnit", "choose_victims"]


@dataclasses.dataclass(frozen=True, slots=True)
class VictimUnit:
    """Runs that are stopped together: one run, or all runs of a gang.

    Attributes:
        key: Unique key of the unit; also breaks ties between equal costs.
        cost: Cost of stopping it, in the unit that the caller compares, such as the core-seconds
            of work that are lost.
        room_by_worker: Resources that stopping it frees, by worker.
    """

    key: tuple
    cost: float
    room_by_worker: dict[str, model.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """A placement that becomes possible once its victims are stopped.

    Attributes:
        placement: Worker of each task.
        victims: Units to stop.
        cost: Sum of the costs of the victims.
    """

    placement: list[str]
    victims: list[VictimUnit]
    cost: float


def choose_victims(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    victims: list[VictimUnit],
    same_rack: bool,
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
    """
    best: Preemption | None = None
    if same_rack:
        for rack_candidates in placement.group_by_rack(candidates).values():
            found = _choose_within(count, need, rack_candidates, victims)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
    if best is None:
        best = _choose_within(count, need, candidates, victims)
    return best


@dataclasses.dataclass(slots=True)
class _TentativePlan:
    """Free room and remaining task limits per worker while a preemption is being built.

    Attributes:
        rooms: Free room of each worker, including what chosen victims free.
        limits: Number of further tasks that each worker may run.
        stopped: Victims chosen so far, by key.
    """

    rooms: dict[str, model.Resources]
    limits: dict[str, int]
    stopped: dict[tuple, VictimUnit] = dataclasses.field(default_factory=dict)


def _choose_within(
    count: int,
    need: model.Resources,
    candidates: list[placement.Candidate],
    victims: list[VictimUnit],
) -> Preemption | None:
    """Places the tasks on the given workers, or returns None if they do not all fit."""
    plan = _TentativePlan({c.worker_id: c.room for c in candidates}, {})
    plan.limits = {c.worker_id: c.limit for c in candidates}
    units_by_worker: dict[str, list[VictimUnit]] = {c.worker_id: [] for c in candidates}
    for unit in sorted(victims, key=lambda u: (u.cost, u.key)):
        for worker_id in unit.room_by_worker:
            if worker_id in units_by_worker:
                units_by_worker[worker_id].append(unit)
    placed: list[str] = []
    while len(placed) < count:
        choice = _find_cheapest_worker(need, candidates, units_by_worker, plan)
        if choice is None:
            return None
        worker_id, units = choice
        for unit in units:
            _add_victim(unit, plan)
        plan.rooms[worker_id] = plan.rooms[worker_id] - need
        plan.limits[worker_id] -= 1
        placed.append(worker_id)
    stopped = list(plan.stopped.values())
    return Preemption(placed, stopped, sum(unit.cost for unit in stopped))


def _find_cheapest_worker(
    need: model.Resources,
    candidates: list[placement.Candidate],
    units_by_worker: dict[str, list[VictimUnit]],
    plan: _TentativePlan,
) -> tuple[str, list[VictimUnit]] | None:
    """Returns the worker where a task costs least, with the units to stop there, or None."""
    best: tuple[str, list[VictimUnit]] | None = None
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
    units: list[VictimUnit],
    worker_id: str,
    plan: _TentativePlan,
) -> list[VictimUnit] | None:
    """Returns the cheapest units that make a task fit on a worker, or None if it cannot fit."""
    chosen: list[VictimUnit] = []
    for unit in units:
        if need.fits(room):
            break
        if unit.key in plan.stopped:
            continue
        chosen.append(unit)
        room = room + unit.room_by_worker[worker_id]
    return chosen if need.fits(room) else None


def _add_victim(unit: VictimUnit, plan: _TentativePlan) -> None:
    plan.stopped[unit.key] = unit
    for worker_id, freed in unit.room_by_worker.items():
        if worker_id in plan.rooms:
            plan.rooms[worker_id] = plan.rooms[worker_id] + freed
