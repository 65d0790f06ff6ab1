"""Exceptions and typed errors of lycheegate."""

import dataclasses

__all__ = [
    "BudgetExhaustedError",
    "ConditionFailedError",
    "FencedError",
    "LycheegateError",
    "NotSentError",
    "OutcomeUnknownError",
    "ProtocolError",
    "QueueFullError",
    "SnapshotFormatError",
    "UnavailableError",
]


class LycheegateError(Exception):
    """Base class of all exceptions raised by lycheegate."""


class SnapshotFormatError(LycheegateError):
    """A snapshot has an unknown format version or is corrupt."""


class QueueFullError(LycheegateError):
    """The queue of a bounded thread pool is full."""


class BudgetExhaustedError(LycheegateError):
    """The retry budget for an external system is exhausted."""


class ProtocolError(LycheegateError):
    """A peer or an external system sent data that violates the protocol."""


class UnavailableError(LycheegateError):
    """An external system rejected an operation or was unreachable; the operation had no effect."""


class NotSentError(UnavailableError):
    """Nothing of a request was sent, for example because no connection could be opened."""


class OutcomeUnknownError(LycheegateError):
    """No usable response to an operation was received; the operation may have taken effect."""


@dataclasses.dataclass
class ConditionFailedError(LycheegateError):
    """The version of a row does not match the condition of a write.

    Attributes:
        index: Index of the failed operation in the transaction.
        version: Current version of the row; 0 if the row does not exist.
        value: Current value of the row.
    """

    index: int
    version: int
    value: object


@dataclasses.dataclass
class FencedError(LycheegateError):
    """A worker rejected an order because it has seen a higher epoch.

    Attributes:
        epoch: The higher epoch, or 0 if the worker did not report it.
    """

    epoch: int
