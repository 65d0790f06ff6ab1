"""Runs one entry VM: ``python -m lycheegate.entry settings.yaml``."""

import faulthandler
import pathlib
import signal
import sys

from returns import result

from lycheegate.entry import daemon
from lycheegate.settings import loader
from lycheegate.utils import findings


def main(arguments: list[str]) -> int:
    """Runs an entry VM until it is drained; returns the exit status of the process."""
    # SIGUSR1 writes the stacks of all threads, to diagnose a process that hangs.
    faulthandler.register(signal.SIGUSR1)
    match loader.load_settings(pathlib.Path(arguments[0])):
        case result.Success(settings):
            return daemon.run(settings, _announce)
        case result.Failure(found):
            print(findings.format_findings(found), file=sys.stderr)
    return 2


def _announce(started: daemon.Daemon) -> None:
    print(f"entry http://{started.callers_address}", flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
