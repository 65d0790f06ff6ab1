"""Reconciles the tasks that workers report with the known attempts.

Running tasks of known requests are adopted. Tasks that belong to no attempt are released before
their worker is given new work.
"""

from lycheegate.core import attempts as attempts_
from lycheegate.core import closing, commands, events, gangs, losses, quarantine, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import resources

__all__ = [
    "RECOVERY_WAIT_S",
    "create_recovered_attempt",
    "handle_absent_task",
    "handle_listing",
    "handle_report",
    "handle_reported_task",
    "handle_task_released",
    "has_restarted",
    "is_awaiting_reports",
    "is_capacity_known",
    "release_stale_task",
]

# Workers report within the loss timeout. Until then, recovered idempotent requests that are not
# urgent wait, because one of their tasks may still be running.
RECOVERY_WAIT_S = 3.0
# A report may not yet show the effect of an order that was sent up to this time before the report
# arrived.
_REPORT_LAG_S = 2.0


def is_awaiting_reports(state: partition_state.PartitionState) -> bool:
    """Returns whether first reports of workers under this epoch may still be outstanding."""
    return state.recovering or state.now_s < state.epoch_at_s + RECOVERY_WAIT_S


def is_capacity_known(state: partition_state.PartitionState) -> bool:
    """Returns whether a request that fits nowhere now counts as impossible.

    A listed worker that has not reported yet may only be unreachable for a short time, like a lost
    one, and is awaited for as long.
    """
    if is_awaiting_reports(state):
        return False
    return not state.unreported or state.now_s >= state.epoch_at_s + losses.SWEEP_DELAY_S


def handle_listing(state: partition_state.PartitionState, event: events.WorkersListed) -> None:
    """Records which listed workers have not reported yet."""
    unreported = dict.fromkeys(
        worker_id for worker_id in event.worker_ids if worker_id not in state.workers
    )
    due_s = state.epoch_at_s + losses.SWEEP_DELAY_S
    if unreported and not state.unreported and state.now_s < due_s:
        partition_state.add_timer(state, due_s, partition_state.Timer.SWEEP, "")
    state.unreported = unreported


def create_recovered_attempt(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    attempt_id: str,
    places: list[resources.MemberPlacement | None],
) -> partition_state.Attempt:
    """Adds an attempt whose orders were sent earlier, so that workers may have its tasks.

    Args:
        state: State, changed in place.
        job: The job that the attempt belongs to.
        attempt_id: Identifier of the attempt.
        places: Place of each member, or None where it is unknown.

    Returns:
        The attempt, with all members in an unknown status.
    """
    attempt = partition_state.Attempt(
        attempt_id,
        job.request,
        places,
        [partition_state.Status.UNKNOWN] * len(places),
        partition_state.Step.UNCERTAIN,
        state.now_s,
        start_ordered=True,
        occupies=False,
        reason="outcome_unknown",
    )
    state.attempts[attempt_id] = attempt
    partition_state.set_phase(state, job, partition_state.Phase.ACTIVE)
    job.attempt_id = attempt_id
    return attempt


def handle_report(
    state: partition_state.PartitionState, event: events.WorkerReported, out: list[commands.Command]
) -> None:
    """Adds or updates a worker and reconciles its tasks with the known attempts."""
    worker_id = event.worker.worker_id
    state.unreported.pop(worker_id, None)
    worker = state.workers.get(worker_id)
    if worker is not None and worker.lost_at_s is None and _has_changed(worker, event.worker):
        losses.handle_worker_lost(state, worker_id, out)
    is_new_worker = worker is None or worker.lost_at_s is not None
    if worker is None:
        worker = state.workers[worker_id] = partition_state.WorkerState(event.worker)
    worker.worker = event.worker
    worker.instance = event.instance
    if is_new_worker:
        worker.lost_at_s = None
        worker.placeable = True
        worker.leaving = event.leaving
        scheduling.add_worker(state.scheduling, event.worker)
        worker.attempts.update(state.awaited.pop(worker_id, {}))
    worker.leaving = worker.leaving or event.leaving
    # Each change of a worker's placeability searches the homes of guarantees again. At a takeover
    # of 930 workers, one change per reported task took 59 s, one per report 1.5 s.
    state.unrefreshed = {worker_id: None}
    for task in event.tasks:
        handle_reported_task(state, worker, task, is_new_worker, out)
    reported = {task.task_id for task in event.tasks}
    for attempt_id in list(worker.attempts):
        attempt = state.attempts.get(attempt_id)
        for member, place in enumerate(attempt.placement if attempt is not None else ()):
            if place is not None and place.worker_id == worker_id:
                task_id = commands.format_task_id(attempt_id, member)
                if task_id not in reported:
                    restarted = has_restarted(worker, attempt, member, event.restarted)
                    handle_absent_task(state, attempt, member, restarted, out)
    unrefreshed, state.unrefreshed = state.unrefreshed, None
    for changed_id in unrefreshed:
        if changed_id in state.workers:
            quarantine.update_placeable(state, state.workers[changed_id])
    state.plan_due = True
    state.capacity_changed = True


