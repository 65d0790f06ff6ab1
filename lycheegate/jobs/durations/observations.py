"""Observations of durations, from reports and ends of runs.

Handles reports of hundreds of workers a second: a run gives at most one observation before its end,
and a report costs a comparison for each run that has given it or has not come far enough. Both
observations of a run share the peculiarity of its task, so the second one counts less.
"""

import dataclasses
import math

from lycheegate.jobs import commands, crashes, estimates, state
from lycheegate.jobs.durations import factors, predictions

__all__ = ["is_far", "measure_errors", "observe_end", "observe_report", "observe_stop"]

MIN_PROGRESS_PERCENT = 25
"""Progress from which the speed of a run is known well enough."""
REPEATED_NOISE_RATIO = 4.0
"""Factor of the noise of an end whose run has given an observation before."""
WAVE_SHARE = 0.85
"""Share of the first tasks of a step after whose observation their workers are compared. Some tasks
take several times as long as others, which is not waited for."""
WAVE_DURATIONS = 2.0
"""Time after which they are compared in any case, as a multiple of the first duration; a worker
that takes 2.7 times as long as the fastest has ended its tasks by then."""
MAX_WAVE = 1_000
"""Maximum number of observations that wait, which bounds the memory of large steps."""
TIME_ERROR_S = 0.05
"""Error of the times at which a run starts, reports and ends."""
REPORT_INTERVAL_S = 1.2
"""Age of the last progress from which the time of an end is uncertain: reports may have been lost,
and the run may have ended any time since."""
REPORT_S = 5.0
"""Interval at which the model is summarised in the log at most."""
MAX_REPORTED = 10
"""Number of the fastest workers, of the slowest ones, and of queues that a summary names."""
FORGET_S = 120.0
"""How long a worker that has left is remembered; a registration may be missing for a while."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Measured duration of a whole task.

    Attributes:
        duration_s: The duration, from the start to the end, in seconds.
        noise: Variance of its logarithm that comes from the measurement.
    """

    duration_s: float
    noise: float


def observe_report(
    current: state.SchedulerState, worker: state.WorkerState, now_s: float
) -> list[commands.Command]:
    """Learns from the progress of the runs on a worker, after its report was applied."""
    factors.remove_other_incarnation(current.durations, worker.worker_id, worker.born_ms)
    for run in worker.runs.values():
        if run.was_observed or run.percent < MIN_PROGRESS_PERCENT:
            continue
        if run.phase is not state.RunPhase.RUNNING:
            continue
        if run.baseline_percent is None or run.percent < run.baseline_percent + (
            MIN_PROGRESS_PERCENT
        ):
            continue
        _observe_progress(current, run, now_s)
    if now_s - current.durations.refreshed_at_s >= factors.REFRESH_S:
        _remove_departed(current, now_s)
        _remove_former_queues(current)
        factors.refresh(current.durations, now_s)
    return _report_model(current.durations, now_s)


def observe_end(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    now_s: float,
) -> None:
    """Learns from a run that has ended as done.

    The end of one member of a gang is the end of all.
    """
    if run.had_end_observed:
        return
    members = _list_members(step, run)
    measurement = _measure_end(run, members, now_s)
    for member in members:
        member.had_end_observed = True
    if measurement is not None:
        _observe(current, job, step, run, members, measurement, now_s)


def measure_errors(
    current: state.SchedulerState, step: state.StepState, run: state.Run, now_s: float
) -> dict[str, float]:
    """Returns the predicted over the measured duration of a run that has ended as done.

    Only runs whose whole duration is known are compared, and one member of a gang. The prediction
    is that of the time when the run was placed.
    """
    if run.had_end_observed or run.baseline_percent != 0 or run.baseline_at_s is not None:
        return {}
    members = _list_members(step, run)
    measurement = _measure_end(run, members, now_s)
    if measurement is None or not all(_counts(current, step, member) for member in members):
        return {}
    duration_s = measurement.duration_s
    if is_far(current, step, _list_worker_ids(members)):
        duration_s /= current.policy.far_factor
    learned_s = max(member.predicted_s for member in members)
    return {
        "declared_error": round(step.step.estimate_s / duration_s, 4),
        "learned_error": round(learned_s / duration_s, 4),
    }


