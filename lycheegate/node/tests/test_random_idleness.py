"""No accepted job stands still in calm times between drawn faults (docs/incidents)."""

import dataclasses
import random
from collections.abc import Callable

import pytest

from lycheegate.jobs import model
from lycheegate.node.tests import fake_workers, simulation

RACK_SIZE = 4
MIN_IN_RACK = 2
"""Number of workers that stay in each rack, of which some steps require the label."""
NOTICE_S = 2.0
"""Time from the announcement of a departure until the worker leaves."""
EVENT_S = 0.4
"""Interval of the draws of events in a storm."""
STORMS = 3
ENDING_S = 40.0
LAST_JOB_S = 15.0
"""Time before the end after which no job is submitted, so that all can end."""
JOB_ID = "f" * 16
CAPACITY = model.Resources(16_000, 32_000, 8)
PROCESSORS = model.Resources(16_000, 1_000, 0)
"""All processors of a worker."""
ACCELERATORS = model.Resources(1_000, 1_000, 8)
"""All accelerators of a worker."""


def remove_worker(world: simulation.World, worker_id: str) -> None:
    """Removes a worker with its runs and its registration; calls to it get no answer."""
    world.fleet.workers[worker_id].reset()
    # Calls under way end as well.
    world.fleet.refusing.add(worker_id)
    world.fleet.unreachable.add(worker_id)
    world.unregister(worker_id)


