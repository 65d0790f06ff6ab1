"""Tests of the HTTP client."""

import heapq
import random
import threading
import time
import weakref

import pytest
from returns import result

from lycheegate.clients import guards, http, table_client
from lycheegate.utils import exceptions
from standins import objects as objects_standin
from standins import table as table_standin

_WAIT_S = 20.0
_UNAVAILABLE = exceptions.NotSentError
_UNKNOWN = exceptions.OutcomeUnknownError
_PROTOCOL = exceptions.ProtocolError


@pytest.fixture(name="standin")
def _standin():
    standin = objects_standin.ObjectsStandin(threads=120)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture(name="client")
def _client(standin):
    standin.objects["k"] = b"content"
    client = http.HttpClient(limits=http.HttpLimits(connections_per_origin=4))
    yield client
    client.close()


def _make_request(standin, method="GET", body=None, **fields):
    return http.Request(method, f"http://{standin.address}/v1/objects/k", body, **fields)


def _send(client, request):
    return client.send(request).result(_WAIT_S)


def test_exchange(standin, client):
    """Guards against a lost body, status or header, and connections that are not reused."""
    for _ in range(20):
        assert _send(client, _make_request(standin, "PUT", b"\0new")).unwrap().status == 204
        response = _send(client, _make_request(standin)).unwrap()
        assert (response.status, response.body) == (200, b"\0new")
        assert response.get_header("X-Request-Id") == "k"
    assert client.connections_made == 1
    assert client.requests_done == 40
    assert client.bytes_sent > 40 * 30
    assert client.bytes_received > 40 * 30


class _SlowWakeClient(http.HttpClient):
    """Client whose caller goes on only after the answer has arrived, as on a slow VM."""

    is_slow = True

    def _wake(self):
        super()._wake()
        if not self.is_slow:
            return
        deadline_s = time.monotonic() + _WAIT_S
        while self.requests_done < 1 and time.monotonic() < deadline_s:
            time.sleep(0.001)
        # The handle is idle, and its last answer released, once another timer has run.
        released = threading.Event()
        with self._lock:
            heapq.heappush(self._timers, (0.0, -1, http.Timer(released.set)))
        self._wake_sender.send(b"x")
        released.wait(_WAIT_S)


def test_answer_before_the_caller_runs_again(standin):
    """Guards against an error of ``send`` after the request was sent and answered.

    The caller of a job got 500 for it, although the job was stored and ran.
    """
    standin.objects["k"] = b"content"
    client = _SlowWakeClient()
    try:
        assert _send(client, _make_request(standin)).unwrap().body == b"content"
    finally:
        # The thread of the client closes its sockets once it has been woken to end.
        client.is_slow = False
        client.close()


@pytest.mark.parametrize("warm", [False, True])
@pytest.mark.parametrize("method", ["GET", "PUT", "POST", "DELETE"])
@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
def test_send_once(standin, client, fault, method, warm):
    """Guards against a retry by libcurl itself when a reused connection was closed."""
    if warm:
        _send(client, _make_request(standin))
    before = standin.request_count
    standin.faults.set(**{fault: 9})
    body = b"x" if method in ("PUT", "POST") else None
    outcome = _send(client, _make_request(standin, method, body))
    assert type(outcome.failure()) is _UNKNOWN
    assert standin.request_count == before + 1


@pytest.mark.parametrize(
    ("faults", "fields", "error"),
    [
        ({"down": True}, {}, _UNKNOWN),
        ({"stalled": True}, {"timeout_s": 0.2}, _UNKNOWN),
        ({"slow_s": 1.0}, {"timeout_s": 0.2}, _UNKNOWN),
        ({"cut_answers": 1}, {}, _UNKNOWN),
        ({}, {"max_body_bytes": 6}, _PROTOCOL),
        ({}, {"max_body_bytes": 7}, None),
        ({"refused": True}, {}, None),
    ],
)
def test_outcomes(standin, client, faults, fields, error):
    """Guards against a failure that is reported as another kind of failure."""
    standin.faults.set(**faults)
    outcome = _send(client, _make_request(standin, **fields))
    if error is None:
        assert isinstance(outcome, result.Success)
    else:
        assert type(outcome.failure()) is error


