"""Reports of workers: what runs there is matched with what is known of it.

Running tasks of known requests are taken over. Tasks that belong to nothing are released before
their worker gets new work.
"""

from lycheegate.core import attempts as attempts_
from lycheegate.core import closing, commands, events, gangs, losses, quarantine, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import resources

__all__ = [
    "RECOVERY_WAIT_S",
    "create_found",
    "has_restarted",
    "is_settling",
    "note_absent",
    "note_released",
    "note_report",
    "note_task",
    "release_stale",
]

# Workers report within the time after which they count as lost. Until then, recovered requests
# that are not urgent wait, since a task of theirs may still be running.
RECOVERY_WAIT_S = 3.0
# A report may have been made before an order of this age took effect.
_REPORT_LAG_S = 2.0


def is_settling(state: partition_state.PartitionState) -> bool:
    """Returns whether workers may still report for the first time under this epoch."""
    return state.recovering or state.now_s < state.epoch_at_s + RECOVERY_WAIT_S


def create_found(
    state: partition_state.PartitionState,
    job: partition_state.Job,
    attempt_id: str,
    places: list[resources.MemberPlacement | None],
) -> partition_state.Attempt:
    """Returns a new attempt whose tasks workers have, or may have, from an earlier order."""
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


def note_report(
    state: partition_state.PartitionState, event: events.WorkerReported, out: list[commands.Command]
) -> None:
    """Takes in a worker and what it runs."""
    worker_id = event.worker.worker_id
    worker = state.workers.get(worker_id)
    if worker is not None and worker.lost_at_s is None and _has_changed(worker, event.worker):
        losses.lose_worker(state, worker_id, out)
    is_fresh = worker is None or worker.lost_at_s is not None
    if worker is None:
        worker = state.workers[worker_id] = partition_state.WorkerState(event.worker)
    worker.worker = event.worker
    worker.instance = event.instance
    if is_fresh:
        worker.lost_at_s = None
        worker.placeable = True
        worker.leaving = event.leaving
        scheduling.add_worker(state.scheduling, event.worker)
        worker.attempts.update(state.awaited.pop(worker_id, {}))
    worker.leaving = worker.leaving or event.leaving
    # Each change of a worker searches homes anew. At a takeover of 930 workers, a change for each
    # reported task took 59 s, one for each report 1.5 s.
    state.unrefreshed = {worker_id: None}
    for task in event.tasks:
        note_task(state, worker, task, is_fresh, out)
    reported = {task.task_id for task in event.tasks}
    for attempt_id in list(worker.attempts):
        attempt = state.attempts.get(attempt_id)
        for member, place in enumerate(attempt.placement if attempt is not None else ()):
            if place is not None and place.worker_id == worker_id:
                task_id = commands.format_task_id(attempt_id, member)
                if task_id not in reported:
                    restarted = has_restarted(worker, attempt, member, event.restarted)
                    note_absent(state, attempt, member, restarted, out)
    unrefreshed, state.unrefreshed = state.unrefreshed, None
    for changed_id in unrefreshed:
        if changed_id in state.workers:
            quarantine.refresh_placeable(state, state.workers[changed_id])
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


def note_task(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    task: events.TaskReport,
    is_fresh: bool,
    out: list[commands.Command],
) -> None:
    """Matches a reported task with what is known of it.

    Args:
        state: State, changed in place.
        worker: The worker that reported it.
        task: The task.
        is_fresh: Whether the worker has just come, so that the task may be unknown.
        out: Commands, appended to.
    """
    worker_id = worker.worker.worker_id
    attempt, member = attempts_.find_attempt(state, task.task_id)
    if attempt is None:
        job = state.jobs.get(task.request_id)
        if job is None and state.recovering:
            state.unclaimed.setdefault(task.request_id, []).append((worker_id, task))
        elif job is not None and is_fresh and _adopt(state, worker, job, task, out):
            pass
        else:
            release_stale(state, worker, task.task_id, out)
        return
    place = attempt.placement[member]
    status = attempt.statuses[member]
    if status in (partition_state.Status.LOST, partition_state.Status.NOT_STARTED) or (
        place is not None and place.worker_id != worker_id
    ):
        release_stale(state, worker, task.task_id, out)
    elif status is partition_state.Status.UNKNOWN:
        _find_member(state, worker, attempt, member, task, out)
    elif partition_state.Status.PLANNED < status <= partition_state.Status.RUNNING:
        _feed(state, attempt, member, task, out)


def _feed(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    task: events.TaskReport,
    out: list[commands.Command],
) -> None:
    """Treats a reported task state like the event that it stands for."""
    match task.state:
        case events.TaskState.HELD:
            attempts_.note_held(state, attempt, member, out)
        case events.TaskState.RUNNING:
            attempts_.note_started(state, attempt, member)
        case events.TaskState.FINISHED:
            attempts_.note_finished(state, attempt, member, out)
        case events.TaskState.FAILED:
            attempts_.note_failed(state, attempt, member, "failed", out)
        case events.TaskState.STOPPED:
            attempts_.note_stopped(state, attempt, member, out)


