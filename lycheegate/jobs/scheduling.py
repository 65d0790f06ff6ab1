"""Scheduling pass: places waiting tasks, preempts runs for them, or reserves room for them."""

import dataclasses

from lycheegate.jobs import (
    commands,
    estimates,
    headroom,
    lifecycle,
    model,
    ordering,
    placement,
    pool,
    preemption,
    runs,
    state,
)

__all__ = ["schedule"]

MAX_PLANNED_RESERVATIONS = 2
"""Maximum number of blocked gangs with a reservation that preempts nothing; more would leave too
many workers idle."""
MAX_LOCALITY_WAIT_RATIO = 1.0
"""How long a task waits for room in the rack of its data before it may run elsewhere, as a
multiple of its declared duration."""
PREEMPTION_MARGIN_S = 0.4
"""Time for a stop order to reach the worker and for its report of the end to arrive, in addition
to the time that the worker takes to stop a run."""
URGENT_VICTIM_COST = 5000.0
"""Added to the cost of stopping urgent work, in core-seconds. Little work is lost with an urgent
run because it is short, but its job would miss its objective, which long jobs seldom do."""
GANG_INDEX = -1
"""Stands for all tasks of a gang in keys of reservations and victims."""


@dataclasses.dataclass(slots=True)
class _Unit:
    """Tasks that are placed together: a gang, or one task.

    Attributes:
        job: The job.
        step: The step.
        indices: Indices of the tasks within the step.
        rank: Rank of the job.
        service: Service whose workers run the tasks.
    """

    job: state.JobState
    step: state.StepState
    indices: list[int]
    rank: ordering.Rank
    service: str

    @property
    def reservation_key(self) -> state.ReservationKey:
        index = GANG_INDEX if self.step.step.gang else self.indices[0]
        return (self.job.job.job_id, *self.step.key, index)


@dataclasses.dataclass(slots=True)
class _PassContext:
    """Inputs, caches and results of one scheduling pass.

    Attributes:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
        guaranteed: Client accounts whose urgent jobs are all within their guarantee.
        workers: Usable workers, with the room that is left on them.
        capacities: Capacity of each service.
        victims: Cache of the units that work of each level may preempt.
        result: Commands of the pass.
        planned_reservations: Number of reservations for which nothing was preempted.
    """

    current: state.SchedulerState
    now_s: float
    wall_s: float
    guaranteed: set[str]
    workers: pool.WorkerPool
    capacities: dict[str, headroom.ServiceCapacity] = dataclasses.field(default_factory=dict)
    victims: dict[int, dict[tuple, preemption.VictimUnit]] = dataclasses.field(default_factory=dict)
    result: list[commands.Command] = dataclasses.field(default_factory=list)
    planned_reservations: int = 0


def schedule(current: state.SchedulerState, now_s: float, wall_s: float) -> list[commands.Command]:
    """Places the tasks that fit, in order of rank, and preempts runs for urgent tasks.

    Placed runs are only intended; their start orders are sent once the intention is durable.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.

    Returns:
        Stop orders for preempted runs, and decisions to be logged.
    """
    current.schedule_due = False
    guaranteed = ordering.list_guaranteed_accounts(current)
    units = _list_units(current, guaranteed, now_s, wall_s)
    service_by_key = {key: unit.service for unit in units for key in _list_reservation_keys(unit)}
    _drop_reservations(current, service_by_key, now_s)
    if not units:
        return []
    context = _PassContext(current, now_s, wall_s, guaranteed, pool.WorkerPool(current, now_s))
    _measure_capacities(context, units)
    context.planned_reservations = sum(
        not reservation.preempts for reservation in current.reservations.values()
    )
    for unit in units:
        _place_step(context, unit)
    return context.result


