"""Rules for claiming the scheduler's term."""

import random

import pytest
from returns import result

from lycheegate.jobs import fencing, state
from lycheegate.node import storage, tables, terms
from lycheegate.utils import exceptions


def _make_view(released=False, sent_at_ms=50_000, clock_ms=50_100, now_s=10.0):
    """Returns a view of the term with epoch 3, which VM a holds, as read at ``now_s``."""
    view = terms.TermView()
    rows = (
        storage.Row(tables.HOLDER, tables.encode_holder(tables.Holder(3, "a/1")), 7),
        storage.Row(
            tables.HEARTBEAT,
            tables.encode_heartbeat(tables.Heartbeat(3, released, {}, sent_at_ms)),
            8,
        ),
    )
    terms.apply_rows(view, rows, now_s, clock_ms)
    return view


@pytest.mark.parametrize(
    ("fields", "waited_s", "expected"),
    [
        ({}, 0.1, False),
        ({}, 1.7, False),
        ({"released": True}, 0.1, True),
        # The heartbeat is old by the store's clock, so a VM that has just started need not wait.
        ({"sent_at_ms": 40_000}, 0.1, True),
        ({"sent_at_ms": 0}, 0.1, False),
    ],
)
def test_may_claim(fields, waited_s, expected):
    """Guards against claims of a term in use, and against a free term that is never claimed."""
    view = _make_view(**fields)
    assert terms.may_claim(view, 10.0 + waited_s, 0.0) is expected


def test_no_claim_without_answers_of_the_store():
    """Guards against a claim by a VM that lost its own connection to the store."""
    view = _make_view()
    assert not terms.may_claim(view, 10.0 + 2 * terms.HEARTBEAT_TIMEOUT_S, 0.0)


def test_unchanged_heartbeat_expires():
    """Guards against a holder that is never replaced because its heartbeat has no store time."""
    view = _make_view(sent_at_ms=0)
    terms.apply_rows(view, (), 10.0 + terms.HEARTBEAT_TIMEOUT_S + 0.1, 52_100)
    assert terms.may_claim(view, 10.0 + terms.HEARTBEAT_TIMEOUT_S + 0.1, 0.0)


def test_claim_is_conditional():
    """Guards against a claim over a heartbeat that the observer has not seen."""
    holder, transaction = terms.make_claim(_make_view(), "b/1", 10.0)
    assert holder == tables.Holder(3 + fencing.EPOCHS_PER_TERM, "b/1")
    assert {(c.key, c.version) for c in transaction.conditions} == {
        (tables.HOLDER, 7),
        (tables.HEARTBEAT, 8),
    }


_GONE, _UNREACHABLE = terms.ProbeResult.GONE, terms.ProbeResult.UNREACHABLE


@pytest.mark.parametrize(
    ("probe_result", "epoch", "silence_s", "expected"),
    [
        (terms.ProbeResult.UNKNOWN, 3, 1.8, False),
        (terms.ProbeResult.ALIVE, 3, 1.8, False),
        (terms.ProbeResult.UNKNOWN, 3, 2.0, True),
        # The holder renews, but the store delivers the heartbeats late.
        (terms.ProbeResult.ALIVE, 3, 3.9, False),
        (terms.ProbeResult.ALIVE, 3, 4.2, True),
        (_UNREACHABLE, 3, 1.1, False),
        (_UNREACHABLE, 3, 1.3, True),
        (_GONE, 3, 0.8, False),
        (_GONE, 3, 1.0, True),
        # The probe result is about an earlier term.
        (_GONE, 2, 1.8, False),
        (_UNREACHABLE, 2, 1.8, False),
    ],
)
def test_probe_result_changes_the_timeout(probe_result, epoch, silence_s, expected):
    """Guards against two seconds without a scheduler when the holder is known to be gone.

    Load pattern: urgent jobs arrive just after the holder was killed.
    """
    view = _make_view()
    now_s = 10.0 - 0.1 + silence_s
    terms.record_probe_result(view, epoch, probe_result, now_s)
    # The store still answers, without changed rows.
    terms.apply_rows(view, (), now_s, 50_000 + int(silence_s * 1000.0))
    assert terms.is_heartbeat_overdue(view, now_s) is (silence_s > terms.HEARTBEAT_OVERDUE_S)
    assert terms.may_claim(view, now_s, 0.0) is expected


