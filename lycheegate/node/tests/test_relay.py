"""Store calls relayed through peers."""

import base64
import contextlib
import dataclasses
import json
import queue
import time
import zlib
from concurrent import futures

import cbor2
import pycurl
import pytest
from returns import result
from werkzeug import test as werkzeug_test

from lycheegate.clients import http
from lycheegate.clients.tests import slow_server
from lycheegate.entry import server
from lycheegate.node import compression, peer_calls, reads, relay, storage
from lycheegate.platform import store as platform_store
from lycheegate.settings import models
from lycheegate.utils import exceptions

_KEY = storage.RowKey("t", "p", "k")
_ROW = storage.Row(_KEY, b"\x00v", 4)
_REFUSED = result.Failure(exceptions.UnavailableError("429"))
_LOST = result.Failure(exceptions.OutcomeUnknownError("no answer"))
_PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
_FEED_TIMEOUT_S = 2.0 * relay.RELAY_GRACE_S + relay.TRANSFER_S
"""Time after which a peer that is silent is abandoned, for a feed request that does not wait."""
_MARGIN_S = 0.9
"""Time that a test process may be late on a busy machine."""


@pytest.mark.parametrize(
    "outcome",
    [
        result.Success(17),
        result.Success(storage.Page((_ROW,), True, 9, 1000)),
        result.Success(storage.Changes((dataclasses.replace(_ROW, deleted=True),), 9, 1000)),
        result.Failure(storage.ConflictError((_ROW,))),
    ],
)
def test_outcome_round_trip(outcome):
    """Guards against an outcome that changes when a peer relays it."""
    decoded = relay.decode_outcome(relay.encode_outcome(outcome))
    if isinstance(outcome, result.Success):
        assert decoded.unwrap() == outcome.unwrap()
    else:
        assert decoded.failure() == outcome.failure()


@pytest.mark.parametrize("failure", [_REFUSED, _LOST])
def test_failure_kind_is_kept(failure):
    """Guards against a lost answer that a peer relays as a refusal: the call may have run."""
    decoded = relay.decode_outcome(relay.encode_outcome(failure))
    assert type(decoded.failure()) is type(failure.failure())


class _Direct:
    """Direct store client that returns the given outcomes in order."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = 0

    def _answer(self, callback):
        self.calls += 1
        callback(self.outcomes.pop(0))

    def read(self, table, part, first, end, timeout_s, callback):
        self._answer(callback)

    def transact(self, transaction, timeout_s, callback):
        self._answer(callback)


class _Client:
    """HTTP client that returns the given answers in order and keeps delayed functions."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []
        self.later = []
        self.receiving_origins = set()

    def is_receiving(self, origin):
        return origin in self.receiving_origins

    def send(self, request):
        self.sent.append(request)
        future = futures.Future()
        future.set_result(self.answers.pop(0))
        return future

    def call_later(self, delay_s, function):
        self.later.append(function)


def _respond(outcome):
    return result.Success(http.Response(200, (), relay.encode_outcome(outcome)))


def _make_store(
    direct, client, peers=("10.0.0.2:7000", "10.0.0.3:7000"), is_receiving=lambda: False
):
    return relay.FallbackStore(
        direct, client, lambda: list(peers), lambda: 0.0, lambda is_unreachable: None, is_receiving
    )


def test_refusal_is_relayed():
    """Guards against a call that fails although a peer reaches the store."""
    client = _Client(_respond(result.Success(5)))
    outcomes = []
    store = _make_store(_Direct(_REFUSED), client)
    store.transact(storage.Transaction(), 1.0, outcomes.append)
    assert outcomes[0].unwrap() == 5
    assert cbor2.loads(client.sent[0].body)[0] == "transact"


def test_lost_answer_is_not_relayed():
    """Guards against a retry whose outcome hides that the first call may have taken effect."""
    client = _Client()
    outcomes = []
    store = _make_store(_Direct(_LOST), client)
    store.transact(storage.Transaction(), 1.0, outcomes.append)
    assert isinstance(outcomes[0].failure(), exceptions.OutcomeUnknownError)
    assert client.sent == []


