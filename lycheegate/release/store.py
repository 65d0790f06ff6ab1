"""Acceptance of releases: writes them to the table service and reads them back.

Table ``release`` has a row ``head`` with the number of the newest release, a row
``summary/<number>`` for each release, and a row ``document/<number>`` for each of the newest ones.
One transaction, conditional on the version of the head, writes all three rows, so a release is
accepted as a whole or not at all.
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
# A document contains all callers and may be 300 kB long. At 320 changes a day, 64 documents cover a
# few hours of history at a bounded size; summaries are never deleted.
RETAINED_DOCUMENTS = 64
MAX_HISTORY = 100
_RETRY_DELAYS_S = (0.1, 0.2, 0.4)


class Head(msgspec.Struct, frozen=True):
    """Reference to the newest release.

    Attributes:
        number: Number of the release; 0 if no release was accepted.
        write_id: Identifier of the write that accepted it.
        digest: Digest of the changes of its note.
        version: Version of the row ``head`` in the table, which is not stored in the row itself; 0
            if there is no row.
    """

    number: int = 0
    write_id: str = ""
    digest: str = ""
    version: int = 0


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of an accepted release.

    Attributes:
        number: Number of the release.
        operator: Operator who applied the release note.
        accepted_at: Time of acceptance in UTC, in ISO format.
        note: Free text of the release note.
        digest: Digest of the changes of the note.
        write_id: Identifier of the write that accepted the release.
        changes: Changes from the previous release.
    """

    number: int
    operator: str
    accepted_at: str
    note: str
    digest: str
    write_id: str
    changes: tuple[plans.Change, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The changes of a note were accepted, now or earlier; newer releases may have followed.

    Attributes:
        release: The release that contains the changes.
        already: Whether an earlier call had accepted it.
    """

    release: releases.Release
    already: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """Another release was accepted first; nothing was written.

    Attributes:
        base: Number of the release against which the note was written.
        newest: Number of the newest release.
        between: Releases after the base, oldest first, at most ``MAX_HISTORY``.
    """

    base: int
    newest: int
    between: tuple[Summary, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """The outcome of the write is unknown; the release may have been accepted.

    Applying the same note again is harmless and determines the outcome.

    Attributes:
        number: Number of the release.
    """

    number: int


def make_write_id() -> str:
    """Returns a unique identifier by which a write is recognized when it is read back."""
    return secrets.token_hex(16)


def read_head(table: table_module.Table) -> result.Result[Head, exceptions.LycheegateError]:
    """Returns the head; its number is 0 if no release was accepted yet."""
    return table.read(TABLE, HEAD).bind(_decode_head)


def read_release(
    table: table_module.Table, number: int
) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
    """Returns a release, or None if it does not exist or its document has been deleted."""
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
    """Returns the newest release if its number is above ``number``, otherwise None.

    If there is no newer release, only the head is read.
    """

    def read_document(
        head: Head,
    ) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
        if head.number <= number:
            return result.Success(None)
        return read_release(table, head.number).bind(_require_document)

    return read_head(table).bind(read_document)


def read_history(
    table: table_module.Table, limit: int = 20, after: int = 0
) -> result.Result[tuple[Summary, ...], exceptions.LycheegateError]:
    """Returns summaries, newest first.

    Args:
        table: Table service.
        limit: Maximum number of summaries, at most ``MAX_HISTORY``.
        after: Only summaries of releases with higher numbers are returned.
    """

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
        plan: The plan; its release contains the operator and the time of acceptance.
        write_id: Identifier by which this write is recognized; by default a new one.
        sleep: Waits before a write is sent again after a lost response.
        deadline_s: Time on ``monotonic_s`` from which no write is sent. Members that acknowledged
            a release consider it not accepted if the head does not show it within a certain time,
            so no write may be sent later.
        monotonic_s: Clock for the deadline.

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
    # A request without a response may still be in transit. Sending the same conditional write again
    # resolves its outcome, because only one of the two can take effect.
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
                return _resolve_outcome(table, plan, write_id, in_doubt)
            case result.Failure(exceptions.OutcomeUnknownError()):
                in_doubt = True
                outcome = _read_outcome(table, plan, write_id)
                if outcome is not None:
                    return outcome
            case result.Failure(error):
                if not in_doubt:
                    return result.Failure(error)
    if not in_doubt:
        return result.Failure(
            exceptions.UnavailableError(
                f"release {plan.release.number} not written: its deadline passed before it was sent"
            )
        )
    return result.Failure(Unsettled(plan.release.number))


def _read_outcome(
    table: table_module.Table, plan: plans.Plan, write_id: str
) -> result.Result[Accepted, Outdated | Unsettled] | None:
    """Returns the outcome of a write, or None if it has no effect yet or cannot be read back."""
    found = _read_summary(table, plan.release.number)
    if isinstance(found, result.Failure) or found.unwrap() is None:
        return None
    return _resolve_outcome(table, plan, write_id, in_doubt=True)


def _resolve_outcome(
    table: table_module.Table, plan: plans.Plan, write_id: str, in_doubt: bool
) -> result.Result[Accepted, Any]:
    """Returns the outcome of a write, given that a release with its number exists."""
    found = _read_summary(table, plan.release.number)
    if isinstance(found, result.Failure):
        return result.Failure(Unsettled(plan.release.number)) if in_doubt else found
    summary = found.unwrap()
    # The head may be at a newer release by now, so the summary of this number is compared instead.
    if summary is not None and summary.write_id == write_id:
        return result.Success(Accepted(plan.release))
    return resolve_outdated_base(table, plan.release.number - 1, plan.digest)


def resolve_outdated_base(
    table: table_module.Table, base: int, digest: str
) -> result.Result[Accepted, Outdated | exceptions.LycheegateError]:
    """Determines whether a note with an outdated base was applied before or lost a race.

    Args:
        table: Table service.
        base: Base of the note, lower than the number of the newest release.
        digest: Digest of the changes of the note.

    Returns:
        The newest release if it directly follows the base and has the same digest, otherwise
        ``Outdated``.
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
    obsolete_number = release.number - RETAINED_DOCUMENTS
    if obsolete_number > 0:
        kind = table_module.OperationKind.DELETE
        operations.append(table_module.Operation(kind, TABLE, _document_key(obsolete_number)))
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
        return result.Failure(
            exceptions.ProtocolError(f"malformed row {row.key!r} of table {TABLE!r}: {error}")
        )


def _decode_summary(
    row: table_module.Row | None,
) -> result.Result[Summary | None, exceptions.LycheegateError]:
    if row is None:
        return result.Success(None)
    try:
        return result.Success(msgspec.convert(row.value, Summary))
    except msgspec.ValidationError as error:
        return result.Failure(
            exceptions.ProtocolError(f"malformed row {row.key!r} of table {TABLE!r}: {error}")
        )


def _decode_document(
    row: table_module.Row | None,
) -> result.Result[releases.Release | None, exceptions.LycheegateError]:
    if row is None:
        return result.Success(None)
    try:
        return result.Success(encoding.decode_release(row.value))
    except exceptions.ProtocolError as error:
        return result.Failure(error)


def _require_document(
    release: releases.Release | None,
) -> result.Result[releases.Release, exceptions.LycheegateError]:
    if release is None:
        return result.Failure(
            exceptions.ProtocolError("the newest release has no document row in the table")
        )
    return result.Success(release)


def _summary_key(number: int) -> str:
    return f"summary/{number:010d}"


def _document_key(number: int) -> str:
    return f"document/{number:010d}"
