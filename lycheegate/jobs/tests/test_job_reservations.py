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
        "w0",
        "render",
        "a:1",
        "z",
        "r0",
        frozenset(),
        _CAPACITY,
        _CAPACITY,
        incarnation=state.Incarnation(confirmed=True),
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


@pytest.mark.parametrize(
    ("preempts", "fields", "kept"),
    [
        (True, {"unreachable_until_s": 3.0}, True),
        (True, {"draining": True}, False),
        (True, {"registered": False}, False),
        (True, {"quarantined_until_s": 3.0}, False),
        (False, {"unreachable_until_s": 3.0}, False),
    ],
    ids=["silent", "leaving", "departed", "quarantined", "planned"],
)
def test_reservation_outlasts_a_moment_of_silence(preempts, fields, kept):
    """Guards against runs that are stopped in vain.

    Load pattern: urgent gangs preempt batch work while some workers lose a share of their answers.
    If a reservation were dropped with each lost answer, other runs would be stopped elsewhere. A
    reservation that preempts nothing lasts longer and must not wait for a silent worker.
    """
    current = _make_state()
    ((key, reservation),) = current.reservations.items()
    current.reservations[key] = dataclasses.replace(reservation, preempts=preempts)
    worker = current.workers["w0"]
    for name, value in fields.items():
        setattr(worker, name, value)
    _schedule(current, 2.1)
    assert (current.reservations == {key: reservation}) is kept


def test_reserved_room_of_a_silent_worker_is_not_used():
    """Guards against an order to a worker that may have been lost."""
    current = _make_state()
    worker = current.workers["w0"]
    worker.runs.clear()
    worker.room = worker.capacity
    worker.unreachable_until_s = 2.2
    _schedule(current, 2.1)
    assert current.jobs["0" * 15 + "1"].list_runs() == []
    _schedule(current, 2.3)
    assert len(current.jobs["0" * 15 + "1"].list_runs()) == 1


@pytest.mark.parametrize(("accelerators", "kept"), [(8, True), (7, False)])
def test_reservation_is_dropped_when_its_worker_shrinks(accelerators, kept):
    """Guards against an urgent task that waits for room that its worker no longer has."""
    current = _make_state()
    worker = current.workers["w0"]
    capacity = dataclasses.replace(_CAPACITY, accelerators=accelerators)
    worker.room = worker.room + capacity - worker.capacity
    worker.capacity = capacity
    _schedule(current, 2.1)
    assert bool(current.reservations) is kept
