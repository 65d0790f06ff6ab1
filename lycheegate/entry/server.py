"""HTTP server for the address of callers, with bounded threads and a timeout for slow requests."""

import contextlib
import logging
import select
import socket
import sys
import threading
import time
import traceback as tracebacks
from collections.abc import Callable
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.ssl import builtin

from lycheegate.metrics import logs
from lycheegate.settings import models

__all__ = ["IS_CONNECTED", "SEND_PROCESSING", "CallersServer"]

_log = logs.Log("lycheegate.entry.server")

SEND_PROCESSING = "lycheegate.send_processing"
"""Key in the WSGI environment of a function that tells the caller that the answer is still being
prepared. It returns whether the connection has taken that."""
IS_CONNECTED = "lycheegate.is_connected"
"""Key in the WSGI environment of a function that returns whether the caller has not closed its
connection, as far as that is known."""
_PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
"""Interim response, which HTTP clients skip."""
REQUEST_READ_TIMEOUT_S = 10.0
"""Time within which a whole request must arrive, so that a slow sender cannot occupy a thread."""

IDLE_TIMEOUT_S = 30.0
MAX_KEPT_ALIVE_DISCARD_BYTES = 64 * 1024
"""Size of an unread request body up to which the connection is kept after the response. Cheroot
reads such a body into memory at once, before the response."""
MAX_DISCARD_BYTES = 16 * 1024 * 1024
MAX_DISCARD_S = 3.0
DISCARD_CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
SLOW_READ_CHECK_INTERVAL_S = 0.5


class _Request(cheroot_server.HTTPRequest):
    """Request whose response reaches the caller although its body was not read.

    Closing a connection with unread bytes resets it, and a caller that is still sending its body
    then loses the response. The body is therefore discarded after the response, within limits.
    """

    @property
    def _unread_bytes(self) -> int:
        return getattr(self.rfile, "remaining", 0)

    def send_headers(self) -> None:
        """Sends the status line and the headers of the response."""
        if self._unread_bytes > MAX_KEPT_ALIVE_DISCARD_BYTES:
            self.close_connection = True
        super().send_headers()

    def respond(self) -> None:
        """Sends the response, then discards what the caller still sends."""
        super().respond()
        if self.close_connection and self._unread_bytes:
            # A caller that stops sending is disconnected by the check for slow reads.
            self.conn.reading_since_s = time.monotonic()
            with contextlib.suppress(OSError):
                self._discard_body()

    def _discard_body(self) -> None:
        deadline_s = time.monotonic() + MAX_DISCARD_S
        least_unread_bytes = self._unread_bytes - MAX_DISCARD_BYTES
        while self._unread_bytes > max(0, least_unread_bytes) and time.monotonic() < deadline_s:
            if not self.rfile.read(DISCARD_CHUNK_BYTES):
                return


class _Connection(cheroot_server.HTTPConnection):
    """Connection that records since when it has been reading a request."""

    RequestHandlerClass = _Request
    reading_since_s: float | None = None

    def communicate(self) -> bool:
        """Serves one request."""
        self.reading_since_s = time.monotonic()
        self.server.reading_connections.add(self)
        try:
            return super().communicate()
        finally:
            self.reading_since_s = None
            self.server.reading_connections.discard(self)


class _BodyReader:
    """Body of a request, which ends the read timeout of its connection once it has been read."""

    def __init__(self, stream: Any, connection: _Connection):
        self._stream = stream
        self._connection = connection

    def read(self, size: int = -1) -> bytes:
        """Reads the body."""
        try:
            return self._stream.read(size)
        finally:
            self._connection.reading_since_s = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class _Gateway(wsgi.Gateway_10):
    """Gateway that ends the read timeout at once without a body, otherwise after its read."""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment."""
        environ = super().get_environ()
        connection = self.req.conn
        if self.req.inheaders.get(b"Content-Length", b"0") in (b"0", b""):
            connection.reading_since_s = None
        environ["wsgi.input"] = _BodyReader(environ["wsgi.input"], connection)
        environ[SEND_PROCESSING] = self._send_processing
        environ[IS_CONNECTED] = self._is_connected
        return environ

    def _is_connected(self) -> bool:
        connection = self.req.conn.socket
        try:
            # A socket with a timeout waits for data even if the call asks it not to.
            poll = select.poll()
            poll.register(connection, select.POLLIN)
            return not poll.poll(0) or bool(connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
        except ValueError:
            # TLS connections cannot be read without taking the data.
            return connection.fileno() >= 0

    def _send_processing(self) -> bool:
        # HTTP/1.0 has no interim responses.
        if self.req.sent_headers or self.req.response_protocol != "HTTP/1.1":
            return False
        try:
            self.req.conn.wfile.write(_PROCESSING)
        except (OSError, ValueError):
            # ValueError: the connection was closed.
            return False
        return True


class _Server(wsgi.Server):
    ConnectionClass = _Connection

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.reading_connections: set[_Connection] = set()
        self.gateway = _Gateway

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Writes the messages of cheroot to the log."""
        if traceback:
            error = "".join(tracebacks.format_exception(sys.exception()))
            _log.error("http_server_error", message=msg, error=error[-500:])
        elif level >= logging.WARNING:
            _log.warning("http_server", message=msg)


class CallersServer:
    """HTTP server that runs in its own threads."""

    def __init__(
        self,
        host: str,
        port: int,
        application: Callable,
        limits: models.LimitSettings,
        tls: models.TlsSettings | None = None,
    ):
        self._server = _Server(
            (host, port),
            application,
            numthreads=limits.caller_threads,
            max=limits.caller_threads,
            request_queue_size=256,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=5,
            accepted_queue_size=max(1, limits.caller_queue),
            # A connection that arrives while the queue is full is refused with 503 at once.
            accepted_queue_timeout=0.01,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        # No limit here: the application refuses large bodies itself and states the reason.
        self._server.max_request_body_size = 0
        if tls is not None:
            self._server.ssl_adapter = builtin.BuiltinSSLAdapter(tls.certificate_file, tls.key_file)
        self._stopped = threading.Event()

    def start(self) -> int:
        """Binds the port and starts serving; returns the port."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="callers-accept", daemon=True).start()
        threading.Thread(target=self._abort_slow_reads, name="callers-watch", daemon=True).start()
        return self._server.bind_addr[1]

    def stop(self, limit_s: float | None = None) -> None:
        """Closes the port and waits for responses in progress.

        Args:
            limit_s: Time in seconds after which the remaining responses are abandoned, or None.
                Without it, a request that is never answered blocks the caller of this method.
        """
        self._stopped.set()
        if limit_s is None:
            self._server.stop()
            return
        stopper = threading.Thread(target=self._server.stop, name="callers-stop", daemon=True)
        stopper.start()
        stopper.join(limit_s)

    def _abort_slow_reads(self) -> None:
        """Aborts the reading of requests that take too long to arrive."""
        while not self._stopped.wait(SLOW_READ_CHECK_INTERVAL_S):
            earliest_start_s = time.monotonic() - REQUEST_READ_TIMEOUT_S
            for connection in list(self._server.reading_connections):
                since_s = connection.reading_since_s
                if since_s is not None and since_s < earliest_start_s:
                    # The application then reads the end of the stream and can still respond.
                    with contextlib.suppress(OSError):
                        connection.socket.shutdown(socket.SHUT_RD)
