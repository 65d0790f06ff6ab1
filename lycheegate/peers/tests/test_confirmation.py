"""Tests of the confirmation of releases."""

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import stateful

from lycheegate.peers import confirmation, messages

ConfirmationStatus = confirmation.ConfirmationStatus
VMS = ("a", "b", "c")
IN_FORCE_S = 4.0


def _make_heartbeat(vm_id, release, ok_age_s, echo_s, prepared=0, settled=True):
    return messages.Heartbeat(
        vm_id, "boot", "dc", release, prepared, ok_age_s, settled, {}, False, 0.0, echo_s
    )


def _state(**fields):
    base = {
        "vm_id": "a",
        "started_s": -100.0,
        "release": 5,
        "is_release_known": True,
        "table_ok_at_s": -10.0,
        "members": frozenset(VMS),
    }
    return confirmation.ConfirmationState(**{**base, **fields})


@pytest.mark.parametrize(
    ("state", "heartbeats", "expected"),
    [
        (_state(confirmed_at_s=8.0), [], ConfirmationStatus.CONFIRMED),
        (_state(confirmed_at_s=6.9), [], ConfirmationStatus.UNCONFIRMED),
        (_state(is_release_known=False, confirmed_at_s=10.0), [], ConfirmationStatus.UNCONFIRMED),
        (_state(), [_make_heartbeat("b", 5, 1.0, 9.0)], ConfirmationStatus.CONFIRMED),
        # A delayed heartbeat is dated by its echo, not by its arrival.
        (_state(), [_make_heartbeat("b", 5, 0.0, 6.5)], ConfirmationStatus.UNCONFIRMED),
        (_state(), [_make_heartbeat("b", 5, 0.0, None)], ConfirmationStatus.UNCONFIRMED),
        (_state(), [_make_heartbeat("b", 5, 60.0, 9.5)], ConfirmationStatus.STORE_UNREACHABLE),
        (_state(), [_make_heartbeat("b", 5, 60.0, 6.5)], ConfirmationStatus.UNCONFIRMED),
        (
            _state(),
            [_make_heartbeat("b", 5, 60.0, 9.5, prepared=6)],
            ConfirmationStatus.UNCONFIRMED,
        ),
        (
            _state(),
            [_make_heartbeat("b", 5, 60.0, 9.5, settled=False)],
            ConfirmationStatus.UNCONFIRMED,
        ),
        (_state(prepared=6), [_make_heartbeat("b", 5, 60.0, 9.5)], ConfirmationStatus.UNCONFIRMED),
        (_state(), [_make_heartbeat("b", 6, 60.0, 9.5)], ConfirmationStatus.UNCONFIRMED),
        (
            _state(members=frozenset("abcd")),
            [_make_heartbeat("b", 5, 60.0, 9.5)],
            ConfirmationStatus.UNCONFIRMED,
        ),
        (
            _state(started_s=-15.0),
            [_make_heartbeat("b", 5, 60.0, 9.5)],
            ConfirmationStatus.UNCONFIRMED,
        ),
    ],
)
def test_compute_status(state, heartbeats, expected):
    """Guards against accepting requests under a release that may have been replaced."""
    for heartbeat in heartbeats:
        state = confirmation.apply_heartbeat(state, heartbeat)
    assert confirmation.compute_status(state, 10.0) is expected


def test_older_release_is_not_put_into_force():
    """Guards against a late message that puts an older release back into force."""
    state = confirmation.apply_release(_state(), 4)
    assert state.release == 5


