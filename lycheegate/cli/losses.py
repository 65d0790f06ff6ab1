"""Command that summarizes lost work from log files."""

from cleo import helpers

from lycheegate.cli import base, exits
from lycheegate.metrics import losses

__all__ = ["LossesCommand"]


class LossesCommand(base.LocalCommand):
    """Command that summarizes the work that was lost with runs, by cause."""

    name = "losses"
    description = "Summarizes the work that was lost with runs, by cause, from log files."
    arguments = [helpers.argument("files", "Log files of the VMs.", multiple=True)]
    options = [base.JSON_OPTION]
    help = """\
Reads the JSON log lines that the daemons write to standard output.

Example:
  lycheegate losses vm1.log vm2.log
"""

    def handle(self) -> int:
        """Writes one row per cause, the largest loss first."""
        lines = self.read_log_lines(self.argument("files"))
        if lines is None:
            return exits.Exit.REFUSED
        rows = losses.list_rows(losses.summarize_losses(lines))
        if self.option("json"):
            self.write_json([dict(zip(losses.COLUMNS, row, strict=True)) for row in rows])
        else:
            self.write_table(losses.COLUMNS, rows)
        return exits.Exit.OK
