"""Answers of the store and of workers that another program gives, or that are malformed in part."""

import json

import hypothesis
import logbook
import msgspec
import pytest
from hypothesis import strategies as st
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import commands, leases, lifecycle, model, scheduling, state, workers, writes
from lycheegate.node import storage
from lycheegate.platform import store
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

_HUGE = "9" * 400
"""A number that no float holds."""
_TASK = "5c0e7a21d94b36f8.0.1.1"


class Client:
    """HTTP client that answers each request with the same status and body."""

    def __init__(self, status, body):
        self.status = status
        self.body = body
        self.requests = []

    def send(self, request):
        """Answers a request."""
        self.requests.append(request)
        future = http.futures.Future()
        response = http.Response(self.status, (), self.body)
        future.set_result(result.Success(response))
        return future


def _get_report(status, body):
    found = []
    client = worker_calls.PlatformWorkers(Client(status, body), lambda: 3.0)
    client.report("h:1", "w", 7, 57, None, 0.0, found.append)
    (outcome,) = found
    return outcome


def _make_report(clock="5", running="", ended="", **fields):
    others = "".join(f',"{name}":{text}' for name, text in fields.items())
    return f'{{"clock-ms":{clock},"running":[{running}],"ended":[{ended}]{others}}}'.encode()


ODD_REPORTS = {
    "empty": b"",
    "page": b"<html></html>",
    "no fields": b"{}",
    "array": b"[]",
    "nested": b"[" * 60_000,
    "nested in a row": _make_report(running="[" * 9_000 + "]" * 9_000),
    "nested in another field": _make_report(note="[" * 9_000 + "]" * 9_000),
    "no clock": b'{"running":[],"ended":[]}',
    "clock 0": _make_report("0"),
    "clock negative": _make_report("-5"),
    "clock a float": _make_report("5.5"),
    "clock over the limit": _make_report(str(2**53 + 1)),
    "clock of 400 digits": _make_report(_HUGE),
    "born of 400 digits": _make_report(born=_HUGE),
    "born negative": _make_report(born="-1"),
    "row of another type": _make_report(running='"x"'),
    "row too short": _make_report(running=f'["{_TASK}",1]'),
    "run negative": _make_report(running=f'["{_TASK}",-1,"",0]'),
    "run of 400 digits": _make_report(running=f'["{_TASK}",{_HUGE},"",0]'),
    "run text": _make_report(running=f'["{_TASK}","1","",0]'),
    "run text of 5000 digits": _make_report(running=f'["{_TASK}","{"9" * 5000}","",0]'),
    "run true": _make_report(running=f'["{_TASK}",true,"",0]'),
    "run a float": _make_report(running=f'["{_TASK}",1e300,"",0]'),
    "percent text": _make_report(running=f'["{_TASK}",1,"","x"]'),
    "percent without end": _make_report(running=f'["{_TASK}",1,"",1e999]'),
    "checkpoint an object": _make_report(running=f'["{_TASK}",1,{{"a":[1]}},0]'),
    "checkpoint too long": _make_report(running=f'["{_TASK}",1,"{"x" * 5000}",0]'),
    "name a number": _make_report(running='[5,1,"",0]'),
    "end of 400 digits": _make_report(ended=f'[{_HUGE},"{_TASK}",1,"done",""]'),
    "end negative": _make_report(ended=f'[-1,"{_TASK}",1,"done",""]'),
    "end of a negative run": _make_report(ended=f'[1,"{_TASK}",-1,"done",""]'),
    "end for a reason of another type": _make_report(ended=f'[1,"{_TASK}",1,[],""]'),
    "end with a checkpoint of another type": _make_report(ended=f'[1,"{_TASK}",1,"done",[]]'),
}


