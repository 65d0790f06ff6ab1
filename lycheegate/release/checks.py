"""Checks of a release note against the newest release, the workers and the settings."""

import difflib
from collections.abc import Collection, Iterable

from lycheegate.keys import tokens
from lycheegate.model import releases
from lycheegate.release import notes, plans
from lycheegate.utils import documents, findings

__all__ = ["check_note"]

_ACCOUNTS = "client_accounts"
_SECTIONS = ("added", "changed", "withdrawn")


def check_note(document: documents.Document, context: plans.Context) -> list[findings.Finding]:
    """Returns all findings on a note, ordered by location.

    Args:
        document: Result of ``lycheegate.release.notes.parse_note``; findings are added to it.
        context: Release, capacity and settings against which the note is checked.
    """
    note = document.value
    if note is not None:
        _check_base(document, note, context)
        _check_duplicates(document, note)
        _check_accounts(document, note, context)
        _check_guarantees(document, note, context)
        _check_callers(document, note, context)
        _check_tokens(document, note, context)
        _check_capacity(document, note, context)
    return findings.sort_findings(document.collected)


def _check_base(document: documents.Document, note: notes.Note, context: plans.Context) -> None:
    newest = context.release.number
    if note.base is not None and note.base < newest:
        message = f"base {note.base} is no longer the newest release"
        document.add_error(("base",), "base_outdated", message, f"{newest}")
    elif note.base is not None and note.base > newest:
        message = f"release {note.base} does not exist"
        document.add_error(("base",), "base_unknown", message, f"{newest}")
    stated = any(
        getattr(getattr(note, section), part)
        for section in (_ACCOUNTS, "guarantees", "callers")
        for part in _SECTIONS
    )
    if not stated and not document.incomplete and not document.collected:
        document.add_error((), "no_changes", "the note changes nothing", "at least one change")


def _check_duplicates(document: documents.Document, note: notes.Note) -> None:
    """Reports names that a section contains twice, in the same list or in different lists."""
    for section in (_ACCOUNTS, "guarantees", "callers"):
        first: dict[str, documents.Path] = {}
        for part in _SECTIONS:
            for index, entry in enumerate(getattr(getattr(note, section), part)):
                path = (section, part, index)
                name = _get_entry_name(entry)
                earlier = first.setdefault(name, path)
                if earlier != path:
                    assigned_twice = section == "callers" and "withdrawn" not in (part, earlier[1])
                    code = "caller_claimed_twice" if assigned_twice else "stated_twice"
                    line = document.find_location(earlier).line
                    message = f"{name!r} is also listed on line {line}"
                    document.add_error(_get_name_path(document, path), code, message, "one entry")


def _check_accounts(document: documents.Document, note: notes.Note, context: plans.Context) -> None:
    known = context.release.client_accounts
    reassigned = {
        entry.name for entry in note.callers.changed if isinstance(entry.client_account, str)
    }
    removed = {*note.callers.withdrawn, *reassigned}
    for index, entry in enumerate(note.client_accounts.added):
        if entry.name in known:
            path = (_ACCOUNTS, "added", index, "name")
            message = f"client account {entry.name!r} already exists"
            document.add_error(path, "account_exists", message, "an entry under changed")
    for index, entry in enumerate(note.client_accounts.changed):
        path = (_ACCOUNTS, "changed", index, "name")
        if _check_exists(document, path, "account", entry.name, known):
            _warn_unchanged(document, path, known[entry.name], entry)
    for index, name in enumerate(note.client_accounts.withdrawn):
        path = (_ACCOUNTS, "withdrawn", index)
        if not _check_exists(document, path, "account", name, known):
            continue
        callers = context.release.callers.values()
        remaining = sorted(
            c.name for c in callers if c.client_account == name and c.name not in removed
        )
        if remaining and not _is_incomplete(document, "callers"):
            message = f"client account {name!r} still has callers: {', '.join(remaining)}"
            allowed = "a note that also withdraws or reassigns these callers"
            document.add_error(path, "callers_left", message, allowed)


