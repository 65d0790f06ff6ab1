"""The scheduler with fakes of the store and the workers: jobs, priorities, holders."""

import pytest

from lycheegate.jobs import model, progress, state
from lycheegate.node import tables, term_writer, terms
from lycheegate.node.tests import simulation


@pytest.mark.parametrize(
    ("steps", "occurrences"),
    [
        ((simulation.make_step(),), 1),
        ((simulation.make_step(4), simulation.make_step(2, depends_on=(0,))), 1),
        ((simulation.make_step(4, simulation.WHOLE, gang=True, same_rack=False),), 1),
        ((simulation.make_step(2, simulation.WHOLE, gang=True, same_rack=True),), 1),
        ((simulation.make_step(40, checkpoints=True),), 1),
        ((simulation.make_step(2, max_per_worker=1),), 1),
        ((simulation.make_step(2, near_rack="r1"),), 1),
        ((simulation.make_step(2),), 3),
    ],
)
def test_job_without_faults(steps, occurrences):
    """Guards against a kind of step that does not complete even without faults."""
    world = simulation.World(1)
    times = {"start_at_s": 101.0, "interval_s": 2.0} if occurrences > 1 else {}
    world.submit(simulation.make_job("0" * 16, *steps, occurrences=occurrences, **times))
    world.claim_term("a")
    world.run(30.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == occurrences * sum(step.count for step in steps)


def test_cancel():
    """Guards against tasks that continue or start after their job was cancelled."""
    world = simulation.World(1)
    world.fleet.work_s = 100.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(60)))
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
    world.submit(simulation.make_job("0" * 16, simulation.make_step()))
    world.claim_term("a")
    world.run(60.0)
    assert world.read_status("0" * 16).outcome is model.Outcome.FAILED
    assert sum(world.fleet.starts.values()) == world.route.max_attempts


