"""Tests that large jobs are not passed over beyond the limits."""

import dataclasses
import random

import pytest

from lycheegate.core import policy, scheduling
from lycheegate.core.tests import driver
from lycheegate.model import releases, requests, resources

_LONGEST_S = 40.0
_SETTINGS = policy.PolicySettings(max_bypass_s=30.0, max_reservation_wait_s=30.0)
_LIMIT_S = (
    _SETTINGS.max_bypass_s + _SETTINGS.max_reservation_wait_s + _LONGEST_S + 2 * driver.STOP_S + 2.0
)
_LARGE = {
    "worker": resources.Shape(1, 8),
    "gang": resources.Shape(3, 4, resources.Adjacency.RACK),
    "wide": resources.Shape(10, 1, resources.Adjacency.DATA_CENTRE),
    "slots": resources.Shape(9, 0, resources.Adjacency.DATA_CENTRE),
}
_URGENT, _NORMAL, _BATCH = requests.Urgency

# Kinds of small work: urgency, preemptible, client account.
_MIXES = {
    "normal": [(_NORMAL, False, "a")],
    "urgent": [(_URGENT, False, "a")],
    "urgent_preemptible": [(_URGENT, True, "a")],
    "preemptible": [(_NORMAL, True, "a"), (_BATCH, True, "a")],
    "own_account": [(_NORMAL, False, "large"), (_BATCH, True, "large")],
    "all": [(u, p, a) for u in requests.Urgency for p in (True, False) for a in ("a", "large")],
}


def _simulate(mix, shapes, seed, quota=None, large=(_NORMAL, False), settings=_SETTINGS):
    """Returns how long each large job waited beside a stream of small work."""
    rng = random.Random(seed)
    workers = [driver.make_worker(f"w{n}", f"rack{n // 2}") for n in range(4)]
    run = driver.Driver(settings, workers)
    accounts = (releases.ClientAccount("large", quota), releases.ClientAccount("a"))
    scheduling.apply_release(run.s, accounts, ())
    small = 0
    for step in range(int(_LIMIT_S * (1 + len(shapes))) + 20):
        if step == 10:
            for number, shape in enumerate(shapes):
                request = driver.make_request(
                    f"large{number}", shape, "large", large[0], large[1], run.now_s
                )
                run.submit(request, _LONGEST_S)
        for _ in range(rng.randrange(4)):
            urgency, preemptible, account = rng.choice(_MIXES[mix])
            shape = resources.Shape(1, rng.choice([0, 1, 1, 1, 2]))
            request = driver.make_request(
                f"s{small}", shape, account, urgency, preemptible, run.now_s
            )
            small += 1
            run.submit(request, rng.uniform(5.0, _LONGEST_S))
        if rng.random() < 0.1:
            # A wave of cancellations.
            for request_id in list(run.s.queue.places):
                if request_id.startswith("s") and rng.random() < 0.7:
                    scheduling.withdraw(run.s, request_id)
        run.plan()
        if step % 50 == 0:
            assert scheduling.check_invariants(run.s) == []
        run.advance(1.0)
    assert small > 100
    return [run.starts.get(f"large{n}", float("inf")) - 10.0 for n in range(len(shapes))]


@pytest.mark.parametrize("shape", _LARGE)
@pytest.mark.parametrize("mix", _MIXES)
@pytest.mark.parametrize("large", [(_NORMAL, False), (_BATCH, True)], ids=["normal", "batch"])
def test_start_large_job_within_limit(mix, shape, large):
    """Guards against small work and cancellations passing a large job over for ever."""
    for seed in range(2):
        assert _simulate(mix, [_LARGE[shape]], seed, large=large)[0] <= _LIMIT_S


@pytest.mark.parametrize("mix", ["own_account", "all"])
def test_start_large_job_at_quota(mix):
    """Guards against a client account's own small work using up the quota for ever."""
    assert _simulate(mix, [resources.Shape(1, 8)], 0, quota=10)[0] <= _LIMIT_S


def test_start_large_job_beside_reserve():
    """Guards against small work that keeps the room which the urgent reserve leaves."""
    settings = dataclasses.replace(_SETTINGS, urgent_reserve_ratio=0.25)
    shape = resources.Shape(2, 8)
    assert _simulate("normal", [shape], 0, settings=settings)[0] <= _LIMIT_S


