"""Authenticated websocket links between all entry VMs.

Each entry VM dials every peer and sends on the links that it dialled; it receives on the links
that it accepted. So no rule is needed for which side dials, and a link that is broken in one
direction is noticed by the side that sends. Messages of a link stay in order; a message may be
lost when a link breaks, so every message is either repeated or superseded by a later one.
"""

import concurrent.futures
import contextlib
import dataclasses
import queue
import random
import secrets
import socket
import threading
from collections.abc import Callable, Mapping
from typing import Any

from websockets import exceptions as ws_exceptions
from websockets.sync import client as ws_client
from websockets.sync import server as ws_server

from lycheegate.keys import peers as peer_keys
from lycheegate.metrics import logs
from lycheegate.peers import messages
from lycheegate.utils import exceptions

__all__ = ["PendingCalls", "Identity", "Mesh"]

_log = logs.Log("lycheegate.peers.links")

MAX_FRAME_BYTES = 4 * 1024 * 1024
QUEUE_LIMIT = 2048
OPEN_TIMEOUT_S = 2.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Longest delay between dials; bounds the time until a peer that returned is heard again."""

UNACKNOWLEDGED_LIMIT_MS = 5000
"""Time after which the kernel drops a link whose peer acknowledges nothing."""

_STOP = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is among the entry VMs.

    Attributes:
        vm_id: This entry VM.
        boot_id: This process.
        address: Where peers reach it.
        keys: Keys that all entry VMs share.
    """

    vm_id: str
    boot_id: str
    address: str
    keys: peer_keys.PeerKeys


class PendingCalls:
    """Replies that are waited for, by call identifier."""

    def __init__(self):
        self._lock = threading.Lock()
        self._futures: dict[str, concurrent.futures.Future] = {}

    def open(self) -> tuple[str, concurrent.futures.Future]:
        """Returns a new call identifier and the future of its reply."""
        call_id = secrets.token_hex(8)
        future: concurrent.futures.Future = concurrent.futures.Future()
        with self._lock:
            self._futures[call_id] = future
        return call_id, future

    def resolve(self, call_id: str, reply: Any) -> None:
        """Delivers a reply; a reply that nobody waits for is dropped."""
        with self._lock:
            future = self._futures.pop(call_id, None)
        if future is not None:
            future.set_result(reply)

    def discard(self, call_id: str) -> None:
        """Stops waiting for a reply."""
        with self._lock:
            self._futures.pop(call_id, None)


@dataclasses.dataclass
class _Outbound:
    vm_id: str
    address: str
    queue: queue.Queue
    stopped: threading.Event
    connected: bool = False


