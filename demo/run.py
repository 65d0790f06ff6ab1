"""Runs both deployments on loopback, kills one entry process in each and prints the counts.

The counts compare the responses to the callers with the tasks that the worker stand-ins started:

* ``lost``: a request whose caller got no end within ``REQUEST_LIMIT_S``, an outcome other than
  ``ok`` or a wrong answer, or a gang that was answered although a member never started;
* ``doubled``: a non-idempotent request that started twice, or a request that started although
  its caller was told that it did not run;
* ``guarantee_violations``: a request within the guarantee of its client account that was not
  answered within its run time plus ``GUARANTEE_LIMIT_S``.
"""

import concurrent.futures
import dataclasses
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Sequence

import yaml

from demo import client, deployment, scenarios
from lycheegate.keys import tokens

__all__ = ["Totals", "count", "main", "run_scenario"]

KILL_AFTER_S = 3.0
REQUEST_LIMIT_S = 20.0
GUARANTEE_LIMIT_S = 8.0
"""Takeover after the kill (3 s), grace of preempted jobs (1 s) and slack for a busy machine."""

SETUP_LIMIT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """Request with the expected answer and the result that its caller got."""

    load: scenarios.Load
    expected_answer: bytes
    result: client.RequestResult


@dataclasses.dataclass
class Totals:
    """Counts of one or more runs."""

    accepted: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    doubled: int = 0
    guarantee_violations: int = 0

    def add(self, other: "Totals") -> None:
        """Adds the counts of another run."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    @property
    def is_clean(self) -> bool:
        """Whether no request was lost or doubled and no guarantee was violated."""
        return not (self.lost or self.doubled or self.guarantee_violations)


def count(
    sent: Sequence[SentRequest],
    starts: dict[str, dict[int, int]],
    job_classes: dict,
) -> Totals:
    """Returns the counts of a run.

    Args:
        sent: All requests of the run.
        starts: Number of task starts on all workers, by request identifier and member.
        job_classes: Settings of the job classes, by name.
    """
    totals = Totals()
    for request in sent:
        result, settings = request.result, job_classes[request.load.job_class]
        members = starts.get(result.request_id, {})
        expected_members = settings.get("shape", {}).get("members", 1)
        is_answered = result.end == "answered" and result.outcome == "ok"
        totals.accepted += result.accepted
        totals.answered += is_answered
        totals.refused += result.end == "not_run"
        has_no_answer = result.end == "lost" or (result.end == "answered" and not is_answered)
        is_wrong_answer = is_answered and (
            result.body != request.expected_answer or len(members) != expected_members
        )
        totals.lost += has_no_answer or is_wrong_answer
        has_doubled_start = not settings["idempotent"] and max(members.values(), default=0) > 1
        is_false_refusal = result.end == "not_run" and bool(members)
        totals.doubled += has_doubled_start or is_false_refusal
        if request.load.guaranteed:
            late_s = result.duration_s - request.load.run_s
            totals.guarantee_violations += not is_answered or late_s > GUARANTEE_LIMIT_S
    return totals


def run_scenario(scenario: scenarios.Scenario) -> tuple[Totals, list[SentRequest]]:
    """Runs one deployment with its load, killing one owner; returns counts and requests."""
    with (
        tempfile.TemporaryDirectory() as directory,
        deployment.deploy(
            pathlib.Path(directory),
            scenario.entries,
            scenario.workers,
            scenario.job_classes,
            scenario.policy,
        ) as running,
    ):
        secrets = {load.caller: tokens.make_token() for load in scenario.loads}
        _apply_release_note(running, scenario, secrets)
        partitions = sorted({f"{place.data_centre}/0" for place in scenario.workers.values()})
        running.wait_until_owned(partitions, SETUP_LIMIT_S)
        with concurrent.futures.ThreadPoolExecutor(len(scenario.loads) + 1) as pool:
            pending = [
                pool.submit(_send_requests, running, load, secrets[load.caller])
                for load in scenario.loads
            ]
            killing = pool.submit(_kill_owner, running, scenario, partitions[0])
            sent = [request for future in pending for request in future.result()]
            print(f"{scenario.name}: killed {killing.result()}")
        totals = count(sent, running.count_starts(), dict(scenario.job_classes))
    return totals, sent


def _list_live_addresses(running: deployment.Deployment) -> list[str]:
    """Returns the addresses to which the platform's load balancer would send requests."""
    return [entry.address for entry in running.entries.values() if entry.process.poll() is None]


