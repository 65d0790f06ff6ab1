"""Records of the decision logs that the daemons write as JSON lines."""

import json
from typing import Any

__all__ = ["parse_record"]


def parse_record(text: str) -> dict[str, Any] | None:
    """Returns the record in a log line, or None if the line contains none.

    Text before the JSON object is ignored, since log collectors prepend a time stamp.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(text[start:])
    except (ValueError, RecursionError):
        return None
    return record if isinstance(record, dict) and "event" in record else None
