"""HTTP client of the platform's table service."""

import dataclasses
import random
import time
import urllib.parse
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns import result

from lycheegate.clients import guards, http
from lycheegate.clients import table as table_module
from lycheegate.utils import backoff, exceptions

__all__ = ["WRITE_ID_FIELD", "HttpTable"]

Failure = result.Failure
Operation = table_module.Operation
OperationKind = table_module.OperationKind
Row = table_module.Row
Versions = result.Result[tuple[int, ...], exceptions.LycheegateError]

WRITE_ID_FIELD = "_write_id"
"""Field that the client adds to each value that it writes, and removes from values it reads."""

_JSON_HEADER = ("Content-Type: application/json",)
_SCAN_PAGE_ROWS = 500
_MAX_READ_BACKS = 3
# Share of the timeout for the first attempt; the remainder is for reading the rows back.
_FIRST_ATTEMPT_TIME_RATIO = 0.6


class _VersionsBody(msgspec.Struct):
    versions: list[int]


class _ConditionBody(msgspec.Struct):
    failed: int
    version: int
    value: Any = None


class _RowBody(msgspec.Struct):
    value: dict[str, Any]
    version: int
    key: str = ""


class _RowsBody(msgspec.Struct):
    rows: list[_RowBody]


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadBackRow:
    """A row as read back, with the identifier of the transaction that wrote it."""

    version: int
    write_id: str | None
    value: dict[str, Any] | None


