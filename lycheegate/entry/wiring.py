"""Makes the parts of the entry daemon from its settings."""

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
    """Clients of the outside systems.

    The workers have an HTTP client of their own, so that a burst of orders does not delay a
    lease renewal.
    """

    table: table_module.Table
    objects: answers.ObjectStore
    list_vms: Callable[[], result.Result[list[rows.VmEntry], exceptions.LycheegateError]]
    worker_client: http.HttpClient
    close: Callable[[], None]


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def make_peer_keys(settings: models.EntrySettings) -> peer_keys.PeerKeys:
    """Returns the keys shared by all entry VMs."""
    return peer_keys.PeerKeys(settings.peer_key or "")


def make_worker_settings(settings: models.EntrySettings) -> workers.WorkerSettings:
    """Returns times and limits of the calls of workers."""
    return workers.WorkerSettings(max_answer_bytes=settings.limits.max_answer_bytes)


def get_core() -> partitions.Core:
    """Returns the scheduling decisions."""
    return partitions.Core(engine.create_state, engine.decide)


def create_platform(settings: models.EntrySettings) -> Platform:
    """Returns clients of the outside systems."""
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
        lambda: listing.read().map(_make_entries),
        worker_client,
        close,
    )


def _make_entries(listing: vms.VmListing) -> list[rows.VmEntry]:
    return [_make_entry(vm) for vm in listing.vms]


def _make_entry(vm: vms.Vm) -> rows.VmEntry:
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
    return rows.VmEntry(vm.vm_id, vm.kind is vms.VmKind.ENTRY, is_leaving, worker)
