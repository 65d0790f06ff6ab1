"""Registry of the workers."""

import pytest

from lycheegate.node import registry, storage

_ENTRY = (
    '{"service":"render","address":"10.0.0.1:1","zone":"z","state":"%s","seq":%d,'
    '"capacity":{"cpu":8,"mem-mb":8,"gpu":8},"labels":["a","r0"],"born":1}'
)


def _make_row(worker_id, state="ready", seq=1, value=None, deleted=False):
    data = (_ENTRY % (state, seq) if value is None else value).encode()
    return storage.Row(storage.RowKey("servers", "", worker_id), data, seq, deleted)


@pytest.mark.parametrize(
    ("row", "has_changed", "expected"),
    [
        (_make_row("w0", seq=2), False, {"w0": False, "w1": False}),
        (_make_row("w0", "draining", 2), True, {"w0": True, "w1": False}),
        (_make_row("w2", seq=2), True, {"w0": False, "w1": False, "w2": False}),
        (_make_row("w0", deleted=True), True, {"w1": False}),
        (_make_row("w2", deleted=True), False, {"w0": False, "w1": False}),
        (_make_row("w0", value="{"), True, {"w1": False}),
        (_make_row("w2", value="{"), False, {"w0": False, "w1": False}),
    ],
    ids=["heartbeat", "draining", "new", "left", "unknown_left", "unreadable", "foreign"],
)
def test_only_changed_registrations_count(row, has_changed, expected):
    """Guards against a registration that is missed, and against work for each heartbeat."""
    workers = registry.WorkerRegistry()
    assert workers.apply_rows((_make_row("w0"), _make_row("w1")), True)
    assert workers.apply_rows((row,), False) is has_changed
    assert {r.worker_id: r.draining for r in workers.list_registrations()} == expected


def test_whole_table_replaces_what_was_known():
    """Guards against a worker that left while the change feed had a gap and stays in use."""
    workers = registry.WorkerRegistry()
    workers.apply_rows((_make_row("w0"), _make_row("w1")), True)
    assert workers.apply_rows((_make_row("w1"),), True)
    assert [r.worker_id for r in workers.list_registrations()] == ["w1"]
