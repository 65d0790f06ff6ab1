"""Stand-in of the platform's store: rows, transactions and change feeds, in memory."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse
from typing import Any

from standin2 import web

__all__ = ["Store"]

TX_S = 0.004
MAX_ROWS = 500
Key = tuple[str, str, str]


class Store:
    """Linearizable store of rows; it loses nothing and is never slow by itself."""

    def __init__(self):
        self.server = web.Server(self._answer)
        self._rows: dict[Key, tuple[bytes, int]] = {}
        self._history: list[tuple[int, Key, bytes | None]] = []
        self._version = 0
        self._began_s = time.monotonic()
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}

    def get_row(self, table: str, part: str, key: str) -> bytes | None:
        """Returns the content of a row, or None."""
        row = self._rows.get((table, part, key))
        return None if row is None else row[0]

    async def write(self, table: str, key: str, document: Any) -> None:
        """Writes a row of the operator or of a worker; None deletes it."""
        value = None if document is None else json.dumps(document).encode()
        await self._apply([((table, "", key), value)])

    async def _apply(self, changes: list[tuple[Key, bytes | None]]) -> None:
        self._version += 1
        for key, value in changes:
            if value is None:
                if self._rows.pop(key, None) is None:
                    continue
            else:
                self._rows[key] = (value, self._version)
            self._history.append((self._version, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _make_answer(self, **fields: Any) -> dict[str, Any]:
        now_ms = int((time.monotonic() - self._began_s) * 1000.0) + 1
        return {**fields, "now-ms": now_ms}

    async def _answer(self, call: web.Call) -> web.Answer | None:
        path, _, query_text = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/rows-tx":
            return await self._transact(call.decode())
        if path == "/rows-get":
            return self._get(query)
        if path == "/rows-feed":
            return await self._follow(query)
        return 404, {}

    async def _transact(self, call: dict[str, Any]) -> web.Answer:
        conditions = call.get("expected-rev", [])
        changes = [
            (_get_key(row), base64.b64decode(row["value"])) for row in call.get("writes", [])
        ]
        changes += [(_get_key(row), None) for row in call.get("deletes", [])]
        if any(key[0] in ("op", "servers") for key, _ in changes):
            return 403, self._make_answer(ver=self._version)
        parts = {key[1] for key, _ in changes} | {_get_key(row)[1] for row in conditions}
        if len(parts) > 1 and not call.get("across"):
            return 400, self._make_answer(ver=self._version)
        async with self._locks.setdefault(min(parts, default=""), asyncio.Lock()):
            await asyncio.sleep(TX_S)
            keys = [(_get_key(row), row["ver"]) for row in conditions]
            if any(self._rows.get(key, (b"", 0))[1] != version for key, version in keys):
                rows = [self._show(key, *self._rows[key]) for key, _ in keys if key in self._rows]
                return 412, self._make_answer(ver=self._version, rows=rows)
            await self._apply(changes)
            return 200, self._make_answer(ver=self._version)

    def _get(self, query: dict[str, str]) -> web.Answer:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part) and key[2] >= first and (not end or key[2] < end)
        )
        rows = [self._show(key, *self._rows[key]) for key in keys[:MAX_ROWS]]
        is_truncated = len(keys) > MAX_ROWS
        return 200, self._make_answer(rows=rows, truncated=is_truncated, ver=self._version)

    async def _follow(self, query: dict[str, str]) -> web.Answer:
        table, after = query["table"], int(query["depends-on"])
        due_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000.0
        while True:
            found = [item for item in self._history if item[0] > after and item[1][0] == table]
            left_s = due_s - time.monotonic()
            if found or left_s <= 0.0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        latest = {key: (value, version) for version, key, value in found}
        rows = [
            self._show(key, value, version)
            for key, (value, version) in sorted(latest.items(), key=lambda item: item[1][1])
        ]
        return 200, self._make_answer(rows=rows, ver=self._version)

    def _show(self, key: Key, value: bytes | None, version: int) -> dict[str, Any]:
        row: dict[str, Any] = dict(zip(("table", "part", "key"), key, strict=True))
        row["ver"] = version
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row


def _get_key(row: dict[str, Any]) -> Key:
    return row["table"], row.get("part", ""), row["key"]
