"""Tests of the counts printed by the demo."""

import pytest

from demo import client, run, scenarios

CLASSES = {
    "match": {"idempotent": False},
    "preview": {"idempotent": True},
    "gang": {"idempotent": True, "shape": {"members": 2}},
}


def _count_one(
    job_class, starts, end="answered", outcome="ok", body=b"a", guaranteed=False, late_s=0
):
    load = scenarios.Load("acc", "c", job_class, 1, 1.0, 0.1, guaranteed)
    result = client.RequestResult(end, outcome, body, "r", end != "not_run", 1.0 + late_s)
    return run.count([run.SentRequest(load, b"a", result)], {"r": starts}, CLASSES)


@pytest.mark.parametrize(
    ("totals", "lost", "doubled", "violations"),
    [
        (_count_one("match", {0: 1}), 0, 0, 0),
        (_count_one("match", {0: 2}), 0, 1, 0),
        (_count_one("preview", {0: 2}), 0, 0, 0),
        (_count_one("match", {0: 1}, "not_run", ""), 0, 1, 0),
        (_count_one("match", {}, "not_run", ""), 0, 0, 0),
        (_count_one("match", {0: 1}, body=b"b"), 1, 0, 0),
        (_count_one("match", {0: 1}, "lost", ""), 1, 0, 0),
        (_count_one("match", {0: 1}, outcome="failed"), 1, 0, 0),
        (_count_one("gang", {0: 1, 1: 1}), 0, 0, 0),
        (_count_one("gang", {0: 1}), 1, 0, 0),
        (_count_one("gang", {0: 1, 1: 1}, guaranteed=True), 0, 0, 0),
        (_count_one("gang", {0: 1, 1: 1}, guaranteed=True, late_s=9), 0, 0, 1),
        (_count_one("gang", {}, "not_run", "", guaranteed=True), 0, 0, 1),
    ],
)
def test_count(totals, lost, doubled, violations):
    """Guards against lost or doubled requests and violated guarantees that are not counted."""
    assert (totals.lost, totals.doubled, totals.guarantee_violations) == (lost, doubled, violations)
    assert totals.is_clean is not bool(lost or doubled or violations)
