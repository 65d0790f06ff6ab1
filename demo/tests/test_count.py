"""Tests of the counts that the demo prints."""

import pytest

from demo import client, run, scenarios

CLASSES = {
    "match": {"idempotent": False},
    "preview": {"idempotent": True},
    "gang": {"idempotent": True, "shape": {"members": 2}},
}


def _count(job_class, starts, end="answered", outcome="ok", body=b"a", guaranteed=False, late_s=0):
    load = scenarios.Load("acc", "c", job_class, 1, 1.0, 0.1, guaranteed)
    ended = client.Ended(end, outcome, body, "r", end != "not_run", 1.0 + late_s)
    return run.count([run.Sent(load, b"a", ended)], {"r": starts}, CLASSES)


@pytest.mark.parametrize(
    ("found", "lost", "doubled", "violations"),
    [
        (_count("match", {0: 1}), 0, 0, 0),
        (_count("match", {0: 2}), 0, 1, 0),
        (_count("preview", {0: 2}), 0, 0, 0),
        (_count("match", {0: 1}, "not_run", ""), 0, 1, 0),
        (_count("match", {}, "not_run", ""), 0, 0, 0),
        (_count("match", {0: 1}, body=b"b"), 1, 0, 0),
        (_count("match", {0: 1}, "lost", ""), 1, 0, 0),
        (_count("match", {0: 1}, outcome="failed"), 1, 0, 0),
        (_count("gang", {0: 1, 1: 1}), 0, 0, 0),
        (_count("gang", {0: 1}), 1, 0, 0),
        (_count("gang", {0: 1, 1: 1}, guaranteed=True), 0, 0, 0),
        (_count("gang", {0: 1, 1: 1}, guaranteed=True, late_s=9), 0, 0, 1),
        (_count("gang", {}, "not_run", "", guaranteed=True), 0, 0, 1),
    ],
)
def test_count(found, lost, doubled, violations):
    """Guards against a demo that reports broken promises as kept."""
    assert (found.lost, found.doubled, found.guarantee_violations) == (lost, doubled, violations)
    assert found.is_clean is not bool(lost or doubled or violations)
