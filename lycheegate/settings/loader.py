"""Loads settings files and reports all problems in them."""

import ipaddress
import pathlib

import msgspec
from returns import result

from lycheegate.keys import tokens
from lycheegate.settings import models
from lycheegate.utils import documents, findings

__all__ = ["SettingRow", "format_table", "list_settings", "load_settings", "parse_settings"]

_UNITS = {
    "_per_s": "1/s",
    "_ms": "ms",
    "_s": "s",
    "_bytes": "bytes",
    "_ratio": "ratio",
}


class SettingRow(msgspec.Struct, frozen=True):
    """Row of the settings table in the documentation."""

    name: str
    unit: str
    default: str
    allowed: str
    description: str


def load_settings(
    path: pathlib.Path,
) -> result.Result[models.EntrySettings, list[findings.Finding]]:
    """Loads settings from a file.

    Returns:
        The settings, or all findings ordered by location. ``peer_key`` is always set: if
        ``peer_key_file`` is specified, the key is read from that file.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return result.Failure([_make_finding(str(path), f"cannot read file: {error.strerror}")])
    return parse_settings(data, str(path))


def parse_settings(
    data: bytes | str, file: str
) -> result.Result[models.EntrySettings, list[findings.Finding]]:
    """Parses settings.

    Args:
        data: Content of the file.
        file: Name of the file, for findings.

    Returns:
        The settings, or all findings ordered by location. ``peer_key`` is always set.
    """
    document = documents.load_document(data, file, models.EntrySettings)
    settings = document.value
    if settings is not None:
        _check_addresses(document, settings)
        _check_unique(document, settings)
        _check_job_classes(document, settings)
        settings = _read_peer_key(document, settings)
    if findings.has_errors(document.collected):
        return result.Failure(findings.sort_findings(document.collected))
    return result.Success(settings)


def list_settings() -> list[SettingRow]:
    """Returns a table row for each setting, in the order of the models."""
    rows: list[SettingRow] = []
    _append_rows(msgspec.inspect.type_info(models.EntrySettings), "", rows)
    return rows


def format_table() -> str:
    """Returns the settings as a Markdown table."""
    lines = ["| setting | unit | default | allowed | meaning |", "|---|---|---|---|---|"]
    for row in list_settings():
        cells = (f"`{row.name}`", row.unit, row.default, row.allowed, row.description)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _append_rows(struct: msgspec.inspect.StructType, prefix: str, rows: list[SettingRow]) -> None:
    for field in struct.fields:
        name = f"{prefix}{field.encode_name}"
        inner, suffix = _get_inner_struct(field.type)
        if inner is not None and (suffix or prefix == "" or field.encode_name == "shape"):
            _append_rows(inner, f"{name}{suffix}.", rows)
            continue
        schema = getattr(field.type, "extra_json_schema", None) or {}
        unit = next((u for end, u in _UNITS.items() if field.encode_name.endswith(end)), "")
        allowed = documents.describe_type(field.type)
        rows.append(
            SettingRow(name, unit, _format_default(field), allowed, schema.get("description", ""))
        )


def _get_inner_struct(
    kind: msgspec.inspect.Type,
) -> tuple[msgspec.inspect.StructType | None, str]:
    """Returns the struct within a type, and the suffix of setting names for its elements."""
    kind = documents.strip_metadata(kind)
    suffix = ""
    if isinstance(kind, msgspec.inspect.ListType):
        kind, suffix = documents.strip_metadata(kind.item_type), "[]"
    elif isinstance(kind, msgspec.inspect.DictType):
        kind, suffix = documents.strip_metadata(kind.value_type), ".<name>"
    return (kind, suffix) if isinstance(kind, msgspec.inspect.StructType) else (None, "")


def _format_default(field: msgspec.inspect.Field) -> str:
    if field.required:
        return "required"
    if field.default_factory is not msgspec.NODEFAULT:
        value = field.default_factory()
    else:
        value = field.default
    if value is None:
        return "absent"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f"`{value}`" if not isinstance(value, list | dict) else "empty"


def _check_addresses(document: documents.Document, settings: models.EntrySettings) -> None:
    addresses: list[tuple[documents.Path, str]] = [
        (("callers_address",), settings.callers_address),
        (("peers_address",), settings.peers_address),
    ]
    addresses += [(("peers", i, "address"), p.address) for i, p in enumerate(settings.peers)]
    if settings.statsd is not None:
        addresses.append((("statsd", "address"), settings.statsd.address))
    for path, address in addresses:
        if address is None:
            continue
        host, _, port = address.rpartition(":")
        # Port 0, with which the operating system chooses a free port, is allowed only for the
        # addresses of this VM; tests use it. Peers and statsd must be reachable at a known port.
        min_port = 0 if len(path) == 1 else 1
        if not min_port <= int(port) <= 65535 or not _is_ip_address(host.strip("[]")):
            document.add_error(
                path, "out_of_range", f"{address!r} is not a valid address", "IP address and port"
            )
    shared = settings.callers_address
    if shared is not None and shared == settings.peers_address and not shared.endswith(":0"):
        document.add_error(
            ("peers_address",), "duplicate", f"{shared!r} is also the value of callers_address"
        )


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_unique(document: documents.Document, settings: models.EntrySettings) -> None:
    values: list[tuple[str, documents.Path, str]] = []
    for index, peer in enumerate(settings.peers):
        values.append(("peer", ("peers", index, "vm_id"), peer.vm_id))
        values.append(("peer address", ("peers", index, "address"), peer.address))
    for index, operator in enumerate(settings.operators or []):
        values.append(("operator", ("operators", index, "name"), operator.name))
        salt = tokens.find_salt(operator.token_hash)
        values.append(("token", ("operators", index, "token_hash"), salt))
    seen: dict[tuple[str, str], documents.Path] = {}
    for subject, path, value in values:
        first = seen.setdefault((subject, value), path)
        if first != path:
            line = document.find_location(first).line
            document.add_error(path, "duplicate", f"the same {subject} is specified in line {line}")


def _check_job_classes(document: documents.Document, settings: models.EntrySettings) -> None:
    for name, job_class in (settings.job_classes or {}).items():
        path = ("job_classes", name)
        if job_class.preemptible and not job_class.idempotent:
            document.add_error(
                (*path, "preemptible"),
                "not_idempotent",
                f"job class {name!r} is not idempotent and therefore cannot be preemptible",
                "preemptible: false, or idempotent: true",
            )


def _read_peer_key(
    document: documents.Document, settings: models.EntrySettings
) -> models.EntrySettings:
    allowed = "exactly one of peer_key and peer_key_file"
    specified_fields = [
        name for name in ("peer_key", "peer_key_file") if (name,) in document.locations
    ]
    if not specified_fields:
        document.add_error((), "peer_key", "the peer key is missing", allowed)
    if len(specified_fields) == 2:
        document.add_error(
            ("peer_key_file",), "peer_key", "peer_key and peer_key_file are both specified", allowed
        )
        return settings
    path = ("peer_key",)
    if settings.peer_key_file is not None:
        path = ("peer_key_file",)
        try:
            key = pathlib.Path(settings.peer_key_file).read_text(encoding="ascii").strip()
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not ASCII text"
            document.add_error(path, "unreadable", f"cannot read the peer key file: {reason}")
            return settings
        settings = msgspec.structs.replace(settings, peer_key=key)
    if settings.peer_key is not None:
        lengths = [len(key) for key in settings.peer_key.split()]
        if not lengths or min(lengths) < models.MIN_KEY_LENGTH:
            allowed = f"keys of at least {models.MIN_KEY_LENGTH} characters"
            document.add_error(
                path,
                "out_of_range",
                f"number of keys: {len(lengths)}, shortest: {min(lengths, default=0)} characters",
                allowed,
            )
    return settings


def _make_finding(file: str, message: str) -> findings.Finding:
    return findings.Finding(findings.Severity.ERROR, "unreadable", file, 1, 1, message)
