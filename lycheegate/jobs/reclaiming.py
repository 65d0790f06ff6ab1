"""Room for units that do not fit: preemption for urgent work, reservations for blocked gangs.

Handles bursts of urgent gangs that arrive while the workers are full of batch work, of which some
run ends every few milliseconds. An urgent unit whose objective allows it waits for such ends
instead of stopping other runs, whose work would be lost.
"""

import dataclasses
import math

from lycheegate.jobs import (
    adequacy,
    commands,
    estimates,
    headroom,
    model,
    ordering,
    placement,
    preemption,
    preemption_limits,
    runs,
    state,
    units,
)

__all__ = ["compute_wait_s", "plan_reservation", "preempt", "prefers_faster"]

PREEMPTION_MARGIN_S = 0.4
"""Time for a stop order to reach the worker and for its report of the end to arrive, in addition
to the time that the worker takes to stop a run."""
AWAITED_END_MARGIN_S = 0.25
"""Time after which an awaited run that has not ended as predicted is given up."""
URGENT_VICTIM_COST = 5000.0
"""Added to the cost of stopping urgent work, in core-seconds. Little work is lost with an urgent
run because it is short, but its job would miss its objective, which long jobs seldom do."""
WAIT_SLACK_RATIO = 0.4
"""Part of a job's slack that it may spend waiting for the ends of runs; the rest is for runs that
end later than predicted and for tasks that take longer than declared."""
MAX_WAIT_S = 1.0
MAX_GUARANTEED_WAIT_S = 0.5
"""Limit for guaranteed work, which must be able to start within a fixed time."""
SETTLING_S = 0.5
"""Time from the begin of a term within which the workers report for the first time."""
MAX_PLANNED_RATIO = 0.5
"""Share of the capacity that the reservations of several blocked gangs may hold. The first one may
hold more, as a large gang would never start otherwise."""
MAX_EXAMINED_WORKERS = 60
"""Number of adequate workers on which runs to stop are searched for while slower workers have room.
A search on all of 930 workers takes 0.05 s, and 0.4 s for a gang in one rack."""
MAX_SPEED_COST_RATIO = 3.0
"""Cost of stopping runs on adequate workers, as a multiple of a job's own remaining work, up to
which they are stopped although slower workers have room."""
MAX_DECLINED_PLANS = 6
"""Number of reservations without preemption up to which one is made for an urgent unit whose
preemption was declined, so that it starts when runs end."""
MAX_MIXED_COST_RATIO = 0.5
"""A plan that both stops and awaits runs is used up to this part of the cost of stopping runs only.
Above it, the room that is freed at once would idle for little gain."""


def compute_wait_s(level: int, slack_s: float, waited_s: float) -> float:
    """Returns for how long an urgent unit may wait for the ends of runs.

    Args:
        level: Level of its rank.
        slack_s: Time until its job must have started in order to meet its objective.
        waited_s: How long the unit has waited already.
    """
    limit_s = MAX_GUARANTEED_WAIT_S if level == 0 else MAX_WAIT_S
    wait_s = min(limit_s, WAIT_SLACK_RATIO * (slack_s + waited_s)) - waited_s
    # Guaranteed work does not wait longer than this even for runs that are nearly done, because a
    # run on a failing worker may never end.
    return max(wait_s, 0.0 if level == 0 else estimates.NEARLY_DONE_S)


def preempt(context: units.PassContext, unit: units.Unit) -> None:
    """Stops less urgent runs so that an urgent unit fits, and reserves their room for it."""
    if not _is_view_complete(context.current, context.now_s):
        return
    if not preemption_limits.is_due(context, unit):
        return
    candidates = units.list_candidates(context, unit)
    if not candidates:
        return
    found: preemption.Preemption | None = None
    if context.workers.has_slow(unit.service):
        found = _choose_victims(context, unit, _list_not_slow(candidates))
    if found is None or found.cost >= URGENT_VICTIM_COST:
        # No urgent run is stopped for the sake of speed alone.
        found = _choose_victims(context, unit, candidates) or found
    if found is not None:
        found = _limit(context, unit, candidates, found)
    if found is not None:
        _apply_preemption(context, unit, found)


