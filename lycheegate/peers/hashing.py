"""Rendezvous hashing: each key ranks all candidates by a hash of the pair."""

import hashlib
from collections.abc import Iterable

__all__ = ["choose", "partition_of_rack", "rank"]


def _weigh(key: str, candidate: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates, the one with the highest weight first.

    When a candidate goes, only the keys that it led move.
    """
    return sorted(candidates, key=lambda candidate: (_weigh(key, candidate), candidate))[::-1]


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate with the highest weight, or None if there is none."""
    ranked = rank(key, candidates)
    return ranked[0] if ranked else None


def partition_of_rack(data_centre: str, rack: str, partitions: int = 1) -> str:
    """Returns the partition of a rack, as ``{data_centre}/{number}``."""
    number = choose(rack, map(str, range(partitions))) if partitions > 1 else "0"
    return f"{data_centre}/{number}"
