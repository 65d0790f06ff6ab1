"""A large gang of priority 1 waits; then guaranteed work finds the free workers reserved."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin2 import harness  # noqa: E402

OTHER_JOB = "5c0e7a21d94b36f8"
GANG_JOB = "77aa7a21d94b36f8"
GUARANTEED_JOB = "aa007a21d94b36f8"
WORKERS = 8
OTHER_TASKS = 4
OTHER_GUARANTEED_GPU = 32
GANG_TASKS = 6
LONG_WORK_S = 60.0
GUARANTEED_TASKS = 2
GUARANTEED_WORK_S = 1.0
SETTLE_S = 3.0
RECLAIM_S = 2.7
WATCH_S = 25.0


def _get_work_s(task: str) -> float:
    return GUARANTEED_WORK_S if task.startswith(GUARANTEED_JOB) else LONG_WORK_S


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
        fleet = harness.make_workers(case, WORKERS, 4, _get_work_s)
        configuration = harness.make_configuration()
        configuration["tenants"][1]["guaranteed"]["gpu"] = OTHER_GUARANTEED_GPU
        await case.start(2, configuration, fleet)
        need = {"cpu": 64000, "mem-mb": 65536, "gpu": 8}
        other = {"count": OTHER_TASKS, "estimate-ms": 60000, **need}
        await case.submit(harness.URGENT, OTHER_JOB, [other], harness.OTHER_KEY)
        await asyncio.sleep(SETTLE_S)
        if harness.is_troubled():
            gang = {"count": GANG_TASKS, "gang": True, "estimate-ms": 60000, **need}
            await case.submit(harness.LASTING, GANG_JOB, [gang], harness.OTHER_KEY)
        await asyncio.sleep(SETTLE_S)
        empty = sum(not worker.runs for worker in fleet)
        guaranteed = {"count": GUARANTEED_TASKS, "estimate-ms": 1000, **need}
        await case.submit(harness.URGENT, GUARANTEED_JOB, [guaranteed])
        confirmed_at_s = case.events[-1]["at"]
        await asyncio.sleep(WATCH_S)
        begin_s = _find_begin_s(case)
        after_s = None if begin_s is None else round(begin_s - confirmed_at_s, 3)
        case.record("judged", began_s=after_s, bound_s=RECLAIM_S, empty_workers=empty)
        case.copy_log("job_accepted", "job_waiting", "preempted")
        return 0 if after_s is not None and after_s <= RECLAIM_S else 1
    finally:
        case.end()


if __name__ == "__main__":
    harness.run(main())
