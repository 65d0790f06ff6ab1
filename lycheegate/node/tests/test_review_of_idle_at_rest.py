"""Errors of one job and waits that still let other work stand still (docs/incidents)."""

import contextlib
import json

import pytest

from lycheegate.jobs import model, placement
from lycheegate.jobs.durations import encoding, observations
from lycheegate.node import exchange
from lycheegate.node.tests import idleness, simulation
from lycheegate.node.tests.test_idle_at_rest import WAITING_ID, make_world

FAULTY_ID = "f" * 16
MAX_DELAY_S = 2.0
"""Time in which jobs start beside a faulty one: less than a task may stand still."""


def _run(world, duration_s):
    """Advances the clock; an error ends only its own callback, as on the node's event loop."""
    until_s = world.loop.now_s + duration_s
    while world.loop.now_s < until_s:
        with contextlib.suppress(ValueError):
            world.loop.run_until(until_s)


def _has_started(world, job_id):
    return any(task.job_id == job_id for task in world.fleet.starts)


def test_order_that_raises_does_not_keep_the_other_orders_from_being_sent(monkeypatch):
    """Guards against jobs that stand still together as they were written with a faulty one.

    Their runs count as ordered, and their workers as unreachable, until the orders have timed out.
    """
    original = exchange.WorkerExchange.send_start

    def send_start(self, order):
        if order.task.job_id == FAULTY_ID:
            raise ValueError("order of a faulty job")
        original(self, order)

    monkeypatch.setattr(exchange.WorkerExchange, "send_start", send_start)
    world = simulation.World(1)
    world.fleet.work_s = 30.0
    world.claim_term("a")
    world.run(1.0)
    for job_id in [FAULTY_ID] + [f"{number:016x}" for number in range(8)]:
        world.submit(simulation.make_job(job_id, simulation.make_step()))
    _run(world, MAX_DELAY_S)
    others = [f"{number:016x}" for number in range(8)]
    assert [job_id for job_id in others if not _has_started(world, job_id)] == []
    assert world.fleet.violations == []


@pytest.mark.parametrize("name", ["observe_end", "measure_errors"])
def test_error_at_the_end_of_a_run_does_not_hold_up_its_worker(monkeypatch, name):
    """Guards against a report that is never applied since the end of one run in it raises.

    The other runs on the worker would count as silent, and the task would run again although its
    success was reported.
    """
    original = getattr(observations, name)

    def observe(current, *args):
        step_or_job = [a for a in args if hasattr(a, "task")]
        if any(run.task.job_id == FAULTY_ID for run in step_or_job):
            raise ZeroDivisionError(name)
        return original(current, *args)

    monkeypatch.setattr(observations, name, observe)
    world = simulation.World(1, worker_count=1)
    world.claim_term("a")
    world.run(1.0)
    for job_id in [FAULTY_ID] + [f"{number:016x}" for number in range(8)]:
        world.submit(simulation.make_job(job_id, simulation.make_step()))
    world.run(10.0)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)


def test_job_starts_soon_after_the_reason_of_its_errors_is_gone(monkeypatch):
    """Guards against a delay between the tries that is itself longer than a job may stand still."""
    original = placement.place_task
    is_broken = [True]

    def place_task(need, *args, **fields):
        if is_broken[0]:
            raise IndexError("no workers")
        return original(need, *args, **fields)

    monkeypatch.setattr(placement, "place_task", place_task)
    world = simulation.World(1)
    world.claim_term("a")
    world.run(1.0)
    world.submit(simulation.make_job(WAITING_ID, simulation.make_step()))
    world.run(4.5)
    assert any(json.loads(line)["event"] == "stage_failed" for line in world.lines)
    is_broken[0] = False
    world.run(MAX_DELAY_S)
    assert _has_started(world, WAITING_ID)


@pytest.mark.parametrize("name", ["encode_model", "make_snapshot"])
def test_error_in_a_row_beside_the_heartbeat_does_not_end_the_term(monkeypatch, name):
    """Guards against learned durations that cannot be encoded and keep all else from being stored.

    The next holder inherits them, so it would fail in the same way.
    """
    world = simulation.World(1)
    world.claim_term("a")
    world.run(1.0)

    def fail(*args, **fields):
        raise ValueError(name)

    monkeypatch.setattr(encoding, name, fail)
    for number in range(30):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step()))
        _run(world, 1.0)
    _run(world, 5.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("gang", [True, False])
def test_work_that_needs_sound_workers_does_not_outwait_a_quarantine(gang):
    """Guards against a gang, or a last attempt, beside 9 of 15 empty workers for up to 20 s.

    The nine failed all that they started for some seconds, and are sound again. Nothing else waits
    that could prove them so. The others are in use for long.
    """
    world = make_world(busy_per_rack=2)
    busy = {worker_id for worker_id, worker in world.fleet.workers.items() if worker.live}
    world.fleet.faulty = set(world.fleet.workers) - busy
    route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
    for number in range(14):
        job_id = f"{0x10 + number:016x}"
        world.submit(simulation.make_job(job_id, simulation.make_step(6, simulation.WHOLE)))
        world.run(0.8)
    for job_id in list(world.fleet.specs):
        if int(job_id, 16) >= 0x10:
            world.cancel(job_id)
    until = [json.loads(line) for line in world.lines if b"worker_quarantined" in line]
    assert max(line["for_s"] for line in until) >= 12.0
    world.fleet.faulty = set()
    world.fleet.work_s = 0.5
    check = world.watch_idleness()
    check.record_fault()
    if gang:
        step = simulation.make_step(4, simulation.WHOLE, gang=True)
    else:
        step = simulation.make_step(1, simulation.WHOLE)
        route = model.Route("batch", "h", "/b/", "render", 1, 1, 3.0, 1.0)
    world.submit(simulation.make_job(WAITING_ID, step), route)
    world.run(20.0)
    assert check.longest_s <= idleness.MAX_IDLE_S, check.found


def test_last_attempts_do_not_stand_still_beside_workers_that_are_sound_again():
    """Guards against last attempts that wait for long for the workers on which nothing has failed.

    Nine of fifteen workers fail all that they start for 20 s. The others are in use for 60 s.
    """
    world = make_world(busy_per_rack=2)
    world.fleet.work_s = 1.0
    busy = {worker_id for worker_id, worker in world.fleet.workers.items() if worker.live}
    world.fleet.faulty = set(world.fleet.workers) - busy
    for number in range(10):
        step = simulation.make_step(6, simulation.WHOLE)
        world.submit(simulation.make_job(f"{0x10 + number:016x}", step))
        world.run(2.0)
    world.fleet.faulty = set()
    world.run(6.0)
    check = world.watch_idleness()
    check.record_fault()
    world.run(20.0)
    assert check.longest_s <= idleness.MAX_IDLE_S, check.found
