"""Reasons for which a preview shows that a worker was not chosen.

Each worker of a service is examined with the candidates and the room that the scheduler sees right
before it places a unit. Once the unit is placed, the workers that have room are compared with the
chosen ones.
"""

import dataclasses
import enum

from lycheegate.jobs import (
    data_centres,
    health,
    model,
    placement,
    scheduling,
    state,
    units,
)

__all__ = ["Exclusion", "Verdict", "compare_with_chosen", "examine_workers"]


class Exclusion(enum.StrEnum):
    """Why a worker is not chosen; of several reasons, the first one is shown."""

    NOT_REGISTERED = "not_registered"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    UNKNOWN_RUNS = "unknown_runs"
    """It lists runs of unknown size."""
    NOT_REPORTING = "not_reporting"
    NOT_ANSWERING = "not_answering"
    """It did not answer an order lately."""
    LABEL = "label"
    TRIAL = "trial"
    """It runs a task that may crash it, or the task itself may crash its worker."""
    SUSPECTED = "suspected"
    """It may fail what it runs."""
    AVOIDED = "avoided"
    """A run on it has stalled, or a task of the step has failed there."""
    TASK_LIMIT = "task_limit"
    """It has the maximum number of tasks of the step."""
    TOO_SMALL = "too_small"
    NO_ROOM = "no_room"
    RESERVED = "reserved"
    """Its room is reserved for other tasks."""
    HEADROOM = "headroom"
    """The room is kept free for urgent work."""
    FAR_FROM_DATA = "far_from_data"
    """The task still waits for room in the rack of its data."""
    COLD = "cold"
    """It has started recently, and warm workers were chosen."""
    SLOW = "slow"
    """It is slower than the chosen workers."""
    KEPT_FOR_URGENT = "kept_for_urgent"
    """It is fast enough for urgent work, and others were chosen."""


@dataclasses.dataclass(slots=True)
class Verdict:
    """What is known about a worker before a unit is placed.

    Attributes:
        worker: The worker.
        exclusion: Why it cannot be chosen, or None.
        fitting: Number of tasks of the step that fit.
        tier: Its tier for the unit.
        is_avoided: Whether it is chosen only if no other worker has room.
    """

    worker: state.WorkerState
    exclusion: Exclusion | None = None
    fitting: int = 0
    tier: int = placement.Tier.PREFERRED
    is_avoided: bool = False


def examine_workers(context: units.PassContext, unit: units.Unit) -> dict[str, Verdict]:
    """Returns what is known about each worker of the unit's service, before the unit is placed.

    Args:
        context: The pass, in which all units before this one are placed.
        unit: The unit.

    Returns:
        Verdicts by worker.
    """
    one = unit if unit.step.step.gang else dataclasses.replace(unit, indices=unit.indices[:1])
    own = context.current.reservations.get(one.reservation_key)
    if own is not None:
        context.workers.remove_reservation(own)
    candidates = {c.worker_id: c for c in units.list_candidates(context, one)}
    is_admitted = scheduling.is_admitted(context, one)
    only_near = _is_bound_to_rack(context, one, candidates)
    result: dict[str, Verdict] = {}
    for worker in context.current.workers.values():
        if worker.service != unit.service:
            continue
        verdict = result[worker.worker_id] = Verdict(worker)
        candidate = candidates.get(worker.worker_id)
        if candidate is None:
            verdict.exclusion = _explain_unsuitable(context, one, worker)
            continue
        verdict.tier, verdict.is_avoided = candidate.tier, candidate.is_avoided
        verdict.exclusion = _explain_room(unit.step.step, worker, candidate)
        if verdict.exclusion is None and not is_admitted:
            verdict.exclusion = Exclusion.HEADROOM
        if verdict.exclusion is None and only_near and worker.rack != unit.step.step.near_rack:
            verdict.exclusion = Exclusion.FAR_FROM_DATA
        if verdict.exclusion is None:
            verdict.fitting = placement.count_fitting(
                unit.step.step.need, candidate.room, min(candidate.limit, len(unit.indices))
            )
    if own is not None:
        context.workers.add_reservation(own)
    return result


