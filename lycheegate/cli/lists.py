"""Commands that show accounts, workers, jobs and the state of the deployment, or drain a VM."""

from cleo import helpers

from lycheegate.cli import base, exits

__all__ = ["COMMANDS"]


class AccountsCommand(base.OperatorCommand):
    """Command that lists client accounts."""

    name = "accounts"
    description = "Lists client accounts, their usage and the state of their guarantees."
    help = """\
If `short` is above 0, that many units of the guarantee have no home; `reason` says why.

Examples:
  lycheegate accounts
  lycheegate accounts --json
"""

    def handle(self) -> int:
        """Writes a table of accounts and a table of guarantees."""
        body, exit_code = self.send_request("GET", "accounts")
        if body is None or self.option("json"):
            return exit_code
        self.write_table(
            ["client account", "quota", "weight", "in use", "running", "queued", "callers"],
            [
                [a["name"], a["quota_accelerators"], a["weight"], a["used_accelerators"]]
                + [a["running"], a["queued"], len(a["callers"])]
                for a in body["accounts"]
            ],
        )
        self.write("")
        self.write_table(
            ["client account", "guarantee", "data centre", "count", "in use", "short", "reason"],
            [
                [g["client_account"], g["name"], g["data_centre"], g["count"], g["in_use"]]
                + [g["short"], g["reason"]]
                for a in body["accounts"]
                for g in a["guarantees"]
            ],
        )
        return exits.Exit.OK


class WorkersCommand(base.OperatorCommand):
    """Command that lists workers."""

    name = "workers"
    description = "Lists workers and their state."
    options = [
        *base.OperatorCommand.options,
        helpers.option("data-centre", None, "Only this data centre.", flag=False),
        helpers.option("rack", None, "Only this rack.", flag=False),
        helpers.option(
            "state",
            None,
            "Only workers in this state: live, leaving, lost or quarantined.",
            flag=False,
        ),
    ]
    help = """\
Examples:
  lycheegate workers --state quarantined
  lycheegate workers --data-centre suwon --rack r3
"""

    def handle(self) -> int:
        """Writes one line per worker."""
        parameters = {
            "data_centre": self.option("data-centre"),
            "rack": self.option("rack"),
            "state": self.option("state"),
        }
        body, exit_code = self.send_request("GET", "workers", parameters=parameters)
        if body is None or self.option("json"):
            return exit_code
        rows = [
            [w["worker_id"], w["data_centre"], w["rack"], w["partition"], w["state"]]
            + [w["running"], w["slots"], w["used_accelerators"], w["accelerators"], w["reason"]]
            for w in body["workers"]
        ]
        headers = ["worker", "data centre", "rack", "partition", "state", "running", "slots"]
        self.write_table([*headers, "in use", "accelerators", "reason"], rows)
        return exits.Exit.OK


class JobsCommand(base.OperatorCommand):
    """Command that lists jobs."""

    name = "jobs"
    description = "Lists jobs that have not ended, oldest first."
    options = [
        *base.OperatorCommand.options,
        helpers.option("client-account", None, "Only this client account.", flag=False),
        helpers.option("caller", None, "Only this caller.", flag=False),
        helpers.option("class", None, "Only this job class.", flag=False),
        helpers.option(
            "state", None, "Only jobs in this state: queued, held, running or stopping.", flag=False
        ),
        helpers.option(
            "limit", None, "Maximum number of jobs, at most 1000.", flag=False, default="100"
        ),
    ]
    help = """\
Examples:
  lycheegate jobs --state queued
  lycheegate jobs --client-account hanbok-studio --class hero-shot --limit 10
"""

    def handle(self) -> int:
        """Writes one line per job."""
        parameters = {
            "client_account": self.option("client-account"),
            "caller": self.option("caller"),
            "job_class": self.option("class"),
            "state": self.option("state"),
            "limit": self.option("limit"),
        }
        body, exit_code = self.send_request("GET", "jobs", parameters=parameters)
        if body is None or self.option("json"):
            return exit_code
        rows = [
            [j["request_id"], j["client_account"], j["caller"], j["job_class"], j["urgency"]]
            + [j["state"], j["age_s"], j["members"], j["accelerators"], j["workers"], j["reason"]]
            for j in body["jobs"]
        ]
        headers = ["request", "client account", "caller", "class", "urgency", "state", "age s"]
        self.write_table([*headers, "members", "accelerators", "workers", "reason"], rows)
        self.write(f"\n{len(rows)} of {body['total']} jobs")
        return exits.Exit.OK


class StatusCommand(base.OperatorCommand):
    """Command that shows the state of the deployment."""

    name = "status"
    description = "Shows entry VMs, partitions and the release in force."
    help = """\
Example:
  lycheegate status --server https://10.0.0.1:8443 --ca-file ca.pem
"""

    def handle(self) -> int:
        """Writes a table of entry VMs and a table of partitions."""
        body, exit_code = self.send_request("GET", "status")
        if body is None or self.option("json"):
            return exit_code
        self.write(f"release {body['release']} is in force at {body['vm_id']}\n")
        self.write_table(
            ["entry VM", "data centre", "ready", "draining", "release", "table ok s", "heard s"],
            [
                [v["vm_id"], v["data_centre"], v["ready"], v["draining"], v["release"]]
                + [v["table_ok_age_s"], v["heartbeat_age_s"]]
                for v in body["vms"]
            ],
        )
        self.write("")
        self.write_table(
            ["partition", "owner", "epoch", "workers", "queued", "running"],
            [
                [p["partition"], p["owner"] or "none", p["epoch"], p["workers"], p["queued"]]
                + [p["running"]]
                for p in body["partitions"]
            ],
        )
        return exits.Exit.OK


class DrainCommand(base.OperatorCommand):
    """Command that drains an entry VM."""

    name = "drain"
    description = "Drains an entry VM, which then exits."
    arguments = [helpers.argument("vm", "Identifier of the entry VM.")]
    help = """\
The VM accepts no new requests, hands over its partitions and answers the requests in flight.

Example:
  lycheegate drain entry-3
"""

    def handle(self) -> int:
        """Starts the drain without waiting for its end."""
        vm_id = self.argument("vm")
        body, exit_code = self.send_request("POST", "drain", parameters={"vm_id": vm_id})
        if body is not None and not self.option("json"):
            self.write(f"{vm_id} is draining")
        return exit_code


COMMANDS = (AccountsCommand, WorkersCommand, JobsCommand, StatusCommand, DrainCommand)