def _list_units(
    current: state.SchedulerState, guaranteed: set[str], now_s: float, wall_s: float
) -> list[_Unit]:
    """Returns the unplaced tasks of each step that may start, in order of rank."""
    units: list[tuple[tuple, _Unit]] = []
    for job in state.iterate_open_jobs(current):
        rank: ordering.Rank | None = None
        for step in job.steps.values():
            if step.not_before_s > now_s or step.is_done:
                continue
            unplaced = step.list_unplaced()
            if not unplaced or not lifecycle.is_ready(job, step):
                continue
            if step.step.gang and (step.runs or len(unplaced) < step.step.count):
                continue
            rank = rank or ordering.rank_job(current, job, guaranteed, wall_s)
            if step.ready_since_s is None:
                step.ready_since_s = now_s
            service = state.get_route(current, job).service
            unit = _Unit(job, step, unplaced, rank, service)
            units.append(((*rank.as_key(), step.key), unit))
    units.sort(key=lambda item: item[0])
    return [unit for _, unit in units]


def _list_reservation_keys(unit: _Unit) -> list[state.ReservationKey]:
    key_prefix = (unit.job.job.job_id, *unit.step.key)
    if unit.step.step.gang:
        return [(*key_prefix, GANG_INDEX)]
    return [(*key_prefix, index) for index in unit.indices]


def _place_step(context: _PassContext, unit: _Unit) -> None:
    """Places the unplaced tasks of a step until one of them does not fit."""
    if unit.step.step.gang:
        _place_unit(context, unit)
        return
    for index in unit.indices:
        if not _place_unit(context, dataclasses.replace(unit, indices=[index])):
            return


def _measure_capacities(context: _PassContext, units: list[_Unit]) -> None:
    """Computes the capacity of each service, with its use and its headroom for urgent work."""
    usable = [w for w in context.current.workers.values() if context.workers.is_usable(w.worker_id)]
    for worker in usable:
        capacity = context.capacities.setdefault(worker.service, headroom.ServiceCapacity())
        capacity.largest = capacity.largest.max(worker.capacity)
    for worker in usable:
        capacity = context.capacities[worker.service]
        capacity.total += headroom.compute_share(worker.capacity, capacity.largest)
        capacity.used += headroom.compute_share(worker.capacity - worker.room, capacity.largest)
    urgent_used: dict[str, float] = {}
    for job in context.current.jobs.values():
        route = state.get_route(context.current, job)
        if route.priority == 0 and route.service in context.capacities:
            largest = context.capacities[route.service].largest
            for run in job.list_runs():
                share = headroom.compute_share(run.need, largest)
                urgent_used[route.service] = urgent_used.get(route.service, 0.0) + share
    waiting: dict[str, float] = {}
    for unit in units:
        if unit.rank.level < 2:
            share = _compute_unit_share(context, unit)
            waiting[unit.service] = waiting.get(unit.service, 0.0) + share
    for service, capacity in context.capacities.items():
        used = urgent_used.get(service, 0.0)
        recent = context.current.urgent_demand.get(service, headroom.UrgentDemand())
        demand = headroom.update_demand(recent, used + waiting.get(service, 0.0), context.now_s)
        context.current.urgent_demand[service] = demand
        capacity.headroom = headroom.compute_headroom(demand, used, capacity.total)


def _compute_unit_share(context: _PassContext, unit: _Unit) -> float:
    capacity = context.capacities.get(unit.service)
    if capacity is None:
        return 0.0
    return len(unit.indices) * headroom.compute_share(unit.step.step.need, capacity.largest)


def _drop_reservations(
    current: state.SchedulerState, service_by_key: dict[state.ReservationKey, str], now_s: float
) -> None:
    """Drops reservations that are no longer valid.

    A reservation is dropped if it has expired, if its tasks are no longer waiting, or if one of
    its workers is unusable or belongs to another service than the queue now uses.

    Args:
        current: State of the scheduler.
        service_by_key: Service of each unit that is waiting.
        now_s: Time on the scheduler's clock.
    """
    for key, reservation in list(current.reservations.items()):
        usable = all(
            (worker := current.workers.get(worker_id)) is not None
            and worker.service == service_by_key.get(key)
            and pool.is_usable(current, worker, now_s)
            for worker_id in reservation.placement.values()
        )
        if key not in service_by_key or now_s > reservation.expires_s or not usable:
            del current.reservations[key]


