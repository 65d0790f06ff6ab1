"""Where the tasks of a step fit, as pure functions of the room on workers.

Answers the load pattern in which many small tasks run beside gangs that need whole workers:
small tasks are packed on the fullest workers and racks, so that whole ones stay free.
"""

import dataclasses
from collections.abc import Iterable

from lycheegate.jobs import model

__all__ = ["Candidate", "count_fitting", "group_by_rack", "place_gang", "place_task"]


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that may run tasks of a step.

    Attributes:
        worker_id: The worker.
        rack: Its rack.
        room: What is free there.
        capacity: All of its resources.
        limit: Most further tasks of the step that it may run.
        is_avoided: Whether a task of the step has failed there.
    """

    worker_id: str
    rack: str
    room: model.Resources
    capacity: model.Resources
    limit: int
    is_avoided: bool = False


def count_fitting(need: model.Resources, room: model.Resources, limit: int) -> int:
    """Returns how many tasks of a size fit into a room."""
    if not need.fits(room):
        return 0
    counts = [limit]
    for wanted, free in (
        (need.cpu_millicores, room.cpu_millicores),
        (need.memory_mb, room.memory_mb),
        (need.accelerators, room.accelerators),
    ):
        if wanted > 0:
            counts.append(free // wanted)
    return min(counts)


def group_by_rack(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Returns the candidates of each rack."""
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.rack, []).append(candidate)
    return racks


def place_task(
    need: model.Resources, candidates: list[Candidate], near_rack: str, only_near: bool
) -> str | None:
    """Returns the worker for a single task, or None.

    Args:
        need: Its resources.
        candidates: Workers.
        near_rack: Rack of its data, or an empty string.
        only_near: Whether it may not run on another rack.
    """
    best: Candidate | None = None
    best_rank: tuple = ()
    for candidate in candidates:
        if candidate.limit < 1 or not need.fits(candidate.room):
            continue
        is_far = bool(near_rack) and candidate.rack != near_rack
        if is_far and only_near:
            continue
        rank = (candidate.is_avoided, is_far, *_rank_fullness(candidate))
        if best is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best.worker_id if best else None


def place_gang(
    count: int,
    need: model.Resources,
    candidates: list[Candidate],
    same_rack: bool,
    near_rack: str = "",
    may_span: bool = False,
) -> list[str] | None:
    """Returns a worker for each member, or None if not all of them fit.

    Args:
        count: Number of members.
        need: Resources of one member.
        candidates: Workers.
        same_rack: Whether the gang is slowed down when it spans racks.
        near_rack: Rack of its data, or an empty string.
        may_span: Whether a ``same_rack`` gang may span racks if no rack has room.
    """
    usable = [c for c in candidates if not c.is_avoided]
    for pool in (usable, candidates):
        placement = _place_in_one_rack(count, need, pool, near_rack)
        if placement is None and (not same_rack or may_span):
            placement = _fill(count, need, sorted(pool, key=_rank_fullness))
        if placement is not None:
            return placement
    return None


def _place_in_one_rack(
    count: int, need: model.Resources, pool: list[Candidate], near_rack: str
) -> list[str] | None:
    """Takes the rack with the least room that is enough, its data's rack first."""
    best: list[Candidate] | None = None
    best_rank: tuple = ()
    for rack, members in group_by_rack(pool).items():
        fitting = sum(count_fitting(need, c.room, c.limit) for c in members)
        if fitting < count:
            continue
        rank = (bool(near_rack) and rack != near_rack, fitting)
        if best is None or rank < best_rank:
            best, best_rank = members, rank
    if best is None:
        return None
    return _fill(count, need, sorted(best, key=_rank_fullness))


def _fill(count: int, need: model.Resources, ordered: list[Candidate]) -> list[str] | None:
    placement: list[str] = []
    for candidate in ordered:
        fitting = count_fitting(need, candidate.room, candidate.limit)
        placement += [candidate.worker_id] * min(fitting, count - len(placement))
        if len(placement) == count:
            return placement
    return None


def _rank_fullness(candidate: Candidate) -> tuple[int, int, str]:
    """Orders the fullest workers first."""
    return (candidate.room.accelerators, candidate.room.cpu_millicores, candidate.worker_id)
