"""End-to-end tests from caller to worker, with one entry process."""

import concurrent.futures
import http.client
import json
import socket
import time
import uuid

import pytest

from demo import client, deployment
from lycheegate.entry import server
from lycheegate.entry.tests import conftest


def _make_key():
    return uuid.uuid4().hex


def _call(running, method, path, body=None, key=None, number=0):
    address = running.entries["e0"].address
    return client.call(address, method, path, running.tokens[number], body, key)


def _submit(running, key=None, number=0, **body):
    return _call(running, "POST", "/v1/requests", body, key or _make_key(), number)


def _get_starts(running, request_id):
    return running.count_starts().get(request_id, {})


@pytest.mark.parametrize("job_class", ["preview", "match", "batch", "gang"])
def test_answer(single_vm, job_class):
    """Guards against a request that gets another answer than its own, or runs twice."""
    ended = conftest.make_caller(single_vm).run(_make_key(), job_class, {"answer": "teal"})
    assert (ended.end, ended.outcome, ended.body) == ("answered", "ok", b"teal")
    members = 2 if job_class == "gang" else 1
    assert _get_starts(single_vm, ended.request_id) == dict.fromkeys(range(members), 1)


def test_same_key_gives_the_same_end(single_vm):
    """Guards against a second run of a request that was submitted twice."""
    key = _make_key()
    first = _submit(single_vm, key, **{"class": "match", "payload": {"answer": "a"}, "wait_s": 10})
    second = _submit(single_vm, key, **{"class": "match", "payload": {"answer": "a"}})
    assert (first.status, second.status, second.body) == (200, 200, b"a")
    assert _get_starts(single_vm, first.headers["x-request-id"]) == {0: 1}


def test_key_of_another_request_is_refused(single_vm):
    """Guards against an answer to another request under the same key."""
    key = _make_key()
    _submit(single_vm, key, **{"class": "preview", "payload": {"answer": "a"}, "wait_s": 10})
    reply = _submit(single_vm, key, **{"class": "preview", "payload": {"answer": "b"}})
    assert (reply.status, reply.body["reason"]) == (400, "key_reused")


def test_answer_of_failed_job(single_vm):
    """Guards against a failure that is reported as an answer or as not run."""
    body = {"class": "match", "payload": {"fail": "no cleaner"}, "wait_s": 20}
    reply = _submit(single_vm, **body)
    assert (reply.status, reply.body["outcome"]) == (422, "failed")


@pytest.mark.parametrize("size_bytes", [8192, 8193, 300_000])
def test_large_payload_and_answer(single_vm, size_bytes):
    """Guards against payloads and answers that are lost or truncated above the inline limit."""
    payload = {"answer": "x" * size_bytes}
    reply = _submit(single_vm, **{"class": "preview", "payload": payload, "wait_s": 20})
    assert (reply.status, reply.body) == (200, b"x" * size_bytes)


def test_collect_later(single_vm):
    """Guards against an accepted request whose answer cannot be collected."""
    reply = _submit(single_vm, **{"class": "preview", "payload": {"answer": "z", "run_s": 0.3}})
    assert (reply.status, reply.body["end"]) == (202, None)
    path = reply.headers["location"]
    answer = _call(single_vm, "GET", f"{path}/answer?wait_s=20")
    assert (answer.status, answer.body) == (200, b"z")
    status = _call(single_vm, "GET", path)
    assert (status.status, status.body["outcome"]) == (200, "ok")


def test_request_of_another_caller_is_hidden(single_vm):
    """Guards against answers that are disclosed to another caller."""
    reply = _submit(single_vm, **{"class": "preview", "payload": {"answer": "z"}, "wait_s": 10})
    path = f"/v1/requests/{reply.headers['x-request-id']}"
    for method, suffix in (("GET", ""), ("GET", "/answer"), ("DELETE", "")):
        assert _call(single_vm, method, path + suffix, number=1).status == 404


def test_cancel(single_vm):
    """Guards against a cancelled request that keeps running, or whose end changes."""
    reply = _submit(single_vm, **{"class": "preview", "payload": {"run_s": 600}})
    path = reply.headers["location"]
    assert _call(single_vm, "DELETE", path).status in (202, 409)
    answer = _call(single_vm, "GET", f"{path}/answer?wait_s=30")
    assert (answer.status, answer.body["end"]) == (409, "cancelled")


@pytest.mark.parametrize("fault", ["wrong_requests", "cut_answers", "wrong_digests"])
def test_broken_answer_is_not_passed_on(single_vm, fault):
    """Guards against answers that are swapped, truncated or corrupted between worker and caller."""
    for worker in single_vm.workers.values():
        worker.faults.set(**{fault: 1})
    try:
        ended = conftest.make_caller(single_vm).run(_make_key(), "preview", {"answer": "whole"})
    finally:
        for worker in single_vm.workers.values():
            worker.faults.clear()
    assert (ended.end, ended.body) == ("answered", b"whole")


