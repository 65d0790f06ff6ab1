"""Scheduling of requests on the workers of a partition; the interface used by the engine.

The engine passes in requests, workers and releases, and calls ``plan`` to learn what to start and
what to stop. The functions depend only on their arguments and change the state in place.
"""

import dataclasses
import heapq

from lycheegate.core import (
    allocations,
    capacity,
    guarantees,
    invariants,
    limits,
    placement,
    policy,
    queueing,
    reservations,
    starting,
    topology,
)
from lycheegate.model import releases, requests, resources

__all__ = [
    "Preempt",
    "SchedulingState",
    "ShortGuarantee",
    "Start",
    "add_worker",
    "apply_release",
    "check_invariants",
    "create_scheduling_state",
    "enqueue",
    "find_infeasibility_reason",
    "free_allocation",
    "list_short_guarantees",
    "plan",
    "remove_worker",
    "restore",
    "set_placeable",
    "withdraw",
]

Preempt = allocations.Preempt
SchedulingState = allocations.SchedulingState
ShortGuarantee = guarantees.ShortGuarantee
Start = allocations.Start

_PENDING = capacity.AllocationState.PENDING
_RUNNING = capacity.AllocationState.RUNNING
_STOPPING = capacity.AllocationState.STOPPING


_MOVE_INTERVAL_S = 1.0
"""Time between attempts to move work or homes for the same shape; each search is expensive."""


_REPACK_INTERVAL_S = 30.0
"""Time between attempts to reassign all homes while some units are short."""


def create_scheduling_state(settings: policy.PolicySettings) -> SchedulingState:
    """Returns a state without workers, guarantees and requests."""
    return SchedulingState(settings)


def add_worker(s: SchedulingState, worker: resources.Worker) -> None:
    """Adds a worker, or replaces its description; it may get new work from then on."""
    remove_worker(s, worker.worker_id)
    topology.add_node(s.top, worker)
    allocations.assign_homes(s)


def remove_worker(s: SchedulingState, worker_id: str) -> None:
    """Removes a worker and moves the homes on it; its allocations stay until freed."""
    node = s.top.nodes.get(worker_id)
    if node is None or not node.present:
        return
    _release_node(s, node)
    topology.remove_node(s.top, worker_id)
    allocations.reassign_homes(s)


def set_placeable(s: SchedulingState, worker_id: str, placeable: bool) -> None:
    """Sets whether a worker may get new work; if not, the homes on it are moved."""
    node = s.top.nodes.get(worker_id)
    if node is None or node.placeable == placeable:
        return
    if not placeable:
        _release_node(s, node)
    topology.set_placeable(s.top, worker_id, placeable)
    allocations.reassign_homes(s)


def _release_node(s: SchedulingState, node: capacity.Node) -> None:
    for allocation, _, _ in list(node.members.values()):
        if allocation.state is _PENDING:
            allocations.requeue_pending(s, allocation)
    for unit, _, _ in list(node.homes.values()):
        if unit.user is None:
            guarantees.set_home(s.guaranteed, s.top, unit, None)
    for request_id in list(node.blocks):
        allocations.release_reservation(s, request_id)


def apply_release(
    s: SchedulingState,
    client_accounts: tuple[releases.ClientAccount, ...],
    new_guarantees: tuple[releases.Guarantee, ...],
) -> list[ShortGuarantee]:
    """Replaces client accounts and guarantees; returns the guarantees that are short."""
    for account in s.queue.accounts.values():
        account.weight, account.quota = 1.0, None
    for client_account in client_accounts:
        account = queueing.get_account(s.queue, client_account.name)
        account.weight, account.quota = client_account.weight, client_account.quota_accelerators
    for allocation in list(s.pending.values()):
        account = queueing.get_account(s.queue, allocation.request.client_account)
        if account.quota is not None and account.in_use > account.quota:
            allocations.requeue_pending(s, allocation)
    s.version += 1
    added, removed = guarantees.set_units(s.guaranteed, s.top, new_guarantees)
    for unit in removed:
        if unit.user is not None:
            s.allocations[unit.user].unit = None
            allocations.mark_changed(s, s.allocations[unit.user].placement)
    if added:
        _assign_to_running_work(s, added)
    allocations.reassign_homes(s)
    return list_short_guarantees(s)


def _assign_to_running_work(s: SchedulingState, added: list[capacity.Unit]) -> None:
    """Assigns new units to running work of the same client account and shape."""
    wanted: dict[tuple[str, resources.Shape], list[capacity.Unit]] = {}
    for unit in added:
        wanted.setdefault((unit.client_account, unit.shape), []).append(unit)
    running = [
        allocation
        for name in {unit.client_account for unit in added}
        for allocation in queueing.get_account(s.queue, name).held.values()
        if allocation.state is _RUNNING and allocation.unit is None
    ]
    running.sort(key=lambda a: (a.request.preemptible, a.serial))
    for allocation in running:
        request = allocation.request
        units = wanted.get((request.client_account, request.shape))
        if units and _can_be_home(s, allocation.placement, not request.preemptible):
            _assign_unit(s, allocation, units.pop())


