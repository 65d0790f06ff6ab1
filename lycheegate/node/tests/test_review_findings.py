"""Findings of the review of the fixes for idle jobs; each test fails until its fault is fixed."""

import dataclasses
import random
import string

import pytest

from lycheegate.jobs import model, state, strays, workers
from lycheegate.node import storage, tables, terms
from lycheegate.node.tests import fake_store, simulation

JOB_ID = "0" * 16
TICK_S = 0.005
ENTRY_BYTES = 200


@dataclasses.dataclass(eq=False, slots=True)
class _Transfer:
    """A transaction that is being sent."""

    transaction: storage.Transaction
    callback: object
    remaining_bytes: float
    expires_at_s: float


class _SlowLink:
    """Link from a VM to the store; calls that are sent at the same time share its rate.

    A call that does not arrive within its timeout is broken off, as the HTTP client does.
    """

    def __init__(self, world: simulation.World, scheduler, bytes_per_s: float):
        self._loop = world.loop
        self._bytes_per_s = bytes_per_s
        self._transfers: list[_Transfer] = []
        self._transact = scheduler._runtime.store.transact
        scheduler._runtime.store.transact = self._send
        self.broken_off = 0
        self._loop.call_later(TICK_S, self._advance)

    def _send(self, transaction: storage.Transaction, timeout_s: float, callback) -> None:
        entries = [*transaction.conditions, *transaction.writes, *transaction.deletes]
        size = sum(len(write.value) for write in transaction.writes) * 4 / 3
        size += ENTRY_BYTES * len(entries)
        expires_at_s = self._loop.now_s + timeout_s
        self._transfers.append(_Transfer(transaction, callback, size, expires_at_s))

    def _advance(self) -> None:
        share = self._bytes_per_s * TICK_S / max(1, len(self._transfers))
        for transfer in list(self._transfers):
            transfer.remaining_bytes -= share
            if transfer.remaining_bytes <= 0.0:
                self._transfers.remove(transfer)
                left_s = transfer.expires_at_s - self._loop.now_s
                self._transact(transfer.transaction, left_s, transfer.callback)
            elif self._loop.now_s >= transfer.expires_at_s:
                self._transfers.remove(transfer)
                self.broken_off += 1
                transfer.callback(fake_store.make_unknown())
        self._loop.call_later(TICK_S, self._advance)


@pytest.mark.parametrize("tasks", [90, 150])
def test_large_record_is_stored_over_a_slow_link(tasks):
    """Guards against a large record that is repeated before it can arrive, and never stored.

    Its 280 or 460 KB take 0.6 s or 1.0 s over a link of 5 Mbit/s. Repetitions share the link with
    the writes before them, and an answer to a heartbeat in between says nothing about how long a
    large record takes.
    """
    world = simulation.World(1)
    world.fleet.work_s = 60.0
    scheduler = world.claim_term("a")
    world.run(1.0)
    _SlowLink(world, scheduler, 625_000)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(tasks, checkpoints=True)))
    while JOB_ID not in scheduler._state.jobs:
        world.run(0.0005)
    generator = random.Random(1)
    alphabet = string.ascii_letters + string.digits + "+/"
    step = scheduler._state.jobs[JOB_ID].steps[0, 0]
    step.checkpoints = {i: "".join(generator.choices(alphabet, k=4_000)) for i in range(tasks)}
    world.run(15.0)
    assert len(world.fleet.starts) > 0


@pytest.mark.parametrize("transaction_s", [0.8, 1.2, 1.5, 1.9])
def test_term_outlasts_a_store_that_becomes_slow(transaction_s):
    """Guards against repeated writes that queue behind each other until the term is lost.

    Transactions take a few milliseconds until the store becomes slow, so the first slow one is
    repeated. One at a time would renew the term in time.
    """
    world = simulation.World(1)
    scheduler = world.claim_term("a")
    world.run(1.0)
    world.faults.transaction_s = transaction_s
    oldest_s = 0.0
    for _ in range(2_000):
        world.run(0.01)
        oldest_s = max(oldest_s, world.loop.now_s - scheduler._writer.renewed_at_s)
    # At that age the VM no longer answers that it holds the term, so others claim it at once.
    limit_s = terms.MAX_RENEWAL_AGE_S if transaction_s < 1.0 else terms.RENEWING_HOLDER_TIMEOUT_S
    assert oldest_s < limit_s


