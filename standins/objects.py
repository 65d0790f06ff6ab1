"""Stand-in of the platform's object store."""

import threading

from werkzeug import wrappers

from standins import faults as faults_module
from standins import serving

__all__ = ["ObjectsStandin", "main"]

_PREFIX = "/v1/objects/"


class ObjectsStandin:
    """Object store over HTTP that keeps its objects in memory.

    Attributes:
        objects: The objects by key; direct access is not subject to the fault switches.
        faults: Fault switches.
        address: ``host:port`` after ``start``.
    """

    def __init__(self, port: int = 0, threads: int = 32):
        self.objects: dict[str, bytes] = {}
        self.faults = faults_module.Faults()
        self.application = faults_module.FaultyApplication(self._serve, self.faults)
        self.address = ""
        self._server = serving.Server(self.application, port, threads)
        self._lock = threading.Lock()

    @property
    def request_count(self) -> int:
        """Requests received so far, including those that met a fault."""
        return self.application.request_count

    def start(self) -> None:
        """Starts serving."""
        self._server.start()
        self.address = self._server.address

    def stop(self) -> None:
        """Stops serving; the objects are kept."""
        self.faults.set(stalled=False)
        self._server.stop()

    def _serve(self, request: wrappers.Request) -> wrappers.Response:
        if not request.path.startswith(_PREFIX) or request.path == _PREFIX:
            return faults_module.make_json_response({"error": "no such path"}, 404)
        key = request.path.removeprefix(_PREFIX)
        with self._lock:
            if request.method == "PUT":
                self.objects[key] = request.get_data()
                return wrappers.Response(status=204)
            if request.method == "DELETE":
                self.objects.pop(key, None)
                return wrappers.Response(status=204)
            data = self.objects.get(key)
        if request.method != "GET":
            return faults_module.make_json_response({"error": "no such method"}, 405)
        if data is None:
            return faults_module.make_json_response({"error": "absent"}, 404)
        return faults_module.make_answer_response(request, data, key, self.faults)


def main() -> None:
    """Runs an object store until a signal arrives."""
    arguments = serving.create_parser(__doc__).parse_args()
    serving.run_until_stopped("objects", [ObjectsStandin(arguments.port)])


if __name__ == "__main__":
    main()
