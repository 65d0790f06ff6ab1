"""Rows of the tables ``member`` and ``partition``, and the hooks of the control thread."""

import dataclasses
import secrets
from collections.abc import Callable

import msgspec
from returns import result

from lycheegate.clients import table as table_module
from lycheegate.model import releases, resources
from lycheegate.peers import links, ownership
from lycheegate.utils import exceptions

__all__ = [
    "Hooks",
    "ListedVm",
    "decode_lease",
    "remove_member",
    "write_lease",
    "write_member",
]

MEMBERS = "member"
PARTITIONS = "partition"
LEASE_WRITE_TIMEOUT_S = 1.0
"""Short enough for two renewals within a lease if the first one times out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the VM list; ``worker`` is set if it is a worker."""

    vm_id: str
    is_entry: bool
    is_leaving: bool
    worker: resources.Worker | None


@dataclasses.dataclass(frozen=True)
class Hooks:
    """Functions and objects of the daemon that the control thread uses.

    Attributes:
        table: Table service.
        list_vms: Returns the VM list.
        on_release: Called with each release as it comes into force.
        start_owner: Starts the owner of a partition under an epoch.
        stop_owner: Stops the owner of a partition under an epoch; gracefully if the flag is true.
        get_load: Returns the open requests and slots of an owned partition.
        on_workers: Called with the workers of all partitions and the leaving workers.
        on_member_lost: Called when a live member no longer sends heartbeats, or has restarted.
    """

    table: table_module.Table
    list_vms: Callable[[], result.Result[list[ListedVm], exceptions.LycheegateError]]
    on_release: Callable[[releases.Release], None]
    start_owner: Callable[[str, int], None]
    stop_owner: Callable[[str, int, bool], None]
    get_load: Callable[[str], tuple[int, int]]
    on_workers: Callable[[dict[str, dict[str, resources.Worker]], set[str]], None]
    on_member_lost: Callable[[str], None]


class _LeaseValue(msgspec.Struct):
    owner: str
    boot_id: str
    epoch: int
    released: bool = False


def write_member(table: table_module.Table, identity: links.Identity, data_centre: str) -> None:
    """Writes the row of this entry VM; a failed write is corrected by the next periodic one."""
    value = {
        "address": identity.address,
        "boot_id": identity.boot_id,
        "data_centre": data_centre,
    }
    table.transact(
        [table_module.Operation(table_module.OperationKind.PUT, MEMBERS, identity.vm_id, value)]
    )


def remove_member(table: table_module.Table, vm_id: str, if_version: int | None = None) -> None:
    """Deletes the row of an entry VM."""
    table.transact(
        [
            table_module.Operation(
                table_module.OperationKind.DELETE, MEMBERS, vm_id, if_version=if_version
            )
        ]
    )


def write_lease(
    table: table_module.Table,
    identity: links.Identity,
    partition: str,
    action: ownership.Claim | ownership.Renew | ownership.ReleaseLease,
) -> ownership.Event:
    """Writes the lease in the row of a partition; returns the event with the outcome."""
    value = {
        "owner": identity.vm_id,
        "boot_id": identity.boot_id,
        "epoch": action.epoch,
        "released": isinstance(action, ownership.ReleaseLease),
        "write_id": secrets.token_hex(4),
    }
    operation = table_module.Operation(
        table_module.OperationKind.PUT, PARTITIONS, partition, value, action.if_version
    )
    match table.transact([operation], timeout_s=LEASE_WRITE_TIMEOUT_S):
        case result.Success(versions):
            return _make_success_event(action, versions[0])
    return ownership.WriteRejected()


def decode_lease(row: table_module.Row) -> ownership.LeaseRow:
    """Returns the lease in a row of table ``partition``.

    Raises:
        ProtocolError: The value of the row is not a lease.
    """
    try:
        value = msgspec.convert(row.value, _LeaseValue)
    except msgspec.ValidationError as error:
        raise exceptions.ProtocolError(f"malformed lease of {row.key!r}: {error}") from error
    return ownership.LeaseRow(value.owner, value.boot_id, value.epoch, value.released, row.version)


def _make_success_event(action: ownership.Action, version: int) -> ownership.Event:
    match action:
        case ownership.Claim():
            return ownership.Claimed(action.epoch, version)
        case ownership.ReleaseLease():
            return ownership.LeaseReleased(version)
    return ownership.Renewed(version)
