"""Preview of a placement: where a job would be placed now, and why, without any effect.

Handles the question of a caller or an operator before a submission, or about a waiting job, also
while thousands of jobs wait. A scheduling pass is tried on a copy of the state with the functions
of the scheduler, so the answer is what the job would get if nothing else happened. ``prepare``
copies the state, which has to happen between decisions; ``examine`` may run on another thread.
"""

import collections
import dataclasses
import enum
import functools
from collections.abc import Callable
from typing import Any

from lycheegate.jobs import (
    commands,
    copies,
    data_centres,
    evacuation,
    health,
    lifecycle,
    model,
    placement,
    reclaiming,
    scheduling,
    sharing,
    state,
    units,
    waiting,
)
from lycheegate.jobs.durations import observations, predictions

__all__ = [
    "Exclusion",
    "Group",
    "Preview",
    "PreviewError",
    "Problem",
    "StepPreview",
    "Victim",
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


class Exclusion(enum.StrEnum):
    """Why a worker is not chosen; of several reasons, the first one is shown."""

    NOT_REGISTERED = "not_registered"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    UNKNOWN_RUNS = "unknown_runs"
    """It lists runs of unknown size."""
    NOT_REPORTING = "not_reporting"
    NOT_ANSWERING = "not_answering"
    """It did not answer an order lately."""
    LABEL = "label"
    TRIAL = "trial"
    """It runs a task that may crash it, or the task itself may crash its worker."""
    SUSPECTED = "suspected"
    """It may fail what it runs."""
    AVOIDED = "avoided"
    """A run on it has stalled, or a task of the step has failed there."""
    TASK_LIMIT = "task_limit"
    """It has the maximum number of tasks of the step."""
    TOO_SMALL = "too_small"
    NO_ROOM = "no_room"
    RESERVED = "reserved"
    """Its room is reserved for other tasks."""
    HEADROOM = "headroom"
    """The room is kept free for urgent work."""
    FAR_FROM_DATA = "far_from_data"
    """The task still waits for room in the rack of its data."""
    COLD = "cold"
    """It has started recently, and warm workers were chosen."""
    SLOW = "slow"
    """It is slower than the chosen workers."""
    KEPT_FOR_URGENT = "kept_for_urgent"
    """It is fast enough for urgent work, and others were chosen."""


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
    excluded: dict[Exclusion, int]


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
    steps: tuple[StepPreview, ...]


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
        steps = _explain_without_units(copied, job, now_s, wall_s)
        if not steps and (job.steps or not due_in_s):
            raise PreviewError(Problem.JOB_NOT_WAITING, job_id)
    elif not data_centres.is_view_confirmed(copied, now_s):
        steps = [_make_unconfirmed(context, listed, unit) for unit in own]
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


def _explain_without_units(
    copied: state.SchedulerState, job: state.JobState, now_s: float, wall_s: float
) -> list[StepPreview]:
    """Returns the reason why no task of a job may be placed, such as a delay after a failure."""
    found = waiting.explain_job(copied, job, now_s, wall_s)
    # A job with confirmed runs has no reason to be placed again.
    is_running = any(run.phase is state.RunPhase.RUNNING for run in job.list_runs())
    if found is None or is_running:
        return []
    unplaced = len(job.steps[found.step_key].list_unplaced())
    name = _format_step(found.step_key)
    return [StepPreview(name, unplaced, 0, reason=found.reason, fields=found.fields)]


def _make_unconfirmed(
    context: units.PassContext, listed: list[units.Unit], unit: units.Unit
) -> StepPreview:
    """Returns the preview of a step while the operators' requests are not confirmed."""
    return StepPreview(
        _format_step(unit.step.key),
        len(unit.indices),
        _count_units(listed[: listed.index(unit)]),
        groups=_make_groups(context, _judge_workers(context, unit), []),
        reason=waiting.Reason.EVACUATED,
        fields={"confirmed": False},
    )


def _try_units(
    context: units.PassContext,
    listed: list[units.Unit],
    own: list[units.Unit],
    may_continue: Callable[[], bool],
) -> list[StepPreview]:
    """Places the units in their order up to the last one of the job."""
    result: list[StepPreview] = []
    turns = sharing.list_turns(context, listed)
    for number, unit in enumerate(listed):
        if not may_continue():
            tried = f"{_count_units(listed[:number])} of {_count_units(listed)} units"
            raise PreviewError(Problem.TOO_LONG, f"{tried} were tried before the job's turn")
        if unit.job is own[0].job:
            place = functools.partial(_place_with_class, context, listed[number:], turns)
            result.append(_try_unit(context, unit, _count_units(listed[:number]), place))
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


def _format_step(key: state.StepKey) -> str:
    return f"{key[0]}.{key[1]}"


def _try_unit(
    context: units.PassContext,
    unit: units.Unit,
    units_before: int,
    place: Callable[[], None],
) -> StepPreview:
    """Places the tasks of a step, and describes what was decided for them."""
    verdicts = _judge_workers(context, unit)
    known_commands = len(context.result)
    place()
    step = unit.step
    placed = {i: step.runs[i].worker_id for i in unit.indices if i in step.runs}
    left = [index for index in unit.indices if index not in placed]
    reserved = _find_reserved(context, unit, left)
    chosen = [*placed.values(), *reserved.values()]
    _compare_with_chosen(context, unit, verdicts, chosen)
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


@dataclasses.dataclass(slots=True)
class _Verdict:
    """What is known about a worker before a unit is placed.

    Attributes:
        worker: The worker.
        exclusion: Why it cannot be chosen, or None.
        fitting: Number of tasks of the step that fit.
        tier: Its tier for the unit.
        is_avoided: Whether it is chosen only if no other worker has room.
    """

    worker: state.WorkerState
    exclusion: Exclusion | None = None
    fitting: int = 0
    tier: int = placement.Tier.PREFERRED
    is_avoided: bool = False


def _judge_workers(context: units.PassContext, unit: units.Unit) -> dict[str, _Verdict]:
    """Returns what is known about each worker of the unit's service, before the unit is placed."""
    one = unit if unit.step.step.gang else dataclasses.replace(unit, indices=unit.indices[:1])
    own = context.current.reservations.get(one.reservation_key)
    if own is not None:
        context.workers.remove_reservation(own)
    candidates = {c.worker_id: c for c in units.list_candidates(context, one)}
    is_admitted = scheduling.is_admitted(context, one)
    only_near = _is_bound_to_rack(context, one, candidates)
    result: dict[str, _Verdict] = {}
    for worker in context.current.workers.values():
        if worker.service != unit.service:
            continue
        verdict = result[worker.worker_id] = _Verdict(worker)
        candidate = candidates.get(worker.worker_id)
        if candidate is None:
            verdict.exclusion = _explain_unsuitable(context, one, worker)
            continue
        verdict.tier, verdict.is_avoided = candidate.tier, candidate.is_avoided
        verdict.exclusion = _explain_room(unit.step.step, worker, candidate)
        if verdict.exclusion is None and not is_admitted:
            verdict.exclusion = Exclusion.HEADROOM
        if verdict.exclusion is None and only_near and worker.rack != unit.step.step.near_rack:
            verdict.exclusion = Exclusion.FAR_FROM_DATA
        if verdict.exclusion is None:
            verdict.fitting = placement.count_fitting(
                unit.step.step.need, candidate.room, min(candidate.limit, len(unit.indices))
            )
    if own is not None:
        context.workers.add_reservation(own)
    return result


def _is_bound_to_rack(
    context: units.PassContext, unit: units.Unit, candidates: dict[str, placement.Candidate]
) -> bool:
    """Returns whether a single task still waits for room in the rack of its data."""
    step = unit.step.step
    is_near = any(candidate.rack == step.near_rack for candidate in candidates.values())
    return not step.gang and is_near and scheduling.compute_locality_wait_s(context, unit) > 0.0


def _explain_unsuitable(
    context: units.PassContext, unit: units.Unit, worker: state.WorkerState
) -> Exclusion:
    """Returns why a worker is no candidate, in the order of ``pool`` and ``units``."""
    current, now_s = context.current, context.now_s
    label = unit.step.step.label
    age_s = now_s - worker.reported_at_s
    reasons = (
        (not worker.registered or not worker.has_current_registration, Exclusion.NOT_REGISTERED),
        (data_centres.is_evacuated(current, worker), Exclusion.EVACUATED),
        (worker.draining, Exclusion.DRAINING),
        (health.is_quarantined(worker, now_s), Exclusion.QUARANTINED),
        (bool(worker.unknown_runs), Exclusion.UNKNOWN_RUNS),
        (
            not worker.incarnation.confirmed or age_s >= current.policy.report_stale_s,
            Exclusion.NOT_REPORTING,
        ),
        (now_s < worker.unreachable_until_s, Exclusion.NOT_ANSWERING),
        (bool(label) and label not in worker.labels, Exclusion.LABEL),
        (context.workers.is_on_trial(worker.worker_id), Exclusion.TRIAL),
        (health.is_suspected(worker, now_s), Exclusion.SUSPECTED),
        (
            worker.worker_id in current.stalled or worker.worker_id in unit.step.avoided_workers,
            Exclusion.AVOIDED,
        ),
    )
    # The remaining case is a task that may crash its worker, and a worker with new runs.
    return next((reason for applies, reason in reasons if applies), Exclusion.TRIAL)


def _explain_room(
    step: model.Step, worker: state.WorkerState, candidate: placement.Candidate
) -> Exclusion | None:
    """Returns why a candidate cannot hold a task now, or None if it can."""
    if candidate.limit < 1:
        return Exclusion.TASK_LIMIT
    if not step.need.fits(worker.capacity):
        return Exclusion.TOO_SMALL
    if step.need.fits(candidate.room):
        return None
    # Room of runs is subtracted from both, that of reservations only from the candidate's.
    return Exclusion.RESERVED if step.need.fits(worker.room) else Exclusion.NO_ROOM


def _compare_with_chosen(
    context: units.PassContext,
    unit: units.Unit,
    verdicts: dict[str, _Verdict],
    chosen: list[str],
) -> None:
    """Sets why workers that have room are less preferred than the chosen ones."""
    known = [verdicts[worker_id] for worker_id in set(chosen) if worker_id in verdicts]
    if not known:
        return
    last_tier = max(verdict.tier for verdict in known)
    last_avoided = max(verdict.is_avoided for verdict in known)
    is_urgent = unit.rank.level < 2
    slowest = max(context.speeds.get_estimate(worker_id).ratio for worker_id in chosen)
    for worker_id, verdict in verdicts.items():
        if verdict.exclusion is not None or worker_id in chosen:
            continue
        if verdict.is_avoided and not last_avoided:
            is_suspected = health.is_suspected(verdict.worker, context.now_s)
            verdict.exclusion = Exclusion.SUSPECTED if is_suspected else Exclusion.AVOIDED
        elif verdict.tier > last_tier and verdict.tier == placement.Tier.COLD:
            verdict.exclusion = Exclusion.COLD
        elif verdict.tier > last_tier:
            is_slower = context.speeds.get_estimate(worker_id).ratio > slowest
            is_kept = not is_urgent and not is_slower
            verdict.exclusion = Exclusion.KEPT_FOR_URGENT if is_kept else Exclusion.SLOW
        if verdict.exclusion is not None:
            verdict.fitting = 0


def _make_groups(
    context: units.PassContext, verdicts: dict[str, _Verdict], chosen: list[str]
) -> tuple[Group, ...]:
    """Returns the workers by data centre and rack."""
    members: dict[tuple[str, str], list[_Verdict]] = {}
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
