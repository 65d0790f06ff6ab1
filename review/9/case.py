"""A gang of priority 1 waits; then guaranteed work finds the free workers reserved."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin2 import harness  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is part of this run."""
OTHER_JOB = "5c0e7a21d94b36f8"
GANG_JOB = "77aa7a21d94b36f8"
GUARANTEED_JOB = "aa007a21d94b36f8"
WORKERS = 8
URGENT_NEED = {"cpu": 7500, "mem-mb": 15000, "gpu": 8}
"""What a task of booking-match needs, with the most accelerators."""
OTHER_TASKS = 2
OTHER_GUARANTEED_GPU = 16
GANG_TASKS = 7
GANG_NEED = {"cpu": 26000, "mem-mb": 38000, "gpu": 8}
"""What a task of roster-rebuild needs, with the most accelerators."""
GANG_WORK_S = 11.0
OTHER_WORK_S = 8.0
"""The longest work of these kinds of requests."""
GUARANTEED_TASKS = 2
GUARANTEED_WORK_S = 2.5
SETTLE_S = 0.7
RECLAIM_S = 2.9
WATCH_S = 15.0


def _get_work_s(task: str) -> float:
    if task.startswith(GANG_JOB):
        return GANG_WORK_S
    return OTHER_WORK_S if task.startswith(OTHER_JOB) else GUARANTEED_WORK_S


def _find_begin_s(case: harness.Case) -> float | None:
    """Returns when all tasks of the guaranteed job had begun, or None."""
    starts: dict[str, float] = {}
    for event in case.events:
        if event["event"] == "start" and event["task"].startswith(GUARANTEED_JOB):
            starts.setdefault(event["task"], event["at"])
    return max(starts.values()) if len(starts) == GUARANTEED_TASKS else None


async def main() -> int:
    """Runs the case; returns its exit status."""
    case = harness.Case(pathlib.Path(__file__).resolve().parent)
    try:
        fleet = harness.make_workers(case, WORKERS, WORKERS, _get_work_s)
        configuration = harness.make_configuration()
        configuration["tenants"][1]["guaranteed"]["gpu"] = OTHER_GUARANTEED_GPU
        await case.start(2, configuration, fleet)
        other = {"count": OTHER_TASKS, "gang": True, "estimate-ms": 8000, **URGENT_NEED}
        await case.submit(harness.URGENT, OTHER_JOB, [other], harness.OTHER_KEY)
        await asyncio.sleep(SETTLE_S)
        if IS_TROUBLED:
            gang = {"count": GANG_TASKS, "gang": True, "estimate-ms": 11000, **GANG_NEED}
            await case.submit(harness.LASTING, GANG_JOB, [gang], harness.OTHER_KEY)
        await asyncio.sleep(SETTLE_S)
        empty = sum(not worker.runs for worker in fleet)
        guaranteed = {"count": GUARANTEED_TASKS, "gang": True, "estimate-ms": 2500, **URGENT_NEED}
        await case.submit(harness.URGENT, GUARANTEED_JOB, [guaranteed])
        confirmed_at_s = case.events[-1]["at"]
        await asyncio.sleep(WATCH_S)
        begin_s = _find_begin_s(case)
        after_s = None if begin_s is None else round(begin_s - confirmed_at_s, 3)
        state = await case.read_state(harness.URGENT, GUARANTEED_JOB)
        case.record(
            "judged",
            began_s=after_s,
            bound_s=RECLAIM_S,
            watched_s=WATCH_S,
            empty_workers=empty,
            state=state,
        )
        case.copy_log("job_accepted", "job_waiting", "preempted", "worker_gone")
        return 0 if after_s is not None and after_s <= RECLAIM_S else 1
    finally:
        case.end()


if __name__ == "__main__":
    harness.run(main())
