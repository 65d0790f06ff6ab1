"""Learned factors of workers and queues, from the decision logs.

Each summary of the log names only the fastest and the slowest workers, so the list is collected
from all summaries, with the latest factor of each worker.
"""

import dataclasses
from collections.abc import Iterable

from lycheegate.metrics import log_records
from lycheegate.utils import numbers

__all__ = ["COLUMNS", "LearnedFactor", "find_factors", "list_rows"]

COLUMNS = ("kind", "name", "factor", "at s", "vm")
_KINDS = {"fastest": "worker", "slowest": "worker", "queues": "queue"}


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedFactor:
    """The latest factor of a worker or queue.

    Attributes:
        factor: Time that the worker takes relative to a typical one, or true over declared
            duration of the queue's work.
        at_s: Time of the log line.
        vm: VM that wrote it.
    """

    factor: float
    at_s: float
    vm: str


def find_factors(lines: Iterable[str]) -> dict[tuple[str, str], LearnedFactor]:
    """Returns the latest factor of each worker and queue that is named, by kind and name.

    Lines that are no summaries, and values that are no numbers, are skipped.
    """
    result: dict[tuple[str, str], LearnedFactor] = {}
    for text in lines:
        record = log_records.parse_record(text)
        if record is None or record["event"] != "durations_learned":
            continue
        at_s = record.get("t")
        if not numbers.is_finite(at_s):
            continue
        for field, kind in _KINDS.items():
            named = record.get(field)
            for name, factor in named.items() if isinstance(named, dict) else ():
                known = result.get((kind, name))
                if numbers.is_finite(factor) and (known is None or known.at_s <= at_s):
                    vm = str(record.get("node", ""))
                    result[kind, name] = LearnedFactor(factor, at_s, vm)
    return result


def list_rows(
    factors: dict[tuple[str, str], LearnedFactor],
) -> list[tuple[str, str, float, float, str]]:
    """Returns one row for each factor, with the columns ``COLUMNS``, the largest first."""
    rows = [
        (kind, name, found.factor, found.at_s, found.vm) for (kind, name), found in factors.items()
    ]
    return sorted(rows, key=lambda row: (row[0] != "worker", -row[2], row[1]))
