"""Fencing tokens of the calls to workers.

A worker refuses calls with a lower token than the highest that it has seen. Each term claims a
range of epochs, so that its tokens are higher than those of all earlier terms. Within its range, a
scheduler raises the token of a worker after a restart or a lost poll. Once the worker has answered
a call with the raised token, it carries out no earlier call any more, also if it had restarted
since that call was sent. It forgets the token when it restarts again.
"""

from lycheegate.jobs import state

__all__ = ["EPOCHS_PER_TERM", "add_worker", "get_token", "is_overtaken", "raise_token"]

EPOCHS_PER_TERM = 1_000_000
"""Number of epochs that a term claims; a token is raised at most once for each lost poll. A build
without ranges claims the next epoch only, which is higher than all tokens of the term before."""


def get_token(current: state.SchedulerState, worker: state.WorkerState) -> int:
    """Returns the fencing token for the next call to a worker.

    The epoch of a term is the last of its range. A term whose range is used up keeps the last.
    """
    return _compute_token(current, worker.token_raises)


def is_overtaken(
    current: state.SchedulerState, worker: state.WorkerState | None, token: int
) -> bool:
    """Returns whether a later call of this term may have had a higher token than a call.

    Args:
        current: State of the scheduler.
        worker: The worker, or None if it is not known any more.
        token: Token of the call.
    """
    raises = worker.token_raises if worker is not None else current.max_token_raises
    return token < _compute_token(current, raises)


def _compute_token(current: state.SchedulerState, raises: int) -> int:
    first = max(0, current.epoch - EPOCHS_PER_TERM) + 1
    return min(first + raises, current.epoch)


def raise_token(current: state.SchedulerState, worker: state.WorkerState, now_s: float) -> None:
    """Raises the token of a worker, so that it refuses the calls that were sent before."""
    before = get_token(current, worker)
    worker.token_raises += 1
    current.max_token_raises = max(current.max_token_raises, worker.token_raises)
    if get_token(current, worker) > before:
        worker.token_raised_at_s = now_s


def add_worker(current: state.SchedulerState, worker: state.WorkerState) -> None:
    """Gives a worker a token that is not lower than any that it may have had in this term."""
    worker.token_raises = current.max_token_raises
