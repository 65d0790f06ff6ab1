"""Order in which workers are chosen for a unit, according to the learned speeds.

Handles urgent gangs beside long batch work on workers of uneven speed that nothing declares: urgent
work is placed where it meets its objective, and other work first where urgent work would not, so
that the fast workers stay free. If the workers of a service are about equally fast, they are
chosen as if nothing was learned.
"""

import bisect
import dataclasses
import functools
import math

from lycheegate.jobs import model, ordering, placement, state
from lycheegate.jobs.durations import factors, predictions

__all__ = [
    "ALLOWANCE_RATIO",
    "FleetSpeeds",
    "Tiers",
    "compute_time_left_s",
    "compute_urgent_limit",
    "may_hold",
]

ALLOWANCE_RATIO = 1.15
"""Allowance for the differences between the durations of tasks of one step."""
TYPICAL_URGENT_S = 2.0
"""Declared duration that is assumed for urgent jobs that have not been submitted yet; it weighs the
constant part of their objective."""
LIMIT_BAND_RATIO = 1.02
"""Limits within this ratio share one order of workers, so that few orders are computed in a pass
with hundreds of jobs. A limit counts as the lower bound of its band."""
SPEED_BAND_RATIO = 1.25
"""Workers within this ratio are equally preferred where the order is by speed alone."""
MAX_SPEED_TIER = placement.Tier.COLD - 2
"""The tiers above are for workers that are cold or may fail."""
MIN_STEP_RUNS = 3
"""Number of observations of a step from which the end of its runs is predicted without progress; a
single one may be a task that takes many times as long as the others."""
_UNCERTAIN, _KNOWN_SLOW, _ADEQUATE, _MISSES = 0, 1, 2, 3
"""Tiers for work that is not urgent; the last one is added where its own objective is missed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tiers:
    """Tiers of the workers of a service for units of one kind.

    Attributes:
        values: Tier of each worker, in the order of the pool.
        has_slow: Whether they are those of urgent work and some worker has the tier ``SLOW``.
    """

    values: list[int]
    has_slow: bool = False


@dataclasses.dataclass(slots=True)
class _ServiceSpeeds:
    """Speeds of the workers of a service.

    Attributes:
        estimates: Estimate of each worker, in the order of the pool.
        ratios: Their expected values in rising order.
        urgent_limit: Ratio up to which a worker is adequate for the urgent queues, or None.
        tiers: Tiers that were computed, by kind of unit and band of its limit.
    """

    estimates: list[factors.Estimate]
    ratios: list[float]
    urgent_limit: float | None
    tiers: dict[tuple, Tiers] = dataclasses.field(default_factory=dict)

    def count_adequate(self, limit: float) -> int:
        """Returns how many workers are expected to be adequate for a limit."""
        return bisect.bisect_right(self.ratios, limit / ALLOWANCE_RATIO)


class FleetSpeeds:
    """Learned speeds during one scheduling pass; each estimate is computed once, when needed.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
    """

    def __init__(self, current: state.SchedulerState, now_s: float, wall_s: float):
        self._current = current
        self._now_s = now_s
        self._wall_s = wall_s
        self._estimates: dict[str, factors.Estimate] = {}
        self._step_estimates: dict[tuple, factors.Estimate] = {}
        self._limits: dict[str, float] = {}
        self._services: dict[str, _ServiceSpeeds] = {}

    def get_estimate(self, worker_id: str) -> factors.Estimate:
        """Returns the estimate of a worker."""
        found = self._estimates.get(worker_id)
        if found is None:
            found = factors.get_worker_estimate(self._current.durations, worker_id, self._now_s)
            self._estimates[worker_id] = found
        return found

    def get_step_estimate(self, job: state.JobState, step: state.StepState) -> factors.Estimate:
        """Returns the estimate of a step."""
        key = (job.job.job_id, *step.key)
        found = self._step_estimates.get(key)
        if found is None:
            found = predictions.get_used_estimate(self._current, job, step)
            self._step_estimates[key] = found
        return found

    def predict_s(self, job: state.JobState, step: state.StepState, worker_id: str) -> float:
        """Returns the duration of a task on a worker: the learned one if its service is uneven."""
        if not predictions.is_used(self._current, job):
            return step.step.estimate_s
        of_step = self.get_step_estimate(job, step).ratio
        return step.step.estimate_s * of_step * self.get_estimate(worker_id).ratio

    def predict_known_s(
        self, job: state.JobState, step: state.StepState, worker_id: str
    ) -> float | None:
        """Returns the predicted duration, or None if too few runs tell it."""
        if not predictions.is_used(self._current, job):
            return None
        if (
            self.get_step_estimate(job, step).runs < MIN_STEP_RUNS
            or not self.get_estimate(worker_id).runs
        ):
            return None
        return self.predict_s(job, step, worker_id)

    def compute_limit(self, job: state.JobState, delay_s: float = 0.0) -> float:
        """Returns how slow a worker may be for a job to meet its objective, as a ratio.

        Args:
            job: The job.
            delay_s: Time until its tasks start.
        """
        job_id = job.job.job_id
        if delay_s or job_id not in self._limits:
            left_s = compute_time_left_s(self._current, job, self._wall_s) - delay_s
            limit = left_s / max(model.MIN_ESTIMATE_S, ordering.compute_remaining_s(job))
            if delay_s:
                return limit
            self._limits[job_id] = limit
        return self._limits[job_id]

    def get_tiers(
        self,
        service: str,
        candidates: list[placement.Candidate],
        job: state.JobState,
        step: state.StepState,
        is_urgent: bool,
    ) -> Tiers | None:
        """Returns the tiers of the workers of a service for a unit, or None if all are alike.

        Args:
            service: The service.
            candidates: Its workers, the same ones in each call.
            job: Job of the unit.
            step: Step of the unit.
            is_urgent: Whether the unit is urgent.
        """
        if service not in self._current.uneven_services:
            return None
        speeds = self._get_service(service, candidates)
        limit = self.compute_limit(job)
        if is_urgent:
            if not speeds.count_adequate(limit):
                return self.get_tiers_by_speed(service, candidates)
            return _get_urgent_tiers(speeds, limit)
        return _get_other_tiers(speeds, math.inf if step.step.long_running else limit)

    def get_tiers_by_speed(
        self, service: str, candidates: list[placement.Candidate]
    ) -> Tiers | None:
        """Returns tiers by speed alone, for units that no set of adequate workers can hold."""
        if service not in self._current.uneven_services:
            return None
        speeds = self._get_service(service, candidates)
        return _cache(speeds, ("speed",), lambda: _make_speed_tiers(speeds))

    def _get_service(self, service: str, candidates: list[placement.Candidate]) -> _ServiceSpeeds:
        found = self._services.get(service)
        if found is None:
            estimates = [self.get_estimate(candidate.worker_id) for candidate in candidates]
            ratios = sorted(estimate.ratio for estimate in estimates)
            found = _ServiceSpeeds(
                estimates, ratios, compute_urgent_limit(self._current.configuration, service)
            )
            self._services[service] = found
        return found


def compute_time_left_s(current: state.SchedulerState, job: state.JobState, wall_s: float) -> float:
    """Returns the time until a job's objective; negative if the job is late."""
    return ordering.compute_objective_s(job, state.get_route(current, job)) - wall_s