def prefers_faster(
    context: units.PassContext,
    unit: units.Unit,
    chosen: list[str],
    reservation: state.Reservation | None,
) -> bool:
    """Returns whether an urgent unit waits for room on adequate workers instead of slow ones.

    If so, the room is reserved, and runs may be stopped for it. That happens only if the job is
    expected to meet its objective there and to miss it in the room that is free. It is tried only
    in the first moments of the waiting time, so that the unit then takes any room.

    Args:
        context: Inputs and results of the pass.
        unit: The unit; its candidates have just been listed.
        chosen: Worker with free room for each of its tasks.
        reservation: The reservation that the unit has, or None.
    """
    if not context.workers.has_slow(unit.service):
        return False
    candidates = units.list_suitable(context, unit)
    preferred = _list_not_slow(candidates)
    slow = {c.worker_id for c in candidates if c.tier == placement.Tier.SLOW}
    if slow.isdisjoint(chosen):
        return False
    limit_s = MAX_GUARANTEED_WAIT_S if unit.rank.level == 0 else MAX_WAIT_S
    if reservation is not None:
        limit_s += context.current.policy.stop_s + PREEMPTION_MARGIN_S
    if unit.step.compute_waited_s(context.now_s) >= limit_s:
        return False
    if reservation is not None:
        return reservation.preempts and slow.isdisjoint(reservation.placement.values())
    if not _is_view_complete(context.current, context.now_s):
        return False
    found = _choose_victims(context, unit, _list_roomiest(preferred))
    if found is None or not _is_worth_waiting(context, unit, found):
        return False
    if preemption_limits.examine(context, unit, _sum_loss(found), 0.0) is not None:
        return False
    preemption_limits.spend(context, unit, _sum_loss(found))
    _apply_preemption(context, unit, found)
    return True


def _list_not_slow(candidates: list[placement.Candidate]) -> list[placement.Candidate]:
    return [candidate for candidate in candidates if candidate.tier < placement.Tier.SLOW]


def _list_roomiest(candidates: list[placement.Candidate]) -> list[placement.Candidate]:
    """Returns the workers of the racks with the most free room, about as many as are examined."""
    if len(candidates) <= MAX_EXAMINED_WORKERS:
        return candidates
    racks = placement.group_by_rack(candidates)
    room_by_rack = {
        rack: -sum(ordering.compute_usage(candidate.room) for candidate in members)
        for rack, members in racks.items()
    }
    result: list[placement.Candidate] = []
    for rack in sorted(racks, key=lambda rack: (room_by_rack[rack], rack)):
        result += racks[rack]
        if len(result) >= MAX_EXAMINED_WORKERS:
            break
    return result


def _is_worth_waiting(
    context: units.PassContext, unit: units.Unit, found: preemption.Preemption
) -> bool:
    """Returns whether a job meets its objective with a preemption, and loses less than it gains."""
    remaining_work = ordering.predict_remaining_work(context.current, unit.job)
    if found.cost > MAX_SPEED_COST_RATIO * remaining_work or _spans_needlessly(
        context, unit, found.placement
    ):
        return False
    limit = context.speeds.compute_limit(unit.job, _compute_delay_s(context, found))
    slowest = max(context.speeds.get_estimate(worker_id).ratio for worker_id in found.placement)
    return slowest * adequacy.ALLOWANCE_RATIO <= limit


def _spans_needlessly(context: units.PassContext, unit: units.Unit, chosen: list[str]) -> bool:
    """Returns whether a gang would be slower because it spans racks, although it fits in one."""
    step = unit.step.step
    if not step.same_rack or len({context.current.workers[w].rack for w in chosen}) < 2:
        return False
    candidates = units.list_suitable(context, unit)
    return not placement.exceeds_every_rack(len(unit.indices), step.need, candidates)


def _compute_delay_s(context: units.PassContext, found: preemption.Preemption) -> float:
    """Returns after which time the room of a preemption is free, unless something goes wrong."""
    stop_s = context.current.policy.stop_s + PREEMPTION_MARGIN_S if found.victims else 0.0
    return max([stop_s, *(victim.remaining_s or 0.0 for victim in found.awaited)])