class Play:
    """Storms of faults and calm times, drawn from a seed.

    Args:
        seed: Seed of all draws.
    """

    def __init__(self, seed: int):
        self.draw = random.Random(seed)
        self.world = simulation.World(seed, worker_count=0)
        self.world.fleet.work_s = self.draw.choice([0.8, 2.0, 5.0])
        self._workers = self._vms = self._jobs = 0
        self._absent: set[str] = set()
        """Workers that leave, have left, are down or are silent."""
        for number in range(self.draw.randint(8, 16)):
            self._add_worker(f"r{number // RACK_SIZE}")
        self.check = self.world.watch_idleness()
        self._claim()

    def run(self) -> None:
        """Plays all storms, then the calm ending."""
        for _ in range(STORMS):
            self._run_storm(self.draw.uniform(3.0, 8.0))
            self._run_calm(self.draw.uniform(8.0, 14.0))
        self._run_calm(ENDING_S - LAST_JOB_S)
        self.world.run(LAST_JOB_S)

    def _add_worker(self, rack: str) -> None:
        worker_id = f"w{self._workers}"
        self.world.fleet.add(worker_id, rack, CAPACITY)
        self.world.register(worker_id)
        self._workers += 1

    def _claim(self) -> None:
        self.world.claim_term(f"vm{self._vms}")
        self._vms += 1

    def _run_storm(self, duration_s: float) -> None:
        draw, faults = self.draw, self.world.faults
        faults.lost_writes = draw.choice([0.0, 0.1, 0.33])
        faults.late_writes = draw.choice([0.0, 0.1, 0.33])
        faults.lost_orders = draw.choice([0.0, 0.1])
        faults.late_orders = draw.choice([0.0, 0.0, 0.1])
        end_s = self.world.loop.now_s + duration_s
        while self.world.loop.now_s < end_s:
            self._begin_event()
            self.check.record_fault()
            self.world.run(EVENT_S)
        faults.lost_writes = faults.late_writes = 0.0
        faults.lost_orders = faults.late_orders = 0.0
        self.check.record_fault()

    def _run_calm(self, duration_s: float) -> None:
        end_s = self.world.loop.now_s + duration_s
        while self.world.loop.now_s < end_s:
            self._submit(self._draw_steps(4))
            self.world.run(self.draw.uniform(0.8, 3.0))

    def _begin_event(self) -> None:
        event = self.draw.choice(self._list_events())
        event()

    def _list_events(self) -> list[Callable[[], None]]:
        return [
            self._begin_departure,
            self._begin_departure,
            self._begin_crash,
            self._begin_silence,
            self._change_holder,
            self._change_holder,
            self._lose_store,
            lambda: self._submit(self._draw_steps(12)),
            lambda: self._submit(self._draw_steps(12)),
            self._submit_urgent,
        ]

    def _submit(self, steps: tuple[model.Step, ...], route: model.Route | None = None) -> None:
        name = "batch" if route is None else route.name
        job = simulation.make_job(f"{self._jobs:016x}", *steps, route=name)
        job = dataclasses.replace(job, accepted_at_s=self.world.loop.now_s)
        self.world.submit(job, route)
        self._jobs += 1

    def _submit_urgent(self) -> None:
        for _ in range(self.draw.randint(1, 4)):
            step = simulation.make_step(self.draw.randint(1, 4), simulation.WHOLE, gang=True)
            self._submit((step,), self.world.urgent)

    def _draw_steps(self, most: int) -> tuple[model.Step, ...]:
        draw = self.draw
        count = draw.randint(1, most)
        few = draw.randint(1, min(most, 4))
        rack = f"r{draw.randint(0, 1)}"
        estimate_s = draw.choice([0.5, 1.0, 3.0])

        def make(count: int, need: model.Resources = simulation.SMALL, **fields) -> model.Step:
            return model.Step(count, need, estimate_s, **fields)

        return draw.choice(
            [
                (make(count),),
                (make(count, checkpoints=True),),
                (simulation.make_step(count, near_rack=rack),),
                (make(count, label=rack),),
                (make(count, max_per_worker=1),),
                (make(few, simulation.WHOLE, gang=True),),
                (make(few, gang=True, same_rack=True, checkpoints=True),),
                (make(count), make(few, depends_on=(0,))),
                (make(few, gang=True), make(few, depends_on=(0,), max_per_worker=1)),
            ]
        )

    def _choose_present(self) -> str | None:
        """Returns a worker without a fault, or None if few are left in each rack."""
        by_rack: dict[str, list[str]] = {}
        for worker_id, worker in self.world.fleet.workers.items():
            if worker_id not in self._absent:
                by_rack.setdefault(worker.rack, []).append(worker_id)
        present = [w for rack in by_rack.values() if len(rack) > MIN_IN_RACK for w in rack]
        return self.draw.choice(present) if present else None

    def _begin_departure(self) -> None:
        """Announces the departure of one or two workers, which may be replaced by new ones."""
        for _ in range(self.draw.randint(1, 2)):
            worker_id = self._choose_present()
            if worker_id is None:
                return
            self._absent.add(worker_id)
            self.world.register(worker_id, draining=True, remaining_ms=int(NOTICE_S * 1000))
            self.world.loop.call_later(NOTICE_S, lambda w=worker_id: self._end_departure(w))
            if self.draw.random() < 0.8:
                rack = self.world.fleet.workers[worker_id].rack
                arrives_s = self.draw.uniform(0.0, 4.0)
                self.world.loop.call_later(arrives_s, lambda r=rack: self._add_worker(r))

    def _end_departure(self, worker_id: str) -> None:
        remove_worker(self.world, worker_id)
        self.check.record_fault()

    def _begin_crash(self) -> None:
        worker_id = self._choose_present()
        if worker_id is not None:
            self._absent.add(worker_id)
            self.world.fleet.crash(worker_id)
            duration_s = fake_workers.CRASH_DOWN_S
            self.world.loop.call_later(duration_s, lambda: self._end_fault(worker_id))

    def _begin_silence(self) -> None:
        worker_id = self._choose_present()
        if worker_id is not None:
            self._absent.add(worker_id)
            self.world.fleet.unreachable.add(worker_id)
            duration_s = self.draw.uniform(0.3, 4.0)
            self.world.loop.call_later(duration_s, lambda: self._end_fault(worker_id))

    def _lose_store(self) -> None:
        """Makes the store unreachable for the holder for a while."""
        vm = f"vm{self._vms - 1}"
        self.world.faults.refused_vms.add(vm)
        self.world.loop.call_later(self.draw.uniform(0.3, 4.0), lambda: self._restore_store(vm))

    def _restore_store(self, vm: str) -> None:
        self.world.faults.refused_vms.discard(vm)
        self.check.record_fault()

    def _end_fault(self, worker_id: str) -> None:
        self.world.fleet.unreachable.discard(worker_id)
        self._absent.discard(worker_id)
        self.check.record_fault()

    def _change_holder(self) -> None:
        """Hands the term over, up to three times in a row."""
        for _ in range(self.draw.randint(1, 3)):
            holder = self.world.schedulers[f"vm{self._vms - 1}"]
            end = self.draw.choice(["killed", "released", "superseded"])
            if end == "killed":
                holder.stop("killed")
            elif end == "released":
                holder.release()
            self.check.record_fault()
            self.world.run(self.draw.choice([0.0, 0.1, 0.5, 1.5]))
            self._claim()
            self.check.record_fault()
            self.world.run(self.draw.choice([0.02, 0.1, 0.5, 1.5]))


@pytest.mark.parametrize("seed", range(20))
def test_no_job_is_idle_in_calm_times(seed):
    """Guards against jobs with nothing running after departures, preemptions and lost writes.

    Only time from 4 s after the last fault counts. The play ends with 40 s of light load.
    """
    play = Play(seed)
    play.run()
    assert play.check.found == {}
    simulation.assert_all_succeed(play.world)


