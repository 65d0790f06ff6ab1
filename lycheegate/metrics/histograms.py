"""Histograms of queueing and completion times for each client account and job class.

Each entry VM records its own histograms. The JSON form contains the buckets, so histograms of
several VMs can be merged without loss.
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
# Two significant digits keep the error of a percentile below 1%; three would need eight times the
# memory.
_DIGITS = 2
# 42 client accounts with four job classes and two kinds need 336 histograms. Beyond the limit,
# values are recorded under OTHER, which bounds the memory for any number of names.
_MAX_HISTOGRAMS = 512
# Four-byte counts suffice: at one value per second, a count overflows after 136 years.
_RECORDED_BYTES = 4
# The decoder returns eight-byte counts. Arrays of the same width are added in one operation, which
# takes 0.1 ms instead of 4.5 ms for a histogram with many values.
_MERGED_BYTES = 8


class Kind(enum.StrEnum):
    """What a histogram measures."""

    QUEUEING = "queueing"
    COMPLETION = "completion"


class HistogramModel(msgspec.Struct, frozen=True, kw_only=True):
    """JSON form of one histogram.

    Attributes:
        client_account: Name of the client account, or ``OTHER``.
        job_class: Name of the job class, or ``OTHER``.
        kind: Whether queueing or completion time is measured.
        count: Number of recorded values.
        sum_ms: Sum of all values, in milliseconds.
        mean_s: Mean, in seconds.
        max_s: Maximum, in seconds.
        percentiles_s: Values of ``PERCENTILES`` in seconds, with keys such as ``p99``.
        data: Encoded buckets, with values in milliseconds.
    """

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
    """Histograms of one process; thread-safe."""

    def __init__(self, count_bytes: int = _RECORDED_BYTES):
        self._count_bytes = count_bytes
        self._lock = threading.Lock()
        self._by_key: dict[tuple[str, str, Kind], hdrh.histogram.HdrHistogram] = {}
        # Exact sums for the means. Computing a mean from the buckets takes 10 ms to 20 ms for each
        # histogram.
        self._sums_ms: collections.Counter[tuple[str, str, Kind]] = collections.Counter()

    def record(self, client_account: str, job_class: str, kind: Kind, duration_s: float) -> None:
        """Records a duration; values above seven days are recorded as seven days."""
        value_ms = min(_MAX_VALUE_MS, max(1, math.ceil(duration_s * 1000.0)))
        key = (client_account, job_class, kind)
        with self._lock:
            if key not in self._by_key and len(self._by_key) >= _MAX_HISTOGRAMS:
                key = (OTHER, OTHER, kind)
            self._get(key).record_value(value_ms)
            self._sums_ms[key] += value_ms

    def add(self, document: dict[str, Any]) -> None:
        """Adds the histograms of a document in JSON form.

        Raises:
            ProtocolError: The document is not in the form that ``Histograms.encode`` returns.
        """
        for model in decode(document):
            key = (model.client_account, model.job_class, model.kind)
            with self._lock:
                try:
                    self._get(key).decode_and_add(model.data)
                except Exception as error:  # Its type varies with the defect.
                    raise exceptions.ProtocolError(
                        f"cannot decode the {model.kind} histogram of client account "
                        f"{model.client_account!r}, job class {model.job_class!r}: {error!r}"
                    ) from error
                self._sums_ms[key] += model.sum_ms

    def encode(self) -> dict[str, Any]:
        """Returns a document with all histograms in JSON form, sorted by name."""
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
    """Returns a document with the merged histograms of several documents.

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
        raise exceptions.ProtocolError(f"cannot decode histograms: {error}") from error


def list_percentiles(model: HistogramModel) -> list[tuple[float, float]]:
    """Returns points (percentile, value in seconds) of the distribution, up to its maximum."""
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
