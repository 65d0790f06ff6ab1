"""Placement and preemption, against exhaustive search where it is small enough."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheegate.jobs import model, placement, preemption


def _candidate(worker_id, accelerators, rack="r0", limit=9, is_avoided=False):
    room = model.Resources(1000 * accelerators, 1000, accelerators)
    full = model.Resources(8000, 1000, 8)
    return placement.Candidate(worker_id, rack, room, full, limit, is_avoided)


def _need(accelerators):
    return model.Resources(100, 10, accelerators)


@pytest.mark.parametrize(
    ("rooms", "need", "expected"),
    [
        ({"a": 8, "b": 3}, 2, "b"),
        ({"a": 8, "b": 1}, 2, "a"),
        ({"a": 1, "b": 1}, 2, None),
    ],
)
def test_small_tasks_fill_the_fullest_worker(rooms, need, expected):
    """Guards against small tasks that take the whole workers that gangs need."""
    candidates = [_candidate(name, room) for name, room in rooms.items()]
    assert placement.place_task(_need(need), candidates, "", False) == expected


@pytest.mark.parametrize(
    ("only_near", "near_room", "expected"), [(False, 2, "a"), (True, 0, None), (False, 0, "b")]
)
def test_data_rack(only_near, near_room, expected):
    """Guards against work far from its data while there is room beside it."""
    candidates = [_candidate("a", near_room, "near"), _candidate("b", 8, "far")]
    assert placement.place_task(_need(1), candidates, "near", only_near) == expected


def test_avoided_worker_is_the_last_choice():
    """Guards against a retry on the worker that just failed the task."""
    candidates = [_candidate("a", 1, is_avoided=True), _candidate("b", 8)]
    assert placement.place_task(_need(1), candidates, "", False) == "b"
    assert placement.place_task(_need(1), candidates[:1], "", False) == "a"


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 8), st.integers(0, 2)), min_size=1, max_size=6),
    st.integers(1, 6),
    st.integers(1, 8),
    st.booleans(),
)
def test_gang_is_placed_whenever_it_fits(rooms, count, need, same_rack):
    """Guards against a gang that waits although it fits, or that exceeds a worker's room."""
    candidates = [_candidate(f"w{i}", room, f"r{rack}") for i, (room, rack) in enumerate(rooms)]
    placed = placement.place_gang(count, _need(need), candidates, same_rack)
    racks = placement.group_by_rack(candidates).values() if same_rack else [candidates]
    fits = any(sum(c.room.accelerators // need for c in group) >= count for group in racks)
    assert (placed is not None) == fits
    if placed is not None:
        by_id = {c.worker_id: c for c in candidates}
        assert len(placed) == count
        for worker_id in set(placed):
            assert placed.count(worker_id) * need <= by_id[worker_id].room.accelerators
        if same_rack:
            assert len({by_id[worker_id].rack for worker_id in placed}) == 1


def _search_cheapest(count, need, rooms, victims):
    """Returns the least cost over all sets of victims, or None."""
    best = None
    for size in range(len(victims) + 1):
        for chosen in itertools.combinations(victims, size):
            free = dict(rooms)
            for victim in chosen:
                for worker_id, room in victim.room_by_worker.items():
                    free[worker_id] += room.accelerators
            if sum(room // need for room in free.values()) >= count:
                cost = sum(victim.cost for victim in chosen)
                best = cost if best is None else min(best, cost)
    return best


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(st.integers(0, 4), min_size=1, max_size=3),
    st.lists(st.tuples(st.integers(0, 2), st.integers(1, 4), st.integers(1, 20)), max_size=5),
    st.integers(1, 3),
    st.integers(1, 4),
)
def test_preemption_is_found_whenever_there_is_one(rooms, units, count, need):
    """Guards against urgent work that finds no victims although stopping some makes room."""
    candidates = [_candidate(f"w{i}", room) for i, room in enumerate(rooms)]
    victims = [
        preemption.VictimUnit((i,), float(cost), {f"w{worker}": _need(size)})
        for i, (worker, size, cost) in enumerate(units)
        if worker < len(rooms)
    ]
    for victim in victims:
        for candidate in candidates:
            if candidate.worker_id in victim.room_by_worker:
                candidate.limit = 9
    found = preemption.choose_victims(
        count, model.Resources(0, 0, need), candidates, victims, False
    )
    least = _search_cheapest(
        count, need, {c.worker_id: c.room.accelerators for c in candidates}, victims
    )
    assert (found is None) == (least is None)
    if found is not None:
        assert found.cost >= least
        assert len(found.placement) == count


def test_members_of_a_gang_are_one_victim():
    """Guards against a gang that is paid for once for each of its members."""
    gang = preemption.VictimUnit(("g",), 10.0, {"w0": _need(4), "w1": _need(4)})
    single = preemption.VictimUnit(("s",), 6.0, {"w0": _need(4)})
    candidates = [_candidate("w0", 0), _candidate("w1", 0)]
    found = preemption.choose_victims(
        2, model.Resources(0, 0, 4), candidates, [gang, single], False
    )
    assert found.victims == [gang] or found.cost <= 16.0
