"""Checks of a scheduling state as a whole, for tests."""

from lycheegate.core import capacity, guarantees, topology

__all__ = ["list_violations"]

_STOPPING = capacity.AllocationState.STOPPING
_PENDING = capacity.AllocationState.PENDING


def list_violations(s) -> list[str]:
    """Returns violations found in a ``scheduling.SchedulingState``."""
    found: list[str] = []
    topology.refresh(s.top)
    for node in s.top.nodes.values():
        _check_node(node, found)
    _check_homes(s, found)
    _check_indexes(s.top, found)
    _check_accounts(s, found)
    for request_id in s.reservations:
        if request_id not in s.queue.places:
            found.append(f"request {request_id} has a reservation and does not wait")
    large = [rid for account in s.queue.accounts.values() for rid in account.large.values()]
    if set(large) != s.queue.waits.keys() & s.queue.places.keys():
        found.append("the list of large waiting jobs is wrong")
    for request_id, allocation in s.allocations.items():
        if request_id in s.queue.places:
            found.append(f"request {request_id} waits and has an allocation")
        if (allocation.state is _PENDING) != (request_id in s.pending):
            found.append(f"request {request_id} is wrongly listed as pending")
        for place in allocation.placement:
            node = s.top.nodes.get(place.worker_id)
            if node is None or request_id not in node.members:
                found.append(f"request {request_id} is not recorded on {place.worker_id}")
    return found


def _check_node(node: capacity.Node, found: list[str]) -> None:
    if not node.present:
        return
    name = node.worker.worker_id
    physical = logical = physical_slots = logical_slots = hard = 0
    for allocation, mask, members in node.members.values():
        if allocation.state is not _PENDING:
            if physical & mask:
                found.append(f"worker {name}: accelerators are occupied twice")
            physical |= mask
            physical_slots += members
        if allocation.state is not _STOPPING:
            if logical & mask:
                found.append(f"worker {name}: accelerators are kept twice")
            logical |= mask
            logical_slots += members
            if not allocation.request.preemptible and allocation.unit is None:
                hard |= mask
    if max(physical_slots, logical_slots) > node.worker.slots:
        found.append(f"worker {name}: more slots are taken than it has")
    if (physical | logical) >> node.worker.accelerators:
        found.append(f"worker {name}: more accelerators are taken than it has")
    homes = home_slots = 0
    for unit, mask, members in node.homes.values():
        if homes & mask:
            found.append(f"worker {name}: homes overlap")
        homes |= mask
        home_slots += members
        if unit.user is None and (not node.usable or mask >> node.worker.accelerators):
            found.append(f"worker {name}: home of {unit.key} cannot be used")
    if homes & hard:
        found.append(f"worker {name}: work that cannot be preempted lies in a home")
    if homes and home_slots + guarantees.count_nonpreemptible_slots(node) > node.worker.slots:
        found.append(f"worker {name}: slots of homes are taken")
    for reservation, mask, _ in node.blocks.values():
        if mask & homes and not reservation.request.preemptible:
            found.append(f"worker {name}: block of {reservation.request.request_id} in a home")


def _check_homes(s, found: list[str]) -> None:
    for key, unit in s.guaranteed.units.items():
        if (unit.home is None) != (key in s.guaranteed.short):
            found.append(f"unit {key} is wrongly listed as short")
        idle = s.guaranteed.idle.get(unit.client_account, {}).get(unit.shape, {})
        if (unit.home is not None and unit.user is None) != (key in idle):
            found.append(f"unit {key} is wrongly listed as idle")
        if unit.user is not None:
            allocation = s.allocations.get(unit.user)
            if allocation is None or allocation.unit is not unit:
                found.append(f"unit {key} has a user that does not use it")
            elif not _lies_within(allocation.placement, unit.home):
                found.append(f"user of unit {key} lies outside its home")


def _lies_within(inner, outer) -> bool:
    outer_by_worker = topology.group_by_worker(outer)
    for worker_id, (mask, members) in topology.group_by_worker(inner).items():
        outer_mask, outer_members = outer_by_worker.get(worker_id, (0, 0))
        if mask & ~outer_mask or members > outer_members:
            return False
    return True


def _check_indexes(top: capacity.Topology, found: list[str]) -> None:
    fresh = capacity.Topology()
    for node in top.nodes.values():
        if node.present:
            topology.add_node(fresh, node.worker)
            copy = fresh.nodes[node.worker.worker_id]
            copy.placeable = node.placeable
            copy.members, copy.homes, copy.blocks = node.members, node.homes, node.blocks
    topology.refresh(fresh)
    if fresh.totals != top.totals:
        found.append(f"totals are {top.totals}, not {fresh.totals}")
    for name in ("counts", "largest", "runs"):
        for view in capacity.View:
            have = {k: list(v) for k, v in getattr(top, name)[view].items() if v}
            want = {k: list(v) for k, v in getattr(fresh, name)[view].items() if v}
            if have != want:
                found.append(f"index {name} of {view.name} is {have}, not {want}")


def _check_accounts(s, found: list[str]) -> None:
    for name, account in s.queue.accounts.items():
        held = [a for a in s.allocations.values() if a.request.client_account == name]
        in_use = sum(a.request.shape.total_accelerators for a in held)
        stopping = [a for a in held if a.state is _STOPPING]
        if sum(a.request.shape.total_accelerators for a in stopping) != account.stopping:
            found.append(f"client account {name} has {account.stopping} being stopped")
        if {a.request.request_id for a in held} != account.held.keys():
            found.append(f"client account {name} lists other allocations than it has")
        if in_use != account.in_use:
            found.append(f"client account {name} has {account.in_use} in use, not {in_use}")
