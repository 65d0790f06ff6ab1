"""Previews of placements: the path from a VM to the holder and back, and its refusals."""

import copy
import dataclasses
import json
from concurrent import futures

import cbor2
import pytest
import werkzeug.test
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import preview, step_preview
from lycheegate.metrics import jsonlog
from lycheegate.node import holder, node_view, peer_calls, previews, relay, tables, terms
from lycheegate.node.tests import simulation
from lycheegate.utils import exceptions

_BODY = b'{"spec":"x","steps":[{"count":2,"cpu":1000,"estimate-ms":1000}]}'
_WAITING_ID = "0" * 16
_FOREIGN_ID = "1" * 16
_TIMED_OUT = result.Failure(exceptions.OutcomeUnknownError("timed out"))


class _Site:
    """VM ``a`` with a scheduler, and VM ``b``, whose readiness address is asked.

    Args:
        asked_vm: VM whose readiness address is asked; ``a`` asks itself.
    """

    def __init__(self, asked_vm: str = "b"):
        self.world = simulation.World(1)
        jobs = ((_WAITING_ID, "acme"), (_FOREIGN_ID, "other"))
        for job_id, account in jobs:
            step = simulation.make_step(1, label="missing")
            self.world.submit(simulation.make_job(job_id, step, account=account))
        self.scheduler = self.world.claim_term("a")
        self.world.run(1.0)
        self.held = {self.scheduler.epoch}
        self.clock_s = 50.0
        self.pauses_s = []
        self.sent = []
        self.answers = []
        self.on_sent = lambda: None
        self.log = jsonlog.JsonLog("a", lambda: 0.0, lambda data: self.lines.append(data) or 1)
        self.lines = []
        self.call_later = lambda delay_s, function: function()
        self.holder_previews = previews.HolderPreviews(
            lambda delay_s, function: self.call_later(delay_s, function),
            lambda: self.scheduler,
            lambda epoch: epoch in self.held,
            lambda: self.clock_s,
            self.pauses_s.append,
            self.log,
        )
        self.term_view = terms.TermView(holder=tables.Holder(self.scheduler.epoch, "a/1"))
        self.view = node_view.NodeView(self.world.configuration, confirmed_at_s=50.0)
        client = holder.HolderClient(
            self, "b", self.term_view, {"a": "a:1"}.get, None, lambda: 50.0, self.log
        )
        self.application = previews.PreviewApplication(
            self.view,
            lambda: 50.0,
            lambda: 100.0,
            3.5,
            49_152,
            (lambda *query: client.query_preview(*query, 1.0))
            if asked_vm == "b"
            else self._ask_own_holder,
        )

    def _ask_own_holder(self, account, job_id, record):
        query = peer_calls.PreviewQuery(self.scheduler.epoch, account, job_id, record)
        return self.holder_previews.answer(query)

    def send(self, request):
        """Sends a call to the holder, as an HTTP client does."""
        self.sent.append(request)
        future = futures.Future()
        queries = peer_calls.TermQueries(None, None, self.holder_previews.answer)
        application = peer_calls.PeerApplication(None, relay.Reachability(), None, None, queries)
        if self.answers:
            outcome = self.answers.pop(0)
        else:
            reply = werkzeug.test.Client(application).post(relay.PATH, data=request.body)
            outcome = result.Success(http.Response(reply.status_code, (), reply.data))
        self.on_sent()
        future.set_result(outcome)
        return future

    def ask(self, body=_BODY, key="k", method="POST", **query):
        """Asks the readiness address; returns the status and the JSON object."""
        if method == "POST" and not query:
            query = {"queue": "batch"}
        response = werkzeug.test.Client(self.application).open(
            previews.PATH,
            method=method,
            data=body if method == "POST" else None,
            query_string=query,
            headers={"Authorization": f"Bearer {key}"} if key else {},
        )
        return response.status_code, json.loads(response.data)


@pytest.mark.parametrize("asked_vm", ["a", "b"])
@pytest.mark.parametrize(
    "query",
    [{"queue": "batch"}, {"host": "h", "path": "/b/"}, {"queue": "batch", "job": "a" * 16}],
)
def test_submission(asked_vm, query):
    """Guards against a preview that is lost on the way, or that stores or changes something."""
    site = _Site(asked_vm)
    before, rows = copy.deepcopy(site.scheduler._state), dict(site.world.store.rows)
    status, body = site.ask(**query)
    assert status == 200
    found = body["preview"]
    (step,) = found["steps"]
    assert (found["account"], found["queue"], found["job"]) == (
        "acme",
        "batch",
        query.get("job", "f" * 16),
    )
    assert len(step["placed"]) == step["tasks"] == 2
    assert sum(group["workers"] for group in step["groups"]) == 6
    assert site.scheduler._state == before
    assert site.world.store.rows == rows
    assert len(site.sent) == (asked_vm == "b")
    (line,) = site.lines
    assert json.loads(line)["event"] == "previewed"


