"""Loads beyond the capacity, replayed with refusals and without."""

import dataclasses
import random

import pytest

from lycheegate.jobs import admission, lifecycle, load_summary, model, runs, scheduling, state

_CAPACITY = model.Resources(32_000, 128_000, 8)
_WORKERS = 4
_NEED = model.Resources(4_000, 8_000, 1)
_STEPS = {
    "batch": model.Step(39, _NEED, 6.5),
    "gang": model.Step(13, _NEED, 5.8, gang=True),
    "urgent": model.Step(5, _NEED, 2.1, gang=True),
}
_ROUTES = {
    "batch": model.Route("batch", "h", "/b/", "s", 2, 3, 3.0, 3.0),
    "gang": model.Route("gang", "h", "/g/", "s", 1, 3, 3.0, 1.0),
    "urgent": model.Route("urgent", "h", "/u/", "s", 0, 3, 1.5, 0.3),
}
_STEP_S = 0.25
_LOAD_INTERVAL_S = 1.5
_DURATION_S = 60.0
_ACCOUNTS = {name: model.Account(name, frozenset()) for name in "ab"}


@dataclasses.dataclass
class _Outcome:
    """What callers saw: jobs that ended in time, in part and too late, and the work of the last."""

    full: int = 0
    part: int = 0
    late: int = 0
    late_work_s: float = 0.0
    refusals: int = 0
    refusals_beside_room: int = 0
    given_up: int = 0

    @property
    def accepted(self) -> int:
        """Number of jobs that were accepted in the end."""
        return self.full + self.part + self.late


class _Replay:
    """A fleet under the scheduler's own passes; runs last about as long as declared."""

    def __init__(self, refuses: bool):
        self.refuses = refuses
        self.generator = random.Random(5)
        self.current = state.SchedulerState(1, state.Policy(), -load_summary.SETTLE_S)
        services = {"s": model.Service("s")}
        self.current.configuration = model.Configuration(1, _ROUTES, services, _ACCOUNTS, {}, 1)
        for number in range(_WORKERS):
            worker = state.WorkerState(
                f"w{number}", "s", "a:1", "z", "r", frozenset(), _CAPACITY, _CAPACITY
            )
            worker.incarnation.confirmed = True
            self.current.workers[worker.worker_id] = worker
        self.ends_s: dict[tuple[model.TaskKey, int], float] = {}
        self.load: admission.Load | None = None
        self.load_at_s = 0.0
        self.calls: list[tuple[float, str, str, str, float]] = []
        """Time, job, queue, account and time of the first call."""
        self.outcome = _Outcome()

    def add_arrivals(self, queue: str, load_ratio: float, period_s: float, burst_s: float) -> None:
        """Adds jobs for a minute; those of each period arrive within its first seconds."""
        step = _STEPS[queue]
        work_s = step.count * step.estimate_s
        gap_s = work_s / (load_ratio * _WORKERS * 8)
        for number in range(int(_DURATION_S / gap_s)):
            periods, rest_s = divmod(number * gap_s, period_s)
            at_s = periods * period_s + rest_s * burst_s / period_s
            job_id = f"{self.generator.getrandbits(64):016x}"
            self.calls.append((at_s, job_id, queue, self.generator.choice("ab"), at_s))

    def run(self) -> _Outcome:
        """Replays all calls, and the work until all jobs have ended."""
        now_s = 0.0
        first_s = {call[1]: call[4] for call in self.calls}
        while self.calls or self.current.jobs:
            self._submit_due(now_s)
            self._end_runs(now_s)
            lifecycle.advance_jobs(self.current, now_s, now_s)
            for job_id, job in list(self.current.jobs.items()):
                if job.outcome is not None:
                    del self.current.jobs[job_id]
                    self._count_end(job, now_s - first_s[job_id])
            scheduling.schedule(self.current, now_s, now_s)
            self._begin_runs(now_s)
            if now_s - self.load_at_s >= _LOAD_INTERVAL_S:
                self.load_at_s = now_s
                self.load = load_summary.summarise_load(self.current, now_s, now_s)
            now_s += _STEP_S
            assert now_s < 600.0
        return self.outcome

    def _submit_due(self, now_s: float) -> None:
        due = sorted(call for call in self.calls if call[0] <= now_s)
        self.calls = [call for call in self.calls if call[0] > now_s]
        for _, job_id, queue, account, first_s in due:
            job = model.Job(job_id, queue, account, "x", (_STEPS[queue],), now_s)
            age_s = now_s - self.load_at_s
            route, draw = _ROUTES[queue], self.generator.random
            decision = admission.decide(self.load, age_s, job, route, _ACCOUNTS[account], draw)
            if isinstance(decision, admission.Accept) or not self.refuses:
                lifecycle.add_job(self.current, state.JobState(job, route), now_s, now_s)
                continue
            self.outcome.refusals += 1
            free = sum(w.room.accelerators for w in self.current.workers.values())
            self.outcome.refusals_beside_room += free >= _STEPS[queue].count
            again_s = now_s + decision.retry_after_s
            # Callers give up once the job can no longer be of use to them.
            if again_s - first_s < admission.OBJECTIVE_FACTOR * _compute_objective_s(job, route):
                self.calls.append((again_s, job_id, queue, account, first_s))
            else:
                self.outcome.given_up += 1

    def _end_runs(self, now_s: float) -> None:
        for worker in self.current.workers.values():
            worker.reported_at_s = now_s
            for run in list(worker.runs.values()):
                if run.stop_sent_at_s is not None:
                    runs.end_run(self.current, run, runs.End.INTERRUPTED, "stopped", now_s)
                elif self.ends_s[run.task, run.number] <= now_s:
                    runs.end_run(self.current, run, runs.End.DONE, "done", now_s)

    def _begin_runs(self, now_s: float) -> None:
        for worker in self.current.workers.values():
            for run in worker.runs.values():
                key = (run.task, run.number)
                if key not in self.ends_s:
                    step = runs.find_step(self.current, run.task).step
                    # The members of a gang end together.
                    seed = f"{run.task.job_id}{0 if step.gang else run.task.index}"
                    ratio = random.Random(seed).uniform(0.85, 1.15)
                    self.ends_s[key] = now_s + ratio * step.estimate_s
                    run.phase, run.phase_began_at_s = state.RunPhase.RUNNING, now_s

    def _count_end(self, job: state.JobState, after_s: float) -> None:
        step = job.job.steps[0]
        objective_s = _compute_objective_s(job.job, job.route)
        if after_s <= objective_s:
            self.outcome.full += 1
        elif after_s <= admission.OBJECTIVE_FACTOR * objective_s:
            self.outcome.part += 1
        else:
            self.outcome.late += 1
            self.outcome.late_work_s += step.count * step.estimate_s