def test_unreachable_store_is_called_through_peers_at_once():
    """Guards against waiting for an unreachable store in each call, and relying on one peer."""
    client = _Client(_REFUSED, _respond(result.Success(6)))
    outcomes = []
    direct = _Direct(_LOST)
    store = _make_store(direct, client)
    store.read("t", "p", "", "", 1.0, outcomes.append)
    store.read("t", "p", "", "", 1.0, outcomes.append)
    assert outcomes[1].unwrap() == 6
    assert direct.calls == 1


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (503, exceptions.UnavailableError),
        (500, exceptions.OutcomeUnknownError),
        (400, exceptions.OutcomeUnknownError),
    ],
)
def test_error_of_peer_after_the_call(status, error):
    """Guards against a caller told that its job was not accepted although a peer stored it.

    The peer fails after it has called the store; only 503 says that it has not called.
    """
    client = _Client(*[result.Success(http.Response(status, (), b"failed"))] * 2)
    outcomes = []
    store = _make_store(_Direct(_REFUSED), client)
    store.transact(storage.Transaction(), 1.0, outcomes.append)
    for function in client.later[1:]:
        function()
    assert type(outcomes[0].failure()) is error


class _SilentClient(_Client):
    """HTTP client whose requests stay without an answer until the test gives one."""

    def __init__(self):
        super().__init__()
        self.futures = []

    def send(self, request):
        self.sent.append(request)
        self.futures.append(futures.Future())
        return self.futures[-1]

    def run_later(self):
        """Runs the functions that are due."""
        later, self.later = self.later, []
        for function in later:
            function()


class _SilentStore(_Direct):
    """Direct store client without answers to transactions; reads have the outcomes given."""

    def transact(self, transaction, timeout_s, callback):
        self.calls += 1
        self.late = callback


def test_vm_cut_off_from_the_store_repeats_its_calls_through_peers():
    """Guards against a scheduler that waits two seconds for a write while its VM is cut off.

    The cut gives no error. A write without an answer makes the VM test the connection; when the
    test fails, the write ends as unknown at once, and its repetition goes through a peer.
    """
    client, outcomes = _SilentClient(), []
    direct = _SilentStore(_LOST)
    store = _make_store(direct, client)
    store.transact(storage.Transaction(), 2.0, outcomes.append)
    client.run_later()
    assert isinstance(outcomes[0].failure(), exceptions.OutcomeUnknownError)
    store.transact(storage.Transaction(), 2.0, outcomes.append)
    client.futures[0].set_result(_respond(result.Success(8)))
    assert outcomes[1].unwrap() == 8
    # The answer to the abandoned call arrives after all.
    direct.late(result.Success(7))
    assert len(outcomes) == 2


def test_slow_store_is_not_abandoned():
    """Guards against writes that are repeated because the store is slow for all VMs."""
    client, outcomes = _SilentClient(), []
    direct = _SilentStore(result.Success(storage.Page((), False, 1)))
    store = _make_store(direct, client)
    store.transact(storage.Transaction(), 2.0, outcomes.append)
    client.run_later()
    assert outcomes == []
    direct.late(result.Success(7))
    assert [outcome.unwrap() for outcome in outcomes] == [7]


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (None, _respond(result.Success(5)), 5),
        (_respond(result.Success(4)), None, 4),
        (_LOST, _respond(result.Success(5)), 5),
        (_respond(result.Success(4)), _respond(result.Success(5)), 4),
        (_LOST, _respond(_REFUSED), exceptions.OutcomeUnknownError),
        (_respond(_REFUSED), _LOST, exceptions.OutcomeUnknownError),
    ],
    ids=["silent_first", "silent_second", "lost", "both", "lost_then_refused", "refused_then_lost"],
)
def test_silent_peer_is_hedged(first, second, expected):
    """Guards against a wait for a peer that is cut off itself, and a refusal that hides a call."""
    client, outcomes = _SilentClient(), []
    store = _make_store(_Direct(), client)
    store.reachability.is_unreachable = True
    store.transact(storage.Transaction(), 1.0, outcomes.append)
    client.run_later()
    assert len(client.sent) == 2
    for future, answer in zip(client.futures, (first, second), strict=True):
        if answer is not None:
            future.set_result(answer)
    client.run_later()
    (outcome,) = outcomes
    if isinstance(expected, int):
        assert outcome.unwrap() == expected
    else:
        assert type(outcome.failure()) is expected


