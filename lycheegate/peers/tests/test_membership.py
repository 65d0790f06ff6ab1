"""Tests of membership."""

import hypothesis
import hypothesis.strategies as st
from hypothesis import stateful

from lycheegate.peers import membership, messages

VMS = ("b", "c")


def _beat(vm_id, draining=False):
    return messages.Heartbeat(vm_id, "boot", "dc", 0, 0, None, False, {}, draining, 0.0, None)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Heartbeats, rows and VM lists that come late, out of step or not at all."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.state = membership.create_state("a", "dc")
        self.heard: dict[str, tuple[float, bool]] = {}
        self.rows: dict[str, int] = {"a": 1}
        self.changed: dict[str, float] = {}
        self.read: dict[str, int] = {}
        self.listed: frozenset[str] | None = None
        self.removals: list[membership.RemoveRow] = []

    def _feed(self, event):
        self.state, actions = membership.decide(self.state, event, self.now_s)
        self.removals = [one for one in actions if isinstance(one, membership.RemoveRow)]

    @stateful.rule(seconds_s=st.sampled_from([0.5, 1.0, 3.0, 70.0]))
    def pass_time(self, seconds_s):
        """Moves the clock."""
        self.now_s += seconds_s
        self.removals = []
        self._feed(membership.Tick())

    @stateful.rule(vm_id=st.sampled_from(VMS), draining=st.booleans())
    def hear(self, vm_id, draining):
        """A heartbeat arrives."""
        self.heard[vm_id] = (self.now_s, draining)
        self._feed(membership.HeartbeatReceived(_beat(vm_id, draining)))

    @stateful.rule(vm_id=st.sampled_from(VMS))
    def write_row(self, vm_id):
        """A member rewrites its row."""
        self.rows[vm_id] = self.rows.get(vm_id, 0) + 1

    @stateful.rule()
    def read_rows(self):
        """The rows are read."""
        for vm_id, version in self.rows.items():
            if self.read.get(vm_id) != version:
                self.read[vm_id] = version
                self.changed[vm_id] = self.now_s
        values = {
            vm_id: ({"address": f"{vm_id}:1"}, version) for vm_id, version in self.rows.items()
        }
        self._feed(membership.RowsRead(values))

    @stateful.rule(listed=st.frozensets(st.sampled_from(VMS)))
    def read_vms(self, listed):
        """The VM list is read."""
        self.listed = listed
        self._feed(membership.VmsRead(listed))

    @stateful.invariant()
    def live_members_were_heard(self):
        """Exactly the members that were heard lately and do not drain are live."""
        live = membership.list_live(self.state, self.now_s)
        expected = {
            vm_id
            for vm_id, (at_s, draining) in self.heard.items()
            if self.now_s - at_s < membership.HEARTBEAT_LOSS_S and not draining
        }
        assert set(live) == expected | {"a"}

    @stateful.invariant()
    def only_expired_rows_are_removed(self):
        """A row is removed only if the VM list lacks the VM and it was silent for long."""
        for removal in self.removals:
            assert self.listed is not None and removal.vm_id not in self.listed
            assert self.now_s - self.changed[removal.vm_id] >= membership.ROW_EXPIRY_S
            # The deletion is conditional, so a row that was rewritten since it was read stays.
            assert removal.if_version == self.read[removal.vm_id]

    @stateful.invariant()
    def known_members_are_the_rows_last_read(self):
        """Known members stay while the store is unavailable."""
        assert set(self.state.members) == set(self.read)


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = hypothesis.settings(stateful_step_count=40, derandomize=True)


def test_remove_row_of_deleted_vm():
    """Guards against a majority out of reach because members that no longer exist still count."""
    state = membership.create_state("a", "dc")
    rows = {"a": ({}, 1), "b": ({}, 4)}
    state, _ = membership.decide(state, membership.RowsRead(rows), 0.0)
    state, _ = membership.decide(state, membership.VmsRead(frozenset("a")), 1.0)
    _, actions = membership.decide(state, membership.RowsRead(rows), 61.0)
    assert actions == [membership.RemoveRow("b", 4)]


def test_own_row_is_not_written_while_draining():
    """Guards against a row that is written again after the drain has removed it."""
    state = membership.create_state("a", "dc")
    _, actions = membership.decide(state, membership.Tick(), 0.0)
    assert membership.WriteRow() in actions
    state = membership.MembershipState("a", "dc", draining=True)
    _, actions = membership.decide(state, membership.Tick(), 0.0)
    assert membership.WriteRow() not in actions


def test_row_written_after_its_removal_was_decided():
    """Guards against removing a member's row that was rewritten after it had been read.

    The member writes its row again between the decision and the check of the machine above, which
    compares the version of the removal with the later row. Found with the rules of the machine.
    """
    machine = MembershipMachine()
    machine.write_row(vm_id="b")
    machine.read_rows()
    machine.pass_time(seconds_s=70.0)
    machine.read_vms(listed=frozenset())
    machine.read_rows()
    machine.write_row(vm_id="b")
    machine.only_expired_rows_are_removed()
