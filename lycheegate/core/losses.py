"""Workers that leave or are lost."""

from lycheegate.core import closing, commands, gangs, quarantine, scheduling
from lycheegate.core import state as partition_state

__all__ = ["forget_lost", "lose_worker", "note_leaving"]

# Requests that became impossible by a loss are looked for after this time; a worker that was
# only unreachable or restarted is back by then.
_SWEEP_DELAY_S = 60.0
# A lost worker that does not come back within this time is forgotten.
_FORGET_AFTER_S = 3600.0


def note_leaving(
    state: partition_state.PartitionState, worker_id: str, out: list[commands.Command]
) -> None:
    """Takes a worker out of placement; attempts that have not started there are given up."""
    worker = state.workers.get(worker_id)
    if worker is None or worker.lost_at_s is not None or worker.leaving:
        return
    worker.leaving = True
    quarantine.refresh_placeable(state, worker)
    for attempt_id in list(worker.attempts):
        attempt = state.attempts.get(attempt_id)
        if attempt is None:
            continue
        is_gang = len(attempt.statuses) > 1
        if attempt.step is partition_state.Step.RECORDING or (
            is_gang and attempt.step is partition_state.Step.ORDERING
        ):
            closing.close(state, attempt, partition_state.After.RETRY, out, "worker_leaving")


def lose_worker(
    state: partition_state.PartitionState, worker_id: str, out: list[commands.Command]
) -> None:
    """Removes a worker; its idempotent work is retried, other work waits for its return."""
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
            _lose_members(state, attempt, worker_id, out)
            if attempt_id not in state.attempts:
                worker.attempts.pop(attempt_id, None)
    for delay_s in (_SWEEP_DELAY_S, _FORGET_AFTER_S):
        partition_state.add_timer(state, state.now_s + delay_s, partition_state.Timer.SWEEP, "")


def _lose_members(
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
        closing.vacate(state, attempt)
        return
    for member in lost[1:]:
        attempt.statuses[member] = partition_state.Status.LOST
    gangs.handle_member_loss(state, attempt, lost[0], out)


def forget_lost(state: partition_state.PartitionState) -> None:
    """Forgets workers that have been lost for long and hold nothing any more."""
    for worker_id, worker in list(state.workers.items()):
        if (
            worker.lost_at_s is not None
            and state.now_s >= worker.lost_at_s + _FORGET_AFTER_S
            and not worker.attempts
        ):
            del state.workers[worker_id]
            state.quarantined.pop(worker_id, None)
