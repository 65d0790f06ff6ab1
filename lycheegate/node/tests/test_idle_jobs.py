"""Jobs that have nothing running although a task of theirs could run (docs/incidents)."""

import json
import types

import pytest
import werkzeug.test

from lycheegate.jobs import model, runs, state
from lycheegate.jobs import waiting as waiting_checks
from lycheegate.metrics import duration_errors, histograms
from lycheegate.node import daemon, exchange, tables
from lycheegate.node.tests import fake_workers, simulation
from lycheegate.platform import workers as worker_calls

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


def test_run_that_was_stopped_before_it_began_ends_with_the_stop():
    """Guards against a task that waits two reports for the end of a run that never began.

    Its start order is not answered, so it is stopped. A worker that is not aware of the run lists
    no end of it, and a report that was requested before the stop proves nothing.
    """
    world = simulation.World(1)
    world.fleet.work_s = 20.0
    world.claim_term("a")
    world.run(1.0)
    world.faults.late_orders = 1.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while b"start_unanswered" not in b"".join(world.lines):
        world.run(0.01)
    world.faults.late_orders = 0.0
    world.run(state.Policy().stop_retry_s + 0.5)
    assert len(world.fleet.starts) == 1


def test_job_does_not_stay_idle_for_the_rack_of_its_data():
    """Guards against a job with nothing running while most of the workers are free.

    All workers in the rack of its data are in use for long, and it waits for room there.
    """
    world = simulation.World(1, worker_count=12)
    world.fleet.work_s = 30.0
    world.claim_term("a")
    whole = simulation.make_step(1, simulation.WHOLE, label="r0")
    for number in range(3):
        world.submit(simulation.make_job(f"{number + 1:016x}", whole))
    world.run(2.0)
    check = world.watch_idleness()
    step = model.Step(2, simulation.SMALL, estimate_s=11.0, near_rack="r0")
    world.submit(simulation.make_job(JOB_ID, step))
    world.run(12.0)
    assert check.found == {}


def _depart(world: simulation.World, worker_id: str = "") -> None:
    """Lets a worker, or the busy one, leave with its registration; it answers no call any more."""
    departed = worker_id or world.fleet.find_busy_worker()
    world.fleet.workers[departed].reset()
    world.fleet.refusing.add(departed)
    world.fleet.unreachable.add(departed)
    world.unregister(departed)


@pytest.mark.parametrize(
    ("silent_s", "is_released"), [(0.0, False), (0.0, True), (3.0, False), (3.0, True), (6.0, True)]
)
def test_run_on_a_departed_worker_does_not_outlast_its_lease_by_a_change_of_the_holder(
    silent_s, is_released
):
    """Guards against a job that stays idle because the holder changes after its worker has left.

    The next holder does not see when the previous one renewed the lease for the last time.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    first = world.claim_term("a")
    world.run(2.0)
    _depart(world)
    world.run(silent_s)
    if is_released:
        first.release()
        world.run(0.1)
    else:
        first.stop("killed")
    world.claim_term("b")
    check = world.watch_idleness()
    world.run(20.0)
    assert check.found == {}


@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
def test_ends_of_leases_on_a_departing_worker_outlast_a_holder_that_is_lost_soon(phase_s):
    """Guards against a job that stays idle because its holder is lost soon after an announcement.

    The worker announces its departure, and the holder is lost before its next heartbeat is due.
    The worker has left when the next holder begins. The parameter is the time of the announcement
    relative to the heartbeats.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    holder = world.claim_term("a")
    world.run(2.0 + phase_s)
    departing = world.fleet.find_busy_worker()
    world.register(departing, draining=True, remaining_ms=2_000)
    while b"worker_draining" not in b"".join(world.lines):
        world.run(0.01)
    world.run(0.1)
    holder.stop("killed")
    world.run(2.0)
    _depart(world, departing)
    world.run(0.5)
    world.claim_term("b")
    check = world.watch_idleness()
    world.run(20.0)
    assert check.found == {}
    assert world.fleet.violations == []


