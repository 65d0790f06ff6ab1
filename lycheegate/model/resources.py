"""Workers, and the resource shapes that requests ask for."""

import dataclasses
import enum

__all__ = ["Adjacency", "MemberPlacement", "Placement", "Shape", "Worker"]


class Adjacency(enum.StrEnum):
    """Topology domain within which all members of a gang job must be placed."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Resources required by a request.

    Each member uses one slot of a worker and a contiguous range of the worker's accelerators.

    Attributes:
        members: Number of gang members; 1 for a single task.
        accelerators: Number of contiguous accelerators per member; 0 for CPU-only work.
        adjacency: Topology domain that all members must share.
    """

    members: int = 1
    accelerators: int = 0
    adjacency: Adjacency = Adjacency.DATA_CENTRE

    @property
    def total_accelerators(self) -> int:
        """Total number of accelerators of all members."""
        return self.members * self.accelerators


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker as described by the VM list."""

    worker_id: str
    endpoint: str
    region: str
    data_centre: str
    rack: str
    slots: int
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPlacement:
    """Placement of one member on accelerators ``first`` to ``first + count - 1`` of a worker."""

    worker_id: str
    first: int
    count: int


Placement = tuple[MemberPlacement, ...]
