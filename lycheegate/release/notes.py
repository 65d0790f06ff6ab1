"""Release notes as operators write them.

An entry under ``added`` is complete. An entry under ``changed`` contains the name of its subject
and the fields that change; omitted fields keep their values.
"""

import datetime
import hashlib
from typing import Annotated

import msgspec

from lycheegate.keys import tokens
from lycheegate.model import resources
from lycheegate.settings import models
from lycheegate.utils import documents

__all__ = [
    "AddedAccount",
    "AddedCaller",
    "AddedGuarantee",
    "CallerChanges",
    "ChangedAccount",
    "ChangedCaller",
    "ChangedGuarantee",
    "GuaranteeChanges",
    "AccountChanges",
    "GuaranteeName",
    "Note",
    "compute_digest",
    "parse_note",
]

_Count = Annotated[int, msgspec.Meta(ge=1, le=100000)]
_Quota = Annotated[int, msgspec.Meta(ge=1, le=1000000)]
_Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]
_Members = Annotated[int, msgspec.Meta(ge=1, le=64)]
_Accelerators = Annotated[int, msgspec.Meta(ge=0, le=64)]
# YAML can express control characters as escapes; they would reach the terminals of operators.
_Desk = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[^\x00-\x1f\x7f-\x9f]{1,100}\Z",
        extra={"allowed": "1 to 100 characters without control characters"},
    ),
]
_Hash = Annotated[
    str,
    msgspec.Meta(
        pattern=tokens.HASH_PATTERN,
        extra={"allowed": "sha256$<salt>$<digest> as `lycheegate keys new` prints it"},
    ),
]
_Unset = msgspec.UnsetType
_UNSET = msgspec.UNSET


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class AddedAccount(_Model, kw_only=True):
    """A new client account."""

    name: models.Name
    quota_accelerators: _Quota | None = None
    weight: _Weight = 1.0


class ChangedAccount(_Model, kw_only=True):
    """Changes to a client account."""

    name: models.Name
    quota_accelerators: _Quota | None | _Unset = _UNSET
    weight: _Weight | _Unset = _UNSET


class AccountChanges(_Model, kw_only=True):
    """Section of a note on client accounts."""

    added: list[AddedAccount] = []
    changed: list[ChangedAccount] = []
    withdrawn: list[models.Name] = []


class AddedGuarantee(_Model, kw_only=True):
    """A new guarantee; if the data centre is omitted, one is assigned."""

    client_account: models.Name
    name: models.Name
    members: _Members = 1
    accelerators: _Accelerators
    adjacency: resources.Adjacency = resources.Adjacency.DATA_CENTRE
    count: _Count = 1
    data_centre: models.Name | None = None


class ChangedGuarantee(_Model, kw_only=True):
    """Changes to a guarantee."""

    client_account: models.Name
    name: models.Name
    members: _Members | _Unset = _UNSET
    accelerators: _Accelerators | _Unset = _UNSET
    adjacency: resources.Adjacency | _Unset = _UNSET
    count: _Count | _Unset = _UNSET
    data_centre: models.Name | _Unset = _UNSET


class GuaranteeName(_Model, kw_only=True):
    """Name of a guarantee and of its client account."""

    client_account: models.Name
    name: models.Name


class GuaranteeChanges(_Model, kw_only=True):
    """Section of a note on guarantees."""

    added: list[AddedGuarantee] = []
    changed: list[ChangedGuarantee] = []
    withdrawn: list[GuaranteeName] = []


class AddedCaller(_Model, kw_only=True):
    """A new caller."""

    name: models.Name
    client_account: models.Name
    brand_desk: _Desk
    token_hash: _Hash
    classes: list[models.Name] = []
    expires_on: datetime.date | None = None


class ChangedCaller(_Model, kw_only=True):
    """Changes to a caller, such as a new token."""

    name: models.Name
    client_account: models.Name | _Unset = _UNSET
    brand_desk: _Desk | _Unset = _UNSET
    token_hash: _Hash | _Unset = _UNSET
    classes: list[models.Name] | _Unset = _UNSET
    expires_on: datetime.date | None | _Unset = _UNSET


class CallerChanges(_Model, kw_only=True):
    """Section of a note on callers."""

    added: list[AddedCaller] = []
    changed: list[ChangedCaller] = []
    withdrawn: list[models.Name] = []


class Note(_Model, kw_only=True):
    """A release note.

    Attributes:
        base: Number of the release against which the note was written.
        note: Free text.
        client_accounts: Changes to client accounts.
        guarantees: Changes to guarantees.
        callers: Changes to callers.
    """

    base: Annotated[int, msgspec.Meta(ge=0)]
    note: Annotated[str, msgspec.Meta(max_length=2000)] = ""
    client_accounts: AccountChanges = AccountChanges()
    guarantees: GuaranteeChanges = GuaranteeChanges()
    callers: CallerChanges = CallerChanges()


def parse_note(data: bytes | str, file: str) -> documents.Document:
    """Parses a note.

    Args:
        data: Content of the file.
        file: Name of the file, for findings.

    Returns:
        The document with the locations of its values and all findings on its form. Its value is a
        ``Note``, in which ``base`` is None if it is missing or invalid, or None if the file cannot
        be parsed or is not a mapping.
    """
    return documents.load_document(data, file, Note)


def compute_digest(note: Note) -> str:
    """Returns a digest of the changes in a note; ``base`` and the free text are not included."""
    changes = (note.client_accounts, note.guarantees, note.callers)
    return hashlib.sha256(msgspec.json.encode(changes, order="deterministic")).hexdigest()
