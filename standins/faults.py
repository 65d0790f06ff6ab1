"""Fault switches of the stand-ins and the WSGI application that applies them."""

import dataclasses
import hashlib
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from werkzeug import exceptions as http_exceptions
from werkzeug import wrappers

__all__ = [
    "Faults",
    "FaultyApplication",
    "Switches",
    "make_answer_response",
    "make_json_response",
]

Handler = Callable[[wrappers.Request], wrappers.Response]

# Upper bound on the wait of a stalled request, so that no test thread blocks forever.
_MAX_STALL_S = 60.0


@dataclasses.dataclass
class Switches:
    """Faults that a stand-in can inject.

    Switches that are numbers of requests or answers count down to 0, by 1 for each affected one.

    Attributes:
        down: Connections, including those of pending polls, are closed without a response, and
            requests have no effect.
        refused: Requests get status 503 and have no effect.
        refuse_reads: ``GET`` requests get status 503.
        slow_s: Delay before each request takes effect.
        stalled: Requests block, without effect, until the switch is off, as if the process were
            suspended.
        lose_answers: Number of requests that take effect but get no response: the connection is
            closed instead.
        lose_requests: Number of requests that have no effect and whose connection is closed.
        cut_answers: Number of answers whose body is truncated to half its length.
        wrong_digests: Number of answers whose digest header does not match the body.
        wrong_requests: Number of answers whose request identifier header names another request.
        lag_s: Age of the list that the stand-in of the VM list returns.
        fail_everything: The worker fails each task as soon as it starts.
        checkpoint_on_stop: The worker can checkpoint tasks.
    """

    down: bool = False
    refused: bool = False
    refuse_reads: bool = False
    slow_s: float = 0.0
    stalled: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    cut_answers: int = 0
    wrong_digests: int = 0
    wrong_requests: int = 0
    lag_s: float = 0.0
    fail_everything: bool = False
    checkpoint_on_stop: bool = True


class Faults:
    """Current fault switches, safe for use by several threads."""

    def __init__(self, on_change: Callable[[], None] | None = None):
        self._switches = Switches()
        self._condition = threading.Condition()
        self._on_change = on_change

    def set(self, **switches: Any) -> None:
        """Changes the named switches; the others keep their value.

        Raises:
            TypeError: There is no such switch.
        """
        with self._condition:
            self._switches = dataclasses.replace(self._switches, **switches)
            self._condition.notify_all()
        if self._on_change is not None:
            self._on_change()

    def clear(self) -> None:
        """Resets all switches to their defaults."""
        self.set(**dataclasses.asdict(Switches()))

    def get(self) -> Switches:
        """Returns a copy of the switches."""
        with self._condition:
            return dataclasses.replace(self._switches)

    def consume(self, name: str) -> bool:
        """Decrements a switch if it is above 0; returns whether the fault applies."""
        with self._condition:
            left = getattr(self._switches, name)
            if left > 0:
                setattr(self._switches, name, left - 1)
            return left > 0

    def wait_while_stalled(self) -> None:
        """Blocks while the switch ``stalled`` is on, for at most ``_MAX_STALL_S``."""
        with self._condition:
            self._condition.wait_for(lambda: not self._switches.stalled, _MAX_STALL_S)


def make_json_response(body: Any, status: int = 200) -> wrappers.Response:
    """Returns a JSON response."""
    return wrappers.Response(msgspec.json.encode(body), status, content_type="application/json")


def make_answer_response(
    request: wrappers.Request, data: bytes, request_id: str, faults: Faults
) -> wrappers.Response:
    """Returns an answer with its identifier and digest, altered by the answer faults."""
    digest = hashlib.sha256(data).hexdigest()
    if faults.consume("wrong_digests"):
        digest = hashlib.sha256(data + b"-").hexdigest()
    if faults.consume("wrong_requests"):
        request_id = f"other-{request_id}"
    response = wrappers.Response(data, content_type="application/octet-stream")
    response.headers["X-Request-Id"] = request_id
    response.headers["X-Sha256"] = digest
    response.content_length = len(data)
    if faults.consume("cut_answers"):
        # Content-Length stays that of the full body; the connection is closed after half of it.
        response.response = _send_truncated(data, request.environ["standins.break_connection"])
    return response


def _send_truncated(data: bytes, break_connection: Callable[[], None]) -> Iterable[bytes]:
    yield data[: len(data) // 2]
    break_connection()


class FaultyApplication:
    """WSGI application that applies the switches to the requests of a handler.

    ``GET /control/faults`` returns the switches, ``PUT /control/faults`` changes them, and
    ``DELETE /control/faults`` resets them. Faults do not affect paths under ``/control/``.

    Attributes:
        request_count: Requests received so far, except those to paths under ``/control/``.
    """

    def __init__(self, handler: Handler, faults: Faults, control: Handler | None = None):
        self._handler = handler
        self._faults = faults
        self._control = control
        self._count_lock = threading.Lock()
        self.request_count = 0

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serves one request."""
        request = wrappers.Request(environ)
        if request.path.startswith("/control/"):
            return self._serve_control(request)(environ, start_response)
        with self._count_lock:
            self.request_count += 1
        faults = self._faults
        faults.wait_while_stalled()
        switches = faults.get()
        if switches.slow_s > 0:
            time.sleep(switches.slow_s)
        # Read the body first: closing a socket with unread data resets the connection, which the
        # client could notice before it has sent the whole request.
        request.get_data()
        if switches.down or faults.consume("lose_requests"):
            return _break_connection(environ, start_response)
        if switches.refused or (switches.refuse_reads and request.method == "GET"):
            refusal = make_json_response({"error": "unavailable"}, 503)
            return refusal(environ, start_response)
        try:
            response = self._handler(request)
        except http_exceptions.HTTPException as error:
            response = error.get_response(environ)
        if faults.consume("lose_answers") or faults.get().down:
            return _break_connection(environ, start_response)
        return response(environ, start_response)

    def _serve_control(self, request: wrappers.Request) -> wrappers.Response:
        if request.path != "/control/faults":
            if self._control is None:
                return make_json_response({"error": "no such path"}, 404)
            return self._control(request)
        if request.method == "DELETE":
            self._faults.clear()
        elif request.method == "PUT":
            try:
                self._faults.set(**msgspec.json.decode(request.get_data()))
            except (TypeError, msgspec.DecodeError) as error:
                return make_json_response({"error": str(error)}, 400)
        return make_json_response(dataclasses.asdict(self._faults.get()))


def _break_connection(environ: dict, start_response: Callable) -> Iterable[bytes]:
    """Closes the connection, so that the server then fails to write the response."""
    environ["standins.break_connection"]()
    start_response("500 Connection broken on purpose", [("Content-Length", "0")])
    return [b""]
