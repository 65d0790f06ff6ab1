"""The scheduler under combinations of drawn faults."""

import pytest

from lycheegate.node.tests import simulation


@pytest.mark.parametrize("seed", range(60))
def test_random_faults(seed):
    """Guards against broken invariants under combined faults and changes of the holder."""
    world = simulation.World(seed)
    draw = world.generator
    world.fleet.failure_share = 0.02
    world.fleet.work_s = 1.5
    world.claim_term("vm0")
    for number in range(12):
        steps = draw.choice(
            [
                (simulation.make_step(draw.randint(1, 12), checkpoints=True),),
                (simulation.make_step(draw.randint(1, 3), simulation.WHOLE, gang=True),),
                (
                    simulation.make_step(draw.randint(1, 6)),
                    simulation.make_step(draw.randint(1, 3), depends_on=(0,)),
                ),
            ]
        )
        world.submit(simulation.make_job(f"{number:016x}", *steps))
        world.faults.lost_writes = draw.choice([0.0, 0.1, 0.3])
        world.faults.late_writes = draw.choice([0.0, 0.1])
        world.faults.lost_orders = draw.choice([0.0, 0.1])
        world.faults.late_orders = draw.choice([0.0, 0.1])
        world.faults.history_lost = draw.random() < 0.1
        world.fleet.unreachable = {w for w in world.fleet.workers if draw.random() < 0.1}
        world.run(draw.uniform(0.5, 4.0))
        if draw.random() < 0.3:
            world.claim_term(f"vm{number + 1}")
        if draw.random() < 0.2:
            worker_id = draw.choice(sorted(world.fleet.workers))
            world.fleet.workers[worker_id].restart()
            world.register(worker_id)
    world.faults.lost_writes = world.faults.late_writes = 0.0
    world.faults.lost_orders = world.faults.late_orders = 0.0
    world.faults.history_lost = False
    world.fleet.unreachable = set()
    world.run(90.0)
    assert world.fleet.violations == []
    for job_id in world.fleet.specs:
        assert world.read_status(job_id).outcome is not None, job_id


@pytest.mark.parametrize("clock_ratio", [1.0, 0.98])
@pytest.mark.parametrize("seed", range(20))
def test_constraints_under_random_faults(seed, clock_ratio):
    """Guards against tasks in the wrong place, or on workers that leave, while faults combine.

    Workers announce their departure and come back, their clocks are slow, answers and writes are
    lost, and the holder changes, while jobs limit their tasks on a worker or require a label.
    """
    world = simulation.World(1000 + seed)
    draw = world.generator
    world.fleet.clock_ratio = clock_ratio
    world.fleet.work_s = 1.5
    world.claim_term("vm0")
    for number in range(12):
        steps = draw.choice(
            [
                (simulation.make_step(draw.randint(1, 6), max_per_worker=1),),
                (simulation.make_step(draw.randint(1, 9), max_per_worker=2, checkpoints=True),),
                (simulation.make_step(draw.randint(1, 6), label=draw.choice(["r0", "r1"])),),
                (
                    simulation.make_step(
                        draw.randint(1, 3), simulation.WHOLE, gang=True, label="r1"
                    ),
                ),
            ]
        )
        world.submit(simulation.make_job(f"{number:016x}", *steps))
        world.faults.lost_writes = draw.choice([0.0, 0.1, 0.3])
        world.faults.lost_orders = draw.choice([0.0, 0.1])
        world.fleet.unreachable = {w for w in world.fleet.workers if draw.random() < 0.1}
        for worker_id in sorted(world.fleet.workers):
            world.register(worker_id, draining=draw.random() < 0.2)
        world.run(draw.uniform(0.5, 4.0))
        if draw.random() < 0.3:
            world.claim_term(f"vm{number + 1}")
    world.faults.lost_writes = world.faults.lost_orders = 0.0
    world.fleet.unreachable = set()
    for worker_id in sorted(world.fleet.workers):
        world.register(worker_id)
    world.run(90.0)
    simulation.assert_all_succeed(world)
