"""Tests that large jobs are not bypassed beyond the configured limits."""

import dataclasses
import random

import pytest

from lycheegate.core import policy, scheduling
from lycheegate.core.tests import driver
from lycheegate.model import releases, requests, resources

_MAX_RUN_S = 40.0
"""Longest run time of a request."""

_FILL_S = 60
"""Time after which small work has filled the partition; the large jobs are then submitted."""

_SETTINGS = policy.PolicySettings(max_bypass_s=30.0, max_reservation_wait_s=30.0)
_MAX_WAIT_S = (
    _SETTINGS.max_bypass_s + _SETTINGS.max_reservation_wait_s + _MAX_RUN_S + 2 * driver.STOP_S + 2.0
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
    """Returns how long each large job waited while small work kept arriving."""
    rng = random.Random(seed)
    workers = [driver.make_worker(f"w{n}", f"rack{n // 2}") for n in range(4)]
    partition = driver.Driver(settings, workers)
    accounts = (releases.ClientAccount("large", quota), releases.ClientAccount("a"))
    scheduling.apply_release(partition.state, accounts, ())
    small = 0
    for step in range(int(_MAX_WAIT_S * (1 + len(shapes))) + _FILL_S + 10):
        if step == _FILL_S:
            for number, shape in enumerate(shapes):
                request = driver.make_request(
                    f"large{number}", shape, "large", large[0], large[1], partition.now_s
                )
                partition.submit(request, _MAX_RUN_S)
        for _ in range(rng.randrange(6)):
            urgency, preemptible, account = rng.choice(_MIXES[mix])
            shape = resources.Shape(1, rng.choice([0, 1, 1, 1, 2]))
            request = driver.make_request(
                f"s{small}", shape, account, urgency, preemptible, partition.now_s
            )
            small += 1
            partition.submit(request, rng.uniform(5.0, _MAX_RUN_S))
        if rng.random() < 0.1:
            # Cancels many waiting requests at once.
            for request_id in list(partition.state.queue.places):
                if request_id.startswith("s") and rng.random() < 0.7:
                    scheduling.withdraw(partition.state, request_id)
        partition.plan()
        if all(f"large{number}" in partition.starts for number in range(len(shapes))):
            break
        if step % 50 == 0:
            assert scheduling.check_invariants(partition.state) == []
        partition.advance(1.0)
    assert small > 100
    return [partition.starts.get(f"large{n}", float("inf")) - _FILL_S for n in range(len(shapes))]


@pytest.mark.parametrize("shape", _LARGE)
@pytest.mark.parametrize("mix", _MIXES)
@pytest.mark.parametrize("large", [(_NORMAL, False), (_BATCH, True)], ids=["normal", "batch"])
def test_start_large_job_within_limit(mix, shape, large):
    """Guards against a large job that small work and cancellations starve."""
    for seed in range(2):
        assert _simulate(mix, [_LARGE[shape]], seed, large=large)[0] <= _MAX_WAIT_S


@pytest.mark.parametrize("mix", ["own_account", "all"])
def test_start_large_job_at_quota(mix):
    """Guards against a large job that small work of its own account starves of quota."""
    assert _simulate(mix, [resources.Shape(1, 8)], 0, quota=10)[0] <= _MAX_WAIT_S


def test_start_large_job_beside_reserve():
    """Guards against a large job that small work starves of the room beside the reserve."""
    settings = dataclasses.replace(_SETTINGS, urgent_reserve_ratio=0.25)
    shape = resources.Shape(2, 8)
    assert _simulate("normal", [shape], 0, settings=settings)[0] <= _MAX_WAIT_S


def test_start_large_job_by_moving_homes():
    """Guards against a large job that waits indefinitely although homes could be moved."""
    settings = policy.PolicySettings(max_bypass_s=1.0, urgent_reserve_ratio=0.0)
    partition = driver.Driver(settings, [driver.make_worker(f"w{n}") for n in range(2)])
    guarantee = releases.Guarantee("g", "g", resources.Shape(1, 2), 2, "dc")
    scheduling.apply_release(partition.state, (), (guarantee,))
    for number in range(2):
        worker = f"w{number}"
        for name, account, first in ((f"g{number}", "g", 3), (f"b{number}", "b", 0)):
            request = driver.make_request(name, resources.Shape(1, 2), account)
            place = (resources.MemberPlacement(worker, first, 2),)
            scheduling.restore(partition.state, request, place, 0.0)
    for number in range(2):
        scheduling.free_allocation(partition.state, f"g{number}", 0.0)
    partition.submit(driver.make_request("large", resources.Shape(1, 8)))
    partition.plan()
    partition.advance(2.0)
    partition.plan()
    assert "large" in partition.state.reservations
    assert scheduling.check_invariants(partition.state) == []
    scheduling.free_allocation(
        partition.state, f"b{partition.state.reservations['large'].block[0].worker_id[1:]}", 0.0
    )
    assert partition.plan()[0] == ["large"]


@pytest.mark.parametrize("members", [2, 8])
def test_later_large_job_does_not_reserve_first(members):
    """Guards against small reservations that prevent a job from reserving many workers."""
    settings = policy.PolicySettings(max_bypass_s=0.0, urgent_reserve_ratio=0.0)
    partition = driver.Driver(settings, [driver.make_worker(f"w{n}") for n in range(8)])
    for number in range(8):
        partition.submit(driver.make_request(f"old{number}", resources.Shape(1, 1)))
    partition.plan()
    for number in range(8):
        place = (resources.MemberPlacement(f"w{number}", 0, 1),)
        scheduling.restore(partition.state, partition.requests[f"old{number}"], place, 0.0)
    for account, shape in (
        ("b", resources.Shape(1, 8)),
        ("c", resources.Shape(members, 8)),
        ("d", resources.Shape(1, 8)),
    ):
        partition.submit(driver.make_request(account, shape, account))
        partition.plan()
    assert list(partition.state.reservations) == ["b"]


def test_start_several_large_jobs_in_order():
    """Guards against later large jobs that get the room for which an earlier one waits."""
    shapes = [resources.Shape(2, 8), resources.Shape(4, 4), resources.Shape(1, 8)]
    waits = _simulate("all", shapes, 0)
    assert all(wait <= _MAX_WAIT_S + number * _MAX_RUN_S * 2 for number, wait in enumerate(waits))


def test_later_large_job_does_not_reserve_while_block_is_taken():
    """Guards against later jobs that reserve while an earlier one waits for a reserved block."""
    settings = policy.PolicySettings(
        max_bypass_s=0.0, urgent_reserve_ratio=0.0, large_accelerators=4
    )
    workers = [driver.make_worker(f"w{n}", accelerators=4 if n == 0 else 2) for n in range(31)]
    partition = driver.Driver(settings, workers)
    for number in range(31):
        place = (resources.MemberPlacement(f"w{number}", 0, 1),)
        request = driver.make_request(f"old{number}", resources.Shape(1, 1))
        scheduling.restore(partition.state, request, place, 0.0)
    for name, shape in (
        ("b", resources.Shape(1, 4)),
        ("c", resources.Shape(1, 4)),
        ("d", resources.Shape(2, 2)),
    ):
        partition.submit(driver.make_request(name, shape, name))
        partition.plan()
    assert list(partition.state.reservations) == ["b"]


def test_reserve_after_count_of_starts():
    """Guards against a limit on starts that has no effect before the limit on waiting time."""
    settings = policy.PolicySettings(max_bypass_count=5, max_bypass_s=1e9)
    partition = driver.Driver(settings, [driver.make_worker("w0")])
    partition.submit(driver.make_request("s0", resources.Shape(1, 1)))
    partition.plan()
    partition.submit(driver.make_request("large", resources.Shape(1, 8), at_s=1.0))
    for number in range(1, 9):
        partition.advance(1.0)
        partition.submit(
            driver.make_request(f"s{number}", resources.Shape(1, 1), at_s=partition.now_s)
        )
        partition.plan()
    assert sorted(partition.starts) == [f"s{n}" for n in range(6)]
    for number in range(6):
        partition.end(f"s{number}")
    assert partition.plan()[0][0] == "large"
