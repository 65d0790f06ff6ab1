"""Relays store calls through a peer while the store is unreachable for this VM.

The store may be unreachable for some VMs while it serves others. Without a relay, these VMs would
refuse their callers until the store is reachable again, even callers whose jobs other VMs have
accepted. A peer makes a relayed call directly or refuses it at once; it never relays the call to
another VM.
"""

import dataclasses
import random
from collections.abc import Callable

import cbor2
from returns import result

from lycheegate.clients import http
from lycheegate.node import compression, storage
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
_READ = "read"
_FOLLOW = "follow"
_PROBED_ROW = ("terms", "jobs", "beat", "beat\0")
"""Table, part and range of keys of the row that is read to test the connection to the store."""
RELAY_GRACE_S = 0.3
TRANSFER_S = 3.0
"""Time that a peer may need beyond that to receive a large answer from the store, before it begins
to answer itself. Peers of earlier releases are silent meanwhile; others report that they receive
it, which extends the time."""
IDLE_TIMEOUT_S = 1.0
"""Time without a further part of a peer's answer, or without a further report, after which the
connection is abandoned."""
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.7
SUSPICION_S = 0.6
"""Time without an answer to a direct call after which the connection to the store is tested."""
SUSPICION_TIMEOUT_S = 0.5
"""Timeout of that test; a store that is slow for all VMs still answers a read within it."""
PEER_RETRY_DELAY_S = 2.0
HEDGE_DELAY_S = 0.3
"""Time without an answer of a peer after which the next one is called as well; for a feed request,
the time that a peer waits for a change is added."""
_NOT_CALLED_STATUS = 503
"""Status of a peer that has not called the store."""
MAX_PEERS = 3
"""Number of peers to try for one call."""


class _PendingCall:
    """A call whose outcome is passed on once; later outcomes are ignored."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[storage.StoreResult], None]):
        self._callback: Callable[[storage.StoreResult], None] | None = callback

    @property
    def is_pending(self) -> bool:
        """Whether no outcome has been passed on."""
        return self._callback is not None

    def finish(self, outcome: storage.StoreResult) -> None:
        """Passes the outcome on, unless one was passed on before."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(outcome)