@pytest.mark.parametrize("is_released", [True, False])
def test_run_on_a_departed_worker_ends_in_spite_of_many_changes_of_the_holder(is_released):
    """Guards against a wait for the leases of earlier holders that each change begins anew.

    All VMs are restarted one after another, as for an update, and the term with them.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    holder = world.claim_term("vm0")
    world.run(2.0)
    _depart(world)
    world.run(3.0)
    check = world.watch_idleness()
    for number in range(1, 11):
        if is_released:
            holder.release()
            world.run(0.1)
        else:
            holder.stop("killed")
        holder = world.claim_term(f"vm{number}")
        world.run(2.0)
    assert check.found == {}


def test_holder_renews_no_lease_whose_end_it_has_told_the_next_one():
    """Guards against a second run of a task on a worker that was cut off and is back.

    The holder tells when the leases end on a worker that has disappeared from the registry and
    whose answers are lost. It is then cut off from the store itself, while the worker answers it
    again. The next holder does not know the worker's address.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.claim_term("a")
    world.run(2.0)
    departed = world.fleet.find_busy_worker()
    world.fleet.answers_lost.add(departed)
    world.unregister(departed)
    world.run(4.5)
    world.faults.refused_vms.add("a")
    world.fleet.answers_lost.clear()
    world.run(2.0)
    world.claim_term("b")
    world.run(10.0)
    assert world.fleet.starts[model.TaskKey(JOB_ID, 0, 0, 0)] == 2
    assert world.fleet.violations == []


