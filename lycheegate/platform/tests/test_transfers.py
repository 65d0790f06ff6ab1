"""Answers of the store that take longer to transfer than the store needs to answer."""

import base64
import json
import queue
import threading

import pytest
from returns import result

from lycheegate.clients import http
from lycheegate.clients.tests import slow_server
from lycheegate.platform import store
from lycheegate.utils import exceptions

_WAIT_S = 20.0
_BUSY_S = 1.2 * store.IDLE_TIMEOUT_S


@pytest.fixture(name="client")
def _client():
    client = http.HttpClient()
    yield client
    client.close()


def _make_body() -> bytes:
    value = base64.b64encode(b"configuration" * 100).decode()
    row = {"table": "op", "part": "", "key": "config", "value": value, "ver": 4}
    return json.dumps({"rows": [row], "ver": 9, "now-ms": 17}).encode()


def _call(kind: str, client: http.HttpClient, address: str) -> result.Result:
    outcomes: queue.Queue[result.Result] = queue.Queue()
    platform_store = store.PlatformStore(client, address)
    if kind == "read":
        platform_store.read("op", "", "", "", 1.5, outcomes.put)
    else:
        platform_store.follow("op", 3, 0.0, outcomes.put)
    return outcomes.get(timeout=_WAIT_S)


@pytest.mark.parametrize("kind", ["read", "follow"])
def test_answer_that_keeps_arriving_is_not_abandoned(client, kind):
    """Guards against a large configuration that never arrives over a slow link.

    The transfer was ended after a fixed time and began again from its first byte, so a VM whose
    link needs longer never received the configuration and refused all of its callers.
    """
    server = slow_server.SlowServer(_make_body())
    try:
        outcome = _call(kind, client, server.address)
    finally:
        server.stop()
    assert [row.version for row in outcome.unwrap().rows] == [4]


def test_arriving_answer_is_noticed(client):
    """Guards against a store that counts as unreachable while a large answer fills the link."""
    server = slow_server.SlowServer(_make_body(), parts_sent=1)
    platform_store = store.PlatformStore(client, server.address)
    outcomes, observed = queue.Queue(), queue.Queue()

    def observe():
        is_receiving = platform_store.is_receiving()
        if is_receiving or not outcomes.empty():
            observed.put(is_receiving)
        else:
            client.call_later(0.02, observe)

    try:
        platform_store.follow("op", 3, 0.0, outcomes.put)
        client.call_later(0.0, observe)
        assert observed.get(timeout=_WAIT_S)
        assert not isinstance(outcomes.get(timeout=_WAIT_S), result.Success)
        client.call_later(0.0, lambda: observed.put(platform_store.is_receiving()))
        assert not observed.get(timeout=_WAIT_S)
    finally:
        server.stop()


@pytest.mark.parametrize("parts_sent", [0, 1, 3])
@pytest.mark.parametrize("kind", ["read", "follow"])
def test_answer_that_stops_arriving_is_abandoned(client, kind, parts_sent):
    """Guards against a feed that waits forever on a connection which went silent midway."""
    server = slow_server.SlowServer(_make_body(), parts_sent)
    try:
        outcome = _call(kind, client, server.address)
    finally:
        server.stop()
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError


def test_answer_that_arrives_while_the_thread_is_busy_is_not_abandoned(client):
    """Guards against a transfer that begins again because the VM, not the connection, paused.

    The parts of the answer wait in the socket while the event thread is busy, or its process is
    suspended, for longer than the idle timeout.
    """
    server = slow_server.SlowServer(_make_body())
    client.call_later(0.5, lambda: threading.Event().wait(_BUSY_S))
    try:
        outcome = _call("read", client, server.address)
    finally:
        server.stop()
    assert isinstance(outcome, result.Success)
