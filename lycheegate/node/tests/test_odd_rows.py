"""Rows of other writers, in the registry and in the system's own tables."""

import base64
import json
import random

import cbor2
import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import compact, model, progress, workers
from lycheegate.node import feeds, members, registry, storage, tables
from lycheegate.node.tests import fake_store, simulation
from lycheegate.platform import store, submissions
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

_ENTRY = {
    "service": "render",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32000, "gpu": 8},
    "labels": ["a", "r0"],
    "seq": 4,
    "born": 1000,
    "remaining-ms": None,
}
_HUGE = "9" * 400
"""A number that no float holds."""
_UNREADABLE = "9" * 5000
"""A number with more digits than Python converts."""


def _encode(**fields: str | bytes) -> bytes:
    """Returns an entry in which fields have other values, which are given as JSON text."""
    parts = [json.dumps(n).encode() + b":" + json.dumps(v).encode() for n, v in _ENTRY.items()]
    for name, text in fields.items():
        value = text if isinstance(text, bytes) else text.encode()
        parts.append(json.dumps(name.replace("_", "-")).encode() + b":" + value)
    return b"{" + b",".join(parts) + b"}"


ODD_ENTRIES = {
    "empty": b"",
    "null": b"null",
    "array": b"[]",
    "no fields": b"{}",
    "cut": _encode()[:-9],
    "not utf-8": b"\xff\xfe\x00",
    "not utf-8 in a service": _encode(service=b'"\xff"'),
    "not utf-8 in another field": _encode(note=b'"\xff"'),
    "unpaired surrogate": _encode(service='"\\ud800"'),
    "nested arrays": b"[" * 60_000,
    "nested objects": b'{"a":' * 10_000 + b"1" + b"}" * 10_000,
    "nested in labels": _encode(labels="[" * 30_000 + "]" * 30_000),
    "nested in another field": _encode(note="[" * 30_000 + "]" * 30_000),
    "service of another type": _encode(service="7"),
    "state of another type": _encode(state="[]"),
    "state not named": _encode(state='"resting"'),
    "version of another type": _encode(version="3"),
    "slots of another type": _encode(slots='"8"'),
    "seq of another type": _encode(seq="[4]"),
    "seq negative": _encode(seq="-1"),
    "seq too large": _encode(seq=_UNREADABLE),
    "cold-left-ms of another type": _encode(cold_left_ms='"0"'),
    "NaN": _encode(slots="NaN"),
    "Infinity": _encode(born="Infinity"),
    "labels of another type": _encode(labels='{"a":1}'),
    "labels not text": _encode(labels='["a",1]'),
    "labels not text, thousands": _encode(labels=json.dumps(list(range(9_000)))),
    "capacity of another type": _encode(capacity="[16000,32000,8]"),
    "capacity negative": _encode(capacity='{"cpu":-1}'),
    "capacity a float": _encode(capacity='{"cpu":1e300}'),
    "capacity without end": _encode(capacity='{"cpu":1e999}'),
    "capacity over the limit": _encode(capacity='{"mem-mb":1000000001}'),
    "capacity of 64 bits": _encode(capacity=f'{{"gpu":{2**63}}}'),
    "capacity of 400 digits": _encode(capacity=f'{{"cpu":{_HUGE}}}'),
    "capacity of 5000 digits": _encode(capacity=f'{{"cpu":{_UNREADABLE}}}'),
    "born negative": _encode(born="-1"),
    "born a float": _encode(born="1000.5"),
    "born a whole float": _encode(born="1000.0"),
    "born text": _encode(born='"1000"'),
    "born true": _encode(born="true"),
    "born null": _encode(born="null"),
    "born over 64 bits": _encode(born=str(2**64)),
    "born of 400 digits": _encode(born=_HUGE),
    "born of 5000 digits": _encode(born=_UNREADABLE),
    "remaining-ms text": _encode(remaining_ms='"5"'),
    "remaining-ms a float": _encode(remaining_ms="1e9"),
    "remaining-ms over 64 bits": _encode(remaining_ms=str(2**64)),
    "remaining-ms of 400 digits": _encode(remaining_ms=_HUGE),
    "remaining-ms of 400 digits, negative": _encode(remaining_ms="-" + _HUGE),
    "port 0": _encode(address='"10.0.0.1:0"'),
    "port 65536": _encode(address='"10.0.0.1:65536"'),
    "port 99999": _encode(address='"10.0.0.1:99999"'),
    "port of 6 digits": _encode(address='"10.0.0.1:100000"'),
    "port with a sign": _encode(address='"10.0.0.1:+80"'),
    "port negative": _encode(address='"10.0.0.1:-80"'),
    "port with a leading 0": _encode(address='"10.0.0.1:080"'),
    "port of other digits": _encode(address='"10.0.0.1:\u0661"'),
    "port missing": _encode(address='"10.0.0.1"'),
    "host missing": _encode(address='":80"'),
    "host with a path": _encode(address='"10.0.0.1/x:80"'),
    "host with a user": _encode(address='"a@10.0.0.1:80"'),
    "host in brackets": _encode(address='"[::1:80"'),
    "host of other letters": _encode(address='"w\u00f6rker:80"'),
    "host with a line break": _encode(address='"10.0.0.1:80\\r\\nX: y"'),
    "line break at the end": _encode(address='"10.0.0.1:80\\n"'),
    "64 KB": _encode(labels=json.dumps("x" * 65_000)),
}
ODD_KEYS = ["", "a b", "a\r\nX: y", "a\nb", "a\0", "w\u00f6rker", "x" * 201, "\x7f"]


