"""Life cycle of a run: intended, ordered, running, stopping, removed."""

import enum
import functools
from typing import Any

from lycheegate.jobs import boundaries, commands, crashes, estimates, health, model, ordering, state
from lycheegate.jobs.durations import observations, predictions

__all__ = [
    "End",
    "add_run",
    "compute_silence_s",
    "end_run",
    "find_step",
    "find_stop_reason",
    "give_up_tasks",
    "exceeds_capacity",
    "handle_refused_start",
    "record_start_confirmed",
    "remove_run",
    "stop_job",
    "stop_run",
    "stop_step",
]

BASE_RETRY_DELAY_S = 0.1
"""Delay before the retry after the second failure of a task; doubles with each further failure."""
MAX_RETRY_DELAY_S = 2.0
UNREACHABLE_S = 2.0
"""How long a worker gets no new work after it did not answer an order."""
_LAPSES = frozenset({"lease_lapsed", "worker_unlisted"})
"""Reasons of ends that are inferred from the silence of a worker."""
_INFERRED = _LAPSES | {"absent"}
"""Reasons of ends that no worker has reported."""


class End(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    """Failed because of the task or the worker; counts towards ``Route.max_attempts``."""
    INTERRUPTED = "interrupted"
    """Stopped, or ended with its gang or because its lease expired; does not count."""
    CRASHED = "crashed"
    """Lost because its worker crashed or was replaced; counts in ``crashes``."""


def find_step(current: state.SchedulerState, task: model.TaskKey) -> state.StepState | None:
    """Returns the state of a task's step, or None if its job or occurrence is not present."""
    job = current.jobs.get(task.job_id)
    if job is None:
        return None
    return job.steps.get((task.occurrence, task.step))


def add_run(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    index: int,
    worker: state.WorkerState,
    number: int,
    now_s: float,
) -> state.Run:
    """Places a task as an intended run; its order is sent once the intention is durable.

    Args:
        current: State of the scheduler.
        job: The job.
        step: The step.
        index: Index of the task in the step.
        worker: Worker to place the task on.
        number: Number of the run.
        now_s: Time on the scheduler's clock.

    Returns:
        The run.
    """
    task = model.TaskKey(job.job.job_id, *step.key, index)
    run = state.Run(task, worker.worker_id, number, step.step.need, state.RunPhase.INTENDED, now_s)
    run.advanced_at_s = now_s
    run.worker_born_ms = worker.born_ms
    run.predicted_s = predictions.predict_s(current, job, step, worker.worker_id, now_s)
    step.run_numbers[index] = number
    step.runs[index] = run
    worker.runs[task] = run
    if crashes.is_suspect(step, [index]):
        worker.trials.add(task)
    worker.room = worker.room - run.need
    job.started = True
    job.dirty = True
    return run


def exceeds_capacity(worker: state.WorkerState, run: state.Run) -> bool:
    """Returns whether a run uses a resource of which its worker has less than its runs need.

    The worker had room for the run when it was placed, so it has shrunk since.
    """
    need, room = run.need, worker.room
    return (
        (need.cpu_millicores > 0 > room.cpu_millicores)
        or (need.memory_mb > 0 > room.memory_mb)
        or (need.accelerators > 0 > room.accelerators)
    )


def record_start_confirmed(current: state.SchedulerState, run: state.Run, now_s: float) -> None:
    """Records that the worker has confirmed the start of a run."""
    run.confirmed_at_s = now_s
    if run.phase is state.RunPhase.ORDERED:
        run.phase = state.RunPhase.RUNNING
        run.phase_began_at_s = run.advanced_at_s = run.running_since_s = now_s


def handle_refused_start(
    current: state.SchedulerState, run: state.Run, reason: str, now_s: float
) -> list[commands.Command]:
    """Handles a start order that certainly had no effect, such as one that a worker refused.

    Args:
        current: State of the scheduler.
        run: The run.
        reason: Why it did not start, for the log.
        now_s: Time on the scheduler's clock.
    """
    remove_run(current, run)
    step = find_step(current, run.task)
    if step is None:
        return []
    step.not_before_s = max(step.not_before_s, now_s + BASE_RETRY_DELAY_S)
    fields = {"job": run.task.job_id, "worker": run.worker_id, "run": run.number, "reason": reason}
    result: list[commands.Command] = [commands.Decision("start_refused", fields)]
    if step.step.gang:
        result += stop_step(current, step, state.StopReason.GANG_ENDED, now_s)
    return result


def remove_run(current: state.SchedulerState, run: state.Run) -> None:
    """Removes a run that certainly no longer exists on its worker, and frees its room."""
    worker = current.workers.get(run.worker_id)
    if worker is not None and worker.runs.get(run.task) is run:
        del worker.runs[run.task]
        worker.trials.discard(run.task)
        worker.room = worker.room + run.need
    job = current.jobs.get(run.task.job_id)
    step = find_step(current, run.task)
    if job is not None and step is not None and step.runs.get(run.task.index) is run:
        del step.runs[run.task.index]
        if run.checkpoint:
            _record_checkpoint(step, run)
        job.dirty = True
    current.schedule_due = True


def _record_checkpoint(step: state.StepState, run: state.Run) -> None:
    """Records a checkpoint for the next run; all members of a gang resume from the same one."""
    if not step.step.checkpoints:
        return
    if step.step.gang:
        for index in range(step.step.count):
            step.checkpoints[index] = run.checkpoint
    else:
        step.checkpoints[run.task.index] = run.checkpoint


def compute_silence_s(current: state.SchedulerState, worker_id: str, now_s: float) -> float:
    """Returns for how long a worker has not reported to this scheduler, at most since its start."""
    worker = current.workers.get(worker_id)
    reported_at_s = worker.reported_at_s if worker is not None else 0.0
    return now_s - max(current.began_at_s, reported_at_s)


def end_run(
    current: state.SchedulerState, run: state.Run, end: End, reason: str, now_s: float
) -> list[commands.Command]:
    """Handles the end of a run that its worker reported or that the scheduler inferred.

    The scheduler infers an end from an expired lease or from a report that does not list the run.

    Args:
        current: State of the scheduler.
        run: The run.
        end: How it ended.
        reason: Reason that is logged: the worker's, or the scheduler's for inferred ends.
        now_s: Time on the scheduler's clock.
    """
    step = find_step(current, run.task)
    remove_run(current, run)
    if step is None:
        return []
    job = current.jobs[run.task.job_id]
    if run.phase is state.RunPhase.RUNNING:
        job.ran_until_s = now_s
    fields = _make_end_fields(run, end, reason, now_s)
    if reason in _LAPSES:
        fields["silent_s"] = round(compute_silence_s(current, run.worker_id, now_s), 3)
    if reason in _INFERRED:
        fields |= _make_incarnation_fields(current, run)
    result: list[commands.Command] = [commands.Decision("run_ended", fields)]
    if end is End.DONE:
        # The run is removed and its end will be acknowledged, so an error in what is learned from
        # it must not lose the success.
        observe = functools.partial(_observe_success, current, job, step, run, now_s)
        subject = ("observe", job.job.job_id)
        fields |= boundaries.run_guarded(current, subject, now_s, observe, result) or {}
        _record_success(current, job, step, run, now_s)
        return result
    if end is End.INTERRUPTED and run.phase is state.RunPhase.STOPPING:
        observations.observe_stop(current, job, step, run, run.phase_began_at_s)
    if end is End.FAILED:
        other_workers = len(step.avoided_workers - {run.worker_id})
        result += health.record_failure(current, run, other_workers, now_s)
        result += _record_failure(current, job, step, run, now_s)
    if end is End.CRASHED:
        result += crashes.record_crash(current, job, step, run, now_s)
    if step.step.gang and not step.is_done:
        result += stop_step(current, step, state.StopReason.GANG_ENDED, now_s)
    return result


def _observe_success(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    now_s: float,
) -> dict[str, Any]:
    """Learns from the duration of a run that has succeeded, and returns fields for the log."""
    fields = observations.measure_errors(current, step, run, now_s)
    observations.observe_end(current, job, step, run, now_s)
    return fields


def _make_run_fields(run: state.Run) -> dict[str, Any]:
    """Returns the log fields that name a run."""
    return {
        "job": run.task.job_id,
        "task": f"{run.task.occurrence}.{run.task.step}.{run.task.index}",
        "worker": run.worker_id,
        "run": run.number,
    }


def _make_incarnation_fields(current: state.SchedulerState, run: state.Run) -> dict[str, Any]:
    """Returns the log fields that tell which incarnation of its worker an inferred end rests on."""
    worker = current.workers.get(run.worker_id)
    incarnation = worker.incarnation if worker is not None else state.Incarnation()
    return {
        "born_ms": incarnation.born_ms,
        "run_born_ms": run.worker_born_ms,
        "acknowledged_end": incarnation.durable_end,
    }


def _make_end_fields(run: state.Run, end: End, reason: str, now_s: float) -> dict[str, Any]:
    """Returns the log fields of the end of a run, with its loss unless it has succeeded."""
    fields: dict[str, Any] = {**_make_run_fields(run), "end": reason}
    if end is End.DONE:
        return fields
    if run.stop_reason is not None:
        fields["stopped"] = run.stop_reason.value
    unsaved_s = estimates.estimate_unsaved_s(run, now_s)
    fields["lost_core_s"] = round(unsaved_s * ordering.compute_usage(run.need), 1)
    return fields


def _record_success(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    now_s: float,
) -> None:
    health.record_success(current, run.worker_id, now_s)
    job.dirty = True
    if step.step.long_running:
        return
    if step.step.gang:
        # The members of a gang end together, so the end of one means the end of all.
        step.done.update(range(step.step.count))
    else:
        step.done.add(run.task.index)


def _record_failure(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    now_s: float,
) -> list[commands.Command]:
    index = step.get_counted_index(run.task.index)
    if step.step.gang and run.number <= step.last_failed_number:
        return []
    step.last_failed_number = run.number
    failures = step.failures[index] = step.failures.get(index, 0) + 1
    step.avoided_workers.add(run.worker_id)
    # The first retry is immediate and prefers another worker, because most failures are caused
    # by the worker.
    delay_s = BASE_RETRY_DELAY_S * 2.0 ** min(failures - 2, 10) if failures > 1 else 0.0
    step.not_before_s = now_s + min(MAX_RETRY_DELAY_S, delay_s)
    job.dirty = True
    limit = state.get_route(current, job).max_attempts
    if step.step.long_running or failures < limit or job.outcome is not None:
        return []
    return _fail_job(current, job, {"failures": failures, "limit": limit}, now_s)


def give_up_tasks(
    current: state.SchedulerState, job: state.JobState, now_s: float
) -> list[commands.Command]:
    """Fails an open job if one of its tasks has crashed too many workers."""
    for step in job.steps.values():
        for index in crashes.list_given_up(step, now_s):
            weight = crashes.get_crash_weight(step, index)
            fields = {
                "job": job.job.job_id,
                "task": f"{step.key[0]}.{step.key[1]}.{index}",
                "weight": weight,
                "limit": crashes.MAX_CRASH_WEIGHT,
            }
            cause = {"crash_weight": weight, "limit": crashes.MAX_CRASH_WEIGHT}
            return [
                commands.Decision("task_given_up", fields),
                *_fail_job(current, job, cause, now_s),
            ]
    return []


def _fail_job(
    current: state.SchedulerState, job: state.JobState, cause: dict[str, int], now_s: float
) -> list[commands.Command]:
    """Ends a job as failed and stops its runs.

    Args:
        current: State of the scheduler.
        job: The job.
        cause: What was counted and its limit, for the log.
        now_s: Time on the scheduler's clock.
    """
    job.end(model.Outcome.FAILED, now_s)
    return [
        commands.Decision("job_failed", {"job": job.job.job_id, **cause}),
        *stop_job(current, job, state.StopReason.JOB_FAILED, now_s),
    ]


def find_stop_reason(
    job: state.JobState, step: state.StepState, task: model.TaskKey
) -> state.StopReason | None:
    """Returns why no run of a task may go on, or None if one may.

    A stop order may be lost together with the holder that would repeat it. Records do not tell
    which runs are being stopped, so the next holder concludes it from the job and the task.
    """
    if job.cancelled or job.outcome is model.Outcome.CANCELLED:
        return state.StopReason.CANCELLED
    if job.outcome is model.Outcome.FAILED:
        return state.StopReason.JOB_FAILED
    if job.outcome is model.Outcome.SUCCEEDED or task.index in step.done:
        return state.StopReason.SUPERSEDED
    return None


def stop_run(
    current: state.SchedulerState, run: state.Run, reason: state.StopReason, now_s: float
) -> list[commands.Command]:
    """Stops a run; its room is freed once its worker no longer lists it."""
    if run.phase is state.RunPhase.STOPPING:
        return []
    if run.phase is state.RunPhase.INTENDED:
        remove_run(current, run)
        return []
    job = current.jobs.get(run.task.job_id)
    if run.phase is state.RunPhase.RUNNING and job is not None:
        job.ran_until_s = now_s
    run.phase = state.RunPhase.STOPPING
    run.phase_began_at_s = now_s
    run.stop_reason = reason
    run.confirmed_at_s = None
    run.stop_sent_at_s = now_s
    fields = {**_make_run_fields(run), "reason": reason.value}
    return [
        commands.Decision("stop_ordered", fields),
        commands.StopRun(run.worker_id, run.task, run.number),
    ]


def stop_step(
    current: state.SchedulerState, step: state.StepState, reason: state.StopReason, now_s: float
) -> list[commands.Command]:
    """Stops all runs of a step."""
    result: list[commands.Command] = []
    for run in list(step.runs.values()):
        result += stop_run(current, run, reason, now_s)
    return result


def stop_job(
    current: state.SchedulerState, job: state.JobState, reason: state.StopReason, now_s: float
) -> list[commands.Command]:
    """Stops all runs of a job."""
    result: list[commands.Command] = []
    for step in job.steps.values():
        result += stop_step(current, step, reason, now_s)
    return result
