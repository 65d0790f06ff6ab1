"""Reasons why open jobs have nothing running although tasks of them are ready.

Handles the question after an incident of why an accepted job stood still, also while thousands of
jobs wait. The lines are limited for each client account and reason, and each check searches for
room for a limited number of kinds of tasks. Nothing here affects what is scheduled.
"""

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Iterable, Iterator
from typing import Any

from lycheegate.jobs import (
    commands,
    data_centres,
    headroom,
    leases,
    lifecycle,
    model,
    ordering,
    placement,
    pool,
    runs,
    scheduling,
    starvation,
    state,
    units,
)

__all__ = [
    "CHECK_INTERVAL_S",
    "MAX_FURTHER_JOBS",
    "MAX_LINES",
    "WAITING_REPORT_S",
    "Finding",
    "Reason",
    "check_waiting",
    "explain_job",
    "explain_step",
]

WAITING_REPORT_S = 2.0
"""Time without a confirmed run after which a job is reported, and the minimum time between two
lines for the same client account and reason."""
CHECK_INTERVAL_S = 1.0
MAX_LINES = 20
"""Maximum number of lines about waiting jobs in one check; the log allows 300 a second."""
MAX_FURTHER_JOBS = 11
"""Maximum number of further jobs of its group that a line names; 11 identifiers of 16 characters
take 210 bytes."""
MAX_FURTHER_CHARACTERS = 400
"""Maximum number of characters of their identifiers in a line."""
MAX_SEARCHES = 50
"""Maximum number of searches for room in one check. Jobs that would need another one come first in
the next check."""
MAX_EXAMINED_RUNS = 4
"""Number of runs of a step that are examined; a step may have thousands."""


class Reason(enum.StrEnum):
    """Why a job has nothing running; of several, the one that is listed first is reported."""

    WORKER_NOT_REGISTERED = "worker_not_registered"
    """A run may exist on a worker that is not registered and does not report."""
    WORKER_SILENT = "worker_silent"
    """A run may exist on a registered worker that has not reported lately."""
    STRAY_RUN = "stray_run"
    """An earlier run of the task may exist on a worker."""
    START_UNCONFIRMED = "start_unconfirmed"
    STOP_UNCONFIRMED = "stop_unconfirmed"
    STOP_UNFINISHED = "stop_unfinished"
    """The worker has confirmed the stop order, but no report since shows that the run is absent."""
    INTENTION_NOT_STORED = "intention_not_stored"
    BACKOFF = "backoff"
    """Nothing of the step starts for a while after a failed or refused run."""
    RESERVATION = "reservation"
    """Room is reserved for the task, and runs still use it."""
    EVACUATED = "evacuated"
    """All workers that could run the task are in data centres that are being evacuated, or it is
    not known whether they are."""
    NO_USABLE_WORKER = "no_usable_worker"
    """No worker of the service that has the label may get work."""
    TRIAL = "trial"
    """All usable workers run a task that may crash them, or the task itself may crash its worker
    and all workers have new runs."""
    EXCEEDS_CAPACITY = "exceeds_capacity"
    """The task, or its gang, would not fit on the usable workers if these were empty."""
    NOT_PLACED = "not_placed"
    """There is room: the limit of tasks in a pass was reached, or the term is being released."""
    HEADROOM = "headroom"
    """The room that is left is kept free for urgent work."""
    ROOM_RESERVED = "room_reserved"
    """The room that is left is reserved for other tasks."""
    UNPROVED_WORKERS = "unproved_workers"
    """Many workers fail what they start, no proved one has room for the gang, and enough other
    gangs are being started on unproved ones."""
    RACK_OF_DATA = "rack_of_data"
    """There is room, but not yet in the rack of its data."""
    NO_ROOM = "no_room"