def make_row(worker_id: str, value: bytes, version: int = 1) -> storage.Row:
    """Returns a row of the registry."""
    return storage.Row(storage.RowKey(worker_calls.REGISTRY_TABLE, "", worker_id), value, version)


def _list_ids(found: registry.WorkerRegistry) -> list[str]:
    return sorted(registration.worker_id for registration in found.list_registrations())


@pytest.mark.parametrize("is_full_table", [True, False], ids=["table", "changes"])
@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_hides_no_other(value, is_full_table):
    """Guards against one entry of another writer that hides the other workers of its page.

    The rows of an answer are delivered once. An entry that raises while the page is applied hides
    the new and the departed workers behind it.
    """
    odd = []
    found = registry.WorkerRegistry(lambda *fields: odd.append(fields))
    found.apply_rows((make_row("w0", _encode()), make_row("w9", _encode())), True)
    deleted = storage.Row(make_row("w9", b"").key, b"", 3, True)
    rows = (make_row("w1", _encode()), make_row("w2", value), make_row("w3", _encode()), deleted)
    assert found.apply_rows(rows, is_full_table)
    assert _list_ids(found) == (["w1", "w3"] if is_full_table else ["w0", "w1", "w3"])
    ((worker_id, reason, size_bytes),) = odd
    assert (worker_id, size_bytes) == ("w2", len(value))
    assert 0 < len(reason) < 300


@pytest.mark.parametrize("worker_id", ODD_KEYS, ids=ascii)
def test_odd_key_names_no_worker(worker_id):
    """Guards against a key that ends in a header of each call of the worker."""
    found = registry.WorkerRegistry()
    found.apply_rows((make_row(worker_id, _encode()), make_row("w1", _encode())), True)
    assert _list_ids(found) == ["w1"]


def test_odd_row_is_reported_once():
    """Guards against a log line for each heartbeat of a writer whose entries are malformed."""
    odd = []
    found = registry.WorkerRegistry(lambda *fields: odd.append(fields[0]))
    for version in range(1, 6):
        found.apply_rows((make_row("w2", b"{}", version),), False)
    found.apply_rows((make_row("w2", b"{}", 5),), True)
    assert odd == ["w2"]
    found.apply_rows((make_row("w2", b"[]", 6),), False)
    assert odd == ["w2"] * 2
    found.apply_rows((make_row("w2", _encode(), 7),), False)
    found.apply_rows((make_row("w2", b"[]", 8),), False)
    assert odd == ["w2"] * 3


