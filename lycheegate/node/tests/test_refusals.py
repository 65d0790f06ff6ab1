"""Refusals under overload: the row of the load, the answer to a caller, and the stored mark."""

import dataclasses
import io
import random

import cbor2
import msgspec
import pytest
import werkzeug.test
from returns import result

from lycheegate.entry import server
from lycheegate.jobs import admission, fencing, load_summary, model, refusal_switch
from lycheegate.metrics import exposition, histograms, jsonlog
from lycheegate.node import callers, load_row, node_view, refusals, storage, tables, terms
from lycheegate.node.tests import fake_store, simulation
from lycheegate.utils import exceptions

_JOB_ID = "5c0e7a21d94b36f8"
_BODY = b'{"spec":"x","steps":[{"count":2,"cpu":100,"estimate-ms":1000}]}'
_OFF = model.Route("q", "h.example", "/q/", "s", 1, 3, 3.0, 1.0)
_ON = dataclasses.replace(_OFF, refuses_late=True)
_MAX_VIEW_AGE_S = 3.5
_ON_DELAY_S = refusal_switch.compute_on_delay_s(_MAX_VIEW_AGE_S)
_KEEP_S = refusal_switch.compute_keep_s(_MAX_VIEW_AGE_S)
_TOTAL = model.Resources(100_000, 100_000, 8)
_NONE = model.Resources()
_LOST = exceptions.OutcomeUnknownError("lost")
_DOWN = exceptions.UnavailableError("429")


def _make_row(wait_s: int = 100, epoch: int = 3, sent_at_ms: int = 100_000) -> load_row.LoadRow:
    backlog = admission.Backlog(False, 0, (100 * wait_s, 0, 8 * wait_s))
    priority = admission.PriorityLoad(1, 0, 100 * wait_s, wait_s, (backlog,))
    service = admission.ServiceLoad(_TOTAL, _NONE, _NONE, _NONE, frozenset({"acme"}), (priority,))
    return load_row.LoadRow(epoch, sent_at_ms, {"s": service})


def _apply_version(
    view: node_view.NodeView, version: int, route: model.Route, now_s: float
) -> None:
    """Applies a version of the configuration as the daemon does."""
    account = model.Account("acme", frozenset({"k"}))
    configuration = model.Configuration(
        version, {"q": route}, {}, {"acme": account}, {"k": "acme"}, 10_000
    )
    view.switches = refusal_switch.apply_configuration(view.switches, configuration, now_s)
    view.configuration = configuration


