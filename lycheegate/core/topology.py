"""Capacity of a partition: workers, racks, and what occupies them.

A worker's accelerators are bit masks. For each kind of demand a *view* gives the accelerators and
slots that the demand may use. Racks aggregate the views of their workers, and sorted indexes over
racks answer placement queries without a pass over all workers.
"""

from lycheegate.core import blocks, capacity
from lycheegate.model import requests, resources

__all__ = [
    "add_node",
    "attach",
    "attach_block",
    "attach_home",
    "detach",
    "detach_block",
    "detach_home",
    "group_by_worker",
    "mark_unit",
    "refresh",
    "remove_node",
    "set_placeable",
]


def add_node(topology: capacity.Topology, worker: resources.Worker) -> None:
    """Adds a worker, or takes one back with the allocations that it still has."""
    node = topology.nodes.get(worker.worker_id)
    if node is not None:
        remove_node(topology, worker.worker_id)
        members, homes, blocks = node.members, node.homes, node.blocks
        node = capacity.Node(worker, members=members, homes=homes, blocks=blocks)
    else:
        node = capacity.Node(worker)
    topology.nodes[worker.worker_id] = node
    topology.racks.setdefault(worker.rack, capacity.Rack(worker.rack)).nodes[worker.worker_id] = (
        node
    )
    topology.dirty.add(worker.worker_id)
    if worker.accelerators > topology.width:
        topology.width = worker.accelerators
        topology.dirty.update(topology.nodes)


def remove_node(topology: capacity.Topology, worker_id: str) -> None:
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


def set_placeable(topology: capacity.Topology, worker_id: str, placeable: bool) -> None:
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


def _get_node(topology: capacity.Topology, worker_id: str) -> capacity.Node:
    node = topology.nodes.get(worker_id)
    if node is None:
        # Capacity found at takeover on a worker that has not reported yet.
        worker = resources.Worker(worker_id, "", "", "", "", 0, 0)
        node = topology.nodes[worker_id] = capacity.Node(worker, present=False)
    return node


def _drop_if_unused(topology: capacity.Topology, node: capacity.Node) -> None:
    if not (node.present or node.members or node.homes or node.blocks):
        topology.nodes.pop(node.worker.worker_id, None)
        topology.dirty.discard(node.worker.worker_id)


def _attach(topology: capacity.Topology, field: str, key: object, item: object, placement) -> None:
    for worker_id, (mask, members) in group_by_worker(placement).items():
        getattr(_get_node(topology, worker_id), field)[key] = (item, mask, members)
        topology.dirty.add(worker_id)


def _detach(topology: capacity.Topology, field: str, key: object, placement) -> None:
    for place in placement:
        node = topology.nodes.get(place.worker_id)
        if node is not None and getattr(node, field).pop(key, None) is not None:
            topology.dirty.add(place.worker_id)
            _drop_if_unused(topology, node)


def attach(topology: capacity.Topology, allocation: capacity.Allocation) -> None:
    """Occupies the capacity of an allocation."""
    _attach(topology, "members", allocation.request.request_id, allocation, allocation.placement)


def detach(topology: capacity.Topology, allocation: capacity.Allocation) -> None:
    """Frees the capacity of an allocation."""
    _detach(topology, "members", allocation.request.request_id, allocation.placement)


def attach_home(
    topology: capacity.Topology, unit: capacity.Unit, home: resources.Placement
) -> None:
    """Makes ``home`` the home of a unit that has none."""
    unit.home = home
    _attach(topology, "homes", unit.key, unit, home)


def detach_home(topology: capacity.Topology, unit: capacity.Unit) -> None:
    """Takes a unit's home away, if it has one."""
    if unit.home is not None:
        _detach(topology, "homes", unit.key, unit.home)
        unit.home = None


def mark_unit(topology: capacity.Topology, unit: capacity.Unit, user: str | None) -> None:
    """Sets which request uses a unit."""
    unit.user = user
    for place in unit.home or ():
        topology.dirty.add(place.worker_id)


def attach_block(topology: capacity.Topology, reservation: capacity.Reservation) -> None:
    """Reserves the block of a reservation."""
    request_id = reservation.request.request_id
    _attach(topology, "blocks", request_id, reservation, reservation.block)


def detach_block(topology: capacity.Topology, reservation: capacity.Reservation) -> None:
    """Frees the block of a reservation."""
    _detach(topology, "blocks", reservation.request.request_id, reservation.block)


