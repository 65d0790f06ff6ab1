"""JSON form of a release, for the table service and for messages between entry VMs."""

from typing import Any

import msgspec

from lycheegate.model import releases
from lycheegate.utils import exceptions

__all__ = ["decode_release", "encode_release"]


class _Document(msgspec.Struct, frozen=True):
    number: int
    client_accounts: list[releases.ClientAccount]
    guarantees: list[releases.Guarantee]
    callers: list[releases.Caller]
    note: str = ""
    operator: str = ""
    accepted_at: str = ""


def encode_release(release: releases.Release) -> dict[str, Any]:
    """Returns the JSON form of a release."""
    document = _Document(
        release.number,
        list(release.client_accounts.values()),
        list(release.guarantees.values()),
        list(release.callers.values()),
        release.note,
        release.operator,
        release.accepted_at,
    )
    return msgspec.to_builtins(document)


def decode_release(value: Any) -> releases.Release:
    """Returns a release from its JSON form.

    Raises:
        ProtocolError: The value does not have the form that ``encode_release`` returns.
    """
    try:
        document = msgspec.convert(value, _Document)
    except msgspec.ValidationError as error:
        raise exceptions.ProtocolError(f"malformed release document: {error}") from error
    return releases.Release(
        document.number,
        {account.name: account for account in document.client_accounts},
        {(g.client_account, g.name): g for g in document.guarantees},
        {caller.name: caller for caller in document.callers},
        document.note,
        document.operator,
        document.accepted_at,
    )
