"""Settings file that the platform provides to each process."""

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
MIN_ROW_BYTES = 1024
START_MARGIN_S = 1.5
"""Part of the time limit for an evacuation in which an order that is sent reaches its worker."""
MIN_OPERATOR_VIEW_AGE_S = 1.5
"""Lower bound of that age: the store confirms the operators' requests about once a second."""
LEASE_MARGIN_S = 1.0
"""Difference between the longest lease that workers grant and the lease that is requested.

It ensures that workers grant the requested lease in full.
"""


class SettingsError(Exception):
    """The settings file is missing or has errors; the message lists each with its line."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        node_name: Name of the VM.
        data_centre: Data centre of the VM.
        callers_address: Address that serves callers.
        ready_address: Address that serves readiness checks and metrics.
        peer_address: Address that serves other VMs.
        store_address: Address of the platform's store.
        policy: Limits of the scheduler.
        revoke_s: Time within which all VMs must reject a revoked key.
        grace_s: Time between the termination signal and the end of the process.
        processor_cores: CPU capacity of the VM, in CPU seconds per second.
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


class _FieldReader:
    """Converts the fields of a settings file and collects findings about invalid ones.

    Attributes:
        findings: Findings so far, each with the name of its field.
    """

    def __init__(self, fields: Mapping[str, tuple[int, str]]):
        self._fields = fields
        self.findings: list[str] = []

    def read_text(self, name: str) -> str:
        line, value = self._fields.get(name, (0, ""))
        if not value:
            self.findings.append(f"{name}: missing or empty")
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
            self.findings.append(
                f"line {line}: {name}: expected a finite number of at least 0, got {value!r}"
            )
            return default
        return number

    def read_peer_address(self) -> tuple[str, int]:
        first_port = self.read_text("port-range").partition(",")[0]
        line = self._fields.get("port-range", (0, ""))[0]
        if not first_port.isdigit() or not 0 < int(first_port) < 65536:
            self.findings.append(
                f"line {line}: port-range: expected ports such as 7000,7015, "
                f"got {first_port!r} as the first port"
            )
            return ("", 0)
        return (self.read_text("ip"), int(first_port))

    def read_address(self, name: str) -> tuple[str, int]:
        host, _, port = self.read_text(name).rpartition(":")
        line = self._fields.get(name, (0, ""))[0]
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self.findings.append(
                f"line {line}: {name}: expected an address such as 10.1.0.19:8521, "
                f"got host {host!r} and port {port!r}"
            )
            return ("", 0)
        return (host, int(port))


def load_settings(environment: Mapping[str, str] = os.environ) -> NodeSettings:
    """Loads the settings of this process.

    Args:
        environment: Environment variables; ``PATH_VARIABLE`` contains the path of the file.

    Raises:
        SettingsError: The file cannot be read or has errors.
    """
    path = environment.get(PATH_VARIABLE, "")
    try:
        return parse_settings(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"cannot read the settings file {path!r} given by {PATH_VARIABLE}: {error.strerror}"
        ) from error


def parse_settings(text: str) -> NodeSettings:
    """Parses settings in lines of the form ``a.b=value``; unknown fields are ignored.

    Raises:
        SettingsError: Fields are missing or invalid; the message lists all findings.
    """
    fields: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = (number, value.strip())
    reader = _FieldReader(fields)
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
        # The platform reports a CPU share and, as a separate factor, the speed of the CPU.
        processor_cores=reader.read_number("limits.cpu-share", 1.0)
        * reader.read_number("limits.cores", 1.0),
    )
    if reader.findings:
        raise SettingsError("; ".join(reader.findings))
    return settings


def _read_policy(reader: _FieldReader) -> state.Policy:
    max_lease_s = reader.read_number("bounds.hold-max-ms", 6000.0) / MS_PER_S
    return state.Policy(
        lease_s=max(MIN_LEASE_S, min(5.0, max_lease_s - LEASE_MARGIN_S)),
        max_lease_s=max_lease_s,
        stop_s=reader.read_number("bounds.stop-ms", 200.0) / MS_PER_S,
        restore_s=reader.read_number("bounds.restore-ms", 100.0) / MS_PER_S,
        # Ended jobs are kept 30 s longer than callers may query their status.
        max_row_bytes=_read_row_bytes(reader),
        retention_s=reader.read_number("bounds.status_s", 120.0) + 30.0,
        max_operator_view_age_s=_read_operator_view_age_s(reader),
        far_factor=max(1.0, reader.read_number("bounds.far-factor", 3.0)),
    )


def _read_operator_view_age_s(reader: _FieldReader) -> float | None:
    """Returns the age limit of the operators' requests, or None if there are no evacuations."""
    limit_s = reader.read_number("bounds.evacuate-ms", 0.0) / MS_PER_S
    return max(MIN_OPERATOR_VIEW_AGE_S, limit_s - START_MARGIN_S) if limit_s else None


def _read_row_bytes(reader: _FieldReader) -> int:
    """Returns the maximum size of a row, such that its text in Base64 does not exceed the limit."""
    limit_bytes = reader.read_number("platform.row-bytes", 65536.0)
    return max(MIN_ROW_BYTES, int(limit_bytes) // 4 * 3)
