"""Life cycle of jobs from acceptance to the end: occurrences, dependencies, cancellation."""

import functools

from lycheegate.jobs import boundaries, commands, model, runs, state, validation

__all__ = [
    "add_job",
    "advance_jobs",
    "cancel_job",
    "count_pending",
    "is_ready",
    "list_expired",
    "remove_job",
]

MAX_OPEN_OCCURRENCES = 50
"""Maximum number of open occurrences of one job; later ones open when earlier ones finish."""


def add_job(
    current: state.SchedulerState, job: state.JobState, now_s: float, wall_s: float
) -> None:
    """Adds an accepted job; does nothing if the job is present already."""
    if job.job.job_id in current.jobs:
        return
    current.jobs[job.job.job_id] = job
    _open_due_occurrences(job, wall_s)
    current.schedule_due = True


def cancel_job(current: state.SchedulerState, job_id: str, now_s: float) -> list[commands.Command]:
    """Cancels a job and stops its runs; does nothing if the job has ended or does not exist."""
    job = current.jobs.get(job_id)
    if job is None:
        return []
    job.has_cancellation = True
    if job.cancelled or job.outcome is not None:
        return []
    job.cancelled = True
    job.end(model.Outcome.CANCELLED, now_s)
    current.schedule_due = True
    return [
        commands.Decision("job_cancelled", {"job": job_id}),
        *runs.stop_job(current, job, state.StopReason.CANCELLED, now_s),
    ]


def advance_jobs(
    current: state.SchedulerState, now_s: float, wall_s: float
) -> list[commands.Command]:
    """Opens occurrences that are due, and ends jobs that are done or have a task to give up."""
    result: list[commands.Command] = []
    for job in state.iterate_open_jobs(current):
        advance = functools.partial(_advance_job, current, job, now_s, wall_s)
        subject = ("advance", job.job.job_id)
        result += boundaries.run_guarded(current, subject, now_s, advance, result) or []
    return result


def _advance_job(
    current: state.SchedulerState, job: state.JobState, now_s: float, wall_s: float
) -> list[commands.Command]:
    result = runs.give_up_tasks(current, job, now_s)
    if not job.is_open:
        return result
    _close_finished_occurrences(job)
    if _open_due_occurrences(job, wall_s):
        current.schedule_due = True
    if job.next_occurrence >= job.job.occurrences and _is_done(job):
        job.end(model.Outcome.SUCCEEDED, now_s)
        fields = {"job": job.job.job_id, "account": job.job.account, "route": job.job.route}
        fields["after_s"] = round(wall_s - job.job.accepted_at_s, 3)
        result.append(commands.Decision("job_succeeded", fields))
    return result


def _is_done(job: state.JobState) -> bool:
    return all(step.is_done for step in job.steps.values())


def _open_due_occurrences(job: state.JobState, wall_s: float) -> bool:
    """Creates the steps of occurrences that are due; returns whether there were any."""
    opened = False
    while (
        job.is_open
        and job.next_occurrence < job.job.occurrences
        and job.job.compute_due_s(job.next_occurrence) <= wall_s
        and len(job.steps) < _compute_max_open(job.job) * max(1, len(job.job.steps))
    ):
        occurrence = job.next_occurrence
        for number, step in enumerate(job.job.steps):
            job.steps[occurrence, number] = state.StepState((occurrence, number), step)
        job.next_occurrence += 1
        opened = True
    return opened


def _compute_max_open(job: model.Job) -> int:
    """Returns the maximum number of open occurrences, whose progress must fit into its record."""
    tasks = sum(step.count for step in job.steps)
    return max(1, min(MAX_OPEN_OCCURRENCES, validation.MAX_TASKS // max(1, tasks)))


def _close_finished_occurrences(job: state.JobState) -> None:
    """Removes occurrences whose tasks have all succeeded and have no runs left on workers."""
    for occurrence in {key[0] for key in job.steps}:
        steps = [step for key, step in job.steps.items() if key[0] == occurrence]
        if all(step.is_done and not step.runs for step in steps):
            for step in steps:
                del job.steps[step.key]
            job.dirty = True


def is_ready(job: state.JobState, step: state.StepState) -> bool:
    """Returns whether all steps that a step depends on are done."""
    if not step.step.depends_on:
        return True
    occurrence = step.key[0]
    return all(job.steps[occurrence, number].is_done for number in step.step.depends_on)


def count_pending(current: state.SchedulerState) -> dict[str, int]:
    """Returns the number of open jobs that never had a task placed, by queue."""
    result: dict[str, int] = {}
    for job in current.jobs.values():
        if job.is_open and not job.started:
            result[job.job.route] = result.get(job.job.route, 0) + 1
    return result


def list_expired(current: state.SchedulerState, now_s: float) -> list[state.JobState]:
    """Returns ended jobs whose retention time is over, with no runs left and progress stored."""
    return [
        job
        for job in current.jobs.values()
        if job.ended_at_s is not None
        and now_s - job.ended_at_s > current.policy.retention_s
        and now_s >= job.delete_not_before_s
        and not job.list_runs()
        and not job.dirty
    ]


def remove_job(current: state.SchedulerState, job_id: str) -> None:
    """Removes a job whose row has been deleted from the state."""
    current.jobs.pop(job_id, None)
