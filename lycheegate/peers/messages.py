"""Messages between entry VMs. Each websocket frame is a CBOR array ``[type, fields]``."""

from typing import Any, Literal

import cbor2
import msgspec

from lycheegate.utils import exceptions

__all__ = [
    "Cancel",
    "Challenge",
    "Ended",
    "Heartbeat",
    "Hello",
    "Message",
    "OwnedPartition",
    "ReleaseAck",
    "ReleasePrepare",
    "ReleasePush",
    "Status",
    "StatusReply",
    "Submit",
    "SubmitReply",
    "Welcome",
    "decode",
    "encode",
]


class Challenge(msgspec.Struct, frozen=True):
    """First frame of a link, from the listener: its name and a nonce for the dialler's proof."""

    vm_id: str
    nonce: bytes


class Hello(msgspec.Struct, frozen=True):
    """Reply of the dialler: its identity, its proof, and a nonce for the listener's proof."""

    vm_id: str
    boot_id: str
    address: str
    nonce: bytes
    proof: bytes


class Welcome(msgspec.Struct, frozen=True):
    """Proof of the listener, which completes the handshake."""

    proof: bytes


class OwnedPartition(msgspec.Struct, frozen=True):
    """A partition that the sender owns.

    Attributes:
        epoch: Epoch of the ownership.
        open_requests: Requests that have not ended.
        slots: Total slots of its workers that accept work.
    """

    epoch: int
    open_requests: int = 0
    slots: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """Periodic report of an entry VM to its peers.

    Attributes:
        vm_id: Sender.
        boot_id: Identifier of the sender's process.
        data_centre: Data centre of the sender.
        release: Number of the release in force on the sender.
        prepared: Highest release number that the sender has acknowledged and that is undecided,
            or 0.
        table_ok_age_s: Time since the sender's latest successful read of the release head, or None
            if there was none.
        settled: Whether the sender has read the head late enough after its start that no
            acknowledgement of its previous process can still lead to a release.
        owned: Partitions that the sender owns, by name.
        draining: Whether the sender is about to exit.
        sent_s: Time of sending on the sender's monotonic clock.
        echo_s: The latest ``sent_s`` that the sender has received from the recipient, or None. It
            lets the recipient date the heartbeat on its own clock, however long it was delayed.
    """

    vm_id: str
    boot_id: str
    data_centre: str
    release: int
    prepared: int
    table_ok_age_s: float | None
    settled: bool
    owned: dict[str, OwnedPartition]
    draining: bool
    sent_s: float
    echo_s: float | None


class ReleasePrepare(msgspec.Struct, frozen=True):
    """Asks the recipient to acknowledge a proposal of release ``number``.

    With ``withdrawn``, announces that the proposal will not be accepted.
    """

    call_id: str
    number: int
    withdrawn: bool = False
    proposal: str = ""


class ReleaseAck(msgspec.Struct, frozen=True):
    """Reply to ``ReleasePrepare``.

    ``accepted`` is false if the release in force on the sender is not older than the proposed one.
    """

    call_id: str
    number: int
    accepted: bool


class ReleasePush(msgspec.Struct, frozen=True):
    """Announces an accepted release.

    If ``document`` is absent, the recipient reads it from the table.
    """

    number: int
    document: dict[str, Any] | None = None


class Ended(msgspec.Struct, frozen=True):
    """Announces the end of a request.

    ``answer`` is absent if there is none, or if it is part of ``end`` or too large for the message.
    """

    request_id: str
    end: dict[str, Any]
    answer: bytes | None = None


class Submit(msgspec.Struct, frozen=True):
    """Submits a request to the owner of its partition; repeated until a reply arrives.

    Attributes:
        call_id: Identifier of the call, which the reply repeats.
        partition: Partition of the request.
        record: Value of the request record.
        version: Version of the row of the record; 0 if the request is served without a record.
        wait: Whether the sender wants to be sent ``Ended`` for the request.
        repeated: Whether the request may have been submitted before, so that ``record`` may be
            outdated.
    """

    call_id: str
    partition: str
    record: dict[str, Any]
    version: int
    wait: bool = True
    repeated: bool = False


class SubmitReply(msgspec.Struct, frozen=True):
    """Reply to ``Submit``.

    Attributes:
        call_id: ``call_id`` of the ``Submit``.
        request_id: Identifier of the request.
        state: Whether the sender has accepted the request, has found that the request has ended,
            or does not own its partition.
        epoch: Epoch of the sender's ownership, or 0 without one.
    """

    call_id: str
    request_id: str
    state: Literal["queued", "ended", "not_owner"]
    epoch: int = 0


class Cancel(msgspec.Struct, frozen=True):
    """Asks the owner of a partition to cancel a request on behalf of its caller."""

    partition: str
    request_id: str


class Status(msgspec.Struct, frozen=True):
    """Asks for the part of the recipient's status that ``subject`` names."""

    call_id: str
    subject: str


class StatusReply(msgspec.Struct, frozen=True):
    """Reply to ``Status``."""

    call_id: str
    value: dict[str, Any]


Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | ReleasePrepare
    | ReleaseAck
    | ReleasePush
    | Submit
    | SubmitReply
    | Cancel
    | Ended
    | Status
    | StatusReply
)

_TYPES: dict[str, type] = {
    "challenge": Challenge,
    "hello": Hello,
    "welcome": Welcome,
    "heartbeat": Heartbeat,
    "release_prepare": ReleasePrepare,
    "release_ack": ReleaseAck,
    "release_push": ReleasePush,
    "submit": Submit,
    "submit_reply": SubmitReply,
    "cancel": Cancel,
    "ended": Ended,
    "status": Status,
    "status_reply": StatusReply,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def encode(message: Message) -> bytes:
    """Returns the frame of a message."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([_NAMES[type(message)], fields])


def decode(frame: bytes) -> Message:
    """Returns the message of a frame.

    Raises:
        ProtocolError: The frame is malformed or its message type is unknown.
    """
    try:
        name, fields = cbor2.loads(frame)
        return msgspec.convert(fields, _TYPES[name], builtin_types=(bytes,))
    except (cbor2.CBORError, msgspec.ValidationError, KeyError, TypeError, ValueError) as error:
        raise exceptions.ProtocolError(
            f"malformed peer message of {len(frame)} bytes: {error!r}"
        ) from error
