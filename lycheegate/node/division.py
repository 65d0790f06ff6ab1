"""Division of maps of numbers into rows of a limited size.

Handles configurations of thousands of queues. What the holder of the term writes with its heartbeat
must fit, because a heartbeat that the store rejects ends the term.
"""

import dataclasses
from collections.abc import Iterable

__all__ = ["Division", "divide_entries"]

ENTRY_BYTES = 3 + 9
"""Upper limit of the size in CBOR of the number of an entry and of the length of its name."""
HEADER_BYTES = 64
"""Upper limit of the size of a row without its entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """Entries of a map, divided into rows.

    Attributes:
        rows: Entries of each row; the first one may be empty.
        omitted: Number of entries that fit into no row.
    """

    rows: list[dict[str, int]]
    omitted: int


def divide_entries(
    entries: Iterable[tuple[str, int]], first_row_bytes: int, row_bytes: int, max_rows: int
) -> Division:
    """Divides named numbers into rows, in their order.

    Args:
        entries: Name and number of each entry.
        first_row_bytes: Maximum size of the first row.
        row_bytes: Maximum size of each further row.
        max_rows: Maximum number of rows.
    """
    rows: list[dict[str, int]] = [{}]
    room_bytes = first_row_bytes - HEADER_BYTES
    omitted = 0
    for name, number in entries:
        size_bytes = len(name.encode()) + ENTRY_BYTES
        if size_bytes > room_bytes and len(rows) < max_rows:
            rows.append({})
            room_bytes = row_bytes - HEADER_BYTES
        if size_bytes > room_bytes:
            omitted += 1
            continue
        rows[-1][name] = number
        room_bytes -= size_bytes
    return Division(rows, omitted)
