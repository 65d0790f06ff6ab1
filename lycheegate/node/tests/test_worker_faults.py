"""The scheduler with workers that are lost, leave, restart, lose answers, or fail what they run."""

import dataclasses

import pytest

from lycheegate.jobs import leases, model, state, strays
from lycheegate.node import term_writer
from lycheegate.node.tests import fake_workers, simulation
from lycheegate.platform import workers as worker_calls


@pytest.mark.parametrize("ends_per_report", [1, 500])
def test_more_ends_than_one_report_lists(ends_per_report):
    """Guards against a second run of a task whose success waits behind a full list of ends.

    The ends cannot be acknowledged while the store is slow, so a worker lists only the oldest.
    """
    world = simulation.World(1, worker_count=1)
    world.fleet.ends_per_report = ends_per_report
    world.fleet.work_s = 0.5
    world.submit(simulation.make_job("0" * 16, simulation.make_step(8)))
    world.claim_term("a")
    world.run(0.3)
    world.faults.refused_vms.add("a")
    world.run(2.0)
    world.faults.refused_vms.clear()
    world.run(20.0)
    simulation.assert_all_succeed(world)
    assert set(world.fleet.starts.values()) == {1}


def test_new_holder_waits_for_unreachable_worker():
    """Guards against second runs of tasks that may run on a worker the new holder cannot reach."""
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 9.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
    first = world.claim_term("a")
    world.run(1.5)
    first.stop("killed")
    world.fleet.unreachable.add(world.fleet.find_busy_worker())
    world.claim_term("b")
    world.run(60.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize(
    ("module", "name", "is_logged"),
    [(leases, "check_leases", True), (term_writer.TermWriter, "write", False)],
)
def test_lost_worker_after_an_error_in_a_tick(monkeypatch, module, name, is_logged):
    """Guards against one unexpected error that ends the ticks, without which no lease expires.

    An error in a stage is logged by the scheduler, any other one by the HTTP client.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
    world.claim_term("a")
    world.run(1.5)
    with monkeypatch.context() as patch:
        patch.setattr(module, name, _raise_error)
        if is_logged:
            world.run(1.0)
            assert b'"stage_failed"' in b"".join(world.lines)
        else:
            # The HTTP client logs an error of a timer and goes on; the simulated loop raises it.
            with pytest.raises(RuntimeError, match="unexpected"):
                world.run(1.0)
    lost = world.fleet.find_busy_worker()
    world.fleet.unreachable.add(lost)
    world.unregister(lost)
    world.run(fake_workers.MAX_LEASE_S + 6.0)
    simulation.assert_all_succeed(world)


def _raise_error(*_):
    raise RuntimeError("unexpected")


def test_lost_worker():
    """Guards against a lost worker whose lease is extended forever by unanswered calls."""
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
    world.claim_term("a")
    world.run(1.5)
    lost = world.fleet.find_busy_worker()
    world.fleet.unreachable.add(lost)
    world.unregister(lost)
    world.run(fake_workers.MAX_LEASE_S + 6.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize(("is_refusing", "expected"), [(True, True), (False, False)])
def test_crashed_worker_is_given_up_with_its_last_lease(is_refusing, expected):
    """Guards against work that waits for leases which no call can have renewed.

    Load pattern: workers crash for good. Polls that cannot be sent do not postpone the expiry of
    the lease; polls without an answer do, because the worker may have received them.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1)))
    world.claim_term("a")
    world.run(3.0)
    lost = world.fleet.find_busy_worker()
    (world.fleet.refusing if is_refusing else world.fleet.unreachable).add(lost)
    world.run(state.Policy().lease_s + 1.0)
    (starts,) = world.fleet.starts.values()
    assert (starts == 2) is expected
    world.run(3.0)
    assert world.fleet.starts[model.TaskKey("0" * 16, 0, 0, 0)] == 2
    assert world.fleet.violations == []