def test_unexpected_error_hides_no_other_entry(monkeypatch):
    """Guards against the loss of a page by an error that no case of an odd entry foresees."""
    decode = worker_calls.decode_registration

    def fail(worker_id, data):
        if worker_id == "w2":
            raise MemoryError("unexpected")
        return decode(worker_id, data)

    monkeypatch.setattr(worker_calls, "decode_registration", fail)
    found = registry.WorkerRegistry()
    found.apply_rows(tuple(make_row(f"w{n}", _encode()) for n in range(1, 4)), True)
    assert _list_ids(found) == ["w1", "w3"]


_NUMBERS = st.one_of(
    st.integers(),
    st.integers(0, 4200).map(lambda digits: 10**digits),
    st.integers(0, 4200).map(lambda digits: -(10**digits)),
)
_VALUES = st.one_of(st.none(), st.booleans(), _NUMBERS, st.floats(), st.text(max_size=9))
_DOCUMENTS = st.recursive(
    _VALUES,
    lambda items: st.one_of(
        st.lists(items, max_size=4), st.dictionaries(st.text(max_size=9), items, max_size=4)
    ),
    max_leaves=8,
)
_ENTRIES = st.one_of(
    st.binary(max_size=60),
    _DOCUMENTS.map(lambda document: json.dumps(document).encode()),
    st.dictionaries(st.sampled_from(sorted(_ENTRY)), _DOCUMENTS, max_size=3).map(
        lambda fields: json.dumps({**_ENTRY, **fields}).encode()
    ),
)


@hypothesis.example(
    odd_rows={"w": _encode(remaining_ms=_HUGE), "w\ud800": b"[" * 60_000}, is_full_table=True
)
@hypothesis.given(
    odd_rows=st.dictionaries(
        st.text(st.characters(exclude_categories=()), max_size=6), _ENTRIES, max_size=4
    ),
    is_full_table=st.booleans(),
)
def test_any_rows_hide_no_worker(odd_rows, is_full_table):
    """Guards against rows of other writers that raise, or that hide the workers of their page."""
    found = registry.WorkerRegistry()
    rows = [make_row(worker_id, value) for worker_id, value in odd_rows.items()]
    rows = [make_row("well-formed-1", _encode()), *rows, make_row("well-formed-2", _encode())]
    assert found.apply_rows(tuple(rows), is_full_table)
    assert {"well-formed-1", "well-formed-2"} <= set(_list_ids(found))


_MOMENTS = {
    "cut": _encode()[:-9],
    "nested": b"[" * 60_000,
    "remaining-ms of 400 digits": _encode(remaining_ms=_HUGE),
    "port 99999": _encode(address='"10.0.0.1:99999"'),
    "capacity of 400 digits": _encode(capacity=f'{{"cpu":{_HUGE}}}'),
    "capacity of nothing": _encode(capacity="{}"),
    "state not named": _encode(state='"resting"'),
    "service not named": _encode(service='"resting"'),
    "other labels": _encode(labels="[]"),
    "draining": _encode(state='"draining"', remaining_ms="0"),
    "born later": _encode(born=str(2**50)),
    "born earlier": _encode(born="1"),
    "address of another worker": _encode(address='"w5.test:80"'),
    "address of nobody": _encode(address='"nobody.test:80"'),
}


