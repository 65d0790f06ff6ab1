"""Writes that the store rejects because of one record."""

import pytest

from lycheegate.jobs import model
from lycheegate.node import tables, terms
from lycheegate.node.tests import simulation

REJECTED_ID = "f" * 16


def _start_world(other_jobs: int) -> simulation.World:
    """Returns a world in which the store rejects the progress of one of several jobs."""
    world = simulation.World(1)
    world.store.rejected_keys.add(tables.get_progress_key(REJECTED_ID))
    world.submit(simulation.make_job(REJECTED_ID, simulation.make_step()))
    for number in range(other_jobs):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step()))
    world.claim_term("a")
    return world


@pytest.mark.parametrize("other_jobs", [0, 1, 7, 39, 45])
def test_rejected_record_holds_back_no_other_job(other_jobs):
    """Guards against one record that the store rejects, and that stops the work of all jobs.

    The record was written together with those of other jobs, again and again.
    """
    world = _start_world(other_jobs)
    world.run(12.0)
    for number in range(other_jobs):
        assert world.read_status(f"{number:016x}").outcome is model.Outcome.SUCCEEDED
    assert world.read_status(REJECTED_ID).outcome is None
    assert not any(task.job_id == REJECTED_ID for task in world.fleet.starts)
    assert world.fleet.violations == []


@pytest.mark.parametrize("other_jobs", [0, 39])
def test_heartbeat_is_written_while_a_record_is_rejected(other_jobs):
    """Guards against a holder that loses its term because of a record that the store rejects."""
    world = _start_world(other_jobs)
    for _ in range(100):
        world.run(0.1)
        row = world.store.rows[tables.HEARTBEAT]
        age_s = world.loop.now_s - tables.decode_heartbeat(row.value).sent_at_ms / 1000.0
        assert age_s < terms.UNREACHABLE_HOLDER_TIMEOUT_S
    assert len(world.store.rejections) < 20


def test_rejected_record_among_jobs_that_change_all_the_time():
    """Guards against a search for the rejected record that starts anew with each batch.

    Load pattern: the progress of other jobs changes as fast as it is written.
    """
    world = _start_world(60)
    world.fleet.work_s = 1000.0
    holder = world.schedulers["a"]
    world.run(0.2)
    for _ in range(200):
        for job in holder._state.jobs.values():
            job.dirty = True
        world.run(0.02)
    assert len(world.store.rejections) < 20
    assert sum(worker.count_live() for worker in world.fleet.workers.values()) == 48


def test_progress_that_cannot_be_encoded():
    """Guards against an unexpected error with one job that ends the writes of all."""
    world = _start_world(5)
    world.store.rejected_keys.clear()
    holder = world.schedulers["a"]
    world.run(0.05)
    holder._state.jobs[REJECTED_ID].steps[0, 0].checkpoints[0] = object()
    holder._state.jobs[REJECTED_ID].dirty = True
    world.run(10.0)
    for number in range(5):
        assert world.read_status(f"{number:016x}").outcome is model.Outcome.SUCCEEDED
    assert b'"event":"record_rejected"' in b"".join(world.lines)


def test_record_is_written_once_the_store_accepts_it():
    """Guards against a job that stays held back although its record can be stored."""
    world = _start_world(3)
    world.run(5.0)
    world.store.rejected_keys.clear()
    world.run(8.0)
    simulation.assert_all_succeed(world)


def test_ends_beside_a_rejected_record_are_acknowledged():
    """Guards against ends of other jobs that workers list for good.

    They were acknowledged only while no progress at all waited to be stored.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job(REJECTED_ID, simulation.make_step()))
    world.claim_term("a")
    world.run(1.0)
    world.store.rejected_keys.add(tables.get_progress_key(REJECTED_ID))
    for number in range(10):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step()))
    world.run(10.0)
    (holding_worker,) = [w for w in world.fleet.workers.values() if _lists_end(w, REJECTED_ID)]
    for number in range(10):
        task = model.TaskKey(f"{number:016x}", 0, 0, 0)
        assert world.read_status(task.job_id).outcome is model.Outcome.SUCCEEDED
        assert task in world.fleet.acknowledged or _lists_end(holding_worker, task.job_id)
    assert world.fleet.acknowledged
    # The end of the rejected job is kept, so that the next holder can read it.
    world.store.rejected_keys.clear()
    world.run(30.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 11


def _lists_end(worker, job_id: str) -> bool:
    return any(ended.task.job_id == job_id for ended in worker.ended)
