"""One pass over the waiting work: place it, stop others for it, or keep room for it."""

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

MAX_PLANNED_CLAIMS = 2
"""Blocked gangs that room is kept for; more would leave too many workers idle."""
FAR_PATIENCE_RATIO = 1.0
"""How long a task waits for the rack of its data, as a multiple of its declared duration."""
PREEMPTION_MARGIN_S = 0.4
"""Time beyond a worker's own for a stop to be ordered and its end to be listed."""
URGENT_VICTIM_COST = 5000.0
"""Added to the cost of stopping urgent work, in core-seconds: it is short, so little of it would
be lost, but it would miss its objective, which long work seldom does."""
GANG_KEY = -1


@dataclasses.dataclass(slots=True)
class _Unit:
    """Tasks that are placed together: a gang, or one task.

    Attributes:
        job: The job.
        step: The step.
        indices: The tasks.
        rank: Rank of the job.
        service: Service that runs it.
    """

    job: state.JobState
    step: state.StepState
    indices: list[int]
    rank: ordering.Rank
    service: str

    @property
    def claim_key(self) -> state.ClaimKey:
        index = GANG_KEY if self.step.step.gang else self.indices[0]
        return (self.job.job.job_id, *self.step.key, index)


@dataclasses.dataclass(slots=True)
class _Pass:
    """What one pass works on."""

    current: state.SchedulerState
    now_s: float
    wall_s: float
    guaranteed: set[str]
    workers: pool.WorkerPool
    rooms: dict[str, headroom.Headroom] = dataclasses.field(default_factory=dict)
    victims: dict[int, dict[tuple, preemption.VictimUnit]] = dataclasses.field(default_factory=dict)
    result: list[commands.Command] = dataclasses.field(default_factory=list)
    planned_claims: int = 0


def schedule(current: state.SchedulerState, now_s: float, wall_s: float) -> list[commands.Command]:
    """Places what fits, in order of rank, and makes room for urgent work.

    Placed runs are only intended; orders follow when the intention is durable.

    Args:
        current: The state.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.

    Returns:
        Stops of preempted runs, and decisions for the log.
    """
    current.schedule_due = False
    guaranteed = ordering.list_guaranteed_accounts(current)
    units = _list_units(current, guaranteed, now_s, wall_s)
    wanted = {key: unit.service for unit in units for key in _list_claim_keys(unit)}
    _drop_claims(current, wanted, now_s)
    if not units:
        return []
    work = _Pass(current, now_s, wall_s, guaranteed, pool.WorkerPool(current, now_s))
    _measure_rooms(work, units)
    work.planned_claims = sum(not claim.preempts for claim in current.claims.values())
    for unit in units:
        _place_step(work, unit)
    return work.result


def _list_units(
    current: state.SchedulerState, guaranteed: set[str], now_s: float, wall_s: float
) -> list[_Unit]:
    """Returns the missing tasks of each step that may start, in order of rank."""
    units: list[tuple[tuple, _Unit]] = []
    for job in state.iterate_open_jobs(current):
        rank: ordering.Rank | None = None
        for step in job.steps.values():
            if step.not_before_s > now_s or step.is_done:
                continue
            missing = step.list_missing()
            if not missing or not lifecycle.is_ready(job, step):
                continue
            if step.step.gang and (step.runs or len(missing) < step.step.count):
                continue
            rank = rank or ordering.rank_job(current, job, guaranteed, wall_s)
            if step.ready_since_s is None:
                step.ready_since_s = now_s
            service = state.get_route(current, job).service
            unit = _Unit(job, step, missing, rank, service)
            units.append(((*rank.as_key(), step.key), unit))
    units.sort(key=lambda item: item[0])
    return [unit for _, unit in units]


def _list_claim_keys(unit: _Unit) -> list[state.ClaimKey]:
    head = (unit.job.job.job_id, *unit.step.key)
    if unit.step.step.gang:
        return [(*head, GANG_KEY)]
    return [(*head, index) for index in unit.indices]


def _place_step(work: _Pass, unit: _Unit) -> None:
    """Places the missing tasks of a step until one of them finds no room."""
    if unit.step.step.gang:
        _place_unit(work, unit)
        return
    for index in unit.indices:
        if not _place_unit(work, dataclasses.replace(unit, indices=[index])):
            return