_PRECEDENCE = {reason: number for number, reason in enumerate(Reason)}


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Why a job has nothing running.

    Attributes:
        reason: The reason.
        step_key: Step whose tasks wait.
        fields: Further log fields, such as the worker.
    """

    reason: Reason
    step_key: state.StepKey
    fields: dict[str, Any]


_Shape = tuple[str, str, model.Resources, int, bool, bool]
"""Service, label, need, number of tasks placed together, whether in one rack, whether urgent."""


class _Check:
    """Inputs of one check, and what is computed once for all of its jobs.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
        context: Context of the scheduling pass to explain, or None for one that starts now.
    """

    def __init__(
        self,
        current: state.SchedulerState,
        now_s: float,
        wall_s: float,
        context: units.PassContext | None = None,
    ):
        self.current = current
        self.now_s = now_s
        self.wall_s = wall_s
        self.searches_left = MAX_SEARCHES
        self.found_by_shape: dict[_Shape, tuple[Reason, dict[str, Any]]] = {}
        self.strays: dict[str, list[model.TaskKey]] = {}
        """Tasks that have stray runs, by job."""
        for task in current.stray_tasks:
            self.strays.setdefault(task.job_id, []).append(task)
        self._context = context

    def get_context(self) -> units.PassContext:
        """Returns the context that a scheduling pass would have now, without its side effects."""
        if self._context is None:
            workers = pool.WorkerPool(self.current, self.now_s, self.current.stalled)
            # Which accounts are within their guarantee only orders urgent work.
            self._context = units.PassContext(self.current, self.now_s, self.wall_s, set(), workers)
            self._context.capacities = self._measure_capacities(workers)
        return self._context

    def _measure_capacities(self, workers: pool.WorkerPool) -> dict[str, headroom.ServiceCapacity]:
        capacities = scheduling.measure_use(self.current, workers)
        urgent_used = scheduling.sum_urgent_use(self.current, capacities)
        for service, capacity in capacities.items():
            demand = self.current.urgent_demand.get(service, headroom.UrgentDemand())
            used = urgent_used.get(service, 0.0)
            capacity.headroom = headroom.compute_headroom(demand, used, capacity.total)
        return capacities


def check_waiting(
    current: state.SchedulerState, now_s: float, wall_s: float
) -> list[commands.Command]:
    """Reports jobs that have nothing running, and reported ones that run again.

    Does nothing if the last check was less than ``CHECK_INTERVAL_S`` ago.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.

    Returns:
        Decisions to be logged.
    """
    if now_s - current.idle_jobs.checked_at_s < CHECK_INTERVAL_S:
        return []
    current.idle_jobs.checked_at_s = now_s
    result = _update_idle_jobs(current, now_s)
    due = [
        (current.jobs[job_id], idle)
        for job_id, idle in current.idle_jobs.jobs.items()
        if now_s - idle.since_s >= WAITING_REPORT_S
    ]
    groups = _group_by_reason(_Check(current, now_s, wall_s), due) if due else {}
    if due:
        result += _report(current, groups, now_s)
    current.idle_jobs.summary = _summarize(current, groups, now_s)
    return result


def _update_idle_jobs(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Updates which jobs are idle; returns the decisions about those that run again."""
    result: list[commands.Command] = []
    known, current.idle_jobs.jobs = current.idle_jobs.jobs, {}
    for job in state.iterate_open_jobs(current):
        job_id = job.job.job_id
        idle = known.get(job_id)
        running = _find_running(job)
        if idle is not None and (running is not None or job.ran_until_s > idle.since_s):
            if idle.reported_at_s:
                result.append(_make_resumed(job, idle, running))
            idle = None
        if running is None and any(_iterate_waiting_steps(job)):
            current.idle_jobs.jobs[job_id] = idle or state.IdleJob(_find_idle_since(job, now_s))
    return result


def _find_running(job: state.JobState) -> state.Run | None:
    """Returns a run of a job that its worker has confirmed, or None."""
    for step in job.steps.values():
        for run in step.runs.values():
            if run.phase is state.RunPhase.RUNNING:
                return run
    return None


def _iterate_waiting_steps(job: state.JobState) -> Iterator[state.StepState]:
    """Returns the steps of a job that are ready and not done."""
    for step in job.steps.values():
        if not step.is_done and lifecycle.is_ready(job, step):
            yield step


def _find_idle_since(job: state.JobState, now_s: float) -> float:
    """Returns from when on a job that was not idle at the last check has had nothing running."""
    ready_s = [s.ready_since_s for s in _iterate_waiting_steps(job) if s.ready_since_s is not None]
    # Steps that were recovered with all of their runs are not known to be ready before.
    return max(min(ready_s, default=now_s), job.ran_until_s)


def _make_resumed(
    job: state.JobState, idle: state.IdleJob, running: state.Run | None
) -> commands.Command:
    resumed_at_s = job.ran_until_s
    if running is not None and running.running_since_s is not None:
        resumed_at_s = running.running_since_s
    waited_s = round(resumed_at_s - idle.since_s, 3)
    fields = {"job": job.job.job_id, "account": job.job.account, "waited_s": waited_s}
    return commands.Decision("job_resumed", fields)


