"""Writes of the holder that the store does not answer, or carries out seconds later."""

import dataclasses
import random
import string

import pytest

from lycheegate.node import storage, tables, terms
from lycheegate.node.tests import fake_store, simulation

JOB_ID = "0" * 16
TICK_S = 0.005
ENTRY_BYTES = 200


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


@dataclasses.dataclass(eq=False, slots=True)
class _Transfer:
    """A transaction that is being sent."""

    transaction: storage.Transaction
    callback: object
    remaining_bytes: float
    expires_at_s: float


class _SlowLink:
    """Link from a VM to the store; calls that are sent at the same time share its rate.

    A call that does not arrive within its timeout is broken off, as the HTTP client does.
    """

    def __init__(self, world: simulation.World, scheduler, bytes_per_s: float):
        self._loop = world.loop
        self._bytes_per_s = bytes_per_s
        self._transfers: list[_Transfer] = []
        self._transact = scheduler._runtime.store.transact
        scheduler._runtime.store.transact = self._send
        self.broken_off = 0
        self._loop.call_later(TICK_S, self._advance)

    def _send(self, transaction: storage.Transaction, timeout_s: float, callback) -> None:
        entries = [*transaction.conditions, *transaction.writes, *transaction.deletes]
        size = sum(len(write.value) for write in transaction.writes) * 4 / 3
        size += ENTRY_BYTES * len(entries)
        expires_at_s = self._loop.now_s + timeout_s
        self._transfers.append(_Transfer(transaction, callback, size, expires_at_s))

    def _advance(self) -> None:
        share = self._bytes_per_s * TICK_S / max(1, len(self._transfers))
        for transfer in list(self._transfers):
            transfer.remaining_bytes -= share
            if transfer.remaining_bytes <= 0.0:
                self._transfers.remove(transfer)
                left_s = transfer.expires_at_s - self._loop.now_s
                self._transact(transfer.transaction, left_s, transfer.callback)
            elif self._loop.now_s >= transfer.expires_at_s:
                self._transfers.remove(transfer)
                self.broken_off += 1
                transfer.callback(fake_store.make_unknown())
        self._loop.call_later(TICK_S, self._advance)


@pytest.mark.parametrize("tasks", [90, 150])
def test_large_record_is_stored_over_a_slow_link(tasks):
    """Guards against a large record that is repeated before it can arrive, and never stored.

    Its 280 or 460 KB take 0.6 s or 1.0 s over a link of 5 Mbit/s. Repetitions share the link with
    the writes before them, and an answer to a heartbeat in between says nothing about how long a
    large record takes.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    scheduler = world.claim_term("a")
    world.run(1.0)
    _SlowLink(world, scheduler, 625_000)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(tasks, checkpoints=True)))
    while JOB_ID not in scheduler._state.jobs:
        world.run(0.0005)
    generator = random.Random(1)
    alphabet = string.ascii_letters + string.digits + "+/"
    step = scheduler._state.jobs[JOB_ID].steps[0, 0]
    step.checkpoints = {i: "".join(generator.choices(alphabet, k=4_000)) for i in range(tasks)}
    world.run(15.0)
    assert len(world.fleet.starts) > 0


@pytest.mark.parametrize("transaction_s", [0.8, 1.2, 1.5, 1.9])
def test_term_outlasts_a_store_that_becomes_slow(transaction_s):
    """Guards against repeated writes that queue behind each other until the term is lost.

    Transactions take a few milliseconds until the store becomes slow, so the first slow one is
    repeated. One at a time would renew the term in time.
    """
    world = simulation.World(1)
    scheduler = world.claim_term("a")
    world.run(1.0)
    world.faults.transaction_s = transaction_s
    oldest_s = 0.0
    for _ in range(2_000):
        world.run(0.01)
        oldest_s = max(oldest_s, world.loop.now_s - scheduler._writer.renewed_at_s)
    # At that age the VM no longer answers that it holds the term, so others claim it at once.
    limit_s = terms.MAX_RENEWAL_AGE_S if transaction_s < 1.0 else terms.RENEWING_HOLDER_TIMEOUT_S
    assert oldest_s < limit_s


def test_released_heartbeat_is_not_replaced_by_a_later_one_of_its_term():
    """Guards against a release that is taken back after other VMs have seen it.

    The answer to the write that releases the term is lost. A record with an intention, which was
    held back until then, is due when the write is repeated.
    """
    world = simulation.World(1)
    scheduler = world.claim_term("a")
    world.run(1.0)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while JOB_ID not in scheduler._state.jobs:
        world.run(0.001)
    scheduler._state.jobs[JOB_ID].write_not_before_s = world.loop.now_s + 0.4
    world.run(0.1)
    world.faults.lost_writes = 1.0
    scheduler.release()
    world.faults.lost_writes = 0.0
    world.run(3.0)
    beats = [
        tables.decode_heartbeat(row.value)
        for row in world.store.changes
        if row.key == tables.HEARTBEAT
    ]
    released = [beat.is_released for beat in beats]
    assert released == sorted(released)
