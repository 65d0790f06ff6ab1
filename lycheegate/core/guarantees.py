"""Homes of guaranteed units.

The home of a unit that is not in use holds only free capacity and preemptible work, and a slot of
each of its workers is left for it, so the unit can be reclaimed by stopping that work. Homes are
disjoint. A request of the client account that uses a unit lies within its home.
"""

import dataclasses
from collections.abc import Callable, Iterable

from lycheegate.core import capacity, policy, topology
from lycheegate.core import placement as placements
from lycheegate.model import releases, resources

__all__ = [
    "GuaranteeState",
    "ShortGuarantee",
    "count_nonpreemptible_slots",
    "cut_home",
    "find_exact_unit",
    "find_fitting_unit",
    "find_short_unit",
    "has_fitting_unit",
    "list_short",
    "make_room",
    "rehome",
    "release_unit",
    "repack",
    "set_home",
    "set_units",
    "total_guaranteed",
    "use_unit",
    "yield_homes",
]

_ADJACENCY_ORDER = list(resources.Adjacency)


@dataclasses.dataclass(frozen=True, slots=True)
class ShortGuarantee:
    """Units of a guarantee that have no home.

    Attributes:
        client_account: Whose guarantee it is.
        guarantee: Its name.
        short_units: Units without a home.
        reason: ``capacity_lost`` if usable workers are too few in any case, else
            ``capacity_held`` by work that cannot be preempted or by other homes.
    """

    client_account: str
    guarantee: str
    short_units: int
    reason: str


@dataclasses.dataclass(slots=True, eq=False)
class GuaranteeState:
    """All units of the partition.

    Attributes:
        units: Units by key.
        idle: Units with a home and no user, by client account and shape.
        short: Units without a home.
        versions: For each client account, a number that grows when a unit becomes idle.
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
        New units, which have no home yet, and removed units, whose homes are gone.
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


def total_guaranteed(state: GuaranteeState) -> int:
    """Returns the accelerators of all guaranteed units."""
    return sum(unit.shape.total_accelerators for unit in state.units.values())


def find_exact_unit(
    state: GuaranteeState, client_account: str, shape: resources.Shape
) -> capacity.Unit | None:
    """Returns a unit of exactly this shape that has a home and no user."""
    units = state.idle.get(client_account, {}).get(shape)
    return next(iter(units.values())) if units else None


def find_fitting_unit(
    state: GuaranteeState, client_account: str, shape: resources.Shape
) -> capacity.Unit | None:
    """Returns a unit with a home and no user of the smallest shape that holds the given one.

    A request that needs less than half of a unit does not use it: its client account would lose
    a guaranteed block to a small task that may not be stoppable.
    """
    shapes = [outer for outer in state.idle.get(client_account, ()) if _serves(outer, shape)]
    if not shapes:
        return None
    smallest = min(shapes, key=lambda s: (s.total_accelerators, s.members, s.adjacency))
    return next(iter(state.idle[client_account][smallest].values()))


def find_short_unit(
    state: GuaranteeState, client_account: str, shape: resources.Shape
) -> capacity.Unit | None:
    """Returns a unit of exactly this shape that has no home and no user."""
    for unit in state.short.values():
        if unit.client_account == client_account and unit.shape == shape and unit.user is None:
            return unit
    return None


def has_fitting_unit(state: GuaranteeState, client_account: str, shape: resources.Shape) -> bool:
    """Returns whether some unit of the client account, used or not, serves the shape."""
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
    """Moves a unit's home, or takes it away if ``home`` is None."""
    topology.detach_home(top, unit)
    if home is not None:
        topology.attach_home(top, unit, home)
        state.short.pop(unit.key, None)
    else:
        state.short[unit.key] = unit
    _index(state, unit)


def use_unit(
    state: GuaranteeState, top: capacity.Topology, unit: capacity.Unit, user: str | None
) -> None:
    """Marks a unit as used by a request, or as unused."""
    topology.mark_unit(top, unit, user)
    _index(state, unit)


def _index(state: GuaranteeState, unit: capacity.Unit) -> None:
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
    return _holds(outer, inner) and 2 * inner.total_accelerators >= outer.total_accelerators


def _holds(outer: resources.Shape, inner: resources.Shape) -> bool:
    return (
        inner.members <= outer.members
        and inner.accelerators <= outer.accelerators
        and (
            inner.members == 1
            or _ADJACENCY_ORDER.index(outer.adjacency) <= _ADJACENCY_ORDER.index(inner.adjacency)
        )
    )


