"""Fault switches of the stand-ins, and the web application part that applies them."""

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

# A stalled request ends after this time, so that no thread of a test waits without bound.
_MAX_STALL_S = 60.0


@dataclasses.dataclass
class Switches:
    """Faults that a stand-in can show. Numbers of requests count down to 0.

    Attributes:
        down: Connections are closed without an answer and without effect, waiting polls included.
        refused: Requests get status 503 without effect.
        refuse_reads: Only ``GET`` requests get status 503.
        slow_s: Delay before each request takes effect.
        stalled: Requests wait, without effect, until the switch is off; a paused process.
        lose_answers: Requests that take effect and whose connection is then closed.
        lose_requests: Requests without effect whose connection is closed.
        cut_answers: Answers whose body is cut in half.
        wrong_digests: Answers whose digest header is wrong.
        wrong_requests: Answers whose request identifier header belongs to another request.
        lag_s: Age of the state that the VM list shows.
        fail_everything: The worker fails each task as soon as it starts.
        checkpoint_on_stop: The worker is able to checkpoint tasks.
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
    """Thread-safe holder of the switches."""

    def __init__(self, on_change: Callable[[], None] | None = None):
        self._switches = Switches()
        self._condition = threading.Condition()
        self._on_change = on_change

    def set(self, **switches: Any) -> None:
        """Changes switches; the others keep their value.

        Raises:
            TypeError: There is no such switch.
        """
        with self._condition:
            self._switches = dataclasses.replace(self._switches, **switches)
            self._condition.notify_all()
        if self._on_change is not None:
            self._on_change()

    def clear(self) -> None:
        """Puts all switches back to their defaults."""
        self.set(**dataclasses.asdict(Switches()))

    def get(self) -> Switches:
        """Returns a copy of the switches."""
        with self._condition:
            return dataclasses.replace(self._switches)

    def take(self, name: str) -> bool:
        """Counts a switch down; returns whether it was above 0."""
        with self._condition:
            left = getattr(self._switches, name)
            if left > 0:
                setattr(self._switches, name, left - 1)
            return left > 0

    def wait_while_stalled(self) -> None:
        """Returns when the switch ``stalled`` is off."""
        with self._condition:
            self._condition.wait_for(lambda: not self._switches.stalled, _MAX_STALL_S)


def make_json_response(body: Any, status: int = 200) -> wrappers.Response:
    """Returns a JSON response."""
    return wrappers.Response(msgspec.json.encode(body), status, content_type="application/json")


def make_answer_response(
    request: wrappers.Request, data: bytes, request_id: str, faults: Faults
) -> wrappers.Response:
    """Returns an answer with its digest, after the answer faults."""
    digest = hashlib.sha256(data).hexdigest()
    if faults.take("wrong_digests"):
        digest = hashlib.sha256(data + b"-").hexdigest()
    if faults.take("wrong_requests"):
        request_id = f"other-{request_id}"
    response = wrappers.Response(data, content_type="application/octet-stream")
    response.headers["X-Request-Id"] = request_id
    response.headers["X-Sha256"] = digest
    response.content_length = len(data)
    if faults.take("cut_answers"):
        # The declared length stays, and the connection is closed after the shorter body.
        response.response = _send_cut(data, request.environ["standins.break_connection"])
    return response


def _send_cut(data: bytes, break_connection: Callable[[], None]) -> Iterable[bytes]:
    yield data[: len(data) // 2]
    break_connection()


class FaultyApplication:
    """WSGI application that applies the switches around a handler.

    ``GET /control/faults`` shows the switches, ``PUT /control/faults`` changes them, and
    ``DELETE /control/faults`` puts them back. Paths under ``/control/`` show no faults.
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
        # The body is read before a connection is closed: closing a socket with unread data
        # resets it, which the client could notice before it has sent the whole request.
        request.get_data()
        if switches.down or faults.take("lose_requests"):
            return _break_connection(environ, start_response)
        if switches.refused or (switches.refuse_reads and request.method == "GET"):
            refusal = make_json_response({"error": "unavailable"}, 503)
            return refusal(environ, start_response)
        try:
            response = self._handler(request)
        except http_exceptions.HTTPException as error:
            response = error.get_response(environ)
        if faults.take("lose_answers") or faults.get().down:
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
    """Closes the connection; the server's later write of the response fails."""
    environ["standins.break_connection"]()
    start_response("500 Connection broken on purpose", [("Content-Length", "0")])
    return [b""]
