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


def mark_changed(state: SchedulingState, place: resources.Placement) -> None:
    """Marks the workers of a placement as changed."""
    state.top.dirty.update(
        member.worker_id for member in place if member.worker_id in state.top.nodes
    )


def is_immune(state: SchedulingState, request_id: str) -> bool:
    """Returns whether a request has reached the limit on preemptions."""
    return state.preemptions.get(request_id, 0) >= state.settings.max_preemptions


def assign_homes(state: SchedulingState) -> None:
    """Assigns homes to short units where there is room."""
    guarantees.assign_homes(state.guaranteed, state.top, state.settings)


def reassign_homes(state: SchedulingState) -> None:
    """Assigns homes to short units; if necessary, releases reserved blocks and reassigns homes."""
    guarantees.assign_homes(state.guaranteed, state.top, state.settings)
    if state.guaranteed.short and state.reservations:
        for request_id in list(state.reservations):
            release_reservation(state, request_id)
        guarantees.assign_homes(state.guaranteed, state.top, state.settings)
    guarantees.reassign_homes(state.guaranteed, state.top, state.settings)


def requeue_pending(state: SchedulingState, allocation: capacity.Allocation) -> None:
    """Requeues a request that waits for its capacity."""
    request = allocation.request
    account = queueing.get_account(state.queue, request.client_account)
    free(state, allocation, account.usage_at_s)
    queueing.add_request(state.queue, request, allocation.immune)


def free(state: SchedulingState, allocation: capacity.Allocation, now_s: float) -> None:
    """Removes an allocation, releases its unit, and ends its charge."""
    request = allocation.request
    del state.allocations[request.request_id]
    state.pending.pop(request.request_id, None)
    topology.remove_allocation(state.top, allocation)
    account = queueing.get_account(state.queue, request.client_account)
    del account.held[request.request_id]
    if allocation.state is _STOPPING:
        account.stopping -= request.shape.total_accelerators
    queueing.update_usage(account, -request.shape.total_accelerators, -allocation.rate, now_s)
    if allocation.unit is not None:
        unit, allocation.unit = allocation.unit, None
        guarantees.release_unit(state.guaranteed, state.top, unit)


def create_allocation(
    state: SchedulingState, request: requests.Request, place: resources.Placement, immune: bool
) -> capacity.Allocation:
    """Returns a new allocation, which is not recorded yet."""
    state.serial += 1
    large = is_large(state, request.shape)
    return capacity.Allocation(request, place, _PENDING, state.serial, immune, large)


def is_large(state: SchedulingState, shape: resources.Shape) -> bool:
    """Returns whether a job is large, by its accelerators or its members."""
    return max(shape.total_accelerators, shape.members) >= state.settings.large_accelerators


def record(state: SchedulingState, allocation: capacity.Allocation, now_s: float) -> None:
    """Records an allocation and charges its client account."""
    request = allocation.request
    state.allocations[request.request_id] = allocation
    if allocation.state is _PENDING:
        state.pending[request.request_id] = allocation
    topology.add_allocation(state.top, allocation)
    allocation.rate = _compute_rate(state, request.shape)
    account = queueing.get_account(state.queue, request.client_account)
    account.held[request.request_id] = allocation
    queueing.update_usage(account, request.shape.total_accelerators, allocation.rate, now_s)


def _compute_rate(state: SchedulingState, shape: resources.Shape) -> float:
    """Returns the accelerators to charge.

    That is the larger of the accelerators of the shape and its slots' share of the accelerators of
    the partition.
    """
    slots = state.top.totals[capacity.Total.PRESENT_SLOTS]
    accelerators = state.top.totals[capacity.Total.PRESENT_ACCELERATORS]
    ratio = accelerators / slots if accelerators and slots else 1.0
    return max(float(shape.total_accelerators), shape.members * ratio)


def find_room(
    state: SchedulingState, view: capacity.View, shape: resources.Shape
) -> resources.Placement | None:
    """Returns a placement in a view, or None.

    A shape without room is not searched for again until room is added to the view.
    """
    refresh(state)
    failed = state.failed[view].get(shape.accelerators)
    if failed and shape in failed:
        return None
    place = placement.find_placement(state.top, view, shape, state.settings)
    if place is None:
        record_no_room(state, view, shape)
    return place


def record_no_room(state: SchedulingState, view: capacity.View, shape: resources.Shape) -> None:
    """Records that a shape has no room in a view, until room is added to the view."""
    state.failed[view].setdefault(shape.accelerators, set()).add(shape)


def refresh(state: SchedulingState) -> None:
    """Updates the topology and discards failures to find room that may no longer hold."""
    topology.refresh(state.top)
    if not state.top.grown:
        return
    for view, sizes in state.top.grown.items():
        for size in blocks.list_bits(sizes):
            state.failed[view].pop(size, None)
            state.size_versions[size] = state.size_versions.get(size, 0) + 1
    state.homes_grown = state.homes_grown or capacity.View.HOME in state.top.grown
    state.top.grown.clear()


def discard_growth(state: SchedulingState) -> None:
    """Updates the topology after a tentative change was undone, which added no room."""
    topology.refresh(state.top)
    state.top.grown.clear()


def is_free(state: SchedulingState, place: resources.Placement) -> bool:
    """Returns whether a placement is free and on usable workers."""
    refresh(state)
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = state.top.nodes[worker_id]
        if node.masks[capacity.View.BORROW] & mask != mask:
            return False
        if node.slots[capacity.View.BORROW] < members:
            return False
    return True


