"""Tests of rendezvous hashing."""

from lycheegate.peers import hashing


def test_move_few_racks_when_a_partition_is_added():
    """Guards against a change of the partition count that moves most racks to new owners."""
    racks = [f"rack{number}" for number in range(120)]
    before = {rack: hashing.partition_of_rack("dc", rack, 3) for rack in racks}
    after = {rack: hashing.partition_of_rack("dc", rack, 4) for rack in racks}
    moved = [rack for rack in racks if before[rack] != after[rack]]
    assert all(after[rack] == "dc/3" for rack in moved)
    assert len(moved) < 60
