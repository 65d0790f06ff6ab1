"""Request records in table ``request``, and the index of open requests in table ``open``.

A record is created once, on a key derived from caller and idempotency key, and gets its end once.
Every write carries a unique ``write_id``: when the response to a write is lost, reading the row
back settles whether the write took effect.
"""

import hashlib
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns import result

from lycheegate.clients import table as table_module
from lycheegate.core import commands
from lycheegate.model import requests, resources
from lycheegate.utils import exceptions

__all__ = [
    "AnswerReference",
    "Attempt",
    "EndRecord",
    "Record",
    "Versioned",
    "create",
    "digest_spec",
    "list_open",
    "make_end",
    "make_request",
    "make_request_id",
    "read",
    "record_attempt",
    "request_cancel",
    "write_end",
]

INLINE_BYTES = 8192
"""Payloads and answers above this size are kept in the object store."""

REQUESTS = "request"
OPEN = "open"

_TRIES = 4
"""Rounds of write and read-back before the outcome counts as unknown."""


class Attempt(msgspec.Struct, frozen=True):
    """Attempt of a non-idempotent request, written before any order is sent."""

    attempt_id: str
    epoch: int
    placement: list[tuple[str, int, int]]
    instances: list[str] = []
    """Instance of each member's worker as the owner knew it, or an empty string."""


class AnswerReference(msgspec.Struct, frozen=True):
    """Where an answer is kept; ``inline`` is set up to ``INLINE_BYTES``, else ``object_key``."""

    length: int
    sha256: str
    inline: bytes | None = None
    object_key: str | None = None


class EndRecord(msgspec.Struct, frozen=True):
    """How a request ended; ``retry_at`` and ``ended_at`` are seconds of the wall clock."""

    end: requests.End
    outcome: requests.Outcome | None = None
    reason: str = ""
    detail: str = ""
    retry_at: float | None = None
    ended_at: float = 0.0
    answer: AnswerReference | None = None


class Record(msgspec.Struct, frozen=True):
    """Value of a request record. Times are seconds of the wall clock.

    Attributes:
        request_id: Derived from caller and idempotency key; also the key of the row.
        spec_digest: Digest of what was asked for, to detect the reuse of a key.
        payload: Payload, unless it is in the object store.
        payload_key: Key of the payload in the object store.
        write_id: Identifies the latest write.
    """

    request_id: str
    caller: str
    client_account: str
    job_class: str
    urgency: int
    members: int
    accelerators: int
    adjacency: resources.Adjacency
    idempotent: bool
    preemptible: bool
    submitted_at: float
    partition: str
    spec_digest: str
    deadline_at: float | None = None
    declared_run_s: float | None = None
    payload: dict[str, Any] | None = None
    payload_key: str | None = None
    attempt: Attempt | None = None
    cancel_requested: bool = False
    end: EndRecord | None = None
    write_id: str = ""


class Versioned(msgspec.Struct, frozen=True):
    """A record as read or written, with the version of its row; 0 if it has no row."""

    record: Record
    version: int


def make_request_id(caller: str, key: str) -> str:
    """Returns the request identifier of an idempotency key of a caller."""
    return hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()[:32]


def digest_spec(spec: object) -> str:
    """Returns the digest of a request body, independent of the order of its fields."""
    return hashlib.sha256(msgspec.json.encode(spec, order="sorted")).hexdigest()


def make_request(record: Record, now_s: float, wall_s: float) -> requests.Request:
    """Returns the request as the decisions see it, with times on their clock."""
    offset_s = now_s - wall_s
    return requests.Request(
        record.request_id,
        record.client_account,
        record.caller,
        record.job_class,
        requests.Urgency(record.urgency),
        resources.Shape(record.members, record.accelerators, record.adjacency),
        record.idempotent,
        record.preemptible,
        min(now_s, record.submitted_at + offset_s),
        None if record.deadline_at is None else record.deadline_at + offset_s,
        record.declared_run_s,
    )


def make_end(
    command: commands.EndRequest, wall_s: float, answer: AnswerReference | None
) -> EndRecord:
    """Returns the end that a command of the decisions asks for."""
    retry_at = None if command.retry_after_s is None else wall_s + command.retry_after_s
    return EndRecord(
        command.end,
        command.outcome,
        command.reason,
        command.detail[:2000],
        retry_at,
        wall_s,
        answer,
    )


def encode(record: Record) -> dict[str, Any]:
    """Returns the value of the row of a record."""
    return msgspec.to_builtins(record)


def decode(value: Any) -> Record:
    """Returns the record of a row.

    Raises:
        ProtocolError: The row is not a record.
    """
    try:
        return msgspec.convert(value, Record)
    except msgspec.ValidationError as error:
        raise exceptions.ProtocolError(f"malformed request record: {error}") from error


def read(
    table: table_module.Table, request_id: str
) -> result.Result[Versioned | None, exceptions.LycheegateError]:
    """Returns a record, or None if there is none."""
    return table.read(REQUESTS, request_id).map(
        lambda row: None if row is None else Versioned(decode(row.value), row.version)
    )