def compute_urgent_limit(configuration: model.Configuration | None, service: str) -> float | None:
    """Returns the limit of the most demanding urgent queue of a service, or None without one."""
    if configuration is None:
        return None
    limits = (
        route.stretch_ratio + route.target_s / TYPICAL_URGENT_S
        for route in configuration.routes.values()
        if route.priority == 0 and route.service == service
    )
    return min(limits, default=None)


def may_hold(
    count: int, need: model.Resources, candidates: list[placement.Candidate], same_rack: bool
) -> bool:
    """Returns whether the workers before the tier ``SLOW`` could hold a unit if they were empty.

    Args:
        count: Number of tasks.
        need: Resources of one task.
        candidates: All workers on which the unit may be placed.
        same_rack: Whether it has to be in one rack unless it exceeds every rack.
    """
    held: dict[str, int] = {}
    for candidate in candidates:
        if candidate.tier < placement.Tier.SLOW:
            rack = candidate.rack if same_rack else ""
            fitting = placement.count_fitting(need, candidate.capacity, candidate.limit)
            held[rack] = held.get(rack, 0) + fitting
            if held[rack] >= count:
                return True
    return sum(held.values()) >= count and placement.exceeds_every_rack(count, need, candidates)


def _cache(speeds: _ServiceSpeeds, key: tuple, make) -> Tiers:
    found = speeds.tiers.get(key)
    if found is None:
        found = speeds.tiers[key] = make()
    return found


