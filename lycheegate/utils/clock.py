"""Clock interface, with a system and a fake implementation."""

import datetime
import threading
import time
from typing import Protocol

__all__ = ["Clock", "FakeClock", "SystemClock"]


class Clock(Protocol):
    """Source of monotonic and wall clock time."""

    def monotonic_s(self) -> float:
        """Returns seconds since an arbitrary reference point; the value never decreases."""

    def now(self) -> datetime.datetime:
        """Returns the wall clock time in UTC."""

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits until the event is set or the timeout expires; returns whether it is set."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Returns seconds since an arbitrary reference point."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Returns the wall clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits until the event is set or the timeout expires; returns whether it is set."""
        return event.wait(timeout_s)


class FakeClock:
    """Clock for tests that advances only on request."""

    def __init__(self, start_s: float = 0.0):
        self._now_s = start_s
        self._epoch = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def monotonic_s(self) -> float:
        """Returns the start value plus the seconds by which the clock was advanced."""
        return self._now_s

    def now(self) -> datetime.datetime:
        """Returns the wall clock time in UTC."""
        return self._epoch + datetime.timedelta(seconds=self._now_s)

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Advances the clock by the timeout unless the event is set.

        Returns:
            Whether the event is set.
        """
        if not event.is_set():
            self.advance(timeout_s)
        return event.is_set()

    def advance(self, seconds_s: float) -> None:
        """Advances the clock by ``seconds_s`` seconds."""
        self._now_s += seconds_s