def _is_bound_to_rack(
    context: units.PassContext, unit: units.Unit, candidates: dict[str, placement.Candidate]
) -> bool:
    """Returns whether a single task still waits for room in the rack of its data."""
    step = unit.step.step
    is_near = any(candidate.rack == step.near_rack for candidate in candidates.values())
    return not step.gang and is_near and scheduling.compute_locality_wait_s(context, unit) > 0.0


def _explain_unsuitable(
    context: units.PassContext, unit: units.Unit, worker: state.WorkerState
) -> Exclusion:
    """Returns why a worker is no candidate, in the order of ``pool`` and ``units``."""
    current, now_s = context.current, context.now_s
    label = unit.step.step.label
    age_s = now_s - worker.reported_at_s
    reasons = (
        (not worker.registered or not worker.has_current_registration, Exclusion.NOT_REGISTERED),
        (data_centres.is_evacuated(current, worker), Exclusion.EVACUATED),
        (worker.draining, Exclusion.DRAINING),
        (health.is_quarantined(worker, now_s), Exclusion.QUARANTINED),
        (bool(worker.unknown_runs), Exclusion.UNKNOWN_RUNS),
        (
            not worker.incarnation.confirmed or age_s >= current.policy.report_stale_s,
            Exclusion.NOT_REPORTING,
        ),
        (now_s < worker.unreachable_until_s, Exclusion.NOT_ANSWERING),
        (bool(label) and label not in worker.labels, Exclusion.LABEL),
        (context.workers.is_on_trial(worker.worker_id), Exclusion.TRIAL),
        (health.is_suspected(worker, now_s), Exclusion.SUSPECTED),
        (
            worker.worker_id in current.stalled or worker.worker_id in unit.step.avoided_workers,
            Exclusion.AVOIDED,
        ),
    )
    # The remaining case is a task that may crash its worker, and a worker with new runs.
    return next((reason for applies, reason in reasons if applies), Exclusion.TRIAL)


def _explain_room(
    step: model.Step, worker: state.WorkerState, candidate: placement.Candidate
) -> Exclusion | None:
    """Returns why a candidate cannot hold a task now, or None if it can."""
    if candidate.limit < 1:
        return Exclusion.TASK_LIMIT
    if not step.need.fits(worker.capacity):
        return Exclusion.TOO_SMALL
    if step.need.fits(candidate.room):
        return None
    # Room of runs is subtracted from both, that of reservations only from the candidate's.
    return Exclusion.RESERVED if step.need.fits(worker.room) else Exclusion.NO_ROOM


def compare_with_chosen(
    context: units.PassContext,
    unit: units.Unit,
    verdicts: dict[str, Verdict],
    chosen: list[str],
) -> None:
    """Sets why workers that have room are less preferred than the chosen ones.

    Args:
        context: The pass, in which the unit is placed.
        unit: The unit.
        verdicts: Result of ``examine_workers`` for the unit; is changed.
        chosen: Workers on which its tasks are placed, or have room reserved.
    """
    known = [verdicts[worker_id] for worker_id in set(chosen) if worker_id in verdicts]
    if not known:
        return
    last_tier = max(verdict.tier for verdict in known)
    last_avoided = max(verdict.is_avoided for verdict in known)
    is_urgent = unit.rank.level < 2
    slowest = max(context.speeds.get_estimate(worker_id).ratio for worker_id in chosen)
    for worker_id, verdict in verdicts.items():
        if verdict.exclusion is not None or worker_id in chosen:
            continue
        if verdict.is_avoided and not last_avoided:
            is_suspected = health.is_suspected(verdict.worker, context.now_s)
            verdict.exclusion = Exclusion.SUSPECTED if is_suspected else Exclusion.AVOIDED
        elif verdict.tier > last_tier and verdict.tier == placement.Tier.COLD:
            verdict.exclusion = Exclusion.COLD
        elif verdict.tier > last_tier:
            is_slower = context.speeds.get_estimate(worker_id).ratio > slowest
            is_kept = not is_urgent and not is_slower
            verdict.exclusion = Exclusion.KEPT_FOR_URGENT if is_kept else Exclusion.SLOW
        if verdict.exclusion is not None:
            verdict.fitting = 0
