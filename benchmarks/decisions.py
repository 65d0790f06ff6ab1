"""Measures decision time and state size of the engine at several partition sizes.

Usage: ``python -m benchmarks.decisions [workers ...]``. Workers have 8 slots and 8 accelerators.
Above 240 workers they have 12 slots and one or two accelerators, so that 930 workers come to about
1,700 accelerators and 9,700 running tasks, as in the scale targets.
"""

import sys
import time
import tracemalloc

from lycheegate.core import commands, engine, events, policy
from lycheegate.model import releases, requests, resources

__all__ = ["main", "measure"]

_ACCOUNTS = 42


def _make_worker(number: int, count: int) -> resources.Worker:
    slots, accelerators = (12, 2) if count > 240 else (8, 8)
    if count > 240 and number % 6 == 0:
        accelerators = 1
    return resources.Worker(
        f"w{number}", "10.0.0.1:80", "kr", "suwon", f"rack-{number // 6}", slots, accelerators
    )


def _make_request(number: int, now_s: float) -> requests.Request:
    """Returns one of a mix: nine of ten need no accelerator, one of 97 is a gang."""
    shape = resources.Shape()
    if number % 97 == 0:
        shape = resources.Shape(4, 1, resources.Adjacency.RACK)
    elif number % 10 == 0:
        shape = resources.Shape(1, 1)
    idempotent = number % 3 > 0
    return requests.Request(
        f"request-{number:06d}",
        f"account-{number % _ACCOUNTS}",
        f"caller-{number % 200}",
        f"class-{number % 5}",
        requests.Urgency(number % 3),
        shape,
        idempotent,
        idempotent,
        now_s,
    )


class _Driver:
    """Feeds events and answers every order at once."""

    def __init__(self, count: int):
        self.state = engine.create_state("suwon/0", policy.PolicySettings(), seed=1)
        self.now_s = 0.0
        self.times_s: dict[str, list[float]] = {}
        self.running: dict[str, list[str]] = {}
        self.send(events.EpochGained(1))
        accounts = tuple(releases.ClientAccount(f"account-{n}") for n in range(_ACCOUNTS))
        shape = resources.Shape(1, 1)
        guarantees = tuple(
            releases.Guarantee(account.name, "block", shape, max(1, count // 100), "suwon")
            for account in accounts[: min(_ACCOUNTS, count // 2)]
        )
        self.send(events.ReleaseApplied(1, accounts, guarantees))
        for number in range(count):
            self.send(events.WorkerReported(_make_worker(number, count)))
        self.now_s = 5.0
        self.send(events.Tick())

    def send(self, event: events.Event) -> None:
        """Measures one decision and carries out its commands."""
        pending = [event]
        while pending:
            event = pending.pop()
            begin_s = time.perf_counter()
            out = engine.decide(self.state, event, self.now_s)
            taken_s = time.perf_counter() - begin_s
            self.times_s.setdefault(type(event).__name__, []).append(taken_s)
            for command in out:
                pending += self.answer(command)

    def answer(self, command: commands.Command) -> list[events.Event]:
        """Returns the events that a fault-free worker and table answer with."""
        match command:
            case commands.RecordAttempt():
                return [events.AttemptRecorded(command.attempt_id)]
            case commands.HoldTask(start=True):
                self.running.setdefault(command.request_id, []).append(command.task_id)
                return [events.TaskStarted(command.task_id)]
            case commands.HoldTask():
                self.running.setdefault(command.request_id, []).append(command.task_id)
                return [events.TaskHeld(command.task_id)]
            case commands.StartTask():
                return [events.TaskStarted(command.task_id)]
            case commands.StopTask():
                return [events.TaskStopped(command.task_id, True)]
            case commands.CollectAnswer():
                return [events.AnswerStored(command.attempt_id)]
            case commands.ReleaseTask():
                attempt_id = command.task_id.rpartition(".")[0]
                self.running.pop(attempt_id.rsplit("-", 2)[0], None)
                return [events.TaskReleased(command.task_id, True)]
            case _:
                return []


def measure(count: int) -> dict[str, float]:
    """Fills a partition to nine tenths, then lets work end, arrive and lose workers.

    Args:
        count: Number of workers.

    Returns:
        Decision times in milliseconds and sizes in bytes.
    """
    tracemalloc.start()
    driver = _Driver(count)
    slots = sum(_make_worker(number, count).slots for number in range(count))
    wanted = int(slots * 0.9)
    number = 0
    while number < wanted:
        number += 1
        driver.now_s += 0.001
        driver.send(events.RequestSubmitted(_make_request(number, driver.now_s)))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    snapshot = engine.make_snapshot(driver.state)
    running = len(driver.state.attempts)
    tasks = sum(len(attempt.statuses) for attempt in driver.state.attempts.values())
    driver.times_s.clear()
    for step in range(2000):
        driver.now_s += 0.01
        number += 1
        driver.send(events.RequestSubmitted(_make_request(number, driver.now_s)))
        oldest = next(iter(driver.running), None)
        if oldest is not None:
            for task_id in list(driver.running[oldest]):
                driver.send(events.TaskFinished(task_id))
        if step % 50 == 0:
            driver.send(events.Tick())
        if step % 400 == 0:
            lost = _make_worker(step // 400, count)
            driver.send(events.WorkerLost(lost.worker_id))
            driver.send(events.WorkerReported(lost))
    times_s = sorted(taken_s for taken in driver.times_s.values() for taken_s in taken)
    result = {
        "workers": count,
        "attempts": running,
        "tasks": tasks,
        "state_bytes": size,
        "snapshot_bytes": len(snapshot),
        "decisions": len(times_s),
        "p50_ms": times_s[len(times_s) // 2] * 1000,
        "p99_ms": times_s[int(len(times_s) * 0.99)] * 1000,
        "max_ms": times_s[-1] * 1000,
    }
    for kind in ("RequestSubmitted", "TaskFinished", "Tick", "WorkerLost"):
        taken = sorted(driver.times_s.get(kind, [0.0]))
        result[f"{kind}_p99_ms"] = taken[int(len(taken) * 0.99)] * 1000
    return result


def main(arguments: list[str]) -> None:
    """Prints the figures of each size."""
    for count in [int(argument) for argument in arguments] or [24, 240, 930]:
        figures = measure(count)
        print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
