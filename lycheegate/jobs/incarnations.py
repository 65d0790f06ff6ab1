"""What tells the incarnations of a worker apart, and what may be believed until that is known.

A worker may restart under its identifier and address. The next incarnation carries out calls that
were meant for the former one, and has none of its memory: its clock and its numbers of ends begin
anew, and it has seen no epoch and no run. Only a report names its incarnation. An answer to an
order names none, but its reading of the clock shows whether the known incarnation can have given
it, because each incarnation begins its clock anew.

The start of a run is verified once no incarnation but the known one can have carried it out. Until
then, its run may hold the longest lease that workers grant: the deadline of its order is a time on
another clock.
"""

import dataclasses

from lycheegate.jobs import state

__all__ = [
    "LATE_CALL_S",
    "ClockRange",
    "compute_clock_range",
    "has_unverified_start",
    "is_fenced",
    "record_start_answered",
    "record_start_sent",
    "record_start_unanswered",
    "record_start_unsent",
    "verify_starts",
]

LATE_CALL_S = 2.0
"""Time from sending a call without an answer until which a later incarnation may carry it out. The
client has closed the connection by then; only what is on its way can still arrive."""
LATE_AFTER_GIVING_UP_S = 1.5
"""The same from the moment at which the caller gave up."""
CLOCK_TOLERANCE_MS = 20
"""Allowance for the rounding of a worker's clock and the delays of measuring it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClockRange:
    """Readings of its clock that the known incarnation of a worker can give, in milliseconds.

    Attributes:
        least_ms: Least reading.
        most_ms: Greatest reading.
    """

    least_ms: int
    most_ms: int

    def includes(self, clock_ms: int) -> bool:
        """Returns whether the known incarnation can have given a reading."""
        return self.least_ms <= clock_ms <= self.most_ms


def compute_clock_range(
    current: state.SchedulerState, worker: state.WorkerState, sent_at_s: float, now_s: float
) -> ClockRange | None:
    """Computes what the known incarnation of a worker can answer to a call.

    Args:
        current: State of the scheduler.
        worker: The worker.
        sent_at_s: When the call was sent.
        now_s: When its answer was received.

    Returns:
        The range, or None if no reading of the clock is known.
    """
    if not worker.incarnation.clock_ms:
        return None
    at_least_s = sent_at_s - worker.incarnation.clock_at_s
    if at_least_s > 0.0:
        at_least_s *= 1.0 - current.policy.clock_slowness_ratio
    at_most_s = now_s - worker.incarnation.clock_sent_at_s
    return ClockRange(
        worker.incarnation.clock_ms + int(at_least_s * 1000.0) - CLOCK_TOLERANCE_MS,
        worker.incarnation.clock_ms + int(at_most_s * 1000.0) + CLOCK_TOLERANCE_MS,
    )


def record_start_sent(run: state.Run, now_s: float) -> None:
    """Records that a start order for a run is being sent."""
    run.start_sent_at_s = now_s
    run.awaits_answer = True
    run.unverified_until_s = max(run.unverified_until_s or 0.0, now_s + LATE_CALL_S)


def record_start_unanswered(run: state.Run, sent_at_s: float, now_s: float) -> None:
    """Records that a start order for a run was not answered, and may be carried out late.

    Args:
        run: The run.
        sent_at_s: When the order was sent.
        now_s: When it was given up. A suspended VM may have sent it only shortly before.
    """
    run.awaits_answer = False
    late_until_s = max(sent_at_s + LATE_CALL_S, now_s + LATE_AFTER_GIVING_UP_S)
    run.unanswered_until_s = max(run.unanswered_until_s or 0.0, late_until_s)
    run.unverified_until_s = max(run.unverified_until_s or 0.0, run.unanswered_until_s)


def record_start_answered(run: state.Run, is_known_incarnation: bool, now_s: float) -> None:
    """Records that the last start order for a run was answered.

    Args:
        run: The run.
        is_known_incarnation: Whether the clock of the answer is that of the known incarnation.
        now_s: When the answer was received.
    """
    run.awaits_answer = False
    run.unverified_until_s = run.unanswered_until_s
    if not is_known_incarnation:
        run.unverified_until_s = max(run.unanswered_until_s or 0.0, now_s)


def record_start_unsent(run: state.Run) -> None:
    """Records that nothing of the last start order for a run was sent."""
    run.awaits_answer = False
    run.unverified_until_s = run.unanswered_until_s


def verify_starts(worker: state.WorkerState, requested_at_s: float) -> None:
    """Verifies the starts on a worker that were all carried out before a report was requested."""
    for run in worker.runs.values():
        if run.unverified_until_s is not None and run.unverified_until_s <= requested_at_s:
            run.unanswered_until_s = run.unverified_until_s = None


def is_fenced(worker: state.WorkerState, run: state.Run, requested_at_s: float) -> bool:
    """Returns whether a worker refuses all start orders for a run from a report on.

    An order without an answer that may still arrive does not count as refused: the token is raised
    after a lost poll, and a worker that is restarting forgets it.

    Args:
        worker: The worker.
        run: The run.
        requested_at_s: When the report was requested.
    """
    if run.start_sent_at_s is None or worker.token_raised_at_s is None:
        return False
    if run.awaits_answer or run.unanswered_until_s is not None:
        return False
    return run.start_sent_at_s < worker.token_raised_at_s <= requested_at_s


def has_unverified_start(worker: state.WorkerState) -> bool:
    """Returns whether an unknown incarnation of a worker may run one of its runs."""
    return any(run.unverified_until_s is not None for run in worker.runs.values())
