"""Answers of the store that take longer to transfer than the store needs to answer."""

import base64
import contextlib
import json
import queue
import socket
import threading

import pytest
from returns import result

from lycheegate.clients import http
from lycheegate.platform import store
from lycheegate.utils import exceptions

_WAIT_S = 20.0
_PARTS = 8
_PART_PAUSE_S = 0.25
"""Pause between the parts of an answer, which takes longer in all than any timeout of a request."""


class _SlowServer:
    """Server of one connection at a time that sends the body of its answer in parts.

    Args:
        body: Body of each answer.
        parts_sent: Number of parts to send; the connection is silent after the last of them.
    """

    def __init__(self, body: bytes, parts_sent: int = _PARTS):
        self._body = body
        self._parts_sent = parts_sent
        self._stopped = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Closes the server and waits for its thread."""
        self._stopped.set()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(_WAIT_S)

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while not self._stopped.is_set():
                connection, _ = self._listener.accept()
                with connection, contextlib.suppress(OSError):
                    self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(4096)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self._body)}\r\n\r\n"
        connection.sendall(head.encode())
        size = -(-len(self._body) // _PARTS)
        for number in range(self._parts_sent):
            connection.sendall(self._body[number * size : (number + 1) * size])
            self._stopped.wait(_PART_PAUSE_S)
        if self._parts_sent < _PARTS:
            self._stopped.wait(_WAIT_S)


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
    server = _SlowServer(_make_body())
    try:
        outcome = _call(kind, client, server.address)
    finally:
        server.stop()
    assert [row.version for row in outcome.unwrap().rows] == [4]


@pytest.mark.parametrize("parts_sent", [0, 1, 3])
@pytest.mark.parametrize("kind", ["read", "follow"])
def test_answer_that_stops_arriving_is_abandoned(client, kind, parts_sent):
    """Guards against a feed that waits forever on a connection which went silent midway."""
    server = _SlowServer(_make_body(), parts_sent)
    try:
        outcome = _call(kind, client, server.address)
    finally:
        server.stop()
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError
