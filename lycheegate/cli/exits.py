"""Exit codes of the command line."""

import enum

__all__ = ["Exit"]


class Exit(enum.IntEnum):
    """Exit codes; ``docs/OPERATIONS.md`` describes what to do about each."""

    OK = 0
    DEFECT = 1
    """An unexpected error of lycheegate itself."""

    FINDINGS = 2
    """Invalid settings or an invalid note, and nothing was started or applied; jobs that had
    nothing running; or a job whose tasks would not all start now."""

    REFUSED = 3
    """The entry VM refused the request, or a file cannot be read or written."""

    UNREACHABLE = 4
    """The entry VM, the table service or a majority of VMs was unreachable; nothing was applied."""

    LOST_RACE = 5
    """Another release was accepted first; nothing was applied."""

    UNKNOWN = 6
    """No usable answer was received; the operation may have taken effect."""

    USAGE = 64
    """Unknown command, or invalid argument or option."""
