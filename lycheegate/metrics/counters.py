"""Counters, gauges and timers, sent to a statsd server over UDP.

Lost packets or an unreachable server do not affect the daemon.
"""

import re
from typing import Protocol

import statsd

from lycheegate.settings import models

__all__ = ["Counters", "NoCounters", "StatsdCounters", "make_counters"]

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]", re.ASCII)
# Packets of this size are not fragmented on an Ethernet path with tunnels.
_MAX_PACKET_BYTES = 512


class Counters(Protocol):
    """Interface to record metrics; a name is a sequence of parts, such as ``"end", "not_run"``."""

    def increment(self, *name: str, count: int = 1) -> None:
        """Adds to a counter."""

    def set_gauge(self, *name: str, value: float) -> None:
        """Sets a gauge."""

    def record_time(self, *name: str, duration_s: float) -> None:
        """Records a duration."""


class NoCounters:
    """Implementation that discards all values; used if no statsd server is configured."""

    def increment(self, *name: str, count: int = 1) -> None:
        """Does nothing."""

    def set_gauge(self, *name: str, value: float) -> None:
        """Does nothing."""

    def record_time(self, *name: str, duration_s: float) -> None:
        """Does nothing."""


class StatsdCounters:
    """Implementation that sends each value as one UDP packet."""

    def __init__(self, address: str, prefix: str):
        host, _, port = address.rpartition(":")
        ipv6 = host.startswith("[")
        self._client = statsd.StatsClient(
            host.strip("[]"), int(port), prefix, maxudpsize=_MAX_PACKET_BYTES, ipv6=ipv6
        )

    def increment(self, *name: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._client.incr(_join(name), count)

    def set_gauge(self, *name: str, value: float) -> None:
        """Sets a gauge."""
        # statsd interprets a signed number as a change of the gauge, so negative values are
        # replaced by 0.
        self._client.gauge(_join(name), max(0, value))

    def record_time(self, *name: str, duration_s: float) -> None:
        """Records a duration; statsd expects milliseconds."""
        self._client.timing(_join(name), duration_s * 1000.0)

    def close(self) -> None:
        """Closes the socket."""
        self._client.close()


def make_counters(settings: models.StatsdSettings | None) -> Counters:
    """Returns counters for the settings; without settings, they discard all values."""
    if settings is None:
        return NoCounters()
    return StatsdCounters(settings.address, settings.prefix)


def _join(name: tuple[str, ...]) -> str:
    # In statsd names, a dot separates parts and a colon ends the name, so unsafe characters in a
    # part are replaced.
    return ".".join(_UNSAFE.sub("_", part) for part in name)
