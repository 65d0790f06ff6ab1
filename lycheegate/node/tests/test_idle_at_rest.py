"""No preference keeps a job from running for 3 s beside free room (docs/incidents)."""

import pytest

from lycheegate.jobs import model
from lycheegate.node.tests import simulation

CAPACITY = model.Resources(16_000, 32_000, 8)
RACK_SIZE = 5
RACKS = 3
WAITING_ID = "f" * 16
LONG_S = 60.0
"""Duration of the work that keeps workers in use."""


def make_world(busy_per_rack: int = 2) -> simulation.World:
    """Returns a world of 15 workers in three racks, some of which are in use for long."""
    world = simulation.World(1, worker_count=0)
    world.fleet.work_s = LONG_S
    for number in range(RACKS * RACK_SIZE):
        worker_id = f"w{number:02}"
        world.fleet.add(worker_id, f"r{number // RACK_SIZE}", CAPACITY)
        world.register(worker_id)
    world.claim_term("a")
    world.run(1.0)
    for rack in range(RACKS if busy_per_rack else 0):
        step = simulation.make_step(
            busy_per_rack, simulation.WHOLE, label=f"r{rack}", max_per_worker=1
        )
        world.submit(simulation.make_job(f"{rack:016x}", step))
    world.run(1.0)
    return world


@pytest.mark.parametrize("route", ["batch", "urgent"])
def test_gang_that_fits_in_no_single_rack_does_not_stand_still(route):
    """Guards against a gang that waits for one rack while other racks have room twice over.

    Two of the five workers of each rack are in use for long, and the gang needs four.
    """
    world = make_world()
    check = world.watch_idleness()
    gang = simulation.make_step(4, simulation.WHOLE, gang=True, same_rack=True)
    queue = world.urgent if route == "urgent" else None
    world.submit(simulation.make_job(WAITING_ID, gang, route=route), queue)
    world.run(10.0)
    assert check.found == {}
    assert world.fleet.violations == []


def test_gang_is_placed_in_one_rack_if_that_has_room_soon():
    """Guards against a preference for one rack that is given up at once."""
    world = make_world(busy_per_rack=0)
    world.fleet.work_s = 1.0
    for rack in range(RACKS):
        step = simulation.make_step(2, simulation.WHOLE, label=f"r{rack}", max_per_worker=1)
        world.submit(simulation.make_job(f"{rack:016x}", step))
    world.run(0.2)
    gang = simulation.make_step(4, simulation.WHOLE, gang=True, same_rack=True)
    world.submit(simulation.make_job(WAITING_ID, gang))
    world.run(2.5)
    used = {task.job_id: w.rack for w in world.fleet.workers.values() for task in w.live}
    racks = {w.rack for w in world.fleet.workers.values() if w.live}
    assert set(used) <= {WAITING_ID}
    assert len(racks) <= 1
    assert any(task.job_id == WAITING_ID for task in world.fleet.starts)


@pytest.mark.parametrize("full", [False, True])
def test_lasting_task_runs_again_although_the_rack_of_its_data_is_full(full):
    """Guards against a lasting task that waits for the rack of its data for its declared duration.

    Its worker is lost for good. However full the service is, it must run again.
    """
    world = make_world(busy_per_rack=0)
    lasting = {"long_running": True}
    step = model.Step(4, simulation.WHOLE, 60.0, near_rack="r0", max_per_worker=1, **lasting)
    world.submit(simulation.make_job(WAITING_ID, step))
    world.run(1.0)
    count = 7 if full else 1
    others = simulation.make_step(count, simulation.WHOLE, max_per_worker=1, **lasting)
    world.submit(simulation.make_job("0" * 16, others))
    blocker = simulation.make_step(1, simulation.WHOLE, label="r0", **lasting)
    world.submit(simulation.make_job("1" * 16, blocker))
    world.run(2.0)
    lost = next(
        worker_id
        for worker_id, worker in world.fleet.workers.items()
        if any(task.job_id == WAITING_ID for task in worker.live)
    )
    world.fleet.workers[lost].reset()
    world.fleet.refusing.add(lost)
    world.fleet.unreachable.add(lost)
    world.unregister(lost)
    world.run(6.0 + 3.0)
    present = {
        t.index for w in world.fleet.workers.values() for t in w.live if t.job_id == WAITING_ID
    }
    assert present == {0, 1, 2, 3}


def test_job_does_not_stand_still_for_room_that_a_waiting_gang_has_reserved():
    """Guards against a job beside empty workers that are reserved for a gang.

    The gang waits for long tasks, so its reservation is of no use to it for now.
    """
    world = make_world()
    gang = simulation.make_step(12, simulation.WHOLE, gang=True)
    world.submit(simulation.make_job("a" * 16, gang))
    world.run(1.0)
    check = world.watch_idleness()
    world.submit(simulation.make_job(WAITING_ID, simulation.make_step(1, simulation.WHOLE)))
    world.run(10.0)
    assert check.found == {}


def test_job_does_not_stand_still_while_most_workers_are_quarantined():
    """Guards against a service whose quarantined workers are sound again and get no work.

    Most workers fail all that they start for some seconds. The others are in use for long.
    """
    world = make_world(busy_per_rack=2)
    sound = {worker_id for worker_id, worker in world.fleet.workers.items() if worker.live}
    world.fleet.faulty = set(world.fleet.workers) - sound
    for number in range(8):
        step = simulation.make_step(6, simulation.WHOLE)
        world.submit(simulation.make_job(f"{0x10 + number:016x}", step))
    world.run(1.0)
    assert b"worker_quarantined" in b"".join(world.lines)
    world.fleet.faulty = set()
    world.fleet.work_s = 0.5
    check = world.watch_idleness()
    check.record_fault()
    world.run(20.0)
    assert check.found == {}
