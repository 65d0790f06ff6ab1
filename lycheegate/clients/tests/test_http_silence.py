"""Open connections that go silent without a reset, while new ones work."""

import contextlib
import socket
import threading

import pytest

from lycheegate.clients import http
from lycheegate.utils import exceptions

_WAIT_S = 20.0
_TIMEOUT_S = 0.3
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class _Server:
    """Server that answers once a number of requests wait, unless their connections are silent."""

    def __init__(self):
        self.wanted = 1
        self.accepted = 0
        self._waiting: list[socket.socket] = []
        self._connections: list[socket.socket] = []
        self._silent: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                self.accepted += 1
                self._connections.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError):
            while connection.recv(65536):
                with self._lock:
                    if connection in self._silent:
                        continue
                    self._waiting.append(connection)
                    if len(self._waiting) < self.wanted:
                        continue
                    waiting, self._waiting = self._waiting, []
                for other in waiting:
                    other.sendall(_ANSWER)

    def silence_connections(self):
        """Lets all open connections go silent."""
        with self._lock:
            self._silent.update(self._connections)

    def close(self):
        """Stops the server."""
        self._socket.close()
        for connection in self._connections:
            connection.close()


@pytest.fixture(name="server")
def _server():
    server = _Server()
    yield server
    server.close()


@pytest.fixture(name="client")
def _client():
    client = http.HttpClient(limits=http.HttpLimits(connections_per_origin=32))
    yield client
    client.close()


def _send(client, server):
    request = http.Request("POST", f"http://{server.address}/", b"x", timeout_s=_TIMEOUT_S)
    return client.send(request)


@pytest.mark.parametrize("connections", [1, 2, 30])
@pytest.mark.parametrize("requests", [1, 5])
def test_one_timeout_is_enough(client, server, connections, requests):
    """Guards against a worker that is not reached for as long as there are silent connections.

    Each idle connection was tried in turn, and took the timeout of a request. With thirty of them,
    the leases on the worker lapsed meanwhile.
    """
    server.wanted = connections
    warm = [_send(client, server) for _ in range(connections)]
    assert all(future.result(_WAIT_S).unwrap().status == 200 for future in warm)
    assert server.accepted == connections
    server.wanted = 1
    server.silence_connections()
    first = _send(client, server).result(_WAIT_S).failure()
    assert type(first) is exceptions.OutcomeUnknownError
    for _ in range(requests):
        assert _send(client, server).result(_WAIT_S).unwrap().status == 200


def test_other_origins_keep_their_connections(client, server):
    """Guards against connections to all systems that are given up because one is silent."""
    other = _Server()
    try:
        assert _send(client, other).result(_WAIT_S).unwrap().status == 200
        assert _send(client, server).result(_WAIT_S).unwrap().status == 200
        server.silence_connections()
        _send(client, server).result(_WAIT_S).failure()
        for _ in range(3):
            assert _send(client, other).result(_WAIT_S).unwrap().status == 200
        assert other.accepted == 1
    finally:
        other.close()


@pytest.mark.parametrize(
    ("untrusted_since_s", "now_s", "expected"),
    [
        (None, 100.0, http.Reuse(False, 30)),
        (100.0, 100.0, http.Reuse(True, 30)),
        (100.0, 101.9, http.Reuse(True, 30)),
        (100.0, 102.0, http.Reuse(False, 1)),
        (100.0, 104.7, http.Reuse(False, 3)),
        (100.0, 130.0, http.Reuse(False, 29)),
        (100.0, 131.0, http.Reuse(False, 30)),
        (100.0, 900.0, http.Reuse(False, 30)),
    ],
)
def test_reuse_of_connections(untrusted_since_s, now_s, expected):
    """Guards against the reuse of a connection that was idle already when one went silent.

    Idle times are compared in whole seconds, rounded down.
    """
    reuse = http.compute_reuse(untrusted_since_s, now_s, 30)
    assert reuse == expected
    if untrusted_since_s is not None and now_s - untrusted_since_s < 30.0:
        assert reuse.must_connect or int(now_s - untrusted_since_s) > reuse.max_idle_s
