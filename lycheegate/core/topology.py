"""Updates to the capacity of a partition: workers, racks, and the work on them.

Sets of accelerators of a worker are bit masks. For each kind of demand, a *view* contains the
accelerators and slots that the demand may use. Racks aggregate the views of their workers, and
sorted indexes over racks answer placement queries without iterating over all workers.
"""

from lycheegate.core import blocks, capacity
from lycheegate.model import requests, resources

__all__ = [
    "add_allocation",
    "add_block",
    "add_node",
    "assign_home",
    "group_by_worker",
    "refresh",
    "release_home",
    "remove_allocation",
    "remove_block",
    "remove_node",
    "set_placeable",
    "set_unit_user",
]


def add_node(topology: capacity.Topology, worker: resources.Worker) -> None:
    """Adds a worker, or adds one again with the allocations still recorded on it."""
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
    """Removes the capacity of a worker; its allocations stay recorded until they are removed."""
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
    _remove_if_unused(topology, node)


def set_placeable(topology: capacity.Topology, worker_id: str, placeable: bool) -> None:
    """Sets whether a worker may get new work."""
    topology.nodes[worker_id].placeable = placeable
    topology.dirty.add(worker_id)


def group_by_worker(placement: resources.Placement) -> dict[str, tuple[int, int]]:
    """Returns the mask of accelerators and the number of members on each worker."""
    grouped: dict[str, tuple[int, int]] = {}
    for place in placement:
        mask, members = grouped.get(place.worker_id, (0, 0))
        mask |= ((1 << place.count) - 1) << place.first
        grouped[place.worker_id] = (mask, members + 1)
    return grouped


def _get_or_add_node(topology: capacity.Topology, worker_id: str) -> capacity.Node:
    node = topology.nodes.get(worker_id)
    if node is None:
        # After a takeover, work can be found on a worker that has not reported yet.
        worker = resources.Worker(worker_id, "", "", "", "", 0, 0)
        node = topology.nodes[worker_id] = capacity.Node(worker, present=False)
    return node


def _remove_if_unused(topology: capacity.Topology, node: capacity.Node) -> None:
    if not (node.present or node.members or node.homes or node.blocks):
        topology.nodes.pop(node.worker.worker_id, None)
        topology.dirty.discard(node.worker.worker_id)


def _add_entry(
    topology: capacity.Topology, field: str, key: object, item: object, placement
) -> None:
    for worker_id, (mask, members) in group_by_worker(placement).items():
        getattr(_get_or_add_node(topology, worker_id), field)[key] = (item, mask, members)
        topology.dirty.add(worker_id)


def _remove_entry(topology: capacity.Topology, field: str, key: object, placement) -> None:
    for place in placement:
        node = topology.nodes.get(place.worker_id)
        if node is not None and getattr(node, field).pop(key, None) is not None:
            topology.dirty.add(place.worker_id)
            _remove_if_unused(topology, node)


def add_allocation(topology: capacity.Topology, allocation: capacity.Allocation) -> None:
    """Records an allocation on its workers."""
    _add_entry(topology, "members", allocation.request.request_id, allocation, allocation.placement)


def remove_allocation(topology: capacity.Topology, allocation: capacity.Allocation) -> None:
    """Removes an allocation from its workers."""
    _remove_entry(topology, "members", allocation.request.request_id, allocation.placement)


def assign_home(
    topology: capacity.Topology, unit: capacity.Unit, home: resources.Placement
) -> None:
    """Assigns a home to a unit that has none."""
    unit.home = home
    _add_entry(topology, "homes", unit.key, unit, home)


def release_home(topology: capacity.Topology, unit: capacity.Unit) -> None:
    """Releases the home of a unit, if it has one."""
    if unit.home is not None:
        _remove_entry(topology, "homes", unit.key, unit.home)
        unit.home = None


def set_unit_user(topology: capacity.Topology, unit: capacity.Unit, user: str | None) -> None:
    """Sets the request that uses a unit, or None."""
    unit.user = user
    for place in unit.home or ():
        topology.dirty.add(place.worker_id)


def add_block(topology: capacity.Topology, reservation: capacity.Reservation) -> None:
    """Records the block of a reservation on its workers."""
    request_id = reservation.request.request_id
    _add_entry(topology, "blocks", request_id, reservation, reservation.block)


def remove_block(topology: capacity.Topology, reservation: capacity.Reservation) -> None:
    """Removes the block of a reservation from its workers."""
    _remove_entry(topology, "blocks", reservation.request.request_id, reservation.block)


