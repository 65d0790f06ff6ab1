"""Consistency checks of a scheduling state, for tests."""

from lycheegate.core import capacity, guarantees, topology

__all__ = ["list_violations"]

_STOPPING = capacity.AllocationState.STOPPING
_PENDING = capacity.AllocationState.PENDING


def list_violations(s) -> list[str]:
    """Returns a message for each violation in a ``scheduling.SchedulingState``."""
    found: list[str] = []
    topology.refresh(s.top)
    for node in s.top.nodes.values():
        _check_node(node, found)
    _check_homes(s, found)
    _check_indexes(s.top, found)
    _check_accounts(s, found)
    for request_id in s.reservations:
        if request_id not in s.queue.places:
            found.append(f"request {request_id} has a reservation but is not waiting")
    large = [rid for account in s.queue.accounts.values() for rid in account.large.values()]
    if set(large) != s.queue.waits.keys() & s.queue.places.keys():
        found.append(
            f"client accounts list large waiting jobs {set(large)}, "
            f"expected {s.queue.waits.keys() & s.queue.places.keys()}"
        )
    for request_id, allocation in s.allocations.items():
        if request_id in s.queue.places:
            found.append(f"request {request_id} is waiting but has an allocation")
        if (allocation.state is _PENDING) != (request_id in s.pending):
            found.append(
                f"request {request_id} is {allocation.state.name}, "
                f"but listed as pending: {request_id in s.pending}"
            )
        for place in allocation.placement:
            node = s.top.nodes.get(place.worker_id)
            if node is None or request_id not in node.members:
                found.append(f"request {request_id} is missing on worker {place.worker_id}")
    return found


def _check_node(node: capacity.Node, found: list[str]) -> None:
    if not node.present:
        return
    name = node.worker.worker_id
    physical = logical = physical_slots = logical_slots = nonpreemptible = 0
    for allocation, mask, members in node.members.values():
        if allocation.state is not _PENDING:
            if physical & mask:
                found.append(f"worker {name}: accelerators {physical & mask:#x} are occupied twice")
            physical |= mask
            physical_slots += members
        if allocation.state is not _STOPPING:
            if logical & mask:
                found.append(f"worker {name}: accelerators {logical & mask:#x} are allocated twice")
            logical |= mask
            logical_slots += members
            if not allocation.request.preemptible and allocation.unit is None:
                nonpreemptible |= mask
    if max(physical_slots, logical_slots) > node.worker.slots:
        found.append(
            f"worker {name}: {physical_slots} slots are occupied and {logical_slots} allocated, "
            f"but it has {node.worker.slots}"
        )
    if (physical | logical) >> node.worker.accelerators:
        found.append(
            f"worker {name}: accelerators {physical | logical:#x} are taken, "
            f"but it has {node.worker.accelerators}"
        )
    homes = home_slots = 0
    for unit, mask, members in node.homes.values():
        if homes & mask:
            found.append(f"worker {name}: accelerators {homes & mask:#x} are in two homes")
        homes |= mask
        home_slots += members
        if unit.user is None and (not node.usable or mask >> node.worker.accelerators):
            found.append(f"worker {name}: unit {unit.key} is idle, but its home is not usable")
    if homes & nonpreemptible:
        found.append(
            f"worker {name}: accelerators {homes & nonpreemptible:#x} of homes "
            "hold non-preemptible work"
        )
    if homes and home_slots + guarantees.count_nonpreemptible_slots(node) > node.worker.slots:
        found.append(
            f"worker {name}: homes need {home_slots} slots and non-preemptible work "
            f"{guarantees.count_nonpreemptible_slots(node)}, but it has {node.worker.slots}"
        )
    for reservation, mask, _ in node.blocks.values():
        if mask & homes and not reservation.request.preemptible:
            found.append(
                f"worker {name}: reserved block of {reservation.request.request_id} "
                f"overlaps accelerators {mask & homes:#x} of homes"
            )


def _check_homes(s, found: list[str]) -> None:
    for key, unit in s.guaranteed.units.items():
        if (unit.home is None) != (key in s.guaranteed.short):
            found.append(
                f"unit {key} has home {unit.home}, but listed as short: {key in s.guaranteed.short}"
            )
        idle = s.guaranteed.idle.get(unit.client_account, {}).get(unit.shape, {})
        if (unit.home is not None and unit.user is None) != (key in idle):
            found.append(
                f"unit {key} has home {unit.home} and user {unit.user}, "
                f"but listed as idle: {key in idle}"
            )
        if unit.user is not None:
            allocation = s.allocations.get(unit.user)
            if allocation is None or allocation.unit is not unit:
                found.append(f"unit {key} has user {unit.user}, which does not use it")
            elif not _lies_within(allocation.placement, unit.home):
                found.append(f"unit {key}: user {unit.user} is placed outside its home")


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
        found.append(f"totals are {top.totals}, expected {fresh.totals}")
    for name in ("counts", "largest", "runs"):
        for view in capacity.View:
            have = {k: list(v) for k, v in getattr(top, name)[view].items() if v}
            want = {k: list(v) for k, v in getattr(fresh, name)[view].items() if v}
            if have != want:
                found.append(f"index {name} of {view.name} is {have}, expected {want}")


def _check_accounts(s, found: list[str]) -> None:
    for name, account in s.queue.accounts.items():
        held = [a for a in s.allocations.values() if a.request.client_account == name]
        in_use = sum(a.request.shape.total_accelerators for a in held)
        stopping = [a for a in held if a.state is _STOPPING]
        if sum(a.request.shape.total_accelerators for a in stopping) != account.stopping:
            found.append(
                f"client account {name} counts {account.stopping} accelerators being stopped, "
                f"expected {sum(a.request.shape.total_accelerators for a in stopping)}"
            )
        if {a.request.request_id for a in held} != account.held.keys():
            found.append(
                f"client account {name} lists allocations {set(account.held)}, "
                f"expected {[a.request.request_id for a in held]}"
            )
        if in_use != account.in_use:
            found.append(
                f"client account {name} counts {account.in_use} accelerators in use, "
                f"expected {in_use}"
            )
