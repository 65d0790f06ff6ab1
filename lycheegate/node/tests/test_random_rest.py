"""No accepted job stands still in calm times, whatever its wait is for (docs/incidents).

The plays bring all waits of the scheduler together: for the rack of the data, one rack for a gang,
faster workers, workers without failures, and room that is kept for other work.
"""

import dataclasses
from collections.abc import Callable

import pytest

from lycheegate.jobs import model
from lycheegate.node.tests import simulation, test_random_idleness

MAX_FAULTY_RATIO = 0.6
"""Largest share of the workers that fail what they start."""
SPEEDS = (1.0, 1.3, 3.0)
"""Time that workers of unlike speed take for a task, relative to the fastest."""
LONG_ESTIMATES_S = (11.0, 60.0)
"""Declared durations for which a task would wait for the rack of its data."""
LAST_RUNS_S = 150.0
"""Time in which all jobs end once nothing is submitted."""
STEP_S = 5.0
SEEDS = (
    *(5, 7, 21, 29, 34, 38, 56, 58, 61, 62),
    *(74, 81, 92, 94, 103, 120, 125, 136, 145, 171),
)
"""Seeds of plays in which jobs stood still, or scheduling passes failed, on earlier sources."""


class RestPlay(test_random_idleness.Play):
    """Storms with faulty workers, large gangs and tasks that last, and calm times.

    Args:
        seed: Seed of all draws.
    """

    _speeds: tuple[float, ...] = (1.0,)

    def __init__(self, seed: int):
        super().__init__(seed)
        self._speeds = self.draw.choice([(1.0,), SPEEDS, SPEEDS])
        for worker_id in self.world.fleet.workers:
            self._draw_speed(worker_id)
        self._lasting_ratio = self.draw.choice([0.0, 0.15, 0.3, 0.6])
        """Share of the accelerators that tasks that last may use."""
        self._lasting_accelerators = 0
        self._to_cancel: list[str] = []
        """Jobs that may not end by themselves."""
        self._cancelled: list[str] = []

    def run(self) -> None:
        """Plays all storms and the calm ending, cancels what lasts and waits for the others."""
        for _ in range(test_random_idleness.STORMS):
            self._run_storm(self.draw.uniform(3.0, 8.0))
            self._run_calm(self.draw.uniform(8.0, 14.0))
        self._run_calm(test_random_idleness.ENDING_S - test_random_idleness.LAST_JOB_S)
        open_ids = self._list_open()
        self._cancelled = [job_id for job_id in self._to_cancel if job_id in open_ids]
        for job_id in self._cancelled:
            self.world.cancel(job_id)
        end_s = self.world.loop.now_s + LAST_RUNS_S
        while self._list_open() and self.world.loop.now_s < end_s:
            self.world.run(STEP_S)

    def check_end(self) -> None:
        """Asserts that all jobs have ended as they should and nothing was violated."""
        assert self._list_open() == []
        assert self.world.fleet.violations == []
        for job_id in self.world.fleet.specs:
            outcome = self.world.read_status(job_id).outcome
            if job_id in self._cancelled:
                expected = model.Outcome.CANCELLED
            elif self._count_failures(job_id) >= self.world.route.max_attempts:
                # The last failures may have been lost with their worker.
                expected = outcome
            else:
                expected = model.Outcome.SUCCEEDED
            assert outcome is expected, job_id

    def _list_open(self) -> list[str]:
        return [
            job_id
            for job_id in self.world.fleet.specs
            if self.world.read_status(job_id).outcome is None
        ]

    def _count_failures(self, job_id: str) -> int:
        """Returns the largest number of failed runs of one task, or of one gang, of a job."""
        steps = self.world.fleet.specs[job_id].steps
        numbers_by_unit: dict[tuple[int, int], set[int]] = {}
        for task, numbers in self.world.fleet.failed_runs.items():
            if task.job_id == job_id:
                unit = (task.step, -1 if steps[task.step].gang else task.index)
                numbers_by_unit.setdefault(unit, set()).update(numbers)
        return max(map(len, numbers_by_unit.values()), default=0)

    def _add_worker(self, rack: str) -> None:
        super()._add_worker(rack)
        self._draw_speed(f"w{self._workers - 1}")

    def _draw_speed(self, worker_id: str) -> None:
        self.world.fleet.work_ratios[worker_id] = self.draw.choice(self._speeds)

    def _run_storm(self, duration_s: float) -> None:
        super()._run_storm(duration_s)
        self.world.fleet.faulty.clear()

    def _list_events(self) -> list[Callable[[], None]]:
        return [
            *super()._list_events(),
            self._begin_failures,
            self._begin_failures,
            self._submit_lasting,
            self._submit_lasting,
            self._submit_large_gang,
        ]

    def _begin_failures(self) -> None:
        """Lets some workers fail all that they start, for the rest of the storm or a part of it."""
        workers = sorted(self.world.fleet.workers)
        count = round(self.draw.uniform(0.1, MAX_FAULTY_RATIO) * len(workers))
        self.world.fleet.faulty = set(self.draw.sample(workers, count))
        self.world.loop.call_later(self.draw.uniform(0.5, 8.0), self._end_failures)

    def _end_failures(self) -> None:
        if self.world.fleet.faulty:
            self.world.fleet.faulty.clear()
            self.check.record_fault()

    def _submit_lasting(self) -> None:
        """Submits tasks that last, unless they would use too large a share of the service."""
        draw = self.draw
        count = draw.randint(1, 4)
        need = draw.choice([simulation.SMALL, simulation.WHOLE])
        fields = draw.choice(
            [
                {},
                {"max_per_worker": 1},
                {"near_rack": f"r{draw.randint(0, 1)}"},
                {"near_rack": f"r{draw.randint(0, 1)}", "max_per_worker": 1},
                {"label": f"r{draw.randint(0, 1)}"},
                {"gang": True},
                {"gang": True, "same_rack": True},
            ]
        )
        if "gang" in fields or "label" in fields:
            # Fits into the two workers that stay in each rack.
            count = min(count, test_random_idleness.MIN_IN_RACK)
        accelerators = count * need.accelerators
        total = sum(w.capacity.accelerators for w in self.world.fleet.workers.values())
        if self._lasting_accelerators + accelerators > self._lasting_ratio * total:
            return
        self._lasting_accelerators += accelerators
        estimate_s = draw.choice(LONG_ESTIMATES_S)
        self._to_cancel.append(f"{self._jobs:016x}")
        self._submit((model.Step(count, need, estimate_s, long_running=True, **fields),))

    def _submit_large_gang(self) -> None:
        """Submits a gang that needs a large part of the service, and may wait for long."""
        present = len(self.world.fleet.workers) - len(self._absent)
        count = self.draw.randint(4, max(4, present))
        step = simulation.make_step(count, simulation.WHOLE, gang=True)
        self._to_cancel.append(f"{self._jobs:016x}")
        self._submit((step,))

    def _submit_urgent(self) -> None:
        if self.draw.random() < 0.5:
            super()._submit_urgent()
            return
        fields = {"gang": True, "same_rack": self.draw.random() < 0.5}
        step = simulation.make_step(self.draw.randint(2, 4), simulation.WHOLE, **fields)
        self._submit((step,), self.world.urgent)

    def _draw_steps(self, most: int) -> tuple[model.Step, ...]:
        draw = self.draw
        if draw.random() < 0.5:
            return super()._draw_steps(most)
        count = draw.randint(1, most)
        in_rack = draw.randint(1, test_random_idleness.RACK_SIZE)
        estimate_s = draw.choice(LONG_ESTIMATES_S)
        near = model.Step(count, simulation.SMALL, estimate_s, near_rack=f"r{draw.randint(0, 1)}")
        gang = model.Step(in_rack, simulation.WHOLE, estimate_s, gang=True, same_rack=True)
        return draw.choice(
            [
                (near,),
                (dataclasses.replace(near, max_per_worker=1),),
                (dataclasses.replace(near, need=simulation.WHOLE, count=in_rack),),
                (gang,),
                (dataclasses.replace(gang, near_rack=near.near_rack),),
                (simulation.make_step(count), dataclasses.replace(gang, depends_on=(0,))),
                (dataclasses.replace(near, checkpoints=True),),
            ]
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_is_idle_in_calm_times_whatever_it_waits_for(seed):
    """Guards against work that stands still beside free room because of a wait of the scheduler.

    In storms, some workers fail all that they start, and large and urgent gangs, tasks that last
    and tasks near their data are submitted. Only time from 4 s after the last fault counts.
    """
    play = RestPlay(seed)
    play.run()
    assert play.check.found == {}
    play.check_end()
