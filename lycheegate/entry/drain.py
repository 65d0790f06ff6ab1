"""Graceful shutdown of an entry VM."""

import dataclasses
import threading
from collections.abc import Callable

from lycheegate.metrics import logs
from lycheegate.utils import clock as clock_module

__all__ = ["Steps", "drain"]

_log = logs.Log("lycheegate.entry.drain")

POLL_S = 0.05
HANDOVER_LIMIT_S = 5.0
"""Time after which a partition that could not be handed over is left to lapse."""


@dataclasses.dataclass(frozen=True)
class Steps:
    """What a drain does, as functions of the daemon.

    Attributes:
        announce: Makes readiness fail, refuses new requests and starts the handover.
        count_owned: Returns the number of partitions that are still owned.
        count_unrecorded: Returns the number of open requests that only this process knows.
        count_in_flight: Returns the number of calls and handed over requests under way.
        finish: Removes the member row and closes everything.
    """

    announce: Callable[[], None]
    count_owned: Callable[[], int]
    count_unrecorded: Callable[[], int]
    count_in_flight: Callable[[], int]
    finish: Callable[[], None]


def drain(
    steps: Steps, clock: clock_module.Clock, timeout_s: float, interrupt: threading.Event
) -> bool:
    """Drains this entry VM.

    Args:
        steps: What to do.
        clock: Source of time.
        timeout_s: Time after which calls that still wait are answered as accepted.
        interrupt: Ends the drain early.

    Returns:
        Whether nothing was in flight at the end.
    """
    began_s = clock.monotonic_s()
    _log.info("drain_begun")
    steps.announce()

    def is_done() -> bool:
        elapsed_s = clock.monotonic_s() - began_s
        # Without the store no lease can be released; the next owner waits for it to lapse.
        is_handed_over = steps.count_owned() == 0 or (
            elapsed_s >= HANDOVER_LIMIT_S and steps.count_unrecorded() == 0
        )
        return is_handed_over and steps.count_in_flight() == 0

    while not is_done():
        if clock.monotonic_s() - began_s >= timeout_s or clock.wait_s(interrupt, POLL_S):
            break
    in_flight = steps.count_in_flight()
    steps.finish()
    duration_s = clock.monotonic_s() - began_s
    _log.info("drain_ended", in_flight=in_flight, duration_s=duration_s)
    return in_flight == 0
