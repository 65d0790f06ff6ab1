"""Limits on what may start: quotas of client accounts and the urgent reserve."""

from lycheegate.core import allocations, capacity, queueing
from lycheegate.model import requests

__all__ = ["compute_room", "is_within_quota", "leaves_urgent_reserve", "preempt_for_quota"]


def is_within_quota(s: allocations.SchedulingState, group: queueing.Group) -> bool:
    """Returns whether the quota of the client account allows a start.

    Quota held back for large jobs does not count as available.
    """
    account = s.queue.accounts[group.client_account]
    if account.quota is None:
        return True
    is_urgent = group.urgency is requests.Urgency.URGENT
    held_back = s.claims.urgent_quota if is_urgent else s.claims.quota
    held_back_size = held_back.get(group.client_account, 0)
    return account.in_use + group.size + held_back_size <= account.quota


def preempt_for_quota(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    out: list[allocations.Start | allocations.Preempt],
) -> None:
    """Stops work of the client account of an urgent request to make room in its quota.

    Nothing is stopped if that would not make enough room.
    """
    account = s.queue.accounts[group.client_account]
    excess = account.in_use - account.stopping + group.size - account.quota
    current = (account.in_use, account.version, group.size)
    if excess <= 0 or account.firm_at == current:
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
        account.firm_at = current
        return
    for victim in victims:
        allocations.stop(s, victim, request.request_id, out)


def leaves_urgent_reserve(
    s: allocations.SchedulingState, group: queueing.Group, alone: bool = False
) -> bool:
    """Returns whether a start outside homes leaves the urgent reserve free.

    Args:
        s: State.
        group: Group of the request.
        alone: Whether to ignore other work and the capacity held back for large jobs.
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
    """Returns the slots and accelerators still available beside the urgent reserve."""
    totals, ratio, total = s.top.totals, s.settings.urgent_reserve_ratio, capacity.Total
    slots = totals[total.OUTSIDE_SLOTS] - int(totals[total.SLOTS] * ratio)
    accelerators = totals[total.OUTSIDE_ACCELERATORS] - int(totals[total.ACCELERATORS] * ratio)
    return slots - totals[total.TAKEN_SLOTS], accelerators - totals[total.TAKEN_ACCELERATORS]
