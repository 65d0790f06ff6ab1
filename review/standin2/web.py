"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ["Answer", "Call", "Server", "call"]

Answer = tuple[int, Any]
"""Status, and the document of the answer, or None for an empty body."""


class Call:
    """One request.

    Attributes:
        method: HTTP method.
        path: Path with its query.
        headers: Headers; names are in lower case.
        body: Body.
    """

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def decode(self) -> Any:
        """Returns the document in the body."""
        return json.loads(self.body)


class Server:
    """Serves one address; ``answer`` may return None to close the connection without an answer."""

    def __init__(self, answer: Callable[[Call], Awaitable[Answer | None]], port: int = 0):
        self._answer = answer
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Binds the port, the same one as before if it was started already."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Closes the port and all connections at once, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                answer = await self._answer(request)
                if answer is None or writer.is_closing():
                    return
                status, document = answer
                body = (
                    b""
                    if document is None
                    else json.dumps(document, separators=(",", ":")).encode()
                )
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # The connection ends; a cancelled task would only be reported by the event loop.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Call(method, path, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    document: Any = None,
    timeout_s: float = 3.0,
) -> Answer | None:
    """Makes one call on a new connection; returns None without a complete answer in time."""
    try:
        return await asyncio.wait_for(_call(address, method, path, headers, document), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None


async def _call(
    address: str, method: str, path: str, headers: dict[str, str], document: Any
) -> Answer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if document is None else json.dumps(document, separators=(",", ":")).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        data = await reader.readexactly(length) if length else b""
        answer = None
        if data:
            with contextlib.suppress(ValueError):
                answer = json.loads(data)
        return status, answer
    finally:
        writer.transport.abort()
