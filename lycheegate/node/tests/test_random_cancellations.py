"""The scheduler under drawn faults while jobs are cancelled, expire and are too large for a row."""

import random

import pytest

from lycheegate.jobs import model, state
from lycheegate.node import tables
from lycheegate.node.tests import simulation

RETENTION_S = 6.0
SETTLING_S = 20.0
"""Time without faults in which cancelled work must stop: leases, stops and a change of holders."""


def _draw_steps(draw: random.Random) -> tuple[model.Step, ...]:
    return draw.choice(
        [
            (simulation.make_step(draw.randint(1, 8), checkpoints=True),),
            (simulation.make_step(draw.randint(2, 3), simulation.WHOLE, gang=True),),
            (simulation.make_step(draw.randint(20, 60), model.Resources(100, 100, 0)),),
            (simulation.make_step(draw.randint(1, 3), long_running=True),),
            (
                simulation.make_step(draw.randint(1, 4)),
                simulation.make_step(draw.randint(1, 2), depends_on=(0,)),
            ),
        ]
    )


def _draw_faults(world: simulation.World) -> None:
    draw, faults = world.generator, world.faults
    faults.lost_writes = draw.choice([0.0, 0.1, 0.3])
    faults.late_writes = draw.choice([0.0, 0.1])
    faults.lost_orders = draw.choice([0.0, 0.2])
    faults.late_orders = draw.choice([0.0, 0.1])
    faults.history_lost = draw.random() < 0.2
    world.fleet.unreachable = {w for w in world.fleet.workers if draw.random() < 0.2}
    world.store.rejected_keys = {
        tables.get_progress_key(job_id) for job_id in world.fleet.specs if draw.random() < 0.1
    }


def _end_faults(world: simulation.World) -> None:
    world.faults.lost_writes = world.faults.late_writes = 0.0
    world.faults.lost_orders = world.faults.late_orders = 0.0
    world.faults.history_lost = False
    world.fleet.unreachable = set()
    world.store.rejected_keys = set()


def _check_started(world: simulation.World, job: model.Job) -> None:
    """Checks that all tasks of a job have started.

    The fake workers let a member of a gang end although another one has not started, and such an
    end stands for all members.
    """
    started = sum(task.job_id == job.job_id for task in world.fleet.starts)
    assert started == sum(step.count for step in job.steps) or (started and job.steps[0].gang)


@pytest.mark.parametrize("max_row_bytes", [49_152, 24])
@pytest.mark.parametrize("seed", range(20))
def test_random_cancellations(seed, max_row_bytes):
    """Guards against cancelled work that runs on or starts, and ended jobs that run again.

    Jobs are cancelled before they are stored, while they run and after they have ended. Answers of
    the store and of workers are lost or late, workers are cut off, some records are rejected, the
    history of the store is lost, holders are killed or release the term, and ended jobs expire.
    """
    world = simulation.World(seed)
    world.policy = state.Policy(max_row_bytes=max_row_bytes, retention_s=RETENTION_S)
    world.fleet.work_s = 2.0
    draw = world.generator
    cancelled: set[str] = set()
    holder = world.claim_term("vm0")
    for number in range(14):
        job_id = f"{number:016x}"
        if draw.random() < 0.1:
            cancelled.add(job_id)
            world.cancel(job_id)
            world.run(draw.uniform(0.0, 1.0))
        world.submit(simulation.make_job(job_id, *_draw_steps(draw)))
        _draw_faults(world)
        world.run(draw.uniform(0.3, 3.0))
        for other in sorted(set(world.fleet.specs) - cancelled):
            if draw.random() < 0.15 and tables.get_job_key(other) in world.store.rows:
                cancelled.add(other)
                world.cancel(other)
        world.run(draw.uniform(0.0, 0.5))
        if draw.random() < 0.4:
            if draw.random() < 0.5:
                holder.release()
                world.run(0.1)
            holder.stop("killed")
            holder = world.claim_term(f"vm{number + 1}")
    _end_faults(world)
    lasting = {j for j, job in world.fleet.specs.items() if job.steps[0].long_running}
    for job_id in lasting - cancelled:
        cancelled.add(job_id)
        world.cancel(job_id)
    world.run(SETTLING_S)
    starts = {task: count for task, count in world.fleet.starts.items() if task.job_id in cancelled}
    for worker in world.fleet.workers.values():
        worker.advance()
        assert not {task.job_id for task in worker.live} & cancelled
    world.run(90.0)
    assert world.fleet.violations == []
    assert starts == {
        task: count for task, count in world.fleet.starts.items() if task.job_id in cancelled
    }
    rows = [key for key in world.store.rows if key.table in (tables.JOBS, tables.PROGRESS)]
    assert rows + [key for key in world.store.rows if key.table == tables.PAGES] == []
    for job_id in set(world.fleet.specs) - cancelled:
        _check_started(world, world.fleet.specs[job_id])
