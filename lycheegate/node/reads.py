"""Reads whole tables, with all parts in parallel.

Handles a store that fails a share of its calls, for example by resetting connections. Only the
pages that failed are read again: a read of many parts would otherwise hardly ever succeed as a
whole, and a new scheduler would wait until the store has recovered completely.
"""

import random
from collections.abc import Callable, Sequence

from returns import result

from lycheegate.node import storage

__all__ = ["TableContent", "TableRead"]

READ_TIMEOUT_S = 1.5
RETRY_S = 0.1
"""Delay before the first retry of a page; doubles with each further failure of that page."""
MAX_RETRY_S = 0.8

TablePart = tuple[str, str]
"""Name of a table, and name of one of its parts."""


class TableContent:
    """Rows of one or more tables.

    Attributes:
        rows: The rows.
        version: Version from which to follow changes, so that none is missed.
        clock_ms: The store's clock in the first answer. Rows of that answer may have changed since.
    """

    def __init__(self):
        self.rows: list[storage.Row] = []
        self.version = 0
        self.clock_ms = 0


class TableRead:
    """One read of several table parts; all calls and callbacks run on the event thread.

    The parts are read in parallel. Sequential reads would multiply the delay that a slow store
    causes to a new scheduler by the number of parts.

    Args:
        store: The store.
        call_later: Runs a function after a delay in seconds.
        parts: Table parts to read.
        on_done: Called with the content once all parts have been read.
        on_error: Called with the first error; the read continues.
        is_stopped: Returns whether the read is no longer wanted.
        jitter: Generator of the random part of the delay between retries.
    """

    def __init__(
        self,
        store: storage.Store,
        call_later: Callable,
        parts: Sequence[TablePart],
        on_done: Callable[[TableContent], None],
        on_error: Callable[[Exception], None],
        is_stopped: Callable[[], bool],
        jitter: random.Random | None = None,
    ):
        self._store = store
        self._call_later = call_later
        self._on_done = on_done
        self._on_error = on_error
        self._is_stopped = is_stopped
        self._jitter = jitter or random.Random()
        self._content = TableContent()
        self._unread_parts = len(parts)
        self._has_failed = False
        for table, part in parts:
            self._read_page(table, part, "", 0)

    def _read_page(self, table: str, part: str, first: str, failures: int) -> None:
        def handle(outcome: storage.StoreResult) -> None:
            if self._is_stopped():
                return
            if isinstance(outcome, result.Success):
                self._add_page(table, part, outcome.unwrap())
            else:
                self._retry_page(table, part, first, failures + 1, outcome.failure())

        if not self._is_stopped():
            try:
                self._store.read(table, part, first, "", READ_TIMEOUT_S, handle)
            except Exception as error:
                # A call that cannot be made must not end the read.
                self._retry_page(table, part, first, failures + 1, error)

    def _retry_page(
        self, table: str, part: str, first: str, failures: int, error: Exception
    ) -> None:
        limit_s = min(MAX_RETRY_S, RETRY_S * 2.0 ** min(failures - 1, 8))
        delay_s = self._jitter.uniform(limit_s / 2, limit_s)
        self._call_later(delay_s, lambda: self._read_page(table, part, first, failures))
        if not self._has_failed:
            self._has_failed = True
            self._on_error(error)

    def _add_page(self, table: str, part: str, page: storage.Page) -> None:
        content = self._content
        # Changes are followed from the oldest version among the pages, so that changes made
        # between the reads of pages or parts are not missed.
        content.version = min(content.version or page.version, page.version)
        content.clock_ms = min(content.clock_ms or page.clock_ms, page.clock_ms)
        content.rows += page.rows
        if page.is_truncated and page.rows:
            self._read_page(table, part, page.rows[-1].key.key + "\0", 0)
            return
        self._unread_parts -= 1
        if not self._unread_parts:
            self._on_done(content)
