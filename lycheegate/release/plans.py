"""Plans of release notes: the changes that a note makes and the resulting release."""

import dataclasses
import datetime
from collections.abc import Collection, Iterable, Mapping
from typing import Any

import msgspec

from lycheegate.model import releases, resources
from lycheegate.release import capacity as capacity_module
from lycheegate.release import notes

__all__ = [
    "Change",
    "Context",
    "GuaranteeMove",
    "Plan",
    "build_release",
    "changes_anything",
    "list_unplaced",
    "make_plan",
]

GuaranteeKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Data against which a note is checked.

    Attributes:
        release: Newest release.
        capacity: Capacity of the workers that count towards guarantees.
        job_classes: Names of the job classes that callers may be allowed.
        today: Current date in UTC.
    """

    release: releases.Release
    capacity: capacity_module.Capacity
    job_classes: Collection[str]
    today: datetime.date


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One change in a release.

    Attributes:
        kind: ``added``, ``changed`` or ``withdrawn``.
        subject: ``client account``, ``guarantee`` or ``caller``.
        name: Name of the subject; that of a guarantee follows its client account and a slash.
        detail: Description of the change, which never contains a token hash.
    """

    kind: str
    subject: str
    name: str
    detail: str = ""


class GuaranteeMove(msgspec.Struct, frozen=True, kw_only=True):
    """A guarantee whose homes change.

    Attributes:
        client_account: Client account of the guarantee.
        name: Name of the guarantee.
        old: Units, shape and data centre in the newest release; empty if the guarantee is added.
        new: Units, shape and data centre in the plan; empty if the guarantee is withdrawn.
    """

    client_account: str
    name: str
    old: str = ""
    new: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Changes made by a note without errors.

    Attributes:
        release: The release that results from the note.
        changes: All changes, in the order of the note's sections.
        moves: Guarantees whose homes change.
        digest: Digest of the note's changes.
    """

    release: releases.Release
    changes: tuple[Change, ...]
    moves: tuple[GuaranteeMove, ...]
    digest: str


def build_release(note: notes.Note, context: Context) -> releases.Release:
    """Returns the release that results from a note, with data centres assigned.

    Changes and withdrawals of unknown names are skipped, so that the rest of the note can be
    checked.
    """
    old = context.release
    number = old.number + 1
    accounts, callers = dict(old.client_accounts), dict(old.callers)
    guarantees = dict(old.guarantees)
    for name in note.client_accounts.withdrawn:
        accounts.pop(name, None)
        for key in [key for key in guarantees if key[0] == name]:
            del guarantees[key]
    for withdrawn in note.guarantees.withdrawn:
        guarantees.pop((withdrawn.client_account, withdrawn.name), None)
    for name in note.callers.withdrawn:
        callers.pop(name, None)
    for entry in (*note.client_accounts.added, *note.client_accounts.changed):
        base = accounts.get(entry.name)
        if base is None and isinstance(entry, notes.AddedAccount):
            base = releases.ClientAccount(entry.name)
        if base is not None:
            accounts[entry.name] = _apply_entry(base, entry, number)
    for entry in note.guarantees.added:
        key = (entry.client_account, entry.name)
        shape = resources.Shape(entry.members, entry.accelerators, entry.adjacency)
        guarantees[key] = releases.Guarantee(
            *key, shape, entry.count, entry.data_centre or "", number
        )
    for entry in note.guarantees.changed:
        key = (entry.client_account, entry.name)
        if key in guarantees:
            guarantees[key] = _apply_guarantee_entry(guarantees[key], entry, number)
    for entry in note.callers.added:
        blank = releases.Caller(entry.name, entry.client_account, entry.brand_desk, "")
        callers[entry.name] = _apply_entry(blank, entry, number)
    for entry in note.callers.changed:
        if entry.name in callers:
            callers[entry.name] = _apply_entry(callers[entry.name], entry, number)
    _assign_data_centres(guarantees, context.capacity)
    return releases.Release(number, accounts, guarantees, callers, note.note)


def list_unplaced(
    old: releases.Release, new: releases.Release, capacity: capacity_module.Capacity
) -> tuple[dict[GuaranteeKey, int], dict[GuaranteeKey, int]]:
    """Returns the number of units that do not fit, by guarantee.

    Returns:
        The numbers for guarantees that are new or changed, and the numbers for all others.
    """
    changed = [g for key, g in new.guarantees.items() if old.guarantees.get(key) != g]
    kept = [g for key, g in new.guarantees.items() if old.guarantees.get(key) == g]
    remaining = capacity.copy()
    unplaced_kept = remaining.place_all(kept)
    unplaced_changed = remaining.place_all(changed)
    # Homes can be moved, so it is sufficient that all guarantees fit when placed together.
    if unplaced_changed and not capacity.copy().place_all(new.guarantees.values()):
        return {}, {}
    return unplaced_changed, unplaced_kept


def make_plan(note: notes.Note, context: Context) -> Plan:
    """Returns the plan of a note that has no errors."""
    new = build_release(note, context)
    old = context.release
    changes = (
        *_list_changes("client account", old.client_accounts, new.client_accounts),
        *_list_changes("guarantee", old.guarantees, new.guarantees),
        *_list_changes("caller", old.callers, new.callers),
    )
    moves = tuple(
        GuaranteeMove(
            client_account=key[0],
            name=key[1],
            old=_describe_guarantee(old.guarantees.get(key)),
            new=_describe_guarantee(new.guarantees.get(key)),
        )
        for key in sorted({*old.guarantees, *new.guarantees})
        if _describe_guarantee(old.guarantees.get(key))
        != _describe_guarantee(new.guarantees.get(key))
    )
    return Plan(new, changes, moves, notes.compute_digest(note))


def changes_anything(base: Any, entry: msgspec.Struct) -> bool:
    """Returns whether an entry under ``changed`` changes anything."""
    if isinstance(entry, notes.ChangedGuarantee):
        return _apply_guarantee_entry(base, entry, base.since_release) != base
    return _apply_entry(base, entry, base.since_release) != base


def _apply_entry(base: Any, entry: msgspec.Struct, number: int) -> Any:
    values = {}
    for field in msgspec.structs.fields(entry):
        value = getattr(entry, field.name)
        if value is msgspec.UNSET:
            continue
        if isinstance(value, list):
            value = tuple(value)
        values[field.name] = value.isoformat() if isinstance(value, datetime.date) else value
    return dataclasses.replace(base, **values, since_release=number)


def _apply_guarantee_entry(
    base: releases.Guarantee, entry: notes.ChangedGuarantee, number: int
) -> releases.Guarantee:
    def choose(new: Any, old: Any) -> Any:
        return old if new is msgspec.UNSET else new

    shape = resources.Shape(
        choose(entry.members, base.shape.members),
        choose(entry.accelerators, base.shape.accelerators),
        choose(entry.adjacency, base.shape.adjacency),
    )
    return dataclasses.replace(
        base,
        shape=shape,
        count=choose(entry.count, base.count),
        data_centre=choose(entry.data_centre, base.data_centre),
        since_release=number,
    )


def _assign_data_centres(
    guarantees: dict[GuaranteeKey, releases.Guarantee], capacity: capacity_module.Capacity
) -> None:
    """Assigns a data centre to each guarantee that has none.

    Chooses the one with the most free capacity among those in which the guarantee fits, or among
    all if it fits in none.
    """
    remaining = capacity.copy()
    remaining.place_all(g for g in guarantees.values() if g.data_centre)
    for key, guarantee in guarantees.items():
        if guarantee.data_centre:
            continue
        candidates = remaining.list_data_centres()
        chosen = next(
            (name for name in candidates if _fits(remaining, guarantee, name)),
            candidates[0] if candidates else "",
        )
        guarantees[key] = dataclasses.replace(guarantee, data_centre=chosen)
        remaining.place(guarantees[key])


def _fits(
    remaining: capacity_module.Capacity, guarantee: releases.Guarantee, data_centre: str
) -> bool:
    return remaining.copy().place(dataclasses.replace(guarantee, data_centre=data_centre)) == 0


def _list_changes(subject: str, old: Mapping[Any, Any], new: Mapping[Any, Any]) -> Iterable[Change]:
    for key in sorted({*old, *new}):
        name = key if isinstance(key, str) else "/".join(key)
        old_item, new_item = old.get(key), new.get(key)
        if old_item is None:
            yield Change(kind="added", subject=subject, name=name, detail=_describe(new_item))
        elif new_item is None:
            yield Change(kind="withdrawn", subject=subject, name=name, detail=_describe(old_item))
        else:
            detail = _describe_difference(old_item, new_item)
            if detail:
                yield Change(kind="changed", subject=subject, name=name, detail=detail)


def _describe(item: Any) -> str:
    if isinstance(item, releases.Guarantee):
        return _describe_guarantee(item)
    if isinstance(item, releases.Caller):
        return f"{item.client_account}, {item.brand_desk}"
    quota = "no quota" if item.quota_accelerators is None else f"quota {item.quota_accelerators}"
    return f"{quota}, weight {item.weight:g}"


def _describe_guarantee(guarantee: releases.Guarantee | None) -> str:
    if guarantee is None:
        return ""
    shape = guarantee.shape
    unit = f"{shape.members} x {shape.accelerators} accelerators in one {_format(shape.adjacency)}"
    return f"{guarantee.count} x ({unit}) at {guarantee.data_centre}"


def _describe_difference(old_item: Any, new_item: Any) -> str:
    parts = []
    for field in dataclasses.fields(old_item):
        old, new = getattr(old_item, field.name), getattr(new_item, field.name)
        if old == new or field.name == "since_release":
            continue
        if field.name == "token_hash":
            parts.append("new token")
        elif field.name == "shape":
            parts.append(f"shape {_format_shape(old)} -> {_format_shape(new)}")
        else:
            parts.append(f"{field.name} {_format(old)} -> {_format(new)}")
    return ", ".join(parts)


def _format_shape(shape: resources.Shape) -> str:
    return f"{shape.members} x {shape.accelerators} in one {_format(shape.adjacency)}"


def _format(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, resources.Adjacency):
        return value.replace("_", " ")
    if isinstance(value, tuple):
        return "+".join(value) or "all"
    return f"{value:g}" if isinstance(value, float) else str(value)