class HttpTable:
    """Table service over HTTP; implements ``lycheegate.clients.table.Table``.

    The outcome of a transaction whose answer was lost is determined by reading its rows back. Each
    value contains the identifier of the transaction that wrote it. A conditional transaction that
    has not taken effect is sent again with the same identifier. If the first one arrives after all,
    one of the two fails its condition.
    """

    def __init__(
        self,
        client: http.HttpClient,
        url: str,
        generator: random.Random,
        monotonic_s: Callable[[], float] = time.monotonic,
    ):
        self._client = client
        self._url = url.rstrip("/")
        self._guard = guards.create_guard(generator, monotonic_s)

    @property
    def breaker_state(self) -> backoff.BreakerState:
        """State of the circuit breaker."""
        return self._guard.breaker.state

    def transact(self, operations: Sequence[Operation], timeout_s: float = 2.0) -> Versions:
        """Applies all operations or none; returns the new version of each row."""
        ends_s = self._guard.monotonic_s() + timeout_s
        write_id = uuid.uuid4().hex
        request = http.Request(
            "POST",
            f"{self._url}/v1/transactions",
            _encode_transaction(operations, write_id),
            _JSON_HEADER,
            timeout_s * _FIRST_ATTEMPT_TIME_RATIO,
        )
        outcome = guards.send_and_wait(self._client, self._guard, request, repeatable=False)
        first_outcome = _interpret_transaction(outcome)
        if not _is_outcome_unknown(first_outcome):
            return first_outcome
        for _ in range(_MAX_READ_BACKS):
            resolved = self._resolve_outcome(operations, write_id, ends_s)
            if resolved is not None:
                return resolved
            if not _is_conditional(operations) or self._get_remaining_s(ends_s) <= 0:
                return first_outcome
            if not self._guard.budget.take():
                return first_outcome
            request = dataclasses.replace(request, timeout_s=self._get_remaining_s(ends_s))
            outcome = guards.send_and_wait(self._client, self._guard, request, repeatable=False)
            repeated = _interpret_transaction(outcome)
            # If the retry is refused, the outcome of the first attempt is still unknown.
            if isinstance(repeated, result.Success):
                return repeated
        return first_outcome

    def read(
        self, table: str, key: str, timeout_s: float = 2.0
    ) -> result.Result[Row | None, exceptions.LycheegateError]:
        """Returns a row, or None if it is absent."""
        return self._read_raw(table, key, timeout_s).map(
            lambda row: None if row is None else Row(key, _remove_write_id(row.value), row.version)
        )

    def scan(
        self, table: str, prefix: str = "", timeout_s: float = 10.0
    ) -> result.Result[list[Row], exceptions.LycheegateError]:
        """Returns all rows whose key starts with ``prefix``, in key order."""
        ends_s = self._guard.monotonic_s() + timeout_s
        rows: list[Row] = []
        after = ""
        while True:
            query = {"prefix": prefix, "after": after, "limit": _SCAN_PAGE_ROWS}
            path = f"/v1/tables/{_quote(table)}/rows?{urllib.parse.urlencode(query)}"
            outcome = self._get(path, max(0.001, self._get_remaining_s(ends_s)))
            if isinstance(outcome, Failure):
                return Failure(outcome.failure())
            page = _decode(outcome.unwrap(), 200, _RowsBody)
            if isinstance(page, Failure):
                return Failure(page.failure())
            found = page.unwrap().rows
            rows.extend(Row(row.key, _remove_write_id(row.value), row.version) for row in found)
            if len(found) < _SCAN_PAGE_ROWS:
                return result.Success(rows)
            after = found[-1].key

    def _get_remaining_s(self, ends_s: float) -> float:
        return ends_s - self._guard.monotonic_s()

    def _get(self, path: str, timeout_s: float) -> http.HttpResult:
        """Sends a ``GET``.

        Any failure becomes ``UnavailableError``, because a read has no effect.
        """
        request = http.Request("GET", self._url + path, timeout_s=timeout_s)
        outcome = guards.send_and_wait(self._client, self._guard, request, repeatable=True)
        if isinstance(outcome, Failure):
            return Failure(exceptions.UnavailableError(str(outcome.failure())))
        return outcome

    def _read_raw(
        self, table: str, key: str, timeout_s: float
    ) -> result.Result[_RowBody | None, exceptions.LycheegateError]:
        path = f"/v1/tables/{_quote(table)}/rows/{_quote(key)}"
        outcome = self._get(path, timeout_s)
        if isinstance(outcome, Failure):
            return Failure(outcome.failure())
        response = outcome.unwrap()
        if response.status == 404:
            return result.Success(None)
        return _decode(response, 200, _RowBody)

    def _resolve_outcome(
        self, operations: Sequence[Operation], write_id: str, ends_s: float
    ) -> Versions | None:
        """Determines the outcome of a transaction by reading its rows back.

        Since all operations take effect or none, a single row with ``write_id`` proves that the
        transaction took effect, and a single condition that can no longer hold proves that it did
        not and will not.

        Returns:
            The outcome, or None if the transaction may still take effect.
        """
        rows: list[_ReadBackRow] = []
        for operation in operations:
            remaining_s = self._get_remaining_s(ends_s)
            if remaining_s <= 0:
                return None
            outcome = self._read_raw(operation.table, operation.key, remaining_s)
            if isinstance(outcome, Failure):
                return None
            rows.append(_make_read_back_row(outcome.unwrap()))
        pairs = list(zip(operations, rows, strict=True))
        puts = [(op, row) for op, row in pairs if op.kind is OperationKind.PUT]
        if any(row.write_id == write_id for _, row in puts):
            versions = [_infer_version(op, row, write_id) for op, row in pairs]
            return result.Success(tuple(versions)) if None not in versions else None
        for index, (operation, row) in enumerate(pairs):
            if operation.kind is OperationKind.PUT and _is_ruled_out(operation, row):
                error = exceptions.ConditionFailedError(index, row.version, row.value)
                return Failure(error)
        if all(op.kind is OperationKind.DELETE and row.version == 0 for op, row in pairs):
            # All rows are absent, which is the intended effect of the transaction.
            return result.Success((0,) * len(operations))
        return None


def _quote(text: str) -> str:
    # Slashes are not quoted, because a server may decode %2F before it splits the path.
    return urllib.parse.quote(text, safe="/")


