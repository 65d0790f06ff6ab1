"""When the store gave an answer, on this VM's clock.

An answer may be processed long after it was given, for example because the process was suspended
with the answer in its socket. The time of processing would then make old data appear current. The
request was sent before the answer was given, but a change feed may wait before it answers. The
store's clock, which is in each answer, narrows this down: both clocks are steady, so each answer
gives a lower bound of their offset, and a fast answer gives a close one.
"""

import dataclasses
import math

__all__ = ["StoreClock", "compute_latest_ms", "locate_answer"]

PERIOD_S = 60.0
"""Bounds of the offset are dropped after one to two periods, because clocks drift apart."""


@dataclasses.dataclass(slots=True)
class StoreClock:
    """Lower bounds of the offset between this VM's clock and the store's, in seconds.

    Attributes:
        current_s: Highest bound of the current period, or None.
        previous_s: Highest bound of the period before, or None.
        began_at_s: Start of the current period.
    """

    current_s: float | None = None
    previous_s: float | None = None
    began_at_s: float = 0.0


def locate_answer(clock: StoreClock, sent_at_s: float, clock_ms: int, now_s: float) -> float:
    """Returns the earliest time at which the store can have given an answer.

    Args:
        clock: Bounds of the offset, which are updated.
        sent_at_s: When the request was sent.
        clock_ms: The store's clock in the answer, or 0 if not reported.
        now_s: Time at which the answer is processed.
    """
    if not clock_ms:
        return sent_at_s
    store_s = clock_ms / 1000.0
    if now_s - clock.began_at_s >= PERIOD_S:
        clock.previous_s, clock.current_s, clock.began_at_s = clock.current_s, None, now_s
    bound_s = sent_at_s - store_s
    clock.current_s = bound_s if clock.current_s is None else max(clock.current_s, bound_s)
    return min(now_s, store_s + _get_offset_s(clock))


def compute_latest_ms(clock: StoreClock, at_s: float) -> int:
    """Returns the latest time that the store's clock can show at a time, or 0 if that is unknown.

    Args:
        clock: Bounds of the offset.
        at_s: Time on this VM's clock.
    """
    offset_s = _get_offset_s(clock)
    return 0 if offset_s is None else max(1, math.ceil((at_s - offset_s) * 1000.0))


def _get_offset_s(clock: StoreClock) -> float | None:
    """Returns the lower bound of the offset, or None if there is none."""
    bounds = [bound for bound in (clock.current_s, clock.previous_s) if bound is not None]
    return max(bounds, default=None)
