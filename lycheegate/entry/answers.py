"""Verification, storage and loading of answers, with a bound on their memory."""

import hashlib
import threading
from typing import Any, Protocol

import msgspec
from returns import result

from lycheegate.entry import records
from lycheegate.utils import exceptions

__all__ = [
    "AnswerBudget",
    "ObjectStore",
    "check",
    "load",
    "load_payload",
    "make_reference",
    "store",
]


class ObjectStore(Protocol):
    """Interface of the object store; it fails with the errors of the table service."""

    def put(self, key: str, data: bytes) -> result.Result[None, exceptions.LycheegateError]:
        """Stores an object."""

    def get(self, key: str) -> result.Result[bytes | None, exceptions.LycheegateError]:
        """Returns an object, or None if it is absent."""


class AnswerBudget:
    """Limit on the total size of the answers in memory."""

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._condition = threading.Condition()
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Number of bytes acquired and not yet released."""
        return self._used_bytes

    def acquire_bytes(self, size_bytes: int, timeout_s: float) -> bool:
        """Acquires memory for an answer; returns False if none is free within the timeout.

        An answer larger than the whole limit is admitted when no other answer is in memory.
        """
        with self._condition:
            is_free = self._condition.wait_for(
                lambda: not self._used_bytes or self._used_bytes + size_bytes <= self._limit_bytes,
                timeout_s,
            )
            if is_free:
                self._used_bytes += size_bytes
            return is_free

    def release_bytes(self, size_bytes: int) -> None:
        """Releases acquired bytes."""
        with self._condition:
            self._used_bytes -= size_bytes
            self._condition.notify_all()


def check(
    body: bytes, length: int, sha256: str, request_id: str, stated_request_id: str
) -> result.Result[bytes, exceptions.ProtocolError]:
    """Verifies that a body is the complete answer of a request.

    Args:
        body: Answer as received.
        length: Length reported by the worker, in bytes.
        sha256: SHA-256 checksum reported by the worker, in hexadecimal.
        request_id: Request whose answer is expected.
        stated_request_id: Request reported by the worker.

    Returns:
        The body, or a failure that names the mismatch.
    """
    if stated_request_id != request_id:
        return result.Failure(
            exceptions.ProtocolError(
                f"expected the answer of request {request_id!r}, got that of {stated_request_id!r}"
            )
        )
    if len(body) != length:
        return result.Failure(
            exceptions.ProtocolError(
                f"answer of request {request_id!r}: expected {length} bytes, got {len(body)}"
            )
        )
    if hashlib.sha256(body).hexdigest() != sha256.lower():
        return result.Failure(
            exceptions.ProtocolError(
                f"answer of request {request_id!r}: checksum mismatch: "
                f"expected SHA-256 {sha256} for {length} bytes"
            )
        )
    return result.Success(body)


def make_reference(body: bytes) -> records.AnswerReference:
    """Returns a reference with the length and checksum of an answer that is not stored."""
    return records.AnswerReference(len(body), hashlib.sha256(body).hexdigest())


def store(
    objects: ObjectStore, request_id: str, attempt_id: str, body: bytes
) -> result.Result[records.AnswerReference, exceptions.LycheegateError]:
    """Stores an answer and returns its reference.

    Up to ``records.INLINE_BYTES``, the answer is part of the reference; above, it is written to the
    object store.
    """
    reference = make_reference(body)
    if len(body) <= records.INLINE_BYTES:
        return result.Success(msgspec.structs.replace(reference, inline=body))
    key = f"answer-{request_id}-{attempt_id}"
    return objects.put(key, body).map(lambda _: msgspec.structs.replace(reference, object_key=key))


def load(
    objects: ObjectStore, reference: records.AnswerReference
) -> result.Result[bytes, exceptions.LycheegateError]:
    """Loads an answer and verifies its length and checksum."""
    if reference.inline is not None:
        return _check_loaded(reference, reference.inline)
    return objects.get(reference.object_key).bind(lambda body: _check_loaded(reference, body))


def load_payload(
    objects: ObjectStore, key: str
) -> result.Result[dict[str, Any], exceptions.LycheegateError]:
    """Loads a payload from the object store."""
    return objects.get(key).bind(_decode_payload)


def _decode_payload(
    data: bytes | None,
) -> result.Result[dict[str, Any], exceptions.LycheegateError]:
    if data is None:
        return result.Failure(exceptions.UnavailableError("payload is missing in the object store"))
    try:
        return result.Success(msgspec.json.decode(data, type=dict[str, Any]))
    except msgspec.DecodeError as error:
        return result.Failure(
            exceptions.UnavailableError(
                f"stored payload of {len(data)} bytes is not a JSON object: {error}"
            )
        )


def _check_loaded(
    reference: records.AnswerReference, body: bytes | None
) -> result.Result[bytes, exceptions.LycheegateError]:
    if body is None or len(body) != reference.length:
        return result.Failure(
            exceptions.UnavailableError(
                f"stored answer missing or truncated: expected {reference.length} bytes, "
                f"got {len(body or b'')}"
            )
        )
    if hashlib.sha256(body).hexdigest() != reference.sha256:
        return result.Failure(
            exceptions.UnavailableError(
                f"stored answer of {reference.length} bytes: checksum mismatch: "
                f"expected SHA-256 {reference.sha256}"
            )
        )
    return result.Success(body)
