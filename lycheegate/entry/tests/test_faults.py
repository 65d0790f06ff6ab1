"""Tests of several entry processes that die, pause, drain or lose the store."""

import concurrent.futures
import json
import signal
import time
import uuid

import pytest

from demo import client, deployment
from lycheegate.entry.tests import conftest

PARTITION = "dc1/0"
CONFIRMED_LIMIT_S = 30.0
"""Time for a resumed process to confirm its release, generous for a loaded machine."""


@pytest.fixture
def trio(tmp_path):
    """Three entry VMs, three workers."""
    with conftest.run_deployment(tmp_path, entry_count=3) as running:
        yield running


def _key():
    return uuid.uuid4().hex


def _find_owner(running):
    return running.read_lease(PARTITION)["owner"]


def _list_others(running, vm_id):
    return [name for name in running.entries if name != vm_id]


def _submit(running, vm_id, key, **body):
    address = running.entries[vm_id].address
    return client.call(address, "POST", "/v1/requests", running.tokens[0], body, key)


def _wait_started(running, request_id):
    def is_started():
        return running.count_starts().get(request_id)

    deployment.wait_until(is_started, conftest.LIMIT_S, "start at a worker")


def _wait_taken_over(running, epoch):
    def is_taken_over():
        return running.read_lease(PARTITION)["epoch"] > epoch

    deployment.wait_until(is_taken_over, conftest.LIMIT_S, "takeover")


def test_kill_owner(trio):
    """Guards against requests that are lost or doubled when the owner is killed."""
    owner = _find_owner(trio)
    survivors = _list_others(trio, owner)
    caller = conftest.make_caller(trio, vm_ids=survivors)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        under_way = {
            name: pool.submit(caller.run, _key(), job_class, {"answer": name, "run_s": 1.5})
            for number in range(8)
            for job_class in ["match" if number % 2 else "preview"]
            for name in [f"{job_class}-{number}"]
        }
        deployment.wait_until(
            lambda: len(trio.count_starts()) == 8, conftest.LIMIT_S, "start at workers"
        )
        trio.entries[owner].send_signal(signal.SIGKILL)
        late = caller.run(_key(), "preview", {"answer": "late"})
        ended = {name: future.result() for name, future in under_way.items()}
    assert late.body == b"late"
    assert {name: one.body.decode() for name, one in ended.items()} == {n: n for n in ended}
    starts = trio.count_starts()
    for name, one in ended.items():
        assert name.startswith("preview") or starts[one.request_id] == {0: 1}


def test_recover_accepted_requests(trio):
    """Guards against accepted requests that only their dead owner knew."""
    owner = _find_owner(trio)
    survivor = trio.entries[_list_others(trio, owner)[0]].address
    body = {"class": "match", "payload": {"answer": "kept", "run_s": 1.0}}
    paths = [_submit(trio, owner, _key(), **body).headers["location"] for _ in range(4)]
    trio.entries[owner].send_signal(signal.SIGKILL)
    for path in paths:
        # A status call only reads, so nothing but the recovery can end the request.
        deployment.wait_until(
            lambda path=path: client.call(survivor, "GET", path, trio.tokens[0]).status == 200,
            conftest.LIMIT_S,
            "end of an accepted request",
        )
    assert all(members == {0: 1} for members in trio.count_starts().values())


def test_kill_accepting_vm(trio):
    """Guards against an accepted request that nobody knows after its entry VM has died."""
    accepting = _list_others(trio, _find_owner(trio))[0]
    key = _key()
    body = {"class": "match", "payload": {"answer": "kept", "run_s": 1.0}}
    assert _submit(trio, accepting, key, **body).status == 202
    trio.entries[accepting].send_signal(signal.SIGKILL)
    other = _list_others(trio, accepting)[0]
    reply = _submit(trio, other, key, **body, wait_s=30)
    assert (reply.status, reply.body) == (200, b"kept")
    assert trio.count_starts()[reply.headers["x-request-id"]] == {0: 1}