def cut_home(home: resources.Placement, shape: resources.Shape) -> resources.Placement:
    """Returns the part of a home that a shape held by it takes."""
    return tuple(
        resources.MemberPlacement(
            place.worker_id, place.first if shape.accelerators else 0, shape.accelerators
        )
        for place in home[: shape.members]
    )


def release_unit(state: GuaranteeState, top: capacity.Topology, unit: capacity.Unit) -> None:
    """Marks a unit as unused, and takes its home away if it can no longer be reclaimed."""
    use_unit(state, top, unit, None)
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


def rehome(
    state: GuaranteeState, top: capacity.Topology, settings: policy.PolicySettings
) -> list[capacity.Unit]:
    """Gives homes to short units, larger shapes first.

    Returns:
        The units that got one.
    """
    found = []
    failed: set[resources.Shape] = set()
    if not state.short:
        return found
    for unit in sorted(state.short.values(), key=_order_by_size):
        if unit.shape in failed:
            continue
        home = placements.find_placement(top, capacity.View.HOME, unit.shape, settings)
        if home is None:
            failed.add(unit.shape)
            continue
        set_home(state, top, unit, home)
        found.append(unit)
    return found


def repack(state: GuaranteeState, top: capacity.Topology, settings: policy.PolicySettings) -> None:
    """Places all homes not in use anew, if that leaves less of the guarantees short."""
    if not state.short:
        return
    idle = [unit for unit in state.units.values() if unit.home is not None and unit.user is None]
    homes = [(unit, unit.home) for unit in idle]
    short_before = _sum_short(state)
    for unit in idle:
        set_home(state, top, unit, None)
    found = rehome(state, top, settings)
    if _sum_short(state) < short_before:
        return
    for unit in found:
        set_home(state, top, unit, None)
    for unit, home in homes:
        set_home(state, top, unit, home)


def _sum_short(state: GuaranteeState) -> int:
    return sum(max(1, unit.shape.total_accelerators) for unit in state.short.values())


def _order_by_size(unit: capacity.Unit) -> tuple:
    shape = unit.shape
    return (-shape.accelerators, -shape.members, unit.key)


def yield_homes(
    state: GuaranteeState, top: capacity.Topology, placement: resources.Placement
) -> list[tuple[capacity.Unit, resources.Placement]]:
    """Takes unused homes away that are in the way of work that cannot be preempted there.

    Args:
        state: Units.
        top: Capacity, before that work is attached.
        placement: Where the work will lie.

    Returns:
        The units, now short, and their former homes.
    """
    yielded = []
    for worker_id, (mask, members) in topology.group_by_worker(placement).items():
        node = top.nodes.get(worker_id)
        if node is None:
            continue
        spare = node.worker.slots - count_nonpreemptible_slots(node) - members
        homes = [entry for entry in node.homes.values() if entry[0].user is None]
        # Homes that overlap come first, then the smallest, until the slots suffice.
        homes.sort(key=lambda entry: (not entry[1] & mask, entry[1].bit_count(), entry[0].key))
        home_slots = sum(entry[2] for entry in node.homes.values())
        for unit, home_mask, home_members in homes:
            if not home_mask & mask and home_slots <= spare:
                break
            home_slots -= home_members
            yielded.append((unit, unit.home))
            set_home(state, top, unit, None)
    return yielded


def count_nonpreemptible_slots(node: capacity.Node) -> int:
    """Returns the slots of work outside homes that cannot be preempted."""
    return sum(
        members
        for allocation, _, members in node.members.values()
        if allocation.state is not capacity.AllocationState.STOPPING
        and allocation.unit is None
        and not allocation.request.preemptible
    )


def make_room(
    state: GuaranteeState,
    top: capacity.Topology,
    place: resources.Placement,
    attach: Callable[[], None],
    detach: Callable[[], None],
    settings: policy.PolicySettings,
) -> bool:
    """Moves unused homes off a place that work which cannot be preempted is to get.

    Args:
        state: Units.
        top: Capacity.
        place: The place.
        attach: Occupies or reserves the place.
        detach: Undoes ``attach``.
        settings: Weights of packing.

    Returns:
        Whether that was possible; if not, nothing has changed.
    """
    yielded = yield_homes(state, top, place)
    attach()
    moved = rehome(state, top, settings)
    if all(unit.home is not None for unit, _ in yielded):
        return True
    for unit in moved:
        set_home(state, top, unit, None)
    detach()
    for unit, home in yielded:
        set_home(state, top, unit, home)
    return False


def list_short(state: GuaranteeState, top: capacity.Topology) -> list[ShortGuarantee]:
    """Returns guarantees with units that have no home, in order of name."""
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
