"""Tests of the acceptance of releases: races, lost responses and restarts."""

import dataclasses
import datetime

import pytest
from hypothesis import stateful, strategies
from returns import result

from lycheegate.clients import table as table_module
from lycheegate.keys import tokens
from lycheegate.model import releases, resources
from lycheegate.release import current, encoding, plans, store
from lycheegate.utils import clock, exceptions
from standins import memory


def _make_plan(base: releases.Release, name: str) -> plans.Plan:
    """Returns a plan that adds one client account."""
    number = base.number + 1
    accounts = {**base.client_accounts, name: releases.ClientAccount(name, since_release=number)}
    release = dataclasses.replace(base, number=number, client_accounts=accounts, operator="kim")
    change = plans.Change(kind="added", subject="client account", name=name)
    return plans.Plan(release, (change,), (), f"digest of {name}")


class _DelayedTable:
    """Table that can delay transactions until after the sender's time-out."""

    def __init__(self):
        self.table = memory.MemoryTable(sleep=lambda _: None)
        self.delay_next = 0
        self.pending = []
        self.read, self.scan = self.table.read, self.table.scan

    def transact(self, operations, timeout_s=2.0):
        if self.delay_next:
            self.delay_next -= 1
            self.pending.append(operations)
            return result.Failure(exceptions.OutcomeUnknownError("time-out"))
        return self.table.transact(operations, timeout_s)

    def deliver(self):
        for operations in self.pending:
            self.table.apply(operations)
        self.pending.clear()


def _accept(table, plan, write_id=None, sleep=lambda _: None):
    return store.accept(table, plan, write_id, sleep)


def test_accepted_release_is_read_back_unchanged():
    """Guards against fields of a release that are lost in the table."""
    table = memory.MemoryTable()
    base = releases.Release(
        0,
        {"a": releases.ClientAccount("a", 8, 2.5, 1)},
        {("a", "g"): releases.Guarantee("a", "g", resources.Shape(2, 4), 3, "suwon", 1)},
        {"c": releases.Caller("c", "a", "desk", "hash", ("x", "y"), "2027-01-01", 1)},
        "text",
    )
    plan = _make_plan(base, "b")
    assert _accept(table, plan) == result.Success(store.Accepted(plan.release))
    assert store.read_newest(table) == result.Success(plan.release)
    assert store.read_if_newer(table, 0) == result.Success(plan.release)
    assert store.read_if_newer(table, 1) == result.Success(None)
    assert store.read_release(table, 1) == result.Success(plan.release)
    (summary,) = store.read_history(table).unwrap()
    assert (summary.number, summary.operator, summary.changes) == (1, "kim", plan.changes)


def test_outdated_note_reports_intermediate_releases():
    """Guards against a note that overwrites another, and a rejection that omits the conflict."""
    table = memory.MemoryTable()
    lost = _make_plan(releases.Release(), "lost")
    first = _accept(table, _make_plan(releases.Release(), "first")).unwrap().release
    _accept(table, _make_plan(first, "second")).unwrap()
    outdated = _accept(table, lost).failure()
    assert (outdated.base, outdated.newest) == (0, 2)
    assert [s.changes[0].name for s in outdated.between] == ["first", "second"]
    assert "lost" not in store.read_newest(table).unwrap().client_accounts


def test_race_between_read_and_write_has_one_winner():
    """Guards against two notes that are both accepted after their senders read the same head."""
    table = memory.MemoryTable()
    other = _make_plan(releases.Release(), "other")

    class Racing:
        read, scan = table.read, table.scan

        def transact(self, operations, timeout_s=2.0):
            _accept(table, other)
            return table.transact(operations, timeout_s)

    outdated = _accept(Racing(), _make_plan(releases.Release(), "mine")).failure()
    assert [s.changes[0].name for s in outdated.between] == ["other"]


def test_applying_again_writes_nothing():
    """Guards against a second release when an operator repeats a command."""
    table = memory.MemoryTable()
    plan = _make_plan(releases.Release(), "a")
    _accept(table, plan).unwrap()
    writes = table.write_count
    assert _accept(table, plan) == result.Success(store.Accepted(plan.release, already=True))
    assert table.write_count == writes
    _accept(table, _make_plan(plan.release, "b")).unwrap()
    assert isinstance(_accept(table, plan).failure(), store.Outdated)


