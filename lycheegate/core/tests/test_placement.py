"""Tests of the search for placements, against a naive search and expected values."""

import hypothesis
import pytest
from hypothesis import strategies as st

from lycheegate.core import blocks, capacity, placement, policy, topology
from lycheegate.core.tests import driver
from lycheegate.model import resources

_PACK = policy.PolicySettings(completion_weight=0.0, fragmentation_weight=1.0)
_SPREAD = policy.PolicySettings(completion_weight=1.0, fragmentation_weight=0.0)
_OPEN = capacity.View.OPEN
_ADJACENCIES = list(resources.Adjacency)


def _build(workers):
    """Returns a topology; each worker is (rack, slots, accelerators, occupied mask)."""
    top = capacity.Topology()
    for number, (rack, slots, accelerators, occupied) in enumerate(workers):
        name = f"w{number}"
        topology.add_node(top, driver.make_worker(name, rack, accelerators, slots))
        for first in range(accelerators):
            if occupied >> first & 1:
                place = (resources.MemberPlacement(name, first, 1),)
                request = driver.make_request(f"{name}.{first}", resources.Shape(1, 1))
                running = capacity.AllocationState.RUNNING
                topology.add_allocation(top, capacity.Allocation(request, place, running))
    topology.refresh(top)
    return top


def _search_naively(top, shape):
    """Returns the most members that fit in one group of workers, by checking each worker."""
    groups = {}
    for name, node in top.nodes.items():
        key = {"worker": name, "rack": node.worker.rack}.get(shape.adjacency, "all")
        fit, run = 0, 0
        for index in range(node.worker.accelerators if shape.accelerators else 0):
            run = run + 1 if node.masks[_OPEN] >> index & 1 else 0
            if run == shape.accelerators:
                fit, run = fit + 1, 0
        slots = node.slots[_OPEN]
        groups[key] = groups.get(key, 0) + (min(fit, slots) if shape.accelerators else slots)
    return max(groups.values())


_WORKERS = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(8, 10), st.integers(0, 8), st.integers(0, 255)),
    min_size=1,
    max_size=6,
)
_SHAPES = st.builds(
    resources.Shape,
    members=st.integers(1, 6),
    accelerators=st.integers(0, 5),
    adjacency=st.sampled_from(_ADJACENCIES),
)


@hypothesis.given(_WORKERS, _SHAPES, st.booleans())
@hypothesis.settings(max_examples=400)
def test_find_placement_as_naive_search(workers, shape, pack):
    """Guards against room missing from an index, and against places that are not free."""
    top = _build(workers)
    settings = _PACK if pack else _SPREAD
    place = placement.find_placement(top, _OPEN, shape, settings)
    assert (place is not None) == (_search_naively(top, shape) >= shape.members)
    cheapest = placement.find_cheapest(top, _OPEN, shape)
    if shape.adjacency is not resources.Adjacency.DATA_CENTRE or shape.members == 1:
        assert (cheapest is not None) == (place is not None)
    for found in filter(None, (place, cheapest)):
        assert [member.count for member in found] == [shape.accelerators] * shape.members
        grouped = topology.group_by_worker(found)
        size = sum(mask.bit_count() for mask, _ in grouped.values())
        assert size == shape.total_accelerators
        for name, (mask, members) in grouped.items():
            assert mask & ~top.nodes[name].masks[_OPEN] == 0
            assert members <= top.nodes[name].slots[_OPEN]
        if shape.adjacency is resources.Adjacency.WORKER:
            assert len(grouped) == 1
        if shape.adjacency is resources.Adjacency.RACK:
            assert len({top.nodes[name].worker.rack for name in grouped}) == 1


@hypothesis.given(_WORKERS, st.integers(1, 4))
def test_single_task_takes_shortest_run(workers, size):
    """Guards against a task that splits a longer run than necessary."""
    top = _build(workers)
    place = placement.find_placement(top, _OPEN, resources.Shape(1, size), _PACK)
    runs = [
        (length, name, first)
        for name, node in top.nodes.items()
        for first, length in blocks.list_runs(node.masks[_OPEN])
        if length >= size
    ]
    if place is None:
        assert not runs
        return
    start = place[0].first
    taken = [
        length
        for length, name, first in runs
        if name == place[0].worker_id and first <= start < first + length
    ]
    assert taken == [min(length for length, _, _ in runs)]


@pytest.mark.parametrize(
    ("mask", "size", "first"),
    [
        (0b11111111, 1, 0),
        (0b11111111, 4, 0),
        (0b11111110, 1, 1),
        (0b01111111, 1, 6),
        (0b00111100, 2, 2),
        (0b01111110, 2, 1),
        (0b11110011, 2, 0),
        (0b11110011, 1, 0),
        (0b11111111, 0, 0),
    ],
)
def test_choose_first_keeps_aligned_blocks(mask, size, first):
    """Guards against a choice on a worker that breaks a larger aligned block than necessary."""
    assert blocks.choose_first(mask, size) == first


@pytest.mark.parametrize(
    ("settings", "shape", "rack"),
    [
        (_PACK, resources.Shape(1, 1), "full"),
        (_SPREAD, resources.Shape(1, 1), "empty"),
        (_PACK, resources.Shape(1, 0), "full"),
        (_PACK, resources.Shape(2, 4, resources.Adjacency.RACK), "full"),
        (_PACK, resources.Shape(3, 4, resources.Adjacency.RACK), "empty"),
    ],
)
def test_choose_rack(settings, shape, rack):
    """Guards against small work placed in empty racks although fuller ones have room."""
    workers = [("empty", 8, 8, 0), ("empty", 8, 8, 0), ("full", 8, 8, 0), ("full", 8, 8, 255)]
    top = _build(workers)
    place = placement.find_placement(top, _OPEN, shape, settings)
    assert {top.nodes[member.worker_id].worker.rack for member in place} == {rack}


def test_gang_of_data_centre_takes_few_racks():
    """Guards against a gang that is spread over more racks than necessary."""
    workers = [("a", 8, 2, 0), ("b", 8, 8, 0), ("c", 8, 8, 0), ("d", 8, 4, 0)]
    top = _build(workers)
    place = placement.find_placement(top, _OPEN, resources.Shape(64, 1), _PACK)
    assert place is None
    place = placement.find_placement(top, _OPEN, resources.Shape(16, 1), _PACK)
    assert {top.nodes[member.worker_id].worker.rack for member in place} == {"b", "c"}


@pytest.mark.parametrize(
    ("mask", "slots", "counts"),
    [
        (0b1111, 4, (4, 4, 2, 1, 1)),
        (0b1111, 1, (1, 1, 1, 1, 1)),
        (0b1101, 8, (8, 3, 1, 0, 0)),
        (0b1111, 0, (0, 0, 0, 0, 0)),
    ],
)
def test_count_blocks(mask, slots, counts):
    """Guards against counts that exceed the members that fit, by slots or by runs."""
    assert blocks.count_blocks(mask, slots, 4) == counts
