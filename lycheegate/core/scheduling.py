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


_REASSIGN_INTERVAL_S = 30.0
"""Time between attempts to reassign all homes while some units are short."""


def create_scheduling_state(settings: policy.PolicySettings) -> SchedulingState:
    """Returns a state without workers, guarantees and requests."""
    return SchedulingState(settings)


def add_worker(state: SchedulingState, worker: resources.Worker) -> None:
    """Adds a worker, or replaces its description; it may get new work from then on."""
    remove_worker(state, worker.worker_id)
    topology.add_node(state.top, worker)
    allocations.assign_homes(state)


def remove_worker(state: SchedulingState, worker_id: str) -> None:
    """Removes a worker and moves the homes on it; its allocations stay until freed."""
    node = state.top.nodes.get(worker_id)
    if node is None or not node.present:
        return
    _release_unused_capacity(state, node)
    topology.remove_node(state.top, worker_id)
    allocations.reassign_homes(state)


def set_placeable(state: SchedulingState, worker_id: str, placeable: bool) -> None:
    """Sets whether a worker may get new work; if not, the homes on it are moved."""
    node = state.top.nodes.get(worker_id)
    if node is None or node.placeable == placeable:
        return
    if not placeable:
        _release_unused_capacity(state, node)
    topology.set_placeable(state.top, worker_id, placeable)
    allocations.reassign_homes(state)


def _release_unused_capacity(state: SchedulingState, node: capacity.Node) -> None:
    """Requeues pending requests, and releases unused homes and reserved blocks of a worker."""
    for allocation, _, _ in list(node.members.values()):
        if allocation.state is _PENDING:
            allocations.requeue_pending(state, allocation)
    for unit, _, _ in list(node.homes.values()):
        if unit.user is None:
            guarantees.set_home(state.guaranteed, state.top, unit, None)
    for request_id in list(node.blocks):
        allocations.release_reservation(state, request_id)


def apply_release(
    state: SchedulingState,
    client_accounts: tuple[releases.ClientAccount, ...],
    new_guarantees: tuple[releases.Guarantee, ...],
) -> list[ShortGuarantee]:
    """Replaces client accounts and guarantees; returns the guarantees that are short."""
    for account in state.queue.accounts.values():
        account.weight, account.quota = 1.0, None
    for client_account in client_accounts:
        account = queueing.get_account(state.queue, client_account.name)
        account.weight, account.quota = client_account.weight, client_account.quota_accelerators
    for allocation in list(state.pending.values()):
        account = queueing.get_account(state.queue, allocation.request.client_account)
        if account.quota is not None and account.in_use > account.quota:
            allocations.requeue_pending(state, allocation)
    state.version += 1
    added, removed = guarantees.set_units(state.guaranteed, state.top, new_guarantees)
    for unit in removed:
        if unit.user is not None:
            state.allocations[unit.user].unit = None
            allocations.mark_changed(state, state.allocations[unit.user].placement)
    if added:
        _assign_to_running_work(state, added)
    allocations.reassign_homes(state)
    return list_short_guarantees(state)


def _assign_to_running_work(state: SchedulingState, added: list[capacity.Unit]) -> None:
    """Assigns new units to running work of the same client account and shape."""
    wanted: dict[tuple[str, resources.Shape], list[capacity.Unit]] = {}
    for unit in added:
        wanted.setdefault((unit.client_account, unit.shape), []).append(unit)
    running = [
        allocation
        for name in {unit.client_account for unit in added}
        for allocation in queueing.get_account(state.queue, name).held.values()
        if allocation.state is _RUNNING and allocation.unit is None
    ]
    running.sort(key=lambda a: (a.request.preemptible, a.serial))
    for allocation in running:
        request = allocation.request
        units = wanted.get((request.client_account, request.shape))
        if units and _can_be_home(state, allocation.placement, not request.preemptible):
            _assign_unit(state, allocation, units.pop())


def _can_be_home(state: SchedulingState, place: resources.Placement, is_counted: bool) -> bool:
    """Returns whether a placement is on usable workers and outside all homes, with enough slots.

    Args:
        state: State.
        place: The placement.
        is_counted: Whether its slots are counted already, as those of recorded work that cannot be
            preempted.
    """
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = state.top.nodes.get(worker_id)
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


