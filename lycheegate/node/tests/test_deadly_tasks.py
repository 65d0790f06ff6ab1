"""The scheduler with tasks that crash each worker that starts them."""

import pytest

from lycheegate.jobs import model
from lycheegate.node.tests import simulation

DEADLY = "d" * 16


def make_world(seed: int, returns_under_new_ids: bool, **fields) -> simulation.World:
    """Returns a world with a deadly job and eight others of several tasks."""
    world = simulation.World(seed)
    world.returns_under_new_ids = returns_under_new_ids
    world.fleet.work_s = 4.0
    count = fields.pop("count", 1)
    world.fleet.deadly = {model.TaskKey(DEADLY, 0, 0, index) for index in range(count)}
    world.submit(simulation.make_job(DEADLY, simulation.make_step(count, **fields)))
    for number in range(8):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(4)))
    return world


def assert_only_deadly_job_failed(world: simulation.World) -> None:
    """Asserts that the deadly job has failed, the others have succeeded, and nothing is broken."""
    assert world.fleet.violations == []
    outcomes = {job_id: world.read_status(job_id).outcome for job_id in world.fleet.specs}
    assert outcomes.pop(DEADLY) is model.Outcome.FAILED
    assert set(outcomes.values()) == {model.Outcome.SUCCEEDED}


@pytest.mark.parametrize("returns_under_new_ids", [False, True], ids=["same_id", "new_id"])
@pytest.mark.parametrize(
    "fields",
    [{}, {"count": 3, "gang": True}, {"long_running": True}, {"speculative": True}],
    ids=["task", "gang", "long_running", "speculative"],
)
def test_deadly_task_is_given_up(fields, returns_under_new_ids):
    """Guards against a task that crashes one worker after another for as long as its job lasts.

    Load pattern: a worker crashes soon after it starts the task, is back after some seconds with
    the same or another identifier, and loses the runs of other jobs.
    """
    world = make_world(1, returns_under_new_ids, **fields)
    world.claim_term("a")
    world.run(60.0)
    assert_only_deadly_job_failed(world)


@pytest.mark.parametrize("returns_under_new_ids", [False, True], ids=["same_id", "new_id"])
@pytest.mark.parametrize("term_s", [1.0, 1.7, 2.9, 4.3])
@pytest.mark.parametrize("seed", range(4))
def test_new_holder_counts_earlier_crashes(seed, term_s, returns_under_new_ids):
    """Guards against a new holder that does not know of crashes during the earlier terms.

    Each holder is lost before or after it has seen that the worker crashed. Its writes and the
    answers to them are lost at times.
    """
    world = make_world(seed, returns_under_new_ids)
    world.faults.lost_writes = 0.1
    previous = world.claim_term("a")
    for number in range(8):
        world.run(term_s)
        previous.stop("killed")
        world.run(0.5)
        previous = world.claim_term(f"b{number}")
    world.faults.lost_writes = 0.0
    world.run(90.0)
    assert_only_deadly_job_failed(world)


@pytest.mark.parametrize("returns_under_new_ids", [False, True], ids=["same_id", "new_id"])
@pytest.mark.parametrize("seed", range(4))
def test_tasks_beside_deadly_ones_are_not_given_up(seed, returns_under_new_ids):
    """Guards against failed jobs whose tasks only ran on workers that other tasks crashed.

    Load pattern: every third job of many is deadly, while all workers are busy.
    """
    world = simulation.World(seed)
    world.returns_under_new_ids = returns_under_new_ids
    world.fleet.work_s = 3.0
    world.claim_term("a")
    deadly_ids = set()
    for number in range(24):
        job_id = f"{number:016x}"
        if number % 3 == 0:
            deadly_ids.add(job_id)
            world.fleet.deadly.add(model.TaskKey(job_id, 0, 0, 0))
        world.submit(simulation.make_job(job_id, simulation.make_step(1 if number % 3 == 0 else 4)))
        world.run(0.4)
    world.run(120.0)
    assert world.fleet.violations == []
    failed = {
        job_id
        for job_id in world.fleet.specs
        if world.read_status(job_id).outcome is model.Outcome.FAILED
    }
    assert failed == deadly_ids


