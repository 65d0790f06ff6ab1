"""The scheduler with fakes of the store and the workers, under faults."""

import dataclasses

import pytest

from lycheegate.jobs import model, progress, state
from lycheegate.node import scheduler, tables, terms
from lycheegate.node.tests import fake_workers, simulation

_SMALL = model.Resources(1_000, 1_000, 1)
_WHOLE = model.Resources(8_000, 8_000, 8)


def _make_step(count: int = 1, need: model.Resources = _SMALL, **fields) -> model.Step:
    return model.Step(count, need, 1.0, **fields)


def _assert_all_succeed(world: simulation.World) -> None:
    for job_id in world.fleet.specs:
        assert world.read_status(job_id).outcome is model.Outcome.SUCCEEDED, job_id
    assert world.fleet.violations == []


@pytest.mark.parametrize(
    ("steps", "occurrences"),
    [
        ((_make_step(),), 1),
        ((_make_step(4), _make_step(2, depends_on=(0,))), 1),
        ((_make_step(4, _WHOLE, gang=True, same_rack=False),), 1),
        ((_make_step(2, _WHOLE, gang=True, same_rack=True),), 1),
        ((_make_step(40, checkpoints=True),), 1),
        ((_make_step(2, max_per_worker=1),), 1),
        ((_make_step(2, near_rack="r1"),), 1),
        ((_make_step(2),), 3),
    ],
)
def test_job_without_faults(steps, occurrences):
    """Guards against a kind of step that does not complete even without faults."""
    world = simulation.World(1)
    times = {"start_at_s": 101.0, "interval_s": 2.0} if occurrences > 1 else {}
    world.submit(simulation.make_job("0" * 16, *steps, occurrences=occurrences, **times))
    world.claim_term("a")
    world.run(30.0)
    _assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == occurrences * sum(step.count for step in steps)


def test_cancel():
    """Guards against tasks that continue or start after their job was cancelled."""
    world = simulation.World(1)
    world.fleet.work_s = 100.0
    world.submit(simulation.make_job("0" * 16, _make_step(60)))
    world.claim_term("a")
    world.run(2.0)
    world.cancel("0" * 16)
    world.run(0.5)
    for worker in world.fleet.workers.values():
        worker.advance()
        assert worker.live == {}
    assert world.read_status("0" * 16).outcome is model.Outcome.CANCELLED


def test_starts_are_bounded():
    """Guards against endless restarts of a job that always fails."""
    world = simulation.World(1)
    world.fleet.failure_share = 1.0
    world.submit(simulation.make_job("0" * 16, _make_step()))
    world.claim_term("a")
    world.run(60.0)
    assert world.read_status("0" * 16).outcome is model.Outcome.FAILED
    assert sum(world.fleet.starts.values()) == world.route.max_attempts


def test_new_holder_keeps_runs():
    """Guards against a new holder that starts tasks again while they still run."""
    world = simulation.World(1)
    world.fleet.work_s = 4.0
    world.submit(simulation.make_job("0" * 16, _make_step(8)))
    first = world.claim_term("a")
    world.run(1.5)
    first.stop("killed")
    world.run(1.0)
    world.claim_term("b")
    world.run(6.0)
    _assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 8


