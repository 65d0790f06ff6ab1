"""Clock interface and its implementations."""

import datetime
import threading
import time
from typing import Protocol

__all__ = ["Clock", "FakeClock", "SystemClock"]


class Clock(Protocol):
    """Source of time."""

    def monotonic_s(self) -> float:
        """Returns seconds since an arbitrary point; never goes back."""

    def now(self) -> datetime.datetime:
        """Returns the wall clock time in UTC."""

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits for an event or the time-out; returns whether the event is set."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Returns seconds since an arbitrary point."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Returns the wall clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits for an event or the time-out; returns whether the event is set."""
        return event.wait(timeout_s)


class FakeClock:
    """Clock that moves only when told to."""

    def __init__(self, start_s: float = 0.0):
        self._now_s = start_s
        self._epoch = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def monotonic_s(self) -> float:
        """Returns the seconds the clock was advanced, plus its start."""
        return self._now_s

    def now(self) -> datetime.datetime:
        """Returns the wall clock time in UTC."""
        return self._epoch + datetime.timedelta(seconds=self._now_s)

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Advances the clock by the time-out unless the event is set."""
        if not event.is_set():
            self.advance(timeout_s)
        return event.is_set()

    def advance(self, seconds_s: float) -> None:
        """Moves the clock forward by ``seconds_s`` seconds."""
        self._now_s += seconds_s
