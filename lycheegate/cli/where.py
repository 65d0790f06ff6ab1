"""Command that shows where a job would be placed now, and why."""

import collections
import re
from collections.abc import Iterable, Mapping
from typing import Any

from cleo import helpers
from returns import result

from lycheegate.cli import base, client, exits

__all__ = ["WhereCommand"]

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_PATH = "/where"
_EXIT_BY_ERROR = {
    "holder_changed": exits.Exit.LOST_RACE,
    "failed": exits.Exit.DEFECT,
    **dict.fromkeys(
        (
            "busy",
            "configuration_not_confirmed",
            "holder_silent",
            "no_holder",
            "not_loaded",
            "too_long",
        ),
        exits.Exit.UNREACHABLE,
    ),
}
"""Exit codes of errors; those that are not listed are refusals."""
_GROUP_COLUMNS = ("data centre", "rack", "workers", "fitting", "chosen", "excluded")


class WhereCommand(base.LocalCommand):
    """Command that shows where a job would be placed now, and why."""

    name = "where"
    description = "Shows where a job would be placed now, and why, without submitting it."
    arguments = [
        helpers.argument(
            "job", "File with the submission, - for standard input, or identifier of a waiting job."
        )
    ]
    options = [
        helpers.option("server", "s", "URL of the readiness address of a VM.", flag=False),
        helpers.option("queue", None, "Name of the queue.", flag=False),
        helpers.option("host", None, "Host of the queue, instead of its name.", flag=False),
        helpers.option("path", None, "Path of the queue on that host.", flag=False),
        helpers.option("id", None, "Identifier that the submission would have.", flag=False),
        helpers.option("key-file", None, "File with the caller's key.", flag=False),
        helpers.option(
            "ca-file", None, "PEM file with the CA certificates that verify the server.", flag=False
        ),
        helpers.option(
            "timeout",
            None,
            "Maximum time to wait for an answer, in seconds.",
            flag=False,
            default="10",
        ),
        base.JSON_OPTION,
    ]
    help = """\
Asks a VM, which asks the holder of the scheduler's term. Nothing is submitted or stored. An
argument of 16 hexadecimal digits is the identifier of a waiting job; write ./NAME for such a file.

The server and the key are also read from LYCHEEGATE_READY_SERVER, LYCHEEGATE_KEY_FILE and
LYCHEEGATE_KEY. The exit code is 2 if some tasks that are due would not start now.

Example:
  lycheegate where job.json --queue urgent --server http://10.0.0.1:7001 --key-file key
"""

    def handle(self) -> int:
        """Writes the preview as text or JSON."""
        outcome = self._ask()
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            self.write_error(error.message)
            if error.is_malformed:
                self.write_error("is this the readiness address of a VM, of a build with previews?")
            return error.exit_code
        body = outcome.unwrap().body
        if self.option("json"):
            self.write_json(body)
        if "error" in body or not isinstance(body.get("preview"), dict):
            name = str(body.get("error", "unreadable"))
            self.write_error(f"{name}: {body.get('message', '')}")
            return _EXIT_BY_ERROR.get(name, exits.Exit.REFUSED)
        found = body["preview"]
        if not self.option("json"):
            self._write_preview(found)
        is_waiting = any(step["reason"] for step in found["steps"])
        return exits.Exit.FINDINGS if is_waiting else exits.Exit.OK

    def _ask(self) -> result.Result[client.Answer, client.CallError]:
        """Sends the question to the VM."""
        connection = base.parse_timeout_s(self.option("timeout")).bind(
            lambda timeout_s: client.read_key_connection(
                self.option("server"), self.option("key-file"), self.option("ca-file"), timeout_s
            )
        )
        return connection.bind(self._ask_server)

    def _ask_server(
        self, connection: client.Connection
    ) -> result.Result[client.Answer, client.CallError]:
        names = ("queue", "host", "path", "id")
        given = {name: self.option(name) for name in names if self.option(name) is not None}
        subject = self.argument("job")
        if _JOB_ID.fullmatch(subject):
            if given:
                text = f"--{next(iter(given))} is not used with the identifier of a job"
                return _make_usage_error(text)
            return client.call(connection, "GET", "", None, {"job": subject}, _PATH)
        if ("queue" in given) == ("host" in given) or ("host" in given) != ("path" in given):
            return _make_usage_error("give either --queue, or --host and --path")
        data = base.read_input(subject)
        if isinstance(data, result.Failure):
            return result.Failure(client.CallError(data.failure(), exits.Exit.REFUSED))
        if "id" in given:
            given["job"] = given.pop("id")
        return client.call(
            connection, "POST", "", data.unwrap(), given, _PATH, content_type="application/json"
        )

    def _write_preview(self, found: Mapping[str, Any]) -> None:
        account = found["account"] or "none"
        self.write(
            f"job {found['job']}: account {account}, queue {found['queue']}, "
            f"service {found['service']}"
        )
        if found["level"] is not None:
            late = ", its objective can no longer be met" if found["late"] else ""
            self.write(f"level {found['level']}{late}; {found['units_waiting']} units wait in all")
        if found["due_in_s"]:
            self.write(f"not due for {found['due_in_s']:.1f} s")
        for step in found["steps"]:
            self._write_step(step)

    def _write_step(self, step: Mapping[str, Any]) -> None:
        before = step["units_before"]
        self.write(f"\nstep {step['step']}: {step['tasks']} tasks, {before} units before it")
        for line in _format_step(step):
            self.write(f"  {line}")
        rows = [
            [
                group["data_centre"],
                group["rack"],
                group["workers"],
                group["fitting"],
                group["chosen"],
                [f"{count} {reason}" for reason, count in sorted(group["excluded"].items())],
            ]
            for group in step["groups"]
        ]
        if rows:
            self.write_table(_GROUP_COLUMNS, rows)


def _format_step(step: Mapping[str, Any]) -> Iterable[str]:
    """Returns the lines that describe what would happen with a step."""
    if step["placed"]:
        yield f"starts now: {_format_workers(step['placed'])}"
    if step["reserved"]:
        yield f"room reserved: {_format_workers(step['reserved'])}"
    if step["ends_in_s"] is not None:
        source = "learned" if step["learned"] else "from the declared durations"
        yield (
            f"takes {step['duration_s']:.1f} s ({source}): starts in {step['starts_in_s']:.1f} s, "
            f"ends in {step['ends_in_s']:.1f} s"
        )
    for victim in step["victims"]:
        job = victim["job"] or "of another account"
        yield f"stops {victim['tasks']} tasks of job {job}, queue {victim['queue']}"
    if step["victims"]:
        yield f"work lost by that: {step['lost_core_s']:.1f} core-seconds"
    if step["awaited"]:
        yield f"awaits the end of {step['awaited']} units"
    if step["reason"]:
        fields = "".join(f", {name} {value}" for name, value in step["reason_fields"].items())
        yield f"tasks wait: {step['reason']}{fields}"


def _format_workers(placed: Iterable[tuple[int, str]]) -> str:
    counts = collections.Counter(worker_id for _, worker_id in placed)
    return ", ".join(f"{worker_id} ({count})" for worker_id, count in counts.items())


def _make_usage_error(message: str) -> result.Failure:
    return result.Failure(client.CallError(message, exits.Exit.USAGE))
