"""Contract tests of the VM list client."""

import random

import pytest
from returns import result

from lycheegate.clients import http, vms
from lycheegate.utils import exceptions
from standins import vms as vms_standin

_ENTRY = vms_standin.VmRecord(vm_id="e1", kind="entry", endpoint="127.0.0.1:1")
_WORKER = vms_standin.VmRecord(
    vm_id="w1", endpoint="127.0.0.1:2", data_centre="suwon", rack="r1", slots=8, accelerators=4
)


class _WallClock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


@pytest.fixture(name="clock")
def _clock():
    return _WallClock()


@pytest.fixture(name="standin")
def _standin(clock):
    standin = vms_standin.VmsStandin(wall_clock_s=clock)
    standin.start()
    standin.set_vms(_ENTRY, _WORKER)
    yield standin
    standin.stop()


@pytest.fixture(name="vm_list")
def _vm_list(standin):
    client = http.HttpClient()
    yield vms.VmList(client, f"http://{standin.address}", random.Random(3))
    client.close()


def test_read(vm_list):
    """Guards against VMs that are lost or confused by decoding."""
    listing = vm_list.read().unwrap()
    assert listing.as_of_s == 1000.0
    assert [(vm.vm_id, vm.kind, vm.state) for vm in listing.vms] == [
        ("e1", vms.VmKind.ENTRY, vms.VmState.LIVE),
        ("w1", vms.VmKind.WORKER, vms.VmState.LIVE),
    ]
    (worker,) = vms.list_workers(listing, "suwon")
    assert (worker.worker_id, worker.rack, worker.slots, worker.accelerators) == ("w1", "r1", 8, 4)
    assert vms.list_workers(listing, "goyang") == []


def test_lag(standin, vm_list, clock):
    """Guards against a lagging list that counts as current, or that replaces a newer one."""
    clock.now_s = 1010.0
    standin.set_vms(_ENTRY)
    standin.faults.set(lag_s=5.0)
    lagging = vm_list.read().unwrap()
    assert (lagging.as_of_s, len(lagging.vms)) == (1005.0, 2)
    standin.faults.set(lag_s=0.0)
    fresh = vm_list.read().unwrap()
    assert (fresh.as_of_s, len(fresh.vms)) == (1010.0, 1)
    standin.faults.set(lag_s=5.0)
    assert vm_list.read().unwrap() == fresh


@pytest.mark.parametrize(
    ("switches", "fails"),
    [
        ({"down": True}, True),
        ({"refused": True}, True),
        ({"stalled": True}, True),
        ({"slow_s": 2.0}, True),
        ({"lose_answers": 1}, False),
        ({"lose_requests": 1}, False),
        ({"slow_s": 0.05}, False),
    ],
)
def test_faults(standin, vm_list, switches, fails):
    """Guards against a fault that is reported as an empty list, which would remove all VMs."""
    standin.faults.set(**switches)
    outcome = vm_list.read(0.5)
    if fails:
        assert type(outcome.failure()) is exceptions.UnavailableError
    else:
        assert isinstance(outcome, result.Success)


def test_unreadable_list(standin, vm_list):
    """Guards against a malformed list that is read as an empty one."""
    standin.set_vms(vms_standin.VmRecord(vm_id="x", kind="router"))
    assert type(vm_list.read().failure()) is exceptions.ProtocolError
