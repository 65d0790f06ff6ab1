"""The scheduler with workers whose capacity shrinks and grows while they run."""

import pytest

from lycheegate.jobs import model
from lycheegate.node.tests import simulation

_FULL = model.Resources(16_000, 32_000, 8)
_SHRUNK = model.Resources(4_000, 8_000, 2)


@pytest.mark.parametrize("returns_under_new_ids", [False, True], ids=["same_id", "new_id"])
@pytest.mark.parametrize("seed", range(24))
def test_capacity_is_kept_while_it_changes(seed, returns_under_new_ids):
    """Guards against starts on room that a worker no longer has, while faults combine.

    Load pattern: workers shrink and grow every few seconds, some crash, the store loses answers or
    is slow, so that intentions are ordered seconds after they were placed, and the holder changes.
    """
    world = simulation.World(seed)
    world.returns_under_new_ids = returns_under_new_ids
    draw = world.generator
    world.fleet.work_s = 2.0
    world.claim_term("vm0")
    for number in range(10):
        steps = draw.choice(
            [
                (simulation.make_step(draw.randint(4, 16)),),
                (simulation.make_step(draw.randint(1, 3), simulation.WHOLE, gang=True),),
            ]
        )
        world.submit(simulation.make_job(f"{number:016x}", *steps))
        world.faults.lost_writes = draw.choice([0.0, 0.3, 0.6])
        world.faults.lost_orders = draw.choice([0.0, 0.1])
        world.faults.history_lost = draw.random() < 0.1
        world.run(draw.uniform(0.0, 0.3))
        for worker_id in sorted(world.fleet.workers):
            if worker_id not in world.fleet.replaced | world.fleet.refusing:
                world.resize(worker_id, draw.choice([_FULL, _SHRUNK]))
        if draw.random() < 0.2:
            present = set(world.fleet.workers) - world.fleet.replaced - world.fleet.refusing
            world.fleet.crash(draw.choice(sorted(present)))
        world.run(draw.uniform(2.0, 6.0))
        if draw.random() < 0.3:
            world.claim_term(f"vm{number + 1}")
    world.faults.lost_writes = world.faults.lost_orders = 0.0
    world.faults.history_lost = False
    for worker_id in sorted(set(world.fleet.workers) - world.fleet.replaced):
        world.resize(worker_id, _FULL)
    world.run(80.0)
    simulation.assert_all_succeed(world)


def test_work_starts_when_a_worker_grows():
    """Guards against work that waits although the room for it has come back."""
    world = simulation.World(1, worker_count=1)
    world.resize("w0", _SHRUNK)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1, simulation.WHOLE)))
    world.claim_term("a")
    world.run(2.0)
    assert world.fleet.starts == {}
    world.resize("w0", _FULL)
    world.run(4.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("late_orders", [0.0, 0.2])
@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.8, 2.0])
@pytest.mark.parametrize("label", ["", "big"])
def test_worker_that_returns_as_a_smaller_kind(label, delay_s, late_orders):
    """Guards against starts by the registration of an earlier incarnation of the worker.

    Load pattern: more work waits than fits; a worker crashes, is back under its identifier with
    less capacity and without its label, and reports before it is registered anew.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 30.0
    for worker in world.fleet.workers.values():
        worker.labels.add("big")
        world.register(worker.worker_id)
    for number in range(20):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(4, label=label)))
    world.claim_term("a")
    world.run(2.0)
    returning = world.fleet.workers["w0"]
    world.fleet.on_returned = lambda worker_id: world.loop.call_later(
        delay_s, lambda: world.register(worker_id)
    )
    world.fleet.crash("w0")
    returning.capacity = _SHRUNK
    returning.labels.discard("big")
    world.faults.late_orders = late_orders
    world.run(10.0)
    assert world.fleet.violations == []
    if not late_orders:
        assert returning.count_live() == (0 if label else 2)
