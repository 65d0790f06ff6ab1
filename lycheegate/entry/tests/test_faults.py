"""Tests of entry processes that are killed, suspended or drained, or cannot reach the store."""

import concurrent.futures
import json
import signal
import time
import uuid

import pytest

from demo import client, deployment
from lycheegate.entry.tests import conftest

PARTITION = "dc1/0"
ADMISSION_TIMEOUT_S = 30.0
"""Time for an entry VM to learn the owner and confirm its release; ample for a loaded machine."""

TEMPORARY_REFUSALS = ("no_owner", "release_unconfirmed")
"""Reasons for which an entry VM that serves refuses any request for a short time. A peer learns a
new owner from its next heartbeat, and while a partition is handed over it has no owner."""


@pytest.fixture
def three_vms(tmp_path, request):
    """Deployment of three entry VMs and three workers."""
    with (
        conftest.run_deployment(tmp_path, entry_count=3) as running,
        conftest.print_logs_after_failure(running, request),
    ):
        yield running


def _make_key():
    return uuid.uuid4().hex


def _find_owner(running):
    return running.read_lease(PARTITION)["owner"]


def _list_others(running, vm_id):
    return [name for name in running.entries if name != vm_id]


def _submit(running, vm_id, key, **body):
    address = running.entries[vm_id].address
    return client.call(address, "POST", "/v1/requests", running.tokens[0], body, key)


def _submit_when_admitted(running, vm_id, key, **body):
    """Submits until the entry VM does not refuse temporarily; returns the last response.

    Each temporary refusal must report that the call has started nothing.
    """
    deadline_s = time.monotonic() + ADMISSION_TIMEOUT_S
    while True:
        reply = _submit(running, vm_id, key, **body)
        is_temporary = (
            reply.status == 503
            and isinstance(reply.body, dict)
            and reply.body["reason"] in TEMPORARY_REFUSALS
        )
        if not is_temporary:
            return reply
        assert (reply.body["end"], reply.body["covers"]) == ("not_run", "call"), reply
        if time.monotonic() > deadline_s:
            return reply
        time.sleep(0.1)


def _submit_and_wait_until_started(running, vm_id, key, **body):
    """Waits until a request is accepted and has started at a worker; returns its identifier."""
    reply = _submit_when_admitted(running, vm_id, key, **body)
    assert reply.status == 202, reply
    request_id = reply.body["request_id"]

    def is_started():
        return running.count_starts().get(request_id)

    deployment.wait_until(is_started, conftest.TIMEOUT_S, f"start of {request_id} at a worker")
    return request_id


def _wait_until_taken_over(running, epoch):
    def is_taken_over():
        return running.read_lease(PARTITION)["epoch"] > epoch

    deployment.wait_until(is_taken_over, conftest.TIMEOUT_S, "takeover")


def test_requests_survive_kill_of_owner(three_vms):
    """Guards against requests that are lost or run twice when the owner is killed."""
    owner = _find_owner(three_vms)
    survivors = _list_others(three_vms, owner)
    caller = conftest.make_caller(three_vms, vm_ids=survivors)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        under_way = {
            name: pool.submit(caller.run, _make_key(), job_class, {"answer": name, "run_s": 1.5})
            for number in range(8)
            for job_class in ["match" if number % 2 else "preview"]
            for name in [f"{job_class}-{number}"]
        }
        deployment.wait_until(
            lambda: len(three_vms.count_starts()) == 8, conftest.TIMEOUT_S, "start at workers"
        )
        three_vms.entries[owner].send_signal(signal.SIGKILL)
        late = caller.run(_make_key(), "preview", {"answer": "late"})
        ended = {name: future.result() for name, future in under_way.items()}
    assert late.body == b"late"
    assert {name: reply.body.decode() for name, reply in ended.items()} == {n: n for n in ended}
    starts = three_vms.count_starts()
    for name, reply in ended.items():
        assert name.startswith("preview") or starts[reply.request_id] == {0: 1}


