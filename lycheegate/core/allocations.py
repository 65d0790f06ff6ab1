"""Allocation of capacity to requests, its release, and preemption of work for others."""

import dataclasses
import functools

from lycheegate.core import blocks, capacity, guarantees, placement, policy, queueing, topology
from lycheegate.model import requests, resources

__all__ = [
    "Claims",
    "Preempt",
    "SchedulingState",
    "Start",
    "allocate",
    "assign_homes",
    "collect_victims",
    "create_allocation",
    "discard_growth",
    "find_room",
    "free",
    "is_free",
    "is_immune",
    "is_large",
    "mark_changed",
    "may_stop",
    "reassign_homes",
    "record",
    "record_no_room",
    "refresh",
    "release_overlapping_blocks",
    "release_reservation",
    "requeue_pending",
    "start_by_moving_homes",
    "start_if_free",
    "stop",
]

_PENDING = capacity.AllocationState.PENDING
_RUNNING = capacity.AllocationState.RUNNING
_STOPPING = capacity.AllocationState.STOPPING


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a request. It has left the queue, and its capacity is allocated."""

    request_id: str
    placement: resources.Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a request. After ``free_allocation``, its capacity is kept for another request."""

    request_id: str
    for_request_id: str


@dataclasses.dataclass(slots=True)
class Claims:
    """Quota and capacity held back from other work for large jobs that waited too long.

    Attributes:
        due: Requests of the large jobs.
        quota: Accelerators of the quota of each client account, held back from non-urgent work.
        urgent_quota: The same, held back from urgent work.
        slots: Slots outside homes, held back from the work that the urgent reserve limits.
        accelerators: Accelerators outside homes, likewise.
    """

    due: set[str] = dataclasses.field(default_factory=set)
    quota: dict[str, int] = dataclasses.field(default_factory=dict)
    urgent_quota: dict[str, int] = dataclasses.field(default_factory=dict)
    slots: int = 0
    accelerators: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class SchedulingState:
    """Capacity, homes, queue and allocations of a partition.

    Attributes:
        settings: Limits and weights.
        top: Workers and racks.
        guaranteed: Guaranteed units and their homes.
        queue: Waiting requests.
        allocations: Allocations by request.
        pending: Allocations that wait until the work in their place has stopped.
        preemptions: Number of preemptions of each request that may be requeued.
        reservations: Blocks being cleared for large jobs, by request.
        claims: Quota and capacity held back for large jobs that waited too long.
        trials: Number of attempts to move homes or small work in the current pass.
        failed: For each view and block size, shapes that had no room when last searched for.
        unmovable: Shapes for which no small work could be moved since ``retried_at_s``.
        fixed_homes: Shapes for which homes could not be moved since ``retried_at_s``.
        homes_grown: Whether room for homes has been added since ``retried_at_s``.
        repacked_at_s: When the homes were last reassigned because some units were short.
        retried_at_s: When failed moves of small work and of homes were last allowed again.
        size_versions: For each block size, a counter that increases when room for such blocks is
            added.
        version: Counter that increases when every group may find room again.
        room: Slots and accelerators available beside the urgent reserve, as of the last pass.
        reserve_version: Counter that increases when ``room`` grows.
        serial: Number of allocations created so far.
    """

    settings: policy.PolicySettings
    top: capacity.Topology = dataclasses.field(default_factory=capacity.Topology)
    guaranteed: guarantees.GuaranteeState = dataclasses.field(
        default_factory=guarantees.GuaranteeState
    )
    queue: queueing.QueueState = dataclasses.field(default_factory=queueing.QueueState)
    allocations: dict[str, capacity.Allocation] = dataclasses.field(default_factory=dict)
    pending: dict[str, capacity.Allocation] = dataclasses.field(default_factory=dict)
    preemptions: dict[str, int] = dataclasses.field(default_factory=dict)
    reservations: dict[str, capacity.Reservation] = dataclasses.field(default_factory=dict)
    claims: Claims = dataclasses.field(default_factory=Claims)
    trials: int = 0
    failed: list[dict[int, set[resources.Shape]]] = dataclasses.field(
        default_factory=lambda: [{} for _ in capacity.View]
    )
    unmovable: set[resources.Shape] = dataclasses.field(default_factory=set)
    fixed_homes: set[resources.Shape] = dataclasses.field(default_factory=set)
    homes_grown: bool = False
    retried_at_s: float = 0.0
    repacked_at_s: float = 0.0
    size_versions: dict[int, int] = dataclasses.field(default_factory=dict)
    version: int = 0
    room: tuple[int, int] = (0, 0)
    reserve_version: int = 0
    serial: int = 0


