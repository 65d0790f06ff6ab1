"""Interface between the engine and the placement of work.

The engine feeds requests, workers and releases, and asks ``plan`` what to start and what to stop.
All functions change the state in place and depend on nothing else.
"""

import dataclasses
import heapq

from lycheegate.core import guarantees, invariants, placement, policy, queueing, topology
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
    "find_impossible",
    "list_short_guarantees",
    "plan",
    "remove_worker",
    "restore",
    "set_placeable",
    "vacate",
    "withdraw",
]

ShortGuarantee = guarantees.ShortGuarantee

_PENDING = topology.AllocationState.PENDING
_RUNNING = topology.AllocationState.RUNNING
_STOPPING = topology.AllocationState.STOPPING


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a request; its capacity is occupied and it has left the queue."""

    request_id: str
    placement: resources.Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a request; its capacity is kept for another one after ``vacate``."""

    request_id: str
    for_request_id: str


@dataclasses.dataclass(slots=True, eq=False)
class SchedulingState:
    """Capacity, homes, queue and allocations of a partition.

    Attributes:
        settings: Policy.
        top: Workers and racks.
        guaranteed: Units and their homes.
        queue: Waiting requests.
        allocations: Allocations by request.
        pending: Those that wait for work to be stopped.
        preemptions: How often requests were preempted, for those that may be queued again.
        failed: For each view, shapes that had no room when last tried.
        serial: Number of the next allocation.
    """

    settings: policy.PolicySettings
    top: topology.Topology = dataclasses.field(default_factory=topology.Topology)
    guaranteed: guarantees.GuaranteeState = dataclasses.field(
        default_factory=guarantees.GuaranteeState
    )
    queue: queueing.QueueState = dataclasses.field(default_factory=queueing.QueueState)
    allocations: dict[str, topology.Allocation] = dataclasses.field(default_factory=dict)
    pending: dict[str, topology.Allocation] = dataclasses.field(default_factory=dict)
    preemptions: dict[str, int] = dataclasses.field(default_factory=dict)
    failed: list[set[resources.Shape]] = dataclasses.field(
        default_factory=lambda: [set() for _ in topology.View]
    )
    serial: int = 0


def create_scheduling_state(settings: policy.PolicySettings) -> SchedulingState:
    """Returns a state without workers, guarantees and requests."""
    return SchedulingState(settings)


def add_worker(s: SchedulingState, worker: resources.Worker) -> None:
    """Adds a worker, or replaces what is known of it."""
    remove_worker(s, worker.worker_id)
    topology.add_node(s.top, worker)
    _rehome(s)


def remove_worker(s: SchedulingState, worker_id: str) -> None:
    """Takes a worker away and moves its homes; allocations stay until ``vacate``."""
    node = s.top.nodes.get(worker_id)
    if node is None or not node.present:
        return
    _clear_node(s, node)
    topology.remove_node(s.top, worker_id)
    _rehome(s)


def set_placeable(s: SchedulingState, worker_id: str, placeable: bool) -> None:
    """Sets whether a worker may get new work; homes are moved off one that may not."""
    node = s.top.nodes.get(worker_id)
    if node is None or node.placeable == placeable:
        return
    if not placeable:
        _clear_node(s, node)
    topology.set_placeable(s.top, worker_id, placeable)
    _rehome(s)


def _clear_node(s: SchedulingState, node: topology.Node) -> None:
    for allocation, _, _ in list(node.members.values()):
        if allocation.state is _PENDING:
            _cancel_pending(s, allocation)
    for unit, _, _ in list(node.homes.values()):
        if unit.user is None:
            guarantees.set_home(s.guaranteed, s.top, unit, None)


def _rehome(s: SchedulingState) -> None:
    guarantees.rehome(s.guaranteed, s.top, s.settings)


def apply_release(
    s: SchedulingState,
    client_accounts: tuple[releases.ClientAccount, ...],
    new_guarantees: tuple[releases.Guarantee, ...],
) -> list[ShortGuarantee]:
    """Replaces client accounts and guarantees; returns guarantees that are short."""
    for account in s.queue.accounts.values():
        account.weight, account.quota = 1.0, None
    for client_account in client_accounts:
        account = queueing.get_account(s.queue, client_account.name)
        account.weight, account.quota = client_account.weight, client_account.quota_accelerators
    added, removed = guarantees.set_units(s.guaranteed, s.top, new_guarantees)
    for unit in removed:
        if unit.user is not None:
            s.allocations[unit.user].unit = None
            _touch(s, s.allocations[unit.user].placement)
    if added:
        _adopt(s, added)
    _rehome(s)
    return list_short_guarantees(s)


