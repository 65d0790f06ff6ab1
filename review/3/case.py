"""A cancelled task runs on after its holder was lost while its worker was out of reach."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import harness, web, worker  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place; without it, the case must hold."""
WORKERS = 6
"""One of them is cut off, within the share of 0.17 of the site's entry of this kind."""
CUT_S = 2.2
"""Length of the cut of the worker, below the 5.5 s of the site's entry of this kind."""
CANCEL_AFTER_S = 0.2
KILL_AFTER_S = 0.2
DOWN_S = 3.5
"""Time without power of the holder, that of the site's entry of this kind."""
CONTACT_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.4
MARGIN_S = 2.0


async def play(case: harness.Case) -> str:
    """Cancels a job whose worker is cut off, and ends the holder before the cut ends."""
    case.put_configuration(1)
    case.watch_renewals()
    for number in range(WORKERS):
        await case.add_worker(f"i-000{number}").start()
    await case.start_vms(3)
    job_id = case.make_job_id()
    need = worker.Need(cpu=26000, mem_mb=38000, gpu=4)
    steps = case.make_steps(
        job_id, ({"count": 1, "estimate-ms": 60000, "long-running": True}, need)
    )
    await case.submit(case.vms[0], job_id, steps)
    await case.wait_for("the task runs", lambda: bool(case.list_running(job_id)), 10.0)
    await asyncio.sleep(4.0)
    (running,) = case.list_running(job_id)
    chosen = case.workers[running.partition("@")[2]]
    cut_ends_s = 0.0

    async def gate(_: web.Request) -> str:
        return "silent" if time.monotonic() < cut_ends_s else "serve"

    chosen.gate = gate
    holder = case.find_holder()
    caller = next(vm for vm in case.vms if vm is not holder)
    if case.has_trouble:
        cut_ends_s = time.monotonic() + CUT_S
        case.record("cut_begins", worker=chosen.worker_id, for_s=CUT_S)
    await asyncio.sleep(CANCEL_AFTER_S)
    answer = await case.call_job(caller, "DELETE", job_id)
    if answer is None or not (answer[0] < 300 or answer[0] == 410):
        raise harness.CaseError("the cancel was not acknowledged")
    if case.has_trouble:
        await asyncio.sleep(KILL_AFTER_S)
        case.record("power_off", vm=holder.name, for_s=DOWN_S)
        await holder.kill()
        power_on_s = time.monotonic() + DOWN_S
        await asyncio.sleep(max(0.0, cut_ends_s - time.monotonic()))
        case.record("cut_ends", worker=chosen.worker_id)
        await asyncio.sleep(max(0.0, power_on_s - time.monotonic()))
        holder.start()
        case.record("power_on", vm=holder.name)
    # Nothing is disturbed from here on.
    await asyncio.sleep(CONTACT_S + CANCEL_S + STOP_S + MARGIN_S)
    running_now = case.list_running(job_id)
    status = await case.call_job(caller, "GET", job_id)
    case.record("checked", running=running_now, shown=status)
    if running_now:
        return (
            f"UNASKED: {running_now} still runs, "
            f"{CONTACT_S + CANCEL_S + STOP_S + MARGIN_S:.1f} s after the last disruption ended"
        )
    return ""


if __name__ == "__main__":
    sys.exit(harness.run_case(str(FOLDER), play, HAS_TROUBLE))