_Found = tuple[state.JobState, state.IdleJob, Finding]
_Groups = dict[tuple[str, str], list[_Found]]
"""Waiting jobs with their reasons, by client account and reason."""


def _group_by_reason(check: _Check, due: list[tuple[state.JobState, state.IdleJob]]) -> _Groups:
    groups: _Groups = {}
    for job, idle in sorted(due, key=lambda item: item[1].searched_at_s):
        finding = _explain(check, job)
        if finding is not None:
            idle.searched_at_s = check.now_s
            key = (job.job.account, finding.reason.value)
            groups.setdefault(key, []).append((job, idle, finding))
    return groups


def _summarize(current: state.SchedulerState, groups: _Groups, now_s: float) -> state.IdleSummary:
    """Returns the numbers of idle jobs for the metrics."""
    reasons = {reason.value: 0 for reason in Reason}
    for (_, reason), group in groups.items():
        reasons[reason] += len(group)
    idle = current.idle_jobs.jobs
    longest_s = max((now_s - job.since_s for job in idle.values()), default=0.0)
    return state.IdleSummary(now_s, len(idle), round(max(0.0, longest_s), 3), reasons)


def _report(current: state.SchedulerState, groups: _Groups, now_s: float) -> list[commands.Command]:
    """Returns one line for each account and reason that is due.

    The jobs of a group take turns as the one that the line describes. Others of the group are named
    beside it, first those that no line has named for the longest time.
    """
    last_s = {
        key: reported_at_s
        for key, reported_at_s in current.idle_jobs.reported_at_s.items()
        if key in groups or now_s - reported_at_s < WAITING_REPORT_S
    }
    current.idle_jobs.reported_at_s = last_s
    due = [key for key in groups if key not in last_s or now_s - last_s[key] >= WAITING_REPORT_S]
    due.sort(key=lambda key: last_s.get(key, 0.0))
    result: list[commands.Command] = []
    loads = starvation.measure_loads(current) if due else {}
    for key in due[:MAX_LINES]:
        job, idle, finding = min(groups[key], key=lambda found: _rank_report(found[1]))
        last_s[key] = idle.reported_at_s = idle.named_at_s = now_s
        fields = {
            "job": job.job.job_id,
            "account": job.job.account,
            "step": f"{finding.step_key[0]}.{finding.step_key[1]}",
            "reason": finding.reason.value,
            **finding.fields,
            "load": _round_load(loads.get(state.get_route(current, job).service)),
            "waited_s": round(now_s - idle.since_s, 3),
            "more": len(groups[key]) - 1,
        }
        further = _name_further_jobs(groups[key], job, now_s)
        if further:
            fields["jobs"] = further
        result.append(commands.Decision("job_waiting", fields))
    return result


def _round_load(load: float | None) -> float | None:
    return None if load is None else round(load, 3)


def _name_further_jobs(group: list[_Found], described: state.JobState, now_s: float) -> list[str]:
    """Returns the identifiers of jobs to name beside the one that a line describes."""
    others = [(idle, job.job.job_id) for job, idle, _ in group if job is not described]
    chosen = heapq.nsmallest(
        MAX_FURTHER_JOBS, others, key=lambda item: (item[0].named_at_s, item[0].since_s)
    )
    named: list[str] = []
    characters = 0
    for idle, job_id in chosen:
        characters += len(job_id)
        if characters > MAX_FURTHER_CHARACTERS:
            break
        idle.named_at_s = now_s
        named.append(job_id)
    return named


def _rank_report(idle: state.IdleJob) -> tuple[float, float]:
    return (idle.reported_at_s, idle.since_s)


def explain_job(
    current: state.SchedulerState, job: state.JobState, now_s: float, wall_s: float
) -> Finding | None:
    """Returns why a job has nothing running, or None if none of its steps is ready and not done.

    Args:
        current: State of the scheduler.
        job: The job.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
    """
    if not any(_iterate_waiting_steps(job)):
        return None
    return _explain(_Check(current, now_s, wall_s), job)


def explain_step(
    context: units.PassContext, job: state.JobState, step: state.StepState
) -> Finding | None:
    """Returns why unplaced tasks of a step got no place in a pass that has just tried them."""
    check = _Check(context.current, context.now_s, context.wall_s, context)
    found = _explain_strays(check, step, check.strays.get(job.job.job_id, ()))
    return found[0] if found else _explain_unplaced(check, job, step)