def test_new_holder_keeps_runs():
    """Guards against a new holder that starts tasks again while they still run."""
    world = simulation.World(1)
    world.fleet.work_s = 4.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(8)))
    first = world.claim_term("a")
    world.run(1.5)
    first.stop("killed")
    world.run(1.0)
    world.claim_term("b")
    world.run(6.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 8


def test_claim_answered_after_a_pause_renews_no_lease():
    """Guards against a paused VM that renews leases although its term may have been taken over.

    Its claim was answered before the pause. A later holder assumes that no lease is renewed from
    ``Policy.handover_s`` after the claim.
    """
    world = simulation.World(1, worker_count=2)
    world.fleet.work_s = 1000.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
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


def test_replaced_holder_starts_nothing():
    """Guards against a previous holder that starts tasks after another VM claimed the term."""
    world = simulation.World(1)
    world.claim_term("a")
    world.run(1.0)
    world.claim_term("b")
    for number in range(5):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(3)))
    world.run(20.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 15


def test_urgent_gang_preempts():
    """Guards against urgent work that waits for long-running work.

    Load pattern: an urgent gang job arrives while all workers are in use.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(48, checkpoints=True)))
    world.claim_term("a")
    world.run(3.0)
    job = simulation.make_job(
        "1" * 16, simulation.make_step(2, simulation.WHOLE, gang=True), route="urgent"
    )
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
    world.submit(simulation.make_job(job_id, simulation.make_step()))
    holder.apply_notified_row(world.store.rows[simulation.tables.get_job_key(job_id)])
    world.run(0.2)
    assert sum(world.fleet.starts.values()) == 1
    world.faults.silent_feeds = False
    world.run(5.0)
    simulation.assert_all_succeed(world)
    assert sum(world.fleet.starts.values()) == 1


def test_urgent_work_is_not_preempted_first():
    """Guards against guaranteed work that preempts other urgent work.

    Load pattern: a burst of guaranteed and other urgent jobs.
    """
    world = simulation.World(1, worker_count=2)
    world.configuration = simulation.make_configuration(world.route, world.urgent, guaranteed=8)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1, simulation.WHOLE)))
    world.claim_term("a")
    world.run(2.0)
    world.submit(
        simulation.make_job(
            "1" * 16, simulation.make_step(1, simulation.WHOLE), route="urgent", account="other"
        ),
        world.urgent,
    )
    world.run(1.0)
    world.submit(
        simulation.make_job("2" * 16, simulation.make_step(1, simulation.WHOLE), route="urgent"),
        world.urgent,
    )
    world.run(2.0)
    live = {task.job_id[0] for w in world.fleet.workers.values() for task in w.live}
    assert live == {"1", "2"}


def test_guaranteed_work_does_not_wait_for_runs_near_their_end():
    """Guards against guaranteed work that starts late.

    Load pattern: runs that seem about to end make no progress.
    """
    world = simulation.World(1, worker_count=1)
    world.fleet.work_s = 3.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1, simulation.WHOLE)))
    world.claim_term("a")
    world.run(2.9)
    world.submit(
        simulation.make_job("1" * 16, simulation.make_step(1, simulation.WHOLE), route="urgent"),
        world.urgent,
    )
    world.run(0.04)
    (run,) = world.fleet.workers["w0"].live.values()
    assert run.stops_at_s is not None


def test_preempted_run_on_unreachable_worker_is_replaced():
    """Guards against urgent work that waits for a stop order that never reaches its worker."""
    world = simulation.World(1, worker_count=3)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(3, simulation.WHOLE)))
    world.claim_term("a")
    world.run(3.0)
    job_id = "1" * 16
    world.submit(
        simulation.make_job(job_id, simulation.make_step(1, simulation.WHOLE), route="urgent"),
        world.urgent,
    )
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


def test_holder_reports_only_stored_status():
    """Guards against reporting an outcome to callers that the next holder does not know."""
    world = simulation.World(1)
    world.submit(simulation.make_job("0" * 16, simulation.make_step()))
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
    world.submit(simulation.make_job("0" * 16, simulation.make_step(2)))
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
    world.submit(simulation.make_job("0" * 16, simulation.make_step(40)))
    world.claim_term("a")
    world.run(1.0)
    world.faults.refused_vms = {"a"}
    world.lines.clear()
    world.run(3.0)
    failed = sum(b"write_failed" in line for line in world.lines)
    assert 3 <= failed <= 3.0 / term_writer.RETRY_S + 1


def test_holder_that_cannot_renew_does_not_report_the_term():
    """Guards against peers that wait for a holder which the store refuses."""
    world = simulation.World(1)
    holder = world.claim_term("a")
    world.run(1.0)
    assert holder.holds_term(holder.epoch)
    assert not holder.holds_term(holder.epoch + 1)
    world.faults.refused_vms = {"a"}
    world.run(terms.MAX_RENEWAL_AGE_S + 1.0)
    assert not holder.holds_term(holder.epoch)


def test_release_under_continuous_ends_of_runs():
    """Guards against a holder that is shut down but never releases its term.

    Load pattern: tasks end every few milliseconds while each write takes 0.3 s.
    """
    world = simulation.World(1)
    world.fleet.work_s = 0.3
    for number in range(8):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(200)))
    holder = world.claim_term("a")
    world.run(1.0)
    world.faults.transaction_s = 0.3
    world.run(0.5)
    holder.release()
    world.run(1.3)
    assert tables.decode_heartbeat(world.store.rows[tables.HEARTBEAT].value).is_released
    assert world.fleet.violations == []


def test_unanswered_start_is_not_concluded_from_a_pause():
    """Guards against running work that is stopped because its holder was suspended for a moment.

    The process wakes with the answer to a start order in a socket, and its timers run before the
    answer is read.
    """
    world = simulation.World(1)
    world.fleet.work_s = 20.0
    world.claim_term("a")
    world.run(1.0)
    world.faults.lost_orders = 1.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(1)))
    while not world.fleet.starts:
        world.run(0.001)
    world.faults.lost_orders = 0.0
    world.loop.now_s += 1.8
    world.run(3.0)
    assert set(world.fleet.starts.values()) == {1}
    assert b"start_unanswered" not in b"".join(world.lines)