def _assign_unit(
    state: SchedulingState, allocation: capacity.Allocation, unit: capacity.Unit
) -> None:
    guarantees.set_home(state.guaranteed, state.top, unit, allocation.placement)
    guarantees.set_unit_user(state.guaranteed, state.top, unit, allocation.request.request_id)
    allocation.unit = unit


def list_short_guarantees(state: SchedulingState) -> list[ShortGuarantee]:
    """Returns the guarantees with units without a home."""
    return guarantees.list_short_guarantees(state.guaranteed, state.top)


def enqueue(state: SchedulingState, request: requests.Request, now_s: float) -> None:
    """Adds a request to the queue in order of arrival.

    Raises:
        ValueError: The request already has an allocation.
    """
    if request.request_id in state.allocations:
        raise ValueError(f"request {request.request_id} already has an allocation")
    if allocations.is_large(state, request.shape):
        queueing.track_large_job(state.queue, request.request_id, now_s)
    queueing.add_request(state.queue, request, allocations.is_immune(state, request.request_id))


def withdraw(state: SchedulingState, request_id: str) -> bool:
    """Removes a request that has not started; returns whether there was one."""
    allocation = state.pending.get(request_id)
    if allocation is not None:
        allocations.requeue_pending(state, allocation)
    if queueing.remove_request(state.queue, request_id) is None:
        return False
    state.preemptions.pop(request_id, None)
    state.queue.waits.pop(request_id, None)
    allocations.release_reservation(state, request_id)
    allocations.assign_homes(state)
    return True


def free_allocation(state: SchedulingState, request_id: str, now_s: float) -> None:
    """Frees the allocation of a request that no longer runs."""
    allocation = state.allocations.get(request_id)
    if allocation is None or allocation.state is _PENDING:
        return
    if allocation.state is not _STOPPING:
        state.preemptions.pop(request_id, None)
    allocations.free(state, allocation, now_s)
    allocations.assign_homes(state)


def restore(
    state: SchedulingState, request: requests.Request, place: resources.Placement, now_s: float
) -> None:
    """Records the allocation of a request that was found running; moves conflicting homes."""
    withdraw(state, request.request_id)
    free_allocation(state, request.request_id, now_s)
    allocation = allocations.create_allocation(
        state, request, place, allocations.is_immune(state, request.request_id)
    )
    allocation.state = _RUNNING
    if not request.preemptible:
        guarantees.release_homes(state.guaranteed, state.top, place)
    unit = guarantees.find_exact_unit(state.guaranteed, request.client_account, request.shape)
    if unit is None:
        unit = guarantees.find_short_unit(state.guaranteed, request.client_account, request.shape)
    if unit is not None:
        old_home = unit.home
        guarantees.set_home(state.guaranteed, state.top, unit, None)
        if _can_be_home(state, place, False):
            _assign_unit(state, allocation, unit)
        elif old_home is not None:
            guarantees.set_home(state.guaranteed, state.top, unit, old_home)
    allocations.record(state, allocation, now_s)
    allocations.assign_homes(state)


def plan(state: SchedulingState, now_s: float) -> list[Start | Preempt]:
    """Starts the requests that can start, and stops work to make room for others.

    Args:
        state: State. Started requests have left the queue, and their capacity is allocated.
        now_s: Time.

    Returns:
        Requests to start and to stop, in order.
    """
    out: list[Start | Preempt] = []
    for allocation in list(state.pending.values()):
        allocations.start_if_free(state, allocation, out)
    _update_versions(state, now_s)
    for kind in state.queue.kinds.values():
        kind.is_blocked = kind.failed_at == starting.get_versions(state, kind)
    state.trials = 0
    reservations.plan_large(state, now_s, out)
    for urgency in requests.Urgency:
        _start_requests(state, urgency, now_s, out)
    state.room = tuple(map(min, state.room, limits.compute_room(state)))
    return out


def _update_versions(state: SchedulingState, now_s: float) -> None:
    """Increases versions if groups that could not start in the last pass may start now.

    At intervals, also reassigns homes while units are short and allows failed moves again.
    """
    allocations.refresh(state)
    room = limits.compute_room(state)
    if room[0] > state.room[0] or room[1] > state.room[1]:
        state.reserve_version += 1
    state.room = room
    # Moves are attempted for every kind of demand before any is attempted again.
    if now_s - state.retried_at_s < _MOVE_INTERVAL_S or state.trials >= starting.MAX_MOVE_ATTEMPTS:
        return
    state.retried_at_s = now_s
    if state.guaranteed.short and now_s - state.repacked_at_s >= _REASSIGN_INTERVAL_S:
        state.repacked_at_s = now_s
        allocations.reassign_homes(state)
    if state.unmovable or state.fixed_homes or state.homes_grown:
        state.unmovable.clear()
        state.fixed_homes.clear()
        if state.homes_grown:
            state.homes_grown = False
            state.failed[capacity.View.RESERVABLE].clear()
        state.version += 1


