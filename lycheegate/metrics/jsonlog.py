"""Log of scheduling decisions on standard output, with one JSON object per line.

Writing never blocks. Lines that exceed the rate limit, or that do not fit into the output pipe,
are dropped and counted; the next written line contains their number.
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
MAX_FIELD = 300
"""Characters of a field that cannot be encoded."""
STDOUT_FD = 1


class JsonLog:
    """Rate-limited log of one process.

    Attributes:
        dropped: Number of lines dropped so far.
        counts: Number of events so far by name, including those of dropped lines.
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
        self._tokens = BURST_LINES
        self._refilled_at_s = monotonic_s()
        self._reported_dropped = 0

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line, or drops it if the rate limit is exceeded or the output is blocked."""
        self.counts[event] += 1
        now_s = self._monotonic_s()
        refill = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        line = {"t": round(now_s, 3), "node": self._node, "event": event, **fields}
        if self.dropped > self._reported_dropped:
            line["dropped"] = self.dropped - self._reported_dropped
        data = _encode(line) + b"\n"
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        if written < len(data):
            self.dropped += 1
        else:
            self._reported_dropped = self.dropped


def _encode(line: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(line)
    except Exception:
        # Fields may quote what other systems sent, such as unpaired surrogates. A line that cannot
        # be written must not end the processing of what it is about.
        return msgspec.json.encode({name: ascii(value)[:MAX_FIELD] for name, value in line.items()})


def _write_stdout(data: bytes) -> int:
    return os.write(STDOUT_FD, data)
