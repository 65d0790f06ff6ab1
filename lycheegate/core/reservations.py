"""Blocks of capacity that are cleared for large jobs which were passed over too long.

Jobs are served in the order in which they were queued, so the oldest is never passed over by a
later large one. A block is held until the work in it that cannot be stopped has ended; no decision
rests on a run time.
"""

import functools

from lycheegate.core import (
    allocations,
    capacity,
    guarantees,
    placement,
    queueing,
    starting,
    topology,
)
from lycheegate.model import requests

__all__ = ["plan_large"]

_CLEAR = capacity.Stopping.CLEAR


def plan_large(
    s: allocations.SchedulingState,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> None:
    """Starts large jobs that waited too long, or reserves blocks for them.

    Leaves in ``s.claims`` what other work must not take.
    """
    s.claims = allocations.Claims()
    may_reserve = True
    for request_id in list(s.queue.large.values()):
        wait = s.queue.waits[request_id]
        if not _is_due(s, wait, now_s):
            break
        request = queueing.get_request(s.queue, request_id)
        key = s.queue.places[request_id][0]
        if allocations.is_within_quota(s, key):
            if starting.try_start(s, request, key, now_s, out):
                continue
            reservation = s.reservations.get(request_id)
            if reservation is not None:
                if _advance(s, reservation, key, wait, now_s, out):
                    continue
            elif may_reserve and allocations.is_within_reserve(s, key, alone=True):
                is_started, may_reserve = _reserve(s, request, key, wait, now_s, out)
                if is_started:
                    continue
        else:
            allocations.drop_reservation(s, request_id)
        _claim(s, key, request_id, wait, now_s)


def _is_due(s: allocations.SchedulingState, wait: queueing.LargeWait, now_s: float) -> bool:
    return (
        now_s - wait.since_s >= s.settings.max_bypass_s
        or s.queue.starts - wait.starts >= s.settings.max_bypass_count
    )


def _claim(
    s: allocations.SchedulingState,
    key: queueing.GroupKey,
    request_id: str,
    wait: queueing.LargeWait,
    now_s: float,
) -> None:
    """Holds back quota and the urgent reserve's limits for a large job."""
    claims, account, size = s.claims, key.client_account, key.shape.total_accelerators
    claims.due.add(request_id)
    claims.quota[account] = claims.quota.get(account, 0) + size
    patience_s = s.settings.max_bypass_s + s.settings.max_reservation_wait_s
    if now_s - wait.since_s >= patience_s or key.urgency is requests.Urgency.URGENT:
        claims.urgent_quota[account] = claims.urgent_quota.get(account, 0) + size
    is_limited = key.urgency is not requests.Urgency.URGENT and (not key.preemptible or key.immune)
    if is_limited and allocations.is_within_reserve(s, key, alone=True):
        claims.slots += key.shape.members
        claims.accelerators += size


def _advance(
    s: allocations.SchedulingState,
    reservation: capacity.Reservation,
    key: queueing.GroupKey,
    wait: queueing.LargeWait,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts the job of a reservation whose block is clear, or closes an old block."""
    if allocations.is_within_reserve(s, key) and _is_clear(s, reservation):
        request, block = reservation.request, reservation.block
        return allocations.occupy(s, request, key, block, None, now_s, out, _CLEAR)
    if now_s - wait.reserved_at_s < s.settings.max_reservation_wait_s:
        return False
    if not reservation.closed:
        reservation.closed = True
        allocations.touch(s, reservation.block)
    for worker_id, (mask, _) in topology.group_by_worker(reservation.block).items():
        for allocation, held, _ in list(s.top.nodes[worker_id].members.values()):
            if (
                held & mask
                and allocation.state is capacity.AllocationState.RUNNING
                and allocations.may_stop(allocation, _CLEAR)
            ):
                allocations.stop(s, allocation, reservation.request.request_id, out)
    return False


def _is_clear(s: allocations.SchedulingState, reservation: capacity.Reservation) -> bool:
    """Returns whether only work that may be stopped is left in a block."""
    for worker_id, (mask, members) in topology.group_by_worker(reservation.block).items():
        node = s.top.nodes[worker_id]
        slots = node.worker.slots - members
        for allocation, held, count in node.members.values():
            if allocation.state is capacity.AllocationState.STOPPING:
                continue
            if not allocations.may_stop(allocation, _CLEAR):
                slots -= count
                if held & mask:
                    return False
        if slots < 0:
            return False
    return True


def _reserve(
    s: allocations.SchedulingState,
    request: requests.Request,
    key: queueing.GroupKey,
    wait: queueing.LargeWait,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> tuple[bool, bool]:
    """Starts a job where only work that may be stopped is in the way, or reserves a block.

    Returns:
        Whether the job has left the queue, and whether later jobs may reserve. They may not while
        this job waits for earlier reservations to be used.
    """
    shape = key.shape
    if allocations.is_within_reserve(s, key):
        place = _find_block(s, capacity.View.CLEAR, key)
        if place is not None and allocations.occupy(
            s, request, key, place, None, now_s, out, _CLEAR
        ):
            return True, True
    for view in (capacity.View.OUTSIDE, capacity.View.RESERVABLE):
        block = _find_block(s, view, key)
        if block is None:
            continue
        reservation = capacity.Reservation(request, block, now_s)
        if view is capacity.View.RESERVABLE and not key.preemptible:
            attach = functools.partial(topology.attach_block, s.top, reservation)
            detach = functools.partial(topology.detach_block, s.top, reservation)
            if not guarantees.make_room(s.guaranteed, s.top, block, attach, detach, s.settings):
                s.failed[view].add(shape)
                continue
        else:
            topology.attach_block(s.top, reservation)
        s.reservations[request.request_id] = reservation
        if wait.reserved_at_s is None:
            wait.reserved_at_s = now_s
        return False, True
    return False, not s.reservations


def _find_block(s: allocations.SchedulingState, view: capacity.View, key: queueing.GroupKey):
    """Returns the block with the least work in it among some racks, or any block, or None."""
    if allocations.find(s, view, key.shape) is None:
        return None
    cheapest = placement.find_cheapest(s.top, view, key.shape)
    return cheapest or allocations.find(s, view, key.shape)