def test_same_key_at_another_vm(trio):
    """Guards against two ends for one key at two entry VMs."""
    key = _key()
    body = {"class": "match", "payload": {"answer": "once", "run_s": 0.5}, "wait_s": 30}
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = list(
            pool.map(lambda vm_id: _submit(trio, vm_id, key, **body), [*trio.entries] * 2)
        )
    assert [(one.status, one.body) for one in replies] == [(200, b"once")] * 6
    assert trio.count_starts()[replies[0].headers["x-request-id"]] == {0: 1}


def _submit_when_confirmed(trio, vm_id, key, **body):
    """Submits until the VM has confirmed its release; any other refusal is returned at once."""
    deadline_s = time.monotonic() + CONFIRMED_LIMIT_S
    while True:
        reply = _submit(trio, vm_id, key, **body)
        is_unconfirmed = (
            reply.status == 503
            and isinstance(reply.body, dict)
            and reply.body["reason"] == "release_unconfirmed"
        )
        if not is_unconfirmed or time.monotonic() > deadline_s:
            return reply
        time.sleep(0.1)


def test_owner_paused_beyond_its_lease(trio):
    """Guards against orders of an owner that was replaced while it was paused."""
    owner = _find_owner(trio)
    epoch = trio.read_lease(PARTITION)["epoch"]
    survivor = _list_others(trio, owner)[0]
    body = {"class": "match", "payload": {"answer": "once", "run_s": 2.0}}
    key = _key()
    request_id = _submit(trio, survivor, key, **body).body["request_id"]
    _wait_started(trio, request_id)
    trio.entries[owner].send_signal(signal.SIGSTOP)
    _wait_taken_over(trio, epoch)
    ended = conftest.make_caller(trio, vm_ids=[survivor]).run(_key(), "preview", {"answer": "x"})
    assert ended.body == b"x"
    trio.entries[owner].send_signal(signal.SIGCONT)
    reply = _submit(trio, survivor, key, **body, wait_s=30)
    assert (reply.status, reply.body) == (200, b"once")
    # The resumed process serves again, through the new owner.
    reply = _submit_when_confirmed(trio, owner, _key(), **{**body, "wait_s": 30})
    assert (reply.status, reply.body) == (200, b"once")
    assert all(members == {0: 1} for members in trio.count_starts().values())


def test_drain_with_requests_in_flight(trio):
    """Guards against a planned stop that cuts requests or loses a running one."""
    owner = _find_owner(trio)
    body = {"class": "match", "payload": {"answer": "whole", "run_s": 2.5}, "wait_s": 30}
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = [pool.submit(_submit, trio, owner, _key(), **body) for _ in range(6)]
        deployment.wait_until(
            lambda: len(trio.count_starts()) == 6, conftest.LIMIT_S, "start at workers"
        )
        trio.entries[owner].send_signal(signal.SIGTERM)
        deployment.wait_until(
            lambda: not conftest.is_ready(trio.entries[owner], 0), conftest.LIMIT_S, "unready"
        )
        answers = [one.result() for one in replies]
    assert [(one.status, one.body) for one in answers] == [(200, b"whole")] * 6
    assert trio.entries[owner].process.wait(conftest.LIMIT_S) == 0
    assert _find_owner(trio) != owner
    assert trio.table.rows.get("member", owner) is None
    assert all(members == {0: 1} for members in trio.count_starts().values())


def test_table_down_and_back(trio):
    """Guards against work that stops, or is promised falsely, while the store is away."""
    owner = _find_owner(trio)
    key, body = _key(), {"class": "match", "payload": {"answer": "held", "run_s": 1.0}}
    assert _submit(trio, owner, key, **body).status == 202
    trio.table.faults.set(down=True)
    try:

        def is_served_without_record():
            reply = _submit(
                trio, owner, _key(), **{"class": "preview", "payload": {"answer": "v"}, "wait_s": 5}
            )
            return reply.status == 200 and reply.body == b"v"

        deployment.wait_until(is_served_without_record, conftest.LIMIT_S, "idempotent request")
        refused = _submit(trio, owner, _key(), **{"class": "match", "payload": {}, "wait_s": 5})
        assert (refused.status, refused.body["end"]) == (503, "not_run")
        refused = _submit(trio, owner, _key(), **{"class": "preview", "payload": {}})
        assert (refused.status, refused.body["end"]) == (503, "not_run")
    finally:
        trio.table.faults.clear()
    ended = conftest.make_caller(trio).run(key, "match", body["payload"])
    assert ended.body == b"held"
    assert trio.count_starts()[ended.request_id] == {0: 1}