def _explain(check: _Check, job: state.JobState) -> Finding | None:
    """Returns why a job has nothing running, or None if that takes one search too many."""
    steps = list(_iterate_waiting_steps(job))
    stray_tasks = check.strays.get(job.job.job_id, ())
    findings: list[Finding] = []
    for step in steps:
        if step.runs:
            examined = itertools.islice(step.runs.values(), MAX_EXAMINED_RUNS)
            findings += [_explain_run(check, run) for run in examined]
        if stray_tasks:
            findings += _explain_strays(check, step, stray_tasks)
        if step.not_before_s > check.now_s:
            fields = {"retry_in_s": round(step.not_before_s - check.now_s, 3)}
            findings.append(Finding(Reason.BACKOFF, step.key, fields))
    if findings:
        return min(findings, key=lambda finding: _PRECEDENCE[finding.reason])
    # All tasks of these steps are unplaced.
    return _explain_unplaced(check, job, steps[0])


def _explain_run(check: _Check, run: state.Run) -> Finding:
    """Returns why a run that is not confirmed keeps its task from running."""
    worker = check.current.workers.get(run.worker_id)
    fields: dict[str, Any] = {"worker": run.worker_id, "run": run.number}
    if run.phase is state.RunPhase.INTENDED:
        job = check.current.jobs[run.task.job_id]
        if job.write_not_before_s > check.now_s:
            fields["retry_in_s"] = round(job.write_not_before_s - check.now_s, 3)
        reason = Reason.INTENTION_NOT_STORED
    elif worker is None:
        lapse_s = leases.compute_inherited_end_s(check.current, run.worker_id)
        fields |= _make_silence_fields(check, run.worker_id, lapse_s)
        reason = Reason.WORKER_NOT_REGISTERED
    elif _is_silent(check, worker):
        fields |= _make_silence_fields(
            check, worker.worker_id, leases.compute_lapse_s(check.current, worker, run)
        )
        reason = Reason.WORKER_SILENT if worker.registered else Reason.WORKER_NOT_REGISTERED
    elif run.phase is state.RunPhase.ORDERED:
        reason = Reason.START_UNCONFIRMED
    else:
        is_confirmed = run.confirmed_at_s is not None
        reason = Reason.STOP_UNFINISHED if is_confirmed else Reason.STOP_UNCONFIRMED
        fields["stopped"] = run.stop_reason.value if run.stop_reason is not None else ""
    return Finding(reason, (run.task.occurrence, run.task.step), fields)


def _is_silent(check: _Check, worker: state.WorkerState) -> bool:
    """Returns whether a worker has not reported to this scheduler, or not lately."""
    age_s = check.now_s - worker.reported_at_s
    return not worker.incarnation.confirmed or age_s >= check.current.policy.report_stale_s


def _make_silence_fields(check: _Check, worker_id: str, lapse_s: float) -> dict[str, Any]:
    """Returns the fields about a run that is only believed to exist, as its worker is silent.

    Args:
        check: The check.
        worker_id: The worker.
        lapse_s: When the leases of its runs have certainly expired.
    """
    return {
        "leases_expire_in_s": round(max(0.0, lapse_s - check.now_s), 3),
        "silent_s": round(runs.compute_silence_s(check.current, worker_id, check.now_s), 3),
    }


def _explain_strays(
    check: _Check, step: state.StepState, stray_tasks: Iterable[model.TaskKey]
) -> list[Finding]:
    """Returns the stray runs that keep unplaced tasks of a step from starting."""
    findings: list[Finding] = []
    for task in stray_tasks:
        is_placed = task.index in step.runs or task.index in step.done
        if (task.occurrence, task.step) != step.key or is_placed:
            continue
        holders = [
            (worker, number)
            for worker in check.current.workers.values()
            for stray, number in worker.strays
            if stray == task
        ]
        fields: dict[str, Any] = {}
        for worker, number in holders[:1]:
            fields = {"worker": worker.worker_id, "run": number}
            if _is_silent(check, worker):
                fields |= _make_silence_fields(
                    check, worker.worker_id, leases.compute_lapse_s(check.current, worker)
                )
        findings.append(Finding(Reason.STRAY_RUN, step.key, fields))
    return findings


