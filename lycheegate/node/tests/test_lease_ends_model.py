"""Exhaustive search for an end of leases that the store tells and that a lease outlasts.

Events of the store, of workers and of holders are interleaved in all orders up to a depth, from
some situations that take more events to reach. The functions that decide are the real ones; the
order of calls in ``daemon``, ``term_writer`` and ``exchange`` is repeated here. Any holder may act
at any time after the next claim, so one that is lost or suspended needs no events of its own.

After each event, a VM that has not acted yet could claim the term. No lease that is valid then, or
granted later by a holder that does not know of the claim, may outlast what that VM would read.

The search in CI ends after some seconds. A deeper one is run by hand with a depth and a number of
holders: ``python -m lycheegate.node.tests.test_lease_ends_model 5 3``.
"""

import collections
import dataclasses
import functools
import sys
import time
from collections.abc import Iterator

import pytest
from returns import result

from lycheegate.jobs import leases, lifecycle, model, state, workers
from lycheegate.metrics import jsonlog
from lycheegate.node import storage, tables, term_rows, terms
from lycheegate.node.tests import fake_store, simulation

START_S = 100.0
STEP_S = 1.3
"""Time that an event ``pass`` takes; two make a worker silent, and seven end the handover time."""
CLOCK_RATIO = 0.98
"""Rate of the workers' clocks, the slowest that is allowed."""
ROUNDING_S = 0.003
"""Deadlines and times of the store are whole milliseconds."""
POLICY = state.Policy()
JOB_ID = "0" * 16
WORKER_IDS = ("w0", "w1")
CI_DEPTHS = {
    "released": 3,
    "release_unanswered": 3,
    "back_and_claimed": 3,
    "released_and_claimed": 3,
}
"""Depths of the search in CI, with 2 for other scenes; all take about 10 s together."""
Event = tuple[str, ...]


class Violation(Exception):
    """A lease outlasts the end that a VM would read."""


@dataclasses.dataclass(slots=True)
class ModelWorker:
    """A worker, which runs a task until its lease expires.

    Attributes:
        deadline_ms: Deadline of its lease on its own clock.
        has_run: Whether it runs its task.
        epoch: Highest epoch that it has seen.
        is_registered: Whether the registry lists it.
        is_draining: Whether its registration announces that it leaves.
    """

    deadline_ms: int
    has_run: bool = True
    epoch: int = 0
    is_registered: bool = True
    is_draining: bool = False