def _can_be_home(s: SchedulingState, place: resources.Placement, is_counted: bool) -> bool:
    """Returns whether a placement is on usable workers and outside all homes, with enough slots.

    Args:
        s: State.
        place: The placement.
        is_counted: Whether its slots are counted already, as those of recorded work that cannot be
            preempted.
    """
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes.get(worker_id)
        if node is None or not node.usable:
            return False
        homes = sum(count for _, _, count in node.homes.values())
        if any(home & mask for _, home, _ in node.homes.values()):
            return False
        needed = (
            homes + guarantees.count_nonpreemptible_slots(node) + (0 if is_counted else members)
        )
        if needed > node.worker.slots:
            return False
    return True


def _assign_unit(s: SchedulingState, allocation: capacity.Allocation, unit: capacity.Unit) -> None:
    guarantees.set_home(s.guaranteed, s.top, unit, allocation.placement)
    guarantees.set_unit_user(s.guaranteed, s.top, unit, allocation.request.request_id)
    allocation.unit = unit


def list_short_guarantees(s: SchedulingState) -> list[ShortGuarantee]:
    """Returns the guarantees with units without a home."""
    return guarantees.list_short_guarantees(s.guaranteed, s.top)


def enqueue(s: SchedulingState, request: requests.Request, now_s: float) -> None:
    """Adds a request to the queue in order of arrival.

    Raises:
        ValueError: The request already has an allocation.
    """
    if request.request_id in s.allocations:
        raise ValueError(f"request {request.request_id} already has an allocation")
    if allocations.is_large(s, request.shape):
        queueing.track_large_job(s.queue, request.request_id, now_s)
    queueing.add_request(s.queue, request, allocations.is_immune(s, request.request_id))


def withdraw(s: SchedulingState, request_id: str) -> bool:
    """Removes a request that has not started; returns whether there was one."""
    allocation = s.pending.get(request_id)
    if allocation is not None:
        allocations.requeue_pending(s, allocation)
    if queueing.remove_request(s.queue, request_id) is None:
        return False
    s.preemptions.pop(request_id, None)
    s.queue.waits.pop(request_id, None)
    allocations.release_reservation(s, request_id)
    allocations.assign_homes(s)
    return True


def free_allocation(s: SchedulingState, request_id: str, now_s: float) -> None:
    """Frees the allocation of a request that no longer runs."""
    allocation = s.allocations.get(request_id)
    if allocation is None or allocation.state is _PENDING:
        return
    if allocation.state is not _STOPPING:
        s.preemptions.pop(request_id, None)
    allocations.free(s, allocation, now_s)
    allocations.assign_homes(s)


def restore(
    s: SchedulingState, request: requests.Request, place: resources.Placement, now_s: float
) -> None:
    """Records the allocation of a request that was found running; moves conflicting homes."""
    withdraw(s, request.request_id)
    free_allocation(s, request.request_id, now_s)
    allocation = allocations.create_allocation(
        s, request, place, allocations.is_immune(s, request.request_id)
    )
    allocation.state = _RUNNING
    if not request.preemptible:
        guarantees.release_homes(s.guaranteed, s.top, place)
    unit = guarantees.find_exact_unit(s.guaranteed, request.client_account, request.shape)
    if unit is None:
        unit = guarantees.find_short_unit(s.guaranteed, request.client_account, request.shape)
    if unit is not None:
        old_home = unit.home
        guarantees.set_home(s.guaranteed, s.top, unit, None)
        if _can_be_home(s, place, False):
            _assign_unit(s, allocation, unit)
        elif old_home is not None:
            guarantees.set_home(s.guaranteed, s.top, unit, old_home)
    allocations.record(s, allocation, now_s)
    allocations.assign_homes(s)


def plan(s: SchedulingState, now_s: float) -> list[Start | Preempt]:
    """Starts the requests that can start, and stops work to make room for others.

    Args:
        s: State. Started requests have left the queue, and their capacity is allocated.
        now_s: Time.

    Returns:
        Requests to start and to stop, in order.
    """
    out: list[Start | Preempt] = []
    for allocation in list(s.pending.values()):
        allocations.start_if_free(s, allocation, out)
    _update_versions(s, now_s)
    for kind in s.queue.kinds.values():
        kind.is_blocked = kind.failed_at == starting.get_versions(s, kind)
    s.trials = 0
    reservations.plan_large(s, now_s, out)
    for urgency in requests.Urgency:
        _start_requests(s, urgency, now_s, out)
    s.room = tuple(map(min, s.room, limits.compute_room(s)))
    return out


