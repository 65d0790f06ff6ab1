"""Answers: checked against length and digest, kept, and loaded again."""

import hashlib
import threading
from typing import Any, Protocol

import msgspec
from returns import result

from lycheegate.entry import records
from lycheegate.utils import exceptions

__all__ = ["Budget", "ObjectStore", "check", "load", "load_payload", "make_reference", "store"]


class ObjectStore(Protocol):
    """What is needed of the object store; failures are those of the table service."""

    def put(self, key: str, data: bytes) -> result.Result[None, exceptions.LycheegateError]:
        """Stores an object."""

    def get(self, key: str) -> result.Result[bytes | None, exceptions.LycheegateError]:
        """Returns an object, or None if it is absent."""


class Budget:
    """Bound on the bytes of answers that are in memory at once."""

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._condition = threading.Condition()
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that are taken."""
        return self._used_bytes

    def take(self, size_bytes: int, timeout_s: float) -> bool:
        """Takes bytes, waiting for room; returns False if there was none in time.

        An answer above the whole limit is let in alone.
        """
        with self._condition:
            is_free = self._condition.wait_for(
                lambda: not self._used_bytes or self._used_bytes + size_bytes <= self._limit_bytes,
                timeout_s,
            )
            if is_free:
                self._used_bytes += size_bytes
            return is_free

    def give_back(self, size_bytes: int) -> None:
        """Gives taken bytes back."""
        with self._condition:
            self._used_bytes -= size_bytes
            self._condition.notify_all()


def check(
    body: bytes, length: int, sha256: str, request_id: str, stated_request_id: str
) -> result.Result[bytes, exceptions.ProtocolError]:
    """Returns the body if it is the whole answer to this request.

    Args:
        body: Answer as received.
        length: Length that the worker stated.
        sha256: Digest that the worker stated, in hexadecimal.
        request_id: Request whose answer is wanted.
        stated_request_id: Request that the worker stated.
    """
    if stated_request_id != request_id:
        return result.Failure(exceptions.ProtocolError("answer to another request"))
    if len(body) != length:
        return result.Failure(exceptions.ProtocolError(f"{len(body)} bytes of {length}"))
    if hashlib.sha256(body).hexdigest() != sha256.lower():
        return result.Failure(exceptions.ProtocolError("digest does not match"))
    return result.Success(body)


def make_reference(body: bytes) -> records.AnswerReference:
    """Returns the reference of an answer that is not kept."""
    return records.AnswerReference(len(body), hashlib.sha256(body).hexdigest())


def store(
    objects: ObjectStore, request_id: str, attempt_id: str, body: bytes
) -> result.Result[records.AnswerReference, exceptions.LycheegateError]:
    """Returns the reference of an answer, after storing it if it is not kept inline."""
    reference = make_reference(body)
    if len(body) <= records.INLINE_BYTES:
        return result.Success(msgspec.structs.replace(reference, inline=body))
    key = f"answer-{request_id}-{attempt_id}"
    return objects.put(key, body).map(lambda _: msgspec.structs.replace(reference, object_key=key))


def load(
    objects: ObjectStore, reference: records.AnswerReference
) -> result.Result[bytes, exceptions.LycheegateError]:
    """Returns the answer of a reference after checking it again."""
    if reference.inline is not None:
        return _check_loaded(reference, reference.inline)
    return objects.get(reference.object_key).bind(lambda body: _check_loaded(reference, body))


def load_payload(
    objects: ObjectStore, key: str
) -> result.Result[dict[str, Any], exceptions.LycheegateError]:
    """Returns a payload that is kept in the object store."""
    return objects.get(key).bind(_decode_payload)


def _decode_payload(
    data: bytes | None,
) -> result.Result[dict[str, Any], exceptions.LycheegateError]:
    if data is None:
        return result.Failure(exceptions.UnavailableError("payload is missing"))
    try:
        return result.Success(msgspec.json.decode(data, type=dict[str, Any]))
    except msgspec.DecodeError as error:
        return result.Failure(exceptions.UnavailableError(f"payload is damaged: {error}"))


def _check_loaded(
    reference: records.AnswerReference, body: bytes | None
) -> result.Result[bytes, exceptions.LycheegateError]:
    if body is None or len(body) != reference.length:
        return result.Failure(exceptions.UnavailableError("stored answer is not whole"))
    if hashlib.sha256(body).hexdigest() != reference.sha256:
        return result.Failure(exceptions.UnavailableError("stored answer is damaged"))
    return result.Success(body)