class ConfirmationMachine(stateful.RuleBasedStateMachine):
    """Three members under network partitions, store outages, restarts and delayed heartbeats."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.head = 0
        self.head_at_s = 0.0
        self.reachable = dict.fromkeys(VMS, True)
        self.states = {}
        for vm_id in VMS:
            self._boot(vm_id, 0.0)
            state = confirmation.apply_table_read(self.states[vm_id], 0, self.now_s)
            self.states[vm_id] = state
        self.echoes = {}
        self.in_flight = []

    def _boot(self, vm_id, started_s):
        state = confirmation.ConfirmationState(vm_id, started_s)
        self.states[vm_id] = confirmation.apply_known_members(state, VMS)

    @stateful.rule(duration_s=st.sampled_from([0.3, 1.0, 2.9, 12.0]))
    def pass_time(self, duration_s):
        """Advances the clock without reads or heartbeats."""
        self.now_s += duration_s

    @stateful.rule(vm_id=st.sampled_from(VMS), is_up=st.booleans())
    def set_store(self, vm_id, is_up):
        """Connects a member to the store or disconnects it."""
        self.reachable[vm_id] = is_up

    @stateful.rule(vm_id=st.sampled_from(VMS))
    def read_table(self, vm_id):
        """A member that reaches the store reads the head."""
        if self.reachable[vm_id]:
            state = confirmation.apply_release(self.states[vm_id], self.head)
            self.states[vm_id] = confirmation.apply_table_read(state, self.head, self.now_s)

    @stateful.rule(sender=st.sampled_from(VMS), receiver=st.sampled_from(VMS))
    def send(self, sender, receiver):
        """Sends a heartbeat; it may arrive at any later time."""
        if sender == receiver:
            return
        state = self.states[sender]
        ok_at_s = state.table_ok_at_s
        heartbeat = _make_heartbeat(
            sender,
            state.release,
            None if ok_at_s is None else self.now_s - ok_at_s,
            self.echoes.get((sender, receiver)),
            state.prepared,
            confirmation.is_settled(state),
        )
        self.in_flight.append((receiver, msgspec.structs.replace(heartbeat, sent_s=self.now_s)))

    @stateful.rule(index=st.integers(0, 5))
    def deliver(self, index):
        """Delivers one of the heartbeats in flight."""
        if index < len(self.in_flight):
            receiver, heartbeat = self.in_flight.pop(index)
            state = confirmation.apply_heartbeat(self.states[receiver], heartbeat)
            self.states[receiver] = state
            self.echoes[receiver, heartbeat.vm_id] = heartbeat.sent_s

    @stateful.rule(acceptor=st.sampled_from(VMS), others=st.sets(st.sampled_from(VMS)))
    def accept(self, acceptor, others):
        """An operator proposes a release, which is accepted if a majority acknowledges it."""
        number = self.head + 1
        acknowledged = 0
        for vm_id in others | {acceptor}:
            state, accepted = confirmation.prepare(self.states[vm_id], number, self.now_s)
            self.states[vm_id] = state
            acknowledged += accepted
        if 2 * acknowledged > len(VMS) and self.reachable[acceptor]:
            self.head, self.head_at_s = number, self.now_s

    @stateful.rule(vm_id=st.sampled_from(VMS), source=st.sampled_from(VMS))
    def restart(self, vm_id, source):
        """A member restarts without state and receives the release in force on a member."""
        release = self.states[source].release
        self._boot(vm_id, self.now_s)
        self.states[vm_id] = confirmation.apply_release(self.states[vm_id], release)
        self.echoes = {key: at_s for key, at_s in self.echoes.items() if vm_id not in key}
        self.in_flight = [
            (receiver, heartbeat) for receiver, heartbeat in self.in_flight if receiver != vm_id
        ]

    @stateful.rule(disconnected=st.sets(st.sampled_from(VMS), min_size=2))
    def lose_store(self, disconnected):
        """Some members lose the store and exchange heartbeats only with each other, for 5 s."""
        for vm_id in disconnected:
            self.reachable[vm_id] = False
        for _ in range(10):
            self.now_s += 0.5
            for sender in sorted(disconnected):
                for receiver in sorted(disconnected):
                    self.send(sender, receiver)
                    while self.in_flight:
                        self.deliver(0)

    @stateful.invariant()
    def accepted_release_is_in_force(self):
        """From 4 s after its acceptance, no member accepts requests under an older release."""
        if self.now_s < self.head_at_s + IN_FORCE_S:
            return
        for state in self.states.values():
            if state.release < self.head:
                assert (
                    confirmation.compute_status(state, self.now_s) is ConfirmationStatus.UNCONFIRMED
                )


TestConfirmationMachine = ConfirmationMachine.TestCase
TestConfirmationMachine.settings = hypothesis.settings(
    stateful_step_count=50, max_examples=150, derandomize=True
)


@pytest.mark.parametrize(
    ("withdrawals", "prepared"),
    [
        ([(5, "b")], 5),
        ([(5, "a")], 5),
        ([(5, "a"), (5, "b")], 0),
        ([(5, "b"), (5, "b")], 5),
        ([(4, "a"), (4, "b")], 5),
    ],
)
def test_withdraw_proposals(withdrawals, prepared):
    """Guards against a withdrawal that also cancels the other proposal of the same number.

    Two operators may propose the same number; one proposal is withdrawn, the other accepted.
    """
    state = confirmation.ConfirmationState("vm", 0.0, release=4, is_release_known=True)
    for proposal in ("a", "b"):
        state, accepted = confirmation.prepare(state, 5, 1.0, proposal)
        assert accepted
    for number, proposal in withdrawals:
        state = confirmation.withdraw(state, number, proposal)
    assert state.prepared == prepared
