"""Tests of homes, queue order, quotas, the urgent reserve, preemption and moves."""

import pytest

from lycheegate.core import policy, scheduling
from lycheegate.core.tests import driver
from lycheegate.model import releases, requests, resources

_URGENT, _NORMAL, _BATCH = requests.Urgency
_RACK = resources.Adjacency.RACK
_SETTINGS = policy.PolicySettings(urgent_reserve_ratio=0.0)


def _run(workers=1, accelerators=8, settings=_SETTINGS, accounts=(), guarantees=()):
    """Returns a driver with identical workers, two per rack, and a release in force."""
    nodes = [
        driver.make_worker(f"w{n}", f"rack{n // 2}", accelerators, 2 * accelerators)
        for n in range(workers)
    ]
    run = driver.Driver(settings, nodes)
    scheduling.apply_release(run.s, accounts, guarantees)
    return run


def _guarantee(shape, count=1, account="a", name="g"):
    return releases.Guarantee(account, name, shape, count, "dc")


def _submit(run, request_id, shape, account="a", urgency=_NORMAL, preemptible=False):
    run.now_s += 0.001
    request = driver.make_request(request_id, shape, account, urgency, preemptible, run.now_s)
    run.submit(request)


def _plan(run):
    orders = run.plan()
    assert scheduling.check_invariants(run.s) == []
    return orders


def test_home_excludes_nonpreemptible_work():
    """Guards against nonpreemptible work of other client accounts in the home of a unit."""
    run = _run(guarantees=(_guarantee(resources.Shape(1, 4)),))
    for number in range(8):
        _submit(run, f"b{number}", resources.Shape(1, 1), "b")
    assert len(_plan(run)[0]) == 4
    _submit(run, "a", resources.Shape(1, 4))
    assert _plan(run) == (["a"], [])


def test_home_keeps_slots():
    """Guards against a home whose slots are taken although its accelerators are free."""
    run = _run(2, guarantees=(_guarantee(resources.Shape(2, 1)),))
    for number in range(40):
        _submit(run, f"b{number}", resources.Shape(1, 0), "b")
    assert len(_plan(run)[0]) == 30
    _submit(run, "a", resources.Shape(2, 1))
    assert _plan(run) == (["a"], [])


def test_home_moves_when_restored_work_takes_its_slots():
    """Guards against a home left on a worker whose slots are taken by restored work."""
    run = _run(2, 1, guarantees=(_guarantee(resources.Shape(1, 1)),))
    home = next(iter(run.s.guaranteed.units.values())).home[0].worker_id
    for number in range(2):
        request = driver.make_request(f"r{number}", resources.Shape(1, 0), "b")
        scheduling.restore(run.s, request, (resources.MemberPlacement(home, 0, 0),), 0.0)
    assert scheduling.check_invariants(run.s) == []
    assert scheduling.list_short_guarantees(run.s) == []


def test_reclaim_stops_borrowers():
    """Guards against a guarantee that waits for the work that borrowed its home."""
    run = _run(guarantees=(_guarantee(resources.Shape(1, 8)),))
    for number in range(8):
        urgency = _URGENT if number else _BATCH
        _submit(run, f"b{number}", resources.Shape(1, 1), "b", urgency, True)
    assert len(_plan(run)[0]) == 8
    _submit(run, "a", resources.Shape(1, 8), urgency=_BATCH)
    assert sorted(_plan(run)[1]) == [f"b{n}" for n in range(8)]
    run.advance(driver.STOP_S)
    assert _plan(run) == (["a"], [])


@pytest.mark.parametrize(("size", "stopped"), [(4, ["b"]), (8, ["b"]), (3, []), (1, [])])
def test_smaller_request_uses_unit(size, stopped):
    """Guards against units that only their exact shape can use, or that any smaller one can."""
    run = _run(guarantees=(_guarantee(resources.Shape(1, 8)),))
    _submit(run, "b", resources.Shape(1, 8), "b", _NORMAL, True)
    _plan(run)
    _submit(run, "a", resources.Shape(1, size))
    assert _plan(run)[1] == stopped