def test_reservations_of_blocked_gangs_leave_room_for_other_jobs():
    """Guards against a job that waits for room that is reserved for gangs which cannot start soon.

    Load pattern: a long task on each of nine workers, of whose capacity nearly all is free, and two
    gangs that need five whole workers each.
    """
    world = simulation.World(1, worker_count=10)
    world.fleet.work_s = 60.0
    world.claim_term("a")
    world.run(1.0)
    check = world.watch_idleness()
    world.submit(simulation.make_job("0" * 16, simulation.make_step(9, max_per_worker=1)))
    world.run(1.0)
    for number in (1, 2):
        gang = simulation.make_step(5, simulation.WHOLE, gang=True)
        world.submit(simulation.make_job(f"{number:016x}", gang))
    world.run(1.0)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(10.0)
    assert check.found == {}


def test_headroom_leaves_room_on_a_service_that_is_less_than_half_used():
    """Guards against a job that waits because of headroom for an urgent gang that fits nowhere.

    Load pattern: some workers have their processors in use and others their accelerators. Each
    such worker counts as fully used for the headroom, so that 8 of 10 do, although less than half
    of the processors and less than half of the accelerators are in use.
    """
    world = simulation.World(1, worker_count=10)
    world.fleet.work_s = 60.0
    world.claim_term("a")
    world.run(1.0)
    check = world.watch_idleness()
    for number, need in enumerate([PROCESSORS, ACCELERATORS]):
        step = simulation.make_step(4, need, max_per_worker=1)
        world.submit(simulation.make_job(f"{number:016x}", step))
        world.run(0.5)
    gang = simulation.make_step(11, simulation.WHOLE, gang=True)
    world.submit(simulation.make_job("2" * 16, gang, route="urgent"), world.urgent)
    world.run(1.0)
    need = model.Resources(9_000, 1_000, 0)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1, need)))
    world.run(10.0)
    assert check.found == {}


@pytest.mark.parametrize("handover_s", [None, 0.4, 1.0])
def test_work_is_evacuated_in_time_by_a_new_holder(handover_s):
    """Guards against a departure that a new holder expects too late.

    The registration tells how long the worker stayed when it was written. A new holder reads it
    later. Work that is lost with its worker starts again only when its lease has expired.
    """
    world = simulation.World(1, worker_count=4)
    world.fleet.work_s = 20.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(4, checkpoints=True)))
    holder = world.claim_term("a")
    world.run(2.0)
    leaving = world.fleet.find_busy_worker()
    world.register(leaving, draining=True, remaining_ms=int(NOTICE_S * 1000))
    world.run(handover_s or 0.0)
    if handover_s:
        holder.stop("killed")
        world.claim_term("b")
    world.run(NOTICE_S - (handover_s or 0.0))
    remove_worker(world, leaving)
    world.run(0.5)
    assert set(world.fleet.starts.values()) == {2}


def test_no_order_goes_to_a_worker_whose_registration_was_deleted():
    """Guards against a start order for a worker that is known to be gone.

    The worker goes without an announcement that reaches the holder, while the write of the
    intention has no answer. Nothing proves that such an order had no effect until a lease expires.
    """
    world = simulation.World(1, worker_count=4)
    holder = world.claim_term("a")
    world.run(1.0)
    check = world.watch_idleness()
    world.faults.lost_writes = 1.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(0.5)
    (leaving,) = (w.worker_id for w in holder._state.workers.values() if w.runs)
    remove_worker(world, leaving)
    world.run(1.0)
    world.faults.lost_writes = 0.0
    check.record_fault()
    world.run(12.0)
    assert check.found == {}


@pytest.mark.parametrize("phase_s", [0.0, 0.9, 1.1])
def test_leases_of_a_worker_whose_registration_was_deleted_are_not_renewed(phase_s):
    """Guards against leases that calls without an answer renew after their worker is gone.

    The parameter is the time at which the worker goes, relative to its reports.
    """
    world = simulation.World(1, worker_count=4)
    world.fleet.work_s = 30.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.claim_term("a")
    world.run(2.0 + phase_s)
    check = world.watch_idleness()
    remove_worker(world, world.fleet.find_busy_worker())
    world.run(12.0)
    assert check.found == {}


def test_departures_between_terms_do_not_fail_a_job():
    """Guards against a job that fails because its workers left while the holder changed.

    A run recorded on a worker that has left by the time a term begins counts as a crash of the
    worker under its task, whether or not the worker announced its departure and the run had lasted.
    """
    world = simulation.World(1, worker_count=6)
    world.fleet.work_s = 60.0
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    for vm in ("a", "b", "c"):
        holder = world.claim_term(vm)
        # Time for the runs on unregistered workers to be given up, and for a new one to last.
        world.run(20.0)
        leaving = world.fleet.find_busy_worker()
        world.register(leaving, draining=True, remaining_ms=int(NOTICE_S * 1000))
        holder.stop("killed")
        world.run(NOTICE_S)
        remove_worker(world, leaving)
    world.claim_term("d")
    world.run(20.0)
    assert world.read_status(JOB_ID).outcome is None
