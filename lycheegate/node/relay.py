"""Store calls through a peer, for a VM that the store turns away while it serves others.

Answers the load pattern in which part of the VMs lose the store: their callers' jobs have been
accepted elsewhere, and without a relay they are refused until the store is back. A peer makes the
call directly or refuses it at once; calls are never passed on twice.
"""

import dataclasses
import random
from collections.abc import Callable

import cbor2
from returns import result

from lycheegate.clients import http
from lycheegate.node import storage
from lycheegate.utils import exceptions

__all__ = [
    "FallbackStore",
    "Reachability",
    "decode_outcome",
    "decode_transact",
    "encode_outcome",
    "encode_row_key",
]

PATH = "/relay"
RELAY_GRACE_S = 0.3
PROBE_S = 0.5
PROBE_TIMEOUT_S = 0.7
PEER_AVOID_S = 2.0
MAX_PEERS = 3
"""Peers that are tried for one call."""


@dataclasses.dataclass(slots=True)
class Reachability:
    """Whether this VM's own calls reach the store, from their latest outcomes.

    Attributes:
        is_away: Whether the last call whose outcome is known failed.
    """

    is_away: bool = False

    def note(self, outcome: storage.StoreResult) -> None:
        """Takes the outcome of a direct call."""
        if isinstance(outcome, result.Success):
            self.is_away = False
            return
        unreached = exceptions.UnavailableError | exceptions.OutcomeUnknownError
        self.is_away = isinstance(outcome.failure(), unreached)


class FallbackStore:
    """Store that is reached through peers while direct calls fail; all on the event thread.

    Args:
        direct: The store.
        client: HTTP client.
        list_peers: Returns the relay addresses of other VMs.
        now_s: Clock.
        on_change: Called when the store is lost or reached again, with whether it is away.
    """

    def __init__(
        self,
        direct: storage.Store,
        client: http.HttpClient,
        list_peers: Callable[[], list[str]],
        now_s: Callable[[], float],
        on_change: Callable[[bool], None],
    ):
        self.reachability = Reachability()
        self._direct = direct
        self._client = client
        self._list_peers = list_peers
        self._now_s = now_s
        self._on_change = on_change
        self._avoid_until_s: dict[str, float] = {}
        self._probing = False
        self._random = random.Random()

    def transact(
        self, transaction: storage.Transaction, timeout_s: float, callback: Callable
    ) -> None:
        """Makes changes."""
        call = _encode_transact(transaction, timeout_s)
        self._run(
            lambda done: self._direct.transact(transaction, timeout_s, done),
            call,
            timeout_s,
            callback,
        )

    def read(
        self, table: str, part: str, first: str, end: str, timeout_s: float, callback: Callable
    ) -> None:
        """Reads rows."""
        call = ["read", table, part, first, end, timeout_s]
        self._run(
            lambda done: self._direct.read(table, part, first, end, timeout_s, done),
            call,
            timeout_s,
            callback,
        )

    def follow(self, table: str, after: int, wait_s: float, callback: Callable) -> None:
        """Waits for changes."""
        call = ["follow", table, after, wait_s]
        self._run(
            lambda done: self._direct.follow(table, after, wait_s, done),
            call,
            wait_s + RELAY_GRACE_S,
            callback,
        )

    def _run(
        self, direct: Callable[[Callable], None], call: list, timeout_s: float, callback: Callable
    ) -> None:
        if self.reachability.is_away:
            self._relay(call, timeout_s, callback)
            return

        def take(outcome: storage.StoreResult) -> None:
            self._note(outcome)
            refused = not isinstance(outcome, result.Success) and isinstance(
                outcome.failure(), exceptions.UnavailableError
            )
            if refused:
                self._relay(call, timeout_s, callback, outcome)
            else:
                callback(outcome)

        direct(take)

    def _note(self, outcome: storage.StoreResult) -> None:
        was_away = self.reachability.is_away
        self.reachability.note(outcome)
        if was_away != self.reachability.is_away:
            self._on_change(self.reachability.is_away)
        if self.reachability.is_away and not self._probing:
            self._probing = True
            self._client.call_later(PROBE_S, self._probe)

    def _probe(self) -> None:
        def take(outcome: storage.StoreResult) -> None:
            self._probing = False
            self._note(outcome)

        self._direct.read("terms", "jobs", "beat", "beat\0", PROBE_TIMEOUT_S, take)

    def _relay(
        self,
        call: list,
        timeout_s: float,
        callback: Callable,
        refused: storage.StoreResult | None = None,
    ) -> None:
        now_s = self._now_s()
        peers = [p for p in self._list_peers() if self._avoid_until_s.get(p, 0.0) <= now_s]
        self._random.shuffle(peers)
        failure = refused or result.Failure(
            exceptions.UnavailableError("store not reached, and no peer reaches it")
        )
        self._try_peers(cbor2.dumps(call), timeout_s, peers[:MAX_PEERS], failure, callback)

    def _try_peers(
        self,
        body: bytes,
        timeout_s: float,
        peers: list[str],
        failure: storage.StoreResult,
        callback: Callable,
    ) -> None:
        if not peers:
            # On the event thread a caller may call again at once, so the answer comes later.
            self._client.call_later(0.0, lambda: callback(failure))
            return
        peer, *others = peers
        url = f"http://{peer}{PATH}"
        request = http.Request("POST", url, body, timeout_s=timeout_s + RELAY_GRACE_S)

        def take(done) -> None:
            outcome = _decode_response(done.result())
            if isinstance(outcome, result.Success):
                callback(outcome)
                return
            error = outcome.failure()
            if isinstance(error, exceptions.UnavailableError):
                self._avoid_until_s[peer] = self._now_s() + PEER_AVOID_S
                self._try_peers(body, timeout_s, others, failure, callback)
                return
            if isinstance(error, exceptions.OutcomeUnknownError):
                self._avoid_until_s[peer] = self._now_s() + PEER_AVOID_S
            callback(outcome)

        self._client.send(request).add_done_callback(take)