@pytest.mark.parametrize("changes_holder", [False, True], ids=["one holder", "two holders"])
@pytest.mark.parametrize("odd_s", [1.0, 20.0])
@pytest.mark.parametrize("value", _MOMENTS.values(), ids=_MOMENTS)
def test_workers_whose_rows_are_odd_for_a_while(value, odd_s, changes_holder):
    """Guards against running work that starts elsewhere, and workers that are lost for good.

    Another writer replaces the rows of workers with running work, and each worker writes its own
    row again later. The holder may change meanwhile. A task may start again only if the lease of
    its first run has expired, which the fake workers check.
    """
    world = simulation.World(1)
    world.claim_term("a")
    world.run(2.0)
    world.fleet.work_s = 4.0
    world.submit(simulation.make_job("0" * 16, simulation.make_step(24)))
    world.run(1.0)
    odd_ids = [worker_id for worker_id, worker in world.fleet.workers.items() if worker.live]
    assert len(odd_ids) >= 3
    for worker_id in odd_ids:
        address = world.fleet.workers[worker_id].address.encode()
        world.store.put(make_row(worker_id, b"").key, value.replace(b"10.0.0.1:1", address))
    world.run(odd_s / 2)
    if changes_holder:
        world.schedulers["a"].stop("test")
        world.claim_term("b")
    world.run(odd_s / 2)
    for worker_id in odd_ids:
        world.register(worker_id)
    world.run(30.0)
    simulation.assert_all_succeed(world)
    if not changes_holder and b"draining" not in value and b".test" not in value:
        assert set(world.fleet.starts.values()) == {1}
    # All workers are in use again: the job needs the whole room of each.
    world.submit(simulation.make_job("1" * 16, simulation.make_step(6, simulation.WHOLE)))
    world.run(2.0)
    assert all(worker.live for worker in world.fleet.workers.values())
    world.run(15.0)
    simulation.assert_all_succeed(world)


def test_workers_whose_rows_were_never_theirs():
    """Guards against a scheduler without workers after an odd row of each of them.

    A start time in the future, which is a whole number, made each report appear to come from an
    earlier incarnation.
    """
    world = simulation.World(1)
    world.claim_term("a")
    world.run(2.0)
    for worker_id in world.fleet.workers:
        address = json.dumps(world.fleet.workers[worker_id].address)
        value = _encode(born=str(2**50), address=address)
        world.store.put(make_row(worker_id, b"").key, value)
    world.run(1.0)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(12)))
    world.run(5.0)
    assert world.read_status("0" * 16).outcome is model.Outcome.SUCCEEDED


def _make_steps(**fields):
    return {"spec": "x", "steps": [{"count": 2, "cpu": 1, **fields}]}


_HUGE_WHOLE = 10**400
ODD_JOBS = {
    "cpu of 400 digits": _make_steps(cpu=_HUGE_WHOLE),
    "memory of 400 digits": _make_steps(**{"mem-mb": _HUGE_WHOLE}),
    "gpu of 400 digits": _make_steps(gpu=_HUGE_WHOLE),
    "gpu over the limit": _make_steps(gpu=2**53 + 1),
    "estimate without end": _make_steps(**{"estimate-ms": "inf"}),
    "estimate not a number": _make_steps(**{"estimate-ms": "nan"}),
    "estimate over the limit": _make_steps(**{"estimate-ms": 1e300}),
    "limit of tasks of 400 digits": _make_steps(**{"anti-affinity": _HUGE_WHOLE}),
    "may-miss of 400 digits": _make_steps(**{"may-miss": _HUGE_WHOLE}),
    "repeats of 400 digits": {**_make_steps(), "repeats": _HUGE_WHOLE},
    "start without end": {**_make_steps(), "repeats": 1, "start-at-ms": "inf"},
    "interval not a number": {**_make_steps(), "repeats": 2, "interval-ms": "nan"},
}


@pytest.mark.parametrize("document", ODD_JOBS.values(), ids=ODD_JOBS)
def test_odd_job_is_rejected(document):
    """Guards against a job of one caller that keeps the jobs of all others waiting.

    A need of 400 digits raised in each scheduling pass, so nothing was placed for as long as the
    job was there, on each holder of the term.
    """
    with pytest.raises(exceptions.ProtocolError):
        submissions.decode_job(json.dumps(document).encode(), "1" * 16, "batch", "acme", 1.0)


def _edit_job(path, value):
    """Returns the record of a job in which one value is replaced."""
    job = simulation.make_job("1" * 16, simulation.make_step(2))
    route = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
    items = cbor2.loads(progress.encode_accepted(progress.AcceptedJob(job, route), 49_152))
    *parents, last = path
    parent = items
    for index in parents:
        parent = parent[index]
    parent[last] = value
    return cbor2.dumps(items)