def _adopt(s: SchedulingState, added: list[topology.Unit]) -> None:
    """Makes running work of the same shape the user of new units."""
    wanted: dict[tuple[str, resources.Shape], list[topology.Unit]] = {}
    for unit in added:
        wanted.setdefault((unit.client_account, unit.shape), []).append(unit)
    running = [a for a in s.allocations.values() if a.state is _RUNNING and a.unit is None]
    running.sort(key=lambda a: (a.request.preemptible, a.serial))
    for allocation in running:
        request = allocation.request
        units = wanted.get((request.client_account, request.shape))
        if units and _can_be_home(s, allocation.placement, not request.preemptible):
            _claim(s, allocation, units.pop())


def _can_be_home(s: SchedulingState, place: resources.Placement, counted: bool) -> bool:
    """Returns whether usable workers have the place, with its slots, outside all homes.

    Args:
        s: State.
        place: The place.
        counted: Whether work that cannot be preempted lies there and is attached already.
    """
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes.get(worker_id)
        if node is None or not node.usable:
            return False
        homes = sum(count for _, _, count in node.homes.values())
        if any(home & mask for _, home, _ in node.homes.values()):
            return False
        needed = homes + guarantees.count_hard_slots(node) + (0 if counted else members)
        if needed > node.worker.slots:
            return False
    return True


def _claim(s: SchedulingState, allocation: topology.Allocation, unit: topology.Unit) -> None:
    guarantees.set_home(s.guaranteed, s.top, unit, allocation.placement)
    guarantees.use_unit(s.guaranteed, s.top, unit, allocation.request.request_id)
    allocation.unit = unit


def _touch(s: SchedulingState, place: resources.Placement) -> None:
    s.top.dirty.update(member.worker_id for member in place if member.worker_id in s.top.nodes)


def list_short_guarantees(s: SchedulingState) -> list[ShortGuarantee]:
    """Returns guarantees of which some units have no home."""
    return guarantees.list_short(s.guaranteed, s.top)


def enqueue(s: SchedulingState, request: requests.Request, now_s: float) -> None:
    """Adds a request to the queue, at its place by arrival.

    Raises:
        ValueError: The request has an allocation.
    """
    del now_s
    if request.request_id in s.allocations:
        raise ValueError(f"request {request.request_id} has an allocation")
    queueing.add_request(s.queue, request, _is_immune(s, request.request_id))


def _is_immune(s: SchedulingState, request_id: str) -> bool:
    return s.preemptions.get(request_id, 0) >= s.settings.max_preemptions


def withdraw(s: SchedulingState, request_id: str) -> bool:
    """Removes a request that has not started; returns whether it was found."""
    allocation = s.pending.get(request_id)
    if allocation is not None:
        _cancel_pending(s, allocation)
    if queueing.remove_request(s.queue, request_id) is None:
        return False
    s.preemptions.pop(request_id, None)
    _rehome(s)
    return True


def vacate(s: SchedulingState, request_id: str, now_s: float) -> None:
    """Frees the allocation of a request that no longer runs."""
    allocation = s.allocations.get(request_id)
    if allocation is None or allocation.state is _PENDING:
        return
    if allocation.state is not _STOPPING:
        s.preemptions.pop(request_id, None)
    _free(s, allocation, now_s)
    _rehome(s)


def _free(s: SchedulingState, allocation: topology.Allocation, now_s: float) -> None:
    request = allocation.request
    del s.allocations[request.request_id]
    s.pending.pop(request.request_id, None)
    topology.detach(s.top, allocation)
    account = queueing.get_account(s.queue, request.client_account)
    queueing.use_capacity(account, -request.shape.total_accelerators, -allocation.rate, now_s)
    if allocation.unit is not None:
        unit, allocation.unit = allocation.unit, None
        guarantees.release_unit(s.guaranteed, s.top, unit)


