"""When the store gave an answer, and what a VM concludes from it."""

import pytest

from lycheegate.node import feeds, storage, store_clock
from lycheegate.node.tests import simulation


@pytest.mark.parametrize(
    ("answers", "expected_s"),
    [
        # (sent at, store's clock in ms, processed at); the store's clock is 90 s behind.
        ([(100.0, 10_004, 100.008)], 100.0),
        ([(100.0, 10_004, 100.008), (100.01, 11_010, 101.014)], 101.006),
        ([(100.0, 10_004, 100.008), (100.01, 10_500, 110.0)], 100.496),
        ([(100.0, 0, 110.0)], 100.0),
        ([(100.0, 10_004, 100.008), (170.0, 80_004, 170.1), (171.0, 82_004, 181.0)], 172.0),
    ],
    ids=["first", "waiting_feed", "paused_process", "unknown_clock", "later_period"],
)
def test_locate_answer(answers, expected_s):
    """Guards against data that counts as current because it was processed late."""
    clock = store_clock.StoreClock()
    for sent_at_s, clock_ms, now_s in answers:
        located_s = store_clock.locate_answer(clock, sent_at_s, clock_ms, now_s)
        assert sent_at_s <= located_s <= now_s
    assert located_s == pytest.approx(expected_s, abs=0.001)


def test_bounds_are_dropped_after_two_periods():
    """Guards against a bound that is too high once this VM's clock has drifted back."""
    clock = store_clock.StoreClock()
    store_clock.locate_answer(clock, 100.0, 10_000, 100.0)
    later_s = 100.0 + 3.0 * store_clock.PERIOD_S
    # Both clocks have drifted apart by 0.5 s.
    for number in range(3):
        sent_at_s = later_s + number * store_clock.PERIOD_S
        located_s = store_clock.locate_answer(
            clock, sent_at_s, int((sent_at_s - 89.5) * 1000), sent_at_s + 0.3
        )
    assert located_s == pytest.approx(sent_at_s)


def test_feed_survives_rows_that_cannot_be_applied():
    """Guards against one malformed row that ends the feed of all later rows."""
    world = simulation.World(1)
    applied, errors, answers = [], [], []

    def apply(rows, is_full_table, clock_ms):
        if any(row.value == b"bad" for row in rows):
            raise AttributeError("unexpected")
        applied.extend(row.key.key for row in rows)

    feed = feeds.TableFeed(
        world.store.connect("a"),
        world.loop.call_later,
        "t",
        ("",),
        apply,
        errors.append,
        on_answer=lambda sent_at_s, clock_ms: answers.append(sent_at_s),
        now_s=lambda: world.loop.now_s,
    )
    feed.start()
    confirmed = []
    for key, value in [("k1", b"good"), ("k2", b"bad"), ("k3", b"good")]:
        world.store.put(storage.RowKey("t", "", key), value)
        world.run(0.1)
        confirmed.append(len(answers))
    assert applied == ["k1", "k3"]
    assert [str(error) for error in errors] == ["unexpected"]
    assert confirmed[0] == confirmed[1] < confirmed[2]


@pytest.mark.parametrize(
    ("answers", "expected_ms"),
    [
        # The store's clock is 90 s behind.
        ([], 0),
        ([(100.0, 10_004, 100.008)], 30_004),
        ([(100.0, 12_000, 102.1)], 32_000),
        ([(100.0, 10_004, 100.008), (100.0, 12_000, 110.0)], 30_004),
    ],
    ids=["unknown", "fast", "waiting_feed", "paused_process"],
)
def test_latest_time_of_the_store(answers, expected_ms):
    """Guards against an end of leases that is told too early because an answer was late."""
    clock = store_clock.StoreClock()
    for sent_at_s, clock_ms, now_s in answers:
        store_clock.locate_answer(clock, sent_at_s, clock_ms, now_s)
    assert store_clock.compute_latest_ms(clock, 120.0) == pytest.approx(expected_ms, abs=1)
