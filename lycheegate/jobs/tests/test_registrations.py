"""Registrations of workers with a new scheduler."""

import dataclasses

import pytest

from lycheegate.jobs import lifecycle, model, progress, runs, state, workers

_CAPACITY = model.Resources(8_000, 8_000, 8)
_NEED = model.Resources(1_000, 1_000, 1)
_LIMITS = progress.RecordLimits(49_152, 600_000)
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)


def _make_registration(worker_id):
    return workers.Registration(
        worker_id, "render", "a:1", "z", "r0", frozenset(), _CAPACITY, False, 1
    )


def _restore_job(job_id, worker_ids):
    """Returns a job as restored from a record that places its tasks on workers."""
    step = model.Step(len(worker_ids), _NEED, 60.0)
    job = state.JobState(model.Job(job_id, "batch", "acme", "x", (step,), 0.0), _ROUTE)
    previous = state.SchedulerState(1, state.Policy(), 0.0)
    lifecycle.add_job(previous, job, 0.0, 0.0)
    for index, worker_id in enumerate(worker_ids):
        worker = state.WorkerState(
            worker_id, "render", "a:1", "z", "r0", frozenset(), _CAPACITY, _CAPACITY
        )
        runs.add_run(previous, job, job.steps[0, 0], index, worker, 1, 0.0)
    restored = state.JobState(job.job, _ROUTE)
    progress.decode_progress(restored, progress.encode_progress(job, _LIMITS).data, 1.0)
    return restored


@pytest.mark.parametrize("known", [[], ["w0"], ["w0", "w1"]])
def test_recorded_runs_are_assigned_to_the_workers_that_register(known):
    """Guards against room that is given away although recorded runs may still use it.

    The workers register together or one after the other, and one of those recorded never does.
    """
    current = state.SchedulerState(2, state.Policy(), 1.0)
    placements = {"0" * 16: ["w0", "w0", "w1"], "1" * 16: ["w1", "w9"]}
    for job_id, worker_ids in placements.items():
        lifecycle.add_job(current, _restore_job(job_id, worker_ids), 1.0, 1.0)
    for worker_ids in (known, ["w0", "w1", "w2"]):
        registrations = [_make_registration(worker_id) for worker_id in worker_ids]
        workers.apply_registrations(current, registrations, 1.0)
    assert {w: len(worker.runs) for w, worker in current.workers.items()} == {
        "w0": 2,
        "w1": 2,
        "w2": 0,
    }
    assert {w: worker.room.accelerators for w, worker in current.workers.items()} == {
        "w0": 6,
        "w1": 6,
        "w2": 8,
    }


@pytest.mark.parametrize("accelerators", [4, 8, 16])
def test_changed_capacity_requests_a_pass(accelerators):
    """Guards against work that waits for the next tick although a worker has grown."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    registration = _make_registration("w0")
    workers.apply_registrations(current, [registration], 1.0)
    current.schedule_due = False
    capacity = dataclasses.replace(_CAPACITY, accelerators=accelerators)
    resized = dataclasses.replace(registration, capacity=capacity)
    workers.apply_registrations(current, [resized], 2.0)
    assert current.schedule_due is (capacity != _CAPACITY)
    assert current.workers["w0"].room == capacity


@pytest.mark.parametrize(
    ("remaining_s", "born_ms", "expected_s"),
    [
        (2.0, 1, 11.0),
        (1.5, 1, 11.0),
        (0.5, 1, 10.5),
        # Announced anew, so that the worker stays longer.
        (3.0, 1, 13.0),
        # Announced by an earlier incarnation.
        (2.0, 2, 12.0),
    ],
)
def test_departure_is_counted_from_when_the_previous_scheduler_read_it(
    remaining_s, born_ms, expected_s
):
    """Guards against a notice that each new scheduler counts anew, so that it stops work late."""
    current = state.SchedulerState(2, state.Policy(), 10.0)
    current.inherited_departures = {"w0": state.AnnouncedDeparture(11.0, 2.0, 1)}
    registration = dataclasses.replace(
        _make_registration("w0"), draining=True, remaining_s=remaining_s, born_ms=born_ms
    )
    workers.apply_registrations(current, [registration], 10.0)
    assert current.workers["w0"].leaves_at_s == pytest.approx(expected_s)
