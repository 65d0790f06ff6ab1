"""Homes of guaranteed units.

The home of an unused unit contains only free capacity and preemptible work, and its workers keep
a slot for each of its members, so the unit can be reclaimed by stopping that work. Homes are
disjoint. A request that uses a unit is placed within the home of the unit.
"""

import dataclasses
from collections.abc import Callable, Iterable

from lycheegate.core import capacity, policy, topology
from lycheegate.core import placement as placements
from lycheegate.model import releases, resources

__all__ = [
    "GuaranteeState",
    "ShortGuarantee",
    "assign_homes",
    "count_nonpreemptible_slots",
    "find_exact_unit",
    "find_fitting_unit",
    "find_short_unit",
    "has_fitting_unit",
    "list_short_guarantees",
    "move_homes",
    "reassign_homes",
    "release_homes",
    "release_unit",
    "set_home",
    "set_unit_user",
    "set_units",
    "shrink_home",
    "sum_guaranteed_accelerators",
]

_ADJACENCY_ORDER = list(resources.Adjacency)


@dataclasses.dataclass(frozen=True, slots=True)
class ShortGuarantee:
    """Units of a guarantee that have no home.

    Attributes:
        client_account: Client account that has the guarantee.
        guarantee: Name of the guarantee.
        short_units: Number of units without a home.
        reason: ``capacity_lost`` if the usable workers have fewer accelerators than are
            guaranteed, else ``capacity_held``: work that cannot be preempted, or other homes,
            occupy the capacity.
    """

    client_account: str
    guarantee: str
    short_units: int
    reason: str


@dataclasses.dataclass(slots=True, eq=False)
class GuaranteeState:
    """Guaranteed units of a partition.

    Attributes:
        units: Units by key.
        idle: Units with a home and no user, by client account and shape.
        short: Units without a home.
        versions: For each client account, a counter that increases when a unit becomes idle.
    """

    units: dict[tuple[str, str, int], capacity.Unit] = dataclasses.field(default_factory=dict)
    idle: dict[str, dict[resources.Shape, dict[tuple[str, str, int], capacity.Unit]]] = (
        dataclasses.field(default_factory=dict)
    )
    short: dict[tuple[str, str, int], capacity.Unit] = dataclasses.field(default_factory=dict)
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


def set_units(
    state: GuaranteeState,
    top: capacity.Topology,
    guarantees: Iterable[releases.Guarantee],
) -> tuple[list[capacity.Unit], list[capacity.Unit]]:
    """Replaces the units; a unit whose shape is unchanged keeps its home and its user.

    Returns:
        The new units, which have no home yet, and the removed units, whose homes are released.
    """
    wanted = {
        (guarantee.client_account, guarantee.name, number): guarantee.shape
        for guarantee in guarantees
        for number in range(guarantee.count)
    }
    removed = []
    for key, unit in list(state.units.items()):
        if wanted.get(key) != unit.shape:
            set_home(state, top, unit, None)
            del state.units[key]
            del state.short[key]
            removed.append(unit)
    added = []
    for key, shape in wanted.items():
        if key not in state.units:
            unit = state.units[key] = state.short[key] = capacity.Unit(key, shape)
            added.append(unit)
    return added, removed


def sum_guaranteed_accelerators(state: GuaranteeState) -> int:
    """Returns the accelerators of all guaranteed units."""
    return sum(unit.shape.total_accelerators for unit in state.units.values())


def find_exact_unit(
    state: GuaranteeState, client_account: str, shape: resources.Shape
) -> capacity.Unit | None:
    """Returns an idle unit of exactly this shape, or None."""
    units = state.idle.get(client_account, {}).get(shape)
    return next(iter(units.values())) if units else None


def find_fitting_unit(
    state: GuaranteeState, client_account: str, shape: resources.Shape
) -> capacity.Unit | None:
    """Returns an idle unit of the smallest shape that serves the given shape, or None.

    A unit does not serve a request for less than half of its accelerators: the client account
    would lose a guaranteed block to a small task that possibly cannot be stopped.
    """
    shapes = [outer for outer in state.idle.get(client_account, ()) if _serves(outer, shape)]
    if not shapes:
        return None
    smallest = min(shapes, key=lambda s: (s.total_accelerators, s.members, s.adjacency))
    return next(iter(state.idle[client_account][smallest].values()))