class _World:
    """A linearizable store and the callers' interfaces of VMs; the clock is that of the store."""

    def __init__(self):
        self.store = fake_store.FakeStore(
            fake_store.EventLoop(), fake_store.Faults(), random.Random(1)
        )
        self.now_s = 100.0
        self.lines: list[dict] = []
        self.failures: list[Exception] = []
        self.held: list[storage.Transaction] = []
        """Transactions whose answer was lost, to be applied later."""
        self.applies_lost = False
        self.is_connected = True
        self.transactions: list[storage.Transaction] = []

    def transact(self, transaction, timeout_s, callback):
        self.transactions.append(transaction)
        if not self.failures:
            callback(self.store.apply(transaction))
            return
        failure = self.failures.pop(0)
        if failure is _LOST and self.applies_lost:
            self.store.apply(transaction)
        elif failure is _LOST:
            self.held.append(transaction)
        callback(result.Failure(failure))

    def read(self, table, part, first, end, timeout_s, callback):
        rows = [
            row
            for key, row in self.store.rows.items()
            if (key.table, key.part) == (table, part)
            and first <= key.key
            and key.key < (end or "g")
        ]
        callback(result.Success(storage.Page(tuple(rows), False, 1)))

    def make_vm(
        self, row: load_row.LoadRow | None, route: model.Route = _ON, on_for_s: float = 1e6
    ) -> callers.CallerApplication:
        """Returns the interface of a VM that has read a load at the current time.

        Args:
            row: The load.
            route: The queue in the first version of the configuration that the VM has seen.
            on_for_s: Time since it has seen that version.
        """
        view = node_view.NodeView(confirmed_at_s=1e9)
        _apply_version(view, 1, route, self.now_s - on_for_s)
        rows = [
            storage.Row(tables.HOLDER, tables.encode_holder(tables.Holder(3, "a/1")), 7),
            storage.Row(tables.HEARTBEAT, _encode_beat(3), 7),
        ]
        if row is not None:
            rows.append(storage.Row(tables.LOAD, load_row.encode_load(row), 7))
        terms.apply_rows(view.term, tuple(rows), self.now_s, int(self.now_s * 1000))
        return callers.CallerApplication(
            self,
            view,
            lambda: self.now_s,
            lambda: self.now_s,
            jsonlog.JsonLog("vm", lambda: 0.0, self._log),
            _MAX_VIEW_AGE_S,
            lambda row: None,
            lambda job_id, timeout_s: None,
            49_152,
            random.Random(2),
        )

    def _log(self, data: bytes) -> int:
        self.lines.append(msgspec.json.decode(data))
        return len(data)

    def call(
        self, vm: callers.CallerApplication, method: str = "POST"
    ) -> werkzeug.test.TestResponse:
        """Makes a call for the job."""
        body = _BODY if method == "POST" else b""
        return werkzeug.test.Client(vm).open(
            f"/q/{_JOB_ID}",
            method=method,
            base_url="http://h.example",
            input_stream=io.BytesIO(body),
            content_length=len(body),
            headers={"Authorization": "Bearer k"},
            environ_overrides={server.IS_CONNECTED: lambda: self.is_connected},
        )

    @property
    def is_stored(self) -> bool:
        """Whether the job is stored."""
        return tables.get_job_key(_JOB_ID) in self.store.rows


def _encode_beat(epoch: int, is_released: bool = False) -> bytes:
    return tables.encode_heartbeat(tables.Heartbeat(epoch, is_released, {}, 100_000))


def test_refusal():
    """Guards against a refused job that is stored, or whose refusal shows no reason."""
    world = _World()
    vm = world.make_vm(_make_row())
    response = world.call(vm)
    assert response.status_code == 503
    assert 50 <= int(response.headers["Retry-After"]) <= 150
    assert not world.is_stored
    (line,) = world.lines
    assert (line["event"], line["reason"], line["subject"]) == ("refused", "overload", _JOB_ID)
    assert (line["account"], line["priority"]) == ("acme", 1)
    assert (line["wait_s"], line["limit_s"]) == (100.0, 12.0)
    text = exposition.format_metrics({}, histograms.Histograms(), vm.refusals)
    labels = 'client_account="acme",queue="q",reason="overload"'
    assert f"lycheegate_refused_total{{{labels}}} 1" in text


@pytest.mark.parametrize("returns_to_same_vm", [False, True])
def test_refused_caller_is_accepted_once_there_is_room(returns_to_same_vm):
    """Guards against a mark that keeps out the caller who returns when it was told to."""
    world = _World()
    vm = world.make_vm(_make_row())
    world.now_s += float(world.call(vm).headers["Retry-After"])
    vm = vm if returns_to_same_vm else world.make_vm(_make_row(1))
    assert world.call(vm).status_code == 200
    assert tables.get_refusal_key(_JOB_ID) not in world.store.rows
    assert world.call(vm).status_code == 200
    assert world.lines[-1]["event"] == "job_repeated"


def test_refused_caller_may_be_refused_again():
    """Guards against refusals that hold only once."""
    world = _World()
    assert world.call(world.make_vm(_make_row())).status_code == 503
    world.now_s += 200.0
    row = _make_row(sent_at_ms=int(world.now_s * 1000))
    assert world.call(world.make_vm(row)).status_code == 503
    assert not world.is_stored