def test_claim_answered_after_a_pause_renews_no_lease():
    """Guards against a paused VM that renews leases although its term may have been taken over.

    Its claim was answered before the pause. A later holder assumes that no lease is renewed from
    ``Policy.handover_s`` after the claim.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 1000.0
    world.submit(simulation.make_job("0" * 16, _make_step(4)))
    first = world.claim_term("a")
    world.run(1.5)
    first.stop("killed")
    world.faults.refused_vms.add("b")
    pause_s = state.Policy().handover_s + 0.1
    deadlines = {w.worker_id: w.deadline_ms for w in world.fleet.workers.values()}
    world.claim_term("b", claimed_at_s=world.loop.now_s - pause_s)
    world.schedulers["b"]._apply_registry_rows(
        tuple(r for k, r in world.store.rows.items() if k.table == "servers"), True, 0
    )
    world.run(2.0)
    assert {w.worker_id: w.deadline_ms for w in world.fleet.workers.values()} == deadlines


@pytest.mark.parametrize("ends_per_report", [1, 500])
def test_more_ends_than_one_report_lists(ends_per_report):
    """Guards against a second run of a task whose success waits behind a full list of ends.

    The ends cannot be acknowledged while the store is slow, so a worker lists only the oldest.
    """
    world = simulation.World(1, worker_count=1)
    world.fleet.ends_per_report = ends_per_report
    world.fleet.work_s = 0.5
    world.submit(simulation.make_job("0" * 16, _make_step(8)))
    world.claim_term("a")
    world.run(0.3)
    world.faults.refused_vms.add("a")
    world.run(2.0)
    world.faults.refused_vms.clear()
    world.run(20.0)
    _assert_all_succeed(world)
    assert set(world.fleet.starts.values()) == {1}


def test_new_holder_waits_for_unreachable_worker():
    """Guards against second runs of tasks that may run on a worker the new holder cannot reach."""
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 9.0
    world.submit(simulation.make_job("0" * 16, _make_step(4)))
    first = world.claim_term("a")
    world.run(1.5)
    first.stop("killed")
    world.fleet.unreachable.add(next(w for w, f in world.fleet.workers.items() if f.live))
    world.claim_term("b")
    world.run(60.0)
    _assert_all_succeed(world)


def test_lost_worker():
    """Guards against a lost worker whose lease is extended forever by unanswered calls."""
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, _make_step(4)))
    world.claim_term("a")
    world.run(1.5)
    lost = next(w for w, f in world.fleet.workers.items() if f.live)
    world.fleet.unreachable.add(lost)
    world.unregister(lost)
    world.run(fake_workers.MAX_LEASE_S + 6.0)
    _assert_all_succeed(world)


@pytest.mark.parametrize(("is_refusing", "expected"), [(True, True), (False, False)])
def test_crashed_worker_is_given_up_with_its_last_lease(is_refusing, expected):
    """Guards against work that waits for leases which no call can have renewed.

    Load pattern: workers crash for good. Polls that cannot be sent do not postpone the expiry of
    the lease; polls without an answer do, because the worker may have received them.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job("0" * 16, _make_step(1)))
    world.claim_term("a")
    world.run(3.0)
    lost = next(w for w, f in world.fleet.workers.items() if f.live)
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
    world.submit(simulation.make_job("0" * 16, _make_step(4, gang=gang)))
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
    _assert_all_succeed(world)


def test_lost_answers_of_workers():
    """Guards against leases that are renewed by calls whose answers are lost."""
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job("0" * 16, _make_step(4)))
    world.claim_term("a")
    world.run(1.5)
    world.fleet.answers_lost = {w for w, f in world.fleet.workers.items() if f.live}
    world.run(60.0)
    _assert_all_succeed(world)


def test_replaced_holder_starts_nothing():
    """Guards against a previous holder that starts tasks after another VM claimed the term."""
    world = simulation.World(1)
    world.claim_term("a")
    world.run(1.0)
    world.claim_term("b")
    for number in range(5):
        world.submit(simulation.make_job(f"{number:016x}", _make_step(3)))
    world.run(20.0)
    _assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 15


def test_restarted_worker_loses_its_runs():
    """Guards against waiting for runs that were lost when their worker restarted."""
    world = simulation.World(1, worker_count=1)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, _make_step(2)))
    world.claim_term("a")
    world.run(1.0)
    world.fleet.workers["w0"].restart()
    world.register("w0")
    world.run(12.0)
    _assert_all_succeed(world)


