"""Accepted jobs stand still beside free room on a service of which under half is used (LOST).

Four plays, each with three VMs and up to 16 workers:

* ``gang``: a gang that should not span racks fits in no single rack, but twice over across racks.
* ``reserved``: the free workers are reserved for a gang that waits for more of them.
* ``claims``: a worker is lost for good, then the holder, then the next one just after its claim.
* ``quarantine``: workers fail all that they start for some seconds, and are sound again while the
  others are in use.
"""

import asyncio
import collections
import dataclasses
import os
import pathlib
import signal
import sys
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from standin import harness, worker  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place; without it, the case must hold."""
OUT = pathlib.Path(os.environ.get("OUT", ROOT / "out" / "idle_at_rest"))
"""Folder of the records and of the logs of the VMs, by play."""
MAX_IDLE_S = 3.0
MAX_USED_RATIO = 0.5
SPARE_FACTOR = 2
MAX_ATTEMPTS = 4
"""``max-attempts`` of the queue; a task that has failed as often is not waited for."""
CHECK_S = 0.02
SETTLING_S = 0.5
"""Time after a VM has loaded its term, or after the end of a fault, that does not count."""
JOINING_S = 2.0
"""Time in which the workers report to the first holder."""
LONG_S = 90.0
"""Duration of the work that keeps workers in use, longer than any play."""
WHOLE = worker.Need(cpu=64000, mem_mb=100000, gpu=8, work_s=LONG_S)
"""All of a worker."""
PART = worker.Need(cpu=8000, mem_mb=8000, work_s=LONG_S)
"""An eighth of a worker."""
CLAIMANT_LIVES_S = 0.2
"""Time from the claim of a term to the loss of the VM that made it."""
EXPIRY_S = 4.5
"""Time from the loss of a worker until its registration is removed: three check-in intervals."""
LEARNED_S = 0.05
"""Time in which the holder learns that a registration was removed."""
DOWN_S = 3.5
"""Time after which a VM that was lost is started again."""
FAULT_S = 6.0
FAILING_S = 0.1
"""Age at which a faulty worker lets a run fail."""
LOGGED = (
    "job_waiting",
    "preferences_waived",
    "placed",
    "run_ended",
    "worker_gone",
    "worker_suspected",
    "worker_quarantined",
    "term_loaded",
    "term_ended",
    "timer_failed",
)
"""Events of the VMs' logs that the record includes."""