def test_waiting_job():
    """Guards against a waiting job without its reason, and against jobs shown to other accounts."""
    site = _Site()
    status, body = site.ask(method="GET", job=_WAITING_ID)
    assert (status, body["preview"]["steps"][0]["reason"]) == (200, "no_usable_worker")
    assert body["preview"]["steps"][0]["groups"][0]["excluded"] == {"label": 3}
    site.clock_s += previews.MIN_INTERVAL_S
    status, body = site.ask(method="GET", job=_FOREIGN_ID)
    assert (status, body["error"]) == (404, "job_unknown")


def _lose_term(site):
    site.held.clear()


def _lose_term_meanwhile(site):
    site.call_later = lambda delay_s, function: (function(), site.held.clear())


def _change_known_holder(site):
    def change():
        site.term_view.holder = tables.Holder(9, "c/1")

    site.on_sent = change


def _forget_holder(site):
    site.term_view.holder = None


def _reply(status, body):
    return lambda site: site.answers.append(result.Success(http.Response(status, (), body)))


def _load_slowly(site):
    site.scheduler._loaded = False


def _ask_before(site):
    assert site.ask()[0] == 200
    site.clock_s += 0.5 * previews.MIN_INTERVAL_S


def _raise(site):
    def prepare_preview(*arguments):
        raise AttributeError("defect")

    site.scheduler.prepare_preview = prepare_preview


def _is_busy(site):
    site.holder_previews._lock.acquire()


def _is_asking(site):
    site.application._lock.acquire()


def _run_out_of_time(site):
    def add(number):
        step = simulation.make_step(label="missing")
        site.world.submit(simulation.make_job(f"a{number:015x}", step))

    add(0)
    site.world.run(1.0)
    # The second look at the clock is that of the first unit.
    times = iter([50.0, 50.0, 60.0])
    site.holder_previews._now_s = lambda: next(times, 60.0)


_REFUSALS = {
    "no holder": (_forget_holder, {}, 503, "no_holder"),
    "holder elsewhere": (_lose_term, {}, 409, "holder_changed"),
    "term ends meanwhile": (_lose_term_meanwhile, {}, 409, "holder_changed"),
    "holder changes meanwhile": (_change_known_holder, {}, 409, "holder_changed"),
    "holder silent": (lambda site: site.answers.append(_TIMED_OUT), {}, 504, "holder_silent"),
    "holder fails": (_reply(500, b""), {}, 504, "holder_silent"),
    "holder of an older build": (_reply(400, b"unknown peer call"), {}, 501, "unsupported"),
    "holder of a later build": (_reply(200, cbor2.dumps([2, 3])), {}, 501, "unsupported"),
    "later layout": (_reply(200, cbor2.dumps([2, "", "", {}])), {}, 501, "unsupported"),
    "not a list": (_reply(200, cbor2.dumps(7)), {}, 501, "unsupported"),
    "not loaded": (_load_slowly, {}, 503, "not_loaded"),
    "asked before": (_ask_before, {}, 429, "busy"),
    "holder is busy": (_is_busy, {}, 429, "busy"),
    "vm is busy": (_is_asking, {}, 429, "busy"),
    "defect": (_raise, {}, 500, "failed"),
    "too long": (_run_out_of_time, {}, 503, "too_long"),
    "unknown queue": (None, {"queue": "strange"}, 404, "queue_unknown"),
    "unknown path": (None, {"host": "h", "path": "/strange/"}, 404, "queue_unknown"),
    "no queue": (None, {"job": "a" * 16}, 404, "queue_unknown"),
    "malformed job": (None, {"body": b"{"}, 400, "job_invalid"),
    "job without steps": (None, {"body": b'{"spec":"x","steps":[]}'}, 400, "job_invalid"),
    "large body": (None, {"body": b"x" * 100_001}, 413, "job_too_large"),
    "wrong key": (None, {"key": "x"}, 401, "key_refused"),
    "no key": (None, {"key": ""}, 401, "key_refused"),
    "wrong key for a waiting job": (
        None,
        {"key": "x", "method": "GET", "job": _WAITING_ID},
        401,
        "key_refused",
    ),
    "no identifier": (None, {"method": "GET"}, 400, "bad_query"),
    "unknown job": (None, {"method": "GET", "job": "9" * 16}, 404, "job_unknown"),
    "known job": (None, {"queue": "batch", "job": _WAITING_ID}, 400, "job_exists"),
    "old configuration": (
        lambda site: setattr(site.view, "confirmed_at_s", 46.0),
        {},
        503,
        "configuration_not_confirmed",
    ),
    "no configuration": (
        lambda site: setattr(site.view, "configuration", None),
        {},
        503,
        "configuration_not_confirmed",
    ),
}


