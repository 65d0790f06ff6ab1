"""Runs that the previous holder was stopping when it lost the term.

A progress record names the runs that may exist, but not which of them are being stopped.
"""

from lycheegate.jobs import state
from lycheegate.node.tests import simulation

JOB_ID = "0" * 16


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
