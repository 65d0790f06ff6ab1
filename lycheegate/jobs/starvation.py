"""Bound on the time for which work stands still beside free room.

Handles jobs that have nothing running on a lightly loaded service because of a preference: the rack
of their data, one rack for a gang, workers that are not quarantined, or room that is kept for
urgent work and for gangs that wait. Each preference was made for a loaded service and ends by a
rule of its own, if at all. Here all of them give way after the same time and by the same measure of
load, for as much work as lets the job have something running.

A task that lasts until its job is cancelled gets the same however loaded its service is, since its
declared duration does not tell when other work ends.
"""

import dataclasses

from lycheegate.jobs import commands, lifecycle, model, placement, state, units

__all__ = [
    "STANDSTILL_S",
    "choose_workers",
    "find_idle_since",
    "is_starved",
    "make_decision",
    "measure_loads",
    "update_absences",
    "update_deferred_shapes",
]

STANDSTILL_S = 2.0
"""Time without a run after which preferences give way. Work must not stand still for 3 s, and its
intention has to be stored and its order sent before it runs."""
LIGHT_LOAD_RATIO = 0.5
"""Share of its capacity below whose use a service is lightly loaded."""
RECOVERY_S = 4.0
"""Time since the last failure in a service from which a gang or a last attempt may start on a
worker that has failed, rather than stand still. During a wave of failures, other work fails more
often than that."""
SPARE_FACTOR = 2
"""How many times over there must be room for work for which preferences give way."""
PENDING_START_S = 1.5
"""Age up to which a placed run counts as about to start."""
SETTLING_S = 0.5
"""Time from the begin of a term within which the workers report for the first time."""
VACANCY_S = 1.0
"""Time between two terms for which nothing starts, unless the first was released."""
MAX_SEARCHES = 20
"""Maximum number of searches for room in one pass; each looks at all workers of a service. Work
that is not searched for in one pass is in a later one, which leaves out the vain searches."""


@dataclasses.dataclass(slots=True)
class _Use:
    """Use of the registered workers of a service."""

    used: model.Resources = model.Resources()
    capacity: model.Resources = model.Resources()

    def compute_ratio(self) -> float:
        """Returns the used share of the resource of which the smallest share is used."""
        ratios = [self.used.cpu_millicores / max(1, self.capacity.cpu_millicores)]
        if self.capacity.accelerators:
            ratios.append(self.used.accelerators / self.capacity.accelerators)
        return min(ratios)


def measure_loads(current: state.SchedulerState) -> dict[str, float]:
    """Returns which share of each service is in use, as somebody sees it who looks at the workers.

    All registered workers count, also those that may get no work at the moment. Without them, a
    service with many quarantined, draining or silent workers would seem loaded.
    """
    uses: dict[str, _Use] = {}
    for worker in current.workers.values():
        if worker.registered and not worker.is_replaced:
            use = uses.setdefault(worker.service, _Use())
            use.capacity = use.capacity + worker.capacity
            use.used = use.used + (worker.capacity - worker.room)
    return {service: use.compute_ratio() for service, use in uses.items()}


def update_absences(step: state.StepState, now_s: float) -> None:
    """Updates since when each task of a step that lasts has had no run."""
    since_s = step.absent_since_s
    step.absent_since_s = {index: since_s.get(index, now_s) for index in step.list_unplaced()}


def find_idle_since(
    current: state.SchedulerState, job: state.JobState, now_s: float
) -> float | None:
    """Returns from when on a job has had nothing running although a step of it was ready.

    Args:
        current: State of the scheduler.
        job: The job.
        now_s: Time on the scheduler's clock.

    Returns:
        The time on the scheduler's clock, or None if something runs or is about to.
    """
    since_s = job.ran_until_s
    for step in job.steps.values():
        for run in step.runs.values():
            if run.phase is state.RunPhase.RUNNING:
                reported_at_s = _find_silent_since(current, run.worker_id, now_s)
                if reported_at_s is None:
                    return None
                since_s = max(since_s, reported_at_s)
            elif _is_about_to_start(run, now_s):
                return None
    ready_s = [
        step.ready_since_s
        for step in job.steps.values()
        if step.ready_since_s is not None and not step.is_done and lifecycle.is_ready(job, step)
    ]
    if not ready_s:
        return None
    begin_s = min(ready_s)
    if begin_s - current.began_at_s < SETTLING_S:
        # Nothing has started between the terms either.
        begin_s = current.began_at_s - VACANCY_S
    return max(since_s, begin_s)


def _find_silent_since(current: state.SchedulerState, worker_id: str, now_s: float) -> float | None:
    """Returns when a worker last reported, or None if that was lately."""
    worker = current.workers.get(worker_id)
    if worker is None:
        return current.began_at_s
    if now_s - worker.reported_at_s < current.policy.report_stale_s:
        return None
    return max(worker.reported_at_s, current.began_at_s)


def _is_about_to_start(run: state.Run, now_s: float) -> bool:
    is_placed = run.phase in (state.RunPhase.INTENDED, state.RunPhase.ORDERED)
    return is_placed and now_s - run.phase_began_at_s < PENDING_START_S


def is_starved(context: units.PassContext, unit: units.Unit) -> bool:
    """Returns whether preferences give way for a unit that got no place."""
    now_s = context.now_s
    if now_s - context.current.began_at_s < SETTLING_S:
        return False
    if unit.step.step.long_running:
        absent_s = [unit.step.absent_since_s.get(index, now_s) for index in unit.indices]
        return now_s - min(absent_s) >= STANDSTILL_S
    if context.loads is None:
        context.loads = measure_loads(context.current)
    if context.loads.get(unit.service, 1.0) >= LIGHT_LOAD_RATIO:
        return False
    since_s = find_idle_since(context.current, unit.job, now_s)
    return since_s is not None and now_s - since_s >= STANDSTILL_S