def _has_changed(worker: partition_state.WorkerState, reported: resources.Worker) -> bool:
    known = worker.worker
    return (known.slots, known.accelerators, known.rack, known.data_centre) != (
        reported.slots,
        reported.accelerators,
        reported.rack,
        reported.data_centre,
    )


def handle_reported_task(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    task: events.TaskReport,
    is_new_worker: bool,
    out: list[commands.Command],
) -> None:
    """Reconciles a reported task with the known status of its member.

    Args:
        state: State, changed in place.
        worker: The worker that reported the task.
        task: The task.
        is_new_worker: Whether the worker was unknown or lost before this report, so that an
            unknown task of a known request may be adopted.
        out: Commands, appended to.
    """
    worker_id = worker.worker.worker_id
    attempt, member = attempts_.find_attempt(state, task.task_id)
    if attempt is None:
        job = state.jobs.get(task.request_id)
        if job is None and state.recovering:
            state.unclaimed.setdefault(task.request_id, []).append((worker_id, task))
        elif job is not None and is_new_worker and _adopt_task(state, worker, job, task, out):
            pass
        else:
            release_stale_task(state, worker, task.task_id, out)
        return
    place = attempt.placement[member]
    status = attempt.statuses[member]
    if status in (partition_state.Status.LOST, partition_state.Status.NOT_STARTED) or (
        place is not None and place.worker_id != worker_id
    ):
        release_stale_task(state, worker, task.task_id, out)
    elif status is partition_state.Status.UNKNOWN:
        _record_reported_member(state, worker, attempt, member, task, out)
    elif partition_state.Status.PLANNED < status <= partition_state.Status.RUNNING:
        _apply_task_state(state, attempt, member, task, out)


def _apply_task_state(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    task: events.TaskReport,
    out: list[commands.Command],
) -> None:
    """Handles a reported task state like the event of the same meaning."""
    match task.state:
        case events.TaskState.HELD:
            attempts_.handle_task_held(state, attempt, member, out)
        case events.TaskState.RUNNING:
            attempts_.handle_task_started(state, attempt, member)
        case events.TaskState.FINISHED:
            attempts_.handle_task_finished(state, attempt, member, out)
        case events.TaskState.FAILED:
            attempts_.handle_task_failed(state, attempt, member, "failed", out)
        case events.TaskState.STOPPED:
            attempts_.handle_task_stopped(state, attempt, member, out)


def _adopt_task(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    job: partition_state.Job,
    task: events.TaskReport,
    out: list[commands.Command],
) -> bool:
    """Adopts a running or finished task whose attempt is unknown but whose request is known.

    Returns:
        Whether the task was adopted.
    """
    attempt_id, member = commands.split_task_id(task.task_id)
    members = job.request.shape.members
    if (
        task.state not in (events.TaskState.RUNNING, events.TaskState.FINISHED)
        or not 0 <= member < members
        or not attempt_id.startswith(job.request.request_id + "-")
        or (members > 1 and not is_awaiting_reports(state))
    ):
        return False
    if job.phase is partition_state.Phase.ACTIVE:
        # Attempts of a request are made one after another, so the older of two is outdated.
        other = state.attempts[job.attempt_id or ""]
        if other.step is not partition_state.Step.UNCERTAIN or not job.request.idempotent:
            return False
        if _get_attempt_order(other.attempt_id) >= _get_attempt_order(attempt_id):
            return False
        for number, place in enumerate(other.placement):
            if place is not None and other.statuses[number] is not partition_state.Status.UNKNOWN:
                other_worker = state.workers[place.worker_id]
                other_task_id = partition_state.format_member_task_id(other, number)
                release_stale_task(state, other_worker, other_task_id, out)
        closing.remove_attempt(state, other, out)
    elif job.phase is partition_state.Phase.QUEUED:
        scheduling.withdraw(state.scheduling, job.request.request_id)
    attempt = create_recovered_attempt(state, job, attempt_id, [None] * members)
    closing.set_due(state, attempt, max(state.now_s, state.epoch_at_s) + RECOVERY_WAIT_S)
    _record_reported_member(state, worker, attempt, member, task, out)
    return True


def _get_attempt_order(attempt_id: str) -> tuple[int, int]:
    """Returns the epoch and number of an attempt, by which attempts of a request are ordered."""
    _, epoch, number = attempt_id.rsplit("-", 2)
    return int(epoch), int(number)


def _record_reported_member(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    attempt: partition_state.Attempt,
    member: int,
    task: events.TaskReport,
    out: list[commands.Command],
) -> None:
    """Records the reported place and status of a member whose status was unknown."""
    worker_id = worker.worker.worker_id
    attempt.placement[member] = resources.MemberPlacement(worker_id, task.first, task.count)
    worker.attempts[attempt.attempt_id] = None
    attempt.statuses[member] = {
        events.TaskState.HELD: partition_state.Status.HELD,
        events.TaskState.RUNNING: partition_state.Status.RUNNING,
        events.TaskState.FINISHED: partition_state.Status.FINISHED,
        events.TaskState.FAILED: partition_state.Status.FAILED,
        events.TaskState.STOPPED: partition_state.Status.STOPPED,
    }[task.state]
    if task.state is not events.TaskState.HELD:
        # A stopped task may have run before.
        attempt.has_started = True
    if attempt.step is partition_state.Step.CLOSING:
        if attempt.statuses[member] is partition_state.Status.RUNNING:
            closing.order_release(state, attempt, member, out)
        closing.conclude_if_stopped(state, attempt, out)
        return
    # No capacity is allocated before all members have been found, so the worker is blocked until
    # then.
    worker.stale[attempt.attempt_id] = None
    quarantine.update_placeable(state, worker)
    _advance_uncertain(state, attempt, out)


