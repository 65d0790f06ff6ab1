"""Rows of the scheduler's term that cannot be decoded, or whose numbers are too large."""

import cbor2
import pytest
from returns import result

from lycheegate.node import storage, tables, terms
from lycheegate.utils import exceptions

_HUGE = 10**400


ODD_TERMS = {
    "empty": b"",
    "not CBOR": b"\xff",
    "nested": b"\x81" * 60_000,
    "array": cbor2.dumps([]),
    "holder negative": cbor2.dumps([-1, "a/1"]),
    "holder of 400 digits": cbor2.dumps([_HUGE, "a/1"]),
    "holder true": cbor2.dumps([True, "a/1"]),
    "beat of 400 digits": cbor2.dumps([1, False, {}, _HUGE]),
    "beat negative": cbor2.dumps([1, False, {}, -_HUGE]),
    "beat with counts of text": cbor2.dumps([1, False, {"q": "x"}, 5]),
    "beat with counts of 400 digits": cbor2.dumps([1, False, {"q": _HUGE}, 5]),
    "suspects of 400 digits": cbor2.dumps([{"w": _HUGE}]),
    "suspects negative": cbor2.dumps([{"w": -_HUGE}]),
    "suspects true": cbor2.dumps([{"w": True}]),
}


@pytest.mark.parametrize("key", [tables.HOLDER, tables.HEARTBEAT, tables.SUSPECTS], ids=str)
@pytest.mark.parametrize("value", ODD_TERMS.values(), ids=ODD_TERMS)
def test_odd_row_of_a_term(key, value):
    """Guards against a row of the term that raises in each check of a claim, on each VM.

    A time of 400 digits raised in the age of the heartbeat, and one of a suspicion after the claim,
    so that a term was claimed again and again and nothing was scheduled. The other rows hold.
    """
    rows = {
        tables.HOLDER: tables.encode_holder(tables.Holder(3, "a/1")),
        tables.HEARTBEAT: tables.encode_heartbeat(tables.Heartbeat(3, False, {}, 5)),
        tables.SUSPECTS: tables.encode_suspects({"w9": 99_000}),
    }
    rows[key] = value
    view = terms.TermView()
    with pytest.raises(exceptions.ProtocolError):
        terms.apply_rows(view, tuple(storage.Row(k, v, 7) for k, v in rows.items()), 1.0, 1_000)
    assert (view.holder is None) is (key is tables.HOLDER)
    assert (view.heartbeat is None) is (key is tables.HEARTBEAT)
    assert (not view.suspects) is (key is tables.SUSPECTS)
    terms.may_claim(view, 2.0, 0.1)
    terms.is_heartbeat_overdue(view, 2.0)
    terms.list_suspects(view, 2.0)
    claimed, _ = terms.make_claim(view, "b/1", 2.0)
    row = storage.Row(tables.HOLDER, value, 7)
    conflict = result.Failure(storage.ConflictError((row,)))
    assert terms.find_claimed_version(conflict, claimed) is None
