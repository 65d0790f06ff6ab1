"""Handling of workers that leave or are lost."""

from lycheegate.core import closing, commands, gangs, quarantine, scheduling
from lycheegate.core import state as partition_state

__all__ = ["handle_worker_lost", "mark_leaving", "remove_lost_workers"]

# Time from a loss to the check for requests that no longer fit anywhere. A worker that was only
# unreachable for a short time, or restarted, has reported again before the check.
SWEEP_DELAY_S = 60.0
# A lost worker that does not return within this time is removed.
_REMOVE_LOST_AFTER_S = 3600.0


def mark_leaving(
    state: partition_state.PartitionState, worker_id: str, out: list[commands.Command]
) -> None:
    """Excludes a worker from placement and closes attempts that have not started there.

    Single tasks whose order was already sent are left to run.
    """
    worker = state.workers.get(worker_id)
    if worker is None or worker.lost_at_s is not None or worker.leaving:
        return
    worker.leaving = True
    quarantine.update_placeable(state, worker)
    for attempt_id in list(worker.attempts):
        attempt = state.attempts.get(attempt_id)
        if attempt is None:
            continue
        is_gang = len(attempt.statuses) > 1
        if attempt.step is partition_state.Step.RECORDING or (
            is_gang and attempt.step is partition_state.Step.ORDERING
        ):
            closing.close(state, attempt, partition_state.After.RETRY, out, "worker_leaving")


def handle_worker_lost(
    state: partition_state.PartitionState, worker_id: str, out: list[commands.Command]
) -> None:
    """Removes a worker from placement; retries its idempotent requests.

    A single non-idempotent task that may have started waits for the return of the worker.
    """
    worker = state.workers.get(worker_id)
    if worker is None or worker.lost_at_s is not None:
        return
    worker.lost_at_s = state.now_s
    worker.leaving = False
    for task_id in worker.stale:
        state.stale.pop(task_id, None)
    worker.stale.clear()
    scheduling.remove_worker(state.scheduling, worker_id)
    state.plan_due = True
    state.capacity_changed = True
    if worker.probe_attempt_id is not None:
        worker.probe_attempt_id = None
        worker.probe_at_s = state.now_s + worker.probe_interval_s
    for attempt_id in list(worker.attempts):
        attempt = state.attempts.get(attempt_id)
        if attempt is not None:
            _handle_lost_members(state, attempt, worker_id, out)
            if attempt_id not in state.attempts:
                worker.attempts.pop(attempt_id, None)
    for delay_s in (SWEEP_DELAY_S, _REMOVE_LOST_AFTER_S):
        partition_state.add_timer(state, state.now_s + delay_s, partition_state.Timer.SWEEP, "")


def _handle_lost_members(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    worker_id: str,
    out: list[commands.Command],
) -> None:
    if attempt.step is partition_state.Step.COLLECTING:
        return
    if attempt.step is partition_state.Step.RECORDING:
        closing.close(state, attempt, partition_state.After.RETRY, out, "worker_lost")
        return
    lost = [
        member
        for member, place in enumerate(attempt.placement)
        if place is not None
        and place.worker_id == worker_id
        and (
            partition_state.Status.PLANNED
            < attempt.statuses[member]
            < partition_state.Status.FINISHED
            or (member == 0 and attempt.statuses[member] is partition_state.Status.FINISHED)
        )
    ]
    if not lost:
        return
    if len(attempt.statuses) == 1 and not attempt.request.idempotent and attempt.start_ordered:
        attempt.statuses[0] = partition_state.Status.UNKNOWN
        due_s = state.now_s + state.settings.outcome_wait_s
        if attempt.step is not partition_state.Step.UNCERTAIN or attempt.due_s is None:
            closing.set_due(state, attempt, due_s)
        if attempt.step is not partition_state.Step.CLOSING:
            attempt.step = partition_state.Step.UNCERTAIN
            attempt.since_s = state.now_s
        attempt.reason = "worker_lost"
        closing.release_capacity(state, attempt)
        return
    for member in lost[1:]:
        attempt.statuses[member] = partition_state.Status.LOST
    gangs.handle_member_loss(state, attempt, lost[0], out)


def remove_lost_workers(state: partition_state.PartitionState) -> None:
    """Removes workers that were lost long ago and have no attempts left."""
    for worker_id, worker in list(state.workers.items()):
        if (
            worker.lost_at_s is not None
            and state.now_s >= worker.lost_at_s + _REMOVE_LOST_AFTER_S
            and not worker.attempts
        ):
            del state.workers[worker_id]
            state.quarantined.pop(worker_id, None)