def _make_progress(step=None, started=True, occurrence=1):
    return cbor2.dumps([1, "", started, occurrence, [] if step is None else [step]])


_PLACES_IN_JOB = {
    "route": (1, 0),
    "account": (1, 1),
    "spec": (1, 2),
    "accepted": (1, 3),
    "occurrences": (2, 0),
    "start": (2, 1),
    "interval": (2, 2),
    "steps": (3,),
    "step": (3, 0),
    "count": (3, 0, 0),
    "need": (3, 0, 1),
    "cpu": (3, 0, 1, 0),
    "estimate": (3, 0, 2),
    "depends on": (3, 0, 3),
    "checkpoints": (3, 0, 4),
    "gang": (3, 0, 5),
    "label": (3, 0, 7),
    "rack": (3, 0, 8),
    "limit of tasks": (3, 0, 9),
    "may miss": (3, 0, 13),
    "service": (4, 2),
    "priority": (4, 3),
    "attempts": (4, 4),
    "stretch": (4, 5),
    "target": (4, 6),
}
ODD_JOB_ROWS = {
    f"{name} {value!r:.9}": _edit_job(path, value)
    for name, path in _PLACES_IN_JOB.items()
    for value in (None, "x", -1, [], [7], {"a": 1}, _HUGE_WHOLE, float("nan"), b"\xff")
}
ODD_JOB_ROWS |= {"empty": b"", "not CBOR": b"\xff", "nested": b"\x81" * 60_000}
_STEP = [[0, 0], [], {}, {0: 1}, {0: "w0"}, {}, 0]
ODD_PROGRESS = {
    "empty": b"",
    "not CBOR": b"\xff",
    "nested": b"\x81" * 60_000,
    "occurrence text": _make_progress(_STEP, occurrence="x"),
    "occurrence of 400 digits": _make_progress(_STEP, occurrence=_HUGE_WHOLE),
    "started text": _make_progress(_STEP, started="x"),
    "key text": _make_progress([["x", 0], *_STEP[1:]]),
    "key negative": _make_progress([[0, -1], *_STEP[1:]]),
    "key too large": _make_progress([[0, 5], *_STEP[1:]]),
    "done text": _make_progress([[0, 0], ["x"], *_STEP[2:]]),
    "done too large": _make_progress([[0, 0], [9], *_STEP[2:]]),
    "failures text": _make_progress([[0, 0], [], {0: "x"}, *_STEP[3:]]),
    "run text": _make_progress([[0, 0], [], {}, {0: "x"}, *_STEP[4:]]),
    "run of 400 digits": _make_progress([[0, 0], [], {}, {0: _HUGE_WHOLE}, *_STEP[4:]]),
    "run of another task": _make_progress([[0, 0], [], {}, {9: 1}, {9: "w0"}, {}, 0]),
    "worker a number": _make_progress([[0, 0], [], {}, {0: 1}, {0: 7}, {}, 0]),
    "worker a list": _make_progress([[0, 0], [], {}, {0: 1}, {0: ["w0"]}, {}, 0]),
    "checkpoint a number": _make_progress([[0, 0], [], {}, {0: 1}, {0: "w0"}, {0: 5}, 0]),
    "last failure text": _make_progress([*_STEP[:6], "x"]),
    "incarnation text": _make_progress([*_STEP, {0: "x"}, {}, {}]),
    "incarnation negative": _make_progress([*_STEP, {0: -1}, {}, {}]),
    "weight text": _make_progress([*_STEP, {}, {0: "x"}, {}]),
    "weight of 400 digits": _make_progress([*_STEP, {}, {0: _HUGE_WHOLE}, {}]),
    "weight of another task": _make_progress([*_STEP, {}, {9: 5}, {}]),
    "crashed run text": _make_progress([*_STEP, {}, {0: 5}, {0: "x"}]),
    "compact steps empty": cbor2.dumps([2, "", True, 1, b""]),
    "compact steps of text": cbor2.dumps([2, "", True, 1, compact.compress(b"\x82\x80\x61x")]),
    "pages missing": cbor2.dumps([2, "", True, 1, 3]),
    "pages negative": cbor2.dumps([2, "", True, 1, -1]),
}


