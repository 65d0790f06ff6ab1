"""Runs both deployments on loopback, kills an entry process on the way, and counts.

The counts come from what the callers were told and from what the worker stand-ins ran:

* ``lost``: an accepted request without an end, with a wrong answer, or a gang that was answered
  although a member never started;
* ``doubled``: a non-idempotent request that started twice, or a request that started although
  its caller was told that it did not run;
* ``guarantee_violations``: a request within the guarantee of its client account that did not run
  within ``GUARANTEE_LIMIT_S`` beyond its run time.
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
"""Takeover after the kill (3 s), grace of the borrowers (1 s), and slack for a busy machine."""

SETUP_LIMIT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request and how it ended for its caller."""

    load: scenarios.Load
    answer: bytes
    ended: client.Ended


@dataclasses.dataclass
class Totals:
    """Counts of a run."""

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
        """Whether nothing that was promised was broken."""
        return not (self.lost or self.doubled or self.guarantee_violations)


def count(
    sent: Sequence[Sent],
    starts: dict[str, dict[int, int]],
    job_classes: dict,
) -> Totals:
    """Returns the counts of a run.

    Args:
        sent: All requests.
        starts: Starts by request identifier and member, over all workers.
        job_classes: Settings of the job classes.
    """
    totals = Totals()
    for one in sent:
        ended, settings = one.ended, job_classes[one.load.job_class]
        members = starts.get(ended.request_id, {})
        wanted = settings.get("shape", {}).get("members", 1)
        is_answered = ended.end == "answered" and ended.outcome == "ok"
        totals.accepted += ended.accepted
        totals.answered += is_answered
        totals.refused += ended.end == "not_run"
        is_lost = ended.end == "lost" or (ended.end == "answered" and not is_answered)
        is_wrong = is_answered and (ended.body != one.answer or len(members) != wanted)
        totals.lost += is_lost or is_wrong
        is_twice = not settings["idempotent"] and max(members.values(), default=0) > 1
        is_false = ended.end == "not_run" and bool(members)
        totals.doubled += is_twice or is_false
        if one.load.guaranteed:
            late_s = ended.duration_s - one.load.run_s
            totals.guarantee_violations += not is_answered or late_s > GUARANTEE_LIMIT_S
    return totals


def run_scenario(scenario: scenarios.Scenario) -> tuple[Totals, list[Sent]]:
    """Runs one deployment with its load and one kill; returns the counts and the requests."""
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
        _apply_note(running, scenario, secrets)
        partitions = sorted({f"{place.data_centre}/0" for place in scenario.workers.values()})
        running.wait_until_owned(partitions, SETUP_LIMIT_S)
        with concurrent.futures.ThreadPoolExecutor(len(scenario.loads) + 1) as pool:
            pending = [
                pool.submit(_send_load, running, load, secrets[load.caller])
                for load in scenario.loads
            ]
            killing = pool.submit(_kill_owner, running, scenario, partitions[0])
            sent = [one for future in pending for one in future.result()]
            print(f"{scenario.name}: killed {killing.result()}")
        totals = count(sent, running.count_starts(), dict(scenario.job_classes))
    return totals, sent


def _list_addresses(running: deployment.Deployment) -> list[str]:
    """Returns the addresses that the platform's balancer would use."""
    return [one.address for one in running.entries.values() if one.process.poll() is None]


def _apply_note(
    running: deployment.Deployment, scenario: scenarios.Scenario, secrets: dict[str, str]
) -> None:
    hashes = {caller: tokens.hash_token(token) for caller, token in secrets.items()}
    data = yaml.safe_dump(scenarios.make_note(scenario, hashes)).encode()
    address = _list_addresses(running)[0]
    path = "/v1/operator/release/apply"

    def apply() -> bool:
        reply = client.call(address, "POST", path, running.operator_token, data)
        return reply.status == 200

    deployment.wait_until(apply, SETUP_LIMIT_S, "release note applied")

    def is_in_force(address: str) -> bool:
        reply = client.call(address, "GET", "/v1/ready", "")
        return reply.status == 200 and reply.body["release"] >= 1

    for address in _list_addresses(running):
        deployment.wait_until(lambda a=address: is_in_force(a), SETUP_LIMIT_S, "release in force")


def _kill_owner(
    running: deployment.Deployment, scenario: scenarios.Scenario, partition: str
) -> str:
    """Kills the entry process that owns a partition while requests are under way."""
    del scenario
    time.sleep(KILL_AFTER_S)
    owner = running.read_lease(partition)["owner"]
    running.entries[owner].send_signal(signal.SIGKILL)
    return f"{owner}, owner of {partition}"


def _send_load(running: deployment.Deployment, load: scenarios.Load, token: str) -> list[Sent]:
    """Sends the requests of one caller at their times."""
    caller = client.Caller(token, lambda: _list_addresses(running))

    def send(number: int) -> Sent:
        answer = f"{load.caller}-{load.job_class}-{number}"
        payload = {"answer": answer, "run_s": load.run_s}
        ended = caller.run(answer, load.job_class, payload, REQUEST_LIMIT_S)
        return Sent(load, answer.encode(), ended)

    if load.interval_s == 0:
        return [send(number) for number in range(load.count)]
    began_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        pending = []
        for number in range(load.count):
            time.sleep(max(0.0, began_s + number * load.interval_s - time.monotonic()))
            pending.append(pool.submit(send, number))
        return [future.result() for future in pending]


def _print_table(scenario: scenarios.Scenario, sent: Sequence[Sent]) -> None:
    heads = ("client account", "class", "accepted", "answered", "not run", "may have run")
    print(f"{scenario.name}:")
    print("".join(f"{head:<17}" for head in heads) + "p50 s   p90 s   p99 s")
    groups: dict[tuple[str, str], list[client.Ended]] = {}
    for one in sent:
        key = (one.load.client_account, one.load.job_class)
        groups.setdefault(key, []).append(one.ended)
    for key, group in sorted(groups.items()):
        times_s = sorted(one.duration_s for one in group if one.end == "answered")
        counts = (
            sum(one.accepted for one in group),
            sum(one.end == "answered" for one in group),
            sum(one.end == "not_run" for one in group),
            sum(one.end == "may_have_run" for one in group),
        )
        quantiles = (_pick(times_s, ratio) for ratio in (0.5, 0.9, 0.99))
        print(
            "".join(f"{cell!s:<17}" for cell in (*key, *counts))
            + "".join(f"{value_s:<8.2f}" for value_s in quantiles)
        )


def _pick(ordered: Sequence[float], ratio: float) -> float:
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))] if ordered else 0.0


def main() -> int:
    """Runs the demo; returns the exit status."""
    totals = Totals()
    for scenario in scenarios.SCENARIOS:
        found, sent = run_scenario(scenario)
        totals.add(found)
        _print_table(scenario, sent)
    fields = " ".join(f"{name}={value}" for name, value in dataclasses.asdict(totals).items())
    print(f"demo: {fields}")
    return 0 if totals.is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
