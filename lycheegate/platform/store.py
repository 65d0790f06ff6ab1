"""HTTP client of the platform's store."""

import base64
import urllib.parse
from collections.abc import Callable

import msgspec
from returns import result

from lycheegate.clients import http
from lycheegate.node import storage
from lycheegate.utils import exceptions

__all__ = ["PlatformStore"]

FEED_GRACE_S = 0.7
"""Timeout of a feed request beyond its wait time, after which the connection is abandoned."""
IDLE_TIMEOUT_S = 1.0
"""Time without a further part of an answer after which the connection is abandoned. Rows are read
without a limit for the whole answer: a configuration of 1 MB takes 2 s over a link of 5 Mbit/s."""


class _RowModel(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False
    """Whether the row was deleted."""


class _Answer(msgspec.Struct, rename={"now_ms": "now-ms"}):
    rows: list[_RowModel] = []
    ver: int = 0
    truncated: bool = False
    now_ms: int = 0
    """Reading of the store's monotonic clock, not the time of day."""


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
        self._send(request, lambda answer: answer.ver, callback)

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
        convert: Callable[[_Answer], object],
        callback: Callable[[storage.StoreResult], None],
    ) -> None:
        future = self._client.send(request)
        future.add_done_callback(lambda done: callback(_decode(done.result(), convert)))


def _encode_key(key: storage.RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _decode(outcome: http.HttpResult, convert: Callable[[_Answer], object]) -> storage.StoreResult:
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
    if response.status not in (200, 412):
        return result.Failure(
            exceptions.ProtocolError(f"store responded with unexpected status {response.status}")
        )
    try:
        answer = msgspec.json.decode(response.body, type=_Answer)
        if response.status == 412:
            return result.Failure(storage.ConflictError(_make_rows(answer)))
        return result.Success(convert(answer))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        # The transaction may have been applied although its response is malformed.
        return result.Failure(
            exceptions.OutcomeUnknownError(f"cannot decode the response of the store: {error}")
        )


def _make_page(answer: _Answer) -> storage.Page:
    return storage.Page(_make_rows(answer), answer.truncated, answer.ver, answer.now_ms)


def _make_changes(answer: _Answer) -> storage.Changes:
    return storage.Changes(_make_rows(answer), answer.ver, answer.now_ms)


def _make_rows(answer: _Answer) -> tuple[storage.Row, ...]:
    return tuple(
        storage.Row(
            storage.RowKey(row.table, row.part, row.key),
            base64.b64decode(row.value),
            row.ver,
            row.tombstone,
        )
        for row in answer.rows
    )
