"""The scheduler with workers that restart under their identifiers and are cut off soon after.

A few seeds are played in CI. More are played by hand, with the first one and their number:
``python -m lycheegate.node.tests.test_random_restarts 0 100``.
"""

import random
import sys

import pytest

from lycheegate.jobs import crashes, model, state
from lycheegate.node.tests import fake_workers, simulation

WORKERS = 6
ROUNDS = 12
CALM_S = 90.0
"""Time in which all jobs succeed once the faults have ended: runs of 30 s, and room for all."""


class Incidents:
    """Restarts of workers, each with a cut soon after or none."""

    def __init__(self, world: simulation.World, draw: random.Random):
        self._world = world
        self._draw = draw
        self._affected: set[str] = set()
        """Workers that are restarting or cut off."""
        self.share_of_orders = 0.0
        """Share of the orders to start runs whose workers restart."""

    def restart_with_orders(self, patch: pytest.MonkeyPatch) -> None:
        """Restarts some of the workers while orders to start runs are on their way to them."""
        send = fake_workers.FakeWorkers.start

        def start(client, address, order, epoch, deadline_ms, callback):
            if self.share_of_orders > self._draw.random():
                delay_s = self._draw.choice([0.0, self._draw.uniform(0.0, 0.6)])
                self._world.loop.call_later(delay_s, lambda: self._restart(order.worker_id))
            send(client, address, order, epoch, deadline_ms, callback)

        patch.setattr(fake_workers.FakeWorkers, "start", start)

    def restart_some(self) -> None:
        """Restarts some of the workers."""
        for worker_id in sorted(self._world.fleet.workers):
            if self._draw.random() < 0.3:
                self._restart(worker_id)

    def _restart(self, worker_id: str) -> None:
        world, draw = self._world, self._draw
        if worker_id in self._affected:
            return
        self._affected.add(worker_id)
        down_s = draw.uniform(0.1, draw.choice([1.0, 3.0]))
        registered_s = draw.choice([0.0, draw.uniform(0.0, 1.5), draw.uniform(1.5, 10.0), None])
        world.fleet.restart_silently(worker_id, down_s, registered_s)
        if draw.random() < 0.3:
            world.loop.call_later(down_s, lambda: self._affected.discard(worker_id))
            return
        cut_off_s = down_s + draw.uniform(0.1, 1.0)
        back_s = cut_off_s + draw.uniform(3.0, 12.0)
        world.loop.call_later(cut_off_s, lambda: world.fleet.unreachable.add(worker_id))
        if draw.random() < 0.3:
            world.loop.call_later(cut_off_s + 2.4, lambda: world.unregister(worker_id))
            world.loop.call_later(back_s, lambda: world.register(worker_id))

        def reconnect() -> None:
            world.fleet.unreachable.discard(worker_id)
            self._affected.discard(worker_id)

        world.loop.call_later(back_s, reconnect)


def play(seed: int) -> simulation.World:
    """Plays one seed; returns the world after a calm time."""
    with pytest.MonkeyPatch.context() as patch:
        max_lease_s = random.Random(seed).choice([6.0, 10.0])
        patch.setattr(fake_workers, "MAX_LEASE_S", max_lease_s)
        # So many crashes would let tasks be given up, which other plays test.
        patch.setattr(crashes, "MAX_CRASH_WEIGHT", 1_000_000)
        world = simulation.World(seed, WORKERS)
        world.policy = state.Policy(max_lease_s=max_lease_s)
        world.faults.late_calls_survive_restarts = True
        incidents = Incidents(world, world.generator)
        incidents.restart_with_orders(patch)
        _play(world, incidents)
    return world


def _play(world: simulation.World, incidents: Incidents) -> None:
    draw = world.generator
    world.fleet.clock_ratio = draw.choice([1.0, 0.98])
    world.claim_term("vm0")
    world.run(draw.uniform(1.0, 15.0))
    incidents.share_of_orders = 0.2
    vm = "vm0"
    for number in range(ROUNDS):
        job_id = f"{number:016x}"
        world.fleet.job_work_s[job_id] = draw.uniform(2.5, draw.choice([6.0, 30.0]))
        world.submit(simulation.make_job(job_id, *_draw_steps(draw)))
        world.faults.lost_orders = draw.choice([0.0, 0.1])
        world.faults.late_orders = draw.choice([0.0, 0.1])
        world.run(draw.uniform(0.0, 1.0))
        if draw.random() < 0.3:
            incidents.restart_some()
        world.run(draw.uniform(0.5, 4.0))
        if draw.random() < 0.25:
            match draw.choice(["release", "kill", "supplant"]):
                case "release":
                    world.schedulers[vm].release()
                    world.run(0.1)
                case "kill":
                    world.schedulers[vm].stop("killed")
                    world.run(draw.uniform(0.0, 1.0))
            vm = f"vm{number + 1}"
            world.claim_term(vm)
    world.faults.lost_orders = world.faults.late_orders = 0.0
    incidents.share_of_orders = 0.0
    world.run(20.0)
    assert world.fleet.unreachable == set()
    for worker_id in sorted(world.fleet.workers):
        world.register(worker_id)
    world.run(CALM_S)


def _draw_steps(draw: random.Random) -> tuple[model.Step, ...]:
    return draw.choice(
        [
            (simulation.make_step(draw.randint(1, 4)),),
            (simulation.make_step(draw.randint(1, 3), checkpoints=True),),
            (simulation.make_step(draw.randint(2, 3), simulation.WHOLE, gang=True),),
            (simulation.make_step(draw.randint(1, 3)), simulation.make_step(1, depends_on=(0,))),
        ]
    )


@pytest.mark.parametrize("seed", range(24))
def test_random_restarts(seed):
    """Guards against a second run, or a lost success, of a task whose worker has restarted.

    Load pattern: workers restart under their identifiers and are cut off soon after, calls are lost
    or carried out by the next incarnation, and the holder changes, while long tasks run.
    """
    world = play(seed)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)


def main(first: int, count: int) -> None:
    """Plays some seeds and prints those that fail."""
    failed = 0
    for seed in range(first, first + count):
        world = play(seed)
        unsuccessful = [
            f"{job_id} is {world.read_status(job_id).outcome}"
            for job_id in world.fleet.specs
            if world.read_status(job_id).outcome is not model.Outcome.SUCCEEDED
        ]
        found = [*world.fleet.violations, *unsuccessful]
        failed += bool(found)
        if found:
            print(seed, *found, sep="\n  ", flush=True)
        for text in world.fleet.unpreventable:
            print(seed, f"not counted: {text}", flush=True)
    print(f"{failed} of {count} seeds fail")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