@pytest.mark.parametrize("gang", [False, True])
def test_worker_departs_at_short_notice(gang):
    """Guards against work that waits for the lease of a worker that announced its departure.

    Load pattern: workers are removed two seconds after the notice.
    """
    world = simulation.World(1, worker_count=4)
    world.fleet.work_s = 5.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4, gang=gang)))
    world.claim_term("a")
    world.run(1.5)
    leaving = [w for w, f in world.fleet.workers.items() if f.live]
    for worker_id in leaving:
        world.register(worker_id, draining=True, remaining_ms=2_000)
    world.run(2.0)
    for worker_id in leaving:
        world.fleet.unreachable.add(worker_id)
        world.unregister(worker_id)
    # Time for stops, for all the work again, and 3 s for reports.
    world.run(fake_workers.STOP_S + world.fleet.work_s + 3.0 - 2.0)
    simulation.assert_all_succeed(world)


def test_lost_answers_of_workers():
    """Guards against leases that are renewed by calls whose answers are lost."""
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
    world.claim_term("a")
    world.run(1.5)
    world.fleet.answers_lost = {w for w, f in world.fleet.workers.items() if f.live}
    world.run(60.0)
    simulation.assert_all_succeed(world)


def test_restarted_worker_loses_its_runs():
    """Guards against waiting for runs that were lost when their worker restarted."""
    world = simulation.World(1, worker_count=1)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(2)))
    world.claim_term("a")
    world.run(1.0)
    world.fleet.workers["w0"].restart()
    world.register("w0")
    world.run(12.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("delay_s", [0.002, 0.3, 0.9])
def test_order_that_a_restarted_worker_carries_out_gets_the_longest_lease(delay_s, monkeypatch):
    """Guards against a second run while a restarted worker runs the first one unseen.

    The worker restarts under its identifier with the order on its way, carries it out with its new
    clock, and none of its answers arrive afterwards.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 60.0
    world.claim_term("a")
    world.run(20.0)
    ends_s: list[float] = []
    send = fake_workers.FakeWorkers.start

    def restart_and_start(client, address, order, epoch, deadline_ms, callback):
        monkeypatch.setattr(fake_workers.FakeWorkers, "start", send)
        worker = world.fleet.workers[order.worker_id]
        worker.restart()
        world.fleet.unreachable.add(order.worker_id)
        world.fleet.answers_lost.add(order.worker_id)

        def arrive():
            assert worker.start(order, epoch, deadline_ms) is worker_calls.StartOutcome.STARTED
            ends_s.append(world.loop.now_s + (worker.deadline_ms - worker.clock_ms()) / 1000.0)

        world.loop.call_later(0.1, lambda: world.register(order.worker_id))
        world.loop.call_later(delay_s, arrive)
        lost = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)
        world.loop.call_later(0.5, lambda: callback(lost))

    monkeypatch.setattr(fake_workers.FakeWorkers, "start", restart_and_start)
    monkeypatch.setattr(fake_workers.FakeWorkers, "stop", lambda *_: None)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1)))
    world.run(14.0)
    assert world.fleet.violations == []
    (started_again_s,) = world.fleet.started_at_s.values()
    assert set(world.fleet.starts.values()) == {2}
    assert started_again_s > ends_s[0]


def test_foreign_registrations_are_ignored():
    """Guards against registry rows of other writers that crash the scheduler or add workers."""
    world = simulation.World(1)
    for number, value in enumerate([b"\xff\x00", b"{}", b'{"service":1}', b"[]"]):
        key = simulation.storage.RowKey("servers", "", f"bad{number}")
        world.store.put(key, value)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
    world.claim_term("a")
    world.run(10.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("takes_over", [False, True])
def test_departed_worker_is_not_used_again(takes_over):
    """Guards against work on a worker whose departure was missed.

    Its registration is deleted while the feed loses its history, so that no change reports the
    deletion, or while the scheduler changes.
    """
    world = simulation.World(1, worker_count=3)
    world.claim_term("a")
    world.run(1.0)
    world.store.faults.silent_feeds = True
    world.unregister("w0")
    world.run(1.5)
    world.store.faults.silent_feeds = False
    world.store.faults.history_lost = True
    world.run(1.5)
    world.store.faults.history_lost = False
    if takes_over:
        world.claim_term("b")
    world.run(1.5)
    for number in range(6):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(3)))
    world.run(20.0)
    simulation.assert_all_succeed(world)
    scheduler_state = list(world.schedulers.values())[-1]._state
    assert "w0" not in scheduler_state.workers or not scheduler_state.workers["w0"].registered


@pytest.mark.parametrize(
    ("members", "faulty"),
    [(1, {"w0"}), (2, {"w0", "w7"}), (4, {"w0", "w7"})],
    ids=["one_member", "two_members", "four_members"],
)
def test_gangs_succeed_beside_faulty_workers(members, faulty):
    """Guards against jobs that fail because their attempts go to the same few faulty workers.

    Load pattern: some workers fail all that they start within 50 ms, so their room is always free,
    while gangs with two attempts arrive faster than they can all run at once.
    """
    world = simulation.World(1, worker_count=12)
    world.fleet.faulty = faulty
    world.fleet.work_s = 3.0
    route = dataclasses.replace(world.route, max_attempts=2)
    world.configuration = simulation.make_configuration(route, world.urgent)
    world.claim_term("a")
    for number in range(40):
        gang = simulation.make_step(members, model.Resources(16_000, 32_000, 8), gang=True)
        world.submit(simulation.make_job(f"{number:016x}", gang), route)
        world.run(0.1)
    world.run(60.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("lost_write", [False, True])
def test_next_holder_knows_the_suspected_workers(lost_write):
    """Guards against jobs that fail because each new holder finds out again who is faulty.

    Load pattern: the holder changes three times in seven seconds while some workers fail all that
    they start.
    """
    world = simulation.World(1, worker_count=4)
    world.fleet.faulty = {"w3"}
    world.fleet.work_s = 30.0
    route = dataclasses.replace(world.route, max_attempts=2)
    world.configuration = simulation.make_configuration(route, world.urgent)
    whole = model.Resources(16_000, 32_000, 8)
    first = world.claim_term("a")
    world.run(1.0)
    if lost_write:
        world.faults.lost_writes = 1.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1, whole, gang=True)), route)
    world.run(1.0)
    world.faults.lost_writes = 0.0
    world.run(3.0)
    tried = dict(world.fleet.workers["w3"].highest_run_numbers)
    assert len(tried) == 1
    first.stop("killed")
    for vm in ("b", "c"):
        world.claim_term(vm)
        # Each holder passes on what it was told, before it could find out by itself.
        world.run(0.8)
        world.schedulers[vm].stop("killed")
    world.claim_term("d")
    for number in range(1, 4):
        gang = simulation.make_step(1, whole, gang=True)
        world.submit(simulation.make_job(f"{number:016x}", gang), route)
    world.run(2.0)
    assert world.fleet.workers["w3"].highest_run_numbers == tried
    assert world.fleet.violations == []


def test_stray_run_ends_with_the_replacement_of_its_worker():
    """Guards against a task that waits for the lease of a worker that is known to be gone.

    Another worker answers at the endpoint, which ends the current runs of the worker at once.
    """
    world = simulation.World(2)
    scheduler = world.claim_term("a")
    world.run(1.0)
    current = scheduler._state
    worker = current.workers["w0"]
    task = model.TaskKey("0" * 16, 0, 0, 0)
    strays.add_stray(current, worker, task, 3, simulation.SMALL)
    scheduler._exchange._handle_replaced_worker(worker, worker.reported_address)
    assert current.stray_tasks == {}