def test_lost_answer_is_followed_by_no_refusal():
    """Guards against a refusal of a job that is stored, at a VM that sees more load than another.

    The caller lost the 2xx of a VM that has seen room, and repeats the call elsewhere.
    """
    world = _World()
    assert world.call(world.make_vm(_make_row(1))).status_code == 200
    assert world.call(world.make_vm(_make_row(100))).status_code == 200
    assert world.store.rows.keys() == {tables.get_job_key(_JOB_ID)}


def test_transaction_on_its_way_does_not_store_a_refused_job():
    """Guards against a job that runs although its caller was refused after a lost answer."""
    world = _World()
    first, second = world.make_vm(None), world.make_vm(_make_row())
    world.failures = [_LOST, _DOWN, _DOWN, _DOWN]
    assert world.call(first).status_code == 504
    assert world.call(second).status_code == 503
    (late,) = world.held
    assert isinstance(world.store.apply(late), result.Failure)
    assert not world.is_stored


@pytest.mark.parametrize(
    ("after_s", "is_connected", "status"),
    [(0.0, True, 503), (20.0, True, 503), (200.0, False, 503), (200.0, True, 200)],
)
def test_call_that_a_vm_reads_after_a_refusal(after_s, is_connected, status):
    """Guards against a call from before a refusal that a suspended VM reads after it.

    It came before the caller was to return, or its caller has closed the connection.
    """
    world = _World()
    assert world.call(world.make_vm(_make_row())).status_code == 503
    world.now_s += after_s
    world.is_connected = is_connected
    response = world.call(world.make_vm(None))
    assert response.status_code == status
    assert world.is_stored is (status == 200)
    if status == 503:
        assert 1 <= int(response.headers["Retry-After"]) <= 150


@pytest.mark.parametrize("failures", [[_LOST], [_DOWN] * 3, [_LOST] + [_DOWN] * 3])
@pytest.mark.parametrize("is_applied", [False, True])
def test_mark_that_cannot_be_stored(failures, is_applied):
    """Guards against a refusal that does not bind, and against a call that its own mark blocks."""
    world = _World()
    vm = world.make_vm(_make_row())
    world.failures = list(failures)
    world.applies_lost = is_applied
    response = world.call(vm)
    is_repeated = failures == [_LOST]
    assert response.status_code == (503 if is_repeated else 200)
    assert world.is_stored is not is_repeated


def test_cancelled_job_is_not_refused():
    """Guards against a caller that is to come again for a job that it has cancelled."""
    world = _World()
    vm = world.make_vm(_make_row())
    assert world.call(vm, "DELETE").status_code == 410
    assert world.call(vm).status_code == 410


def test_unreadable_mark_is_ignored():
    """Guards against a row of another writer that keeps out a caller for good."""
    world = _World()
    world.store.put(tables.get_refusal_key(_JOB_ID), b"\xff")
    assert world.call(world.make_vm(None)).status_code == 200


@pytest.mark.parametrize(
    ("age_s", "epoch", "rows", "status"),
    [
        (0.0, 3, [], 503),
        (2.9, 3, [], 503),
        (3.1, 3, [], 200),
        (0.0, 2, [], 200),
        (0.0, 3, [(tables.HEARTBEAT, _encode_beat(4))], 200),
        (0.0, 3, [(tables.HEARTBEAT, _encode_beat(3, True))], 200),
        (0.0, 3, [(tables.HOLDER, tables.encode_holder(tables.Holder(4, "b/1")))], 200),
        (0.0, 3, [(tables.LOAD, None)], 200),
        (0.0, 3, [(tables.LOAD, b"\xff")], 200),
        (0.0, 3, [(tables.LOAD, cbor2.dumps([2, 3, 100_000, {}]))], 200),
        (0.0, 3, [(tables.LOAD, cbor2.dumps([1, 3, 100_000, {"s": [[], [], 5]}]))], 200),
        (0.0, 3, [(tables.LOAD, cbor2.dumps([1, 3, 100_000, {"s": None}]))], 200),
    ],
)
def test_load_that_does_not_count(age_s, epoch, rows, status):
    """Guards against refusals by a load that is old, lost, unreadable or of a former holder."""
    world = _World()
    vm = world.make_vm(_make_row(epoch=epoch))
    for key, value in rows:
        row = storage.Row(key, value or b"", 8, value is None)
        try:
            terms.apply_rows(vm._view.term, (row,), world.now_s, 100_000)
        except exceptions.ProtocolError:
            assert key == tables.LOAD
    world.now_s += age_s
    assert world.call(vm).status_code == status


