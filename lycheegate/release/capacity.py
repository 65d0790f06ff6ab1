"""Capacity of the known workers for guarantees.

Guarantees are packed greedily, one after the other, each into the groups of workers with the
fewest free accelerators. A release note is accepted only if this packing finds a home for every
unit that it adds. The packing is not exhaustive: it never accepts what does not fit, but in rare
cases it rejects what a complete search would fit.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from lycheegate.model import releases, resources

__all__ = ["Capacity", "ShapeProblem", "make_capacity"]

GuaranteeKey = tuple[str, str]


@dataclasses.dataclass
class _FreeCapacity:
    worker: resources.Worker
    partition: str
    slots: int
    accelerators: int

    def count_members(self, shape: resources.Shape) -> int:
        """Returns the number of members of a shape that fit."""
        if shape.accelerators == 0:
            return self.slots
        return min(self.slots, self.accelerators // shape.accelerators)


@dataclasses.dataclass(frozen=True, slots=True)
class ShapeProblem:
    """Reason why a unit of a shape cannot fit even on empty workers.

    Attributes:
        reason: Description of the requirement that no worker or group of workers meets.
        largest: Description of the largest value that would fit.
    """

    reason: str
    largest: str


class Capacity:
    """Free capacity of workers, reduced by each unit that is placed."""

    def __init__(self, capacities: list[_FreeCapacity]):
        self._capacities = capacities

    def list_data_centres(self) -> list[str]:
        """Returns data centres by decreasing free accelerators, then free slots, then by name."""
        totals: dict[str, tuple[int, int]] = {}
        for free in self._capacities:
            accelerators, slots = totals.get(free.worker.data_centre, (0, 0))
            totals[free.worker.data_centre] = (accelerators + free.accelerators, slots + free.slots)
        return sorted(totals, key=lambda name: (-totals[name][0], -totals[name][1], name))

    def find_shape_problem(self, shape: resources.Shape) -> ShapeProblem | None:
        """Returns the reason why no group of workers can hold a unit, or None if one can."""
        largest = max((free.accelerators for free in self._capacities), default=0)
        if shape.accelerators > largest:
            return ShapeProblem(
                f"no worker has {shape.accelerators} accelerators for one member",
                f"at most {largest} accelerators",
            )
        groups = _group(self._capacities, shape.adjacency)
        max_members = max((_count_group_members(group, shape) for group in groups), default=0)
        if shape.members > max_members:
            scope = "partition" if shape.adjacency == "data_centre" else str(shape.adjacency)
            return ShapeProblem(
                f"no {scope} holds {shape.members} members of {shape.accelerators} accelerators",
                f"at most {max_members} members",
            )
        return None

    def place(self, guarantee: releases.Guarantee) -> int:
        """Allocates capacity for the units of a guarantee.

        Returns:
            The number of units that do not fit.
        """
        shape, remaining = guarantee.shape, guarantee.count
        capacities = [
            free for free in self._capacities if free.worker.data_centre == guarantee.data_centre
        ]
        groups = _group(capacities, shape.adjacency)
        # Groups with the fewest free accelerators come first, to keep large groups unfragmented.
        groups.sort(key=lambda group: (sum(free.accelerators for free in group), len(group)))
        for group in groups:
            units = min(remaining, _count_group_members(group, shape) // shape.members)
            _occupy(group, shape, units * shape.members)
            remaining -= units
            if not remaining:
                break
        return remaining

    def place_all(self, guarantees: Iterable[releases.Guarantee]) -> dict[GuaranteeKey, int]:
        """Places guarantees, the hardest to place first.

        Returns:
            The number of units that do not fit, by guarantee; guarantees that fit are left out.
        """
        unplaced: dict[GuaranteeKey, int] = {}
        for guarantee in sorted(guarantees, key=_make_placement_key):
            missing = self.place(guarantee)
            if missing:
                unplaced[guarantee.client_account, guarantee.name] = missing
        return unplaced

    def copy(self) -> "Capacity":
        """Returns an independent copy."""
        return Capacity([dataclasses.replace(free) for free in self._capacities])


def make_capacity(
    workers: Sequence[resources.Worker], partitions: Mapping[str, str] | None = None
) -> Capacity:
    """Returns the capacity of workers on which nothing is placed.

    Args:
        workers: Workers that count towards guarantees.
        partitions: Partition of each worker, by worker ID. A worker that is not listed belongs to
            a single partition of its data centre.
    """
    partitions = partitions or {}
    return Capacity(
        [
            _FreeCapacity(
                worker,
                partitions.get(worker.worker_id) or worker.data_centre,
                worker.slots,
                worker.accelerators,
            )
            for worker in workers
        ]
    )


def _group(
    capacities: Iterable[_FreeCapacity], adjacency: resources.Adjacency
) -> list[list[_FreeCapacity]]:
    groups: dict[tuple, list[_FreeCapacity]] = {}
    for free in capacities:
        worker = free.worker
        # A gang is placed within one partition, even with the adjacency of a data centre.
        key: tuple = (worker.data_centre, free.partition)
        if adjacency is resources.Adjacency.RACK:
            key = (worker.data_centre, worker.rack)
        elif adjacency is resources.Adjacency.WORKER:
            key = (worker.worker_id,)
        groups.setdefault(key, []).append(free)
    return list(groups.values())


def _occupy(group: list[_FreeCapacity], shape: resources.Shape, members: int) -> None:
    for free in sorted(group, key=lambda c: (c.accelerators, c.slots, c.worker.worker_id)):
        placed = min(members, free.count_members(shape))
        free.slots -= placed
        free.accelerators -= placed * shape.accelerators
        members -= placed


def _count_group_members(group: Iterable[_FreeCapacity], shape: resources.Shape) -> int:
    return sum(free.count_members(shape) for free in group)


def _make_placement_key(guarantee: releases.Guarantee) -> tuple:
    order = [resources.Adjacency.WORKER, resources.Adjacency.RACK, resources.Adjacency.DATA_CENTRE]
    shape = guarantee.shape
    return (
        order.index(shape.adjacency),
        -shape.accelerators,
        -shape.members,
        guarantee.client_account,
        guarantee.name,
    )
