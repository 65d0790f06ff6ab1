"""Cases in which preferences do not give way although they must, or do although they must not."""

import pytest

from lycheegate.jobs import model, runs, starvation, state
from lycheegate.jobs.tests import speeds

_NOW_S = 1000.0
_READY_S = _NOW_S - 30.0


def _make_state(rooms, rack_size=100):
    current = speeds.make_state(rooms, rack_size)
    current.began_at_s = _NOW_S - 100.0
    return current


def _add_waiting(current, job_id, step, route="batch", accepted_s=_READY_S):
    job = speeds.add_job(current, job_id, route, step, accepted_s)
    job.steps[0, 0].ready_since_s = _READY_S
    return job


def _run_passes(current, count=8):
    for number in range(count):
        speeds.schedule(current, _NOW_S + 0.25 * number)


def test_vain_searches_do_not_use_up_those_of_each_pass():
    """Guards against work that cannot start and is searched for again in each pass.

    The workers that it needs do not answer. Each step is searched for by itself, as it limits its
    tasks per worker.
    """
    current = _make_state([8] * 10, rack_size=4)
    for worker_id in ("w0", "w1", "w2", "w3"):
        current.workers[worker_id].room = model.Resources()
    for worker_id in ("w7", "w8", "w9"):
        current.workers[worker_id].labels = frozenset({"big"})
        current.workers[worker_id].unreachable_until_s = _NOW_S + 60.0
    for number in range(2 * starvation.MAX_SEARCHES):
        step = model.Step(1, speeds.make_need(1), 60.0, label="big", max_per_worker=1)
        _add_waiting(current, f"a{number:03}", step)
    step = model.Step(1, speeds.make_need(1), 60.0, near_rack="r0", max_per_worker=1)
    job = _add_waiting(current, "z", step, accepted_s=_READY_S - 100.0)
    _run_passes(current)
    assert len(job.list_runs()) == 1


@pytest.mark.parametrize("max_per_worker", [0, 1])
def test_work_that_fits_nowhere_does_not_use_up_the_searches_of_each_pass(max_per_worker):
    """Guards against a limit of searches that the same work reaches in each pass.

    Nothing of it ever starts, so the work that ranks after it is not searched for in later passes
    either.
    """
    current = _make_state([8] * 6, rack_size=2)
    for worker_id in ("w0", "w1"):
        current.workers[worker_id].room = model.Resources()
    for number in range(starvation.MAX_SEARCHES):
        need = model.Resources(1_000 + number, 300_000, 1)
        step = model.Step(1, need, 60.0, max_per_worker=max_per_worker)
        _add_waiting(current, f"a{number:03}", step)
    step = model.Step(1, speeds.make_need(8), 60.0, near_rack="r0")
    job = _add_waiting(current, "z", step, accepted_s=_READY_S - 100.0)
    _run_passes(current)
    assert len(job.list_runs()) == 1


def _occupy_accelerators(current, worker_ids):
    """Lets tasks that need few cores use all accelerators of workers."""
    for worker_id in worker_ids:
        worker = current.workers[worker_id]
        worker.room = worker.room - model.Resources(4_000, 8_000, 8)


def test_gang_keeps_its_reservation_on_a_service_whose_accelerators_are_in_use():
    """Guards against a gang that never starts, as smaller work takes each worker that gets free.

    Nine of ten workers have no free accelerator, and the tenth is reserved for the gang.
    """
    current = _make_state([8] * 10)
    _occupy_accelerators(current, list(current.workers)[:9])
    need = model.Resources(4_000, 8_000, 8)
    gang = _add_waiting(current, "gang", model.Step(2, need, 60.0, gang=True), "gang")
    current.reservations["gang", 0, 0, -1] = state.Reservation(
        {0: "w9", 1: "w0"}, need, _NOW_S + 15.0, False
    )
    small = _add_waiting(current, "small", model.Step(1, need, 60.0))
    _run_passes(current, 1)
    assert gang.list_runs() == []
    assert small.list_runs() == []


def test_gang_does_not_span_racks_on_a_service_whose_accelerators_are_in_use():
    """Guards against gangs that run three times slower because free cores count as light load."""
    current = _make_state([8] * 12, rack_size=4)
    busy = [w for w in current.workers if int(w[1:]) % 4]
    _occupy_accelerators(current, busy)
    need = model.Resources(4_000, 8_000, 8)
    step = model.Step(2, need, 60.0, gang=True, same_rack=True)
    gang = _add_waiting(current, "gang", step, "gang")
    _run_passes(current, 1)
    assert gang.list_runs() == []


