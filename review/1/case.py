"""One accepted job whose progress fits into no row stops the work of all jobs."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import harness, worker  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place; without it, the case must hold."""
TASKS = 5000
WORKERS = 24
JOBS_WITHOUT_TROUBLE = 8
"""Jobs among which the same tasks are divided without the disruption."""
ORDINARY_JOBS = 8
PAUSE_S = 1.5
FINISH_S, SPAN_S = 14.0, 3.0


async def play(case: harness.Case) -> str:
    """Submits a job with many small tasks, then ordinary ones."""
    oversized: list[int] = []
    case.put_configuration(1)
    case.watch_renewals()
    case.store.on_oversized = lambda vm, size_bytes: (
        oversized.append(size_bytes),
        case.record("row_refused", vm=vm, bytes=size_bytes),
    )
    for number in range(WORKERS):
        await case.add_worker(f"i-7f3a91{number:02x}").start()
    await case.start_vms(3)
    small = worker.Need(cpu=100, mem_mb=128, work_s=30.0)
    jobs = 1 if case.has_trouble else JOBS_WITHOUT_TROUBLE
    for _ in range(jobs):
        job_id = case.make_job_id()
        fields = {"count": TASKS // jobs, "estimate-ms": 30000}
        await case.submit(case.vms[0], job_id, case.make_steps(job_id, (fields, small)))
    await asyncio.sleep(2.0)
    total = sum(found.capacity.cpu for found in case.workers.values())
    plain = worker.Need(cpu=8000, mem_mb=4000, gpu=1, work_s=2.0)
    accepted_at_s: dict[str, float] = {}
    waited_s: dict[str, float] = {}
    most_in_use = 0

    def look() -> None:
        nonlocal most_in_use
        most_in_use = max(most_in_use, sum(w.count_cpu() for w in case.workers.values()))
        for job_id, since_s in accepted_at_s.items():
            if job_id not in begun and case.list_running(job_id):
                begun.add(job_id)
            if job_id not in begun:
                waited_s[job_id] = time.monotonic() - since_s

    begun: set[str] = set()
    for number in range(ORDINARY_JOBS):
        plain_id = case.make_job_id()
        steps = case.make_steps(plain_id, ({"count": 1, "estimate-ms": 2000}, plain))
        await case.submit(case.vms[number % len(case.vms)], plain_id, steps)
        accepted_at_s[plain_id] = time.monotonic()
        until_s = time.monotonic() + PAUSE_S
        while time.monotonic() < until_s:
            look()
            await asyncio.sleep(0.05)
    until_s = time.monotonic() + FINISH_S + SPAN_S + 1.0
    while time.monotonic() < until_s:
        look()
        await asyncio.sleep(0.05)
    # Judged are the jobs that have nothing running from `finish_s` after the last one came.
    late = {job_id: round(s, 2) for job_id, s in waited_s.items() if job_id not in begun}
    case.record(
        "checked",
        waited_too_long_s=late,
        of=ORDINARY_JOBS,
        never_begun=len(accepted_at_s) - len(begun),
        most_cpu_in_use=most_in_use,
        cpu=total,
        rows_refused=len(oversized),
    )
    if late and most_in_use * 2 < total:
        return (
            f"LOST: {len(late)} of {ORDINARY_JOBS} ordinary jobs had nothing running for up to "
            f"{max(late.values()):.1f} s, with at most {most_in_use} of {total} thousandths of a "
            f"core in use; {len(oversized)} writes were refused"
        )
    return ""


if __name__ == "__main__":
    sys.exit(harness.run_case(str(FOLDER), play, HAS_TROUBLE))
