"""Checks of jobs and their progress before the scheduler uses them.

One job whose values have another type, or are too large for arithmetic, would raise in each
scheduling pass, and no other job would be placed.
"""

import itertools

from lycheegate.jobs import model, state
from lycheegate.utils import numbers

__all__ = ["MAX_TASKS", "check_job", "check_progress", "check_route", "check_submitted_size"]

MAX_TASKS = 100_000
"""Maximum number of tasks of a step, and of a submitted job. The progress of that many tasks fits
into one call to the store."""


def check_job(job: model.Job) -> None:
    """Checks the values of a job.

    Raises:
        ValueError: A value has another type than expected or is out of range.
    """
    _check_texts({"route": job.route, "account": job.account, "spec": job.spec})
    _check_durations(
        {
            "time of acceptance": job.accepted_at_s,
            "start time": job.start_at_s,
            "interval": job.interval_s,
        }
    )
    _check_whole("number of occurrences", job.occurrences, 1)
    for number, step in enumerate(job.steps):
        _check_step(number, step)


def check_submitted_size(job: model.Job) -> None:
    """Checks the number of tasks of a job before it is accepted.

    Raises:
        ValueError: The job has too many tasks.
    """
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        raise ValueError(f"expected at most {MAX_TASKS} tasks in all steps, got {tasks}")


def _check_step(number: int, step: model.Step) -> None:
    _check_whole(f"step {number}: count", step.count, 1)
    if step.count > MAX_TASKS:
        raise ValueError(f"step {number}: expected at most {MAX_TASKS} tasks, got {step.count}")
    amounts = {
        "CPU": step.need.cpu_millicores,
        "memory": step.need.memory_mb,
        "accelerators": step.need.accelerators,
        "limit of tasks on a worker": step.max_per_worker,
        "tasks that may be missing": step.may_miss,
    }
    for name, amount in amounts.items():
        _check_whole(f"step {number}: {name}", amount)
    _check_durations({f"step {number}: estimate": step.estimate_s})
    _check_texts({f"step {number}: label": step.label, f"step {number}: rack": step.near_rack})
    for other in step.depends_on:
        if not numbers.is_whole(other) or other >= number:
            raise ValueError(f"step {number}: depends on step {other!r:.40}, expected less")
    flags = (step.checkpoints, step.gang, step.same_rack, step.long_running, step.speculative)
    if not all(type(flag) is bool for flag in (*flags, step.fills)):
        raise ValueError(f"step {number}: expected true or false for each property")


def check_route(route: model.Route) -> None:
    """Checks the values of a queue as it was when a job was accepted.

    Raises:
        ValueError: A value has another type than expected or is out of range.
    """
    _check_texts(
        {
            "route": route.name,
            "host": route.host,
            "path prefix": route.path_prefix,
            "service": route.service,
        }
    )
    _check_whole("priority", route.priority, -numbers.MAX_WHOLE)
    _check_whole("attempts", route.max_attempts, 1)
    for name, value in {"stretch": route.stretch_ratio, "target": route.target_s}.items():
        if not numbers.is_finite(value):
            raise ValueError(f"{name}: expected a finite number, got {value!r:.40}")


def check_progress(job: state.JobState) -> None:
    """Checks the progress of a job that was restored from its record.

    Raises:
        ValueError: A value has another type than expected, is out of range, or a step is missing.
    """
    _check_whole("next occurrence", job.next_occurrence)
    if type(job.started) is not bool:
        raise ValueError(f"expected whether the job has started, got {job.started!r:.40}")
    for occurrence in {key[0] for key in job.steps}:
        _check_whole("occurrence", occurrence)
        # Whether a step may start depends on others of its occurrence.
        for number in range(len(job.job.steps)):
            if (occurrence, number) not in job.steps:
                raise ValueError(f"step {number} of occurrence {occurrence} is missing")
    for step in job.steps.values():
        _check_step_progress(step)


def _check_step_progress(step: state.StepState) -> None:
    _check_whole("step", step.key[1])
    _check_whole("last failed run", step.last_failed_number)
    runs = {index: run.number for index, run in step.runs.items()}
    incarnations = {index: run.worker_born_ms for index, run in step.runs.items()}
    amounts = {
        "failures": step.failures,
        "run": step.run_numbers,
        "current run": runs,
        "incarnation of the worker": incarnations,
        "weight of crashes": step.crash_weights,
        "crashed run": step.last_crashed_numbers,
    }
    for name, values in amounts.items():
        for index, value in values.items():
            _check_whole(f"{name} of task {index!r:.40}", value)
    for index in itertools.chain(step.done, step.checkpoints, *amounts.values()):
        if not numbers.is_whole(index) or index >= step.step.count:
            raise ValueError(f"expected a task below {step.step.count}, got {index!r:.40}")
    _check_texts({f"worker of task {i}": run.worker_id for i, run in step.runs.items()})
    _check_texts({f"checkpoint of task {i}": text for i, text in step.checkpoints.items()})


def _check_whole(name: str, value: object, least: int = 0) -> None:
    if not numbers.is_whole(value, least):
        limits = f"from {least} to {numbers.MAX_WHOLE}"
        raise ValueError(f"{name}: expected a whole number {limits}, got {value!r:.40}")


def _check_durations(values: dict[str, object]) -> None:
    for name, value in values.items():
        if not numbers.is_finite(value) or value < 0:
            raise ValueError(
                f"{name}: expected seconds from 0 to {numbers.MAX_WHOLE}, got {value!r:.40}"
            )


def _check_texts(values: dict[str, object]) -> None:
    for name, value in values.items():
        if type(value) is not str:
            raise ValueError(f"{name}: expected text, got {value!r:.40}")