def _place_unit(context: _PassContext, unit: _Unit) -> bool:
    """Places a unit if it fits now, else preempts runs or reserves room for it.

    Returns:
        False if the unit did not fit. A unit with a stray run is skipped and returns True, so
        that the other tasks of its step are tried.
    """
    if any(_make_task_key(unit, index) in context.current.stray_tasks for index in unit.indices):
        return True
    reservation = context.current.reservations.get(unit.reservation_key)
    if reservation is not None:
        context.workers.remove_reservation(reservation)
    chosen = _find_reserved_workers(context, unit)
    if chosen is None and _is_admitted(context, unit):
        chosen = _choose_workers(context, unit, reservation is not None)
    if chosen is not None:
        context.current.reservations.pop(unit.reservation_key, None)
        _add_runs(context, unit, chosen)
        return True
    if reservation is not None:
        context.workers.add_reservation(reservation)
    elif unit.rank.level < 2:
        _preempt(context, unit)
    elif unit.step.step.gang and context.planned_reservations < MAX_PLANNED_RESERVATIONS:
        _plan_reservation(context, unit)
    return False


def _is_admitted(context: _PassContext, unit: _Unit) -> bool:
    """Returns whether a unit may start without using the headroom for urgent work."""
    if unit.rank.level < 2:
        return True
    capacity = context.capacities.get(unit.service)
    return capacity is not None and headroom.admits(capacity, _compute_unit_share(context, unit))


def _make_task_key(unit: _Unit, index: int) -> model.TaskKey:
    return model.TaskKey(unit.job.job.job_id, *unit.step.key, index)


def _find_reserved_workers(context: _PassContext, unit: _Unit) -> list[str] | None:
    """Returns the reserved workers of a unit if all of them have room now, else None."""
    reservation = context.current.reservations.get(unit.reservation_key)
    if reservation is None or set(reservation.placement) != set(unit.indices):
        return None
    need_by_worker: dict[str, model.Resources] = {}
    for worker_id in reservation.placement.values():
        need_by_worker[worker_id] = (
            need_by_worker.get(worker_id, model.Resources()) + reservation.need
        )
    if not all(need.fits(context.current.workers[w].room) for w, need in need_by_worker.items()):
        return None
    return [reservation.placement[index] for index in unit.indices]


def _choose_workers(context: _PassContext, unit: _Unit, has_reservation: bool) -> list[str] | None:
    """Returns a worker with room for each task of the unit, or None.

    Args:
        context: Inputs and results of the pass.
        unit: The unit.
        has_reservation: Whether the room reserved for it was just added back, so that earlier
            failures to place such a task prove nothing.
    """
    step = unit.step.step
    if not has_reservation and context.workers.is_full(unit.service, step):
        return None
    candidates = context.workers.list_candidates(unit.service, unit.step)
    if step.gang:
        return placement.place_gang(
            len(unit.indices),
            step.need,
            candidates,
            step.same_rack,
            step.near_rack,
            may_span=_exceeds_every_rack(unit, candidates),
        )
    waited_s = context.now_s - (unit.step.ready_since_s or context.now_s)
    only_near = bool(step.near_rack) and waited_s < MAX_LOCALITY_WAIT_RATIO * step.estimate_s
    only_near = only_near and any(c.rack == step.near_rack for c in candidates)
    worker_id = placement.place_task(step.need, candidates, step.near_rack, only_near)
    if worker_id is None and not only_near:
        context.workers.mark_full(unit.service, step)
    return [worker_id] if worker_id else None


def _exceeds_every_rack(unit: _Unit, candidates: list[placement.Candidate]) -> bool:
    """Returns whether the gang would not fit in any rack even if the rack were empty."""
    step = unit.step.step
    for rack_candidates in placement.group_by_rack(candidates).values():
        fitting = sum(
            placement.count_fitting(step.need, c.capacity, c.limit) for c in rack_candidates
        )
        if fitting >= len(unit.indices):
            return False
    return True


