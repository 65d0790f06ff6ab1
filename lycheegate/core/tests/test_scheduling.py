"""Tests of homes, queue order, quotas, the urgent reserve, preemption and moves."""

import pytest

from lycheegate.core import policy, scheduling
from lycheegate.core.tests import driver
from lycheegate.model import releases, requests, resources

_URGENT, _NORMAL, _BATCH = requests.Urgency
_RACK = resources.Adjacency.RACK
_SETTINGS = policy.PolicySettings(urgent_reserve_ratio=0.0)


def _make_partition(workers=1, accelerators=8, settings=_SETTINGS, accounts=(), guarantees=()):
    """Returns a simulated partition of identical workers, two per rack, with a release applied."""
    nodes = [
        driver.make_worker(f"w{n}", f"rack{n // 2}", accelerators, 2 * accelerators)
        for n in range(workers)
    ]
    partition = driver.Driver(settings, nodes)
    scheduling.apply_release(partition.state, accounts, guarantees)
    return partition


def _make_guarantee(shape, count=1, account="a", name="g"):
    return releases.Guarantee(account, name, shape, count, "dc")


def _submit(partition, request_id, shape, account="a", urgency=_NORMAL, preemptible=False):
    partition.now_s += 0.001
    request = driver.make_request(request_id, shape, account, urgency, preemptible, partition.now_s)
    partition.submit(request)


def _plan(partition):
    orders = partition.plan()
    assert scheduling.check_invariants(partition.state) == []
    return orders


def test_home_excludes_nonpreemptible_work():
    """Guards against nonpreemptible work of other client accounts in the home of a unit."""
    partition = _make_partition(guarantees=(_make_guarantee(resources.Shape(1, 4)),))
    for number in range(8):
        _submit(partition, f"b{number}", resources.Shape(1, 1), "b")
    assert len(_plan(partition)[0]) == 4
    _submit(partition, "a", resources.Shape(1, 4))
    assert _plan(partition) == (["a"], [])


def test_home_keeps_slots():
    """Guards against a home whose slots are taken although its accelerators are free."""
    partition = _make_partition(2, guarantees=(_make_guarantee(resources.Shape(2, 1)),))
    for number in range(40):
        _submit(partition, f"b{number}", resources.Shape(1, 0), "b")
    assert len(_plan(partition)[0]) == 30
    _submit(partition, "a", resources.Shape(2, 1))
    assert _plan(partition) == (["a"], [])


def test_home_moves_when_restored_work_takes_its_slots():
    """Guards against a home left on a worker whose slots are taken by restored work."""
    partition = _make_partition(2, 1, guarantees=(_make_guarantee(resources.Shape(1, 1)),))
    home = next(iter(partition.state.guaranteed.units.values())).home[0].worker_id
    for number in range(2):
        request = driver.make_request(f"r{number}", resources.Shape(1, 0), "b")
        scheduling.restore(partition.state, request, (resources.MemberPlacement(home, 0, 0),), 0.0)
    assert scheduling.check_invariants(partition.state) == []
    assert scheduling.list_short_guarantees(partition.state) == []


def test_reclaim_stops_borrowers():
    """Guards against a guarantee that waits for the work that borrowed its home."""
    partition = _make_partition(guarantees=(_make_guarantee(resources.Shape(1, 8)),))
    for number in range(8):
        urgency = _URGENT if number else _BATCH
        _submit(partition, f"b{number}", resources.Shape(1, 1), "b", urgency, True)
    assert len(_plan(partition)[0]) == 8
    _submit(partition, "a", resources.Shape(1, 8), urgency=_BATCH)
    assert sorted(_plan(partition)[1]) == [f"b{n}" for n in range(8)]
    partition.advance(driver.STOP_S)
    assert _plan(partition) == (["a"], [])