def test_holder_renews_no_lease_once_it_may_have_released_the_term():
    """Guards against a second run of a task after a release whose answer was lost.

    The next holder does not know the worker, which has disappeared from the registry, and relies on
    the end of the leases that the release names.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    first = world.claim_term("a")
    world.run(2.0)
    world.unregister(world.fleet.find_busy_worker())
    world.run(0.2)
    world.faults.lost_writes = 1.0
    first.release()
    world.run(0.1)
    world.faults.lost_writes = 0.0
    world.faults.refused_vms.add("a")
    world.claim_term("b")
    world.run(9.0)
    assert world.fleet.starts[model.TaskKey(JOB_ID, 0, 0, 0)] == 2
    assert world.fleet.violations == []


@pytest.mark.parametrize("seed", range(25))
def test_no_task_runs_twice_when_departed_workers_come_back(seed):
    """Guards against a task that starts elsewhere while a worker that was cut off still runs it.

    Workers disappear from the registry while they run on, holders release the term, are killed or
    are cut off from the store, and calls arrive late.
    """
    world = simulation.World(3000 + seed)
    draw = world.generator
    world.fleet.work_s = 12.0
    world.fleet.clock_ratio = draw.choice([1.0, 0.98])
    vm = "vm0"
    holder = world.claim_term(vm)
    for number in range(16):
        if number < 8:
            steps = (simulation.make_step(draw.randint(1, 5), gang=draw.random() < 0.3),)
            world.submit(simulation.make_job(f"{number:016x}", *steps))
        world.faults.lost_writes = draw.choice([0.0, 0.3])
        world.faults.late_writes = draw.choice([0.0, 0.3])
        world.faults.late_orders = draw.choice([0.0, 0.1])
        world.fleet.unreachable = {w for w in world.fleet.workers if draw.random() < 0.3}
        for worker_id in sorted(world.fleet.workers):
            if worker_id in world.fleet.unreachable and draw.random() < 0.8:
                world.unregister(worker_id)
            else:
                world.register(worker_id)
        world.run(draw.uniform(0.5, 5.0))
        if draw.random() < 0.6:
            match draw.choice(["release", "kill", "cut_off", "none"]):
                case "release":
                    holder.release()
                    world.run(draw.uniform(0.02, 0.6))
                case "kill":
                    holder.stop("killed")
                case "cut_off":
                    # It still reaches the workers.
                    world.faults.refused_vms = {vm}
                    world.run(2.0)
            vm = f"vm{number + 1}"
            holder = world.claim_term(vm)
    world.faults.lost_writes = world.faults.late_writes = world.faults.late_orders = 0.0
    world.fleet.unreachable = set()
    for worker_id in sorted(world.fleet.workers):
        world.register(worker_id)
    world.run(120.0)
    simulation.assert_all_succeed(world)


def _find_exceeding_leases(world: simulation.World) -> list[str]:
    """Returns the workers whose lease lasts longer than the next holder would assume now."""
    if tables.LEASES not in world.store.rows:
        return []
    ends = tables.decode_lease_ends(world.store.rows[tables.LEASES].value)
    beat = tables.decode_heartbeat(world.store.rows[tables.HEARTBEAT].value)
    if (ends.epoch, ends.sent_at_ms) != (beat.epoch, beat.sent_at_ms):
        return []
    found = []
    for worker_id, told_ms in ends.workers.items():
        worker = world.fleet.workers[worker_id]
        remaining_ms = (worker.deadline_ms - worker.clock_ms()) / world.fleet.clock_ratio
        if 1000.0 * world.loop.now_s + remaining_ms > told_ms + 1.0 and remaining_ms > 0.0:
            found.append(worker_id)
    return found


@pytest.mark.parametrize("seed", range(15))
def test_no_task_runs_twice_when_workers_stay_beyond_their_departure(seed):
    """Guards against leases that a holder renews beyond what it has told the next one.

    Workers announce their departure, disappear from the registry and run on. The holder is cut off
    from the store while it reaches them, and the next holder does not know their addresses. At any
    time, each lease ends by what the stored row tells.
    """
    world = simulation.World(5000 + seed)
    exceeding: set[str] = set()

    def check() -> None:
        exceeding.update(_find_exceeding_leases(world))
        world.loop.call_later(0.02, check)

    check()
    draw = world.generator
    world.fleet.work_s = 30.0
    world.fleet.clock_ratio = draw.choice([1.0, 0.98])
    for number in range(4):
        steps = (simulation.make_step(draw.randint(1, 4), gang=draw.random() < 0.3),)
        world.submit(simulation.make_job(f"{number:016x}", *steps))
    world.claim_term("vm0")
    for number in range(8):
        world.run(draw.uniform(1.0, 3.0))
        leaving = draw.sample(sorted(world.fleet.workers), 2)
        for worker_id in leaving:
            world.register(worker_id, draining=True, remaining_ms=draw.randint(500, 4_000))
        world.run(draw.uniform(0.3, 1.2))
        for worker_id in leaving:
            world.unregister(worker_id)
        world.run(draw.choice([0.0, 0.1, 0.5, 1.5]))
        # It still reaches the workers.
        world.faults.refused_vms.add(f"vm{number}")
        world.run(draw.uniform(3.0, 6.0))
        world.claim_term(f"vm{number + 1}")
        world.run(draw.uniform(3.0, 9.0))
        for worker_id in leaving:
            world.register(worker_id)
    world.run(120.0)
    assert exceeding == set()
    simulation.assert_all_succeed(world)


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
        assert 2.0 <= record["silent_s"] <= 6.0 + waiting_checks.CHECK_INTERVAL_S
        assert 0.0 < record["load"] < 0.5
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


def test_lasting_task_does_not_stay_idle_for_the_rack_of_its_data():
    """Guards against a lasting task that waits for a rack while others of its job run.

    Such a task must not be idle for 3 s from 6 s after its last run, whatever else its job runs.
    """
    world = simulation.World(1, worker_count=12)
    world.claim_term("a")
    step = model.Step(
        2, simulation.WHOLE, estimate_s=60.0, near_rack="r0", long_running=True, max_per_worker=1
    )
    world.submit(simulation.make_job(JOB_ID, step))
    world.run(1.0)
    busy = [w for w, worker in world.fleet.workers.items() if worker.live]
    assert len(busy) == 2
    world.fleet.work_s = 200.0
    filler = simulation.make_step(1, simulation.WHOLE, label="r0")
    world.submit(simulation.make_job(f"{1:016x}", filler))
    world.run(1.0)
    world.fleet.unreachable.add(busy[0])
    world.unregister(busy[0])
    world.run(7.0 + 6.0 + 3.0)
    assert sum(world.fleet.starts[task] for task in world.fleet.starts if task.job_id == JOB_ID) > 2


@pytest.mark.parametrize("is_released", [True, False])
@pytest.mark.parametrize("held_s", [0.0, 0.002, 0.3])
def test_ends_of_leases_outlast_a_holder_that_is_lost_soon_after_its_claim(held_s, is_released):
    """Guards against ends of leases that a claim makes unknown, as it replaces the heartbeat.

    The second holder is lost before it has told any itself.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    first = world.claim_term("a")
    world.run(2.0)
    _depart(world)
    world.run(3.5)
    if is_released:
        first.release()
        world.run(0.1)
    else:
        first.stop("killed")
    second = world.claim_term("b")
    world.faults.lost_writes = 1.0
    world.run(held_s)
    second.stop("killed")
    world.faults.lost_writes = 0.0
    world.claim_term("c")
    check = world.watch_idleness()
    world.run(20.0)
    assert check.found == {}
    assert world.fleet.violations == []


