"""Work on workers that are about to leave.

Answers the load pattern in which many workers are taken away at short notice. What runs there when
a worker leaves is lost, and is known to be lost only when its lease has lapsed. So runs that cannot
end in time are stopped beforehand: work that saves its progress as late as possible, other work at
once, since it starts anew anyway.
"""

from lycheegate.jobs import commands, estimates, runs, state

__all__ = ["evacuate"]

STOP_MARGIN_S = 0.6
"""Time beyond a worker's own for a stop to be ordered and its checkpoint to be listed."""


def evacuate(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Stops runs that would be lost with workers that leave soon."""
    result: list[commands.Command] = []
    for worker in current.workers.values():
        if not worker.draining or worker.leaves_at_s is None:
            continue
        for run in list(worker.runs.values()):
            if run.phase is not state.RunPhase.STOPPING:
                result += _evacuate_run(current, run, worker.leaves_at_s - now_s, now_s)
    return result


def _evacuate_run(
    current: state.SchedulerState, run: state.Run, left_s: float, now_s: float
) -> list[commands.Command]:
    step = runs.find_step(current, run.task)
    if step is None or not _must_stop(current, step, run, left_s, now_s):
        return []
    fields = {
        "job": run.task.job_id,
        "step": f"{step.key[0]}.{step.key[1]}",
        "worker": run.worker_id,
        "leaves_in_s": round(left_s, 2),
    }
    result: list[commands.Command] = [commands.Decision("evacuated", fields)]
    if step.step.gang:
        return result + runs.stop_step(current, step, now_s)
    return result + runs.stop_run(current, run, now_s)


def _must_stop(
    current: state.SchedulerState,
    step: state.StepState,
    run: state.Run,
    left_s: float,
    now_s: float,
) -> bool:
    if not step.step.long_running and estimates.estimate_left_s(step, run, now_s) <= left_s:
        return False
    loses_nothing = step.step.checkpoints or step.step.long_running
    return not loses_nothing or left_s <= current.policy.stop_s + STOP_MARGIN_S