def _measure_rooms(work: _Pass, units: list[_Unit]) -> None:
    """Computes how much room of each service is kept for urgent work."""
    usable = [w for w in work.current.workers.values() if work.workers.is_usable(w.worker_id)]
    for worker in usable:
        room = work.rooms.setdefault(worker.service, headroom.Headroom())
        room.largest = room.largest.max(worker.capacity)
    for worker in usable:
        room = work.rooms[worker.service]
        room.total += headroom.compute_share(worker.capacity, room.largest)
        room.used += headroom.compute_share(worker.capacity - worker.room, room.largest)
    urgent_used: dict[str, float] = {}
    for job in work.current.jobs.values():
        route = state.get_route(work.current, job)
        if route.priority == 0 and route.service in work.rooms:
            largest = work.rooms[route.service].largest
            for run in job.list_runs():
                share = headroom.compute_share(run.need, largest)
                urgent_used[route.service] = urgent_used.get(route.service, 0.0) + share
    waiting: dict[str, float] = {}
    for unit in units:
        if unit.rank.level < 2:
            share = _compute_unit_share(work, unit)
            waiting[unit.service] = waiting.get(unit.service, 0.0) + share
    for service, room in work.rooms.items():
        used = urgent_used.get(service, 0.0)
        known = work.current.urgent_demand.get(service, headroom.UrgentDemand())
        demand = headroom.update_demand(known, used + waiting.get(service, 0.0), work.now_s)
        work.current.urgent_demand[service] = demand
        room.reserve = headroom.compute_reserve(demand, used, room.total)


def _compute_unit_share(work: _Pass, unit: _Unit) -> float:
    room = work.rooms.get(unit.service)
    if room is None:
        return 0.0
    return len(unit.indices) * headroom.compute_share(unit.step.step.need, room.largest)


def _drop_claims(
    current: state.SchedulerState, wanted: dict[state.ClaimKey, str], now_s: float
) -> None:
    """Gives up room that is not waited for, or not on usable workers of the queue's service."""
    for key, claim in list(current.claims.items()):
        usable = all(
            (worker := current.workers.get(worker_id)) is not None
            and worker.service == wanted.get(key)
            and pool.is_usable(current, worker, now_s)
            for worker_id in claim.placement.values()
        )
        if key not in wanted or now_s > claim.expires_s or not usable:
            del current.claims[key]


def _place_unit(work: _Pass, unit: _Unit) -> bool:
    """Places a unit if it fits now; returns whether it was placed."""
    if any(_task_key(unit, index) in work.current.stray_tasks for index in unit.indices):
        return True
    claim = work.current.claims.get(unit.claim_key)
    if claim is not None:
        work.workers.release(claim)
    chosen = _place_claimed(work, unit)
    if chosen is None and _is_allowed(work, unit):
        chosen = _choose_workers(work, unit, claim is not None)
    if chosen is not None:
        work.current.claims.pop(unit.claim_key, None)
        _start(work, unit, chosen)
        return True
    if claim is not None:
        work.workers.reserve(claim)
    elif unit.rank.level < 2:
        _preempt(work, unit)
    elif unit.step.step.gang and work.planned_claims < MAX_PLANNED_CLAIMS:
        _plan_claim(work, unit)
    return False


def _is_allowed(work: _Pass, unit: _Unit) -> bool:
    """Returns whether a unit may start beside the room that is kept for urgent work."""
    if unit.rank.level < 2:
        return True
    room = work.rooms.get(unit.service)
    return room is not None and headroom.allows(room, _compute_unit_share(work, unit))


def _task_key(unit: _Unit, index: int) -> model.TaskKey:
    return model.TaskKey(unit.job.job.job_id, *unit.step.key, index)


def _place_claimed(work: _Pass, unit: _Unit) -> list[str] | None:
    """Returns the claimed workers if all of them have room now."""
    claim = work.current.claims.get(unit.claim_key)
    if claim is None or set(claim.placement) != set(unit.indices):
        return None
    wanted: dict[str, model.Resources] = {}
    for worker_id in claim.placement.values():
        wanted[worker_id] = wanted.get(worker_id, model.Resources()) + claim.need
    if not all(need.fits(work.current.workers[w].room) for w, need in wanted.items()):
        return None
    return [claim.placement[index] for index in unit.indices]


