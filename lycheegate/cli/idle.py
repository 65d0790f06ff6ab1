"""Command that lists jobs that had nothing running, from log files."""

from cleo import helpers

from lycheegate.cli import base, exits
from lycheegate.metrics import idle_jobs

__all__ = ["IdleCommand"]


class IdleCommand(base.LocalCommand):
    """Command that lists jobs that had nothing running for a while, with the logged reasons."""

    name = "idle"
    description = "Lists jobs that had nothing running for 3 s or longer, from log files."
    arguments = [helpers.argument("files", "Log files of the VMs.", multiple=True)]
    options = [base.JSON_OPTION]
    help = """\
Reads the JSON log lines that the daemons write to standard output, and sorts them by time. The exit
code is 2 if there are such jobs.

Example:
  lycheegate idle vm1.log vm2.log
"""

    def handle(self) -> int:
        """Writes one row per time without a run, in order of their begin."""
        lines = self.read_log_lines(self.argument("files"))
        if lines is None:
            return exits.Exit.REFUSED
        report = idle_jobs.find_idle_jobs(lines)
        rows = idle_jobs.list_rows(report.idle)
        if self.option("json"):
            self.write_json([dict(zip(idle_jobs.COLUMNS, row, strict=True)) for row in rows])
        else:
            self.write_table(idle_jobs.COLUMNS, rows)
        if report.skipped:
            self.write_error(f"lines that could not be read: {report.skipped}")
        if report.dropped:
            self.write_error(
                f"lines that the VMs left out, so that the list may be wrong: {report.dropped}"
            )
        return exits.Exit.FINDINGS if rows else exits.Exit.OK