def _add_runs(context: _PassContext, unit: _Unit, chosen: list[str]) -> None:
    """Places the tasks of a unit on the chosen workers and logs the placement."""
    step = unit.step
    context.capacities[unit.service].used += _compute_unit_share(context, unit)
    if step.step.gang:
        number = max(step.run_numbers.values(), default=0) + 1
        numbers = [number] * len(unit.indices)
    else:
        numbers = [step.run_numbers.get(index, 0) + 1 for index in unit.indices]
    for index, worker_id, number in zip(unit.indices, chosen, numbers, strict=True):
        worker = context.current.workers[worker_id]
        context.workers.allocate(worker_id, step.step.need)
        runs.add_run(context.current, unit.job, step, index, worker, number, context.now_s)
    fields = {
        "job": unit.job.job.job_id,
        "step": f"{step.key[0]}.{step.key[1]}",
        "tasks": len(unit.indices),
        "run": numbers[0],
        "workers": sorted(set(chosen)),
        "level": unit.rank.level,
        "waited_s": round(context.now_s - (step.ready_since_s or context.now_s), 3),
        "configuration": context.current.configuration.version
        if context.current.configuration
        else 0,
    }
    context.result.append(commands.Decision("placed", fields))


def _preempt(context: _PassContext, unit: _Unit) -> None:
    """Stops less urgent runs so that an urgent unit fits, and reserves their room for it."""
    step = unit.step.step
    candidates = context.workers.list_candidates(unit.service, unit.step)
    if not candidates:
        return
    victims = _get_victims(context, unit.rank.level)
    found = preemption.choose_victims(
        len(unit.indices), step.need, candidates, list(victims.values()), step.same_rack
    )
    if found is None:
        return
    stopped = [victim for victim in found.victims if victim.cost > 0.0]
    for victim in stopped:
        context.result += _stop_victim(context, victim.key)
        for cached in context.victims.values():
            cached.pop(victim.key, None)
    fields = {
        "job": unit.job.job.job_id,
        "victims": [":".join(map(str, victim.key)) for victim in stopped],
        "awaited": len(found.victims) - len(stopped),
        "lost_core_s": round(found.cost, 1),
        "level": unit.rank.level,
    }
    context.result.append(commands.Decision("preempted", fields))
    # If a stop takes longer, its worker is probably unreachable. The reservation then expires and
    # the next pass stops other runs instead.
    timeout_s = context.current.policy.stop_s + PREEMPTION_MARGIN_S
    if len(stopped) < len(found.victims):
        timeout_s = max(timeout_s, 2.0 * estimates.NEARLY_DONE_S)
    _reserve(context, unit, found.placement, timeout_s, preempts=True)
    context.current.schedule_due = True


def _reserve(
    context: _PassContext, unit: _Unit, chosen: list[str], timeout_s: float, preempts: bool
) -> None:
    reservation = state.Reservation(
        dict(zip(unit.indices, chosen, strict=True)),
        unit.step.step.need,
        context.now_s + timeout_s,
        preempts,
    )
    context.current.reservations[unit.reservation_key] = reservation
    context.workers.add_reservation(reservation)


def _get_victims(context: _PassContext, level: int) -> dict[tuple, preemption.VictimUnit]:
    """Returns the units that work of a level may preempt, without runs placed in this pass."""
    if level not in context.victims:
        context.victims[level] = _list_victims(context, level)
    return context.victims[level]


