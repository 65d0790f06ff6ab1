"""Command that reports queueing and completion times."""

import json
import pathlib
from typing import Any

from cleo import helpers
from returns import result

from lycheegate.cli import base, exits
from lycheegate.metrics import report
from lycheegate.utils import exceptions

__all__ = ["ReportCommand"]


class ReportCommand(base.OperatorCommand):
    """Command that reports queueing and completion times."""

    name = "report"
    description = "Reports queueing and completion times for each client account and class."
    options = [
        *base.OperatorCommand.options,
        helpers.option(
            "from", None, "Read a saved report instead of sending a request.", flag=False
        ),
        helpers.option(
            "picture", None, "Draw the percentiles as a chart in this file.", flag=False
        ),
    ]
    help = """\
Option --picture requires the extra `report` (matplotlib).

Examples:
  lycheegate report
  lycheegate report --json > monday.json
  lycheegate report --from monday.json --picture monday.png
"""

    def handle(self) -> int:
        """Writes one line per histogram, or draws all as a chart."""
        body, exit_code = self._read_report()
        if body is None:
            return exit_code
        try:
            return self._write_report(body.get("histograms"))
        except exceptions.ProtocolError as error:
            self.write_error(str(error))
            return exits.Exit.REFUSED

    def _read_report(self) -> tuple[dict[str, Any] | None, int]:
        path = self.option("from")
        if not path:
            return self.send_request("GET", "histograms")
        data = base.read_input(path)
        if isinstance(data, result.Failure):
            self.write_error(data.failure())
            return None, exits.Exit.REFUSED
        try:
            body = json.loads(data.unwrap())
        except ValueError:
            body = None
        if not isinstance(body, dict):
            self.write_error(f"{path} is not a report saved with `lycheegate report --json`")
            return None, exits.Exit.REFUSED
        return body, exits.Exit.OK

    def _write_report(self, document: Any) -> int:
        picture = self.option("picture")
        if picture:
            outcome = report.draw_chart(document, pathlib.Path(picture))
            if isinstance(outcome, result.Failure):
                self.write_error(outcome.failure())
                return exits.Exit.REFUSED
            self.write_error(f"wrote {outcome.unwrap()} curves to {picture}")
        elif not self.option("json"):
            self.write_table(report.COLUMNS, report.list_rows(document))
        return exits.Exit.OK
