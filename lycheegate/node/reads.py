"""Reads whole tables, with all parts in parallel."""

from collections.abc import Callable, Sequence

from returns import result

from lycheegate.node import storage

__all__ = ["TableContent", "TableRead"]

READ_TIMEOUT_S = 1.5

TablePart = tuple[str, str]
"""Name of a table, and name of one of its parts."""


class TableContent:
    """Rows of one or more tables.

    Attributes:
        rows: The rows.
        version: Version from which to follow changes, so that none is missed.
        clock_ms: The store's clock in the last answer.
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
        parts: Table parts to read.
        on_done: Called with the content once all parts have been read.
        on_failed: Called with the first error; no callback follows it.
    """

    def __init__(
        self,
        store: storage.Store,
        parts: Sequence[TablePart],
        on_done: Callable[[TableContent], None],
        on_failed: Callable[[Exception], None],
    ):
        self._store = store
        self._on_done = on_done
        self._on_failed = on_failed
        self._content = TableContent()
        self._unread_parts = len(parts)
        self._failed = False
        for table, part in parts:
            self._read_page(table, part, "")

    def _read_page(self, table: str, part: str, first: str) -> None:
        def handle(outcome: storage.StoreResult) -> None:
            self._handle_page(table, part, outcome)

        self._store.read(table, part, first, "", READ_TIMEOUT_S, handle)

    def _handle_page(self, table: str, part: str, outcome: storage.StoreResult) -> None:
        if self._failed:
            return
        if not isinstance(outcome, result.Success):
            self._failed = True
            self._on_failed(outcome.failure())
            return
        page = outcome.unwrap()
        content = self._content
        # Changes are followed from the oldest version among the pages, so that changes made
        # between the reads of pages or parts are not missed.
        content.version = min(content.version or page.version, page.version)
        content.clock_ms = max(content.clock_ms, page.clock_ms)
        content.rows += page.rows
        if page.is_truncated and page.rows:
            self._read_page(table, part, page.rows[-1].key.key + "\0")
            return
        self._unread_parts -= 1
        if not self._unread_parts:
            self._on_done(content)
