"""Errors of timers, callbacks and threads in the structured log."""

import json
import logging
import re
import sys
import threading
import types

import logbook
import pytest

from lycheegate.clients import http
from lycheegate.metrics import error_log, jsonlog, logs
from lycheegate.node import daemon
from lycheegate.utils import errors, exceptions

_PLACE = re.compile(r"lycheegate/metrics/tests/test_error_log\.py:\d+")


class _Sink:
    """Structured log whose lines are kept, with a clock that stands still unless it is set."""

    def __init__(self):
        self.lines: list[dict] = []
        self.now_s = 100.0
        self.log = jsonlog.JsonLog("a", lambda: self.now_s, self._write)
        self.errors = error_log.ErrorLog(self.log, lambda: self.now_s)

    def _write(self, data: bytes) -> int:
        self.lines.append(json.loads(data))
        return len(data)


@pytest.fixture
def sink():
    """Returns a structured log that gets the errors of the process."""
    found = _Sink()
    with error_log.install(found.errors):
        yield found


def _fail():
    return {}["missing"]


def _run_timer():
    client = http.HttpClient()
    done = threading.Event()
    client.call_later(0.0, _fail)
    client.call_later(0.01, done.set)
    assert done.wait(5.0)
    client.close()


def _run_callback():
    client = http.HttpClient()
    done = threading.Event()
    future = client.send(http.Request("GET", "http://127.0.0.1:9/", timeout_s=0.5))
    future.add_done_callback(lambda _: _fail())
    future.add_done_callback(lambda _: done.set())
    assert done.wait(5.0)
    client.close()


def _run_event_thread(monkeypatch):
    monkeypatch.setattr(http.HttpClient, "_finish_transfers", lambda self: _fail())
    client = http.HttpClient("events")
    client.call_later(0.0, lambda: None)
    client._thread.join(5.0)


@pytest.mark.filterwarnings("ignore::pytest.PytestUnhandledThreadExceptionWarning")
@pytest.mark.parametrize(
    ("event", "logger"),
    [("timer_failed", "platform.http"), ("callback_failed", "concurrent.futures")],
)
def test_error_on_the_event_thread(sink, event, logger):
    """Guards against a defect that holds jobs up while the recorded log has no sign of it."""
    if event == "timer_failed":
        _run_timer()
    else:
        _run_callback()
    (line,) = sink.lines
    assert (line["event"], line["logger"]) == (event, logger)
    assert (line["error_type"], line["error"]) == ("KeyError", "'missing'")
    assert _PLACE.fullmatch(line["place"])
    assert sink.log.counts == {event: 1}


@pytest.mark.filterwarnings("ignore::pytest.PytestUnhandledThreadExceptionWarning")
def test_end_of_the_event_thread(sink, monkeypatch):
    """Guards against a VM whose event thread has ended, and which looks like an idle one."""
    _run_event_thread(monkeypatch)
    (line,) = sink.lines
    assert (line["event"], line["thread"]) == ("thread_failed", "events")
    assert (line["error_type"], line["error"]) == ("KeyError", "'missing'")
    assert _PLACE.fullmatch(line["place"])


def test_uncaught_error(sink, monkeypatch, capsys):
    """Guards against errors of libcurl's callbacks, of which only a traceback tells."""
    try:
        _fail()
    except KeyError as error:
        sys.excepthook(KeyError, error, error.__traceback__)
    (line,) = sink.lines
    assert (line["event"], line["error_type"]) == ("uncaught_error", "KeyError")
    assert "KeyError: 'missing'" in capsys.readouterr().err


def test_warning_of_a_module(sink):
    """Guards against a warning, such as of a malformed row, that no recorded line has."""
    logs.Log("platform.store").warning("row_malformed", row="jobs/a", bytes=7)
    logs.Log("platform.store").info("row_seen")
    logging.getLogger("library").warning("queue is %d long", 7)
    logbook.Logger("library").error("No event: {}")
    assert [line["event"] for line in sink.lines] == [
        "row_malformed",
        "library_message",
        "library_message",
    ]
    assert sink.lines[0]["message"] == "row=jobs/a bytes=7"
    assert [line["message"] for line in sink.lines[1:]] == ["queue is 7 long", "No event: {}"]


