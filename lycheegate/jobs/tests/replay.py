"""Replays a load on simulated workers against the decisions of the scheduler, without a network."""

import dataclasses
import math
import random

from lycheegate.jobs import commands, lifecycle, model, ordering, runs, scheduling, state

TICK_S = 0.05
STOP_S = 0.15
FAILS_AFTER_S = 0.2
"""Age at which a run fails on a failing worker."""
CAPACITY = model.Resources(32_000, 128_000, 8)
ROUTES = {
    "batch": model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0),
    "gangs": model.Route("gangs", "h", "/g/", "render", 1, 3, 3.0, 1.0),
    "urgent": model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.3),
}


LOSS_RATIO = 0.02
"""Share of the capacity that preemptions beyond the guarantee may lose."""


def make_configuration(
    accounts: dict[str, model.Account], preemption_loss_ratio: float | None
) -> model.Configuration:
    """Returns a configuration with one service and a limit on what preemptions lose there."""
    services = {"render": model.Service("render", False, preemption_loss_ratio, True)}
    return model.Configuration(1, ROUTES, services, accounts, {}, 1)


@dataclasses.dataclass(slots=True)
class Record:
    """What callers see of a job, in seconds after its acceptance."""

    job: state.JobState
    level: int = 2
    started_after_s: float | None = None
    ended_after_s: float | None = None


class Replay:
    """A fleet of workers and a scheduler; ``step`` advances the time by one tick.

    Args:
        workers: Number of workers, ten in a rack.
        guaranteed: Guaranteed accelerators of each client account.
        seed: Seed of the true durations.
    """

    def __init__(self, workers: int, guaranteed: dict[str, int], seed: int):
        self.now_s = 10.0
        self.lost_core_s = 0.0
        self.records: dict[str, Record] = {}
        self.events: list[tuple[float, commands.Decision]] = []
        self.silent: set[str] = set()
        self.failing_since_s: dict[str, float] = {}
        self._generator = random.Random(seed)
        self._duration_s: dict[tuple, float] = {}
        accounts = {n: model.Account(n, frozenset(), g) for n, g in guaranteed.items()}
        self.current = state.SchedulerState(1, state.Policy(), 0.0)
        self.current.configuration = make_configuration(accounts, LOSS_RATIO)
        for number in range(workers):
            name, rack = f"w{number:03}", f"r{number // 10}"
            self.current.workers[name] = state.WorkerState(
                name,
                "render",
                "a:1",
                "z",
                rack,
                frozenset(),
                CAPACITY,
                CAPACITY,
                incarnation=state.Incarnation(confirmed=True),
            )

    def submit(self, route: str, account: str, step: model.Step) -> Record:
        """Accepts a job now."""
        job_id = f"{len(self.records):016x}"
        job = model.Job(job_id, route, account, "x", (step,), self.now_s)
        record = self.records[job_id] = Record(state.JobState(job, ROUTES[route]))
        lifecycle.add_job(self.current, record.job, self.now_s, self.now_s)
        guaranteed = ordering.list_guaranteed_accounts(self.current)
        record.level = ordering.rank_job(self.current, record.job, guaranteed, self.now_s).level
        return record

    def step(self) -> None:
        """Advances the time, ends runs, reports their progress and runs a scheduling pass."""
        self.now_s += TICK_S
        for worker in self.current.workers.values():
            if worker.worker_id not in self.silent:
                worker.reported_at_s = worker.listed_at_s = self.now_s
                for run in list(worker.runs.values()):
                    if worker.runs.get(run.task) is run:
                        self._advance(run)
        lifecycle.advance_jobs(self.current, self.now_s, self.now_s)
        result = scheduling.schedule(self.current, self.now_s, self.now_s)
        self._log(result)

    def _log(self, result: list[commands.Command]) -> None:
        self.events += [(self.now_s, c) for c in result if isinstance(c, commands.Decision)]

    def list_events(self, name: str) -> list[tuple[float, dict]]:
        """Returns the time and the fields of each logged event of a name."""
        return [(at_s, event.fields) for at_s, event in self.events if event.event == name]

    def _advance(self, run: state.Run) -> None:
        job = self.current.jobs[run.task.job_id]
        step = job.steps[run.task.occurrence, run.task.step]
        if run.phase is state.RunPhase.STOPPING:
            if self.now_s - run.phase_began_at_s >= STOP_S:
                self.lost_core_s += self._compute_worked(run)
                runs.end_run(self.current, run, runs.End.INTERRUPTED, "stopped", self.now_s)
            return
        if run.phase is state.RunPhase.INTENDED:
            run.phase = state.RunPhase.ORDERED
            runs.record_start_confirmed(self.current, run, self.now_s)
            record = self.records[run.task.job_id]
            if record.started_after_s is None and not step.list_unplaced():
                record.started_after_s = self.now_s - job.job.accepted_at_s
            return
        worked_s = self.now_s - run.running_since_s
        failing_since_s = self.failing_since_s.get(run.worker_id, math.inf)
        if run.running_since_s >= failing_since_s and worked_s >= FAILS_AFTER_S:
            self.lost_core_s += self._compute_worked(run)
            self._log(runs.end_run(self.current, run, runs.End.FAILED, "failed", self.now_s))
            return
        duration_s = self._get_duration_s(step, run)
        if worked_s >= duration_s:
            runs.end_run(self.current, run, runs.End.DONE, "done", self.now_s)
            if step.step.gang:
                for other in list(step.runs.values()):
                    runs.end_run(self.current, other, runs.End.DONE, "done", self.now_s)
            if step.is_done:
                self.records[run.task.job_id].ended_after_s = self.now_s - job.job.accepted_at_s
        elif round(worked_s / TICK_S) % 20 == 0:
            run.percent, run.advanced_at_s = int(100 * worked_s / duration_s), self.now_s

    def _compute_worked(self, run: state.Run) -> float:
        if run.running_since_s is None:
            return 0.0
        return (self.now_s - run.running_since_s) * ordering.compute_usage(run.need)

    def _get_duration_s(self, step: state.StepState, run: state.Run) -> float:
        index = 0 if step.step.gang else run.task.index
        key = (run.task.job_id, index, run.number)
        if key not in self._duration_s:
            self._duration_s[key] = step.step.estimate_s * self._generator.uniform(0.8, 1.2)
        return self._duration_s[key]

    def count_in_time(self, level: int, limit_s: float = 2.7) -> tuple[int, int]:
        """Returns how many urgent jobs of a level started in time, and how many there are."""
        records = [r for r in self.records.values() if r.level == level]
        started = [r for r in records if r.started_after_s is not None]
        return sum(r.started_after_s <= limit_s for r in started), len(records)
