"""What the daemon needs of a store: rows, conditional transactions, a change feed."""

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
    "HistoryLostError",
    "Page",
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
    """A row as read.

    Attributes:
        key: Its address.
        value: Its content; empty for a deleted row.
        version: Version of its last change.
        deleted: Whether a change feed reports its deletion.
    """

    key: RowKey
    value: bytes
    version: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have, or ``ABSENT``."""

    key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """New content of a row."""

    key: RowKey
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made together, if all conditions hold; all rows share one part."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Rows in order of their keys, as of one moment.

    Attributes:
        rows: The rows.
        is_truncated: Whether there are more.
        version: Newest version of the store.
        clock_ms: The store's steady clock.
    """

    rows: tuple[Row, ...]
    is_truncated: bool
    version: int
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows in order; reading continues after ``version``.

    Attributes:
        rows: The rows.
        version: Version up to which changes are known.
        clock_ms: The store's steady clock.
    """

    rows: tuple[Row, ...]
    version: int
    clock_ms: int = 0


@dataclasses.dataclass
class ConflictError(exceptions.LycheegateError):
    """A condition did not hold; nothing was changed.

    Attributes:
        rows: The rows of the conditions that exist.
    """

    rows: tuple[Row, ...]

    def __str__(self) -> str:
        found = ", ".join(f"{row.key.table}/{row.key.key} at {row.version}" for row in self.rows)
        return f"a condition did not hold; found {found or 'no row'}"


class HistoryLostError(exceptions.LycheegateError):
    """The changes after the given version are no longer available; read the rows anew."""


StoreResult = result.Result
"""Success, or one of ``ConflictError``, ``HistoryLostError``, ``UnavailableError`` (nothing was
done), ``OutcomeUnknownError`` and ``ProtocolError``."""


class Store(Protocol):
    """Linearizable store; callbacks run on the daemon's event thread."""

    def transact(
        self,
        transaction: Transaction,
        timeout_s: float,
        callback: Callable[[StoreResult], None],
    ) -> None:
        """Makes changes; success holds the version that the written rows have."""

    def read(
        self,
        table: str,
        part: str,
        first: str,
        end: str,
        timeout_s: float,
        callback: Callable[[StoreResult], None],
    ) -> None:
        """Reads rows with ``first`` <= key < ``end``; empty strings mean no limit."""

    def follow(
        self, table: str, after: int, wait_s: float, callback: Callable[[StoreResult], None]
    ) -> None:
        """Waits for changes of a table after a version; success holds ``Changes``."""
