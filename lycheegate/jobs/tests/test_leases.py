"""Ends of runs whose leases have expired, against a scan of all runs of all jobs."""

import random

import pytest

from lycheegate.jobs import commands, leases, lifecycle, model, runs, state, workers

_CAPACITY = model.Resources(64_000, 64_000, 64)
_NEED = model.Resources(1_000, 1_000, 1)
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
_PHASES = list(state.RunPhase)


def _make_state(seed: int) -> state.SchedulerState:
    """Returns a state with jobs whose runs are on registered and on unknown workers."""
    generator = random.Random(seed)
    current = state.SchedulerState(2, state.Policy(), 10.0)
    for number in range(4):
        worker = state.WorkerState(
            f"w{number}", "render", "a:1", "z", "r0", frozenset(), _CAPACITY, _CAPACITY
        )
        worker.reported_at_s = generator.uniform(10.0, 40.0)
        worker.leases_expire_at_s = generator.uniform(10.0, 40.0)
        current.workers[worker.worker_id] = worker
    for number in range(5):
        step = model.Step(6, _NEED, 9.0, gang=number % 2 == 0)
        job = state.JobState(
            model.Job(f"{number:016x}", "batch", "acme", "x", (step,), 0.0), _ROUTE
        )
        lifecycle.add_job(current, job, 10.0, 10.0)
        for index in range(step.count):
            _add_run(current, job, index, generator)
    return current


def _add_run(current, job, index, generator):
    (step,) = job.steps.values()
    worker = current.workers[f"w{generator.randrange(4)}"]
    run = runs.add_run(current, job, step, index, worker, 1, 10.0)
    run.phase = generator.choice(_PHASES)
    run.phase_began_at_s = generator.choice([9.0, generator.uniform(10.0, 30.0)])
    run.awaits_first_report = run.phase_began_at_s == 9.0
    if run.phase is state.RunPhase.STOPPING:
        run.stop_sent_at_s = generator.uniform(10.0, 30.0)
    if generator.random() < 0.2 and run.phase is not state.RunPhase.INTENDED:
        # An earlier term recorded it on a worker that has not registered since.
        del worker.runs[run.task]
        worker.room = worker.room + run.need
        run.worker_id = "unknown"


def _list_expired(current: state.SchedulerState, now_s: float) -> set[model.TaskKey]:
    """Returns the tasks whose runs must end, from a scan of all runs."""
    expired = set()
    for job in current.jobs.values():
        for run in job.list_runs():
            worker = current.workers.get(run.worker_id)
            expires_at_s = leases.compute_handover_end_s(current)
            if worker is not None:
                expires_at_s = max(worker.leases_expire_at_s, worker.reported_at_s + 1.0)
            if run.phase is not state.RunPhase.INTENDED and now_s > expires_at_s:
                expired.add(run.task)
    return expired


@pytest.mark.parametrize("seed", range(40))
def test_runs_end_once_their_leases_have_expired(seed):
    """Guards against a run that is never given up, or is given up while it may still run.

    The check visits workers, not jobs, so that its time does not grow with the jobs of a day.
    """
    current = _make_state(seed)
    ended = set()
    for tick in range(8):
        now_s = 12.0 + 5.0 * tick
        expected = _list_expired(current, now_s)
        found = {
            (fields["job"], fields["task"])
            for command in leases.check_leases(current, now_s)
            if isinstance(command, commands.Decision) and command.event == "run_ended"
            for fields in [command.fields]
        }
        assert found == {(t.job_id, f"{t.occurrence}.{t.step}.{t.index}") for t in expected}
        assert not found & ended
        ended |= found
    for worker in current.workers.values():
        used = sum(1 for _ in worker.runs)
        assert worker.room.accelerators == _CAPACITY.accelerators - used


@pytest.mark.parametrize("is_registered", [True, False])
def test_stray_run_ends_once_its_lease_has_expired(is_registered):
    """Guards against a task that waits for good for a stray run on a worker that is gone.

    The worker lists the stray in its last report, and no registration changes afterwards.
    """
    current = _make_state(1)
    worker = current.workers["w0"]
    worker.incarnation.confirmed = True
    task = model.TaskKey(f"{0:016x}", 0, 0, 0)
    listed = workers.ListedRun(task, str(task), 9, "", 10)
    workers.apply_report(current, workers.Report("w0", 5_000, 1, (listed,), (), 40.0, 40.0))
    worker.registered = is_registered
    assert current.stray_tasks == {task: 1}
    worker.leases_expire_at_s = 45.0
    leases.check_leases(current, 44.9)
    assert current.stray_tasks == {task: 1}
    current.schedule_due = False
    leases.check_leases(current, 45.1)
    assert current.stray_tasks == {}
    assert worker.room == worker.capacity
    assert current.schedule_due


@pytest.mark.parametrize("seed", range(5))
def test_end_of_a_lease_tells_for_how_long_the_worker_was_silent(seed):
    """Guards against an incident whose log does not tell when a worker with runs was lost.

    A job whose run is believed in has no line of its own until the lease has expired. A worker that
    never registered has been silent since the begin of the term.
    """
    current = _make_state(seed)
    reported_at_s = {name: worker.reported_at_s for name, worker in current.workers.items()}
    seen = set()
    for now_s in (25.0, 45.0):
        for command in leases.check_leases(current, now_s):
            if not isinstance(command, commands.Decision) or command.event != "run_ended":
                continue
            fields = command.fields
            since_s = reported_at_s.get(fields["worker"], current.began_at_s)
            assert fields["silent_s"] == round(now_s - since_s, 3)
            seen.add(fields["end"])
    assert seen == {"lease_lapsed", "worker_unlisted"}


def test_only_departures_that_no_heartbeat_has_told_are_urgent():
    """Guards against a heartbeat at each change of the registry while workers depart.

    What has been told, workers without runs and departures beyond the size of the row do not count.
    """
    current = _make_state(1)
    assert not leases.has_untold_departure(current)
    worker = next(w for w in current.workers.values() if w.runs)
    worker.draining, worker.leaves_at_s = True, 50.0
    assert leases.has_untold_departure(current)
    current.lease_limits = leases.list_lease_limits(current, 40.0, frozenset())
    assert not leases.has_untold_departure(current)
    current.lease_limits = {f"x{number}": 50.0 for number in range(leases.MAX_LISTED_WORKERS - 1)}
    assert leases.has_untold_departure(current)
    current.withheld_leases = frozenset({"y"})
    assert not leases.has_untold_departure(current)
    current.lease_limits, current.withheld_leases = {}, frozenset({worker.worker_id})
    assert not leases.has_untold_departure(current)
    current.withheld_leases = frozenset()
    worker.runs.clear()
    worker.strays.clear()
    assert not leases.has_untold_departure(current)
