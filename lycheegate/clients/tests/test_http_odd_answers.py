"""Answers that are no HTTP, and callbacks that raise: the client's thread serves on."""

import contextlib
import socket
import threading

import pytest
from returns import result

from lycheegate.clients import http
from lycheegate.utils import exceptions

_WAIT_S = 20.0
_SOUND = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"


class _Server:
    """Server on a loopback port that answers each connection with the same bytes."""

    def __init__(self, answer):
        self.answer = answer
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                with connection, contextlib.suppress(OSError):
                    connection.recv(65536)
                    connection.sendall(self.answer)

    def close(self):
        """Stops the server."""
        self._socket.close()


@pytest.fixture(name="client")
def _client():
    client = http.HttpClient()
    yield client
    client.close()


def _send(client, address, idle_timeout_s=None):
    request = http.Request(
        "POST", f"http://{address}/", b"{}", timeout_s=5.0, idle_timeout_s=idle_timeout_s
    )
    return client.send(request).result(_WAIT_S)


ODD_ANSWERS = {
    "nothing": b"",
    "no HTTP": b"\x00\xff" * 100,
    "other protocol": b"SSH-2.0-x\r\n",
    "status text": b"HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n",
    "status of 400 digits": b"HTTP/1.1 " + b"9" * 400 + b" OK\r\n\r\n",
    "status 99999": b"HTTP/1.1 99999 OK\r\nContent-Length: 0\r\n\r\n",
    "length negative": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nx",
    "length text": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nx",
    "length of 400 digits": b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 400 + b"\r\n\r\nx",
    "length too large": b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx",
    "chunk of 400 digits": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"f" * 400,
    "chunk no number": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "header without end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 500_000,
    "header not text": b"HTTP/1.1 200 OK\r\n\xff\xfe\x00\r\n\r\n",
    "headers cut": b"HTTP/1.1 200 OK\r\nContent-",
    "body over the limit": b"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + b"x" * 5_000_000,
    "informational answers": b"HTTP/1.1 100 Continue\r\n\r\n" * 50,
    "processing without end": b"HTTP/1.1 102 Processing\r\n\r\n" * 20_000,
    "interim status cut": b"HTTP/1.1 1",
    "interim status text": b"HTTP/1.1 1x\r\n\r\n" * 3,
    "interim status of 400 digits": b"HTTP/1.1 1" + b"0" * 400 + b"\r\n\r\n",
    "redirect": b"HTTP/1.1 301 Moved\r\nLocation: http://[\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("idle_timeout_s", [None, 1.0])
@pytest.mark.parametrize("answer", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_odd_answer_ends_no_thread(client, answer, idle_timeout_s):
    """Guards against a program at a worker's address that ends the thread of all requests."""
    odd, sound = _Server(answer), _Server(_SOUND)
    outcome = _send(client, odd.address, idle_timeout_s)
    if isinstance(outcome, result.Success):
        assert isinstance(outcome.unwrap().status, int)
    else:
        assert isinstance(outcome.failure(), exceptions.LycheegateError)
    assert _send(client, sound.address).unwrap().body == b"{}"
    odd.close()
    sound.close()


@pytest.mark.parametrize("error", [ValueError("x"), RecursionError(), MemoryError()], ids=repr)
def test_raising_callbacks_end_no_thread(client, error):
    """Guards against a callback of one request or timer that ends all requests."""
    server = _Server(_SOUND)
    called = threading.Semaphore(0)

    def fail(*_):
        called.release()
        raise error

    request = http.Request("POST", f"http://{server.address}/", b"{}", timeout_s=5.0)
    client.send(request).add_done_callback(fail)
    client.call_later(0.0, fail)
    assert called.acquire(timeout=_WAIT_S)
    assert called.acquire(timeout=_WAIT_S)
    assert _send(client, server.address).unwrap().status == 200
    server.close()
