"""HTTP server that sends its answers slowly, as over a link of low bandwidth."""

import contextlib
import socket
import threading

PARTS = 8
PART_PAUSE_S = 0.25
"""Usual pause between the parts of an answer. All parts together take longer than the timeout of
any request of the tests."""
_WAIT_S = 20.0


class SlowServer:
    """Server of one connection at a time that sends the body of its answer in parts.

    Args:
        body: Body of each answer.
        parts_sent: Number of parts to send; the connection is silent after the last of them.
        part_pause_s: Pause between the parts.
    """

    def __init__(self, body: bytes, parts_sent: int = PARTS, part_pause_s: float = PART_PAUSE_S):
        self._body = body
        self._parts_sent = parts_sent
        self._part_pause_s = part_pause_s
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
        size = -(-len(self._body) // PARTS)
        for number in range(self._parts_sent):
            connection.sendall(self._body[number * size : (number + 1) * size])
            self._stopped.wait(self._part_pause_s)
        if self._parts_sent < PARTS:
            self._stopped.wait(_WAIT_S)


class InterimServer(SlowServer):
    """Server that sends interim responses at intervals before other bytes.

    Args:
        interim: An interim response.
        count: Number of interim responses.
        end: Bytes that follow.
        is_closed: Whether the connection is closed after them; otherwise it is silent.
    """

    def __init__(self, interim: bytes, count: int, end: bytes, is_closed: bool = True):
        self._interim = interim
        self._count = count
        self._end = end
        self._is_closed = is_closed
        super().__init__(b"")

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(4096)
        for _ in range(self._count):
            connection.sendall(self._interim)
            if self._stopped.wait(self._part_pause_s):
                return
        connection.sendall(self._end)
        if not self._is_closed:
            self._stopped.wait(_WAIT_S)
