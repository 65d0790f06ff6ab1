"""Search for capacity for a shape.

The search picks the block that leaves the largest aligned blocks: the shortest run of
accelerators that fits, at the end of the run that keeps larger aligned blocks whole.
"""

import functools

from lycheegate.core import policy, topology
from lycheegate.model import resources

__all__ = ["choose_first", "find_placement"]


def find_placement(
    top: topology.Topology,
    view: topology.View,
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


def _find_rack(top: topology.Topology, index, members: int) -> topology.Rack | None:
    position = index.bisect_left((members, ""))
    return top.racks[index[position][1]] if position < len(index) else None


def _place_single(
    top: topology.Topology, view: topology.View, size: int, settings: policy.PolicySettings
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
    return any(run == length for _, run in topology.list_runs(mask))


def _take_in_rack(
    rack: topology.Rack, view: topology.View, size: int, members: int
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
    node: topology.Node, view: topology.View, size: int, members: int
) -> list[resources.MemberPlacement]:
    worker_id = node.worker.worker_id
    mask = node.masks[view]
    places = []
    for _ in range(members):
        first = choose_first(mask, size)
        mask &= ~(((1 << size) - 1) << first)
        places.append(resources.MemberPlacement(worker_id, first, size))
    return places


@functools.lru_cache(maxsize=65536)
def choose_first(mask: int, size: int) -> int:
    """Returns the first accelerator of the best block of ``size`` in ``mask``.

    Only the ends of runs are candidates, so that no run loses more than one block of ``size``.

    Raises:
        ValueError: No run is long enough.
    """
    if size == 0:
        return 0
    block = (1 << size) - 1
    candidates = []
    for first, length in topology.list_runs(mask):
        if length >= size:
            for start in (first, first + length - size):
                aligned = _count_aligned(mask & ~(block << start))
                candidates.append((length, tuple(-count for count in aligned), start))
    if not candidates:
        raise ValueError(f"no run of {size} in {mask:b}")
    return min(candidates)[2]


@functools.lru_cache(maxsize=65536)
def _count_aligned(mask: int) -> tuple[int, ...]:
    """Returns the free aligned blocks of 64, 32, ... 2 accelerators."""
    counts = []
    for size in (64, 32, 16, 8, 4, 2):
        block = (1 << size) - 1
        counts.append(
            sum(
                mask >> first & block == block
                for first in range(0, max(mask.bit_length() - size + 1, 0), size)
            )
        )
    return tuple(counts)
