"""Evacuated data centres, and workers that are slow after their start."""

import pytest

from lycheegate.jobs import (
    commands,
    data_centres,
    lifecycle,
    model,
    runs,
    scheduling,
    state,
    writes,
)

_NOW_S = 100.0
_CAPACITY = model.Resources(8_000, 8_000, 8)
_NEED = model.Resources(1_000, 1_000, 1)
_WHOLE = model.Resources(8_000, 8_000, 8)
_ROUTE = model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 1.0)
_URGENT = model.Route("urgent", "h", "/u/", "render", 0, 3, 3.0, 1.0)
_NAMES = ("a", "b", "c")


def _make_state(workers_each: int = 10) -> state.SchedulerState:
    """Returns a state with the same number of idle workers in each of three data centres."""
    current = state.SchedulerState(1, state.Policy(), 90.0)
    for name in _NAMES:
        for number in range(workers_each):
            worker = state.WorkerState(
                f"{name}{number}", "render", "h:1", name, name, frozenset(), _CAPACITY, _CAPACITY
            )
            worker.incarnation.confirmed = True
            worker.reported_at_s = _NOW_S
            current.workers[worker.worker_id] = worker
    return current


def _add_job(
    current: state.SchedulerState, number: int, step: model.Step, route: model.Route = _ROUTE
) -> state.JobState:
    job = model.Job(f"{number:016x}", route.name, "acme", "x", (step,), _NOW_S)
    added = state.JobState(job, route)
    lifecycle.add_job(current, added, _NOW_S, _NOW_S)
    return added


def _evacuate(current: state.SchedulerState, *names: str) -> list[commands.Command]:
    evacuations = state.Evacuations(frozenset(names), _NOW_S)
    return data_centres.apply_evacuations(current, evacuations, _NOW_S)


def _count_runs(current: state.SchedulerState) -> dict[str, int]:
    counts = dict.fromkeys(_NAMES, 0)
    for worker in current.workers.values():
        counts[worker.data_centre] += len(worker.runs)
    return counts


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(
    "evacuated", [("a",), ("a", "b"), _NAMES, ("elsewhere",)], ids=["one", "two", "all", "unknown"]
)
def test_crowd_gets_only_the_other_data_centres(evacuated, gang):
    """Guards against work in an evacuated data centre while more waits than fits elsewhere."""
    current = _make_state()
    _evacuate(current, *evacuated)
    for number in range(60):
        _add_job(current, number, model.Step(5, _NEED, 2.0, gang=gang))
    for _ in range(3):
        scheduling.schedule(current, _NOW_S, _NOW_S)
    expected = {name: 0 if name in evacuated else 80 for name in _NAMES}
    assert _count_runs(current) == expected
    _evacuate(current)
    for _ in range(3):
        scheduling.schedule(current, _NOW_S, _NOW_S)
    assert _count_runs(current) == dict.fromkeys(_NAMES, 80)


@pytest.mark.parametrize("gang", [False, True])
def test_placed_work_is_withdrawn_before_its_order(gang):
    """Guards against an order whose intention was being written when the evacuation came."""
    current = _make_state(1)
    job = _add_job(current, 1, model.Step(3, _WHOLE, 2.0, gang=gang))
    scheduling.schedule(current, _NOW_S, _NOW_S)
    batch = writes.collect_batch(current, _NOW_S)
    found = _evacuate(current, "b")
    orders = writes.complete_batch(current, batch, 7, _NOW_S)
    assert [decision.fields["withdrawn"] for decision in found] == [1]
    assert len(orders) == (0 if gang else 2)
    assert "b0" not in {order.worker_id for order in orders}
    assert job.dirty


@pytest.mark.parametrize("phase", [state.RunPhase.ORDERED, state.RunPhase.RUNNING])
def test_ordered_work_goes_on(phase):
    """Guards against work that is thrown away although only new work is unwanted."""
    current = _make_state(1)
    _add_job(current, 1, model.Step(3, _WHOLE, 2.0))
    scheduling.schedule(current, _NOW_S, _NOW_S)
    for worker in current.workers.values():
        for run in worker.runs.values():
            run.phase = phase
    (decision,) = _evacuate(current, "b")
    assert decision.event == "evacuation_requested"
    assert decision.fields == {"data_centre": "b", "withdrawn": 0, "running": 1}
    assert _count_runs(current) == dict.fromkeys(_NAMES, 1)
    assert _evacuate(current, "b") == []
    assert [d.event for d in _evacuate(current)] == ["evacuation_ended"]


@pytest.mark.parametrize(
    ("limit_s", "confirmed_at_s", "is_placed"),
    [
        (None, None, True),
        (3.5, None, False),
        (3.5, _NOW_S - 3.4, True),
        (3.5, _NOW_S - 3.6, False),
    ],
)
def test_nothing_is_placed_by_an_old_view(limit_s, confirmed_at_s, is_placed):
    """Guards against work in a data centre whose evacuation this VM could not read."""
    current = _make_state(1)
    current.policy = state.Policy(max_operator_view_age_s=limit_s)
    current.evacuations = state.Evacuations(frozenset(), confirmed_at_s)
    job = _add_job(current, 1, model.Step(1, _NEED, 2.0))
    events = [
        decision.event
        for _ in range(2)
        for decision in scheduling.schedule(current, _NOW_S, _NOW_S)
        if isinstance(decision, commands.Decision)
    ]
    assert events == (["placed"] if is_placed else ["evacuation_unconfirmed"])
    assert bool(job.list_runs()) is is_placed


@pytest.mark.parametrize("route", [_ROUTE, _URGENT], ids=["batch", "urgent"])
@pytest.mark.parametrize(
    ("step", "workers"),
    [
        (model.Step(2, _WHOLE, 2.0, gang=True), {"b", "c"}),
        (model.Step(2, _WHOLE, 2.0), {"b", "c"}),
        (model.Step(3, _WHOLE, 2.0, gang=True), {"a", "b", "c"}),
    ],
    ids=["gang", "tasks", "gang_without_other_room"],
)
def test_workers_are_used_last_while_they_are_cold(step, workers, route):
    """Guards against a gang that is slow because one member started on a cold worker."""
    current = _make_state(1)
    current.workers["a0"].cold_until_s = _NOW_S + 5.0
    job = _add_job(current, 1, step, route)
    scheduling.schedule(current, _NOW_S, _NOW_S)
    assert {run.worker_id[0] for run in job.list_runs()} == workers


def test_evacuated_member_of_a_gang_frees_the_others():
    """Guards against members that keep their room while the gang cannot start."""
    current = _make_state(1)
    job = _add_job(current, 1, model.Step(3, _WHOLE, 2.0, gang=True))
    scheduling.schedule(current, _NOW_S, _NOW_S)
    first = job.list_runs()[0]
    first.phase = state.RunPhase.ORDERED
    others = [worker for worker in current.workers.values() if worker.worker_id != first.worker_id]
    found = _evacuate(current, others[0].data_centre)
    assert [type(command) for command in found[1:]] == [commands.Decision, commands.StopRun]
    assert all(not worker.runs for worker in others)
    assert runs.find_step(current, first.task).list_unplaced() != []
