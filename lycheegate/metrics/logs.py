"""Structured log of event names with fields.

A line has the form ``time level logger event request_id=... field=value ...``. Values with white
space or special characters are written as JSON strings. Bodies and credentials are never written:
the values of fields with such names are redacted, and so are tokens in any text.
"""

import contextlib
import contextvars
import json
import re
import sys
from collections.abc import Iterator
from typing import Any, TextIO

import logbook

__all__ = ["Log", "bind_request", "format_fields", "get_request_id", "set_up"]

REDACTED = "[redacted]"
_MAX_VALUE_LENGTH = 512
_FORBIDDEN = frozenset(
    ("answer", "authorization", "body", "cookie", "credential", "document", "hmac", "key")
    + ("password", "payload", "peer_key", "private_key", "secret", "signature")
    + ("token", "token_hash")
)
_TOKEN = re.compile(
    r"lyg_[0-9a-f]{16}_[A-Za-z0-9_-]+|sha256\$[0-9a-f]+\$[0-9a-f]+|(?i:bearer)\s+\S+"
)
_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+\[\]-]+", re.ASCII)
_LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
_request_id: contextvars.ContextVar[str | None] = contextvars.ContextVar("request_id", default=None)


@contextlib.contextmanager
def bind_request(request_id: str | None) -> Iterator[None]:
    """Adds a request identifier to all lines logged in this context."""
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


def get_request_id() -> str | None:
    """Returns the request identifier bound to this context."""
    return _request_id.get()


class Log:
    """Logger of one module."""

    def __init__(self, name: str):
        self._logger = logbook.Logger(name)

    def debug(self, event: str, **fields: Any) -> None:
        """Logs details for developers."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Logs an expected event that is of interest to operators."""
        self._write(logbook.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an unexpected event from which the system recovers by itself."""
        self._write(logbook.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs an event that requires action by an operator."""
        self._write(logbook.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        request_id = _request_id.get()
        if request_id is not None and "request_id" not in fields:
            fields = {"request_id": request_id, **fields}
        # Without arguments, logbook does not format the message, so it may contain braces.
        self._logger.log(level, f"{event} {format_fields(fields)}".rstrip())


def format_fields(fields: dict[str, Any]) -> str:
    """Returns fields as ``name=value`` with credentials and bodies redacted."""
    return " ".join(f"{name}={_format_value(name, value)}" for name, value in fields.items())


def set_up(level: str = "info", stream: TextIO | None = None) -> logbook.StreamHandler:
    """Directs the log of the process to a stream.

    Args:
        level: Minimum level: debug, info, warning or error.
        stream: Output stream; standard error by default.

    Returns:
        The handler; its method ``pop_application`` removes it.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr,
        level=_LEVELS[level],
        format_string=(
            "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} "
            "{record.message}"
        ),
    )
    handler.push_application()
    return handler


def _format_value(name: str, value: Any) -> str:
    if name.lower() in _FORBIDDEN or isinstance(value, bytes | bytearray | memoryview):
        return REDACTED
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple | set | frozenset):
        value = ",".join(str(item) for item in value)
    text = _TOKEN.sub(REDACTED, str(value))
    if len(text) > _MAX_VALUE_LENGTH:
        text = f"{text[:_MAX_VALUE_LENGTH]}...({len(text)} characters)"
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)
