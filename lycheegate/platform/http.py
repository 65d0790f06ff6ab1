"""HTTP client for many concurrent requests and long polls, on one thread."""

import collections
import contextlib
import dataclasses
import heapq
import itertools
import selectors
import socket
import threading
import time
import urllib.parse
from collections.abc import Callable
from concurrent import futures

import logbook
import pycurl
from returns import result

from lycheegate.utils import exceptions

__all__ = ["HttpClient", "HttpLimits", "Request", "Response", "Timer"]

HttpResult = result.Result["Response", exceptions.LycheegateError]

_log = logbook.Logger("platform.http")

_SPARE_HANDLES = 64
_MAX_HEADER_BYTES = 16_384
_EVENT_BITS = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a client.

    Attributes:
        connections_per_origin: Connections to one address. A stalled system holds no more.
        requests_per_origin: Requests in flight or waiting for a connection to one address;
            further ones are refused at once.
        connect_timeout_s: Time to connect.
        idle_connection_s: Age of an idle connection above which it is not used again.
    """

    connections_per_origin: int = 16
    requests_per_origin: int = 512
    connect_timeout_s: float = 1.0
    idle_connection_s: int = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        method: Method.
        url: Absolute URL.
        body: Body, or None.
        headers: Complete header lines.
        timeout_s: Time until the whole answer must have arrived, waiting included.
        max_body_bytes: Largest accepted body of the answer.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    timeout_s: float = 2.0
    max_body_bytes: int = 4 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Timer:
    """A function that is called later, unless it is cancelled."""

    __slots__ = ("_function",)

    def __init__(self, function: Callable[[], None]):
        self._function: Callable[[], None] | None = function

    def cancel(self) -> None:
        """Prevents the call if it has not begun."""
        self._function = None

    def run(self) -> None:
        """Calls the function, once."""
        function, self._function = self._function, None
        if function is not None:
            function()


class _Transfer:
    """A request on its way."""

    __slots__ = ("body", "future", "header_bytes", "headers", "origin", "request", "sent", "size")

    def __init__(self, request: Request, origin: str):
        self.request = request
        self.origin = origin
        self.future: futures.Future[HttpResult] = futures.Future()
        self.sent = False
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.size = 0

    def begin(self, *_: object) -> int:
        """Notes that the request is about to be written to a connection.

        libcurl repeats a request by itself if a reused connection closes before any answer. The
        request may have taken effect by then, so a second write is refused here.
        """
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def take_header(self, line: bytes) -> int | None:
        """Takes a header line; a status line starts a new set of headers."""
        self.header_bytes += len(line)
        if self.header_bytes > _MAX_HEADER_BYTES:
            return 0
        if line.startswith(b"HTTP/"):
            self.headers.clear()
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()
        return None

    def take_body(self, data: bytes) -> int | None:
        """Takes a part of the body; refuses a body that is too large."""
        self.size += len(data)
        if self.size > self.request.max_body_bytes:
            return 0
        self.body.append(data)
        return None

    def is_too_large(self) -> bool:
        """Returns whether the answer went over a limit."""
        return self.size > self.request.max_body_bytes or self.header_bytes > _MAX_HEADER_BYTES


class HttpClient:
    """HTTP client with one thread.

    A request gives a future of a result. ``UnavailableError``: nothing of the request was sent.
    ``OutcomeUnknownError``: it was sent, at least in part, and no complete answer came.
    ``ProtocolError``: the answer is larger than allowed. Callbacks of futures and timers run on
    the client's thread and must not wait.

    Attributes:
        requests_done: Requests that ended so far.
        connections_made: Connections opened so far.
        bytes_sent: Bytes of request lines, headers and bodies sent so far.
        bytes_received: Bytes of status lines, headers and bodies received so far.
    """

    def __init__(self, name: str = "http", limits: HttpLimits | None = None):
        self.requests_done = 0
        self.connections_made = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._limits = limits or HttpLimits()
        self._lock = threading.Lock()
        self._submitted: collections.deque[_Transfer] = collections.deque()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_numbers = itertools.count()
        self._closed = False
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._spare: list[pycurl.Curl] = []
        self._selector = selectors.DefaultSelector()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._woken = False
        self._selector.register(self._wake_in, selectors.EVENT_READ)
        self._curl_due_s: float | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_curl_timer)
        self._multi.setopt(pycurl.M_PIPELINING, 0)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, self._limits.connections_per_origin)
        # The default cache of 4 connections per handle closes connections that the polls use.
        self._multi.setopt(pycurl.M_MAXCONNECTS, 4096)
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def send(self, request: Request) -> futures.Future[HttpResult]:
        """Sends a request; the future never has an exception."""
        origin = urllib.parse.urlsplit(request.url).netloc
        transfer = _Transfer(request, origin)
        with self._lock:
            refused = ""
            if self._closed:
                refused = "client closed"
            elif self._in_flight[origin] >= self._limits.requests_per_origin:
                refused = "too many requests in flight"
            else:
                self._in_flight[origin] += 1
                self._submitted.append(transfer)
        if refused:
            error = exceptions.UnavailableError(f"{origin}: {refused}")
            transfer.future.set_result(result.Failure(error))
        else:
            self._wake()
        return transfer.future

    def call_later(self, delay_s: float, function: Callable[[], None]) -> Timer:
        """Calls a function on the client's thread after a delay."""
        timer = Timer(function)
        with self._lock:
            entry = (time.monotonic() + delay_s, next(self._timer_numbers), timer)
            heapq.heappush(self._timers, entry)
        self._wake()
        return timer

    def is_own_thread(self) -> bool:
        """Returns whether the calling thread is the client's, on which nothing may wait."""
        return threading.current_thread() is self._thread

    def close(self) -> None:
        """Ends all requests and the thread."""
        with self._lock:
            self._closed = True
        self._wake()
        self._thread.join(5.0)

    def _wake(self) -> None:
        if self.is_own_thread():
            return
        with self._lock:
            if self._woken:
                return
            self._woken = True
        with contextlib.suppress(OSError):
            self._wake_out.send(b"x")

    def _run(self) -> None:
        while not self._closed:
            for key, mask in self._selector.select(self._compute_wait_s()):
                if key.fileobj is self._wake_in:
                    self._drain_wake()
                else:
                    bits = pycurl.CSELECT_IN if mask & selectors.EVENT_READ else 0
                    bits |= pycurl.CSELECT_OUT if mask & selectors.EVENT_WRITE else 0
                    self._multi.socket_action(key.fd, bits)
            self._start_submitted()
            if self._curl_due_s is not None and self._curl_due_s <= time.monotonic():
                self._curl_due_s = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._finish_transfers()
            self._run_timers()
        self._fail_all()

    def _drain_wake(self) -> None:
        with self._lock:
            self._woken = False
        with contextlib.suppress(BlockingIOError):
            self._wake_in.recv(64)

    def _compute_wait_s(self) -> float | None:
        with self._lock:
            if self._submitted:
                return 0.0
            due_s = self._timers[0][0] if self._timers else None
        if self._curl_due_s is not None:
            due_s = self._curl_due_s if due_s is None else min(due_s, self._curl_due_s)
        return None if due_s is None else max(0.0, due_s - time.monotonic())

    def _watch_socket(self, what: int, fd: int, _multi: object, _data: object) -> None:
        known = fd in self._selector.get_map()
        if what == pycurl.POLL_REMOVE:
            if known:
                self._selector.unregister(fd)
            return
        events = _EVENT_BITS.get(what)
        if events is None:
            return
        if known:
            self._selector.modify(fd, events)
        else:
            self._selector.register(fd, events)

    def _set_curl_timer(self, timeout_ms: int) -> None:
        self._curl_due_s = None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1000.0

    def _start_submitted(self) -> None:
        while self._submitted:
            transfer = self._submitted.popleft()
            handle = self._spare.pop() if self._spare else pycurl.Curl()
            self._set_options(handle, transfer)
            self._transfers[handle] = transfer
            self._multi.add_handle(handle)

    def _set_options(self, handle: pycurl.Curl, transfer: _Transfer) -> None:
        request = transfer.request
        handle.setopt(pycurl.URL, request.url)
        if request.body is not None:
            handle.setopt(pycurl.POSTFIELDS, request.body)
        if request.method != "GET":
            handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        # Headers that libcurl adds by itself only cost bytes here.
        headers = ["Accept:", "User-Agent:", "Expect:", *request.headers]
        handle.setopt(pycurl.HTTPHEADER, headers)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(request.timeout_s * 1000)))
        connect_s = min(self._limits.connect_timeout_s, request.timeout_s)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(connect_s * 1000)))
        handle.setopt(pycurl.MAXAGE_CONN, self._limits.idle_connection_s)
        handle.setopt(pycurl.PREREQFUNCTION, transfer.begin)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.take_body)

    def _finish_transfers(self) -> None:
        while True:
            left, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._finish(handle, 0, "")
            for handle, code, message in failed:
                self._finish(handle, code, message)
            if not left and not succeeded and not failed:
                return

    def _finish(self, handle: pycurl.Curl, code: int, message: str) -> None:
        transfer = self._transfers.pop(handle)
        self.requests_done += 1
        self.connections_made += handle.getinfo(pycurl.NUM_CONNECTS)
        self.bytes_received += transfer.header_bytes + transfer.size
        if transfer.sent:
            self.bytes_sent += handle.getinfo(pycurl.REQUEST_SIZE)
            self.bytes_sent += int(handle.getinfo(pycurl.SIZE_UPLOAD_T))
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        self._multi.remove_handle(handle)
        if len(self._spare) < _SPARE_HANDLES:
            handle.reset()
            self._spare.append(handle)
        else:
            handle.close()
        self._resolve(transfer, self._make_result(transfer, status, code, message))

    def _make_result(self, transfer: _Transfer, status: int, code: int, message: str) -> HttpResult:
        if code == 0:
            body = b"".join(transfer.body)
            return result.Success(Response(status, transfer.headers, body))
        request = transfer.request
        text = f"{request.method} {transfer.origin}: {message or code}"
        if transfer.is_too_large():
            return result.Failure(exceptions.ProtocolError(f"answer too large: {text}"))
        if transfer.sent:
            return result.Failure(exceptions.OutcomeUnknownError(text))
        return result.Failure(exceptions.UnavailableError(text))

    def _resolve(self, transfer: _Transfer, outcome: HttpResult) -> None:
        with self._lock:
            self._in_flight[transfer.origin] -= 1
            if self._in_flight[transfer.origin] <= 0:
                del self._in_flight[transfer.origin]
        if transfer.future.set_running_or_notify_cancel():
            transfer.future.set_result(outcome)

    def _run_timers(self) -> None:
        while True:
            with self._lock:
                if not self._timers or self._timers[0][0] > time.monotonic():
                    return
                timer = heapq.heappop(self._timers)[2]
            try:
                timer.run()
            except Exception:
                # A defect in one timer must not end the thread that serves all clients.
                _log.exception("timer_failed")

    def _fail_all(self) -> None:
        """Ends what is still under way when the client is closed."""
        for handle, transfer in list(self._transfers.items()):
            self._multi.remove_handle(handle)
            handle.close()
            self._resolve(transfer, self._make_result(transfer, 0, -1, "client closed"))
        for transfer in self._submitted:
            self._resolve(transfer, self._make_result(transfer, 0, -1, "client closed"))
        self._multi.close()
        self._selector.close()
        self._wake_in.close()
        self._wake_out.close()