def choose_workers(context: units.PassContext, unit: units.Unit) -> list[str] | None:
    """Returns a worker for each task of a starved unit without regard to preferences, or None.

    Room that was freed for other units by stopping runs stays theirs.

    Args:
        context: Inputs and results of the pass. The unit's own reservation is not in it.
        unit: The unit.
    """
    shape = _make_shape(unit)
    if shape in context.unplaced_shapes or shape in context.current.deferred_shapes:
        return None
    if context.relief_searches >= MAX_SEARCHES:
        context.is_relief_limited = True
        return None
    context.relief_searches += 1
    if not _has_spare_room(context, unit):
        context.unplaced_shapes.add(shape)
        return None
    planned = {
        key: reservation
        for key, reservation in context.current.reservations.items()
        if not reservation.preempts and key != unit.reservation_key
    }
    for reservation in planned.values():
        context.workers.remove_reservation(reservation)
    try:
        chosen = _choose(context, unit)
        # Room that was reserved where others start now is of no use to the gang that waits for it.
        taken = [
            key
            for key, r in planned.items()
            if not set(chosen or ()).isdisjoint(r.placement.values())
        ]
        for key in taken:
            del context.current.reservations[key], planned[key]
    finally:
        for reservation in planned.values():
            context.workers.add_reservation(reservation)
    if chosen is None:
        context.unplaced_shapes.add(shape)
    return chosen


def update_deferred_shapes(context: units.PassContext) -> None:
    """Defers what was searched for in vain until all other work has been searched for."""
    current = context.current
    if context.is_relief_limited:
        current.deferred_shapes |= context.unplaced_shapes
    else:
        current.deferred_shapes = frozenset()


def _has_spare_room(context: units.PassContext, unit: units.Unit) -> bool:
    """Returns whether there is room for a unit twice over, also on workers that it may not use now.

    Otherwise, others have to wait for each place that it takes against their preferences.
    """
    step = unit.step.step
    count = SPARE_FACTOR * len(unit.indices)
    key = (unit.service, step.label, step.need, step.max_per_worker, count)
    if key not in context.spare_rooms:
        limit = step.max_per_worker or count
        held = 0
        for worker in context.current.workers.values():
            if worker.service != unit.service or not worker.registered or worker.is_replaced:
                continue
            if not step.label or step.label in worker.labels:
                held += placement.count_fitting(step.need, worker.room, limit)
                if held >= count:
                    break
        context.spare_rooms[key] = held >= count
    return context.spare_rooms[key]


def _make_shape(unit: units.Unit) -> tuple:
    """Returns what a search for room depends on; units with a history have their own."""
    step = unit.step
    has_history = step.failures or step.avoided_workers or step.crash_weights
    own = unit.reservation_key if has_history or step.step.max_per_worker else None
    count = len(unit.indices)
    return (unit.service, step.step.label, step.step.need, count, step.step.gang, own)


def _choose(context: units.PassContext, unit: units.Unit) -> list[str] | None:
    candidates = units.list_allowed(context, unit)
    if unit.step.step.gang or units.is_last_attempt(context, unit):
        # One member on a faulty worker fails its gang, and a last attempt its job.
        sound = placement.list_sound(len(unit.indices), unit.step.step.need, candidates)
        chosen = _place(unit, [c for c in sound if c.worker_id not in context.workers.unproved])
        return chosen or _place(unit, _list_recovered(context, unit, candidates))
    chosen = _place(unit, candidates)
    if chosen is not None:
        return chosen
    # One run at a time shows whether a quarantined worker is still faulty. The first that has room
    # is taken, so that one that stays faulty does not get all of these runs.
    tried = (
        _place(unit, [candidate])
        for candidate in context.workers.list_quarantined(unit.service, unit.step)
    )
    return next((chosen for chosen in tried if chosen is not None), None)


def _list_recovered(
    context: units.PassContext, unit: units.Unit, candidates: list[placement.Candidate]
) -> list[placement.Candidate]:
    """Returns all workers if nothing has failed on any of the service lately, else none.

    The workers on which nothing has failed may be in use for long, and nothing else may be waiting
    that could prove the others sound. One gang or last attempt is tried in a pass.
    """
    of_service = [w for w in context.current.workers.values() if w.service == unit.service]
    failed_at_s = max(worker.failed_at_s for worker in of_service)
    if context.now_s - failed_at_s < RECOVERY_S or unit.service in context.recovered_services:
        return []
    context.recovered_services.add(unit.service)
    return [*candidates, *context.workers.list_quarantined(unit.service, unit.step)]


def _place(unit: units.Unit, candidates: list[placement.Candidate]) -> list[str] | None:
    step = unit.step.step
    if not step.gang:
        worker_id = placement.place_task(step.need, candidates, step.near_rack, only_near=False)
        return [worker_id] if worker_id else None
    for preferred in placement.list_by_tier(candidates):
        chosen = placement.place_gang(
            len(unit.indices), step.need, preferred, step.same_rack, step.near_rack, may_span=True
        )
        if chosen is not None:
            return chosen
    return None


def make_decision(context: units.PassContext, unit: units.Unit) -> commands.Decision:
    """Returns the log line for a unit that was placed without regard to preferences."""
    load = (context.loads or {}).get(unit.service)
    fields = {
        "job": unit.job.job.job_id,
        "account": unit.job.job.account,
        "step": f"{unit.step.key[0]}.{unit.step.key[1]}",
        "load": None if load is None else round(load, 3),
        "waited_s": round(unit.step.compute_waited_s(context.now_s), 3),
    }
    return commands.Decision("preferences_waived", fields)
