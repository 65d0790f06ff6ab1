"""Reads and change feeds of a store that fails a share of its calls."""

import random

import pytest
from returns import result

from lycheegate.node import feeds, reads, storage
from lycheegate.node.tests import fake_store
from lycheegate.utils import exceptions

_PARTS = [("t", f"p{number}") for number in range(16)]
_LOST = result.Failure(exceptions.OutcomeUnknownError("connection reset"))


class _FlakyStore:
    """Store client that loses a share of the answers."""

    def __init__(self, loop, loss_ratio):
        self.loop = loop
        self.loss_ratio = loss_ratio
        self.generator = random.Random(1)
        self.reads = []
        self.waits_s = []

    @property
    def follows(self):
        return len(self.waits_s)

    def _answer(self, callback, answer, wait_s=0.0):
        if self.generator.random() < self.loss_ratio:
            self.loop.call_later(0.004, lambda: callback(_LOST))
        else:
            self.loop.call_later(0.004 + wait_s, lambda: callback(answer))

    def read(self, table, part, first, end, timeout_s, callback):
        self.reads.append(part)
        row = storage.Row(storage.RowKey(table, part, first + "k"), b"v", 7)
        page = storage.Page((row,), not first, len(self.reads), 1000)
        self._answer(callback, result.Success(page))

    def follow(self, table, after, wait_s, callback):
        self.waits_s.append(wait_s)
        self._answer(callback, result.Success(storage.Changes((), after, 1000)), wait_s)


def _run(loop, duration_s):
    loop.run_until(loop.now_s + duration_s)


def _read(store, is_stopped=lambda: False):
    """Returns the contents and the errors of a read, which is run for 2 s."""
    contents, errors = [], []
    reads.TableRead(
        store,
        store.loop.call_later,
        _PARTS,
        contents.append,
        errors.append,
        is_stopped,
        random.Random(2),
    )
    _run(store.loop, 2.0)
    return contents, errors


@pytest.mark.parametrize("loss_ratio", [0.0, 0.4])
def test_read_of_many_parts_completes(loss_ratio):
    """Guards against a new scheduler that waits until a flaky store has recovered completely.

    Load pattern: the store resets four of ten connections. A read of 16 parts that begins anew
    after each failure succeeds once in thousands of attempts.
    """
    store = _FlakyStore(fake_store.EventLoop(), loss_ratio)
    contents, errors = _read(store)
    assert len(contents) == 1
    assert sorted(row.key.part for row in contents[0].rows) == sorted(
        part for _, part in _PARTS * 2
    )
    assert len(errors) == (loss_ratio > 0.0)
    # Changes are followed from the oldest page, also if others were read much later.
    assert contents[0].version <= 2 * len(_PARTS)


def test_stopped_read_makes_no_calls():
    """Guards against reads that go on for a term that has ended."""
    store = _FlakyStore(fake_store.EventLoop(), 1.0)
    contents, _ = _read(store, is_stopped=lambda: store.loop.now_s > 100.5)
    made = len(store.reads)
    _run(store.loop, 60.0)
    assert contents == []
    assert len(store.reads) == made


def test_feed_follows_at_once_when_the_store_is_reachable_again():
    """Guards against refusals for want of a configuration after the store has come back.

    Load pattern: the store is down for seconds, so that the delay between retries has grown.
    """
    store = _FlakyStore(fake_store.EventLoop(), 0.0)
    feed = feeds.TableFeed(
        store, store.loop.call_later, "t", ("p",), lambda *_: None, lambda error: None
    )
    feed.start()
    _run(store.loop, 1.0)
    store.loss_ratio = 1.0
    _run(store.loop, 5.0)
    made = store.follows
    feed.retry_now()
    assert store.follows == made + 1
    # A call that is pending is not made twice, and the retry that was due is dropped.
    feed.retry_now()
    assert store.follows == made + 1
    _run(store.loop, 0.45)
    assert store.follows == made + 1