def test_accepted_requests_are_recovered(three_vms):
    """Guards against accepted requests that are lost with their owner, which was killed."""
    accepting = _find_owner(three_vms)
    body = {"class": "match", "payload": {"answer": "kept", "run_s": 1.0}}
    replies = [_submit_when_admitted(three_vms, accepting, _make_key(), **body) for _ in range(4)]
    assert [reply.status for reply in replies] == [202] * 4, replies
    paths = [reply.headers["location"] for reply in replies]
    # The partition may have been handed over since, and the test must kill its current owner.
    owner = _find_owner(three_vms)
    survivor = three_vms.entries[_list_others(three_vms, owner)[0]].address
    three_vms.entries[owner].send_signal(signal.SIGKILL)
    for path in paths:
        # A status call only reads, so nothing but the recovery can end the request.
        deployment.wait_until(
            lambda path=path: client.call(survivor, "GET", path, three_vms.tokens[0]).status == 200,
            conftest.TIMEOUT_S,
            "end of an accepted request",
        )
    request_ids = [reply.body["request_id"] for reply in replies]
    assert three_vms.count_starts() == {name: {0: 1} for name in request_ids}


def test_accepted_request_survives_kill_of_accepting_vm(three_vms):
    """Guards against an accepted request that is lost with the entry VM that accepted it."""
    accepting = _list_others(three_vms, _find_owner(three_vms))[0]
    key = _make_key()
    body = {"class": "match", "payload": {"answer": "kept", "run_s": 1.0}}
    assert _submit_when_admitted(three_vms, accepting, key, **body).status == 202
    three_vms.entries[accepting].send_signal(signal.SIGKILL)
    other = _list_others(three_vms, accepting)[0]
    reply = _submit_when_admitted(three_vms, other, key, **body, wait_s=30)
    assert (reply.status, reply.body) == (200, b"kept"), reply
    assert three_vms.count_starts()[reply.headers["x-request-id"]] == {0: 1}


def test_same_key_at_another_vm(three_vms):
    """Guards against two ends for one idempotency key that is used at several entry VMs."""
    key = _make_key()
    body = {"class": "match", "payload": {"answer": "once", "run_s": 0.5}, "wait_s": 30}
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = list(
            pool.map(
                lambda vm_id: _submit_when_admitted(three_vms, vm_id, key, **body),
                [*three_vms.entries] * 2,
            )
        )
    assert [(reply.status, reply.body) for reply in replies] == [(200, b"once")] * 6
    assert three_vms.count_starts()[replies[0].headers["x-request-id"]] == {0: 1}


def test_owner_paused_beyond_its_lease(three_vms):
    """Guards against orders of an owner that was replaced while it was suspended."""
    peer = _list_others(three_vms, _find_owner(three_vms))[0]
    body = {"class": "match", "payload": {"answer": "once", "run_s": 2.0}}
    key = _make_key()
    request_id = _submit_and_wait_until_started(three_vms, peer, key, **body)
    # The partition may have been handed over since, and the test must suspend its current owner.
    lease = three_vms.read_lease(PARTITION)
    owner, epoch = lease["owner"], lease["epoch"]
    survivor = _list_others(three_vms, owner)[0]
    three_vms.entries[owner].send_signal(signal.SIGSTOP)
    _wait_until_taken_over(three_vms, epoch)
    ended = conftest.make_caller(three_vms, vm_ids=[survivor]).run(
        _make_key(), "preview", {"answer": "x"}
    )
    assert ended.body == b"x"
    three_vms.entries[owner].send_signal(signal.SIGCONT)
    reply = _submit_when_admitted(three_vms, survivor, key, **body, wait_s=30)
    assert (reply.status, reply.body) == (200, b"once"), reply
    # The resumed process serves again, through the new owner. A worker may tell it that it was
    # replaced before a heartbeat names the new owner; until then it refuses with no_owner.
    # It may accept the first request while it takes itself for the owner, but not the second.
    body["wait_s"] = 30
    request_ids = [request_id, ended.request_id]
    for _ in range(2):
        reply = _submit_when_admitted(three_vms, owner, _make_key(), **body)
        assert (reply.status, reply.body) == (200, b"once"), reply
        request_ids.append(reply.headers["x-request-id"])
    assert three_vms.count_starts() == {name: {0: 1} for name in request_ids}