def test_owner_learns_from_a_worker_that_it_was_replaced(trio):
    """Guards against two owners when the lease row cannot be read."""
    owner = _find_owner(trio)
    lease = trio.read_lease(PARTITION)
    for one in trio.workers.values():
        body = json.dumps({"partition": PARTITION, "epoch": lease["epoch"] + 1, "lease_s": 60})
        reply = client.call(one.address, "POST", "/v1/fence", "", body.encode())
        assert reply.status == 200
    reply = _submit(trio, owner, _key(), **{"class": "preview", "payload": {}, "wait_s": 1})
    assert reply.status in (200, 202)
    _wait_taken_over(trio, lease["epoch"])
    deployment.wait_until(
        lambda: (
            trio.read_lease(PARTITION)["epoch"] > lease["epoch"] + 1
            or conftest.make_caller(trio).run(_key(), "preview", {"answer": "y"}).body == b"y"
        ),
        conftest.LIMIT_S,
        "an owner whose orders take effect",
    )


def test_release_is_in_force_everywhere(trio):
    """Guards against an entry VM that goes on with a release that was replaced."""
    note = "base: 1\ncallers: {withdrawn: [stylist]}\n"
    number = conftest.apply_note(trio, note)
    for one in trio.entries.values():
        deployment.wait_until(lambda one=one: conftest.is_ready(one, number), 30, "release")
        reply = client.call(
            one.address, "POST", "/v1/requests", trio.tokens[0], {"class": "preview"}, _key()
        )
        assert reply.status == 401


def _is_stopped(entry) -> bool:
    with open(f"/proc/{entry.process.pid}/stat", encoding="ascii") as stat:
        return stat.read().rpartition(")")[2].split()[0] == "T"


def test_release_without_majority_is_refused(trio):
    """Guards against a release that a majority does not know."""
    address = trio.entries["e0"].address
    for vm_id in ("e1", "e2"):
        trio.entries[vm_id].send_signal(signal.SIGSTOP)
    try:
        for vm_id in ("e1", "e2"):
            # The signal takes effect some time after it was sent; until then the peer answers.
            deployment.wait_until(lambda vm_id=vm_id: _is_stopped(trio.entries[vm_id]), 30, "stop")
        reply = client.call(
            address,
            "POST",
            "/v1/operator/release/apply",
            trio.operator_token,
            b"base: 1\ncallers: {withdrawn: [stylist]}\n",
        )
    finally:
        for vm_id in ("e1", "e2"):
            trio.entries[vm_id].send_signal(signal.SIGCONT)
    assert reply.status == 503, reply
    assert trio.table.rows.get("release", "head").value["number"] == 1


def test_lost_worker(trio):
    """Guards against idempotent work that is lost with its worker."""
    key = _key()
    body = {"class": "preview", "payload": {"answer": "again", "run_s": 3.0}}
    request_id = _submit(trio, "e0", key, **body).body["request_id"]
    _wait_started(trio, request_id)
    (lost,) = [name for name, one in trio.workers.items() if request_id in one.get_starts()]
    trio.workers[lost].stop()
    ended = conftest.make_caller(trio).run(key, "preview", body["payload"])
    assert ended.body == b"again"


def test_unknown_outcome_of_lost_worker(tmp_path):
    """Guards against a lost non-idempotent request that is told as not run or runs again."""
    with conftest.run_deployment(tmp_path, policy={"outcome_wait_s": 1.0}) as running:
        key = _key()
        body = {"class": "match", "payload": {"run_s": 600}}
        request_id = _submit(running, "e0", key, **body).body["request_id"]
        _wait_started(running, request_id)
        (lost,) = [name for name, one in running.workers.items() if request_id in one.get_starts()]
        running.workers[lost].stop()
        ended = conftest.make_caller(running).run(key, "match", body["payload"])
        assert ended.end == "may_have_run"
        assert running.count_starts()[request_id] == {0: 1}
