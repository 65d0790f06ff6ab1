"""The callers' interface over a fake store."""

import io
import random
import threading
import time

import msgspec
import pytest
import werkzeug.test
from returns import result

from lycheegate.jobs import model, progress
from lycheegate.metrics import jsonlog
from lycheegate.node import callers, node_view, storage, store_calls, tables
from lycheegate.utils import exceptions

_JOB_ID = "5c0e7a21d94b36f8"
MAX_ROW_BYTES = 49_152
MAX_BODY_BYTES = 262_144
_JOB_BODY = b'{"spec":"x","steps":[{"count":2,"cpu":100}]}'


class _Store:
    """Store that answers at once, first with a list of failures."""

    def __init__(self):
        self.rows = {}
        self.failures = []
        self.applied_on_failure = False
        self.calls = 0

    def _fail(self, callback):
        self.calls += 1
        if not self.failures:
            return False
        callback(result.Failure(self.failures.pop(0)))
        return True

    def transact(self, transaction, timeout_s, callback):
        if self.failures and self.applied_on_failure:
            self._apply(transaction)
        if not self._fail(callback):
            callback(self._apply(transaction))

    def _apply(self, transaction):
        for condition in transaction.conditions:
            if condition.version == storage.ABSENT and condition.key in self.rows:
                return result.Failure(storage.ConflictError((self.rows[condition.key],)))
        for write in transaction.writes:
            self.rows[write.key] = storage.Row(write.key, write.value, 1)
        return result.Success(1)

    def read(self, table, part, first, end, timeout_s, callback):
        if self._fail(callback):
            return
        rows = tuple(r for k, r in self.rows.items() if k.table == table and first <= k.key < end)
        callback(result.Success(storage.Page(rows, False, 1)))


def _make_application(confirmed_at_s=100.0, clock=lambda: 100.0):
    """Returns a store, a view, the application, and the rows of which it notified the scheduler."""
    store = _Store()
    view = node_view.NodeView(confirmed_at_s=confirmed_at_s)
    route = model.Route("q", "h.example", "/q/", "s", 1, 3, 3.0, 1.0)
    public = model.Route("p", "h.example", "/open/", "s", 1, 3, 3.0, 1.0, True)
    account = model.Account("acme", frozenset({"k"}))
    view.configuration = model.Configuration(
        1, {"q": route, "p": public}, {}, {"acme": account}, {"k": "acme"}, MAX_BODY_BYTES
    )
    rows, holder_statuses = [], {}
    application = callers.CallerApplication(
        store,
        view,
        clock,
        lambda: 5.0,
        jsonlog.JsonLog("vm", lambda: 0.0, len),
        3.5,
        rows.append,
        lambda job_id, timeout_s: holder_statuses.get(job_id),
        MAX_ROW_BYTES,
    )
    application.holder_statuses = holder_statuses
    return store, view, application, rows


def _call(application, method, path=f"/q/{_JOB_ID}", body=b"", key="k", host="h.example"):
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    client = werkzeug.test.Client(application)
    return client.open(
        path,
        method=method,
        base_url=f"http://{host}",
        input_stream=io.BytesIO(body),
        content_length=len(body),
        headers=headers,
    )


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({}, 200),
        ({"key": None}, 401),
        ({"key": "unknown"}, 401),
        ({"path": f"/open/{_JOB_ID}", "key": None}, 200),
        ({"path": f"/none/{_JOB_ID}"}, 404),
        ({"host": "other.example"}, 404),
        ({"path": "/q/not-an-id"}, 404),
        ({"body": b"{}"}, 400),
        ({"body": b"x" * (MAX_BODY_BYTES + 1)}, 413),
    ],
)
def test_submit(fields, status):
    """Guards against accepting an unauthorized or invalid job, and against refusing a valid one."""
    store, _, application, rows = _make_application()
    response = _call(application, "POST", **{"body": _JOB_BODY, **fields})
    assert response.status_code == status
    assert len(rows) == (status == 200)
    assert bool(store.rows) == (status == 200)