@pytest.mark.parametrize(("size", "started"), [(4, ["b"]), (8, [])])
def test_home_moves_for_nonpreemptible_work(size, started):
    """Guards against work that waits although a home could be moved, and against a lost home."""
    run = _run(3, guarantees=(_guarantee(resources.Shape(1, size)),))
    home = next(iter(run.s.guaranteed.units.values())).home[0].worker_id
    for number in range(3):
        if f"w{number}" != home:
            request = driver.make_request(f"old{number}", resources.Shape(1, 1), "b")
            place = (resources.MemberPlacement(f"w{number}", 0, 1),)
            scheduling.restore(run.s, request, place, 0.0)
    _submit(run, "b", resources.Shape(1, 8), "b")
    assert _plan(run) == (started, [])
    assert scheduling.list_short_guarantees(run.s) == []


@pytest.mark.parametrize("change", ["remove", "unplaceable"])
def test_home_moves_after_use_on_lost_worker(change):
    """Guards against a home left on a lost worker after its user has ended."""
    run = _run(2, guarantees=(_guarantee(resources.Shape(1, 8)),))
    _submit(run, "a", resources.Shape(1, 8))
    _plan(run)
    lost = run.running["a"][0].worker_id
    if change == "remove":
        scheduling.remove_worker(run.s, lost)
    else:
        scheduling.set_placeable(run.s, lost, False)
    run.end("a")
    assert next(iter(run.s.guaranteed.units.values())).home[0].worker_id != lost


def test_home_moves_to_free_place_of_its_user():
    """Guards against a client account whose guarantee is held twice.

    A request of the guaranteed shape starts in free capacity outside the home of its unit; the home
    must move there, or it would be held in addition.
    """
    run = _run(2, guarantees=(_guarantee(resources.Shape(1, 8)),))
    _submit(run, "b", resources.Shape(1, 8), "b", _NORMAL, True)
    _plan(run)
    _submit(run, "a", resources.Shape(1, 8))
    assert _plan(run) == (["a"], [])
    unit = next(iter(run.s.guaranteed.units.values()))
    assert unit.user == "a"
    assert unit.home == run.running["a"]


@pytest.mark.parametrize("change", ["remove", "unplaceable"])
def test_homes_move_off_lost_workers(change):
    """Guards against homes on workers that get no work, and against units short unreported."""
    run = _run(2, guarantees=(_guarantee(resources.Shape(1, 8)),))
    for _ in range(2):
        assert scheduling.list_short_guarantees(run.s) == []
        home = next(iter(run.s.guaranteed.units.values())).home[0].worker_id
        if change == "remove":
            scheduling.remove_worker(run.s, home)
        else:
            scheduling.set_placeable(run.s, home, False)
    (short,) = scheduling.list_short_guarantees(run.s)
    assert (short.guarantee, short.short_units, short.reason) == ("g", 1, "capacity_lost")
    if change == "remove":
        scheduling.add_worker(run.s, driver.make_worker(home))
    else:
        scheduling.set_placeable(run.s, home, True)
    assert scheduling.list_short_guarantees(run.s) == []


def test_short_unit_gets_home_by_moving_smaller_homes():
    """Guards against a large unit that stays short because small homes are scattered."""
    run = _run(2, guarantees=(_guarantee(resources.Shape(1, 2), 2, name="small"),))
    for n, unit in enumerate(list(run.s.guaranteed.units.values())):
        place = (resources.MemberPlacement(f"w{n}", 3, 2),)
        request = driver.make_request(f"r{n}", resources.Shape(1, 2), "a")
        scheduling.restore(run.s, request, place, 0.0)
        scheduling.free_allocation(run.s, f"r{n}", 0.0)
        assert unit.home == place
    small = _guarantee(resources.Shape(1, 2), 2, name="small")
    large = _guarantee(resources.Shape(1, 8), name="large")
    assert scheduling.apply_release(run.s, (), (small, large)) == []
    assert scheduling.check_invariants(run.s) == []


def test_homes_lie_in_few_racks():
    """Guards against scattered homes, some of which would have to move on the loss of any rack."""
    run = _run(8, guarantees=(_guarantee(resources.Shape(1, 4), 4),))
    units = run.s.guaranteed.units.values()
    assert len({run.s.top.nodes[u.home[0].worker_id].worker.rack for u in units}) == 1


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
    run = _run(settings=policy.PolicySettings(urgent_reserve_ratio=ratio))
    for number in range(10):
        _submit(run, f"r{number}", resources.Shape(1, 1), "a", urgency, preemptible)
    assert len(_plan(run)[0]) == started


