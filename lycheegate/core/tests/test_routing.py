"""Tests of the choice of a partition."""

import collections
import random

import pytest

from lycheegate.core import routing
from lycheegate.model import requests, resources


def _summary(partition: str, **changes) -> routing.PartitionSummary:
    fields = {
        "partition": partition,
        "data_centre": partition.split("/")[0],
        "has_owner": True,
        "total_slots": 48,
        "total_accelerators": 48,
        "largest_rack_accelerators": 48,
        "largest_worker_accelerators": 8,
        "free_slots": 48,
        "free_accelerators": 48,
    }
    return routing.PartitionSummary(**(fields | changes))


def _request(members: int, accelerators: int, adjacency="rack") -> requests.Request:
    shape = resources.Shape(members, accelerators, resources.Adjacency(adjacency))
    return requests.Request(
        "r", "hanbok", "c", "x", requests.Urgency.NORMAL, shape, True, True, 0.0
    )


_IDLE = frozenset({("hanbok", resources.Shape(2, 8, resources.Adjacency.RACK))})
_BUSY = {"free_accelerators": 0, "queued": 5, "queued_accelerators": 40}


@pytest.mark.parametrize(
    ("request_", "summaries", "expected"),
    [
        (_request(1, 1), [_summary("suwon/0")], "suwon/0"),
        (_request(1, 9), [_summary("suwon/0")], None),
        (_request(7, 8), [_summary("suwon/0")], None),
        (
            _request(2, 8),
            [_summary("suwon/0"), _summary("goyang/0", idle_guarantees=_IDLE, **_BUSY)],
            "goyang/0",
        ),
        (
            _request(2, 8),
            [_summary("suwon/0"), _summary("goyang/0", has_owner=False, idle_guarantees=_IDLE)],
            "suwon/0",
        ),
        (
            _request(1, 8),
            [_summary("suwon/0", has_owner=False), _summary("goyang/0", has_owner=False)],
            "suwon/0",
        ),
        (_request(2, 8, "worker"), [_summary("suwon/0")], None),
    ],
)
def test_choose_partition(request_, summaries, expected):
    """Guards against routing to a partition that has no owner or can never hold the shape."""
    chosen = routing.choose_partition(request_, summaries, "suwon", random.Random(1))
    assert chosen == expected


def test_avoid_full_local_partition():
    """Guards against requests that wait in one data centre while another one is idle."""
    summaries = [
        _summary("suwon/0", free_accelerators=0, queued=40, queued_accelerators=60),
        _summary("goyang/0"),
        _summary("bucheon/0"),
    ]
    rng = random.Random(1)
    counts = collections.Counter(
        routing.choose_partition(_request(1, 1), summaries, "suwon", rng) for _ in range(300)
    )
    assert counts["suwon/0"] < 150
    assert counts["goyang/0"] > 50
    assert counts["bucheon/0"] > 50