class _RelayedCall:
    """A store call through peers.

    Peers are tried one after another. A peer that is cut off itself does not answer, so the next
    one is called without waiting for it to time out. Calls are conditional or idempotent: if two
    peers make the same call, the second has no further effect.

    Args:
        client: HTTP client.
        body: The encoded call.
        timeout_s: Time limit of the call at a peer.
        peers: Addresses of the peers to try.
        failure: Outcome if no peer makes the call.
        callback: Receives the outcome once.
        on_avoid: Called with the address of a peer that should not be tried again soon.
        hedge_delay_s: Time without an answer after which the next peer is called as well.
    """

    def __init__(
        self,
        client: http.HttpClient,
        body: bytes,
        timeout_s: float,
        peers: list[str],
        failure: storage.StoreResult,
        callback: Callable[[storage.StoreResult], None],
        on_avoid: Callable[[str], None],
        hedge_delay_s: float,
    ):
        self._client = client
        self._body = body
        self._timeout_s = timeout_s
        self._peers = peers
        self._failure = failure
        self._call = _PendingCall(callback)
        self._on_avoid = on_avoid
        self._hedge_delay_s = hedge_delay_s
        self._waiting_for = 0
        self._called: list[str] = []

    def start(self) -> None:
        """Calls the first peer, and the next one while it does not answer."""
        self._call_next()
        if self._call.is_pending and self._peers:
            self._client.call_later(self._hedge_delay_s, self._hedge)

    def abandon(self, outcome: storage.StoreResult) -> None:
        """Ends the call, unless an answer of a peer is arriving; for the client's thread."""
        if not any(map(self._client.is_receiving, self._called)):
            self._call.finish(outcome)

    def _hedge(self) -> None:
        if self._call.is_pending and self._peers:
            self._call_next()
            self._client.call_later(self._hedge_delay_s, self._hedge)

    def _call_next(self) -> None:
        if not self._peers:
            if not self._waiting_for:
                # The callback may make another call at once, so it is run from the event queue to
                # avoid recursion.
                self._client.call_later(0.0, lambda: self._call.finish(self._failure))
            return
        peer = self._peers.pop(0)
        self._waiting_for += 1
        self._called.append(peer)
        url = f"http://{peer}{PATH}"
        request = http.Request(
            "POST",
            url,
            self._body,
            (compression.ACCEPT_HEADER,),
            timeout_s=self._timeout_s + RELAY_GRACE_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self._client.send(request).add_done_callback(
            lambda done: self._handle_answer(peer, _decode_response(done.result()))
        )

    def _handle_answer(self, peer: str, outcome: storage.StoreResult) -> None:
        self._waiting_for -= 1
        error = None if isinstance(outcome, result.Success) else outcome.failure()
        if isinstance(error, exceptions.UnavailableError):
            self._on_avoid(peer)
            self._call_next()
        elif isinstance(error, exceptions.OutcomeUnknownError):
            self._on_avoid(peer)
            # The peer may have made the call, so a later refusal by another one proves nothing.
            self._failure = outcome
            if not self._waiting_for:
                self._call.finish(outcome)
        else:
            self._call.finish(outcome)


@dataclasses.dataclass(slots=True)
class Reachability:
    """Whether this VM's direct calls reach the store.

    Attributes:
        is_unreachable: Whether the latest direct call was refused or its answer was lost.
    """

    is_unreachable: bool = False

    def update(self, outcome: storage.StoreResult) -> None:
        """Updates the state with the outcome of a direct call."""
        if isinstance(outcome, result.Success):
            self.is_unreachable = False
            return
        unreachable_errors = exceptions.UnavailableError | exceptions.OutcomeUnknownError
        self.is_unreachable = isinstance(outcome.failure(), unreachable_errors)


class FallbackStore:
    """Store client that calls peers while direct calls fail; runs on the event thread.

    A VM that is cut off from the store gets no error, so the first sign is a call without an
    answer. The connection is then tested with a short read, and if that fails as well, all pending
    direct calls end as unknown, so that they are repeated through peers before their timeouts.

    Args:
        direct: Client that calls the store directly.
        client: HTTP client.
        list_peers: Returns the peer addresses of other VMs.
        now_s: Clock.
        on_change: Called with whether the store is unreachable, each time that changes.
        is_receiving: Returns whether an answer to a direct call is arriving.
    """

    def __init__(
        self,
        direct: storage.Store,
        client: http.HttpClient,
        list_peers: Callable[[], list[str]],
        now_s: Callable[[], float],
        on_change: Callable[[bool], None],
        is_receiving: Callable[[], bool] = lambda: False,
    ):
        self.reachability = Reachability()
        self._direct = direct
        self._client = client
        self._list_peers = list_peers
        self._now_s = now_s
        self._on_change = on_change
        self._is_receiving = is_receiving
        self._avoid_until_s: dict[str, float] = {}
        self._probing = False
        self._testing = False
        self._pending: set[_PendingCall] = set()
        self._relayed: set[_RelayedCall] = set()
        """Relayed calls that may wait for a silent peer for seconds."""
        self._random = random.Random()

    def transact(
        self, transaction: storage.Transaction, timeout_s: float, callback: Callable
    ) -> None:
        """Applies a transaction."""
        call = _encode_transact(transaction, timeout_s)
        self._call(
            lambda done: self._direct.transact(transaction, timeout_s, done),
            call,
            timeout_s,
            callback,
        )

    def read(
        self, table: str, part: str, first: str, end: str, timeout_s: float, callback: Callable
    ) -> None:
        """Reads rows."""
        call = [_READ, table, part, first, end, timeout_s]
        self._call(
            lambda done: self._direct.read(table, part, first, end, timeout_s, done),
            call,
            timeout_s,
            callback,
        )

    def follow(self, table: str, after: int, wait_s: float, callback: Callable) -> None:
        """Waits for changes of a table."""
        call = [_FOLLOW, table, after, wait_s]
        self._call(
            lambda done: self._direct.follow(table, after, wait_s, done),
            call,
            wait_s + RELAY_GRACE_S,
            callback,
        )

    def record_peer_outcome(self, outcome: storage.StoreResult) -> None:
        """Records the outcome of a direct call that was made for a peer; for any thread."""
        self._client.call_later(0.0, lambda: self._record_outcome(outcome))

    def _call(
        self,
        call_directly: Callable[[Callable], None],
        call: list,
        timeout_s: float,
        callback: Callable,
    ) -> None:
        if self.reachability.is_unreachable:
            self._relay(call, timeout_s, callback)
            return

        def handle(outcome: storage.StoreResult) -> None:
            self._record_outcome(outcome)
            refused = not isinstance(outcome, result.Success) and isinstance(
                outcome.failure(), exceptions.UnavailableError
            )
            if refused:
                self._relay(call, timeout_s, callback, outcome)
            else:
                callback(outcome)

        pending = _PendingCall(handle)
        self._pending.add(pending)

        def finish(outcome: storage.StoreResult) -> None:
            self._pending.discard(pending)
            pending.finish(outcome)

        call_directly(finish)
        if pending.is_pending and call[0] != _FOLLOW:
            self._client.call_later(SUSPICION_S, lambda: self._test_connection(pending))

    def _test_connection(self, call: _PendingCall) -> None:
        """Tests the connection to the store if a call still has no answer."""
        if not call.is_pending or self._testing or self.reachability.is_unreachable:
            return
        self._testing = True

        def handle(outcome: storage.StoreResult) -> None:
            self._testing = False
            if self.reachability.is_unreachable or isinstance(outcome, result.Success):
                return
            self._record_outcome(outcome)
            if self.reachability.is_unreachable:
                self._abandon_pending()

        self._direct.read(*_PROBED_ROW, SUSPICION_TIMEOUT_S, handle)

    def _abandon_pending(self) -> None:
        error = exceptions.OutcomeUnknownError("store unreachable from this VM; call abandoned")
        abandoned, self._pending = self._pending, set()
        # Threads that serve callers may still add a call to the old set.
        for call in list(abandoned):
            call.finish(result.Failure(error))

    def _abandon_relayed(self) -> None:
        error = exceptions.OutcomeUnknownError(
            "store reachable again; call through peers abandoned"
        )
        for relayed in list(self._relayed):
            relayed.abandon(result.Failure(error))

    def _record_outcome(self, outcome: storage.StoreResult) -> None:
        # A large answer fills the link and delays small ones. Calls through peers would come over
        # the same link, and their answers would fill it further.
        is_delayed = _is_lost(outcome) and self._is_receiving()
        if not is_delayed:
            was_unreachable = self.reachability.is_unreachable
            self.reachability.update(outcome)
            if was_unreachable != self.reachability.is_unreachable:
                self._on_change(self.reachability.is_unreachable)
                if was_unreachable:
                    self._abandon_relayed()
        # Also after a delayed probe: while the store is unreachable, only probes call it directly.
        if self.reachability.is_unreachable and not self._probing:
            self._probing = True
            self._client.call_later(PROBE_INTERVAL_S, self._probe)

    def _probe(self) -> None:
        def handle(outcome: storage.StoreResult) -> None:
            self._probing = False
            self._record_outcome(outcome)

        self._direct.read(*_PROBED_ROW, PROBE_TIMEOUT_S, handle)

    def _relay(
        self,
        call: list,
        timeout_s: float,
        callback: Callable,
        refusal: storage.StoreResult | None = None,
    ) -> None:
        now_s = self._now_s()
        peers = [p for p in self._list_peers() if self._avoid_until_s.get(p, 0.0) <= now_s]
        self._random.shuffle(peers)
        failure = refusal or result.Failure(
            exceptions.UnavailableError(
                f"store unreachable from this VM and through {len(peers[:MAX_PEERS])} peers"
            )
        )
        is_feed = call[0] == _FOLLOW
        is_large = _may_have_large_answer(call)

        def finish(outcome: storage.StoreResult) -> None:
            self._relayed.discard(relayed)
            callback(outcome)

        relayed = _RelayedCall(
            self._client,
            cbor2.dumps(call),
            timeout_s + TRANSFER_S if is_large else timeout_s,
            peers[:MAX_PEERS],
            failure,
            finish,
            self._avoid_peer,
            timeout_s + HEDGE_DELAY_S if is_feed else HEDGE_DELAY_S,
        )
        if is_large:
            self._relayed.add(relayed)
        relayed.start()

    def _avoid_peer(self, peer: str) -> None:
        self._avoid_until_s[peer] = self._now_s() + PEER_RETRY_DELAY_S


def _may_have_large_answer(call: list) -> bool:
    """Returns whether a call is a feed request or reads a whole part of a table."""
    kind, *arguments = call
    if kind == _READ:
        _table, _part, _first, end, _timeout_s = arguments
        return not end
    return kind == _FOLLOW


def _is_lost(outcome: storage.StoreResult) -> bool:
    return not isinstance(outcome, result.Success) and isinstance(
        outcome.failure(), exceptions.OutcomeUnknownError
    )


def encode_row_key(key: storage.RowKey) -> list[str]:
    """Returns the address of a row as a list of CBOR items."""
    return [key.table, key.part, key.key]


def _encode_transact(transaction: storage.Transaction, timeout_s: float) -> list:
    return [
        "transact",
        [[*encode_row_key(item.key), item.version] for item in transaction.conditions],
        [[*encode_row_key(item.key), item.value] for item in transaction.writes],
        [encode_row_key(key) for key in transaction.deletes],
        timeout_s,
    ]


def decode_transact(arguments: list) -> tuple[storage.Transaction, float]:
    """Returns the transaction that a peer requests, and its time limit in seconds."""
    conditions, writes, deletes, timeout_s = arguments
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
    """Returns the outcome of a store call, encoded as CBOR."""
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
    if isinstance(error, storage.RejectedError):
        return cbor2.dumps(["rejected", str(error)])
    return cbor2.dumps(["unknown", str(error)])


def decode_outcome(data: bytes) -> storage.StoreResult:
    """Returns the outcome of a store call that a peer sent.

    Raises:
        ValueError: The data cannot be decoded.
    """
    kind, *fields = cbor2.loads(data)
    if kind == "version":
        return result.Success(fields[0])
    if kind == "page":
        return result.Success(storage.Page(_decode_rows(fields[0]), *fields[1:]))
    if kind == "changes":
        return result.Success(storage.Changes(_decode_rows(fields[0]), *fields[1:]))
    if kind == "conflict":
        return result.Failure(storage.ConflictError(_decode_rows(fields[0])))
    if kind == "history_lost":
        return result.Failure(storage.HistoryLostError(fields[0]))
    if kind == "unavailable":
        return result.Failure(exceptions.UnavailableError(fields[0]))
    if kind == "rejected":
        return result.Failure(storage.RejectedError(fields[0]))
    return result.Failure(exceptions.OutcomeUnknownError(f"peer reported {kind!r}: {fields}"))


def _decode_response(outcome: http.HttpResult) -> storage.StoreResult:
    if not isinstance(outcome, result.Success):
        return outcome
    response = outcome.unwrap()
    if response.status != 200:
        text = f"peer answered HTTP {response.status}, expected 200"
        if response.status == _NOT_CALLED_STATUS:
            return result.Failure(exceptions.UnavailableError(text))
        # An error after the peer has called the store does not prove that the call had no effect.
        return result.Failure(exceptions.OutcomeUnknownError(text))
    try:
        return decode_outcome(compression.decompress_body(response))
    except (cbor2.CBORDecodeError, ValueError, TypeError, LookupError, RecursionError) as error:
        return result.Failure(
            exceptions.OutcomeUnknownError(
                f"cannot decode peer's answer of {len(response.body)} bytes: {error}"
            )
        )
