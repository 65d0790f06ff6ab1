"""Placement and preemption, compared with exhaustive search on small inputs."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheegate.jobs import model, placement, preemption


def _make_candidate(worker_id, accelerators, rack="r0", limit=9, is_avoided=False):
    room = model.Resources(1000 * accelerators, 1000, accelerators)
    full = model.Resources(8000, 1000, 8)
    return placement.Candidate(worker_id, rack, room, full, limit, is_avoided)


def _make_need(accelerators):
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
    """Guards against small tasks that are spread over empty workers, which gangs need whole."""
    candidates = [_make_candidate(name, room) for name, room in rooms.items()]
    assert placement.place_task(_make_need(need), candidates, "", False) == expected


@pytest.mark.parametrize(
    ("only_near", "near_room", "expected"), [(False, 2, "a"), (True, 0, None), (False, 0, "b")]
)
def test_task_prefers_the_rack_of_its_data(only_near, near_room, expected):
    """Guards against a task that is placed far from its data while there is room in its rack."""
    candidates = [_make_candidate("a", near_room, "near"), _make_candidate("b", 8, "far")]
    assert placement.place_task(_make_need(1), candidates, "near", only_near) == expected


def test_avoided_worker_is_chosen_last():
    """Guards against a retry on the worker where the task just failed, if another has room."""
    candidates = [_make_candidate("a", 1, is_avoided=True), _make_candidate("b", 8)]
    assert placement.place_task(_make_need(1), candidates, "", False) == "b"
    assert placement.place_task(_make_need(1), candidates[:1], "", False) == "a"


@pytest.mark.parametrize(
    ("rooms", "avoided", "count", "expected"),
    [
        ({"a": 8, "b": 8}, "", 2, "ab"),
        ({"a": 8, "b": 8}, "a", 1, "b"),
        # Full workers still count: such work waits for their room.
        ({"a": 8, "b": 0, "c": 0}, "a", 2, "bc"),
        ({"a": 8, "b": 8}, "a", 2, "ab"),
        ({"a": 8}, "a", 1, "a"),
    ],
    ids=["none", "one", "sound_ones_are_full", "too_few", "all"],
)
def test_sound_workers_are_preferred_unless_they_never_suffice(rooms, avoided, count, expected):
    """Guards against gangs on faulty workers, and against gangs that could never be placed."""
    candidates = [
        _make_candidate(name, room, is_avoided=name in avoided) for name, room in rooms.items()
    ]
    sound = placement.list_sound(count, _make_need(8), candidates)
    assert "".join(candidate.worker_id for candidate in sound) == expected


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 8), st.integers(0, 2)), min_size=1, max_size=6),
    st.integers(1, 6),
    st.integers(1, 8),
    st.booleans(),
)
def test_gang_is_placed_whenever_it_fits(rooms, count, need, same_rack):
    """Guards against a gang that waits although it fits, or that exceeds a worker's room."""
    candidates = [
        _make_candidate(f"w{i}", room, f"r{rack}") for i, (room, rack) in enumerate(rooms)
    ]
    placed = placement.place_gang(count, _make_need(need), candidates, same_rack)
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
    """Returns the lowest cost over all sets of victims that make room, or None."""
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
    """Guards against urgent work for which no victims are found although some would make room."""
    candidates = [_make_candidate(f"w{i}", room) for i, room in enumerate(rooms)]
    victims = [
        preemption.VictimUnit((i,), float(cost), {f"w{worker}": _make_need(size)})
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


@pytest.mark.parametrize(
    ("units", "count", "need", "stopped"),
    [
        # The large unit is needed for the task, which makes the two small ones unnecessary.
        ([("a", 1, {0: 1}), ("b", 2, {0: 1}), ("c", 9, {0: 6})], 1, 6, "c"),
        # One gang makes room for three tasks, although each task alone is cheaper elsewhere.
        (
            [("a", 5, {0: 8}), ("b", 5, {1: 8}), ("c", 5, {2: 8}), ("g", 9, {3: 8, 4: 8, 5: 8})],
            3,
            8,
            "g",
        ),
        ([("a", 5, {0: 8}), ("g", 9, {3: 8, 4: 8, 5: 8})], 1, 8, "a"),
        ([("a", 2, {0: 8}), ("g", 9, {3: 8, 4: 8, 5: 8})], 4, 8, "ag"),
    ],
    ids=["unnecessary_units", "gang_for_several_tasks", "gang_for_one_task", "both"],
)
def test_victims_are_chosen_for_all_tasks_together(units, count, need, stopped):
    """Guards against work that is lost in vain because each task gets victims of its own.

    Load pattern: urgent gangs arrive while the workers are full of batch tasks and batch gangs.
    """
    candidates = [_make_candidate(f"w{number}", 0) for number in range(6)]
    victims = [
        preemption.VictimUnit(
            (name,), cost, {f"w{w}": _make_need(size) for w, size in room.items()}
        )
        for name, cost, room in units
    ]
    found = preemption.choose_victims(
        count, model.Resources(0, 0, need), candidates, victims, False
    )
    assert "".join(sorted(victim.key[0] for victim in found.victims)) == stopped
    assert len(found.placement) == count


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sets(st.integers(0, 3), min_size=1, max_size=3),
            st.integers(1, 4),
            st.integers(1, 20),
        ),
        max_size=6,
    ),
    st.integers(1, 3),
    st.sampled_from([2, 4, 8]),
)
def test_no_victim_is_unnecessary(units, count, need):
    """Guards against a victim without which the urgent tasks fit as well."""
    candidates = [_make_candidate(f"w{number}", 0) for number in range(4)]
    victims = [
        preemption.VictimUnit((number,), float(cost), {f"w{w}": _make_need(size) for w in on})
        for number, (on, size, cost) in enumerate(units)
    ]
    found = preemption.choose_victims(
        count, model.Resources(0, 0, need), candidates, victims, False
    )
    if found is None:
        return
    rooms = {c.worker_id: 0 for c in candidates}
    assert _search_cheapest(count, need, rooms, found.victims) == found.cost


def test_cost_of_a_gang_counts_once():
    """Guards against a gang whose cost is counted once for each of its members."""
    gang = preemption.VictimUnit(("g",), 10.0, {"w0": _make_need(4), "w1": _make_need(4)})
    single = preemption.VictimUnit(("s",), 6.0, {"w0": _make_need(4)})
    candidates = [_make_candidate("w0", 0), _make_candidate("w1", 0)]
    found = preemption.choose_victims(
        2, model.Resources(0, 0, 4), candidates, [gang, single], False
    )
    assert found.victims == [gang] or found.cost <= 16.0
