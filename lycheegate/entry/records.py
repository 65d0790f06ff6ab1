"""Request records in table ``request``, and the index of open requests in table ``open``.

A record is created once, under a key derived from the caller and the idempotency key, and its end
is written once. Every write has a unique ``write_id``. If the response to a write is lost, the row
is read again and its ``write_id`` shows whether the write took effect.
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
    "VersionedRecord",
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
"""Size above which payloads and answers are kept in the object store."""

REQUESTS = "request"
OPEN = "open"

_MAX_TRIES = 4
"""Number of writes, each followed by a read if it fails, before the outcome counts as unknown."""


class Attempt(msgspec.Struct, frozen=True):
    """Attempt of a non-idempotent request, recorded before any order is sent."""

    attempt_id: str
    epoch: int
    placement: list[tuple[str, int, int]]
    instances: list[str] = []
    """Instance of the worker of each member as known to the owner, or an empty string."""


class AnswerReference(msgspec.Struct, frozen=True):
    """Location of an answer: ``inline`` up to ``INLINE_BYTES``, else ``object_key``."""

    length: int
    sha256: str
    inline: bytes | None = None
    object_key: str | None = None


class EndRecord(msgspec.Struct, frozen=True):
    """End of a request; ``retry_at`` and ``ended_at`` are wall clock times in seconds."""

    end: requests.End
    outcome: requests.Outcome | None = None
    reason: str = ""
    detail: str = ""
    retry_at: float | None = None
    ended_at: float = 0.0
    answer: AnswerReference | None = None


class Record(msgspec.Struct, frozen=True):
    """Value of a request record. Times are wall clock times in seconds.

    Attributes:
        request_id: Identifier derived from the caller and idempotency key; also the key of the row.
        spec_digest: Digest of the requested work, to detect reuse of an idempotency key.
        payload: Payload, unless it is in the object store.
        payload_key: Key of the payload in the object store.
        write_id: Identifier of the latest write.
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


class VersionedRecord(msgspec.Struct, frozen=True):
    """A record with the version of its row as read or written, or 0 if it has no row."""

    record: Record
    version: int


def make_request_id(caller: str, key: str) -> str:
    """Returns the request identifier for an idempotency key of a caller."""
    return hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()[:32]


def digest_spec(spec: object) -> str:
    """Returns the digest of a request specification, independent of the order of its fields."""
    return hashlib.sha256(msgspec.json.encode(spec, order="sorted")).hexdigest()


def make_request(record: Record, now_s: float, wall_s: float) -> requests.Request:
    """Returns the request for the scheduling core, with times on the monotonic clock."""
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
    """Returns the record of the end that a command of the scheduling core requests."""
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
    """Returns the row value of a record."""
    return msgspec.to_builtins(record)


def decode(value: Any) -> Record:
    """Returns the record in a row value.

    Raises:
        ProtocolError: The value is not a request record.
    """
    try:
        return msgspec.convert(value, Record)
    except msgspec.ValidationError as error:
        raise exceptions.ProtocolError(f"malformed request record: {error}") from error


def read(
    table: table_module.Table, request_id: str
) -> result.Result[VersionedRecord | None, exceptions.LycheegateError]:
    """Reads a record; returns None if there is none.

    It fails with ``ProtocolError`` if the row is not a request record.
    """
    return table.read(REQUESTS, request_id).bind(_decode_row)


def _decode_row(
    row: table_module.Row | None,
) -> result.Result[VersionedRecord | None, exceptions.LycheegateError]:
    if row is None:
        return result.Success(None)
    try:
        return result.Success(VersionedRecord(decode(row.value), row.version))
    except exceptions.ProtocolError as error:
        return result.Failure(error)


