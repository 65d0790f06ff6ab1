"""Runs that the previous holder was stopping when it lost the term.

A progress record names the runs that may exist, but not which of them are being stopped.
"""

import cbor2
import pytest

from lycheegate.jobs import crashes, model, progress, state
from lycheegate.node import tables
from lycheegate.node.tests import simulation

JOB_ID = "0" * 16
NEXT_TERM_S = 5.0
"""Time in which the next holder has to stop what must not run: 3 s and the 0.4 s of a stop."""

LAST_CRASH_BY_S = 130.0


def _start_on_two_workers() -> simulation.World:
    """Returns a world in which a job runs for long on the workers w0 and w1."""
    world = simulation.World(1)
    world.fleet.work_s = 1000.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2, max_per_worker=1)))
    world.claim_term("a")
    world.run(2.0)
    assert _list_live(world) == ["w0", "w1"]
    return world


def _list_live(world: simulation.World) -> list[str]:
    """Returns the workers on which anything runs."""
    for worker in world.fleet.workers.values():
        worker.advance()
    return [worker_id for worker_id, worker in world.fleet.workers.items() if worker.live]


def _cancel(world: simulation.World) -> None:
    world.cancel(JOB_ID)


def _fail(world: simulation.World) -> None:
    """Lets the task on w1 fail on one worker after another until its job fails."""
    world.fleet.faulty = world.fleet.workers.keys() - {"w0"}
    world.fleet.workers["w1"].restart()
    world.register("w1")


def _give_up(world: simulation.World) -> None:
    """Lets the task on w1 crash one worker after another; it is given up some time later."""
    world.fleet.deadly = {model.TaskKey(JOB_ID, 0, 0, 1)}
    world.fleet.workers["w1"].restart()
    world.register("w1")
    while f'"total":{crashes.MAX_CRASH_WEIGHT}'.encode() not in b"".join(world.lines):
        assert world.loop.now_s < LAST_CRASH_BY_S
        world.run(0.1)


@pytest.mark.parametrize("is_released", [False, True])
@pytest.mark.parametrize(
    ("end_job", "wait_s", "outcome"),
    [
        (_cancel, 0.5, model.Outcome.CANCELLED),
        (_fail, 2.0, model.Outcome.FAILED),
        (_give_up, 4.0, model.Outcome.FAILED),
    ],
)
def test_next_holder_stops_the_runs_of_an_ended_job(end_job, wait_s, outcome, is_released):
    """Guards against tasks of an ended job that run on after a change of the holder.

    The order to stop the run on w0 is lost, because the worker is cut off for a moment, and the
    holder is killed, or releases the term, before it has repeated the order. The cut ends before
    the lease of the run expires.
    """
    world = _start_on_two_workers()
    end_job(world)
    world.fleet.unreachable = {"w0"}
    for _ in range(int(wait_s / 0.05)):
        if world.read_status(JOB_ID).outcome is not None:
            break
        world.run(0.05)
    assert world.read_status(JOB_ID).outcome is outcome
    if is_released:
        world.schedulers["a"].release()
        world.run(0.1)
    else:
        world.schedulers["a"].stop("killed")
    world.fleet.unreachable = set()
    assert "w0" in _list_live(world)
    world.claim_term("b")
    world.run(NEXT_TERM_S)
    assert _list_live(world) == []
    assert world.read_status(JOB_ID).outcome is outcome
    assert world.fleet.violations == []


@pytest.mark.parametrize("has_incarnations", [True, False])
@pytest.mark.parametrize("outcome", [*model.Outcome, None])
def test_next_holder_stops_recorded_runs(outcome, has_incarnations):
    """Guards against a recorded run that goes on although its task must not run any more.

    The record is of each outcome, of a task that has succeeded in an earlier run, and of the format
    without incarnations that earlier builds have written.
    """
    world = _start_on_two_workers()
    world.schedulers["a"].stop("killed")
    key = tables.get_progress_key(JOB_ID)
    record = cbor2.loads(world.store.rows[key].value)
    record[1] = outcome.value if outcome else ""
    (step,) = record[4]
    if outcome is None:
        step[1] = [0]
    if not has_incarnations:
        del step[7:]
    world.store.put(key, cbor2.dumps(record))
    world.claim_term("b")
    world.run(NEXT_TERM_S)
    assert _list_live(world) == (["w1"] if outcome is None else [])
    assert world.read_status(JOB_ID) == progress.JobStatus(outcome, True)
    assert world.fleet.violations == []


def test_stop_reasons_are_logged():
    """Guards against a stopped run whose log does not tell who ordered it to stop and why."""
    world = _start_on_two_workers()
    world.schedulers["a"].stop("killed")
    world.cancel(JOB_ID)
    world.claim_term("b")
    world.run(2.0)
    assert _list_live(world) == []
    text = b"".join(world.lines).decode()
    assert text.count('"event":"stop_ordered"') == 2
    assert f'"reason":"{state.StopReason.CANCELLED}"' in text
