"""Records of the capacity of a partition and of what occupies it."""

import dataclasses
import enum

import sortedcontainers

from lycheegate.model import requests, resources

__all__ = [
    "Allocation",
    "AllocationState",
    "Index",
    "Node",
    "Rack",
    "Reservation",
    "Stopping",
    "Topology",
    "Total",
    "Unit",
    "View",
]


class View(enum.IntEnum):
    """Kind of demand that capacity is looked up for."""

    BORROW = 0
    """Preemptible work: every free accelerator and slot, homes included."""
    OPEN = 1
    """Work that cannot be preempted: free capacity outside homes."""
    URGENT = 2
    """Urgent work: capacity outside homes that is free or held by preemptible work."""
    HOME = 3
    """A home: capacity outside other homes that is free or holds preemptible work."""
    MOVABLE = 4
    """Work that cannot be preempted, if homes not in use are moved out of its way."""
    CLEAR = 5
    """Large work that waited too long, and moves: capacity outside homes and reserved blocks that
    is free or held by small preemptible work."""
    OUTSIDE = 6
    """A reserved block: capacity outside homes and other blocks, whatever occupies it."""
    RESERVABLE = 7
    """A reserved block, if homes not in use are moved out of its way."""
    TOTAL = 8
    """Everything that the workers have, whatever occupies it."""


class Total(enum.IntEnum):
    """Sums over workers."""

    SLOTS = 0
    """Slots of usable workers."""
    ACCELERATORS = 1
    OUTSIDE_SLOTS = 2
    """Slots of usable workers that are not reserved for homes."""
    OUTSIDE_ACCELERATORS = 3
    TAKEN_SLOTS = 4
    """Slots outside homes that count as taken towards the urgent reserve."""
    TAKEN_ACCELERATORS = 5
    PRESENT_SLOTS = 6
    """Slots of all workers that are present, usable or not."""
    PRESENT_ACCELERATORS = 7


class Stopping(enum.Enum):
    """Why work is stopped, which decides what may be stopped."""

    RECLAIM = "reclaim"
    """For a guarantee: all preemptible work."""
    URGENT = "urgent"
    """For urgent work: preemptible work that is not urgent and not immune."""
    CLEAR = "clear"
    """For large work, and to move small work: the same, but not large work."""


class AllocationState(enum.Enum):
    """State of the capacity that a request has."""

    PENDING = "pending"
    """Kept for the request until the work that is being stopped there is gone."""
    RUNNING = "running"
    STOPPING = "stopping"
    """Still occupied, but no longer counted as held by its request."""


@dataclasses.dataclass(slots=True, eq=False)
class Unit:
    """One unit of a guaranteed shape.

    Attributes:
        key: Client account, guarantee name and number of the unit.
        shape: The guaranteed shape.
        home: Concrete capacity, or None while the unit is short.
        user: Request of the client account that uses the unit, or None.
    """

    key: tuple[str, str, int]
    shape: resources.Shape
    home: resources.Placement | None = None
    user: str | None = None

    @property
    def client_account(self) -> str:
        """Client account that the unit is promised to."""
        return self.key[0]


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """Capacity that a request has.

    Attributes:
        request: The request.
        placement: Its members' places.
        state: Whether it is waiting for the capacity, has it, or is being stopped.
        serial: Order of creation.
        immune: Whether it was preempted so often that only guarantees may stop it.
        large: Whether its job is large.
        unit: The unit of its client account that it uses, or None.
        for_request_id: While stopping: the request that its capacity is kept for.
        rate: What its client account is charged for each second.
    """

    request: requests.Request
    placement: resources.Placement
    state: AllocationState
    serial: int = 0
    immune: bool = False
    large: bool = False
    unit: Unit | None = None
    for_request_id: str = ""
    rate: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Block of capacity that is being cleared for a large job.

    Attributes:
        request: The large job.
        block: The capacity.
        since_s: When the block was reserved.
        closed: Whether preemptible and urgent work may no longer enter.
    """

    request: requests.Request
    block: resources.Placement
    since_s: float
    closed: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Node:
    """A worker and what lies on it.

    ``members``, ``homes`` and ``blocks`` hold a mask of accelerators and a number of slots for
    each allocation, unit and reservation. ``masks``, ``slots`` and ``counts`` are indexed by view.
    ``changed`` has a bit for each view that its rack has not taken over yet.
    """

    worker: resources.Worker
    present: bool = True
    placeable: bool = True
    members: dict[str, tuple[Allocation, int, int]] = dataclasses.field(default_factory=dict)
    homes: dict[tuple[str, str, int], tuple[Unit, int, int]] = dataclasses.field(
        default_factory=dict
    )
    blocks: dict[str, tuple[Reservation, int, int]] = dataclasses.field(default_factory=dict)
    masks: tuple[int, ...] = (0,) * len(View)
    slots: tuple[int, ...] = (0,) * len(View)
    counts: tuple[tuple[int, ...], ...] = ((),) * len(View)
    totals: tuple[int, ...] = (0,) * len(Total)
    changed: int = (1 << len(View)) - 1

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        return self.present and self.placeable


@dataclasses.dataclass(slots=True, eq=False)
class Rack:
    """Aggregates of the workers of one rack, for each view.

    Attributes:
        name: Name of the rack.
        nodes: Its workers.
        counts: Blocks of each size that fit in the rack.
        largest: Blocks of each size that fit in the best single worker.
        runs: Bit ``r`` is set if a worker with a free slot has a run of exactly ``r``
            accelerators; bit 0 if one has a free slot and no free accelerator.
        free: Accelerators and slots together.
    """

    name: str
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    counts: list[tuple[int, ...]] = dataclasses.field(default_factory=lambda: [()] * len(View))
    largest: list[tuple[int, ...]] = dataclasses.field(default_factory=lambda: [()] * len(View))
    runs: list[int] = dataclasses.field(default_factory=lambda: [0] * len(View))
    free: list[int] = dataclasses.field(default_factory=lambda: [0] * len(View))


class Index(dict):
    """Sorted lists of (value, rack name), by block size or run length."""

    def __missing__(self, key: int) -> sortedcontainers.SortedList:
        self[key] = sortedcontainers.SortedList()
        return self[key]


@dataclasses.dataclass(slots=True, eq=False)
class Topology:
    """All workers of a partition.

    Attributes:
        nodes: Workers by id, including lost ones that still have allocations.
        racks: Racks by name.
        width: Accelerators of the largest worker.
        counts: For each view and block size, racks by the blocks that fit in them.
        largest: The same by the blocks that fit in their best worker.
        runs: For each view and run length, racks that have such a run, by free capacity.
        dirty: Workers whose views are out of date.
        totals: Sums over workers, indexed by ``Total``.
        grown: For each view in which some rack can hold more than before, a bit for each block
            size of which it can.
    """

    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    racks: dict[str, Rack] = dataclasses.field(default_factory=dict)
    width: int = 0
    counts: list[Index] = dataclasses.field(default_factory=lambda: [Index() for _ in View])
    largest: list[Index] = dataclasses.field(default_factory=lambda: [Index() for _ in View])
    runs: list[Index] = dataclasses.field(default_factory=lambda: [Index() for _ in View])
    dirty: set[str] = dataclasses.field(default_factory=set)
    totals: list[int] = dataclasses.field(default_factory=lambda: [0] * len(Total))
    grown: dict[View, int] = dataclasses.field(default_factory=dict)
