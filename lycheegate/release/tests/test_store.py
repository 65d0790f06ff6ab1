"""Tests of acceptance: races, lost answers, restarts."""

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


class _LateTable:
    """Table that may take a transaction only later, when its sender no longer waits."""

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


def test_accepted_release_is_read_back_whole():
    """Guards against a release that loses part of itself in the table."""
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


def test_loser_of_a_race_is_told_what_changed_in_between():
    """Guards against a note that overwrites another, and a refusal without its reason."""
    table = memory.MemoryTable()
    lost = _make_plan(releases.Release(), "lost")
    first = _accept(table, _make_plan(releases.Release(), "first")).unwrap().release
    _accept(table, _make_plan(first, "second")).unwrap()
    outdated = _accept(table, lost).failure()
    assert (outdated.base, outdated.newest) == (0, 2)
    assert [s.changes[0].name for s in outdated.between] == ["first", "second"]
    assert "lost" not in store.read_newest(table).unwrap().client_accounts


def test_race_between_read_and_write_has_one_winner():
    """Guards against two operators who both read the same head and both succeed."""
    table = memory.MemoryTable()
    other = _make_plan(releases.Release(), "other")

    class Racing:
        read, scan = table.read, table.scan

        def transact(self, operations, timeout_s=2.0):
            _accept(table, other)
            return table.transact(operations, timeout_s)

    outdated = _accept(Racing(), _make_plan(releases.Release(), "mine")).failure()
    assert [s.changes[0].name for s in outdated.between] == ["other"]


def test_reapplying_is_harmless():
    """Guards against a second release from an operator who repeats a command."""
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
def test_lost_answer_is_settled(switches):
    """Guards against a release that is in force while its operator is told otherwise."""
    table = memory.MemoryTable()
    table.faults.set(**switches)
    plan = _make_plan(releases.Release(), "a")
    assert _accept(table, plan) == result.Success(store.Accepted(plan.release))
    assert store.read_head(table).unwrap().number == 1


@pytest.mark.parametrize("follow", [False, True])
def test_write_that_arrives_late_is_settled(follow):
    """Guards against a lost race being reported for one's own late write."""
    table = _LateTable()
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
    """Guards against a write that takes effect after members gave up on the release."""
    table = memory.MemoryTable()
    sent_s = []
    now = clock.FakeClock()

    class Slow:
        read, scan = table.read, table.scan

        def transact(self, operations, timeout_s=2.0):
            sent_s.append(now.monotonic_s())
            now.advance(timeout_s)
            return result.Failure(exceptions.OutcomeUnknownError("time-out"))

    plan = _make_plan(releases.Release(), "a")
    outcome = store.accept(
        Slow(), plan, None, lambda _: None, deadline_s=deadline_s, monotonic_s=now.monotonic_s
    )
    assert isinstance(outcome.failure(), error)
    assert len(sent_s) == writes
    assert all(at_s < deadline_s for at_s in sent_s)


def test_unsettled_is_told_apart_from_refused():
    """Guards against 'nothing was written' after a write that may have taken effect."""
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


def test_old_documents_are_dropped_and_summaries_kept(monkeypatch):
    """Guards against a table that grows by every caller with each release."""
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


def test_damaged_rows_are_reported():
    """Guards against a daemon that fails on a row that another version wrote."""
    with pytest.raises(exceptions.ProtocolError):
        encoding.decode_release({"number": "1"})
    table = memory.MemoryTable()
    _accept(table, _make_plan(releases.Release(), "a")).unwrap()
    kind = table_module.OperationKind.PUT
    table.apply([table_module.Operation(kind, "release", "head", {"number": "x"})])
    assert isinstance(store.read_newest(table).failure(), exceptions.ProtocolError)


def test_current_release_adopts_only_higher_numbers_and_authenticates_by_them():
    """Guards against a release that reverts, and against tokens of an earlier release."""
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
    """Two operators at two entry VMs, with faults of the table between them."""

    def __init__(self):
        super().__init__()
        self.table = _LateTable()
        self.current_releases = [current.CurrentRelease(), current.CurrentRelease()]
        self.drafts: list[plans.Plan | None] = [None, None]
        self.count = 0
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.seen: dict[int, str] = {}
        self.highest = 0

    @stateful.rule(who=strategies.integers(0, 1))
    def poll(self, who):
        """An entry VM polls the head."""
        outcome = store.read_if_newer(self.table, self.current_releases[who].get().number)
        if isinstance(outcome, result.Success) and outcome.unwrap() is not None:
            assert self.current_releases[who].adopt(outcome.unwrap())

    @stateful.rule(who=strategies.integers(0, 1))
    def restart(self, who):
        """An entry VM is replaced and knows nothing."""
        self.current_releases[who] = current.CurrentRelease()

    @stateful.rule(who=strategies.integers(0, 1))
    def draft(self, who):
        """An operator writes a note against the release in force at the entry VM."""
        self.count += 1
        self.drafts[who] = _make_plan(self.current_releases[who].get(), f"account-{self.count}")

    @stateful.rule(
        who=strategies.integers(0, 1),
        lose_answers=strategies.integers(0, 2),
        lose_requests=strategies.integers(0, 2),
        delayed=strategies.integers(0, 2),
        late=strategies.booleans(),
    )
    def apply(self, who, lose_answers, lose_requests, delayed, late):
        """An operator applies the note, perhaps again."""
        plan = self.drafts[who]
        if plan is None:
            return
        self.count += 1
        write_id = f"write-{self.count}"
        self.table.table.faults.set(lose_answers=lose_answers, lose_requests=lose_requests)
        self.table.delay_next = delayed
        deliver = (lambda _: self.table.deliver()) if late else (lambda _: None)
        outcome = _accept(self.table, plan, write_id, deliver)
        self.table.delay_next = 0
        self.table.table.faults.set(lose_answers=0, lose_requests=0)
        match outcome:
            case result.Success(accepted):
                self.accepted[plan.digest] = plan.release.number
                assert accepted.release.client_accounts == plan.release.client_accounts
                self.current_releases[who].adopt(accepted.release)
            case result.Failure(store.Outdated() | exceptions.UnavailableError()):
                self.refused.add(write_id)

    @stateful.rule()
    def deliver(self):
        """Delayed writes arrive."""
        self.table.deliver()

    @stateful.rule(down=strategies.booleans())
    def switch_table(self, down):
        """The table goes down or comes back."""
        self.table.table.faults.set(down=down)

    @stateful.invariant()
    def releases_never_revert(self):
        """Checks the table and each entry VM against all that was seen before."""
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