def _check_guarantees(
    document: documents.Document, note: notes.Note, context: plans.Context
) -> None:
    known = {"/".join(key): g for key, g in context.release.guarantees.items()}
    for index, entry in enumerate(note.guarantees.added):
        path = ("guarantees", "added", index)
        if _get_entry_name(entry) in known:
            message = f"guarantee {_get_entry_name(entry)!r} already exists"
            document.add_error(
                (*path, "name"), "guarantee_exists", message, "an entry under changed"
            )
        _check_account_exists(document, (*path, "client_account"), entry, note, context)
    for index, entry in enumerate(note.guarantees.changed):
        path = ("guarantees", "changed", index)
        if _check_exists(document, (*path, "name"), "guarantee", _get_entry_name(entry), known):
            _check_account_exists(document, (*path, "client_account"), entry, note, context)
            _warn_unchanged(document, (*path, "name"), known[_get_entry_name(entry)], entry)
    for index, entry in enumerate(note.guarantees.withdrawn):
        path = ("guarantees", "withdrawn", index, "name")
        _check_exists(document, path, "guarantee", _get_entry_name(entry), known)


def _check_callers(document: documents.Document, note: notes.Note, context: plans.Context) -> None:
    known = context.release.callers
    for index, entry in enumerate(note.callers.added):
        path = ("callers", "added", index)
        if entry.name in known:
            message = f"caller {entry.name!r} acts for {known[entry.name].client_account!r}"
            allowed = "an entry under changed"
            document.add_error((*path, "name"), "caller_claimed_twice", message, allowed)
        _check_caller(document, path, entry, note, context)
    for index, entry in enumerate(note.callers.changed):
        path = ("callers", "changed", index)
        if _check_exists(document, (*path, "name"), "caller", entry.name, known):
            _warn_unchanged(document, (*path, "name"), known[entry.name], entry)
        _check_caller(document, path, entry, note, context)
    for index, name in enumerate(note.callers.withdrawn):
        _check_exists(document, ("callers", "withdrawn", index), "caller", name, known)


def _check_caller(
    document: documents.Document,
    path: documents.Path,
    entry: notes.AddedCaller | notes.ChangedCaller,
    note: notes.Note,
    context: plans.Context,
) -> None:
    if isinstance(entry.client_account, str):
        _check_account_exists(document, (*path, "client_account"), entry, note, context)
    for index, name in enumerate(entry.classes or ()):
        if name not in context.job_classes:
            message = f"job class {name!r} is not in the settings"
            allowed = _suggest(name, context.job_classes)
            document.add_error((*path, "classes", index), "class_unknown", message, allowed)
    if entry.expires_on and entry.expires_on < context.today:
        message = f"the token of caller {entry.name!r} expired on {entry.expires_on.isoformat()}"
        document.add_warning((*path, "expires_on"), "expired", message, "a later day")


def _check_tokens(document: documents.Document, note: notes.Note, context: plans.Context) -> None:
    """Reports tokens that two callers would share; a token must identify one caller."""
    stated = {_get_entry_name(e) for part in _SECTIONS for e in getattr(note.callers, part)}
    principals = {
        tokens.find_salt(caller.token_hash): f"caller {caller.name!r}"
        for caller in context.release.callers.values()
        if caller.name not in stated
    }
    for entry in note.callers.changed:
        old = context.release.callers.get(entry.name)
        if old is not None and not isinstance(entry.token_hash, str):
            principals[tokens.find_salt(old.token_hash)] = f"caller {entry.name!r}"
    for part in ("added", "changed"):
        for index, entry in enumerate(getattr(note.callers, part)):
            if not isinstance(entry.token_hash, str):
                continue
            path = ("callers", part, index, "token_hash")
            salt = tokens.find_salt(entry.token_hash)
            principal = principals.setdefault(salt, f"caller {entry.name!r}")
            if principal != f"caller {entry.name!r}":
                message = f"the token is already used by {principal}"
                document.add_error(path, "token_shared", message, "a unique token")