def test_concurrent_answers_are_not_swapped(single_vm):
    """Guards against answers that reach the caller of another request."""
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        caller = conftest.make_caller(single_vm)
        names = [f"answer-{number}" for number in range(60)]
        ended = pool.map(lambda name: caller.run(_make_key(), "preview", {"answer": name}), names)
        assert [reply.body.decode() for reply in ended] == names


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"{", "malformed"),
        (b"\xff\xfe", "malformed"),
        (b"[]", "malformed"),
        (b'{"class": 1}', "malformed"),
        (b'{"class": "preview", "surprise": 1}', "malformed"),
        (b'{"class": "preview", "payload": 3}', "malformed"),
        (b'{"class": "preview", "wait_s": -1}', "malformed"),
        (b'{"class": "preview", "shape": {"members": 0}}', "malformed"),
        (b"[" * 100_000, "malformed"),
        (b'{"class": "unknown"}', "class_not_allowed"),
    ],
)
def test_malformed_body(single_vm, data, reason):
    """Guards against malformed requests that are accepted or crash a thread."""
    reply = _call(single_vm, "POST", "/v1/requests", data, _make_key())
    assert (reply.status, reply.body["reason"], reply.body["end"]) == (400, reason, "not_run")


def test_class_of_another_caller_is_refused(single_vm):
    """Guards against callers that use job classes they are not allowed to."""
    reply = _submit(single_vm, number=1, **{"class": "match", "payload": {}})
    assert (reply.status, reply.body["reason"]) == (400, "class_not_allowed")


@pytest.mark.parametrize("key", ["", "k" * 201])
def test_idempotency_key_is_required(single_vm, key):
    """Guards against requests without a usable key, whose repetition cannot be recognized."""
    reply = _call(single_vm, "POST", "/v1/requests", {"class": "preview"}, key)
    assert (reply.status, reply.body["reason"]) == (400, "idempotency_key")


def test_invalid_token(single_vm):
    """Guards against callers without a valid token."""
    address = single_vm.entries["e0"].address
    reply = client.call(address, "POST", "/v1/requests", "lyg_x", {"class": "preview"}, _make_key())
    assert (reply.status, reply.body["end"]) == (401, "not_run")


def test_oversized_body(single_vm):
    """Guards against bodies that exhaust memory."""
    reply = _call(single_vm, "POST", "/v1/requests", b"x" * (2 * 1024 * 1024), _make_key())
    assert (reply.status, reply.body["reason"]) == (413, "body_too_large")


def _open_connection(running, key, length):
    host, port = running.entries["e0"].address.split(":")
    connection = socket.create_connection((host, int(port)), conftest.TIMEOUT_S)
    head = (
        f"POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {running.tokens[0]}\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: {length}\r\n\r\n"
    )
    connection.sendall(head.encode())
    return connection


def test_incomplete_body(single_vm):
    """Guards against a request that runs although its body was not complete."""
    key = _make_key()
    connection = _open_connection(single_vm, key, 500)
    connection.sendall(b'{"class": "preview"}')
    connection.shutdown(socket.SHUT_WR)
    response = http.client.HTTPResponse(connection)
    response.begin()
    assert response.status == 400
    assert json.loads(response.read())["reason"] == "body_incomplete"
    connection.close()


def test_slow_body_does_not_hold_a_thread(single_vm):
    """Guards against callers that occupy all threads by sending their bodies slowly."""
    connection = _open_connection(single_vm, _make_key(), 500)
    began_s = time.monotonic()
    response = b""
    connection.settimeout(0.2)
    while (
        not response
        and time.monotonic() - began_s < server.REQUEST_READ_TIMEOUT_S + conftest.TIMEOUT_S
    ):
        connection.sendall(b" ")
        try:
            response = connection.recv(1000)
        except TimeoutError:
            continue
    assert b" 400 " in response.split(b"\r\n")[0]
    connection.close()


def test_flood_of_one_caller_does_not_stop_another(tmp_path):
    """Guards against a caller whose many requests block the requests of others."""
    # A slow machine does not reach the default limit of 50 requests per second.
    limits = {"rate_per_caller_per_s": 1.0, "burst_per_caller": 50}
    with (
        conftest.run_deployment(tmp_path, limits=limits) as running,
        concurrent.futures.ThreadPoolExecutor(8) as pool,
    ):
        flood = [
            pool.submit(_submit, running, number=1, **{"class": "preview", "payload": {}})
            for _ in range(400)
        ]
        ended = conftest.make_caller(running).run(_make_key(), "preview", {"answer": "a"})
        statuses = {future.result().status for future in flood}
    assert ended.end == "answered"
    assert statuses == {202, 429}


def test_operator_views(single_vm):
    """Guards against operator views that lack running jobs, owners or workers."""
    reply = _submit(single_vm, **{"class": "preview", "payload": {"run_s": 600}})
    address, token = single_vm.entries["e0"].address, single_vm.operator_token

    def find_job():
        jobs = client.call(address, "GET", "/v1/operator/jobs", token).body["jobs"]
        found = {job["request_id"]: job["state"] for job in jobs}
        return found.get(reply.body["request_id"]) == "running"

    deployment.wait_until(find_job, conftest.TIMEOUT_S, "running job")
    status = client.call(address, "GET", "/v1/operator/status", token).body
    assert status["partitions"][0]["owner"] == "e0"
    workers = client.call(address, "GET", "/v1/operator/workers", token).body["workers"]
    assert {worker["state"] for worker in workers} == {"live"}
    assert client.call(address, "GET", "/v1/operator/histograms", token).status == 200
    _call(single_vm, "DELETE", reply.headers["location"])
