"""HTTP client for many concurrent requests and long polls, on one thread."""

import collections
import contextlib
import dataclasses
import heapq
import itertools
import math
import select
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

__all__ = [
    "HttpClient",
    "HttpLimits",
    "Request",
    "Response",
    "Reuse",
    "Timer",
    "compute_reuse",
]

HttpResult = result.Result["Response", exceptions.LycheegateError]

_log = logbook.Logger("platform.http")

# Idle handles kept for each combination of method and body; each takes about 10 KB of buffers.
_MAX_IDLE_HANDLES = 16
# The smallest buffer for request bodies that libcurl accepts. A connection keeps its buffer, and
# the default of 64 KB would take 200 MB in a VM that polls 3,000 workers.
_UPLOAD_BUFFER_BYTES = 16 << 10
_EVENT_BITS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}
# Errors and hang-ups count as readable, because libcurl detects them by reading.
_READABLE = select.EPOLLIN | select.EPOLLERR | select.EPOLLHUP
_MAX_UNTRUSTED_ORIGINS = 4096
"""Number of origins without an answer from which those that are trusted again are forgotten."""
_MAX_TRANSFER_S = 30.0
"""Time after which an answer is abandoned although it keeps arriving."""
_INTERIM_STATUS = b"HTTP/1.1 1"
"""Beginning of the status line of an interim response (1xx), after which the answer follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a client.

    Attributes:
        connections_per_origin: Maximum number of connections to one origin (host and port), and
            thereby of connections that a stalled system occupies.
        requests_per_origin: Maximum number of requests to one origin that are in flight or wait for
            a connection; further ones are refused immediately.
        connect_timeout_s: Timeout for opening a connection.
        idle_connection_s: Idle time after which a connection is not reused.
    """

    connections_per_origin: int = 16
    requests_per_origin: int = 512
    connect_timeout_s: float = 1.0
    idle_connection_s: int = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        body: Body, or None.
        headers: Complete header lines.
        timeout_s: Timeout for the complete answer, including the wait for a connection. With
            ``idle_timeout_s``, it ends with the first part of the body, and an interim response
            extends it: the server still works on the answer.
        max_body_bytes: Maximum size of the body of the answer.
        idle_timeout_s: Timeout for each further part of the body, and for what follows an interim
            response, or None. It suits answers of any size: a large one over a slow link may take
            longer than a lost one is waited for.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    timeout_s: float = 2.0
    max_body_bytes: int = 4 << 20
    idle_timeout_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A completely received answer."""

    status: int
    header_lines: tuple[bytes, ...]
    body: bytes

    def get_header(self, name: str) -> str | None:
        """Returns the value of a header, or None if it is absent.

        Headers are parsed on demand, because most callers need none.
        """
        encoded_name = name.lower().encode()
        for line in self.header_lines:
            header_name, separator, value = line.partition(b":")
            if separator and header_name.lower() == encoded_name:
                return value.strip().decode("latin-1")
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Reuse:
    """Which idle connections a request may reuse.

    Attributes:
        must_connect: Whether it opens a new connection.
        max_idle_s: Idle time in whole seconds above which a connection is closed instead.
    """

    must_connect: bool
    max_idle_s: int


def compute_reuse(untrusted_since_s: float | None, now_s: float, idle_connection_s: int) -> Reuse:
    """Returns which idle connections to an origin may be reused.

    Handles connections that go silent without a reset, all to one origin at once. Each would cost a
    timeout, so after the first one, only connections are reused that were in use since the request
    without an answer was sent. libcurl compares idle times in whole seconds, rounded down.

    Args:
        untrusted_since_s: When the last request that got no answer was sent, or None.
        now_s: Current time on the same clock.
        idle_connection_s: Idle time after which a connection is not reused in any case.
    """
    elapsed_s = math.inf if untrusted_since_s is None else now_s - untrusted_since_s
    if elapsed_s < 2.0:
        return Reuse(True, idle_connection_s)
    if elapsed_s > idle_connection_s:
        return Reuse(False, idle_connection_s)
    return Reuse(False, int(elapsed_s) - 1)


class Timer:
    """A delayed function call that can be cancelled."""

    __slots__ = ("_function",)

    def __init__(self, function: Callable[[], None]):
        self._function: Callable[[], None] | None = function

    def cancel(self) -> None:
        """Prevents the call unless it has begun."""
        self._function = None

    def run(self) -> None:
        """Calls the function unless it was called or cancelled before."""
        function, self._function = self._function, None
        if function is not None:
            function()


class _Transfer:
    """A request and the answer received so far."""

    __slots__ = (
        "body",
        "future",
        "header_lines",
        "interim_at_s",
        "kind",
        "origin",
        "progressed_at_s",
        "queued_at_s",
        "request",
        "sent",
        "size",
        "timer",
    )

    def __init__(self, request: Request, origin: str):
        self.request = request
        self.origin = origin
        self.kind = (request.method, request.body is not None)
        self.future: futures.Future[HttpResult] = futures.Future()
        self.sent = False
        self.header_lines: list[bytes] = []
        self.body: list[bytes] = []
        self.size = 0
        self.queued_at_s = time.monotonic()
        self.progressed_at_s: float | None = None
        self.interim_at_s = -math.inf
        self.timer: Timer | None = None

    def handle_request_start(self, *_: object) -> int:
        """Records that libcurl is about to write the request to a connection.

        If a reused connection closes before any answer, libcurl sends the request again by itself.
        The request may already have taken effect, so the second write is aborted.
        """
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def append_header(self, line: bytes) -> None:
        """Appends a header or status line, also those of interim responses."""
        self.header_lines.append(line)
        if line.startswith(_INTERIM_STATUS):
            self.interim_at_s = time.monotonic()

    def append_body(self, data: bytes) -> int | None:
        """Appends a part of the body; aborts the transfer if the body is too large."""
        self.size += len(data)
        if self.size > self.request.max_body_bytes:
            return 0
        self.body.append(data)
        if self.request.idle_timeout_s is not None:
            self.progressed_at_s = time.monotonic()
        return None

    def release_answer(self) -> None:
        """Drops the answer, because an idle handle refers to its last transfer."""
        self.body.clear()
        del self.future

    def compute_due_s(self) -> float:
        """Returns when the next part of the answer is overdue, given an idle timeout."""
        if self.progressed_at_s is None:
            answer_due_s = self.queued_at_s + self.request.timeout_s
            return max(answer_due_s, self.interim_at_s + self.request.idle_timeout_s)
        return self.progressed_at_s + self.request.idle_timeout_s


class HttpClient:
    """HTTP client with a single thread.

    ``send`` returns a future of a result. Its failures are ``NotSentError`` (nothing of the
    request was sent), ``OutcomeUnknownError`` (the request was sent at least in part, and no
    complete answer was received) and ``ProtocolError`` (the answer exceeds the maximum size).
    Callbacks of futures and timers run on the client's thread and must not block.

    Attributes:
        requests_done: Number of requests that have ended.
        connections_made: Number of connections opened.
        bytes_sent: Bytes of request lines, headers and bodies sent.
        bytes_received: Bytes of status lines, headers and bodies received.
    """

    def __init__(self, name: str = "http", limits: HttpLimits | None = None):
        self.requests_done = 0
        self.connections_made = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._limits = limits or HttpLimits()
        self._lock = threading.Lock()
        self._queued: collections.deque[_Transfer] = collections.deque()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_numbers = itertools.count()
        self._closed = False
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        # Idle handles by method and presence of a body, the options that remain set on a handle.
        self._idle_handles: dict[tuple[str, bool], list[pycurl.Curl]] = {}
        self._untrusted_since_s: dict[str, float] = {}
        """When the last request that got no answer was sent, by origin."""
        self._epoll = select.epoll()
        self._registered_sockets: set[int] = set()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._is_wake_pending = False
        self._wake_fd = self._wake_receiver.fileno()
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._curl_due_s: float | None = None
        self._polled_at_s = 0.0
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_registration)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_curl_timer)
        self._multi.setopt(pycurl.M_PIPELINING, 0)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, self._limits.connections_per_origin)
        # The default cache of 4 connections per handle would close connections used by long polls.
        self._multi.setopt(pycurl.M_MAXCONNECTS, 4096)
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def send(self, request: Request) -> futures.Future[HttpResult]:
        """Sends a request; the future has a result in any case, never an exception."""
        try:
            origin, refusal = urllib.parse.urlsplit(request.url).netloc, ""
        except ValueError as error:
            origin, refusal = request.url, f"request not sent: {error}"
        transfer = _Transfer(request, origin)
        # Once the transfer is queued, the client's thread may finish it and release its answer.
        future = transfer.future
        with self._lock:
            if refusal:
                pass
            elif self._closed:
                refusal = "request not sent: client closed"
            elif self._in_flight[origin] >= self._limits.requests_per_origin:
                refusal = (
                    f"request not sent: limit of {self._limits.requests_per_origin} "
                    "requests in flight reached"
                )
            else:
                self._in_flight[origin] += 1
                self._queued.append(transfer)
        if refusal:
            error = exceptions.NotSentError(f"{origin}: {refusal}")
            future.set_result(result.Failure(error))
        else:
            self._wake()
        return future

    def call_later(self, delay_s: float, function: Callable[[], None]) -> Timer:
        """Calls a function on the client's thread after a delay."""
        timer = Timer(function)
        with self._lock:
            entry = (time.monotonic() + delay_s, next(self._timer_numbers), timer)
            heapq.heappush(self._timers, entry)
        self._wake()
        return timer

    def is_receiving(self, origin: str) -> bool:
        """Returns whether an answer of an origin is arriving; for any thread.

        Only answers to requests with an idle timeout are considered, since the others are small.
        """
        now_s = time.monotonic()
        return any(
            transfer.progressed_at_s is not None and now_s < transfer.compute_due_s()
            for transfer in list(self._transfers.values())
            if transfer.origin == origin
        )

    def is_own_thread(self) -> bool:
        """Returns whether the caller runs on the client's thread, which must not block."""
        return threading.current_thread() is self._thread

    def close(self) -> None:
        """Fails all requests and ends the thread."""
        with self._lock:
            self._closed = True
        self._wake()
        self._thread.join(5.0)

    def _wake(self) -> None:
        if self.is_own_thread():
            return
        with self._lock:
            if self._is_wake_pending:
                return
            self._is_wake_pending = True
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"x")

    def _run(self) -> None:
        try:
            while not self._closed:
                self._run_once()
        finally:
            # After an unexpected exception as well, callers must not wait forever for this thread.
            with self._lock:
                self._closed = True
            self._fail_all()

    def _run_once(self) -> None:
        self._polled_at_s = time.monotonic()
        for fd, mask in self._epoll.poll(self._compute_wait_s()):
            if fd == self._wake_fd:
                self._clear_wake()
                continue
            bits = pycurl.CSELECT_IN if mask & _READABLE else 0
            if mask & select.EPOLLOUT:
                bits |= pycurl.CSELECT_OUT
            self._multi.socket_action(fd, bits)
        self._start_queued()
        if self._curl_due_s is not None and self._curl_due_s <= time.monotonic():
            self._curl_due_s = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_transfers()
        self._run_timers()

    def _clear_wake(self) -> None:
        # The byte is read before the flag is cleared. In the other order, the byte of a wake-up in
        # between would be read while its flag stays set, and no later wake-up would send a byte.
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(64)
        with self._lock:
            self._is_wake_pending = False

    def _compute_wait_s(self) -> float | None:
        with self._lock:
            if self._queued:
                return 0.0
            due_s = self._timers[0][0] if self._timers else None
        if self._curl_due_s is not None:
            due_s = self._curl_due_s if due_s is None else min(due_s, self._curl_due_s)
        return None if due_s is None else max(0.0, due_s - time.monotonic())

    def _update_registration(self, what: int, fd: int, _multi: object, _data: object) -> None:
        if what == pycurl.POLL_REMOVE:
            if fd in self._registered_sockets:
                self._registered_sockets.discard(fd)
                # libcurl may already have closed the socket, which removes the registration.
                with contextlib.suppress(OSError):
                    self._epoll.unregister(fd)
            return
        events = _EVENT_BITS.get(what)
        if events is None:
            return
        if fd in self._registered_sockets:
            self._epoll.modify(fd, events)
        else:
            self._registered_sockets.add(fd)
            self._epoll.register(fd, events)

    def _set_curl_timer(self, timeout_ms: int) -> None:
        self._curl_due_s = None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1000.0

    def _start_queued(self) -> None:
        while self._queued:
            transfer = self._queued.popleft()
            idle_handles = self._idle_handles.get(transfer.kind)
            handle = idle_handles.pop() if idle_handles else self._make_handle(transfer.request)
            try:
                self._set_options(handle, transfer)
            except (ValueError, TypeError, pycurl.error) as error:
                # Addresses come from other systems; one that cannot be encoded must not end the
                # thread, on which all requests depend.
                handle.close()
                text = f"{transfer.origin}: request not sent: {error}"
                self._resolve(transfer, result.Failure(exceptions.NotSentError(text)))
                continue
            self._transfers[handle] = transfer
            self._multi.add_handle(handle)
            if transfer.request.idle_timeout_s is not None:
                self._check_progress(handle, transfer)

    def _check_progress(self, handle: pycurl.Curl, transfer: _Transfer) -> None:
        """Abandons a transfer whose next part is overdue, or checks again when it is due."""
        if self._transfers.get(handle) is not transfer:
            return
        due_s = transfer.compute_due_s()
        # After a pause of this thread or its process, parts that arrived in time may wait in the
        # socket. The transfer is therefore checked again after the next poll, which reads them.
        if self._polled_at_s < due_s:
            remaining_s = max(0.0, due_s - time.monotonic())
            transfer.timer = self.call_later(
                remaining_s, lambda: self._check_progress(handle, transfer)
            )
            return
        message = f"answer stopped arriving after {transfer.size} bytes of its body"
        self._finish(handle, pycurl.E_OPERATION_TIMEDOUT, message)

    def _make_handle(self, request: Request) -> pycurl.Curl:
        """Returns a handle with the options that are the same for all requests of its kind."""
        handle = pycurl.Curl()
        if request.body is not None:
            handle.setopt(pycurl.POST, 1)
        if request.method != "GET":
            handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.UPLOAD_BUFFERSIZE, _UPLOAD_BUFFER_BYTES)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        return handle

    def _set_options(self, handle: pycurl.Curl, transfer: _Transfer) -> None:
        request = transfer.request
        handle.setopt(pycurl.URL, request.url)
        if request.body is not None:
            handle.setopt(pycurl.POSTFIELDS, request.body)
        # Suppresses the headers that libcurl adds by default, which no server needs.
        headers = ["Accept:", "User-Agent:", "Expect:", *request.headers]
        handle.setopt(pycurl.HTTPHEADER, headers)
        limit_s = request.timeout_s if request.idle_timeout_s is None else _MAX_TRANSFER_S
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(limit_s * 1000)))
        connect_s = min(self._limits.connect_timeout_s, request.timeout_s)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(connect_s * 1000)))
        reuse = self._compute_reuse(transfer.origin)
        handle.setopt(pycurl.FRESH_CONNECT, int(reuse.must_connect))
        handle.setopt(pycurl.MAXAGE_CONN, reuse.max_idle_s)
        handle.setopt(pycurl.PREREQFUNCTION, transfer.handle_request_start)
        # libcurl itself limits the headers of an answer to 300 KB.
        handle.setopt(pycurl.HEADERFUNCTION, transfer.append_header)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.append_body)

    def _record_silence(self, transfer: _Transfer) -> None:
        """Records that a request got no answer, and forgets origins that are trusted again."""
        if len(self._untrusted_since_s) >= _MAX_UNTRUSTED_ORIGINS:
            oldest_s = time.monotonic() - self._limits.idle_connection_s
            self._untrusted_since_s = {
                origin: since_s
                for origin, since_s in self._untrusted_since_s.items()
                if since_s >= oldest_s
            }
        self._untrusted_since_s[transfer.origin] = transfer.queued_at_s

    def _compute_reuse(self, origin: str) -> Reuse:
        since_s, now_s = self._untrusted_since_s.get(origin), time.monotonic()
        if since_s is not None and now_s - since_s > self._limits.idle_connection_s:
            del self._untrusted_since_s[origin]
        return compute_reuse(since_s, now_s, self._limits.idle_connection_s)

    def _finish_transfers(self) -> None:
        while True:
            remaining, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._finish(handle, 0, "")
            for handle, code, message in failed:
                self._finish(handle, code, message)
            if not remaining and not succeeded and not failed:
                return

    def _finish(self, handle: pycurl.Curl, code: int, message: str) -> None:
        transfer = self._transfers.pop(handle)
        if transfer.timer is not None:
            transfer.timer.cancel()
        self.requests_done += 1
        self.connections_made += handle.getinfo(pycurl.NUM_CONNECTS)
        self.bytes_received += handle.getinfo(pycurl.HEADER_SIZE) + transfer.size
        if transfer.sent:
            self.bytes_sent += handle.getinfo(pycurl.REQUEST_SIZE)
            self.bytes_sent += int(handle.getinfo(pycurl.SIZE_UPLOAD_T))
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        if code == pycurl.E_OPERATION_TIMEDOUT and transfer.sent:
            self._record_silence(transfer)
        self._multi.remove_handle(handle)
        idle_handles = self._idle_handles.setdefault(transfer.kind, [])
        if len(idle_handles) < _MAX_IDLE_HANDLES:
            idle_handles.append(handle)
        else:
            handle.close()
        self._resolve(transfer, self._make_result(transfer, status, code, message))
        transfer.release_answer()

    def _make_result(self, transfer: _Transfer, status: int, code: int, message: str) -> HttpResult:
        if code == 0:
            body = b"".join(transfer.body)
            return result.Success(Response(status, tuple(transfer.header_lines), body))
        request = transfer.request
        description = f"{request.method} {transfer.origin}: {message or code}"
        if transfer.size > request.max_body_bytes:
            return result.Failure(
                exceptions.ProtocolError(
                    f"answer exceeds {request.max_body_bytes} bytes: {description}"
                )
            )
        if transfer.sent:
            return result.Failure(exceptions.OutcomeUnknownError(description))
        return result.Failure(exceptions.NotSentError(description))

    def _resolve(self, transfer: _Transfer, outcome: HttpResult) -> None:
        with self._lock:
            self._in_flight[transfer.origin] -= 1
            if self._in_flight[transfer.origin] <= 0:
                del self._in_flight[transfer.origin]
        if transfer.future.set_running_or_notify_cancel():
            transfer.future.set_result(outcome)

    def _run_timers(self) -> None:
        # Timers that are added meanwhile run after the next poll, also those without a delay.
        due: list[Timer] = []
        with self._lock:
            now_s = time.monotonic()
            while self._timers and self._timers[0][0] <= now_s:
                due.append(heapq.heappop(self._timers)[2])
        for timer in due:
            try:
                timer.run()
            except Exception:
                # A failing timer must not end the thread, on which all requests depend.
                _log.exception("timer_failed")

    def _fail_all(self) -> None:
        """Fails the requests that are in flight or queued when the client is closed."""
        for handle, transfer in list(self._transfers.items()):
            self._multi.remove_handle(handle)
            handle.close()
            self._resolve(transfer, self._make_result(transfer, 0, -1, "client closed"))
        for transfer in self._queued:
            self._resolve(transfer, self._make_result(transfer, 0, -1, "client closed"))
        self._multi.close()
        self._epoll.close()
        self._wake_receiver.close()
        self._wake_sender.close()