@pytest.mark.parametrize("is_late", [False, True], ids=["at a take-over", "in the feed"])
@pytest.mark.parametrize("value", ODD_JOB_ROWS.values(), ids=ODD_JOB_ROWS)
def test_odd_row_of_a_job_stops_no_other(value, is_late):
    """Guards against one row of the table of jobs that ends the scheduling of all jobs."""
    _run_beside_odd_rows({tables.get_job_key("1" * 16): value}, is_late)


@pytest.mark.parametrize("value", ODD_PROGRESS.values(), ids=ODD_PROGRESS)
def test_odd_progress_of_a_job_stops_no_other(value):
    """Guards against one row of progress that ends the take-over of all jobs."""
    record = _edit_job((0,), 1)
    rows = {tables.get_job_key("1" * 16): record, tables.get_progress_key("1" * 16): value}
    _run_beside_odd_rows(rows, is_late=False)


def _run_beside_odd_rows(rows, is_late):
    world = simulation.World(1)
    # A row may hold a job all the same, for example with another label.
    world.fleet.specs["1" * 16] = simulation.make_job("1" * 16, simulation.make_step(2))
    if is_late:
        world.claim_term("a")
        world.run(2.0)
    for key, value in rows.items():
        world.store.put(key, value)
    if not is_late:
        world.claim_term("a")
    world.run(1.0)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(4)))
    world.run(6.0)
    assert world.read_status("0" * 16).outcome is model.Outcome.SUCCEEDED


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"10.0.0.9:99999", b"10.0.0.9:0", b"[::1:80", b"a b:80", b"x:80\r\nX: y"],
    ids=ascii,
)
def test_odd_address_of_a_vm(value):
    """Guards against a row of the members that is called, or that hides the others."""
    loop = fake_store.EventLoop()
    world_store = fake_store.FakeStore(loop, fake_store.Faults(), random.Random(1))
    errors = []
    directory = members.MemberDirectory(
        world_store.connect("a"), loop.call_later, "a", "10.0.0.1:1", errors.append
    )
    for vm, address in (("b", b"10.0.0.2:1"), ("c", value), ("d", b"10.0.0.4:1")):
        world_store.put(storage.RowKey(tables.MEMBERS, tables.PART, vm), address)
    directory.feed.start()
    loop.run_until(loop.now_s + 20.0)
    assert sorted(directory.list_peers()) == ["10.0.0.2:1", "10.0.0.4:1"]
    assert directory.find_address("c") is None
    assert errors == []


_NEW_ENTRIES = {
    "address of nobody": _encode(address='"nobody.test:80"'),
    "address of another worker": _encode(address='"w1.test:80"'),
    "service not named": _encode(service='"elsewhere"', address='"w1.test:80"'),
    "largest capacity": _encode(
        address='"nobody.test:80"',
        capacity=json.dumps(dict.fromkeys(["cpu", "mem-mb", "gpu"], 10**9)),
    ),
    "thousands of labels": _encode(
        address='"nobody.test:80"', labels=json.dumps([f"l{n}" for n in range(6000)])
    ),
    "remaining-ms largest": _encode(address='"nobody.test:80"', remaining_ms=str(2**53)),
    "born largest": _encode(address='"nobody.test:80"', born=str(2**53)),
}