def _apply_preemption(
    context: units.PassContext, unit: units.Unit, found: preemption.Preemption
) -> None:
    """Stops the victims of a preemption, and reserves the room for a unit."""
    for victim in found.victims:
        context.result += _stop_victim(context, victim.key)
        for cached in context.victims.values():
            cached.pop(victim.key, None)
    awaited_s = max((victim.remaining_s or 0.0 for victim in found.awaited), default=0.0)
    fields = {
        "job": unit.job.job.job_id,
        "victims": [":".join(map(str, victim.key)) for victim in found.victims],
        "awaited": len(found.awaited),
        "awaited_s": round(awaited_s, 3),
        "lost_core_s": round(sum(victim.lost_core_s for victim in found.victims), 1),
        "level": unit.rank.level,
    }
    context.result.append(commands.Decision("preempted", fields))
    # If a stop takes longer, its worker is probably unreachable. The reservation then expires and
    # the next pass stops other runs instead.
    timeout_s = context.current.policy.stop_s + PREEMPTION_MARGIN_S if found.victims else 0.0
    if found.awaited:
        timeout_s = max(timeout_s, awaited_s + AWAITED_END_MARGIN_S)
    _reserve(context, unit, found.placement, timeout_s, preempts=True)
    context.current.schedule_due = True


def _limit(
    context: units.PassContext,
    unit: units.Unit,
    candidates: list[placement.Candidate],
    found: preemption.Preemption,
) -> preemption.Preemption | None:
    """Returns a preemption that is within the limits, or None if it is declined.

    Instead of one that costs too much, one that awaits more runs is tried. For a unit whose
    preemption is declined, room is reserved where runs end by themselves.
    """
    wait_s = _predict_wait_s(context, unit) if unit.rank.is_late and found.victims else 0.0
    denial = preemption_limits.examine(context, unit, _sum_loss(found), wait_s)
    if denial is not None and not unit.rank.is_late:
        patient = _choose_with_wait(context, unit, candidates, _compute_slack_s(context, unit))
        if patient is not None and not preemption_limits.examine(
            context, unit, _sum_loss(patient), 0.0
        ):
            found, denial = patient, None
    if denial is None:
        preemption_limits.spend(context, unit, _sum_loss(found))
        return found
    retry_s, report = preemption_limits.decline(context, unit, denial)
    context.result += report
    if context.planned_reservations < MAX_DECLINED_PLANS:
        plan_reservation(context, unit, retry_s)
    return None


def _sum_loss(found: preemption.Preemption) -> float:
    return sum(victim.lost_core_s for victim in found.victims)


def _predict_wait_s(context: units.PassContext, unit: units.Unit) -> float:
    """Returns in how many seconds enough runs have ended by themselves for a unit."""
    found = _find_ending_units(context, unit)
    if found is None:
        return math.inf
    return max((ending.cost for ending in found.victims), default=0.0)


def _is_view_complete(current: state.SchedulerState, now_s: float) -> bool:
    """Returns whether all workers have reported to this scheduler, or have had time to.

    Until then, room on the others is not known, and the runs that are known would be stopped for
    urgent work that fits elsewhere.
    """
    if now_s - current.began_at_s >= SETTLING_S:
        return True
    return all(
        worker.incarnation.confirmed for worker in current.workers.values() if worker.registered
    )


def _choose_victims(
    context: units.PassContext, unit: units.Unit, candidates: list[placement.Candidate]
) -> preemption.Preemption | None:
    """Returns the runs to stop and to await for an urgent unit, or None if it cannot fit."""
    level = unit.rank.level
    waited_s = unit.step.compute_waited_s(context.now_s)
    wait_s = compute_wait_s(level, _compute_slack_s(context, unit), waited_s)
    found = _choose_with_wait(context, unit, candidates, wait_s)
    if found is None or not found.awaited or not found.victims:
        return found
    immediate = _choose_with_wait(context, unit, candidates, compute_wait_s(level, 0.0, waited_s))
    if immediate is None or found.cost <= MAX_MIXED_COST_RATIO * immediate.cost:
        return found
    return immediate