def mark_changed(s: SchedulingState, place: resources.Placement) -> None:
    """Marks the workers of a placement as changed."""
    s.top.dirty.update(member.worker_id for member in place if member.worker_id in s.top.nodes)


def is_immune(s: SchedulingState, request_id: str) -> bool:
    """Returns whether a request has reached the limit on preemptions."""
    return s.preemptions.get(request_id, 0) >= s.settings.max_preemptions


def assign_homes(s: SchedulingState) -> None:
    """Assigns homes to short units where there is room."""
    guarantees.assign_homes(s.guaranteed, s.top, s.settings)


def reassign_homes(s: SchedulingState) -> None:
    """Assigns homes to short units; if necessary, releases reserved blocks and reassigns homes."""
    guarantees.assign_homes(s.guaranteed, s.top, s.settings)
    if s.guaranteed.short and s.reservations:
        for request_id in list(s.reservations):
            release_reservation(s, request_id)
        guarantees.assign_homes(s.guaranteed, s.top, s.settings)
    guarantees.reassign_homes(s.guaranteed, s.top, s.settings)


def requeue_pending(s: SchedulingState, allocation: capacity.Allocation) -> None:
    """Requeues a request that waits for its capacity."""
    request = allocation.request
    account = queueing.get_account(s.queue, request.client_account)
    free(s, allocation, account.usage_at_s)
    queueing.add_request(s.queue, request, allocation.immune)


def free(s: SchedulingState, allocation: capacity.Allocation, now_s: float) -> None:
    """Removes an allocation, releases its unit, and ends its charge."""
    request = allocation.request
    del s.allocations[request.request_id]
    s.pending.pop(request.request_id, None)
    topology.remove_allocation(s.top, allocation)
    account = queueing.get_account(s.queue, request.client_account)
    del account.held[request.request_id]
    if allocation.state is _STOPPING:
        account.stopping -= request.shape.total_accelerators
    queueing.update_usage(account, -request.shape.total_accelerators, -allocation.rate, now_s)
    if allocation.unit is not None:
        unit, allocation.unit = allocation.unit, None
        guarantees.release_unit(s.guaranteed, s.top, unit)


def create_allocation(
    s: SchedulingState, request: requests.Request, place: resources.Placement, immune: bool
) -> capacity.Allocation:
    """Returns a new allocation, which is not recorded yet."""
    s.serial += 1
    large = is_large(s, request.shape)
    return capacity.Allocation(request, place, _PENDING, s.serial, immune, large)


def is_large(s: SchedulingState, shape: resources.Shape) -> bool:
    """Returns whether a job is large, by its accelerators or its members."""
    return max(shape.total_accelerators, shape.members) >= s.settings.large_accelerators


def record(s: SchedulingState, allocation: capacity.Allocation, now_s: float) -> None:
    """Records an allocation and charges its client account."""
    request = allocation.request
    s.allocations[request.request_id] = allocation
    if allocation.state is _PENDING:
        s.pending[request.request_id] = allocation
    topology.add_allocation(s.top, allocation)
    allocation.rate = _compute_rate(s, request.shape)
    account = queueing.get_account(s.queue, request.client_account)
    account.held[request.request_id] = allocation
    queueing.update_usage(account, request.shape.total_accelerators, allocation.rate, now_s)