def _find_band(limit: float) -> int:
    return math.floor(math.log(limit) / math.log(LIMIT_BAND_RATIO) + 1e-9)


def _get_urgent_tiers(speeds: _ServiceSpeeds, limit: float) -> Tiers:
    band = _find_band(limit)
    return _cache(speeds, ("urgent", band), lambda: _make_urgent_tiers(speeds, band))


def _make_urgent_tiers(speeds: _ServiceSpeeds, band: int) -> Tiers:
    limit = LIMIT_BAND_RATIO**band / ALLOWANCE_RATIO
    values = [_choose_urgent_tier(estimate, limit) for estimate in speeds.estimates]
    return Tiers(values, placement.Tier.SLOW in values)


def _choose_urgent_tier(estimate: factors.Estimate, limit: float) -> int:
    if estimate.upper_ratio <= limit:
        return placement.Tier.PREFERRED
    return placement.Tier.LIKELY if estimate.ratio <= limit else placement.Tier.SLOW


def _get_other_tiers(speeds: _ServiceSpeeds, limit: float) -> Tiers | None:
    """Returns the tiers for a unit that is not urgent, or None if all workers are alike to it."""
    adequate = speeds.count_adequate(limit) if limit > 0.0 else 0
    # If the objective is met everywhere or nowhere, it does not matter.
    is_tight = 0 < adequate < len(speeds.ratios)
    key = ("other", _find_band(limit) if is_tight else None)
    tiers = _cache(speeds, key, lambda: _make_other_tiers(speeds, key[1]))
    return tiers if any(tiers.values) else None


def _make_other_tiers(speeds: _ServiceSpeeds, band: int | None) -> Tiers:
    values = [0] * len(speeds.estimates)
    if speeds.urgent_limit is not None:
        limit = speeds.urgent_limit / ALLOWANCE_RATIO
        choose = functools.partial(_choose_other_tier, limit=limit)
        values = [choose(estimate) for estimate in speeds.estimates]
        if all(value == _ADEQUATE for value in values):
            values = [0] * len(values)
    if band is not None:
        limit = LIMIT_BAND_RATIO**band / ALLOWANCE_RATIO
        values = [
            value + _MISSES * (estimate.ratio > limit)
            for value, estimate in zip(values, speeds.estimates, strict=True)
        ]
    return Tiers(values)


def _choose_other_tier(estimate: factors.Estimate, limit: float) -> int:
    if estimate.upper_ratio <= limit:
        return _ADEQUATE
    return _KNOWN_SLOW if estimate.runs and estimate.ratio > limit else _UNCERTAIN


def _make_speed_tiers(speeds: _ServiceSpeeds) -> Tiers:
    width = math.log(SPEED_BAND_RATIO)
    fastest = speeds.ratios[0] if speeds.ratios else 1.0
    return Tiers(
        [
            min(MAX_SPEED_TIER, round(math.log(estimate.ratio / fastest) / width))
            for estimate in speeds.estimates
        ]
    )
