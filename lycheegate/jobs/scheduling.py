"""Scheduling pass: places waiting tasks, preempts runs for them, or reserves room for them.

Handles jobs of thousands of tasks that fit at once. Their start orders would keep the event thread
busy for seconds, and the term would expire, so a pass places a limited number of tasks.
"""

import dataclasses
import functools

from lycheegate.jobs import (
    boundaries,
    commands,
    crashes,
    data_centres,
    failure_waves,
    headroom,
    lifecycle,
    model,
    ordering,
    placement,
    pool,
    reclaiming,
    runs,
    sharing,
    starvation,
    state,
    unevenness,
    units,
)

__all__ = [
    "choose_workers",
    "compute_locality_wait_s",
    "is_admitted",
    "measure_use",
    "place_step",
    "prepare_pass",
    "schedule",
    "sum_urgent_use",
]

MAX_PLANNED_RESERVATIONS = 2
"""Maximum number of blocked gangs with a reservation that preempts nothing; more would leave too
many workers idle."""
MAX_PLACED_TASKS = 250
"""Number of tasks that a pass places, apart from urgent ones; their orders take about 0.1 s. The
others wait for the next tick or change, because passes without a pause would fill the thread."""
MAX_PLACED_URGENT_TASKS = 1000
"""Number of placed tasks from which a pass places no urgent ones either."""
MAX_COMPARED_STEPS = 5
"""Number of steps in a pass whose choice of workers is compared with the one without speeds, for
the log; each takes another search for room."""
MAX_LOCALITY_WAIT_RATIO = 1.0
"""How long a task waits for room in the rack of its data before it may run elsewhere, as a
multiple of its declared duration."""


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
    if not data_centres.is_view_confirmed(current, now_s):
        return data_centres.report_unconfirmed(current, now_s)
    context, waiting = prepare_pass(current, now_s, wall_s)
    if context is None:
        return []
    turns = sharing.list_turns(context, waiting)
    for unit in waiting:
        place_step(context, unit, turns)
    starvation.update_deferred_shapes(context)
    current.schedule_due = current.schedule_due or context.placed_tasks >= MAX_PLACED_TASKS
    return context.result


def prepare_pass(
    current: state.SchedulerState, now_s: float, wall_s: float
) -> tuple[units.PassContext | None, list[units.Unit]]:
    """Returns the context of a pass and the unplaced tasks of each step, in order of rank.

    The context is None if nothing is waiting.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
    """
    sharing.update_recent_use(current, now_s)
    guaranteed = ordering.list_guaranteed_accounts(current)
    errors: list[commands.Command] = []
    waiting = _list_units(current, guaranteed, now_s, wall_s, errors)
    if current.reservations:
        keys = ((key, unit.service) for unit in waiting for key in _list_reservation_keys(unit))
        _drop_reservations(current, dict(keys), now_s)
    if not waiting and not errors:
        return None, []
    decisions = errors + unevenness.update_uneven_services(current, now_s)
    decisions += failure_waves.update_waves(current, now_s)
    context = units.PassContext(current, now_s, wall_s, guaranteed, pool.WorkerPool(current, now_s))
    context.result += decisions
    _measure_capacities(context, waiting)
    context.planned_reservations = sum(
        not reservation.preempts for reservation in current.reservations.values()
    )
    sharing.measure_shares(context, waiting)
    return context, waiting


_Ranked = list[tuple[tuple, units.Unit]]
"""Units with their sort keys."""


def _list_units(
    current: state.SchedulerState,
    guaranteed: set[str],
    now_s: float,
    wall_s: float,
    errors: list[commands.Command],
) -> list[units.Unit]:
    """Returns the unplaced tasks of each step that may start, in order of rank."""
    ranked: _Ranked = []
    for job in state.iterate_open_jobs(current):
        list_job = functools.partial(_list_of_job, current, job, guaranteed, now_s, wall_s)
        subject = ("rank", job.job.job_id)
        ranked += boundaries.run_guarded(current, subject, now_s, list_job, errors) or []
    ranked.sort(key=lambda item: item[0])
    return [unit for _, unit in ranked]


