"""Ways to start a waiting request, in order of preference."""

from lycheegate.core import allocations, capacity, guarantees, limits, placement, queueing, topology
from lycheegate.model import requests, resources

__all__ = ["MAX_TRIALS", "get_versions", "try_start"]

MAX_TRIALS = 4
"""Attempts to move homes or small work in one pass; each takes as long as many starts."""


def try_start(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request, or stops work for it; returns whether it has left the queue."""
    if not limits.is_within_quota(s, group):
        if group.kind.is_urgent:
            limits.clear_quota(s, request, group, out)
        return False
    exact = None
    if group.client_account in s.guaranteed.idle:
        exact = guarantees.find_exact_unit(s.guaranteed, group.client_account, group.shape)
        if exact is not None and allocations.is_free(s, exact.home):
            return allocations.occupy(s, request, group, exact.home, exact, now_s, out)
    if exact is None and group.kind.is_blocked:
        return _reclaim(s, request, group, now_s, out)
    in_reserve = limits.is_within_reserve(s, group)
    if in_reserve or exact is not None:
        place = _find_free(s, group)
        if place is not None:
            if exact is None or group.preemptible:
                return allocations.occupy(s, request, group, place, None, now_s, out)
            guarantees.set_home(s.guaranteed, s.top, exact, place)
            return allocations.occupy(s, request, group, place, exact, now_s, out)
    if _reclaim(s, request, group, now_s, out):
        return True
    if _make_room(s, request, group, in_reserve, now_s, out):
        return True
    group.kind.is_blocked = True
    if s.trials < MAX_TRIALS:
        group.kind.failed_at = get_versions(s, group.kind)
    return False


def get_versions(s: allocations.SchedulingState, kind: queueing.Kind) -> tuple[int, ...]:
    """Returns versions of all that a start depends on apart from the client account."""
    reserve = s.reserve_version if kind.is_limited else 0
    return s.size_versions.get(kind.shape.accelerators, 0), reserve, s.version


def _reclaim(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request in the home of an idle unit, stopping the work that borrows it."""
    if group.client_account not in s.guaranteed.idle:
        return False
    unit = guarantees.find_exact_unit(
        s.guaranteed, group.client_account, group.shape
    ) or guarantees.find_fitting_unit(s.guaranteed, group.client_account, group.shape)
    if unit is None:
        return False
    place = guarantees.cut_home(unit.home, group.shape)
    return allocations.occupy(s, request, group, place, unit, now_s, out)


def _make_room(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    in_reserve: bool,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Starts a request by moving homes, by preemption, or by moving small work."""
    may_move_homes = in_reserve and not group.preemptible and s.trials < MAX_TRIALS
    if may_move_homes and allocations.move_homes(s, request, group, now_s, out):
        return True
    if group.kind.is_urgent:
        view = capacity.View.URGENT_HOME if group.preemptible else capacity.View.URGENT
        place = allocations.find(s, view, group.shape)
        if place is not None:
            return allocations.occupy(s, request, group, place, None, now_s, out)
    return in_reserve and _move_small_work(s, request, group, now_s, out)


def _find_free(s: allocations.SchedulingState, group: queueing.Group) -> resources.Placement | None:
    if group.kind.is_urgent and group.preemptible:
        # Keeps homes and reserved blocks clear while there is other room.
        place = allocations.find(s, capacity.View.OPEN, group.shape)
        if place is not None:
            return place
    if group.preemptible and not group.immune:
        return allocations.find(s, capacity.View.BORROW, group.shape)
    place = allocations.find(s, capacity.View.OPEN, group.shape)
    if place is None and group.preemptible:
        # Work that nothing but a guarantee stops must not enter reserved blocks.
        place = allocations.find(s, capacity.View.MOVABLE, group.shape)
    return place


def _move_small_work(
    s: allocations.SchedulingState,
    request: requests.Request,
    group: queueing.Group,
    now_s: float,
    out: list[allocations.Start | allocations.Preempt],
) -> bool:
    """Stops small preemptible work that fits elsewhere, if that opens room and pays.

    It pays if the work is at most ``fragmentation_weight`` of the accelerators that the request
    gets.
    """
    limit = s.settings.fragmentation_weight * group.size
    if limit < 1 or s.trials >= MAX_TRIALS:
        return False
    if group.shape in s.unmovable:
        return False
    s.trials += 1
    allocations.refresh(s)
    place = placement.find_cheapest(s.top, capacity.View.CLEAR, group.shape)
    if place is not None:
        clear = capacity.Stopping.CLEAR
        victims = allocations.collect_victims(s, place, clear)
        size = sum(max(1, victim.request.shape.total_accelerators) for victim in victims)
        if size <= limit and _fit_elsewhere(s, request, place, victims):
            return allocations.occupy(s, request, group, place, None, now_s, out, clear)
    s.unmovable.add(group.shape)
    return False


def _fit_elsewhere(
    s: allocations.SchedulingState,
    request: requests.Request,
    place: resources.Placement,
    victims: list[capacity.Allocation],
) -> bool:
    """Returns whether all victims fit into free capacity once the request has its place."""
    trials = [allocations.create_allocation(s, request, place, False)]
    topology.add_allocation(s.top, trials[0])
    fits = True
    for victim in victims:
        other = placement.find_placement(
            s.top, capacity.View.BORROW, victim.request.shape, s.settings
        )
        if other is None:
            fits = False
            break
        # Stands for the victim at its new place; the old place stays occupied for now.
        moved = allocations.create_allocation(s, victim.request, other, False)
        trials.append(moved)
        for worker_id, (mask, members) in topology.group_by_worker(other).items():
            s.top.nodes[worker_id].members[f"{moved.serial}"] = (moved, mask, members)
            s.top.dirty.add(worker_id)
    topology.remove_allocation(s.top, trials[0])
    for moved in trials[1:]:
        for worker_id in topology.group_by_worker(moved.placement):
            del s.top.nodes[worker_id].members[f"{moved.serial}"]
            s.top.dirty.add(worker_id)
    allocations.forget_growth(s)
    return fits
