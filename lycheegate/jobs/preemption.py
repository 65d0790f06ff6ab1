"""Whom to stop so that more urgent work can begin.

Answers the load pattern in which a burst of urgent gangs meets workers that are full of long
work: the victims are chosen by the work that is lost with them, and members of one gang are
only stopped together.
"""

import dataclasses

from lycheegate.jobs import model, placement

__all__ = ["Preemption", "VictimUnit", "choose_victims"]


@dataclasses.dataclass(frozen=True, slots=True)
class VictimUnit:
    """Runs that are stopped together.

    Attributes:
        key: Identity of the unit.
        cost: Work that is lost when it is stopped, in core-seconds.
        room_by_worker: What becomes free on each worker.
    """

    key: tuple
    cost: float
    room_by_worker: dict[str, model.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """A placement that becomes possible when victims are stopped.

    Attributes:
        placement: Worker of each task.
        victims: Units to stop.
        cost: Work that is lost, in core-seconds.
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
    """Returns the cheapest preemption that makes room for all tasks, or None.

    Args:
        count: Number of tasks.
        need: Resources of one task.
        candidates: Workers with their free room.
        victims: Units that may be stopped.
        same_rack: Whether one rack is to be preferred; all racks are used if none suffices.
    """
    best: Preemption | None = None
    if same_rack:
        for members in placement.group_by_rack(candidates).values():
            found = _choose_within(count, need, members, victims)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
    if best is None:
        best = _choose_within(count, need, candidates, victims)
    return best


@dataclasses.dataclass(slots=True)
class _Scratch:
    """Room while a preemption is put together."""

    rooms: dict[str, model.Resources]
    limits: dict[str, int]
    stopped: dict[tuple, VictimUnit] = dataclasses.field(default_factory=dict)


def _choose_within(
    count: int,
    need: model.Resources,
    members: list[placement.Candidate],
    victims: list[VictimUnit],
) -> Preemption | None:
    scratch = _Scratch({c.worker_id: c.room for c in members}, {})
    scratch.limits = {c.worker_id: c.limit for c in members}
    by_worker: dict[str, list[VictimUnit]] = {c.worker_id: [] for c in members}
    for unit in sorted(victims, key=lambda u: (u.cost, u.key)):
        for worker_id in unit.room_by_worker:
            if worker_id in by_worker:
                by_worker[worker_id].append(unit)
    placed: list[str] = []
    while len(placed) < count:
        choice = _find_cheapest(need, members, by_worker, scratch)
        if choice is None:
            return None
        worker_id, units = choice
        for unit in units:
            _apply(unit, scratch)
        scratch.rooms[worker_id] = scratch.rooms[worker_id] - need
        scratch.limits[worker_id] -= 1
        placed.append(worker_id)
    stopped = list(scratch.stopped.values())
    return Preemption(placed, stopped, sum(unit.cost for unit in stopped))


def _find_cheapest(
    need: model.Resources,
    members: list[placement.Candidate],
    by_worker: dict[str, list[VictimUnit]],
    scratch: _Scratch,
) -> tuple[str, list[VictimUnit]] | None:
    best: tuple[str, list[VictimUnit]] | None = None
    best_cost = 0.0
    for candidate in members:
        worker_id = candidate.worker_id
        if scratch.limits[worker_id] < 1:
            continue
        units = _make_room(need, scratch.rooms[worker_id], by_worker[worker_id], worker_id, scratch)
        if units is None:
            continue
        cost = sum(unit.cost for unit in units)
        if best is None or cost < best_cost:
            best, best_cost = (worker_id, units), cost
    return best


def _make_room(
    need: model.Resources,
    room: model.Resources,
    units: list[VictimUnit],
    worker_id: str,
    scratch: _Scratch,
) -> list[VictimUnit] | None:
    chosen: list[VictimUnit] = []
    for unit in units:
        if need.fits(room):
            break
        if unit.key in scratch.stopped:
            continue
        chosen.append(unit)
        room = room + unit.room_by_worker[worker_id]
    return chosen if need.fits(room) else None


def _apply(unit: VictimUnit, scratch: _Scratch) -> None:
    scratch.stopped[unit.key] = unit
    for worker_id, freed in unit.room_by_worker.items():
        if worker_id in scratch.rooms:
            scratch.rooms[worker_id] = scratch.rooms[worker_id] + freed