def _update_versions(s: SchedulingState, now_s: float) -> None:
    """Increases versions if groups that could not start in the last pass may start now.

    At intervals, also reassigns homes while units are short and allows failed moves again.
    """
    allocations.refresh(s)
    room = limits.compute_room(s)
    if room[0] > s.room[0] or room[1] > s.room[1]:
        s.reserve_version += 1
    s.room = room
    # Moves are attempted for every kind of demand before any is attempted again.
    if now_s - s.retried_at_s < _MOVE_INTERVAL_S or s.trials >= starting.MAX_MOVE_ATTEMPTS:
        return
    s.retried_at_s = now_s
    if s.guaranteed.short and now_s - s.repacked_at_s >= _REPACK_INTERVAL_S:
        s.repacked_at_s = now_s
        allocations.reassign_homes(s)
    if s.unmovable or s.fixed_homes or s.homes_grown:
        s.unmovable.clear()
        s.fixed_homes.clear()
        if s.homes_grown:
            s.homes_grown = False
            s.failed[capacity.View.RESERVABLE].clear()
        s.version += 1


def _get_versions(s: SchedulingState, group: queueing.Group) -> tuple[int, ...]:
    """Returns the versions of everything the start of a group's head depends on."""
    return (
        s.queue.accounts[group.client_account].version,
        s.guaranteed.versions.get(group.client_account, 0),
        *starting.get_versions(s, group.kind),
    )


def _start_requests(
    s: SchedulingState, urgency: requests.Urgency, now_s: float, out: list[Start | Preempt]
) -> None:
    shares = []
    open_groups: dict[str, list[queueing.Group]] = {}
    for name in s.queue.active[urgency]:
        groups = s.queue.accounts[name].groups[urgency].values()
        if name in s.guaranteed.idle:
            untried = [group for group in groups if group.failed_at != _get_versions(s, group)]
        else:
            untried = [group for group in groups if not group.kind.is_blocked]
        if untried:
            open_groups[name] = untried
            shares.append((queueing.compute_weighted_usage(s.queue.accounts[name], now_s), name))
    heapq.heapify(shares)
    while shares:
        _, name = heapq.heappop(shares)
        if _start_oldest(s, open_groups[name], now_s, out):
            share = queueing.compute_weighted_usage(s.queue.accounts[name], now_s)
            heapq.heappush(shares, (share, name))


def _start_oldest(
    s: SchedulingState,
    groups: list[queueing.Group],
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    """Starts the oldest head of a group that can start.

    Groups whose head could not start are removed from ``groups``.
    """
    groups.sort(key=lambda group: group.requests.keys()[0])
    for index, group in enumerate(groups):
        if group.kind.is_blocked and group.client_account not in s.guaranteed.idle:
            continue
        request = group.requests.peekitem(0)[1]
        # Large jobs that have waited too long are handled by ``plan_large``.
        is_due = request.request_id in s.claims.due
        if not is_due and starting.try_start(s, request, group, now_s, out):
            del groups[: index if group.requests else index + 1]
            return True
        if s.trials < starting.MAX_MOVE_ATTEMPTS:
            group.failed_at = _get_versions(s, group)
    groups.clear()
    return False


def find_infeasibility_reason(s: SchedulingState, request: requests.Request) -> str | None:
    """Returns why a request could not run even in an otherwise idle partition, or None if it could.

    Returns:
        ``quota`` if it exceeds the quota; ``worker``, ``rack`` or ``data_centre`` if none of these
        is large enough; ``guarantees`` or ``urgent_reserve`` if too little is left beside these;
        else None.
    """
    shape, account = request.shape, request.client_account
    quota = queueing.get_account(s.queue, account).quota
    if quota is not None and shape.total_accelerators > quota:
        return "quota"
    view = capacity.View.TOTAL
    if placement.find_placement(s.top, view, shape, s.settings) is None:
        single_member = dataclasses.replace(shape, members=1)
        if placement.find_placement(s.top, view, single_member, s.settings) is None:
            return "worker"
        return str(shape.adjacency)
    if request.preemptible or guarantees.has_fitting_unit(s.guaranteed, account, shape):
        return None
    totals, ratio = s.top.totals, s.settings.urgent_reserve_ratio
    accelerators = totals[capacity.Total.PRESENT_ACCELERATORS]
    # Work that no unit serves stays outside all homes, including those of its client account.
    free = accelerators - guarantees.sum_guaranteed_accelerators(s.guaranteed)
    if shape.total_accelerators > free:
        return "guarantees"
    if request.urgency is not requests.Urgency.URGENT:
        slots = totals[capacity.Total.PRESENT_SLOTS]
        if shape.total_accelerators > free - int(accelerators * ratio) or (
            shape.members > slots - int(slots * ratio)
        ):
            return "urgent_reserve"
    return None


def check_invariants(s: SchedulingState) -> list[str]:
    """Returns violations of the invariants of capacity, homes and queue; slow, for tests."""
    return invariants.list_violations(s)