@pytest.mark.parametrize(
    ("body", "is_timed"),
    [
        (_JOB_BODY, False),
        (_JOB_BODY[:-1] + b',"start-at-ms":9000}', False),
        (_JOB_BODY[:-1] + b',"start-at-ms":9000,"interval-ms":1000,"repeats":3}', True),
    ],
)
def test_log_line_of_an_accepted_job(body, is_timed):
    """Guards against a timed job that counts as standing still between its occurrences."""
    _, _, application, _ = _make_application()
    lines = []
    application._log = jsonlog.JsonLog(
        "vm", lambda: 0.0, lambda data: lines.append(data) or len(data)
    )
    assert _call(application, "POST", body=body).status_code == 200
    (record,) = map(msgspec.json.decode, lines)
    assert (record["event"], record["job"]) == ("job_accepted", _JOB_ID)
    assert (record["timed"], record["tasks"]) == (is_timed, 2)


@pytest.mark.parametrize("is_late", [False, True])
def test_submission_after_its_cancellation(is_late):
    """Guards against a job that runs for good although its caller was told that it does not exist.

    Its submission waits in a suspended VM, or in a call that the store executes later.
    """
    store, _, application, rows = _make_application()
    if is_late:
        transactions = []
        transact, store.transact = store.transact, lambda t, s, done: transactions.append((t, done))
        thread = threading.Thread(
            target=_call, args=(application, "POST"), kwargs={"body": _JOB_BODY}
        )
        thread.start()
        while not transactions:
            time.sleep(0.001)
        store.transact = transact
    assert _call(application, "DELETE").status_code == 410
    if is_late:
        transaction, done = transactions.pop()
        done(store._apply(transaction))
        thread.join(10.0)
    response = _call(application, "POST", body=_JOB_BODY)
    assert response.status_code == 410
    assert "cancelled before" in response.text
    assert set(store.rows) == {tables.get_cancel_key(_JOB_ID)}
    assert {row.key for row in rows} == {tables.get_cancel_key(_JOB_ID)}


def test_conflict_without_rows_is_no_refusal():
    """Guards against 410 for a submission that may have been stored.

    Its first answer was lost, and the store does not tell what the repeated one conflicts with.
    """
    store, _, application, _ = _make_application()
    store.failures = [_LOST, storage.ConflictError(())]
    store.applied_on_failure = True
    assert _call(application, "POST", body=_JOB_BODY).status_code == 200


@pytest.mark.parametrize(
    ("failure", "status"),
    [(exceptions.UnavailableError("429"), 503), (exceptions.OutcomeUnknownError("lost"), 504)],
)
def test_cancellation_of_an_unknown_job_that_is_not_stored(failure, status):
    """Guards against 410 for a cancellation that does not bind a submission on its way."""
    store, _, application, _ = _make_application()
    store.transact = lambda transaction, timeout_s, callback: callback(result.Failure(failure))
    clock = iter(range(100, 10_000))
    application._now_s = lambda: float(next(clock)) / 10.0 + 90.0
    assert _call(application, "DELETE").status_code == status
    assert store.rows == {}


def _make_body(steps: list[dict]) -> bytes:
    return msgspec.json.encode({"spec": "x", "steps": steps})


@pytest.mark.parametrize(
    ("steps", "status", "text"),
    [
        ([{"cpu": 100, "depends-on": [n - 1] if n else []} for n in range(3_000)], 200, ""),
        ([{"count": 50_000}, {"count": 50_000}], 200, ""),
        (
            [{"count": 50_000}, {"count": 50_001}],
            400,
            "at most 100000 tasks in all steps, got 100001",
        ),
        ([{"count": 100_001}], 400, "between 1 and 100000, got 100001"),
        (
            [{"requirements": f"{random.Random(n).getrandbits(256):064x}"} for n in range(2_000)],
            413,
            "at most 49152 bytes to store, got",
        ),
    ],
)
def test_submission_of_a_large_job(steps, status, text):
    """Guards against a job that is accepted or answered with 504 although no row can hold it.

    The store rejects its record, and the caller sends it again until it gives up.
    """
    store, _, application, rows = _make_application()
    response = _call(application, "POST", body=_make_body(steps))
    assert response.status_code == status
    assert text in response.text
    assert len(rows) == len(store.rows) == (status == 200)
    for row in store.rows.values():
        assert len(row.value) <= MAX_ROW_BYTES
        job = progress.decode_accepted(_JOB_ID, row.value).job
        assert [step.count for step in job.steps] == [step.get("count", 1) for step in steps]
        assert [list(step.depends_on) for step in job.steps] == [
            step.get("depends-on", []) for step in steps
        ]


