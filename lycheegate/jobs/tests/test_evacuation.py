"""Evacuation of workers that announced their departure, and the leases of such workers."""

import pytest

from lycheegate.jobs import commands, evacuation, leases, model, state, workers

_NEED = model.Resources(1_000, 1_000, 1)
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
_NOW_S = 100.0


def _make_state(step, percent, ran_s, leaves_in_s, draining=True, count=1):
    """Returns a state with one worker per run; the runs have just reported progress.

    Only the first worker may be draining.
    """
    current = state.SchedulerState(1, state.Policy(stop_s=0.4), 0.0)
    job = model.Job("0" * 16, "batch", "acme", "x", (step,), 0.0)
    step_state = state.StepState((0, 0), step)
    current.jobs[job.job_id] = state.JobState(job, _ROUTE, steps={(0, 0): step_state})
    for index in range(count):
        worker_id = f"w{index}"
        worker = state.WorkerState(
            worker_id, "render", "a:1", "z", "r", frozenset(), _NEED, model.Resources(), index == 0
        )
        worker.draining = draining and index == 0
        worker.leaves_at_s = None if leaves_in_s is None else _NOW_S + leaves_in_s
        task = model.TaskKey(job.job_id, 0, 0, index)
        run = state.Run(task, worker_id, 1, _NEED, state.RunPhase.RUNNING, _NOW_S - ran_s)
        run.percent, run.advanced_at_s = percent, _NOW_S
        step_state.runs[index] = worker.runs[task] = run
        current.workers[worker_id] = worker
    return current


_PLAIN = model.Step(1, _NEED, 10.0)
_CHECKPOINTED = model.Step(1, _NEED, 10.0, checkpoints=True)
_LONG_RUNNING = model.Step(1, _NEED, 10.0, long_running=True)
_GANG = model.Step(3, _NEED, 10.0, gang=True)


@pytest.mark.parametrize(
    ("step", "percent", "ran_s", "leaves_in_s", "expected"),
    [
        # Half done after 2 s, so it is expected to end in 2 s.
        (_PLAIN, 50, 2.0, 2.5, 0),
        (_PLAIN, 50, 2.0, 1.5, 1),
        # No progress reported yet, so the declared duration of 10 s is used.
        (_PLAIN, 0, 2.0, 9.0, 0),
        (_PLAIN, 0, 2.0, 6.0, 1),
        # Saves a checkpoint when stopped, so it is stopped as late as the stop allows.
        (_CHECKPOINTED, 10, 2.0, 1.5, 0),
        (_CHECKPOINTED, 10, 2.0, 0.9, 1),
        (_LONG_RUNNING, 100, 50.0, 1.5, 0),
        (_LONG_RUNNING, 100, 50.0, 0.9, 1),
        (_GANG, 10, 2.0, 2.0, 3),
        # The worker has not announced its departure time.
        (_PLAIN, 10, 2.0, None, 0),
    ],
)
def test_runs_that_cannot_end_in_time_are_stopped(step, percent, ran_s, leaves_in_s, expected):
    """Guards against work that is lost with a worker that announced its departure."""
    count = step.count if step.gang else 1
    current = _make_state(step, percent, ran_s, leaves_in_s, count=count)
    result = evacuation.evacuate(current, _NOW_S)
    assert sum(isinstance(item, commands.StopRun) for item in result) == expected
    assert evacuation.evacuate(current, _NOW_S) == []


def test_runs_on_other_workers_are_not_stopped():
    """Guards against stopped runs on workers that are not leaving."""
    current = _make_state(_PLAIN, 10, 2.0, 1.0, draining=False)
    assert evacuation.evacuate(current, _NOW_S) == []


@pytest.mark.parametrize(
    ("draining", "leaves_in_s", "expected_s"),
    [
        (False, None, 5.0),
        (True, None, 5.0),
        (True, 10.0, 5.0),
        (True, 4.0, 4.0),
        (True, 0.0, leases.MIN_LEASE_S),
        (True, -3.0, leases.MIN_LEASE_S),
    ],
)
def test_lease_ends_soon_after_the_departure_of_the_worker(draining, leaves_in_s, expected_s):
    """Guards against waiting for seconds for the lease of a worker that announced its departure.

    Runs that are lost with the worker are retried only after the lease has expired.
    """
    current = _make_state(_PLAIN, 10, 2.0, leaves_in_s, draining)
    worker = current.workers["w0"]
    worker.incarnation.clock_ms, worker.incarnation.clock_at_s = 50_000, _NOW_S
    deadline_ms = leases.compute_deadline_ms(current, worker, _NOW_S)
    assert deadline_ms == 50_000 + int(expected_s * 1000)


def _make_registration(worker_id, remaining_s):
    return workers.Registration(
        worker_id, "render", "a:1", "z", "r", frozenset(), _NEED, True, 1, remaining_s
    )


def test_unchanged_registration_does_not_postpone_the_departure():
    """Guards against a departure time that moves when the registration of another worker changes.

    The complete list is applied again then, with an outdated remaining time for this worker.
    """
    current = state.SchedulerState(1, state.Policy(), 0.0)
    for second, remaining_s in ((0.0, 6.0), (1.0, 6.0), (1.4, 4.5), (2.0, 4.5)):
        registrations = [
            _make_registration("leaving", remaining_s),
            _make_registration("other", 90.0 - second),
        ]
        workers.apply_registrations(current, registrations, _NOW_S + second)
    assert current.workers["leaving"].leaves_at_s == pytest.approx(_NOW_S + 1.4 + 4.5)


def test_departure_of_a_new_worker_is_known():
    """Guards against a new scheduler that ignores the departure time of a draining worker."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    workers.apply_registrations(current, [_make_registration("leaving", 2.0)], _NOW_S)
    assert current.workers["leaving"].leaves_at_s == _NOW_S + 2.0
