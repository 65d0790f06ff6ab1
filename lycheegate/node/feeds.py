"""Following a table: read it once, then take its changes, and read anew when history is lost."""

import random
from collections.abc import Callable

from returns import result

from lycheegate.node import storage

__all__ = ["TableFeed"]

READ_TIMEOUT_S = 1.5
RETRY_S = 0.2
MAX_RETRY_S = 1.0


class TableFeed:
    """Follows one table; all calls and callbacks are on the event thread.

    Args:
        store: The store.
        call_later: Runs a function after a delay in seconds.
        table: The table.
        part: Its part.
        on_rows: Receives rows, whether they are the whole table, and the store's clock in ms.
        on_error: Receives errors, for the log.
        wait_s: How long one call waits for a change.
        pause_s: Delay between calls, which gathers frequent changes.
    """

    def __init__(
        self,
        store: storage.Store,
        call_later: Callable,
        table: str,
        part: str,
        on_rows: Callable[[tuple[storage.Row, ...], bool, int], None],
        on_error: Callable[[Exception], None],
        wait_s: float = 1.0,
        pause_s: float = 0.0,
        jitter: random.Random | None = None,
    ):
        self._store = store
        self._call_later = call_later
        self._table = table
        self._part = part
        self._on_rows = on_rows
        self._on_error = on_error
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._jitter = jitter or random.Random()
        self._stopped = False
        self._failures = 0
        self._rows: list[storage.Row] = []
        self._version = 0

    def start(self) -> None:
        """Reads the table and follows it."""
        self._rows = []
        self._version = 0
        self._read_page("")

    def follow_from(self, version: int) -> None:
        """Follows the table from a version at which its rows are known."""
        self._version = version
        self._follow()

    def stop(self) -> None:
        """Ends the feed; an answer under way is dropped."""
        self._stopped = True

    def _read_page(self, first: str) -> None:
        if self._stopped:
            return
        self._store.read(self._table, self._part, first, "", READ_TIMEOUT_S, self._take_page)

    def _take_page(self, outcome: storage.StoreResult) -> None:
        if self._stopped:
            return
        if not isinstance(outcome, result.Success):
            self._retry(outcome.failure(), self.start)
            return
        page = outcome.unwrap()
        self._failures = 0
        # Changes are taken from the first page on, so none between pages is missed.
        self._version = self._version or page.version
        self._rows += page.rows
        if page.is_truncated and page.rows:
            self._read_page(page.rows[-1].key.key + "\0")
            return
        rows, self._rows = tuple(self._rows), []
        self._on_rows(rows, True, page.clock_ms)
        self._follow()

    def _follow(self) -> None:
        if not self._stopped:
            self._store.follow(self._table, self._version, self._wait_s, self._take_changes)

    def _take_changes(self, outcome: storage.StoreResult) -> None:
        if self._stopped:
            return
        if not isinstance(outcome, result.Success):
            error = outcome.failure()
            if isinstance(error, storage.HistoryLostError):
                self._on_error(error)
                self.start()
            else:
                self._retry(error, self._follow)
            return
        self._failures = 0
        changes = outcome.unwrap()
        self._version = max(self._version, changes.version)
        self._on_rows(changes.rows, False, changes.clock_ms)
        if self._pause_s:
            self._call_later(self._pause_s, self._follow)
        else:
            self._follow()

    def _retry(self, error: Exception, function: Callable[[], None]) -> None:
        self._failures += 1
        if self._failures == 1:
            self._on_error(error)
        limit_s = min(MAX_RETRY_S, RETRY_S * 2.0 ** min(self._failures - 1, 8))
        self._call_later(self._jitter.uniform(limit_s / 2, limit_s), function)
