"""Allocations: giving capacity to requests, taking it back, and stopping work for others."""

import dataclasses
import functools

from lycheegate.core import blocks, capacity, guarantees, placement, policy, queueing, topology
from lycheegate.model import requests, resources

__all__ = [
    "Claims",
    "Preempt",
    "SchedulingState",
    "Start",
    "cancel_pending",
    "collect_victims",
    "create_allocation",
    "drop_blocks",
    "drop_reservation",
    "find",
    "forget_growth",
    "free",
    "is_free",
    "is_large",
    "is_immune",
    "may_stop",
    "move_homes",
    "note_failure",
    "occupy",
    "record",
    "refresh",
    "rehome",
    "repack",
    "start_if_free",
    "stop",
    "touch",
]

_PENDING = capacity.AllocationState.PENDING
_RUNNING = capacity.AllocationState.RUNNING
_STOPPING = capacity.AllocationState.STOPPING


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


@dataclasses.dataclass(slots=True)
class Claims:
    """Limits that other work must leave room in for large jobs that waited too long.

    Attributes:
        due: The large jobs.
        quota: Accelerators of each client account's quota, for work that is not urgent.
        urgent_quota: The same for urgent work.
        slots: Slots that work which cannot be preempted may take outside homes.
        accelerators: Accelerators likewise.
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
        settings: Policy.
        top: Workers and racks.
        guaranteed: Units and their homes.
        queue: Waiting requests.
        allocations: Allocations by request.
        pending: Those that wait for work to be stopped.
        preemptions: How often requests were preempted, for those that may be queued again.
        reservations: Blocks being cleared for large jobs, by request.
        claims: What large jobs that waited too long hold back from other work.
        trials: Attempts to move small work in the current pass.
        failed: For each view and block size, shapes that had no room when last tried.
        unmovable: Shapes for which moving small work was tried in vain since ``retried_at_s``.
        fixed_homes: Shapes for which moving homes was tried in vain since then.
        homes_grown: Whether homes may find room since then that they did not find before.
        repacked_at_s: When homes were last placed anew because some were short.
        retried_at_s: When moves of small work and of homes that failed were last allowed again.
        size_versions: For each block size, a number that grows with the room for such blocks.
        version: Grows whenever every group may find room again.
        room: Slots and accelerators that the urgent reserve left in the last pass.
        reserve_version: Grows whenever the urgent reserve leaves more room.
        serial: Number of the next allocation.
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


def touch(s: SchedulingState, place: resources.Placement) -> None:
    """Marks the workers of a place as changed."""
    s.top.dirty.update(member.worker_id for member in place if member.worker_id in s.top.nodes)


def is_immune(s: SchedulingState, request_id: str) -> bool:
    """Returns whether a request was preempted so often that it is left alone."""
    return s.preemptions.get(request_id, 0) >= s.settings.max_preemptions


def rehome(s: SchedulingState) -> None:
    """Gives homes to short units where there is room."""
    guarantees.rehome(s.guaranteed, s.top, s.settings)


def repack(s: SchedulingState) -> None:
    """Gives homes to short units, if need be in place of reserved blocks and other homes."""
    guarantees.rehome(s.guaranteed, s.top, s.settings)
    if s.guaranteed.short and s.reservations:
        for request_id in list(s.reservations):
            drop_reservation(s, request_id)
        guarantees.rehome(s.guaranteed, s.top, s.settings)
    guarantees.repack(s.guaranteed, s.top, s.settings)


def cancel_pending(s: SchedulingState, allocation: capacity.Allocation) -> None:
    """Puts a request that waits for its capacity back into the queue."""
    request = allocation.request
    account = queueing.get_account(s.queue, request.client_account)
    free(s, allocation, account.usage_at_s)
    queueing.add_request(s.queue, request, allocation.immune)


def free(s: SchedulingState, allocation: capacity.Allocation, now_s: float) -> None:
    """Takes an allocation away, with its use of a unit and its charge."""
    request = allocation.request
    del s.allocations[request.request_id]
    s.pending.pop(request.request_id, None)
    topology.remove_allocation(s.top, allocation)
    account = queueing.get_account(s.queue, request.client_account)
    del account.held[request.request_id]
    if allocation.state is _STOPPING:
        account.stopping -= request.shape.total_accelerators
    queueing.use_capacity(account, -request.shape.total_accelerators, -allocation.rate, now_s)
    if allocation.unit is not None:
        unit, allocation.unit = allocation.unit, None
        guarantees.release_unit(s.guaranteed, s.top, unit)


def create_allocation(
    s: SchedulingState, request: requests.Request, place: resources.Placement, immune: bool
) -> capacity.Allocation:
    """Returns a new allocation, which occupies nothing yet."""
    s.serial += 1
    large = is_large(s, request.shape)
    return capacity.Allocation(request, place, _PENDING, s.serial, immune, large)


def is_large(s: SchedulingState, shape: resources.Shape) -> bool:
    """Returns whether a job counts as large, by its accelerators or its members."""
    return max(shape.total_accelerators, shape.members) >= s.settings.large_accelerators


def record(s: SchedulingState, allocation: capacity.Allocation, now_s: float) -> None:
    """Attaches an allocation and charges its client account."""
    request = allocation.request
    s.allocations[request.request_id] = allocation
    if allocation.state is _PENDING:
        s.pending[request.request_id] = allocation
    topology.add_allocation(s.top, allocation)
    allocation.rate = _compute_rate(s, request.shape)
    account = queueing.get_account(s.queue, request.client_account)
    account.held[request.request_id] = allocation
    queueing.use_capacity(account, request.shape.total_accelerators, allocation.rate, now_s)


def _compute_rate(s: SchedulingState, shape: resources.Shape) -> float:
    """Returns the accelerators charged: those taken, or the slots' part of the partition."""
    slots = s.top.totals[capacity.Total.PRESENT_SLOTS]
    accelerators = s.top.totals[capacity.Total.PRESENT_ACCELERATORS]
    ratio = accelerators / slots if accelerators and slots else 1.0
    return max(float(shape.total_accelerators), shape.members * ratio)


