"""The trace of one request, from the decision logs of several processes."""

import dataclasses
import json
from collections.abc import Iterable

__all__ = ["TraceLine", "find_request_trace", "format_line"]

_HEAD = ("t", "node", "event")
_TERM_EVENTS = frozenset({"claimed", "term_loaded", "term_ended"})
_SUBJECT_FIELDS = ("job", "subject", "jobs", "victims")


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """A decision that touched the request, or a change of the scheduler's term.

    Attributes:
        position: Its place among the lines that were read, which keeps the order of the log.
        node: VM that decided.
        event: What was decided.
        fields: What decided it.
    """

    position: int
    node: str
    event: str
    fields: dict


def find_request_trace(lines: Iterable[str], request_id: str) -> list[TraceLine]:
    """Returns the lines about a request, with the changes of the term between them.

    Lines that are not JSON, or that have something before it, are read as far as possible: log
    collectors put a time in front.
    """
    found: list[TraceLine] = []
    for position, text in enumerate(lines):
        start = text.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(record, dict) or "event" not in record:
            continue
        if record["event"] in _TERM_EVENTS or _mentions(record, request_id):
            fields = {name: value for name, value in record.items() if name not in _HEAD}
            line = TraceLine(position, str(record.get("node", "")), record["event"], fields)
            found.append(line)
    return _trim_terms(found)


def _mentions(record: dict, request_id: str) -> bool:
    return any(request_id in str(record.get(name, "")) for name in _SUBJECT_FIELDS)


def _trim_terms(lines: list[TraceLine]) -> list[TraceLine]:
    """Drops changes of the term before the first and after the last line about the request."""
    own = [i for i, line in enumerate(lines) if line.event not in _TERM_EVENTS]
    return lines[own[0] : own[-1] + 1] if own else []


def format_line(line: TraceLine) -> str:
    """Returns a line for people."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.node:24} {line.event:18} {fields}"
