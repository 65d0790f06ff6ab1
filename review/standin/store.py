"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Awaitable, Callable

from standin import web

__all__ = ["Store"]

TX_S = 0.004
"""Time of an answer."""
ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS = 500
MAX_FEED_WAIT_S = 30.0
PROTECTED_TABLES = ("op", "servers")

Key = tuple[str, str, str]
Gate = Callable[[str, web.Request], Awaitable[str]]
"""Decides on a call of a VM: ``serve``, ``silent``, ``lost`` (done, not answered), ``late``
(not answered, and done later) or ``busy``."""


class Store:
    """Rows, conditional transactions and change feeds, shared by all VMs.

    Each VM has a listener of its own, so that single VMs can be cut off.

    Attributes:
        rows: Value in base64 and version of each row.
        gate: Decides on each call of a VM; serves all by default.
        on_transaction: Called with the VM and the body of each transaction that was applied.
        on_oversized: Called with the VM and the size in bytes of a row that was refused.
        late_s: Delay of transactions for which the gate answers ``late``, in seconds.
    """

    def __init__(self):
        self.rows: dict[Key, tuple[str, int]] = {}
        self.gate: Gate | None = None
        self.on_transaction: Callable[[str, dict], None] = lambda vm, body: None
        self.on_oversized: Callable[[str, int], None] = lambda vm, size_bytes: None
        self.late_s = 3.0
        self._log: list[tuple[int, Key, str | None]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._part_locks: dict[str, asyncio.Lock] = {}
        self._servers: list[web.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, vm: str) -> str:
        """Starts a listener for a VM and returns its address."""

        async def handle(request: web.Request) -> web.Response | None:
            return await self._handle(vm, request)

        server = web.Server(handle)
        await server.start()
        self._servers.append(server)
        return server.address

    async def stop(self) -> None:
        """Closes all listeners."""
        for server in self._servers:
            await server.stop()

    def put(self, table: str, key: str, document: dict) -> int:
        """Writes a row as the operator or a worker does; returns its version."""
        data = base64.b64encode(json.dumps(document).encode()).decode()
        return self._apply([((table, "", key), data)])

    def delete(self, table: str, key: str) -> None:
        """Deletes a row."""
        if (table, "", key) in self.rows:
            self._apply([((table, "", key), None)])

    def find_value(self, table: str, part: str, key: str) -> bytes | None:
        """Returns the content of a row, or None."""
        found = self.rows.get((table, part, key))
        return None if found is None else base64.b64decode(found[0])

    def _now_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def _apply(self, changes: list[tuple[Key, str | None]]) -> int:
        self._version += 1
        for key, value in changes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self._version)
            self._log.append((self._version, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._version

    def _make_row(self, key: Key) -> dict | None:
        found = self.rows.get(key)
        if found is None:
            return None
        return {
            "table": key[0],
            "part": key[1],
            "key": key[2],
            "value": found[0],
            "ver": found[1],
        }

    def _answer(self, rows: list[dict] | None = None, **fields) -> dict:
        answer = {"ver": self._version, "now-ms": self._now_ms(), **fields}
        if rows is not None:
            answer["rows"] = rows
        return answer

    async def _handle(self, vm: str, request: web.Request) -> web.Response | None:
        verdict = await self.gate(vm, request) if self.gate is not None else "serve"
        if verdict == "busy":
            return web.Response(503)
        if verdict == "silent":
            await asyncio.sleep(MAX_FEED_WAIT_S)
            return None
        if verdict == "late":
            task = asyncio.create_task(self._run_late(vm, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(MAX_FEED_WAIT_S)
            return None
        response = await self._serve(vm, request)
        if verdict == "lost":
            await asyncio.sleep(MAX_FEED_WAIT_S)
            return None
        return response

    async def _run_late(self, vm: str, request: web.Request) -> None:
        await asyncio.sleep(self.late_s)
        await self._serve(vm, request)

    async def _serve(self, vm: str, request: web.Request) -> web.Response:
        if request.path == "/rows-tx":
            return await self._transact(vm, request)
        if request.path == "/rows-get":
            await asyncio.sleep(TX_S)
            return self._read(request.query)
        if request.path == "/rows-feed":
            return await self._follow(request.query)
        return web.Response(404)

    async def _transact(self, vm: str, request: web.Request) -> web.Response:
        body = json.loads(request.body)
        conditions = body.get("expected-rev") or []
        writes = body.get("writes") or []
        deletes = body.get("deletes") or []
        entries = [*conditions, *writes, *deletes]
        parts = {entry.get("part", "") for entry in entries}
        if len(entries) > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES or len(parts) > 1:
            return web.Response(400)
        if any(entry["table"] in PROTECTED_TABLES for entry in [*writes, *deletes]):
            return web.Response(403)
        sizes = [len(base64.b64decode(entry["value"])) for entry in writes]
        if any(size > ROW_BYTES for size in sizes):
            self.on_oversized(vm, max(sizes))
            return web.Response(400)
        part = parts.pop() if parts else ""
        async with self._part_locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            keys = [(e["table"], e.get("part", ""), e["key"]) for e in conditions]
            for key, condition in zip(keys, conditions, strict=True):
                found = self.rows.get(key)
                if (found[1] if found else 0) != condition["ver"]:
                    rows = [row for row in map(self._make_row, keys) if row is not None]
                    return web.Response(412, self._answer(rows))
            changes = [((e["table"], e.get("part", ""), e["key"]), e["value"]) for e in writes]
            changes += [((e["table"], e.get("part", ""), e["key"]), None) for e in deletes]
            self._apply(changes)
            self.on_transaction(vm, body)
            return web.Response(200, self._answer())

    def _read(self, query: dict[str, str]) -> web.Response:
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        keys = sorted(
            (key for key in self.rows if key[0] == query["table"] and key[1] == query["part"]),
            key=lambda key: key[2].encode(),
        )
        keys = [k for k in keys if k[2] >= first and (not end or k[2] < end)]
        rows = [self._make_row(key) for key in keys[:limit]]
        return web.Response(200, self._answer(rows, truncated=len(keys) > limit))

    async def _follow(self, query: dict[str, str]) -> web.Response:
        after = int(query.get("depends-on") or 0)
        wait_s = min(MAX_FEED_WAIT_S, int(query.get("wait-ms") or 0) / 1000.0)
        deadline_s = time.monotonic() + wait_s
        while True:
            rows = self._list_changes(query["table"], after)
            remaining_s = deadline_s - time.monotonic()
            if rows or remaining_s <= 0.0:
                return web.Response(200, self._answer(rows))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def _list_changes(self, table: str, after: int) -> list[dict]:
        rows: list[dict] = []
        for version, key, value in reversed(self._log):
            if version <= after:
                break
            if key[0] != table:
                continue
            row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
            rows.append({**row, "tombstone": True} if value is None else {**row, "value": value})
        rows.reverse()
        return rows
