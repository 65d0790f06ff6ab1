"""A small HTTP/1.1 server and client on asyncio, with the faults that the cases need."""

import asyncio
import contextlib
import dataclasses
import json
import urllib.parse
from collections.abc import Awaitable, Callable

__all__ = ["Request", "Response", "Server", "call"]

MAX_HEADER_BYTES = 65536
SILENCE_CHECK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as it arrived.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Arguments of the query.
        headers: Headers, by name in lower case.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer; its document is sent as JSON."""

    status: int
    document: object = None


Handler = Callable[[Request], Awaitable[Response | None]]
"""Answers a request. None closes the connection without an answer."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return first, headers, body


class Server:
    """HTTP server on one loopback address.

    Args:
        handler: Answers the requests.
        host: Address to listen on.
        port: Port to listen on, or 0 for a free one.

    Attributes:
        address: Host and port, once it has started.
    """

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0):
        self.address = ""
        self._handler = handler
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Binds the address and serves."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=MAX_HEADER_BYTES
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{self._port}"

    async def stop(self) -> None:
        """Closes the port and resets all connections, as a process that was killed does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._silent.clear()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> int:
        """Silences the open connections for good, without a reset; returns their number.

        New connections work.
        """
        self._silent |= self._writers
        return len(self._silent)

    async def _wait_while_silent(self, writer: asyncio.StreamWriter) -> None:
        while writer in self._silent:
            await asyncio.sleep(SILENCE_CHECK_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                await self._wait_while_silent(writer)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                request = Request(method, path, arguments, headers, body)
                response = await self._handler(request)
                await self._wait_while_silent(writer)
                if response is None:
                    writer.transport.abort()
                    return
                data = b"" if response.document is None else json.dumps(response.document).encode()
                head = (
                    f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    document: object = None,
    timeout_s: float = 3.0,
) -> tuple[int, object] | None:
    """Makes one call on a new connection.

    Args:
        address: Host and port.
        method: HTTP method.
        path: Path, with the query if any.
        headers: Further headers.
        document: Sent as JSON, unless None.
        timeout_s: Time limit for the whole call, in seconds.

    Returns:
        Status and decoded body, or None if no whole answer arrived in time.
    """
    data = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
    if document is not None:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in {"Host": address, **(headers or {})}.items()]
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            first, _, body = await _read_message(reader)
            try:
                answer = json.loads(body) if body else None
            except ValueError:
                answer = body.decode("latin-1")
            return int(first.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
