"""Interface of the platform's table service."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from returns import result

from lycheegate.utils import exceptions

__all__ = ["ANY_VERSION", "MUST_BE_ABSENT", "Operation", "OperationKind", "Row", "Table"]

ANY_VERSION = None
MUST_BE_ABSENT = 0


class OperationKind(enum.StrEnum):
    """What an operation of a transaction does."""

    PUT = "put"
    DELETE = "delete"
    CHECK = "check"


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a transaction.

    Attributes:
        kind: Kind of the operation.
        table: Name of the table.
        key: Key of the row.
        value: New value of a put; JSON types only.
        if_version: Version that the row must have, or ``MUST_BE_ABSENT``, or ``ANY_VERSION`` for
            an unconditional operation.
    """

    kind: OperationKind
    table: str
    key: str
    value: Mapping[str, Any] | None = None
    if_version: int | None = ANY_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read; ``version`` starts at 1 and increases with each write."""

    key: str
    value: dict[str, Any]
    version: int


class Table(Protocol):
    """Interface of the transactional table service.

    Failures are ``ConditionFailedError`` (nothing was written), ``UnavailableError`` (nothing
    was written) and ``OutcomeUnknownError`` (the write may have taken effect).
    """

    def transact(
        self, operations: Sequence[Operation], timeout_s: float = 2.0
    ) -> result.Result[tuple[int, ...], exceptions.LycheegateError]:
        """Applies all operations or none; returns the new version of each row, 0 for a deletion."""

    def read(
        self, table: str, key: str, timeout_s: float = 2.0
    ) -> result.Result[Row | None, exceptions.LycheegateError]:
        """Returns a row, or None if it is absent."""

    def scan(
        self, table: str, prefix: str = "", timeout_s: float = 10.0
    ) -> result.Result[list[Row], exceptions.LycheegateError]:
        """Returns all rows whose key starts with ``prefix``, in key order."""