def test_standard_error_has_what_it_had(sink, capfd):
    """Guards against tracebacks that are missing from standard error because they are logged."""
    root = logging.getLogger()
    handlers, root.handlers = root.handlers, []
    try:
        with error_log.install(sink.errors):
            logging.getLogger("concurrent.futures").error("exception calling callback")
    finally:
        root.handlers = handlers
    assert capfd.readouterr().err == "exception calling callback\n"


def test_other_handlers_of_logbook_get_the_record(sink):
    """Guards against an entry VM whose log on standard error lacks its errors."""
    handler = logbook.TestHandler()
    with handler.applicationbound(), error_log.install(sink.errors):
        _run_timer()
    assert handler.has_error("timer_failed")


def test_handlers_are_removed():
    """Guards against lines of one process part that reach the log of another."""
    found = _Sink()
    hooks = threading.excepthook, sys.excepthook, list(logging.getLogger().handlers)
    with error_log.install(found.errors):
        pass
    assert hooks == (threading.excepthook, sys.excepthook, list(logging.getLogger().handlers))
    _run_timer()
    assert found.lines == []


def _raise(error: Exception) -> Exception:
    try:
        raise error
    except type(error) as raised:
        return raised


def test_lines_are_limited():
    """Guards against a timer that fails at each call and uses up the lines for all events.

    Each failure is counted, also those that have no line.
    """
    sink = _Sink()
    error = _raise(KeyError("a"))
    for _ in range(50):
        sink.errors.write("timer_failed", error)
    sink.errors.write("timer_failed", _raise(ValueError("b")))
    assert len(sink.lines) == error_log.MAX_LINES + 1
    assert sink.log.counts["timer_failed"] == 51
    sink.now_s += error_log.INTERVAL_S
    sink.errors.write("timer_failed", error)
    assert sink.lines[-1]["omitted"] == 50 - error_log.MAX_LINES
    for number in range(3 * error_log.MAX_KEYS):
        sink.errors.write(f"event{number}", None)
    assert len(sink.errors._windows) <= error_log.MAX_KEYS


class _OddError(Exception):
    def __str__(self):
        raise ValueError("no text")


@pytest.mark.parametrize(
    ("error", "kind", "text"),
    [
        (ValueError("x" * 10_000), "ValueError", "x" * errors.MAX_TEXT),
        (_OddError(), "_OddError", "text cannot be formatted: ValueError"),
        (exceptions.ProtocolError("cannot decode"), "ProtocolError", "cannot decode"),
    ],
)
def test_description_of_an_error(error, kind, text):
    """Guards against an error that cannot be logged because of its text, or has a huge line."""
    assert errors.describe(error) == errors.ErrorDescription(kind, text, "")
    place = errors.describe(_raise(error)).place
    assert _PLACE.fullmatch(place)
    assert errors.describe(error).make_fields("t") == {
        "error": "t",
        "error_type": kind,
        "place": place,
    }


def test_description_of_an_error_that_has_a_cause():
    """Guards against a result without a place that hides a defect, as of a decoder."""
    failure = exceptions.OutcomeUnknownError("cannot decode")
    failure.__cause__ = _raise(KeyError("a"))
    description = errors.describe(failure)
    assert (description.kind, description.text) == ("KeyError", "cannot decode")
    assert _PLACE.fullmatch(description.place)


def test_innermost_place_of_this_project():
    """Guards against a place in a library, which does not tell which call was wrong."""
    try:
        json.loads("{")
    except ValueError as error:
        line = errors.describe(error)
    assert _PLACE.fullmatch(line.place)


def test_daemon_writes_errors_to_standard_output(monkeypatch, capfd):
    """Guards against a daemon that does not pass its errors to the log that users record."""
    handlers = {}

    class FakeDaemon:
        def __init__(self, settings, log):
            pass

        def start(self):
            _run_timer()
            _run_callback()
            handlers[daemon.signal.SIGTERM]()

        def drain(self):
            pass

    settings = types.SimpleNamespace(node_name="vm1")
    monkeypatch.setattr(daemon.settings_, "load_settings", lambda: settings)
    monkeypatch.setattr(daemon.signal, "signal", handlers.__setitem__)
    monkeypatch.setattr(daemon.os, "set_blocking", lambda *_: None)
    monkeypatch.setattr(daemon, "Daemon", FakeDaemon)
    assert daemon.main() == 0
    lines = [json.loads(text) for text in capfd.readouterr().out.splitlines()]
    assert [line["event"] for line in lines] == ["timer_failed", "callback_failed"]
    assert {line["node"] for line in lines} == {"vm1"}