def _explain_unplaced(check: _Check, job: state.JobState, step: state.StepState) -> Finding | None:
    """Returns why the first tasks of a step have no place, or None after too many searches."""
    indices = step.list_unplaced()
    indices = indices if step.step.gang else indices[:1]
    reservation = check.current.reservations.get(units.make_reservation_key(job, step, indices[0]))
    if reservation is not None:
        fields = {
            "workers": sorted(set(reservation.placement.values())),
            "expires_in_s": round(reservation.expires_s - check.now_s, 3),
        }
        return Finding(Reason.RESERVATION, step.key, fields)
    shape = _make_shape(check, job, step, indices)
    found = check.found_by_shape.get(shape) if shape is not None else None
    if found is None:
        if not check.searches_left:
            return None
        check.searches_left -= 1
        found = _search_room(check, _make_unit(check, job, step, indices))
        if shape is not None:
            check.found_by_shape[shape] = found
    return Finding(found[0], step.key, found[1])


def _make_shape(
    check: _Check, job: state.JobState, step: state.StepState, indices: list[int]
) -> _Shape | None:
    """Returns what room for the tasks depends on, or None if it also depends on their history."""
    has_history = step.failures or step.avoided_workers or step.crash_weights
    if has_history or step.crashed_workers or step.step.near_rack or step.step.max_per_worker:
        return None
    route = state.get_route(check.current, job)
    definition = step.step
    return (
        route.service,
        definition.label,
        definition.need,
        len(indices),
        definition.same_rack,
        route.priority == 0,
    )


def _make_unit(
    check: _Check, job: state.JobState, step: state.StepState, indices: list[int]
) -> units.Unit:
    context = check.get_context()
    rank = ordering.rank_job(check.current, job, context.guaranteed, check.wall_s)
    return units.Unit(job, step, indices, rank, state.get_route(check.current, job).service)


def _search_room(check: _Check, unit: units.Unit) -> tuple[Reason, dict[str, Any]]:
    """Returns why a unit has no place, from the same decisions as in a scheduling pass."""
    context = check.get_context()
    step = unit.step.step
    if not data_centres.is_view_confirmed(check.current, check.now_s):
        return Reason.EVACUATED, {"confirmed": False}
    is_limited = units.is_limited_to_proved(context, unit)
    if is_limited and scheduling.choose_workers(context, unit, has_reservation=False) is None:
        return Reason.UNPROVED_WORKERS, {"unproved": len(context.workers.unproved)}
    candidates = units.list_candidates(context, unit)
    if not candidates:
        return _explain_missing_workers(context, unit)
    capacity = sum(placement.count_fitting(step.need, c.capacity, c.limit) for c in candidates)
    if capacity < len(unit.indices):
        return Reason.EXCEEDS_CAPACITY, {"candidates": len(candidates)}
    if scheduling.choose_workers(context, unit, has_reservation=False) is not None:
        is_admitted = scheduling.is_admitted(context, unit)
        return (Reason.NOT_PLACED if is_admitted else Reason.HEADROOM), {}
    if not step.gang and placement.place_task(step.need, candidates, step.near_rack, False):
        remaining_s = scheduling.compute_locality_wait_s(context, unit)
        return Reason.RACK_OF_DATA, {"rack": step.near_rack, "expires_in_s": round(remaining_s, 3)}
    if _fits_without_reservations(context, unit):
        return Reason.ROOM_RESERVED, {"reservations": len(check.current.reservations)}
    return Reason.NO_ROOM, {"candidates": len(candidates)}


def _explain_missing_workers(
    context: units.PassContext, unit: units.Unit
) -> tuple[Reason, dict[str, Any]]:
    """Returns why no worker is a candidate for a unit."""
    label = unit.step.step.label
    suitable = [
        worker
        for worker in context.current.workers.values()
        if worker.service == unit.service and (not label or label in worker.labels)
    ]
    if any(context.workers.is_usable(worker.worker_id) for worker in suitable):
        return Reason.TRIAL, {}
    fields = {"service": unit.service, "label": label, "unusable": len(suitable)}
    if suitable and all(data_centres.is_evacuated(context.current, w) for w in suitable):
        return Reason.EVACUATED, fields
    return Reason.NO_USABLE_WORKER, fields


def _fits_without_reservations(context: units.PassContext, unit: units.Unit) -> bool:
    reservations = list(context.current.reservations.values())
    for reservation in reservations:
        context.workers.remove_reservation(reservation)
    chosen = scheduling.choose_workers(context, unit, has_reservation=True)
    for reservation in reservations:
        context.workers.add_reservation(reservation)
    return chosen is not None
