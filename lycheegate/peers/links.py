"""Authenticated websocket links between all entry VMs.

Each entry VM opens a link to every peer and only sends on it; it receives on the links that it
has accepted. This way, no rule is needed for which side connects, and a link that fails in one
direction is detected by the sender. Messages of one link arrive in order. A message may be lost
when a link breaks, so every message is either repeated or superseded by a later one.
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
MAX_QUEUED_MESSAGES = 2048
OPEN_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Maximum delay between connection attempts; bounds the time to reconnect to a restarted peer."""

TCP_USER_TIMEOUT_MS = 5000
"""Time without TCP acknowledgements after which the kernel closes a link."""

_STOP = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process among the entry VMs.

    Attributes:
        vm_id: This entry VM.
        boot_id: Identifier of this process.
        address: Address at which peers connect to it, ``host:port``.
        keys: Keys that all entry VMs share.
    """

    vm_id: str
    boot_id: str
    address: str
    keys: peer_keys.PeerKeys


class PendingCalls:
    """Calls whose replies are outstanding, by call identifier."""

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
        """Completes a call with its reply; a reply to an unknown call is dropped."""
        with self._lock:
            future = self._futures.pop(call_id, None)
        if future is not None:
            future.set_result(reply)

    def discard(self, call_id: str) -> None:
        """Removes a call, so that its reply is dropped."""
        with self._lock:
            self._futures.pop(call_id, None)


@dataclasses.dataclass
class _OutboundLink:
    vm_id: str
    address: str
    queue: queue.Queue
    stopped: threading.Event
    connected: bool = False


class Mesh:
    """Links between this entry VM and all others."""

    def __init__(self, identity: Identity, handler: Callable[[str, messages.Message], None]):
        """Creates the mesh without links.

        Args:
            identity: Identity of this process.
            handler: Called with the sender and the message for each message received, on the
                thread of the link.
        """
        self._identity = identity
        self._handler = handler
        self._lock = threading.Lock()
        self._outbound: dict[str, _OutboundLink] = {}
        self._server: ws_server.Server | None = None
        self._is_closed = False

    def bind(self, host: str, port: int) -> Identity:
        """Binds the address to listen on.

        Args:
            host: Host name or IP address.
            port: Port, or 0 to let the operating system choose one.

        Returns:
            The identity of this process, with the bound address.
        """
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
        """Starts to accept links from peers."""
        accept = self._server.serve_forever
        threading.Thread(target=accept, name="peers-accept", daemon=True).start()

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Replaces the set of peers to connect to.

        Args:
            addresses: Address of each peer, by name.
        """
        with self._lock:
            stale = [
                link
                for link in self._outbound.values()
                if addresses.get(link.vm_id) != link.address
            ]
        for link in stale:
            self._stop_link(link)
        for vm_id, address in addresses.items():
            self.add_peer(vm_id, address)

    def add_peer(self, vm_id: str, address: str) -> None:
        """Adds a peer to connect to; for a known peer, a changed address replaces the old one."""
        if vm_id == self._identity.vm_id:
            return
        with self._lock:
            existing = self._outbound.get(vm_id)
            if self._is_closed or (existing is not None and existing.address == address):
                return
            link = _OutboundLink(
                vm_id, address, queue.Queue(MAX_QUEUED_MESSAGES), threading.Event()
            )
            self._outbound[vm_id] = link
        if existing is not None:
            existing.stopped.set()
            _enqueue_stop(existing.queue)
        threading.Thread(
            target=self._maintain_link, args=(link,), name=f"peers-{vm_id}", daemon=True
        ).start()

    def send(self, vm_id: str, message: messages.Message) -> bool:
        """Queues a message for a peer.

        Returns:
            False if there is no link to the peer or its queue is full.
        """
        link = self._outbound.get(vm_id)
        if link is None or not link.connected:
            return False
        try:
            link.queue.put_nowait(message)
        except queue.Full:
            return False
        return True

    def list_connected(self) -> list[str]:
        """Returns the names of the peers to which a link is open."""
        with self._lock:
            return [link.vm_id for link in self._outbound.values() if link.connected]

    def close(self) -> None:
        """Sends the queued messages, then closes all links."""
        with self._lock:
            self._is_closed = True
            links = list(self._outbound.values())
        for link in links:
            self._stop_link(link)
        if self._server is not None:
            self._server.shutdown()

    def _stop_link(self, link: _OutboundLink) -> None:
        with self._lock:
            if self._outbound.get(link.vm_id) is link:
                del self._outbound[link.vm_id]
        link.stopped.set()
        _enqueue_stop(link.queue)

    def _maintain_link(self, link: _OutboundLink) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while not link.stopped.is_set():
            try:
                self._connect_and_send(link)
                backoff_s = INITIAL_BACKOFF_S
            except exceptions.ProtocolError as error:
                _log.warning("peer_rejected", vm_id=link.vm_id, reason=error)
                backoff_s = MAX_BACKOFF_S
            except (OSError, TimeoutError, ws_exceptions.WebSocketException) as error:
                _log.debug("peer_unreachable", vm_id=link.vm_id, reason=error)
            link.connected = False
            if not link.stopped.wait(backoff_s * (0.5 + random.random() / 2)):
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _connect_and_send(self, link: _OutboundLink) -> None:
        host, _, port = link.address.rpartition(":")
        tcp_socket = socket.create_connection((host.strip("[]"), int(port)), OPEN_TIMEOUT_S)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        websocket = ws_client.connect(
            f"ws://{link.address}/",
            sock=tcp_socket,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=0.5,
            user_agent_header=None,
            proxy=None,
        )
        with websocket as connection:
            self._authenticate_to_listener(connection, link.vm_id)
            # Messages that were queued for a previous link are outdated.
            while not link.queue.empty():
                link.queue.get_nowait()
            link.connected = True
            _log.info("peer_connected", vm_id=link.vm_id)
            while True:
                message = link.queue.get()
                if message is _STOP:
                    return
                connection.send(messages.encode(message))

    def _authenticate_to_listener(self, connection: ws_client.ClientConnection, vm_id: str) -> None:
        identity = self._identity
        challenge = _receive(connection, messages.Challenge)
        if challenge.vm_id != vm_id:
            raise exceptions.ProtocolError(
                f"peer address belongs to another entry VM: expected {vm_id}, "
                f"got {challenge.vm_id!r:.80}"
            )
        nonce = peer_keys.make_nonce()
        parties = (identity.vm_id, vm_id, nonce, challenge.nonce)
        proof = identity.keys.make_proof(peer_keys.Role.DIALLER, *parties)
        hello = messages.Hello(identity.vm_id, identity.boot_id, identity.address, nonce, proof)
        connection.send(messages.encode(hello))
        welcome = _receive(connection, messages.Welcome)
        if not identity.keys.verify_proof(welcome.proof, peer_keys.Role.LISTENER, *parties):
            raise exceptions.ProtocolError(f"peer {vm_id}: invalid proof, the peer keys may differ")

    def _serve(self, connection: ws_server.ServerConnection) -> None:
        vm_id = "unknown"
        try:
            connection.socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
            hello = self._authenticate_dialler(connection)
            vm_id = hello.vm_id
            self.add_peer(hello.vm_id, hello.address)
            for frame in connection:
                message = messages.decode(frame)
                if getattr(message, "vm_id", vm_id) != vm_id:
                    raise exceptions.ProtocolError(
                        f"{type(message).__name__} on the link of {vm_id} names another sender: "
                        f"{message.vm_id!r:.80}"
                    )
                self._handler(vm_id, message)
        except exceptions.ProtocolError as error:
            _log.warning("peer_message_rejected", vm_id=vm_id, reason=error)
        except (OSError, TimeoutError, ws_exceptions.WebSocketException) as error:
            _log.debug("peer_link_broken", vm_id=vm_id, reason=error)

    def _authenticate_dialler(self, connection: ws_server.ServerConnection) -> messages.Hello:
        identity = self._identity
        nonce = peer_keys.make_nonce()
        connection.send(messages.encode(messages.Challenge(identity.vm_id, nonce)))
        hello = _receive(connection, messages.Hello)
        parties = (hello.vm_id, identity.vm_id, hello.nonce, nonce)
        if not identity.keys.verify_proof(hello.proof, peer_keys.Role.DIALLER, *parties):
            raise exceptions.ProtocolError(
                f"peer {hello.vm_id!r:.80}: invalid proof, the peer keys may differ"
            )
        proof = identity.keys.make_proof(peer_keys.Role.LISTENER, *parties)
        connection.send(messages.encode(messages.Welcome(proof)))
        return hello


def _receive(connection: Any, kind: type) -> Any:
    message = messages.decode(connection.recv(timeout=OPEN_TIMEOUT_S))
    if not isinstance(message, kind):
        raise exceptions.ProtocolError(
            f"expected message {kind.__name__}, got {type(message).__name__}"
        )
    return message


def _enqueue_stop(link_queue: queue.Queue) -> None:
    while True:
        try:
            link_queue.put_nowait(_STOP)
            return
        except queue.Full:
            with contextlib.suppress(queue.Empty):
                link_queue.get_nowait()
