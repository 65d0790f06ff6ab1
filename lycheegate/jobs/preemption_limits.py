"""Limits on the work that is lost to preemptions for urgent work beyond the guarantee.

Handles bursts of urgent gangs beyond their accounts' guarantee while the workers are full of long
work that waits again after each stop. Without a limit, each gang stops several times the work that
it does itself, and the stopped work competes for the same room again. Guaranteed urgent work
(level 0) is never limited, and neither is a service for which the configuration states no limit.
"""

import dataclasses
import enum
from typing import Any

from lycheegate.jobs import commands, model, ordering, state, units

__all__ = [
    "Denial",
    "Reason",
    "compute_worth_core_s",
    "decline",
    "examine",
    "is_due",
    "is_protected",
    "record_preemption",
    "refill",
    "spend",
]

WORTH_FACTOR = 3.0
"""Core-seconds that may be lost for each core-second that an urgent job still has to do. Above 1,
because stopped work may still meet its own objective, which is several times as long."""
LATE_WORTH_RATIO = 0.2
"""Part of its worth that is left to a job after its objective."""
EXPIRY_FACTOR = 3.0
"""Multiple of its objective from which a job counts nothing any more."""
PROTECTED_S = 10.0
"""How long a task that was preempted is not preempted again for work beyond the guarantee."""
BUDGET_BURST_S = 0.5
"""Size of the budget, as seconds of the service's whole capacity."""
MIN_BURST_CORE_S = 1_000.0
"""Minimum size of the budget. On a service of few workers, the loss of a single run would otherwise
exceed it, and nothing could ever be stopped."""
MIN_RETRY_S = 0.25
MAX_RETRY_S = 2.0
"""Interval of the searches for victims for a unit whose preemption was declined; it doubles from
the minimum to this. A search in each pass for each of many units would take all processor time."""
MAX_DECLINED_PER_PASS = 3
"""Number of declined preemptions after which a pass searches for no more; the next pass goes on."""
REPORT_INTERVAL_S = 1.0
"""Interval of the log lines about the declined preemptions of one job."""


class Reason(enum.StrEnum):
    """Why a preemption was declined."""

    EXPIRED = "expired"
    """The job can no longer end within ``EXPIRY_FACTOR`` times its objective."""
    AWAITS_ENDS = "awaits_ends"
    """The job is late, and enough runs end by themselves while it still counts in part."""
    LOSS = "loss"
    """More work would be lost than the job is still worth."""
    BUDGET = "budget"
    """More work would be lost than the budget of the service has left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A declined preemption.

    Attributes:
        reason: Why it was declined.
        fields: Figures of the decision, for the log.
    """

    reason: Reason
    fields: dict[str, Any]


def _get_ratio(current: state.SchedulerState, service: str) -> float | None:
    """Returns the share of a service's capacity that may be lost, or None if it is not limited."""
    if current.configuration is None or service not in current.configuration.services:
        return None
    return current.configuration.services[service].preemption_loss_ratio


def _is_limited(context: units.PassContext, unit: units.Unit) -> bool:
    return unit.rank.level > 0 and _get_ratio(context.current, unit.service) is not None


def is_due(context: units.PassContext, unit: units.Unit) -> bool:
    """Returns whether victims for a unit are to be searched for in this pass."""
    if not _is_limited(context, unit):
        return True
    if context.declined_preemptions >= MAX_DECLINED_PER_PASS:
        return False
    declined = context.current.preemption.declined.get(unit.reservation_key)
    return declined is None or context.now_s >= declined.retry_at_s


def examine(
    context: units.PassContext, unit: units.Unit, lost_core_s: float, wait_s: float
) -> Denial | None:
    """Returns why a preemption is not admissible, or None if it is.

    Args:
        context: Inputs of the pass.
        unit: Unit that preempts.
        lost_core_s: Estimated work that would be lost.
        wait_s: Time until enough runs have ended by themselves; used for late jobs only.
    """
    if not _is_limited(context, unit) or lost_core_s <= 0.0:
        return None
    fields: dict[str, Any] = {"lost_core_s": round(lost_core_s, 1)}
    # The declared duration of long-running work says nothing about its worth.
    if not unit.step.step.long_running:
        if unit.rank.is_late:
            left_s = _compute_left_s(context, unit)
            fields["left_s"] = round(left_s, 3)
            if left_s < 0.0:
                return Denial(Reason.EXPIRED, fields)
            if wait_s <= left_s:
                return Denial(Reason.AWAITS_ENDS, {**fields, "wait_s": round(wait_s, 3)})
        worth_core_s = compute_worth_core_s(unit)
        fields["worth_core_s"] = round(worth_core_s, 1)
        if lost_core_s > worth_core_s:
            return Denial(Reason.LOSS, fields)
    budget = _update_budget(context, unit.service)
    fields["budget_core_s"] = round(budget.available_core_s, 1)
    if lost_core_s > budget.available_core_s:
        return Denial(Reason.BUDGET, fields)
    return None