def test_crashes_for_another_reason_are_not_counted():
    """Guards against failed jobs whose workers crash long after the start of their tasks."""
    world = simulation.World(1)
    world.fleet.work_s = 8.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(12)))
    world.claim_term("a")
    for _ in range(5):
        world.run(6.0)
        for worker_id in sorted(world.fleet.workers)[::2]:
            world.fleet.crash(worker_id)
        world.run(2.0)
    world.run(60.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("deadly", [False, True], ids=["innocent", "deadly"])
@pytest.mark.parametrize("returns_under_new_ids", [False, True], ids=["same_id", "new_id"])
@pytest.mark.parametrize("seed", range(12))
def test_crashes_of_many_workers_at_once(seed, returns_under_new_ids, deadly):
    """Guards against jobs that fail because many workers crash for another reason.

    Load pattern: over half of the workers crash at once every few seconds, so that lost tasks have
    often just started when the next of these crashes comes. A deadly task is given up all the same.
    """
    world = simulation.World(seed, worker_count=18)
    world.returns_under_new_ids = returns_under_new_ids
    world.fleet.work_s = 2.5
    world.claim_term("a")
    if deadly:
        world.fleet.deadly = {model.TaskKey(DEADLY, 0, 0, 0)}
        world.submit(simulation.make_job(DEADLY, simulation.make_step()))
    for number in range(6):
        world.submit(simulation.make_job(f"{number:016x}", simulation.make_step(12)))
        world.run(world.generator.uniform(3.2, 3.8))
        for worker_id in sorted(world.fleet.workers):
            is_present = worker_id not in world.fleet.replaced | world.fleet.refusing
            if is_present and world.generator.random() < 0.6:
                world.fleet.crash(worker_id)
    world.run(60.0)
    if deadly:
        assert_only_deadly_job_failed(world)
    else:
        simulation.assert_all_succeed(world)


@pytest.mark.parametrize("returns_under_new_ids", [False, True], ids=["same_id", "new_id"])
@pytest.mark.parametrize("lost_orders", [0.3, 0.5, 1.0])
@pytest.mark.parametrize("seed", range(8))
def test_crash_after_a_lost_answer_counts(seed, lost_orders, returns_under_new_ids):
    """Guards against a deadly task that is never given up because its starts are not answered.

    The answer to the order is lost, or the worker crashes before it is sent.
    """
    world = make_world(seed, returns_under_new_ids)
    world.faults.lost_orders = lost_orders
    world.claim_term("a")
    world.run(60.0)
    world.faults.lost_orders = 0.0
    world.run(30.0)
    assert_only_deadly_job_failed(world)


@pytest.mark.parametrize("is_deadly", [False, True], ids=["faulty_worker", "deadly"])
def test_task_that_fits_on_one_worker_only(is_deadly):
    """Guards against a job that is shown as failed although one faulty worker has crashed.

    Load pattern: the only worker with the label of a task crashes three times, soon after each
    start of the task, and is sound from then on. A task that always crashes it is given up.
    """
    world = simulation.World(1)
    world.fleet.work_s = 2.0
    world.fleet.workers["w0"].labels.add("only")
    world.register("w0")
    world.submit(simulation.make_job(DEADLY, simulation.make_step(label="only")))
    task = model.TaskKey(DEADLY, 0, 0, 0)
    if is_deadly:
        world.fleet.deadly = {task}
    world.claim_term("a")
    for number in range(0 if is_deadly else 3):
        while world.fleet.starts.get(task, 0) <= number:
            world.run(0.05)
            assert world.loop.now_s < 150.0
        world.run(0.2)
        world.fleet.crash("w0")
    world.run(60.0)
    assert world.fleet.violations == []
    expected = model.Outcome.FAILED if is_deadly else model.Outcome.SUCCEEDED
    assert world.read_status(DEADLY).outcome is expected
    assert world.fleet.starts[task] == (5 if is_deadly else 4)