def _choose_with_wait(
    context: units.PassContext,
    unit: units.Unit,
    candidates: list[placement.Candidate],
    wait_s: float,
) -> preemption.Preemption | None:
    """Returns the runs to stop, and those that end within ``wait_s`` and are awaited."""
    step = unit.step.step
    victims = list(_get_victims(context, unit.rank.level).values())
    return preemption.choose_victims(
        len(unit.indices), step.need, candidates, victims, step.same_rack, wait_s
    )


def _compute_slack_s(context: units.PassContext, unit: units.Unit) -> float:
    """Returns the time until a unit's job must have started in order to meet its objective."""
    route = state.get_route(context.current, unit.job)
    objective_s = ordering.predict_objective_s(context.current, unit.job, route)
    remaining_s = ordering.predict_remaining_s(context.current, unit.job)
    return objective_s - context.wall_s - remaining_s


def _reserve(
    context: units.PassContext,
    unit: units.Unit,
    chosen: list[str],
    timeout_s: float,
    preempts: bool,
) -> None:
    reservation = state.Reservation(
        dict(zip(unit.indices, chosen, strict=True)),
        unit.step.step.need,
        context.now_s + timeout_s,
        preempts,
    )
    context.current.reservations[unit.reservation_key] = reservation
    context.workers.add_reservation(reservation)


def _get_victims(context: units.PassContext, level: int) -> dict[tuple, preemption.VictimUnit]:
    """Returns the units that work of a level may preempt, without runs placed in this pass."""
    if level not in context.victims:
        context.victims[level] = _list_victims(context, level)
    return context.victims[level]


def _list_victims(context: units.PassContext, level: int) -> dict[tuple, preemption.VictimUnit]:
    """Returns the units that work of a level may preempt, by key.

    Long-running steps that limit how many tasks may be stopped are left out.
    """
    victims: dict[tuple, preemption.VictimUnit] = {}
    for job in context.current.jobs.values():
        if not _may_preempt(context, level, job):
            continue
        for step in job.steps.values():
            if step.is_done or step.step.long_running and step.step.may_miss:
                continue
            route = state.get_route(context.current, job)
            is_urgent, service = route.priority == 0, route.service
            for group in _group_runs(step):
                index = group[0].task.index
                if preemption_limits.is_protected(
                    context.current, service, step, index, level, context.now_s
                ):
                    continue
                victim = _make_victim(context, job, step, group)
                if is_urgent:
                    victim = dataclasses.replace(victim, cost=victim.cost + URGENT_VICTIM_COST)
                victims[victim.key] = victim
    return victims


def _may_preempt(context: units.PassContext, level: int, job: state.JobState) -> bool:
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
    context: units.PassContext, job: state.JobState, step: state.StepState, group: list[state.Run]
) -> preemption.VictimUnit:
    loss = _estimate_loss(context, step, group)
    return preemption.VictimUnit(
        _make_victim_key(job, step, group),
        loss * (1 + _count_interruptions(step, group)) * _compute_share_ratio(context, job),
        _sum_room(group),
        _predict_end_s(context, job, step, group),
        loss,
    )


def _compute_share_ratio(context: units.PassContext, job: state.JobState) -> float:
    """Returns by which ratio it costs more to stop a job whose account has less than others."""
    account_shares = context.account_shares.get(state.get_route(context.current, job).service)
    return 1.0 if account_shares is None else account_shares.compute_victim_ratio(job.job.account)


def _make_victim_key(job: state.JobState, step: state.StepState, group: list[state.Run]) -> tuple:
    index = units.GANG_INDEX if step.step.gang else group[0].task.index
    return (job.job.job_id, *step.key, index)


def _sum_room(group: list[state.Run]) -> dict[str, model.Resources]:
    """Returns the room that runs use, by worker."""
    if len(group) == 1:
        return {group[0].worker_id: group[0].need}
    room_by_worker: dict[str, model.Resources] = {}
    for run in group:
        used = room_by_worker.get(run.worker_id)
        room_by_worker[run.worker_id] = run.need if used is None else used + run.need
    return room_by_worker


def _predict_end_s(
    context: units.PassContext, job: state.JobState, step: state.StepState, group: list[state.Run]
) -> float | None:
    """Returns in how many seconds all runs will have ended, or None if that is not known."""
    latest_s = 0.0
    for run in group:
        duration_s = context.speeds.predict_known_s(job, step, run.worker_id)
        remaining_s = estimates.predict_end_s(run, duration_s, context.now_s)
        if remaining_s is None:
            return None
        latest_s = max(latest_s, remaining_s)
    return latest_s