@pytest.mark.parametrize("body", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_odd_report_is_an_error(body):
    """Guards against a report of a program that is no worker, and against numbers without limit.

    A report without runs ends those that it does not list. A number of 400 digits raises when a
    lease or a poll is computed from it, and the worker is not polled again.
    """
    assert isinstance(_get_report(200, body).failure(), exceptions.ProtocolError)


@pytest.mark.parametrize("status", [204, 301, 400, 404, 429, 500, 503])
@pytest.mark.parametrize("body", [b"", b"<html></html>", b"[" * 60_000], ids=["", "page", "nested"])
def test_refused_report(status, body):
    """Guards against a refusal that does not keep work away because its body cannot be read."""
    assert isinstance(_get_report(status, body).failure(), exceptions.UnavailableError)


@pytest.mark.parametrize(
    "name", ["x", "a.b.c.d", f"{_TASK}\u00b2", "a.0.0.-1", "a.0.0." + "9" * 5000, "", "\u0000"]
)
def test_odd_name_of_a_run_does_not_hide_the_report(name):
    """Guards against a worker that is lost for as long as it lists a run with an odd name."""
    row = json.dumps([name, 1, "", 0])
    report = _get_report(200, _make_report(running=f'{row},["{_TASK}",1,"",50]')).unwrap()
    assert [listed.task is not None for listed in report.running] == [False, True]


@pytest.mark.parametrize(("percent", "expected"), [("150", 100), ("-3", 0), ("1e300", 100)])
def test_percent_is_limited(percent, expected):
    """Guards against a run whose progress no arithmetic bears."""
    report = _get_report(200, _make_report(running=f'["{_TASK}",1,"",{percent}]')).unwrap()
    assert report.running[0].percent == expected


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 60_000,
        f'{{"clock-ms":{_HUGE}}}'.encode(),
        b'{"clock-ms":-1}',
        b'{"clock-ms":1e300}',
        b'{"reason":"\xff"}',
    ],
    ids=["nested", "clock of 400 digits", "clock negative", "clock a float", "not utf-8"],
)
@pytest.mark.parametrize(
    ("status", "expected"),
    [(200, worker_calls.StartOutcome.STARTED), (409, worker_calls.StartOutcome.REJECTED)],
)
def test_odd_answer_to_an_order(status, expected, body):
    """Guards against a clock from which no lease can be computed."""
    order = commands.StartRun("w", model.TaskKey("0" * 16, 0, 0, 1), 2, "spec", "")
    found = []
    client = worker_calls.PlatformWorkers(Client(status, body), lambda: 0.0)
    client.start("h:1", order, 7, 900, found.append)
    assert found == [worker_calls.OrderResult(expected, 0)]


_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.integers(0, 4200).map(lambda digits: 10**digits),
        st.integers(0, 400).map(lambda digits: -(10**digits)),
        st.floats(allow_nan=False, allow_infinity=False),
        st.sampled_from([_TASK, "done", "5c0e7a21d94b36f8.0.0.0", ""]),
    ),
    lambda items: st.lists(items, max_size=5),
    max_leaves=12,
)
_ROWS = st.lists(
    st.one_of(
        _VALUES,
        st.tuples(st.sampled_from([f"{'0' * 16}.0.0.0", _TASK]), _VALUES, _VALUES, _VALUES),
        st.tuples(
            _VALUES,
            st.sampled_from([f"{'0' * 16}.0.0.0", _TASK]),
            st.integers(0, 3),
            st.sampled_from(["done", "failed", "lapsed"]),
            _VALUES,
        ),
    ),
    max_size=3,
)


@hypothesis.example(clock_ms=10**400, born=10**400, running=[], ended=[])
@hypothesis.example(
    clock_ms=5, born=1, running=[], ended=[(10**30, f"{'0' * 16}.0.0.0", 1, "done", "")]
)
@hypothesis.given(
    clock_ms=st.one_of(st.integers(1, 2**53), _VALUES), born=_VALUES, running=_ROWS, ended=_ROWS
)
def test_any_report_allows_the_next_poll(clock_ms, born, running, ended):
    """Guards against a report after which a worker cannot be polled, stopped or its run stored.

    A number that was accepted in a report comes back in the next call as the lease, the last end
    or the number of a run, and in the record of the job.
    """
    need = model.Resources(1, 1, 0)
    current = state.SchedulerState(1, state.Policy(), 0.0)
    capacity = model.Resources(8, 8, 8)
    current.workers["w"] = state.WorkerState(
        "w",
        "s",
        "a:1",
        "z",
        "r0",
        frozenset(),
        capacity,
        capacity,
        incarnation=state.Incarnation(confirmed=True),
    )
    current.workers["w"].reported_at_s = 1.0
    route = model.Route("q", "h", "/q/", "s", 1, 3, 3.0, 1.0)
    job = model.Job("0" * 16, "q", "t", "x", (model.Step(1, need, 1.0),), 0.0)
    lifecycle.add_job(current, state.JobState(job, route), 0.0, 0.0)
    scheduling.schedule(current, 1.0, 1.0)
    writes.complete_batch(current, writes.collect_batch(current, 1.0), 2, 1.0)
    document = {"clock-ms": clock_ms, "born": born, "running": running, "ended": ended}
    outcome = _get_report(200, json.dumps(document).encode())
    if not isinstance(outcome, result.Success):
        assert isinstance(outcome.failure(), exceptions.ProtocolError)
        return
    for command in workers.apply_report(current, outcome.unwrap()):
        if isinstance(command, commands.StopRun):
            msgspec.json.encode([worker_calls.format_task(command.task), command.number])
    worker = current.workers["w"]
    for now_s in (3.0, 9.0):
        deadline_ms = leases.compute_deadline_ms(current, worker, now_s)
        leases.record_deadline(current, worker, deadline_ms, now_s)
        incarnation = worker.incarnation
        msgspec.json.encode([deadline_ms, incarnation.durable_end, incarnation.processed_end])
        leases.check_leases(current, now_s)
    writes.collect_batch(current, 1.0)


