"""Exceptions and typed errors of lycheegate."""

import dataclasses

__all__ = [
    "BudgetExhaustedError",
    "ConditionFailedError",
    "FencedError",
    "LycheegateError",
    "OutcomeUnknownError",
    "ProtocolError",
    "QueueFullError",
    "SnapshotFormatError",
    "UnavailableError",
]


class LycheegateError(Exception):
    """Base class of all exceptions raised by lycheegate."""


class SnapshotFormatError(LycheegateError):
    """A snapshot has an unknown format version or is damaged."""


class QueueFullError(LycheegateError):
    """A bounded pool has no room for another task."""


class BudgetExhaustedError(LycheegateError):
    """The retry budget of an outside system is used up."""


class ProtocolError(LycheegateError):
    """A peer or an outside system sent something that breaks its protocol."""


class UnavailableError(LycheegateError):
    """An outside system refused the operation or was not reached; it took no effect."""


class OutcomeUnknownError(LycheegateError):
    """The answer to an operation was lost; the operation may have taken effect."""


@dataclasses.dataclass
class ConditionFailedError(LycheegateError):
    """A conditional write found another version of the row.

    Attributes:
        index: Position of the failed operation in the transaction.
        version: Version of the row that was found; 0 if the row is absent.
        value: Value of the row that was found.
    """

    index: int
    version: int
    value: object


@dataclasses.dataclass
class FencedError(LycheegateError):
    """A worker refused an order because it has seen a higher epoch.

    Attributes:
        epoch: The epoch that the worker has seen.
    """

    epoch: int