def test_heartbeat_invalidates_probe_result():
    """Guards against replacing a holder that was unreachable once and then renewed its term."""
    view = _make_view()
    terms.record_probe_result(view, 3, _UNREACHABLE, 10.9)
    heartbeat = tables.encode_heartbeat(tables.Heartbeat(3, False, {}, 51_000))
    terms.apply_rows(view, (storage.Row(tables.HEARTBEAT, heartbeat, 9),), 11.0, 51_000)
    assert not terms.may_claim(view, 12.3, 0.0)


def test_small_vms_claim_later():
    """Guards against a holder on the smallest VM while larger VMs are available.

    Load pattern: a burst on a deployment whose VMs have 0.5 to 2.2 cores.
    """
    largest = max(terms.compute_jitter_s(cores, 1.0) for cores in (1.07, 2.15))
    assert terms.compute_jitter_s(0.516, 0.0) > largest
    assert terms.compute_jitter_s(1.07, 0.5) == terms.compute_jitter_s(2.15, 0.5)


def test_released_term_goes_to_larger_vm_first():
    """Guards against a small VM that claims a released term milliseconds before a larger one."""
    view = _make_view(released=True)
    assert terms.may_claim(view, 10.05, terms.compute_jitter_s(1.07, 1.0))
    assert not terms.may_claim(view, 10.03, terms.compute_jitter_s(0.516, 0.0))
    assert terms.may_claim(view, 10.2, terms.compute_jitter_s(0.516, 1.0))


def test_probe_result_expires():
    """Guards against a holder that is never replaced because it once answered a probe."""
    view = _make_view()
    terms.record_probe_result(view, 3, terms.ProbeResult.ALIVE, 11.0)
    terms.apply_rows(view, (), 12.1, 52_100)
    assert terms.may_claim(view, 12.1, 0.0)


_CLAIMED = tables.Holder(4, "a/0123")


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (result.Success(9), 9),
        (result.Failure(storage.ConflictError(())), None),
        (result.Failure(exceptions.OutcomeUnknownError("lost")), None),
        (
            result.Failure(
                storage.ConflictError(
                    (storage.Row(tables.HOLDER, tables.encode_holder(_CLAIMED), 7),)
                )
            ),
            7,
        ),
        (
            result.Failure(
                storage.ConflictError(
                    (
                        storage.Row(
                            tables.HOLDER, tables.encode_holder(tables.Holder(4, "a/4567")), 7
                        ),
                    )
                )
            ),
            None,
        ),
    ],
    ids=["answered", "unknown_row", "lost", "own_claim", "earlier_process"],
)
def test_find_claimed_version(outcome, expected):
    """Guards against a term without a scheduler because a repeated claim conflicts with itself."""
    assert terms.find_claimed_version(outcome, _CLAIMED) == expected


