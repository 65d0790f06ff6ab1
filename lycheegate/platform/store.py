"""HTTP client of the platform's store."""

import base64
import re
import urllib.parse
from collections.abc import Callable

import msgspec
from returns import result

from lycheegate.clients import http
from lycheegate.metrics import logs
from lycheegate.node import storage
from lycheegate.platform import foreign
from lycheegate.utils import exceptions

__all__ = ["PlatformStore"]

FEED_GRACE_S = 0.7
"""Timeout of a feed request beyond its wait time, after which the connection is abandoned."""
IDLE_TIMEOUT_S = 1.0
"""Time without a further part of an answer after which the connection is abandoned. Rows are read
without a limit for the whole answer: a configuration of 1 MB takes 2 s over a link of 5 Mbit/s."""


_log = logs.Log("platform.store")

_SURROGATE = re.compile(
    r"(\\\\|\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2})|\\u[dD][89a-fA-F][0-9a-fA-F]{2}"
)
"""An escaped backslash or pair of surrogates, which is kept as the first group, or a surrogate
without its other half, which is no text."""
_REPLACEMENT = r"\ufffd"
MAX_LOGGED_ROWS = 1000
"""Number of malformed rows that are remembered, so that each version of a row is logged once."""


class _RowModel(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: foreign.Amount = 0
    tombstone: bool = False
    """Whether the row was deleted."""


class _RowAddress(msgspec.Struct):
    """The fields of a row without which it cannot be told which row has changed."""

    table: str
    key: str
    part: str = ""
    ver: foreign.Amount = 0


class _AnswerFields(msgspec.Struct, rename={"now_ms": "now-ms"}):
    ver: foreign.Amount = 0
    truncated: bool = False
    now_ms: foreign.Amount = 0
    """Reading of the store's monotonic clock, not the time of day."""


class _Answer(_AnswerFields):
    rows: list[_RowModel] = []


class _AnswerOfAnyRows(_AnswerFields):
    """The same while a row is malformed; the others hold."""

    rows: list[msgspec.Raw] = []


_Convert = Callable[[_AnswerFields, tuple[storage.Row, ...]], object]


class PlatformStore:
    """Implementation of ``storage.Store`` over HTTP."""

    def __init__(self, client: http.HttpClient, address: str):
        self._client = client
        self._address = address
        self._base_url = f"http://{address}"

    def is_receiving(self) -> bool:
        """Returns whether an answer of the store is arriving; for any thread."""
        return self._client.is_receiving(self._address)

    def transact(
        self,
        transaction: storage.Transaction,
        timeout_s: float,
        callback: Callable[[storage.StoreResult], None],
    ) -> None:
        """Applies a transaction; on success, passes the version of the written rows."""
        body = {
            "expected-rev": [
                {**_encode_key(item.key), "ver": item.version} for item in transaction.conditions
            ],
            "writes": [
                {**_encode_key(item.key), "value": base64.b64encode(item.value).decode()}
                for item in transaction.writes
            ],
            "deletes": [_encode_key(key) for key in transaction.deletes],
        }
        request = http.Request(
            "POST",
            f"{self._base_url}/rows-tx",
            msgspec.json.encode(body),
            ("Content-Type: application/json",),
            timeout_s,
        )
        self._send(request, lambda answer, rows: answer.ver, callback)

    def read(
        self,
        table: str,
        part: str,
        first: str,
        end: str,
        timeout_s: float,
        callback: Callable[[storage.StoreResult], None],
    ) -> None:
        """Reads rows with ``first`` <= key < ``end``; empty strings mean no limit.

        ``timeout_s`` limits the time until the answer begins to arrive.
        """
        query = {"table": table, "part": part}
        if first:
            query["from"] = first
        if end:
            # Despite its name, "target" is the exclusive upper bound of the range.
            query["target"] = end
        url = f"{self._base_url}/rows-get?{urllib.parse.urlencode(query)}"
        request = http.Request("GET", url, timeout_s=timeout_s, idle_timeout_s=IDLE_TIMEOUT_S)
        self._send(request, _make_page, callback)

    def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
        callback: Callable[[storage.StoreResult], None],
    ) -> None:
        """Waits for changes of a table after a version; on success, passes ``Changes``."""
        # In this call, "depends-on" is the version after which changes are returned.
        query = {"table": table, "depends-on": after, "wait-ms": int(wait_s * 1000)}
        url = f"{self._base_url}/rows-feed?{urllib.parse.urlencode(query)}"
        timeout_s = wait_s + FEED_GRACE_S
        request = http.Request("GET", url, timeout_s=timeout_s, idle_timeout_s=IDLE_TIMEOUT_S)
        self._send(request, _make_changes, callback)

    def _send(
        self,
        request: http.Request,
        convert: _Convert,
        callback: Callable[[storage.StoreResult], None],
    ) -> None:
        future = self._client.send(request)
        future.add_done_callback(lambda done: callback(_decode(done.result(), convert)))


