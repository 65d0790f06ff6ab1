"""When a VM may claim the scheduler's term."""

import pytest

from lycheegate.node import storage, tables, terms


def _make_view(released=False, sent_at_ms=50_000, clock_ms=50_100, now_s=10.0):
    view = terms.TermView()
    rows = (
        storage.Row(tables.OWNER, tables.encode_owner(tables.Owner(3, "a/1")), 7),
        storage.Row(tables.BEAT, tables.encode_beat(tables.Beat(3, released, {}, sent_at_ms)), 8),
    )
    terms.observe(view, rows, now_s, clock_ms)
    return view


@pytest.mark.parametrize(
    ("fields", "waited_s", "expected"),
    [
        ({}, 0.1, False),
        ({}, 1.7, False),
        ({"released": True}, 0.1, True),
        # The heartbeat is old on the store's clock, so a VM that just started need not wait.
        ({"sent_at_ms": 40_000}, 0.1, True),
        ({"sent_at_ms": 0}, 0.1, False),
    ],
)
def test_may_claim(fields, waited_s, expected):
    """Guards against two holders, and against a term that nobody takes."""
    view = _make_view(**fields)
    assert terms.may_claim(view, 10.0 + waited_s, 0.0) is expected


def test_silent_store_gives_no_claim():
    """Guards against a claim by a VM that only stopped hearing from the store."""
    view = _make_view()
    assert not terms.may_claim(view, 10.0 + 2 * terms.LAPSE_S, 0.0)


def test_unchanged_beat_lapses():
    """Guards against a holder without a clock estimate that can never be replaced."""
    view = _make_view(sent_at_ms=0)
    terms.observe(view, (), 10.0 + terms.LAPSE_S + 0.1, 52_100)
    assert terms.may_claim(view, 10.0 + terms.LAPSE_S + 0.1, 0.0)


def test_claim_is_conditional():
    """Guards against a claim over a heartbeat that the observer has not seen."""
    owner, transaction = terms.make_claim(_make_view(), "b/1", 10.0)
    assert owner == tables.Owner(4, "b/1")
    assert {(c.key, c.version) for c in transaction.conditions} == {
        (tables.OWNER, 7),
        (tables.BEAT, 8),
    }