def _estimate_loss(
    context: units.PassContext, step: state.StepState, group: list[state.Run]
) -> float:
    """Returns the work that is lost if a group of runs is stopped, in core-seconds."""
    restart_s = context.current.policy.restore_s + context.current.policy.stop_s
    lost_s = 0.0
    for run in group:
        worked_s = 0.0 if step.step.checkpoints else max(0.0, context.now_s - run.phase_began_at_s)
        lost_s += worked_s + restart_s
    return lost_s * ordering.compute_usage(step.step.need)


def _count_interruptions(step: state.StepState, group: list[state.Run]) -> int:
    """Returns how often runs of a group of tasks have ended before without a result.

    A unit that was stopped before costs a multiple of its loss, so that preemption is spread over
    the jobs and none is stopped again and again.
    """
    return max(
        run.number - 1 - step.failures.get(step.get_counted_index(run.task.index), 0)
        for run in group
    )


def _stop_victim(context: units.PassContext, key: tuple) -> list[commands.Command]:
    job_id, occurrence, number, index = key
    step = context.current.jobs[job_id].steps[occurrence, number]
    reason = state.StopReason.PREEMPTED
    preemption_limits.record_preemption(step, max(index, 0), context.now_s)
    if index == units.GANG_INDEX:
        return runs.stop_step(context.current, step, reason, context.now_s)
    return runs.stop_run(context.current, step.runs[index], reason, context.now_s)


def plan_reservation(
    context: units.PassContext, unit: units.Unit, timeout_s: float | None = None
) -> None:
    """Reserves room for a blocked unit where running tasks are expected to end first.

    Args:
        context: Inputs and results of the pass.
        unit: The unit.
        timeout_s: How long the room stays reserved, or None for the time that blocked gangs have.
    """
    if _leaves_too_little(context, unit):
        return
    found = _find_ending_units(context, unit)
    if found is None:
        return
    if timeout_s is None:
        timeout_s = context.current.policy.reservation_s
    context.planned_reservations += 1
    _reserve(context, unit, found.placement, timeout_s, preempts=False)


def _find_ending_units(
    context: units.PassContext, unit: units.Unit
) -> preemption.Preemption | None:
    """Returns the runs that are expected to make room for a unit first, or None if none do."""
    step = unit.step.step
    candidates = units.list_candidates(context, unit)
    if context.ending_units is None:
        context.ending_units = _list_ending_units(context)
    spans = not step.same_rack or placement.exceeds_every_rack(
        len(unit.indices), step.need, candidates
    )
    return preemption.choose_victims(
        len(unit.indices), step.need, candidates, context.ending_units, step.same_rack and not spans
    )


def _leaves_too_little(context: units.PassContext, unit: units.Unit) -> bool:
    """Returns whether a further reservation would leave too little room for other work."""
    capacity = context.capacities.get(unit.service)
    planned = [r for r in context.current.reservations.values() if not r.preempts]
    if capacity is None or not planned:
        return False
    reserved = sum(
        len(reservation.placement) * headroom.compute_share(reservation.need, capacity.largest)
        for reservation in planned
    )
    return reserved + units.compute_share(context, unit) > MAX_PLANNED_RATIO * capacity.total


def _list_ending_units(context: units.PassContext) -> list[preemption.VictimUnit]:
    """Returns the runs that end by themselves; the cost of each is its remaining time."""
    result: list[preemption.VictimUnit] = []
    for job in context.current.jobs.values():
        for step in job.steps.values():
            if step.step.long_running:
                continue
            for group in _group_runs(step):
                remaining_s = max(
                    estimates.estimate_remaining_s(
                        step,
                        run,
                        context.now_s,
                        context.speeds.predict_s(job, step, run.worker_id),
                    )
                    for run in group
                )
                key = _make_victim_key(job, step, group)
                room_by_worker = _sum_room(group)
                result.append(preemption.VictimUnit(key, remaining_s, room_by_worker))
    return result