def _choose_workers(work: _Pass, unit: _Unit, has_claim: bool) -> list[str] | None:
    """Returns workers with room for the unit, or None.

    Args:
        work: The pass.
        unit: The unit.
        has_claim: Whether room was given back for it, so that earlier misses prove nothing.
    """
    step = unit.step.step
    if not has_claim and work.workers.is_full(unit.service, step):
        return None
    candidates = work.workers.list_candidates(unit.service, unit.step)
    if step.gang:
        return placement.place_gang(
            len(unit.indices),
            step.need,
            candidates,
            step.same_rack,
            step.near_rack,
            may_span=_may_span(unit, candidates),
        )
    waited_s = work.now_s - (unit.step.ready_since_s or work.now_s)
    only_near = bool(step.near_rack) and waited_s < FAR_PATIENCE_RATIO * step.estimate_s
    only_near = only_near and any(c.rack == step.near_rack for c in candidates)
    worker_id = placement.place_task(step.need, candidates, step.near_rack, only_near)
    if worker_id is None and not only_near:
        work.workers.note_full(unit.service, step)
    return [worker_id] if worker_id else None


def _may_span(unit: _Unit, candidates: list[placement.Candidate]) -> bool:
    """Returns whether no rack could hold the gang even if it were empty."""
    step = unit.step.step
    for members in placement.group_by_rack(candidates).values():
        fitting = sum(placement.count_fitting(step.need, c.capacity, c.limit) for c in members)
        if fitting >= len(unit.indices):
            return False
    return True


def _start(work: _Pass, unit: _Unit, chosen: list[str]) -> None:
    step = unit.step
    work.rooms[unit.service].used += _compute_unit_share(work, unit)
    if step.step.gang:
        number = max(step.numbers.values(), default=0) + 1
        numbers = [number] * len(unit.indices)
    else:
        numbers = [step.numbers.get(index, 0) + 1 for index in unit.indices]
    for index, worker_id, number in zip(unit.indices, chosen, numbers, strict=True):
        worker = work.current.workers[worker_id]
        work.workers.take(worker_id, step.step.need)
        runs.add_run(work.current, unit.job, step, index, worker, number, work.now_s)
    fields = {
        "job": unit.job.job.job_id,
        "step": f"{step.key[0]}.{step.key[1]}",
        "tasks": len(unit.indices),
        "run": numbers[0],
        "workers": sorted(set(chosen)),
        "level": unit.rank.level,
        "waited_s": round(work.now_s - (step.ready_since_s or work.now_s), 3),
        "configuration": work.current.configuration.version if work.current.configuration else 0,
    }
    work.result.append(commands.Decision("placed", fields))


def _preempt(work: _Pass, unit: _Unit) -> None:
    """Stops lower work so that an urgent unit fits, and keeps the room for it."""
    step = unit.step.step
    candidates = work.workers.list_candidates(unit.service, unit.step)
    if not candidates:
        return
    victims = _get_victims(work, unit.rank.level)
    found = preemption.choose_victims(
        len(unit.indices), step.need, candidates, list(victims.values()), step.same_rack
    )
    if found is None:
        return
    stopped = [victim for victim in found.victims if victim.cost > 0.0]
    for victim in stopped:
        work.result += _stop_victim(work, victim.key)
        for known in work.victims.values():
            known.pop(victim.key, None)
    fields = {
        "job": unit.job.job.job_id,
        "victims": [":".join(map(str, victim.key)) for victim in stopped],
        "awaited": len(found.victims) - len(stopped),
        "lost_core_s": round(found.cost, 1),
        "level": unit.rank.level,
    }
    work.result.append(commands.Decision("preempted", fields))
    # A stop that takes longer goes to a worker that is cut off; others are stopped instead.
    patience_s = work.current.policy.stop_s + PREEMPTION_MARGIN_S
    if len(stopped) < len(found.victims):
        patience_s = max(patience_s, 2.0 * estimates.NEARLY_DONE_S)
    _claim(work, unit, found.placement, patience_s, preempts=True)
    work.current.schedule_due = True


