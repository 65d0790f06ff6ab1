"""Fixtures with deployments of entry processes on loopback and a release in force."""

import contextlib
import sys
import time

import pytest

from demo import client, deployment
from lycheegate.keys import tokens

PLACE = deployment.Place("r1", "dc1", "rack1")
TIMEOUT_S = 45.0

JOB_CLASSES = {
    "preview": {"urgency": "urgent", "idempotent": True, "shape": {"accelerators": 1}},
    "match": {"urgency": "urgent", "idempotent": False, "shape": {"accelerators": 1}},
    "batch": {"urgency": "batch", "idempotent": True, "preemptible": True},
    "gang": {"idempotent": True, "shape": {"members": 2, "accelerators": 8, "adjacency": "rack"}},
}

NOTE = """
base: {base}
client_accounts: {{added: [{{name: studio}}]}}
callers:
  added:
    - {{name: stylist, client_account: studio, brand_desk: desk, token_hash: {first}}}
    - {{name: rival, client_account: studio, brand_desk: desk, token_hash: {second},
       classes: [preview]}}
"""

_HAS_FAILED = pytest.StashKey[bool]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Records a failure in the test's stash, because fixtures do not see a test's exception."""
    report = yield
    if call.when == "call" and call.excinfo is not None:
        item.stash[_HAS_FAILED] = True
    return report


@contextlib.contextmanager
def print_logs_after_failure(running, request):
    """Prints the logs of a deployment if the test that requested a fixture has failed."""
    yield
    if request.node.stash.get(_HAS_FAILED, False):
        print(running.collect_logs(), file=sys.stderr)


def apply_note(running, text, vm_id=None):
    """Applies a release note through the operators' interface; returns the release number."""
    entry = running.entries[vm_id] if vm_id else next(iter(running.entries.values()))

    def apply():
        path = "/v1/operator/release/apply"
        return client.call(entry.address, "POST", path, running.operator_token, text.encode())

    # Workers for guarantees are known only once the entry VM has read the VM list.
    reply = apply()
    deadline_s = time.monotonic() + TIMEOUT_S
    while reply.status != 200 and time.monotonic() < deadline_s:
        time.sleep(0.1)
        reply = apply()
    assert reply.status == 200, reply
    return reply.body["number"]


@contextlib.contextmanager
def run_deployment(directory, entry_count=1, worker_count=3, data_centres=("dc1",), **options):
    """Runs a deployment; yields it once a release is in force on every entry VM."""
    entries = {
        f"e{n}": deployment.Place("r1", data_centres[n % len(data_centres)])
        for n in range(entry_count)
    }
    workers = {
        f"w{n}": deployment.Place("r1", data_centres[n % len(data_centres)], "rack1")
        for n in range(worker_count)
    }
    with deployment.deploy(directory, entries, workers, JOB_CLASSES, **options) as running:
        put_release_in_force(running)
        running.wait_until_owned([f"{name}/0" for name in data_centres])
        wait_until_ready(running)
        yield running


def put_release_in_force(running):
    """Applies the first release, whose callers have ``running.tokens``."""
    running.tokens = [tokens.make_token() for _ in range(2)]
    hashes = [tokens.hash_token(token) for token in running.tokens]
    apply_note(running, NOTE.format(base=0, first=hashes[0], second=hashes[1]))


def wait_until_ready(running):
    """Waits until the first release is in force on every entry VM."""
    for entry in running.entries.values():
        deployment.wait_until(lambda entry=entry: is_ready(entry, 1), TIMEOUT_S, "release in force")


def is_ready(entry, release):
    """Returns whether an entry VM accepts requests under at least the given release."""
    try:
        reply = client.call(entry.address, "GET", "/v1/ready", "", timeout_s=5.0)
    except OSError:
        return False
    return reply.status == 200 and reply.body["release"] >= release


def make_caller(running, number=0, vm_ids=None):
    """Returns a caller that uses the given entry VMs, by default all."""

    def list_addresses():
        return [running.entries[vm_id].address for vm_id in vm_ids or running.entries]

    return client.Caller(running.tokens[number], list_addresses)


@pytest.fixture(scope="module")
def single_vm(tmp_path_factory):
    """Deployment of one entry VM and three workers."""
    with run_deployment(tmp_path_factory.mktemp("single")) as running:
        yield running