def _compute_left_s(context: units.PassContext, unit: units.Unit) -> float:
    """Returns until when a unit must have started so that its late job counts in part."""
    route = state.get_route(context.current, unit.job)
    objective_s = ordering.compute_objective_s(unit.job, route)
    allowed_s = route.stretch_ratio * model.estimate_chain_s(unit.job.job.steps) + route.target_s
    expires_s = objective_s + (EXPIRY_FACTOR - 1.0) * allowed_s
    return expires_s - ordering.compute_remaining_s(unit.job) - context.wall_s


def compute_worth_core_s(unit: units.Unit) -> float:
    """Returns the work that may be lost for a unit, from the remaining work of its job.

    A task that is not part of a gang has its share of the worth of the job, so that the tasks of a
    job together stop no more than the job is worth.
    """
    step = unit.step
    share = len(unit.indices) / max(1, step.step.count - len(step.done))
    ratio = LATE_WORTH_RATIO if unit.rank.is_late else 1.0
    return WORTH_FACTOR * ratio * share * ordering.compute_remaining_work(unit.job)


def refill(
    budget: state.PreemptionBudget | None, capacity_cores: float, ratio: float, now_s: float
) -> state.PreemptionBudget:
    """Returns a service's budget at ``now_s``; a new one is full.

    Args:
        budget: The budget as it was, or None.
        capacity_cores: Capacity of the service; an accelerator counts as several cores.
        ratio: Share of the capacity that may be lost in the long run.
        now_s: Time on the scheduler's clock.
    """
    size_core_s = max(MIN_BURST_CORE_S, BUDGET_BURST_S * capacity_cores)
    if budget is None:
        return state.PreemptionBudget(size_core_s, now_s)
    refilled_core_s = ratio * capacity_cores * max(0.0, now_s - budget.updated_at_s)
    return state.PreemptionBudget(
        min(size_core_s, budget.available_core_s + refilled_core_s), now_s
    )


def _update_budget(context: units.PassContext, service: str) -> state.PreemptionBudget:
    budgets = context.current.preemption.budgets
    capacity = context.capacities.get(service)
    cores = 0.0 if capacity is None else capacity.cores
    ratio = _get_ratio(context.current, service) or 0.0
    budgets[service] = refill(budgets.get(service), cores, ratio, context.now_s)
    return budgets[service]


def spend(context: units.PassContext, unit: units.Unit, lost_core_s: float) -> None:
    """Takes the loss of an admitted preemption from the budget; level 0 uses none of it."""
    context.current.preemption.declined.pop(unit.reservation_key, None)
    if _is_limited(context, unit):
        budget = _update_budget(context, unit.service)
        context.current.preemption.budgets[unit.service] = dataclasses.replace(
            budget, available_core_s=budget.available_core_s - lost_core_s
        )


def decline(
    context: units.PassContext, unit: units.Unit, denial: Denial
) -> tuple[float, list[commands.Command]]:
    """Records a declined preemption.

    Returns:
        Time until the next search for victims, and the line for the log if one is due.
    """
    memory, now_s = context.current.preemption, context.now_s
    context.declined_preemptions += 1
    for key in [k for k, d in memory.declined.items() if now_s - d.retry_at_s > MAX_RETRY_S]:
        del memory.declined[key]
    last = memory.declined.get(unit.reservation_key)
    interval_s = MIN_RETRY_S if last is None else min(MAX_RETRY_S, 2.0 * last.interval_s)
    declined = state.DeclinedUnit(now_s + interval_s, interval_s)
    memory.declined[unit.reservation_key] = declined
    return interval_s, _report(context, unit, denial)


def _report(context: units.PassContext, unit: units.Unit, denial: Denial) -> list[commands.Command]:
    memory, now_s = context.current.preemption, context.now_s
    job_id = unit.job.job.job_id
    recent = {
        j: at_s for j, at_s in memory.reported_at_s.items() if now_s - at_s < REPORT_INTERVAL_S
    }
    memory.reported_at_s = recent
    if job_id in recent:
        return []
    recent[job_id] = now_s
    fields = {"job": job_id, "reason": denial.reason.value, **denial.fields}
    return [commands.Decision("preemption_declined", fields)]


def record_preemption(step: state.StepState, index: int, now_s: float) -> None:
    """Records that a task, or the gang that it belongs to, was preempted."""
    step.preempted_at_s[step.get_counted_index(index)] = now_s


def is_protected(
    current: state.SchedulerState,
    service: str,
    step: state.StepState,
    index: int,
    level: int,
    now_s: float,
) -> bool:
    """Returns whether a task may not be preempted for work of a level, as it was lately."""
    if _get_ratio(current, service) is None:
        return False
    preempted_at_s = step.preempted_at_s.get(step.get_counted_index(index))
    return level > 0 and preempted_at_s is not None and now_s - preempted_at_s < PROTECTED_S