def test_store_whose_answers_arrive_is_reachable():
    """Guards against calls through peers while a large answer fills the link to the store.

    Small answers time out behind it. Calls through peers come over the same link, and made the VM
    receive the large answer again.
    """
    client, outcomes = _SilentClient(), []
    direct = _SilentStore(_LOST, result.Success(storage.Page((), False, 1)))
    store = _make_store(direct, client, is_receiving=lambda: True)
    store.transact(storage.Transaction(), 2.0, outcomes.append)
    client.run_later()
    assert outcomes == []
    store.read("t", "p", "", "", 1.0, outcomes.append)
    assert direct.calls == 3
    assert client.sent == []


def test_unreachable_store_is_probed_while_an_answer_arrives():
    """Guards against a VM that relays all its calls for good although it reaches the store.

    The VM counts as cut off and has abandoned its direct calls. The answer to one of them arrives
    after all, and the probe behind it is lost. Only another probe can find the store reachable.
    """
    client, is_receiving = _SilentClient(), False
    direct = _SilentStore(_LOST, _LOST, result.Success(storage.Page((), False, 1)))
    store = _make_store(direct, client, is_receiving=lambda: is_receiving)
    store.transact(storage.Transaction(), 2.0, lambda outcome: None)
    client.run_later()
    assert store.reachability.is_unreachable
    is_receiving = True
    client.run_later()
    assert store.reachability.is_unreachable
    client.run_later()
    assert not store.reachability.is_unreachable


def test_call_without_peers_is_refused():
    """Guards against a call that is never answered when no VM reaches the store."""
    client = _Client()
    outcomes = []
    store = _make_store(_Direct(_REFUSED), client, peers=())
    store.read("t", "p", "", "", 1.0, outcomes.append)
    # The first scheduled function is the probe of the direct connection.
    for function in client.later[1:]:
        function()
    assert isinstance(outcomes[0].failure(), exceptions.UnavailableError)


def test_peer_without_store_refuses():
    """Guards against calls that circulate among VMs that cannot reach the store."""
    reachability = relay.Reachability(is_unreachable=True)
    application = peer_calls.PeerApplication(
        _Direct(),
        reachability,
        lambda outcome: None,
        lambda row: None,
        peer_calls.TermQueries(lambda epoch: False, lambda job_id: None),
    )
    assert application._answer(cbor2.dumps(["read", "t", "p", "", "", 1.0])).status_code == 503


@pytest.mark.parametrize(
    ("is_receiving", "is_unreachable", "probes"), [(True, False, 0), (False, True, 1)]
)
def test_lost_answer_to_a_call_of_a_peer(is_receiving, is_unreachable, probes):
    """Guards against a VM that counts as cut off because of a call that it made for a peer.

    The call was lost behind a large answer, which does not count for the VM's own calls. And if it
    counts, the connection has to be probed, or the VM may relay all of its own calls for good.
    """
    client = _SilentClient()
    direct = _Direct(_LOST)
    store = _make_store(direct, client, is_receiving=lambda: is_receiving)
    application = peer_calls.PeerApplication(
        direct,
        store.reachability,
        store.record_peer_outcome,
        lambda row: None,
        peer_calls.TermQueries(lambda epoch: False, lambda job_id: None),
    )
    response = application._answer(cbor2.dumps(["read", "t", "p", "", "", 1.0]))
    assert response.status_code == 200
    client.run_later()
    assert store.reachability.is_unreachable == is_unreachable
    assert len(client.later) == probes


def _follow_through(address):
    """Returns the outcome of a feed request through a peer, from a VM cut off from the store."""
    outcome, _elapsed_s = _measure_follow_through(address)
    return outcome


def _measure_follow_through(address):
    """Returns the outcome of a feed request through a peer, and the time that it took."""
    client = http.HttpClient()
    began_s = time.monotonic()
    outcomes = queue.Queue()
    try:
        store = _make_store(_Direct(), client, peers=(address,))
        store.reachability.is_unreachable = True
        store.follow("op", 3, 0.0, outcomes.put)
        return outcomes.get(timeout=20.0), time.monotonic() - began_s
    finally:
        client.close()


def test_relayed_answer_that_keeps_arriving_is_not_abandoned():
    """Guards against a large configuration that never reaches a VM cut off from the store."""
    row = storage.Row(storage.RowKey("op", "", "config"), b"configuration" * 100, 4)
    outcome = result.Success(storage.Changes((row,), 4, 17))
    slow = slow_server.SlowServer(relay.encode_outcome(outcome))
    try:
        assert _follow_through(slow.address) == outcome
    finally:
        slow.stop()