@pytest.mark.parametrize(
    "switches", [{"lose_answers": 1}, {"lose_answers": 99}, {"lose_requests": 2}]
)
def test_lost_response_is_resolved(switches):
    """Guards against reporting a failure for a release that was accepted."""
    table = memory.MemoryTable()
    table.faults.set(**switches)
    plan = _make_plan(releases.Release(), "a")
    assert _accept(table, plan) == result.Success(store.Accepted(plan.release))
    assert store.read_head(table).unwrap().number == 1


@pytest.mark.parametrize("follow", [False, True])
def test_delayed_write_is_resolved(follow):
    """Guards against reporting a lost race when the caller's own delayed write took effect."""
    table = _DelayedTable()
    plan = _make_plan(releases.Release(), "a")
    table.delay_next = 1

    def deliver(_):
        table.deliver()
        if follow:
            _accept(table.table, _make_plan(plan.release, "b"))

    assert _accept(table, plan, sleep=deliver) == result.Success(store.Accepted(plan.release))
    assert store.read_head(table).unwrap().number == 1 + follow


@pytest.mark.parametrize(
    ("deadline_s", "writes", "error"),
    [(0.0, 0, exceptions.UnavailableError), (5.0, 3, store.Unsettled)],
)
def test_no_write_is_sent_after_the_deadline(deadline_s, writes, error):
    """Guards against a write that takes effect after members considered the release rejected."""
    table = memory.MemoryTable()
    sent_s = []
    fake_clock = clock.FakeClock()

    class Slow:
        read, scan = table.read, table.scan

        def transact(self, operations, timeout_s=2.0):
            sent_s.append(fake_clock.monotonic_s())
            fake_clock.advance(timeout_s)
            return result.Failure(exceptions.OutcomeUnknownError("time-out"))

    plan = _make_plan(releases.Release(), "a")
    outcome = store.accept(
        Slow(),
        plan,
        None,
        lambda _: None,
        deadline_s=deadline_s,
        monotonic_s=fake_clock.monotonic_s,
    )
    assert isinstance(outcome.failure(), error)
    assert len(sent_s) == writes
    assert all(at_s < deadline_s for at_s in sent_s)


def test_unknown_outcome_differs_from_rejection():
    """Guards against reporting that nothing was written when the write may have taken effect."""
    table = memory.MemoryTable()
    plan = _make_plan(releases.Release(), "a")
    table.faults.set(down=True)
    assert isinstance(_accept(table, plan).failure(), exceptions.UnavailableError)
    table.faults.set(down=False)

    class Failing:
        read, scan = table.read, table.scan

        def transact(self, operations, timeout_s=2.0):
            if table.faults.get().down:
                return result.Failure(exceptions.UnavailableError("refused"))
            table.apply(operations)
            table.faults.set(down=True)
            return result.Failure(exceptions.OutcomeUnknownError("answer lost"))

    assert _accept(Failing(), plan) == result.Failure(store.Unsettled(1))
    table.faults.set(down=False)
    assert _accept(table, plan) == result.Success(store.Accepted(plan.release, already=True))


def test_old_documents_are_deleted_and_summaries_kept(monkeypatch):
    """Guards against a table that grows by a full list of callers with each release."""
    monkeypatch.setattr(store, "RETAINED_DOCUMENTS", 2)
    table = memory.MemoryTable()
    for name in "abcd":
        _accept(table, _make_plan(store.read_newest(table).unwrap(), name)).unwrap()
    assert [row.key for row in table.list_rows("release", "document/")] == [
        "document/0000000003",
        "document/0000000004",
    ]
    assert store.read_release(table, 1) == result.Success(None)
    assert [s.number for s in store.read_history(table, 3).unwrap()] == [4, 3, 2]


def test_invalid_rows_are_protocol_errors():
    """Guards against an uncaught exception on a row written by another version."""
    with pytest.raises(exceptions.ProtocolError):
        encoding.decode_release({"number": "1"})
    table = memory.MemoryTable()
    _accept(table, _make_plan(releases.Release(), "a")).unwrap()
    kind = table_module.OperationKind.PUT
    table.apply([table_module.Operation(kind, "release", "head", {"number": "x"})])
    assert isinstance(store.read_newest(table).failure(), exceptions.ProtocolError)