def create(
    table: table_module.Table, record: Record, sleep: Callable[[float], None] = time.sleep
) -> result.Result[tuple[VersionedRecord, bool], exceptions.LycheegateError]:
    """Creates a record unless one exists under its key.

    It fails with ``UnavailableError`` only if this call certainly created no record.

    Returns:
        The record under the key, and whether this call created it.
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
    failure: exceptions.LycheegateError = exceptions.OutcomeUnknownError(
        f"request {record.request_id}: creation of its record unconfirmed after {_MAX_TRIES} tries"
    )
    for tries in range(_MAX_TRIES):
        if tries:
            sleep(0.05 * 2**tries)
        match table.transact(operations):
            case result.Success(versions):
                return result.Success((VersionedRecord(record, versions[0]), True))
            case result.Failure(exceptions.ConditionFailedError() as error):
                found = VersionedRecord(decode(error.value), error.version)
                return result.Success((found, found.record.write_id == record.write_id))
            case result.Failure(exceptions.UnavailableError() as error) if not tries:
                return result.Failure(error)
            case result.Failure(error):
                # This try or an earlier one of this call may have taken effect.
                failure = exceptions.OutcomeUnknownError(str(error))
        match read(table, record.request_id):
            case result.Success(VersionedRecord() as found):
                return result.Success((found, found.record.write_id == record.write_id))
    return result.Failure(failure)


def record_attempt(
    table: table_module.Table, versioned: VersionedRecord, attempt: Attempt
) -> result.Result[VersionedRecord, exceptions.LycheegateError]:
    """Writes an attempt.

    It fails with ``ConditionFailedError`` if the request has ended or has another attempt.

    It fails with ``UnavailableError`` only if the attempt is certainly not in the table.
    """

    def change(record: Record) -> Record | None:
        if record.end is not None or record.attempt not in (versioned.record.attempt, attempt):
            return None
        return msgspec.structs.replace(record, attempt=attempt)

    return _update(table, versioned, change)


def write_end(
    table: table_module.Table, versioned: VersionedRecord, end: EndRecord
) -> result.Result[VersionedRecord, exceptions.LycheegateError]:
    """Writes the end of a request unless it has one; returns the record with the end in force."""

    def change(record: Record) -> Record | None:
        if record.end is not None:
            return None
        return msgspec.structs.replace(record, end=end)

    written = _update(table, versioned, change, removes_open_entry=True)
    match written:
        case result.Failure(exceptions.ConditionFailedError() as error) if error.version:
            return result.Success(VersionedRecord(decode(error.value), error.version))
    return written


def request_cancel(
    table: table_module.Table, request_id: str
) -> result.Result[VersionedRecord | None, exceptions.LycheegateError]:
    """Records a cancellation requested by the caller; returns None if there is no record."""
    match read(table, request_id):
        case result.Success(VersionedRecord() as versioned):
            pass
        case other:
            return other

    def change(record: Record) -> Record | None:
        if record.end is not None or record.cancel_requested:
            return None
        return msgspec.structs.replace(record, cancel_requested=True)

    written = _update(table, versioned, change)
    match written:
        case result.Failure(exceptions.ConditionFailedError() as error) if error.version:
            return result.Success(VersionedRecord(decode(error.value), error.version))
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
    versioned: VersionedRecord,
    change: Callable[[Record], Record | None],
    removes_open_entry: bool = False,
) -> result.Result[VersionedRecord, exceptions.LycheegateError]:
    """Applies a change to the newest version of a record.

    If ``change`` returns None because the change does not apply, nothing is written and the result
    is ``ConditionFailedError`` with the current row. With ``removes_open_entry``, the write also
    removes the request from the index of open requests.
    """
    is_unknown = False
    write_ids: set[str] = set()
    for _ in range(_MAX_TRIES):
        record = change(versioned.record)
        if record is None:
            failure = exceptions.ConditionFailedError(
                0, versioned.version, encode(versioned.record)
            )
            return result.Failure(failure)
        record = msgspec.structs.replace(record, write_id=secrets.token_hex(8))
        write_ids.add(record.write_id)
        operations: Sequence[table_module.Operation] = [_put(record, versioned.version)]
        if removes_open_entry:
            delete = table_module.Operation(
                table_module.OperationKind.DELETE, OPEN, _make_open_key(record)
            )
            operations = [*operations, delete]
        match table.transact(operations):
            case result.Success(versions):
                return result.Success(VersionedRecord(record, versions[0]))
            case result.Failure(exceptions.ConditionFailedError() as error):
                if not error.version:
                    return result.Failure(error)
                versioned = VersionedRecord(decode(error.value), error.version)
                is_unknown = False
            case result.Failure(exceptions.UnavailableError() as error):
                if not is_unknown:
                    return result.Failure(error)
            case result.Failure():
                is_unknown = True
        if is_unknown:
            match read(table, versioned.record.request_id):
                case result.Success(VersionedRecord() as found):
                    # An unchanged version does not prove that the write is lost, as it may still
                    # be in transit. If it is repeated on the same version, only one succeeds.
                    versioned = found
        if versioned.record.write_id in write_ids:
            return result.Success(versioned)
    return result.Failure(
        exceptions.OutcomeUnknownError(
            f"request {versioned.record.request_id}: "
            f"outcome of a record write unknown after {_MAX_TRIES} tries"
        )
    )
