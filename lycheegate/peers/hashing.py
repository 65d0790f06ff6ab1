"""Rendezvous hashing: for each key, candidates are ranked by a hash of key and candidate."""

import hashlib
from collections.abc import Iterable

__all__ = ["choose", "partition_of_rack", "rank"]


def _compute_weight(key: str, candidate: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates in descending order of their weight for the key.

    When a candidate is removed, only the keys for which it had the highest weight move.
    """
    return sorted(candidates, key=lambda item: (_compute_weight(key, item), item))[::-1]


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate with the highest weight for the key, or None without candidates."""
    ranked = rank(key, candidates)
    return ranked[0] if ranked else None


def partition_of_rack(data_centre: str, rack: str, partitions: int = 1) -> str:
    """Returns the name of the partition that contains a rack, ``{data_centre}/{number}``.

    Args:
        data_centre: Data centre of the rack.
        rack: Name of the rack.
        partitions: Number of partitions in the data centre.
    """
    number = choose(rack, map(str, range(partitions))) if partitions > 1 else "0"
    return f"{data_centre}/{number}"