def _make_row(key="k1", **fields):
    """Returns a row as the store sends it, with fields given as JSON text."""
    row = {"table": '"t"', "key": json.dumps(key), "value": '"YQ=="', "ver": "4", **fields}
    return "{" + ",".join(f'"{name}":{text}' for name, text in row.items()) + "}"


ODD_ROWS = {
    "value not base64": (_make_row("odd", value='"!!!a"'), {"odd": b""}),
    "value cut": (_make_row("odd", value='"YQ="'), {"odd": b""}),
    "value with other letters": (_make_row("odd", value='"\u00e9"'), {"odd": b""}),
    "value null": (_make_row("odd", value="null"), {"odd": b""}),
    "value nested": (_make_row("odd", value="[" * 900 + "]" * 900), {"odd": b""}),
    "tombstone of another type": (_make_row("odd", tombstone='"yes"'), {"odd": b""}),
    "version text": (_make_row("odd", ver='"4"'), {}),
    "version negative": (_make_row("odd", ver="-4"), {}),
    "version of 400 digits": (_make_row("odd", ver=_HUGE), {}),
    "version of 5000 digits": (_make_row("odd", ver="9" * 5000), {}),
    "key a number": (_make_row(key=7), {}),
    "key an unpaired surrogate": (_make_row("odd").replace('"odd"', '"\\ud800"'), {"\ufffd": b"a"}),
    "key not utf-8": (_make_row("odd").replace('"odd"', '"\udcff"'), {"\ufffd": b"a"}),
    "no key": ('{"table":"t","value":"","ver":4}', {}),
    "null": ("null", {}),
    "text": ('"x"', {}),
    "array": ("[]", {}),
}
ODD_STORE_ANSWERS = {
    "empty": b"",
    "page": b"<html></html>",
    "cut": b'{"rows":[',
    "nested": b"[" * 60_000,
    "nested in a row": f'{{"rows":[{"[" * 60_000}'.encode(),
    "rows an object": b'{"rows":{},"ver":9}',
    "version text": b'{"rows":[],"ver":"9"}',
    "version negative": b'{"rows":[],"ver":-9}',
    "version of 400 digits": f'{{"rows":[],"ver":{_HUGE}}}'.encode(),
    "clock of 400 digits": f'{{"rows":[],"ver":9,"now-ms":{_HUGE}}}'.encode(),
}


def _call_store(kind, status, body):
    found = []
    client = store.PlatformStore(Client(status, body), "h:1")
    if kind == "read":
        client.read("t", "p", "", "", 1.0, found.append)
    elif kind == "follow":
        client.follow("t", 4, 1.0, found.append)
    else:
        client.transact(storage.Transaction(), 1.0, found.append)
    (outcome,) = found
    return outcome


@pytest.mark.parametrize("kind", ["read", "follow", "transact"])
@pytest.mark.parametrize(("odd", "expected"), ODD_ROWS.values(), ids=ODD_ROWS)
def test_odd_row_does_not_hide_the_others(odd, expected, kind):
    """Guards against one row that hides all others of its answer, and ends the feed for good.

    A feed repeats the call whose answer cannot be decoded, and would get the same row each time.
    """
    emoji = _make_row("k2").replace("k2", r"\ud83d\ude00\\ud800")
    text = f'{{"rows":[{_make_row("k1")},{odd},{emoji}],"ver":9}}'
    body = text.encode(errors="surrogateescape")
    outcome = _call_store(kind, 412 if kind == "transact" else 200, body)
    rows = (outcome.failure() if kind == "transact" else outcome.unwrap()).rows
    expected = {"k1": b"a", **expected, "\U0001f600\\ud800": b"a"}
    assert {row.key.key: row.value for row in rows} == expected
    assert all(row.version == 4 and not row.deleted for row in rows)
    if kind != "transact":
        assert outcome.unwrap().version == 9


@pytest.mark.parametrize("kind", ["read", "follow", "transact"])
@pytest.mark.parametrize("status", [200, 412])
@pytest.mark.parametrize("body", ODD_STORE_ANSWERS.values(), ids=ODD_STORE_ANSWERS)
def test_odd_answer_of_the_store_is_an_error(body, status, kind):
    """Guards against a call without an outcome, and against a version that no change reaches."""
    outcome = _call_store(kind, status, body)
    assert isinstance(outcome.failure(), exceptions.OutcomeUnknownError)


def test_malformed_row_is_logged_once():
    """Guards against a log line for each read of a malformed row."""
    body = f'{{"rows":[{_make_row("once", value="null")}],"ver":9}}'.encode()
    with logbook.TestHandler() as handler:
        for _ in range(3):
            _call_store("read", 200, body)
        assert len(handler.records) == 1
        _call_store("read", 200, body.replace(b'"ver":4', b'"ver":5'))
        assert len(handler.records) == 2
