"""Reservation of blocks of capacity for large jobs that have waited too long.

Only the oldest large job of each client account is considered, in the order in which they were
queued, so later large jobs cannot starve an earlier one. A block stays reserved until the work in
it that cannot be stopped has ended; no decision depends on run times.
"""

import functools

from lycheegate.core import (
    allocations,
    capacity,
    guarantees,
    limits,
    placement,
    queueing,
    starting,
    topology,
)
from lycheegate.model import requests

__all__ = ["plan_large"]

_RESERVED_RATIO = 0.25
"""Share of the partition that may be reserved at once, because reserved blocks are partly idle."""

_MAX_SEARCHES = 4
"""Searches for new blocks per pass; after a loss of capacity all large jobs may need one."""

_IMPROVE_INTERVAL_S = 1.0
"""Time between searches for a better block; each search covers several racks."""

_CLEAR = capacity.Stopping.CLEAR


def plan_large(
    s: allocations.SchedulingState,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> None:
    """Starts large jobs that have waited too long, or reserves blocks for them.

    Sets ``s.claims`` to the quota and the capacity that are held back from other work.
    """
    old_claims, s.claims = s.claims, allocations.Claims()
    may_reserve, searches = True, 0
    for _, request_id in queueing.list_oldest_large_jobs(s.queue):
        wait = s.queue.waits[request_id]
        if not _is_due(s, wait, now_s):
            break
        request = queueing.get_request(s.queue, request_id)
        group = s.queue.places[request_id][0]
        if limits.is_within_quota(s, group):
            if starting.try_start(s, request, group, now_s, out):
                continue
            reservation = s.reservations.get(request_id)
            if reservation is not None:
                if _start_or_move_block(s, reservation, group, now_s, out):
                    continue
                if _start_or_close_block(s, reservation, group, wait, now_s, out):
                    continue
            elif may_reserve and limits.leaves_urgent_reserve(s, group, alone=True):
                searches += 1
                is_started, may_reserve = _start_or_reserve_block(
                    s, request, group, wait, now_s, out
                )
                may_reserve = may_reserve and searches < _MAX_SEARCHES
                if is_started:
                    continue
        else:
            allocations.release_reservation(s, request_id)
        _hold_back(s, group, request_id, wait, now_s)
    if s.claims != old_claims:
        s.version += 1


def _is_within_share(s: allocations.SchedulingState, group: queueing.Group) -> bool:
    """Returns whether another block may be reserved; the first one always may."""
    if not s.reservations:
        return True
    shapes = [reservation.request.shape for reservation in s.reservations.values()]
    shapes.append(group.shape)
    totals, total = s.top.totals, capacity.Total
    return (
        sum(shape.members for shape in shapes) <= _RESERVED_RATIO * totals[total.SLOTS]
        and sum(shape.total_accelerators for shape in shapes)
        <= _RESERVED_RATIO * totals[total.ACCELERATORS]
    )


def _is_due(s: allocations.SchedulingState, wait: queueing.LargeWait, now_s: float) -> bool:
    return (
        now_s - wait.since_s >= s.settings.max_bypass_s
        or s.queue.starts - wait.starts >= s.settings.max_bypass_count
    )


def _hold_back(
    s: allocations.SchedulingState,
    group: queueing.Group,
    request_id: str,
    wait: queueing.LargeWait,
    now_s: float,
) -> None:
    """Holds back quota and capacity from other work for a large job."""
    claims, account, size = s.claims, group.client_account, group.size
    claims.due.add(request_id)
    claims.quota[account] = claims.quota.get(account, 0) + size
    urgent_limit_s = s.settings.max_bypass_s + s.settings.max_reservation_wait_s
    if now_s - wait.since_s >= urgent_limit_s or group.urgency is requests.Urgency.URGENT:
        claims.urgent_quota[account] = claims.urgent_quota.get(account, 0) + size
    reservation = s.reservations.get(request_id)
    if reservation is not None:
        # Work in the block that may not be stopped counts against the limit already.
        unstoppable_slots, unstoppable_accelerators = _measure_unstoppable(s, reservation)
        claims.slots += group.shape.members - unstoppable_slots
        claims.accelerators += size - unstoppable_accelerators
    elif group.is_limited and limits.leaves_urgent_reserve(s, group, alone=True):
        claims.slots += group.shape.members
        claims.accelerators += size


def _start_or_move_block(
    s: allocations.SchedulingState,
    reservation: capacity.Reservation,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts the job if there is room with its block released, or moves the block to a better one.

    When a block is chosen, it is unknown which work will end last. Without moves, a single long
    task could delay the whole block while other workers of the rack become free.

    Returns:
        Whether the job has left the queue.
    """
    if now_s - reservation.checked_at_s < _IMPROVE_INTERVAL_S:
        return False
    reservation.checked_at_s = now_s
    request = reservation.request
    del s.reservations[request.request_id]
    topology.remove_block(s.top, reservation)
    if starting.try_start(s, request, group, now_s, out):
        return True
    best, cost = reservation.block, placement.compute_clearing_cost(s.top, reservation.block)
    for view in (capacity.View.OUTSIDE, capacity.View.RESERVABLE):
        if view is capacity.View.RESERVABLE and not group.preemptible:
            continue
        other = placement.find_cheapest(s.top, view, group.shape)
        if other is not None and placement.compute_clearing_cost(s.top, other) < cost:
            best, cost = other, placement.compute_clearing_cost(s.top, other)
    reservation.block = best
    s.reservations[request.request_id] = reservation
    topology.add_block(s.top, reservation)
    return False


def _start_or_close_block(
    s: allocations.SchedulingState,
    reservation: capacity.Reservation,
    group: queueing.Group,
    wait: queueing.LargeWait,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts the job if its block is clear, or closes a block that was reserved too long ago.

    In a closed block, all work that may be stopped is stopped.

    Returns:
        Whether the job has left the queue.
    """
    if limits.leaves_urgent_reserve(s, group) and _is_clear(s, reservation):
        request, block = reservation.request, reservation.block
        purpose = _get_stop_purpose(reservation)
        return allocations.allocate(s, request, group, block, None, now_s, out, purpose)
    if now_s - wait.reserved_at_s < s.settings.max_reservation_wait_s:
        return False
    if not reservation.closed:
        reservation.closed = True
        allocations.mark_changed(s, reservation.block)
    for worker_id, (mask, _) in topology.group_by_worker(reservation.block).items():
        for allocation, held, _ in list(s.top.nodes[worker_id].members.values()):
            if (
                held & mask
                and allocation.state is capacity.AllocationState.RUNNING
                and allocations.may_stop(allocation, _CLEAR)
            ):
                allocations.stop(s, allocation, reservation.request.request_id, out)
    return False


def _get_stop_purpose(reservation: capacity.Reservation) -> capacity.Stopping:
    return capacity.Stopping.CLOSED if reservation.closed else _CLEAR


def _measure_unstoppable(
    s: allocations.SchedulingState, reservation: capacity.Reservation
) -> tuple[int, int]:
    """Returns the slots and accelerators of a block held by work that may not be stopped."""
    slots = accelerators = 0
    for worker_id, (mask, _) in topology.group_by_worker(reservation.block).items():
        for allocation, held, count in s.top.nodes[worker_id].members.values():
            if held & mask and not allocations.may_stop(allocation, _CLEAR):
                slots += count
                accelerators += (held & mask).bit_count()
    return slots, accelerators


def _is_clear(s: allocations.SchedulingState, reservation: capacity.Reservation) -> bool:
    """Returns whether all work left in a block is stopping or may be stopped."""
    for worker_id, (mask, members) in topology.group_by_worker(reservation.block).items():
        node = s.top.nodes[worker_id]
        slots = node.worker.slots - members
        for allocation, held, count in node.members.values():
            if allocation.state is capacity.AllocationState.STOPPING:
                continue
            if not allocations.may_stop(allocation, _get_stop_purpose(reservation)):
                slots -= count
                if held & mask:
                    return False
        if slots < 0:
            return False
    return True


def _start_or_reserve_block(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    wait: queueing.LargeWait,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> tuple[bool, bool]:
    """Starts a job where only work that may be stopped occupies capacity, or reserves a block.

    Returns:
        Whether the job has left the queue, and whether later jobs may reserve a block. They may
        not while this job waits for earlier reservations to be used.
    """
    shape = group.shape
    if limits.leaves_urgent_reserve(s, group):
        place = _find_block(s, capacity.View.CLEAR, group)
        if place is not None and allocations.allocate(
            s, request, group, place, None, now_s, out, _CLEAR
        ):
            return True, True
    if not _is_within_share(s, group):
        return False, False
    for view in (capacity.View.OUTSIDE, capacity.View.RESERVABLE):
        block = _find_block(s, view, group)
        if block is None:
            continue
        reservation = capacity.Reservation(request, block)
        if view is capacity.View.RESERVABLE and not group.preemptible:
            occupy = functools.partial(topology.add_block, s.top, reservation)
            release = functools.partial(topology.remove_block, s.top, reservation)
            if not guarantees.move_homes(s.guaranteed, s.top, block, occupy, release, s.settings):
                allocations.discard_growth(s)
                allocations.record_no_room(s, view, shape)
                continue
        else:
            topology.add_block(s.top, reservation)
        s.reservations[request.request_id] = reservation
        if wait.reserved_at_s is None:
            wait.reserved_at_s = now_s
        return False, True
    return False, not s.reservations


def _find_block(s: allocations.SchedulingState, view: capacity.View, group: queueing.Group):
    """Returns the cheapest block to clear among some racks, else any block, or None."""
    if allocations.find_room(s, view, group.shape) is None:
        return None
    cheapest = placement.find_cheapest(s.top, view, group.shape)
    return cheapest or allocations.find_room(s, view, group.shape)
