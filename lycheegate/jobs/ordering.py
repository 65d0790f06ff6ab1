"""Order in which waiting jobs are scheduled.

Handles loads that exceed the capacity. Urgent jobs come first. The others are ordered so that as
many as possible meet their latency objectives: small jobs first, and jobs that have missed their
objective last. Jobs whose objective is near are moved ahead, so that small jobs do not starve
large ones.
"""

import dataclasses

from lycheegate.jobs import model, state
from lycheegate.jobs.durations import predictions

__all__ = [
    "Rank",
    "compute_objective_s",
    "compute_remaining_s",
    "predict_objective_s",
    "compute_remaining_work",
    "compute_usage",
    "list_guaranteed_accounts",
    "predict_remaining_s",
    "predict_remaining_work",
    "rank_job",
]

CORES_PER_ACCELERATOR = 8.0
"""Number of cores that an accelerator counts as when amounts of work are compared."""
NEAR_OBJECTIVE_SLACK_S = 3.0
"""Slack below which a job goes ahead of smaller jobs. Slack is the time until the objective minus
the learned remaining time."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sort key of a job; lower goes first.

    Attributes:
        level: 0 for guaranteed urgent work, 1 for other urgent work, 2 for the rest.
        is_late: Whether its objective can no longer be met.
        priority: Priority of its queue.
        slack_band: 0 if its slack is at least 0 and below ``NEAR_OBJECTIVE_SLACK_S``, else 1;
            always 0 for urgent work.
        size: Remaining work in core-seconds, or the time of acceptance for urgent work.
        job_id: Identifier of the job; breaks ties.
    """

    level: int
    is_late: bool
    priority: int
    slack_band: int
    size: float
    job_id: str

    def as_key(self) -> tuple[int, bool, int, int, float, str]:
        """Returns a tuple with the same order, which is much cheaper to compare."""
        return (self.level, self.is_late, self.priority, self.slack_band, self.size, self.job_id)


def rank_job(
    current: state.SchedulerState, job: state.JobState, guaranteed: set[str], wall_s: float
) -> Rank:
    """Returns the sort key of a job.

    Args:
        current: State of the scheduler.
        job: The job.
        guaranteed: Client accounts whose urgent jobs are all within their guarantee.
        wall_s: Time of day, in seconds since 1970.
    """
    route = state.get_route(current, job)
    slack_s = predict_objective_s(current, job, route) - wall_s - predict_remaining_s(current, job)
    is_late = slack_s < 0.0
    if route.priority == 0:
        level = 0 if job.job.account in guaranteed else 1
        return Rank(level, is_late, 0, 0, job.job.accepted_at_s, job.job.job_id)
    slack_band = 0 if 0.0 <= slack_s < NEAR_OBJECTIVE_SLACK_S else 1
    size = predict_remaining_work(current, job)
    return Rank(2, is_late, route.priority, slack_band, size, job.job.job_id)


def compute_objective_s(job: state.JobState, route: model.Route) -> float:
    """Returns the time by which a job should have ended, in seconds since 1970.

    For a timed job, this is the time by which its first open occurrence should have ended.
    """
    return _compute_objective_s(job, route, model.estimate_chain_s(job.job.steps))


def predict_objective_s(
    current: state.SchedulerState, job: state.JobState, route: model.Route
) -> float:
    """Returns the same as ``compute_objective_s`` with learned durations, on typical workers.

    The objective is a multiple of the work, so a job that takes longer than declared has more time.
    """
    if not predictions.is_used(current, job):
        return compute_objective_s(job, route)
    ratios = {
        key[1]: predictions.get_step_estimate(current, job, step).ratio
        for key, step in job.steps.items()
    }
    return _compute_objective_s(job, route, _sum_chain_s(job, ratios))


def _compute_objective_s(job: state.JobState, route: model.Route, chain_s: float) -> float:
    begin_s = job.job.accepted_at_s
    if job.job.is_timed:
        open_occurrences = [key[0] for key in job.steps]
        occurrence = min(open_occurrences, default=job.next_occurrence)
        begin_s = max(begin_s, job.job.compute_due_s(occurrence))
    return begin_s + route.stretch_ratio * chain_s + route.target_s


def compute_remaining_s(job: state.JobState) -> float:
    """Returns the declared duration of the chain of steps that are not done, in seconds."""
    done = {key[1]: 0.0 for key, step in job.steps.items() if step.is_done}
    return _sum_chain_s(job, done)


def predict_remaining_s(current: state.SchedulerState, job: state.JobState) -> float:
    """Returns the same as ``compute_remaining_s`` with learned durations, on typical workers."""
    if not predictions.is_used(current, job):
        return compute_remaining_s(job)
    ratios: dict[int, float] = {}
    for key, step in job.steps.items():
        if step.is_done:
            ratios[key[1]] = 0.0
        elif key[1] not in ratios:
            ratios[key[1]] = predictions.get_step_estimate(current, job, step).ratio
    return _sum_chain_s(job, ratios)


def _sum_chain_s(job: state.JobState, ratios: dict[int, float]) -> float:
    """Returns the duration of a job's chain with the durations of some steps multiplied."""
    steps = tuple(
        step
        if ratios.get(number, 1.0) == 1.0
        else dataclasses.replace(step, estimate_s=step.estimate_s * ratios[number])
        for number, step in enumerate(job.job.steps)
    )
    return model.estimate_chain_s(steps)


def compute_remaining_work(job: state.JobState) -> float:
    """Returns the declared work of the tasks that are not done, in core-seconds."""
    work = 0.0
    for step in job.steps.values():
        remaining = step.step.count - len(step.done)
        work += remaining * step.step.estimate_s * compute_usage(step.step.need)
    return work


def predict_remaining_work(current: state.SchedulerState, job: state.JobState) -> float:
    """Returns the same as ``compute_remaining_work`` with learned durations."""
    work = 0.0
    for step in job.steps.values():
        remaining = step.step.count - len(step.done)
        if remaining:
            duration_s = step.step.estimate_s * (
                predictions.get_used_estimate(current, job, step).ratio
            )
            work += remaining * duration_s * compute_usage(step.step.need)
    return work


def compute_usage(need: model.Resources) -> float:
    """Returns an amount of resources as an equivalent number of cores."""
    return need.cpu_millicores / 1000.0 + CORES_PER_ACCELERATOR * need.accelerators


def list_guaranteed_accounts(current: state.SchedulerState) -> set[str]:
    """Returns the accounts whose open urgent jobs together fit within the account's guarantee."""
    if current.configuration is None:
        return set()
    demand: dict[str, int] = {}
    for job in state.iterate_open_jobs(current):
        if state.get_route(current, job).priority != 0:
            continue
        need = max(
            (step.count * step.need.accelerators for step in job.job.steps),
            default=0,
        )
        demand[job.job.account] = demand.get(job.job.account, 0) + need
    return {
        name
        for name, account in current.configuration.accounts.items()
        if demand.get(name, 0) <= account.guaranteed_accelerators
    }
