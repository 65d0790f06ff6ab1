"""Graceful shutdown of an entry VM."""

import dataclasses
import threading
from collections.abc import Callable

from lycheegate.metrics import logs
from lycheegate.utils import clock as clock_module

__all__ = ["DrainSteps", "drain"]

_log = logs.Log("lycheegate.entry.drain")

POLL_INTERVAL_S = 0.05
HANDOVER_TIMEOUT_S = 5.0
"""Time after which the drain stops waiting for leases to be released and lets them expire."""


@dataclasses.dataclass(frozen=True)
class DrainSteps:
    """Functions of the daemon that a drain calls.

    Attributes:
        announce: Reports this entry VM as not ready, refuses new requests and starts the handover.
        count_owned: Returns the number of partitions that are still owned.
        count_unrecorded: Returns the number of open requests that have no record in the table.
        count_in_flight: Returns the number of calls in progress plus the number of submitted
            requests that are still tracked.
        finish: Removes the member row and closes everything.
    """

    announce: Callable[[], None]
    count_owned: Callable[[], int]
    count_unrecorded: Callable[[], int]
    count_in_flight: Callable[[], int]
    finish: Callable[[], None]


def drain(
    steps: DrainSteps, clock: clock_module.Clock, timeout_s: float, interrupt: threading.Event
) -> bool:
    """Announces the drain, waits for the handover and the calls in progress, then shuts down.

    Args:
        steps: Functions of the daemon.
        clock: Source of time.
        timeout_s: Time after which the drain ends even if calls are still in progress.
        interrupt: Event that ends the drain early.

    Returns:
        Whether no call or request was in flight at the end.
    """
    began_s = clock.monotonic_s()
    _log.info("drain_begun")
    steps.announce()

    def is_done() -> bool:
        elapsed_s = clock.monotonic_s() - began_s
        # Without the store no lease can be released; the next owner waits until it expires.
        is_handed_over = steps.count_owned() == 0 or (
            elapsed_s >= HANDOVER_TIMEOUT_S and steps.count_unrecorded() == 0
        )
        return is_handed_over and steps.count_in_flight() == 0

    while not is_done():
        if clock.monotonic_s() - began_s >= timeout_s or clock.wait_s(interrupt, POLL_INTERVAL_S):
            break
    in_flight = steps.count_in_flight()
    steps.finish()
    duration_s = clock.monotonic_s() - began_s
    _log.info("drain_ended", in_flight=in_flight, duration_s=duration_s)
    return in_flight == 0