@pytest.mark.parametrize(
    ("urgency", "preemptible", "stopped"),
    [(_BATCH, True, 1), (_NORMAL, True, 1), (_URGENT, True, 0), (_BATCH, False, 0)],
)
def test_urgent_work_preempts(urgency, preemptible, stopped):
    """Guards against urgent work that waits for less urgent work or stops work it must not."""
    run = _run()
    _submit(run, "r", resources.Shape(1, 8), "b", urgency, preemptible)
    _plan(run)
    _submit(run, "u", resources.Shape(1, 1), "a", _URGENT)
    assert len(_plan(run)[1]) == stopped


def test_capacity_is_kept_for_preemptor():
    """Guards against later work that gets the capacity cleared for urgent work."""
    run = _run()
    _submit(run, "r", resources.Shape(1, 8), "b", _BATCH, True)
    _plan(run)
    _submit(run, "u", resources.Shape(1, 8), "a", _URGENT)
    _plan(run)
    for number in range(8):
        _submit(run, f"v{number}", resources.Shape(1, 1), "c", _URGENT)
    run.end("r")
    assert _plan(run) == (["u"], [])


def test_partly_cleared_capacity_is_kept_for_preemptor():
    """Guards against later work that gets the part of the capacity that is cleared first."""
    run = _run()
    for name in ("r1", "r2"):
        _submit(run, name, resources.Shape(1, 4), "b", _BATCH, True)
    _plan(run)
    _submit(run, "u", resources.Shape(1, 8), "a", _URGENT)
    assert len(_plan(run)[1]) == 2
    run.end("r1")
    for name in ("v1", "v2"):
        _submit(run, name, resources.Shape(1, 1), "c", _URGENT, name == "v2")
    assert _plan(run) == ([], [])
    run.end("r2")
    assert _plan(run) == (["u"], [])


def test_not_preempted_beyond_limit():
    """Guards against a request that is preempted more often than the limit."""
    run = _run(settings=policy.PolicySettings(urgent_reserve_ratio=0.0, max_preemptions=2))
    _submit(run, "r", resources.Shape(1, 8), "b", _BATCH, True)
    for number in range(3):
        _plan(run)
        assert "r" in run.running
        _submit(run, f"u{number}", resources.Shape(1, 8), "a", _URGENT)
        assert _plan(run)[1] == (["r"] if number < 2 else [])
        if number < 2:
            run.advance(driver.STOP_S)
            assert _plan(run) == ([f"u{number}"], [])
            run.end(f"u{number}")


def test_quota_limits_borrowing():
    """Guards against a client account that exceeds its quota by borrowing."""
    run = _run(accounts=(releases.ClientAccount("a", 3),))
    for number in range(5):
        _submit(run, f"a{number}", resources.Shape(1, 1), "a", _NORMAL, bool(number % 2))
    assert len(_plan(run)[0]) == 3
    run.end("a0")
    assert len(_plan(run)[0]) == 1


@pytest.mark.parametrize(("preemptible", "stopped"), [(True, 1), (False, 0)])
def test_urgent_work_preempts_within_quota(preemptible, stopped):
    """Guards against urgent work that waits because batch work of its account fills the quota."""
    run = _run(2, accounts=(releases.ClientAccount("a", 4),))
    for number in range(4):
        _submit(run, f"r{number}", resources.Shape(1, 1), "a", _BATCH, preemptible)
    _plan(run)
    _submit(run, "u", resources.Shape(1, 1), "a", _URGENT)
    assert len(_plan(run)[1]) == stopped
    assert _plan(run) == ([], [])
    run.advance(driver.STOP_S)
    assert _plan(run)[0] == (["u"] if stopped else [])


def test_lowered_quota_applies_to_pending_request():
    """Guards against a start beyond a quota that was lowered while capacity was being cleared."""
    run = _run()
    _submit(run, "r", resources.Shape(1, 8), "b", _BATCH, True)
    _plan(run)
    _submit(run, "u", resources.Shape(1, 8), "a", _URGENT)
    assert _plan(run)[1] == ["r"]
    scheduling.apply_release(run.s, (releases.ClientAccount("a", 4),), ())
    run.end("r")
    assert _plan(run) == ([], [])