@pytest.mark.parametrize(("size", "stopped"), [(4, ["b"]), (8, ["b"]), (3, []), (1, [])])
def test_smaller_request_uses_unit(size, stopped):
    """Guards against units that only their exact shape can use, or that any smaller one can."""
    partition = _make_partition(guarantees=(_make_guarantee(resources.Shape(1, 8)),))
    _submit(partition, "b", resources.Shape(1, 8), "b", _NORMAL, True)
    _plan(partition)
    _submit(partition, "a", resources.Shape(1, size))
    assert _plan(partition)[1] == stopped


@pytest.mark.parametrize(("size", "started"), [(4, ["b"]), (8, [])])
def test_home_moves_for_nonpreemptible_work(size, started):
    """Guards against work that waits although a home could be moved, and against a lost home."""
    partition = _make_partition(3, guarantees=(_make_guarantee(resources.Shape(1, size)),))
    home = next(iter(partition.state.guaranteed.units.values())).home[0].worker_id
    for number in range(3):
        if f"w{number}" != home:
            request = driver.make_request(f"old{number}", resources.Shape(1, 1), "b")
            place = (resources.MemberPlacement(f"w{number}", 0, 1),)
            scheduling.restore(partition.state, request, place, 0.0)
    _submit(partition, "b", resources.Shape(1, 8), "b")
    assert _plan(partition) == (started, [])
    assert scheduling.list_short_guarantees(partition.state) == []


@pytest.mark.parametrize("change", ["remove", "unplaceable"])
def test_home_moves_after_use_on_lost_worker(change):
    """Guards against a home left on a lost worker after its user has ended."""
    partition = _make_partition(2, guarantees=(_make_guarantee(resources.Shape(1, 8)),))
    _submit(partition, "a", resources.Shape(1, 8))
    _plan(partition)
    lost = partition.running["a"][0].worker_id
    if change == "remove":
        scheduling.remove_worker(partition.state, lost)
    else:
        scheduling.set_placeable(partition.state, lost, False)
    partition.end("a")
    assert next(iter(partition.state.guaranteed.units.values())).home[0].worker_id != lost


def test_home_moves_to_free_place_of_its_user():
    """Guards against a client account whose guarantee is held twice.

    A request of the guaranteed shape starts in free capacity outside the home of its unit; the home
    must move there, or it would be held in addition.
    """
    partition = _make_partition(2, guarantees=(_make_guarantee(resources.Shape(1, 8)),))
    _submit(partition, "b", resources.Shape(1, 8), "b", _NORMAL, True)
    _plan(partition)
    _submit(partition, "a", resources.Shape(1, 8))
    assert _plan(partition) == (["a"], [])
    unit = next(iter(partition.state.guaranteed.units.values()))
    assert unit.user == "a"
    assert unit.home == partition.running["a"]


@pytest.mark.parametrize("change", ["remove", "unplaceable"])
def test_homes_move_off_lost_workers(change):
    """Guards against homes on workers that get no work, and against unreported short units."""
    partition = _make_partition(2, guarantees=(_make_guarantee(resources.Shape(1, 8)),))
    for _ in range(2):
        assert scheduling.list_short_guarantees(partition.state) == []
        home = next(iter(partition.state.guaranteed.units.values())).home[0].worker_id
        if change == "remove":
            scheduling.remove_worker(partition.state, home)
        else:
            scheduling.set_placeable(partition.state, home, False)
    (short,) = scheduling.list_short_guarantees(partition.state)
    assert (short.guarantee, short.short_units, short.reason) == ("g", 1, "capacity_lost")
    if change == "remove":
        scheduling.add_worker(partition.state, driver.make_worker(home))
    else:
        scheduling.set_placeable(partition.state, home, True)
    assert scheduling.list_short_guarantees(partition.state) == []


def test_short_unit_gets_home_by_moving_smaller_homes():
    """Guards against a large unit that stays short because small homes are scattered."""
    partition = _make_partition(
        2, guarantees=(_make_guarantee(resources.Shape(1, 2), 2, name="small"),)
    )
    for n, unit in enumerate(list(partition.state.guaranteed.units.values())):
        place = (resources.MemberPlacement(f"w{n}", 3, 2),)
        request = driver.make_request(f"r{n}", resources.Shape(1, 2), "a")
        scheduling.restore(partition.state, request, place, 0.0)
        scheduling.free_allocation(partition.state, f"r{n}", 0.0)
        assert unit.home == place
    small = _make_guarantee(resources.Shape(1, 2), 2, name="small")
    large = _make_guarantee(resources.Shape(1, 8), name="large")
    assert scheduling.apply_release(partition.state, (), (small, large)) == []
    assert scheduling.check_invariants(partition.state) == []


