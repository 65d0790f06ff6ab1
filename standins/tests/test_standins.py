"""Tests of the table, object store and VM list stand-ins and of the in-memory table."""

import json
import signal
import subprocess
import sys
import urllib.error
import urllib.request

import pytest

from lycheegate.clients import table as table_module
from lycheegate.utils import exceptions
from standins import memory, objects, table, vms

PUT = table_module.OperationKind.PUT


def _call(address, method, path, body=None):
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


@pytest.fixture(name="address", params=[table.TableStandin, objects.ObjectsStandin, vms.VmsStandin])
def _address(request):
    standin = request.param()
    standin.start()
    yield standin.address
    standin.stop()


def test_unknown_requests(address):
    """Guards against a stand-in that accepts unknown paths or fault switches."""
    assert _call(address, "GET", "/v1/none")[0] == 404
    assert _call(address, "GET", "/control/none")[0] == 404
    assert _call(address, "PUT", "/control/faults", {"none": 1})[0] == 400


def test_faults_over_http(address):
    """Guards against fault switches that cannot be set from another process."""
    status, body = _call(address, "PUT", "/control/faults", {"refused": True, "slow_s": 0.01})
    assert status == 200
    assert json.loads(body)["slow_s"] == 0.01
    assert _call(address, "GET", "/v1/none")[0] == 503
    assert json.loads(_call(address, "DELETE", "/control/faults")[1])["refused"] is False


def test_table_over_http():
    """Guards against a table stand-in that deviates from the protocol in the design page."""
    standin = table.TableStandin()
    standin.start()
    operation = {"op": "put", "table": "t", "key": "a/b", "value": {"n": 1}, "if_version": 0}
    path = "/v1/transactions"
    status, body = _call(standin.address, "POST", path, {"ops": [operation]})
    assert (status, json.loads(body)) == (200, {"versions": [1]})
    status, body = _call(standin.address, "POST", path, {"ops": [operation]})
    assert (status, json.loads(body)) == (409, {"failed": 0, "version": 1, "value": {"n": 1}})
    assert _call(standin.address, "POST", path, {"ops": [{"op": "add"}]})[0] == 400
    status, body = _call(standin.address, "GET", "/v1/tables/t/rows/a/b")
    assert (status, json.loads(body)) == (200, {"value": {"n": 1}, "version": 1})
    status, body = _call(standin.address, "GET", "/v1/tables/t/rows?prefix=a&after=a/b")
    assert (status, json.loads(body)) == (200, {"rows": []})
    standin.stop()


def test_vms_over_http():
    """Guards against a VM list that cannot be replaced from another process."""
    standin = vms.VmsStandin()
    standin.start()
    assert _call(standin.address, "PUT", "/control/vms", [{"vm_id": "w1"}])[0] == 200
    assert json.loads(_call(standin.address, "GET", "/v1/vms")[1])["vms"][0]["vm_id"] == "w1"
    assert _call(standin.address, "PUT", "/control/vms", [{"id": "w1"}])[0] == 400
    standin.stop()


@pytest.mark.parametrize(
    ("name", "options", "lines"),
    [("table", [], 1), ("objects", [], 1), ("vms", [], 1), ("worker", ["--count", "2"], 2)],
)
def test_run_as_module(name, options, lines):
    """Guards against a stand-in that cannot run as a module or does not exit on SIGTERM."""
    command = [sys.executable, "-m", f"standins.{name}", "--port", "0", *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        for _ in range(lines):
            printed, address = process.stdout.readline().split(" http://")
            assert printed == name
            assert _call(address.strip(), "GET", "/control/faults")[0] == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait(30)
        process.stdout.close()


def test_memory_table_keeps_its_values():
    """Guards against rows that share mutable objects with their readers or writers."""
    rows = memory.MemoryTable()
    value = {"n": [1]}
    rows.transact([table_module.Operation(PUT, "t", "a", value)]).unwrap()
    value["n"].append(2)
    rows.read("t", "a").unwrap().value["n"].append(3)
    assert rows.read("t", "a").unwrap().value == {"n": [1]}


@pytest.mark.parametrize(
    ("switches", "error", "written"),
    [
        ({"down": True}, exceptions.UnavailableError, False),
        ({"refused": True}, exceptions.UnavailableError, False),
        ({"lose_answers": 1}, exceptions.OutcomeUnknownError, True),
        ({"lose_requests": 1}, exceptions.OutcomeUnknownError, False),
        ({"stalled": True}, exceptions.OutcomeUnknownError, False),
    ],
)
def test_memory_table_faults(switches, error, written):
    """Guards against a fault switch with the wrong error, or the wrong effect on the row."""
    rows = memory.MemoryTable(sleep=lambda _: None)
    rows.faults.set(**switches)
    outcome = rows.transact([table_module.Operation(PUT, "t", "a", {})])
    assert type(outcome.failure()) is error
    assert (rows.get("t", "a") is not None) == written


def test_memory_table_delays_calls():
    """Guards against a slow table that does not delay calls or ignores their timeout."""
    waited = []
    rows = memory.MemoryTable(sleep=waited.append)
    rows.faults.set(slow_s=0.5)
    rows.read("t", "a", 2.0).unwrap()
    assert type(rows.read("t", "a", 0.2).failure()) is exceptions.UnavailableError
    assert waited == [0.5, 0.2]
