"""Messages between entry VMs: one CBOR array ``[type, fields]`` per websocket frame."""

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
    """First frame of the listener: who it is, and a random value for the dialler to prove."""

    vm_id: str
    nonce: bytes


class Hello(msgspec.Struct, frozen=True):
    """Reply to the challenge: who dials, its own address, the proof, and a random value."""

    vm_id: str
    boot_id: str
    address: str
    nonce: bytes
    proof: bytes


class Welcome(msgspec.Struct, frozen=True):
    """Proof of the listener; the link carries messages from then on."""

    proof: bytes


class OwnedPartition(msgspec.Struct, frozen=True):
    """A partition that the sender owns.

    Attributes:
        epoch: Epoch of the ownership.
        open_requests: Requests that have not ended.
        slots: Slots of its workers that accept work.
    """

    epoch: int
    open_requests: int = 0
    slots: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """State of the sender.

    Attributes:
        vm_id: Sender.
        boot_id: Changes with each start of its process.
        data_centre: Where it is.
        release: Number of its release.
        prepared: Highest release number it has acknowledged but not seen decided, or 0.
        table_ok_age_s: Time since it last read the release head, or None if never.
        settled: Whether it read the head long enough after its start that no acknowledgement
            of an earlier process of its can still lead to a release.
        owned: Partitions that it owns.
        draining: Whether it is about to exit.
        sent_s: Monotonic time of the sender.
        echo_s: The latest ``sent_s`` that the sender has received from the recipient. It dates
            this message on the recipient's clock, even if the message was delayed on its way.
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
    """Asks whether release ``number`` may be accepted.

    With ``withdrawn``, says that the release will certainly not be accepted by the sender.
    """

    call_id: str
    number: int
    withdrawn: bool = False
    proposal: str = ""


class ReleaseAck(msgspec.Struct, frozen=True):
    """Reply to ``ReleasePrepare``; ``accepted`` is false if the sender knows a newer release."""

    call_id: str
    number: int
    accepted: bool


class ReleasePush(msgspec.Struct, frozen=True):
    """An accepted release; the recipient reads its document from the table."""

    number: int
    document: dict[str, Any] | None = None


class Ended(msgspec.Struct, frozen=True):
    """A request has ended; ``answer`` is present if it is small enough for one frame."""

    request_id: str
    end: dict[str, Any]
    answer: bytes | None = None


class Submit(msgspec.Struct, frozen=True):
    """Hands a request to the owner of its partition; repeated until it is answered.

    Attributes:
        call_id: Returned by the reply.
        partition: Partition of the request.
        record: Value of the request record.
        version: Version of its row; 0 if it is served without a record.
        wait: Whether the sender wants ``Ended`` for it.
        repeated: Whether it may have been handed over before, so that ``record`` may be old.
    """

    call_id: str
    partition: str
    record: dict[str, Any]
    version: int
    wait: bool = True
    repeated: bool = False


class SubmitReply(msgspec.Struct, frozen=True):
    """Reply to ``Submit``."""

    call_id: str
    request_id: str
    state: Literal["queued", "ended", "not_owner"]
    epoch: int = 0


class Cancel(msgspec.Struct, frozen=True):
    """The caller wants the request stopped."""

    partition: str
    request_id: str


class Status(msgspec.Struct, frozen=True):
    """Asks for a part of the recipient's status."""

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
        ProtocolError: The frame is not a known message.
    """
    try:
        name, fields = cbor2.loads(frame)
        return msgspec.convert(fields, _TYPES[name], builtin_types=(bytes,))
    except (cbor2.CBORError, msgspec.ValidationError, KeyError, TypeError, ValueError) as error:
        raise exceptions.ProtocolError(f"malformed peer message: {error!r}") from error