def test_repeated_submission_is_idempotent():
    """Guards against a second job from a repeated submission."""
    store, _, application, rows = _make_application()
    assert [_call(application, "POST", body=_JOB_BODY).status_code for _ in range(3)] == [200] * 3
    assert len(rows) == 1


@pytest.mark.parametrize("confirmed_at_s", [0.0, 96.0])
def test_unconfirmed_configuration_is_refused(confirmed_at_s):
    """Guards against a revoked key that is accepted by a VM which cannot reach the store."""
    _, _, application, _ = _make_application(confirmed_at_s=confirmed_at_s)
    response = _call(application, "POST", body=_JOB_BODY)
    assert response.status_code == 503
    assert response.headers["Retry-After"]


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize("is_stored", [False, True])
def test_unexpected_error_is_answered_as_unknown(method, is_stored):
    """Guards against a 500 for a call that may have taken effect, after which callers give up."""
    store, _, application, _ = _make_application()
    lines = []
    application._log = jsonlog.JsonLog(
        "vm", lambda: 0.0, lambda data: lines.append(data) or len(data)
    )
    if is_stored:
        application._notify = lambda row: 1 // 0
        if method != "POST":
            assert _call(application, "POST", body=_JOB_BODY).status_code == 504
    else:
        store.read = store.transact = lambda *args: 1 // 0
    response = _call(application, method, body=_JOB_BODY if method == "POST" else b"")
    expected = 200 if is_stored and method == "GET" else 504
    assert response.status_code == expected
    if expected == 504:
        assert b'"event":"call_failed"' in lines[-1]
        assert _JOB_ID.encode() in lines[-1]
        assert b"ZeroDivisionError" in lines[-1]
        assert b'"place":"lycheegate/node/tests/test_callers.py:' in lines[-1]


_REFUSED = exceptions.UnavailableError("429")
_LOST = exceptions.OutcomeUnknownError("no answer within 0.7 s")


@pytest.mark.parametrize(
    ("failures", "applied", "status"),
    [
        ([_REFUSED], False, 200),
        ([_REFUSED] * 9, False, 503),
        ([_LOST], False, 200),
        ([_LOST], True, 200),
        # The first call may have taken effect, so the later refusals must not refuse the job.
        ([_LOST] + [_REFUSED] * 9, False, 504),
        ([_LOST] + [_REFUSED] * 9, True, 504),
    ],
)
def test_submit_while_the_store_fails(failures, applied, status):
    """Guards against refusing a job that was stored, and against storing a job twice."""
    store, _, application, _ = _make_application()
    store.failures = list(failures)
    store.applied_on_failure = applied
    assert _call(application, "POST", body=_JOB_BODY).status_code == status


@pytest.mark.parametrize(
    ("failures", "status"),
    [
        # The store resets the connections of some VMs for seconds; each call fails at once.
        ([_LOST] * 9, 200),
        ([_LOST, _REFUSED, _REFUSED] * 4, 200),
        ([_LOST] * 9 + [_REFUSED] * 3, 504),
    ],
    ids=["resets", "resets_and_refusals", "resets_then_down"],
)
@pytest.mark.parametrize("applied", [False, True])
def test_lost_answers_are_resolved_within_the_time_limit(failures, applied, status, monkeypatch):
    """Guards against an unknown outcome that a repetition of the call would have resolved.

    Load pattern: the store resets connections. Callers cannot repeat a call with an unknown
    outcome, so a VM that gives up after four resets within 60 ms loses the job.
    """
    monkeypatch.setattr(store_calls, "MAX_LOST_ANSWER_PAUSE_S", 0.001)
    store, _, application, _ = _make_application()
    store.failures = list(failures)
    store.applied_on_failure = applied
    assert _call(application, "POST", body=_JOB_BODY).status_code == status
    assert store.failures == []


