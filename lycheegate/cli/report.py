"""Reports queueing and completion times."""

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
    """Reports queueing and completion times."""

    name = "report"
    description = "Reports queueing and completion times for each client account and class."
    options = [
        *base.OperatorCommand.options,
        helpers.option("from", None, "Read a saved report instead of asking.", flag=False),
        helpers.option("picture", None, "Draw percentiles into this file.", flag=False),
    ]
    help = """\
The picture needs the extra `report` (matplotlib).

Examples:
  lycheegate report
  lycheegate report --json > monday.json
  lycheegate report --from monday.json --picture monday.png
"""

    def handle(self) -> int:
        """Writes one line for each histogram, or a picture of all."""
        body, exit_code = self._read()
        if body is None:
            return exit_code
        try:
            return self._write(body.get("histograms"))
        except exceptions.ProtocolError as error:
            self.write_error(str(error))
            return exits.Exit.REFUSED

    def _read(self) -> tuple[dict[str, Any] | None, int]:
        path = self.option("from")
        if not path:
            return self.ask("GET", "histograms")
        data = base.read_input(path)
        if isinstance(data, result.Failure):
            self.write_error(data.failure())
            return None, exits.Exit.REFUSED
        try:
            body = json.loads(data.unwrap())
        except ValueError:
            body = None
        if not isinstance(body, dict):
            self.write_error(f"{path} is not a saved report")
            return None, exits.Exit.REFUSED
        return body, exits.Exit.OK

    def _write(self, document: Any) -> int:
        picture = self.option("picture")
        if picture:
            drawn = report.draw_chart(document, pathlib.Path(picture))
            if isinstance(drawn, result.Failure):
                self.write_error(drawn.failure())
                return exits.Exit.REFUSED
            self.write_error(f"{drawn.unwrap()} curves are in {picture}")
        elif not self.option("json"):
            self.write_table(report.COLUMNS, report.list_rows(document))
        return exits.Exit.OK