def test_feed_is_confirmed_as_soon_as_the_store_is_reachable_again():
    """Guards against refusals after an outage because the configuration is still unconfirmed.

    Load pattern: the store is down for longer than an unconfirmed configuration is trusted, and
    nothing changes meanwhile. A call that waits for a change is answered only after its wait.
    """
    store = _FlakyStore(fake_store.EventLoop(), 0.0)
    answered_at_s = []
    feed = feeds.TableFeed(
        store,
        store.loop.call_later,
        "t",
        ("p",),
        lambda *_: None,
        lambda error: None,
        on_answer=lambda sent_at_s, clock_ms: answered_at_s.append(store.loop.now_s),
        now_s=lambda: store.loop.now_s,
    )
    feed.start()
    _run(store.loop, 0.5)
    store.loss_ratio = 1.0
    _run(store.loop, 5.0)
    store.loss_ratio = 0.0
    reachable_at_s = store.loop.now_s
    feed.retry_now()
    _run(store.loop, 0.1)
    assert answered_at_s[-1] > reachable_at_s
    _run(store.loop, 3.0)
    assert store.waits_s[-2:] == [1.0, 1.0]


@pytest.mark.parametrize("is_down_again", [False, True])
def test_call_on_its_way_when_the_store_is_reachable_again_is_repeated_at_once(is_down_again):
    """Guards against a feed that waits for the usual delay after a call that was lost before.

    A call has failed on the way, and its outcome arrives after the store is reachable again. If the
    store is lost once more meanwhile, later calls are made after the usual delays.
    """
    store = _FlakyStore(fake_store.EventLoop(), 0.0)
    feed = feeds.TableFeed(
        store,
        store.loop.call_later,
        "t",
        ("p",),
        lambda *_: None,
        lambda error: None,
        jitter=random.Random(1),
    )
    feed.start()
    _run(store.loop, 0.5)
    store.loss_ratio = 1.0
    _run(store.loop, 5.0)
    made = store.follows
    while store.follows == made:
        _run(store.loop, 0.001)
    store.loss_ratio = 1.0 if is_down_again else 0.0
    feed.retry_now()
    assert store.follows == made + 1
    _run(store.loop, 0.004)
    assert store.follows == made + 2
    _run(store.loop, 0.4)
    assert store.follows == (made + 2 if is_down_again else made + 3)


def test_feed_keeps_up_with_thousands_of_heartbeats():
    """Guards against work on a worker that announced its departure seconds ago.

    Load pattern: 3,000 workers refresh their registrations every 1.5 s, and one answer of the feed
    holds at most 500 rows. Before, 0.3 s passed between two calls also while rows were waiting.
    """
    loop = fake_store.EventLoop()
    faults = fake_store.Faults(rows_per_answer=500)
    store = fake_store.FakeStore(loop, faults, random.Random(1))
    seen_at_s = {}

    def apply_rows(rows, is_full_table, clock_ms):
        seen_at_s.update({row.key.key: loop.now_s for row in rows})

    feed = feeds.TableFeed(
        store.connect("a"), loop.call_later, "t", ("",), apply_rows, lambda error: None, pause_s=0.3
    )
    feed.start()
    for number in range(200):
        for worker in range(100):
            store.put(storage.RowKey("t", "", f"w{(100 * number + worker) % 3000}"), b"")
        _run(loop, 0.05)
    store.put(storage.RowKey("t", "", "departing"), b"")
    put_at_s = loop.now_s
    _run(loop, 5.0)
    assert seen_at_s["departing"] - put_at_s < 0.5


class _SlowlyPagedStore:
    """Store client whose second page of a table arrives seconds after the first."""

    def __init__(self, loop):
        self.loop = loop

    def read(self, table, part, first, end, timeout_s, callback):
        delay_s = 4.0 if first else 0.0

        def answer():
            row = storage.Row(storage.RowKey(table, part, first + "k"), b"v", 7)
            clock_ms = int(1000.0 * self.loop.now_s)
            callback(result.Success(storage.Page((row,), not first, 7, clock_ms)))

        self.loop.call_later(delay_s, answer)

    def follow(self, table, after, wait_s, callback):
        """Leaves the call without an answer."""


def test_table_is_confirmed_as_of_its_first_page():
    """Guards against a key that is accepted too long after it was revoked.

    Load pattern: a configuration of 1 MB fills the first page of its table, and a later page takes
    seconds over a slow link or fails at first. The configuration may have changed in between.
    """
    loop = fake_store.EventLoop()
    clocks_ms = []
    feed = feeds.TableFeed(
        _SlowlyPagedStore(loop),
        loop.call_later,
        "t",
        ("p",),
        lambda *_: None,
        lambda error: None,
        on_answer=lambda sent_at_s, clock_ms: clocks_ms.append(clock_ms),
        now_s=lambda: loop.now_s,
    )
    first_page_at_s = loop.now_s
    feed.start()
    _run(loop, 5.0)
    assert clocks_ms == [int(1000.0 * first_page_at_s)]
