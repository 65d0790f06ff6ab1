"""Command that prints the trace of one request from log files."""

from cleo import helpers

from lycheegate.cli import base, exits
from lycheegate.metrics import request_trace

__all__ = ["ExplainCommand"]


class ExplainCommand(base.LocalCommand):
    """Command that prints the trace of one request from log files."""

    name = "explain"
    description = "Prints the trace of one request from log files."
    arguments = [
        helpers.argument("id", "Identifier of the request."),
        helpers.argument("files", "Log files of the VMs.", multiple=True),
    ]
    help = """\
Reads the JSON log lines that the daemons write to standard output, in the order of the files.

Example:
  lycheegate explain 5c0e7a21d94b36f8 vm1.log vm2.log
"""

    def handle(self) -> int:
        """Writes one line per log line that concerns the request."""
        lines = self.read_log_lines(self.argument("files"))
        if lines is None:
            return exits.Exit.REFUSED
        trace = request_trace.find_request_trace(lines, self.argument("id"))
        if not trace:
            self.write_error(f"no log line mentions request {self.argument('id')}")
            return exits.Exit.REFUSED
        for line in trace:
            self.write(request_trace.format_line(line))
        return exits.Exit.OK