def _get_versions(state: SchedulingState, group: queueing.Group) -> tuple[int, ...]:
    """Returns the versions of everything the start of a group's head depends on."""
    return (
        state.queue.accounts[group.client_account].version,
        state.guaranteed.versions.get(group.client_account, 0),
        *starting.get_versions(state, group.kind),
    )


def _start_requests(
    state: SchedulingState, urgency: requests.Urgency, now_s: float, out: list[Start | Preempt]
) -> None:
    shares = []
    open_groups: dict[str, list[queueing.Group]] = {}
    for name in state.queue.active[urgency]:
        groups = state.queue.accounts[name].groups[urgency].values()
        if name in state.guaranteed.idle:
            untried = [group for group in groups if group.failed_at != _get_versions(state, group)]
        else:
            untried = [group for group in groups if not group.kind.is_blocked]
        if untried:
            open_groups[name] = untried
            shares.append(
                (queueing.compute_weighted_usage(state.queue.accounts[name], now_s), name)
            )
    heapq.heapify(shares)
    while shares:
        _, name = heapq.heappop(shares)
        if _start_oldest(state, open_groups[name], now_s, out):
            share = queueing.compute_weighted_usage(state.queue.accounts[name], now_s)
            heapq.heappush(shares, (share, name))


def _start_oldest(
    state: SchedulingState,
    groups: list[queueing.Group],
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    """Starts the oldest head of a group that can start.

    Groups whose head could not start are removed from ``groups``.
    """
    groups.sort(key=lambda group: group.requests.keys()[0])
    for index, group in enumerate(groups):
        if group.kind.is_blocked and group.client_account not in state.guaranteed.idle:
            continue
        request = group.requests.peekitem(0)[1]
        # Large jobs that have waited too long are handled by ``plan_large``.
        is_due = request.request_id in state.claims.due
        if not is_due and starting.try_start(state, request, group, now_s, out):
            del groups[: index if group.requests else index + 1]
            return True
        if state.trials < starting.MAX_MOVE_ATTEMPTS:
            group.failed_at = _get_versions(state, group)
    groups.clear()
    return False


def find_infeasibility_reason(state: SchedulingState, request: requests.Request) -> str | None:
    """Returns why a request could not run even in an otherwise idle partition, or None if it could.

    Returns:
        ``quota`` if it exceeds the quota; ``worker``, ``rack`` or ``data_centre`` if none of these
        is large enough; ``guarantees`` or ``urgent_reserve`` if too little is left beside these;
        else None.
    """
    shape, account = request.shape, request.client_account
    quota = queueing.get_account(state.queue, account).quota
    if quota is not None and shape.total_accelerators > quota:
        return "quota"
    view = capacity.View.TOTAL
    if placement.find_placement(state.top, view, shape, state.settings) is None:
        single_member = dataclasses.replace(shape, members=1)
        if placement.find_placement(state.top, view, single_member, state.settings) is None:
            return "worker"
        return str(shape.adjacency)
    if request.preemptible or guarantees.has_fitting_unit(state.guaranteed, account, shape):
        return None
    totals, ratio = state.top.totals, state.settings.urgent_reserve_ratio
    accelerators = totals[capacity.Total.PRESENT_ACCELERATORS]
    # Work that no unit serves stays outside all homes, including those of its client account.
    free = accelerators - guarantees.sum_guaranteed_accelerators(state.guaranteed)
    if shape.total_accelerators > free:
        return "guarantees"
    if request.urgency is not requests.Urgency.URGENT:
        slots = totals[capacity.Total.PRESENT_SLOTS]
        if shape.total_accelerators > free - int(accelerators * ratio) or (
            shape.members > slots - int(slots * ratio)
        ):
            return "urgent_reserve"
    return None


def check_invariants(state: SchedulingState) -> list[str]:
    """Returns violations of the invariants of capacity, homes and queue; slow, for tests."""
    return invariants.list_violations(state)
