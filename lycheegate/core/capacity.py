"""Data classes for the capacity of a partition and the work that occupies it."""

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
    """Kind of demand for which capacity is searched."""

    BORROW = 0
    """Preemptible work: every free accelerator and slot, homes included."""
    OPEN = 1
    """Work that cannot be preempted: free capacity outside homes and reserved blocks."""
    URGENT = 2
    """Urgent work that cannot be preempted: capacity outside homes and closed blocks that is free
    or held by preemptible work that may be stopped for it."""
    HOME = 3
    """A home: capacity outside other homes and reserved blocks that is free or holds preemptible
    work."""
    MOVABLE = 4
    """Work that cannot be preempted: as ``OPEN``, if unused homes are moved elsewhere."""
    CLEAR = 5
    """Large work that waited too long, and moves of small work: capacity outside homes and
    reserved blocks that is free or held by small preemptible work."""
    OUTSIDE = 6
    """A reserved block: capacity outside homes and other blocks, occupied or not."""
    RESERVABLE = 7
    """A reserved block: as ``OUTSIDE``, if unused homes are moved elsewhere."""
    URGENT_HOME = 8
    """Urgent work that can be preempted: as ``URGENT``, including homes and closed blocks."""
    TOTAL = 9
    """All capacity of the workers that are present, occupied or not."""


class Total(enum.IntEnum):
    """Totals over workers."""

    SLOTS = 0
    """Slots of usable workers."""
    ACCELERATORS = 1
    OUTSIDE_SLOTS = 2
    """Slots of usable workers that are not reserved for homes."""
    OUTSIDE_ACCELERATORS = 3
    TAKEN_SLOTS = 4
    """Slots outside homes held by non-urgent work that urgent work cannot stop; they count
    against the limit set by the urgent reserve."""
    TAKEN_ACCELERATORS = 5
    PRESENT_SLOTS = 6
    """Slots of all workers that are present, usable or not."""
    PRESENT_ACCELERATORS = 7


class Stopping(enum.Enum):
    """Purpose for which work is stopped; determines which work may be stopped."""

    RECLAIM = "reclaim"
    """For a guarantee: all preemptible work."""
    URGENT = "urgent"
    """For urgent work: preemptible work that is not urgent and not immune."""
    CLEAR = "clear"
    """For large work, and to move small work: as ``URGENT``, except large work."""
    CLOSED = "closed"
    """For large work whose block is closed: as ``CLEAR``, and urgent work that started there since
    the block was reserved."""


class AllocationState(enum.Enum):
    """State of an allocation."""

    PENDING = "pending"
    """Kept for the request until the work that is being stopped there has ended."""
    RUNNING = "running"
    STOPPING = "stopping"
    """Still occupied, but already kept for another request."""


@dataclasses.dataclass(slots=True, eq=False)
class Unit:
    """One unit of a guaranteed shape.

    Attributes:
        key: Client account, name of the guarantee, and number of the unit in it.
        shape: The guaranteed shape.
        home: Capacity held for the unit, or None while the unit is short.
        user: Request of the client account that uses the unit, or None.
    """

    key: tuple[str, str, int]
    shape: resources.Shape
    home: resources.Placement | None = None
    user: str | None = None

    @property
    def client_account(self) -> str:
        """Client account to which the unit is guaranteed."""
        return self.key[0]


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """Capacity allocated to a request.

    Attributes:
        request: The request.
        placement: Places of its members.
        state: Whether the request waits for the capacity, uses it, or is being stopped.
        serial: Order of creation.
        immune: Whether the request reached the limit on preemptions, so that only guarantees may
            stop it.
        large: Whether the request is a large job.
        unit: Guaranteed unit that the request uses, or None.
        for_request_id: While stopping: the request for which the capacity is kept.
        rate: Accelerators charged to the client account while the allocation lasts.
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
    """Block of capacity that is reserved for a large job and being cleared.

    Attributes:
        request: The large job.
        block: The capacity.
        closed: Whether preemptible and urgent work may no longer start in it.
        checked_at_s: When a better block was last searched for.
    """

    request: requests.Request
    block: resources.Placement
    closed: bool = False
    checked_at_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Node:
    """A worker with the allocations, homes and reserved blocks on it.

    Attributes:
        worker: Description of the worker.
        present: Whether the worker is known and not lost.
        placeable: Whether it may get new work.
        members: Allocations with members on it, each with its mask of accelerators and its number
            of slots.
        homes: Units with a home on it, likewise.
        blocks: Reservations with a block on it, likewise.
        masks: For each view, the accelerators available to it.
        slots: For each view, the slots available to it.
        counts: For each view and block size, how many such blocks fit.
        totals: Contribution to the totals of the topology, indexed by ``Total``.
        changed: A bit for each view; it is set if the rack does not include its change yet.
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
    """Workers of one rack, and aggregates over them for each view.

    Attributes:
        name: Name of the rack.
        nodes: Its workers.
        counts: For each view and block size, how many such blocks fit in the rack.
        largest: For each view and block size, the most such blocks that fit in one worker.
        runs: For each view, bit ``r`` is set if a worker with a free slot has a run of exactly
            ``r`` free accelerators; bit 0 if one has a free slot and no free accelerator.
        free: For each view, the sum of free accelerators and slots.
    """

    name: str
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    counts: list[tuple[int, ...]] = dataclasses.field(default_factory=lambda: [()] * len(View))
    largest: list[tuple[int, ...]] = dataclasses.field(default_factory=lambda: [()] * len(View))
    runs: list[int] = dataclasses.field(default_factory=lambda: [0] * len(View))
    free: list[int] = dataclasses.field(default_factory=lambda: [0] * len(View))


class Index(dict):
    """Sorted lists of (value, rack name) by block size or run length; missing ones are created."""

    def __missing__(self, key: int) -> sortedcontainers.SortedList:
        self[key] = sortedcontainers.SortedList()
        return self[key]


@dataclasses.dataclass(slots=True, eq=False)
class Topology:
    """All workers of a partition.

    Attributes:
        nodes: Workers by id, including lost ones that still have allocations.
        racks: Racks by name.
        width: Largest number of accelerators of one worker.
        counts: For each view and block size, racks sorted by how many such blocks fit in them.
        largest: The same, sorted by the most such blocks that fit in one of their workers.
        runs: For each view and run length, racks that have such a run, sorted by free capacity.
        dirty: Workers whose views are out of date.
        totals: Totals over workers, indexed by ``Total``.
        grown: For each view, a bit for each block size; it is set if some rack can hold more
            blocks of that size than before.
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