def encode_row_key(key: storage.RowKey) -> list[str]:
    """Returns the address of a row as CBOR items."""
    return [key.table, key.part, key.key]


def _encode_transact(transaction: storage.Transaction, timeout_s: float) -> list:
    return [
        "transact",
        [[*encode_row_key(item.key), item.version] for item in transaction.conditions],
        [[*encode_row_key(item.key), item.value] for item in transaction.writes],
        [encode_row_key(key) for key in transaction.deletes],
        timeout_s,
    ]


def decode_transact(rest: list) -> tuple[storage.Transaction, float]:
    """Returns a transaction that a peer asks for, and its time limit in seconds."""
    conditions, writes, deletes, timeout_s = rest
    transaction = storage.Transaction(
        tuple(storage.Condition(storage.RowKey(*key), version) for *key, version in conditions),
        tuple(storage.Write(storage.RowKey(*key), value) for *key, value in writes),
        tuple(storage.RowKey(*key) for key in deletes),
    )
    return transaction, timeout_s


def _encode_rows(rows: tuple[storage.Row, ...]) -> list:
    return [[*encode_row_key(row.key), row.value, row.version, row.deleted] for row in rows]


def _decode_rows(items: list) -> tuple[storage.Row, ...]:
    return tuple(storage.Row(storage.RowKey(*item[:3]), *item[3:]) for item in items)


def encode_outcome(outcome: storage.StoreResult) -> bytes:
    """Returns the outcome of a store call as CBOR."""
    if isinstance(outcome, result.Success):
        value = outcome.unwrap()
        if isinstance(value, storage.Page):
            rows = _encode_rows(value.rows)
            return cbor2.dumps(["page", rows, value.is_truncated, value.version, value.clock_ms])
        if isinstance(value, storage.Changes):
            return cbor2.dumps(["changes", _encode_rows(value.rows), value.version, value.clock_ms])
        return cbor2.dumps(["version", value])
    error = outcome.failure()
    if isinstance(error, storage.ConflictError):
        return cbor2.dumps(["conflict", _encode_rows(error.rows)])
    if isinstance(error, storage.HistoryLostError):
        return cbor2.dumps(["history_lost", str(error)])
    if isinstance(error, exceptions.UnavailableError):
        return cbor2.dumps(["unavailable", str(error)])
    return cbor2.dumps(["unknown", str(error)])


def decode_outcome(data: bytes) -> storage.StoreResult:
    """Returns the outcome that a peer sent.

    Raises:
        ValueError: The data cannot be read.
    """
    kind, *rest = cbor2.loads(data)
    if kind == "version":
        return result.Success(rest[0])
    if kind == "page":
        return result.Success(storage.Page(_decode_rows(rest[0]), *rest[1:]))
    if kind == "changes":
        return result.Success(storage.Changes(_decode_rows(rest[0]), *rest[1:]))
    if kind == "conflict":
        return result.Failure(storage.ConflictError(_decode_rows(rest[0])))
    if kind == "history_lost":
        return result.Failure(storage.HistoryLostError(rest[0]))
    if kind == "unavailable":
        return result.Failure(exceptions.UnavailableError(rest[0]))
    return result.Failure(exceptions.OutcomeUnknownError(str(rest)))


def _decode_response(outcome: http.HttpResult) -> storage.StoreResult:
    if not isinstance(outcome, result.Success):
        return outcome
    response = outcome.unwrap()
    if response.status != 200:
        return result.Failure(exceptions.UnavailableError(f"peer answered {response.status}"))
    try:
        return decode_outcome(response.body)
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        return result.Failure(exceptions.OutcomeUnknownError(f"peer's answer: {error}"))
