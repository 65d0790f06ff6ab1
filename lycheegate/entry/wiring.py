"""Creation of the components of the entry daemon from its settings."""

import dataclasses
import random
from collections.abc import Callable

from returns import result

from lycheegate.clients import http, objects, table_client, vms, workers
from lycheegate.clients import table as table_module
from lycheegate.core import engine
from lycheegate.entry import answers, partitions, rows
from lycheegate.keys import peers as peer_keys
from lycheegate.model import resources
from lycheegate.settings import models
from lycheegate.utils import exceptions

__all__ = [
    "Platform",
    "create_platform",
    "get_core",
    "make_peer_keys",
    "make_worker_settings",
    "split_address",
]


@dataclasses.dataclass(frozen=True)
class Platform:
    """Clients of external systems.

    Calls to workers use a separate HTTP client, so that a burst of orders does not delay a lease
    renewal.
    """

    table: table_module.Table
    objects: answers.ObjectStore
    list_vms: Callable[[], result.Result[list[rows.ListedVm], exceptions.LycheegateError]]
    worker_client: http.HttpClient
    close: Callable[[], None]


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def make_peer_keys(settings: models.EntrySettings) -> peer_keys.PeerKeys:
    """Returns the keys shared by all entry VMs."""
    return peer_keys.PeerKeys(settings.peer_key or "")


def make_worker_settings(settings: models.EntrySettings) -> workers.WorkerSettings:
    """Returns the timeouts and limits of calls to workers."""
    return workers.WorkerSettings(max_answer_bytes=settings.limits.max_answer_bytes)


def get_core() -> partitions.Core:
    """Returns the functions of the scheduling core."""
    return partitions.Core(engine.create_state, engine.decide)


def create_platform(settings: models.EntrySettings) -> Platform:
    """Creates the clients of external systems."""
    generator = random.Random()
    client = http.HttpClient("platform")
    worker_client = http.HttpClient("workers")
    urls = settings.platform
    listing = vms.VmList(client, urls.vms, generator)

    def close() -> None:
        client.close()
        worker_client.close()

    return Platform(
        table_client.HttpTable(client, urls.table, generator),
        objects.ObjectStore(client, urls.objects, generator, settings.limits.max_answer_bytes),
        lambda: listing.read().map(_make_listed_vms),
        worker_client,
        close,
    )


def _make_listed_vms(listing: vms.VmListing) -> list[rows.ListedVm]:
    return [_make_listed_vm(vm) for vm in listing.vms]


def _make_listed_vm(vm: vms.Vm) -> rows.ListedVm:
    worker = None
    if vm.kind is vms.VmKind.WORKER:
        worker = resources.Worker(
            vm.vm_id,
            vm.endpoint,
            vm.region,
            vm.data_centre,
            vm.rack,
            vm.slots,
            vm.accelerators,
        )
    is_leaving = vm.state is vms.VmState.LEAVING
    return rows.ListedVm(vm.vm_id, vm.kind is vms.VmKind.ENTRY, is_leaving, worker)
