"""Stand-in for a worker, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable

from standin import store as stores
from standin import web

__all__ = ["Need", "Worker"]

TICK_S = 0.02
MAX_LISTED_ENDS = 500
MAX_WAIT_S = 2.0
SILENCE_S = 20.0
"""How long a call that is cut off stays open without an answer."""

Verdict = Callable[[web.Request], Awaitable[str]]
"""Decides on a call: ``serve``, ``silent`` (not received), or ``late`` (not answered, done
later)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a task uses, and how long it works.

    Attributes:
        cpu: Thousandths of a core.
        mem_mb: Memory in megabytes.
        gpu: Accelerators.
        work_s: Duration in seconds, or None for a task that lasts.
        label: Label that its worker must have, or an empty string.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    work_s: float | None = None
    label: str = ""


@dataclasses.dataclass(slots=True)
class _Run:
    number: int
    need: Need
    began_at_s: float
    stops_at_s: float | None = None


class Worker:
    """A worker without admission check, in one or more lives.

    Args:
        worker_id: Its identifier, the same in all lives.
        store: The store in which it registers.
        service: Its service.
        find_need: Returns what a task uses, by the task's name.
        record: Receives what is to be recorded.
        hold_max_s: Longest lease in seconds.
        stop_s: Time that a stop takes, in seconds.
        heartbeat_s: Time between two check-ins, in seconds.

    Attributes:
        gate: Decides on each call; serves all by default.
        runs: What runs, by task.
        history: Task, run, start, end and how it ended, of all lives; times on the steady clock.
        overloads: Starts that brought it over its capacity.
        mislabelled: Starts of tasks whose label it lacks.
    """

    def __init__(
        self,
        worker_id: str,
        store: stores.Store,
        service: str,
        find_need: Callable[[str], Need],
        record: Callable[..., None],
        hold_max_s: float = 10.0,
        stop_s: float = 0.4,
        heartbeat_s: float = 1.5,
    ):
        self.worker_id = worker_id
        self.gate: Verdict | None = None
        self.runs: dict[str, _Run] = {}
        self.history: list[dict] = []
        self.overloads: list[str] = []
        self.mislabelled: list[str] = []
        self.capacity = Need(64000, 131072, 8)
        self.labels = ["a", "r1-1"]
        self.late_s = 3.0
        self._store = store
        self._service = service
        self._find_need = find_need
        self._record = record
        self._hold_max_s = hold_max_s
        self._stop_s = stop_s
        self._heartbeat_s = heartbeat_s
        self._server: web.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._born_ms = 0
        self._begin_life()

    def _begin_life(self) -> None:
        self._born_ms = max(self._born_ms + 1, int(time.time() * 1000))
        self._began_at_s = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._sequence = 0
        self._ends: list[list] = []
        self._next_end = 1
        self._highest: dict[str, int] = {}
        self._changed = asyncio.Event()
        self.runs = {}

    async def start(self, first_check_in_s: float = 0.0) -> None:
        """Begins a life: answers calls, and checks in after a delay in seconds."""
        self._begin_life()
        port = int(self._server.address.rpartition(":")[2]) if self._server else 0
        self._server = web.Server(self._handle, port=port)
        await self._server.start()
        self._record("worker_up", worker=self.worker_id, cpu=self.capacity.cpu, labels=self.labels)
        self._tasks = [
            asyncio.create_task(self._check_in(first_check_in_s)),
            asyncio.create_task(self._tick()),
        ]

    async def crash(self) -> None:
        """Ends a life without notice; its entry stays until someone removes it."""
        for task in self._tasks:
            task.cancel()
        self._record("worker_down", worker=self.worker_id, running=sorted(self.runs))
        for name in list(self.runs):
            self._finish(name, "crashed")
        await self._server.stop()

    def silence(self) -> None:
        """Silences the open connections to it for good; new ones work."""
        self._record("silenced", worker=self.worker_id, connections=self._server.silence())

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_at_s) * 1000) + 1000

    async def _check_in(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            self._sequence += 1
            self._store.put(
                "servers",
                self.worker_id,
                {
                    "service": self._service,
                    "address": self._server.address,
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold-left-ms": 0,
                    "capacity": {
                        "cpu": self.capacity.cpu,
                        "mem-mb": self.capacity.mem_mb,
                        "gpu": self.capacity.gpu,
                    },
                    "labels": self.labels,
                    "clock-ms": self._clock_ms(),
                    "born": self._born_ms,
                    "seq": self._sequence,
                },
            )
            if self._sequence == 1:
                self._record("worker_registered", worker=self.worker_id, cpu=self.capacity.cpu)
            await asyncio.sleep(self._heartbeat_s)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            if self.runs and self._clock_ms() > self._deadline_ms:
                for name in list(self.runs):
                    self._end(name, "lapsed")
            for name, run in list(self.runs.items()):
                if run.stops_at_s is not None and now_s >= run.stops_at_s:
                    self._end(name, "stopped")
                elif run.need.work_s is not None and now_s - run.began_at_s >= run.need.work_s:
                    self._end(name, "done")

    def _finish(self, name: str, how: str) -> _Run:
        run = self.runs.pop(name)
        self.history.append(
            {
                "task": name,
                "run": run.number,
                "worker": self.worker_id,
                "began_at_s": run.began_at_s,
                "ended_at_s": time.monotonic(),
                "how": how,
            }
        )
        return run

    def _end(self, name: str, how: str) -> None:
        run = self._finish(name, how)
        self._ends.append([self._next_end, name, run.number, how, ""])
        self._next_end += 1
        self._record("ended", worker=self.worker_id, task=name, run=run.number, how=how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: web.Request) -> web.Response | None:
        verdict = await self.gate(request) if self.gate is not None else "serve"
        if verdict == "silent":
            await asyncio.sleep(SILENCE_S)
            return None
        if verdict == "late":
            self._tasks.append(asyncio.create_task(self._run_late(request)))
            await asyncio.sleep(SILENCE_S)
            return None
        return await self._serve(request)

    async def _run_late(self, request: web.Request) -> None:
        await asyncio.sleep(self.late_s)
        self._record("late_order", worker=self.worker_id, path=request.path)
        await self._serve(request)

    async def _serve(self, request: web.Request) -> web.Response:
        expected = request.headers.get("x-lycheegate-expected-instance", self.worker_id)
        if expected != self.worker_id:
            return web.Response(421)
        if request.method == "GET":
            return web.Response(200)
        body = json.loads(request.body)
        token = body.get("fencing-token", 0)
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/hold":
            return await self._hold(body)
        return web.Response(404)

    def _refuse(self, reason: str) -> web.Response:
        return web.Response(409, {"clock-ms": self._clock_ms(), "reason": reason})

    def _accept(self) -> web.Response:
        return web.Response(200, {"clock-ms": self._clock_ms()})

    def _extend_lease(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + int(self._hold_max_s * 1000)
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start_run(self, body: dict) -> web.Response:
        name, number = body["task"], body["run-id"]
        if body["deadline-ms"] <= self._clock_ms():
            return self._refuse("late")
        self._extend_lease(body["deadline-ms"])
        running = self.runs.get(name)
        if running is not None and running.number == number:
            return self._accept()
        if number <= self._highest.get(name, 0) or running is not None:
            return self._refuse("old")
        self._highest[name] = number
        need = self._find_need(name)
        self.runs[name] = _Run(number, need, time.monotonic())
        self._record(
            "started",
            worker=self.worker_id,
            task=name,
            run=number,
            token=self._token,
            spec=body["spec"],
            cpu_in_use=self.count_cpu(),
            cpu=self.capacity.cpu,
        )
        if self.count_cpu() > self.capacity.cpu:
            self.overloads.append(
                f"{name} on {self.worker_id}: {self.count_cpu()} of {self.capacity.cpu}"
            )
        if need.label and need.label not in self.labels:
            self.mislabelled.append(
                f"{name} on {self.worker_id}: {need.label} not in {self.labels}"
            )
        return self._accept()

    def count_cpu(self) -> int:
        """Returns the processor use of what runs, in thousandths of a core."""
        return sum(run.need.cpu for run in self.runs.values())

    def _stop_run(self, body: dict) -> web.Response:
        name, number = body["task"], body["run-id"]
        self._highest[name] = max(self._highest.get(name, 0), number)
        running = self.runs.get(name)
        if running is not None and running.number == number and running.stops_at_s is None:
            self._record("stop", worker=self.worker_id, task=name, run=number, token=self._token)
            running.stops_at_s = time.monotonic() + self._stop_s / 2.0
        return self._accept()

    async def _hold(self, body: dict) -> web.Response:
        if "deadline-ms" in body:
            self._extend_lease(body["deadline-ms"])
        self._ends = [end for end in self._ends if end[0] > body["last-seen"]]
        wait_s = min(MAX_WAIT_S, body.get("wait-ms", 0) / 1000.0)
        if wait_s and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        if body["fencing-token"] < self._token:
            return self._refuse("fence")
        return web.Response(
            200,
            {
                "clock-ms": self._clock_ms(),
                "born": self._born_ms,
                "running": [
                    [name, run.number, "", self._compute_percent(run), 0]
                    for name, run in self.runs.items()
                ],
                "ended": self._ends[:MAX_LISTED_ENDS],
            },
        )

    def _compute_percent(self, run: _Run) -> int:
        if run.need.work_s is None:
            return 100
        return min(99, int(100.0 * (time.monotonic() - run.began_at_s) / run.need.work_s))
