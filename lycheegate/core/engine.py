"""Scheduling of one partition: dispatches events, fires timers and plans placement."""

import heapq
from collections.abc import Callable

from lycheegate.core import (
    admission,
    attempts,
    commands,
    events,
    losses,
    quarantine,
    recovery,
    reports,
    retries,
    scheduling,
    summary,
)
from lycheegate.core import state as partition_state
from lycheegate.model import resources

__all__ = [
    "PartitionState",
    "create_state",
    "decide",
    "make_snapshot",
    "restore_snapshot",
    "summarize",
]

PartitionState = partition_state.PartitionState
create_state = partition_state.create_state
make_snapshot = partition_state.make_snapshot
restore_snapshot = partition_state.restore_snapshot
summarize = summary.summarize

_Commands = list[commands.Command]

# Planning is repeated while applying a plan frees capacity, for example because an attempt ended
# before it began. This bounds the rounds for each event.
_MAX_PLAN_ROUNDS = 8
# Delay of a request for which only workers that it failed on have free capacity.
_AVOID_DELAY_S = 0.5


def decide(state: PartitionState, event: events.Event, now_s: float) -> _Commands:
    """Applies an event to the state.

    Args:
        state: State, changed in place.
        event: What happened. Late, repeated and unknown events change nothing.
        now_s: Time of the event, in seconds. A time earlier than the last one counts as the last
            one.

    Returns:
        Commands to execute, in order. The end of a request must be durable before its tasks are
        released.
    """
    out: _Commands = []
    state.now_s = max(state.now_s, now_s)
    handler = _HANDLERS.get(type(event))
    if handler is not None:
        handler(state, event, out)
    _fire_timers(state, out)
    if state.plan_due and not state.recovering:
        _plan(state, out)
    if state.capacity_changed and not reports.is_awaiting_reports(state):
        _handle_capacity_change(state, out)
    return out


def _fire_timers(state: PartitionState, out: _Commands) -> None:
    while state.timers and state.timers[0][0] <= state.now_s:
        due_s, _, kind, key = heapq.heappop(state.timers)
        match kind:
            case partition_state.Timer.ATTEMPT:
                attempt = state.attempts.get(key)
                if attempt is not None and attempt.due_s == due_s:
                    attempt.due_s = None
                    attempts.handle_timer(state, attempt, out)
            case partition_state.Timer.DELAY:
                job = state.jobs.get(key)
                if (
                    job is not None
                    and job.phase is partition_state.Phase.DELAYED
                    and job.delayed_until_s == due_s
                ):
                    retries.enqueue(state, job)
            case partition_state.Timer.DEADLINE:
                admission.expire_request(state, key, out)
            case partition_state.Timer.SWEEP:
                losses.remove_lost_workers(state)
                admission.reject_impossible_requests(state, out)
            case partition_state.Timer.RECOVERY:
                state.capacity_changed = True
                admission.reject_impossible_requests(state, out)


def _plan(state: PartitionState, out: _Commands) -> None:
    for _ in range(_MAX_PLAN_ROUNDS):
        state.plan_due = False
        _apply_actions(state, scheduling.plan(state.scheduling, state.now_s), out)
        if not state.plan_due:
            return


def _apply_actions(
    state: PartitionState,
    actions: list[scheduling.Start | scheduling.Preempt],
    out: _Commands,
    probed: partition_state.WorkerState | None = None,
    is_second_plan: bool = False,
) -> None:
    """Applies the starts and preemptions of a plan.

    Args:
        state: State, changed in place.
        actions: Starts and preemptions, in order.
        out: Commands, appended to.
        probed: Quarantined worker that may be given one probe request, or None.
        is_second_plan: Whether the plan was made to place a request on workers other than those
            that it failed on. Other requests in the same situation are then delayed, so that the
            recursion ends.
    """
    for action in actions:
        if isinstance(action, scheduling.Preempt):
            attempts.preempt(state, action.request_id, out)
            continue
        job = state.jobs.get(action.request_id)
        if job is None or job.phase is not partition_state.Phase.QUEUED:
            scheduling.free_allocation(state.scheduling, action.request_id, state.now_s)
        elif probed is not None and _uses_worker(action.placement, probed):
            _start_probe(state, probed, job, action.placement, out)
        elif state.now_s < job.avoid_until_s and any(
            place.worker_id in job.failed_on for place in action.placement
        ):
            if is_second_plan:
                scheduling.free_allocation(state.scheduling, action.request_id, state.now_s)
                retries.delay(state, job, state.now_s + _AVOID_DELAY_S)
            else:
                _place_on_other_workers(state, job, out)
        else:
            attempts.begin(state, job, action.placement, out)