def observe_stop(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    stopped_at_s: float,
) -> None:
    """Learns from a run that was stopped after it should have ended.

    Its duration would have been longer than the time that it ran. Nothing follows if that time is
    shorter than predicted, or if its worker has not reported since: it may have stood still.
    """
    if run.had_end_observed or run.was_observed:
        return
    members = _list_members(step, run)
    for member in members:
        member.had_end_observed = True
    if run.running_since_s is None or run.baseline_percent != 0:
        return
    worker = current.workers.get(run.worker_id)
    if worker is None or worker.reported_at_s < stopped_at_s:
        return
    ran_s = stopped_at_s - max(m.running_since_s or 0.0 for m in members)
    slowest = _find_slowest(current, members, stopped_at_s)
    predicted_s = predictions.predict_s(current, job, step, slowest.worker_id, stopped_at_s)
    if is_far(current, step, _list_worker_ids(members)):
        predicted_s *= current.policy.far_factor
    if ran_s > predicted_s:
        measurement = Measurement(ran_s, (TIME_ERROR_S / ran_s) ** 2)
        _observe(current, job, step, run, members, measurement, stopped_at_s)


def _observe_progress(current: state.SchedulerState, run: state.Run, now_s: float) -> None:
    job = current.jobs.get(run.task.job_id)
    step = job.steps.get((run.task.occurrence, run.task.step)) if job is not None else None
    s_per_percent = estimates.compute_s_per_percent(run)
    if step is None or s_per_percent is None:
        return
    elapsed_s = s_per_percent * (run.percent - run.baseline_percent)
    measurement = Measurement(100.0 * s_per_percent, (TIME_ERROR_S / elapsed_s) ** 2)
    _observe(current, job, step, run, _list_members(step, run), measurement, now_s)


def _measure_end(run: state.Run, members: list[state.Run], now_s: float) -> Measurement | None:
    """Returns the duration of a run that has just ended, or None if its start is not known.

    A run that resumes from a checkpoint, or was started in an earlier term, is measured from its
    first report on.
    """
    if run.baseline_percent is None or 100 - run.baseline_percent < MIN_PROGRESS_PERCENT:
        return None
    began_at_s = run.baseline_at_s
    if began_at_s is None:
        if run.running_since_s is None:
            return None
        # A gang makes progress once its last member runs.
        began_at_s = max(m.running_since_s or 0.0 for m in members)
    elapsed_s = now_s - began_at_s
    if elapsed_s <= 0.0:
        return None
    gap_s = max(0.0, now_s - run.advanced_at_s - REPORT_INTERVAL_S)
    duration_s = elapsed_s * 100.0 / (100 - run.baseline_percent)
    return Measurement(duration_s, ((TIME_ERROR_S + gap_s) / elapsed_s) ** 2)


def _observe(
    current: state.SchedulerState,
    job: state.JobState,
    step: state.StepState,
    run: state.Run,
    members: list[state.Run],
    measurement: Measurement,
    now_s: float,
) -> None:
    """Learns from the measured duration of a task, or of a gang, unless it does not count."""
    noise = factors.TASK_VARIANCE + measurement.noise
    if run.was_observed:
        noise *= REPEATED_NOISE_RATIO
    for member in members:
        member.was_observed = True
    if not all(_counts(current, step, member) for member in members):
        return
    slowest = _find_slowest(current, members, now_s)
    duration_s = measurement.duration_s
    if is_far(current, step, _list_worker_ids(members)):
        duration_s /= current.policy.far_factor
    value = math.log(duration_s) - math.log(step.step.estimate_s)
    value = max(-factors.MAX_LOG, min(factors.MAX_LOG, value))
    model = current.durations
    others_noise = _compute_others_noise(model, slowest.worker_id, members, now_s)
    born_ms = current.workers[slowest.worker_id].born_ms
    factors.remove_other_incarnation(model, slowest.worker_id, born_ms)
    effect = job.step_effects.get(step.key[1])
    if effect is None:
        queue, account = job.job.route, job.job.account
        effect = factors.make_step_effect(model, queue, account)
        job.step_effects[step.key[1]] = effect
        mean, variance = factors.get_worker_effect(model, slowest.worker_id, now_s)
        own_noise = noise + others_noise + variance
        factors.update_account(model, queue, account, value - mean, own_noise)
    wave = step.wave
    if wave is None:
        wave = step.wave = _begin_wave(step, run, measurement, now_s)
    observation = factors.Observation(slowest.worker_id, born_ms, value, noise + others_noise)
    factors.update(model, effect, wave, observation, now_s)
    model.unreported += 1
    is_observed = len(wave.waiting) >= WAVE_SHARE * wave.size or now_s >= wave.until_s
    if wave.size > 1 and (is_observed or not step.runs):
        factors.compare_workers(model, effect, wave, now_s)
        wave.size = 1


def _begin_wave(
    step: state.StepState, run: state.Run, measurement: Measurement, now_s: float
) -> factors.Wave:
    """Returns the tasks of a step that run when the first of them is observed."""
    if step.step.gang:
        return factors.Wave(1, now_s)
    size = len(step.runs) + (run.task.index not in step.runs)
    return factors.Wave(min(size, MAX_WAVE), now_s + WAVE_DURATIONS * measurement.duration_s)


