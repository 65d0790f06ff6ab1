"""Workers, and the shapes of accelerators that requests ask for."""

import dataclasses
import enum

__all__ = ["Adjacency", "MemberPlacement", "Placement", "Shape", "Worker"]


class Adjacency(enum.StrEnum):
    """How close the members of a gang job must be to each other."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Resources of a request.

    Each member takes one slot of one worker, and a contiguous range of its accelerators.

    Attributes:
        members: Number of members of the gang; 1 for a single task.
        accelerators: Contiguous accelerators of each member; 0 for processor-only work.
        adjacency: Where the members must lie together.
    """

    members: int = 1
    accelerators: int = 0
    adjacency: Adjacency = Adjacency.DATA_CENTRE

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all members together."""
        return self.members * self.accelerators


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker as the VM list describes it."""

    worker_id: str
    endpoint: str
    region: str
    data_centre: str
    rack: str
    slots: int
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPlacement:
    """Place of one member: accelerators ``first`` to ``first + count - 1`` of a worker."""

    worker_id: str
    first: int
    count: int


Placement = tuple[MemberPlacement, ...]
