"""Boundaries of errors: one job or worker whose handling raises must not hold up the others.

Handles a defect that shows with one job only. Without a boundary, its error would end the pass for
all work that ranks after it, at each pass, while only that job is at fault. What has raised is
tried again with growing delays, since the reason may go away.
"""

from collections.abc import Callable
from typing import TypeVar

from lycheegate.jobs import commands, state
from lycheegate.utils import errors

__all__ = ["BASE_RETRY_S", "run_guarded"]

_T = TypeVar("_T")

BASE_RETRY_S = 0.25
"""Delay before the next try after an error; doubles with each further one."""
MAX_RETRY_S = 1.0
"""Maximum delay; work must not stand still for 3 s once the reason for an error is gone."""
MAX_ERROR_CHARACTERS = 200
MAX_REMEMBERED = 10_000
"""Number of errors from which those whose delay has passed are forgotten."""


def run_guarded(
    current: state.SchedulerState,
    subject: tuple[str, ...],
    now_s: float,
    function: Callable[[], _T],
    result: list[commands.Command],
    max_retry_s: float = MAX_RETRY_S,
) -> _T | None:
    """Runs one stage of a pass for one job or worker, or for all.

    Args:
        current: State of the scheduler.
        subject: Stage, and the identifiers of what it is run for.
        now_s: Time on the scheduler's clock.
        function: The stage.
        result: Gets the decision to be logged if the stage raises.
        max_retry_s: Maximum delay before the next try.

    Returns:
        What the function returns, or None if it raises or has raised lately.
    """
    known = current.errors.get(subject)
    if known is not None and now_s < known.retry_at_s:
        return None
    try:
        value = function()
    except Exception as error:
        count = known.count + 1 if known is not None else 1
        retry_s = min(max_retry_s, BASE_RETRY_S * 2.0 ** min(count - 1, 10))
        if len(current.errors) >= MAX_REMEMBERED:
            current.errors = {
                key: error for key, error in current.errors.items() if now_s < error.retry_at_s
            }
        current.errors[subject] = state.StageError(count, now_s + retry_s)
        stage, *names = subject
        fields = {"stage": stage, "subject": ":".join(names), "errors": count}
        fields["retry_in_s"] = retry_s
        fields |= errors.describe(error).make_fields(f"{error!r:.{MAX_ERROR_CHARACTERS}}")
        result.append(commands.Decision("stage_failed", fields))
        return None
    if known is not None:
        del current.errors[subject]
    return value