def _uses_worker(placement: resources.Placement, worker: partition_state.WorkerState) -> bool:
    return any(place.worker_id == worker.worker.worker_id for place in placement)


def _place_on_other_workers(
    state: PartitionState, job: partition_state.Job, out: _Commands
) -> None:
    """Places a request on workers that it has not failed on, or delays it if none has room."""
    scheduling.free_allocation(state.scheduling, job.request.request_id, state.now_s)
    avoided = [
        worker_id
        for worker_id in job.failed_on
        if worker_id in state.workers
        and state.workers[worker_id].lost_at_s is None
        and state.workers[worker_id].placeable
    ]
    for worker_id in avoided:
        scheduling.set_placeable(state.scheduling, worker_id, False)
    retries.enqueue(state, job)
    actions = scheduling.plan(state.scheduling, state.now_s)
    for worker_id in avoided:
        scheduling.set_placeable(state.scheduling, worker_id, True)
    _apply_actions(state, actions, out, is_second_plan=True)
    if job.phase is partition_state.Phase.QUEUED:
        scheduling.withdraw(state.scheduling, job.request.request_id)
        retries.delay(state, job, state.now_s + _AVOID_DELAY_S)
    state.plan_due = True


def _probe_workers(state: PartitionState, out: _Commands) -> None:
    """Starts one idempotent request on each quarantined worker whose probe is due."""
    for worker in quarantine.list_due_probes(state):
        worker_id = worker.worker.worker_id
        scheduling.set_placeable(state.scheduling, worker_id, True)
        actions = scheduling.plan(state.scheduling, state.now_s)
        scheduling.set_placeable(state.scheduling, worker_id, False)
        _apply_actions(state, actions, out, probed=worker)
        quarantine.restore_unprobed(state, worker, out)


def _start_probe(
    state: PartitionState,
    worker: partition_state.WorkerState,
    job: partition_state.Job,
    placement: resources.Placement,
    out: _Commands,
) -> None:
    """Starts a request as the probe of a quarantined worker, or requeues it if unsuitable."""
    if worker.probe_attempt_id is None and quarantine.is_probe_candidate(job):
        attempts.begin(state, job, placement, out, probe_of=worker.worker.worker_id)
        worker.probe_attempt_id = job.attempt_id
    else:
        scheduling.free_allocation(state.scheduling, job.request.request_id, state.now_s)
        retries.enqueue(state, job)


def _handle_capacity_change(state: PartitionState, out: _Commands) -> None:
    """Reports guarantees whose number of short units has changed.

    Quarantined workers that a guarantee needs are restored first.
    """
    quarantine.restore_needed_workers(state, out)
    state.capacity_changed = False
    current = {
        (short.client_account, short.guarantee): (short.short_units, short.reason)
        for short in scheduling.list_short_guarantees(state.scheduling)
    }
    for key in sorted(current.keys() | state.short.keys()):
        units, reason = current.get(key, (0, ""))
        if state.short.get(key, (0, ""))[0] != units:
            out.append(commands.ReportShortGuarantee(*key, units, reason))
    state.short = current
    if state.plan_due:
        _plan(state, out)


def _on_epoch_gained(state: PartitionState, event: events.EpochGained, out: _Commands) -> None:
    del out
    recovery.begin_epoch(state, event.epoch)


def _on_recovered(state: PartitionState, event: events.RecoveredRequest, out: _Commands) -> None:
    recovery.recover_request(state, event, out)


def _on_submitted(state: PartitionState, event: events.RequestSubmitted, out: _Commands) -> None:
    admission.submit_request(state, event.request, event.resubmitted, out)


def _on_cancel(state: PartitionState, event: events.CancelRequested, out: _Commands) -> None:
    admission.cancel_request(state, event.request_id, out)


