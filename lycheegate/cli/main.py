"""Entry point of the command line."""

import sys

from cleo import application, exceptions
from cleo.io.inputs import argv_input
from cleo.io.outputs import output

import lycheegate
from lycheegate.cli import (
    callers,
    durations,
    entry,
    exits,
    explain,
    idle,
    keys,
    lists,
    losses,
    release,
    report,
    where,
)

__all__ = ["main", "make_application", "run"]


def make_application() -> application.Application:
    """Returns the application with all commands."""
    app = application.Application("lycheegate", lycheegate.__version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in (
        entry.EntryCommand,
        keys.NewKeyCommand,
        *release.COMMANDS,
        *callers.COMMANDS,
        *lists.COMMANDS,
        report.ReportCommand,
        explain.ExplainCommand,
        losses.LossesCommand,
        idle.IdleCommand,
        durations.DurationsCommand,
        where.WhereCommand,
    ):
        app.add(command())
    return app


def run(
    arguments: list[str],
    standard_output: output.Output | None = None,
    error_output: output.Output | None = None,
) -> int:
    """Runs one command and returns its exit code."""
    app = make_application()
    source = argv_input.ArgvInput(["lycheegate", *arguments])
    source.set_stream(sys.stdin)
    try:
        return int(app.run(source, standard_output, error_output))
    except exceptions.CleoError as error:
        text = f"{error}\nSee `lycheegate list` and `lycheegate COMMAND --help`."
        if error_output is not None:
            error_output.write_line(text)
        else:
            print(text, file=sys.stderr)
        return exits.Exit.USAGE


def main() -> None:
    """Runs the command line of this process."""
    sys.exit(run(sys.argv[1:]))