def _make_worker_state() -> tuple[state.SchedulerState, state.WorkerState]:
    """Returns a state with one worker, which has reported."""
    capacity = model.Resources(64_000, 64_000, 64)
    current = state.SchedulerState(2, state.Policy(), 1.0)
    worker = state.WorkerState("w0", "render", "a:1", "z", "r0", frozenset(), capacity, capacity)
    worker.confirmed = True
    current.workers["w0"] = worker
    route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
    step = model.Step(1, model.Resources(1_000, 1_000, 1), 9.0)
    job = model.Job(JOB_ID, "batch", "acme", "x", (step,), 0.0)
    current.jobs[JOB_ID] = state.JobState(job, route)
    return current, worker


def test_stray_run_outlasts_a_report_that_may_be_older():
    """Guards against a task that starts again while its stray run goes on.

    A poll waits for an end at its worker, while a report is requested beside it. The answers
    overtake each other. The report may have been made before the stray run began, although it was
    requested later than the poll.
    """
    current, _ = _make_worker_state()
    task = model.TaskKey(JOB_ID, 0, 0, 0)
    stray = workers.ListedRun(task, str(task), 3, "", 10)
    poll = workers.Report("w0", 5_000, 1, (stray,), (), 10.0, 11.4)
    additional = workers.Report("w0", 4_700, 1, (), (), 11.0, 11.5)
    workers.apply_report(current, poll)
    workers.apply_report(current, additional)
    assert current.stray_tasks == {task: 1}


def test_unknown_runs_outlast_a_report_that_may_be_older():
    """Guards against work that is placed beside a run of unknown size, which is still present."""
    current, worker = _make_worker_state()
    unknown = workers.ListedRun(None, "odd", 3, "", 10)
    workers.apply_report(current, workers.Report("w0", 5_000, 1, (unknown,), (), 10.0, 11.4))
    workers.apply_report(current, workers.Report("w0", 4_700, 1, (), (), 11.0, 11.5))
    assert worker.unknown_runs


def test_stray_run_ends_with_the_replacement_of_its_worker():
    """Guards against a task that waits for the lease of a worker that is known to be gone.

    Another worker answers at the endpoint, which ends the current runs of the worker at once.
    """
    world = simulation.World(2)
    scheduler = world.claim_term("a")
    world.run(1.0)
    current = scheduler._state
    worker = current.workers["w0"]
    task = model.TaskKey(JOB_ID, 0, 0, 0)
    strays.add_stray(current, worker, task, 3, simulation.SMALL)
    scheduler._exchange._handle_replaced_worker(worker, worker.reported_address)
    assert current.stray_tasks == {}


def test_lasting_task_does_not_stay_idle_for_the_rack_of_its_data():
    """Guards against a lasting task that waits for a rack while others of its job run.

    Such a task must not be idle for 3 s from 6 s after its last run, whatever else its job runs.
    """
    world = simulation.World(1, worker_count=12)
    world.claim_term("a")
    step = model.Step(
        2, simulation.WHOLE, estimate_s=60.0, near_rack="r0", long_running=True, max_per_worker=1
    )
    world.submit(simulation.make_job(JOB_ID, step))
    world.run(1.0)
    busy = [w for w, worker in world.fleet.workers.items() if worker.live]
    assert len(busy) == 2
    world.fleet.work_s = 200.0
    filler = simulation.make_step(1, simulation.WHOLE, label="r0")
    world.submit(simulation.make_job(f"{1:016x}", filler))
    world.run(1.0)
    world.fleet.unreachable.add(busy[0])
    world.unregister(busy[0])
    world.run(7.0 + 6.0 + 3.0)
    assert sum(world.fleet.starts[task] for task in world.fleet.starts if task.job_id == JOB_ID) > 2


def test_released_heartbeat_is_not_replaced_by_a_later_one_of_its_term():
    """Guards against a release that is taken back after other VMs have seen it.

    The answer to the write that releases the term is lost. A record with an intention, which was
    held back until then, is due when the write is repeated.
    """
    world = simulation.World(1)
    scheduler = world.claim_term("a")
    world.run(1.0)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while JOB_ID not in scheduler._state.jobs:
        world.run(0.001)
    scheduler._state.jobs[JOB_ID].write_not_before_s = world.loop.now_s + 0.4
    world.run(0.1)
    world.faults.lost_writes = 1.0
    scheduler.release()
    world.faults.lost_writes = 0.0
    world.run(3.0)
    beats = [
        tables.decode_heartbeat(row.value)
        for row in world.store.changes
        if row.key == tables.HEARTBEAT
    ]
    released = [beat.is_released for beat in beats]
    assert released == sorted(released)