def _apply_release_note(
    running: deployment.Deployment, scenario: scenarios.Scenario, secrets: dict[str, str]
) -> None:
    hashes = {caller: tokens.hash_token(token) for caller, token in secrets.items()}
    data = yaml.safe_dump(scenarios.make_release_note(scenario, hashes)).encode()
    address = _list_live_addresses(running)[0]
    path = "/v1/operator/release/apply"

    def apply() -> bool:
        reply = client.call(address, "POST", path, running.operator_token, data)
        return reply.status == 200

    deployment.wait_until(apply, SETUP_LIMIT_S, "release note applied")

    def is_in_force(address: str) -> bool:
        reply = client.call(address, "GET", "/v1/ready", "")
        return reply.status == 200 and reply.body["release"] >= 1

    for address in _list_live_addresses(running):
        deployment.wait_until(lambda a=address: is_in_force(a), SETUP_LIMIT_S, "release in force")


def _kill_owner(
    running: deployment.Deployment, scenario: scenarios.Scenario, partition: str
) -> str:
    """Kills the entry process that owns a partition while requests are in progress."""
    del scenario
    time.sleep(KILL_AFTER_S)
    owner = running.read_lease(partition)["owner"]
    running.entries[owner].send_signal(signal.SIGKILL)
    return f"{owner}, owner of {partition}"


def _send_requests(
    running: deployment.Deployment, load: scenarios.Load, token: str
) -> list[SentRequest]:
    """Sends the requests of one caller at the intervals of its load."""
    caller = client.Caller(token, lambda: _list_live_addresses(running))

    def send(number: int) -> SentRequest:
        expected_answer = f"{load.caller}-{load.job_class}-{number}"
        payload = {"answer": expected_answer, "run_s": load.run_s}
        result = caller.run(expected_answer, load.job_class, payload, REQUEST_LIMIT_S)
        return SentRequest(load, expected_answer.encode(), result)

    if load.interval_s == 0:
        return [send(number) for number in range(load.count)]
    began_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        pending = []
        for number in range(load.count):
            time.sleep(max(0.0, began_s + number * load.interval_s - time.monotonic()))
            pending.append(pool.submit(send, number))
        return [future.result() for future in pending]


def _print_table(scenario: scenarios.Scenario, sent: Sequence[SentRequest]) -> None:
    headings = ("client account", "class", "accepted", "answered", "not run", "may have run")
    print(f"{scenario.name}:")
    print("".join(f"{heading:<17}" for heading in headings) + "p50 s   p90 s   p99 s")
    groups: dict[tuple[str, str], list[client.RequestResult]] = {}
    for request in sent:
        key = (request.load.client_account, request.load.job_class)
        groups.setdefault(key, []).append(request.result)
    for key, group in sorted(groups.items()):
        times_s = sorted(result.duration_s for result in group if result.end == "answered")
        counts = (
            sum(result.accepted for result in group),
            sum(result.end == "answered" for result in group),
            sum(result.end == "not_run" for result in group),
            sum(result.end == "may_have_run" for result in group),
        )
        quantiles = (_pick_quantile(times_s, ratio) for ratio in (0.5, 0.9, 0.99))
        print(
            "".join(f"{cell!s:<17}" for cell in (*key, *counts))
            + "".join(f"{value_s:<8.2f}" for value_s in quantiles)
        )


def _pick_quantile(ordered: Sequence[float], ratio: float) -> float:
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))] if ordered else 0.0


def main() -> int:
    """Runs all scenarios; returns the exit status."""
    totals = Totals()
    for scenario in scenarios.SCENARIOS:
        scenario_totals, sent = run_scenario(scenario)
        totals.add(scenario_totals)
        _print_table(scenario, sent)
    fields = " ".join(f"{name}={value}" for name, value in dataclasses.asdict(totals).items())
    print(f"demo: {fields}")
    return 0 if totals.is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