def test_current_release_adopts_only_higher_numbers_and_their_tokens():
    """Guards against reverting to an earlier release and against accepting its tokens."""
    token = tokens.make_token()
    caller = releases.Caller("c", "a", "desk", tokens.hash_token(token))
    current_release, today = current.CurrentRelease(), datetime.date(2026, 6, 30)
    assert current_release.adopt(releases.Release(2, callers={"c": caller}))
    assert not current_release.adopt(releases.Release(2))
    assert not current_release.adopt(releases.Release(1))
    assert current_release.authenticate(f"Bearer {token}", today) == result.Success(caller)
    assert current_release.adopt(releases.Release(3))
    assert current_release.authenticate(f"Bearer {token}", today) == (
        result.Failure(tokens.TokenProblem.WRONG)
    )


class ReleaseMachine(stateful.RuleBasedStateMachine):
    """Two operators at two entry VMs that share a table with faults."""

    def __init__(self):
        super().__init__()
        self.table = _DelayedTable()
        self.current_releases = [current.CurrentRelease(), current.CurrentRelease()]
        self.plans_by_vm: list[plans.Plan | None] = [None, None]
        self.count = 0
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.seen: dict[int, str] = {}
        self.highest = 0

    @stateful.rule(vm=strategies.integers(0, 1))
    def poll(self, vm):
        """An entry VM polls the head and adopts a newer release."""
        outcome = store.read_if_newer(self.table, self.current_releases[vm].get().number)
        if isinstance(outcome, result.Success) and outcome.unwrap() is not None:
            assert self.current_releases[vm].adopt(outcome.unwrap())

    @stateful.rule(vm=strategies.integers(0, 1))
    def restart(self, vm):
        """An entry VM is replaced by one without state."""
        self.current_releases[vm] = current.CurrentRelease()

    @stateful.rule(vm=strategies.integers(0, 1))
    def make_plan(self, vm):
        """An operator plans a note against the release in force at the entry VM."""
        self.count += 1
        self.plans_by_vm[vm] = _make_plan(self.current_releases[vm].get(), f"account-{self.count}")

    @stateful.rule(
        vm=strategies.integers(0, 1),
        lose_answers=strategies.integers(0, 2),
        lose_requests=strategies.integers(0, 2),
        delayed=strategies.integers(0, 2),
        deliver_late=strategies.booleans(),
    )
    def apply(self, vm, lose_answers, lose_requests, delayed, deliver_late):
        """An operator applies the plan, possibly for a second time."""
        plan = self.plans_by_vm[vm]
        if plan is None:
            return
        self.count += 1
        write_id = f"write-{self.count}"
        self.table.table.faults.set(lose_answers=lose_answers, lose_requests=lose_requests)
        self.table.delay_next = delayed
        deliver = (lambda _: self.table.deliver()) if deliver_late else (lambda _: None)
        outcome = _accept(self.table, plan, write_id, deliver)
        self.table.delay_next = 0
        self.table.table.faults.set(lose_answers=0, lose_requests=0)
        match outcome:
            case result.Success(accepted):
                self.accepted[plan.digest] = plan.release.number
                assert accepted.release.client_accounts == plan.release.client_accounts
                self.current_releases[vm].adopt(accepted.release)
            case result.Failure(store.Outdated() | exceptions.UnavailableError()):
                self.refused.add(write_id)

    @stateful.rule()
    def deliver(self):
        """Delayed writes reach the table."""
        self.table.deliver()

    @stateful.rule(down=strategies.booleans())
    def switch_table(self, down):
        """The table becomes unavailable or available again."""
        self.table.table.faults.set(down=down)

    @stateful.invariant()
    def releases_never_revert(self):
        """Checks the table and each entry VM against the outcomes reported so far."""
        rows = {row.key: row for row in self.table.table.list_rows("release")}
        number = rows["head"].value["number"] if "head" in rows else 0
        assert number >= self.highest
        self.highest = number
        summaries = [rows[f"summary/{n:010d}"].value for n in range(1, number + 1)]
        for summary in summaries:
            known = self.seen.setdefault(summary["number"], summary["write_id"])
            assert known == summary["write_id"]
        written = [summary["write_id"] for summary in summaries]
        assert len(written) == len(set(written))
        assert not self.refused & set(written)
        for digest, release in self.accepted.items():
            assert summaries[release - 1]["digest"] == digest
        for current_release in self.current_releases:
            assert current_release.get().number <= number


TestReleaseMachine = ReleaseMachine.TestCase