def _list_victims(context: _PassContext, level: int) -> dict[tuple, preemption.VictimUnit]:
    """Returns the units that work of a level may preempt, by key.

    Units that are nearly done cost 0, except for guaranteed work; they are awaited instead of
    stopped. Long-running steps that limit how many tasks may be stopped are left out.
    """
    victims: dict[tuple, preemption.VictimUnit] = {}
    for job in context.current.jobs.values():
        if not _may_preempt(context, level, job):
            continue
        for step in job.steps.values():
            if step.is_done or step.step.long_running and step.step.may_miss:
                continue
            is_urgent = state.get_route(context.current, job).priority == 0
            for group in _group_runs(step):
                victim = _make_victim(context, job, step, group)
                # Guaranteed work preempts even runs that are nearly done, because a run on a
                # failing worker may never end.
                may_wait = level > 0
                if may_wait and all(estimates.is_nearly_done(run, context.now_s) for run in group):
                    victim = dataclasses.replace(victim, cost=0.0)
                elif is_urgent:
                    victim = dataclasses.replace(victim, cost=victim.cost + URGENT_VICTIM_COST)
                victims[victim.key] = victim
    return victims


def _may_preempt(context: _PassContext, level: int, job: state.JobState) -> bool:
    """Returns whether work of a level may preempt runs of a job."""
    route = state.get_route(context.current, job)
    if route.priority > 0:
        return True
    # Urgent work beyond its account's guarantee only borrows idle room, so guaranteed work may
    # preempt it.
    return level == 0 and job.job.account not in context.guaranteed


def _group_runs(step: state.StepState) -> list[list[state.Run]]:
    """Returns the runs of a step that are not stopping, grouped into those stopped together."""
    active = [run for run in step.runs.values() if run.phase is not state.RunPhase.STOPPING]
    if step.step.gang:
        return [active] if active else []
    return [[run] for run in active]


def _make_victim(
    context: _PassContext, job: state.JobState, step: state.StepState, group: list[state.Run]
) -> preemption.VictimUnit:
    index = GANG_INDEX if step.step.gang else group[0].task.index
    room_by_worker: dict[str, model.Resources] = {}
    for run in group:
        room_by_worker[run.worker_id] = (
            room_by_worker.get(run.worker_id, model.Resources()) + run.need
        )
    return preemption.VictimUnit(
        (job.job.job_id, *step.key, index), _estimate_loss(context, step, group), room_by_worker
    )


def _estimate_loss(context: _PassContext, step: state.StepState, group: list[state.Run]) -> float:
    """Returns the work that is lost if a group of runs is stopped, in core-seconds."""
    restart_s = context.current.policy.restore_s + context.current.policy.stop_s
    lost_s = 0.0
    for run in group:
        worked_s = 0.0 if step.step.checkpoints else max(0.0, context.now_s - run.phase_began_at_s)
        lost_s += worked_s + restart_s
    return lost_s * ordering.compute_usage(step.step.need)


def _stop_victim(context: _PassContext, key: tuple) -> list[commands.Command]:
    job_id, occurrence, number, index = key
    step = context.current.jobs[job_id].steps[occurrence, number]
    if index == GANG_INDEX:
        return runs.stop_step(context.current, step, context.now_s)
    return runs.stop_run(context.current, step.runs[index], context.now_s)


def _plan_reservation(context: _PassContext, unit: _Unit) -> None:
    """Reserves room for a blocked gang where running tasks are expected to end first."""
    step = unit.step.step
    candidates = context.workers.list_candidates(unit.service, unit.step)
    victims: list[preemption.VictimUnit] = []
    for job in context.current.jobs.values():
        for other in job.steps.values():
            if other.step.long_running:
                continue
            for group in _group_runs(other):
                remaining_s = max(
                    estimates.estimate_remaining_s(other, run, context.now_s) for run in group
                )
                victim = _make_victim(context, job, other, group)
                victims.append(dataclasses.replace(victim, cost=remaining_s))
    spans = not step.same_rack or _exceeds_every_rack(unit, candidates)
    found = preemption.choose_victims(
        len(unit.indices), step.need, candidates, victims, step.same_rack and not spans
    )
    if found is None:
        return
    context.planned_reservations += 1
    _reserve(context, unit, found.placement, context.current.policy.reservation_s, preempts=False)
