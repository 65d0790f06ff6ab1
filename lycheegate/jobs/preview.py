"""Preview of a placement: where a job would be placed now, and why, without any effect.

Handles the question of a caller or an operator before a submission, or about a waiting job, also
while thousands of jobs wait. A scheduling pass is tried on a copy of the state with the functions
of the scheduler, so the answer is what the job would get if nothing else happened. ``prepare``
copies the state, which has to happen between decisions; ``examine`` may run on another thread.
"""

import dataclasses
import enum
import functools
from collections.abc import Callable

from lycheegate.jobs import (
    copies,
    data_centres,
    evacuation,
    lifecycle,
    model,
    scheduling,
    sharing,
    state,
    step_preview,
    units,
)

__all__ = [
    "Preview",
    "PreviewError",
    "Problem",
    "examine",
    "prepare",
    "preview",
]


class Problem(enum.StrEnum):
    """Why there is no preview."""

    QUEUE_UNKNOWN = "queue_unknown"
    JOB_UNKNOWN = "job_unknown"
    JOB_EXISTS = "job_exists"
    JOB_ENDED = "job_ended"
    JOB_NOT_WAITING = "job_not_waiting"
    """All tasks that may start have runs."""
    TOO_LONG = "too_long"
    """The units before the job take too long to place."""


class PreviewError(Exception):
    """There is no preview.

    Attributes:
        problem: The reason.
    """

    def __init__(self, problem: Problem, subject: str):
        super().__init__(f"{problem.value.replace('_', ' ')}: {subject}")
        self.problem = problem


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """Where a job would be placed now.

    Attributes:
        job_id: The job.
        account: Its client account.
        queue: Its queue.
        service: Service whose workers run it.
        level: Level of its rank, or None if no tasks are due.
        is_late: Whether its objective can no longer be met.
        units_waiting: Number of gangs and single tasks of all jobs that are waiting.
        due_in_s: Time until its next occurrence is due, or 0.
        steps: Its steps that wait.
    """

    job_id: str
    account: str
    queue: str
    service: str
    level: int | None
    is_late: bool
    units_waiting: int
    due_in_s: float
    steps: tuple[step_preview.StepPreview, ...]


def preview(
    current: state.SchedulerState, job_or_id: model.Job | str, now_s: float, wall_s: float
) -> Preview:
    """Returns where a job would be placed now; changes nothing.

    Args:
        current: State of the scheduler.
        job_or_id: A job as it would be accepted now, or the identifier of a waiting job.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.

    Raises:
        PreviewError: The job, or its queue, is unknown, or the job is not waiting.
    """
    job_id = job_or_id if isinstance(job_or_id, str) else job_or_id.job_id
    return examine(prepare(current, job_or_id, now_s, wall_s), job_id, now_s, wall_s)


def prepare(
    current: state.SchedulerState, job_or_id: model.Job | str, now_s: float, wall_s: float
) -> state.SchedulerState:
    """Returns a copy of the state that contains the job.

    Args:
        current: State of the scheduler.
        job_or_id: A job as it would be accepted now, or the identifier of a job.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.

    Raises:
        PreviewError: The job, or its queue, is unknown, or the job has ended.
    """
    if isinstance(job_or_id, str):
        known = current.jobs.get(job_or_id)
        if known is None:
            raise PreviewError(Problem.JOB_UNKNOWN, job_or_id)
        if not known.is_open:
            raise PreviewError(Problem.JOB_ENDED, job_or_id)
        return copies.copy_state(current)
    routes = current.configuration.routes if current.configuration else {}
    route = routes.get(job_or_id.route)
    if route is None:
        raise PreviewError(Problem.QUEUE_UNKNOWN, job_or_id.route)
    if job_or_id.job_id in current.jobs:
        raise PreviewError(Problem.JOB_EXISTS, job_or_id.job_id)
    result = copies.copy_state(current)
    lifecycle.add_job(result, state.JobState(job_or_id, route), now_s, wall_s)
    return result


def _continue_always() -> bool:
    return True


def examine(
    copied: state.SchedulerState,
    job_id: str,
    now_s: float,
    wall_s: float,
    may_continue: Callable[[], bool] = _continue_always,
) -> Preview:
    """Tries a scheduling pass on a copy of the state, which it changes.

    Args:
        copied: Result of ``prepare``.
        job_id: The job.
        now_s: Time on the scheduler's clock at which the copy was made.
        wall_s: Time of day then, in seconds since 1970.
        may_continue: Called before each step that is placed; returns whether there is time left.

    Raises:
        PreviewError: The job is not waiting, or the time is over.
    """
    lifecycle.advance_jobs(copied, now_s, wall_s)
    evacuation.evacuate(copied, now_s)
    job = copied.jobs[job_id]
    if not job.is_open:
        raise PreviewError(Problem.JOB_ENDED, job_id)
    context, listed = scheduling.prepare_pass(copied, now_s, wall_s)
    own = [unit for unit in listed if unit.job is job]
    due_in_s = max(0.0, job.job.compute_due_s(job.next_occurrence) - wall_s)
    if context is None or not own:
        steps = step_preview.explain_without_units(copied, job, now_s, wall_s)
        if not steps and (job.steps or not due_in_s):
            raise PreviewError(Problem.JOB_NOT_WAITING, job_id)
    elif not data_centres.is_view_confirmed(copied, now_s):
        steps = [
            step_preview.make_unconfirmed(context, unit, _count_units(listed[: listed.index(unit)]))
            for unit in own
        ]
    else:
        steps = _try_units(context, listed, own, may_continue)
    route = state.get_route(copied, job)
    return Preview(
        job_id,
        job.job.account,
        route.name,
        route.service,
        own[0].rank.level if own else None,
        bool(own) and own[0].rank.is_late,
        _count_units(listed),
        due_in_s if not job.steps else 0.0,
        tuple(steps),
    )


def _try_units(
    context: units.PassContext,
    listed: list[units.Unit],
    own: list[units.Unit],
    may_continue: Callable[[], bool],
) -> list[step_preview.StepPreview]:
    """Places the units in their order up to the last one of the job."""
    result: list[step_preview.StepPreview] = []
    turns = sharing.list_turns(context, listed)
    for number, unit in enumerate(listed):
        if not may_continue():
            tried = f"{_count_units(listed[:number])} of {_count_units(listed)} units"
            raise PreviewError(Problem.TOO_LONG, f"{tried} were tried before the job's turn")
        if unit.job is own[0].job:
            place = functools.partial(_place_with_class, context, listed[number:], turns)
            units_before = _count_units(listed[:number])
            result.append(step_preview.try_unit(context, unit, units_before, place))
            if len(result) == len(own):
                break
        else:
            scheduling.place_step(context, unit, turns)
    return result


def _place_with_class(
    context: units.PassContext,
    listed: list[units.Unit],
    turns: dict[sharing.ClassKey, sharing.Turns],
) -> None:
    """Places the first unit; if client accounts have turns there, all units of its class."""
    key = sharing.make_class_key(listed[0])
    for unit in listed if key in turns else listed[:1]:
        if sharing.make_class_key(unit) == key:
            scheduling.place_step(context, unit, turns)


def _count_units(listed: list[units.Unit]) -> int:
    return sum(1 if unit.step.step.gang else len(unit.indices) for unit in listed)
