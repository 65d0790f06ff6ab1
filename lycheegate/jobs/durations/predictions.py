"""Predicted durations of tasks."""

from lycheegate.jobs import state
from lycheegate.jobs.durations import factors

__all__ = ["get_step_estimate", "get_used_estimate", "is_used", "predict_s"]


def get_step_estimate(
    current: state.SchedulerState, job: state.JobState, step: state.StepState
) -> factors.Estimate:
    """Returns the true duration of a step on a typical worker, relative to the declared one."""
    effect = job.step_effects.get(step.key[1])
    if effect is None:
        effect = factors.make_step_effect(current.durations, job.job.route, job.job.account)
    return factors.make_estimate(effect.mean, effect.variance, effect.runs)


def is_used(current: state.SchedulerState, job: state.JobState) -> bool:
    """Returns whether learned durations are used for a job: if its service is uneven."""
    return (
        bool(current.uneven_services)
        and state.get_route(current, job).service in current.uneven_services
    )


def get_used_estimate(
    current: state.SchedulerState, job: state.JobState, step: state.StepState
) -> factors.Estimate:
    """Returns the estimate of a step if learned durations are used for it, else a neutral one."""
    if not is_used(current, job):
        return factors.Estimate()
    return get_step_estimate(current, job, step)


def predict_s(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    worker_id: str,
    now_s: float,
) -> float:
    """Returns the predicted duration of a task of a step on a worker, in seconds."""
    of_step = get_step_estimate(current, job, step).ratio
    of_worker = factors.get_worker_estimate(current.durations, worker_id, now_s).ratio
    return step.step.estimate_s * of_step * of_worker
