"""The trace of one request, extracted from the decision logs of several processes."""

import dataclasses
from collections.abc import Iterable

from lycheegate.metrics import log_records

__all__ = ["TraceLine", "find_request_trace", "format_line"]

_HEADER_FIELDS = ("t", "node", "event")
_TERM_EVENTS = frozenset({"claimed", "term_loaded", "term_ended"})
_SUBJECT_FIELDS = ("job", "subject", "jobs", "victims")


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """A decision that concerns the request, or a change of the scheduler's term.

    Attributes:
        position: Index among the lines that were read; lines keep this order.
        node: Name of the VM that made the decision.
        event: Name of the log event.
        fields: Other fields of the log line.
    """

    position: int
    node: str
    event: str
    fields: dict


def find_request_trace(lines: Iterable[str], request_id: str) -> list[TraceLine]:
    """Returns the log lines that concern a request, and changes of the term between them.

    Lines without a record are skipped.
    """
    trace: list[TraceLine] = []
    for position, text in enumerate(lines):
        record = log_records.parse_record(text)
        if record is None:
            continue
        if record["event"] in _TERM_EVENTS or _mentions(record, request_id):
            fields = {name: value for name, value in record.items() if name not in _HEADER_FIELDS}
            line = TraceLine(position, str(record.get("node", "")), record["event"], fields)
            trace.append(line)
    return _trim_term_changes(trace)


def _mentions(record: dict, request_id: str) -> bool:
    return any(request_id in str(record.get(name, "")) for name in _SUBJECT_FIELDS)


def _trim_term_changes(lines: list[TraceLine]) -> list[TraceLine]:
    """Removes changes of the term before the first and after the last line of the request."""
    request_indices = [i for i, line in enumerate(lines) if line.event not in _TERM_EVENTS]
    return lines[request_indices[0] : request_indices[-1] + 1] if request_indices else []


def format_line(line: TraceLine) -> str:
    """Returns a human-readable form of a line."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.node:24} {line.event:18} {fields}"
