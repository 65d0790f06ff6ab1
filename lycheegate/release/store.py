"""Acceptance of releases in the table service, and reading them back.

Table ``release`` has the row ``head`` with the newest number, a row ``summary/<number>`` for
each release, and a row ``document/<number>`` for the newest ones. One transaction, conditional on
the version of the head, writes all three, so a release is accepted as a whole or not at all.
"""

import dataclasses
import functools
import math
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns import result

from lycheegate.clients import table as table_module
from lycheegate.model import releases
from lycheegate.release import encoding, plans
from lycheegate.utils import exceptions

__all__ = [
    "Accepted",
    "Head",
    "Outdated",
    "Summary",
    "Unsettled",
    "accept",
    "make_write_id",
    "read_head",
    "read_history",
    "read_if_newer",
    "read_newest",
    "read_release",
    "resolve_outdated_base",
]

TABLE = "release"
HEAD = "head"
# A document holds all callers and may have 300 kB. At 320 changes a day, 64 of them are some
# hours of history and bounded in size; the summaries are kept for good.
RETAINED_DOCUMENTS = 64
MAX_HISTORY = 100
_RETRY_DELAYS_S = (0.1, 0.2, 0.4)


class Head(msgspec.Struct, frozen=True):
    """Newest release; ``version`` is that of its row, 0 if there is none."""

    number: int = 0
    write_id: str = ""
    digest: str = ""
    version: int = 0


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """What a release changed."""

    number: int
    operator: str
    accepted_at: str
    note: str
    digest: str
    write_id: str
    changes: tuple[plans.Change, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The changes are in the newest release, or were accepted and then followed by others.

    Attributes:
        release: The release that holds them.
        already: Whether it had been accepted before.
    """

    release: releases.Release
    already: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """Another release was accepted; nothing was written.

    Attributes:
        base: Release that the note was made against.
        newest: Number of the newest release.
        between: Releases after the base, oldest first, at most ``MAX_HISTORY``.
    """

    base: int
    newest: int
    between: tuple[Summary, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """The answer was lost and could not be settled; the release may be accepted.

    Applying the same note again is harmless and settles it.
    """

    number: int


def make_write_id() -> str:
    """Returns a value by which a write is recognised when it is read back."""
    return secrets.token_hex(16)


def read_head(table: table_module.Table) -> result.Result[Head, exceptions.LycheegateError]:
    """Returns the head; number 0 if nothing was ever accepted."""
    return table.read(TABLE, HEAD).bind(_decode_head)


def read_release(
    table: table_module.Table, number: int
) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
    """Returns a release, or None if it does not exist or its document is no longer kept."""
    if number == 0:
        return result.Success(releases.Release())
    return table.read(TABLE, _document_key(number)).bind(_decode_document)


def read_newest(
    table: table_module.Table,
) -> result.Result[releases.Release, exceptions.LycheegateError]:
    """Returns the newest release."""
    return read_if_newer(table, -1).map(lambda release: release or releases.Release())


def read_if_newer(
    table: table_module.Table, number: int
) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
    """Returns the newest release if its number is higher; reads only the head otherwise."""

    def read_document(
        head: Head,
    ) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
        if head.number <= number:
            return result.Success(None)
        return read_release(table, head.number).bind(_require)

    return read_head(table).bind(read_document)


def read_history(
    table: table_module.Table, limit: int = 20, after: int = 0
) -> result.Result[tuple[Summary, ...], exceptions.LycheegateError]:
    """Returns the newest summaries, newest first, with numbers above ``after``."""

    def read_all(head: Head) -> result.Result[tuple[Summary, ...], exceptions.LycheegateError]:
        lowest = max(after, head.number - min(limit, MAX_HISTORY))
        summaries = []
        for number in range(head.number, lowest, -1):
            found = _read_summary(table, number)
            if isinstance(found, result.Failure):
                return found
            if found.unwrap() is not None:
                summaries.append(found.unwrap())
        return result.Success(tuple(summaries))

    return read_head(table).bind(read_all)


def accept(
    table: table_module.Table,
    plan: plans.Plan,
    write_id: str | None = None,
    sleep: Callable[[float], None] = time.sleep,
    deadline_s: float = math.inf,
    monotonic_s: Callable[[], float] = time.monotonic,
) -> result.Result[Accepted, Outdated | Unsettled | exceptions.LycheegateError]:
    """Makes a plan the newest release by one conditional write.

    Args:
        table: Table service.
        plan: The plan; its release says who accepts it and when.
        write_id: Recognises this write; a new one by default.
        sleep: Waits between tries after a lost answer.
        deadline_s: Time on ``monotonic_s`` from which no write is sent. Members that acknowledged
            a release take it as not accepted if the head does not show it some time later, so a
            write must not follow after that.
        monotonic_s: Clock of the deadline.

    Returns:
        The accepted release. Failures are ``Outdated`` (nothing written), ``Unsettled``, or the
        table's ``UnavailableError`` (nothing written).
    """
    write_id = write_id or make_write_id()
    base = plan.release.number - 1
    head = read_head(table)
    if isinstance(head, result.Failure):
        return head
    if head.unwrap().number != base:
        return resolve_outdated_base(table, base, plan.digest)
    operations = _make_operations(plan, write_id, head.unwrap().version)
    # A request whose answer was lost may still be on its way. Sending the same conditional write
    # again settles it: only one of the two can take effect.
    in_doubt = False
    for delay_s in (0.0, *_RETRY_DELAYS_S):
        if delay_s:
            sleep(delay_s)
        if monotonic_s() >= deadline_s:
            break
        match table.transact(operations):
            case result.Success(_):
                return result.Success(Accepted(plan.release))
            case result.Failure(exceptions.ConditionFailedError()):
                return _settle(table, plan, write_id, in_doubt)
            case result.Failure(exceptions.OutcomeUnknownError()):
                in_doubt = True
                settled = _read_back(table, plan, write_id)
                if settled is not None:
                    return settled
            case result.Failure(error):
                if not in_doubt:
                    return result.Failure(error)
    if not in_doubt:
        return result.Failure(exceptions.UnavailableError("the time for the write is over"))
    return result.Failure(Unsettled(plan.release.number))


def _read_back(
    table: table_module.Table, plan: plans.Plan, write_id: str
) -> result.Result[Accepted, Outdated | Unsettled] | None:
    """Returns how a write ended, or None if it has not taken effect or cannot be read."""
    found = _read_summary(table, plan.release.number)
    if isinstance(found, result.Failure) or found.unwrap() is None:
        return None
    return _settle(table, plan, write_id, in_doubt=True)


def _settle(
    table: table_module.Table, plan: plans.Plan, write_id: str, in_doubt: bool
) -> result.Result[Accepted, Any]:
    """Returns how a write ended once some release has taken its number."""
    found = _read_summary(table, plan.release.number)
    if isinstance(found, result.Failure):
        return result.Failure(Unsettled(plan.release.number)) if in_doubt else found
    summary = found.unwrap()
    # The head may have moved on since, so the summary of this number tells whose write it was.
    if summary is not None and summary.write_id == write_id:
        return result.Success(Accepted(plan.release))
    return resolve_outdated_base(table, plan.release.number - 1, plan.digest)


def resolve_outdated_base(
    table: table_module.Table, base: int, digest: str
) -> result.Result[Accepted, Outdated | exceptions.LycheegateError]:
    """Tells a note that was applied before from one that lost a race.

    Args:
        table: Table service.
        base: Base of the note, lower than the newest release.
        digest: Digest of the changes of the note.

    Returns:
        The newest release if it followed the base with exactly these changes, else ``Outdated``.
    """
    newest = read_newest(table)
    if isinstance(newest, result.Failure):
        return newest
    history = read_history(table, MAX_HISTORY, after=base)
    if isinstance(history, result.Failure):
        return history
    between = history.unwrap()
    number = newest.unwrap().number
    if number == base + 1 and len(between) == 1 and between[0].digest == digest:
        return result.Success(Accepted(newest.unwrap(), already=True))
    return result.Failure(Outdated(base, number, tuple(reversed(between))))


def _make_operations(
    plan: plans.Plan, write_id: str, head_version: int
) -> Sequence[table_module.Operation]:
    release = plan.release
    head = Head(release.number, write_id, plan.digest)
    summary = Summary(
        number=release.number,
        operator=release.operator,
        accepted_at=release.accepted_at,
        note=release.note,
        digest=plan.digest,
        write_id=write_id,
        changes=plan.changes,
    )
    put = functools.partial(table_module.Operation, table_module.OperationKind.PUT, TABLE)
    head_value = msgspec.to_builtins(head)
    del head_value["version"]
    operations = [
        put(HEAD, head_value, head_version),
        put(_summary_key(release.number), msgspec.to_builtins(summary)),
        put(_document_key(release.number), encoding.encode_release(release)),
    ]
    obsolete = release.number - RETAINED_DOCUMENTS
    if obsolete > 0:
        kind = table_module.OperationKind.DELETE
        operations.append(table_module.Operation(kind, TABLE, _document_key(obsolete)))
    return operations


def _read_summary(
    table: table_module.Table, number: int
) -> result.Result[Summary | None, exceptions.LycheegateError]:
    return table.read(TABLE, _summary_key(number)).bind(_decode_summary)


def _decode_head(
    row: table_module.Row | None,
) -> result.Result[Head, exceptions.LycheegateError]:
    if row is None:
        return result.Success(Head())
    try:
        return result.Success(msgspec.convert({**row.value, "version": row.version}, Head))
    except msgspec.ValidationError as error:
        return result.Failure(exceptions.ProtocolError(f"release head: {error}"))


def _decode_summary(
    row: table_module.Row | None,
) -> result.Result[Summary | None, exceptions.LycheegateError]:
    if row is None:
        return result.Success(None)
    try:
        return result.Success(msgspec.convert(row.value, Summary))
    except msgspec.ValidationError as error:
        return result.Failure(exceptions.ProtocolError(f"release summary: {error}"))


def _decode_document(
    row: table_module.Row | None,
) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
    if row is None:
        return result.Success(None)
    try:
        return result.Success(encoding.decode_release(row.value))
    except exceptions.ProtocolError as error:
        return result.Failure(error)


def _require(
    release: releases.Release | None,
) -> result.Result[releases.Release, exceptions.LycheegateError]:
    if release is None:
        return result.Failure(exceptions.ProtocolError("the newest release has no document"))
    return result.Success(release)


def _summary_key(number: int) -> str:
    return f"summary/{number:010d}"


def _document_key(number: int) -> str:
    return f"document/{number:010d}"