def _is_outcome_unknown(outcome: Versions) -> bool:
    return isinstance(outcome, Failure) and isinstance(
        outcome.failure(), exceptions.OutcomeUnknownError
    )


def _is_conditional(operations: Sequence[Operation]) -> bool:
    """Returns whether a transaction takes effect at most once, even if it is sent repeatedly."""
    changes = [op for op in operations if op.kind is not OperationKind.CHECK]
    return not changes or any(op.if_version is not table_module.ANY_VERSION for op in changes)


def _is_ruled_out(operation: Operation, found: _ReadBackRow) -> bool:
    """Returns whether the put has not taken effect and never will.

    This holds if another writer has made the version that the put would have made. If the row has
    a higher version, the put may have taken effect in between.
    """
    if operation.if_version is table_module.ANY_VERSION:
        return False
    return found.version == operation.if_version + 1


def _infer_version(operation: Operation, found: _ReadBackRow, write_id: str) -> int | None:
    """Returns the version of the row after an operation that took effect.

    Returns None if it cannot be inferred, for an unconditional put that was overwritten.
    """
    if operation.kind is OperationKind.DELETE:
        return 0
    if operation.kind is OperationKind.CHECK:
        return found.version if operation.if_version is None else operation.if_version
    if found.write_id == write_id:
        return found.version
    return None if operation.if_version is None else operation.if_version + 1


def _make_read_back_row(row: _RowBody | None) -> _ReadBackRow:
    if row is None:
        return _ReadBackRow(0, None, None)
    return _ReadBackRow(row.version, row.value.get(WRITE_ID_FIELD), _remove_write_id(row.value))


def _remove_write_id(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: part for name, part in value.items() if name != WRITE_ID_FIELD}
    return value


def _encode_transaction(operations: Sequence[Operation], write_id: str) -> bytes:
    encoded = []
    for operation in operations:
        body: dict[str, Any] = {
            "op": operation.kind,
            "table": operation.table,
            "key": operation.key,
            "if_version": operation.if_version,
        }
        if operation.kind is OperationKind.PUT:
            body["value"] = {**(operation.value or {}), WRITE_ID_FIELD: write_id}
        encoded.append(body)
    return msgspec.json.encode({"ops": encoded})


def _decode(
    response: http.Response, status: int, model: type
) -> result.Result[Any, exceptions.LycheegateError]:
    """Returns the decoded body, or ``UnavailableError`` for an unexpected answer."""
    if response.status != status:
        return Failure(
            exceptions.UnavailableError(f"table: expected status {status}, got {response.status}")
        )
    try:
        return result.Success(msgspec.json.decode(response.body, type=model))
    except msgspec.DecodeError as error:
        return Failure(
            exceptions.UnavailableError(
                f"table: malformed answer of {len(response.body)} bytes, status {status}: {error}"
            )
        )


def _interpret_transaction(outcome: http.HttpResult) -> Versions:
    if isinstance(outcome, Failure):
        error = outcome.failure()
        if isinstance(error, exceptions.ProtocolError):
            # An answer that is too large was received, so the transaction may have taken effect.
            error = exceptions.OutcomeUnknownError(str(error))
        return Failure(error)
    response = outcome.unwrap()
    if response.status not in (200, 409):
        return Failure(
            exceptions.UnavailableError(
                f"table transaction: expected status 200 or 409, got {response.status}"
            )
        )
    model = _VersionsBody if response.status == 200 else _ConditionBody
    decoded = _decode(response, response.status, model)
    if isinstance(decoded, Failure):
        return Failure(exceptions.OutcomeUnknownError(str(decoded.failure())))
    body = decoded.unwrap()
    if isinstance(body, _ConditionBody):
        value = _remove_write_id(body.value)
        return Failure(exceptions.ConditionFailedError(body.failed, body.version, value))
    return result.Success(tuple(body.versions))