class Mesh:
    """Links of this entry VM to all others."""

    def __init__(self, identity: Identity, handler: Callable[[str, messages.Message], None]):
        """Creates the mesh without links.

        Args:
            identity: Who this process is.
            handler: Called in a thread of the link with the sender and each message.
        """
        self._identity = identity
        self._handler = handler
        self._lock = threading.Lock()
        self._outbound: dict[str, _Outbound] = {}
        self._server: ws_server.Server | None = None
        self._is_closed = False

    def bind(self, host: str, port: int) -> Identity:
        """Binds the address; returns the identity with the port, which may be chosen for it."""
        self._server = ws_server.serve(
            self._serve,
            host.strip("[]"),
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=0.5,
            server_header=None,
        )
        address = f"{host}:{self._server.socket.getsockname()[1]}"
        self._identity = dataclasses.replace(self._identity, address=address)
        return self._identity

    def start(self) -> None:
        """Accepts links."""
        accept = self._server.serve_forever
        threading.Thread(target=accept, name="peers-accept", daemon=True).start()

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Dials exactly these peers."""
        with self._lock:
            gone = [
                link
                for link in self._outbound.values()
                if addresses.get(link.vm_id) != link.address
            ]
        for link in gone:
            self._drop(link)
        for vm_id, address in addresses.items():
            self.add_peer(vm_id, address)

    def add_peer(self, vm_id: str, address: str) -> None:
        """Dials a peer unless it is dialled already; a new address replaces the old one."""
        if vm_id == self._identity.vm_id:
            return
        with self._lock:
            known = self._outbound.get(vm_id)
            if self._is_closed or (known is not None and known.address == address):
                return
            link = _Outbound(vm_id, address, queue.Queue(QUEUE_LIMIT), threading.Event())
            self._outbound[vm_id] = link
        if known is not None:
            known.stopped.set()
            _put_stop(known.queue)
        threading.Thread(
            target=self._dial, args=(link,), name=f"peers-{vm_id}", daemon=True
        ).start()

    def send(self, vm_id: str, message: messages.Message) -> bool:
        """Queues a message; returns False if there is no link or its queue is full."""
        link = self._outbound.get(vm_id)
        if link is None or not link.connected:
            return False
        try:
            link.queue.put_nowait(message)
        except queue.Full:
            return False
        return True

    def list_connected(self) -> list[str]:
        """Returns the peers to which there is a link."""
        with self._lock:
            return [link.vm_id for link in self._outbound.values() if link.connected]

    def close(self) -> None:
        """Sends what is queued, then closes all links."""
        with self._lock:
            self._is_closed = True
            links = list(self._outbound.values())
        for link in links:
            self._drop(link)
        if self._server is not None:
            self._server.shutdown()

    def _drop(self, link: _Outbound) -> None:
        with self._lock:
            if self._outbound.get(link.vm_id) is link:
                del self._outbound[link.vm_id]
        link.stopped.set()
        _put_stop(link.queue)

    def _dial(self, link: _Outbound) -> None:
        backoff_s = FIRST_BACKOFF_S
        while not link.stopped.is_set():
            try:
                self._run_outbound(link)
                backoff_s = FIRST_BACKOFF_S
            except exceptions.ProtocolError as error:
                _log.warning("peer_rejected", vm_id=link.vm_id, reason=error)
                backoff_s = MAX_BACKOFF_S
            except (OSError, TimeoutError, ws_exceptions.WebSocketException) as error:
                _log.debug("peer_unreachable", vm_id=link.vm_id, reason=error)
            link.connected = False
            if not link.stopped.wait(backoff_s * (0.5 + random.random() / 2)):
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _run_outbound(self, link: _Outbound) -> None:
        host, _, port = link.address.rpartition(":")
        raw = socket.create_connection((host.strip("[]"), int(port)), OPEN_TIMEOUT_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
        dialled = ws_client.connect(
            f"ws://{link.address}/",
            sock=raw,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=0.5,
            user_agent_header=None,
            proxy=None,
        )
        with dialled as connection:
            self._prove_outbound(connection, link.vm_id)
            # What was queued for an earlier link is out of date.
            while not link.queue.empty():
                link.queue.get_nowait()
            link.connected = True
            _log.info("peer_connected", vm_id=link.vm_id)
            while True:
                message = link.queue.get()
                if message is _STOP:
                    return
                connection.send(messages.encode(message))

    def _prove_outbound(self, connection: ws_client.ClientConnection, vm_id: str) -> None:
        identity = self._identity
        challenge = _receive(connection, messages.Challenge)
        if challenge.vm_id != vm_id:
            raise exceptions.ProtocolError(f"address belongs to {challenge.vm_id}")
        nonce = peer_keys.make_nonce()
        parties = (identity.vm_id, vm_id, nonce, challenge.nonce)
        proof = identity.keys.make_proof(peer_keys.Role.DIALLER, *parties)
        hello = messages.Hello(identity.vm_id, identity.boot_id, identity.address, nonce, proof)
        connection.send(messages.encode(hello))
        welcome = _receive(connection, messages.Welcome)
        if not identity.keys.verify_proof(welcome.proof, peer_keys.Role.LISTENER, *parties):
            raise exceptions.ProtocolError("peer does not hold the key")

    def _serve(self, connection: ws_server.ServerConnection) -> None:
        vm_id = "unknown"
        try:
            connection.socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS
            )
            hello = self._prove_inbound(connection)
            vm_id = hello.vm_id
            self.add_peer(hello.vm_id, hello.address)
            for frame in connection:
                message = messages.decode(frame)
                if getattr(message, "vm_id", vm_id) != vm_id:
                    raise exceptions.ProtocolError("message names another sender")
                self._handler(vm_id, message)
        except exceptions.ProtocolError as error:
            _log.warning("peer_message_rejected", vm_id=vm_id, reason=error)
        except (OSError, TimeoutError, ws_exceptions.WebSocketException) as error:
            _log.debug("peer_link_broken", vm_id=vm_id, reason=error)

    def _prove_inbound(self, connection: ws_server.ServerConnection) -> messages.Hello:
        identity = self._identity
        nonce = peer_keys.make_nonce()
        connection.send(messages.encode(messages.Challenge(identity.vm_id, nonce)))
        hello = _receive(connection, messages.Hello)
        parties = (hello.vm_id, identity.vm_id, hello.nonce, nonce)
        if not identity.keys.verify_proof(hello.proof, peer_keys.Role.DIALLER, *parties):
            raise exceptions.ProtocolError("peer does not hold the key")
        proof = identity.keys.make_proof(peer_keys.Role.LISTENER, *parties)
        connection.send(messages.encode(messages.Welcome(proof)))
        return hello


def _receive(connection: Any, kind: type) -> Any:
    message = messages.decode(connection.recv(timeout=OPEN_TIMEOUT_S))
    if not isinstance(message, kind):
        raise exceptions.ProtocolError(f"unexpected {type(message).__name__}")
    return message


def _put_stop(link_queue: queue.Queue) -> None:
    while True:
        try:
            link_queue.put_nowait(_STOP)
            return
        except queue.Full:
            with contextlib.suppress(queue.Empty):
                link_queue.get_nowait()