def _encode_key(key: storage.RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _decode(outcome: http.HttpResult, convert: _Convert) -> storage.StoreResult:
    if not isinstance(outcome, result.Success):
        return outcome
    response = outcome.unwrap()
    if response.status in (429, 503):
        return result.Failure(
            exceptions.UnavailableError(f"store responded with status {response.status}")
        )
    if response.status == 410:
        return result.Failure(
            storage.HistoryLostError("status 410: store has discarded the requested changes")
        )
    if 400 <= response.status < 500 and response.status != 412:
        return result.Failure(
            storage.RejectedError(f"store rejected the call with status {response.status}")
        )
    if response.status not in (200, 412):
        return result.Failure(
            exceptions.ProtocolError(f"store responded with unexpected status {response.status}")
        )
    try:
        answer, rows = _decode_answer(response.body)
        if response.status == 412:
            return result.Failure(storage.ConflictError(rows))
        return result.Success(convert(answer, rows))
    except Exception as error:
        # Each call needs an outcome, whatever the answer holds: a change feed whose callback is not
        # called has ended. The transaction may have been applied although its answer is malformed.
        failure = exceptions.OutcomeUnknownError(
            f"cannot decode the response of the store: {error}"
        )
        failure.__cause__ = error
        return result.Failure(failure)


def _make_page(answer: _AnswerFields, rows: tuple[storage.Row, ...]) -> storage.Page:
    return storage.Page(rows, answer.truncated, answer.ver, answer.now_ms)


def _make_changes(answer: _AnswerFields, rows: tuple[storage.Row, ...]) -> storage.Changes:
    return storage.Changes(rows, answer.ver, answer.now_ms)


def _decode_answer(data: bytes) -> tuple[_AnswerFields, tuple[storage.Row, ...]]:
    """Returns an answer and its rows, without the content of rows that are malformed.

    Raises:
        ProtocolError: The answer itself is malformed.
    """
    try:
        answer = foreign.decode_json(data, _Answer)
        return answer, tuple(_make_row(row) for row in answer.rows)
    except (exceptions.ProtocolError, ValueError):
        # Text that is malformed in one row would make the whole answer malformed.
        text = data.decode(errors="replace")
        text = _SURROGATE.sub(lambda found: found[1] or _REPLACEMENT, text)
        answer = foreign.decode_json(text.encode(), _AnswerOfAnyRows)
    rows = (_decode_row(bytes(row)) for row in answer.rows)
    return answer, tuple(row for row in rows if row is not None)


def _make_row(row: _RowModel) -> storage.Row:
    key = storage.RowKey(row.table, row.part, row.key)
    return storage.Row(key, base64.b64decode(row.value, validate=True), row.ver, row.tombstone)


def _decode_row(data: bytes) -> storage.Row | None:
    """Returns a row, without content if that cannot be decoded, or None if it has no address."""
    try:
        return _make_row(foreign.decode_json(data, _RowModel))
    except (exceptions.ProtocolError, ValueError) as error:
        reason = f"{error!s:.200}"
    try:
        address = foreign.decode_json(data, _RowAddress)
    except exceptions.ProtocolError:
        _log_malformed_row((data[:100],), reason, len(data))
        return None
    key = storage.RowKey(address.table, address.part, address.key)
    _log_malformed_row((key, address.ver), reason, len(data))
    return storage.Row(key, b"", address.ver)


_logged_rows: set[tuple] = set()


def _log_malformed_row(row: tuple, reason: str, size_bytes: int) -> None:
    if row in _logged_rows:
        return
    if len(_logged_rows) >= MAX_LOGGED_ROWS:
        _logged_rows.clear()
    _logged_rows.add(row)
    _log.warning("row_malformed", row=f"{row!r:.120}", bytes=size_bytes, reason=reason)
