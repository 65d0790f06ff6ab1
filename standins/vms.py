"""Stand-in of the platform's VM list."""

import collections
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec
from werkzeug import wrappers

from standins import faults as faults_module
from standins import serving

__all__ = ["VmRecord", "VmsStandin", "main"]

_MAX_HISTORY = 1000


class VmRecord(msgspec.Struct, kw_only=True, frozen=True):
    """Record of a VM in the VM list."""

    vm_id: str
    kind: str = "worker"
    endpoint: str = ""
    region: str = ""
    data_centre: str = ""
    rack: str = ""
    slots: int = 0
    accelerators: int = 0
    state: str = "live"


class VmsStandin:
    """VM list over HTTP.

    With the switch ``lag_s``, the list is returned as it was that many seconds ago.
    ``PUT /control/vms`` replaces the list.

    Attributes:
        faults: Fault switches.
        address: ``host:port`` after ``start``.
    """

    def __init__(
        self, port: int = 0, threads: int = 16, wall_clock_s: Callable[[], float] = time.time
    ):
        self.faults = faults_module.Faults()
        self.application = faults_module.FaultyApplication(
            self._serve, self.faults, self._serve_control
        )
        self.address = ""
        self._server = serving.Server(self.application, port, threads)
        self._clock = wall_clock_s
        self._lock = threading.Lock()
        self._history: collections.deque[tuple[float, tuple[VmRecord, ...]]] = collections.deque(
            [(float("-inf"), ())], _MAX_HISTORY
        )

    def start(self) -> None:
        """Starts serving."""
        self._server.start()
        self.address = self._server.address

    def stop(self) -> None:
        """Stops serving."""
        self.faults.set(stalled=False)
        self._server.stop()

    def set_vms(self, *vms: VmRecord) -> None:
        """Replaces the list; earlier versions are kept for ``lag_s``."""
        with self._lock:
            self._history.append((self._clock(), vms))

    def _list_vms(self) -> dict[str, Any]:
        as_of_s = self._clock() - self.faults.get().lag_s
        with self._lock:
            shown = self._history[0][1]
            for since_s, vms in self._history:
                if since_s <= as_of_s:
                    shown = vms
        return {"as_of_s": as_of_s, "vms": shown}

    def _serve(self, request: wrappers.Request) -> wrappers.Response:
        if request.method != "GET" or request.path != "/v1/vms":
            return faults_module.make_json_response({"error": "no such path"}, 404)
        return faults_module.make_json_response(self._list_vms())

    def _serve_control(self, request: wrappers.Request) -> wrappers.Response:
        if request.method != "PUT" or request.path != "/control/vms":
            return faults_module.make_json_response({"error": "no such path"}, 404)
        try:
            vms = msgspec.json.decode(request.get_data(), type=list[VmRecord])
        except msgspec.DecodeError as error:
            return faults_module.make_json_response({"error": str(error)}, 400)
        self.set_vms(*vms)
        return faults_module.make_json_response({})


def main() -> None:
    """Runs a VM list until a signal arrives."""
    arguments = serving.create_parser(__doc__).parse_args()
    serving.run_until_stopped("vms", [VmsStandin(arguments.port)])


if __name__ == "__main__":
    main()
