"""Decision time, state size and recovery time of one partition at several sizes.

``python -m benchmarks.decisions``. A fake fleet answers orders immediately and records only which
tasks run, so that the measured time is that of the decisions alone.
"""

import argparse
import collections
import dataclasses
import gc
import importlib
import os
import random
import time
from collections.abc import Sequence
from concurrent import futures
from types import ModuleType
from typing import Any

from lycheegate.core import commands, events, policy
from lycheegate.model import releases, requests, resources

__all__ = ["Figures", "main", "measure"]

SIZES = (24, 240, 930)
FULL_WORKERS = 930
QUEUED = 1_000
STEADY_JOBS = 1_000
CLIENT_ACCOUNTS = 42
WORKERS_PER_RACK = 20
MAX_GANG = 64
SEED = 1
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one size."""

    core: str
    workers: int
    tasks: int
    queued: int
    decision_p50_us: float
    decision_p99_us: float
    decision_max_us: float
    state_mb: float
    recovery_s: float
    snapshot_bytes: int


class _Fleet:
    """Fake workers and request table that answer every order immediately."""

    def __init__(self, core: ModuleType, workers: int):
        self.core = core
        self.state = core.create_state("bench/0", policy.PolicySettings(max_queued=100_000), SEED)
        self.workers = _make_workers(workers)
        self.running: dict[str, dict[str, commands.HoldTask]] = {}
        self.requests: dict[str, requests.Request] = {}
        self.decision_s: list[float] = []
        self.now_s = 0.0
        self._pending: collections.deque = collections.deque()

    def deliver(self, event: events.Event) -> None:
        """Applies an event and the answers to all orders that result from it."""
        self._pending.append(event)
        while self._pending:
            next_event = self._pending.popleft()
            self.now_s += 0.001
            before_s = time.perf_counter()
            issued = self.core.decide(self.state, next_event, self.now_s)
            self.decision_s.append(time.perf_counter() - before_s)
            for command in issued:
                self._execute_command(command)

    def _execute_command(self, command: commands.Command) -> None:
        match command:
            case commands.RecordAttempt():
                self._pending.append(events.AttemptRecorded(command.attempt_id))
            case commands.HoldTask():
                self.running.setdefault(command.request_id, {})[command.task_id] = command
                answer = events.TaskStarted if command.start else events.TaskHeld
                self._pending.append(answer(command.task_id))
            case commands.StartTask():
                self._pending.append(events.TaskStarted(command.task_id))
            case commands.StopTask():
                self._remove_task(command.task_id)
                self._pending.append(events.TaskStopped(command.task_id, True))
            case commands.ReleaseTask():
                self._remove_task(command.task_id)
                self._pending.append(events.TaskReleased(command.task_id, True))
            case commands.CollectAnswer():
                self._pending.append(events.AnswerStored(command.attempt_id))
            case commands.EndRequest():
                self.running.pop(command.request_id, None)
                self.requests.pop(command.request_id, None)

    def _remove_task(self, task_id: str) -> None:
        request_id = task_id.rsplit("-", 2)[0]
        tasks = self.running.get(request_id, {})
        tasks.pop(task_id, None)
        if not tasks:
            self.running.pop(request_id, None)

    def submit(self, request: requests.Request) -> None:
        """Submits a request."""
        self.requests[request.request_id] = request
        self.deliver(events.RequestSubmitted(request))

    def finish(self, request_id: str) -> None:
        """Reports all tasks of a request as finished."""
        for task_id in list(self.running.get(request_id, ())):
            self.deliver(events.TaskFinished(task_id))


def _make_workers(count: int) -> list[resources.Worker]:
    """Returns workers: 196 in 930 have 8 accelerators, 132 in 930 have one, the others none."""
    workers = []
    for number in range(count):
        # Position among the workers that do not have 8 accelerators.
        rank = number - number * 196 // FULL_WORKERS
        if _is_selected(number, 196, FULL_WORKERS):
            accelerators = 8
        else:
            accelerators = int(_is_selected(rank, 132, FULL_WORKERS - 196))
        workers.append(
            resources.Worker(
                f"w{number}",
                "",
                "region",
                "dc",
                f"rack{number // WORKERS_PER_RACK}",
                slots=10 + (number % 7 < 3),  # 9,699 slots at full size
                accelerators=accelerators,
            )
        )
    return workers


def _is_selected(number: int, part: int, whole: int) -> bool:
    """Returns whether ``number`` is one of ``part`` evenly spaced numbers in each ``whole``."""
    return (number + 1) * part // whole > number * part // whole


def _make_accounts() -> tuple[releases.ClientAccount, ...]:
    return tuple(
        releases.ClientAccount(f"account{number}", 400) for number in range(CLIENT_ACCOUNTS)
    )


def _make_guarantees(workers: Sequence[resources.Worker]) -> tuple[releases.Guarantee, ...]:
    large_workers = sum(worker.accelerators == 8 for worker in workers)
    shape = resources.Shape(1, 8, resources.Adjacency.WORKER)
    return tuple(
        releases.Guarantee(f"account{number}", "block", shape, 1, "dc")
        for number in range(min(CLIENT_ACCOUNTS, large_workers // 3))
    )


def _draw_request(number: int, rng: random.Random, max_gang: int) -> requests.Request:
    draw = rng.random()
    if draw < 0.002:
        shape = resources.Shape(max_gang, 0, resources.Adjacency.DATA_CENTRE)
    elif draw < 0.01:
        shape = resources.Shape(1, 8, resources.Adjacency.WORKER)
    elif draw < 0.06:
        shape = resources.Shape(1, 1)
    else:
        shape = resources.Shape()
    idempotent = rng.random() < 0.8
    return requests.Request(
        request_id=f"r{number}",
        client_account=f"account{rng.randrange(CLIENT_ACCOUNTS)}",
        caller="caller",
        job_class="job",
        urgency=rng.choice(tuple(requests.Urgency)),
        shape=shape,
        idempotent=idempotent,
        preemptible=idempotent,
        submitted_at_s=0.0,
    )


def measure(core_name: str, workers: int) -> Figures:
    """Measures one size in this process and returns the figures."""
    core = importlib.import_module(f"lycheegate.core.{core_name}")
    rng = random.Random(SEED)
    gc.collect()
    before_bytes = _read_resident_bytes()
    fleet = _Fleet(core, workers)
    fleet.deliver(events.EpochGained(1))
    for worker in fleet.workers:
        fleet.deliver(events.WorkerReported(worker))
    fleet.deliver(events.ReleaseApplied(1, _make_accounts(), _make_guarantees(fleet.workers)))
    fleet.deliver(events.Tick())
    queued = QUEUED * workers // FULL_WORKERS
    max_gang = max(2, min(MAX_GANG, MAX_GANG * workers // 240))
    number = 0
    limit = 3 * sum(worker.slots for worker in fleet.workers)
    while len(fleet.requests) - len(fleet.running) < queued and number < limit:
        fleet.submit(_draw_request(number, rng, max_gang))
        number += 1
    gc.collect()
    state_bytes = _read_resident_bytes() - before_bytes
    fleet.decision_s.clear()
    for _ in range(STEADY_JOBS):
        fleet.finish(rng.choice(list(fleet.running)))
        fleet.submit(_draw_request(number, rng, max_gang))
        number += 1
        fleet.deliver(events.Tick())
    decision_us = sorted(s * 1e6 for s in fleet.decision_s)
    return Figures(
        core_name,
        workers,
        sum(map(len, fleet.running.values())),
        len(fleet.requests) - len(fleet.running),
        decision_us[len(decision_us) // 2],
        decision_us[int(0.99 * len(decision_us))],
        decision_us[-1],
        state_bytes / 1e6,
        _measure_recovery_s(core, fleet),
        _measure_snapshot_bytes(core, fleet.state),
    )


def _measure_recovery_s(core: ModuleType, fleet: _Fleet) -> float:
    """Returns the processor time of a takeover: records, worker reports and first tick."""
    by_worker: dict[str, list[events.TaskReport]] = {}
    placements: dict[str, tuple[str, list[resources.MemberPlacement]]] = {}
    for request_id, tasks in fleet.running.items():
        for task_id, command in tasks.items():
            place = command.place
            report = events.TaskReport(
                task_id,
                request_id,
                command.member,
                events.TaskState.RUNNING,
                place.first,
                place.count,
            )
            by_worker.setdefault(place.worker_id, []).append(report)
            attempt_id, _ = commands.split_task_id(task_id)
            placements.setdefault(request_id, (attempt_id, []))[1].append(place)
    before_s = time.process_time()
    state: Any = core.create_state("bench/0", policy.PolicySettings(max_queued=100_000), SEED)
    core.decide(state, events.EpochGained(2), fleet.now_s)
    release = events.ReleaseApplied(1, _make_accounts(), _make_guarantees(fleet.workers))
    core.decide(state, release, fleet.now_s)
    for request_id, request in fleet.requests.items():
        attempt_id, places = placements.get(request_id, (None, ()))
        if request.idempotent:
            attempt_id, places = None, ()
        core.decide(state, events.RecoveredRequest(request, attempt_id, tuple(places)), fleet.now_s)
    for worker in fleet.workers:
        reports = tuple(by_worker.get(worker.worker_id, ()))
        core.decide(state, events.WorkerReported(worker, reports), fleet.now_s)
    core.decide(state, events.Tick(), fleet.now_s)
    return time.process_time() - before_s


def _measure_snapshot_bytes(core: ModuleType, state: Any) -> int:
    make_snapshot = getattr(core, "make_snapshot", None)
    return len(make_snapshot(state)) if make_snapshot else 0


def _read_resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def main(arguments: Sequence[str] | None = None) -> None:
    """Prints one line for each figure: name value unit baseline ratio."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    options = parser.parse_args(arguments)
    for workers in options.sizes:
        # Each core runs in a new process, so that resident memory is comparable.
        with futures.ProcessPoolExecutor(1) as pool:
            engine = pool.submit(measure, "engine", workers).result()
        with futures.ProcessPoolExecutor(1) as pool:
            naive = pool.submit(measure, "naive", workers).result()
        for name, unit in (
            ("tasks", "tasks"),
            ("queued", "requests"),
            ("decision_p50_us", "us"),
            ("decision_p99_us", "us"),
            ("decision_max_us", "us"),
            ("state_mb", "MB"),
            ("recovery_s", "s"),
            ("snapshot_bytes", "bytes"),
        ):
            value, baseline = getattr(engine, name), getattr(naive, name)
            ratio = f"{value / baseline:.4g}" if baseline else "-"
            print(f"decisions/{workers}/{name} {value:.4g} {unit} {baseline:.4g} {ratio}")


if __name__ == "__main__":
    main()