class ModelHolder:
    """A VM that has claimed a term, and what its daemon keeps for that term."""

    def __init__(self, world: "ModelWorld", claim: "Claim", version: int):
        self.world = world
        self.claim = claim
        self.current = state.SchedulerState(claim.holder.epoch, POLICY, world.now_s)
        self.current.configuration = world.configuration
        self.current.inherited_leases = claim.inherited
        self.rows = term_rows.TermRows(
            self.current,
            lambda: world.now_s,
            lambda: world.now_s,
            world.estimate_clock_ms if claim.knows_clock else lambda: 0,
            world.compute_latest_ms if claim.knows_clock else lambda at_s: 0,
            jsonlog.JsonLog("vm", lambda: world.now_s, lambda data: len(data)),
            claim.lease_row,
        )
        self.holder_version = self.heartbeat_version = version
        self.renewed_at_s = claim.sent_at_s
        self.is_loaded = self.are_workers_known = self.may_be_released = self.has_ended = False
        self.failed_polls: set[str] = set()

    def load(self) -> None:
        """Loads the jobs, as ``Scheduler._apply_loaded_jobs`` does."""
        self.current.began_at_s = self.world.now_s
        job = simulation.make_job(JOB_ID, simulation.make_step(len(self.world.workers)))
        loaded = state.JobState(job, self.world.route)
        lifecycle.add_job(self.current, loaded, self.world.now_s, self.world.now_s)
        (step,) = loaded.steps.values()
        for index, worker_id in enumerate(self.world.workers):
            task = model.TaskKey(JOB_ID, 0, 0, index)
            run = state.Run(
                task, worker_id, 1, simulation.SMALL, state.RunPhase.RUNNING, self.world.now_s
            )
            run.awaits_first_report = run.was_recovered = True
            step.runs[index] = run
        self.is_loaded = True

    def read_registry(self) -> None:
        """Applies the registrations of all workers."""
        registrations = [
            workers.Registration(
                worker_id,
                "render",
                f"{worker_id}.test:80",
                "z",
                "r0",
                frozenset(),
                simulation.WHOLE,
                worker.is_draining,
                1_000,
                1.0 if worker.is_draining else None,
            )
            for worker_id, worker in self.world.workers.items()
            if worker.is_registered
        ]
        workers.apply_registrations(self.current, registrations, self.world.now_s)
        self.are_workers_known = True

    def write(self, release: bool, fate: str) -> None:
        """Writes a heartbeat; its fate is ``stored``, ``lost`` (stored, no answer) or ``late``."""
        self.may_be_released |= release
        writes = self.rows.make_writes(self.may_be_released, self.is_loaded, self.are_workers_known)
        transaction = storage.Transaction(
            (
                storage.Condition(tables.HOLDER, self.holder_version),
                storage.Condition(tables.HEARTBEAT, self.heartbeat_version),
            ),
            tuple(writes),
        )
        if fate == "late":
            self.world.late_writes.append(transaction)
            self.rows.handle_failure()
            return
        outcome = self.world.apply(transaction)
        if fate == "lost":
            self.rows.handle_failure()
        elif isinstance(outcome, result.Success):
            self.heartbeat_version = outcome.unwrap()
            self.renewed_at_s = self.world.now_s
            self.rows.handle_stored()
            self.has_ended = self.may_be_released
        else:
            versions = {row.key: row.version for row in outcome.failure().rows}
            self.rows.handle_failure()
            self.heartbeat_version = versions[tables.HEARTBEAT]
            self.has_ended = versions[tables.HOLDER] != self.holder_version

    def poll(self, worker_id: str, is_answered: bool) -> None:
        """Requests a report, and renews the lease as ``WorkerExchange._send_poll`` does."""
        world, now_s = self.world, self.world.now_s
        if now_s - self.renewed_at_s > POLICY.handover_s:
            return
        known, worker = self.current.workers[worker_id], world.workers[worker_id]
        deadline_ms = None
        is_gone = not known.registered and worker_id in self.failed_polls
        if now_s - known.reported_at_s < leases.MAX_REPORT_AGE_S and not is_gone:
            deadline_ms = leases.compute_deadline_ms(self.current, known, now_s)
        if deadline_ms is not None:
            leases.record_deadline(self.current, known, deadline_ms, now_s)
        if self.current.epoch < worker.epoch:
            self.has_ended = True
            return
        worker.epoch = self.current.epoch
        if deadline_ms is not None:
            longest_ms = world.read_worker_clock_ms() + int(1000.0 * POLICY.max_lease_s)
            worker.deadline_ms = max(worker.deadline_ms, min(deadline_ms, longest_ms))
            world.check_lease(worker_id)
        if not is_answered:
            self.failed_polls.add(worker_id)
            return
        self.failed_polls.discard(worker_id)
        listed = tuple(
            workers.ListedRun(run.task, "", run.number, "", 1)
            for run in known.runs.values()
            if worker.has_run
        )
        clock_ms = world.read_worker_clock_ms()
        workers.apply_report(
            self.current, workers.Report(worker_id, clock_ms, 1_000, listed, (), now_s, now_s)
        )

    def describe(self) -> tuple:
        """Returns what its later acts depend on."""
        current = self.current
        return (
            self.has_ended,
            self.is_loaded and self.are_workers_known,
            self.may_be_released,
            self.holder_version == self.world.get_version(tables.HOLDER),
            self.heartbeat_version == self.world.get_version(tables.HEARTBEAT),
            round(self.renewed_at_s, 3),
            round(current.began_at_s, 3),
            self.claim.knows_clock,
            sorted(self.failed_polls),
            sorted(current.withheld_leases),
            current.withholds_all_leases,
            sorted(current.lease_limits.items()),
            self.rows._may_list_workers,
            self.claim.lease_row is not None,
            current.inherited_leases.others_s,
            sorted(current.inherited_leases.workers.items()),
            [
                (
                    known.worker_id,
                    known.registered,
                    known.draining,
                    known.leaves_at_s,
                    known.incarnation.confirmed,
                    known.incarnation.clock_at_s if known.incarnation.clock_ms else None,
                    known.incarnation.max_deadline_ms,
                    round(known.reported_at_s, 3),
                    round(known.leases_expire_at_s, 3),
                    bool(known.runs),
                )
                for known in current.workers.values()
            ],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of the term, as ``Daemon._claim_if_free`` makes it.

    Attributes:
        holder: Holder of the next term.
        transaction: The claim.
        inherited: Ends of leases that the VM relies on.
        lease_row: Row that tells them, or None.
        sent_at_s: When the claim was sent.
        knows_clock: Whether the VM knows the store's clock.
    """

    holder: tables.Holder
    transaction: storage.Transaction
    inherited: state.InheritedLeases
    lease_row: tables.LeaseEnds | None
    sent_at_s: float
    knows_clock: bool


class ModelWorld:
    """The store, workers, and the VMs that have claimed a term."""

    def __init__(self, worker_count: int, max_holders: int):
        self.now_s = START_S
        self.max_holders = max_holders
        self.route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
        self.configuration = simulation.make_configuration(self.route)
        self.store = fake_store.FakeStore(fake_store.EventLoop(), fake_store.Faults(), None)
        # A holder before the first one of the model has started the tasks.
        deadline_ms = self.read_worker_clock_ms() + int(1000.0 * POLICY.max_lease_s)
        self.workers = {w: ModelWorker(deadline_ms) for w in WORKER_IDS[:worker_count]}
        self.holders: list[ModelHolder] = []
        self.late_writes: list[storage.Transaction] = []
        self.sent_claim: Claim | None = None
        self.earlier_lease_rows: tuple[storage.Row, ...] = ()
        """Row of the ends of leases as it was before the last write."""
        self.told_ends_s: dict[str, float] = {}
        """Earliest end of leases that a VM may rely on that has claimed since the last write."""
        self._checked = (0, 0.0)
        """Version of the store and time at which the ends that VMs may rely on were last read."""
        self.do(("claim",))

    def estimate_clock_ms(self) -> int:
        """Returns a holder's estimate of the store's clock, which is up to 0.2 s too early.

        It rarely advances, so that heartbeats often have equal times.
        """
        return int(self.now_s / 0.2) * 200

    def compute_latest_ms(self, at_s: float) -> int:
        """Returns the latest time that the store's clock can show at a time."""
        return int(1000.0 * at_s) + 1

    def read_worker_clock_ms(self) -> int:
        """Returns the clock of all workers."""
        return int(1000.0 * CLOCK_RATIO * (self.now_s - START_S + 10.0))

    def get_version(self, key: storage.RowKey) -> int:
        """Returns the version of a row in the store."""
        row = self.store.rows.get(key)
        return row.version if row else storage.ABSENT

    def apply(self, transaction: storage.Transaction) -> storage.StoreResult:
        """Applies a transaction."""
        lease_rows = self._list_rows(tables.LEASES)
        outcome = self.store.apply(transaction)
        if isinstance(outcome, result.Success):
            self.earlier_lease_rows = lease_rows
            # Claims that were possible before would have failed this write.
            self.told_ends_s = {}
        return outcome

    def _list_rows(self, *keys: storage.RowKey) -> tuple[storage.Row, ...]:
        return tuple(self.store.rows[key] for key in keys if key in self.store.rows)

    def make_view(self, knows_clock: bool = True, is_partial: bool = False) -> terms.TermView:
        """Returns a VM's view of the term.

        Args:
            knows_clock: Whether the store has reported its clock.
            is_partial: Whether the last write is known from the conflict of a claim, which does not
                report the row of the ends of leases.
        """
        view = terms.TermView()
        clock_ms = self.estimate_clock_ms() if knows_clock else 0
        if is_partial:
            terms.apply_rows(view, self.earlier_lease_rows, self.now_s, clock_ms)
            rows = self._list_rows(tables.HOLDER, tables.HEARTBEAT)
        else:
            rows = self._list_rows(tables.HOLDER, tables.HEARTBEAT, tables.LEASES)
        terms.apply_rows(view, rows, self.now_s, clock_ms)
        return view

    def _make_claim(self, kind: str) -> Claim:
        view = self.make_view(kind != "claim_without_clock", kind == "claim_by_conflict")
        holder, transaction = terms.make_claim(view, f"vm{len(self.holders)}", self.now_s)
        inherited = terms.find_lease_ends(view, self.now_s)
        lease_row = terms.find_lease_row(view)
        if kind == "claim_of_earlier_build":
            writes = tuple(w for w in transaction.writes if w.key != tables.LEASES)
            transaction = dataclasses.replace(transaction, writes=writes)
            lease_row = None
        knows_clock = kind != "claim_without_clock"
        return Claim(holder, transaction, inherited, lease_row, self.now_s, knows_clock)

    def _apply_claim(self, claim: Claim) -> None:
        outcome = self.apply(claim.transaction)
        version = terms.find_claimed_version(outcome, claim.holder)
        if version is not None:
            self.holders.append(ModelHolder(self, claim, version))

    def check_lease(self, worker_id: str) -> None:
        """Checks the lease on a worker against the ends that VMs may rely on now."""
        worker = self.workers[worker_id]
        remaining_ms = worker.deadline_ms - self.read_worker_clock_ms()
        end_s = self.now_s + remaining_ms / 1000.0 / CLOCK_RATIO
        told_s = self.told_ends_s.get(worker_id)
        if worker.has_run and told_s is not None and end_s > told_s + ROUNDING_S:
            raise Violation(f"lease on {worker_id} ends at {end_s:.3f} s, told {told_s:.3f} s")

    def check(self) -> None:
        """Checks all leases against what a VM would rely on that claims now."""
        if self._checked == (self.store.version, self.now_s):
            # Leases that are granted meanwhile have been checked.
            return
        self._checked = (self.store.version, self.now_s)
        for view in (self.make_view(), self.make_view(is_partial=True), self.make_view(False)):
            claimant = state.SchedulerState(0, POLICY, self.now_s)
            claimant.inherited_leases = terms.find_lease_ends(view, self.now_s)
            for worker_id in self.workers:
                end_s = leases.compute_inherited_end_s(claimant, worker_id)
                told_s = self.told_ends_s.get(worker_id, end_s)
                self.told_ends_s[worker_id] = min(told_s, end_s)
        for worker_id in self.workers:
            self.check_lease(worker_id)

    def list_events(self) -> Iterator[Event]:
        """Yields the events that are possible now."""
        yield ("pass",)
        for worker_id in list(self.workers)[:1]:
            yield ("change_registration", worker_id)
            if self.workers[worker_id].is_registered:
                yield ("change_draining", worker_id)
        if len(self.holders) < self.max_holders:
            yield ("claim",)
            yield ("claim_by_conflict",)
            yield ("claim_without_clock",)
            yield ("claim_of_earlier_build",)
            if self.sent_claim is None:
                yield ("send_claim",)
        if self.sent_claim is not None:
            yield ("carry_out_claim",)
        if self.late_writes:
            yield ("carry_out_write",)
        for number, holder in enumerate(self.holders):
            if not holder.has_ended:
                yield from self._list_holder_events(str(number), holder)

    def _list_holder_events(self, number: str, holder: ModelHolder) -> Iterator[Event]:
        if not holder.is_loaded:
            yield ("load", number)
        else:
            yield ("read_registry", number)
        for fate in ("stored", "lost", "late"):
            if fate != "late" or not self.late_writes:
                yield ("write", number, fate)
                yield ("release", number, fate)
        for worker_id in holder.current.workers:
            yield ("poll", number, worker_id)
            yield ("poll_without_answer", number, worker_id)

    def do(self, event: Event) -> None:
        """Lets an event happen, and checks the leases."""
        kind, *arguments = event
        match kind, *arguments:
            case ("pass",):
                self.now_s += STEP_S
                clock_ms = self.read_worker_clock_ms()
                for worker in self.workers.values():
                    worker.has_run &= worker.deadline_ms > clock_ms
            case ("change_registration", worker_id):
                worker = self.workers[worker_id]
                worker.is_registered = not worker.is_registered
            case ("change_draining", worker_id):
                worker = self.workers[worker_id]
                worker.is_draining = not worker.is_draining
            case ("send_claim",):
                self.sent_claim = self._make_claim(kind)
            case ("carry_out_claim",):
                claim, self.sent_claim = self.sent_claim, None
                self._apply_claim(claim)
            case ("carry_out_write",):
                self.apply(self.late_writes.pop())
            case ("load", number):
                self.holders[int(number)].load()
            case ("read_registry", number):
                self.holders[int(number)].read_registry()
            case ("write" | "release", number, fate):
                self.holders[int(number)].write(kind == "release", fate)
            case ("poll" | "poll_without_answer", number, worker_id):
                self.holders[int(number)].poll(worker_id, kind == "poll")
            case _:
                self._apply_claim(self._make_claim(kind))
        self.check()

    def describe(self) -> tuple:
        """Returns what later events depend on, to recognise situations that were searched."""
        now_s = round(self.now_s, 3)
        rows = self._list_rows(tables.HEARTBEAT, tables.LEASES)
        return (
            now_s,
            [row.value for row in rows],
            [row.version == rows[0].version for row in rows],
            [row.value for row in self.earlier_lease_rows],
            [dataclasses.astuple(worker) for worker in self.workers.values()],
            [holder.describe() for holder in self.holders],
            [
                all(self.get_version(c.key) == c.version for c in transaction.conditions)
                and [write.value for write in transaction.writes]
                for transaction in self.late_writes
            ],
            self.sent_claim
            and all(
                self.get_version(c.key) == c.version for c in self.sent_claim.transaction.conditions
            )
            and self.sent_claim.sent_at_s,
            sorted(self.told_ends_s.items()),
        )


_BEGIN: tuple[Event, ...] = (
    ("load", "0"),
    ("read_registry", "0"),
    ("poll", "0", "w0"),
    ("poll", "0", "w0"),
    ("write", "0", "stored"),
)
_DEPART: tuple[Event, ...] = (
    ("change_registration", "w0"),
    ("read_registry", "0"),
    ("poll_without_answer", "0", "w0"),
    ("pass",),
    ("pass",),
    ("write", "0", "stored"),
)
_DRAIN: tuple[Event, ...] = (
    ("change_draining", "w0"),
    ("read_registry", "0"),
    ("write", "0", "stored"),
)
_TAKE_OVER: tuple[Event, ...] = (("claim",), ("load", "1"), ("read_registry", "1"))
SCENES: dict[str, tuple[Event, ...]] = {
    "begin": (),
    "leased": _BEGIN,
    "released": (*_BEGIN, ("release", "0", "stored")),
    "release_unanswered": (*_BEGIN, ("release", "0", "lost")),
    "departed": (*_BEGIN, *_DEPART),
    "draining": (*_BEGIN, *_DRAIN),
    "draining_without_store": (
        *_BEGIN,
        *_DRAIN,
        ("pass",),
        ("poll", "0", "w0"),
        ("pass",),
        ("poll", "0", "w0"),
    ),
    "departed_and_claimed": (*_BEGIN, *_DEPART, ("claim",), ("load", "1")),
    "back_and_claimed": (
        *_BEGIN,
        *_DEPART,
        ("change_registration", "w0"),
        *_TAKE_OVER,
        ("poll", "1", "w0"),
    ),
    "draining_and_claimed": (*_BEGIN, *_DRAIN, *_TAKE_OVER, ("poll", "1", "w0")),
    "released_and_claimed": (
        *_BEGIN,
        ("release", "0", "stored"),
        *_TAKE_OVER,
        ("poll", "1", "w0"),
    ),
}
"""Events that lead to the situations from which the search begins."""


def replay(
    events: tuple[Event, ...], worker_count: int, max_holders: int
) -> tuple[ModelWorld, Event | None]:
    """Returns the world after some events, with the event that broke the invariant, or None."""
    world = ModelWorld(worker_count, max_holders)
    for event in events:
        try:
            world.do(event)
        except Violation as error:
            return world, (*event, str(error))
    return world, None


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """Result of a search.

    Attributes:
        situations: Number of different situations that were reached.
        counterexample: Events that break the invariant, or None.
    """

    situations: int
    counterexample: tuple[Event, ...] | None


def search(scene: str, depth: int, worker_count: int = 1, max_holders: int = 2) -> Search:
    """Searches all orders of up to ``depth`` events after a scene, the shorter ones first."""
    seen: set[str] = set()
    queue = collections.deque([SCENES[scene]])
    while queue:
        events = queue.popleft()
        world, broken = replay(events, worker_count, max_holders)
        if broken is not None:
            return Search(len(seen), (*events[:-1], broken))
        key = repr(world.describe())
        if key in seen:
            continue
        seen.add(key)
        if len(events) - len(SCENES[scene]) < depth:
            queue.extend((*events, event) for event in world.list_events())
    return Search(len(seen), None)


@pytest.mark.parametrize("scene", SCENES)
def test_no_lease_outlasts_the_end_that_a_claimant_reads(scene):
    """Guards against a holder that takes a lease of an earlier one for ended while it is valid."""
    found = search(scene, CI_DEPTHS.get(scene, 2))
    assert found.counterexample is None
    assert found.situations > 60


@pytest.mark.parametrize("scene", ["back_and_claimed", "released_and_claimed"])
def test_search_finds_a_claimant_that_does_not_withhold_leases(scene, monkeypatch):
    """Guards against a search that misses a lease beyond the ends that a claim carries on."""
    init = term_rows.TermRows.__init__

    @functools.wraps(init)
    def init_without_withholding(self, current, *arguments):
        init(self, current, *arguments)
        current.withheld_leases = frozenset()
        current.withholds_all_leases = False

    monkeypatch.setattr(term_rows.TermRows, "__init__", init_without_withholding)
    assert search(scene, 2).counterexample is not None


def _find_row_of_any_heartbeat(view: terms.TermView) -> tables.LeaseEnds | None:
    return view.lease_ends


def _find_row_by_its_time(view: terms.TermView) -> tables.LeaseEnds | None:
    beat, ends = view.heartbeat, view.lease_ends
    if beat is None or ends is None or not beat.sent_at_ms:
        return None
    return ends if (ends.epoch, ends.sent_at_ms) == (beat.epoch, beat.sent_at_ms) else None


@pytest.mark.parametrize("find_row", [_find_row_of_any_heartbeat, _find_row_by_its_time])
def test_search_finds_a_row_that_is_accepted_with_another_heartbeat(find_row, monkeypatch):
    """Guards against a search that misses a row from before the last heartbeat.

    That one may have the same time, and be known from a conflict that does not report its row.
    """
    monkeypatch.setattr(terms, "find_lease_row", find_row)
    assert search("back_and_claimed", 2).counterexample is not None


def test_search_finds_a_lease_beyond_the_limit_of_a_draining_worker(monkeypatch):
    """Guards against a search in which the limits of leases make no difference."""
    handle_stored = term_rows.TermRows.handle_stored

    def handle_stored_without_limits(self):
        handle_stored(self)
        self._state.lease_limits = {}

    monkeypatch.setattr(term_rows.TermRows, "handle_stored", handle_stored_without_limits)
    assert search("draining_without_store", 2).counterexample is not None


def main() -> None:
    """Runs a deeper search in all scenes; arguments are the depth, holders and workers."""
    depth, max_holders, worker_count = (*map(int, sys.argv[1:4]), *(4, 2, 1)[len(sys.argv) - 1 :])
    for scene in SCENES:
        began_s = time.monotonic()
        found = search(scene, depth, worker_count, max_holders)
        sys.stdout.write(
            f"{scene}: {found.situations} situations in {time.monotonic() - began_s:.1f} s, "
            f"{found.counterexample or 'none broken'}\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main()