def test_refusal_before_the_first_owner(tmp_path):
    """Guards against a request that is refused without an owner, and runs or blocks its key.

    The entry VM is ready, but knows no partition until it has read the VM list.
    """
    workers = {"w0": conftest.PLACE}
    entries = {"e0": conftest.PLACE}
    with deployment.deploy(
        tmp_path, entries, workers, conftest.JOB_CLASSES, start=False
    ) as running:
        running.vms.faults.set(refused=True)
        running.start_entry("e0").wait_until_listening()
        conftest.put_release_in_force(running)
        conftest.wait_until_ready(running)
        key, body = _make_key(), {"class": "match", "payload": {"answer": "once"}}
        reply = _submit(running, "e0", key, **body)
        assert (reply.status, reply.body["reason"]) == (503, "no_owner")
        assert (reply.body["end"], reply.body["covers"]) == ("not_run", "call")
        assert running.table.rows.list_rows("request") == []
        running.vms.faults.clear()
        request_id = _submit_and_wait_until_started(running, "e0", key, **body)
        assert running.count_starts() == {request_id: {0: 1}}


def test_drain_with_requests_in_flight(three_vms):
    """Guards against a drain that aborts waiting calls or loses running requests."""
    owner = _find_owner(three_vms)
    body = {"class": "match", "payload": {"answer": "whole", "run_s": 2.5}, "wait_s": 30}
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = [
            pool.submit(_submit_when_admitted, three_vms, owner, _make_key(), **body)
            for _ in range(6)
        ]
        deployment.wait_until(
            lambda: len(three_vms.count_starts()) == 6, conftest.TIMEOUT_S, "start at workers"
        )
        three_vms.entries[owner].send_signal(signal.SIGTERM)
        deployment.wait_until(
            lambda: not conftest.is_ready(three_vms.entries[owner], 0),
            conftest.TIMEOUT_S,
            "unready",
        )
        answers = [future.result() for future in replies]
    assert [(reply.status, reply.body) for reply in answers] == [(200, b"whole")] * 6
    assert three_vms.entries[owner].process.wait(conftest.TIMEOUT_S) == 0
    assert _find_owner(three_vms) != owner
    assert three_vms.table.rows.get("member", owner) is None
    request_ids = [reply.headers["x-request-id"] for reply in answers]
    assert three_vms.count_starts() == {name: {0: 1} for name in request_ids}


def test_table_outage(three_vms):
    """Guards against idempotent work that stops during an outage of the table service.

    It must run without a record for a waiting caller. Other requests must be refused as not run
    rather than accepted, and those accepted before the outage must still be answered.
    """
    owner = _find_owner(three_vms)
    key, body = _make_key(), {"class": "match", "payload": {"answer": "held", "run_s": 1.0}}
    assert _submit_when_admitted(three_vms, owner, key, **body).status == 202
    three_vms.table.faults.set(down=True)
    try:

        def is_served_without_record():
            reply = _submit(
                three_vms,
                owner,
                _make_key(),
                **{"class": "preview", "payload": {"answer": "v"}, "wait_s": 5},
            )
            return reply.status == 200 and reply.body == b"v"

        deployment.wait_until(is_served_without_record, conftest.TIMEOUT_S, "idempotent request")
        refused = _submit(
            three_vms, owner, _make_key(), **{"class": "match", "payload": {}, "wait_s": 5}
        )
        assert (refused.status, refused.body["end"]) == (503, "not_run")
        refused = _submit(three_vms, owner, _make_key(), **{"class": "preview", "payload": {}})
        assert (refused.status, refused.body["end"]) == (503, "not_run")
    finally:
        three_vms.table.faults.clear()
    ended = conftest.make_caller(three_vms).run(key, "match", body["payload"])
    assert ended.body == b"held"
    assert three_vms.count_starts()[ended.request_id] == {0: 1}