def _adopt(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    job: partition_state.Job,
    task: events.TaskReport,
    out: list[commands.Command],
) -> bool:
    """Takes over a running or finished task of a request that has no attempt."""
    attempt_id, member = commands.split_task_id(task.task_id)
    members = job.request.shape.members
    if (
        task.state not in (events.TaskState.RUNNING, events.TaskState.FINISHED)
        or not 0 <= member < members
        or not attempt_id.startswith(job.request.request_id + "-")
        or (members > 1 and not is_settling(state))
    ):
        return False
    if job.phase is partition_state.Phase.ACTIVE:
        # Attempts of a request follow one another, so of two found ones the older is outdated.
        other = state.attempts[job.attempt_id or ""]
        if other.step is not partition_state.Step.UNCERTAIN or not job.request.idempotent:
            return False
        if _rank(other.attempt_id) >= _rank(attempt_id):
            return False
        for number, place in enumerate(other.placement):
            if place is not None and other.statuses[number] is not partition_state.Status.UNKNOWN:
                other_worker = state.workers[place.worker_id]
                other_task_id = partition_state.format_member_task_id(other, number)
                release_stale(state, other_worker, other_task_id, out)
        closing.drop(state, other, out)
    elif job.phase is partition_state.Phase.QUEUED:
        scheduling.withdraw(state.scheduling, job.request.request_id)
    attempt = create_found(state, job, attempt_id, [None] * members)
    closing.set_due(state, attempt, max(state.now_s, state.epoch_at_s) + RECOVERY_WAIT_S)
    _find_member(state, worker, attempt, member, task, out)
    return True


def _rank(attempt_id: str) -> tuple[int, int]:
    """Returns epoch and number of an attempt."""
    _, epoch, number = attempt_id.rsplit("-", 2)
    return int(epoch), int(number)


def _find_member(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    attempt: partition_state.Attempt,
    member: int,
    task: events.TaskReport,
    out: list[commands.Command],
) -> None:
    """Notes what the worker tells about a member that was not known about."""
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
    # Its capacity is occupied in the scheduling state once all members are found.
    worker.stale[attempt.attempt_id] = None
    quarantine.refresh_placeable(state, worker)
    _check_found(state, attempt, out)


def _check_found(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Goes on with an attempt as far as its members are known."""
    if attempt.step is not partition_state.Step.UNCERTAIN:
        return
    statuses = attempt.statuses
    is_running = partition_state.Status.RUNNING in statuses
    is_waiting = (
        partition_state.Status.UNKNOWN in statuses or partition_state.Status.RELEASING in statuses
    )
    alive = (partition_state.Status.RUNNING, partition_state.Status.FINISHED)
    unclear = (*alive, partition_state.Status.UNKNOWN, partition_state.Status.RELEASING)
    job = closing.find_job(state, attempt)
    if all(status is partition_state.Status.FINISHED for status in statuses):
        closing.collect(state, attempt, out)
    elif job is not None and job.cancelled and is_running:
        closing.close(state, attempt, partition_state.After.CANCEL, out, "cancelled")
    elif all(status in alive for status in statuses):
        placement = tuple(place for place in attempt.placement if place is not None)
        scheduling.restore(state.scheduling, attempt.request, placement, state.now_s)
        attempt.occupies = True
        attempt.step = partition_state.Step.RUNNING
        attempt.since_s = state.now_s
        attempt.due_s = None
        closing.unblock(state, attempt)
        state.plan_due = True
    elif partition_state.Status.FAILED in statuses:
        after = (
            partition_state.After.RETRY
            if attempt.request.idempotent
            else partition_state.After.FAIL
        )
        closing.close(state, attempt, after, out, "job_failed", "failed")
    elif any(status not in unclear for status in statuses):
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
    """Returns whether a member's worker may have lost the memory of its task.

    Args:
        worker: The worker.
        attempt: The attempt.
        member: The member.
        default: What holds if the record does not name the instance of the worker.
    """
    recorded = attempt.instances[member] if attempt.instances else ""
    if recorded and worker.instance:
        return recorded != worker.instance
    return default


def note_absent(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    restarted: bool,
    out: list[commands.Command],
) -> None:
    """Notes that a worker has no task for a member."""
    status = attempt.statuses[member]
    if status is partition_state.Status.UNKNOWN:
        if restarted:
            attempt.statuses[member] = partition_state.Status.LOST
        else:
            attempt.statuses[member] = partition_state.Status.RELEASING
            closing.order_release(state, attempt, member, out)
        _check_found(state, attempt, out)
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


def release_stale(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    task_id: str,
    out: list[commands.Command],
) -> None:
    """Releases a task that belongs to nothing; its worker gets no new work until then."""
    worker_id = worker.worker.worker_id
    worker.stale[task_id] = None
    state.stale[task_id] = worker_id
    out.append(commands.ReleaseTask(task_id, worker_id))
    quarantine.refresh_placeable(state, worker)


def note_released(
    state: partition_state.PartitionState, task_id: str, started: bool, out: list[commands.Command]
) -> None:
    """Notes that a worker forgot a task."""
    worker_id = state.stale.pop(task_id, None)
    if worker_id is not None:
        worker = state.workers[worker_id]
        worker.stale.pop(task_id, None)
        quarantine.refresh_placeable(state, worker)
    attempt, member = attempts_.find_attempt(state, task_id)
    if attempt is not None:
        attempts_.note_released(state, attempt, member, started, out)
        _check_found(state, attempt, out)
