"""Histogram of predicted over measured durations of runs, for declared and learned durations.

The buckets are fixed and few, so that a run costs two searches among a dozen limits.
"""

import bisect
import threading

__all__ = ["DurationErrors"]

NAME = "lycheegate_duration_error"
LIMITS = (0.125, 0.25, 0.5, 0.667, 0.8, 0.9, 1.1, 1.25, 1.5, 2.0, 4.0, 8.0)
"""Upper limits of the buckets; the last bucket has none."""
SOURCES = ("declared", "learned")


class DurationErrors:
    """Histogram of one process; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts = {source: [0] * (len(LIMITS) + 1) for source in SOURCES}
        self._sums = dict.fromkeys(SOURCES, 0.0)

    def record(self, declared: float, learned: float) -> None:
        """Records the declared and the learned over the measured duration of a run."""
        with self._lock:
            for source, ratio in zip(SOURCES, (declared, learned), strict=True):
                self._counts[source][bisect.bisect_left(LIMITS, ratio)] += 1
                self._sums[source] += ratio

    def format_metrics(self) -> str:
        """Returns the text exposition: cumulative counts of the buckets, the sum and the count."""
        lines: list[str] = []
        with self._lock:
            for source in SOURCES:
                total = 0
                limits = [*map(str, LIMITS), "+Inf"]
                for limit, count in zip(limits, self._counts[source], strict=True):
                    total += count
                    lines.append(f'{NAME}_bucket{{source="{source}",le="{limit}"}} {total}')
                lines.append(f'{NAME}_sum{{source="{source}"}} {round(self._sums[source], 4)}')
                lines.append(f'{NAME}_count{{source="{source}"}} {total}')
        return "\n".join(lines) + "\n"
