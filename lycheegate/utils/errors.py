"""Descriptions of exceptions for log lines."""

import dataclasses
import os
import pathlib
import traceback
from typing import Any

__all__ = ["ErrorDescription", "describe"]

MAX_TEXT = 300
"""Maximum number of characters of an error's text."""
MAX_CAUSES = 5
"""Number of causes that are followed to find one that was raised."""
_PACKAGE = pathlib.Path(__file__).parents[1]
_PREFIX = str(_PACKAGE) + os.sep


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorDescription:
    """What a log line tells about an exception.

    Attributes:
        kind: Name of its class.
        text: Its text, at most ``MAX_TEXT`` characters.
        place: File and line of the innermost frame of this project, or an empty string if it was
            not raised, or not below a function of this project.
    """

    kind: str
    text: str
    place: str

    def make_fields(self, text: str | None = None) -> dict[str, Any]:
        """Returns the log fields, with another text of the error if one is given."""
        fields = {"error": self.text if text is None else text, "error_type": self.kind}
        return fields | ({"place": self.place} if self.place else {})

    def format(self) -> str:
        """Returns the description in one string."""
        return f"{self.kind}: {self.text}" + (f" ({self.place})" if self.place else "")


def describe(error: BaseException) -> ErrorDescription:
    """Describes an exception.

    If it is a result that was never raised, class and place are those of its first raised cause.
    """
    raised: BaseException | None = error
    for _ in range(MAX_CAUSES):
        if raised is None or raised.__traceback__ is not None:
            break
        raised = raised.__cause__
    if raised is None or raised.__traceback__ is None:
        return ErrorDescription(type(error).__name__, _format_text(error), "")
    return ErrorDescription(type(raised).__name__, _format_text(error), _find_place(raised))


def _format_text(error: BaseException) -> str:
    try:
        return str(error)[:MAX_TEXT]
    except Exception as other:
        return f"text cannot be formatted: {type(other).__name__}"


def _find_place(error: BaseException) -> str:
    place = ""
    for frame, line in traceback.walk_tb(error.__traceback__):
        path = frame.f_code.co_filename
        if path.startswith(_PREFIX):
            place = f"{_PACKAGE.name}/{path.removeprefix(_PREFIX)}:{line}"
    return place