def test_homes_lie_in_few_racks():
    """Guards against scattered homes, some of which would have to move on the loss of any rack."""
    partition = _make_partition(8, guarantees=(_make_guarantee(resources.Shape(1, 4), 4),))
    units = partition.state.guaranteed.units.values()
    assert len({partition.state.top.nodes[u.home[0].worker_id].worker.rack for u in units}) == 1


@pytest.mark.parametrize(
    ("ratio", "urgency", "preemptible", "started"),
    [
        (0.25, _NORMAL, False, 6),
        (0.25, _BATCH, False, 6),
        (0.25, _NORMAL, True, 8),
        (0.25, _URGENT, False, 8),
        (0.0, _NORMAL, False, 8),
    ],
)
def test_urgent_reserve(ratio, urgency, preemptible, started):
    """Guards against nonpreemptible work that fills the partition, so that urgent work waits."""
    partition = _make_partition(settings=policy.PolicySettings(urgent_reserve_ratio=ratio))
    for number in range(10):
        _submit(partition, f"r{number}", resources.Shape(1, 1), "a", urgency, preemptible)
    assert len(_plan(partition)[0]) == started


@pytest.mark.parametrize(
    ("urgency", "preemptible", "stopped"),
    [(_BATCH, True, 1), (_NORMAL, True, 1), (_URGENT, True, 0), (_BATCH, False, 0)],
)
def test_urgent_work_preempts(urgency, preemptible, stopped):
    """Guards against urgent work that waits for less urgent work or stops work it must not."""
    partition = _make_partition()
    _submit(partition, "r", resources.Shape(1, 8), "b", urgency, preemptible)
    _plan(partition)
    _submit(partition, "u", resources.Shape(1, 1), "a", _URGENT)
    assert len(_plan(partition)[1]) == stopped


def test_capacity_is_kept_for_preemptor():
    """Guards against later work that gets the capacity cleared for urgent work."""
    partition = _make_partition()
    _submit(partition, "r", resources.Shape(1, 8), "b", _BATCH, True)
    _plan(partition)
    _submit(partition, "u", resources.Shape(1, 8), "a", _URGENT)
    _plan(partition)
    for number in range(8):
        _submit(partition, f"v{number}", resources.Shape(1, 1), "c", _URGENT)
    partition.end("r")
    assert _plan(partition) == (["u"], [])


def test_partly_cleared_capacity_is_kept_for_preemptor():
    """Guards against later work that gets the part of the capacity that is cleared first."""
    partition = _make_partition()
    for name in ("r1", "r2"):
        _submit(partition, name, resources.Shape(1, 4), "b", _BATCH, True)
    _plan(partition)
    _submit(partition, "u", resources.Shape(1, 8), "a", _URGENT)
    assert len(_plan(partition)[1]) == 2
    partition.end("r1")
    for name in ("v1", "v2"):
        _submit(partition, name, resources.Shape(1, 1), "c", _URGENT, name == "v2")
    assert _plan(partition) == ([], [])
    partition.end("r2")
    assert _plan(partition) == (["u"], [])


def test_not_preempted_beyond_limit():
    """Guards against a request that is preempted more often than the limit."""
    partition = _make_partition(
        settings=policy.PolicySettings(urgent_reserve_ratio=0.0, max_preemptions=2)
    )
    _submit(partition, "r", resources.Shape(1, 8), "b", _BATCH, True)
    for number in range(3):
        _plan(partition)
        assert "r" in partition.running
        _submit(partition, f"u{number}", resources.Shape(1, 8), "a", _URGENT)
        assert _plan(partition)[1] == (["r"] if number < 2 else [])
        if number < 2:
            partition.advance(driver.STOP_S)
            assert _plan(partition) == ([f"u{number}"], [])
            partition.end(f"u{number}")


