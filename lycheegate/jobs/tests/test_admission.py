"""Refusal of jobs that cannot end in time, and the load that it is decided by."""

import dataclasses
import random

import pytest

from lycheegate.jobs import admission, lifecycle, load_summary, model, scheduling, state

_WORKER = model.Resources(32_000, 128_000, 8)
_TOTAL = model.Resources(320_000, 1_280_000, 80)
_NONE = model.Resources()
_NEED = model.Resources(4_000, 8_000, 1)
_STEP = model.Step(5, _NEED, 2.0)
_URGENT = model.Route("urgent", "h", "/u/", "s", 0, 3, 1.5, 1.0)
_BATCH = model.Route("batch", "h", "/b/", "s", 2, 3, 1.5, 1.0)
"""Objective of 4 s for a job of 2 s, and 12 s until it is of no use."""


def _make_load(backlogs=(), **fields) -> admission.Load:
    """Returns the load of a full service; backlogs by priority, lateness, class and wait in s."""
    by_priority: dict[int, list[admission.Backlog]] = {}
    for priority, is_late, size_class, wait_s in backlogs:
        amounts = (320 * wait_s, 0, 80 * wait_s)
        by_priority.setdefault(priority, []).append(admission.Backlog(is_late, size_class, amounts))
    priorities = tuple(
        admission.PriorityLoad(p, 0, 0, 0, tuple(items)) for p, items in sorted(by_priority.items())
    )
    service = admission.ServiceLoad(_TOTAL, _NONE, _NONE, _NONE, frozenset({"a", ""}), priorities)
    return {"s": dataclasses.replace(service, **fields)}


def _decide(load, age_s=0.0, route=_BATCH, step=_STEP, guaranteed=0, draw=0.5, account="a", **job):
    submitted = model.Job("0" * 16, route.name, account, "x", (step,), 0.0, **job)
    known = model.Account(account, frozenset(), guaranteed)
    return admission.decide(load, age_s, submitted, route, known, lambda: draw)


_OVERLOAD = [(2, False, 0, 100)]
_OWN = admission.classify_size(False, admission.compute_work((_STEP,)))


@pytest.mark.parametrize(
    ("backlogs", "fields", "is_refused"),
    [
        (_OVERLOAD, {}, True),
        ([], {}, False),
        # A declaration of twice the true duration must not matter: 2 * 12 - 2 = 22.
        ([(2, False, 0, 20)], {}, False),
        ([(2, False, 0, 24)], {}, True),
        ([(2, False, 0, 24)], {"age_s": 2.9}, False),
        (_OVERLOAD, {"age_s": 2.9}, True),
        (_OVERLOAD, {"age_s": 3.0}, False),
        (_OVERLOAD, {"age_s": -0.1}, False),
        (_OVERLOAD, {"account": "light"}, False),
        (_OVERLOAD, {"start_at_s": 5.0}, False),
        (_OVERLOAD, {"step": dataclasses.replace(_STEP, long_running=True)}, False),
        (_OVERLOAD, {"step": dataclasses.replace(_STEP, label="x")}, False),
        # Lower priorities and larger jobs go after it, late ones as long as it is not late.
        ([(3, False, 0, 100)], {}, False),
        ([(2, False, _OWN + 1, 100)], {}, False),
        ([(2, False, _OWN - 1, 100)], {}, True),
        ([(2, True, 0, 100)], {}, False),
        ([(2, True, 0, 100), (2, False, 0, 8)], {}, True),
        ([(0, True, 0, 100)], {}, True),
        ([(0, False, 0, 100)], {"route": _URGENT}, True),
        ([(0, False, 0, 100)], {"route": _URGENT, "guaranteed": 5}, False),
        ([(0, False, 0, 100)], {"route": _URGENT, "guaranteed": 4}, True),
        (_OVERLOAD, {"route": _URGENT}, False),
        (_OVERLOAD, {"route": dataclasses.replace(_BATCH, service="other")}, False),
        (_OVERLOAD, {"route": dataclasses.replace(_BATCH, target_s=40.0)}, False),
        # Nothing that it needs is short.
        (_OVERLOAD, {"step": model.Step(5, model.Resources(0, 8_000, 0), 2.0)}, False),
    ],
)
def test_decision(backlogs, fields, is_refused):
    """Guards against refusing a job that may end in time, and against accepting a hopeless one."""
    decision = _decide(_make_load(backlogs), **fields)
    assert isinstance(decision, admission.Refuse) is is_refused


@pytest.mark.parametrize("load", [None, {}])
def test_unknown_load_refuses_nothing(load):
    """Guards against refusals while no holder has published its load."""
    assert _decide(load) == admission.Accept()


