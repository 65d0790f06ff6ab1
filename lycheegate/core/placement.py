"""Search for a placement of a shape.

To limit fragmentation, the search takes a block from the shortest run of accelerators that fits,
at the end of the run where it leaves the larger aligned blocks intact.
"""

from lycheegate.core import blocks, capacity, policy, topology
from lycheegate.model import resources

__all__ = ["compute_clearing_cost", "find_cheapest", "find_placement"]

_CANDIDATE_RACKS = 8
"""Number of racks that are searched for the block with the lowest clearing cost."""


def find_placement(
    top: capacity.Topology,
    view: capacity.View,
    shape: resources.Shape,
    settings: policy.PolicySettings,
) -> resources.Placement | None:
    """Returns places for all members, or None if there is no room.

    Args:
        top: Capacity; its views are updated first.
        view: Kind of demand.
        shape: Requested shape.
        settings: Weights that decide between packing and spreading.
    """
    topology.refresh(top)
    if shape.accelerators > top.width:
        return None
    if shape.members == 1:
        return _place_single(top, view, shape.accelerators, settings)
    size = shape.accelerators
    if shape.adjacency is resources.Adjacency.WORKER:
        rack = _find_rack(top, top.largest[view][size], shape.members)
        if rack is None:
            return None
        nodes = [node for node in rack.nodes.values() if node.counts[view][size] >= shape.members]
        node = min(nodes, key=lambda n: (n.counts[view][size], n.worker.worker_id))
        return tuple(_choose_places(node, view, size, shape.members))
    rack = _find_rack(top, top.counts[view][size], shape.members)
    if rack is not None:
        return tuple(_choose_places_in_rack(rack, view, size, shape.members))
    if shape.adjacency is resources.Adjacency.RACK:
        return None
    places: list[resources.MemberPlacement] = []
    for _, name in reversed(top.counts[view][size]):
        places += _choose_places_in_rack(top.racks[name], view, size, shape.members - len(places))
        if len(places) == shape.members:
            return tuple(places)
    return None


def _find_rack(top: capacity.Topology, index, members: int) -> capacity.Rack | None:
    position = index.bisect_left((members, ""))
    return top.racks[index[position][1]] if position < len(index) else None


def _place_single(
    top: capacity.Topology, view: capacity.View, size: int, settings: policy.PolicySettings
) -> resources.Placement | None:
    spread = settings.completion_weight > settings.fragmentation_weight
    for length in range(size, top.width + 1):
        racks = top.runs[view].get(length)
        if not racks:
            continue
        rack = top.racks[racks[-1 if spread else 0][1]]
        nodes = [
            node
            for node in rack.nodes.values()
            if node.slots[view] > 0 and _has_run(node.masks[view], length)
        ]
        node = min(
            nodes,
            key=lambda n: (n.masks[view].bit_count(), n.slots[view], n.worker.worker_id),
        )
        return tuple(_choose_places(node, view, size, 1))
    return None


def _has_run(mask: int, length: int) -> bool:
    if length == 0:
        return mask == 0
    return any(run == length for _, run in blocks.list_runs(mask))


def _choose_places_in_rack(
    rack: capacity.Rack, view: capacity.View, size: int, members: int
) -> list[resources.MemberPlacement]:
    nodes = [node for node in rack.nodes.values() if node.counts[view][size]]
    nodes.sort(key=lambda n: (n.counts[view][size], n.worker.worker_id))
    places: list[resources.MemberPlacement] = []
    for node in nodes:
        places += _choose_places(
            node, view, size, min(node.counts[view][size], members - len(places))
        )
        if len(places) == members:
            break
    return places


def _choose_places(
    node: capacity.Node, view: capacity.View, size: int, members: int
) -> list[resources.MemberPlacement]:
    worker_id = node.worker.worker_id
    mask = node.masks[view]
    places = []
    for _ in range(members):
        first = blocks.choose_first(mask, size)
        mask &= ~(((1 << size) - 1) << first)
        places.append(resources.MemberPlacement(worker_id, first, size))
    return places


def find_cheapest(
    top: capacity.Topology, view: capacity.View, shape: resources.Shape
) -> resources.Placement | None:
    """Returns the placement with the lowest clearing cost among the racks with the most room.

    The cost is the number of occupied accelerators in the placement. Those held by work that may
    not be stopped for large jobs count four times, because that work has to end by itself. Only
    placements within one rack are considered.
    """
    topology.refresh(top)
    size, members = shape.accelerators, shape.members
    if size > top.width:
        return None
    is_single = members == 1 or shape.adjacency is resources.Adjacency.WORKER
    best: tuple[int, list[resources.MemberPlacement]] | None = None
    racks = [name for _, name in top.counts[capacity.View.CLEAR][size][-_CANDIDATE_RACKS:]]
    racks += [name for _, name in top.counts[view][size][-_CANDIDATE_RACKS:]]
    for name in dict.fromkeys(racks):
        per_node = [
            _list_places_with_costs(node, view, size)
            for node in top.racks[name].nodes.values()
            if node.counts[view][size]
        ]
        choices = per_node if is_single else [[cost for costs in per_node for cost in costs]]
        for costs in choices:
            if len(costs) < members:
                continue
            chosen = sorted(costs, key=lambda entry: entry[0])[:members]
            total = sum(cost for cost, _ in chosen)
            if best is None or total < best[0]:
                best = (total, [place for _, place in chosen])
    return None if best is None else tuple(best[1])


def compute_clearing_cost(top: capacity.Topology, place: resources.Placement) -> int:
    """Returns the clearing cost of a placement, as defined by ``find_cheapest``."""
    topology.refresh(top)
    cost = 0
    for worker_id, (mask, _) in topology.group_by_worker(place).items():
        node = top.nodes.get(worker_id)
        if node is not None:
            cost += _compute_mask_cost(node, mask)
    return cost


def _compute_mask_cost(node: capacity.Node, mask: int) -> int:
    busy = mask & ~node.masks[capacity.View.BORROW]
    return busy.bit_count() + 3 * (busy & ~node.masks[capacity.View.CLEAR]).bit_count()


def _list_places_with_costs(
    node: capacity.Node, view: capacity.View, size: int
) -> list[tuple[int, resources.MemberPlacement]]:
    """Returns disjoint places on a worker, each with its clearing cost."""
    costs = []
    for place in _choose_places(node, view, size, node.counts[view][size]):
        mask = ((1 << size) - 1) << place.first
        costs.append((_compute_mask_cost(node, mask), place))
    return costs
