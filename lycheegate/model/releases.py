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
        quota_accelerators: Maximum number of accelerators in use at once, or None for no limit.
        weight: Share of the capacity beyond guarantees, relative to other client accounts.
        since_release: Release that added or last changed it.
    """

    name: str
    quota_accelerators: int | None = None
    weight: float = 1.0
    since_release: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """Capacity for ``count`` units of a shape that a client account can use at any time.

    Attributes:
        client_account: The client account to which the guarantee is given.
        name: Unique within the client account.
        shape: The guaranteed shape.
        count: Number of units of the shape.
        data_centre: Data centre that provides the units.
        since_release: Release that added or last changed it.
    """

    client_account: str
    name: str
    shape: resources.Shape
    count: int
    data_centre: str
    since_release: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A program or person that sends requests on behalf of one client account.

    Attributes:
        name: Name, unique across all client accounts.
        client_account: The client account on whose behalf it acts.
        brand_desk: Brand or desk to which it belongs.
        token_hash: Salted hash of its token, in the format of ``lycheegate.keys.tokens``.
        classes: Job classes it may use; empty means all.
        expires_on: Last day on which its token is valid, as an ISO date, or None.
        since_release: Release that added or last changed it.
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
    """All client accounts, guarantees and callers as of one release number.

    Attributes:
        number: Number of the release; 0 before the first one.
        client_accounts: Client accounts by name.
        guarantees: Guarantees by client account and name.
        callers: Callers by name.
        note: Free text of the release note.
        operator: Operator who applied the release note.
        accepted_at: Time of acceptance in UTC, in ISO format.
    """

    number: int = 0
    client_accounts: Mapping[str, ClientAccount] = dataclasses.field(default_factory=dict)
    guarantees: Mapping[tuple[str, str], Guarantee] = dataclasses.field(default_factory=dict)
    callers: Mapping[str, Caller] = dataclasses.field(default_factory=dict)
    note: str = ""
    operator: str = ""
    accepted_at: str = ""
