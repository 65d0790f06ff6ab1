"""Search for capacity for a shape.

The search picks the block that leaves the largest aligned blocks: the shortest run of
accelerators that fits, at the end of the run that keeps larger aligned blocks whole.
"""

from lycheegate.core import blocks, capacity, policy, topology
from lycheegate.model import resources

__all__ = ["find_cheapest", "find_placement"]

_CANDIDATE_RACKS = 8
"""Racks that are searched for the block with the least work in it."""


def find_placement(
    top: capacity.Topology,
    view: capacity.View,
    shape: resources.Shape,
    settings: policy.PolicySettings,
) -> resources.Placement | None:
    """Returns places for all members, or None if there is no room.

    Args:
        top: Capacity; brought up to date first.
        view: Kind of demand.
        shape: What is asked for.
        settings: Weights of packing against spreading.
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
        return tuple(_take(node, view, size, shape.members))
    rack = _find_rack(top, top.counts[view][size], shape.members)
    if rack is not None:
        return tuple(_take_in_rack(rack, view, size, shape.members))
    if shape.adjacency is resources.Adjacency.RACK:
        return None
    places: list[resources.MemberPlacement] = []
    for _, name in reversed(top.counts[view][size]):
        places += _take_in_rack(top.racks[name], view, size, shape.members - len(places))
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
        return tuple(_take(node, view, size, 1))
    return None


def _has_run(mask: int, length: int) -> bool:
    if length == 0:
        return mask == 0
    return any(run == length for _, run in blocks.list_runs(mask))


def _take_in_rack(
    rack: capacity.Rack, view: capacity.View, size: int, members: int
) -> list[resources.MemberPlacement]:
    nodes = [node for node in rack.nodes.values() if node.counts[view][size]]
    nodes.sort(key=lambda n: (n.counts[view][size], n.worker.worker_id))
    places: list[resources.MemberPlacement] = []
    for node in nodes:
        places += _take(node, view, size, min(node.counts[view][size], members - len(places)))
        if len(places) == members:
            break
    return places


def _take(
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
    """Returns the place with the least work in it among the racks with most room.

    Only places within one rack are considered. Work that may not be stopped for large jobs counts
    four times, because it has to end by itself.
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
            _list_costs(node, view, size)
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


def _list_costs(
    node: capacity.Node, view: capacity.View, size: int
) -> list[tuple[int, resources.MemberPlacement]]:
    """Returns disjoint places of a worker, each with the amount of work in it."""
    free, clear = node.masks[capacity.View.BORROW], node.masks[capacity.View.CLEAR]
    costs = []
    for place in _take(node, view, size, node.counts[view][size]):
        mask = ((1 << size) - 1) << place.first
        costs.append(((mask & ~free).bit_count() + 3 * (mask & ~free & ~clear).bit_count(), place))
    return costs
