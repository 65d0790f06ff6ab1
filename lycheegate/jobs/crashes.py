"""Tasks that crash the workers that start them.

Handles jobs some of whose tasks crash each worker soon after it has started them. All other runs on
such a worker are lost with it. A crash therefore counts only for those runs on the worker that it
had not reported for a while after their start. A task for which a crash counts is tried apart from
other new runs, so that a further crash counts for no other task; after ``MAX_CRASHES`` its job
fails. The numbers of crashes are part of the job's progress record, and each recorded run names the
incarnation of its worker, so that the next holder also counts crashes between two terms.
"""

from lycheegate.jobs import commands, state

__all__ = [
    "MAX_CRASHES",
    "SURVIVAL_S",
    "get_crashes",
    "has_new_runs",
    "is_recovered",
    "is_suspect",
    "record_crash",
    "record_report",
]

MAX_CRASHES = 3
"""Number of crashes after which a task is given up. Two may be a coincidence."""
SURVIVAL_S = 0.5
"""Time after its start from which a reported run is not the cause of a later crash."""
CLEARING_S = 10.0
"""Time after its start from which a reported run proves that its task does not crash workers. It
matters for long-running tasks, of which each is near several crashes in months."""


def get_crashes(step: state.StepState, index: int) -> int:
    """Returns the number of crashes that count for a task; a gang has one number."""
    return step.crashes.get(_get_counted_index(step, index), 0)


def _get_counted_index(step: state.StepState, index: int) -> int:
    return 0 if step.step.gang else index


def is_suspect(step: state.StepState, indices: list[int]) -> bool:
    """Returns whether a crash counts for one of some tasks of a step."""
    return bool(step.crashes) and any(get_crashes(step, index) for index in indices)


def has_new_runs(worker: state.WorkerState) -> bool:
    """Returns whether a worker has runs that might be the cause if it crashed now."""
    return any(not run.has_survived for run in worker.runs.values())


def record_report(
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    worker: state.WorkerState,
    now_s: float,
) -> None:
    """Records that a worker lists a run, which clears the run and later its task of suspicion.

    Args:
        job: The job of the run.
        step: The step of the run.
        run: The run.
        worker: The worker.
        now_s: When the report was received.
    """
    run.worker_born_ms = worker.born_ms
    if run.running_since_s is None or now_s - run.running_since_s < SURVIVAL_S:
        return
    run.has_survived = True
    worker.trials.discard(run.task)
    index = _get_counted_index(step, run.task.index)
    if index in step.crashes and now_s - run.running_since_s >= CLEARING_S:
        del step.crashes[index]
        job.dirty = True


def record_crash(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
) -> list[commands.Command]:
    """Counts a crash for the task of a run that was lost with its worker, if it may be the cause.

    The members of a gang start together, so the crashes under one run of a gang count once.

    Args:
        current: State of the scheduler.
        job: The job of the run.
        step: The step of the run.
        run: The run, which has ended.

    Returns:
        The decision to be logged, or nothing if the crash does not count.
    """
    if not _may_be_cause(current, run):
        return []
    index = _get_counted_index(step, run.task.index)
    if run.number <= step.last_crashed_numbers.get(index, 0):
        return []
    step.last_crashed_numbers[index] = run.number
    step.crashes[index] = step.crashes.get(index, 0) + 1
    job.dirty = True
    fields = {
        "job": run.task.job_id,
        "task": f"{run.task.occurrence}.{run.task.step}.{run.task.index}",
        "worker": run.worker_id,
        "run": run.number,
        "crashes": step.crashes[index],
    }
    return [commands.Decision("worker_crashed", fields)]


def _may_be_cause(current: state.SchedulerState, run: state.Run) -> bool:
    """Returns whether a run that was lost with its worker may be the cause of the crash.

    The worker has confirmed the start of such a run, or an earlier holder may have received the
    confirmation. An order that was never answered was probably sent to a worker that was down.
    """
    if run.has_survived or run.phase is state.RunPhase.INTENDED:
        return False
    return run.running_since_s is not None or is_recovered(current, run)


def is_recovered(current: state.SchedulerState, run: state.Run) -> bool:
    """Returns whether a run was ordered by an earlier holder and not listed since."""
    return run.phase is state.RunPhase.ORDERED and run.phase_began_at_s <= current.began_at_s
