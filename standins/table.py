"""Stand-in of the platform's table service."""

import msgspec
from returns import result
from werkzeug import routing, wrappers

from lycheegate.clients import table as table_module
from standins import faults as faults_module
from standins import memory, serving

__all__ = ["TableStandin", "main"]

_ROUTES = routing.Map(
    [
        routing.Rule("/v1/transactions", methods=["POST"], endpoint="transact"),
        routing.Rule("/v1/tables/<table>/rows", methods=["GET"], endpoint="scan"),
        routing.Rule("/v1/tables/<table>/rows/<path:key>", methods=["GET"], endpoint="read"),
    ],
    merge_slashes=False,
)
_MAX_SCAN_ROWS = 1000


class _OperationBody(msgspec.Struct, forbid_unknown_fields=True):
    op: table_module.OperationKind
    table: str
    key: str
    value: dict | None = None
    if_version: int | None = None


class _TransactionBody(msgspec.Struct, forbid_unknown_fields=True):
    ops: list[_OperationBody]


class TableStandin:
    """Table service over HTTP that keeps its rows in memory.

    Attributes:
        rows: The rows; direct access is not subject to the fault switches.
        faults: Fault switches.
        address: ``host:port`` after ``start``.
    """

    def __init__(self, port: int = 0, threads: int = 32):
        self.rows = memory.MemoryTable()
        self.faults = faults_module.Faults()
        self.application = faults_module.FaultyApplication(self._serve, self.faults)
        self._server = serving.Server(self.application, port, threads)
        self.address = ""

    @property
    def request_count(self) -> int:
        """Requests received so far, including those that met a fault."""
        return self.application.request_count

    def start(self) -> None:
        """Starts serving."""
        self._server.start()
        self.address = self._server.address

    def stop(self) -> None:
        """Stops serving; the rows are kept."""
        self.faults.set(stalled=False)
        self._server.stop()

    def _serve(self, request: wrappers.Request) -> wrappers.Response:
        endpoint, arguments = _ROUTES.bind_to_environ(request.environ).match()
        if endpoint == "transact":
            return self._transact(request)
        if endpoint == "read":
            row = self.rows.get(arguments["table"], arguments["key"])
            if row is None:
                return faults_module.make_json_response({"error": "absent"}, 404)
            body = {"value": row.value, "version": row.version}
            return faults_module.make_json_response(body)
        limit = min(request.args.get("limit", _MAX_SCAN_ROWS, int), _MAX_SCAN_ROWS)
        prefix, after = request.args.get("prefix", ""), request.args.get("after", "")
        rows = self.rows.list_rows(arguments["table"], prefix, after, limit)
        return faults_module.make_json_response({"rows": rows})

    def _transact(self, request: wrappers.Request) -> wrappers.Response:
        try:
            body = msgspec.json.decode(request.get_data(), type=_TransactionBody)
        except msgspec.DecodeError as error:
            return faults_module.make_json_response({"error": str(error)}, 400)
        operations = [
            table_module.Operation(op.op, op.table, op.key, op.value, op.if_version)
            for op in body.ops
        ]
        outcome = self.rows.apply(operations)
        if isinstance(outcome, result.Success):
            return faults_module.make_json_response({"versions": outcome.unwrap()})
        error = outcome.failure()
        failed = {"failed": error.index, "version": error.version, "value": error.value}
        return faults_module.make_json_response(failed, 409)


def main() -> None:
    """Runs a table service until a signal arrives."""
    arguments = serving.create_parser(__doc__).parse_args()
    serving.run_until_stopped("table", [TableStandin(arguments.port)])


if __name__ == "__main__":
    main()
