"""Tests of the partition owner with a scripted scheduling core and a table in memory."""

import queue
import threading

import msgspec
import pytest

from demo import deployment
from lycheegate.clients import http, workers
from lycheegate.clients import table as table_module
from lycheegate.core import commands, events, policy
from lycheegate.entry import answers, owner, partitions, records
from lycheegate.metrics import histograms
from lycheegate.model import releases, requests, resources
from lycheegate.utils import clock, pools
from standins import memory

TIMEOUT_S = 30.0
PARTITION = "dc/0"


def make_record(key="k", **fields):
    """Returns a record of the partition."""
    base = records.Record(
        records.make_request_id("c", key),
        "c",
        "acc",
        "preview",
        0,
        1,
        1,
        resources.Adjacency.RACK,
        True,
        False,
        1000.0,
        PARTITION,
        "digest",
        payload={"x": 1},
    )
    return msgspec.structs.replace(base, **fields)


class ScriptedCore:
    """Stand-in of the scheduling core that records events and returns scripted commands.

    Attributes:
        events: Events received, except ticks.
        replies: Functions that return the commands for an event, by type of event.
    """

    def __init__(self):
        self.events = queue.Queue()
        self.replies = {}

    def decide(self, state, event, now_s):
        """Records an event; returns the commands scripted for its type."""
        if not isinstance(event, events.Tick):
            self.events.put(event)
        reply = self.replies.get(type(event))
        return reply(event) if reply is not None else []

    def wait_for(self, kind):
        """Returns the next event of a type; discards the events before it."""
        while True:
            event = self.events.get(timeout=TIMEOUT_S)
            if isinstance(event, kind):
                return event


@pytest.fixture
def scripted_owner():
    """Scripted core, table, queue of ends, and a function that starts the owner; no workers."""
    script, table, ended = ScriptedCore(), memory.MemoryTable(), queue.Queue()
    client = http.HttpClient("test")
    pool = pools.BoundedPool("table", 4, 64)
    made = []

    def start():
        dependencies = partitions.Dependencies(
            partitions.Core(lambda *_: None, script.decide),
            policy.PolicySettings(),
            table,
            None,
            client,
            workers.WorkerSettings(),
            pool,
            answers.AnswerBudget(1000),
            clock.SystemClock(),
            lambda vm_ids, request_id, end, body: ended.put((sorted(vm_ids), request_id, end)),
            lambda partition, epoch: None,
            lambda partition, epoch: None,
            lambda name: None,
            histograms.Histograms().record,
        )
        made.append(owner.PartitionOwner(PARTITION, 1, dependencies, releases.Release(), {}))
        made[0].start()
        return made[0]

    yield script, table, ended, start
    for partition_owner in made:
        partition_owner.stop(graceful=False)
        partition_owner.join(5.0)
    pool.shutdown(wait=False)
    client.close()


def _submit(started, versioned, repeated=False):
    states = queue.Queue()
    started.submit(partitions.Submission(versioned, "e9", states.put, repeated))
    return states.get(timeout=TIMEOUT_S)


def _make_end_command(event, end=requests.End.NOT_RUN, **fields):
    return [commands.EndRequest(event.request.request_id, end, **fields)]


def test_worker_events_follow_recovered_requests(scripted_owner):
    """Guards against a task that ends during the takeover and counts as running forever."""
    script, table, _, start = scripted_owner
    versioned, _ = records.create(table, make_record()).unwrap()
    release = threading.Event()
    read = table.read
    table.read = lambda *arguments: release.wait(TIMEOUT_S) and read(*arguments)
    started = start()
    started.post(events.TaskFinished("t.0"))
    script.wait_for(events.ReleaseApplied)
    release.set()
    first = script.events.get(timeout=TIMEOUT_S)
    assert isinstance(first, events.RecoveredRequest)
    assert first.request.request_id == versioned.record.request_id
    assert script.events.get(timeout=TIMEOUT_S) == events.TaskFinished("t.0")


def test_malformed_record_does_not_stop_the_takeover(scripted_owner):
    """Guards against a partition that stands still because one record cannot be decoded."""
    script, table, _, start = scripted_owner
    versioned, _ = records.create(table, make_record()).unwrap()
    put = table_module.OperationKind.PUT
    table.transact(
        [
            table_module.Operation(put, records.OPEN, f"{PARTITION}/malformed", {}),
            table_module.Operation(put, records.REQUESTS, "malformed", {"request_id": 1}),
        ]
    ).unwrap()
    started = start()
    recovered = script.wait_for(events.RecoveredRequest).request.request_id
    assert recovered == versioned.record.request_id
    deployment.wait_until(lambda: started._is_recovered, TIMEOUT_S, "recovery")
    assert list(started.open) == [recovered]