@pytest.mark.parametrize("route", [_BATCH, _URGENT])
@pytest.mark.parametrize("count", [5, 6])
def test_free_room_refuses_nothing(route, count):
    """Guards against a refusal of a job for which there is room, whatever waits."""
    room = model.Resources(20_000, 40_000, 5)
    load = _make_load(
        [(0, False, 0, 900), (2, False, 0, 900)], free=room, urgent_free=room, largest_free=_WORKER
    )
    decision = _decide(load, route=route, step=dataclasses.replace(_STEP, count=count))
    assert isinstance(decision, admission.Accept) is (count == 5)


def test_herd_comes_back_spread_out():
    """Guards against 200 callers who are refused in one second and come back in one as well."""
    generator = random.Random(3)
    load = _make_load([(2, False, 0, 60)])
    returns_s = [
        number / 200.0 + _decide(load, draw=generator.random()).retry_after_s
        for number in range(200)
    ]
    assert max(returns_s) - min(returns_s) > 0.95 * 60.0
    assert max(sum(at <= r < at + 1.0 for r in returns_s) for at in range(120)) < 20


def test_earlier_callers_come_back_no_later():
    """Guards against callers who aim at a later time the earlier they were refused."""
    aims_s = [
        now_s
        + sum(
            _decide(_make_load([(2, False, 0, 80 - now_s)]), draw=n / 100).retry_after_s
            for n in range(101)
        )
        / 101
        for now_s in (0, 20, 40)
    ]
    assert max(aims_s) - min(aims_s) < 1.0


@pytest.mark.parametrize(("wait_s", "draw"), [(24, 0.0), (10**9, 1.0)])
def test_bounds_of_the_time_to_come_back(wait_s, draw):
    """Guards against a time of 0 s, and against one that outlasts any overload."""
    found = _decide(_make_load([(2, False, 0, wait_s)]), draw=draw).retry_after_s
    assert 1 <= found <= admission.MAX_RETRY_AFTER_S


def _make_state(jobs: list[tuple[model.Route, model.Step, str]], workers: int = 2):
    current = state.SchedulerState(1, state.Policy(), -load_summary.SETTLE_S)
    for number in range(workers):
        worker = state.WorkerState(
            f"w{number}", "s", "a:1", "z", "r", frozenset(), _WORKER, _WORKER
        )
        worker.incarnation.confirmed = True
        current.workers[worker.worker_id] = worker
    for number, (route, step, account) in enumerate(jobs):
        job = model.Job(f"{number:016x}", route.name, account, "x", (step,), 0.0)
        lifecycle.add_job(current, state.JobState(job, route), 0.0, 0.0)
    scheduling.schedule(current, 0.0, 0.0)
    return current


def test_summary():
    """Guards against figures that leave out waiting work, or count what does not compete."""
    labelled = dataclasses.replace(_STEP, label="none", count=500)
    current = _make_state(
        [(_BATCH, dataclasses.replace(_STEP, count=30), "a"), (_BATCH, labelled, "b")]
    )
    service = load_summary.summarise_load(current, 0.0, 0.0)["s"]
    (load,) = service.priorities
    assert (load.running_core_s, load.waiting_core_s, load.wait_s) == (190, 340, 2)
    (backlog,) = load.backlogs
    assert (backlog.is_late, backlog.amounts) == (False, (110, 220, 28))
    assert service.free.accelerators == 0
    assert service.heavy_accounts == {"a"}
    (late,) = load_summary.summarise_load(current, 0.0, 60.0)["s"].priorities
    assert late.backlogs[0].is_late


@pytest.mark.parametrize(
    ("step", "waiting_core_s"),
    [
        (dataclasses.replace(_STEP, need=model.Resources(1_000, 0, 9)), 0),
        (model.Step(17, _NEED, 2.0, gang=True), 0),
        (model.Step(17, _NEED, 1e12), 120),
    ],
    ids=["needs_a_larger_worker", "needs_a_larger_fleet", "declares_an_absurd_duration"],
)
def test_work_that_delays_no_other(step, waiting_core_s):
    """Guards against one odd job that waits, because of which the jobs of others are refused."""
    current = _make_state([(_BATCH, step, "a")])
    loads = load_summary.summarise_load(current, 0.0, 0.0)["s"].priorities
    assert sum(load.waiting_core_s for load in loads) == waiting_core_s


def test_room_that_waiting_work_cannot_use_is_free():
    """Guards against refusals of small jobs beside a gang that fits nowhere."""
    gang = model.Step(40, _NEED, 2.0, gang=True)
    current = _make_state([(_BATCH, gang, "a")])
    service = load_summary.summarise_load(current, 0.0, 0.0)["s"]
    assert service.free == service.urgent_free == _WORKER + _WORKER


def test_new_term_publishes_nothing_before_its_workers_have_reported():
    """Guards against refusals by a new holder that knows all jobs but few workers."""
    current = _make_state([(_BATCH, _STEP, "a")])
    assert load_summary.summarise_load(current, -0.1, 0.0) == {}
