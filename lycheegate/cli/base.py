"""Parts that the commands share: options, output and exit codes."""

import json
import re
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from cleo import helpers
from cleo.commands import command
from cleo.formatters import formatter
from returns import result

from lycheegate.cli import client, exits
from lycheegate.utils import findings

__all__ = ["JSON_OPTION", "LocalCommand", "OperatorCommand", "clean", "read_input"]

JSON_OPTION = helpers.option("json", None, "Write JSON instead of tables.")
_UNPRINTABLE = re.compile(r"[\x00-\x08\x0b-\x1f\x7f-\x9f]")


class LocalCommand(command.Command):
    """Command that needs no entry VM."""

    def write(self, text: str) -> None:
        """Writes text as it is, without formatting tags and control characters."""
        self.line(clean(text))

    def write_error(self, text: str) -> None:
        """Writes text to standard error."""
        self.line_error(clean(text))

    def write_json(self, value: Any) -> None:
        """Writes a value as JSON, without formatting tags."""
        self.line(formatter.Formatter.escape(json.dumps(value, indent=2)))

    def write_table(self, headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Writes a table with one line for each row."""
        table = self.table(list(headers), [[_show(cell) for cell in row] for row in rows])
        table.set_style("compact")
        table.render()


class OperatorCommand(LocalCommand):
    """Command that asks an entry VM."""

    options = [
        helpers.option("server", "s", "URL of an entry VM or the balancer.", flag=False),
        helpers.option("token-file", None, "File with the operator's token.", flag=False),
        helpers.option("ca-file", None, "PEM file to verify the server with.", flag=False),
        helpers.option(
            "timeout", None, "Longest wait for an answer, in seconds.", flag=False, default="30"
        ),
        JSON_OPTION,
    ]

    def ask(
        self,
        method: str,
        name: str,
        body: bytes | None = None,
        parameters: Mapping[str, str | None] | None = None,
    ) -> tuple[dict[str, Any] | None, int]:
        """Asks the entry VM and reports any failure.

        Returns:
            The answer or, after a failure, None; and the exit code. With ``--json`` the answer
            has been written already.
        """
        given = {key: value for key, value in (parameters or {}).items() if value}
        outcome = self._connect().bind(
            lambda connection: client.call(connection, method, name, body, given)
        )
        if isinstance(outcome, result.Failure):
            problem = outcome.failure()
            self.write_error(problem.message)
            return None, problem.exit_code
        answer = outcome.unwrap()
        if self.option("json"):
            self.write_json(answer.body)
        if answer.exit_code is not exits.Exit.OK:
            self._report_refusal(answer.body)
            return None, answer.exit_code
        self._warn_missing(answer.body)
        return answer.body, exits.Exit.OK

    def write_findings(self, found: Iterable[Mapping[str, Any]], to_error: bool = True) -> None:
        """Writes findings, one line each, as ``file:line:column: severity: ...``."""
        items = [findings.Finding(**item) for item in found]
        if items:
            write = self.write_error if to_error else self.write
            write(findings.format_findings(items))

    def _connect(self) -> result.Result[client.Connection, client.Problem]:
        try:
            timeout_s = float(self.option("timeout"))
        except ValueError:
            timeout_s = 0.0
        if not 0.0 < timeout_s <= 3600.0:
            message = "--timeout must be a number, more than 0 and at most 3600"
            return result.Failure(client.Problem(message, exits.Exit.USAGE))
        return client.read_connection(
            self.option("server"), self.option("token-file"), self.option("ca-file"), timeout_s
        )

    def _report_refusal(self, body: Mapping[str, Any]) -> None:
        self.write_findings(body.get("findings", ()))
        self.write_error(f"{body.get('error', 'refused')}: {body.get('message', '')}")
        for release in body.get("between", ()):
            self.write_error(
                f"release {release['number']} by {release['operator']} at "
                f"{release['accepted_at']}: {release['note']}"
            )
            for change in release["changes"]:
                self.write_error(
                    f"  {change['kind']} {change['subject']} {change['name']}: {change['detail']}"
                )
        if body.get("missing"):
            self.write_error(f"no answer from: {', '.join(body['missing'])}")

    def _warn_missing(self, body: Mapping[str, Any]) -> None:
        if body.get("missing"):
            names = ", ".join(body["missing"])
            self.write_error(f"the answer is incomplete: no answer from {names}")


def clean(text: str) -> str:
    """Returns text without control characters and with formatting tags made inert."""
    return formatter.Formatter.escape(_UNPRINTABLE.sub("\N{REPLACEMENT CHARACTER}", text))


def _show(cell: Any) -> str:
    if cell is None:
        text = "-"
    elif isinstance(cell, bool):
        text = "yes" if cell else "no"
    elif isinstance(cell, float):
        text = f"{cell:.1f}"
    elif isinstance(cell, list | tuple):
        text = ", ".join(str(item) for item in cell)
    else:
        text = str(cell)
    return clean(text.replace("\n", " ")) or "-"


def read_input(path: str) -> result.Result[bytes, str]:
    """Returns the content of a file, or of standard input for ``-``."""
    try:
        if path == "-":
            return result.Success(sys.stdin.buffer.read())
        with open(path, "rb") as file:
            return result.Success(file.read())
    except OSError as error:
        return result.Failure(f"cannot read {path}: {error.strerror}")