def _remove_interim_responses(application):
    """Returns the application as it is in earlier releases, which send none."""

    def serve(environ, start_response):
        del environ[server.SEND_PROCESSING]
        return application(environ, start_response)

    return serve


@contextlib.contextmanager
def _serve_peer(direct, sends_interim_responses=True):
    """Serves the calls of peers with a store client; yields the address."""
    application = peer_calls.PeerApplication(
        direct,
        relay.Reachability(),
        lambda outcome: None,
        lambda row: None,
        peer_calls.TermQueries(lambda epoch: False, lambda job_id: None),
    )
    if not sends_interim_responses:
        application = _remove_interim_responses(application)
    peer = server.CallersServer("127.0.0.1", 0, application, models.LimitSettings(caller_threads=2))
    port = peer.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        peer.stop()


@pytest.mark.parametrize(
    ("kind", "part_pause_s"), [("read", 0.4), ("follow", 0.4), ("follow", 0.7)]
)
def test_answer_that_takes_long_to_reach_the_peer_is_not_abandoned(kind, part_pause_s):
    """Guards against a VM that is cut off and never receives the configuration.

    The peer itself receives the table over a slow link, before it begins to answer. Each attempt
    begins with the first byte, so that a limit of the whole transfer ends all of them.
    """
    row = {"table": "op", "key": "config", "value": base64.b64encode(bytes(999)).decode(), "ver": 4}
    body = json.dumps({"rows": [row], "ver": 4}).encode()
    slow = slow_server.SlowServer(body, part_pause_s=part_pause_s)
    client, peer_client = http.HttpClient(), http.HttpClient()
    outcomes = queue.Queue()
    try:
        with _serve_peer(platform_store.PlatformStore(peer_client, slow.address)) as address:
            store = _make_store(_Direct(), client, peers=(address,))
            store.reachability.is_unreachable = True
            if kind == "read":
                store.read("op", "", "", "", reads.READ_TIMEOUT_S, outcomes.put)
            else:
                store.follow("op", 3, 0.0, outcomes.put)
            outcome = outcomes.get(timeout=20.0)
    finally:
        client.close()
        peer_client.close()
        slow.stop()
    assert [row.version for row in outcome.unwrap().rows] == [4]


@pytest.mark.parametrize("is_receiving", [True, False])
def test_progress_is_reported_while_an_answer_arrives(monkeypatch, is_receiving):
    """Guards against a VM that waits for a peer whose store is silent.

    A peer does not wait without bound either for a caller that has gone, here from the third
    report on.
    """
    monkeypatch.setattr(peer_calls, "MAX_STORE_WAIT_S", 0.2)
    direct = _SilentStore()
    direct.is_receiving = lambda: is_receiving
    application = peer_calls.PeerApplication(
        direct,
        relay.Reachability(),
        lambda outcome: None,
        lambda row: None,
        peer_calls.TermQueries(lambda epoch: False, lambda job_id: None),
    )
    sent = []

    def send_processing():
        sent.append(True)
        return len(sent) < 3

    body = cbor2.dumps(["transact", [], [], [], 1.0])
    response = application._answer(body, send_processing)
    outcome = relay.decode_outcome(response.get_data())
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError
    assert len(sent) >= 3 if is_receiving else not sent


def _make_store_answer(value):
    row = {"table": "op", "key": "config", "value": base64.b64encode(value).decode(), "ver": 4}
    return json.dumps({"rows": [row], "ver": 4}).encode()


@pytest.mark.parametrize(("part_pause_s", "is_received"), [(0.4, True), (0.7, False)])
def test_peer_of_an_earlier_release(part_pause_s, is_received):
    """Guards against a VM that needs reports of progress from peers that do not send them.

    VMs are replaced one after another. Such a peer is silent until it has the whole answer, and is
    waited for as long as before.
    """
    slow = slow_server.SlowServer(_make_store_answer(bytes(999)), part_pause_s=part_pause_s)
    peer_client = http.HttpClient()
    store = platform_store.PlatformStore(peer_client, slow.address)
    try:
        with _serve_peer(store, sends_interim_responses=False) as address:
            outcome, elapsed_s = _measure_follow_through(address)
    finally:
        peer_client.close()
        slow.stop()
    if is_received:
        assert [row.version for row in outcome.unwrap().rows] == [4]
    else:
        assert type(outcome.failure()) is exceptions.OutcomeUnknownError
        assert elapsed_s < _FEED_TIMEOUT_S + _MARGIN_S