def _cancel_pending(s: SchedulingState, allocation: topology.Allocation) -> None:
    """Puts a request that waits for its capacity back into the queue."""
    request = allocation.request
    account = queueing.get_account(s.queue, request.client_account)
    _free(s, allocation, account.usage_at_s)
    queueing.add_request(s.queue, request, allocation.immune)


def restore(
    s: SchedulingState, request: requests.Request, place: resources.Placement, now_s: float
) -> None:
    """Occupies capacity for a request that was found running, moving homes out of its way."""
    withdraw(s, request.request_id)
    vacate(s, request.request_id, now_s)
    allocation = _create_allocation(s, request, place, _is_immune(s, request.request_id))
    allocation.state = _RUNNING
    if not request.preemptible:
        guarantees.yield_homes(s.guaranteed, s.top, place)
    unit = guarantees.find_exact_unit(s.guaranteed, request.client_account, request.shape)
    if unit is None:
        unit = guarantees.find_short_unit(s.guaranteed, request.client_account, request.shape)
    if unit is not None:
        old_home = unit.home
        guarantees.set_home(s.guaranteed, s.top, unit, None)
        if _can_be_home(s, place, False):
            _claim(s, allocation, unit)
        elif old_home is not None:
            guarantees.set_home(s.guaranteed, s.top, unit, old_home)
    _record(s, allocation, now_s)
    _rehome(s)


def _create_allocation(
    s: SchedulingState, request: requests.Request, place: resources.Placement, immune: bool
) -> topology.Allocation:
    s.serial += 1
    return topology.Allocation(request, place, _PENDING, s.serial, immune)


def _record(s: SchedulingState, allocation: topology.Allocation, now_s: float) -> None:
    """Attaches an allocation and charges its client account."""
    request = allocation.request
    s.allocations[request.request_id] = allocation
    if allocation.state is _PENDING:
        s.pending[request.request_id] = allocation
    topology.attach(s.top, allocation)
    allocation.rate = _compute_rate(s, request.shape)
    account = queueing.get_account(s.queue, request.client_account)
    queueing.use_capacity(account, request.shape.total_accelerators, allocation.rate, now_s)


def _compute_rate(s: SchedulingState, shape: resources.Shape) -> float:
    """Returns the accelerators charged: those taken, or the slots' part of the partition."""
    slots = s.top.totals[topology.Total.PRESENT_SLOTS]
    accelerators = s.top.totals[topology.Total.PRESENT_ACCELERATORS]
    ratio = accelerators / slots if accelerators and slots else 1.0
    return max(float(shape.total_accelerators), shape.members * ratio)


def plan(s: SchedulingState, now_s: float) -> list[Start | Preempt]:
    """Starts what can start, and stops work that must make room.

    Args:
        s: State; started requests occupy their capacity and have left the queue.
        now_s: Time.

    Returns:
        What to do, in order.
    """
    out: list[Start | Preempt] = []
    for allocation in list(s.pending.values()):
        _start_if_free(s, allocation, out)
    for urgency in requests.Urgency:
        _plan_urgency(s, urgency, now_s, out)
    return out


def _plan_urgency(
    s: SchedulingState, urgency: requests.Urgency, now_s: float, out: list[Start | Preempt]
) -> None:
    tried: set[queueing.GroupKey] = set()
    shares = [
        (queueing.compute_share(s.queue.accounts[name], now_s), name)
        for name in s.queue.active[urgency]
    ]
    heapq.heapify(shares)
    while shares:
        _, name = heapq.heappop(shares)
        for _, key in queueing.list_heads(s.queue, urgency, name, tried):
            if _try_head(s, key, now_s, out):
                account = s.queue.accounts[name]
                heapq.heappush(shares, (queueing.compute_share(account, now_s), name))
                break
            tried.add(key)