def test_not_sent(standin, client):
    """Guards against a request that was not sent but is reported as possibly in effect."""
    refused = http.Request("PUT", "http://127.0.0.1:1/", b"x")
    assert type(_send(client, refused).failure()) is _UNAVAILABLE
    standin.faults.set(stalled=True)
    # The requests that wait for a connection time out before any connection is freed for them.
    timeouts_s = 4 * [2.0] + 5 * [0.3]
    waiting = [
        client.send(_make_request(standin, "PUT", b"x", timeout_s=timeout_s))
        for timeout_s in timeouts_s
    ]
    kinds = [type(future.result(_WAIT_S).failure()) for future in waiting]
    # Each of the 4 connections serves one request; the other requests are never sent.
    assert kinds == 4 * [_UNKNOWN] + 5 * [_UNAVAILABLE]


@pytest.mark.parametrize(
    ("url", "headers"),
    [
        ("http://[::1", ()),
        ("http://10.0.0.1:\u00b2/", ()),
        ("http://w\u00f6rker:80/", ()),
        ("http://127.0.0.1:80/", ("X-Id: w\u00f6rker",)),
        ("http://127.0.0.1:99999/", ()),
        ("http://127.0.0.1:80 80/", ()),
    ],
)
def test_invalid_request_ends_no_thread(standin, client, url, headers):
    """Guards against an address from another system that ends the thread of all requests."""
    outcome = _send(client, http.Request("GET", url, None, headers))
    assert isinstance(outcome.failure(), _UNAVAILABLE)
    assert _send(client, _make_request(standin)).unwrap().status == 200


def test_many_waiting_requests(standin):
    """Guards against long polls that wait for each other, which would take 50 s in sequence."""
    client = http.HttpClient(limits=http.HttpLimits(connections_per_origin=100))
    standin.faults.set(slow_s=0.5)
    waiting = [client.send(_make_request(standin, timeout_s=10.0)) for _ in range(100)]
    assert all(isinstance(future.result(_WAIT_S), result.Success) for future in waiting)
    standin.faults.clear()
    client.close()


def test_stalled_store_blocks_nobody_else(standin, client):
    """Guards against a stalled store that blocks the connections or the thread of others."""
    table = table_standin.TableStandin()
    table.start()
    table.faults.set(stalled=True)
    url = f"http://{table.address}"
    stalled = table_client.HttpTable(client, url, random.Random(1))
    threads = [
        threading.Thread(target=stalled.read, args=("t", "k", 60.0), daemon=True) for _ in range(50)
    ]
    for thread in threads:
        thread.start()
    for _ in range(100):
        assert _send(client, _make_request(standin)).unwrap().body == b"content"
    table.faults.clear()
    for thread in threads:
        thread.join(_WAIT_S)
    table.stop()


def test_refuse_requests_above_the_limit(standin):
    """Guards against a queue that grows without bound while a system is stalled."""
    limits = http.HttpLimits(connections_per_origin=2, requests_per_origin=5)
    client = http.HttpClient(limits=limits)
    standin.faults.set(stalled=True)
    waiting = [client.send(_make_request(standin, timeout_s=10.0)) for _ in range(8)]
    assert [future.done() for future in waiting] == 5 * [False] + 3 * [True]
    assert type(waiting[-1].result().failure()) is _UNAVAILABLE
    standin.faults.clear()
    assert all(isinstance(f.result(_WAIT_S), result.Success) for f in waiting[:5])
    assert isinstance(_send(client, _make_request(standin)), result.Success)
    client.close()


def test_close(standin):
    """Guards against a caller that waits forever for a closed client."""
    client = http.HttpClient(limits=http.HttpLimits(connections_per_origin=1))
    standin.faults.set(stalled=True)
    before = standin.request_count
    waiting = [client.send(_make_request(standin, timeout_s=10.0)) for _ in range(2)]
    while standin.request_count == before:
        pass
    client.close()
    kinds = {type(future.result(_WAIT_S).failure()) for future in waiting}
    assert kinds == {_UNKNOWN, _UNAVAILABLE}
    assert type(_send(client, _make_request(standin)).failure()) is _UNAVAILABLE
    standin.faults.clear()