def _call_as_earlier_release(address):
    """Returns the response to a feed request as VMs without reports of progress receive it."""
    header_lines, body = [], []
    handle = pycurl.Curl()
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.URL, f"http://{address}{relay.PATH}")
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.POSTFIELDS, cbor2.dumps(["follow", "op", 3, 0.0]))
    handle.setopt(pycurl.HTTPHEADER, ["Expect:", compression.ACCEPT_HEADER])
    handle.setopt(pycurl.TIMEOUT_MS, 20_000)
    handle.setopt(pycurl.HEADERFUNCTION, header_lines.append)
    handle.setopt(pycurl.WRITEFUNCTION, body.append)
    handle.perform()
    status = handle.getinfo(pycurl.RESPONSE_CODE)
    handle.close()
    return http.Response(status, tuple(header_lines), b"".join(body))


def test_caller_of_an_earlier_release():
    """Guards against reports of progress that a VM of an earlier release takes for the answer."""
    slow = slow_server.SlowServer(_make_store_answer(bytes(9999)))
    peer_client = http.HttpClient()
    try:
        with _serve_peer(platform_store.PlatformStore(peer_client, slow.address)) as address:
            response = _call_as_earlier_release(address)
    finally:
        peer_client.close()
        slow.stop()
    assert response.header_lines[0] == b"HTTP/1.1 102 Processing\r\n"
    assert response.status == 200
    changes = relay.decode_outcome(compression.decompress_body(response)).unwrap()
    assert [(row.version, row.value) for row in changes.rows] == [(4, bytes(9999))]


@pytest.mark.parametrize("count", [0, 1, 14])
def test_peer_that_pauses_is_abandoned(count):
    """Guards against a feed that waits without bound for a peer that is silent or suspended.

    A peer that has reported progress is abandoned 1 s after its last report, one that has not as
    soon as before.
    """
    peer = slow_server.InterimServer(_PROCESSING, count, b"", is_closed=False)
    try:
        outcome, elapsed_s = _measure_follow_through(peer.address)
    finally:
        peer.stop()
    last_s = max(0, count - 1) * slow_server.PART_PAUSE_S
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError
    assert elapsed_s >= max(_FEED_TIMEOUT_S, last_s + relay.IDLE_TIMEOUT_S)
    assert elapsed_s < max(_FEED_TIMEOUT_S, last_s + relay.IDLE_TIMEOUT_S) + _MARGIN_S


def test_peer_that_never_ends_its_reports_is_abandoned(monkeypatch):
    """Guards against a feed that stands still because a peer reports progress without end."""
    limit_s = _FEED_TIMEOUT_S + 1.0
    monkeypatch.setattr(http, "_MAX_TRANSFER_S", limit_s)
    peer = slow_server.InterimServer(_PROCESSING, 1000, b"")
    try:
        outcome, elapsed_s = _measure_follow_through(peer.address)
    finally:
        peer.stop()
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError
    assert limit_s <= elapsed_s < limit_s + _MARGIN_S


_WHOLE = relay.encode_outcome(result.Success(storage.Changes((_ROW,), 4, 17)))
_HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(_WHOLE)}\r\n\r\n".encode()


@pytest.mark.parametrize("end", [b"", _HEAD[:-9], _HEAD, _HEAD + _WHOLE[:-1]])
def test_answer_that_is_cut_after_reports_of_progress(end):
    """Guards against a configuration of which a part is taken for the whole."""
    peer = slow_server.InterimServer(_PROCESSING, 3, end)
    try:
        outcome = _follow_through(peer.address)
    finally:
        peer.stop()
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError


@pytest.mark.parametrize("status", [503, 500])
def test_error_after_reports_of_progress(status):
    """Guards against an error that counts as an answer, or a refusal as an unknown outcome."""
    end = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
    peer = slow_server.InterimServer(_PROCESSING, 3, end)
    try:
        outcome = _follow_through(peer.address)
    finally:
        peer.stop()
    is_refusal = isinstance(outcome.failure(), exceptions.UnavailableError)
    assert is_refusal == (status == 503)


