"""Preview of a step: what a scheduling pass decides for its tasks, and why.

``preview`` tries the pass on a copy of the state and calls ``try_unit`` at the turn of the step.
"""

import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from lycheegate.jobs import (
    commands,
    exclusions,
    reclaiming,
    state,
    units,
    waiting,
)
from lycheegate.jobs.durations import observations, predictions

__all__ = [
    "Group",
    "StepPreview",
    "Victim",
    "explain_without_units",
    "make_unconfirmed",
    "try_unit",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Workers of the job's service in one rack, at the job's turn.

    Attributes:
        data_centre: Their data centre.
        rack: Their rack.
        workers: Number of the workers.
        fitting: Number of tasks of the step that fit on those that are not excluded.
        chosen: Number of tasks that are placed, or have room reserved, there.
        excluded: Number of the workers that each reason excludes.
    """

    data_centre: str
    rack: str
    workers: int
    fitting: int
    chosen: int
    excluded: dict[exclusions.Exclusion, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Runs that are stopped for the job.

    Attributes:
        job_id: Their job.
        account: Its client account.
        queue: Its queue.
        step: Their step, with its occurrence.
        tasks: Number of the runs.
    """

    job_id: str
    account: str
    queue: str
    step: str
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepPreview:
    """What the next scheduling pass does with a step.

    Attributes:
        step: Number of the step, with its occurrence.
        tasks: Number of its tasks that have no run.
        units_before: Number of gangs and single tasks that are tried before it.
        placed: Worker of each task that starts, by index of the task.
        reserved: Worker of each task for which room is, or stays, reserved instead.
        groups: The workers of its service, by data centre and rack.
        duration_s: Predicted duration of the slowest of these tasks, or None if there are none.
        starts_in_s: Predicted time until all of these tasks may start, or None if not known.
        is_learned: Whether the duration is predicted from learned durations.
        victims: Runs that are stopped for it.
        awaited: Number of gangs and single runs whose ends are awaited for it.
        lost_core_s: Work that is lost with the victims, in core-seconds.
        reason: Why tasks of it wait, or None if all start.
        fields: Further fields of the reason.
    """

    step: str
    tasks: int
    units_before: int
    placed: dict[int, str] = dataclasses.field(default_factory=dict)
    reserved: dict[int, str] = dataclasses.field(default_factory=dict)
    groups: tuple[Group, ...] = ()
    duration_s: float | None = None
    starts_in_s: float | None = None
    is_learned: bool = False
    victims: tuple[Victim, ...] = ()
    awaited: int = 0
    lost_core_s: float = 0.0
    reason: waiting.Reason | None = None
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def ends_in_s(self) -> float | None:
        """Predicted time until the tasks that are placed have ended, or None if not known."""
        if self.duration_s is None or self.starts_in_s is None:
            return None
        return self.starts_in_s + self.duration_s


def explain_without_units(
    copied: state.SchedulerState, job: state.JobState, now_s: float, wall_s: float
) -> list[StepPreview]:
    """Returns the reason why no task of a job may be placed, such as a delay after a failure.

    Args:
        copied: Copy of the state.
        job: The job, which has no unit in the pass.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.

    Returns:
        The preview of one step, or an empty list if there is no such reason.
    """
    found = waiting.explain_job(copied, job, now_s, wall_s)
    # A job with confirmed runs has no reason to be placed again.
    is_running = any(run.phase is state.RunPhase.RUNNING for run in job.list_runs())
    if found is None or is_running:
        return []
    unplaced = len(job.steps[found.step_key].list_unplaced())
    name = _format_step(found.step_key)
    return [StepPreview(name, unplaced, 0, reason=found.reason, fields=found.fields)]


def make_unconfirmed(
    context: units.PassContext, unit: units.Unit, units_before: int
) -> StepPreview:
    """Returns the preview of a step while the operators' requests are not confirmed.

    Args:
        context: The pass.
        unit: The tasks of the step that wait.
        units_before: Number of gangs and single tasks that are tried before it.
    """
    return StepPreview(
        _format_step(unit.step.key),
        len(unit.indices),
        units_before,
        groups=_make_groups(context, exclusions.examine_workers(context, unit), []),
        reason=waiting.Reason.EVACUATED,
        fields={"confirmed": False},
    )


def try_unit(
    context: units.PassContext,
    unit: units.Unit,
    units_before: int,
    place: Callable[[], None],
) -> StepPreview:
    """Places the tasks of a step, and describes what was decided for them.

    Args:
        context: The pass, in which all units before this one are placed.
        unit: The tasks of the step that wait.
        units_before: Number of gangs and single tasks that are tried before it.
        place: Places the unit in the pass.
    """
    verdicts = exclusions.examine_workers(context, unit)
    known_commands = len(context.result)
    place()
    step = unit.step
    placed = {i: step.runs[i].worker_id for i in unit.indices if i in step.runs}
    left = [index for index in unit.indices if index not in placed]
    reserved = _find_reserved(context, unit, left)
    chosen = [*placed.values(), *reserved.values()]
    exclusions.compare_with_chosen(context, unit, verdicts, chosen)
    preempted = [
        each.fields
        for each in context.result[known_commands:]
        if isinstance(each, commands.Decision) and each.event == "preempted"
    ]
    keys = [key for fields in preempted for key in fields["victims"]]
    finding = waiting.explain_step(context, unit.job, step) if left else None
    return StepPreview(
        _format_step(step.key),
        len(unit.indices),
        units_before,
        placed,
        reserved,
        _make_groups(context, verdicts, chosen),
        _predict_duration_s(context, unit, chosen),
        _predict_start_s(context, reserved, preempted),
        predictions.is_used(context.current, unit.job),
        tuple(_describe_victim(context, key) for key in keys),
        sum(fields["awaited"] for fields in preempted),
        sum(fields["lost_core_s"] for fields in preempted),
        finding.reason if finding else None,
        finding.fields if finding else {},
    )


def _find_reserved(context: units.PassContext, unit: units.Unit, left: list[int]) -> dict[int, str]:
    """Returns the workers on which room is reserved for tasks that were not placed."""
    result: dict[int, str] = {}
    for index in left:
        key = units.make_reservation_key(unit.job, unit.step, index)
        reservation = context.current.reservations.get(key)
        if reservation is not None:
            result |= reservation.placement
    return result


def _predict_duration_s(
    context: units.PassContext, unit: units.Unit, chosen: list[str]
) -> float | None:
    """Returns the predicted duration on the slowest of the chosen workers."""
    if not chosen:
        return None
    policy = context.current.policy
    groups = [chosen] if unit.step.step.gang else [[worker_id] for worker_id in set(chosen)]
    return max(
        max(context.speeds.predict_s(unit.job, unit.step, worker_id) for worker_id in group)
        * (policy.far_factor if observations.is_far(context.current, unit.step, group) else 1.0)
        for group in groups
    )


def _predict_start_s(
    context: units.PassContext, reserved: dict[int, str], preempted: list[dict[str, Any]]
) -> float | None:
    """Returns in how many seconds the chosen workers have room, or None if not known."""
    if not reserved:
        return 0.0
    if not preempted:
        return None
    stop_s = context.current.policy.stop_s + reclaiming.PREEMPTION_MARGIN_S
    return max(max(stop_s * bool(f["victims"]), f["awaited_s"]) for f in preempted)


def _describe_victim(context: units.PassContext, key: str) -> Victim:
    job_id, occurrence, number, index = key.rsplit(":", 3)
    job = context.current.jobs[job_id]
    step = job.steps[int(occurrence), int(number)]
    tasks = step.step.count if int(index) == units.GANG_INDEX else 1
    return Victim(job_id, job.job.account, job.route.name, _format_step(step.key), tasks)


def _make_groups(
    context: units.PassContext, verdicts: dict[str, exclusions.Verdict], chosen: list[str]
) -> tuple[Group, ...]:
    """Returns the workers by data centre and rack."""
    members: dict[tuple[str, str], list[exclusions.Verdict]] = {}
    for verdict in verdicts.values():
        key = (verdict.worker.data_centre, verdict.worker.rack)
        members.setdefault(key, []).append(verdict)
    tasks_by_worker = collections.Counter(chosen)
    return tuple(
        Group(
            *key,
            len(members[key]),
            sum(verdict.fitting for verdict in members[key]),
            sum(tasks_by_worker[verdict.worker.worker_id] for verdict in members[key]),
            dict(collections.Counter(v.exclusion for v in members[key] if v.exclusion)),
        )
        for key in sorted(members)
    )


def _format_step(key: state.StepKey) -> str:
    return f"{key[0]}.{key[1]}"
