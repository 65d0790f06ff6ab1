"""Stray runs: runs that a worker lists and that are not the current run of their task.

A task with a stray run starts nowhere, since both could run at the same time. A stray has gone once
its worker no longer lists it, has restarted, or holds no lease any more.
"""

from lycheegate.jobs import model, state

__all__ = ["add_stray", "clear_strays", "remove_stray"]


def add_stray(
    current: state.SchedulerState,
    worker: state.WorkerState,
    task: model.TaskKey,
    number: int,
    need: model.Resources,
) -> None:
    """Adds a stray run, which uses room on its worker; does nothing if it is known."""
    if (task, number) in worker.strays:
        return
    worker.strays[task, number] = need
    worker.room = worker.room - need
    current.stray_tasks[task] = current.stray_tasks.get(task, 0) + 1


def remove_stray(
    current: state.SchedulerState, worker: state.WorkerState, task: model.TaskKey, number: int
) -> None:
    """Removes a stray run and frees its room; does nothing if it is not known."""
    need = worker.strays.pop((task, number), None)
    if need is None:
        return
    worker.room = worker.room + need
    current.stray_tasks[task] -= 1
    if not current.stray_tasks[task]:
        del current.stray_tasks[task]
        current.schedule_due = True


def clear_strays(current: state.SchedulerState, worker: state.WorkerState) -> None:
    """Removes all stray and unknown runs of a worker."""
    for task, number in list(worker.strays):
        remove_stray(current, worker, task, number)
    worker.unknown_runs.clear()