def test_relayed_answer_that_stops_arriving_is_abandoned():
    """Guards against a feed that waits forever for a peer that went silent midway."""
    slow = slow_server.SlowServer(bytes(1000), parts_sent=3)
    try:
        outcome = _follow_through(slow.address)
    finally:
        slow.stop()
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError


def test_silent_peer_of_a_feed_is_hedged():
    """Guards against a feed that stands still while it waits for a peer that is cut off itself."""
    client, outcomes = _SilentClient(), []
    store = _make_store(_Direct(), client)
    store.reachability.is_unreachable = True
    store.follow("op", 3, 1.0, outcomes.append)
    client.run_later()
    assert len(client.sent) == 2
    changes = storage.Changes((), 4, 17)
    client.futures[1].set_result(_respond(result.Success(changes)))
    assert [outcome.unwrap() for outcome in outcomes] == [changes]


@pytest.mark.parametrize("is_answering", [False, True])
def test_feed_leaves_silent_peers_once_the_store_is_reachable(is_answering):
    """Guards against refusals for want of a configuration after a VM reaches the store again.

    The feed still waits for peers whose connections are silent, for up to 8 s. An answer that is
    arriving is not given up, because it would have to be transferred again.
    """
    client, outcomes = _SilentClient(), []
    client.receiving_origins = {"10.0.0.2:7000", "10.0.0.3:7000"} if is_answering else set()
    store = _make_store(_Direct(_LOST, result.Success(storage.Page((), False, 1))), client)
    store.read("t", "p", "k", "k\0", 1.0, lambda outcome: None)
    store.follow("op", 3, 1.0, outcomes.append)
    assert len(client.sent) == 1
    client.run_later()
    assert not store.reachability.is_unreachable
    assert len(outcomes) == (not is_answering)
    client.futures[0].set_result(_respond(result.Success(storage.Changes((), 4, 17))))
    assert len(outcomes) == 1


def _relay_feed(answer, accepted):
    """Returns the response of a peer to a feed request."""
    direct = _Direct(answer)
    direct.follow = lambda table, after, wait_s, callback: direct._answer(callback)
    application = peer_calls.PeerApplication(
        direct,
        relay.Reachability(),
        lambda outcome: None,
        lambda row: None,
        peer_calls.TermQueries(lambda epoch: False, lambda job_id: None),
    )
    body = cbor2.dumps(["follow", "op", 3, 0.0])
    headers = {"Accept-Encoding": accepted} if accepted else {}
    client = werkzeug_test.Client(application)
    return client.post(relay.PATH, data=body, headers=headers)


@pytest.mark.parametrize("accepted", ["", "deflate"])
@pytest.mark.parametrize("size", [10, 100_000])
def test_large_answers_of_peers_are_compressed_if_accepted(size, accepted):
    """Guards against a VM on a slow link that receives a configuration too late from a peer.

    A peer of an earlier release neither accepts nor sends compressed answers.
    """
    row = storage.Row(storage.RowKey("op", "", "config"), b"a" * size, 4)
    outcome = result.Success(storage.Changes((row,), 4, 17))
    response = _relay_feed(outcome, accepted)
    is_compressed = response.headers.get("Content-Encoding") == "deflate"
    assert is_compressed == bool(accepted and size > 10)
    if is_compressed:
        assert len(response.data) < size / 10
    header_lines = tuple(f"{name}: {value}".encode() for name, value in response.headers.items())
    client = _Client(result.Success(http.Response(200, header_lines, response.data)))
    outcomes = []
    store = _make_store(_Direct(_REFUSED), client)
    store.transact(storage.Transaction(), 1.0, outcomes.append)
    assert outcomes == [outcome]


@pytest.mark.parametrize("body", [b"", b"x", zlib.compress(b"a" * 1000)[:-5]])
def test_malformed_compressed_answer_of_a_peer(body):
    """Guards against a feed that ends because a peer's answer cannot be decompressed."""
    answer = http.Response(200, (b"Content-Encoding: deflate",), body)
    outcomes = []
    store = _make_store(_Direct(_REFUSED), _Client(result.Success(answer)))
    store.transact(storage.Transaction(), 1.0, outcomes.append)
    assert type(outcomes[0].failure()) is exceptions.OutcomeUnknownError
