"""Jobs whose progress fits into no row, or fills a call to the store."""

import pytest

from lycheegate.jobs import model, scheduling, state
from lycheegate.node import scheduler, tables, terms
from lycheegate.node.tests import simulation

LARGE_ID = "f" * 16
PAGED_ROW_BYTES = 24
"""Size of a row into which no compact record fits, so that each has pages."""
TINY = model.Resources(10, 10, 0)


def _make_world(max_row_bytes: int) -> simulation.World:
    """Returns a world in which rows of progress are small, so that few tasks need several."""
    world = simulation.World(1)
    world.store.max_row_bytes = 1_000
    world.policy = state.Policy(max_row_bytes=max_row_bytes, retention_s=20.0)
    return world


def _list_pages(world: simulation.World) -> list[str]:
    return [key.key for key in world.store.rows if key.table == tables.PAGES]


@pytest.mark.parametrize("max_row_bytes", [900, PAGED_ROW_BYTES])
def test_large_job_beside_others(max_row_bytes):
    """Guards against a job whose progress fits into no row: neither it nor others were served.

    Load pattern: one job of hundreds of small tasks, then ordinary jobs.
    """
    world = _make_world(max_row_bytes)
    world.submit(simulation.make_job(LARGE_ID, simulation.make_step(400, TINY)))
    world.claim_term("a")
    world.run(0.5)
    assert bool(_list_pages(world)) == (max_row_bytes == PAGED_ROW_BYTES)
    for number in range(4):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step()))
    world.run(0.5)
    assert {f"{number:016x}" for number in range(4)} < {t.job_id for t in world.fleet.starts}
    world.run(15.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 404
    assert world.store.rejections == []


def test_large_job_is_placed_in_parts():
    """Guards against passes that place a part of a large job and wait for an event for the rest.

    Passes are at most 0.25 s apart. Without any pause between them, the event thread of a VM would
    be busy with orders for seconds.
    """
    world = simulation.World(1)
    world.fleet.work_s = 100.0
    world.submit(simulation.make_job(LARGE_ID, simulation.make_step(1_500, TINY)))
    world.claim_term("a")
    world.run(1_500 / scheduling.MAX_PLACED_TASKS * scheduler.TICK_S + 0.5)
    assert sum(world.fleet.starts.values()) == 1_500


def test_large_job_across_holders():
    """Guards against tasks that start again because a new holder did not read all pages."""
    world = _make_world(PAGED_ROW_BYTES)
    world.fleet.work_s = 8.0
    world.submit(simulation.make_job(LARGE_ID, simulation.make_step(400, TINY)))
    for vm in ("a", "b", "c"):
        holder = world.claim_term(vm)
        world.run(1.5)
        assert _list_pages(world)
        holder.stop("killed")
        world.run(0.5)
    world.claim_term("d")
    world.run(15.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 400


@pytest.mark.parametrize("lost_writes", [0.0, 0.3])
def test_pages_are_deleted_with_their_job(lost_writes):
    """Guards against pages that stay in the store after the job has ended or was deleted."""
    world = _make_world(PAGED_ROW_BYTES)
    world.faults.lost_writes = lost_writes
    world.submit(simulation.make_job(LARGE_ID, simulation.make_step(400, TINY)))
    world.fleet.work_s = 8.0
    world.claim_term("a")
    world.run(6.0)
    assert _list_pages(world)
    world.run(20.0)
    world.faults.lost_writes = 0.0
    assert world.read_status(LARGE_ID).outcome is model.Outcome.SUCCEEDED
    world.run(30.0)
    world.claim_term("b")
    world.run(5.0)
    assert not [key for key in world.store.rows if LARGE_ID in key.key]


def test_many_records_of_moderate_size():
    """Guards against a batch that exceeds the size of a call although each row fits.

    Load pattern: forty jobs whose records nearly fill a row, which all change at once.
    """
    world = simulation.World(1)
    step = simulation.make_step(1, checkpoints=True)
    for number in range(40):
        world.submit(simulation.make_job(f"{number:016x}", step))
    holder = world.claim_term("a")
    world.run(0.3)
    for job in holder._state.jobs.values():
        job.steps[0, 0].checkpoints[0] = "c" * 45_000
        job.dirty = True
    world.run(10.0)
    simulation.assert_all_succeed(world)
    assert world.store.rejections == []


def test_heartbeat_beside_a_large_record():
    """Guards against a heartbeat that waits for, or is refused with, a record of several pages."""
    world = simulation.World(1)
    world.fleet.work_s = 100.0
    world.submit(simulation.make_job(LARGE_ID, simulation.make_step(3, checkpoints=True)))
    holder = world.claim_term("a")
    world.run(0.5)
    job = holder._state.jobs[LARGE_ID]
    for index in range(3):
        job.steps[0, 0].checkpoints[index] = "".join(chr(33 + n * n % 90) for n in range(300_000))
    for _ in range(100):
        job.dirty = True
        world.run(0.05)
        row = world.store.rows[tables.HEARTBEAT]
        age_s = world.loop.now_s - tables.decode_heartbeat(row.value).sent_at_ms / 1000.0
        assert age_s < terms.UNREACHABLE_HOLDER_TIMEOUT_S
    assert world.store.rejections == []


def test_release_beside_a_large_record():
    """Guards against a holder that releases its term late because of a large record."""
    world = _make_world(PAGED_ROW_BYTES)
    world.fleet.work_s = 10.0
    world.submit(simulation.make_job(LARGE_ID, simulation.make_step(400, TINY)))
    holder = world.claim_term("a")
    world.run(0.5)
    holder.release()
    world.run(0.2)
    assert tables.decode_heartbeat(world.store.rows[tables.HEARTBEAT].value).is_released
    world.claim_term("b")
    world.run(20.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 400
