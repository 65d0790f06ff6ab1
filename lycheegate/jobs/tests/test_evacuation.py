"""Which runs are stopped before their worker leaves."""

import pytest

from lycheegate.jobs import commands, evacuation, model, state, workers

_NEED = model.Resources(1_000, 1_000, 1)
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
_NOW_S = 100.0


def _make(step, percent, ran_s, leaves_in_s, draining=True, count=1):
    """Returns a state with runs that have reported progress just now."""
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
_SAVES = model.Step(1, _NEED, 10.0, checkpoints=True)
_LASTS = model.Step(1, _NEED, 10.0, long_running=True)
_GANG = model.Step(3, _NEED, 10.0, gang=True)


@pytest.mark.parametrize(
    ("step", "percent", "ran_s", "leaves_in_s", "expected"),
    [
        # Half done in 2 s: it ends in 2 s.
        (_PLAIN, 50, 2.0, 2.5, 0),
        (_PLAIN, 50, 2.0, 1.5, 1),
        # Nothing reported yet, so the declared duration counts.
        (_PLAIN, 0, 2.0, 9.0, 0),
        (_PLAIN, 0, 2.0, 6.0, 1),
        # Saved at the stop, so it works on until there is just time for that.
        (_SAVES, 10, 2.0, 1.5, 0),
        (_SAVES, 10, 2.0, 0.9, 1),
        (_LASTS, 100, 50.0, 1.5, 0),
        (_LASTS, 100, 50.0, 0.9, 1),
        (_GANG, 10, 2.0, 2.0, 3),
        # The worker does not say when it leaves.
        (_PLAIN, 10, 2.0, None, 0),
    ],
)
def test_evacuate(step, percent, ran_s, leaves_in_s, expected):
    """Guards against work that is lost with a worker whose end was announced."""
    count = step.count if step.gang else 1
    current = _make(step, percent, ran_s, leaves_in_s, count=count)
    result = evacuation.evacuate(current, _NOW_S)
    assert sum(isinstance(item, commands.StopRun) for item in result) == expected
    assert evacuation.evacuate(current, _NOW_S) == []


def test_workers_that_stay_keep_their_runs():
    """Guards against stops on workers that are not leaving."""
    current = _make(_PLAIN, 10, 2.0, 1.0, draining=False)
    assert evacuation.evacuate(current, _NOW_S) == []


@pytest.mark.parametrize(
    ("draining", "leaves_in_s", "expected_s"),
    [
        (False, None, 5.0),
        (True, None, 5.0),
        (True, 10.0, 5.0),
        (True, 4.0, 4.0),
        (True, 0.0, workers.MIN_LEASE_S),
        (True, -3.0, workers.MIN_LEASE_S),
    ],
)
def test_lease_ends_soon_after_the_worker(draining, leaves_in_s, expected_s):
    """Guards against seconds of waiting for the lease of a worker that was known to leave."""
    current = _make(_PLAIN, 10, 2.0, leaves_in_s, draining)
    worker = current.workers["w0"]
    worker.clock_ms, worker.clock_at_s = 50_000, _NOW_S
    deadline_ms = workers.compute_deadline_ms(current, worker, _NOW_S)
    assert deadline_ms == 50_000 + int(expected_s * 1000)


def _register(worker_id, remaining_s):
    return workers.Registration(
        worker_id, "render", "a:1", "z", "r", frozenset(), _NEED, True, 1, remaining_s
    )


def test_old_entry_does_not_postpone_the_end():
    """Guards against a worker that seems to stay longer whenever another entry changes."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    for second, remaining_s in ((0.0, 6.0), (1.0, 6.0), (1.4, 4.5), (2.0, 4.5)):
        entries = [_register("leaving", remaining_s), _register("other", 90.0 - second)]
        workers.apply_registrations(current, entries, _NOW_S + second)
    assert current.workers["leaving"].leaves_at_s == pytest.approx(_NOW_S + 1.4 + 4.5)


def test_worker_seen_first_while_it_leaves():
    """Guards against a new scheduler that does not know that a worker is about to leave."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    workers.apply_registrations(current, [_register("leaving", 2.0)], _NOW_S)
    assert current.workers["leaving"].leaves_at_s == _NOW_S + 2.0