def _list_of_job(
    current: state.SchedulerState,
    job: state.JobState,
    guaranteed: set[str],
    now_s: float,
    wall_s: float,
) -> _Ranked:
    ranked: _Ranked = []
    rank: ordering.Rank | None = None
    for step in job.steps.values():
        if step.step.long_running and lifecycle.is_ready(job, step):
            starvation.update_absences(step, now_s)
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
        unit = units.Unit(job, step, unplaced, rank, service)
        ranked.append(((*rank.as_key(), step.key), unit))
    return ranked


def _list_reservation_keys(unit: units.Unit) -> list[state.ReservationKey]:
    key_prefix = (unit.job.job.job_id, *unit.step.key)
    if unit.step.step.gang:
        return [(*key_prefix, units.GANG_INDEX)]
    return [(*key_prefix, index) for index in unit.indices]


def place_step(
    context: units.PassContext, unit: units.Unit, turns: dict[sharing.ClassKey, sharing.Turns]
) -> None:
    """Places the unplaced tasks of a step until one of them does not fit, or enough were placed.

    Where client accounts have turns, as many tasks of the accounts whose turn it is are placed.
    """
    of_class = turns.get(sharing.make_class_key(unit)) if turns else None
    if of_class is not None:
        _place_in_turns(context, of_class, 1 if unit.step.step.gang else len(unit.indices))
        return
    max_placed = _get_max_placed(unit)
    if unit.step.step.gang:
        if context.placed_tasks < max_placed:
            _place_unit(context, unit)
        return
    for index in unit.indices:
        if context.placed_tasks >= max_placed:
            return
        if not _place_unit(context, dataclasses.replace(unit, indices=[index])):
            return


def _get_max_placed(unit: units.Unit) -> int:
    return MAX_PLACED_URGENT_TASKS if unit.rank.level < 2 else MAX_PLACED_TASKS


def _place_in_turns(context: units.PassContext, turns: sharing.Turns, count: int) -> None:
    """Places up to ``count`` tasks or gangs in turns of their accounts.

    A step whose turn comes in the order of rank gives its place to others. All are tried in the
    end, because there are as many places as tasks.
    """
    for _ in range(count):
        unit = turns.get_next()
        if unit is None or context.placed_tasks >= _get_max_placed(unit):
            return
        goes_on = _place_unit(context, unit)
        if unit.reservation_key in context.current.reservations:
            sharing.charge_reserved(context, unit)
        turns.end_turn(goes_on)


def measure_use(
    current: state.SchedulerState, workers: pool.WorkerPool
) -> dict[str, headroom.ServiceCapacity]:
    """Returns the capacity of the usable workers of each service, and what is used of it."""
    capacities: dict[str, headroom.ServiceCapacity] = {}
    usable = [w for w in current.workers.values() if workers.is_usable(w.worker_id)]
    for worker in usable:
        capacity = capacities.setdefault(worker.service, headroom.ServiceCapacity())
        capacity.largest = capacity.largest.max(worker.capacity)
    for worker in usable:
        capacity = capacities[worker.service]
        capacity.total += headroom.compute_share(worker.capacity, capacity.largest)
        capacity.cores += ordering.compute_usage(worker.capacity)
        capacity.used += headroom.compute_share(worker.capacity - worker.room, capacity.largest)
    return capacities


def sum_urgent_use(
    current: state.SchedulerState, capacities: dict[str, headroom.ServiceCapacity]
) -> dict[str, float]:
    """Returns what the runs of urgent jobs use of the capacity of each service."""
    result: dict[str, float] = {}
    for job in current.jobs.values():
        route = state.get_route(current, job)
        if route.priority == 0 and route.service in capacities:
            largest = capacities[route.service].largest
            for run in job.list_runs():
                share = headroom.compute_share(run.need, largest)
                result[route.service] = result.get(route.service, 0.0) + share
    return result