def start_by_moving_homes(
    state: SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    """Starts work that cannot be preempted where unused homes can be moved elsewhere."""
    if group.shape in state.fixed_homes:
        return False
    place = find_room(state, capacity.View.MOVABLE, group.shape)
    if place is None:
        return False
    state.trials += 1
    tentative = create_allocation(state, request, place, group.immune)
    occupy = functools.partial(topology.add_allocation, state.top, tentative)
    release = functools.partial(topology.remove_allocation, state.top, tentative)
    if not guarantees.move_homes(
        state.guaranteed, state.top, place, occupy, release, state.settings
    ):
        discard_growth(state)
        state.fixed_homes.add(group.shape)
        return False
    release()
    return allocate(state, request, group, place, None, now_s, out)


def allocate(
    state: SchedulingState,
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
        state: State.
        request: The request.
        group: Group of the request.
        place: The placement.
        unit: Unit that the request uses, or None; the placement is within its home.
        now_s: Time.
        out: Starts and preemptions, appended to.
        purpose: Purpose for which work is stopped; always ``RECLAIM`` if there is a unit.

    Returns:
        False if work of the same client account that has precedence occupies the placement: work
        that is at least as large and is more urgent, or as urgent and submitted no later.
    """
    if unit is not None:
        purpose = capacity.Stopping.RECLAIM
    victims = collect_victims(state, place, purpose)
    if any(_has_precedence(victim.request, request) for victim in victims):
        return False
    queueing.remove_request(state.queue, request.request_id)
    release_reservation(state, request.request_id)
    allocation = create_allocation(state, request, place, group.immune)
    for victim in victims:
        if victim.state is _PENDING:
            requeue_pending(state, victim)
        else:
            stop(state, victim, request.request_id, out)
    if unit is not None:
        release_overlapping_blocks(state, place)
        guarantees.set_unit_user(state.guaranteed, state.top, unit, request.request_id)
        allocation.unit = unit
    record(state, allocation, now_s)
    start_if_free(state, allocation, out)
    return True


def _has_precedence(victim: requests.Request, request: requests.Request) -> bool:
    return (
        victim.client_account == request.client_account
        and victim.shape.total_accelerators >= request.shape.total_accelerators
        and (victim.urgency, victim.submitted_at_s) <= (request.urgency, request.submitted_at_s)
    )


def stop(
    state: SchedulingState,
    victim: capacity.Allocation,
    for_request_id: str,
    out: list[Start | Preempt],
) -> None:
    """Stops an allocation for another request."""
    request_id = victim.request.request_id
    victim.state = _STOPPING
    account = state.queue.accounts[victim.request.client_account]
    account.stopping += victim.request.shape.total_accelerators
    victim.for_request_id = for_request_id
    mark_changed(state, victim.placement)
    state.preemptions[request_id] = state.preemptions.get(request_id, 0) + 1
    if len(state.preemptions) > 2 * state.settings.max_queued:
        # Entries of requests that ended while being stopped are not removed anywhere else.
        del state.preemptions[next(iter(state.preemptions))]
    out.append(Preempt(request_id, for_request_id))


def release_reservation(state: SchedulingState, request_id: str) -> None:
    """Releases the reserved block of a request, if it has one."""
    reservation = state.reservations.pop(request_id, None)
    if reservation is not None:
        topology.remove_block(state.top, reservation)


def release_overlapping_blocks(state: SchedulingState, place: resources.Placement) -> None:
    """Releases the reserved blocks that overlap a placement."""
    for worker_id, (mask, _) in topology.group_by_worker(place).items():
        for request_id, (_, block, _) in list(state.top.nodes[worker_id].blocks.items()):
            if block & mask:
                release_reservation(state, request_id)


def collect_victims(
    state: SchedulingState, place: resources.Placement, purpose: capacity.Stopping
) -> list[capacity.Allocation]:
    """Returns the work to stop before a placement can be used.

    Args:
        state: State.
        place: The placement.
        purpose: Purpose for which work is stopped. It restricts only which work is stopped to get
            slots; all work on the accelerators of the placement is returned.
    """
    victims: dict[str, capacity.Allocation] = {}
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = state.top.nodes[worker_id]
        needed = members - node.worker.slots
        spare: list[tuple[capacity.Allocation, int]] = []
        for request_id, (allocation, held_mask, count) in node.members.items():
            if allocation.state is _STOPPING or request_id in victims:
                continue
            if held_mask & mask:
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
    state: SchedulingState, allocation: capacity.Allocation, out: list[Start | Preempt]
) -> None:
    """Starts a pending allocation if its capacity is no longer occupied."""
    for worker_id, (mask, members) in topology.group_by_worker(allocation.placement).items():
        node = state.top.nodes[worker_id]
        slots = node.worker.slots - members
        for other, held_mask, count in node.members.values():
            if other.state is _PENDING:
                continue
            if held_mask & mask:
                return
            slots -= count
        if slots < 0:
            return
    request_id = allocation.request.request_id
    allocation.state = _RUNNING
    state.pending.pop(request_id, None)
    state.queue.waits.pop(request_id, None)
    state.queue.starts += 1
    mark_changed(state, allocation.placement)
    out.append(Start(request_id, allocation.placement))