def test_attempt_is_in_the_table_before_it_is_reported_as_recorded(scripted_owner):
    """Guards against an order for a non-idempotent request without a recorded attempt."""
    script, table, _, start = scripted_owner
    versioned, _ = records.create(table, make_record(idempotent=False)).unwrap()
    request_id = versioned.record.request_id
    place = resources.MemberPlacement("w", 0, 1)
    script.replies[events.RecoveredRequest] = lambda event: [
        commands.RecordAttempt(request_id, "a-1", (place,))
    ]
    seen = []
    script.replies[events.AttemptRecorded] = lambda event: (
        seen.append(records.read(table, request_id).unwrap().record.attempt) or []
    )
    table.faults.set(lose_answers=1)
    start()
    script.wait_for(events.AttemptRecorded)
    deployment.wait_until(lambda: seen, TIMEOUT_S, "attempt")
    assert seen[0].attempt_id == "a-1"


def test_not_run_is_reported_only_once_it_is_in_the_table(scripted_owner):
    """Guards against a reported refusal that a later owner does not find, so the request runs."""
    script, table, ended, start = scripted_owner
    script.replies[events.RequestSubmitted] = _make_end_command
    started = start()
    deployment.wait_until(lambda: started._is_recovered, TIMEOUT_S, "recovery")
    versioned, _ = records.create(table, make_record()).unwrap()
    table.faults.set(refused=True)
    assert _submit(started, versioned) == "queued"
    with pytest.raises(queue.Empty):
        ended.get(timeout=0.3)
    table.faults.clear()
    vm_ids, request_id, end = ended.get(timeout=TIMEOUT_S)
    assert (vm_ids, request_id, end.end) == (["e9"], versioned.record.request_id, "not_run")
    assert records.read(table, request_id).unwrap().record.end == end


def test_answer_is_sent_while_the_store_is_unreachable(scripted_owner):
    """Guards against complete answers that are held back until the store is reachable."""
    script, table, ended, start = scripted_owner
    outcome = requests.Outcome.OK
    script.replies[events.RequestSubmitted] = lambda event: _make_end_command(
        event, requests.End.ANSWERED, outcome=outcome
    )
    started = start()
    deployment.wait_until(lambda: started._is_recovered, TIMEOUT_S, "recovery")
    versioned, _ = records.create(table, make_record()).unwrap()
    table.faults.set(refused=True)
    _submit(started, versioned)
    assert ended.get(timeout=TIMEOUT_S)[2].outcome is outcome


def test_end_in_the_record_takes_precedence(scripted_owner):
    """Guards against a caller that gets another end than the one in the record."""
    script, table, ended, start = scripted_owner
    script.replies[events.RequestSubmitted] = _make_end_command
    started = start()
    deployment.wait_until(lambda: started._is_recovered, TIMEOUT_S, "recovery")
    versioned, _ = records.create(table, make_record()).unwrap()
    first = records.make_end(commands.EndRequest("r", requests.End.CANCELLED), 1.0, None)
    records.write_end(table, versioned, first).unwrap()
    _submit(started, versioned)
    assert ended.get(timeout=TIMEOUT_S)[2] == first


def test_repeated_submission_of_an_ended_request(scripted_owner):
    """Guards against a second run after the message with the end was lost."""
    script, table, _, start = scripted_owner
    versioned, _ = records.create(table, make_record()).unwrap()
    end = records.make_end(commands.EndRequest("r", requests.End.CANCELLED), 1.0, None)
    records.write_end(table, versioned, end).unwrap()
    started = start()
    deployment.wait_until(lambda: started._is_recovered, TIMEOUT_S, "recovery")
    assert _submit(started, versioned, repeated=True) == "ended"
    assert not any(
        isinstance(event, events.RequestSubmitted) for event in list(script.events.queue)
    )


def test_scheduling_core_gets_the_listed_workers(scripted_owner):
    """Guards against requests that are refused because listed workers have not reported yet."""
    script, _, _, start = scripted_owner
    started = start()
    listed = {
        name: resources.Worker(name, "127.0.0.1:1", "r", "dc", "rack", 8, 8)
        for name in ("w0", "w1")
    }
    started.set_workers(listed, set())
    assert script.wait_for(events.WorkersListed).worker_ids == ("w0", "w1")
    started.set_workers(listed, {"w1"})
    assert script.wait_for(events.WorkersListed).worker_ids == ("w0",)
    started.set_workers({}, set())
    assert script.wait_for(events.WorkersListed).worker_ids == ()


def test_rescan_finds_unsubmitted_request(scripted_owner):
    """Guards against a request whose entry VM failed after it created the record."""
    script, table, _, start = scripted_owner
    started = start()
    deployment.wait_until(lambda: started._is_recovered, TIMEOUT_S, "recovery")
    versioned, _ = records.create(table, make_record()).unwrap()
    started.rescan()
    event = script.wait_for(events.RequestSubmitted)
    assert event.request.request_id == versioned.record.request_id
