"""Configuration document written by the platform's operators."""

import math
from collections.abc import Iterable

import msgspec

from lycheegate.jobs import model, validation
from lycheegate.node import storage
from lycheegate.platform import foreign
from lycheegate.utils import exceptions

__all__ = ["KEY", "TABLE", "apply_evacuation_rows", "decode_configuration"]

TABLE = "op"
KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys of rows that request the evacuation of a data centre."""
DEFAULT_MAX_BODY_BYTES = 262144
DEFAULT_WEIGHT = 1.0
MAX_FINDINGS = 10
"""Maximum number of findings that are kept of one document; each is logged."""
MAX_QUOTED_CHARACTERS = 60


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 3.0
    target_duration_ms: float = 0.0
    public: bool = False
    refuse_late: msgspec.Raw = msgspec.Raw()
    """Whether late jobs are refused, as true or false."""


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    admission_check: bool = False
    preemption_loss: msgspec.Raw = msgspec.Raw()
    """Share of the capacity, as a number."""
    prove_workers: msgspec.Raw = msgspec.Raw()
    """Whether gangs prefer proved workers while many workers fail, as true or false."""


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class _Guaranteed(msgspec.Struct):
    gpu: foreign.SignedAmount = 0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed = msgspec.field(default_factory=_Guaranteed)
    weight: msgspec.Raw = msgspec.Raw()


class _Configuration(msgspec.Struct):
    version: foreign.Amount
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(data: bytes) -> model.Configuration:
    """Decodes a configuration document.

    Raises:
        ProtocolError: The document is malformed.
    """
    try:
        document = foreign.decode_json(data, _Configuration, strict=False)
    except exceptions.ProtocolError as error:
        raise exceptions.ProtocolError(f"cannot decode configuration: {error}") from error
    findings: list[str] = []
    routes = {route.name: _make_route(route, findings) for route in document.routes}
    try:
        for route in routes.values():
            validation.check_route(route)
    except ValueError as error:
        raise exceptions.ProtocolError(f"configuration {document.version}: {error}") from error
    accounts: dict[str, model.Account] = {}
    services = {service.name: _make_service(service, findings) for service in document.services}
    for tenant in document.tenants:
        accounts[tenant.name] = _make_account(tenant, findings)
    return model.Configuration(
        version=document.version,
        routes=routes,
        services=services,
        accounts=accounts,
        account_by_key={key: a.name for a in accounts.values() for key in a.keys},
        max_body_bytes=document.limits.max_body_bytes,
        findings=tuple(findings[:MAX_FINDINGS]),
        # Operators ask for shares by stating a weight.
        divides_room=any(bytes(tenant.weight) for tenant in document.tenants),
    )


def apply_evacuation_rows(evacuated: frozenset[str], rows: Iterable[storage.Row]) -> frozenset[str]:
    """Returns the data centres to evacuate after rows of the operators' table have changed.

    The key of a row names the data centre; its content has no meaning and is not read.
    """
    result = set(evacuated)
    for row in rows:
        if not row.key.key.startswith(_EVACUATION_PREFIX):
            continue
        data_centre = row.key.key.removeprefix(_EVACUATION_PREFIX)
        if row.deleted:
            result.discard(data_centre)
        else:
            result.add(data_centre)
    return frozenset(result)


def _make_route(route: _Route, findings: list[str]) -> model.Route:
    return model.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        stretch_ratio=route.stretch,
        target_s=route.target_duration_ms / 1000.0,
        is_public=route.public,
        refuses_late=_read_refuse_late(route, findings),
    )


def _read_refuse_late(route: _Route, findings: list[str]) -> bool:
    """Returns whether late jobs of a queue are refused."""
    subject = f"queue {route.name:.{MAX_QUOTED_CHARACTERS}}: refuse-late"
    return _read_flag(route.refuse_late, subject, "no job is refused as late", findings)


def _read_flag(value: msgspec.Raw, subject: str, consequence: str, findings: list[str]) -> bool:
    """Returns an optional true or false; a missing or wrong value counts as false.

    Args:
        value: The value as it is written.
        subject: What it belongs to, for the finding.
        consequence: What is done if it is wrong, for the finding.
        findings: Receives a finding if it is wrong.
    """
    data = bytes(value)
    if not data:
        return False
    try:
        return foreign.decode_json(data, bool)
    except exceptions.ProtocolError:
        quoted = f"{data.decode():.{MAX_QUOTED_CHARACTERS}}"
        findings.append(f"{subject} {quoted} is not true or false; {consequence}")
        return False


def _make_account(tenant: _Tenant, findings: list[str]) -> model.Account:
    subject = f"account {tenant.name:.{MAX_QUOTED_CHARACTERS}}: weight"
    weight = _read_number(tenant.weight, subject, math.inf, f"{DEFAULT_WEIGHT} is used", findings)
    return model.Account(
        tenant.name,
        frozenset(tenant.api_keys),
        tenant.guaranteed.gpu,
        DEFAULT_WEIGHT if weight is None else weight,
    )


def _make_service(service: _Service, findings: list[str]) -> model.Service:
    subject = f"service {service.name:.{MAX_QUOTED_CHARACTERS}}: preemption-loss"
    ratio = _read_number(service.preemption_loss, subject, 1.0, "it is not limited", findings)
    subject = f"service {service.name:.{MAX_QUOTED_CHARACTERS}}: prove-workers"
    proves = _read_flag(service.prove_workers, subject, "gangs prefer no workers", findings)
    return model.Service(service.name, service.admission_check, ratio, proves)


def _read_number(
    value: msgspec.Raw, subject: str, maximum: float, consequence: str, findings: list[str]
) -> float | None:
    """Returns an optional number above 0, or None if it is missing or wrong.

    A wrong one does not invalidate the whole document.

    Args:
        value: The number as it is written.
        subject: What it belongs to, for the finding.
        maximum: Its maximum; infinite for any finite number.
        consequence: What is done if it is wrong, for the finding.
        findings: Receives a finding if it is wrong.
    """
    data = bytes(value)
    if not data:
        return None
    try:
        number = foreign.decode_json(data, float)
    except exceptions.ProtocolError:
        number = math.nan
    if 0.0 < number <= maximum and number < math.inf:
        return number
    allowed = "a finite number above 0" if maximum == math.inf else f"above 0 and at most {maximum}"
    findings.append(
        f"{subject} {data.decode():.{MAX_QUOTED_CHARACTERS}} is not {allowed}; {consequence}"
    )
    return None
