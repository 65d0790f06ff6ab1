"""Evacuation of data centres at the operators' request.

Handles a crowd of waiting work at the moment when a third of the workers must get nothing more.
What runs there goes on to its end: moving it would throw work away, and would need room that the
other data centres do not have.
"""

from lycheegate.jobs import commands, runs, state

__all__ = [
    "apply_evacuations",
    "is_evacuated",
    "is_view_confirmed",
    "report_unconfirmed",
]


def is_evacuated(current: state.SchedulerState, worker: state.WorkerState) -> bool:
    """Returns whether nothing may be sent to a worker because its data centre is evacuated."""
    return worker.data_centre in current.evacuations.data_centres


def is_view_confirmed(current: state.SchedulerState, now_s: float) -> bool:
    """Returns whether the operators' requests were confirmed lately enough to start runs.

    A data centre that is being evacuated since then would get work for too long.
    """
    limit_s = current.policy.max_operator_view_age_s
    if limit_s is None:
        return True
    confirmed_at_s = current.evacuations.confirmed_at_s
    return confirmed_at_s is not None and now_s - confirmed_at_s < limit_s


def apply_evacuations(
    current: state.SchedulerState, evacuations: state.Evacuations, now_s: float
) -> list[commands.Command]:
    """Applies the operators' requests, and withdraws what has been placed but not been ordered.

    Args:
        current: State of the scheduler.
        evacuations: All requests that are in force.
        now_s: Time on the scheduler's clock.

    Returns:
        Decisions to be logged, and stop orders for gangs that lose a member.
    """
    before, after = current.evacuations.data_centres, evacuations.data_centres
    current.evacuations = evacuations
    if before == after:
        return []
    current.schedule_due = True
    result: list[commands.Command] = []
    for name in sorted(after - before):
        withdrawn, stops = _withdraw_intentions(current, name, now_s)
        fields = {
            "data_centre": name,
            "withdrawn": withdrawn,
            "running": _count_runs(current, name),
        }
        result += [commands.Decision("evacuation_requested", fields), *stops]
    for name in sorted(before - after):
        fields = {"data_centre": name, "running": _count_runs(current, name)}
        result.append(commands.Decision("evacuation_ended", fields))
    return result


def _withdraw_intentions(
    current: state.SchedulerState, data_centre: str, now_s: float
) -> tuple[int, list[commands.Command]]:
    """Withdraws the runs of a data centre whose orders have not been sent; returns their number."""
    intended = [
        run
        for worker in current.workers.values()
        if worker.data_centre == data_centre
        for run in worker.runs.values()
        if run.phase is state.RunPhase.INTENDED
    ]
    result: list[commands.Command] = []
    for run in intended:
        step = runs.find_step(current, run.task)
        runs.remove_run(current, run)
        if step is not None and step.step.gang:
            result += runs.stop_step(current, step, state.StopReason.GANG_ENDED, now_s)
    return len(intended), result


def _count_runs(current: state.SchedulerState, data_centre: str) -> int:
    return sum(
        len(worker.runs) for worker in current.workers.values() if worker.data_centre == data_centre
    )


def report_unconfirmed(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Returns a decision for the log that nothing is placed, once for each lost confirmation."""
    confirmed_at_s = current.evacuations.confirmed_at_s
    if current.unconfirmed_since_s == confirmed_at_s:
        return []
    current.unconfirmed_since_s = confirmed_at_s
    fields = {
        "age_s": None if confirmed_at_s is None else round(now_s - confirmed_at_s, 3),
        "limit_s": current.policy.max_operator_view_age_s,
    }
    return [commands.Decision("evacuation_unconfirmed", fields)]