def test_unreadable_load_is_reported_once():
    """Guards against a log line a second while a holder of another build publishes its load."""
    view, reported = terms.TermView(), 0
    for version in range(1, 6):
        row = storage.Row(tables.LOAD, b"\xff", version)
        try:
            terms.apply_rows(view, (row,), 1.0, 1_000)
        except exceptions.ProtocolError:
            reported += 1
    assert reported == 1


def test_size_of_the_row():
    """Guards against a row that is too large, and against one that reads other than written."""
    (service,) = _make_row().load.values()
    backlogs = tuple(
        admission.Backlog(late, c, (9_900_000,) * 3) for late in (False, True) for c in range(11)
    )
    priorities = tuple(admission.PriorityLoad(p, 1, 1, 1, backlogs) for p in range(4))
    large = dataclasses.replace(service, priorities=priorities)
    load, omitted = load_row.divide_load({f"s{n}": large for n in range(20)})
    row = load_row.LoadRow(3, 5, load)
    data = load_row.encode_load(row)
    assert len(data) <= load_row.MAX_LOAD_BYTES
    assert 0 < omitted == 20 - len(load) < 20
    assert load_row.decode_load(data) == row


def _count_writes(world: simulation.World, duration_s: float) -> int:
    versions = set()
    for _ in range(int(duration_s / 0.1)):
        world.run(0.1)
        if tables.LOAD in world.store.rows:
            versions.add(world.store.rows[tables.LOAD].version)
    return len(versions)


@pytest.mark.parametrize(("is_on", "has_overload"), [(True, False), (True, True), (False, True)])
def test_holder_publishes_its_load(is_on, has_overload, monkeypatch):
    """Guards against a load that is not published, too often, while nothing waits, or unasked."""
    world = simulation.World(1)
    route = dataclasses.replace(world.route, refuses_late=is_on)
    world.configuration = simulation.make_configuration(route, world.urgent)
    if not is_on:
        monkeypatch.delattr(load_summary, "summarise_load")
    if has_overload:
        world.submit(simulation.make_job("1" * 16, model.Step(5_000, simulation.SMALL, 30.0)))
    world.claim_term("a")
    writes = _count_writes(world, 13.0)
    assert writes in (range(5, 11) if is_on and has_overload else range(1))
    if writes:
        row = load_row.decode_load(world.store.rows[tables.LOAD].value)
        (priority,) = row.load["render"].priorities
        assert row.epoch == fencing.EPOCHS_PER_TERM
        assert priority.waiting_core_s > 100_000


@pytest.mark.parametrize(
    ("on_until_s", "left"), [(400, 50), (15, 50), (-1, 100)], ids=["on", "switched_off", "never_on"]
)
def test_old_marks_are_deleted(on_until_s, left):
    """Guards against marks of callers who gave up that stay for ever, and needless reads."""
    world = _World()
    for number in range(100):
        mark = tables.RefusalMark(100_000 if number % 2 else 10**9, "x")
        key = tables.get_refusal_key(f"{number:016x}")
        world.store.put(key, tables.encode_refusal_mark(mark))
    log = jsonlog.JsonLog("vm", lambda: 0.0, len)
    second = 0
    sweeper = refusals.RefusalSweeper(
        world, lambda: 300_000, 150.0, lambda: second <= on_until_s, log
    )
    for second in range(400):
        sweeper.sweep(float(second))
    assert len(world.store.rows) == left


