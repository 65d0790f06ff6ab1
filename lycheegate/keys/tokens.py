"""Bearer tokens of callers and operators.

A token has the form ``lyg_<salt>_<secret>``, and its hash ``sha256$<salt>$<digest>``. The salt is
public and part of both, so the principal of a token is found with one lookup; the digest is then
compared in constant time. The secret has 256 random bits, so a slow hash would add no security.
"""

import dataclasses
import datetime
import enum
import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable

from returns import result

__all__ = [
    "HASH_PATTERN",
    "Principal",
    "TokenIndex",
    "TokenProblem",
    "find_salt",
    "hash_token",
    "make_token",
    "parse_bearer",
    "verify_token",
]

HASH_PATTERN = r"^sha256\$[0-9a-f]{16}\$[0-9a-f]{64}\Z"
_TOKEN_PATTERN = re.compile(
    r"^lyg_(?P<salt>[0-9a-f]{16})_(?P<secret>[A-Za-z0-9_-]{43})\Z", re.ASCII
)
_SALT_BYTES = 8
_SECRET_BYTES = 32
# Used if no principal has the salt, so an unknown salt also costs one hash and one comparison and
# cannot be detected by its response time.
_DUMMY_HASH = f"sha256${'0' * 16}${'0' * 64}"


class TokenProblem(enum.StrEnum):
    """Reason why a token was rejected."""

    MISSING = "missing"
    WRONG = "wrong"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """A caller or operator who authenticates with a token.

    Attributes:
        name: Name of the caller or operator.
        token_hash: Hash of the token.
        expires_on: Last day on which the token is valid, as an ISO date, or None.
    """

    name: str
    token_hash: str
    expires_on: str | None = None


def make_token() -> str:
    """Returns a random token."""
    return f"lyg_{secrets.token_hex(_SALT_BYTES)}_{secrets.token_urlsafe(_SECRET_BYTES)}"


def hash_token(token: str) -> str:
    """Returns the hash of a token, for settings files and release notes.

    Raises:
        ValueError: The token is malformed.
    """
    match = _TOKEN_PATTERN.match(token)
    if match is None:
        raise ValueError(
            "malformed token: expected lyg_<16 hexadecimal digits>_<43 characters>, "
            f"got {len(token)} characters"
        )
    return f"sha256${match['salt']}${_digest(token)}"


def find_salt(token_hash: str) -> str:
    """Returns the salt of a token hash."""
    return token_hash.split("$")[1]


def verify_token(
    token: str, token_hash: str, expires_on: str | None, today: datetime.date
) -> result.Result[None, TokenProblem]:
    """Compares a token with a hash in constant time, then checks its expiry.

    The expiry is reported only if the token matches.

    Args:
        token: Token as presented.
        token_hash: Hash returned by ``hash_token``.
        expires_on: Last day on which the token is valid, as an ISO date, or None.
        today: Current date in UTC.

    Returns:
        Success, or the reason why the token was rejected.
    """
    digest = _digest(token)
    expected = token_hash.rpartition("$")[2]
    matches = hmac.compare_digest(digest.encode(), expected.encode())
    if not matches or _TOKEN_PATTERN.match(token) is None:
        return result.Failure(TokenProblem.WRONG)
    if expires_on is not None and today > datetime.date.fromisoformat(expires_on):
        return result.Failure(TokenProblem.EXPIRED)
    return result.Success(None)


def parse_bearer(header: str | None) -> result.Result[str, TokenProblem]:
    """Returns the bearer token in an ``Authorization`` header."""
    if not header:
        return result.Failure(TokenProblem.MISSING)
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return result.Failure(TokenProblem.MISSING)
    return result.Success(token.strip())


class TokenIndex:
    """Index of principals by token; immutable and therefore thread-safe."""

    def __init__(self, principals: Iterable[Principal]):
        self._principals_by_salt = {
            find_salt(principal.token_hash): principal for principal in principals
        }

    def authenticate(
        self, header: str | None, today: datetime.date
    ) -> result.Result[str, TokenProblem]:
        """Returns the name of the principal of the bearer token in a header."""
        return parse_bearer(header).bind(lambda token: self.find(token, today))

    def find(self, token: str, today: datetime.date) -> result.Result[str, TokenProblem]:
        """Returns the name of the principal of a token."""
        match = _TOKEN_PATTERN.match(token)
        principal = self._principals_by_salt.get(match["salt"]) if match else None
        if principal is None:
            verify_token(token, _DUMMY_HASH, None, today)
            return result.Failure(TokenProblem.WRONG)
        checked = verify_token(token, principal.token_hash, principal.expires_on, today)
        return checked.map(lambda _: principal.name)


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
