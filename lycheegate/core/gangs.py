"""Two-phase start of gangs.

In the first phase, every member is held. Once all holds are confirmed, all members are started.
If a member is lost after that, the others are stopped.
"""

from lycheegate.core import closing, commands
from lycheegate.core import state as partition_state

__all__ = [
    "START_TIMEOUT_S",
    "compute_loss_grace_s",
    "handle_member_loss",
    "handle_timer",
    "mark_running_if_started",
    "start_members",
]

# Time within which all members must confirm their start. Otherwise the gang is stopped, so that
# it runs partially for less than 2 s, including the stop.
START_TIMEOUT_S = 1.0
# Grace period of the members that are stopped after a loss. Together with the timeout of the stop
# order, it stays below the 2 s within which a partial gang is stopped.
_LOSS_GRACE_S = 1.0


def start_members(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Orders all members to start; all must be held."""
    attempt.step = partition_state.Step.STARTING
    attempt.since_s = state.now_s
    attempt.start_ordered = True
    attempt.repeats = 0
    for member in range(len(attempt.statuses)):
        attempt.statuses[member] = partition_state.Status.START_ORDERED
    _order_starts(attempt, out)
    closing.set_due(state, attempt, state.now_s + START_TIMEOUT_S)


def _order_starts(attempt: partition_state.Attempt, out: list[commands.Command]) -> None:
    for member, place in enumerate(attempt.placement):
        if attempt.statuses[member] is partition_state.Status.START_ORDERED and place is not None:
            task_id = partition_state.format_member_task_id(attempt, member)
            out.append(commands.StartTask(task_id, place.worker_id))


def mark_running_if_started(
    state: partition_state.PartitionState, attempt: partition_state.Attempt
) -> None:
    """Marks an attempt as running if every member has started."""
    if attempt.step in (partition_state.Step.ORDERING, partition_state.Step.STARTING) and all(
        status in (partition_state.Status.RUNNING, partition_state.Status.FINISHED)
        for status in attempt.statuses
    ):
        attempt.step = partition_state.Step.RUNNING
        attempt.since_s = state.now_s
        attempt.due_s = None


def handle_timer(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Repeats the unanswered start orders, or stops the gang once the start timeout has passed."""
    limit_s = attempt.since_s + START_TIMEOUT_S
    if state.now_s >= limit_s:
        closing.close(state, attempt, partition_state.After.RETRY, out, "start_timeout")
        return
    attempt.repeats += 1
    _order_starts(attempt, out)
    closing.set_due(state, attempt, limit_s)


def handle_member_loss(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    member: int,
    out: list[commands.Command],
) -> None:
    """Marks a member as lost and stops the others."""
    attempt.statuses[member] = partition_state.Status.LOST
    if attempt.step is partition_state.Step.CLOSING:
        closing.conclude_if_stopped(state, attempt, out)
        return
    grace_s = compute_loss_grace_s(state)
    closing.close(state, attempt, partition_state.After.RETRY, out, "worker_lost", grace_s=grace_s)


def compute_loss_grace_s(state: partition_state.PartitionState) -> float:
    """Returns the time that members have to checkpoint after another member was lost."""
    return min(state.settings.preemption_grace_s, _LOSS_GRACE_S)