class FaultyWorker(worker.Worker):
    """A worker that can let all runs fail soon after their start.

    Attributes:
        is_faulty: Whether runs that begin now fail.
        is_up: Whether it has not been lost.
    """

    is_faulty = False
    is_up = True

    def _start_run(self, body: dict) -> worker.web.Response:
        known = self.runs.get(body["task"])
        response = super()._start_run(body)
        run = self.runs.get(body["task"])
        if self.is_faulty and run is not None and run is not known:
            self._tasks.append(asyncio.create_task(self._fail(body["task"], run.number)))
        return response

    async def _fail(self, name: str, number: int) -> None:
        await asyncio.sleep(FAILING_S)
        run = self.runs.get(name)
        if run is not None and run.number == number:
            self._end(name, "failed")

    def count_fitting(self, need: worker.Need) -> int:
        """Returns how many tasks fit into the free room."""
        used = [run.need for run in self.runs.values()]
        pairs = [
            (self.capacity.cpu - sum(n.cpu for n in used), need.cpu),
            (self.capacity.mem_mb - sum(n.mem_mb for n in used), need.mem_mb),
            (self.capacity.gpu - sum(n.gpu for n in used), need.gpu),
        ]
        return max(0, min(free // each for free, each in pairs if each))


@dataclasses.dataclass(slots=True)
class Span:
    """A time for which a job had nothing running beside room; seconds on the steady clock."""

    begin_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Length in seconds."""
        return self.end_s - self.begin_s


@dataclasses.dataclass(slots=True)
class Watched:
    """A job that should not stand still.

    Attributes:
        need: What a task uses.
        width: Number of tasks that run only together.
        tasks: Number of tasks.
        group: Name under which the result is reported.
        span: The span that lasts, or None.
        longest: The longest span, or None.
    """

    need: worker.Need
    width: int
    tasks: int
    group: str
    span: Span | None = None
    longest: Span | None = None

    @property
    def longest_s(self) -> float:
        """Length of the longest span in seconds."""
        return self.longest.length_s if self.longest else 0.0


class Watch:
    """What the workers show of the accepted jobs: how long each had nothing running.

    Attributes:
        jobs: The jobs that should not stand still, by identifier.
        counted_from_s: Time before which nothing counts, in seconds on the steady clock.
        doubled: Tasks that were seen on two workers at the same time.
    """

    def __init__(self, case: harness.Case):
        self.jobs: dict[str, Watched] = {}
        self.counted_from_s = 0.0
        self.doubled: set[str] = set()
        self._case = case
        self._seen_ends: collections.Counter[str] = collections.Counter()
        self._done: dict[str, set[str]] = collections.defaultdict(set)
        self._failures: collections.Counter[str] = collections.Counter()
        self._given_up: set[str] = set()

    async def run(self) -> None:
        """Looks at the workers until it is cancelled."""
        while True:
            self._read_ends()
            names = [name for found in self._case.workers.values() for name in found.runs]
            self.doubled |= {name for name in names if names.count(name) > 1}
            running = {name.partition(".")[0] for name in names}
            now_s = time.monotonic()
            for job_id, job in self.jobs.items():
                has_ended = len(self._done[job_id]) >= job.tasks or job_id in self._given_up
                if job_id in running or has_ended or not self._has_room(job):
                    job.span = None
                    continue
                if now_s < self.counted_from_s:
                    continue
                job.span = job.span or Span(now_s, now_s)
                job.span.end_s = now_s
                if job.longest is None or job.span.length_s >= job.longest.length_s:
                    job.longest = job.span
            await asyncio.sleep(CHECK_S)

    def _read_ends(self) -> None:
        for found in self._case.workers.values():
            for end in found.history[self._seen_ends[found.worker_id] :]:
                job_id = end["task"].partition(".")[0]
                if end["how"] == "done":
                    self._done[job_id].add(end["task"])
                elif end["how"] == "failed":
                    self._failures[end["task"]] += 1
                    if self._failures[end["task"]] >= MAX_ATTEMPTS:
                        self._given_up.add(job_id)
            self._seen_ends[found.worker_id] = len(found.history)

    def _has_room(self, job: Watched) -> bool:
        """Returns whether there is room twice over, and under half of the capacity is in use."""
        found = [w for w in self._case.workers.values() if w.is_up]
        capacity, used = sum(w.capacity.cpu for w in found), sum(w.count_cpu() for w in found)
        fitting = sum(w.count_fitting(job.need) for w in found)
        return fitting >= SPARE_FACTOR * job.width and used < MAX_USED_RATIO * capacity

    def has_last_attempt(self, job_id: str) -> bool:
        """Returns whether one more failure of a task that is not done would fail the job."""
        failed = [name for name, count in self._failures.items() if count >= MAX_ATTEMPTS - 1]
        return any(name.startswith(job_id) and name not in self._done[job_id] for name in failed)

    def list_ended(self) -> tuple[int, int]:
        """Returns how many watched jobs are done, and how many failed as often as allowed."""
        done = sum(len(self._done[job_id]) >= job.tasks for job_id, job in self.jobs.items())
        return done, len(self._given_up & self.jobs.keys())


class Scene:
    """Workers in racks, VMs and jobs of one play.

    Attributes:
        case: The case.
        watch: What is seen of its jobs.
    """

    def __init__(self, case: harness.Case):
        self.case = case
        self.watch = Watch(case)
        self._began_s = time.monotonic()
        self._watching: asyncio.Task | None = None

    async def start(self, workers: int, per_rack: int) -> None:
        """Starts workers in racks, and VMs; returns when the first holder knows the workers."""
        self.case.put_configuration(1, **{"max-attempts": MAX_ATTEMPTS})
        self.case.watch_renewals()
        for number in range(workers):
            worker_id = f"i-00{number:02}"
            added = FaultyWorker(
                worker_id,
                self.case.store,
                harness.SERVICE,
                self.case.find_need,
                self.case.record,
            )
            added.labels = ["a", f"r1-{number // per_rack}"]
            self.case.workers[worker_id] = added
            await added.start()
        await self.case.start_vms(3)
        self._watching = asyncio.create_task(self.watch.run())
        await self.case.wait_for("the term is held", lambda: self.case.find_holder(), 5.0)
        await asyncio.sleep(JOINING_S)

    async def submit(
        self, need: worker.Need, count: int = 1, group: str = "", label: str = "", **fields
    ) -> str:
        """Submits a job of one step and returns its identifier.

        Args:
            need: What a task uses.
            count: Number of tasks.
            group: Name under which its longest time without a run is reported; empty for work
                that is not watched.
            label: Label that its workers must have, or an empty string.
            **fields: Further fields of the step.
        """
        job_id = self.case.make_job_id()
        step = {"count": count, "estimate-ms": int(need.work_s * 1000.0), **fields}
        steps = self.case.make_steps(job_id, (step, dataclasses.replace(need, label=label)))
        vm = next(vm for vm in self.case.vms if vm is not self.case.find_holder())
        await self.case.submit(vm, job_id, steps)
        if group:
            width = count if fields.get("gang") else 1
            self.watch.jobs[job_id] = Watched(need, width, count, group)
        return job_id

    async def wait_running(self, count: int) -> None:
        """Waits until so many tasks run."""

        def is_reached() -> bool:
            return sum(len(found.runs) for found in self.case.workers.values()) >= count

        await self.case.wait_for(f"{count} tasks run", is_reached, 6.0)

    def finish(self) -> str:
        """Records the spans and the lines of the logs; returns how the rule was broken."""
        if self._watching is not None:
            self._watching.cancel()
        groups: dict[str, list[float]] = collections.defaultdict(list)
        for job_id, job in self.watch.jobs.items():
            groups[job.group].append(round(job.longest_s, 2))
            if job.longest_s > MAX_IDLE_S:
                self.case.record(
                    "idle",
                    job=job_id,
                    group=job.group,
                    from_s=round(job.longest.begin_s - self._began_s, 2),
                    to_s=round(job.longest.end_s - self._began_s, 2),
                )
        done, given_up = self.watch.list_ended()
        self.case.record("checked", longest_idle_s=dict(groups), done=done, failed=given_up)
        self._record_logs()
        for group, found in groups.items():
            print(f"  {group}: {len(found)} jobs, longest idle {max(found):.2f} s")
        idle = [
            f"{sum(idle_s > MAX_IDLE_S for idle_s in found)} of {len(found)} {group} jobs idle for "
            f"up to {max(found):.1f} s"
            for group, found in groups.items()
            if max(found) > MAX_IDLE_S
        ]
        if self.watch.doubled:
            idle.append(f"{sorted(self.watch.doubled)} ran twice at the same time")
        return "; ".join(idle)

    def _record_logs(self) -> None:
        """Records lines of the VMs' logs, with the times of the record."""
        lines = [
            (line.pop("t"), vm.name, line)
            for vm in self.case.vms
            for event in LOGGED
            for line in vm.list_events(event)
        ]
        for time_s, name, line in sorted(lines, key=lambda entry: entry[0]):
            fields = {"at_s": round(time_s - self._began_s, 3), "vm": name}
            self.case.record("log", **fields, line=line)


async def play_gang(scene: Scene) -> None:
    """Submits a gang while each rack has too little room for it.

    The disruption is how the other work is spread: without it, the same work leaves one rack free.
    """
    await scene.start(workers=15, per_rack=5)
    tasks_by_rack = (2, 2, 2) if HAS_TROUBLE else (5, 1, 0)
    for rack, count in enumerate(tasks_by_rack):
        if count:
            await scene.submit(WHOLE, count, label=f"r1-{rack}")
    await scene.wait_running(sum(tasks_by_rack))
    await scene.submit(WHOLE, 4, "gang", gang=True, **{"same-rack": True})
    await asyncio.sleep(12.0)


async def play_reserved(scene: Scene) -> None:
    """Submits ordinary jobs while the free workers are reserved for a gang that waits."""
    await scene.start(workers=16, per_rack=8)
    await scene.submit(WHOLE, 5)
    await scene.wait_running(5)
    if HAS_TROUBLE:
        await scene.submit(WHOLE, 12, gang=True)
        await asyncio.sleep(1.0)
    for _ in range(4):
        await scene.submit(PART, 1, "ordinary")
    await asyncio.sleep(12.0)


async def play_claims(scene: Scene) -> None:
    """Loses a worker for good, then the holder, then the next one just after its claim.

    The first holder has learned that the worker is gone, and told when the leases there end. Time
    counts once the last of the holders has loaded its term.
    """
    await scene.start(workers=12, per_rack=4)
    for _ in range(24):
        await scene.submit(PART, 1, "on the lost worker")
    await scene.wait_running(24)
    await asyncio.sleep(1.0)
    case = scene.case
    lost = max(case.workers.values(), key=lambda found: len(found.runs))
    on_lost = {name.partition(".")[0] for name in lost.runs}
    for job_id in scene.watch.jobs.keys() - on_lost:
        scene.watch.jobs[job_id].group = "others"
    if not HAS_TROUBLE:
        await asyncio.sleep(12.0)
        return
    scene.watch.counted_from_s = float("inf")
    lost.is_up = False
    await lost.crash()
    await asyncio.sleep(EXPIRY_S)
    case.store.delete("servers", lost.worker_id)
    case.record("registration_removed", worker=lost.worker_id)
    await wait_lease_ends_stored(case)
    running = {name for found in case.workers.values() for name in found.runs}
    if any(name.partition(".")[0] in on_lost for name in running):
        raise harness.CaseError("the first holder has ended the runs on the lost worker itself")
    await lose_two_holders(scene)
    await asyncio.sleep(16.0)


async def wait_lease_ends_stored(case: harness.Case) -> None:
    """Waits until the holder has stored when the leases on a removed worker end, and no longer.

    Otherwise, these leases end, and the holder ends the runs itself.
    """
    note_renewals, removed_at_s = case.store.on_transaction, time.monotonic()
    stored: list[str] = []

    def note_ends(vm: str, body: dict) -> None:
        note_renewals(vm, body)
        writes = body.get("writes") or []
        if time.monotonic() - removed_at_s > LEARNED_S:
            stored.extend(vm for w in writes if (w["table"], w["key"]) == ("terms", "leases"))

    case.store.on_transaction = note_ends
    await case.wait_for("the ends of leases are stored", lambda: bool(stored), 3.0)
    case.store.on_transaction = note_renewals
    case.record("lease_ends_stored")


async def lose_two_holders(scene: Scene) -> None:
    """Loses the holder, and the next one soon after its claim; returns when a third has begun."""
    case = scene.case
    note_renewals, lost = case.store.on_transaction, [case.find_holder()]
    claimants: list[str] = []

    def note_claim(vm: str, body: dict) -> None:
        note_renewals(vm, body)
        writes = body.get("writes") or []
        if any(w["table"] == "terms" and w["key"] == "owner" for w in writes):
            claimants.append(vm)
            case.record(
                "claim", vm=vm, tables=sorted({w["table"] + "/" + w["key"] for w in writes})
            )

    case.store.on_transaction = note_claim
    case.record("power_off", vm=lost[0].name)
    lost[0].send_signal(signal.SIGKILL)
    await case.wait_for("a second VM claims the term", lambda: bool(claimants), 8.0)
    await asyncio.sleep(CLAIMANT_LIVES_S)
    lost.append(next(vm for vm in case.vms if vm.name == claimants[0]))
    case.record("power_off", vm=lost[1].name)
    lost[1].send_signal(signal.SIGKILL)
    lost_at_s = time.monotonic()
    third = next(vm for vm in case.vms if vm not in lost)

    def list_loaded() -> list[float]:
        return [line["t"] for line in third.list_events("term_loaded") if line["t"] > lost_at_s]

    await case.wait_for("a third VM has loaded its term", lambda: bool(list_loaded()), 8.0)
    scene.watch.counted_from_s = list_loaded()[0] + SETTLING_S
    case.record("term_loaded", vm=third.name, after_s=round(list_loaded()[0] - lost_at_s, 3))
    await asyncio.sleep(max(0.0, lost_at_s + DOWN_S - time.monotonic()))
    for vm in lost:
        case.record("power_on", vm=vm.name)
        vm.start()


async def play_quarantine(scene: Scene) -> None:
    """Lets the workers that are not in use fail all that they start for some seconds."""
    await scene.start(workers=15, per_rack=5)
    await scene.submit(WHOLE, 6)
    await scene.wait_running(6)
    idle = [found for found in scene.case.workers.values() if not found.runs]
    short = dataclasses.replace(WHOLE, work_s=0.5)
    scene.watch.counted_from_s = float("inf")
    for found in idle:
        found.is_faulty = HAS_TROUBLE
    scene.case.record("fault_begins", workers=len(idle) if HAS_TROUBLE else 0)
    for _ in range(12):
        await scene.submit(short, 4, "failed before" if HAS_TROUBLE else "earlier")
        await asyncio.sleep(FAULT_S / 12)
    for found in idle:
        found.is_faulty = False
    scene.case.record("fault_ends")
    scene.watch.counted_from_s = time.monotonic() + SETTLING_S
    for job_id, job in scene.watch.jobs.items():
        if scene.watch.has_last_attempt(job_id):
            job.group = "last attempt"
    for _ in range(2):
        await scene.submit(short, 1, "new")
    await asyncio.sleep(22.0)


PLAYS: dict[str, Callable[[Scene], Awaitable[None]]] = {
    "gang": play_gang,
    "reserved": play_reserved,
    "claims": play_claims,
    "quarantine": play_quarantine,
}


def run_play(name: str) -> int:
    """Runs a play and returns its exit status."""

    async def play(case: harness.Case) -> str:
        scene = Scene(case)
        await PLAYS[name](scene)
        return scene.finish()

    folder = OUT / name
    folder.mkdir(parents=True, exist_ok=True)
    os.environ["KEEP_LOGS"] = str(folder)
    print(f"{name}:", flush=True)
    return harness.run_case(str(folder), play, HAS_TROUBLE)


def main() -> int:
    """Runs the plays that PLAYS names; returns 1 if one was broken, else 2 if one could not run."""
    names = os.environ.get("PLAYS", "").replace(",", " ").split() or list(PLAYS)
    statuses = [run_play(name) for name in names]
    if harness.BROKEN in statuses:
        return harness.BROKEN
    return harness.NOT_RUN if harness.NOT_RUN in statuses else harness.HELD


if __name__ == "__main__":
    sys.exit(main())