def create(
    table: table_module.Table, record: Record, sleep: Callable[[float], None] = time.sleep
) -> result.Result[tuple[Versioned, bool], exceptions.LycheegateError]:
    """Creates a record unless its key has one.

    Returns:
        The record of the key, and whether it was created by this call.
    """
    record = msgspec.structs.replace(record, write_id=secrets.token_hex(8))
    operations = (
        _put(record, table_module.MUST_BE_ABSENT),
        table_module.Operation(
            table_module.OperationKind.PUT,
            OPEN,
            _make_open_key(record),
            {},
            table_module.ANY_VERSION,
        ),
    )
    failure: exceptions.LycheegateError = exceptions.OutcomeUnknownError("record not created")
    for number in range(_TRIES):
        if number:
            sleep(0.05 * 2**number)
        match table.transact(operations):
            case result.Success(versions):
                return result.Success((Versioned(record, versions[0]), True))
            case result.Failure(exceptions.ConditionFailedError() as error):
                found = Versioned(decode(error.value), error.version)
                return result.Success((found, found.record.write_id == record.write_id))
            case result.Failure(exceptions.UnavailableError() as error) if not number:
                return result.Failure(error)
            case result.Failure(error):
                # An earlier try of this call may have taken effect.
                failure = exceptions.OutcomeUnknownError(str(error))
        match read(table, record.request_id):
            case result.Success(Versioned() as found):
                return result.Success((found, found.record.write_id == record.write_id))
    return result.Failure(failure)


def record_attempt(
    table: table_module.Table, known: Versioned, attempt: Attempt
) -> result.Result[Versioned, exceptions.LycheegateError]:
    """Writes an attempt; fails with ``ConditionFailedError`` if the request has ended.

    A failure of ``UnavailableError`` means that the attempt is certainly not in the table.
    """

    def change(record: Record) -> Record | None:
        if record.end is not None or record.attempt not in (known.record.attempt, attempt):
            return None
        return msgspec.structs.replace(record, attempt=attempt)

    return _update(table, known, change)


def write_end(
    table: table_module.Table, known: Versioned, end: EndRecord
) -> result.Result[Versioned, exceptions.LycheegateError]:
    """Writes the end unless there is one; the record that is returned has the end that holds."""

    def change(record: Record) -> Record | None:
        if record.end is not None:
            return None
        return msgspec.structs.replace(record, end=end)

    written = _update(table, known, change, ends=True)
    match written:
        case result.Failure(exceptions.ConditionFailedError() as error) if error.version:
            return result.Success(Versioned(decode(error.value), error.version))
    return written


def request_cancel(
    table: table_module.Table, request_id: str
) -> result.Result[Versioned | None, exceptions.LycheegateError]:
    """Notes that the caller wants the request stopped; returns None if there is no record."""
    match read(table, request_id):
        case result.Success(Versioned() as known):
            pass
        case other:
            return other

    def change(record: Record) -> Record | None:
        if record.end is not None or record.cancel_requested:
            return None
        return msgspec.structs.replace(record, cancel_requested=True)

    written = _update(table, known, change)
    match written:
        case result.Failure(exceptions.ConditionFailedError() as error) if error.version:
            return result.Success(Versioned(decode(error.value), error.version))
    return written


def list_open(
    table: table_module.Table, partition: str
) -> result.Result[list[str], exceptions.LycheegateError]:
    """Returns the identifiers of the requests of a partition that have not ended."""
    prefix = f"{partition}/"
    return table.scan(OPEN, prefix).map(lambda rows: [row.key[len(prefix) :] for row in rows])


def _make_open_key(record: Record) -> str:
    return f"{record.partition}/{record.request_id}"


def _put(record: Record, if_version: int | None) -> table_module.Operation:
    return table_module.Operation(
        table_module.OperationKind.PUT, REQUESTS, record.request_id, encode(record), if_version
    )


def _update(
    table: table_module.Table,
    known: Versioned,
    change: Callable[[Record], Record | None],
    ends: bool = False,
) -> result.Result[Versioned, exceptions.LycheegateError]:
    """Applies a change to the newest version of a record.

    ``change`` returns None if the change does not apply; then nothing is written and the result
    is ``ConditionFailedError`` with the row that was found.
    """
    is_unknown = False
    write_ids: set[str] = set()
    for _ in range(_TRIES):
        record = change(known.record)
        if record is None:
            failure = exceptions.ConditionFailedError(0, known.version, encode(known.record))
            return result.Failure(failure)
        record = msgspec.structs.replace(record, write_id=secrets.token_hex(8))
        write_ids.add(record.write_id)
        operations: Sequence[table_module.Operation] = [_put(record, known.version)]
        if ends:
            delete = table_module.Operation(
                table_module.OperationKind.DELETE, OPEN, _make_open_key(record)
            )
            operations = [*operations, delete]
        match table.transact(operations):
            case result.Success(versions):
                return result.Success(Versioned(record, versions[0]))
            case result.Failure(exceptions.ConditionFailedError() as error):
                if not error.version:
                    return result.Failure(error)
                known = Versioned(decode(error.value), error.version)
                is_unknown = False
            case result.Failure(exceptions.UnavailableError() as error):
                if not is_unknown:
                    return result.Failure(error)
            case result.Failure():
                is_unknown = True
        if is_unknown:
            match read(table, known.record.request_id):
                case result.Success(Versioned() as found):
                    # An equal version does not prove that the write is lost: it may still be on
                    # its way. Writing again on the same version lets only one of them succeed.
                    known = found
        if known.record.write_id in write_ids:
            return result.Success(known)
    return result.Failure(exceptions.OutcomeUnknownError("outcome of a record write"))