def find_short_unit(
    state: GuaranteeState, client_account: str, shape: resources.Shape
) -> capacity.Unit | None:
    """Returns a unit of exactly this shape without a home or a user, or None."""
    for unit in state.short.values():
        if unit.client_account == client_account and unit.shape == shape and unit.user is None:
            return unit
    return None


def has_fitting_unit(state: GuaranteeState, client_account: str, shape: resources.Shape) -> bool:
    """Returns whether any unit of the client account, used or not, serves the shape."""
    return any(
        unit.client_account == client_account and _serves(unit.shape, shape)
        for unit in state.units.values()
    )


def set_home(
    state: GuaranteeState,
    top: capacity.Topology,
    unit: capacity.Unit,
    home: resources.Placement | None,
) -> None:
    """Moves the home of a unit, or releases it if ``home`` is None."""
    topology.release_home(top, unit)
    if home is not None:
        topology.assign_home(top, unit, home)
        state.short.pop(unit.key, None)
    else:
        state.short[unit.key] = unit
    _update_idle_units(state, unit)


def set_unit_user(
    state: GuaranteeState, top: capacity.Topology, unit: capacity.Unit, user: str | None
) -> None:
    """Sets the request that uses a unit, or None, and updates the idle units."""
    topology.set_unit_user(top, unit, user)
    _update_idle_units(state, unit)


def _update_idle_units(state: GuaranteeState, unit: capacity.Unit) -> None:
    shapes = state.idle.setdefault(unit.client_account, {})
    units = shapes.setdefault(unit.shape, {})
    if unit.user is None and unit.home is not None:
        units[unit.key] = unit
        versions = state.versions
        versions[unit.client_account] = versions.get(unit.client_account, 0) + 1
    else:
        units.pop(unit.key, None)
        if not units:
            del shapes[unit.shape]
            if not shapes:
                del state.idle[unit.client_account]


def _serves(outer: resources.Shape, inner: resources.Shape) -> bool:
    return _contains(outer, inner) and 2 * inner.total_accelerators >= outer.total_accelerators


def _contains(outer: resources.Shape, inner: resources.Shape) -> bool:
    return (
        inner.members <= outer.members
        and inner.accelerators <= outer.accelerators
        and (
            inner.members == 1
            or _ADJACENCY_ORDER.index(outer.adjacency) <= _ADJACENCY_ORDER.index(inner.adjacency)
        )
    )


def shrink_home(home: resources.Placement, shape: resources.Shape) -> resources.Placement:
    """Returns the part of a home that a shape served by its unit occupies."""
    return tuple(
        resources.MemberPlacement(
            place.worker_id, place.first if shape.accelerators else 0, shape.accelerators
        )
        for place in home[: shape.members]
    )


def release_unit(state: GuaranteeState, top: capacity.Topology, unit: capacity.Unit) -> None:
    """Marks a unit as unused, and releases its home if that can no longer be reclaimed."""
    set_unit_user(state, top, unit, None)
    if unit.home is not None and not _is_usable(top, unit.home):
        set_home(state, top, unit, None)


def _is_usable(top: capacity.Topology, home: resources.Placement) -> bool:
    for worker_id, (mask, _) in topology.group_by_worker(home).items():
        node = top.nodes.get(worker_id)
        if node is None or not node.usable or mask >> node.worker.accelerators:
            return False
        homes = sum(members for _, _, members in node.homes.values())
        if homes + count_nonpreemptible_slots(node) > node.worker.slots:
            return False
    return True


def assign_homes(
    state: GuaranteeState, top: capacity.Topology, settings: policy.PolicySettings
) -> list[capacity.Unit]:
    """Assigns homes to short units where there is room, larger shapes first.

    Returns:
        The units to which a home was assigned.
    """
    found = []
    failed: set[resources.Shape] = set()
    if not state.short:
        return found
    for unit in sorted(state.short.values(), key=_get_size_order):
        if unit.shape in failed:
            continue
        home = placements.find_placement(top, capacity.View.HOME, unit.shape, settings)
        if home is None:
            failed.add(unit.shape)
            continue
        set_home(state, top, unit, home)
        found.append(unit)
    return found


