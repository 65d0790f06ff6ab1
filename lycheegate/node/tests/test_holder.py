"""Probes and queries that VMs send to the holder of the term."""

import dataclasses
from concurrent import futures

import cbor2
import pytest
import werkzeug.test
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import model, progress
from lycheegate.metrics import jsonlog
from lycheegate.node import holder, peer_calls, relay, storage, tables, terms
from lycheegate.utils import exceptions

_JOB_ID = "5c0e7a21d94b36f8"
_REFUSED = result.Failure(exceptions.UnavailableError("connection refused"))
_TIMED_OUT = result.Failure(exceptions.OutcomeUnknownError("timed out"))
_DONE = progress.JobStatus(model.Outcome.SUCCEEDED, True)


def _reply(value=None, status=200):
    return result.Success(http.Response(status, (), cbor2.dumps(value)))


@dataclasses.dataclass
class _Client:
    """HTTP client that returns the next of a list of outcomes to each call."""

    outcomes: list = dataclasses.field(default_factory=list)
    calls: list = dataclasses.field(default_factory=list)

    def send(self, request):
        self.calls.append((request.url, cbor2.loads(request.body)))
        future = futures.Future()
        future.set_result(self.outcomes.pop(0))
        return future


def _make_holder_client(*outcomes, own_vm="b", holds=False, silence_s=1.0):
    """Returns an HTTP client, a view of a term that VM a holds, and the holder client over both."""
    view = terms.TermView()
    rows = (
        storage.Row(tables.HOLDER, tables.encode_holder(tables.Holder(3, "a/1")), 7),
        storage.Row(
            tables.HEARTBEAT, tables.encode_heartbeat(tables.Heartbeat(3, False, {}, 50_000)), 8
        ),
    )
    terms.apply_rows(view, rows, 10.0, 50_000)
    client = _Client(list(outcomes))
    holder_client = holder.HolderClient(
        client,
        own_vm,
        view,
        {"a": "10.0.0.1:7000"}.get,
        lambda epoch: holds,
        lambda: 10.0 + silence_s,
        jsonlog.JsonLog("b", lambda: 0.0, len),
    )
    return client, view, holder_client


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (_reply(True), terms.ProbeResult.ALIVE),
        (_reply(False), terms.ProbeResult.GONE),
        (_REFUSED, terms.ProbeResult.UNREACHABLE),
        (_TIMED_OUT, terms.ProbeResult.UNREACHABLE),
        (_reply("?"), terms.ProbeResult.UNREACHABLE),
        (_reply(False, status=503), terms.ProbeResult.UNREACHABLE),
    ],
)
def test_probe(outcome, expected):
    """Guards against a probe result that the answer does not support, and repeated probes."""
    client, view, holder_client = _make_holder_client(outcome)
    holder_client.probe()
    holder_client.probe()
    assert client.calls == [(f"http://10.0.0.1:7000{relay.PATH}", ["holds_term", 3])]
    assert (view.probe_result, view.probe_epoch) == (expected, 3)


def test_holder_with_recent_heartbeat_is_not_probed():
    """Guards against probes of a healthy holder, whose number would grow with that of the VMs."""
    client, view, holder_client = _make_holder_client(silence_s=0.5)
    holder_client.probe()
    assert client.calls == []
    assert view.probe_result is terms.ProbeResult.UNKNOWN


@pytest.mark.parametrize("holds", [False, True])
def test_probe_of_own_vm(holds):
    """Guards against a VM that waits for a holder which was an earlier process on the same VM.

    A term that the running process holds or is claiming must not count as gone.
    """
    client, view, holder_client = _make_holder_client(own_vm="a", holds=holds)
    holder_client.probe()
    assert client.calls == []
    assert (view.probe_result is terms.ProbeResult.GONE) is not holds


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (_reply(["succeeded", True]), _DONE),
        (_reply(["", False]), progress.JobStatus(None, False)),
        (_reply(None, status=404), None),
        (_reply(["strange", True]), None),
        (_reply(7), None),
        (_REFUSED, None),
    ],
)
def test_query_status(outcome, expected):
    """Guards against a status that the holder did not report."""
    _, _, holder_client = _make_holder_client(outcome)
    assert holder_client.query_status(_JOB_ID, 0.5) == expected


def _call(application, call):
    client = werkzeug.test.Client(application)
    response = client.post(relay.PATH, data=cbor2.dumps(call))
    return response.status_code, response.data


@pytest.mark.parametrize(
    ("call", "status", "body"),
    [
        (["holds_term", 3], 200, cbor2.dumps(True)),
        (["holds_term", 2], 200, cbor2.dumps(False)),
        (["job_status", _JOB_ID], 200, cbor2.dumps(["succeeded", True])),
        (["job_status", "0" * 16], 404, b""),
        (["holds_term"], 400, None),
        (["strange", 1], 400, None),
    ],
)
def test_peer_calls(call, status, body):
    """Guards against wrong answers to queries, and against malformed calls that raise an error."""
    queries = peer_calls.TermQueries(lambda epoch: epoch == 3, {_JOB_ID: _DONE}.get)
    application = peer_calls.PeerApplication(None, relay.Reachability(), print, print, queries)
    response = _call(application, call)
    assert response[0] == status
    assert body is None or response[1] == body
