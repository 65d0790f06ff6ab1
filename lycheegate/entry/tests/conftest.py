"""Deployments of entry processes on loopback, with a release in force."""

import contextlib
import time

import pytest

from demo import client, deployment
from lycheegate.keys import tokens

PLACE = deployment.Place("r1", "dc1", "rack1")
LIMIT_S = 45.0

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


def apply_note(running, text, vm_id=None):
    """Applies a release note through the operators' interface; returns the release number."""
    entry = running.entries[vm_id] if vm_id else next(iter(running.entries.values()))

    def apply():
        path = "/v1/operator/release/apply"
        return client.call(entry.address, "POST", path, running.operator_token, text.encode())

    # The workers that guarantees rely on are known only after the first read of the VM list.
    reply = apply()
    ends_s = time.monotonic() + LIMIT_S
    while reply.status != 200 and time.monotonic() < ends_s:
        time.sleep(0.1)
        reply = apply()
    assert reply.status == 200, reply
    return reply.body["number"]


@contextlib.contextmanager
def run_deployment(directory, entry_count=1, worker_count=3, data_centres=("dc1",), **options):
    """Runs a deployment with a release that is in force everywhere."""
    entries = {
        f"e{n}": deployment.Place("r1", data_centres[n % len(data_centres)])
        for n in range(entry_count)
    }
    workers = {
        f"w{n}": deployment.Place("r1", data_centres[n % len(data_centres)], "rack1")
        for n in range(worker_count)
    }
    with deployment.deploy(directory, entries, workers, JOB_CLASSES, **options) as running:
        running.tokens = [tokens.make_token() for _ in range(2)]
        hashes = [tokens.hash_token(token) for token in running.tokens]
        text = NOTE.format(base=0, first=hashes[0], second=hashes[1])
        apply_note(running, text)
        running.wait_until_owned([f"{name}/0" for name in data_centres])
        for one in running.entries.values():
            deployment.wait_until(lambda one=one: is_ready(one, 1), LIMIT_S, "release in force")
        yield running


def is_ready(entry, release):
    """Returns whether an entry VM takes requests under a release."""
    try:
        reply = client.call(entry.address, "GET", "/v1/ready", "", timeout_s=5.0)
    except OSError:
        return False
    return reply.status == 200 and reply.body["release"] >= release


def make_caller(running, number=0, vm_ids=None):
    """Returns a caller that knows some entry VMs."""

    def list_addresses():
        return [running.entries[vm_id].address for vm_id in vm_ids or running.entries]

    return client.Caller(running.tokens[number], list_addresses)


@pytest.fixture(scope="module")
def single(tmp_path_factory):
    """One entry VM, three workers."""
    with run_deployment(tmp_path_factory.mktemp("single")) as running:
        yield running
