"""Tests of the control thread's functions, called without the thread."""

import pytest
from returns import result

from lycheegate.clients import table
from lycheegate.entry import control, routing, rows
from lycheegate.keys import peers
from lycheegate.peers import links, messages, ownership
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


def _make_heartbeat(sent_s, owned):
    return messages.Heartbeat("e1", "b", "dc", 0, 0, 0.0, True, owned, False, sent_s, None)


def test_fenced_owner_chooses_no_partition_until_the_next_owner_reports(made_control):
    """Guards against requests that a replaced owner routes to itself, or never routes again.

    After a suspension, the rejection by a worker arrives before the heartbeat of the next owner.
    """
    made_control._apply_message("e1", _make_heartbeat(0.0, {}), 0.0)
    made_control._decide_ownership("dc/0", ownership.Claimed(4, 1))
    assert made_control.find_owner("dc/0") == ("e0", 4)
    made_control._decide_ownership("dc/0", ownership.Fenced(5))
    assert made_control.find_owner("dc/0") is None
    assert made_control.list_loads() == {}
    owned = {"dc/0": messages.OwnedPartition(5, 2, 8)}
    made_control._apply_message("e1", _make_heartbeat(0.5, owned), 0.0)
    assert made_control.find_owner("dc/0") == ("e1", 5)
    assert made_control.list_loads() == {"dc/0": routing.PartitionLoad(2, 8)}
