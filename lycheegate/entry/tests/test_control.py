"""Tests of the control thread's functions, called without the thread."""

import pytest
from returns import result

from lycheegate.clients import table
from lycheegate.entry import control, rows
from lycheegate.keys import peers
from lycheegate.peers import links, ownership
from lycheegate.utils import clock, pools
from standins import memory

LEASE = {"owner": "e1", "boot_id": "b", "epoch": 4, "released": False}


@pytest.fixture
def made_control():
    """Control of an entry VM that knows two partitions; its thread is not started."""
    identity = links.Identity("e0", "boot", "127.0.0.1:1", peers.PeerKeys("key"))
    hooks = rows.Hooks(memory.MemoryTable(), *[lambda *_: None] * 7)
    pool = pools.BoundedPool("control", 1, 1)
    made = control.Control(identity, "dc", {}, {}, hooks, None, pool, clock.FakeClock())
    made.ownership = {name: ownership.create_state(name, "e0", "boot") for name in ("dc/0", "dc/1")}
    yield made
    pool.shutdown()


@pytest.mark.parametrize(
    "malformed", [{}, {**LEASE, "epoch": "x"}, {**LEASE, "epoch": None}, {**LEASE, "owner": None}]
)
def test_malformed_lease_does_not_hide_the_others(made_control, malformed):
    """Guards against partitions that nobody claims because the row of another is malformed.

    The malformed row itself is neither claimed nor taken for a missing one.
    """
    found = [table.Row("dc/0", malformed, 3), table.Row("dc/1", LEASE, 7)]
    made_control._apply_partition_rows(result.Success(found))
    assert made_control.ownership["dc/1"].row == ownership.LeaseRow("e1", "b", 4, False, 7)
    assert not made_control.ownership["dc/0"].is_read
