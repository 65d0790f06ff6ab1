"""Jobs that have nothing running although a task of theirs could run (docs/incidents)."""

import pytest

from lycheegate.jobs import model, runs
from lycheegate.node.tests import fake_workers, simulation

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


@pytest.mark.parametrize("is_lost", [False, True], ids=["listed", "lost"])
@pytest.mark.parametrize("gang", [False, True])
def test_check_knows_which_successes_count(gang, is_lost):
    """Guards against a check that names a task which has succeeded or cannot start yet.

    A success counts while its worker lists it, and not after the worker has lost it before it was
    stored. That of one member of a gang counts for all. No scheduler runs.
    """
    world = simulation.World(1)
    first = simulation.make_step(2 if gang else 1, gang=gang)
    world.submit(simulation.make_job(JOB_ID, first, simulation.make_step(1, depends_on=(0,))))
    worker = world.fleet.workers["w0"]
    task = model.TaskKey(JOB_ID, 0, 0, 0)
    run = fake_workers.LiveRun(task, 1, simulation.SMALL, 1.0, 1.0)
    worker.live[task] = run
    worker.deadline_ms = int(1e6)
    world.run(2.0)
    assert worker.count_live() == 0
    assert worker.ended[0].end is runs.End.DONE
    if is_lost:
        worker.restart()
    check = world.watch_idleness()
    world.run(10.0)
    assert check.found[JOB_ID].task.step == (0 if is_lost else 1)
