"""Waves of failures: many workers of a service begin to fail what they start.

Handles the minutes after a fault that hits many workers at once, such as a bad update, while gangs
wait. One failing member fails its whole gang, so gangs that are placed on workers not yet known to
be faulty fail again and again. During a wave, gangs prefer workers that have proved sound since it
began, and only a few gangs at a time start on others.
"""

import collections

from lycheegate.jobs import commands, health, state

__all__ = [
    "MAX_UNPROVED_GANGS",
    "count_starting_gangs",
    "list_unproved",
    "update_waves",
]

MIN_WAVE_WORKERS = health.MAX_SUSPECTS_PER_STEP + 1
"""Number of workers that become suspected within ``WAVE_WINDOW_S`` from which this is a wave. A
single faulty step makes at most one less suspected."""
WAVE_WINDOW_S = 3.0
WAVE_END_S = health.SUSPICION_S
"""Time without a further suspected worker after which a wave is over. Gangs may then be placed on
the last of the suspected workers again."""
PROVED_AFTER_S = health.EARLY_FAILURE_S
"""Age that a run must reach to prove its worker; a faulty worker fails it before."""
MAX_UNPROVED_GANGS = 2
"""Number of gangs of a service that start on unproved workers at a time, in a wave."""


def update_waves(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Detects the begin and the end of waves, and records which workers have proved sound.

    Only services whose configuration asks for it have waves.

    The times at which workers became suspected follow from the ends of their suspicion, which a
    new holder knows from the previous one.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.

    Returns:
        Decisions to be logged.
    """
    services = current.configuration.services.values() if current.configuration else ()
    limited = {service.name for service in services if service.limits_unproved_gangs}
    suspected_at_s: dict[str, list[float]] = collections.defaultdict(list)
    for worker in current.workers.values():
        if worker.service in limited and health.is_suspected(worker, now_s):
            at_s = worker.suspected_until_s - health.SUSPICION_S
            suspected_at_s[worker.service].append(at_s)
    result: list[commands.Command] = []
    for service in suspected_at_s.keys() | current.failure_waves.keys():
        times_s = sorted(suspected_at_s[service])
        wave = current.failure_waves.get(service)
        if wave is None:
            result += _begin_wave(current, service, times_s)
        elif times_s and times_s[-1] > wave.last_at_s:
            current.failure_waves[service] = state.FailureWave(wave.began_at_s, times_s[-1])
        elif now_s - wave.last_at_s >= WAVE_END_S:
            del current.failure_waves[service]
            fields = {"service": service, "lasted_s": round(now_s - wave.began_at_s, 3)}
            result.append(commands.Decision("failure_wave_ended", fields))
    if current.failure_waves:
        _record_proofs(current)
    return result


def _begin_wave(
    current: state.SchedulerState, service: str, times_s: list[float]
) -> list[commands.Command]:
    """Begins a wave if enough workers became suspected within a short time."""
    for first_s, last_s in zip(times_s, times_s[MIN_WAVE_WORKERS - 1 :], strict=False):
        if last_s - first_s <= WAVE_WINDOW_S:
            current.failure_waves[service] = state.FailureWave(first_s, times_s[-1])
            fields = {"service": service, "workers": len(times_s)}
            return [commands.Decision("failure_wave_began", fields)]
    return []


def _record_proofs(current: state.SchedulerState) -> None:
    """Records the workers that list a run which has been running for long enough."""
    for worker in current.workers.values():
        wave = current.failure_waves.get(worker.service)
        if wave is not None and _is_unproved(worker, wave):
            # A silent worker may have failed its runs, so only its last list proves anything.
            began_before_s = worker.listed_at_s - PROVED_AFTER_S
            if any(
                run.phase is state.RunPhase.RUNNING
                and run.running_since_s is not None
                and wave.began_at_s <= run.running_since_s <= began_before_s
                for run in worker.runs.values()
            ):
                worker.proved_at_s = worker.listed_at_s


def _is_unproved(worker: state.WorkerState, wave: state.FailureWave) -> bool:
    return worker.proved_at_s is None or worker.proved_at_s < wave.began_at_s


def list_unproved(current: state.SchedulerState) -> frozenset[str]:
    """Returns the workers in a wave of failures on which no run has proved successful since."""
    if not current.failure_waves:
        return frozenset()
    return frozenset(
        worker.worker_id
        for worker in current.workers.values()
        if worker.service in current.failure_waves
        and _is_unproved(worker, current.failure_waves[worker.service])
    )


def count_starting_gangs(
    current: state.SchedulerState, service: str, unproved: frozenset[str]
) -> int:
    """Returns how many gangs of a service are being started on unproved workers."""
    wave = current.failure_waves.get(service)
    if wave is None:
        return 0
    return sum(
        any(_is_starting(run, wave) and run.worker_id in unproved for run in step.runs.values())
        for job in current.jobs.values()
        if state.get_route(current, job).service == service
        for step in job.steps.values()
        if step.step.gang
    )


def _is_starting(run: state.Run, wave: state.FailureWave) -> bool:
    if run.phase is state.RunPhase.RUNNING:
        return run.running_since_s is not None and run.running_since_s >= wave.began_at_s
    return run.phase is not state.RunPhase.STOPPING