def _compute_rate(s: SchedulingState, shape: resources.Shape) -> float:
    """Returns the accelerators to charge.

    That is the larger of the accelerators of the shape and its slots' share of the accelerators of
    the partition.
    """
    slots = s.top.totals[capacity.Total.PRESENT_SLOTS]
    accelerators = s.top.totals[capacity.Total.PRESENT_ACCELERATORS]
    ratio = accelerators / slots if accelerators and slots else 1.0
    return max(float(shape.total_accelerators), shape.members * ratio)


def find_room(
    s: SchedulingState, view: capacity.View, shape: resources.Shape
) -> resources.Placement | None:
    """Returns a placement in a view, or None.

    A shape without room is not searched for again until room is added to the view.
    """
    refresh(s)
    failed = s.failed[view].get(shape.accelerators)
    if failed and shape in failed:
        return None
    place = placement.find_placement(s.top, view, shape, s.settings)
    if place is None:
        record_no_room(s, view, shape)
    return place


def record_no_room(s: SchedulingState, view: capacity.View, shape: resources.Shape) -> None:
    """Records that a shape has no room in a view, until room is added to the view."""
    s.failed[view].setdefault(shape.accelerators, set()).add(shape)


def refresh(s: SchedulingState) -> None:
    """Updates the topology and discards failures to find room that may no longer hold."""
    topology.refresh(s.top)
    if not s.top.grown:
        return
    for view, sizes in s.top.grown.items():
        for size in blocks.list_bits(sizes):
            s.failed[view].pop(size, None)
            s.size_versions[size] = s.size_versions.get(size, 0) + 1
    s.homes_grown = s.homes_grown or capacity.View.HOME in s.top.grown
    s.top.grown.clear()


def discard_growth(s: SchedulingState) -> None:
    """Updates the topology after a tentative change was undone, which added no room."""
    topology.refresh(s.top)
    s.top.grown.clear()


def is_free(s: SchedulingState, place: resources.Placement) -> bool:
    """Returns whether a placement is free and on usable workers."""
    refresh(s)
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes[worker_id]
        if node.masks[capacity.View.BORROW] & mask != mask:
            return False
        if node.slots[capacity.View.BORROW] < members:
            return False
    return True


