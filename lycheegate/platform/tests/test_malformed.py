"""Malformed messages at every inlet of the platform: they are rejected and end nothing."""

import copy
import json
import math

import cbor2
import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import model, progress, state, workers
from lycheegate.node import peer_calls, relay, storage, tables
from lycheegate.platform import configuration, settings, store, submissions
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

_JOB_ID = "5c0e7a21d94b36f8"
_MESSAGES = {
    "registration": {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "z",
        "state": "draining",
        "capacity": {"cpu": 16000, "mem-mb": 100, "gpu": 8},
        "labels": ["a", "r1-3"],
        "born": 17,
        "remaining-ms": 2000,
    },
    "configuration": {
        "version": 3,
        "routes": [
            {"name": "r", "host": "h", "path-prefix": "/p/", "service": "s", "priority": 1},
        ],
        "services": [{"name": "s"}],
        "tenants": [{"name": "t", "api-keys": ["k"], "guaranteed": {"gpu": 8}, "weight": 2.0}],
        "limits": {"max-body-bytes": 1000},
    },
    "job": {
        "spec": "x",
        "steps": [
            {"count": 2, "cpu": 100, "gpu": 1, "estimate-ms": 900, "affinity": "r1-3"},
            {"count": 1, "depends-on": [0], "gang": True},
        ],
        "repeats": 2,
        "start-at-ms": 5,
        "interval-ms": 7,
    },
    "report": {
        "clock-ms": 482113,
        "born": 17,
        "running": [[f"{_JOB_ID}.0.1.17", 2, "00bb", 41, 3]],
        "ended": [[58, f"{_JOB_ID}.0.1.9", 1, "done", ""]],
    },
    "rows": {
        "rows": [{"table": "t", "part": "p", "key": "k", "value": "YQ==", "ver": 4}],
        "ver": 9,
    },
}
_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False),
    st.text(max_size=8),
    st.sampled_from(["[::1:80", "10.0.0.1:²", "wörker:80", "1.2.3.4:80\r\nX: y", "a.b.c.d"]),
    st.lists(st.integers(-3, 3), max_size=3),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


def _list_paths(value, path=()):
    """Returns the paths of all items in a document."""
    yield path
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            yield from _list_paths(item, (*path, key))


@st.composite
def _make_malformed(draw, kind):
    """Draws a recorded message with up to three values replaced or removed, or other bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.sampled_from([b"", b"\xff\xfe", b"[" * 100_000, b'{"a":' * 50_000, b"null"]))
    document = copy.deepcopy(_MESSAGES[kind])
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list(_list_paths(document))[1:] or [()]))
        if not path:
            break
        parent = document
        for key in path[:-1]:
            parent = parent[key]
        if draw(st.booleans()):
            parent[path[-1]] = draw(_VALUES)
        elif isinstance(parent, dict):
            del parent[path[-1]]
    return json.dumps(document).encode()


@hypothesis.given(data=_make_malformed("registration"), worker_id=st.text(min_size=1, max_size=9))
def test_registration(data, worker_id):
    """Guards against a registry entry of another writer that breaks requests or the capacity."""
    try:
        found = worker_calls.decode_registration(worker_id, data)
    except exceptions.ProtocolError:
        return
    assert f"{found.address}{found.worker_id}".isascii()
    assert not set(f"{found.address}{found.worker_id}") & set(" \r\n[]")
    assert model.Resources().fits(found.capacity)
    current = state.SchedulerState(1, state.Policy(), 0.0)
    workers.apply_registrations(current, [found], 1.0)


@hypothesis.given(data=_make_malformed("configuration"))
def test_configuration(data):
    """Guards against a configuration row that raises another error than the daemon expects."""
    try:
        found = configuration.decode_configuration(data)
    except exceptions.ProtocolError:
        return
    found.find_route("h", "/p/x")
    assert all(0.0 < account.weight < math.inf for account in found.accounts.values())


@hypothesis.given(data=_make_malformed("job"))
def test_job(data):
    """Guards against a job that is accepted and then breaks the scheduler or its store."""
    try:
        job = submissions.decode_job(data, _JOB_ID, "r", "t", 100.0)
    except exceptions.ProtocolError:
        return
    for step in job.steps:
        assert model.Resources().fits(step.need)
    route = model.Route("r", "h", "/p/", "s", 1, 3, 3.0, 1.0)
    record = progress.encode_accepted(progress.AcceptedJob(job, route), 49_152)
    assert progress.decode_accepted(_JOB_ID, record).job == job


@hypothesis.example(data=b'{"running":[[5,2,"",41]]}', status=200)
@hypothesis.example(
    data=b'{"running":[["a.0.0.0",2,"",1e300]],"ended":[[1,null,1,"done"]]}', status=200
)
@hypothesis.given(data=_make_malformed("report"), status=st.sampled_from([200, 409, 421, 500]))
def test_report(data, status):
    """Guards against a worker's answer that ends the polling of the worker."""
    answer = result.Success(http.Response(status, (), data))
    outcome = worker_calls._decode_report(answer, "w", 1.0, 2.0)
    if not isinstance(outcome, result.Success):
        assert isinstance(outcome.failure(), exceptions.LycheegateError)
        return
    current = state.SchedulerState(1, state.Policy(), 0.0)
    registration = worker_calls.decode_registration(
        "w", json.dumps(_MESSAGES["registration"]).encode()
    )
    workers.apply_registrations(current, [registration], 1.0)
    workers.apply_report(current, outcome.unwrap())


