"""Exit codes of the command line."""

import enum

__all__ = ["Exit"]


class Exit(enum.IntEnum):
    """Exit codes; ``docs/OPERATIONS.md`` says what to do about each."""

    OK = 0
    DEFECT = 1
    """An unexpected error of lycheegate itself."""

    FINDINGS = 2
    """Wrong settings or a wrong note; nothing was started or applied."""

    REFUSED = 3
    """The entry VM refused the request, or a file cannot be read or written."""

    UNREACHABLE = 4
    """The entry VM, the table service or a majority was not reached; nothing was applied."""

    LOST_RACE = 5
    """Another release was accepted first; nothing was applied."""

    UNKNOWN = 6
    """The answer was lost; the operation may have taken effect."""

    USAGE = 64
    """Wrong command, argument or option."""
