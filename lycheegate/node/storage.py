"""Interface of the store: rows, conditional transactions and a change feed."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from returns import result

from lycheegate.utils import exceptions

__all__ = [
    "ABSENT",
    "Changes",
    "Condition",
    "ConflictError",
    "DirectStore",
    "HistoryLostError",
    "Page",
    "RejectedError",
    "Row",
    "RowKey",
    "Store",
    "StoreResult",
    "Transaction",
    "Write",
]

ABSENT = 0
"""Version of a row that does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Address of a row."""

    table: str
    part: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read from the store or reported by a change feed.

    Attributes:
        key: Address of the row.
        value: Content; empty for a deleted row.
        version: Version of the store at the last change of the row.
        deleted: Whether this is a change feed's report of a deletion.
    """

    key: RowKey
    value: bytes
    version: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have, or ``ABSENT`` if it must not exist."""

    key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """New content of a row."""

    key: RowKey
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied atomically if all conditions hold; all rows are in one part."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Rows in order of their keys, all read at the same version.

    Attributes:
        rows: The rows.
        is_truncated: Whether more rows follow.
        version: Newest version of the store.
        clock_ms: The store's monotonic clock.
    """

    rows: tuple[Row, ...]
    is_truncated: bool
    version: int
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows in order of their versions.

    Attributes:
        rows: The rows.
        version: Version up to which changes are included; the next call continues after it.
        clock_ms: The store's monotonic clock.
    """

    rows: tuple[Row, ...]
    version: int
    clock_ms: int = 0


@dataclasses.dataclass
class ConflictError(exceptions.LycheegateError):
    """A condition of a transaction did not hold; nothing was changed.

    Attributes:
        rows: Current state of those rows of the conditions that exist.
    """

    rows: tuple[Row, ...]

    def __str__(self) -> str:
        found = ", ".join(
            f"{row.key.table}/{row.key.key} version {row.version}" for row in self.rows
        )
        return f"transaction conditions not met; current rows: {found or 'none'}"


class RejectedError(exceptions.ProtocolError):
    """The store rejected a call as invalid; it would reject the same call again."""


class HistoryLostError(exceptions.LycheegateError):
    """The changes after the given version are no longer available; the rows must be read again."""


StoreResult = result.Result
"""Success, or a failure with one of ``ConflictError``, ``HistoryLostError``, ``UnavailableError``
(the call had no effect), ``OutcomeUnknownError``, ``RejectedError`` and ``ProtocolError``."""


class Store(Protocol):
    """A linearizable store; callbacks run on the daemon's event thread."""

    def transact(
        self,
        transaction: Transaction,
        timeout_s: float,
        callback: Callable[[StoreResult], None],
    ) -> None:
        """Applies a transaction; success holds the version of the written rows."""

    def read(
        self,
        table: str,
        part: str,
        first: str,
        end: str,
        timeout_s: float,
        callback: Callable[[StoreResult], None],
    ) -> None:
        """Reads rows with ``first`` <= key < ``end``; an empty string means no limit."""

    def follow(
        self, table: str, after: int, wait_s: float, callback: Callable[[StoreResult], None]
    ) -> None:
        """Waits for changes of a table after a version; success holds ``Changes``."""


class DirectStore(Store, Protocol):
    """A store that is called without peers."""

    def is_receiving(self) -> bool:
        """Returns whether an answer of the store is arriving; for any thread."""