def find(
    s: SchedulingState, view: capacity.View, shape: resources.Shape
) -> resources.Placement | None:
    """Returns a placement in a view, or None; failures are remembered until the view grows."""
    refresh(s)
    failed = s.failed[view].get(shape.accelerators)
    if failed and shape in failed:
        return None
    place = placement.find_placement(s.top, view, shape, s.settings)
    if place is None:
        note_failure(s, view, shape)
    return place


def note_failure(s: SchedulingState, view: capacity.View, shape: resources.Shape) -> None:
    """Remembers that a shape has no room in a view until the view grows."""
    s.failed[view].setdefault(shape.accelerators, set()).add(shape)


def refresh(s: SchedulingState) -> None:
    """Brings the topology up to date and forgets failures that may no longer hold."""
    topology.refresh(s.top)
    if not s.top.grown:
        return
    for view, sizes in s.top.grown.items():
        for size in blocks.list_bits(sizes):
            s.failed[view].pop(size, None)
            s.size_versions[size] = s.size_versions.get(size, 0) + 1
    s.homes_grown = s.homes_grown or capacity.View.HOME in s.top.grown
    s.top.grown.clear()


def forget_growth(s: SchedulingState) -> None:
    """Brings the topology up to date after a trial that was undone, which opened no room."""
    topology.refresh(s.top)
    s.top.grown.clear()


def is_free(s: SchedulingState, place: resources.Placement) -> bool:
    """Returns whether nothing occupies a place on usable workers."""
    refresh(s)
    for worker_id, (mask, members) in topology.group_by_worker(place).items():
        node = s.top.nodes[worker_id]
        if node.masks[capacity.View.BORROW] & mask != mask:
            return False
        if node.slots[capacity.View.BORROW] < members:
            return False
    return True


def move_homes(
    s: SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[Start | Preempt],
) -> bool:
    """Starts work that cannot be preempted where homes can be moved away for it."""
    if group.shape in s.fixed_homes:
        return False
    place = find(s, capacity.View.MOVABLE, group.shape)
    if place is None:
        return False
    s.trials += 1
    trial = create_allocation(s, request, place, group.immune)
    attach = functools.partial(topology.add_allocation, s.top, trial)
    detach = functools.partial(topology.remove_allocation, s.top, trial)
    if not guarantees.make_room(s.guaranteed, s.top, place, attach, detach, s.settings):
        forget_growth(s)
        s.fixed_homes.add(group.shape)
        return False
    detach()
    return occupy(s, request, group, place, None, now_s, out)