@pytest.mark.parametrize(("vms", "most"), [(8, 8), (97, 4), (300, 4), (929, 10)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_vms_claim_at_the_same_time(vms, most, seed):
    """Guards against a new holder whose first writes wait behind the claims of all other VMs.

    Load pattern: the holder of a large deployment is lost, and all VMs see it at the same time. A
    VM that learns of a claim, some 10 ms after it was sent, no longer claims.
    """
    generator = random.Random(seed)
    delays_s = sorted(terms.compute_jitter_s(1.0, generator.random(), vms) for _ in range(vms))
    assert sum(delay_s < delays_s[0] + 0.01 for delay_s in delays_s) <= most
    assert delays_s[0] < terms.CLAIM_JITTER_S


@pytest.mark.parametrize(
    ("value", "clock_ms", "expected"),
    [
        (tables.encode_suspects({"w0": 53_000, "w1": 50_500}), 50_000, {"w0": 3.0, "w1": 0.5}),
        (tables.encode_suspects({"w0": 53_000, "w1": 50_500}), 51_000, {"w0": 2.0}),
        (tables.encode_suspects({}), 50_000, {}),
    ],
)
def test_suspicion_ends_by_the_clock_of_the_store(value, clock_ms, expected):
    """Guards against a worker that gets no gangs because an old holder once suspected it."""
    view = _make_view()
    terms.apply_rows(view, (storage.Row(tables.SUSPECTS, value, 9),), 12.0, clock_ms)
    assert terms.list_suspects(view, 12.0) == pytest.approx(expected)


@pytest.mark.parametrize("value", [b"", b"\xff", b"\x81\xa1\x01\x02", b"\x81\x80"])
def test_unreadable_suspects_do_not_hide_the_term(value):
    """Guards against a VM that does not see a new holder because another row is malformed."""
    view = _make_view()
    holder = storage.Row(tables.HOLDER, tables.encode_holder(tables.Holder(4, "b/1")), 10)
    with pytest.raises(exceptions.ProtocolError):
        terms.apply_rows(view, (storage.Row(tables.SUSPECTS, value, 9), holder), 12.0, 52_000)
    assert view.holder.epoch == 4
    assert terms.list_suspects(view, 12.0) == {}


@pytest.mark.parametrize(
    ("epoch", "sent_at_ms", "is_known"),
    [(3, 50_000, True), (2, 50_000, False), (3, 49_300, False), (3, 0, False)],
)
def test_ends_of_leases_belong_to_the_last_heartbeat(epoch, sent_at_ms, is_known):
    """Guards against ends of leases from before a heartbeat, after which leases were renewed."""
    view = terms.TermView()
    beat_ms = sent_at_ms if sent_at_ms == 0 else 50_000
    beat = tables.Heartbeat(3, False, {}, beat_ms)
    ends = tables.LeaseEnds(epoch, sent_at_ms, {"w": 54_000}, 0)
    rows = (
        storage.Row(tables.HEARTBEAT, tables.encode_heartbeat(beat), 9),
        storage.Row(tables.LEASES, tables.encode_lease_ends(ends), 9),
    )
    terms.apply_rows(view, rows, 100.0, 50_500)
    found = terms.find_lease_ends(view, 101.0)
    assert found.others_s is None
    assert found.workers == ({"w": pytest.approx(103.5)} if is_known else {})


def test_ends_of_leases_do_not_belong_to_another_heartbeat_of_the_same_time():
    """Guards against ends from before a heartbeat that is known from the conflict of a claim.

    The estimate of the store's clock has gone back in between, and a conflict does not report the
    newer row of the ends of leases.
    """
    view = terms.TermView()
    beat = tables.encode_heartbeat(tables.Heartbeat(3, False, {}, 50_000))
    ends = tables.encode_lease_ends(tables.LeaseEnds(3, 50_000, {"w": 54_000}, 0))
    rows = (storage.Row(tables.HEARTBEAT, beat, 9), storage.Row(tables.LEASES, ends, 9))
    terms.apply_rows(view, rows, 100.0, 50_500)
    assert terms.find_lease_row(view) is not None
    terms.apply_rows(view, (storage.Row(tables.HEARTBEAT, beat, 10),), 100.1)
    assert terms.find_lease_row(view) is None
    assert terms.find_lease_ends(view, 100.1) == state.InheritedLeases()


def test_released_term_tells_the_ends_of_all_leases():
    """Guards against a wait for leases that the released term cannot have granted."""
    view = terms.TermView()
    beat = tables.Heartbeat(3, True, {}, 50_000)
    ends = tables.LeaseEnds(3, 50_000, {"w": 54_000}, 52_000)
    rows = (
        storage.Row(tables.HEARTBEAT, tables.encode_heartbeat(beat), 9),
        storage.Row(tables.LEASES, tables.encode_lease_ends(ends), 9),
    )
    terms.apply_rows(view, rows, 100.0, 50_500)
    found = terms.find_lease_ends(view, 100.0)
    assert found.others_s == pytest.approx(101.5)


@pytest.mark.parametrize("value", [b"\xff", b"\x81\xa1aw\x01", b"\x81\xa1aw\x82\x01\x02"])
def test_departures_are_told_by_the_clock_of_the_store(value):
    """Guards against a departure that a new holder expects late, and one that hides other rows."""
    told = {f"i-{n:05}".ljust(190, "w"): tables.Departure(53_000, 2**53, 2**53) for n in range(200)}
    told["w"] = tables.Departure(53_000, 2_000, 7)
    data = tables.encode_departures(told)
    assert len(data) < 49_152
    view = _make_view()
    terms.apply_rows(view, (storage.Row(tables.DEPARTURES, data, 9),), 12.0, 52_000)
    found = terms.list_departures(view, 12.5)["w"]
    assert (found.leaves_at_s, found.remaining_s, found.born_ms) == (pytest.approx(13.0), 2.0, 7)
    holder = storage.Row(tables.HOLDER, tables.encode_holder(tables.Holder(4, "b/1")), 10)
    with pytest.raises(exceptions.ProtocolError):
        terms.apply_rows(view, (storage.Row(tables.DEPARTURES, value, 10), holder), 12.0, 52_000)
    assert view.holder.epoch == 4
