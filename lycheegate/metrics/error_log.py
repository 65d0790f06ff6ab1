"""Unexpected errors of a process, written to its structured log.

Handles errors of timers, callbacks and threads. Nothing waits for the results of these, so the
libraries that run them only log the errors, if at all: logbook writes nothing until a handler is
installed, and ``concurrent.futures`` writes to standard error.
"""

import contextlib
import dataclasses
import logging
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import logbook

from lycheegate.metrics import jsonlog
from lycheegate.utils import errors

__all__ = ["ErrorLog", "install"]

INTERVAL_S = 1.0
MAX_LINES = 5
"""Maximum number of lines about one event, class of errors and place in ``INTERVAL_S``. A timer
that fails at each call must not use up the lines that the log allows for all events."""
MAX_KEYS = 1_000
"""Number of such combinations from which all are forgotten."""
MAX_MESSAGE = 300
"""Maximum number of characters of a library's message."""
_EVENT = re.compile(r"[a-z][a-z_]{0,40}", re.ASCII)
_LIBRARY_EVENT = "library_message"


@dataclasses.dataclass(slots=True)
class _Window:
    """Lines about one event, class of errors and place.

    Attributes:
        began_at_s: When the first of them was written.
        written: Number of lines since.
        omitted: Number of lines that were not written since the last one.
    """

    began_at_s: float
    written: int = 0
    omitted: int = 0


class ErrorLog:
    """Writes errors as lines of the structured log; for any thread.

    Args:
        log: The structured log, which counts the events.
        monotonic_s: Clock for the limit of lines.
    """

    def __init__(self, log: jsonlog.JsonLog, monotonic_s: Callable[[], float] = time.monotonic):
        self._log = log
        self._monotonic_s = monotonic_s
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, str, str], _Window] = {}

    def write(self, event: str, error: BaseException | None, **fields: Any) -> None:
        """Writes a line, or only counts the event if too many lines of its kind were written."""
        if error is not None:
            description = errors.describe(error)
            fields |= description.make_fields()
            key = (event, description.kind, description.place)
        else:
            key = (event, "", str(fields.get("logger", "")))
        with self._lock:
            if len(self._windows) >= MAX_KEYS and key not in self._windows:
                self._windows.clear()
            now_s = self._monotonic_s()
            window = self._windows.setdefault(key, _Window(now_s))
            if now_s - window.began_at_s >= INTERVAL_S:
                window.began_at_s, window.written = now_s, 0
            if window.written >= MAX_LINES:
                window.omitted += 1
                self._log.counts[event] += 1
                return
            window.written += 1
            if window.omitted:
                fields["omitted"], window.omitted = window.omitted, 0
            self._log.write(event, **fields)


class _LogbookHandler(logbook.Handler):
    """Passes warnings and errors of ``logbook`` on; other handlers get them as well."""

    def __init__(self, error_log: ErrorLog):
        super().__init__(level=logbook.WARNING, bubble=True)
        self._error_log = error_log

    def emit(self, record: logbook.LogRecord) -> None:
        event, _, text = record.message.partition(" ")
        if not _EVENT.fullmatch(event):
            event, text = _LIBRARY_EVENT, record.message
        fields = {"message": text[:MAX_MESSAGE]} if text else {}
        error = record.exc_info[1] if isinstance(record.exc_info, tuple) else None
        self._error_log.write(event, error, logger=record.channel, **fields)


class _LoggingHandler(logging.Handler):
    """Passes warnings and errors of ``logging`` on, which libraries use."""

    def __init__(self, error_log: ErrorLog):
        super().__init__(logging.WARNING)
        self._error_log = error_log

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        # concurrent.futures logs the errors of the callbacks that get the answers of all calls.
        is_callback = record.name == "concurrent.futures" and error is not None
        try:
            message = record.getMessage()[:MAX_MESSAGE]
            event = "callback_failed" if is_callback else _LIBRARY_EVENT
            self._error_log.write(event, error, logger=record.name, message=message)
        except Exception:
            self.handleError(record)


@contextlib.contextmanager
def install(error_log: ErrorLog) -> Iterator[None]:
    """Passes the errors of this process to a log in this context.

    What is written to standard error without it still is: the messages of ``logging``, and the
    tracebacks of uncaught exceptions.
    """
    handler, root = _LoggingHandler(error_log), logging.getLogger()
    # Without another handler, logging writes to standard error by this one.
    last_resort = None if root.handlers else logging.lastResort
    thread_hook, hook = threading.excepthook, sys.excepthook

    def handle_thread_error(arguments: threading.ExceptHookArgs) -> None:
        try:
            if arguments.exc_value is not None and not issubclass(arguments.exc_type, SystemExit):
                name = arguments.thread.name if arguments.thread is not None else ""
                error_log.write("thread_failed", arguments.exc_value, thread=name)
        finally:
            thread_hook(arguments)

    def handle_error(kind: type[BaseException], error: BaseException, trace: Any) -> None:
        # libcurl's binding reports the errors of its callbacks here, without ending the thread.
        try:
            if not issubclass(kind, KeyboardInterrupt):
                error_log.write("uncaught_error", error.with_traceback(trace))
        finally:
            hook(kind, error, trace)

    with _LogbookHandler(error_log).applicationbound():
        root.addHandler(handler)
        if last_resort is not None:
            root.addHandler(last_resort)
        threading.excepthook, sys.excepthook = handle_thread_error, handle_error
        try:
            yield
        finally:
            threading.excepthook, sys.excepthook = thread_hook, hook
            root.removeHandler(handler)
            if last_resort is not None:
                root.removeHandler(last_resort)
