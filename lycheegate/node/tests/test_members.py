"""Directory of the addresses of VMs."""

import random

import pytest

from lycheegate.node import members, storage, tables
from lycheegate.node.tests import fake_store

_TRANSACTION_S = 0.004


class _Deployment:
    """VMs that follow and announce their addresses, on one store."""

    def __init__(self, seed=1):
        self.generator = random.Random(seed)
        self.loop = fake_store.EventLoop()
        self.faults = fake_store.Faults(transaction_s=_TRANSACTION_S)
        self.store = fake_store.FakeStore(self.loop, self.faults, self.generator)
        self.errors = []

    def put_address(self, vm, address):
        self.store.put(storage.RowKey(tables.MEMBERS, tables.PART, vm), address.encode())

    def start(self, vm, address="10.0.0.1:1"):
        """Starts a VM and returns its directory."""
        directory = members.MemberDirectory(
            self.store.connect(vm),
            self.loop.call_later,
            vm,
            address,
            self.errors.append,
            lambda: self.loop.now_s,
            self.generator,
        )
        directory.feed.start()
        return directory

    def run(self, duration_s):
        self.loop.run_until(self.loop.now_s + duration_s)


def test_restart_of_all_vms_writes_nothing():
    """Guards against a scheduler whose writes wait behind hundreds of announcements.

    Load pattern: all VMs of a large deployment are killed and start again at the same time.
    """
    deployment = _Deployment()
    for number in range(300):
        deployment.put_address(f"vm{number}", "10.0.0.1:1")
    version = deployment.store.version
    directories = [deployment.start(f"vm{number}") for number in range(300)]
    deployment.run(10.0)
    assert deployment.store.version == version
    assert {directory.count for directory in directories} == {300}
    assert deployment.errors == []


def test_announcements_leave_room_for_the_scheduler():
    """Guards against writes of the scheduler that are refused or late while VMs announce.

    Load pattern: all VMs of a large deployment get new addresses at the same time.
    """
    deployment = _Deployment()
    for number in range(300):
        deployment.put_address(f"vm{number}", "10.0.0.1:1")
    for number in range(300):
        deployment.start(f"vm{number}", "10.0.0.2:1")
    for _ in range(50):
        deployment.run(0.1)
        heartbeat = storage.Transaction(writes=(storage.Write(tables.HEARTBEAT, b"beat"),))
        done_at_s = deployment.store.enqueue(heartbeat)
        assert done_at_s is not None
        assert done_at_s - deployment.loop.now_s < 0.1
    addresses = {r.value for k, r in deployment.store.rows.items() if k.table == tables.MEMBERS}
    assert addresses == {b"10.0.0.2:1"}


@pytest.mark.parametrize(
    ("known", "faults_s"), [("", 0.0), ("10.0.0.9:1", 0.0), ("", 2.5)], ids=["new", "moved", "lost"]
)
def test_address_is_announced(known, faults_s):
    """Guards against a VM that peers cannot reach, also if the store fails at its start."""
    deployment = _Deployment()
    if known:
        deployment.put_address("a", known)
    if faults_s:
        deployment.faults.refused_vms.add("a")
    directory = deployment.start("a")
    other = deployment.start("b")
    deployment.run(faults_s)
    deployment.faults.refused_vms.clear()
    deployment.run(3.0)
    assert other.find_address("a") == "10.0.0.1:1"
    assert other.list_peers() == ["10.0.0.1:1"]
    assert directory.count == 2


def test_departed_vm_is_not_listed():
    """Guards against store calls through a VM that has left, and against a lost own row."""
    deployment = _Deployment()
    deployment.put_address("gone", "10.0.0.9:1")
    directory = deployment.start("a")
    deployment.run(1.0)
    assert directory.list_peers() == ["10.0.0.9:1"]
    keys = [storage.RowKey(tables.MEMBERS, tables.PART, vm) for vm in ("gone", "a")]
    deployment.store.apply(storage.Transaction(deletes=tuple(keys)))
    deployment.run(4.0)
    assert directory.list_peers() == []
    assert directory.find_address("a") == "10.0.0.1:1"
