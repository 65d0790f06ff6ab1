"""Command that runs an entry VM."""

import pathlib

from cleo import helpers
from returns import result

from lycheegate.cli import base, exits
from lycheegate.settings import loader
from lycheegate.utils import findings

__all__ = ["EntryCommand"]


class EntryCommand(base.LocalCommand):
    """Command that runs an entry VM until it is drained."""

    name = "entry"
    description = "Runs an entry VM until it is drained."
    options = [
        helpers.option("settings", None, "Settings file in YAML.", flag=False),
        helpers.option("check", None, "Check the settings without starting the VM."),
    ]
    help = """\
SIGTERM drains the VM: it accepts no new requests, hands over its partitions and answers the
requests in flight.
Exit code 2: the settings are invalid; all findings are written and nothing was started.

Examples:
  lycheegate entry --settings /etc/lycheegate/entry.yaml
  lycheegate entry --settings entry.yaml --check
"""

    def handle(self) -> int:
        """Loads the settings and runs the daemon."""
        path = self.option("settings")
        if not path:
            self.write_error("no settings: give --settings FILE")
            return exits.Exit.USAGE
        loaded = loader.load_settings(pathlib.Path(path))
        if isinstance(loaded, result.Failure):
            self.write_error(findings.format_findings(loaded.failure()))
            return exits.Exit.FINDINGS
        if self.option("check"):
            self.write(f"{path}: no findings")
            return exits.Exit.OK
        # Imported here, because the other commands require neither the daemon nor its libraries.
        from lycheegate.entry import daemon

        return daemon.run(loaded.unwrap())
