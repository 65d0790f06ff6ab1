"""Base classes of the commands: common options, output and requests to an entry VM."""

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

__all__ = [
    "JSON_OPTION",
    "LocalCommand",
    "OperatorCommand",
    "parse_timeout_s",
    "read_input",
    "sanitize",
]

JSON_OPTION = helpers.option("json", None, "Write JSON instead of tables.")
_UNPRINTABLE = re.compile(r"[\x00-\x08\x0b-\x1f\x7f-\x9f]")


class LocalCommand(command.Command):
    """Command that sends no requests to an entry VM."""

    def write(self, text: str) -> None:
        """Writes text to standard output; formatting tags and control characters have no effect."""
        self.line(sanitize(text))

    def write_error(self, text: str) -> None:
        """Writes text to standard error; formatting tags and control characters have no effect."""
        self.line_error(sanitize(text))

    def write_json(self, value: Any) -> None:
        """Writes a value as JSON; formatting tags have no effect."""
        self.line(formatter.Formatter.escape(json.dumps(value, indent=2)))

    def read_log_lines(self, paths: Iterable[str]) -> list[str] | None:
        """Returns the lines of log files in order; reports a file that cannot be read, as None."""
        lines: list[str] = []
        for path in paths:
            data = read_input(path)
            if isinstance(data, result.Failure):
                self.write_error(data.failure())
                return None
            lines += data.unwrap().decode(errors="replace").splitlines()
        return lines

    def write_table(self, headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Writes a table with one line per row."""
        table = self.table(list(headers), [[_format_cell(cell) for cell in row] for row in rows])
        table.set_style("compact")
        table.render()


class OperatorCommand(LocalCommand):
    """Command that sends a request to an entry VM."""

    options = [
        helpers.option("server", "s", "URL of an entry VM or the balancer.", flag=False),
        helpers.option("token-file", None, "File with the operator's token.", flag=False),
        helpers.option(
            "ca-file", None, "PEM file with the CA certificates that verify the server.", flag=False
        ),
        helpers.option(
            "timeout",
            None,
            "Maximum time to wait for an answer, in seconds.",
            flag=False,
            default="30",
        ),
        JSON_OPTION,
    ]

    def send_request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        parameters: Mapping[str, str | None] | None = None,
    ) -> tuple[dict[str, Any] | None, int]:
        """Sends a request to the entry VM and reports any failure on standard error.

        Args:
            method: HTTP method.
            path: Path of the request below ``/v1/operator/``.
            body: Body of the request, if any.
            parameters: Query parameters; those without a value are left out.

        Returns:
            The body of the answer, or None after a failure, and the exit code. With ``--json``, the
            body has already been written.
        """
        query = {key: value for key, value in (parameters or {}).items() if value}
        outcome = self._make_connection().bind(
            lambda connection: client.call(connection, method, path, body, query)
        )
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            self.write_error(error.message)
            return None, error.exit_code
        answer = outcome.unwrap()
        if self.option("json"):
            self.write_json(answer.body)
        if answer.exit_code is not exits.Exit.OK:
            self._report_refusal(answer.body)
            return None, answer.exit_code
        self._warn_missing(answer.body)
        return answer.body, exits.Exit.OK

    def write_findings(self, found: Iterable[Mapping[str, Any]], to_error: bool = True) -> None:
        """Writes findings, one per line, as ``file:line:column: severity: ...``."""
        items = [findings.Finding(**item) for item in found]
        if items:
            write = self.write_error if to_error else self.write
            write(findings.format_findings(items))

    def _make_connection(self) -> result.Result[client.Connection, client.CallError]:
        return parse_timeout_s(self.option("timeout")).bind(
            lambda timeout_s: client.read_connection(
                self.option("server"), self.option("token-file"), self.option("ca-file"), timeout_s
            )
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


def parse_timeout_s(text: str) -> result.Result[float, client.CallError]:
    """Returns the value of the option ``--timeout``, in seconds."""
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0.0 < timeout_s <= 3600.0:
        message = f"--timeout: expected a number of seconds above 0 and at most 3600, got {text!r}"
        return result.Failure(client.CallError(message, exits.Exit.USAGE))
    return result.Success(timeout_s)


def sanitize(text: str) -> str:
    """Returns text with control characters replaced and formatting tags escaped."""
    return formatter.Formatter.escape(_UNPRINTABLE.sub("\N{REPLACEMENT CHARACTER}", text))


def _format_cell(cell: Any) -> str:
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
    return sanitize(text.replace("\n", " ")) or "-"


def read_input(path: str) -> result.Result[bytes, str]:
    """Returns the content of a file, or of standard input for ``-``."""
    try:
        if path == "-":
            return result.Success(sys.stdin.buffer.read())
        with open(path, "rb") as file:
            return result.Success(file.read())
    except OSError as error:
        return result.Failure(f"cannot read {path}: {error.strerror}")
