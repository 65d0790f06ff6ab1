"""Services whose workers are so uneven that learned durations are used.

Handles fleets in which many workers are too slow for urgent work, which no declaration says. On
other fleets, workers are chosen and work is ordered as if nothing was learned.
"""

import dataclasses
import math
import statistics

from lycheegate.jobs import adequacy, commands, state
from lycheegate.jobs.durations import factors

__all__ = ["update_uneven_services"]

CHECK_INTERVAL_S = 1.0
MIN_SLOW_RATIO = 0.1
"""Share of the workers of a service that are too slow for its urgent queues from which it counts as
uneven. Fewer may seem slow by chance, and leave enough others."""
KEPT_SLOW_RATIO = 0.05
"""Share down to which it stays uneven, so that it does not change with each observation."""
MIN_KNOWN_WORKERS = 10
"""Number of workers with observations from which the spread of the fleet tells about a service."""


@dataclasses.dataclass(slots=True)
class _Counts:
    """Workers of a service.

    Attributes:
        limit: Ratio up to which a worker is adequate for its urgent queues.
        slow: Number of workers that are known to be too slow.
        known: Number of workers with observations.
        total: Number of workers.
    """

    limit: float
    slow: int = 0
    known: int = 0
    total: int = 0


def update_uneven_services(current: state.SchedulerState, now_s: float) -> list[commands.Command]:
    """Updates which services are uneven, at most once per ``CHECK_INTERVAL_S``.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.

    Returns:
        Decisions to be logged: services that have become uneven or even.
    """
    checked_at_s = current.unevenness_checked_at_s
    if checked_at_s is not None and now_s - checked_at_s < CHECK_INTERVAL_S:
        return []
    current.unevenness_checked_at_s = now_s
    result: list[commands.Command] = []
    uneven: set[str] = set()
    for service, counts in sorted(_count_workers(current, now_s).items()):
        was_uneven = service in current.uneven_services
        slow_ratio = max(counts.slow / counts.total, _estimate_slow_ratio(current, counts))
        is_uneven = slow_ratio >= (KEPT_SLOW_RATIO if was_uneven else MIN_SLOW_RATIO)
        if is_uneven:
            uneven.add(service)
        if is_uneven != was_uneven:
            fields = {
                "service": service,
                "uneven": is_uneven,
                "slow_ratio": round(slow_ratio, 3),
                "slow": counts.slow,
                "known": counts.known,
                "workers": counts.total,
            }
            result.append(commands.Decision("service_uneven", fields))
    current.uneven_services = frozenset(uneven)
    return result


def _estimate_slow_ratio(current: state.SchedulerState, counts: _Counts) -> float:
    """Returns the share of workers that are expected to be too slow, from the spread of the fleet.

    The spread is known long before most workers are: at the begin of a load, many have run nothing.
    """
    if counts.known < MIN_KNOWN_WORKERS:
        return 0.0
    limit = math.log(counts.limit / adequacy.ALLOWANCE_RATIO)
    deviation = math.sqrt(current.durations.worker_variance)
    return 1.0 - statistics.NormalDist(0.0, deviation).cdf(limit)


def _count_workers(current: state.SchedulerState, now_s: float) -> dict[str, _Counts]:
    """Returns the numbers of workers of each service that has urgent queues."""
    limits: dict[str, float | None] = {}
    result: dict[str, _Counts] = {}
    for worker in current.workers.values():
        service = worker.service
        if service not in limits:
            limits[service] = adequacy.compute_urgent_limit(current.configuration, service)
        limit = limits[service]
        if limit is None or not worker.registered:
            continue
        counts = result.setdefault(service, _Counts(limit))
        estimate = factors.get_worker_estimate(current.durations, worker.worker_id, now_s)
        counts.total += 1
        if estimate.runs:
            counts.known += 1
            counts.slow += estimate.ratio * adequacy.ALLOWANCE_RATIO > limit
    return result