def _compute_objective_s(job: model.Job, route: model.Route) -> float:
    return route.stretch_ratio * model.estimate_chain_s(job.steps) + route.target_s


def _compare(arrivals: list[tuple[str, float, float, float]]) -> tuple[_Outcome, _Outcome]:
    outcomes = []
    for refuses in (False, True):
        replay = _Replay(refuses)
        for arrival in arrivals:
            replay.add_arrivals(*arrival)
        outcomes.append(replay.run())
    return outcomes[0], outcomes[1]


def test_twice_the_capacity_for_a_minute():
    """Guards against refusals that lead to fewer jobs in time, or to more work that is too late.

    Load pattern: urgent jobs without a guarantee need twice the capacity for a minute.
    """
    all_accepted, refusing = _compare([("urgent", 2.0, 1.0, 1.0)])
    assert refusing.refusals > 0
    assert refusing.refusals_beside_room == 0
    assert refusing.full / refusing.accepted > all_accepted.full / all_accepted.accepted
    assert refusing.late_work_s < 0.9 * all_accepted.late_work_s


@pytest.mark.parametrize(
    "arrivals",
    [
        [("gang", 0.6, 1.0, 1.0), ("urgent", 0.1, 1.0, 1.0)],
        [("batch", 1.0, 1.0, 1.0), ("gang", 0.8, 1.0, 1.0), ("urgent", 0.2, 1.0, 1.0)],
    ],
    ids=["below_the_capacity", "twice_the_capacity_with_long_objectives"],
)
def test_nothing_changes_where_jobs_can_still_end(arrivals):
    """Guards against refusals of jobs that can end within three times their objective.

    After a minute at twice the capacity, a minute of work waits, and these jobs have longer.
    """
    all_accepted, refusing = _compare(arrivals)
    assert refusing == all_accepted