def refresh(topology: capacity.Topology) -> None:
    """Brings the views of changed workers, their racks and the indexes up to date."""
    while topology.dirty:
        racks: dict[str, capacity.Rack] = {}
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


def _measure(node: capacity.Node, topology: capacity.Topology) -> None:
    old_totals, old_masks, old_slots = node.totals, node.masks, node.slots
    worker = node.worker
    if node.usable:
        _measure_usable(node)
    else:
        full = (1 << worker.accelerators) - 1 if node.present else 0
        slots = worker.slots if node.present else 0
        node.masks = (0,) * capacity.View.TOTAL + (full,)
        node.slots = (0,) * capacity.View.TOTAL + (slots,)
        node.totals = (0,) * capacity.Total.PRESENT_SLOTS + (slots, full.bit_count())
    counts = []
    for view in range(len(capacity.View)):
        row = node.counts[view]
        mask, slots = node.masks[view], node.slots[view]
        if mask != old_masks[view] or slots != old_slots[view] or len(row) != topology.width + 1:
            row = blocks.count_blocks(mask, slots, topology.width)
            node.changed |= 1 << view
        counts.append(row)
    node.counts = tuple(counts)
    if node.totals != old_totals:
        for index, (new, old) in enumerate(zip(node.totals, old_totals, strict=True)):
            topology.totals[index] += new - old


def _measure_usable(node: capacity.Node) -> None:
    occupied = kept = hard = firm = solid = taken = 0
    running = stopping = pending = hard_slots = firm_slots = solid_slots = taken_slots = 0
    for allocation, mask, members in node.members.values():
        if allocation.state is capacity.AllocationState.STOPPING:
            occupied |= mask
            stopping += members
            continue
        if allocation.state is capacity.AllocationState.RUNNING:
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
            or allocation.state is capacity.AllocationState.PENDING
        ):
            firm |= mask
            firm_slots += members
        elif allocation.large:
            solid |= mask
            solid_slots += members
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
        full & ~home & ~firm & ~solid & ~block,
        full & ~home & ~block,
        full & ~used & ~block,
        full,
    )
    node.slots = (
        max(0, free_slots - shut_slots),
        max(0, min(free_slots, spare_slots) - block_slots),
        max(0, min(worker.slots - firm_slots, spare_slots) - shut_slots),
        max(0, spare_slots - block_slots),
        max(0, min(free_slots, worker.slots - used_slots - hard_slots) - block_slots),
        max(0, min(worker.slots - firm_slots - solid_slots, spare_slots) - block_slots),
        max(0, worker.slots - home_slots - block_slots),
        max(0, worker.slots - used_slots - block_slots),
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


def _aggregate(rack: capacity.Rack, topology: capacity.Topology) -> None:
    nodes = rack.nodes.values()
    sizes = topology.width + 1
    changed = 0
    for node in nodes:
        changed |= node.changed
        node.changed = 0
    for view in blocks.list_bits(changed):
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
                    for _, length in blocks.list_runs(mask):
                        runs |= 1 << length
                else:
                    runs |= 1
        name = rack.name
        grown = _update(topology.counts[view], name, rack.counts[view], counts)
        grown |= _update(topology.largest[view], name, rack.largest[view], largest)
        if grown:
            topology.grown[view] = topology.grown.get(view, 0) | grown
        _update_runs(topology.runs[view], name, (rack.runs[view], rack.free[view]), (runs, free))
        rack.counts[view], rack.largest[view] = counts, largest
        rack.runs[view], rack.free[view] = runs, free


def _pad(row: tuple[int, ...], sizes: int) -> tuple[int, ...]:
    return row if len(row) == sizes else row + (0,) * (sizes - len(row))


def _update(index: capacity.Index, name: str, old: tuple[int, ...], new: tuple[int, ...]) -> int:
    """Updates an index for a rack; returns a bit for each block size that grew."""
    if old == new:
        return 0
    grown = 0
    for size in range(max(len(old), len(new))):
        before = old[size] if size < len(old) else 0
        after = new[size] if size < len(new) else 0
        if before == after:
            continue
        if before:
            index[size].remove((before, name))
        if after:
            index[size].add((after, name))
        if after > before:
            grown |= 1 << size
    return grown


def _update_runs(
    index: capacity.Index, name: str, old: tuple[int, int], new: tuple[int, int]
) -> None:
    if old == new:
        return
    for length in blocks.list_bits(old[0]):
        index[length].remove((old[1], name))
    for length in blocks.list_bits(new[0]):
        index[length].add((new[1], name))