def _counts(current: state.SchedulerState, step: state.StepState, run: state.Run) -> bool:
    """Returns whether the duration of a run tells the usual speed of its worker."""
    worker = current.workers.get(run.worker_id)
    if worker is None or step.step.long_running or step.step.fills or step.step.estimate_s <= 0.0:
        return False
    if run.worker_born_ms and worker.born_ms and run.worker_born_ms != worker.born_ms:
        return False
    if run.running_since_s is None or run.running_since_s < worker.cold_until_s:
        return False
    # A run on trial has its worker for itself.
    return not crashes.is_suspect(step, [run.task.index])


def _list_members(step: state.StepState, run: state.Run) -> list[state.Run]:
    """Returns a run and the other members of its gang; its end may have removed it from its step.

    The members of a gang have started together and under the same number.
    """
    if not step.step.gang:
        return [run]
    return [run, *(m for m in step.runs.values() if m is not run and m.number == run.number)]


def _find_slowest(
    current: state.SchedulerState, members: list[state.Run], now_s: float
) -> state.Run:
    """Returns the member whose worker is expected to be the slowest."""
    if len(members) == 1:
        return members[0]
    model = current.durations
    return max(
        members,
        key=lambda m: (factors.get_worker_effect(model, m.worker_id, now_s)[0], m.worker_id),
    )


def _compute_others_noise(
    model: factors.DurationModel, worker_id: str, members: list[state.Run], now_s: float
) -> float:
    """Returns the variance that comes from other members which may be the slowest instead."""
    worker_ids = {member.worker_id for member in members} - {worker_id}
    if not worker_ids:
        return 0.0
    slowest_mean, _ = factors.get_worker_effect(model, worker_id, now_s)
    excess = 0.0
    for other in worker_ids:
        mean, variance = factors.get_worker_effect(model, other, now_s)
        excess = max(excess, mean + math.sqrt(variance) - slowest_mean)
    return excess * excess


def _list_worker_ids(members: list[state.Run]) -> list[str]:
    return [member.worker_id for member in members]


def is_far(current: state.SchedulerState, step: state.StepState, worker_ids: list[str]) -> bool:
    """Returns whether a run is outside the rack of its data, or its gang spans racks and is slow.

    Args:
        current: State of the scheduler.
        step: The step.
        worker_ids: Worker of the run, or those of the members of its gang.
    """
    if not step.step.near_rack and not (step.step.same_rack and step.step.gang):
        return False
    workers = [current.workers.get(worker_id) for worker_id in worker_ids]
    racks = {worker.rack for worker in workers if worker is not None}
    if step.step.near_rack and racks - {step.step.near_rack}:
        return True
    return step.step.same_rack and len(racks) > 1


def _report_model(model: factors.DurationModel, now_s: float) -> list[commands.Command]:
    """Returns a summary of the model for the log if it has learned something since the last one."""
    if not model.unreported or now_s - model.reported_at_s < REPORT_S:
        return []
    ratios = {
        worker_id: factors.get_worker_estimate(model, worker_id, now_s).ratio
        for worker_id in model.workers
    }
    ordered = sorted(ratios, key=lambda worker_id: (ratios[worker_id], worker_id))
    queues = sorted(model.queues, key=lambda queue: (-len(model.queues[queue]), queue))
    fields = {
        "workers": len(ratios),
        "observations": model.unreported,
        "spread": round(math.exp(math.sqrt(model.worker_variance)), 3),
        "fastest": {w: round(ratios[w], 3) for w in ordered[:MAX_REPORTED]},
        "slowest": {w: round(ratios[w], 3) for w in ordered[: -MAX_REPORTED - 1 : -1]},
        "queues": {
            queue: round(math.exp(factors.get_queue_effect(model, queue).mean), 3)
            for queue in queues[:MAX_REPORTED]
        },
    }
    model.reported_at_s = now_s
    model.unreported = 0
    return [commands.Decision("durations_learned", fields)]


def _remove_departed(current: state.SchedulerState, now_s: float) -> None:
    """Removes workers that have left long ago. A new scheduler does not know the workers yet."""
    if now_s - current.began_at_s < FORGET_S:
        return
    effects = current.durations.workers
    for worker_id in effects.keys() - current.workers.keys():
        if now_s - effects[worker_id].updated_at_s >= FORGET_S:
            factors.forget_worker(current.durations, worker_id)


def _remove_former_queues(current: state.SchedulerState) -> None:
    """Removes the effects of queues that are no longer configured."""
    if current.configuration is None:
        return
    for queue in current.durations.queues.keys() - current.configuration.routes.keys():
        del current.durations.queues[queue]
