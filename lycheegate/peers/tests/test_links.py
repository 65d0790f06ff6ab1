"""Tests of the messages and links between entry VMs."""

import queue
import threading

import cbor2
import hypothesis
import hypothesis.strategies as st
import pytest
from websockets import exceptions as ws_exceptions
from websockets.sync import client as ws_client
from websockets.sync import server as ws_server

from lycheegate.keys import peers as peer_keys
from lycheegate.peers import links, messages
from lycheegate.utils import exceptions

KEY = "k" * 40
WAIT_S = 20.0


def _make_mesh(vm_id, key=KEY):
    inbox = queue.Queue()
    identity = links.Identity(vm_id, "boot", "", peer_keys.PeerKeys(key))
    mesh = links.Mesh(identity, lambda sender, message: inbox.put((sender, message)))
    address = mesh.bind("127.0.0.1", 0).address
    mesh.start()
    return mesh, inbox, address


def _send_until_received(mesh, vm_id, message, inbox):
    """Sends the message repeatedly until it arrives, because the link may not be open yet."""
    for _ in range(int(WAIT_S / 0.05)):
        mesh.send(vm_id, message)
        try:
            return inbox.get(timeout=0.05)
        except queue.Empty:
            continue
    raise AssertionError("message did not arrive")


@pytest.mark.parametrize(
    "message",
    [
        messages.Heartbeat(
            "a", "b", "dc", 3, 4, None, True, {"dc/0": messages.OwnedPartition(7)}, False, 1.5, None
        ),
        messages.Submit("c", "dc/0", {"request_id": "r"}, 3),
        messages.Ended("r", {"end": "answered"}, b"\x00\xff"),
        messages.ReleasePush(4, {"number": 4}),
    ],
)
def test_round_trip(message):
    """Guards against fields that are lost or changed by encoding and decoding."""
    assert messages.decode(messages.encode(message)) == message


@hypothesis.given(
    st.one_of(
        st.binary(max_size=60),
        st.tuples(
            st.sampled_from(["heartbeat", "submit", "x"]), st.dictionaries(st.text(), st.integers())
        ).map(lambda pair: cbor2.dumps(list(pair))),
    )
)
def test_malformed_frame(frame):
    """Guards against a malformed frame that raises an unhandled exception in a link's thread."""
    with pytest.raises(exceptions.ProtocolError):
        messages.decode(frame)


def test_exchange_in_both_directions():
    """Guards against a peer outside the seed list to which no link is opened in return."""
    first, first_inbox, _ = _make_mesh("a")
    second, second_inbox, address = _make_mesh("b")
    try:
        first.add_peer("b", address)
        received = _send_until_received(first, "b", messages.ReleasePush(1), second_inbox)
        assert received == ("a", messages.ReleasePush(1))
        received = _send_until_received(second, "a", messages.ReleasePush(2), first_inbox)
        assert received == ("b", messages.ReleasePush(2))
    finally:
        first.close()
        second.close()


def test_reconnect_after_restart():
    """Guards against a link that stays broken after the peer has restarted."""
    first, _, _ = _make_mesh("a")
    second, inbox, address = _make_mesh("b")
    first.add_peer("b", address)
    _send_until_received(first, "b", messages.ReleasePush(1), inbox)
    second.close()
    third, inbox, address = _make_mesh("b")
    try:
        first.add_peer("b", address)
        _send_until_received(first, "b", messages.ReleasePush(2), inbox)
    finally:
        first.close()
        third.close()


@pytest.mark.parametrize("side", ["dialler", "listener"])
def test_reject_peer_with_another_key(side):
    """Guards against a link to a peer with another key, on either side."""
    keys = (KEY, "x" * 40) if side == "listener" else ("x" * 40, KEY)
    first, _, _ = _make_mesh("a", keys[0])
    second, inbox, address = _make_mesh("b", keys[1])
    try:
        first.add_peer("b", address)
        for _ in range(20):
            first.send("b", messages.ReleasePush(1))
            with pytest.raises(queue.Empty):
                inbox.get(timeout=0.02)
        assert first.list_connected() == []
    finally:
        first.close()
        second.close()


def test_reject_message_before_authentication():
    """Guards against messages that are handled on an unauthenticated link."""
    mesh, inbox, address = _make_mesh("b")
    try:
        with ws_client.connect(f"ws://{address}/", compression=None, proxy=None) as connection:
            connection.recv(timeout=WAIT_S)
            connection.send(messages.encode(messages.ReleasePush(9)))
            with pytest.raises(Exception):  # noqa: B017 - any end of the connection
                connection.recv(timeout=WAIT_S)
        assert inbox.empty()
    finally:
        mesh.close()


def test_listener_rejects_dialler_with_invalid_proof():
    """Guards against a dialler that knows the name of an entry VM but not the key."""
    mesh, inbox, address = _make_mesh("b")
    try:
        with ws_client.connect(f"ws://{address}/", compression=None, proxy=None) as connection:
            connection.recv(timeout=WAIT_S)
            hello = messages.Hello("a", "boot", address, peer_keys.make_nonce(), b"x" * 32)
            connection.send(messages.encode(hello))
            with pytest.raises(Exception):  # noqa: B017 - any end of the connection
                connection.recv(timeout=WAIT_S)
        assert inbox.empty()
    finally:
        mesh.close()


def test_dialler_rejects_listener_with_invalid_proof():
    """Guards against a listener at the address of a peer that does not have the key."""
    frames = queue.Queue()

    def serve(connection):
        challenge = messages.Challenge("b", peer_keys.make_nonce())
        connection.send(messages.encode(challenge))
        connection.recv(timeout=WAIT_S)
        connection.send(messages.encode(messages.Welcome(b"x" * 32)))
        try:
            frames.put(connection.recv(timeout=WAIT_S))
        except ws_exceptions.ConnectionClosed:
            frames.put(None)

    mesh, _, _ = _make_mesh("a")
    with ws_server.serve(serve, "127.0.0.1", 0, compression=None) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            mesh.add_peer("b", f"127.0.0.1:{server.socket.getsockname()[1]}")
            # A dialler that accepted the proof would be connected and send this message.
            while frames.empty():
                assert not mesh.send("b", messages.ReleasePush(1))
            assert frames.get() is None
        finally:
            mesh.close()
            server.shutdown()


def test_full_queue_rejects_messages(monkeypatch):
    """Guards against a queue that grows without bound while a peer does not read."""
    monkeypatch.setattr(links, "MAX_QUEUED_MESSAGES", 2)
    mesh, _, _ = _make_mesh("a")
    second, _, address = _make_mesh("b")
    try:
        mesh.add_peer("b", address)
        received = [
            mesh.send("b", messages.ReleasePush(n, {"x": "y" * 100_000})) for n in range(3000)
        ]
        assert not all(received)
    finally:
        mesh.close()
        second.close()
