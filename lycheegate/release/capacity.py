"""Room for guarantees on the workers that are known.

Guarantees are packed one after the other into the group of workers that they fill best. A
note is accepted only if this packing finds a home for every unit that it adds. The packing is not
exhaustive: in rare cases it refuses what a complete search would fit, and it never accepts what
does not fit.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from lycheegate.model import releases, resources

__all__ = ["Capacity", "Misfit", "make_capacity"]

GuaranteeKey = tuple[str, str]


@dataclasses.dataclass
class _Room:
    worker: resources.Worker
    partition: str
    slots: int
    accelerators: int

    def count_members(self, shape: resources.Shape) -> int:
        """Returns how many members of a shape fit."""
        if shape.accelerators == 0:
            return self.slots
        return min(self.slots, self.accelerators // shape.accelerators)


@dataclasses.dataclass(frozen=True, slots=True)
class Misfit:
    """A shape that could not be held even by empty workers.

    Attributes:
        reason: What is too small.
        largest: What is there.
    """

    reason: str
    largest: str


class Capacity:
    """Free room on workers, reduced by each unit that is placed."""

    def __init__(self, rooms: list[_Room]):
        self._rooms = rooms

    def list_data_centres(self) -> list[str]:
        """Returns the data centres with the most accelerators left first, then by name."""
        left: dict[str, tuple[int, int]] = {}
        for room in self._rooms:
            accelerators, slots = left.get(room.worker.data_centre, (0, 0))
            left[room.worker.data_centre] = (accelerators + room.accelerators, slots + room.slots)
        return sorted(left, key=lambda name: (-left[name][0], -left[name][1], name))

    def find_misfit(self, shape: resources.Shape) -> Misfit | None:
        """Returns why no group of these workers can hold a unit, or None if one can."""
        largest = max((room.accelerators for room in self._rooms), default=0)
        if shape.accelerators > largest:
            return Misfit(
                f"no worker has {shape.accelerators} accelerators for one member",
                f"at most {largest} accelerators",
            )
        groups = _group(self._rooms, shape.adjacency)
        most = max((_count(group, shape) for group in groups), default=0)
        if shape.members > most:
            where = "partition" if shape.adjacency == "data_centre" else str(shape.adjacency)
            return Misfit(
                f"no {where} holds {shape.members} members of {shape.accelerators} accelerators",
                f"at most {most} members",
            )
        return None

    def place(self, guarantee: releases.Guarantee) -> int:
        """Occupies room for the units of a guarantee; returns how many found none."""
        shape, remaining = guarantee.shape, guarantee.count
        rooms = [room for room in self._rooms if room.worker.data_centre == guarantee.data_centre]
        groups = _group(rooms, shape.adjacency)
        # Groups with the least room left go first, which keeps large blocks elsewhere whole.
        groups.sort(key=lambda group: (sum(room.accelerators for room in group), len(group)))
        for group in groups:
            units = min(remaining, _count(group, shape) // shape.members)
            _occupy(group, shape, units * shape.members)
            remaining -= units
            if not remaining:
                break
        return remaining

    def place_all(self, guarantees: Iterable[releases.Guarantee]) -> dict[GuaranteeKey, int]:
        """Places guarantees, the most demanding first; returns the units without room."""
        short: dict[GuaranteeKey, int] = {}
        for guarantee in sorted(guarantees, key=_rank):
            missing = self.place(guarantee)
            if missing:
                short[guarantee.client_account, guarantee.name] = missing
        return short

    def copy(self) -> "Capacity":
        """Returns an independent copy."""
        return Capacity([dataclasses.replace(room) for room in self._rooms])


def make_capacity(
    workers: Sequence[resources.Worker], partitions: Mapping[str, str] | None = None
) -> Capacity:
    """Returns the room of empty workers.

    Args:
        workers: Workers that guarantees may rely on.
        partitions: Partition by worker; without it, a data centre is one partition.
    """
    partitions = partitions or {}
    return Capacity(
        [
            _Room(
                worker,
                partitions.get(worker.worker_id) or worker.data_centre,
                worker.slots,
                worker.accelerators,
            )
            for worker in workers
        ]
    )


def _group(rooms: Iterable[_Room], adjacency: resources.Adjacency) -> list[list[_Room]]:
    groups: dict[tuple, list[_Room]] = {}
    for room in rooms:
        worker = room.worker
        # A gang lies in one partition, even if its members may lie anywhere in the data centre.
        key: tuple = (worker.data_centre, room.partition)
        if adjacency is resources.Adjacency.RACK:
            key = (worker.data_centre, worker.rack)
        elif adjacency is resources.Adjacency.WORKER:
            key = (worker.worker_id,)
        groups.setdefault(key, []).append(room)
    return list(groups.values())


def _occupy(group: list[_Room], shape: resources.Shape, members: int) -> None:
    for room in sorted(group, key=lambda r: (r.accelerators, r.slots, r.worker.worker_id)):
        taken = min(members, room.count_members(shape))
        room.slots -= taken
        room.accelerators -= taken * shape.accelerators
        members -= taken


def _count(group: Iterable[_Room], shape: resources.Shape) -> int:
    return sum(room.count_members(shape) for room in group)


def _rank(guarantee: releases.Guarantee) -> tuple:
    order = [resources.Adjacency.WORKER, resources.Adjacency.RACK, resources.Adjacency.DATA_CENTRE]
    shape = guarantee.shape
    return (
        order.index(shape.adjacency),
        -shape.accelerators,
        -shape.members,
        guarantee.client_account,
        guarantee.name,
    )