def test_quota_limits_borrowing():
    """Guards against a client account that exceeds its quota by borrowing."""
    partition = _make_partition(accounts=(releases.ClientAccount("a", 3),))
    for number in range(5):
        _submit(partition, f"a{number}", resources.Shape(1, 1), "a", _NORMAL, bool(number % 2))
    assert len(_plan(partition)[0]) == 3
    partition.end("a0")
    assert len(_plan(partition)[0]) == 1


@pytest.mark.parametrize(("preemptible", "stopped"), [(True, 1), (False, 0)])
def test_urgent_work_preempts_within_quota(preemptible, stopped):
    """Guards against urgent work that waits because batch work of its account fills the quota."""
    partition = _make_partition(2, accounts=(releases.ClientAccount("a", 4),))
    for number in range(4):
        _submit(partition, f"r{number}", resources.Shape(1, 1), "a", _BATCH, preemptible)
    _plan(partition)
    _submit(partition, "u", resources.Shape(1, 1), "a", _URGENT)
    assert len(_plan(partition)[1]) == stopped
    assert _plan(partition) == ([], [])
    partition.advance(driver.STOP_S)
    assert _plan(partition)[0] == (["u"] if stopped else [])


def test_lowered_quota_applies_to_pending_request():
    """Guards against a start beyond a quota that was lowered while capacity was being cleared."""
    partition = _make_partition()
    _submit(partition, "r", resources.Shape(1, 8), "b", _BATCH, True)
    _plan(partition)
    _submit(partition, "u", resources.Shape(1, 8), "a", _URGENT)
    assert _plan(partition)[1] == ["r"]
    scheduling.apply_release(partition.state, (releases.ClientAccount("a", 4),), ())
    partition.end("r")
    assert _plan(partition) == ([], [])


def test_order_by_urgency_share_and_arrival():
    """Guards against a queue order other than by urgency, weighted share and arrival."""
    accounts = (releases.ClientAccount("a", weight=3.0), releases.ClientAccount("b"))
    partition = _make_partition(accounts=accounts)
    for number in range(8):
        _submit(partition, f"batch{number}", resources.Shape(1, 1), "c", _BATCH)
    for number in range(8):
        _submit(partition, f"a{number}", resources.Shape(1, 1), "a")
    for number in range(8):
        _submit(partition, f"b{number}", resources.Shape(1, 1), "b")
    started, _ = _plan(partition)
    assert [name for name in started if name[0] == "a"] == [f"a{n}" for n in range(6)]
    assert [name for name in started if name[0] == "b"] == ["b0", "b1"]


@pytest.mark.parametrize("sizes", [(8, 4), (4, 8)])
def test_oldest_shape_first(sizes):
    """Guards against ordering the requests of one client account by shape."""
    partition = _make_partition()
    for size in sizes:
        _submit(partition, f"r{size}", resources.Shape(1, size))
    assert _plan(partition)[0] == [f"r{sizes[0]}"]


def test_past_use_counts_and_decays():
    """Guards against a share in which past use does not count, or never decays."""
    partition = _make_partition()
    _submit(partition, "a", resources.Shape(1, 8), "a")
    _plan(partition)
    partition.now_s += 3600.0
    partition.end("a")
    for name in ("a1", "b1"):
        _submit(partition, name, resources.Shape(1, 8), name[0])
    assert _plan(partition)[0] == ["b1"]
    partition.now_s += 100 * 3600.0
    partition.end("b1")
    _submit(partition, "b2", resources.Shape(1, 8), "b")
    assert _plan(partition)[0] == ["a1"]


