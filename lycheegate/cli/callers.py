"""Lists and shows callers with their client accounts and brands or desks."""

from cleo import helpers

from lycheegate.cli import base, exits

__all__ = ["COMMANDS"]


class ListCommand(base.OperatorCommand):
    """Command that lists callers."""

    name = "callers list"
    description = "Lists callers with their client account and brand or desk."
    options = [
        *base.OperatorCommand.options,
        helpers.option("client-account", None, "Only this client account.", flag=False),
        helpers.option("brand-desk", None, "Only this brand or desk.", flag=False),
    ]
    help = """\
Lists the callers of the release in force, ordered by client account, brand or desk, and name.

Examples:
  lycheegate callers list
  lycheegate callers list --client-account hanbok-studio
  lycheegate callers list --brand-desk "hero desk" --json
"""

    def handle(self) -> int:
        """Writes one line per caller."""
        parameters = {
            "client_account": self.option("client-account"),
            "brand_desk": self.option("brand-desk"),
        }
        body, exit_code = self.send_request("GET", "callers", parameters=parameters)
        if body is None or self.option("json"):
            return exit_code
        rows = [
            [c["client_account"], c["brand_desk"], c["name"], c["classes"] or "all"]
            + [c["expires_on"] or "never", c["since_release"]]
            for c in body["callers"]
        ]
        self.write_table(
            ["client account", "brand or desk", "caller", "classes", "expires", "since"], rows
        )
        self.write(f"\n{len(rows)} callers in release {body['release']}")
        return exits.Exit.OK


class ShowCommand(base.OperatorCommand):
    """Command that shows one caller."""

    name = "callers show"
    description = "Shows one caller."
    arguments = [helpers.argument("name", "Name of the caller.")]
    help = """\
Exit code 3: the release in force has no such caller.

Example:
  lycheegate callers show retoucher-1
"""

    def handle(self) -> int:
        """Writes the fields of the caller."""
        name = self.argument("name")
        body, exit_code = self.send_request("GET", "callers", parameters={"name": name})
        if body is None:
            return exit_code
        if not body["callers"]:
            self.write_error(f"caller {name!r} does not exist in release {body['release']}")
            return exits.Exit.REFUSED
        if not self.option("json"):
            caller = body["callers"][0]
            rows = [
                ["caller", caller["name"]],
                ["client account", caller["client_account"]],
                ["brand or desk", caller["brand_desk"]],
                ["classes", caller["classes"] or "all"],
                ["expires", caller["expires_on"] or "never"],
                ["since release", caller["since_release"]],
            ]
            self.write_table(["field", "value"], rows)
        return exits.Exit.OK


COMMANDS = (ListCommand, ShowCommand)