def _measure_capacities(context: units.PassContext, listed: list[units.Unit]) -> None:
    """Computes the capacity of each service, with its use and its headroom for urgent work.

    Work that the usable workers could not hold even if they were empty adds no demand, because no
    headroom helps it. While workers are unusable for a moment, the recent peak still includes it.
    """
    context.capacities = measure_use(context.current, context.workers)
    urgent_used = sum_urgent_use(context.current, context.capacities)
    waiting: dict[str, float] = {}
    for unit in listed:
        if unit.rank.level < 2:
            measure = functools.partial(_measure_demand, context, unit)
            subject = ("measure", unit.job.job.job_id, str(unit.step.key))
            share = boundaries.run_guarded(
                context.current, subject, context.now_s, measure, context.result
            )
            waiting[unit.service] = waiting.get(unit.service, 0.0) + (share or 0.0)
    for service, capacity in context.capacities.items():
        used = urgent_used.get(service, 0.0)
        recent = context.current.urgent_demand.get(service, headroom.UrgentDemand())
        demand = headroom.update_demand(recent, used + waiting.get(service, 0.0), context.now_s)
        context.current.urgent_demand[service] = demand
        capacity.headroom = headroom.compute_headroom(demand, used, capacity.total)


def _measure_demand(context: units.PassContext, unit: units.Unit) -> float:
    """Returns what an urgent unit adds to the demand, in workers."""
    could_fit = context.workers.could_hold(unit.service, unit.step.step)
    return units.compute_share(context, unit) if could_fit else 0.0


def _drop_reservations(
    current: state.SchedulerState, service_by_key: dict[state.ReservationKey, str], now_s: float
) -> None:
    """Drops reservations that are no longer valid.

    A reservation is dropped if it has expired, if its tasks are no longer waiting, or if one of
    its workers cannot be used, has become too small, or belongs to another service than the queue
    now uses.

    Args:
        current: State of the scheduler.
        service_by_key: Service of each unit that is waiting.
        now_s: Time on the scheduler's clock.
    """
    for key, reservation in list(current.reservations.items()):
        service = service_by_key.get(key)
        is_kept = (
            service is not None
            and now_s <= reservation.expires_s
            and all(
                _may_hold(current, reservation, worker_id, need, service, now_s)
                for worker_id, need in _sum_reserved_room(reservation).items()
            )
        )
        if not is_kept:
            del current.reservations[key]


def _sum_reserved_room(reservation: state.Reservation) -> dict[str, model.Resources]:
    """Returns the resources that a reservation holds on each of its workers."""
    result: dict[str, model.Resources] = {}
    for worker_id in reservation.placement.values():
        result[worker_id] = result.get(worker_id, model.Resources()) + reservation.need
    return result


def _may_hold(
    current: state.SchedulerState,
    reservation: state.Reservation,
    worker_id: str,
    need: model.Resources,
    service: str,
    now_s: float,
) -> bool:
    """Returns whether room on a worker may stay reserved.

    Runs were stopped for a reservation that preempts, which expires soon anyway. It is kept while a
    worker is silent for a moment, because otherwise more runs would be stopped elsewhere.
    """
    worker = current.workers.get(worker_id)
    if worker is None or worker.service != service or not need.fits(worker.capacity):
        return False
    if reservation.preempts:
        return pool.is_eligible(current, worker, now_s)
    return pool.is_usable(current, worker, now_s)


def _place_unit(context: units.PassContext, unit: units.Unit) -> bool:
    """Places a unit unless that raises, which must not keep the others from being placed.

    Returns:
        Whether to go on with the other tasks of its step.
    """
    names = (unit.job.job.job_id, *map(str, unit.reservation_key[1:]))
    place = functools.partial(_try_to_place, context, unit)
    errors: list[commands.Command] = []
    subject = ("place", *names)
    placed = boundaries.run_guarded(context.current, subject, context.now_s, place, errors)
    context.result += errors
    if errors:
        _undo_placement(context, unit)
        return False
    # A task that has raised lately says nothing about the others of its step.
    return placed is not False


def _undo_placement(context: units.PassContext, unit: units.Unit) -> None:
    """Removes what an error has left of a placement, as a part of a gang must not start."""
    context.current.reservations.pop(unit.reservation_key, None)
    for index in unit.indices:
        run = unit.step.runs.get(index)
        if run is not None and run.phase is state.RunPhase.INTENDED:
            runs.remove_run(context.current, run)


