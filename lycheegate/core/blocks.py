"""Runs and blocks of accelerators in bit masks.

A run is a maximal range of set bits; a block is any range of set bits of a given size.
"""

import functools
from collections.abc import Iterable

__all__ = ["choose_first", "count_blocks", "list_bits", "list_runs"]


@functools.lru_cache(maxsize=65536)
def list_runs(mask: int) -> tuple[tuple[int, int], ...]:
    """Returns the first accelerator and the length of each run."""
    runs = []
    first = 0
    while mask:
        skip = (mask & -mask).bit_length() - 1
        first += skip
        mask >>= skip
        length = (~mask & (mask + 1)).bit_length() - 1
        runs.append((first, length))
        first += length
        mask >>= length
    return tuple(runs)


@functools.lru_cache(maxsize=65536)
def count_blocks(mask: int, slots: int, width: int) -> tuple[int, ...]:
    """Returns how many disjoint blocks of each size from 0 to ``width`` fit."""
    if slots <= 0:
        return (0,) * (width + 1)
    lengths = [length for _, length in list_runs(mask)]
    return (slots,) + tuple(
        min(slots, sum(length // size for length in lengths)) for size in range(1, width + 1)
    )


def list_bits(bits: int) -> Iterable[int]:
    """Yields the positions of the set bits, lowest first."""
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low


@functools.lru_cache(maxsize=65536)
def choose_first(mask: int, size: int) -> int:
    """Returns the first accelerator of the best block of ``size`` in ``mask``.

    The best block is at one end of the shortest run that fits, namely the end that leaves the most
    aligned blocks free, counting larger ones first. Only the ends of a run are considered, so that
    it loses no more than one block of ``size``.

    Raises:
        ValueError: No run is long enough.
    """
    if size == 0:
        return 0
    block = (1 << size) - 1
    candidates = []
    for first, length in list_runs(mask):
        if length >= size:
            for start in (first, first + length - size):
                aligned = _count_aligned(mask & ~(block << start))
                candidates.append((length, tuple(-count for count in aligned), start))
    if not candidates:
        raise ValueError(f"no run of {size} accelerators in mask {mask:#b}")
    return min(candidates)[2]


@functools.lru_cache(maxsize=65536)
def _count_aligned(mask: int) -> tuple[int, ...]:
    """Returns the number of free aligned blocks of 64, 32, 16, 8, 4 and 2 accelerators."""
    counts = []
    for size in (64, 32, 16, 8, 4, 2):
        block = (1 << size) - 1
        counts.append(
            sum(
                mask >> first & block == block
                for first in range(0, max(mask.bit_length() - size + 1, 0), size)
            )
        )
    return tuple(counts)