@pytest.mark.parametrize("case", _REFUSALS)
def test_refusal(case):
    """Guards against a question that hangs, or gets an answer that is wrong or has no reason."""
    prepare, query, status, error = _REFUSALS[case]
    site = _Site()
    if prepare is not None:
        prepare(site)
    answer = site.ask(**query)
    assert (answer[0], answer[1]["error"]) == (status, error)
    assert answer[1]["message"]


def test_job_that_exceeds_a_row():
    """Guards against a preview of a job that a submission right after it would refuse."""
    site = _Site()
    site.application._max_row_bytes = 100
    assert site.ask()[1]["error"] == "job_too_large"
    assert site.sent == []


def test_other_methods():
    """Guards against a method that is taken for a question."""
    response = werkzeug.test.Client(_Site().application).delete(previews.PATH)
    assert response.status_code == 405


def test_abandoned_copy(monkeypatch):
    """Guards against copies on an overloaded event thread for which nobody waits any more."""
    monkeypatch.setattr(previews, "COPY_TIMEOUT_S", 0.0)
    site = _Site()
    delayed = []
    site.call_later = lambda delay_s, function: delayed.append(function)
    assert site.ask()[1]["error"] == "not_loaded"
    site.scheduler.prepare_preview = pytest.fail
    (function,) = delayed
    function()


def test_examination_pauses():
    """Guards against a preview that keeps the interpreter from the event thread."""
    times = iter([0.0, 0.001, 0.002, 0.010, 0.010, 0.030, 0.031])
    pauses_s = []
    pace = previews._Pace(lambda: next(times), pauses_s.append)
    assert pace.may_continue()
    assert pauses_s == []
    assert pace.may_continue()
    assert pauses_s == [pytest.approx(0.02)]


def test_locks_are_released():
    """Guards against a VM or a holder that answers only one question."""
    site = _Site()
    for _ in range(2):
        assert site.ask()[0] == 200
        site.clock_s += previews.MIN_INTERVAL_S
    assert not site.holder_previews._lock.locked()
    assert not site.application._lock.locked()


def test_jobs_of_other_accounts_are_not_named():
    """Guards against a preview that tells the identifiers with which others' jobs are cancelled."""
    victims = tuple(
        step_preview.Victim(account * 16, account, "batch", "0.0", 1) for account in ("a", "b")
    )
    step = step_preview.StepPreview("0.0", 1, 0, victims=victims)
    found = preview.Preview("f" * 16, "a", "urgent", "render", 0, False, 1, 0.0, (step,))
    document = previews.make_document(found, "a")
    assert [victim["job"] for victim in document["steps"][0]["victims"]] == ["a" * 16, None]


@pytest.mark.parametrize(
    "call",
    [["where"], ["where", 1, "a", "b", "c"], ["where", "1", "a", "b", b""]],
)
def test_malformed_peer_call(call):
    """Guards against a malformed call of a peer that raises an error."""
    queries = peer_calls.TermQueries(None, None, pytest.fail)
    application = peer_calls.PeerApplication(None, relay.Reachability(), None, None, queries)
    response = werkzeug.test.Client(application).post(relay.PATH, data=cbor2.dumps(call))
    assert response.status_code == 400


def test_query_is_unchanged_by_its_encoding():
    """Guards against fields that are exchanged on the way."""
    query = peer_calls.PreviewQuery(3, "acme", _WAITING_ID, b"record")
    _, *arguments = cbor2.loads(cbor2.dumps(peer_calls.encode_preview_query(query)))
    assert peer_calls._decode_preview_query(arguments) == query
    assert dataclasses.astuple(query) == tuple(arguments)


def test_place_of_a_defect_is_logged():
    """Guards against a preview that fails for a defect, of which the log only has the text."""
    site = _Site()
    _raise(site)
    site.ask()
    (line,) = [line for line in map(json.loads, site.lines) if line["event"] == "previewed"]
    assert line["problem"] == "failed"
    assert line["error_type"] in line["error"]
    assert line["place"].startswith("lycheegate/node/")
