"""Reservations of room for tasks that wait until preempted runs have ended."""

import dataclasses

import pytest

from lycheegate.jobs import lifecycle, model, scheduling, state

_CAPACITY = model.Resources(8_000, 8_000, 8)
_BATCH = model.Step(1, _CAPACITY, 60.0)
_URGENT = model.Step(1, _CAPACITY, 2.0)
_ROUTES = {
    "batch": model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0),
    "urgent": model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.25),
}


def _make_state() -> state.SchedulerState:
    """Returns a state in which an urgent job waits until a preempted batch job has stopped."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    account = model.Account("acme", frozenset(), 8)
    services = {name: model.Service(name) for name in ("render", "other")}
    current.configuration = model.Configuration(1, _ROUTES, services, {"acme": account}, {}, 1)
    worker = state.WorkerState(
        "w0", "render", "a:1", "z", "r0", frozenset(), _CAPACITY, _CAPACITY, confirmed=True
    )
    current.workers["w0"] = worker
    for number, (route, step) in enumerate((("batch", _BATCH), ("urgent", _URGENT))):
        job = model.Job(f"{number:016x}", route, "acme", "x", (step,), 0.0)
        lifecycle.add_job(current, state.JobState(job, _ROUTES[route]), 0.0, 0.0)
        _schedule(current, 1.0 + number)
        for run in current.jobs[job.job_id].list_runs():
            run.phase = state.RunPhase.RUNNING
    return current


def _schedule(current: state.SchedulerState, now_s: float) -> None:
    for worker in current.workers.values():
        worker.reported_at_s = now_s
    scheduling.schedule(current, now_s, now_s)


@pytest.mark.parametrize(("service", "kept"), [("render", True), ("other", False)])
def test_reservation_is_dropped_when_queue_changes_service(service, kept):
    """Guards against a task that starts on the former service of its queue.

    The configuration changes the service of the queue while a reservation holds room on a worker
    of the former one.
    """
    current = _make_state()
    assert list(current.reservations) == [("0" * 15 + "1", 0, 0, 0)]
    moved = dataclasses.replace(_ROUTES["urgent"], service=service)
    routes = {**_ROUTES, "urgent": moved}
    current.configuration = dataclasses.replace(current.configuration, routes=routes)
    _schedule(current, 2.1)
    assert bool(current.reservations) is kept
    # The preempted run ends, so the reserved room becomes free.
    worker = current.workers["w0"]
    worker.runs.clear()
    worker.room = worker.capacity
    _schedule(current, 2.2)
    assert bool(current.jobs["0" * 15 + "1"].list_runs()) is kept
