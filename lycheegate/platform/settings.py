"""Settings file that the platform writes for each process."""

import dataclasses
import os
import pathlib
from collections.abc import Mapping

from lycheegate.jobs import state

__all__ = ["PATH_VARIABLE", "NodeSettings", "SettingsError", "load_settings", "parse_settings"]

PATH_VARIABLE = "LYCHEEGATE_BOOT"
"""Environment variable with the path of the settings file."""
MS_PER_S = 1000.0
MIN_LEASE_S = 1.0
LEASE_MARGIN_S = 1.0
"""Kept below the longest lease, so that a lease is never cut short by a worker."""


class SettingsError(Exception):
    """The settings file has errors; the text names each with its place."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        node_name: Name of the VM.
        data_centre: Where it is.
        callers_address: Address for callers.
        ready_address: Address for readiness checks and metrics.
        peer_address: Address for calls of other VMs.
        store_address: Address of the platform's store.
        policy: Limits of the scheduler.
        revoke_s: Time within which a withdrawn key must be refused everywhere.
        grace_s: Time between the signal to stop and the end of the process.
        processor_cores: Processor time that the VM has a second, in seconds.
    """

    node_name: str
    data_centre: str
    callers_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    store_address: str
    policy: state.Policy
    revoke_s: float
    grace_s: float
    processor_cores: float


class _Reader:
    """Reads fields and collects what is wrong with them."""

    def __init__(self, fields: Mapping[str, tuple[int, str]]):
        self._fields = fields
        self.findings: list[str] = []

    def read_text(self, name: str) -> str:
        line, value = self._fields.get(name, (0, ""))
        if not value:
            self.findings.append(f"{name}: is missing or empty")
        return value

    def read_number(self, name: str, default: float) -> float:
        line, value = self._fields.get(name, (0, ""))
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0.0 <= number < float("inf"):
            self.findings.append(f"line {line}: {name}: {value!r} is not a number of at least 0")
            return default
        return number

    def read_peer_address(self) -> tuple[str, int]:
        first_port = self.read_text("port-range").partition(",")[0]
        line = self._fields.get("port-range", (0, ""))[0]
        if not first_port.isdigit() or not 0 < int(first_port) < 65536:
            self.findings.append(f"line {line}: port-range: expected ports such as 7000,7015")
            return ("", 0)
        return (self.read_text("ip"), int(first_port))

    def read_address(self, name: str) -> tuple[str, int]:
        host, _, port = self.read_text(name).rpartition(":")
        line = self._fields.get(name, (0, ""))[0]
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self.findings.append(f"line {line}: {name}: expected an address such as 10.1.0.19:8521")
            return ("", 0)
        return (host, int(port))


def load_settings(environment: Mapping[str, str] = os.environ) -> NodeSettings:
    """Returns the settings of this process.

    Raises:
        SettingsError: The file is missing or has errors.
    """
    path = environment.get(PATH_VARIABLE, "")
    try:
        return parse_settings(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{PATH_VARIABLE}={path!r}: {error.strerror}") from error


def parse_settings(text: str) -> NodeSettings:
    """Returns settings from lines of the form ``a.b=value``; unknown fields are ignored.

    Raises:
        SettingsError: Fields are missing or wrong; all findings are reported together.
    """
    fields: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = (number, value.strip())
    reader = _Reader(fields)
    settings = NodeSettings(
        node_name=reader.read_text("node-name"),
        data_centre=reader.read_text("zone"),
        callers_address=reader.read_address("listen.front"),
        ready_address=reader.read_address("listen.ready"),
        peer_address=reader.read_peer_address(),
        store_address=reader.read_text("platform.address"),
        policy=_read_policy(reader),
        revoke_s=reader.read_number("bounds.revoke-ms", 5000.0) / MS_PER_S,
        grace_s=reader.read_number("bounds.grace-s", 6.0),
        # The platform tells a share of a processor and how many times as fast that is.
        processor_cores=reader.read_number("limits.cpu-share", 1.0)
        * reader.read_number("limits.cores", 1.0),
    )
    if reader.findings:
        raise SettingsError("; ".join(reader.findings))
    return settings


def _read_policy(reader: _Reader) -> state.Policy:
    max_lease_s = reader.read_number("bounds.hold-max-ms", 6000.0) / MS_PER_S
    return state.Policy(
        lease_s=max(MIN_LEASE_S, min(5.0, max_lease_s - LEASE_MARGIN_S)),
        max_lease_s=max_lease_s,
        stop_s=reader.read_number("bounds.stop-ms", 200.0) / MS_PER_S,
        restore_s=reader.read_number("bounds.restore-ms", 100.0) / MS_PER_S,
        # Callers may ask for the state of an ended job for this long.
        retention_s=reader.read_number("bounds.status_s", 120.0) + 30.0,
    )
