"""Tasks of two lasting jobs fail again and again; guaranteed work finds no worker."""

import asyncio
import math
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin2 import harness  # noqa: E402
from standin2 import worker as workers  # noqa: E402

FAILING_JOBS = ("5c0e7a21d94b36f8", "77aa7a21d94b36f8")
URGENT_JOB = "aa007a21d94b36f8"
WORKERS = 4
FAILING_TASKS = 4
"""Of each job; together they take all accelerators."""
URGENT_TASKS = 2
SETTLE_S = 6.0
FAILING_S = 60.0
"""Longest time for which the tasks fail before the guaranteed job comes."""
EMPTY_S = 7.0
"""The guaranteed job comes once all workers have been empty for this time."""
AT_WORK_S = 0.7
URGENT_WORK_S = 1.0
RECLAIM_S = 2.7
WATCH_S = 20.0


def _get_work_s(task: str) -> float:
    return URGENT_WORK_S if task.startswith(URGENT_JOB) else math.inf


async def _fail(fleet: list[workers.Worker]) -> None:
    """Fails each run of the lasting jobs some time after its start; endless."""
    seen: dict[tuple[str, str, int], float] = {}
    while True:
        for worker in fleet:
            for task, run in list(worker.runs.items()):
                began_s = seen.setdefault((worker.worker_id, task, run.number), time.monotonic())
                is_lasting = task.startswith(FAILING_JOBS)
                if is_lasting and time.monotonic() - began_s >= AT_WORK_S:
                    worker.fail(task)
        await asyncio.sleep(0.05)


async def _wait_until_empty(fleet: list[workers.Worker]) -> None:
    """Waits until all workers have been empty for a while, or the limit is reached."""
    began_s = busy_at_s = time.monotonic()
    while time.monotonic() - began_s < FAILING_S and time.monotonic() - busy_at_s < EMPTY_S:
        if any(worker.runs for worker in fleet):
            busy_at_s = time.monotonic()
        await asyncio.sleep(0.05)


def _find_begin_s(case: harness.Case) -> float | None:
    """Returns when all tasks of the guaranteed job had begun, or None."""
    starts = {}
    for event in case.events:
        if event["event"] == "start" and event["task"].startswith(URGENT_JOB):
            starts.setdefault(event["task"], event["at"])
    return max(starts.values()) if len(starts) == URGENT_TASKS else None


async def main() -> int:
    """Runs the case; returns its exit status."""
    case = harness.Case(pathlib.Path(__file__).resolve().parent)
    try:
        fleet = harness.make_workers(case, WORKERS, 2, _get_work_s)
        await case.start(2, harness.make_configuration(), fleet)
        lasting = {"estimate-ms": 60000, "long-running": True, "count": FAILING_TASKS}
        lasting |= {"cpu": 32000, "mem-mb": 32768, "gpu": 4}
        for job in FAILING_JOBS:
            await case.submit(harness.LASTING, job, [lasting])
        await asyncio.sleep(SETTLE_S)
        if sum(len(worker.runs) for worker in fleet) < len(FAILING_JOBS) * FAILING_TASKS:
            raise RuntimeError("not all tasks are at work")
        failing = asyncio.create_task(_fail(fleet)) if harness.is_troubled() else None
        await _wait_until_empty(fleet)
        urgent = {"count": URGENT_TASKS, "cpu": 64000, "mem-mb": 65536, "gpu": 8}
        await case.submit(harness.URGENT, URGENT_JOB, [{**urgent, "estimate-ms": 1000}])
        confirmed_at_s = case.events[-1]["at"]
        await asyncio.sleep(WATCH_S)
        begin_s = _find_begin_s(case)
        after_s = None if begin_s is None else round(begin_s - confirmed_at_s, 3)
        state = await case.read_state(harness.URGENT, URGENT_JOB)
        case.record("judged", began_s=after_s, bound_s=RECLAIM_S, state=state)
        if failing is not None:
            failing.cancel()
        case.copy_log("worker_quarantined", "job_waiting")
        return 0 if after_s is not None and after_s <= RECLAIM_S else 1
    finally:
        case.end()


if __name__ == "__main__":
    harness.run(main())