def _try_head(
    s: SchedulingState, key: queueing.GroupKey, now_s: float, out: list[Start | Preempt]
) -> bool:
    """Starts the head of a group, or stops work for it; returns whether it left the queue."""
    account = s.queue.accounts[key.client_account]
    size = key.shape.total_accelerators
    if account.quota is not None and account.in_use + size > account.quota:
        return False
    request = s.queue.groups[key].peekitem(0)[1]
    exact = guarantees.find_exact_unit(s.guaranteed, key.client_account, key.shape)
    if exact is not None and _is_free(s, exact.home):
        return _occupy(s, request, key, exact.home, exact, now_s, out)
    in_reserve = _is_within_reserve(s, key)
    if in_reserve or exact is not None:
        view = topology.View.BORROW if key.preemptible else topology.View.OPEN
        place = _find(s, view, key.shape)
        if place is not None:
            if exact is not None and not key.preemptible:
                guarantees.set_home(s.guaranteed, s.top, exact, place)
                return _occupy(s, request, key, place, exact, now_s, out)
            return _occupy(s, request, key, place, None, now_s, out)
    unit = exact or guarantees.find_fitting_unit(s.guaranteed, key.client_account, key.shape)
    if unit is not None:
        place = guarantees.cut_home(unit.home, key.shape)
        if _occupy(s, request, key, place, unit, now_s, out):
            return True
    if in_reserve and not key.preemptible and _move_homes(s, request, key, now_s, out):
        return True
    if key.urgency is requests.Urgency.URGENT:
        place = _find(s, topology.View.URGENT, key.shape)
        if place is not None:
            return _occupy(s, request, key, place, None, now_s, out)
    return False


def _find(
    s: SchedulingState, view: topology.View, shape: resources.Shape
) -> resources.Placement | None:
    _refresh(s)
    if shape in s.failed[view]:
        return None
    place = placement.find_placement(s.top, view, shape, s.settings)
    if place is None:
        s.failed[view].add(shape)
    return place


def _refresh(s: SchedulingState) -> None:
    topology.refresh(s.top)
    for view in s.top.grown:
        s.failed[view].clear()
    if topology.View.HOME in s.top.grown:
        # Homes that could not be moved before may now find a place.
        s.failed[topology.View.MOVABLE].clear()
    s.top.grown.clear()


def _is_free(s: SchedulingState, place: resources.Placement) -> bool:
    _refresh(s)
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes[worker_id]
        if node.masks[topology.View.BORROW] & mask != mask:
            return False
        if node.slots[topology.View.BORROW] < members:
            return False
    return True


def _is_within_reserve(s: SchedulingState, key: queueing.GroupKey) -> bool:
    """Returns whether enough capacity outside homes remains for urgent work."""
    if key.urgency is requests.Urgency.URGENT or (key.preemptible and not key.immune):
        return True
    _refresh(s)
    totals, ratio = s.top.totals, s.settings.urgent_reserve_ratio
    total = topology.Total
    slots = totals[total.OUTSIDE_SLOTS] - int(totals[total.SLOTS] * ratio)
    accelerators = totals[total.OUTSIDE_ACCELERATORS] - int(totals[total.ACCELERATORS] * ratio)
    size = key.shape.total_accelerators
    return totals[total.TAKEN_SLOTS] + key.shape.members <= slots and (
        size == 0 or totals[total.TAKEN_ACCELERATORS] + size <= accelerators
    )