def _try_to_place(context: units.PassContext, unit: units.Unit) -> bool:
    """Places a unit if it fits now, else preempts runs or reserves room for it.

    Returns:
        False if the unit did not fit. A unit with a stray run is skipped and returns True, so
        that the other tasks of its step are tried, as is one that waits for faster workers.
    """
    if _has_stray_run(context.current, unit):
        return True
    reservation = context.current.reservations.get(unit.reservation_key)
    if reservation is not None:
        context.workers.remove_reservation(reservation)
    chosen = _find_reserved_workers(context, unit)
    if chosen is None and is_admitted(context, unit):
        chosen = choose_workers(context, unit, reservation is not None)
        if chosen is not None and _waits_for_faster(context, unit, chosen, reservation):
            return True
        if chosen is not None:
            _report_if_differs(context, unit, chosen)
    if chosen is None and starvation.is_starved(context, unit):
        chosen = starvation.choose_workers(context, unit)
        if chosen is not None:
            context.result.append(starvation.make_decision(context, unit))
    if chosen is not None:
        context.current.reservations.pop(unit.reservation_key, None)
        _add_runs(context, unit, chosen)
        return True
    if reservation is not None:
        context.workers.add_reservation(reservation)
    elif unit.rank.level < 2:
        reclaiming.preempt(context, unit)
    elif unit.step.step.gang and context.planned_reservations < MAX_PLANNED_RESERVATIONS:
        reclaiming.plan_reservation(context, unit)
    return False


def _waits_for_faster(
    context: units.PassContext,
    unit: units.Unit,
    chosen: list[str],
    reservation: state.Reservation | None,
) -> bool:
    """Returns whether an urgent unit has room on faster workers reserved, instead of free room."""
    if unit.rank.level >= 2 or not reclaiming.prefers_faster(context, unit, chosen, reservation):
        return False
    if reservation is not None:
        context.workers.add_reservation(reservation)
    else:
        reserved = context.current.reservations[unit.reservation_key].placement.values()
        context.result.append(_make_durations_applied(context, unit, list(reserved)))
    return True


def _report_if_differs(context: units.PassContext, unit: units.Unit, chosen: list[str]) -> None:
    """Logs a choice of workers that learned speeds have changed, once a pass for each step."""
    key = (unit.job.job.job_id, *unit.step.key)
    if not context.workers.has_tiers(unit.service) or key in context.compared_steps:
        return
    if len(context.compared_steps) >= MAX_COMPARED_STEPS:
        return
    context.compared_steps.add(key)
    context.workers.set_tiers(unit.service, None)
    unranked = _choose_among(context, unit, units.list_suitable(context, unit))
    if unranked is None or set(unranked) != set(chosen):
        context.result.append(_make_durations_applied(context, unit, chosen))


def _make_durations_applied(
    context: units.PassContext, unit: units.Unit, chosen: list[str]
) -> commands.Decision:
    ratios = [context.speeds.get_estimate(worker_id).ratio for worker_id in chosen]
    fields = {
        "job": unit.job.job.job_id,
        "step": f"{unit.step.key[0]}.{unit.step.key[1]}",
        "factors": [round(min(ratios), 2), round(max(ratios), 2)],
        "limit": round(context.speeds.compute_limit(unit.job), 2),
    }
    return commands.Decision("durations_applied", fields)


def is_admitted(context: units.PassContext, unit: units.Unit) -> bool:
    """Returns whether a unit may start without using the headroom for urgent work."""
    if unit.rank.level < 2:
        return True
    capacity = context.capacities.get(unit.service)
    return capacity is not None and headroom.admits(capacity, units.compute_share(context, unit))


def _has_stray_run(current: state.SchedulerState, unit: units.Unit) -> bool:
    """Returns whether a stray run of one of the unit's tasks may still exist on a worker."""
    if not current.stray_tasks:
        return False
    job_id = unit.job.job.job_id
    return any(
        model.TaskKey(job_id, *unit.step.key, index) in current.stray_tasks
        for index in unit.indices
    )


