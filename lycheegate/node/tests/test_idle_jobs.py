"""Jobs that have nothing running although a task of theirs could run (docs/incidents)."""

import json

import pytest

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


def _list_records(world: simulation.World, event: str) -> list[dict]:
    records = [json.loads(line) for line in world.lines]
    return [record for record in records if record["event"] == event]


def test_job_on_a_silent_worker_is_explained_after_a_change_of_the_holder():
    """Guards against a job that stands still after a change of the holder without a line why.

    The runs of the job are on workers that answer the next holder only after 6 s.
    """
    world = simulation.World(1)
    world.fleet.work_s = 20.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2, max_per_worker=1)))
    first = world.claim_term("a")
    world.run(4.0)
    assert _list_records(world, "job_waiting") == []
    first.stop("killed")
    busy = {worker_id for worker_id, worker in world.fleet.workers.items() if worker.live}
    world.fleet.answers_lost |= busy
    world.claim_term("b")
    world.run(6.0)
    world.fleet.answers_lost.clear()
    world.run(3.0)
    waiting = _list_records(world, "job_waiting")
    assert 2 <= len(waiting) <= 3
    for record in waiting:
        assert (record["node"], record["job"], record["account"]) == ("b", JOB_ID, "acme")
        assert (record["reason"], record["more"]) == ("worker_silent", 0)
        assert record["worker"] in busy
        assert record["leases_expire_in_s"] > 0.0
    (resumed,) = _list_records(world, "job_resumed")
    assert (resumed["node"], resumed["job"]) == ("b", JOB_ID)
    assert resumed["waited_s"] >= 6.0


def test_ordinary_load_has_no_lines_about_waiting_jobs():
    """Guards against lines about jobs that wait no longer than usual."""
    world = simulation.World(1)
    for number in range(20):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(3)))
    world.claim_term("a")
    world.run(12.0)
    simulation.assert_all_succeed(world)
    assert _list_records(world, "job_waiting") + _list_records(world, "job_resumed") == []