@pytest.mark.parametrize(("failure", "status"), [(_REFUSED, 503), (_LOST, 504)])
def test_time_limit_reached(failure, status):
    """Guards against a job that was only ever refused and is reported as possibly stored."""
    now_s = [100.0]
    store, _, application, _ = _make_application(clock=lambda: now_s[0])

    def fail_slowly(callback):
        now_s[0] += 2.0
        callback(result.Failure(failure))
        return True

    store._fail = fail_slowly
    assert _call(application, "POST", body=_JOB_BODY).status_code == status
    assert store.rows == {}


def test_status_and_cancel():
    """Guards against wrong answers about a job that is unknown, queued or being cancelled."""
    store, _, application, rows = _make_application()
    unknown = f"/q/{'0' * 16}"
    assert _call(application, "GET", unknown).status_code == 410
    assert _call(application, "DELETE", unknown).status_code == 410
    assert _call(application, "GET").status_code == 410
    rows.clear()
    _call(application, "POST", body=_JOB_BODY)
    assert msgspec.json.decode(_call(application, "GET").data) == {"state": "queued"}
    assert _call(application, "DELETE").status_code == 200
    assert tables.get_cancel_key(_JOB_ID) in store.rows
    assert rows[-1].key == tables.get_cancel_key(_JOB_ID)


def test_pending_count():
    """Guards against the count of another queue."""
    _, view, application, _ = _make_application()
    view.term.heartbeat = tables.Heartbeat(1, False, {"q": 4, "p": 1})
    assert msgspec.json.decode(_call(application, "GET", "/q/").data) == {"pending": 4}


def test_draining_closes_connections():
    """Guards against callers that keep connections to a process that is about to exit."""
    _, view, application, _ = _make_application()
    view.drain_ends_s = 104.0
    assert _call(application, "GET").headers["Connection"] == "close"


@pytest.mark.parametrize(
    ("remaining_s", "calls", "status"),
    # Without a store call the job is certainly not stored, so the response is a refusal.
    [(0.0, 0, 503), (0.5, 1, 504)],
)
def test_drain_limits_calls(remaining_s, calls, status):
    """Guards against a call that gets no response because its store calls outlast the process."""
    now_s = [100.0]
    store, view, application, _ = _make_application(clock=lambda: now_s[0])
    view.drain_ends_s = 100.0 + remaining_s

    def lose_answer(callback):
        now_s[0] += 1.0
        store.calls += 1
        callback(result.Failure(_LOST))
        return True

    store._fail = lose_answer
    assert _call(application, "POST", body=_JOB_BODY).status_code == status
    assert store.calls == calls


def test_store_client_without_answer(monkeypatch):
    """Guards against a thread that waits forever for the store client."""
    store, _, application, _ = _make_application()
    monkeypatch.setattr(store, "read", lambda *args: None)
    monkeypatch.setattr(threading.Event, "wait", lambda self, timeout=None: False)
    assert _call(application, "GET").status_code == 503


@pytest.mark.parametrize(
    ("holder_status", "status", "body"),
    [
        (progress.JobStatus(model.Outcome.SUCCEEDED, True), 200, {"state": "succeeded"}),
        (progress.JobStatus(None, True), 200, {"state": "running"}),
        (None, 503, None),
    ],
)
def test_status_while_the_store_is_unreachable(holder_status, status, body):
    """Guards against refusing a status that the holder knows, and against a guessed status.

    Load pattern: callers poll their jobs throughout an outage of the store.
    """
    store, _, application, _ = _make_application()
    store.failures = [exceptions.UnavailableError("store unreachable")] * 9
    if holder_status is not None:
        application.holder_statuses[_JOB_ID] = holder_status
    response = _call(application, "GET")
    assert response.status_code == status
    if body is not None:
        assert msgspec.json.decode(response.data) == body


def test_job_is_queued_before_its_first_progress():
    """Guards against an accepted job that is reported as unknown until its first start."""
    _, _, application, _ = _make_application()
    assert _call(application, "GET").status_code == 410
    assert _call(application, "POST", body=_JOB_BODY).status_code == 200
    assert msgspec.json.decode(_call(application, "GET").data) == {"state": "queued"}