@hypothesis.given(data=_make_malformed("rows"), status=st.sampled_from([200, 412]))
def test_store_answer(data, status):
    """Guards against an answer of the store that ends the feed which asked for it."""
    outcome = store._decode(result.Success(http.Response(status, (), data)), store._make_page)
    if isinstance(outcome, result.Success):
        assert all(isinstance(row.value, bytes) for row in outcome.unwrap().rows)
    else:
        assert isinstance(outcome.failure(), exceptions.LycheegateError)


_ITEMS = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-5, 2**65), st.text(max_size=5), st.binary()),
    lambda items: st.one_of(
        st.lists(items, max_size=5), st.dictionaries(st.text(max_size=3), items, max_size=3)
    ),
    max_leaves=12,
)


@hypothesis.given(item=_ITEMS, cut=st.integers(0, 3))
def test_rows_of_peers(item, cut):
    """Guards against a row of another build that ends the daemon which reads it."""
    data = cbor2.dumps(item)
    data = data[: len(data) - cut]
    job = state.JobState(
        model.Job(_JOB_ID, "r", "t", "x", (model.Step(1, model.Resources(), 1.0),), 1.0),
        model.Route("r", "h", "/p/", "s", 1, 3, 3.0, 1.0),
    )
    for decode in (
        tables.decode_holder,
        tables.decode_heartbeat,
        progress.decode_status,
        lambda row: progress.decode_accepted(_JOB_ID, row),
        lambda row: progress.decode_progress(job, row, 1.0),
    ):
        try:
            decode(data)
        except exceptions.ProtocolError:
            continue
    relay._decode_response(result.Success(http.Response(200, (), data)))
    for decode in (peer_calls.decode_status, peer_calls.decode_holds_term):
        try:
            decode(data)
        except ValueError:
            continue


class _UnreachableStore:
    """Store whose calls all fail."""

    def read(self, *arguments):
        arguments[-1](result.Failure(exceptions.UnavailableError("none")))

    follow = transact = read


@hypothesis.given(
    kind=st.sampled_from(["notify", "holds_term", "job_status", "read", "follow", "transact", 7]),
    arguments=st.lists(_ITEMS, max_size=7),
)
def test_peer_call(kind, arguments):
    """Guards against a call of a peer that gets no answer."""
    rows: list[storage.Row] = []
    application = peer_calls.PeerApplication(
        _UnreachableStore(),
        relay.Reachability(),
        lambda outcome: None,
        rows.append,
        peer_calls.TermQueries(lambda epoch: False, {}.get),
    )
    assert application._answer(cbor2.dumps([kind, *arguments])).status_code in (200, 204, 400, 404)


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x9f" * 5000, cbor2.dumps(3), cbor2.dumps([])])
def test_peer_call_of_other_bytes(data):
    """Guards against bytes on the port of peers that end the thread which reads them."""
    application = peer_calls.PeerApplication(
        _UnreachableStore(),
        relay.Reachability(),
        lambda outcome: None,
        lambda row: None,
        peer_calls.TermQueries(lambda epoch: False, {}.get),
    )
    assert application._answer(data).status_code == 400


@hypothesis.given(text=st.text(max_size=200))
def test_settings(text):
    """Guards against a settings file that ends the process without findings."""
    with pytest.raises(settings.SettingsError, match="node-name"):
        settings.parse_settings(text)