def _claim(work: _Pass, unit: _Unit, chosen: list[str], patience_s: float, preempts: bool) -> None:
    claim = state.Claim(
        dict(zip(unit.indices, chosen, strict=True)),
        unit.step.step.need,
        work.now_s + patience_s,
        preempts,
    )
    work.current.claims[unit.claim_key] = claim
    work.workers.reserve(claim)


def _get_victims(work: _Pass, level: int) -> dict[tuple, preemption.VictimUnit]:
    """Returns what work of a level may stop; runs placed in this pass are not among it."""
    if level not in work.victims:
        work.victims[level] = _list_victims(work, level)
    return work.victims[level]


def _list_victims(work: _Pass, level: int) -> dict[tuple, preemption.VictimUnit]:
    victims: dict[tuple, preemption.VictimUnit] = {}
    for job in work.current.jobs.values():
        if not _may_preempt(work, level, job):
            continue
        for step in job.steps.values():
            if step.is_done or step.step.long_running and step.step.may_miss:
                continue
            is_urgent = state.get_route(work.current, job).priority == 0
            for group in _group_runs(step):
                victim = _make_victim(work, job, step, group)
                # Guaranteed work does not wait: a run on a failing worker may never end.
                may_wait = level > 0
                if may_wait and all(estimates.is_nearly_done(run, work.now_s) for run in group):
                    victim = dataclasses.replace(victim, cost=0.0)
                elif is_urgent:
                    victim = dataclasses.replace(victim, cost=victim.cost + URGENT_VICTIM_COST)
                victims[victim.key] = victim
    return victims


def _may_preempt(work: _Pass, level: int, job: state.JobState) -> bool:
    route = state.get_route(work.current, job)
    if route.priority > 0:
        return True
    # Urgent work beyond its account's guarantee uses what is idle and gives it back.
    return level == 0 and job.job.account not in work.guaranteed


def _group_runs(step: state.StepState) -> list[list[state.Run]]:
    live = [run for run in step.runs.values() if run.phase is not state.RunPhase.STOPPING]
    if step.step.gang:
        return [live] if live else []
    return [[run] for run in live]


def _make_victim(
    work: _Pass, job: state.JobState, step: state.StepState, group: list[state.Run]
) -> preemption.VictimUnit:
    index = GANG_KEY if step.step.gang else group[0].task.index
    rooms: dict[str, model.Resources] = {}
    for run in group:
        rooms[run.worker_id] = rooms.get(run.worker_id, model.Resources()) + run.need
    return preemption.VictimUnit(
        (job.job.job_id, *step.key, index), _estimate_loss(work, step, group), rooms
    )


def _estimate_loss(work: _Pass, step: state.StepState, group: list[state.Run]) -> float:
    """Returns the work that a stop wastes, in core-seconds."""
    restart_s = work.current.policy.restore_s + work.current.policy.stop_s
    lost_s = 0.0
    for run in group:
        worked_s = 0.0 if step.step.checkpoints else max(0.0, work.now_s - run.since_s)
        lost_s += worked_s + restart_s
    return lost_s * ordering.compute_usage(step.step.need)


def _stop_victim(work: _Pass, key: tuple) -> list[commands.Command]:
    job_id, occurrence, number, index = key
    step = work.current.jobs[job_id].steps[occurrence, number]
    if index == GANG_KEY:
        return runs.stop_step(work.current, step, work.now_s)
    return runs.stop_run(work.current, step.runs[index], work.now_s)


def _plan_claim(work: _Pass, unit: _Unit) -> None:
    """Keeps room for a blocked gang where running work is expected to end first."""
    step = unit.step.step
    candidates = work.workers.list_candidates(unit.service, unit.step)
    victims: list[preemption.VictimUnit] = []
    for job in work.current.jobs.values():
        for other in job.steps.values():
            if other.step.long_running:
                continue
            for group in _group_runs(other):
                left_s = max(estimates.estimate_left_s(other, run, work.now_s) for run in group)
                unit_ = _make_victim(work, job, other, group)
                victims.append(dataclasses.replace(unit_, cost=left_s))
    spans = not step.same_rack or _may_span(unit, candidates)
    found = preemption.choose_victims(
        len(unit.indices), step.need, candidates, victims, step.same_rack and not spans
    )
    if found is None:
        return
    work.planned_claims += 1
    _claim(work, unit, found.placement, work.current.policy.claim_s, preempts=False)