def test_order_by_urgency_share_and_arrival():
    """Guards against a queue order other than by urgency, weighted share and arrival."""
    accounts = (releases.ClientAccount("a", weight=3.0), releases.ClientAccount("b"))
    run = _run(accounts=accounts)
    for number in range(8):
        _submit(run, f"batch{number}", resources.Shape(1, 1), "c", _BATCH)
    for number in range(8):
        _submit(run, f"a{number}", resources.Shape(1, 1), "a")
    for number in range(8):
        _submit(run, f"b{number}", resources.Shape(1, 1), "b")
    started, _ = _plan(run)
    assert [name for name in started if name[0] == "a"] == [f"a{n}" for n in range(6)]
    assert [name for name in started if name[0] == "b"] == ["b0", "b1"]


@pytest.mark.parametrize("sizes", [(8, 4), (4, 8)])
def test_oldest_shape_first(sizes):
    """Guards against ordering the requests of one client account by shape."""
    run = _run()
    for size in sizes:
        _submit(run, f"r{size}", resources.Shape(1, size))
    assert _plan(run)[0] == [f"r{sizes[0]}"]


def test_past_use_counts_and_decays():
    """Guards against a share in which past use does not count, or never decays."""
    run = _run()
    _submit(run, "a", resources.Shape(1, 8), "a")
    _plan(run)
    run.now_s += 3600.0
    run.end("a")
    for name in ("a1", "b1"):
        _submit(run, name, resources.Shape(1, 8), name[0])
    assert _plan(run)[0] == ["b1"]
    run.now_s += 100 * 3600.0
    run.end("b1")
    _submit(run, "b2", resources.Shape(1, 8), "b")
    assert _plan(run)[0] == ["a1"]


@pytest.mark.parametrize(
    ("weight", "size", "workers", "stopped"),
    [(0.5, 1, 2, 1), (0.0, 1, 2, 0), (0.5, 2, 2, 1), (0.25, 2, 2, 0), (0.5, 1, 1, 0)],
)
def test_move_small_work(weight, size, workers, stopped):
    """Guards against a block kept split by a task that fits elsewhere, and against bad moves."""
    settings = policy.PolicySettings(urgent_reserve_ratio=0.0, fragmentation_weight=weight)
    run = _run(workers, 4, settings=settings)
    for number in range(workers * 4 // size):
        _submit(run, f"s{number}", resources.Shape(1, size), "b", _NORMAL, True)
    _plan(run)
    kept = {}
    for name, place in run.running.items():
        kept.setdefault(place[0].worker_id, name)
    for name in set(run.running) - set(kept.values()):
        run.end(name)
    _submit(run, "block", resources.Shape(1, 4))
    assert len(_plan(run)[1]) == stopped
    run.advance(driver.STOP_S)
    assert len(_plan(run)[0]) == 2 * stopped
    assert ("block" in run.running) == bool(stopped)


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
    run = _run(
        4,
        settings=policy.PolicySettings(urgent_reserve_ratio=0.1),
        accounts=(releases.ClientAccount("small", 8),),
        guarantees=(_guarantee(resources.Shape(2, 8), account="b"),),
    )
    request = driver.make_request("r", shape, account, preemptible=preemptible)
    assert scheduling.find_infeasibility_reason(run.s, request) == reason


def test_withdraw_while_capacity_is_cleared():
    """Guards against capacity that is still kept for a cancelled request."""
    run = _run()
    _submit(run, "r", resources.Shape(1, 8), "b", _BATCH, True)
    _plan(run)
    _submit(run, "u", resources.Shape(1, 8), "a", _URGENT)
    _plan(run)
    assert scheduling.withdraw(run.s, "u")
    assert not scheduling.withdraw(run.s, "u")
    run.end("r")
    _submit(run, "n", resources.Shape(1, 8), "b")
    assert _plan(run)[0] == ["n"]


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
    s = scheduling.create_scheduling_state(policy.PolicySettings())
    for number in range(4):
        worker = resources.Worker(f"w{number}", "", "r", "dc", "rack", 4, 4)
        scheduling.add_worker(s, worker)
    guarantee = releases.Guarantee("a", "g", resources.Shape(1, 4), 3, "dc")
    scheduling.apply_release(s, (releases.ClientAccount("a"),), (guarantee,))
    request = requests.Request(
        "r", "a", "c", "batch", requests.Urgency.BATCH, shape, False, False, 0.0
    )
    assert scheduling.find_infeasibility_reason(s, request) == reason
    if reason is None:
        scheduling.enqueue(s, request, 0.0)
        assert len(scheduling.plan(s, 1.0)) == 1
