"""Commands that check, plan and apply release notes, and show releases."""

from collections.abc import Mapping
from typing import Any

from cleo import helpers
from returns import result

from lycheegate.cli import base, exits

__all__ = ["COMMANDS"]

_NOTE = helpers.argument("note", "Release note in YAML; - reads standard input.")


class _NoteCommand(base.OperatorCommand):
    arguments = [_NOTE]

    def send_note(self, name: str) -> tuple[dict[str, Any] | None, int]:
        """Sends the note to the entry VM; returns the same as ``send_request``."""
        path = self.argument("note")
        data = base.read_input(path)
        if isinstance(data, result.Failure):
            self.write_error(data.failure())
            return None, exits.Exit.REFUSED
        return self.send_request("POST", f"release/{name}", data.unwrap(), {"file": path})

    def write_changes(self, body: Mapping[str, Any]) -> None:
        """Writes a table of the changes."""
        rows = [[c["kind"], c["subject"], c["name"], c["detail"]] for c in body["changes"]]
        self.write_table(["change", "subject", "name", "detail"], rows)


class CheckCommand(_NoteCommand):
    """Command that checks a note."""

    name = "release check"
    description = "Checks a release note and reports all findings."
    help = """\
Exit code 2: the note has errors. This command never changes anything.

Examples:
  lycheegate release check spring.yaml
  generate-note | lycheegate release check - --json
"""

    def handle(self) -> int:
        """Writes the findings to standard output."""
        body, exit_code = self.send_note("check")
        if body is None:
            return exit_code
        if not self.option("json"):
            self.write_findings(body["findings"], to_error=False)
            state = "can be applied" if body["ok"] else "has errors"
            self.write(f"the note {state}; newest release: {body['checked_against']}")
        return exits.Exit.OK if body["ok"] else exits.Exit.FINDINGS


class PlanCommand(_NoteCommand):
    """Command that shows what a note would change."""

    name = "release plan"
    description = "Shows what a release note would change and which guarantees it moves."
    help = """\
Exit code 2: the note has errors. This command never changes anything.

Example:
  lycheegate release plan spring.yaml
"""

    def handle(self) -> int:
        """Writes the changes and the moved guarantees."""
        body, exit_code = self.send_note("plan")
        if body is None or self.option("json"):
            return exit_code
        self.write_findings(body["findings"])
        self.write(f"release {body['number']} would make these changes:")
        self.write_changes(body)
        if body["moves"]:
            self.write("\nthe homes of these guarantees would change:")
            rows = [[m["client_account"], m["name"], m["old"], m["new"]] for m in body["moves"]]
            self.write_table(["client account", "guarantee", "from", "to"], rows)
        return exits.Exit.OK


class ApplyCommand(_NoteCommand):
    """Command that applies a note."""

    name = "release apply"
    description = "Applies a release note."
    help = """\
The note is applied as a whole or not at all. Applying it again is harmless.
Exit code 2: the note has errors. 4: nothing was applied; try again. 5: another release was
accepted first; its changes are shown. 6: the outcome is unknown; apply the same note again.

Example:
  lycheegate release apply spring.yaml
"""

    def handle(self) -> int:
        """Writes the number and the changes of the release."""
        body, exit_code = self.send_note("apply")
        if body is None or self.option("json"):
            return exit_code
        self.write_findings(body["findings"])
        if body["already"]:
            self.write(f"release {body['number']} has these changes already")
            return exits.Exit.OK
        self.write(f"release {body['number']} is accepted")
        self.write_changes(body)
        return exits.Exit.OK


class HistoryCommand(base.OperatorCommand):
    """Command that lists releases."""

    name = "release history"
    description = "Lists releases, newest first."
    options = [
        *base.OperatorCommand.options,
        helpers.option(
            "limit", None, "Maximum number of releases, at most 100.", flag=False, default="20"
        ),
    ]
    help = """\
Example:
  lycheegate release history --limit 5
"""

    def handle(self) -> int:
        """Writes one line per release."""
        body, exit_code = self.send_request(
            "GET", "release/history", parameters={"limit": self.option("limit")}
        )
        if body is None or self.option("json"):
            return exit_code
        rows = []
        for release in body["releases"]:
            changes = "; ".join(
                f"{c['kind']} {c['subject']} {c['name']}" for c in release["changes"]
            )
            rows.append(
                [release["number"], release["accepted_at"], release["operator"], release["note"]]
                + [changes]
            )
        self.write_table(["release", "accepted at", "operator", "note", "changes"], rows)
        return exits.Exit.OK


class ShowCommand(base.OperatorCommand):
    """Command that shows a release."""

    name = "release show"
    description = "Shows the release in force, or an earlier one."
    arguments = [helpers.argument("number", "Number of the release.", optional=True)]
    help = """\
The newest 64 releases are kept in full; of older ones, `release history` lists the changes.

Examples:
  lycheegate release show
  lycheegate release show 12 --json
"""

    def handle(self) -> int:
        """Writes client accounts, guarantees and callers."""
        body, exit_code = self.send_request(
            "GET", "release/show", parameters={"number": self.argument("number")}
        )
        if body is None or self.option("json"):
            return exit_code
        self.write(
            f"release {body['number']} by {body['operator'] or '-'} at "
            f"{body['accepted_at'] or '-'}: {body['note']}\n"
        )
        self.write_table(
            ["client account", "quota", "weight", "since"],
            [
                [a["name"], a["quota_accelerators"], a["weight"], a["since_release"]]
                for a in body["client_accounts"]
            ],
        )
        self.write("")
        self.write_table(
            ["client account", "guarantee", "count", "members", "accelerators"]
            + ["adjacency", "data centre", "since"],
            [
                [g["client_account"], g["name"], g["count"], *g["shape"].values()]
                + [g["data_centre"], g["since_release"]]
                for g in body["guarantees"]
            ],
        )
        self.write("")
        self.write_table(
            ["client account", "brand or desk", "caller", "since"],
            [
                [c["client_account"], c["brand_desk"], c["name"], c["since_release"]]
                for c in body["callers"]
            ],
        )
        return exits.Exit.OK


COMMANDS = (CheckCommand, PlanCommand, ApplyCommand, HistoryCommand, ShowCommand)