def _on_report(state: PartitionState, event: events.WorkerReported, out: _Commands) -> None:
    was_known = reports.is_capacity_known(state)
    reports.handle_report(state, event, out)
    _reject_if_now_known(state, was_known, out)


def _on_listing(state: PartitionState, event: events.WorkersListed, out: _Commands) -> None:
    was_known = reports.is_capacity_known(state)
    reports.handle_listing(state, event)
    _reject_if_now_known(state, was_known, out)


def _reject_if_now_known(state: PartitionState, was_known: bool, out: _Commands) -> None:
    """Rejects impossible requests once the last worker that was awaited has reported or left."""
    if not was_known and reports.is_capacity_known(state):
        admission.reject_impossible_requests(state, out)


def _on_release(state: PartitionState, event: events.ReleaseApplied, out: _Commands) -> None:
    if event.number <= state.release_number:
        return
    state.release_number = event.number
    state.client_accounts = {account.name: account for account in event.client_accounts}
    state.weight_total = sum(account.weight for account in event.client_accounts)
    state.guarantees = event.guarantees
    scheduling.apply_release(state.scheduling, event.client_accounts, event.guarantees)
    state.capacity_changed = True
    state.plan_due = True
    admission.reject_impossible_requests(state, out)


def _on_tick(state: PartitionState, event: events.Tick, out: _Commands) -> None:
    del event
    if state.epoch == 0:
        return
    if state.recovering:
        recovery.finish_recovery(state, out)
    if state.quarantined:
        _probe_workers(state, out)
    state.plan_due = True


def _on_task(
    handle: Callable[[PartitionState, partition_state.Attempt, int, events.Event, _Commands], None],
) -> Callable[[PartitionState, events.Event, _Commands], None]:
    """Returns an event handler that looks up the attempt of a task and ignores unknown tasks."""

    def on_task(state: PartitionState, event: events.Event, out: _Commands) -> None:
        attempt, member = attempts.find_attempt(state, event.task_id)
        if attempt is not None:
            handle(state, attempt, member, event, out)

    return on_task


_HANDLERS: dict[type, Callable[[PartitionState, events.Event, _Commands], None]] = {
    events.EpochGained: _on_epoch_gained,
    events.RecoveredRequest: _on_recovered,
    events.RequestSubmitted: _on_submitted,
    events.CancelRequested: _on_cancel,
    events.AttemptRecorded: lambda s, e, out: attempts.handle_attempt_recorded(
        s, e.attempt_id, out
    ),
    events.AttemptNotRecorded: recovery.handle_attempt_not_recorded,
    events.WorkerReported: _on_report,
    events.WorkerLeaving: lambda s, e, out: losses.mark_leaving(s, e.worker_id, out),
    events.WorkerLost: lambda s, e, out: losses.handle_worker_lost(s, e.worker_id, out),
    events.TaskHeld: _on_task(lambda s, a, m, e, out: attempts.handle_task_held(s, a, m, out)),
    events.TaskRefused: _on_task(
        lambda s, a, m, e, out: attempts.handle_task_refused(s, a, m, e.reason, out)
    ),
    events.TaskStarted: _on_task(lambda s, a, m, e, out: attempts.handle_task_started(s, a, m)),
    events.TaskFinished: _on_task(
        lambda s, a, m, e, out: attempts.handle_task_finished(s, a, m, out)
    ),
    events.TaskFailed: _on_task(
        lambda s, a, m, e, out: attempts.handle_task_failed(s, a, m, e.error, out)
    ),
    events.TaskStopped: _on_task(
        lambda s, a, m, e, out: attempts.handle_task_stopped(s, a, m, out)
    ),
    events.TaskReleased: lambda s, e, out: reports.handle_task_released(
        s, e.task_id, e.started, out
    ),
    events.AnswerStored: lambda s, e, out: attempts.handle_answer_stored(s, e.attempt_id, out),
    events.AnswerBroken: lambda s, e, out: attempts.handle_answer_broken(s, e.attempt_id, out),
    events.WorkersListed: _on_listing,
    events.ReleaseApplied: _on_release,
    events.Tick: _on_tick,
}
