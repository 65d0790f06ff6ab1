"""Replay of a load on the scheduling pass, with the measures of its callers."""

import dataclasses
import heapq

from lycheegate.jobs import lifecycle, model, ordering, runs, scheduling, state

SERVICE = "render"
PASS_INTERVAL_S = 0.05
STOP_S = 0.2
CAPACITY = model.Resources(32_000, 128_000, 8)
ROUTES = {
    "urgent": model.Route("urgent", "h", "/u/", SERVICE, 0, 3, 1.5, 0.3),
    "batch": model.Route("batch", "h", "/b/", SERVICE, 2, 3, 3.0, 3.0),
    "patient": model.Route("patient", "h", "/p/", SERVICE, 2, 3, 3.0, 900.0),
}


@dataclasses.dataclass
class Submission:
    """A job that an account submits at a time; its tasks take ``estimate_s``."""

    at_s: float
    account: str
    step: model.Step
    route: str = "batch"


@dataclasses.dataclass
class Served:
    """What the callers of an account saw."""

    jobs: int = 0
    in_time: int = 0
    ended: int = 0
    oldest_wait_s: float = 0.0


def make_state(workers: int, weights: dict[str, float]) -> state.SchedulerState:
    """Returns a scheduler state with empty workers."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    accounts = {name: model.Account(name, frozenset(), 0, w) for name, w in weights.items()}
    services = {SERVICE: model.Service(SERVICE)}
    current.configuration = model.Configuration(
        1, ROUTES, services, accounts, {}, 1, divides_room=True
    )
    for number in range(workers):
        worker = state.WorkerState(
            f"w{number:03}", SERVICE, "a:1", "z", f"r{number // 8}", frozenset(), CAPACITY, CAPACITY
        )
        worker.incarnation.confirmed = True
        current.workers[worker.worker_id] = worker
    return current


class Replay:
    """Plays submissions; starts and ends of runs are confirmed at once."""

    def __init__(self, workers: int, submissions: list[Submission], weights=None):
        self.current = make_state(workers, weights or {})
        self.now_s = 0.0
        self.events: list[str] = []
        self.placed: list[tuple[float, str]] = []
        self.stopped: list[str] = []
        self._submissions = sorted(submissions, key=lambda s: s.at_s, reverse=True)
        self._submitted = 0
        self._ends: list[tuple[float, model.TaskKey, int]] = []
        self.served: dict[str, Served] = {}

    def submit(self, submission: Submission) -> str:
        """Adds a job; its identifier depends on the number of those before."""
        self._submitted += 1
        job_id = f"{self._submitted * 0x9E3779B97F4A7C15 % 2**64:016x}"
        job = model.Job(
            job_id, submission.route, submission.account, "x", (submission.step,), self.now_s
        )
        lifecycle.add_job(
            self.current, state.JobState(job, ROUTES[submission.route]), self.now_s, self.now_s
        )
        self.served.setdefault(submission.account, Served()).jobs += 1
        return job_id

    def run(self, until_s: float, is_observed=lambda replay: None) -> None:
        """Runs a pass at each interval."""
        while self.now_s < until_s:
            self.now_s = round(self.now_s + PASS_INTERVAL_S, 6)
            while self._submissions and self._submissions[-1].at_s <= self.now_s:
                self.submit(self._submissions.pop())
            self._end_runs()
            self._schedule()
            is_observed(self)

    def count_running(self, account: str) -> int:
        """Returns the number of runs of an account."""
        return sum(
            len(job.list_runs()) for job in self.current.jobs.values() if job.job.account == account
        )

    def _end_runs(self) -> None:
        while self._ends and self._ends[0][0] <= self.now_s:
            _, task, number = heapq.heappop(self._ends)
            step = runs.find_step(self.current, task)
            run = step.runs.get(task.index) if step else None
            if run is not None and run.number == number:
                stopped = run.phase is state.RunPhase.STOPPING
                end = runs.End.INTERRUPTED if stopped else runs.End.DONE
                runs.end_run(self.current, run, end, "", self.now_s)
        for job in list(self.current.jobs.values()):
            if all(step.is_done for step in job.steps.values()):
                self._record(job)
                del self.current.jobs[job.job.job_id]

    def _record(self, job: state.JobState) -> None:
        served = self.served[job.job.account]
        served.ended += 1
        served.in_time += self.now_s <= ordering.compute_objective_s(job, job.route)

    def _schedule(self) -> None:
        for worker in self.current.workers.values():
            worker.reported_at_s = self.now_s
        if not self.current.schedule_due:
            return
        for command in scheduling.schedule(self.current, self.now_s, self.now_s):
            if getattr(command, "event", "") == "shares":
                self.events.append(command.fields)
        for job in self.current.jobs.values():
            for step in job.steps.values():
                if step.step.count > len(step.runs) + len(step.done):
                    served = self.served[job.job.account]
                    waited_s = step.compute_waited_s(self.now_s)
                    served.oldest_wait_s = max(served.oldest_wait_s, waited_s)
                for run in step.runs.values():
                    self._confirm(step, run)

    def _confirm(self, step: state.StepState, run: state.Run) -> None:
        if run.phase is state.RunPhase.INTENDED:
            run.phase = state.RunPhase.RUNNING
            run.running_since_s = run.phase_began_at_s = self.now_s
            self.placed.append((self.now_s, self.current.jobs[run.task.job_id].job.account))
            heapq.heappush(self._ends, (self.now_s + step.step.estimate_s, run.task, run.number))
        elif run.phase is state.RunPhase.STOPPING and run.stop_sent_at_s == self.now_s:
            self.stopped.append(self.current.jobs[run.task.job_id].job.account)
            heapq.heappush(self._ends, (self.now_s + STOP_S, run.task, run.number))