def start_by_moving_homes(
    s: SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    """Starts work that cannot be preempted where unused homes can be moved elsewhere."""
    if group.shape in s.fixed_homes:
        return False
    place = find_room(s, capacity.View.MOVABLE, group.shape)
    if place is None:
        return False
    s.trials += 1
    tentative = create_allocation(s, request, place, group.immune)
    occupy = functools.partial(topology.add_allocation, s.top, tentative)
    release = functools.partial(topology.remove_allocation, s.top, tentative)
    if not guarantees.move_homes(s.guaranteed, s.top, place, occupy, release, s.settings):
        discard_growth(s)
        s.fixed_homes.add(group.shape)
        return False
    release()
    return allocate(s, request, group, place, None, now_s, out)


def allocate(
    s: SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    place: resources.Placement,
    unit: capacity.Unit | None,
    now_s: float,
    out: list[Start | Preempt],
    purpose: capacity.Stopping = capacity.Stopping.URGENT,
) -> bool:
    """Allocates a placement to a waiting request and stops the work that occupies it.

    Args:
        s: State.
        request: The request.
        group: Group of the request.
        place: The placement.
        unit: Unit that the request uses, or None; the placement is within its home.
        now_s: Time.
        out: Orders, appended to.
        purpose: Purpose for which work is stopped; always ``RECLAIM`` if there is a unit.

    Returns:
        False if work of the same client account that has precedence occupies the placement: work
        that is at least as large and is more urgent, or as urgent and submitted no later.
    """
    if unit is not None:
        purpose = capacity.Stopping.RECLAIM
    victims = collect_victims(s, place, purpose)
    if any(_has_precedence(victim.request, request) for victim in victims):
        return False
    queueing.remove_request(s.queue, request.request_id)
    release_reservation(s, request.request_id)
    allocation = create_allocation(s, request, place, group.immune)
    for victim in victims:
        if victim.state is _PENDING:
            requeue_pending(s, victim)
        else:
            stop(s, victim, request.request_id, out)
    if unit is not None:
        release_overlapping_blocks(s, place)
        guarantees.set_unit_user(s.guaranteed, s.top, unit, request.request_id)
        allocation.unit = unit
    record(s, allocation, now_s)
    start_if_free(s, allocation, out)
    return True


def _has_precedence(victim: requests.Request, request: requests.Request) -> bool:
    return (
        victim.client_account == request.client_account
        and victim.shape.total_accelerators >= request.shape.total_accelerators
        and (victim.urgency, victim.submitted_at_s) <= (request.urgency, request.submitted_at_s)
    )


def stop(
    s: SchedulingState,
    victim: capacity.Allocation,
    for_request_id: str,
    out: list[Start | Preempt],
) -> None:
    """Stops an allocation for another request."""
    request_id = victim.request.request_id
    victim.state = _STOPPING
    account = s.queue.accounts[victim.request.client_account]
    account.stopping += victim.request.shape.total_accelerators
    victim.for_request_id = for_request_id
    mark_changed(s, victim.placement)
    s.preemptions[request_id] = s.preemptions.get(request_id, 0) + 1
    if len(s.preemptions) > 2 * s.settings.max_queued:
        # Entries of requests that ended while being stopped are not removed anywhere else.
        del s.preemptions[next(iter(s.preemptions))]
    out.append(Preempt(request_id, for_request_id))


def release_reservation(s: SchedulingState, request_id: str) -> None:
    """Releases the reserved block of a request, if it has one."""
    reservation = s.reservations.pop(request_id, None)
    if reservation is not None:
        topology.remove_block(s.top, reservation)


def release_overlapping_blocks(s: SchedulingState, place: resources.Placement) -> None:
    """Releases the reserved blocks that overlap a placement."""
    for worker_id, (mask, _) in topology.group_by_worker(place).items():
        for request_id, (_, block, _) in list(s.top.nodes[worker_id].blocks.items()):
            if block & mask:
                release_reservation(s, request_id)


def collect_victims(
    s: SchedulingState, place: resources.Placement, purpose: capacity.Stopping
) -> list[capacity.Allocation]:
    """Returns the work to stop before a placement can be used.

    Args:
        s: State.
        place: The placement.
        purpose: Purpose for which work is stopped. It restricts only which work is stopped to get
            slots; all work on the accelerators of the placement is returned.
    """
    victims: dict[str, capacity.Allocation] = {}
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes[worker_id]
        needed = members - node.worker.slots
        spare: list[tuple[capacity.Allocation, int]] = []
        for request_id, (allocation, held, count) in node.members.items():
            if allocation.state is _STOPPING or request_id in victims:
                continue
            if held & mask:
                victims[request_id] = allocation
                continue
            needed += count
            if may_stop(allocation, purpose):
                spare.append((allocation, count))
        spare.sort(key=lambda entry: (-entry[0].request.urgency, -entry[0].serial))
        for allocation, count in spare:
            if needed <= 0:
                break
            victims[allocation.request.request_id] = allocation
            needed -= count
    return list(victims.values())


def may_stop(allocation: capacity.Allocation, purpose: capacity.Stopping) -> bool:
    """Returns whether work may be stopped for the given purpose."""
    request = allocation.request
    if not request.preemptible or allocation.unit is not None:
        return False
    if purpose is capacity.Stopping.RECLAIM:
        return True
    if purpose in (capacity.Stopping.CLEAR, capacity.Stopping.CLOSED) and allocation.large:
        return False
    return (
        allocation.state is _RUNNING
        and not allocation.immune
        and (purpose is capacity.Stopping.CLOSED or request.urgency is not requests.Urgency.URGENT)
    )


def start_if_free(
    s: SchedulingState, allocation: capacity.Allocation, out: list[Start | Preempt]
) -> None:
    """Starts a pending allocation if its capacity is no longer occupied."""
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
    s.queue.waits.pop(request_id, None)
    s.queue.starts += 1
    mark_changed(s, allocation.placement)
    out.append(Start(request_id, allocation.placement))
