"""Limits on what may start: quotas of client accounts and the urgent reserve."""

from lycheegate.core import allocations, capacity, queueing
from lycheegate.model import requests

__all__ = ["clear_quota", "compute_room", "is_within_quota", "is_within_reserve"]


def is_within_quota(s: allocations.SchedulingState, group: queueing.Group) -> bool:
    """Returns whether the client account's quota has room beside the claims of large jobs."""
    account = s.queue.accounts[group.client_account]
    if account.quota is None:
        return True
    is_urgent = group.urgency is requests.Urgency.URGENT
    claims = s.claims.urgent_quota if is_urgent else s.claims.quota
    claimed = claims.get(group.client_account, 0)
    return account.in_use + group.size + claimed <= account.quota


def clear_quota(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    out: list[allocations.Start | allocations.Preempt],
) -> None:
    """Stops work of an urgent request's own client account that takes up the quota."""
    account = s.queue.accounts[group.client_account]
    excess = account.in_use - account.stopping + group.size - account.quota
    now = (account.in_use, account.version, group.size)
    if excess <= 0 or account.firm_at == now:
        return
    urgent = capacity.Stopping.URGENT
    held = [
        allocation
        for allocation in account.held.values()
        if allocations.may_stop(allocation, urgent)
    ]
    held.sort(key=lambda a: (-a.request.urgency, -a.serial))
    victims = []
    for allocation in held:
        if excess <= 0:
            break
        if allocation.request.shape.total_accelerators:
            victims.append(allocation)
            excess -= allocation.request.shape.total_accelerators
    if excess > 0:
        account.firm_at = now
        return
    for victim in victims:
        allocations.stop(s, victim, request.request_id, out)


def is_within_reserve(
    s: allocations.SchedulingState, group: queueing.Group, alone: bool = False
) -> bool:
    """Returns whether enough capacity outside homes remains for urgent work.

    Args:
        s: State.
        group: Kind of request.
        alone: Whether to leave out the work and the claims of others.
    """
    if not group.is_limited:
        return True
    allocations.refresh(s)
    slots, accelerators = compute_room(s)
    if alone:
        slots += s.top.totals[capacity.Total.TAKEN_SLOTS]
        accelerators += s.top.totals[capacity.Total.TAKEN_ACCELERATORS]
    else:
        slots -= s.claims.slots
        accelerators -= s.claims.accelerators
    return group.shape.members <= slots and (group.size == 0 or group.size <= accelerators)


def compute_room(s: allocations.SchedulingState) -> tuple[int, int]:
    """Returns slots and accelerators that the urgent reserve leaves to other work."""
    totals, ratio, total = s.top.totals, s.settings.urgent_reserve_ratio, capacity.Total
    slots = totals[total.OUTSIDE_SLOTS] - int(totals[total.SLOTS] * ratio)
    accelerators = totals[total.OUTSIDE_ACCELERATORS] - int(totals[total.ACCELERATORS] * ratio)
    return slots - totals[total.TAKEN_SLOTS], accelerators - totals[total.TAKEN_ACCELERATORS]
