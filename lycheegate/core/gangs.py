"""Two-phase start of gangs.

First every member is held. Only when all holds are confirmed are all members started. If a member
is lost after that, all others are stopped.
"""

from lycheegate.core import closing, commands
from lycheegate.core import state as partition_state

__all__ = [
    "START_TIMEOUT_S",
    "mark_running_if_started",
    "compute_loss_grace_s",
    "handle_timer",
    "handle_member_loss",
    "start_members",
]

# Time for all members to confirm their start. A gang with a member that has not started by then
# is stopped, so that together with the stop it runs partially for less than 2 s.
START_TIMEOUT_S = 1.0
# Grace of the members that are stopped after a loss. With the time for a missing answer to the
# stop order it stays below the 2 s in which a partial gang is stopped.
_LOSS_GRACE_S = 1.0


def start_members(
    state: partition_state.PartitionState,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Starts all members, which are all held."""
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
    """Notes that an attempt runs once every member has started."""
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
    """Repeats the start orders without an answer, or stops the gang when its time is over."""
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
    """Stops the other members after the loss of one."""
    attempt.statuses[member] = partition_state.Status.LOST
    if attempt.step is partition_state.Step.CLOSING:
        closing.conclude_if_stopped(state, attempt, out)
        return
    grace_s = compute_loss_grace_s(state)
    closing.close(state, attempt, partition_state.After.RETRY, out, "worker_lost", grace_s=grace_s)


def compute_loss_grace_s(state: partition_state.PartitionState) -> float:
    """Returns the time that members have to checkpoint after the loss of another."""
    return min(state.settings.preemption_grace_s, _LOSS_GRACE_S)