def _advance_uncertain(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Resumes, collects or closes an uncertain attempt if the statuses of its members allow it."""
    if attempt.step is not partition_state.Step.UNCERTAIN:
        return
    statuses = attempt.statuses
    is_running = partition_state.Status.RUNNING in statuses
    is_waiting = (
        partition_state.Status.UNKNOWN in statuses or partition_state.Status.RELEASING in statuses
    )
    active = (partition_state.Status.RUNNING, partition_state.Status.FINISHED)
    unresolved = (*active, partition_state.Status.UNKNOWN, partition_state.Status.RELEASING)
    job = closing.find_job(state, attempt)
    if all(status is partition_state.Status.FINISHED for status in statuses):
        closing.collect_answer(state, attempt, out)
    elif job is not None and job.cancelled and is_running:
        closing.close(state, attempt, partition_state.After.CANCEL, out, "cancelled")
    elif all(status in active for status in statuses):
        placement = tuple(place for place in attempt.placement if place is not None)
        scheduling.restore(state.scheduling, attempt.request, placement, state.now_s)
        attempt.occupies = True
        attempt.step = partition_state.Step.RUNNING
        attempt.since_s = state.now_s
        attempt.due_s = None
        closing.unblock_workers(state, attempt)
        state.plan_due = True
    elif partition_state.Status.FAILED in statuses:
        after = (
            partition_state.After.RETRY
            if attempt.request.idempotent
            else partition_state.After.FAIL
        )
        closing.close(state, attempt, after, out, "job_failed", "failed")
    elif any(status not in unresolved for status in statuses):
        if is_running or not is_waiting:
            grace_s = gangs.compute_loss_grace_s(state)
            closing.close(
                state, attempt, partition_state.After.RETRY, out, "worker_lost", "", grace_s
            )
    elif is_running and is_waiting:
        due_s = state.now_s + RECOVERY_WAIT_S
        if attempt.due_s is None or due_s < attempt.due_s:
            closing.set_due(state, attempt, due_s)


def has_restarted(
    worker: partition_state.WorkerState,
    attempt: partition_state.Attempt,
    member: int,
    default: bool,
) -> bool:
    """Returns whether a member's worker has restarted, and so may have lost record of the task.

    Args:
        worker: The worker.
        attempt: The attempt.
        member: Number of the member.
        default: Result if the recorded or the reported instance of the worker is unknown.
    """
    recorded = attempt.instances[member] if attempt.instances else ""
    if recorded and worker.instance:
        return recorded != worker.instance
    return default


def handle_absent_task(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    restarted: bool,
    out: list[commands.Command],
) -> None:
    """Handles the absence of a member's task from the report of its worker."""
    status = attempt.statuses[member]
    if status is partition_state.Status.UNKNOWN:
        if restarted:
            attempt.statuses[member] = partition_state.Status.LOST
        else:
            attempt.statuses[member] = partition_state.Status.RELEASING
            closing.order_release(state, attempt, member, out)
        _advance_uncertain(state, attempt, out)
        closing.conclude_if_stopped(state, attempt, out)
    elif (
        status
        in (
            partition_state.Status.HELD,
            partition_state.Status.START_ORDERED,
            partition_state.Status.RUNNING,
        )
        and attempt.step is not partition_state.Step.CLOSING
        and (restarted or state.now_s > attempt.since_s + _REPORT_LAG_S)
    ):
        attempt.statuses[member] = partition_state.Status.LOST
        grace_s = gangs.compute_loss_grace_s(state)
        closing.close(state, attempt, partition_state.After.RETRY, out, "vanished", "", grace_s)


def release_stale_task(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    task_id: str,
    out: list[commands.Command],
) -> None:
    """Releases a task that belongs to no attempt; blocks its worker until the task is removed."""
    worker_id = worker.worker.worker_id
    worker.stale[task_id] = None
    state.stale[task_id] = worker_id
    out.append(commands.ReleaseTask(task_id, worker_id))
    quarantine.update_placeable(state, worker)


def handle_task_released(
    state: partition_state.PartitionState, task_id: str, started: bool, out: list[commands.Command]
) -> None:
    """Records that a worker has removed a task."""
    worker_id = state.stale.pop(task_id, None)
    if worker_id is not None:
        worker = state.workers[worker_id]
        worker.stale.pop(task_id, None)
        quarantine.update_placeable(state, worker)
    attempt, member = attempts_.find_attempt(state, task_id)
    if attempt is not None:
        attempts_.handle_task_released(state, attempt, member, started, out)
        _advance_uncertain(state, attempt, out)
