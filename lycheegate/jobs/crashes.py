"""Tasks that crash the workers that start them.

Handles jobs some of whose tasks crash each worker soon after it has started them. All other runs on
such a worker are lost with it. A crash therefore counts only for those runs on the worker that it
had not reported for a while after their start. A task for which a crash counts is tried apart from
other new runs, so that a further crash counts for no other task; after three its job fails.

Also handles crashes of many workers for another reason, after which the lost tasks start together
and are new again when the next such crash comes. If workers without new runs crash at about the
same time, a crash weighs less, so that five fail a job. So does a further crash of the same worker,
which may be faulty; the task is tried elsewhere if possible.

The weights of the crashes are part of the job's progress record, and each recorded run names the
incarnation of its worker, so that the next holder also counts crashes between two terms.
"""

from lycheegate.jobs import commands, state

__all__ = [
    "CRASH_WEIGHT",
    "MAX_CRASH_WEIGHT",
    "REPEATED_WEIGHT",
    "SURVIVAL_S",
    "WEIGHT_AMONG_OTHERS",
    "get_crash_weight",
    "has_new_runs",
    "is_suspect",
    "list_given_up",
    "record_crash",
    "record_lost_report",
    "record_report",
    "record_worker_crash",
]

CRASH_WEIGHT = 5
WEIGHT_AMONG_OTHERS = 3
"""Weight of a crash at about the same time as crashes of workers without new runs, or of the loss
of a worker that left before the term began. It is not 0, because a task that crashes workers must
not be started six times."""
REPEATED_WEIGHT = 3
"""Weight of a further crash of the same worker under a task. The worker may be faulty, so three are
not enough to fail a job; five are, because the task may be deadly and fit on that worker only."""
MAX_CRASH_WEIGHT = 15
"""Weight from which a task is given up. Two crashes may be a coincidence."""
BASE_DELAY_S = 0.5
"""Delay before the next start after a second crash; doubles with each further one. After the last
one, it leaves time to find the crashes of other workers."""
OTHER_CRASHES = 2
"""Number of crashes of workers without new runs from which another reason is likely."""
OTHER_CRASHES_WINDOW_S = 2.0
"""How long these are remembered. Workers that crash together are not back at the same moment."""
SURVIVAL_S = 0.5
"""Time after its start from which a reported run is not the cause of a later crash."""
LOST_REPORT_S = 0.2
"""Time from a start order to the loss of the worker's report within which the run that was ordered
may be the cause. A worker that crashes resets its connections."""
CLEARING_S = 10.0
"""Time after its start from which a reported run proves that its task does not crash workers. It
matters for long-running tasks, of which each is near several crashes in months."""


def get_crash_weight(step: state.StepState, index: int) -> int:
    """Returns the weight of the crashes that count for a task; a gang has one."""
    return step.crash_weights.get(step.get_counted_index(index), 0)


def is_suspect(step: state.StepState, indices: list[int]) -> bool:
    """Returns whether a crash counts for one of some tasks of a step."""
    return bool(step.crash_weights) and any(get_crash_weight(step, index) for index in indices)


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
    index = step.get_counted_index(run.task.index)
    if index in step.crash_weights and now_s - run.running_since_s >= CLEARING_S:
        del step.crash_weights[index]
        job.dirty = True


def record_lost_report(worker: state.WorkerState, now_s: float) -> None:
    """Records that the first report of a worker was lost, for the runs that were just ordered.

    A worker that was down before would have lost its report before the order.
    """
    for run in worker.runs.values():
        is_ordered = run.phase is state.RunPhase.ORDERED
        if is_ordered and now_s - run.phase_began_at_s <= LOST_REPORT_S:
            run.may_have_started = True


def record_worker_crash(
    current: state.SchedulerState, worker: state.WorkerState, now_s: float
) -> None:
    """Records the crash of a worker if none of its runs may be the cause.

    New runs on a worker that was silent for long may have ended with its leases, so nothing is
    concluded from the crash of such a worker.
    """
    is_long_silent = now_s - worker.reported_at_s >= current.policy.lease_s
    if worker.draining or is_long_silent or has_new_runs(worker):
        return
    current.other_crashes_at_s.append(now_s)
    if _has_other_reason(current, now_s):
        _reduce_weights(current, now_s)