def test_urgent_gang_preempts():
    """Guards against urgent work that waits for long-running work.

    Load pattern: an urgent gang job arrives while all workers are in use.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job("0" * 16, _make_step(48, checkpoints=True)))
    world.claim_term("a")
    world.run(3.0)
    job = simulation.make_job("1" * 16, _make_step(2, _WHOLE, gang=True), route="urgent")
    world.submit(job, world.urgent)
    accepted_s = world.loop.now_s
    while not all(model.TaskKey("1" * 16, 0, 0, index) in world.fleet.starts for index in range(2)):
        world.run(0.05)
        assert world.loop.now_s - accepted_s < 2.7
    assert world.fleet.violations == []


def test_notification_before_the_feed():
    """Guards against work that waits for a change feed that is silent.

    Load pattern: the store has dropped the history of its changes.
    """
    world = simulation.World(1)
    holder = world.claim_term("a")
    world.run(1.0)
    world.faults.silent_feeds = True
    job_id = "0" * 16
    world.submit(simulation.make_job(job_id, _make_step()))
    holder.apply_notified_row(world.store.rows[simulation.tables.get_job_key(job_id)])
    world.run(0.2)
    assert sum(world.fleet.starts.values()) == 1
    world.faults.silent_feeds = False
    world.run(5.0)
    _assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 1


def test_urgent_work_is_not_preempted_first():
    """Guards against guaranteed work that preempts other urgent work.

    Load pattern: a burst of guaranteed and other urgent jobs.
    """
    world = simulation.World(1, worker_count=2)
    world.configuration = simulation.make_configuration(world.route, world.urgent, guaranteed=8)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job("0" * 16, _make_step(1, _WHOLE)))
    world.claim_term("a")
    world.run(2.0)
    world.submit(
        simulation.make_job("1" * 16, _make_step(1, _WHOLE), route="urgent", account="other"),
        world.urgent,
    )
    world.run(1.0)
    world.submit(simulation.make_job("2" * 16, _make_step(1, _WHOLE), route="urgent"), world.urgent)
    world.run(2.0)
    live = {task.job_id[0] for w in world.fleet.workers.values() for task in w.live}
    assert live == {"1", "2"}


def test_guaranteed_work_does_not_wait_for_runs_near_their_end():
    """Guards against guaranteed work that starts late.

    Load pattern: runs that seem about to end make no progress.
    """
    world = simulation.World(1, worker_count=1)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, _make_step(1, _WHOLE)))
    world.claim_term("a")
    world.run(2.9)
    world.submit(simulation.make_job("1" * 16, _make_step(1, _WHOLE), route="urgent"), world.urgent)
    world.run(0.04)
    (run,) = world.fleet.workers["w0"].live.values()
    assert run.stops_at_s is not None


def test_preempted_run_on_unreachable_worker_is_replaced():
    """Guards against urgent work that waits for a stop order that never reaches its worker."""
    world = simulation.World(1, worker_count=3)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job("0" * 16, _make_step(3, _WHOLE)))
    world.claim_term("a")
    world.run(3.0)
    job_id = "1" * 16
    world.submit(simulation.make_job(job_id, _make_step(1, _WHOLE), route="urgent"), world.urgent)
    world.run(0.03)
    world.fleet.unreachable = {
        run.worker_id
        for run in world.schedulers["a"]._state.jobs["0" * 16].list_runs()
        if run.phase is simulation.state.RunPhase.STOPPING
    }
    assert len(world.fleet.unreachable) == 1
    # A poll that is pending must not report the end of the run either.
    world.fleet.answers_lost = set(world.fleet.unreachable)
    world.run(2.0)
    assert model.TaskKey(job_id, 0, 0, 0) in world.fleet.starts


def test_foreign_registrations_are_ignored():
    """Guards against registry rows of other writers that crash the scheduler or add workers."""
    world = simulation.World(1)
    for number, value in enumerate([b"\xff\x00", b"{}", b'{"service":1}', b"[]"]):
        key = simulation.storage.RowKey("servers", "", f"bad{number}")
        world.store.put(key, value)
    world.submit(simulation.make_job("0" * 16, _make_step(4)))
    world.claim_term("a")
    world.run(10.0)
    _assert_all_succeed(world)


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
        world.submit(simulation.make_job(f"{number:016x}", _make_step(3)))
    world.run(20.0)
    _assert_all_succeed(world)
    scheduler_state = list(world.schedulers.values())[-1]._state
    assert "w0" not in scheduler_state.workers or not scheduler_state.workers["w0"].registered


@pytest.mark.parametrize("seed", range(60))
def test_random_faults(seed):
    """Guards against broken invariants under combined faults and changes of the holder."""
    world = simulation.World(seed)
    draw = world.generator
    world.fleet.failure_share = 0.02
    world.fleet.work_s = 1.5
    world.claim_term("vm0")
    for number in range(12):
        steps = draw.choice(
            [
                (_make_step(draw.randint(1, 12), checkpoints=True),),
                (_make_step(draw.randint(1, 3), _WHOLE, gang=True),),
                (_make_step(draw.randint(1, 6)), _make_step(draw.randint(1, 3), depends_on=(0,))),
            ]
        )
        world.submit(simulation.make_job(f"{number:016x}", *steps))
        world.faults.lost_writes = draw.choice([0.0, 0.1, 0.3])
        world.faults.late_writes = draw.choice([0.0, 0.1])
        world.faults.lost_orders = draw.choice([0.0, 0.1])
        world.faults.late_orders = draw.choice([0.0, 0.1])
        world.faults.history_lost = draw.random() < 0.1
        world.fleet.unreachable = {w for w in world.fleet.workers if draw.random() < 0.1}
        world.run(draw.uniform(0.5, 4.0))
        if draw.random() < 0.3:
            world.claim_term(f"vm{number + 1}")
        if draw.random() < 0.2:
            worker_id = draw.choice(sorted(world.fleet.workers))
            world.fleet.workers[worker_id].restart()
            world.register(worker_id)
    world.faults.lost_writes = world.faults.late_writes = 0.0
    world.faults.lost_orders = world.faults.late_orders = 0.0
    world.faults.history_lost = False
    world.fleet.unreachable = set()
    world.run(90.0)
    assert world.fleet.violations == []
    for job_id in world.fleet.specs:
        assert world.read_status(job_id).outcome is not None, job_id


@pytest.mark.parametrize("clock_ratio", [1.0, 0.98])
@pytest.mark.parametrize("seed", range(20))
def test_constraints_under_random_faults(seed, clock_ratio):
    """Guards against tasks in the wrong place, or on workers that leave, while faults combine.

    Workers announce their departure and come back, their clocks are slow, answers and writes are
    lost, and the holder changes, while jobs limit their tasks on a worker or require a label.
    """
    world = simulation.World(1000 + seed)
    draw = world.generator
    world.fleet.clock_ratio = clock_ratio
    world.fleet.work_s = 1.5
    world.claim_term("vm0")
    for number in range(12):
        steps = draw.choice(
            [
                (_make_step(draw.randint(1, 6), max_per_worker=1),),
                (_make_step(draw.randint(1, 9), max_per_worker=2, checkpoints=True),),
                (_make_step(draw.randint(1, 6), label=draw.choice(["r0", "r1"])),),
                (_make_step(draw.randint(1, 3), _WHOLE, gang=True, label="r1"),),
            ]
        )
        world.submit(simulation.make_job(f"{number:016x}", *steps))
        world.faults.lost_writes = draw.choice([0.0, 0.1, 0.3])
        world.faults.lost_orders = draw.choice([0.0, 0.1])
        world.fleet.unreachable = {w for w in world.fleet.workers if draw.random() < 0.1}
        for worker_id in sorted(world.fleet.workers):
            world.register(worker_id, draining=draw.random() < 0.2)
        world.run(draw.uniform(0.5, 4.0))
        if draw.random() < 0.3:
            world.claim_term(f"vm{number + 1}")
    world.faults.lost_writes = world.faults.lost_orders = 0.0
    world.fleet.unreachable = set()
    for worker_id in sorted(world.fleet.workers):
        world.register(worker_id)
    world.run(90.0)
    _assert_all_succeed(world)


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
        gang = _make_step(members, model.Resources(16_000, 32_000, 8), gang=True)
        world.submit(simulation.make_job(f"{number:016x}", gang), route)
        world.run(0.1)
    world.run(60.0)
    _assert_all_succeed(world)


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
    world.submit(simulation.make_job("0" * 16, _make_step(1, whole, gang=True)), route)
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
        gang = _make_step(1, whole, gang=True)
        world.submit(simulation.make_job(f"{number:016x}", gang), route)
    world.run(2.0)
    assert world.fleet.workers["w3"].highest_run_numbers == tried
    assert world.fleet.violations == []


def test_holder_reports_only_stored_status():
    """Guards against reporting an outcome to callers that the next holder does not know."""
    world = simulation.World(1)
    world.submit(simulation.make_job("0" * 16, _make_step()))
    holder = world.claim_term("a")
    world.run(0.8)
    assert holder.find_status("0" * 16) == world.read_status("0" * 16)
    assert holder.find_status("1" * 16) is None
    world.faults.refused_vms = {"a"}
    world.run(1.2)
    assert holder.find_status("0" * 16) == progress.JobStatus(None, True)
    world.faults.refused_vms = set()
    world.run(1.0)
    assert holder.find_status("0" * 16).outcome is model.Outcome.SUCCEEDED


def test_release_during_a_write():
    """Guards against placed work that is never ordered, and a release that is never written.

    The holder releases its term while an intention is being written.
    """
    world = simulation.World(1)
    holder = world.claim_term("a")
    world.run(1.0)
    world.faults.transaction_s = 0.3
    world.submit(simulation.make_job("0" * 16, _make_step(2)))
    world.run(0.2)
    assert not world.fleet.starts
    holder.release()
    world.run(1.2)
    assert sum(world.fleet.starts.values()) == 2
    heartbeat = tables.decode_heartbeat(world.store.rows[tables.HEARTBEAT].value)
    assert heartbeat.is_released


def test_failed_writes_are_retried_with_a_delay():
    """Guards against one write per report while the store refuses the holder."""
    world = simulation.World(1)
    world.fleet.work_s = 0.5
    world.submit(simulation.make_job("0" * 16, _make_step(40)))
    world.claim_term("a")
    world.run(1.0)
    world.faults.refused_vms = {"a"}
    world.lines.clear()
    world.run(3.0)
    failed = sum(b"write_failed" in line for line in world.lines)
    assert 3 <= failed <= 3.0 / scheduler.WRITE_RETRY_S + 1


def test_holder_that_cannot_renew_does_not_report_the_term():
    """Guards against peers that wait for a holder which the store refuses."""
    world = simulation.World(1)
    holder = world.claim_term("a")
    world.run(1.0)
    assert holder.holds_term(1)
    assert not holder.holds_term(2)
    world.faults.refused_vms = {"a"}
    world.run(terms.MAX_RENEWAL_AGE_S + 1.0)
    assert not holder.holds_term(1)


def test_release_under_continuous_ends_of_runs():
    """Guards against a holder that is shut down but never releases its term.

    Load pattern: tasks end every few milliseconds while each write takes 0.3 s.
    """
    world = simulation.World(1)
    world.fleet.work_s = 0.3
    for number in range(8):
        world.submit(simulation.make_job(f"{number:016x}", _make_step(200)))
    holder = world.claim_term("a")
    world.run(1.0)
    world.faults.transaction_s = 0.3
    world.run(0.5)
    holder.release()
    world.run(1.3)
    assert tables.decode_heartbeat(world.store.rows[tables.HEARTBEAT].value).is_released
    assert world.fleet.violations == []
