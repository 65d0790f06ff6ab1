"""Services whose workers are so uneven that learned durations are used.

Handles fleets in which many workers are too slow for urgent work, which no declaration says. On
other fleets, workers are chosen and work is ordered as if nothing was learned.
"""

from lycheegate.jobs import adequacy, commands, state
from lycheegate.jobs.durations import factors

__all__ = ["update_uneven_services"]

CHECK_INTERVAL_S = 1.0
MIN_SLOW_RATIO = 0.1
"""Share of the workers of a service that are known to be too slow for its urgent queues from which
it counts as uneven. Fewer may seem slow by chance, and leave enough others."""
KEPT_SLOW_RATIO = 0.05
"""Share down to which it stays uneven, so that it does not change with each observation."""


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
    for service, (slow, total) in sorted(_count_slow_workers(current, now_s).items()):
        was_uneven = service in current.uneven_services
        is_uneven = slow >= (KEPT_SLOW_RATIO if was_uneven else MIN_SLOW_RATIO) * total > 0.0
        if is_uneven:
            uneven.add(service)
        if is_uneven != was_uneven:
            fields = {"service": service, "uneven": is_uneven, "slow": slow, "workers": total}
            result.append(commands.Decision("service_uneven", fields))
    current.uneven_services = frozenset(uneven)
    return result


def _count_slow_workers(current: state.SchedulerState, now_s: float) -> dict[str, tuple[int, int]]:
    """Returns the workers known to be too slow for urgent work, and all, of each service."""
    limits: dict[str, float | None] = {}
    counts: dict[str, tuple[int, int]] = {}
    for worker in current.workers.values():
        service = worker.service
        if service not in limits:
            limits[service] = adequacy.compute_urgent_limit(current.configuration, service)
        limit = limits[service]
        if limit is None or not worker.registered:
            continue
        estimate = factors.get_worker_estimate(current.durations, worker.worker_id, now_s)
        is_slow = estimate.runs > 0 and estimate.ratio * adequacy.ALLOWANCE_RATIO > limit
        slow, total = counts.get(service, (0, 0))
        counts[service] = (slow + is_slow, total + 1)
    return counts
