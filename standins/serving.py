"""Threaded HTTP servers of the stand-ins."""

import argparse
import contextlib
import signal
import socket
import threading
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cheroot import wsgi

__all__ = ["Server", "Startable", "create_parser", "run_until_stopped"]


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that lets the application close a connection without a response."""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment of the request."""
        environ = super().get_environ()
        environ["standins.break_connection"] = self._break_connection
        return environ

    def _break_connection(self) -> None:
        self.req.close_connection = True
        with contextlib.suppress(OSError):
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)


class Server:
    """HTTP server of one stand-in on a loopback port."""

    def __init__(self, application: Callable, port: int = 0, threads: int = 16):
        self._server = wsgi.Server(
            ("127.0.0.1", port),
            application,
            numthreads=threads,
            request_queue_size=256,
            timeout=60,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        # With cheroot's default limit of 10 idle connections, a client with more would keep
        # reconnecting.
        self._server.keep_alive_conn_limit = 1000
        self._server.error_log = _ignore_log
        self._thread: threading.Thread | None = None
        self.address = ""

    def start(self) -> None:
        """Binds the port and serves in a background thread."""
        self._server.prepare()
        # cheroot does not set this option on a port chosen by the system. Connections inherit the
        # option, which lets a restarted stand-in bind the same port.
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.address = f"127.0.0.1:{self._server.bind_addr[1]}"
        self._thread = threading.Thread(target=self._server.serve, name="standin", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Closes the port and all connections."""
        # cheroot checks for a stop after each new connection, or else every 0.5 s; this connection
        # avoids that delay.
        wake_up = threading.Timer(0.01, self._wake_accept_loop)
        wake_up.start()
        self._server.stop()
        wake_up.join()
        if self._thread is not None:
            self._thread.join(5.0)

    def _wake_accept_loop(self) -> None:
        host, _, port = self.address.partition(":")
        with contextlib.suppress(OSError, ValueError):
            socket.create_connection((host, int(port)), 1.0).close()


class Startable(Protocol):
    """Stand-in that can be started and stopped."""

    address: str

    def start(self) -> None:
        """Starts serving."""

    def stop(self) -> None:
        """Stops serving."""


def _ignore_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Discards cheroot's messages about connections closed by injected faults."""


def create_parser(description: str) -> argparse.ArgumentParser:
    """Returns an argument parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--port", type=int, default=0, help="port to bind; 0: chosen by the operating system"
    )
    return parser


def run_until_stopped(name: str, standins: Sequence[Startable]) -> None:
    """Starts stand-ins, prints their addresses one a line, and stops them on a signal."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    for standin in standins:
        standin.start()
        print(f"{name} http://{standin.address}", flush=True)
    stopped.wait()
    for standin in standins:
        standin.stop()