@pytest.mark.parametrize("is_released", [True, False])
def test_claimant_grants_no_lease_beyond_the_ends_that_its_claim_has_told(is_released):
    """Guards against a second run of a task on a worker that is back under the next holder.

    That holder cannot store a heartbeat, so the third one relies on what the claim has told.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    first = world.claim_term("a")
    world.run(2.0)
    cut_off = world.fleet.find_busy_worker()
    if is_released:
        first.release()
        world.run(0.1)
    else:
        world.fleet.answers_lost.add(cut_off)
        world.unregister(cut_off)
        world.run(4.0)
        first.stop("killed")
        world.fleet.answers_lost.clear()
        world.register(cut_off)
    second = world.claim_term("b")
    world.store.rejected_keys.add(tables.HEARTBEAT)
    world.run(4.5)
    second.stop("killed")
    world.store.rejected_keys.clear()
    world.fleet.unreachable.add(cut_off)
    world.unregister(cut_off)
    world.claim_term("c")
    world.run(15.0)
    assert world.fleet.violations == []
    assert world.fleet.starts[model.TaskKey(JOB_ID, 0, 0, 0)] == 2


@pytest.mark.parametrize("is_released", [False, True], ids=["killed", "released"])
def test_term_tells_for_how_many_runs_the_end_of_leases_is_known(is_released):
    """Guards against a take-over whose log cannot tell whether runs are waited for anew.

    One of two workers with runs leaves before the holder is lost. Only its end of leases is in the
    row then; a holder that releases its term tells the ends of all.
    """
    world = simulation.World(1)
    world.fleet.work_s = 20.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2, max_per_worker=1)))
    first = world.claim_term("a")
    world.run(2.0)
    departed = world.fleet.find_busy_worker()
    world.fleet.answers_lost.add(departed)
    world.unregister(departed)
    world.run(4.0)
    if is_released:
        first.release()
        world.run(0.5)
    else:
        first.stop("killed")
    world.claim_term("b")
    world.run(1.0)
    records = [r for r in _list_records(world, "term_loaded") if r["node"] == "b"]
    counts = [(r["runs"], r["runs_with_lease_end"], r["runs_without_lease_end"]) for r in records]
    assert counts == [(2, 2, 0) if is_released else (2, 1, 1)]


def _read_metrics(term, monkeypatch, now_s: float) -> dict[str, float]:
    """Returns the gauges of idle jobs on the metrics address of a VM with a scheduler, or none."""
    vm = types.SimpleNamespace(
        _scheduler=term,
        _log=types.SimpleNamespace(counts={}),
        _histograms=histograms.Histograms(),
        _application=types.SimpleNamespace(refusals={}),
        _duration_errors=duration_errors.DurationErrors(),
    )
    vm._format_idle_jobs = lambda: daemon.Daemon._format_idle_jobs(vm)
    monkeypatch.setattr(daemon, "read_boottime_s", lambda: now_s)
    client = werkzeug.test.Client(
        lambda environ, start: daemon.Daemon._answer_readiness(vm, environ, start)
    )
    text = client.get(daemon.METRICS_PATH).text
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if line]
    gauges = ("lycheegate_idle_", "lycheegate_waiting_")
    return {name: float(value) for name, value in lines if name.startswith(gauges)}


def test_metrics_show_jobs_that_have_nothing_running(monkeypatch):
    """Guards against an incident that the metrics of the holder do not show.

    All workers are in use for long when three more jobs arrive. A VM that holds no term shows no
    gauges, since the sum over all VMs would be wrong otherwise.
    """
    world = simulation.World(1, worker_count=1)
    world.fleet.work_s = 60.0
    term = world.claim_term("a")
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2, simulation.WHOLE)))
    world.run(1.0)
    for number in range(1, 4):
        step = simulation.make_step(1, simulation.WHOLE)
        world.submit(simulation.make_job(f"{number:016x}", step))
    world.run(6.0)
    found = _read_metrics(term, monkeypatch, world.loop.now_s)
    assert found["lycheegate_idle_jobs"] == 3
    assert found['lycheegate_waiting_jobs{reason="no_room"}'] == 3
    assert found['lycheegate_waiting_jobs{reason="worker_silent"}'] == 0
    assert 4.5 <= found["lycheegate_idle_longest_seconds"] <= 6.0
    assert 0.0 <= found["lycheegate_idle_check_age_seconds"] <= 1.5
    later = _read_metrics(term, monkeypatch, world.loop.now_s + 30.0)
    assert later["lycheegate_idle_check_age_seconds"] >= 30.0
    assert _read_metrics(None, monkeypatch, world.loop.now_s) == {}
    assert _read_metrics(world.claim_term("b"), monkeypatch, world.loop.now_s) == {}


@pytest.mark.parametrize("registry_s", [0.0, 0.05])
@pytest.mark.parametrize(
    "changes",
    [[("kill", 2.3, 6.0)], [("release", 0.1, 1.5), ("kill", 1.5, 6.0)]],
    ids=["killed", "released_and_killed"],
)
@pytest.mark.parametrize("phase_s", [3.0, 3.2, 3.4, 3.6, 3.8, 4.0, 4.2])
def test_leases_of_listed_workers_outlast_changes_of_the_holder(phase_s, changes, registry_s):
    """Guards against runs that lapse since a new holder withholds leases for too long.

    Its first heartbeat with the jobs must not tell ends of leases on workers only because the
    registry has not been read yet, and a poll that renews no lease must not wait for long.

    Args:
        phase_s: Time from the first claim to the first change.
        changes: How each holder ends, the time to the next claim, and how long that term lasts.
        registry_s: Additional time to read the registry.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    world.faults.read_delays_s = {worker_calls.REGISTRY_TABLE: registry_s}
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(12, max_per_worker=2)))
    holder = world.claim_term("vm0")
    world.run(phase_s)
    for number, (end, gap_s, held_s) in enumerate(changes):
        if end == "kill":
            holder.stop("killed")
        else:
            holder.release()
        world.run(gap_s)
        holder = world.claim_term(f"vm{number + 1}")
        world.run(held_s)
    assert set(world.fleet.starts.values()) == {1}
    assert sum(worker.count_live() for worker in world.fleet.workers.values()) == 12