def refresh(topology: capacity.Topology) -> None:
    """Updates the views of changed workers, their racks and the indexes."""
    while topology.dirty:
        racks: dict[str, capacity.Rack] = {}
        for worker_id in topology.dirty:
            node = topology.nodes.get(worker_id)
            if node is None:
                continue
            _update_node(node, topology)
            rack = topology.racks.get(node.worker.rack)
            if rack is not None and worker_id in rack.nodes:
                racks[rack.name] = rack
        topology.dirty.clear()
        for rack in racks.values():
            _update_rack(rack, topology)


def _update_node(node: capacity.Node, topology: capacity.Topology) -> None:
    old_totals, old_masks, old_slots = node.totals, node.masks, node.slots
    worker = node.worker
    if node.usable:
        _update_usable_node(node)
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


def _update_usable_node(node: capacity.Node) -> None:
    # Urgent work cannot stop ``safe`` work; ``taken`` counts against the limit set by the urgent
    # reserve.
    occupied = pending_mask = nonpreemptible = safe = large = taken = 0
    running = stopping = pending = nonpreemptible_slots = safe_slots = large_slots = taken_slots = 0
    for allocation, mask, members in node.members.values():
        if allocation.state is capacity.AllocationState.STOPPING:
            occupied |= mask
            stopping += members
            continue
        if allocation.state is capacity.AllocationState.RUNNING:
            occupied |= mask
            running += members
        else:
            pending_mask |= mask
            pending += members
        request = allocation.request
        at_home = allocation.unit is not None
        is_urgent = request.urgency is requests.Urgency.URGENT
        if not at_home:
            if not request.preemptible:
                nonpreemptible |= mask
                nonpreemptible_slots += members
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
            safe |= mask
            safe_slots += members
        elif allocation.large:
            large |= mask
            large_slots += members
    home = home_slots = used = used_slots = 0
    for unit, mask, members in node.homes.values():
        home |= mask
        home_slots += members
        if unit.user is not None:
            used |= mask
            used_slots += members
    block = block_slots = closed = closed_slots = 0
    for reservation, mask, members in node.blocks.values():
        block |= mask
        block_slots += members
        if reservation.closed:
            closed |= mask
            closed_slots += members
    worker = node.worker
    full = (1 << worker.accelerators) - 1
    free = full & ~(occupied | pending_mask)
    # A pending member gets the slot of a stopping one where there is one.
    free_slots = worker.slots - running - max(stopping, pending)
    spare_slots = worker.slots - home_slots - nonpreemptible_slots
    node.masks = (
        free & ~closed,
        free & ~home & ~block,
        full & ~home & ~safe & ~closed,
        full & ~home & ~nonpreemptible & ~block,
        free & ~used & ~block,
        full & ~home & ~safe & ~large & ~block,
        full & ~home & ~block,
        full & ~used & ~block,
        full & ~safe,
        full,
    )
    node.slots = (
        max(0, free_slots - closed_slots),
        max(0, min(free_slots, spare_slots) - block_slots),
        max(0, min(worker.slots - safe_slots, spare_slots) - closed_slots),
        max(0, spare_slots - block_slots),
        max(0, min(free_slots, worker.slots - used_slots - nonpreemptible_slots) - block_slots),
        max(0, min(worker.slots - safe_slots - large_slots, spare_slots) - block_slots),
        max(0, worker.slots - home_slots - block_slots),
        max(0, worker.slots - used_slots - block_slots),
        max(0, worker.slots - safe_slots),
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


def _update_rack(rack: capacity.Rack, topology: capacity.Topology) -> None:
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
        grown = _update_block_index(topology.counts[view], name, rack.counts[view], counts)
        grown |= _update_block_index(topology.largest[view], name, rack.largest[view], largest)
        if grown:
            topology.grown[view] = topology.grown.get(view, 0) | grown
        _update_run_index(
            topology.runs[view], name, (rack.runs[view], rack.free[view]), (runs, free)
        )
        rack.counts[view], rack.largest[view] = counts, largest
        rack.runs[view], rack.free[view] = runs, free


def _pad(row: tuple[int, ...], sizes: int) -> tuple[int, ...]:
    return row if len(row) == sizes else row + (0,) * (sizes - len(row))


def _update_block_index(
    index: capacity.Index, name: str, old: tuple[int, ...], new: tuple[int, ...]
) -> int:
    """Updates an index for a rack.

    Returns:
        A bit for each block size; it is set if the rack can hold more blocks of that size than
        before.
    """
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


def _update_run_index(
    index: capacity.Index, name: str, old: tuple[int, int], new: tuple[int, int]
) -> None:
    if old == new:
        return
    for length in blocks.list_bits(old[0]):
        index[length].remove((old[1], name))
    for length in blocks.list_bits(new[0]):
        index[length].add((new[1], name))