def test_error_in_a_search_does_not_release_the_reserved_room(monkeypatch):
    """Guards against work that takes room of gangs since a search before it has raised.

    The search adds reserved room back for its own duration only.
    """
    current = _make_state([8] * 5)
    for number in range(2):
        current.workers[f"w{number}"].room = model.Resources()
    need = speeds.make_need(8)
    _add_waiting(current, "gang", model.Step(4, need, 60.0, gang=True), "gang")
    current.reservations["gang", 0, 0, -1] = state.Reservation(
        {0: "w2", 1: "w3", 2: "w4", 3: "w0"}, need, _NOW_S + 15.0, False
    )
    _add_waiting(current, "poor", model.Step(1, need, 60.0))
    smaller = model.Step(1, speeds.make_need(4), 60.0)
    fresh = _add_waiting(current, "z", smaller, accepted_s=_READY_S - 100.0)
    fresh.steps[0, 0].ready_since_s = _NOW_S

    original = starvation._choose

    def choose(context, unit):
        if unit.job.job.job_id == "poor":
            raise ValueError("no choice")
        return original(context, unit)

    monkeypatch.setattr(starvation, "_choose", choose)
    _run_passes(current, 1)
    assert {subject[:2] for subject in current.errors} == {("place", "poor")}
    assert fresh.list_runs() == []


def test_last_attempt_does_not_wait_for_good_beside_a_worker_on_which_it_failed():
    """Guards against a task that stands still for as long as a lasting task is on a third worker.

    Its label names three workers. It failed on two of them long ago, and the third is in use by a
    task that lasts. No worker is suspected or quarantined.
    """
    current = _make_state([8] * 8)
    for number in range(3):
        current.workers[f"w{number}"].labels = frozenset({"big"})
    current.workers["w2"].room = model.Resources()
    job = _add_waiting(current, "job", model.Step(1, speeds.make_need(1), 1.0, label="big"))
    step = job.steps[0, 0]
    step.failures[0], step.run_numbers[0] = 2, 2
    step.avoided_workers = {"w0", "w1"}
    _run_passes(current, 40)
    assert len(job.list_runs()) == 1


@pytest.mark.parametrize("is_last_attempt", [False, True])
def test_work_that_needs_sound_workers_does_not_wait_for_a_quarantine_of_all(is_last_attempt):
    """Guards against a gang or a last attempt that stands for 20 s beside quarantined workers.

    Nothing else waits that could prove one of them sound.
    """
    current = _make_state([8] * 8)
    for worker in list(current.workers.values())[3:]:
        worker.quarantined_until_s = _NOW_S + 20.0
    for worker_id in ("w0", "w1", "w2"):
        current.workers[worker_id].room = model.Resources()
    if is_last_attempt:
        job = _add_waiting(current, "job", model.Step(1, speeds.make_need(8), 1.0))
        job.steps[0, 0].failures[0] = 2
    else:
        step = model.Step(2, speeds.make_need(8), 1.0, gang=True)
        job = _add_waiting(current, "job", step, "gang")
    _run_passes(current)
    assert job.list_runs() != []


def test_gang_does_not_stand_still_beside_workers_that_are_only_suspected():
    """Guards against a gang that stands for 10 s as sound workers could hold it but are in use."""
    current = _make_state([8] * 8)
    for worker_id in ("w0", "w1", "w2"):
        current.workers[worker_id].room = model.Resources()
    for worker in list(current.workers.values())[3:]:
        worker.suspected_until_s = _NOW_S + 10.0
    gang = _add_waiting(current, "job", model.Step(2, speeds.make_need(8), 1.0, gang=True), "gang")
    _run_passes(current)
    assert len(gang.list_runs()) == 2


def test_absence_of_a_lasting_task_begins_when_it_may_start():
    """Guards against a lasting task that takes reserved room in the moment it becomes ready."""
    current = _make_state([8])
    first = model.Step(1, speeds.make_need(1), 60.0)
    lasting = model.Step(1, speeds.make_need(1), 60.0, long_running=True, depends_on=(0,))
    job = model.Job("job", "batch", "acme", "x", (first, lasting), _NOW_S - 60.0)
    current.jobs["job"] = job_state = state.JobState(job, speeds.ROUTES["batch"])
    for number, step in enumerate(job.steps):
        job_state.steps[0, number] = state.StepState((0, number), step)
    job_state.next_occurrence = 1
    speeds.schedule(current, _NOW_S - 50.0)
    run = job_state.steps[0, 0].runs[0]
    runs.end_run(current, run, runs.End.DONE, "", _NOW_S)
    speeds.schedule(current, _NOW_S)
    assert job_state.steps[0, 1].absent_since_s.get(0, _NOW_S) >= _NOW_S


def test_trials_of_quarantined_workers_go_round():
    """Guards against trials that always go to the same worker, which stays faulty.

    All workers are quarantined. Each trial fails and quarantines its worker anew.
    """
    current = _make_state([8] * 4)
    for worker in current.workers.values():
        worker.quarantined_until_s = _NOW_S + 10.0
        worker.quarantines = 4
    tried: list[str] = []
    for number in range(4):
        now_s = _NOW_S + 0.5 * number
        job = _add_waiting(current, f"job{number}", model.Step(1, speeds.make_need(8), 1.0))
        speeds.schedule(current, now_s)
        for run in [run for each in current.jobs.values() for run in each.list_runs()]:
            tried.append(run.worker_id)
            run.phase, run.running_since_s = state.RunPhase.RUNNING, now_s
            runs.end_run(current, run, runs.End.FAILED, "", now_s + 0.05)
        job.outcome = model.Outcome.FAILED
    assert sorted(tried) == ["w0", "w1", "w2", "w3"]
