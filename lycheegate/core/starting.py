"""Start of a waiting request, by the first of several ways that succeeds."""

from lycheegate.core import allocations, capacity, guarantees, limits, placement, queueing, topology
from lycheegate.model import requests, resources

__all__ = ["MAX_MOVE_ATTEMPTS", "get_versions", "try_start"]

MAX_MOVE_ATTEMPTS = 4
"""Maximum attempts to move homes or small work per pass; each takes as long as many starts."""


def try_start(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request, or stops work to make room for it.

    Returns:
        Whether the request has left the queue.
    """
    if not limits.is_within_quota(s, group):
        if group.kind.is_urgent:
            limits.preempt_for_quota(s, request, group, out)
        return False
    exact = None
    if group.client_account in s.guaranteed.idle:
        exact = guarantees.find_exact_unit(s.guaranteed, group.client_account, group.shape)
        if exact is not None and allocations.is_free(s, exact.home):
            return allocations.allocate(s, request, group, exact.home, exact, now_s, out)
    if exact is None and group.kind.is_blocked:
        return _start_in_home(s, request, group, now_s, out)
    leaves_reserve = limits.leaves_urgent_reserve(s, group)
    if leaves_reserve or exact is not None:
        place = _find_free(s, group)
        if place is not None:
            if exact is None or group.preemptible:
                return allocations.allocate(s, request, group, place, None, now_s, out)
            guarantees.set_home(s.guaranteed, s.top, exact, place)
            return allocations.allocate(s, request, group, place, exact, now_s, out)
    if _start_in_home(s, request, group, now_s, out):
        return True
    if _start_by_making_room(s, request, group, leaves_reserve, now_s, out):
        return True
    group.kind.is_blocked = True
    if s.trials < MAX_MOVE_ATTEMPTS:
        group.kind.failed_at = get_versions(s, group.kind)
    return False


def get_versions(s: allocations.SchedulingState, kind: queueing.Kind) -> tuple[int, ...]:
    """Returns the versions of everything a start depends on, except for the client account."""
    reserve = s.reserve_version if kind.is_limited else 0
    return s.size_versions.get(kind.shape.accelerators, 0), reserve, s.version


def _start_in_home(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request in the home of an idle unit, stopping the work that borrowed it."""
    if group.client_account not in s.guaranteed.idle:
        return False
    unit = guarantees.find_exact_unit(
        s.guaranteed, group.client_account, group.shape
    ) or guarantees.find_fitting_unit(s.guaranteed, group.client_account, group.shape)
    if unit is None:
        return False
    place = guarantees.shrink_home(unit.home, group.shape)
    return allocations.allocate(s, request, group, place, unit, now_s, out)


def _start_by_making_room(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    leaves_reserve: bool,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request by moving homes, by preemption, or by moving small work."""
    may_move_homes = leaves_reserve and not group.preemptible and s.trials < MAX_MOVE_ATTEMPTS
    if may_move_homes and allocations.start_by_moving_homes(s, request, group, now_s, out):
        return True
    if group.kind.is_urgent:
        view = capacity.View.URGENT_HOME if group.preemptible else capacity.View.URGENT
        place = allocations.find_room(s, view, group.shape)
        if place is not None:
            return allocations.allocate(s, request, group, place, None, now_s, out)
    return leaves_reserve and _start_by_moving_small_work(s, request, group, now_s, out)


def _find_free(s: allocations.SchedulingState, group: queueing.Group) -> resources.Placement | None:
    if group.kind.is_urgent and group.preemptible:
        # Keeps homes and reserved blocks free as long as there is other room.
        place = allocations.find_room(s, capacity.View.OPEN, group.shape)
        if place is not None:
            return place
    if group.preemptible and not group.immune:
        return allocations.find_room(s, capacity.View.BORROW, group.shape)
    place = allocations.find_room(s, capacity.View.OPEN, group.shape)
    if place is None and group.preemptible:
        # Work that can be stopped only for a guarantee must not start in reserved blocks.
        place = allocations.find_room(s, capacity.View.MOVABLE, group.shape)
    return place


def _start_by_moving_small_work(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request by stopping small preemptible work that fits elsewhere.

    The move pays only if that work has at most ``fragmentation_weight`` of the accelerators of the
    request.
    """
    limit = s.settings.fragmentation_weight * group.size
    if limit < 1 or s.trials >= MAX_MOVE_ATTEMPTS:
        return False
    if group.shape in s.unmovable:
        return False
    s.trials += 1
    allocations.refresh(s)
    place = placement.find_cheapest(s.top, capacity.View.CLEAR, group.shape)
    if place is not None:
        purpose = capacity.Stopping.CLEAR
        victims = allocations.collect_victims(s, place, purpose)
        size = sum(max(1, victim.request.shape.total_accelerators) for victim in victims)
        if size <= limit and _fits_elsewhere(s, request, place, victims):
            return allocations.allocate(s, request, group, place, None, now_s, out, purpose)
    s.unmovable.add(group.shape)
    return False


def _fits_elsewhere(
    s: allocations.SchedulingState,
    request: requests.Request,
    place: resources.Placement,
    victims: list[capacity.Allocation],
) -> bool:
    """Returns whether all victims fit into free capacity once the request has its placement."""
    tentative = [allocations.create_allocation(s, request, place, False)]
    topology.add_allocation(s.top, tentative[0])
    fits = True
    for victim in victims:
        other = placement.find_placement(
            s.top, capacity.View.BORROW, victim.request.shape, s.settings
        )
        if other is None:
            fits = False
            break
        # Represents the victim in its new placement; the old one stays occupied for now.
        moved = allocations.create_allocation(s, victim.request, other, False)
        tentative.append(moved)
        for worker_id, (mask, members) in topology.group_by_worker(other).items():
            s.top.nodes[worker_id].members[f"{moved.serial}"] = (
                moved,
                mask,
                members,
            )
            s.top.dirty.add(worker_id)
    topology.remove_allocation(s.top, tentative[0])
    for moved in tentative[1:]:
        for worker_id in topology.group_by_worker(moved.placement):
            del s.top.nodes[worker_id].members[f"{moved.serial}"]
            s.top.dirty.add(worker_id)
    allocations.discard_growth(s)
    return fits
