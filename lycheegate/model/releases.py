"""Releases: the client accounts, guarantees and callers in force."""

import dataclasses
from collections.abc import Mapping

from lycheegate.model import resources

__all__ = ["Caller", "ClientAccount", "Guarantee", "Release"]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer with guarantees and a quota.

    Attributes:
        name: Unique name.
        quota_accelerators: Most accelerators in use at once, or None for no limit.
        weight: Share of capacity beyond guarantees, relative to other client accounts.
        since_release: Release that added it or changed it last.
    """

    name: str
    quota_accelerators: int | None = None
    weight: float = 1.0
    since_release: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """A shape that a client account can have at any time, ``count`` times.

    Attributes:
        client_account: The client account that it is promised to.
        name: Unique within the client account.
        shape: The guaranteed shape.
        count: Number of units of the shape.
        data_centre: Where the units lie.
        since_release: Release that added it or changed it last.
    """

    client_account: str
    name: str
    shape: resources.Shape
    count: int
    data_centre: str
    since_release: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Someone who sends requests on behalf of one client account.

    Attributes:
        name: Unique name over all client accounts.
        client_account: The client account it acts for.
        brand_desk: Brand or desk it belongs to.
        token_hash: Salted hash of its token, as ``lycheegate.keys.tokens`` writes it.
        classes: Job classes it may use; empty means all.
        expires_on: Last day of its token as an ISO date, or None.
        since_release: Release that added it or changed it last.
    """

    name: str
    client_account: str
    brand_desk: str
    token_hash: str
    classes: tuple[str, ...] = ()
    expires_on: str | None = None
    since_release: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Everything that operators have stated, as of one release number."""

    number: int = 0
    client_accounts: Mapping[str, ClientAccount] = dataclasses.field(default_factory=dict)
    guarantees: Mapping[tuple[str, str], Guarantee] = dataclasses.field(default_factory=dict)
    callers: Mapping[str, Caller] = dataclasses.field(default_factory=dict)
    note: str = ""
    operator: str = ""
    accepted_at: str = ""