def _has_other_reason(current: state.SchedulerState, now_s: float) -> bool:
    """Returns whether so many workers crashed lately that new runs are not the likely reason."""
    recent = [t for t in current.other_crashes_at_s if now_s - t <= OTHER_CRASHES_WINDOW_S]
    current.other_crashes_at_s = recent
    return len(recent) >= OTHER_CRASHES


def _reduce_weights(current: state.SchedulerState, now_s: float) -> None:
    """Reduces the weights of the crashes that were counted before another reason was found."""
    counted, current.counted_crashes = _list_recent(current, now_s), []
    for crash in counted:
        job = current.jobs.get(crash.job_id)
        step = job.steps.get(crash.step_key) if job is not None else None
        if step is not None and crash.index in step.crash_weights:
            step.crash_weights[crash.index] -= CRASH_WEIGHT - WEIGHT_AMONG_OTHERS
            job.dirty = True


def _list_recent(current: state.SchedulerState, now_s: float) -> list[state.CountedCrash]:
    """Returns the counted crashes whose weight may still be reduced."""
    return [
        crash
        for crash in current.counted_crashes
        if now_s - crash.counted_at_s <= OTHER_CRASHES_WINDOW_S
    ]


def list_given_up(step: state.StepState, now_s: float) -> list[int]:
    """Returns the tasks of a step that have crashed too many workers.

    They are named only some time after the last crash, until which the step starts nothing, because
    the crashes of other workers may not have been found yet.
    """
    if not step.crash_weights or now_s < step.not_before_s:
        return []
    return [i for i, weight in step.crash_weights.items() if weight >= MAX_CRASH_WEIGHT]


def record_crash(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    now_s: float,
) -> list[commands.Command]:
    """Counts a crash for the task of a run that was lost with its worker, if it may be the cause.

    The members of a gang start together, so the crashes under one run of a gang count once.

    Args:
        current: State of the scheduler.
        job: The job of the run.
        step: The step of the run.
        run: The run, which has ended.
        now_s: Time on the scheduler's clock.

    Returns:
        The decision to be logged, or nothing if the crash does not count.
    """
    if not _may_be_cause(run):
        return []
    index = step.get_counted_index(run.task.index)
    if run.number <= step.last_crashed_numbers.get(index, 0):
        return []
    step.last_crashed_numbers[index] = run.number
    weight = CRASH_WEIGHT
    crashed_workers = step.crashed_workers.setdefault(index, set())
    if run.worker_id in crashed_workers:
        weight = REPEATED_WEIGHT
    elif run.worker_id not in current.workers or _has_other_reason(current, now_s):
        # A worker that left before this term began may have announced that.
        weight = WEIGHT_AMONG_OTHERS
    else:
        counted = state.CountedCrash(now_s, run.task.job_id, step.key, index)
        current.counted_crashes = [*_list_recent(current, now_s), counted]
    crashed_workers.add(run.worker_id)
    step.crash_weights[index] = step.crash_weights.get(index, 0) + weight
    step.not_before_s = max(step.not_before_s, now_s + _compute_delay_s(step.crash_weights[index]))
    job.dirty = True
    fields = {
        "job": run.task.job_id,
        "task": f"{run.task.occurrence}.{run.task.step}.{run.task.index}",
        "worker": run.worker_id,
        "run": run.number,
        "weight": weight,
        "total": step.crash_weights[index],
    }
    return [commands.Decision("worker_crashed", fields)]


def _compute_delay_s(weight: int) -> float:
    """Returns the delay before the next start, or before the verdict, after a crash.

    It grows with each crash, so that the next start does not meet the next of several crashes that
    come at regular intervals. The first retry is immediate.
    """
    if weight <= CRASH_WEIGHT:
        return 0.0
    return BASE_DELAY_S * 2.0 ** (weight // CRASH_WEIGHT - 1)


def _may_be_cause(run: state.Run) -> bool:
    """Returns whether a run that was lost with its worker may be the cause of the crash.

    The worker has confirmed the start of such a run, or was lost just after the order, or an
    earlier holder may have received the confirmation. Any other order that was never answered was
    probably sent to a worker that was down.
    """
    if run.has_survived or run.phase is state.RunPhase.INTENDED:
        return False
    has_started = run.running_since_s is not None or run.may_have_started
    is_recovered = run.awaits_first_report and run.phase is state.RunPhase.ORDERED
    return has_started or is_recovered
