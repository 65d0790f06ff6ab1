"""Leases of runs that a restarted worker has started on an order to its former incarnation."""

import pytest

from lycheegate.jobs import state
from lycheegate.node.tests import fake_workers, simulation
from lycheegate.platform import workers as worker_calls

_LOST = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)


@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
@pytest.mark.parametrize("registered_after_s", [0.05, 0.6, 1.5, None])
def test_start_that_a_restarted_worker_confirms_gets_the_longest_lease(
    max_lease_s, registered_after_s, monkeypatch
):
    """Guards against a second run while a silent worker runs the first one on a longer lease.

    The worker crashes with the order. Its next incarnation carries out the repeat of the order and
    confirms it, before the holder knows of the restart, and then falls silent.
    """
    monkeypatch.setattr(fake_workers, "MAX_LEASE_S", max_lease_s)
    world = simulation.World(1, worker_count=2)
    world.policy = state.Policy(max_lease_s=max_lease_s)
    world.fleet.work_s = 60.0
    world.claim_term("a")
    world.run(20.0)
    send = fake_workers.FakeWorkers.start

    def crash(client, address, order, epoch, deadline_ms, callback):
        monkeypatch.setattr(fake_workers.FakeWorkers, "start", confirm)
        worker = world.fleet.workers[order.worker_id]
        worker.restart()
        world.fleet.unreachable.add(order.worker_id)
        world.fleet.answers_lost.add(order.worker_id)
        world.loop.call_later(0.5, lambda: callback(_LOST))

    def confirm(client, address, order, epoch, deadline_ms, callback):
        monkeypatch.setattr(fake_workers.FakeWorkers, "start", send)
        worker = world.fleet.workers[order.worker_id]
        outcome = worker.start(order, epoch, deadline_ms)
        answer = worker_calls.OrderResult(outcome, worker.clock_ms())
        world.loop.call_later(fake_workers.WORKER_DELAY_S, lambda: callback(answer))
        if registered_after_s is not None:
            world.loop.call_later(registered_after_s, lambda: world.register(order.worker_id))

    monkeypatch.setattr(fake_workers.FakeWorkers, "start", crash)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1)))
    world.run(30.0)
    assert world.fleet.violations == []
    assert set(world.fleet.starts.values()) == {2}
