"""Tests of the HTTP server for the address of callers."""

import datetime
import http.client
import select
import socket
import ssl
import threading

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from demo import deployment
from lycheegate.entry import server
from lycheegate.settings import models


def _write_certificate(directory):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "entry")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (directory / "cert.pem").write_bytes(certificate.public_bytes(pem))
    private = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (directory / "key.pem").write_bytes(private)
    return models.TlsSettings(
        certificate_file=str(directory / "cert.pem"), key_file=str(directory / "key.pem")
    )


def _echo(environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def test_tls(tmp_path):
    """Guards against a server that ignores its certificate and serves without TLS."""
    running = server.CallersServer(
        "127.0.0.1", 0, _echo, models.LimitSettings(), _write_certificate(tmp_path)
    )
    port = running.start()
    try:
        context = ssl.create_default_context(cafile=str(tmp_path / "cert.pem"))
        context.check_hostname = False
        connection = http.client.HTTPSConnection("127.0.0.1", port, timeout=20, context=context)
        connection.request("GET", "/")
        assert connection.getresponse().read() == b"ok"
    finally:
        running.stop()


def test_full_queue_is_refused_at_once():
    """Guards against callers that wait without a response while all threads are busy."""
    release, busy = threading.Event(), threading.Semaphore(0)

    def block(environ, start_response):
        busy.release()
        release.wait(30.0)
        return _echo(environ, start_response)

    limits = models.LimitSettings(caller_threads=1, caller_queue=1)
    running = server.CallersServer("127.0.0.1", 0, block, limits)
    port = running.start()
    connections = []

    def send():
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        connection.request("GET", "/")
        connections.append(connection)

    try:
        send()
        assert busy.acquire(timeout=20.0)

        def is_refused():
            send()
            connections[-1].sock.settimeout(0.5)
            try:
                return connections[-1].getresponse().status == 503
            except TimeoutError:
                return False

        deployment.wait_until(is_refused, 20.0, "refusal")
    finally:
        release.set()
        running.stop()


@pytest.mark.parametrize("length", [0, 20_000])
def test_large_headers_are_refused(length):
    """Guards against headers that exhaust memory."""
    running = server.CallersServer("127.0.0.1", 0, _echo, models.LimitSettings())
    port = running.start()
    try:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
        connection.request("GET", "/", headers={"X-Large": "x" * length})
        assert (connection.getresponse().status == 200) is (length == 0)
    finally:
        running.stop()


@pytest.mark.parametrize("status", ["413 Content Too Large", "401 Unauthorized"])
def test_refusal_of_unread_body_reaches_the_caller(status):
    """Guards against a refusal that is lost because its connection is reset.

    The caller is still sending its body when the server has already sent the whole refusal.
    """

    def refuse(environ, start_response):
        start_response(status, [("Content-Length", "2")])
        return [b"no"]

    running = server.CallersServer("127.0.0.1", 0, refuse, models.LimitSettings())
    port = running.start()
    try:
        length = 8 * 1024 * 1024
        sock = socket.create_connection(("127.0.0.1", port), 20.0)
        sock.sendall(f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n".encode())
        sock.sendall(b"x")
        readable, _, _ = select.select([sock], [], [], 20.0)
        assert readable
        sock.sendall(b"x" * (length - 1))
        response = http.client.HTTPResponse(sock)
        response.begin()
        assert response.status == int(status[:3])
        assert response.read() == b"no"
    finally:
        running.stop()


def test_error_of_application_ends_no_thread():
    """Guards against an unexpected error that ends the thread which serves the next caller."""

    def fail_or_echo(environ, start_response):
        if environ["PATH_INFO"] == "/fail":
            raise RuntimeError("unexpected")
        return _echo(environ, start_response)

    limits = models.LimitSettings(caller_threads=1)
    running = server.CallersServer("127.0.0.1", 0, fail_or_echo, limits)
    port = running.start()
    try:
        for path, expected in [("/fail", 500), ("/fail", 500), ("/", 200)]:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
            connection.request("GET", path)
            assert connection.getresponse().status == expected
            connection.close()
    finally:
        running.stop()


def test_stop_abandons_a_request_that_is_never_answered():
    """Guards against a process that outlives its grace time because one request hangs."""
    release, busy = threading.Event(), threading.Event()

    def block(environ, start_response):
        busy.set()
        release.wait(100.0)
        return _echo(environ, start_response)

    running = server.CallersServer("127.0.0.1", 0, block, models.LimitSettings())
    port = running.start()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    connection.request("GET", "/")
    assert busy.wait(20.0)
    running.stop(0.1)
    assert not release.is_set()
    release.set()
    connection.close()


_PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"


@pytest.mark.parametrize(("version", "count"), [("1.1", 2), ("1.0", 0)])
def test_interim_responses(version, count):
    """Guards against an interim response that a caller of HTTP/1.0 takes for the answer.

    None may be sent after the answer has begun either, because it would be a part of the body.
    """
    sent = []

    def process(environ, start_response):
        send = environ[server.SEND_PROCESSING]
        sent.extend([send(), send()])
        start_response("200 OK", [("Content-Length", "2")])
        yield b"o"
        sent.append(send())
        yield b"k"

    running = server.CallersServer("127.0.0.1", 0, process, models.LimitSettings())
    port = running.start()
    try:
        with socket.create_connection(("127.0.0.1", port), 20.0) as sock:
            sock.sendall(f"GET / HTTP/{version}\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            received = b"".join(iter(lambda: sock.recv(4096), b""))
    finally:
        running.stop()
    assert sent == [count > 0, count > 0, False]
    assert received.startswith(_PROCESSING * count + b"HTTP/1.1 200 OK")
    assert received.count(_PROCESSING) == count
    assert received.endswith(b"\r\n\r\nok")


@pytest.mark.parametrize("closes", [False, True])
def test_connection_that_the_caller_has_closed(closes):
    """Guards against a request of a caller that has gone counting as a current one."""
    found = []
    may_answer = threading.Event()

    def process(environ, start_response):
        assert may_answer.wait(20.0)
        found.append(environ[server.IS_CONNECTED]())
        return _echo(environ, start_response)

    running = server.CallersServer("127.0.0.1", 0, process, models.LimitSettings())
    port = running.start()
    try:
        with socket.create_connection(("127.0.0.1", port), 20.0) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            if closes:
                sock.shutdown(socket.SHUT_WR)
            may_answer.set()
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    finally:
        running.stop()
    assert found == [not closes]


def test_interim_response_to_a_caller_that_has_gone():
    """Guards against a thread that goes on working for a caller that has closed its connection."""
    stopped, gone = threading.Event(), threading.Event()

    def process(environ, start_response):
        while environ[server.SEND_PROCESSING]():
            if stopped.wait(0.01):
                return []
        gone.set()
        return _echo(environ, start_response)

    limits = models.LimitSettings(caller_threads=1)
    running = server.CallersServer("127.0.0.1", 0, process, limits)
    port = running.start()
    try:
        with socket.create_connection(("127.0.0.1", port), 20.0) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert sock.recv(len(_PROCESSING)) == _PROCESSING
        assert gone.wait(20.0)
    finally:
        stopped.set()
        running.stop()
