"""Tests that deployments without refusals make the same calls to the store as before these existed.

``recorded/without_refusals.json`` holds what ``record_submissions`` and ``record_holder`` returned
with build 18db2c8, which had no refusals. Values of rows are recorded by their hash. A change of
the scheduling on purpose changes the hash of a table of the holder; then ``record_all`` is run
again with a build in which refusals are left out.
"""

import collections
import hashlib
import io
import json
import pathlib
import random

import msgspec
import pytest
import werkzeug.test
from returns import result

from lycheegate.jobs import model
from lycheegate.metrics import jsonlog
from lycheegate.node import callers, node_view, storage, tables, terms
from lycheegate.node.tests import fake_store, simulation
from lycheegate.utils import exceptions

_RECORDED = pathlib.Path(__file__).parent / "recorded" / "without_refusals.json"
_JOB_ID = "5c0e7a21d94b36f8"
_BODY = b'{"spec":"x","steps":[{"count":2,"cpu":100,"estimate-ms":1000}]}'
_LOST = exceptions.OutcomeUnknownError("lost")
_DOWN = exceptions.UnavailableError("429")
_NO_ROWS = storage.ConflictError(())
_CALLS = {
    "new": ((), ("POST",)),
    "repeated": ((), ("POST", "POST")),
    "cancelled": ((), ("DELETE", "POST")),
    "lost": ((_LOST,), ("POST",)),
    "refused by the store": ((_DOWN,) * 3, ("POST", "POST")),
    "lost and refused": ((_LOST,) + (_DOWN,) * 3, ("POST", "POST")),
    "conflict without rows": ((_NO_ROWS,), ("POST",)),
    "conflict without rows after a loss": ((_LOST, _NO_ROWS), ("POST", "POST")),
}


def _hash(value: bytes) -> str:
    return hashlib.sha256(value).hexdigest()[:12]


def _list_entries(transaction: storage.Transaction) -> list:
    def name(key: storage.RowKey) -> str:
        return f"{key.table}/{key.part}/{key.key}"

    return [
        "transact",
        [[name(item.key), item.version] for item in transaction.conditions],
        [[name(item.key), _hash(item.value)] for item in transaction.writes],
        [name(key) for key in transaction.deletes],
    ]


class _RecordingStore:
    """Store that answers at once, first with a list of failures, and records the calls."""

    def __init__(self, failures: tuple, applies_lost: bool):
        self.store = fake_store.FakeStore(
            fake_store.EventLoop(), fake_store.Faults(), random.Random(1)
        )
        self.failures = list(failures)
        self.applies_lost = applies_lost
        self.calls: list = []

    def transact(self, transaction, timeout_s, callback):
        self.calls.append(_list_entries(transaction))
        if not self.failures:
            callback(self.store.apply(transaction))
            return
        failure = self.failures.pop(0)
        if failure is _LOST and self.applies_lost:
            self.store.apply(transaction)
        callback(result.Failure(failure))

    def read(self, table, part, first, end, timeout_s, callback):
        self.calls.append(["read", table, part, first])
        rows = [
            row
            for key, row in self.store.rows.items()
            if (key.table, key.part) == (table, part) and first <= key.key < end
        ]
        callback(result.Success(storage.Page(tuple(rows), False, 1)))


def record_submissions(failures: tuple, methods: tuple, applies_lost: bool) -> list:
    """Returns the calls to the store, answers and log lines of calls for one job."""
    store, lines = _RecordingStore(failures, applies_lost), []
    view = node_view.NodeView(confirmed_at_s=100.0)
    route = model.Route("q", "h.example", "/q/", "s", 1, 3, 3.0, 1.0)
    account = model.Account("acme", frozenset({"k"}))
    view.configuration = model.Configuration(
        1, {"q": route}, {}, {"acme": account}, {"k": "acme"}, 10_000
    )
    beat = tables.encode_heartbeat(tables.Heartbeat(3, False, {"q": 9_000}, 100_000))
    terms.apply_rows(view.term, (storage.Row(tables.HEARTBEAT, beat, 7),), 100.0, 100_000)
    application = callers.CallerApplication(
        store,
        view,
        lambda: 100.0,
        lambda: 5.0,
        jsonlog.JsonLog("vm", lambda: 0.0, lambda data: lines.append(data) or len(data)),
        3.5,
        lambda row: None,
        lambda job_id, timeout_s: None,
        49_152,
    )
    answers = []
    for method in methods:
        body = _BODY if method == "POST" else b""
        response = werkzeug.test.Client(application).open(
            f"/q/{_JOB_ID}",
            method=method,
            base_url="http://h.example",
            input_stream=io.BytesIO(body),
            content_length=len(body),
            headers={"Authorization": "Bearer k"},
        )
        answers.append([response.status_code, response.headers.get("Retry-After"), response.text])
    return [store.calls, answers, [msgspec.json.decode(line) for line in lines]]


def record_holder(count: int) -> list:
    """Returns the writes of a holder by table, and its reads, while a job of many tasks runs."""
    world = simulation.World(1)
    writes, reads = collections.defaultdict(list), set()
    apply, connect = world.store.apply, world.store.connect

    def record_apply(transaction):
        for item in (*transaction.writes, *transaction.conditions):
            value = _hash(item.value) if isinstance(item, storage.Write) else item.version
            writes[item.key.table].append([round(world.loop.now_s, 3), item.key.key, value])
        for key in transaction.deletes:
            writes[key.table].append([round(world.loop.now_s, 3), key.key, None])
        return apply(transaction)

    def record_connect(vm):
        client = connect(vm)
        read = client.read

        def record_read(table, *arguments):
            reads.add(table)
            read(table, *arguments)

        client.read = record_read
        return client

    world.submit(simulation.make_job("1" * 16, model.Step(count, simulation.SMALL, 30.0)))
    world.store.apply, world.store.connect = record_apply, record_connect
    world.claim_term("a")
    world.run(25.0)
    hashes = {table: [len(w), _hash(json.dumps(w).encode())] for table, w in writes.items()}
    return [hashes, sorted(reads)]


def record_all() -> dict:
    """Returns everything that is recorded."""
    submissions = {
        f"{name}, {applies_lost}": record_submissions(*case, applies_lost)
        for name, case in _CALLS.items()
        for applies_lost in (False, True)
    }
    holders = {str(count): record_holder(count) for count in (5, 5_000)}
    return json.loads(json.dumps({"submissions": submissions, "holders": holders}))


@pytest.mark.parametrize("kind", ["submissions", "holders"])
def test_calls_to_the_store_are_those_of_before(kind):
    """Guards against conditions, rows or reads of refusals where no queue asks for these."""
    recorded = json.loads(_RECORDED.read_text(encoding="utf-8"))
    assert record_all()[kind] == recorded[kind]
