"""Errors of one job and waits that still let other work stand still (docs/incidents)."""

import contextlib
import json

import pytest

from lycheegate.jobs import placement
from lycheegate.jobs.durations import encoding, observations
from lycheegate.node import exchange
from lycheegate.node.tests import simulation
from lycheegate.node.tests.test_idle_at_rest import WAITING_ID

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
