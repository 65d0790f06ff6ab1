"""Copies of the scheduler's state, on which a scheduling pass can be tried.

Handles a state of 930 workers and 9,700 runs, which must not be in use by the event thread while it
is copied. Whatever a pass reads or changes is copied; immutable parts, such as the jobs with their
specs, are shared. Ended jobs without runs are left out, because no pass considers them.
"""

import copy
import dataclasses
import operator
from collections.abc import Callable
from typing import TypeVar

from lycheegate.jobs import state
from lycheegate.jobs.durations import factors

__all__ = ["copy_job", "copy_state"]

_T = TypeVar("_T")
_RunCopies = dict[int, state.Run]
"""Copies of runs by the identity of the original, as a run belongs to a step and a worker."""


def _make_copier(kind: type[_T]) -> Callable[[_T], _T]:
    """Returns a function that makes a shallow copy, six times as fast as ``copy.copy``."""
    get_values = operator.attrgetter(*(field.name for field in dataclasses.fields(kind)))
    return lambda original: kind(*get_values(original))


_copy_run = _make_copier(state.Run)
_copy_step = _make_copier(state.StepState)
_copy_job = _make_copier(state.JobState)
_copy_worker = _make_copier(state.WorkerState)
_copy_reservation = _make_copier(state.Reservation)
_copy_worker_effect = _make_copier(factors.WorkerEffect)
_copy_effect = _make_copier(factors.Effect)
_copy_model = _make_copier(factors.DurationModel)


def copy_state(current: state.SchedulerState) -> state.SchedulerState:
    """Returns a copy on which a pass makes the same decisions, and which shares nothing mutable.

    Waves of observations and the bookkeeping of log lines about idle jobs, which no pass uses, are
    left out.
    """
    runs: _RunCopies = {}
    jobs = {
        job_id: copy_job(job, runs)
        for job_id, job in current.jobs.items()
        if job.is_open or any(step.runs for step in job.steps.values())
    }
    workers = {key: _copy_worker_state(worker, runs) for key, worker in current.workers.items()}
    reservations = {key: _copy_reservation(r) for key, r in current.reservations.items()}
    for reservation in reservations.values():
        reservation.placement = dict(reservation.placement)
    return dataclasses.replace(
        current,
        jobs=jobs,
        workers=workers,
        reservations=reservations,
        stray_tasks=dict(current.stray_tasks),
        urgent_demand=dict(current.urgent_demand),
        inherited_suspects=dict(current.inherited_suspects),
        inherited_departures=dict(current.inherited_departures),
        lease_limits=dict(current.lease_limits),
        other_crashes_at_s=list(current.other_crashes_at_s),
        counted_crashes=list(current.counted_crashes),
        unknown_cancellations=dict(current.unknown_cancellations),
        idle_jobs=state.IdleJobs(),
        errors=dict(current.errors),
        durations=_copy_durations(current.durations),
        recent_use=copy.deepcopy(current.recent_use),
        preemption=copy.deepcopy(current.preemption),
        failure_waves=copy.deepcopy(current.failure_waves),
    )


def copy_job(job: state.JobState, runs: _RunCopies) -> state.JobState:
    """Returns a copy of a job, and adds the copies of its runs to ``runs``."""
    result = _copy_job(job)
    result.steps = {key: _copy_step_state(step, runs) for key, step in job.steps.items()}
    result.unstored_ends = dict(job.unstored_ends)
    result.step_effects = {key: _copy_effect(each) for key, each in job.step_effects.items()}
    return result


def _copy_step_state(step: state.StepState, runs: _RunCopies) -> state.StepState:
    result = _copy_step(step)
    result.done = set(step.done)
    result.failures = dict(step.failures)
    result.run_numbers = dict(step.run_numbers)
    result.checkpoints = dict(step.checkpoints)
    result.avoided_workers = set(step.avoided_workers)
    result.crash_weights = dict(step.crash_weights)
    result.last_crashed_numbers = dict(step.last_crashed_numbers)
    result.crashed_workers = {key: set(ids) for key, ids in step.crashed_workers.items()}
    result.preempted_at_s = dict(step.preempted_at_s)
    result.absent_since_s = dict(step.absent_since_s)
    result.wave = None
    result.runs = {}
    for index, run in step.runs.items():
        result.runs[index] = runs[id(run)] = _copy_run(run)
    return result


def _copy_worker_state(worker: state.WorkerState, runs: _RunCopies) -> state.WorkerState:
    result = _copy_worker(worker)
    result.runs = {
        task: runs[id(run)] if id(run) in runs else _copy_run(run)
        for task, run in worker.runs.items()
    }
    result.strays = dict(worker.strays)
    result.unknown_runs = set(worker.unknown_runs)
    result.failures = list(worker.failures)
    result.trials = set(worker.trials)
    return result


def _copy_durations(durations: factors.DurationModel) -> factors.DurationModel:
    result = _copy_model(durations)
    result.workers = {key: _copy_worker_effect(each) for key, each in durations.workers.items()}
    result.queues = {
        queue: {account: _copy_effect(effect) for account, effect in accounts.items()}
        for queue, accounts in durations.queues.items()
    }
    result.queue_effects = {}
    return result
