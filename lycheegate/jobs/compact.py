"""Compact form of the progress of steps, for records that would not fit into a row otherwise.

Handles jobs of thousands of tasks. Their records name a run number and a worker for each task, so
they grow by some 30 bytes for each running task. In the compact form, the numbers of tasks are
differences, the workers are numbers in a table, and the whole is compressed; 5,000 running tasks
take some 5 KB. Only large records have this form, because it takes longer to encode, and because
earlier builds cannot read it.
"""

import zlib
from collections.abc import Iterable
from typing import Any

import cbor2

__all__ = ["compress", "decompress", "pack_steps", "unpack_steps"]

MAX_UNPACKED_BYTES = 16 << 20
"""Limit of the size before compression, so that a malformed record cannot fill the memory."""
COMPRESSION_LEVEL = 1
"""The fastest; higher levels save little, because most entries are equal."""

_Place = tuple[str, int]
"""Worker of a run, and its incarnation in milliseconds since 1970, or 0 if unknown."""


def pack_steps(items: list[list], keep_checkpoints: bool = True) -> bytes:
    """Returns the compact form of the progress of steps.

    Args:
        items: Progress of each step, as in a plain record.
        keep_checkpoints: Whether the checkpoints are included. Without them, tasks start from the
            beginning after a change of the holder.
    """
    places: dict[_Place, int] = {}
    packed = [_pack_step(item, places, keep_checkpoints) for item in items]
    return compress(cbor2.dumps([[list(place) for place in places], packed]))


def unpack_steps(data: bytes) -> list[list]:
    """Returns the progress of steps, as in a plain record, from its compact form.

    Raises:
        ValueError: The data cannot be decompressed.
    """
    places, packed = cbor2.loads(decompress(data))
    return [_unpack_step(item, places) for item in packed]


def compress(data: bytes) -> bytes:
    """Returns data in compressed form."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Returns compressed data in its original form.

    Raises:
        ValueError: The data cannot be decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress {len(data)} bytes: {error}") from error
    if not decompressor.eof:
        raise ValueError(
            f"{len(data)} bytes are truncated or decompress to over {MAX_UNPACKED_BYTES} bytes"
        )
    return plain


def _pack_step(item: list, places: dict[_Place, int], keep_checkpoints: bool) -> list:
    key, done, failures, numbers, workers, checkpoints, last_failed_number, *crash_fields = item
    incarnations, crash_weights, last_crashed_numbers = crash_fields or ({}, {}, {})
    numbers_of_places = {
        index: places.setdefault((worker_id, incarnations.get(index, 0)), len(places))
        for index, worker_id in workers.items()
    }
    return [
        key,
        _pack_indices(done),
        _pack_map(failures),
        _pack_map(numbers),
        _pack_map(numbers_of_places),
        _pack_map(checkpoints if keep_checkpoints else {}),
        last_failed_number,
        _pack_map(crash_weights),
        _pack_map(last_crashed_numbers),
    ]


def _unpack_step(item: list, places: list[list]) -> list:
    key, done, failures, numbers, numbers_of_places, checkpoints, last_failed_number, *rest = item
    crash_weights, last_crashed_numbers = rest
    place_by_index = {
        index: places[number] for index, number in _unpack_map(numbers_of_places).items()
    }
    return [
        key,
        _unpack_indices(done),
        _unpack_map(failures),
        _unpack_map(numbers),
        {index: worker_id for index, (worker_id, _) in place_by_index.items()},
        _unpack_map(checkpoints),
        last_failed_number,
        {index: born_ms for index, (_, born_ms) in place_by_index.items() if born_ms},
        _unpack_map(crash_weights),
        _unpack_map(last_crashed_numbers),
    ]


def _pack_indices(indices: Iterable[int]) -> list[int]:
    """Returns the sorted indices, each as the difference from the one before."""
    result: list[int] = []
    previous = 0
    for index in sorted(indices):
        result.append(index - previous)
        previous = index
    return result


def _unpack_indices(differences: list[int]) -> list[int]:
    result: list[int] = []
    index = 0
    for difference in differences:
        index += difference
        result.append(index)
    return result


def _pack_map(values: dict[int, Any]) -> list[list]:
    indices = sorted(values)
    return [_pack_indices(indices), [values[index] for index in indices]]


def _unpack_map(item: list[list]) -> dict[int, Any]:
    differences, values = item
    return dict(zip(_unpack_indices(differences), values, strict=True))