def reassign_homes(
    state: GuaranteeState, top: capacity.Topology, settings: policy.PolicySettings
) -> None:
    """Reassigns the homes of unused units, if that leaves fewer guaranteed accelerators short."""
    if not state.short:
        return
    idle = [unit for unit in state.units.values() if unit.home is not None and unit.user is None]
    homes = [(unit, unit.home) for unit in idle]
    short_before = _sum_short_accelerators(state)
    for unit in idle:
        set_home(state, top, unit, None)
    found = assign_homes(state, top, settings)
    if _sum_short_accelerators(state) < short_before:
        return
    for unit in found:
        set_home(state, top, unit, None)
    for unit, home in homes:
        set_home(state, top, unit, home)


def _sum_short_accelerators(state: GuaranteeState) -> int:
    return sum(max(1, unit.shape.total_accelerators) for unit in state.short.values())


def _get_size_order(unit: capacity.Unit) -> tuple:
    shape = unit.shape
    return (-shape.accelerators, -shape.members, unit.key)


def release_homes(
    state: GuaranteeState, top: capacity.Topology, placement: resources.Placement
) -> list[tuple[capacity.Unit, resources.Placement]]:
    """Releases the unused homes that conflict with work that cannot be preempted.

    Args:
        state: Units.
        top: Capacity, before that work is recorded.
        placement: Placement of that work.

    Returns:
        The units, which are short now, and their former homes.
    """
    released = []
    for worker_id, (mask, members) in topology.group_by_worker(placement).items():
        node = top.nodes.get(worker_id)
        if node is None:
            continue
        spare = node.worker.slots - count_nonpreemptible_slots(node) - members
        homes = [entry for entry in node.homes.values() if entry[0].user is None]
        # Homes that overlap are released first, then the smallest until there are enough slots.
        homes.sort(key=lambda entry: (not entry[1] & mask, entry[1].bit_count(), entry[0].key))
        home_slots = sum(entry[2] for entry in node.homes.values())
        for unit, home_mask, home_members in homes:
            if not home_mask & mask and home_slots <= spare:
                break
            home_slots -= home_members
            released.append((unit, unit.home))
            set_home(state, top, unit, None)
    return released


def count_nonpreemptible_slots(node: capacity.Node) -> int:
    """Returns the number of slots taken by work outside homes that cannot be preempted."""
    return sum(
        members
        for allocation, _, members in node.members.values()
        if allocation.state is not capacity.AllocationState.STOPPING
        and allocation.unit is None
        and not allocation.request.preemptible
    )


def move_homes(
    state: GuaranteeState,
    top: capacity.Topology,
    place: resources.Placement,
    occupy: Callable[[], None],
    release: Callable[[], None],
    settings: policy.PolicySettings,
) -> bool:
    """Moves unused homes away from a placement for work that cannot be preempted.

    Args:
        state: Units.
        top: Capacity.
        place: The placement.
        occupy: Occupies or reserves the placement.
        release: Undoes ``occupy``.
        settings: Weights of packing and spreading.

    Returns:
        Whether all these homes could be moved; if not, nothing has changed.
    """
    released = release_homes(state, top, place)
    occupy()
    moved = assign_homes(state, top, settings)
    if all(unit.home is not None for unit, _ in released):
        return True
    for unit in moved:
        set_home(state, top, unit, None)
    release()
    for unit, home in released:
        set_home(state, top, unit, home)
    return False


def list_short_guarantees(state: GuaranteeState, top: capacity.Topology) -> list[ShortGuarantee]:
    """Returns the guarantees with units without a home, by client account and name."""
    counts: dict[tuple[str, str], list[capacity.Unit]] = {}
    for unit in state.short.values():
        counts.setdefault(unit.key[:2], []).append(unit)
    topology.refresh(top)
    needed = sum(unit.shape.total_accelerators for unit in state.units.values())
    reason = (
        "capacity_lost" if needed > top.totals[capacity.Total.ACCELERATORS] else "capacity_held"
    )
    return [
        ShortGuarantee(account, name, len(units), reason)
        for (account, name), units in sorted(counts.items())
    ]