def occupy(
    s: SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    place: resources.Placement,
    unit: capacity.Unit | None,
    now_s: float,
    out: list[Start | Preempt],
    stopping: capacity.Stopping = capacity.Stopping.URGENT,
) -> bool:
    """Gives a waiting request a place, stopping what is in the way.

    A place in a unit is reclaimed, whatever ``stopping`` says.

    Returns:
        False if earlier large work of the same client account is in the way.
    """
    if unit is not None:
        stopping = capacity.Stopping.RECLAIM
    victims = collect_victims(s, place, stopping)
    if any(_has_precedence(victim.request, request) for victim in victims):
        return False
    queueing.remove_request(s.queue, request.request_id)
    drop_reservation(s, request.request_id)
    allocation = create_allocation(s, request, place, group.immune)
    for victim in victims:
        if victim.state is _PENDING:
            cancel_pending(s, victim)
        else:
            stop(s, victim, request.request_id, out)
    if unit is not None:
        drop_blocks(s, place)
        guarantees.use_unit(s.guaranteed, s.top, unit, request.request_id)
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
    """Marks an allocation as being stopped for another request."""
    request_id = victim.request.request_id
    victim.state = _STOPPING
    account = s.queue.accounts[victim.request.client_account]
    account.stopping += victim.request.shape.total_accelerators
    victim.for_request_id = for_request_id
    touch(s, victim.placement)
    s.preemptions[request_id] = s.preemptions.get(request_id, 0) + 1
    if len(s.preemptions) > 2 * s.settings.max_queued:
        # Entries of requests that ended while being stopped are never taken out otherwise.
        del s.preemptions[next(iter(s.preemptions))]
    out.append(Preempt(request_id, for_request_id))


def drop_reservation(s: SchedulingState, request_id: str) -> None:
    """Gives up the reserved block of a request, if it has one."""
    reservation = s.reservations.pop(request_id, None)
    if reservation is not None:
        topology.remove_block(s.top, reservation)


def drop_blocks(s: SchedulingState, place: resources.Placement) -> None:
    """Gives up the reserved blocks that overlap a place."""
    for worker_id, (mask, _) in topology.group_by_worker(place).items():
        for request_id, (_, block, _) in list(s.top.nodes[worker_id].blocks.items()):
            if block & mask:
                drop_reservation(s, request_id)


def collect_victims(
    s: SchedulingState, place: resources.Placement, stopping: capacity.Stopping
) -> list[capacity.Allocation]:
    """Returns the work to stop before a place can be used.

    Args:
        s: State.
        place: Where room is needed.
        stopping: Why work is stopped; only chooses among work that shares nothing but slots.
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
            if may_stop(allocation, stopping):
                spare.append((allocation, count))
        spare.sort(key=lambda entry: (-entry[0].request.urgency, -entry[0].serial))
        for allocation, count in spare:
            if needed <= 0:
                break
            victims[allocation.request.request_id] = allocation
            needed -= count
    return list(victims.values())


def may_stop(allocation: capacity.Allocation, stopping: capacity.Stopping) -> bool:
    """Returns whether work may be stopped for the given reason."""
    request = allocation.request
    if not request.preemptible or allocation.unit is not None:
        return False
    if stopping is capacity.Stopping.RECLAIM:
        return True
    if stopping in (capacity.Stopping.CLEAR, capacity.Stopping.CLOSED) and allocation.large:
        return False
    return (
        allocation.state is _RUNNING
        and not allocation.immune
        and (stopping is capacity.Stopping.CLOSED or request.urgency is not requests.Urgency.URGENT)
    )


def start_if_free(
    s: SchedulingState, allocation: capacity.Allocation, out: list[Start | Preempt]
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
    s.queue.waits.pop(request_id, None)
    s.queue.starts += 1
    touch(s, allocation.placement)
    out.append(Start(request_id, allocation.placement))