def _find_reserved_workers(context: units.PassContext, unit: units.Unit) -> list[str] | None:
    """Returns the reserved workers of a unit if all of them have room now, else None."""
    reservation = context.current.reservations.get(unit.reservation_key)
    if reservation is None or set(reservation.placement) != set(unit.indices):
        return None
    reserved = set(reservation.placement.values())
    if units.is_limited_to_proved(context, unit) and reserved & context.workers.unproved:
        return None
    if not all(
        context.workers.is_usable(worker_id)
        and not context.workers.is_on_trial(worker_id)
        and need.fits(context.current.workers[worker_id].room)
        for worker_id, need in _sum_reserved_room(reservation).items()
    ):
        return None
    return [reservation.placement[index] for index in unit.indices]


def choose_workers(
    context: units.PassContext, unit: units.Unit, has_reservation: bool
) -> list[str] | None:
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
    candidates = units.list_candidates(context, unit)
    return _choose_among(context, unit, candidates) if candidates else None


def _choose_among(
    context: units.PassContext, unit: units.Unit, candidates: list[placement.Candidate]
) -> list[str] | None:
    """Returns a worker for each task of a unit according to the tiers of the candidates."""
    step = unit.step.step
    if step.gang:
        return _choose_for_gang(unit, candidates)
    only_near = compute_locality_wait_s(context, unit) > 0.0 and any(
        c.rack == step.near_rack for c in candidates
    )
    worker_id = placement.place_task(step.need, candidates, step.near_rack, only_near)
    is_restricted = units.is_last_attempt(context, unit) or crashes.is_suspect(
        unit.step, unit.indices
    )
    if worker_id is None and not only_near and not is_restricted:
        context.workers.mark_full(unit.service, step)
    return [worker_id] if worker_id else None


def _choose_for_gang(unit: units.Unit, candidates: list[placement.Candidate]) -> list[str] | None:
    """Returns a worker for each member, of the most preferred tiers that have room, or None."""
    step = unit.step.step
    for preferred in placement.list_by_tier(candidates):
        chosen = placement.place_gang(
            len(unit.indices),
            step.need,
            preferred,
            step.same_rack,
            step.near_rack,
            may_span=placement.exceeds_every_rack(len(unit.indices), step.need, candidates),
        )
        if chosen is not None:
            return chosen
    return None


def compute_locality_wait_s(context: units.PassContext, unit: units.Unit) -> float:
    """Returns for how long a task may still only run in the rack of its data, or 0 if it need not.

    Args:
        context: Inputs of the pass.
        unit: The unit.
    """
    step = unit.step.step
    if not step.near_rack:
        return 0.0
    max_wait_s = MAX_LOCALITY_WAIT_RATIO * step.estimate_s
    return max(0.0, max_wait_s - unit.step.compute_waited_s(context.now_s))


def _add_runs(context: units.PassContext, unit: units.Unit, chosen: list[str]) -> None:
    """Places the tasks of a unit on the chosen workers and logs the placement."""
    step = unit.step
    context.placed_tasks += len(unit.indices)
    if unit.service in context.capacities:
        context.capacities[unit.service].used += units.compute_share(context, unit)
    units.record_gang(context, unit, chosen)
    sharing.charge_placed(context, unit)
    if step.step.gang:
        number = max(step.run_numbers.values(), default=0) + 1
        numbers = [number] * len(unit.indices)
    else:
        numbers = [step.run_numbers.get(index, 0) + 1 for index in unit.indices]
    for index, worker_id, number in zip(unit.indices, chosen, numbers, strict=True):
        worker = context.current.workers[worker_id]
        context.workers.allocate(worker_id, step.step.need)
        if crashes.is_suspect(step, [index]):
            context.workers.begin_trial(worker_id)
        runs.add_run(context.current, unit.job, step, index, worker, number, context.now_s)
    fields = {
        "job": unit.job.job.job_id,
        "step": f"{step.key[0]}.{step.key[1]}",
        "tasks": len(unit.indices),
        "run": numbers[0],
        "workers": sorted(set(chosen)),
        "level": unit.rank.level,
        "waited_s": round(step.compute_waited_s(context.now_s), 3),
        "configuration": context.current.configuration.version
        if context.current.configuration
        else 0,
    }
    context.result.append(commands.Decision("placed", fields))
