"""Placement of the tasks of a step, as pure functions of the free room on workers.

Handles loads in which many small tasks run beside gangs that need whole workers: small tasks are
packed onto the fullest workers and racks, which keeps whole workers and racks free for gangs.
"""

import dataclasses
import enum
from collections.abc import Iterable

from lycheegate.jobs import model

__all__ = [
    "Candidate",
    "Tier",
    "count_fitting",
    "exceeds_every_rack",
    "group_by_rack",
    "list_by_tier",
    "list_sound",
    "place_gang",
    "place_task",
]


class Tier(enum.IntEnum):
    """Preference among workers that have room; lower tiers are used first.

    ``adequacy`` uses other values up to ``COLD`` for work that is not urgent or is late.
    """

    PREFERRED = 0
    """Adequate, for urgent work: the job is expected to meet its objective there with a margin."""
    LIKELY = 1
    """For urgent work: the job meets its objective there if the expected speed is right."""
    SLOW = 2
    """For urgent work: the job is expected to miss its objective there."""
    UNPROVED = 8
    """For gangs, in a wave of failures: no run has proved the worker sound since it began."""
    COLD = 9
    """Has started recently and is slow for a while."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that may run tasks of a step.

    Attributes:
        worker_id: The worker.
        rack: Its rack.
        room: Its free resources.
        capacity: Its total resources.
        limit: Maximum number of further tasks of the step that it may run.
        is_avoided: Whether it is chosen only if no other worker has room, because a task has
            failed there or some run on it has stalled.
        tier: Preference among the workers that have room.
    """

    worker_id: str
    rack: str
    room: model.Resources
    capacity: model.Resources
    limit: int
    is_avoided: bool = False
    tier: int = Tier.PREFERRED


def count_fitting(need: model.Resources, room: model.Resources, limit: int) -> int:
    """Returns how many tasks that each need ``need`` fit into ``room``, at most ``limit``."""
    if not need.fits(room):
        return 0
    counts = [limit]
    for need_amount, room_amount in (
        (need.cpu_millicores, room.cpu_millicores),
        (need.memory_mb, room.memory_mb),
        (need.accelerators, room.accelerators),
    ):
        if need_amount > 0:
            counts.append(room_amount // need_amount)
    return min(counts)


def group_by_rack(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Returns the candidates of each rack."""
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.rack, []).append(candidate)
    return racks


def list_sound(count: int, need: model.Resources, candidates: list[Candidate]) -> list[Candidate]:
    """Returns the candidates that are not avoided, or all if these could never hold the tasks.

    Handles workers that fail all that they start, beside jobs with few attempts: one member on such
    a worker fails the whole gang, and a task that fails on its last attempt fails its job. Such
    work rather waits for room on other workers.

    Args:
        count: Number of tasks.
        need: Resources of one task.
        candidates: Workers to choose from.
    """
    sound = [candidate for candidate in candidates if not candidate.is_avoided]
    if len(sound) == len(candidates):
        return candidates
    capacity = sum(count_fitting(need, c.capacity, c.limit) for c in sound)
    return sound if capacity >= count else candidates


def list_by_tier(candidates: list[Candidate]) -> list[list[Candidate]]:
    """Returns the candidates of the first tier, then those of the first two, and so on."""
    tiers = sorted({candidate.tier for candidate in candidates})
    if len(tiers) < 2:
        return [candidates]
    return [[c for c in candidates if c.tier <= tier] for tier in tiers]


def exceeds_every_rack(count: int, need: model.Resources, candidates: list[Candidate]) -> bool:
    """Returns whether a gang would not fit in any rack even if the rack were empty."""
    return not any(
        sum(count_fitting(need, c.capacity, c.limit) for c in rack_candidates) >= count
        for rack_candidates in group_by_rack(candidates).values()
    )


def place_task(
    need: model.Resources, candidates: list[Candidate], near_rack: str, only_near: bool
) -> str | None:
    """Returns the identifier of the worker for a single task, or None if it fits nowhere.

    Args:
        need: Resources of the task.
        candidates: Workers to choose from.
        near_rack: Rack that holds the data of the task, or an empty string.
        only_near: Whether the task may only run in ``near_rack``.
    """
    best: Candidate | None = None
    best_rank: tuple = ()
    for candidate in candidates:
        if candidate.limit < 1 or not need.fits(candidate.room):
            continue
        is_far = bool(near_rack) and candidate.rack != near_rack
        if is_far and only_near:
            continue
        rank = (candidate.is_avoided, candidate.tier, is_far, *_rank_fullness(candidate))
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
    """Returns a worker identifier for each member, or None if the members do not all fit.

    Args:
        count: Number of members.
        need: Resources of one member.
        candidates: Workers to choose from.
        same_rack: Whether the gang runs slower when it spans racks.
        near_rack: Rack that holds the data of the gang, or an empty string.
        may_span: Whether a ``same_rack`` gang may span racks if no rack has room.
    """
    placement = _place_in_one_rack(count, need, candidates, near_rack)
    if placement is None and (not same_rack or may_span):
        placement = _assign_in_order(count, need, sorted(candidates, key=_rank_fullness))
    return placement


def _place_in_one_rack(
    count: int, need: model.Resources, eligible: list[Candidate], near_rack: str
) -> list[str] | None:
    """Places a gang in the rack of its data if it fits there, else in the fullest where it fits."""
    best: list[Candidate] | None = None
    best_rank: tuple = ()
    for rack, rack_candidates in group_by_rack(eligible).items():
        fitting = sum(count_fitting(need, c.room, c.limit) for c in rack_candidates)
        if fitting < count:
            continue
        rank = (bool(near_rack) and rack != near_rack, fitting)
        if best is None or rank < best_rank:
            best, best_rank = rack_candidates, rank
    if best is None:
        return None
    return _assign_in_order(count, need, sorted(best, key=_rank_fullness))


def _assign_in_order(
    count: int, need: model.Resources, ordered: list[Candidate]
) -> list[str] | None:
    """Fills workers with tasks in the given order; returns None if not all tasks fit."""
    placement: list[str] = []
    for candidate in ordered:
        fitting = count_fitting(need, candidate.room, candidate.limit)
        placement += [candidate.worker_id] * min(fitting, count - len(placement))
        if len(placement) == count:
            return placement
    return None


def _rank_fullness(candidate: Candidate) -> tuple[int, int, str]:
    """Returns a sort key that puts the fullest workers first."""
    return (candidate.room.accelerators, candidate.room.cpu_millicores, candidate.worker_id)