def _check_capacity(document: documents.Document, note: notes.Note, context: plans.Context) -> None:
    new = plans.build_release(note, context)
    data_centres = context.capacity.list_data_centres()
    paths: dict[tuple[str, str], documents.Path] = {}
    for part in ("changed", "added"):
        for index, entry in enumerate(getattr(note.guarantees, part)):
            key = (entry.client_account, entry.name)
            if key in new.guarantees:
                paths.setdefault(key, ("guarantees", part, index))
    rejected = set()
    for key, path in paths.items():
        guarantee = new.guarantees[key]
        problem = context.capacity.find_shape_problem(guarantee.shape)
        if problem is not None:
            document.add_error(path, "shape_impossible", problem.reason, problem.largest)
            rejected.add(key)
        elif guarantee.data_centre not in data_centres:
            message = f"data centre {guarantee.data_centre!r} has no workers"
            allowed = _suggest(guarantee.data_centre, data_centres)
            document.add_error((*path, "data_centre"), "data_centre_unknown", message, allowed)
            rejected.add(key)
    unplaced_changed, unplaced_kept = plans.list_unplaced(context.release, new, context.capacity)
    for key, missing in unplaced_changed.items():
        if key not in rejected and key in paths:
            guarantee = new.guarantees[key]
            message = (
                f"{missing} of {guarantee.count} units do not fit in data centre "
                f"{guarantee.data_centre!r}"
            )
            allowed = f"at most {guarantee.count - missing} units"
            document.add_error(paths[key], "capacity_short", message, allowed)
    for key, missing in sorted(unplaced_kept.items()):
        message = (
            f"{missing} of {new.guarantees[key].count} units of the existing guarantee "
            f"{'/'.join(key)!r} do not fit"
        )
        document.add_warning((), "guarantee_short", message)
    _check_quotas(document, note, new, paths)


def _check_quotas(
    document: documents.Document,
    note: notes.Note,
    new: releases.Release,
    paths: dict[tuple[str, str], documents.Path],
) -> None:
    """Reports quotas below the client account's guarantees, which it could not use in full."""
    guaranteed: dict[str, int] = {}
    for guarantee in new.guarantees.values():
        total = guarantee.count * guarantee.shape.total_accelerators
        guaranteed[guarantee.client_account] = guaranteed.get(guarantee.client_account, 0) + total
    entries: dict[str, documents.Path] = {key[0]: path for key, path in paths.items()}
    for part in ("added", "changed"):
        for index, entry in enumerate(getattr(note.client_accounts, part)):
            entries[entry.name] = (_ACCOUNTS, part, index, "quota_accelerators")
    for name, path in entries.items():
        account = new.client_accounts.get(name)
        total = guaranteed.get(name, 0)
        if account and account.quota_accelerators is not None:
            if account.quota_accelerators >= total:
                continue
            message = f"quota {account.quota_accelerators} of {name!r} is below its guarantees"
            document.add_error(path, "quota_below_guarantees", message, f"at least {total}")


def _check_account_exists(
    document: documents.Document,
    path: documents.Path,
    entry: notes.AddedGuarantee | notes.ChangedGuarantee | notes.AddedCaller | notes.ChangedCaller,
    note: notes.Note,
    context: plans.Context,
) -> None:
    name = entry.client_account
    if name in note.client_accounts.withdrawn:
        message = f"client account {name!r} is withdrawn by this note"
        document.add_error(path, "account_withdrawn", message)
        return
    if _is_incomplete(document, _ACCOUNTS):
        return
    added = {account.name for account in note.client_accounts.added}
    _check_exists(document, path, "account", name, {*context.release.client_accounts, *added})


def _check_exists(
    document: documents.Document,
    path: documents.Path,
    subject: str,
    name: str,
    known: Collection[str],
) -> bool:
    if name in known:
        return True
    label = {"account": "client account"}.get(subject, subject)
    message = f"{label} {name!r} does not exist"
    document.add_error(path, f"{subject}_unknown", message, _suggest(name, known))
    return False


def _warn_unchanged(
    document: documents.Document, path: documents.Path, old: object, entry: object
) -> None:
    # An invalid field was left out of the entry and may be the one that changes.
    has_invalid_field = any(part[: len(path) - 1] == path[:-1] for part in document.incomplete)
    if not has_invalid_field and not plans.changes_anything(old, entry):
        document.add_warning(
            path, "unchanged", f"{_get_entry_name(entry)!r} already has these values"
        )


def _is_incomplete(document: documents.Document, section: str) -> bool:
    """Returns whether invalid entries of a section were left out, so names may seem unknown."""
    return any(path[:1] == (section,) for path in document.incomplete)


def _get_entry_name(entry: object) -> str:
    if isinstance(entry, str):
        return entry
    if isinstance(entry, notes.AddedGuarantee | notes.ChangedGuarantee | notes.GuaranteeName):
        return f"{entry.client_account}/{entry.name}"
    return entry.name


def _get_name_path(document: documents.Document, path: documents.Path) -> documents.Path:
    return (*path, "name") if (*path, "name") in document.locations else path


def _suggest(name: str, known: Iterable[str]) -> str:
    names = sorted(known)
    close = difflib.get_close_matches(name, names, n=3)
    # There may be hundreds of callers, so without a similar name only the first ten are listed.
    return ", ".join(close or names[:10])
