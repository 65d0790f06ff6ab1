"""Command that lists learned factors of durations, from log files."""

from cleo import helpers

from lycheegate.cli import base, exits
from lycheegate.metrics import learned_durations

__all__ = ["DurationsCommand"]


class DurationsCommand(base.LocalCommand):
    """Command that lists how long workers take, and how wrong declared durations are."""

    name = "durations"
    description = "Lists the learned speeds of workers and errors of queues, from log files."
    arguments = [helpers.argument("files", "Log files of the VMs.", multiple=True)]
    options = [base.JSON_OPTION]
    help = """\
Reads the JSON log lines that the daemons write to standard output. The factor of a worker is the
time that it takes for a task, relative to a typical worker; that of a queue is the true duration of
its work, relative to the declared one. Each is the latest that a holder has logged.

Example:
  lycheegate durations vm1.log vm2.log
"""

    def handle(self) -> int:
        """Writes one row for each worker, the slowest first, and then for each queue."""
        lines = self.read_log_lines(self.argument("files"))
        if lines is None:
            return exits.Exit.REFUSED
        rows = learned_durations.list_rows(learned_durations.find_factors(lines))
        if self.option("json"):
            columns = learned_durations.COLUMNS
            self.write_json([dict(zip(columns, row, strict=True)) for row in rows])
        else:
            texts = [(kind, name, f"{factor:.2f}", *rest) for kind, name, factor, *rest in rows]
            self.write_table(learned_durations.COLUMNS, texts)
        return exits.Exit.OK
