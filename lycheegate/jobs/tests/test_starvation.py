"""When preferences give way, and for which work."""

import pytest

from lycheegate.jobs import model, runs, starvation, state, units
from lycheegate.jobs.tests import speeds

_NOW_S = 1000.0


def _add_job(current, **fields):
    step = model.Step(2, speeds.make_need(1), 60.0, **fields)
    job = speeds.add_job(current, "job", "batch", step, _NOW_S - 100.0)
    job.steps[0, 0].ready_since_s = _NOW_S - 10.0
    return job


def _add_run(current, job, phase, worker_id="w0", began_at_s=_NOW_S - 5.0):
    run = runs.add_run(current, job, job.steps[0, 0], 0, current.workers[worker_id], 1, began_at_s)
    run.phase, run.phase_began_at_s = phase, began_at_s
    return run


def _find_waited_s(current, job) -> float | None:
    since_s = starvation.find_idle_since(current, job, _NOW_S)
    return None if since_s is None else _NOW_S - since_s


def test_load_is_that_of_all_workers():
    """Guards against a holder that takes a service for loaded because few workers may get work."""
    current = speeds.make_state([0, 8, 8, 8], rack_size=4)
    for worker_id in ("w1", "w2", "w3"):
        current.workers[worker_id].quarantined_until_s = _NOW_S + 20.0
    assert starvation.measure_loads(current) == {"render": pytest.approx(0.25)}
    current.workers["w3"].registered = False
    assert starvation.measure_loads(current) == {"render": pytest.approx(1 / 3)}


@pytest.mark.parametrize(
    ("phase", "age_s", "silent_s", "expected_s"),
    [
        (state.RunPhase.RUNNING, 5.0, 0.0, None),
        (state.RunPhase.RUNNING, 5.0, 4.0, 4.0),
        (state.RunPhase.INTENDED, 1.0, 0.0, None),
        (state.RunPhase.ORDERED, 1.0, 0.0, None),
        (state.RunPhase.ORDERED, 5.0, 0.0, 10.0),
        (state.RunPhase.STOPPING, 1.0, 0.0, 10.0),
    ],
)
def test_runs_that_are_only_believed_in_do_not_count(phase, age_s, silent_s, expected_s):
    """Guards against a job that counts as running because of a run that its worker does not show.

    The worker of such a run is silent, or has not confirmed the order for it in time.
    """
    current = speeds.make_state([8, 8], rack_size=4)
    current.began_at_s = _NOW_S - 100.0
    job = _add_job(current)
    _add_run(current, job, phase, began_at_s=_NOW_S - age_s)
    current.workers["w0"].reported_at_s = _NOW_S - silent_s
    assert _find_waited_s(current, job) == expected_s


def test_job_has_waited_since_its_last_run():
    """Guards against preferences that give way at once for a job that was preempted just now."""
    current = speeds.make_state([8, 8], rack_size=4)
    current.began_at_s = _NOW_S - 100.0
    job = _add_job(current)
    job.ran_until_s = _NOW_S - 1.0
    assert _find_waited_s(current, job) == 1.0


def test_new_holder_counts_the_time_without_a_holder():
    """Guards against a wait that each change of the holder begins anew in full."""
    current = speeds.make_state([8, 8], rack_size=4)
    current.began_at_s = _NOW_S - 1.0
    job = _add_job(current)
    job.steps[0, 0].ready_since_s = _NOW_S - 0.9
    assert _find_waited_s(current, job) == 1.0 + starvation.VACANCY_S


def test_absence_of_a_lasting_task_begins_anew_after_each_run():
    """Guards against a task that takes any room at once because it was absent long ago."""
    current = speeds.make_state([8, 8], rack_size=4)
    step = _add_job(current, long_running=True).steps[0, 0]
    starvation.update_absences(step, 10.0)
    assert step.absent_since_s == {0: 10.0, 1: 10.0}
    run = _add_run(current, current.jobs["job"], state.RunPhase.RUNNING)
    starvation.update_absences(step, 20.0)
    runs.remove_run(current, run)
    starvation.update_absences(step, 30.0)
    assert step.absent_since_s == {0: 30.0, 1: 10.0}


def test_one_task_at_a_time_tries_a_quarantined_worker():
    """Guards against a service that stands still until a quarantine ends, and against a rush to it.

    All workers are quarantined. One task shows whether a worker is still faulty.
    """
    current = speeds.make_state([8, 8], rack_size=4)
    current.began_at_s = _NOW_S - 100.0
    for worker in current.workers.values():
        worker.quarantined_until_s = _NOW_S + 20.0
    job = _add_job(current)
    speeds.schedule(current, _NOW_S)
    assert len(job.list_runs()) == 1


def test_reservation_whose_room_is_taken_is_given_up():
    """Guards against a gang that waits until its reservation expires for room that others use.

    A gang has reserved all workers, of which one is in use. A job that has stood still takes room
    on another one, so the gang's room has to be planned anew.
    """
    current = speeds.make_state([0, 8, 8], rack_size=4)
    current.began_at_s = _NOW_S - 100.0
    step = model.Step(3, speeds.make_need(8), 60.0, gang=True)
    speeds.add_job(current, "gang", "gang", step, _NOW_S - 100.0)
    key = ("gang", 0, 0, units.GANG_INDEX)
    current.reservations[key] = state.Reservation(
        {0: "w0", 1: "w1", 2: "w2"}, speeds.make_need(8), _NOW_S + 20.0, preempts=False
    )
    job = _add_job(current)
    speeds.schedule(current, _NOW_S)
    assert len(job.list_runs()) == 1
    assert key not in current.reservations
