"""Updates of the workers' state from registrations and reports."""

import dataclasses
import functools

from lycheegate.jobs import (
    boundaries,
    commands,
    crashes,
    fencing,
    incarnations,
    leases,
    model,
    runs,
    state,
    strays,
)
from lycheegate.jobs.durations import factors, observations
from lycheegate.utils import errors

__all__ = [
    "EndedRun",
    "ListedRun",
    "Registration",
    "Report",
    "apply_registrations",
    "apply_report",
    "handle_restart",
    "record_stop_confirmed",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A worker as the registry lists it.

    Attributes:
        worker_id: Its identifier.
        service: Service (pool of workers) that it belongs to.
        address: Address of its endpoint.
        data_centre: Its data centre.
        rack: Its rack.
        labels: Labels that steps may require.
        capacity: Its total resources.
        draining: Whether it is leaving and gets no new work.
        remaining_s: Minimum time until it leaves, in seconds, or None if it did not announce one.
        born_ms: Start of its incarnation in milliseconds since 1970, or 0 if not reported.
        cold_s: For how long it stays slow after its start, in seconds.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: model.Resources
    draining: bool
    born_ms: int
    remaining_s: float | None = None
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as present.

    Attributes:
        task: The task, or None if its name could not be parsed.
        name: Name of the task as the worker lists it.
        number: Number of the run.
        checkpoint: Last checkpoint, or an empty string.
        percent: Progress, 0 to 100.
    """

    task: model.TaskKey | None
    name: str
    number: int
    checkpoint: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """The end of a run, which a worker lists until it is acknowledged.

    Attributes:
        end_number: Number of the end; increases with each end on the worker.
        task: The task, or None if its name could not be parsed.
        number: Number of the run.
        end: How the run ended.
        reason: The worker's reason, for the log.
        checkpoint: Last checkpoint, or an empty string.
    """

    end_number: int
    task: model.TaskKey | None
    number: int
    end: runs.End
    reason: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's report of its runs.

    Attributes:
        worker_id: Identifier of the worker.
        clock_ms: Its clock.
        born_ms: Start of its incarnation in milliseconds since 1970, or 0 if not reported.
        running: Runs that are present on it.
        ended: Ends that were not acknowledged yet; only the oldest ones if there are many.
        sent_at_s: When the report was requested.
        received_at_s: When it arrived.
        lists_all_ends: Whether ``ended`` is complete.
    """

    worker_id: str
    clock_ms: int
    born_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    sent_at_s: float
    received_at_s: float
    lists_all_ends: bool = True


def apply_registrations(
    current: state.SchedulerState, registrations: list[Registration], now_s: float
) -> list[commands.Command]:
    """Applies the complete list of registered workers."""
    result: list[commands.Command] = []
    registered_ids = {registration.worker_id for registration in registrations}
    for worker in current.workers.values():
        if worker.registered and worker.worker_id not in registered_ids:
            worker.registered = False
            result.append(commands.Decision("worker_gone", {"worker": worker.worker_id}))
    runs_by_worker = _group_recorded_runs(current, registered_ids)
    for registration in registrations:
        recorded_runs = runs_by_worker.get(registration.worker_id, [])
        try:
            result += _apply_registration(current, registration, recorded_runs, now_s)
        except Exception as error:
            # The other workers must not depend on one registration.
            fields = {"worker": registration.worker_id}
            fields |= errors.describe(error).make_fields(f"{error!r:.200}")
            result.append(commands.Decision("registration_failed", fields))
    for worker in list(current.workers.values()):
        if not worker.registered and not worker.runs and now_s >= worker.leases_expire_at_s:
            strays.clear_strays(current, worker)
            del current.workers[worker.worker_id]
    return result


def _group_recorded_runs(
    current: state.SchedulerState, registered_ids: set[str]
) -> dict[str, list[state.Run]]:
    """Returns the runs that records place on workers which are not known yet, by worker.

    A new scheduler learns of all workers at once, so the runs are looked at once and not once for
    each of hundreds of workers.
    """
    new_ids = registered_ids - current.workers.keys()
    result: dict[str, list[state.Run]] = {}
    if not new_ids:
        return result
    for job in current.jobs.values():
        for run in job.list_runs():
            if run.worker_id in new_ids:
                result.setdefault(run.worker_id, []).append(run)
    return result


def _apply_registration(
    current: state.SchedulerState,
    registration: Registration,
    recorded_runs: list[state.Run],
    now_s: float,
) -> list[commands.Command]:
    worker = current.workers.get(registration.worker_id)
    if worker is None or not worker.address:
        worker = _add_worker(current, registration, recorded_runs, worker, now_s)
        fields = {"worker": worker.worker_id, "rack": worker.rack}
        return [commands.Decision("worker_added", fields)]
    result: list[commands.Command] = []
    # All registrations are applied whenever one changes. One that the worker's own reports have
    # disproved must not restart it again each time.
    is_new = registration.born_ms != worker.registered_born_ms
    worker.registered_born_ms = registration.born_ms
    if is_new and worker.born_ms and registration.born_ms > worker.born_ms:
        result += handle_restart(current, worker, registration.born_ms, now_s, "registration")
    if registration.draining != worker.draining:
        result.append(
            commands.Decision(
                "worker_draining", {"worker": worker.worker_id, "draining": registration.draining}
            )
        )
        current.schedule_due = True
    if registration.capacity != worker.capacity:
        result.append(_make_resize_decision(worker, registration.capacity))
        current.schedule_due = True
    used = worker.capacity - worker.room
    worker.draining = registration.draining
    _update_leave_time(worker, registration.remaining_s, now_s)
    _update_cold_time(worker, registration.cold_s, now_s)
    worker.registered = True
    worker.service = registration.service
    worker.address = registration.address
    worker.data_centre = registration.data_centre
    worker.rack = registration.rack
    worker.labels = registration.labels
    worker.capacity = registration.capacity
    worker.room = registration.capacity - used
    return result


def _make_resize_decision(worker: state.WorkerState, capacity: model.Resources) -> commands.Command:
    fields = {
        "worker": worker.worker_id,
        "from": dataclasses.astuple(worker.capacity),
        "to": dataclasses.astuple(capacity),
    }
    return commands.Decision("worker_resized", fields)


def _update_leave_time(worker: state.WorkerState, remaining_s: float | None, now_s: float) -> None:
    """Updates the time at which a worker leaves.

    The complete list of registrations is applied whenever one of them changes, so an unchanged
    remaining time comes from an old registration and is ignored.
    """
    if remaining_s is None:
        worker.leaves_at_s = None
    elif remaining_s != worker.registered_remaining_s:
        worker.leaves_at_s = now_s + remaining_s
    worker.registered_remaining_s = remaining_s


def _apply_inherited_departure(current: state.SchedulerState, worker: state.WorkerState) -> None:
    """Takes a departure over from the previous scheduler, which has read its announcement earlier.

    A worker that now announces less time than then has repeated it, and leaves no later.
    """
    told = current.inherited_departures.pop(worker.worker_id, None)
    if told is None or worker.leaves_at_s is None or told.born_ms != worker.born_ms:
        return
    if worker.registered_remaining_s <= told.remaining_s:
        worker.leaves_at_s = min(worker.leaves_at_s, told.leaves_at_s)


def _update_cold_time(worker: state.WorkerState, cold_s: float, now_s: float) -> None:
    """Updates the time until which a worker is slow after its start.

    The complete list of registrations is applied whenever one of them changes, so an unchanged
    remaining time comes from an old registration and is ignored.
    """
    if cold_s != worker.registered_cold_s:
        worker.cold_until_s = now_s + cold_s if cold_s > 0.0 else 0.0
    worker.registered_cold_s = cold_s


def _add_worker(
    current: state.SchedulerState,
    registration: Registration,
    recorded_runs: list[state.Run],
    existing: state.WorkerState | None,
    now_s: float,
) -> state.WorkerState:
    """Adds a worker with its runs, or replaces an existing entry without an address."""
    worker = state.WorkerState(
        registration.worker_id,
        registration.service,
        registration.address,
        registration.data_centre,
        registration.rack,
        registration.labels,
        registration.capacity,
        registration.capacity,
        registration.draining,
        incarnation=state.Incarnation(registration.born_ms),
        registered_born_ms=registration.born_ms,
    )
    factors.remove_other_incarnation(current.durations, worker.worker_id, worker.born_ms)
    fencing.add_worker(current, worker)
    worker.leases_expire_at_s = leases.compute_inherited_end_s(current, worker.worker_id)
    worker.suspected_until_s = current.inherited_suspects.pop(worker.worker_id, 0.0)
    _update_leave_time(worker, registration.remaining_s, now_s)
    _apply_inherited_departure(current, worker)
    _update_cold_time(worker, registration.cold_s, now_s)
    if existing is not None:
        worker.runs = existing.runs
    else:
        worker.runs = {run.task: run for run in recorded_runs}
    for run in worker.runs.values():
        worker.room = worker.room - run.need
        step = runs.find_step(current, run.task)
        if step is not None and crashes.is_suspect(step, [run.task.index]):
            worker.trials.add(run.task)
    current.workers[worker.worker_id] = worker
    return worker


def handle_restart(
    current: state.SchedulerState,
    worker: state.WorkerState,
    born_ms: int,
    now_s: float,
    source: str = "",
) -> list[commands.Command]:
    """Handles the restart of a worker, which resets its numbering of ends, clock and fencing token.

    Its runs are kept until the next report. The new incarnation may have executed an order that
    was sent before the restart was detected, so a restart alone does not prove that a run is
    absent.

    Args:
        current: State of the scheduler.
        worker: The worker.
        born_ms: Start of its incarnation in milliseconds since 1970.
        now_s: Time on the scheduler's clock.
        source: What told of the restart, for the log.
    """
    crashes.record_worker_crash(current, worker, now_s)
    factors.forget_worker(current.durations, worker.worker_id)
    former = worker.incarnation
    longest_lease_s = leases.compute_longest_lease_s(current.policy)
    worker.incarnation = state.Incarnation(
        born_ms,
        known_since_s=now_s,
        least_expiry_s=worker.deadline_open_until_s + longest_lease_s,
    )
    fencing.raise_token(current, worker, now_s)
    for run in worker.runs.values():
        if run.unverified_until_s is not None:
            # The former incarnation may have confirmed the last order, which the new one forgot. A
            # stop is sent again; a start is absent once none of its orders can arrive any more.
            is_running = run.phase is state.RunPhase.RUNNING
            run.confirmed_at_s = run.unverified_until_s if is_running else None
    strays.clear_strays(current, worker)
    current.schedule_due = True
    fields = {
        "worker": worker.worker_id,
        "born_ms": born_ms,
        "former_born_ms": former.born_ms,
        "source": source,
        "runs": len(worker.runs),
        "former_clock_ms": former.clock_ms,
        "acknowledged_end": former.durable_end,
    }
    return [commands.Decision("worker_restarted", fields)]


def apply_report(current: state.SchedulerState, report: Report) -> list[commands.Command]:
    """Applies a worker's report and reconciles the state with it.

    Args:
        current: State of the scheduler.
        report: The report.

    Returns:
        Stop orders for runs that must not be there, and decisions to be logged.
    """
    worker = current.workers.get(report.worker_id)
    if worker is None:
        return []
    now_s = report.received_at_s
    result: list[commands.Command] = []
    if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
        # An earlier incarnation cannot answer a request that was sent after the later one became
        # known. Such an answer shows that another writer has changed the registration.
        if report.born_ms < worker.born_ms and report.sent_at_s < worker.incarnation.known_since_s:
            return []
        result += handle_restart(current, worker, report.born_ms, now_s, "report")
    worker.incarnation.born_ms = report.born_ms or worker.born_ms
    leases.update_clock(worker, report.clock_ms, report.sent_at_s, now_s)
    worker.reported_at_s = now_s
    worker.unreachable_until_s = 0.0
    incarnations.verify_starts(worker, report.sent_at_s)
    incarnation = worker.incarnation
    if not incarnation.confirmed:
        incarnation.confirmed = True
        # The previous scheduler may have granted the longest lease just before this report.
        longest_ms = report.clock_ms + int(current.policy.max_lease_s * 1000.0)
        incarnation.max_deadline_ms = max(incarnation.max_deadline_ms, longest_ms)
        incarnation.deadlines_recorded += 1
        current.schedule_due = True
    leases.update_expiry(current, worker)
    # Reports may arrive out of order; the list of runs in an older one is outdated. One that waits
    # for an end may be made later than another that is requested meanwhile. A list that was
    # requested after the last one had arrived is newer, also if a restart has reset the clock.
    is_requested_later = report.sent_at_s >= worker.listed_at_s
    is_latest = is_requested_later or report.clock_ms >= incarnation.listed_clock_ms
    if is_latest:
        incarnation.listed_clock_ms, worker.listed_at_s = report.clock_ms, now_s
    result += _apply_ends(current, worker, report, now_s)
    if is_latest:
        result += _apply_running(current, worker, report, now_s)
        observe = functools.partial(observations.observe_report, current, worker, now_s)
        subject = ("observe", worker.worker_id)
        result += boundaries.run_guarded(current, subject, now_s, observe, result) or []
    return result


def _apply_ends(
    current: state.SchedulerState, worker: state.WorkerState, report: Report, now_s: float
) -> list[commands.Command]:
    result: list[commands.Command] = []
    for ended in sorted(report.ended, key=lambda item: item.end_number):
        if ended.end_number <= worker.incarnation.processed_end:
            continue
        worker.incarnation.processed_end = ended.end_number
        if ended.task is not None:
            result += _apply_end(current, worker, ended, now_s)
            job = current.jobs.get(ended.task.job_id)
            if job is not None and job.dirty:
                source = (worker.worker_id, worker.born_ms)
                job.unstored_ends.setdefault(source, ended.end_number)
    return result


def _apply_end(
    current: state.SchedulerState, worker: state.WorkerState, ended: EndedRun, now_s: float
) -> list[commands.Command]:
    run = worker.runs.get(ended.task)
    if run is None or run.number != ended.number:
        return _apply_superseded_end(current, worker, ended, now_s)
    run.checkpoint = ended.checkpoint or run.checkpoint
    return runs.end_run(current, run, ended.end, ended.reason, now_s)


def _apply_superseded_end(
    current: state.SchedulerState, worker: state.WorkerState, ended: EndedRun, now_s: float
) -> list[commands.Command]:
    """Handles the end of a run that is not the current run of its task; a success still counts."""
    strays.remove_stray(current, worker, ended.task, ended.number)
    step = runs.find_step(current, ended.task)
    if step is None or ended.end is not runs.End.DONE or step.step.long_running or step.is_done:
        return []
    job = current.jobs[ended.task.job_id]
    job.dirty = True
    current.schedule_due = True
    if step.step.gang:
        step.done.update(range(step.step.count))
        return runs.stop_step(current, step, state.StopReason.SUPERSEDED, now_s)
    step.done.add(ended.task.index)
    current_run = step.runs.get(ended.task.index)
    if current_run is None:
        return []
    return runs.stop_run(current, current_run, state.StopReason.SUPERSEDED, now_s)


def _apply_running(
    current: state.SchedulerState, worker: state.WorkerState, report: Report, now_s: float
) -> list[commands.Command]:
    """Applies the list of runs of a report that no later report has overtaken."""
    result: list[commands.Command] = []
    present: set[tuple[model.TaskKey, int]] = set()
    unknown_runs: set[tuple[str, int]] = set()
    for listed in report.running:
        if listed.task is None or listed.task.job_id not in current.jobs:
            unknown_runs.add((listed.name, listed.number))
            if listed.task is not None:
                result.append(commands.StopRun(worker.worker_id, listed.task, listed.number))
            continue
        present.add((listed.task, listed.number))
        run = worker.runs.get(listed.task)
        if run is not None and run.number == listed.number:
            result += _update_run(current, worker, run, listed, now_s)
        else:
            result += _handle_stray(current, worker, listed)
    if worker.unknown_runs and not unknown_runs:
        current.schedule_due = True
    worker.unknown_runs = unknown_runs
    if report.lists_all_ends:
        result += _end_absent_runs(current, worker, present, report.sent_at_s, now_s)
    return result


def _update_run(
    current: state.SchedulerState,
    worker: state.WorkerState,
    run: state.Run,
    listed: ListedRun,
    now_s: float,
) -> list[commands.Command]:
    """Updates a run from its entry in a report; returns a stop order if it must not go on."""
    run.awaits_first_report = False
    if run.phase is state.RunPhase.ORDERED:
        runs.record_start_confirmed(current, run, now_s)
    if listed.percent != run.percent:
        run.percent = listed.percent
        run.advanced_at_s = now_s
    if run.baseline_percent is None and run.percent > 0:
        run.baseline_percent, run.baseline_at_s = run.percent, now_s
    if listed.checkpoint:
        run.checkpoint = listed.checkpoint
    step = runs.find_step(current, run.task)
    if step is None:
        return []
    job = current.jobs[run.task.job_id]
    crashes.record_report(job, step, run, worker, now_s)
    reason = runs.find_stop_reason(job, step, run.task)
    return runs.stop_run(current, run, reason, now_s) if reason is not None else []


def _handle_stray(
    current: state.SchedulerState, worker: state.WorkerState, listed: ListedRun
) -> list[commands.Command]:
    """Stops a stray run, for example one that was started by a delayed order."""
    job = current.jobs[listed.task.job_id].job
    need = model.Resources()
    if listed.task.step < len(job.steps):
        need = job.steps[listed.task.step].need
    strays.add_stray(current, worker, listed.task, listed.number, need)
    return [
        commands.Decision(
            "stray_run",
            {
                "job": listed.task.job_id,
                "worker": worker.worker_id,
                "run": listed.number,
                "born_ms": worker.born_ms,
            },
        ),
        commands.StopRun(worker.worker_id, listed.task, listed.number),
    ]


def _end_absent_runs(
    current: state.SchedulerState,
    worker: state.WorkerState,
    present: set[tuple[model.TaskKey, int]],
    sent_at_s: float,
    now_s: float,
) -> list[commands.Command]:
    """Ends the runs that a report proves to be absent; it must list all ends.

    An unlisted run is proven absent if its worker confirmed the last order for it before the
    report was requested, or at the same reading of the clock. It is also proven absent if the order
    had a lower fencing token than the request for the report, because the worker refuses it once it
    has answered that; so do all orders of earlier terms.
    """
    result: list[commands.Command] = []
    for run in list(worker.runs.values()):
        if (run.task, run.number) in present or run.phase is state.RunPhase.INTENDED:
            continue
        confirmed = run.confirmed_at_s is not None and run.confirmed_at_s <= sent_at_s
        is_fenced = run.awaits_first_report or incarnations.is_fenced(worker, run, sent_at_s)
        if confirmed or is_fenced:
            has_restarted = 0 < run.worker_born_ms < worker.born_ms
            end = runs.End.CRASHED if has_restarted else runs.End.INTERRUPTED
            result += runs.end_run(current, run, end, "absent", now_s)
    for task, number in list(worker.strays):
        if (task, number) not in present:
            strays.remove_stray(current, worker, task, number)
    return result


def record_stop_confirmed(
    current: state.SchedulerState, task: model.TaskKey, number: int, now_s: float
) -> None:
    """Records that a worker has confirmed a stop order; a later report shows when the run ended."""
    step = runs.find_step(current, task)
    run = step.runs.get(task.index) if step else None
    if run is not None and run.number == number and run.phase is state.RunPhase.STOPPING:
        run.confirmed_at_s = now_s