def test_timers(client):
    """Guards against timers that run out of order or although they were cancelled.

    A timer that raises an exception must not prevent later ones.
    """
    called = []
    ended = threading.Event()
    client.call_later(0.05, lambda: called.append(2))
    client.call_later(0.01, lambda: called.append(1))
    client.call_later(0.02, lambda: called.append(9)).cancel()
    client.call_later(0.03, lambda: called[99])
    client.call_later(0.06, ended.set)
    assert ended.wait(_WAIT_S)
    assert called == [1, 2]


class _InterruptedSocket:
    """Wake-up socket that lets another thread wake the client during each read."""

    def __init__(self, inner, interrupt):
        self._inner = inner
        self._interrupt = interrupt

    def recv(self, size):
        thread = threading.Thread(target=self._interrupt)
        thread.start()
        thread.join()
        return self._inner.recv(size)

    def __getattr__(self, name):
        return getattr(self._inner, name)


def test_wake_up_while_waking(client):
    """Guards against a lost wake-up, after which the client handles no more requests."""
    first, second, third = (threading.Event() for _ in range(3))
    inner = client._wake_receiver
    client._wake_receiver = _InterruptedSocket(inner, lambda: client.call_later(0.0, second.set))
    client.call_later(0.0, first.set)
    assert first.wait(_WAIT_S)
    assert second.wait(_WAIT_S)
    client._wake_receiver = inner
    client.call_later(0.0, third.set)
    assert third.wait(_WAIT_S)


def test_refuse_to_wait_on_own_thread(standin, client):
    """Guards against a deadlock of the client's thread that waits for itself."""
    raised = []
    ended = threading.Event()
    guard = guards.create_guard(random.Random(1))

    def wait():
        try:
            guards.send_and_wait(client, guard, _make_request(standin), True)
        except RuntimeError as error:
            raised.append(error)
        ended.set()

    client.call_later(0.0, wait)
    assert ended.wait(_WAIT_S)
    assert raised


def test_buffer_of_each_connection_is_small(monkeypatch):
    """Guards against 64 KB for each worker that is polled, which exceeds the memory of small VMs.

    Load pattern: one VM holds long polls of thousands of workers at the same time.
    """
    options = {}

    class Handle:
        def setopt(self, option, value):
            options[option] = value

    client = http.HttpClient()
    try:
        monkeypatch.setattr(http.pycurl, "Curl", Handle)
        client._make_handle(http.Request("POST", "http://127.0.0.1:1/", b"x"))
    finally:
        monkeypatch.undo()
        client.close()
    assert options[http.pycurl.UPLOAD_BUFFERSIZE] <= 16 << 10


class _Origin(str):
    """Origin that lets the client begin another request each time it is compared."""

    def __new__(cls, text, begin_request):
        origin = super().__new__(cls, text)
        origin.begin_request = begin_request
        return origin

    def __eq__(self, other):
        self.begin_request()
        return str.__eq__(self, other)

    __hash__ = str.__hash__


def test_look_for_arriving_answers_on_another_thread(standin, client):
    """Guards against a call without an outcome, which its callback lost with an exception.

    A callback runs on the thread of its caller if its request ends before it is added, while the
    client's thread begins and ends other requests.
    """
    standin.faults.set(stalled=True)
    pending = []

    def begin_request():
        pending.append(client.send(_make_request(standin, timeout_s=10.0)))
        for _ in range(2):
            polled = threading.Event()
            client.call_later(0.0, polled.set)
            assert polled.wait(_WAIT_S)

    begin_request()
    assert not client.is_receiving(_Origin(standin.address, begin_request))
    assert len(pending) == 2


def test_idle_handles_keep_no_answers(standin, client):
    """Guards against megabytes of memory that idle handles keep after large answers."""
    future = client.send(_make_request(standin))
    assert future.result(_WAIT_S).unwrap().body == b"content"
    reference = weakref.ref(future)
    del future
    polled = threading.Event()
    client.call_later(0.0, polled.set)
    assert polled.wait(_WAIT_S)
    assert reference() is None
