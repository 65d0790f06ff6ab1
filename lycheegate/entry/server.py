"""HTTP server for the address of callers, with bounded threads and a timeout for slow requests."""

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.ssl import builtin

from lycheegate.metrics import logs
from lycheegate.settings import models

__all__ = ["CallersServer"]

_log = logs.Log("lycheegate.entry.server")

REQUEST_READ_TIMEOUT_S = 10.0
"""Time within which a whole request must arrive, so that a slow sender cannot occupy a thread."""

IDLE_TIMEOUT_S = 30.0
MAX_HEADER_BYTES = 16 * 1024
SLOW_READ_CHECK_INTERVAL_S = 0.5


class _Connection(cheroot_server.HTTPConnection):
    """Connection that records since when it has been reading a request."""

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
        return environ


class _Server(wsgi.Server):
    ConnectionClass = _Connection

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.reading_connections: set[_Connection] = set()
        self.gateway = _Gateway

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Writes the messages of cheroot to the log."""
        if traceback:
            _log.error("http_server_error", message=msg, error=traceback.format_exc()[-500:])
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

    def stop(self) -> None:
        """Closes the port and waits for responses in progress."""
        self._stopped.set()
        self._server.stop()

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
