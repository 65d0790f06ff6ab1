"""Fleet of workers of different speeds, whose runs a duration model learns from."""

import dataclasses
import heapq
import math
import random

from lycheegate.jobs import model, runs, state
from lycheegate.jobs.durations import factors

UNEVEN = (0.6, 1.0, 1.6)
EVEN = (1.0,)
_CAPACITY = model.Resources(64_000, 256_000, 8)
_NEED = model.Resources(1_000, 1_000, 1)


@dataclasses.dataclass(slots=True)
class Played:
    """A run or gang to be played: its step, its workers and its true duration."""

    job: state.JobState
    step: state.StepState
    placement: list[str]
    duration_s: float


class Fleet:
    """Scheduler state with workers that take given times for a task, on a fake clock."""

    def __init__(self, seed: int, worker_count: int, ratios: tuple[float, ...]):
        self.random = random.Random(seed)
        self.now_s = 100.0
        self._started = 0
        self._ends: list[tuple[float, int, list[state.Run]]] = []
        self.current = state.SchedulerState(1, state.Policy(), 100.0)
        self.ratios: dict[str, float] = {}
        self.true_ratios: dict[str, float] = {}
        for number in range(worker_count):
            worker_id = f"w{number}"
            self.ratios[worker_id] = ratios[number % len(ratios)]
            place = ("render", "a:1", "z", f"r{number // 20}", frozenset())
            worker = state.WorkerState(worker_id, *place, _CAPACITY, _CAPACITY)
            worker.incarnation.born_ms = worker.registered_born_ms = 1
            self.current.workers[worker_id] = worker

    def add_job(self, account="acme", route="batch", ratio=None, **fields) -> state.JobState:
        """Adds a job of one step whose true duration is off by a lognormal factor."""
        step = model.Step(fields.pop("count", 1), _NEED, fields.pop("estimate_s", 6.0), **fields)
        job_id = f"{len(self.true_ratios):016}"
        queue = model.Route(route, "h", "/b/", "render", 1, 3, 3.0, 3.0)
        job = state.JobState(model.Job(job_id, route, account, "x", (step,), 0.0), queue)
        job.steps[0, 0] = state.StepState((0, 0), step)
        self.current.jobs[job_id] = job
        self.true_ratios[job_id] = ratio or math.exp(self.random.gauss(0.0, 0.405))
        return job

    def draw(self, job: state.JobState, workers: list[str] | None = None) -> list[Played]:
        """Draws workers and durations of a job's tasks; 3% take seven times as long."""
        step = job.steps[0, 0]
        count = step.step.count
        placement = workers or [self.random.choice(list(self.ratios)) for _ in range(count)]
        if step.step.gang:
            return [Played(job, step, placement, self._draw_s(job, placement))]
        return [Played(job, step, [w], self._draw_s(job, [w])) for w in placement]

    def _draw_s(self, job: state.JobState, placement: list[str]) -> float:
        factor = math.exp(self.random.gauss(0.0, 0.15))
        if self.random.random() < 0.03:
            factor *= 7.0
        slowest = max(self.ratios[worker_id] for worker_id in placement)
        declared_s = job.job.steps[0].estimate_s
        return declared_s * self.true_ratios[job.job.job_id] * slowest * factor

    def start(self, played: Played) -> list[state.Run]:
        """Starts the runs of a task or gang now."""
        result = []
        for worker_id in played.placement:
            worker, step = self.current.workers[worker_id], played.step
            index = len(step.run_numbers)
            run = runs.add_run(self.current, played.job, step, index, worker, 1, self.now_s)
            run.phase = state.RunPhase.ORDERED
            runs.record_start_confirmed(self.current, run, self.now_s)
            result.append(run)
        return result

    def play(self, played: Played) -> None:
        """Starts a task or gang now and ends it after its duration."""
        started = self.start(played)
        self.now_s += played.duration_s
        self._end(started)

    def play_all(self, played: list[Played], interval_s: float = 0.25) -> None:
        """Starts tasks and gangs one after another, and ends those that are due meanwhile."""
        for item in played:
            end_s = self.now_s + item.duration_s
            self._started += 1
            heapq.heappush(self._ends, (end_s, self._started, self.start(item)))
            start_s = self.now_s + interval_s
            while self._ends and self._ends[0][0] <= start_s:
                self.now_s, _, started = heapq.heappop(self._ends)
                self._end(started)
            self.now_s = start_s

    def _end(self, started: list[state.Run]) -> None:
        for run in started:
            # Reports have arrived until the end.
            run.advanced_at_s = self.now_s
            runs.end_run(self.current, run, runs.End.DONE, "done", self.now_s)
        factors.refresh(self.current.durations, self.now_s)

    def learn(self, worker_id: str, ratio: float, runs: int = 20) -> None:
        """Makes a worker known as one that takes ``ratio`` times the typical time."""
        effect = factors.WorkerEffect(1, math.log(ratio), 0.001, runs, self.now_s)
        self.current.durations.workers[worker_id] = effect
        self.current.durations.worker_variance = 0.16

    def get_ratio(self, worker_id: str) -> float:
        """Returns the estimated ratio of a worker."""
        return factors.get_worker_estimate(self.current.durations, worker_id, self.now_s).ratio

    def list_errors(self) -> list[float]:
        """Returns the estimate of each worker over its true ratio, as seen from the typical one."""
        typical = math.exp(sum(map(math.log, self.ratios.values())) / len(self.ratios))
        return [
            self.get_ratio(worker_id) / (ratio / typical)
            for worker_id, ratio in self.ratios.items()
        ]
