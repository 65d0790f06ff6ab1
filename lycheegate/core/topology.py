"""Capacity of a partition: workers, racks, and what occupies them.

A worker's accelerators are bit masks. For each kind of demand a *view* gives the accelerators and
slots that the demand may use. Racks aggregate the views of their workers, and sorted indexes over
racks answer placement queries without a pass over all workers.
"""

import dataclasses
import enum
import functools
from collections.abc import Iterable

import sortedcontainers

from lycheegate.model import requests, resources

__all__ = [
    "Allocation",
    "AllocationState",
    "Node",
    "Rack",
    "Reservation",
    "Topology",
    "Total",
    "Unit",
    "View",
    "add_node",
    "attach",
    "attach_block",
    "attach_home",
    "count_blocks",
    "detach",
    "detach_block",
    "detach_home",
    "group_by_worker",
    "list_runs",
    "mark_unit",
    "refresh",
    "remove_node",
    "set_placeable",
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
    TOTAL = 5
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
        unit: The unit of its client account that it uses, or None.
        for_request_id: While stopping: the request that its capacity is kept for.
        rate: What its client account is charged for each second.
    """

    request: requests.Request
    placement: resources.Placement
    state: AllocationState
    serial: int = 0
    immune: bool = False
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


class _Index(dict):
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
        grown: Views in which some rack can hold more than before.
    """

    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    racks: dict[str, Rack] = dataclasses.field(default_factory=dict)
    width: int = 0
    counts: list[_Index] = dataclasses.field(default_factory=lambda: [_Index() for _ in View])
    largest: list[_Index] = dataclasses.field(default_factory=lambda: [_Index() for _ in View])
    runs: list[_Index] = dataclasses.field(default_factory=lambda: [_Index() for _ in View])
    dirty: set[str] = dataclasses.field(default_factory=set)
    totals: list[int] = dataclasses.field(default_factory=lambda: [0] * len(Total))
    grown: set[View] = dataclasses.field(default_factory=set)


def add_node(topology: Topology, worker: resources.Worker) -> None:
    """Adds a worker, or takes one back with the allocations that it still has."""
    node = topology.nodes.get(worker.worker_id)
    if node is not None:
        remove_node(topology, worker.worker_id)
        members, homes, blocks = node.members, node.homes, node.blocks
        node = Node(worker, members=members, homes=homes, blocks=blocks)
    else:
        node = Node(worker)
    topology.nodes[worker.worker_id] = node
    topology.racks.setdefault(worker.rack, Rack(worker.rack)).nodes[worker.worker_id] = node
    topology.dirty.add(worker.worker_id)
    if worker.accelerators > topology.width:
        topology.width = worker.accelerators
        topology.dirty.update(topology.nodes)


def remove_node(topology: Topology, worker_id: str) -> None:
    """Takes a worker's capacity away; its allocations stay recorded until they are detached."""
    node = topology.nodes.get(worker_id)
    if node is None or not node.present:
        return
    node.present = False
    topology.dirty.add(worker_id)
    refresh(topology)
    rack = topology.racks[node.worker.rack]
    del rack.nodes[worker_id]
    if not rack.nodes:
        del topology.racks[rack.name]
    _drop_if_unused(topology, node)


def set_placeable(topology: Topology, worker_id: str, placeable: bool) -> None:
    """Sets whether a worker may get new work."""
    topology.nodes[worker_id].placeable = placeable
    topology.dirty.add(worker_id)


def group_by_worker(placement: resources.Placement) -> dict[str, tuple[int, int]]:
    """Returns for each worker the mask of accelerators and the number of members on it."""
    grouped: dict[str, tuple[int, int]] = {}
    for place in placement:
        mask, members = grouped.get(place.worker_id, (0, 0))
        mask |= ((1 << place.count) - 1) << place.first
        grouped[place.worker_id] = (mask, members + 1)
    return grouped


def _get_node(topology: Topology, worker_id: str) -> Node:
    node = topology.nodes.get(worker_id)
    if node is None:
        # Capacity found at takeover on a worker that has not reported yet.
        worker = resources.Worker(worker_id, "", "", "", "", 0, 0)
        node = topology.nodes[worker_id] = Node(worker, present=False)
    return node


def _drop_if_unused(topology: Topology, node: Node) -> None:
    if not (node.present or node.members or node.homes or node.blocks):
        topology.nodes.pop(node.worker.worker_id, None)
        topology.dirty.discard(node.worker.worker_id)


def _attach(topology: Topology, field: str, key: object, item: object, placement) -> None:
    for worker_id, (mask, members) in group_by_worker(placement).items():
        getattr(_get_node(topology, worker_id), field)[key] = (item, mask, members)
        topology.dirty.add(worker_id)


def _detach(topology: Topology, field: str, key: object, placement) -> None:
    for place in placement:
        node = topology.nodes.get(place.worker_id)
        if node is not None and getattr(node, field).pop(key, None) is not None:
            topology.dirty.add(place.worker_id)
            _drop_if_unused(topology, node)


def attach(topology: Topology, allocation: Allocation) -> None:
    """Occupies the capacity of an allocation."""
    _attach(topology, "members", allocation.request.request_id, allocation, allocation.placement)


def detach(topology: Topology, allocation: Allocation) -> None:
    """Frees the capacity of an allocation."""
    _detach(topology, "members", allocation.request.request_id, allocation.placement)


def attach_home(topology: Topology, unit: Unit, home: resources.Placement) -> None:
    """Makes ``home`` the home of a unit that has none."""
    unit.home = home
    _attach(topology, "homes", unit.key, unit, home)


def detach_home(topology: Topology, unit: Unit) -> None:
    """Takes a unit's home away, if it has one."""
    if unit.home is not None:
        _detach(topology, "homes", unit.key, unit.home)
        unit.home = None


def mark_unit(topology: Topology, unit: Unit, user: str | None) -> None:
    """Sets which request uses a unit."""
    unit.user = user
    for place in unit.home or ():
        topology.dirty.add(place.worker_id)


def attach_block(topology: Topology, reservation: Reservation) -> None:
    """Reserves the block of a reservation."""
    request_id = reservation.request.request_id
    _attach(topology, "blocks", request_id, reservation, reservation.block)


def detach_block(topology: Topology, reservation: Reservation) -> None:
    """Frees the block of a reservation."""
    _detach(topology, "blocks", reservation.request.request_id, reservation.block)


@functools.lru_cache(maxsize=65536)
def list_runs(mask: int) -> tuple[tuple[int, int], ...]:
    """Returns the first accelerator and the length of every run of set bits."""
    runs = []
    first = 0
    while mask:
        skip = (mask & -mask).bit_length() - 1
        first += skip
        mask >>= skip
        length = (~mask & (mask + 1)).bit_length() - 1
        runs.append((first, length))
        first += length
        mask >>= length
    return tuple(runs)


@functools.lru_cache(maxsize=65536)
def count_blocks(mask: int, slots: int, width: int) -> tuple[int, ...]:
    """Returns how many disjoint blocks of each size from 0 to ``width`` fit."""
    if slots <= 0:
        return (0,) * (width + 1)
    lengths = [length for _, length in list_runs(mask)]
    return (slots,) + tuple(
        min(slots, sum(length // size for length in lengths)) for size in range(1, width + 1)
    )


def refresh(topology: Topology) -> None:
    """Brings the views of changed workers, their racks and the indexes up to date."""
    while topology.dirty:
        racks: dict[str, Rack] = {}
        for worker_id in topology.dirty:
            node = topology.nodes.get(worker_id)
            if node is None:
                continue
            _measure(node, topology)
            rack = topology.racks.get(node.worker.rack)
            if rack is not None and worker_id in rack.nodes:
                racks[rack.name] = rack
        topology.dirty.clear()
        for rack in racks.values():
            _aggregate(rack, topology)


def _measure(node: Node, topology: Topology) -> None:
    old_totals, old_masks, old_slots = node.totals, node.masks, node.slots
    worker = node.worker
    if node.usable:
        _measure_usable(node)
    else:
        full = (1 << worker.accelerators) - 1 if node.present else 0
        slots = worker.slots if node.present else 0
        node.masks = (0,) * View.TOTAL + (full,)
        node.slots = (0,) * View.TOTAL + (slots,)
        node.totals = (0,) * Total.PRESENT_SLOTS + (slots, full.bit_count())
    counts = []
    for view in range(len(View)):
        row = node.counts[view]
        mask, slots = node.masks[view], node.slots[view]
        if mask != old_masks[view] or slots != old_slots[view] or len(row) != topology.width + 1:
            row = count_blocks(mask, slots, topology.width)
            node.changed |= 1 << view
        counts.append(row)
    node.counts = tuple(counts)
    if node.totals != old_totals:
        for index, (new, old) in enumerate(zip(node.totals, old_totals, strict=True)):
            topology.totals[index] += new - old


def _measure_usable(node: Node) -> None:
    occupied = kept = hard = firm = taken = 0
    running = stopping = pending = hard_slots = firm_slots = taken_slots = 0
    for allocation, mask, members in node.members.values():
        if allocation.state is AllocationState.STOPPING:
            occupied |= mask
            stopping += members
            continue
        if allocation.state is AllocationState.RUNNING:
            occupied |= mask
            running += members
        else:
            kept |= mask
            pending += members
        request = allocation.request
        at_home = allocation.unit is not None
        is_urgent = request.urgency is requests.Urgency.URGENT
        if not at_home:
            if not request.preemptible:
                hard |= mask
                hard_slots += members
            if not is_urgent and (allocation.immune or not request.preemptible):
                taken |= mask
                taken_slots += members
        if (
            at_home
            or is_urgent
            or allocation.immune
            or not request.preemptible
            or allocation.state is AllocationState.PENDING
        ):
            firm |= mask
            firm_slots += members
    home = home_slots = used = used_slots = 0
    for unit, mask, members in node.homes.values():
        home |= mask
        home_slots += members
        if unit.user is not None:
            used |= mask
            used_slots += members
    block = block_slots = shut = shut_slots = 0
    for reservation, mask, members in node.blocks.values():
        block |= mask
        block_slots += members
        if reservation.closed:
            shut |= mask
            shut_slots += members
    worker = node.worker
    full = (1 << worker.accelerators) - 1
    free = full & ~(occupied | kept)
    # A pending member takes over the slot of a stopping one where there is one.
    free_slots = worker.slots - running - max(stopping, pending)
    spare_slots = worker.slots - home_slots - hard_slots
    node.masks = (
        free & ~shut,
        free & ~home & ~block,
        full & ~home & ~firm & ~shut,
        full & ~home & ~hard & ~block,
        free & ~used & ~block,
        full,
    )
    node.slots = (
        max(0, free_slots - shut_slots),
        max(0, min(free_slots, spare_slots) - block_slots),
        max(0, min(worker.slots - firm_slots, spare_slots) - shut_slots),
        max(0, spare_slots - block_slots),
        max(0, min(free_slots, worker.slots - used_slots - hard_slots) - block_slots),
        worker.slots,
    )
    node.totals = (
        worker.slots,
        worker.accelerators,
        worker.slots - home_slots,
        worker.accelerators - home.bit_count(),
        taken_slots,
        (taken & ~home).bit_count(),
        worker.slots,
        worker.accelerators,
    )


def _aggregate(rack: Rack, topology: Topology) -> None:
    nodes = rack.nodes.values()
    sizes = topology.width + 1
    changed = 0
    for node in nodes:
        changed |= node.changed
        node.changed = 0
    for view in _list_bits(changed):
        rows = [node.counts[view] for node in nodes]
        counts = tuple(map(sum, zip(*(_pad(row, sizes) for row in rows), strict=True)))
        largest = tuple(map(max, zip(*(_pad(row, sizes) for row in rows), strict=True)))
        runs = free = 0
        for node in nodes:
            slots = node.slots[view]
            if slots > 0:
                mask = node.masks[view]
                free += slots + mask.bit_count()
                if mask:
                    for _, length in list_runs(mask):
                        runs |= 1 << length
                else:
                    runs |= 1
        name = rack.name
        if _update(topology.counts[view], name, rack.counts[view], counts):
            topology.grown.add(View(view))
        if _update(topology.largest[view], name, rack.largest[view], largest):
            topology.grown.add(View(view))
        _update_runs(topology.runs[view], name, (rack.runs[view], rack.free[view]), (runs, free))
        rack.counts[view], rack.largest[view] = counts, largest
        rack.runs[view], rack.free[view] = runs, free


def _pad(row: tuple[int, ...], sizes: int) -> tuple[int, ...]:
    return row if len(row) == sizes else row + (0,) * (sizes - len(row))


def _update(index: _Index, name: str, old: tuple[int, ...], new: tuple[int, ...]) -> bool:
    if old == new:
        return False
    grew = False
    for size in range(max(len(old), len(new))):
        before = old[size] if size < len(old) else 0
        after = new[size] if size < len(new) else 0
        if before == after:
            continue
        if before:
            index[size].remove((before, name))
        if after:
            index[size].add((after, name))
        grew = grew or after > before
    return grew


def _update_runs(index: _Index, name: str, old: tuple[int, int], new: tuple[int, int]) -> None:
    if old == new:
        return
    for length in _list_bits(old[0]):
        index[length].remove((old[1], name))
    for length in _list_bits(new[0]):
        index[length].add((new[1], name))


def _list_bits(bits: int) -> Iterable[int]:
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low
