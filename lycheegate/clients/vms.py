"""Client of the platform's VM list."""

import dataclasses
import enum
import random
import threading
import time
from collections.abc import Callable

import msgspec
from returns import result

from lycheegate.clients import guards, http
from lycheegate.model import resources
from lycheegate.utils import exceptions

__all__ = ["Vm", "VmKind", "VmList", "VmListing", "VmState", "list_workers"]


class VmKind(enum.StrEnum):
    """Role of a VM."""

    ENTRY = "entry"
    WORKER = "worker"


class VmState(enum.StrEnum):
    """Whether a VM remains or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the VM list; ``slots`` and ``accelerators`` are 0 for entry VMs."""

    vm_id: str
    kind: VmKind
    endpoint: str
    region: str
    data_centre: str
    rack: str
    state: VmState
    slots: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VmListing:
    """The VM list at a point in time.

    Attributes:
        as_of_s: Time at which the list was current, in seconds since 1970. It lags behind the
            time of the read.
        vms: The VMs.
    """

    as_of_s: float
    vms: tuple[Vm, ...]


class _VmBody(msgspec.Struct):
    vm_id: str
    kind: VmKind
    endpoint: str
    state: VmState
    region: str = ""
    data_centre: str = ""
    rack: str = ""
    slots: int = 0
    accelerators: int = 0


class _ListBody(msgspec.Struct):
    as_of_s: float
    vms: list[_VmBody]


class VmList:
    """VM list over HTTP. Lists that are older than one already read are ignored."""

    def __init__(
        self,
        client: http.HttpClient,
        url: str,
        generator: random.Random,
        monotonic_s: Callable[[], float] = time.monotonic,
    ):
        self._client = client
        self._url = f"{url.rstrip('/')}/v1/vms"
        self._guard = guards.create_guard(generator, monotonic_s)
        self._lock = threading.Lock()
        self._newest: VmListing | None = None

    def read(self, timeout_s: float = 2.0) -> result.Result[VmListing, exceptions.LycheegateError]:
        """Returns the newest list read so far.

        Replicas of the list may lag by different times, so an answer may be older than the previous
        one. In that case, the newest list read before is returned again.
        """
        request = http.Request("GET", self._url, timeout_s=timeout_s)
        outcome = guards.send_and_wait(self._client, self._guard, request, repeatable=True)
        if isinstance(outcome, result.Failure):
            return result.Failure(exceptions.UnavailableError(str(outcome.failure())))
        response = outcome.unwrap()
        if response.status != 200:
            return result.Failure(
                exceptions.UnavailableError(f"VM list: expected status 200, got {response.status}")
            )
        try:
            body = msgspec.json.decode(response.body, type=_ListBody)
        except msgspec.DecodeError as error:
            return result.Failure(exceptions.ProtocolError(f"VM list: {error}"))
        listing = VmListing(body.as_of_s, tuple(_make_vm(vm) for vm in body.vms))
        with self._lock:
            if self._newest is None or listing.as_of_s >= self._newest.as_of_s:
                self._newest = listing
            return result.Success(self._newest)


def list_workers(listing: VmListing, data_centre: str) -> list[resources.Worker]:
    """Returns the workers of a data centre, including those that are leaving."""
    return [
        resources.Worker(
            vm.vm_id,
            vm.endpoint,
            vm.region,
            vm.data_centre,
            vm.rack,
            vm.slots,
            vm.accelerators,
        )
        for vm in listing.vms
        if vm.kind is VmKind.WORKER and vm.data_centre == data_centre
    ]


def _make_vm(body: _VmBody) -> Vm:
    return Vm(**msgspec.structs.asdict(body))
