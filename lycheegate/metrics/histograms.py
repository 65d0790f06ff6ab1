"""Histograms of queueing and completion time for each client account and class.

Each entry VM records its own; the JSON form carries the buckets, so that those of several VMs
are merged without loss.
"""

import collections
import enum
import math
import threading
from collections.abc import Iterable
from typing import Any

import hdrh.histogram
import msgspec

from lycheegate.utils import exceptions

__all__ = ["OTHER", "HistogramModel", "Histograms", "Kind", "decode", "list_percentiles", "merge"]

OTHER = "(other)"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_MAX_VALUE_MS = 7 * 24 * 3600 * 1000
# Two digits keep the error of a percentile under 1%; three would take eight times the memory.
_DIGITS = 2
# 42 client accounts with four classes and two kinds make 336. Beyond the limit, values are
# recorded under OTHER, so that memory stays bounded whatever names appear.
_MAX_HISTOGRAMS = 512
# Counts of four bytes suffice: the busiest class would need 136 years at one a second.
_RECORDED_BYTES = 4
# The decoder gives counts of eight bytes; only arrays of the same width are added as a whole,
# in 0.1 ms instead of 4.5 ms for a histogram with many values.
_MERGED_BYTES = 8


class Kind(enum.StrEnum):
    """What a histogram measures."""

    QUEUEING = "queueing"
    COMPLETION = "completion"


class HistogramModel(msgspec.Struct, frozen=True, kw_only=True):
    """JSON form of one histogram; times in seconds, ``data`` holds the buckets in ms."""

    client_account: str
    job_class: str
    kind: Kind
    count: int
    sum_ms: int
    mean_s: float
    max_s: float
    percentiles_s: dict[str, float]
    data: str


class _Document(msgspec.Struct, frozen=True):
    histograms: list[HistogramModel]


class Histograms:
    """Histograms of one process; safe between threads."""

    def __init__(self, count_bytes: int = _RECORDED_BYTES):
        self._count_bytes = count_bytes
        self._lock = threading.Lock()
        self._by_key: dict[tuple[str, str, Kind], hdrh.histogram.HdrHistogram] = {}
        # The mean comes from exact sums: a mean from the buckets takes 10 ms to 20 ms each.
        self._sums_ms: collections.Counter[tuple[str, str, Kind]] = collections.Counter()

    def record(self, client_account: str, job_class: str, kind: Kind, duration_s: float) -> None:
        """Records a duration; values beyond seven days count as seven days."""
        value_ms = min(_MAX_VALUE_MS, max(1, math.ceil(duration_s * 1000.0)))
        key = (client_account, job_class, kind)
        with self._lock:
            if key not in self._by_key and len(self._by_key) >= _MAX_HISTOGRAMS:
                key = (OTHER, OTHER, kind)
            self._get(key).record_value(value_ms)
            self._sums_ms[key] += value_ms

    def add(self, document: dict[str, Any]) -> None:
        """Adds histograms in their JSON form.

        Raises:
            ProtocolError: The document is not in the form that ``Histograms.encode`` returns.
        """
        for model in decode(document):
            key = (model.client_account, model.job_class, model.kind)
            with self._lock:
                try:
                    self._get(key).decode_and_add(model.data)
                except Exception as error:  # The decoder raises whatever its parts raise.
                    raise exceptions.ProtocolError("histogram data is damaged") from error
                self._sums_ms[key] += model.sum_ms

    def encode(self) -> dict[str, Any]:
        """Returns all histograms in their JSON form, by name."""
        with self._lock:
            models = [
                _encode(key, histogram, self._sums_ms[key])
                for key, histogram in sorted(self._by_key.items())
            ]
        return msgspec.to_builtins(_Document(models))

    def _get(self, key: tuple[str, str, Kind]) -> hdrh.histogram.HdrHistogram:
        histogram = self._by_key.get(key)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(1, _MAX_VALUE_MS, _DIGITS, self._count_bytes)
            self._by_key[key] = histogram
        return histogram


def merge(documents: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Returns the sum of histograms in their JSON form.

    Raises:
        ProtocolError: A document is not in the form that ``Histograms.encode`` returns.
    """
    merged = Histograms(_MERGED_BYTES)
    for document in documents:
        merged.add(document)
    return merged.encode()


def decode(document: dict[str, Any]) -> list[HistogramModel]:
    """Returns the histograms of a document.

    Raises:
        ProtocolError: The document is not in the form that ``Histograms.encode`` returns.
    """
    try:
        return msgspec.convert(document, _Document).histograms
    except msgspec.ValidationError as error:
        raise exceptions.ProtocolError(f"histograms: {error}") from error


def list_percentiles(model: HistogramModel) -> list[tuple[float, float]]:
    """Returns points (percentile, seconds) for a curve, up to the highest recorded value."""
    histogram = hdrh.histogram.HdrHistogram.decode(model.data)
    points: list[tuple[float, float]] = []
    for item in histogram.get_percentile_iterator(5):
        points.append((item.percentile_level_iterated_to, item.value_iterated_to / 1000.0))
    return points


def _encode(
    key: tuple[str, str, Kind], histogram: hdrh.histogram.HdrHistogram, sum_ms: int
) -> HistogramModel:
    count = histogram.get_total_count()
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    return HistogramModel(
        client_account=key[0],
        job_class=key[1],
        kind=key[2],
        count=count,
        sum_ms=sum_ms,
        mean_s=round(sum_ms / 1000.0 / max(1, count), 6),
        max_s=histogram.get_max_value() / 1000.0,
        percentiles_s={f"p{level:g}": value / 1000.0 for level, value in values.items()},
        data=histogram.encode().decode("ascii"),
    )
