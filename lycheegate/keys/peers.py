"""Mutual challenge of entry VMs that connect to each other, with a shared key.

Each side sends a random nonce and its identifier, then a proof: an HMAC over its role, both
identifiers and both nonces. The role keeps a proof from being sent back to its maker, and the
nonces keep it from being used for another connection.
"""

import enum
import hashlib
import hmac
import secrets

__all__ = ["NONCE_BYTES", "PeerKeys", "Role", "make_nonce"]

NONCE_BYTES = 32
_CONTEXT = b"lycheegate peer 1"


class Role(enum.StrEnum):
    """Which side of the connection made a proof."""

    DIALLER = "dialler"
    LISTENER = "listener"


def make_nonce() -> bytes:
    """Returns a new random nonce for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


class PeerKeys:
    """Keys shared by all entry VMs.

    Proofs are made with the first key and accepted with any, so that keys are rotated without a
    moment in which two entry VMs refuse each other.
    """

    def __init__(self, text: str):
        """Reads keys separated by white space.

        Raises:
            ValueError: There is no key.
        """
        self._keys = tuple(key.encode() for key in text.split())
        if not self._keys:
            raise ValueError("no key of peers")

    def __repr__(self) -> str:
        """Returns a text without the keys, for tracebacks and logs."""
        return f"PeerKeys({len(self._keys)})"

    def make_proof(
        self, role: Role, dialler: str, listener: str, dialler_nonce: bytes, listener_nonce: bytes
    ) -> bytes:
        """Returns the proof of the side with ``role``."""
        message = _join(role, dialler, listener, dialler_nonce, listener_nonce)
        return _sign(self._keys[0], message)

    def verify_proof(
        self,
        proof: bytes,
        role: Role,
        dialler: str,
        listener: str,
        dialler_nonce: bytes,
        listener_nonce: bytes,
    ) -> bool:
        """Returns whether a proof was made by the side with ``role``, in constant time.

        A nonce of another length is refused, so that a peer cannot choose an empty one.
        """
        if len(dialler_nonce) != NONCE_BYTES or len(listener_nonce) != NONCE_BYTES:
            return False
        message = _join(role, dialler, listener, dialler_nonce, listener_nonce)
        # All keys are tried, so that the time does not tell which of them matched.
        matches = [hmac.compare_digest(_sign(key, message), proof) for key in self._keys]
        return any(matches)


def _sign(key: bytes, message: bytes) -> bytes:
    return hmac.new(key, message, hashlib.sha256).digest()


def _join(
    role: Role, dialler: str, listener: str, dialler_nonce: bytes, listener_nonce: bytes
) -> bytes:
    # Lengths keep the parts apart: without them, ("ab", "c") and ("a", "bc") would be the same.
    parts = (_CONTEXT, role.encode(), dialler.encode(), listener.encode())
    return b"".join(
        len(part).to_bytes(4, "big") + part for part in (*parts, dialler_nonce, listener_nonce)
    )
