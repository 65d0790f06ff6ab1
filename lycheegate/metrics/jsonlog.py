"""Log of decisions: one JSON object a line on standard output.

Writing never blocks: lines beyond the rate, or that the reader of the output does not take, are
dropped and counted, and the next line tells how many.
"""

import collections
import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

__all__ = ["JsonLog"]

MAX_LINES_PER_S = 300.0
BURST_LINES = 600.0
STDOUT_FD = 1


class JsonLog:
    """Log of one process.

    Attributes:
        dropped: Lines dropped so far.
        counts: Events so far, whether written or dropped.
    """

    def __init__(
        self,
        node: str,
        monotonic_s: Callable[[], float] = time.monotonic,
        write: Callable[[bytes], int] | None = None,
    ):
        self.dropped = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._node = node
        self._monotonic_s = monotonic_s
        self._write = write or _write_stdout
        self._budget = BURST_LINES
        self._filled_at_s = monotonic_s()
        self._reported_dropped = 0

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line, or drops it if too many were written lately."""
        self.counts[event] += 1
        now_s = self._monotonic_s()
        earned = (now_s - self._filled_at_s) * MAX_LINES_PER_S
        self._budget = min(BURST_LINES, self._budget + earned)
        self._filled_at_s = now_s
        if self._budget < 1.0:
            self.dropped += 1
            return
        self._budget -= 1.0
        line = {"t": round(now_s, 3), "node": self._node, "event": event, **fields}
        if self.dropped > self._reported_dropped:
            line["dropped"] = self.dropped - self._reported_dropped
        data = msgspec.json.encode(line) + b"\n"
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        if written < len(data):
            self.dropped += 1
        else:
            self._reported_dropped = self.dropped


def _write_stdout(data: bytes) -> int:
    return os.write(STDOUT_FD, data)