@pytest.mark.parametrize(
    ("weight", "size", "workers", "stopped"),
    [(0.5, 1, 2, 1), (0.0, 1, 2, 0), (0.5, 2, 2, 1), (0.25, 2, 2, 0), (0.5, 1, 1, 0)],
)
def test_move_small_work(weight, size, workers, stopped):
    """Guards against a block kept split by a task that fits elsewhere, and against bad moves."""
    settings = policy.PolicySettings(urgent_reserve_ratio=0.0, fragmentation_weight=weight)
    partition = _make_partition(workers, 4, settings=settings)
    for number in range(workers * 4 // size):
        _submit(partition, f"s{number}", resources.Shape(1, size), "b", _NORMAL, True)
    _plan(partition)
    kept = {}
    for name, place in partition.running.items():
        kept.setdefault(place[0].worker_id, name)
    for name in set(partition.running) - set(kept.values()):
        partition.end(name)
    _submit(partition, "block", resources.Shape(1, 4))
    assert len(_plan(partition)[1]) == stopped
    partition.advance(driver.STOP_S)
    assert len(_plan(partition)[0]) == 2 * stopped
    assert ("block" in partition.running) == bool(stopped)


@pytest.mark.parametrize(
    ("shape", "account", "preemptible", "reason"),
    [
        (resources.Shape(1, 8), "a", False, None),
        (resources.Shape(1, 9), "a", True, "worker"),
        (resources.Shape(3, 8, _RACK), "a", True, "rack"),
        (resources.Shape(2, 5, resources.Adjacency.WORKER), "a", True, "worker"),
        (resources.Shape(4, 8), "a", True, None),
        (resources.Shape(5, 8), "a", True, "data_centre"),
        (resources.Shape(2, 8), "small", True, "quota"),
        (resources.Shape(4, 8), "a", False, "guarantees"),
        (resources.Shape(2, 8), "a", False, "urgent_reserve"),
        (resources.Shape(2, 8), "b", False, None),
    ],
)
def test_find_infeasibility_reason(shape, account, preemptible, reason):
    """Guards against requests that wait indefinitely, and against refusing feasible ones."""
    partition = _make_partition(
        4,
        settings=policy.PolicySettings(urgent_reserve_ratio=0.1),
        accounts=(releases.ClientAccount("small", 8),),
        guarantees=(_make_guarantee(resources.Shape(2, 8), account="b"),),
    )
    request = driver.make_request("r", shape, account, preemptible=preemptible)
    assert scheduling.find_infeasibility_reason(partition.state, request) == reason


def test_withdraw_while_capacity_is_cleared():
    """Guards against capacity that is still kept for a cancelled request."""
    partition = _make_partition()
    _submit(partition, "r", resources.Shape(1, 8), "b", _BATCH, True)
    _plan(partition)
    _submit(partition, "u", resources.Shape(1, 8), "a", _URGENT)
    _plan(partition)
    assert scheduling.withdraw(partition.state, "u")
    assert not scheduling.withdraw(partition.state, "u")
    partition.end("r")
    _submit(partition, "n", resources.Shape(1, 8), "b")
    assert _plan(partition)[0] == ["n"]


@pytest.mark.parametrize(
    ("shape", "reason"),
    [
        (resources.Shape(2, 2), "urgent_reserve"),
        (resources.Shape(1, 1), None),
        (resources.Shape(1, 4), None),
        (resources.Shape(1, 2), None),
    ],
)
def test_refuse_work_that_only_several_own_homes_could_hold(shape, reason):
    """Guards against a request that waits indefinitely beside idle guarantees of its account.

    Several homes together would hold it, but no single unit does, and homes cannot be combined.
    """
    state = scheduling.create_scheduling_state(policy.PolicySettings())
    for number in range(4):
        worker = resources.Worker(f"w{number}", "", "r", "dc", "rack", 4, 4)
        scheduling.add_worker(state, worker)
    guarantee = releases.Guarantee("a", "g", resources.Shape(1, 4), 3, "dc")
    scheduling.apply_release(state, (releases.ClientAccount("a"),), (guarantee,))
    request = requests.Request(
        "r", "a", "c", "batch", requests.Urgency.BATCH, shape, False, False, 0.0
    )
    assert scheduling.find_infeasibility_reason(state, request) == reason
    if reason is None:
        scheduling.enqueue(state, request, 0.0)
        assert len(scheduling.plan(state, 1.0)) == 1
