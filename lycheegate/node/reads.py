"""Reading whole tables, all parts at the same time."""

from collections.abc import Callable, Sequence

from returns import result

from lycheegate.node import storage

__all__ = ["TableContent", "TableRead"]

READ_TIMEOUT_S = 1.5

TablePart = tuple[str, str]
"""Name of a table, and one of its parts."""


class TableContent:
    """Rows of one or more tables.

    Attributes:
        rows: The rows.
        version: Version from which later changes are to be followed, so that none is missed.
        clock_ms: The store's clock in the last answer.
    """

    def __init__(self):
        self.rows: list[storage.Row] = []
        self.version = 0
        self.clock_ms = 0


class TableRead:
    """One read of some parts; all calls and callbacks are on the event thread.

    The parts are read in parallel: one after another, a store that is slow to answer would delay
    a new scheduler by the number of parts.

    Args:
        store: The store.
        parts: What to read.
        on_done: Receives the content.
        on_failed: Receives the first error; nothing else follows then.
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
        self._left = len(parts)
        self._failed = False
        for table, part in parts:
            self._read_page(table, part, "")

    def _read_page(self, table: str, part: str, first: str) -> None:
        def take(outcome: storage.StoreResult) -> None:
            self._take_page(table, part, outcome)

        self._store.read(table, part, first, "", READ_TIMEOUT_S, take)

    def _take_page(self, table: str, part: str, outcome: storage.StoreResult) -> None:
        if self._failed:
            return
        if not isinstance(outcome, result.Success):
            self._failed = True
            self._on_failed(outcome.failure())
            return
        page = outcome.unwrap()
        content = self._content
        # Changes are taken from the first page on, so none between pages or parts is missed.
        content.version = min(content.version or page.version, page.version)
        content.clock_ms = max(content.clock_ms, page.clock_ms)
        content.rows += page.rows
        if page.is_truncated and page.rows:
            self._read_page(table, part, page.rows[-1].key.key + "\0")
            return
        self._left -= 1
        if not self._left:
            self._on_done(content)