def test_start_large_job_beside_homes():
    """Guards against a large job that waits for ever for room that homes could leave."""
    settings = policy.PolicySettings(max_bypass_s=1.0, urgent_reserve_ratio=0.0)
    run = driver.Driver(settings, [driver.make_worker(f"w{n}") for n in range(2)])
    guarantee = releases.Guarantee("g", "g", resources.Shape(1, 2), 2, "dc")
    scheduling.apply_release(run.s, (), (guarantee,))
    for number in range(2):
        worker = f"w{number}"
        for name, account, first in ((f"g{number}", "g", 3), (f"b{number}", "b", 0)):
            request = driver.make_request(name, resources.Shape(1, 2), account)
            place = (resources.MemberPlacement(worker, first, 2),)
            scheduling.restore(run.s, request, place, 0.0)
    for number in range(2):
        scheduling.vacate(run.s, f"g{number}", 0.0)
    run.submit(driver.make_request("large", resources.Shape(1, 8)))
    run.plan()
    run.advance(2.0)
    run.plan()
    assert "large" in run.s.reservations
    assert scheduling.check_invariants(run.s) == []
    scheduling.vacate(run.s, f"b{run.s.reservations['large'].block[0].worker_id[1:]}", 0.0)
    assert run.plan()[0] == ["large"]


@pytest.mark.parametrize("members", [2, 8])
def test_later_large_job_does_not_reserve_first(members):
    """Guards against small reservations that keep a job from reserving many workers."""
    settings = policy.PolicySettings(max_bypass_s=0.0, urgent_reserve_ratio=0.0)
    run = driver.Driver(settings, [driver.make_worker(f"w{n}") for n in range(8)])
    for number in range(8):
        run.submit(driver.make_request(f"old{number}", resources.Shape(1, 1)))
    run.plan()
    for number in range(8):
        place = (resources.MemberPlacement(f"w{number}", 0, 1),)
        scheduling.restore(run.s, run.requests[f"old{number}"], place, 0.0)
    for account, shape in (
        ("b", resources.Shape(1, 8)),
        ("c", resources.Shape(members, 8)),
        ("d", resources.Shape(1, 8)),
    ):
        run.submit(driver.make_request(account, shape, account))
        run.plan()
    assert list(run.s.reservations) == ["b"]


def test_start_several_large_jobs_in_turn():
    """Guards against later large jobs taking the room that an earlier one waits for."""
    shapes = [resources.Shape(2, 8), resources.Shape(4, 4), resources.Shape(1, 8)]
    waits = _simulate("all", shapes, 0)
    assert all(wait <= _LIMIT_S + number * _LONGEST_S * 2 for number, wait in enumerate(waits))


def test_later_large_job_does_not_reserve_while_block_is_taken():
    """Guards against later jobs that reserve while an older one waits for a reserved block."""
    settings = policy.PolicySettings(
        max_bypass_s=0.0, urgent_reserve_ratio=0.0, large_accelerators=4
    )
    workers = [driver.make_worker(f"w{n}", accelerators=4 if n == 0 else 2) for n in range(31)]
    run = driver.Driver(settings, workers)
    for number in range(31):
        place = (resources.MemberPlacement(f"w{number}", 0, 1),)
        request = driver.make_request(f"old{number}", resources.Shape(1, 1))
        scheduling.restore(run.s, request, place, 0.0)
    for name, shape in (
        ("b", resources.Shape(1, 4)),
        ("c", resources.Shape(1, 4)),
        ("d", resources.Shape(2, 2)),
    ):
        run.submit(driver.make_request(name, shape, name))
        run.plan()
    assert list(run.s.reservations) == ["b"]


def test_reserve_after_count_of_starts():
    """Guards against a limit on starts that has no effect before the limit on time."""
    settings = policy.PolicySettings(max_bypass_count=5, max_bypass_s=1e9)
    run = driver.Driver(settings, [driver.make_worker("w0")])
    run.submit(driver.make_request("s0", resources.Shape(1, 1)))
    run.plan()
    run.submit(driver.make_request("large", resources.Shape(1, 8), at_s=1.0))
    for number in range(1, 9):
        run.advance(1.0)
        run.submit(driver.make_request(f"s{number}", resources.Shape(1, 1), at_s=run.now_s))
        run.plan()
    assert sorted(run.starts) == [f"s{n}" for n in range(6)]
    for number in range(6):
        run.end(f"s{number}")
    assert run.plan()[0][0] == "large"
