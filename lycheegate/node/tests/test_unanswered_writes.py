"""Writes of the holder that the store does not answer, or carries out seconds later."""

import pytest

from lycheegate.node import storage, tables, terms
from lycheegate.node.tests import simulation

JOB_ID = "0" * 16


def _read_beat_age_s(world: simulation.World) -> float:
    """Returns the age of the stored heartbeat."""
    heartbeat = tables.decode_heartbeat(world.store.rows[tables.HEARTBEAT].value)
    return world.loop.now_s - heartbeat.sent_at_ms / 1000.0


def test_one_lost_answer_delays_a_start_for_a_moment():
    """Guards against a task that waits for the timeout of a write, although the store answers."""
    world = simulation.World(1)
    world.claim_term("a")
    world.run(1.0)
    world.faults.lost_writes = 1.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while not world.read_status(JOB_ID).started:
        world.run(0.01)
    world.faults.lost_writes = 0.0
    world.run(1.0)
    assert len(world.fleet.starts) == 1


@pytest.mark.parametrize("fault", ["lost_writes", "late_writes"])
@pytest.mark.parametrize("seed", range(12))
def test_term_outlasts_unanswered_writes(fault, seed):
    """Guards against a term that is lost while two thirds of the writes are answered.

    Other VMs claim the term of a holder that answers them once its heartbeat is older than
    ``RENEWING_HOLDER_TIMEOUT_S``. A heartbeat that is stored late must not replace a newer one,
    since it would look as old as it is.
    """
    world = simulation.World(seed)
    world.fleet.work_s = 0.7
    world.claim_term("a")
    world.run(1.0)
    setattr(world.faults, fault, 1 / 3)
    for number in range(30):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(4)))
        for _ in range(5):
            world.run(0.1)
            assert _read_beat_age_s(world) < terms.RENEWING_HOLDER_TIMEOUT_S
    setattr(world.faults, fault, 0.0)
    world.run(20.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("transaction_s", [0.3, 0.7, 1.2])
def test_slow_writes_are_not_repeated_all_the_time(transaction_s):
    """Guards against repeated writes that fill the queue of a store which is only slow."""
    world = simulation.World(1)
    world.fleet.work_s = 0.5
    scheduler = world.claim_term("a")
    world.run(1.0)
    world.faults.transaction_s = transaction_s
    first_version = world.store.version
    calls = []
    transact = scheduler._runtime.store.transact

    def count(transaction: storage.Transaction, timeout_s: float, callback) -> None:
        calls.append(world.loop.now_s)
        transact(transaction, timeout_s, callback)

    scheduler._runtime.store.transact = count
    for number in range(20):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(2)))
        world.run(1.0)
    applied = world.store.version - first_version
    assert len(calls) <= 20.0 / transaction_s + 5
    assert applied >= 0.6 * len(calls)
    world.faults.transaction_s = 0.0
    world.run(20.0)
    simulation.assert_all_succeed(world)