def test_owner_stops_after_workers_have_seen_a_newer_epoch(three_vms):
    """Guards against two owners when a replaced owner cannot read the lease row.

    Its workers have seen a newer epoch and reject its orders, which must make it stop.
    """
    owner = _find_owner(three_vms)
    lease = three_vms.read_lease(PARTITION)
    for worker in three_vms.workers.values():
        body = json.dumps({"partition": PARTITION, "epoch": lease["epoch"] + 1, "lease_s": 60})
        reply = client.call(worker.address, "POST", "/v1/fence", "", body.encode())
        assert reply.status == 200
    reply = _submit_when_admitted(
        three_vms, owner, _make_key(), **{"class": "preview", "payload": {}, "wait_s": 1}
    )
    assert reply.status in (200, 202), reply
    _wait_until_taken_over(three_vms, lease["epoch"])
    deployment.wait_until(
        lambda: (
            three_vms.read_lease(PARTITION)["epoch"] > lease["epoch"] + 1
            or conftest.make_caller(three_vms).run(_make_key(), "preview", {"answer": "y"}).body
            == b"y"
        ),
        conftest.TIMEOUT_S,
        "owner whose orders are accepted",
    )


def test_release_is_in_force_everywhere(three_vms):
    """Guards against an entry VM that keeps using an outdated release."""
    note = "base: 1\ncallers: {withdrawn: [stylist]}\n"
    number = conftest.apply_note(three_vms, note)
    for entry in three_vms.entries.values():
        deployment.wait_until(lambda entry=entry: conftest.is_ready(entry, number), 30, "release")
        reply = client.call(
            entry.address,
            "POST",
            "/v1/requests",
            three_vms.tokens[0],
            {"class": "preview"},
            _make_key(),
        )
        assert reply.status == 401


def _is_stopped(entry) -> bool:
    with open(f"/proc/{entry.process.pid}/stat", encoding="ascii") as stat:
        return stat.read().rpartition(")")[2].split()[0] == "T"


def test_release_without_majority_is_refused(three_vms):
    """Guards against a release that is accepted without the acknowledgement of a majority."""
    address = three_vms.entries["e0"].address
    for vm_id in ("e1", "e2"):
        three_vms.entries[vm_id].send_signal(signal.SIGSTOP)
    try:
        for vm_id in ("e1", "e2"):
            # The signal takes effect some time after it was sent; until then the peer replies.
            deployment.wait_until(
                lambda vm_id=vm_id: _is_stopped(three_vms.entries[vm_id]), 30, "stop"
            )
        reply = client.call(
            address,
            "POST",
            "/v1/operator/release/apply",
            three_vms.operator_token,
            b"base: 1\ncallers: {withdrawn: [stylist]}\n",
        )
    finally:
        for vm_id in ("e1", "e2"):
            three_vms.entries[vm_id].send_signal(signal.SIGCONT)
    assert reply.status == 503, reply
    assert three_vms.table.rows.get("release", "head").value["number"] == 1


def test_lost_worker(three_vms):
    """Guards against idempotent work that is lost with its worker."""
    key = _make_key()
    body = {"class": "preview", "payload": {"answer": "again", "run_s": 3.0}}
    request_id = _submit_and_wait_until_started(three_vms, "e0", key, **body)
    (lost,) = [
        name for name, worker in three_vms.workers.items() if request_id in worker.get_starts()
    ]
    three_vms.workers[lost].stop()
    ended = conftest.make_caller(three_vms).run(key, "preview", body["payload"])
    assert ended.body == b"again"


def test_unknown_outcome_of_lost_worker(tmp_path):
    """Guards against a lost non-idempotent request that is reported as not run or runs again."""
    with conftest.run_deployment(tmp_path, policy={"outcome_wait_s": 1.0}) as running:
        key = _make_key()
        body = {"class": "match", "payload": {"run_s": 600}}
        request_id = _submit_and_wait_until_started(running, "e0", key, **body)
        (lost,) = [
            name for name, worker in running.workers.items() if request_id in worker.get_starts()
        ]
        running.workers[lost].stop()
        ended = conftest.make_caller(running).run(key, "match", body["payload"])
        assert ended.end == "may_have_run"
        assert running.count_starts()[request_id] == {0: 1}
