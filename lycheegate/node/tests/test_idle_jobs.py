"""Jobs that have nothing running although a task of theirs could run (docs/incidents)."""

import pytest

from lycheegate.jobs import model, state
from lycheegate.node.tests import simulation

JOB_ID = "0" * 16


@pytest.mark.parametrize("fields", [{}, {"gang": True}, {"long_running": True}])
def test_runs_that_were_never_ordered_start_again_after_a_change_of_the_holder(fields):
    """Guards against recovered runs that a new holder takes for orders of its own.

    The holder is lost after it has stored the runs that it intends, and before it orders them. The
    first reports to the next holder prove that they are absent.
    """
    world = simulation.World(1)
    world.fleet.work_s = 20.0
    first = world.claim_term("a")
    world.run(1.0)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2, max_per_worker=1, **fields)))
    world.faults.lost_writes = 1.0
    world.run(0.5)
    assert world.read_status(JOB_ID).started
    assert world.fleet.starts == {}
    first.stop("killed")
    world.faults.lost_writes = 0.0
    world.claim_term("b")
    world.run(0.5)
    assert len(world.fleet.starts) == 2
    assert b"start_unanswered" not in b"".join(world.lines)


def test_run_on_a_silent_worker_outlasts_a_change_of_the_holder():
    """Guards against work that a new holder stops because its worker is silent for a moment.

    The worker does not answer the first reports that the new holder requests. It runs on under its
    lease, and no start order of the new holder is unanswered.
    """
    world = simulation.World(1)
    world.fleet.work_s = 8.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2, max_per_worker=1)))
    first = world.claim_term("a")
    world.run(2.0)
    first.stop("killed")
    world.fleet.unreachable.add(world.fleet.find_busy_worker())
    world.claim_term("b")
    world.run(2.2)
    world.fleet.unreachable.clear()
    world.run(10.0)
    simulation.assert_all_succeed(world)
    assert set(world.fleet.starts.values()) == {1}


def test_run_that_was_stopped_before_it_began_ends_with_the_stop():
    """Guards against a task that waits two reports for the end of a run that never began.

    Its start order is not answered, so it is stopped. A worker that is not aware of the run lists
    no end of it, and a report that was requested before the stop proves nothing.
    """
    world = simulation.World(1)
    world.fleet.work_s = 20.0
    world.claim_term("a")
    world.run(1.0)
    world.faults.late_orders = 1.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while b"start_unanswered" not in b"".join(world.lines):
        world.run(0.01)
    world.faults.late_orders = 0.0
    world.run(state.Policy().stop_retry_s + 0.5)
    assert len(world.fleet.starts) == 1


def test_job_does_not_stay_idle_for_the_rack_of_its_data():
    """Guards against a job with nothing running while most of the workers are free.

    All workers in the rack of its data are in use for long, and it waits for room there.
    """
    world = simulation.World(1, worker_count=12)
    world.fleet.work_s = 30.0
    world.claim_term("a")
    whole = simulation.make_step(1, simulation.WHOLE, label="r0")
    for number in range(3):
        world.submit(simulation.make_job(f"{number + 1:016x}", whole))
    world.run(2.0)
    check = world.watch_idleness()
    step = model.Step(2, simulation.SMALL, estimate_s=11.0, near_rack="r0")
    world.submit(simulation.make_job(JOB_ID, step))
    world.run(12.0)
    assert check.found == {}


@pytest.mark.parametrize("silent_s", [0.0, 6.0])
def test_run_on_a_departed_worker_does_not_outlast_its_lease_by_a_change_of_the_holder(silent_s):
    """Guards against a job that stays idle because the holder changes after its worker has left.

    The next holder does not know when the previous one renewed the lease for the last time.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    first = world.claim_term("a")
    world.run(2.0)
    departed = world.fleet.find_busy_worker()
    world.fleet.workers[departed].reset()
    world.fleet.unreachable.add(departed)
    world.unregister(departed)
    world.run(silent_s)
    first.stop("killed")
    world.claim_term("b")
    check = world.watch_idleness()
    world.run(20.0)
    assert check.found == {}
