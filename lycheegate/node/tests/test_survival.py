"""Chains of calls and callbacks, each of which goes on after an unexpected error in one step."""

import json
import types

import pytest
from returns import result

from lycheegate.jobs import evacuation, health, leases, lifecycle, model, scheduling, waiting
from lycheegate.metrics import jsonlog
from lycheegate.node import daemon, exchange, feeds, reads, scheduler, storage
from lycheegate.node.tests import fake_store, simulation
from lycheegate.utils import exceptions

_HUGE = 10**400


class _Unexpected(Exception):
    """An error that no code expects."""


def _fail_once(function):
    """Returns a function that raises at its first call."""

    def call(*arguments):
        call.count += 1
        if call.count == 1:
            raise _Unexpected("step")
        return function(*arguments)

    call.count = 0
    return call


def _run(loop, duration_s):
    """Runs an event loop, which goes on after errors as the thread of the HTTP client does."""
    end_s = loop.now_s + duration_s
    while loop.now_s < end_s:
        try:
            loop.run_until(end_s)
        except _Unexpected:
            continue


class _Store:
    """Store that answers with rows, and raises at the first call of a kind."""

    def __init__(self, loop, failing):
        self.loop = loop
        self.failing = failing
        self.calls = 0

    def _answer(self, kind, callback, answer):
        if self.failing == kind:
            self.failing = ""
            raise _Unexpected(kind)
        self.calls += 1
        self.loop.call_later(0.1, lambda: callback(answer))

    def read(self, table, part, first, end, timeout_s, callback):
        """Answers with an empty page."""
        self._answer("read", callback, result.Success(storage.Page((), False, 1)))

    def follow(self, table, after, wait_s, callback):
        """Answers without changes, or once that the history is lost."""
        answer = result.Success(storage.Changes((), 1))
        if self.failing == "lost":
            self.failing = ""
            answer = result.Failure(storage.HistoryLostError("lost"))
        elif self.failing == "unavailable":
            self.failing = ""
            answer = result.Failure(exceptions.UnavailableError("unavailable"))
        self._answer("follow", callback, answer)


@pytest.mark.parametrize("failing", ["", "read", "follow", "lost", "unavailable"])
@pytest.mark.parametrize("step", ["on_rows", "on_error", "on_answer", "both"])
def test_feed(failing, step):
    """Guards against a feed that stops without a sign, so that departed workers stay in use."""
    loop = fake_store.EventLoop()
    store = _Store(loop, failing)
    rows, errors = [], []
    functions = {
        "on_rows": lambda *arguments: rows.append(arguments),
        "on_error": errors.append,
        "on_answer": lambda *arguments: None,
    }
    for name in ("on_rows", "on_error") if step == "both" else (step,):
        functions[name] = _fail_once(functions[name])
    feed = feeds.TableFeed(
        store,
        loop.call_later,
        "t",
        ("p",),
        functions["on_rows"],
        functions["on_error"],
        on_answer=functions["on_answer"],
    )
    loop.call_later(0.0, feed.start)
    _run(loop, 5.0)
    made = store.calls
    _run(loop, 5.0)
    assert store.calls - made > 20
    assert len(rows) > 20


def test_read_of_a_table():
    """Guards against a take-over that waits forever for a page that could not be requested."""
    loop = fake_store.EventLoop()
    found = []
    store = _Store(loop, "read")
    errors = []
    reads.TableRead(
        store, loop.call_later, [("t", "p")], found.append, errors.append, lambda: False
    )
    _run(loop, 5.0)
    assert len(found) == 1
    assert len(errors) == 1


_POLL_STEPS = {
    "compute lease": (exchange.leases, "compute_deadline_ms"),
    "record lease": (exchange.leases, "record_deadline"),
    "apply report": (exchange.workers, "apply_report"),
    "send": (None, "report"),
    "wait": (exchange, "_get_report_wait_s"),
}