def _count_conditions(world: _World) -> int:
    return len(world.transactions[-1].conditions)


@pytest.mark.parametrize(
    ("route", "on_for_s", "status", "conditions"),
    [
        (_OFF, 1e6, 200, 2),
        (_ON, 0.0, 200, 3),
        (_ON, _ON_DELAY_S - 0.1, 200, 3),
        (_ON, _ON_DELAY_S, 503, 2),
    ],
    ids=["off", "just_on", "before_the_delay", "after_the_delay"],
)
def test_refusals_of_a_queue_that_is_switched_on(route, on_for_s, status, conditions):
    """Guards against refusals that nobody asked for, or while a VM may store without the condition.

    The load that is left from an earlier use of refusals has no effect once it is old.
    """
    world = _World()
    vm = world.make_vm(_make_row(sent_at_ms=100_000), route, on_for_s)
    if route is _OFF:
        world.now_s += _KEEP_S
    assert world.call(vm).status_code == status
    assert _count_conditions(world) == conditions


@pytest.mark.parametrize("arrives_after_s", [0.0, _ON_DELAY_S - 1.0])
def test_call_of_an_older_view_that_is_on_its_way(arrives_after_s):
    """Guards against a refused job that a VM stores which has not seen that refusals are on."""
    world = _World()
    older, newer = world.make_vm(None, _OFF), world.make_vm(None, _ON, 0.0)
    world.failures = [_LOST, _DOWN, _DOWN, _DOWN]
    assert world.call(older).status_code == 504
    (late,) = world.held
    assert len(late.conditions) == 2
    world.now_s += arrives_after_s
    row = _make_row(sent_at_ms=int(world.now_s * 1000))
    rows = (storage.Row(tables.LOAD, load_row.encode_load(row), 9),)
    terms.apply_rows(newer._view.term, rows, world.now_s, int(world.now_s * 1000))
    assert world.call(newer).status_code == 200
    world.store.apply(late)
    world.now_s += 2.0 * _ON_DELAY_S
    assert world.call(newer).status_code == 200


@pytest.mark.parametrize("is_restarted", [False, True])
def test_refusal_by_an_older_view_after_the_switch_was_removed(is_restarted):
    """Guards against a job that is stored after a VM that has not seen the removal refused it.

    The VM that stores it has seen the removal, or has started after it.
    """
    world = _World()
    older = world.make_vm(_make_row())
    newer = world.make_vm(_make_row(), _OFF if is_restarted else _ON)
    if not is_restarted:
        _apply_version(newer._view, 2, _OFF, world.now_s)
    world.failures = [_LOST, _DOWN, _DOWN, _DOWN]
    assert world.call(newer).status_code == 504
    assert world.call(older).status_code == 503
    (late,) = world.held
    assert isinstance(world.store.apply(late), result.Failure)
    assert world.call(newer).status_code == 503
    assert not world.is_stored
    world.now_s += _KEEP_S
    assert world.call(newer).status_code == 200
    assert _count_conditions(world) == 2


def test_mark_that_is_left_when_refusals_are_used_again():
    """Guards against a job that an old mark keeps out, or a refusal soon after a second change."""
    world = _World()
    vm = world.make_vm(_make_row())
    assert world.call(vm).status_code == 503
    _apply_version(vm._view, 2, _OFF, world.now_s)
    world.now_s += _KEEP_S
    _apply_version(vm._view, 3, _ON, world.now_s)
    row = _make_row(sent_at_ms=int(world.now_s * 1000))
    rows = (storage.Row(tables.LOAD, load_row.encode_load(row), 9),)
    terms.apply_rows(vm._view.term, rows, world.now_s, int(world.now_s * 1000))
    assert world.call(vm).status_code == 200
    assert world.store.rows.keys() == {tables.get_job_key(_JOB_ID)}
