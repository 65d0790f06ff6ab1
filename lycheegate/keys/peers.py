"""Mutual challenge-response authentication of entry VMs with a shared key.

Each side sends a random nonce and its identifier, then a proof: an HMAC over its role, both
identifiers and both nonces. The role prevents reflection of a proof to its sender, and the nonces
prevent its replay on another connection.
"""

import enum
import hashlib
import hmac
import secrets

__all__ = ["NONCE_BYTES", "PeerKeys", "Role", "make_nonce"]

NONCE_BYTES = 32
_PROOF_CONTEXT = b"lycheegate peer 1"


class Role(enum.StrEnum):
    """Side of a connection: the one that opened it or the one that accepted it."""

    DIALLER = "dialler"
    LISTENER = "listener"


def make_nonce() -> bytes:
    """Returns a random nonce for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


class PeerKeys:
    """Keys shared by all entry VMs.

    Proofs are created with the first key and accepted with any key, so during a key rotation no
    two entry VMs reject each other.
    """

    def __init__(self, text: str):
        """Parses keys separated by white space.

        Raises:
            ValueError: The text contains no key.
        """
        self._keys = tuple(key.encode() for key in text.split())
        if not self._keys:
            raise ValueError("expected at least one peer key, got none")

    def __repr__(self) -> str:
        """Returns a representation without the keys, for tracebacks and logs."""
        return f"PeerKeys({len(self._keys)})"

    def make_proof(
        self, role: Role, dialler: str, listener: str, dialler_nonce: bytes, listener_nonce: bytes
    ) -> bytes:
        """Returns the proof for the side ``role``, created with the first key."""
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
        """Returns whether a proof is valid for the side ``role``; compares in constant time.

        Nonces that are not ``NONCE_BYTES`` long are rejected, so a peer cannot send an empty one.
        """
        if len(dialler_nonce) != NONCE_BYTES or len(listener_nonce) != NONCE_BYTES:
            return False
        message = _join(role, dialler, listener, dialler_nonce, listener_nonce)
        # All keys are tried, so the duration does not reveal which of them matched.
        matches = [hmac.compare_digest(_sign(key, message), proof) for key in self._keys]
        return any(matches)


def _sign(key: bytes, message: bytes) -> bytes:
    return hmac.new(key, message, hashlib.sha256).digest()


def _join(
    role: Role, dialler: str, listener: str, dialler_nonce: bytes, listener_nonce: bytes
) -> bytes:
    # Each part is prefixed with its length; otherwise, ("ab", "c") and ("a", "bc") would be equal.
    parts = (_PROOF_CONTEXT, role.encode(), dialler.encode(), listener.encode())
    return b"".join(
        len(part).to_bytes(4, "big") + part for part in (*parts, dialler_nonce, listener_nonce)
    )