def _move_homes(
    s: SchedulingState,
    request: requests.Request,
    key: queueing.GroupKey,
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    place = _find(s, topology.View.MOVABLE, key.shape)
    if place is None:
        return False
    trial = _create_allocation(s, request, place, key.immune)
    if not guarantees.make_room(s.guaranteed, s.top, trial, s.settings):
        s.failed[topology.View.MOVABLE].add(key.shape)
        return False
    topology.detach(s.top, trial)
    return _occupy(s, request, key, place, None, now_s, out)


def _occupy(
    s: SchedulingState,
    request: requests.Request,
    key: queueing.GroupKey,
    place: resources.Placement,
    unit: topology.Unit | None,
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    """Gives a waiting request a place, stopping what is in the way.

    Returns:
        False if earlier large work of the same client account is in the way.
    """
    victims = _collect_victims(s, place, unit is not None)
    if any(_has_precedence(victim.request, request) for victim in victims):
        return False
    queueing.remove_request(s.queue, request.request_id)
    allocation = _create_allocation(s, request, place, key.immune)
    for victim in victims:
        if victim.state is _PENDING:
            _cancel_pending(s, victim)
        else:
            _stop(s, victim, request.request_id, out)
    if unit is not None:
        guarantees.use_unit(s.guaranteed, s.top, unit, request.request_id)
        allocation.unit = unit
    _record(s, allocation, now_s)
    _start_if_free(s, allocation, out)
    return True


def _has_precedence(victim: requests.Request, request: requests.Request) -> bool:
    return (
        victim.client_account == request.client_account
        and victim.shape.total_accelerators >= request.shape.total_accelerators
        and (victim.urgency, victim.submitted_at_s) <= (request.urgency, request.submitted_at_s)
    )


def _stop(
    s: SchedulingState,
    victim: topology.Allocation,
    for_request_id: str,
    out: list[Start | Preempt],
) -> None:
    request_id = victim.request.request_id
    victim.state = _STOPPING
    victim.for_request_id = for_request_id
    _touch(s, victim.placement)
    s.preemptions[request_id] = s.preemptions.get(request_id, 0) + 1
    if len(s.preemptions) > 2 * s.settings.max_queued:
        # Entries of requests that ended while being stopped are never taken out otherwise.
        del s.preemptions[next(iter(s.preemptions))]
    out.append(Preempt(request_id, for_request_id))


def _collect_victims(
    s: SchedulingState, place: resources.Placement, reclaim: bool
) -> list[topology.Allocation]:
    """Returns the work to stop before a place can be used.

    Args:
        s: State.
        place: Where room is needed.
        reclaim: Whether a guarantee is reclaimed, which also stops urgent and immune work.
    """
    victims: dict[str, topology.Allocation] = {}
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes[worker_id]
        needed = members - node.worker.slots
        spare: list[tuple[topology.Allocation, int]] = []
        for request_id, (allocation, held, count) in node.members.items():
            if allocation.state is _STOPPING or request_id in victims:
                continue
            if held & mask:
                victims[request_id] = allocation
                continue
            needed += count
            if _may_stop(allocation, reclaim):
                spare.append((allocation, count))
        spare.sort(key=lambda entry: (-entry[0].request.urgency, -entry[0].serial))
        for allocation, count in spare:
            if needed <= 0:
                break
            victims[allocation.request.request_id] = allocation
            needed -= count
    return list(victims.values())


def _may_stop(allocation: topology.Allocation, reclaim: bool) -> bool:
    request = allocation.request
    if not request.preemptible or allocation.unit is not None:
        return False
    if reclaim:
        return True
    return (
        allocation.state is _RUNNING
        and not allocation.immune
        and request.urgency is not requests.Urgency.URGENT
    )


def _start_if_free(
    s: SchedulingState, allocation: topology.Allocation, out: list[Start | Preempt]
) -> None:
    """Starts a pending allocation if nothing occupies its capacity any more."""
    for worker_id, (mask, members) in topology.group_by_worker(allocation.placement).items():
        node = s.top.nodes[worker_id]
        slots = node.worker.slots - members
        for other, held, count in node.members.values():
            if other.state is _PENDING:
                continue
            if held & mask:
                return
            slots -= count
        if slots < 0:
            return
    request_id = allocation.request.request_id
    allocation.state = _RUNNING
    s.pending.pop(request_id, None)
    _touch(s, allocation.placement)
    out.append(Start(request_id, allocation.placement))


def find_impossible(s: SchedulingState, request: requests.Request) -> str | None:
    """Returns why a request could never run here even with nothing else there, or None."""
    shape, account = request.shape, request.client_account
    quota = queueing.get_account(s.queue, account).quota
    if quota is not None and shape.total_accelerators > quota:
        return "quota"
    view = topology.View.TOTAL
    if placement.find_placement(s.top, view, shape, s.settings) is None:
        one = dataclasses.replace(shape, members=1)
        if placement.find_placement(s.top, view, one, s.settings) is None:
            return "worker"
        return str(shape.adjacency)
    if request.preemptible or guarantees.has_fitting_unit(s.guaranteed, account, shape):
        return None
    totals, ratio = s.top.totals, s.settings.urgent_reserve_ratio
    accelerators = totals[topology.Total.PRESENT_ACCELERATORS]
    free = accelerators - guarantees.total_guaranteed(s.guaranteed, account)
    if shape.total_accelerators > free:
        return "guarantees"
    if request.urgency is not requests.Urgency.URGENT:
        slots = totals[topology.Total.PRESENT_SLOTS]
        if shape.total_accelerators > free - int(accelerators * ratio) or (
            shape.members > slots - int(slots * ratio)
        ):
            return "urgent_reserve"
    return None


def check_invariants(s: SchedulingState) -> list[str]:
    """Returns violations of the rules on capacity, homes and queue; for tests, slow."""
    return invariants.list_violations(s)