@pytest.mark.parametrize("value", _NEW_ENTRIES.values(), ids=_NEW_ENTRIES)
def test_entry_of_a_worker_that_does_not_exist(value):
    """Guards against work that waits for, or is placed on, a worker that never reports.

    The entry is well-formed, so the worker is polled, but it gets no work before it has reported.
    """
    world = simulation.World(1, worker_count=3)
    world.claim_term("a")
    for number in range(5):
        world.store.put(make_row(f"x{number}", b"").key, value)
    world.run(2.0)
    for number in range(3):
        world.submit(
            simulation.make_job(f"{number}" * 16, simulation.make_step(1, simulation.WHOLE))
        )
    world.submit(simulation.make_job("a" * 16, simulation.make_step(9)), world.urgent)
    world.run(8.0)
    simulation.assert_all_succeed(world)
    assert set(world.fleet.starts.values()) == {1}


def test_registration_that_raises_hides_no_other(monkeypatch):
    """Guards against workers that are never added because another one raises before them."""
    add = workers._add_worker

    def fail(current, registration, *arguments):
        if registration.worker_id == "w1":
            raise ArithmeticError("unexpected")
        return add(current, registration, *arguments)

    monkeypatch.setattr(workers, "_add_worker", fail)
    world = simulation.World(1, worker_count=3)
    world.claim_term("a")
    world.run(2.0)
    world.submit(simulation.make_job("0" * 16, simulation.make_step(2, simulation.WHOLE)))
    world.run(4.0)
    simulation.assert_all_succeed(world)
    assert any(b"registration_failed" in line for line in world.lines)


class _Bodies:
    """HTTP client whose answers have the given bodies, then that of an idle feed."""

    def __init__(self, loop, bodies):
        self.loop = loop
        self.bodies = list(bodies)
        self.calls = 0

    def send(self, request):
        """Answers a request after a moment."""
        self.calls += 1
        body = self.bodies.pop(0) if self.bodies else b'{"rows":[],"ver":9,"now-ms":5}'
        future = http.futures.Future()
        answer = result.Success(http.Response(200, (), body))
        self.loop.call_later(0.1, lambda: future.set_result(answer))
        return future


def _make_answer(rows):
    """Returns an answer of the store with rows between two well-formed ones."""
    items = [(f"{n}", _encode()) for n in ("first", "last")]
    items[1:1] = rows
    texts = [
        value
        if key is None
        else json.dumps(
            {
                "table": "servers",
                "key": key,
                "value": base64.b64encode(value).decode(),
                "ver": 4,
            }
        ).encode()
        for key, value in items
    ]
    return b'{"rows":[' + b",".join(texts) + b'],"ver":9,"now-ms":5}'


_RAW_ROWS = st.one_of(
    _DOCUMENTS.map(lambda document: json.dumps(document).encode()),
    st.sampled_from(["table", "part", "key", "value", "ver", "tombstone"]).flatmap(
        lambda name: _DOCUMENTS.map(
            lambda document: json.dumps(
                {"table": "servers", "key": "k", "value": "", "ver": 4, name: document}
            ).encode()
        )
    ),
)


@hypothesis.example(
    answers=[[("odd", _encode(remaining_ms=_HUGE)), (None, b'{"key":"\\ud800"}')]] * 2, cut=b"["
)
@hypothesis.given(
    answers=st.lists(
        st.lists(
            st.one_of(st.tuples(st.text(max_size=6), _ENTRIES), st.tuples(st.none(), _RAW_ROWS)),
            max_size=3,
        ),
        min_size=1,
        max_size=3,
    ),
    cut=st.binary(max_size=30),
)
def test_feed_of_any_answers_goes_on(answers, cut):
    """Guards against rows or answers of any content that end the feed or hide a worker."""
    loop = fake_store.EventLoop()
    client = _Bodies(loop, [cut, *map(_make_answer, answers), cut])
    found = registry.WorkerRegistry()
    errors = []
    feed = feeds.TableFeed(
        store.PlatformStore(client, "h:1"),
        loop.call_later,
        "servers",
        ("",),
        lambda rows, is_full_table, _: found.apply_rows(rows, is_full_table),
        errors.append,
    )
    feed.start()
    loop.run_until(loop.now_s + 10.0)
    assert client.bodies == []
    assert {"first", "last"} <= set(_list_ids(found))
    made = client.calls
    loop.run_until(loop.now_s + 5.0)
    assert client.calls - made > 20