@pytest.mark.parametrize("failing", _POLL_STEPS)
def test_polls_of_a_worker(monkeypatch, failing):
    """Guards against a worker that is never polled again, whose runs would be given up."""
    world = simulation.World(1, worker_count=2)
    term = world.claim_term("a")
    world.run(2.0)
    owner, name = _POLL_STEPS[failing]
    owner = owner or term._exchange._client
    monkeypatch.setattr(owner, name, _fail_once(getattr(owner, name)))
    world.run(3.0)
    monkeypatch.undo()
    world.submit(simulation.make_job("0" * 16, simulation.make_step(2, simulation.WHOLE)))
    world.run(6.0)
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize(
    "name",
    [
        "check_leases",
        "evacuate",
        "schedule",
        "list_suspects",
        "advance_jobs",
        "list_expired",
        "check_waiting",
    ],
)
def test_ticks_and_passes_of_a_term(monkeypatch, name):
    """Guards against a term that is kept or lost because one pass or tick raised an error."""
    world = simulation.World(1)
    world.claim_term("a")
    world.run(2.0)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(12)))
    modules = (leases, evacuation, scheduling, health, waiting)
    (owner,) = [m for m in (*modules, lifecycle) if hasattr(m, name) and name in m.__all__]
    failing = _fail_once(getattr(owner, name))
    monkeypatch.setattr(owner, name, failing)
    _run(world.loop, 10.0)
    assert failing.count > 1
    monkeypatch.undo()
    version = world.store.version
    _run(world.loop, 2.0)
    assert world.store.version > version
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("is_late", [False, True], ids=["at a take-over", "in the feed"])
def test_job_that_raises(monkeypatch, is_late):
    """Guards against one job that keeps all others of its answer from being scheduled."""
    world = simulation.World(1)
    if is_late:
        world.claim_term("a")
        world.run(2.0)
    add = lifecycle.add_job

    def fail(current, job, now_s, wall_s):
        if job.job.job_id == "1" * 16:
            raise _Unexpected("job")
        add(current, job, now_s, wall_s)

    monkeypatch.setattr(scheduler.lifecycle, "add_job", fail)
    for job_id in ("0" * 16, "1" * 16, "2" * 16):
        world.submit(simulation.make_job(job_id, simulation.make_step(1)))
    if not is_late:
        world.claim_term("a")
    world.run(6.0)
    for job_id in ("0" * 16, "2" * 16):
        assert world.read_status(job_id).outcome is model.Outcome.SUCCEEDED


def test_checks_of_the_term():
    """Guards against a VM that never claims a term again."""
    delays = []

    def fail():
        raise _Unexpected("claim")

    vm = types.SimpleNamespace(
        _claim_if_free=fail,
        _client=types.SimpleNamespace(call_later=lambda delay_s, _: delays.append(delay_s)),
        _check_claim_periodically=None,
    )
    with pytest.raises(_Unexpected):
        daemon.Daemon._check_claim_periodically(vm)
    assert len(delays) == 1


@pytest.mark.parametrize(
    "value",
    ["\ud800", {"a": "\ud800"}, object(), float("nan"), _HUGE, {1: object()}],
    ids=["surrogate", "surrogate inside", "object", "nan", "400 digits", "object inside"],
)
def test_log_line_that_cannot_be_encoded(value):
    """Guards against a callback that ends because of what it logs about a malformed row."""
    lines = []
    log = jsonlog.JsonLog("a", lambda: 1.0, lambda data: lines.append(data) or len(data))
    log.write("odd", reason=value)
    assert json.loads(lines[0])["event"].strip("'") == "odd"


def test_unreadable_reports_are_logged_once(monkeypatch):
    """Guards against a log that a program which is no worker fills, three lines a second."""
    world = simulation.World(1, worker_count=1)
    term = world.claim_term("a")
    world.run(2.0)
    failure = result.Failure(exceptions.ProtocolError("cannot decode"))

    def report(*arguments):
        world.loop.call_later(0.01, lambda: arguments[-1](failure))

    monkeypatch.setattr(term._exchange._client, "report", report)
    world.run(10.0)
    assert sum(b"report_failed" in line for line in world.lines) == 1