@pytest.mark.parametrize("registry_s", [0.0, 0.02, 0.1])
def test_new_holder_starts_tasks_beside_runs_that_it_has_taken_over(registry_s):
    """Guards against starts that are refused until the second heartbeat of a term.

    Load pattern: all workers have runs when the holder changes, and an urgent job arrives.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    world.faults.read_delays_s = {worker_calls.REGISTRY_TABLE: registry_s}
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(12, max_per_worker=2)))
    first = world.claim_term("a")
    world.run(3.0)
    first.stop("killed")
    world.claim_term("b")
    job_id = "1" * 16
    step = simulation.make_step(6, max_per_worker=1)
    world.submit(simulation.make_job(job_id, step, route="urgent"), world.urgent)
    world.run(registry_s + 0.1)
    assert sum(task.job_id == job_id for task in world.fleet.starts) == 6
    assert b"start_refused" not in b"".join(world.lines)


@pytest.mark.parametrize("is_registered", [True, False])
def test_end_of_a_run_tells_since_when_its_worker_was_lost(is_registered):
    """Guards against a job that stands still for longer than 3 s without a sign in any line.

    The holder believes in the run of a lost worker until its lease has expired.
    """
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.claim_term("a")
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(3.0)
    departed = world.fleet.find_busy_worker()
    world.fleet.workers[departed].reset()
    world.fleet.refusing.add(departed)
    world.fleet.unreachable.add(departed)
    if not is_registered:
        world.unregister(departed)
    lost_at_s = world.loop.now_s
    world.run(9.0)
    (ended,) = _list_records(world, "run_ended")
    assert (ended["end"], ended["worker"]) == ("lease_lapsed", departed)
    silent_since_s = ended["t"] - ended["silent_s"]
    # The last report before it may be as old as the time that a poll waits.
    assert lost_at_s - exchange.REPORT_WAIT_S - 0.5 <= silent_since_s <= lost_at_s + 0.5
