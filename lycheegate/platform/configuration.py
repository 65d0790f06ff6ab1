"""Configuration document written by the platform's operators."""

from collections.abc import Iterable
from typing import Any

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
    refuse_late: Any = False


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    admission_check: bool = False


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class _Guaranteed(msgspec.Struct):
    gpu: foreign.SignedAmount = 0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed = msgspec.field(default_factory=_Guaranteed)


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
    try:
        routes = {route.name: _make_route(route) for route in document.routes}
        for route in routes.values():
            validation.check_route(route)
    except ValueError as error:
        raise exceptions.ProtocolError(f"configuration {document.version}: {error}") from error
    accounts = {tenant.name: _make_account(tenant) for tenant in document.tenants}
    return model.Configuration(
        version=document.version,
        routes=routes,
        services={s.name: model.Service(s.name, s.admission_check) for s in document.services},
        accounts=accounts,
        account_by_key={key: a.name for a in accounts.values() for key in a.keys},
        max_body_bytes=document.limits.max_body_bytes,
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


def _make_route(route: _Route) -> model.Route:
    if not isinstance(route.refuse_late, bool):
        # Other values could be read as true or as false, and VMs of other builds may differ in it.
        raise ValueError(
            f"queue {route.name!r:.60}: refuse-late: expected true or false, "
            f"got {route.refuse_late!r:.40}"
        )
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
        refuses_late=route.refuse_late,
    )


def _make_account(tenant: _Tenant) -> model.Account:
    return model.Account(tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.gpu)
