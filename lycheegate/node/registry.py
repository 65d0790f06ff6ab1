"""Registrations of the workers, as the change feed of their table delivers them."""

from collections.abc import Callable

from lycheegate.jobs import workers
from lycheegate.node import storage
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import errors, exceptions

__all__ = ["OddRow", "WorkerRegistry"]

OddRow = Callable[[str, str, int], None]
"""Receives the key of a row that names no worker, the reason, and the size of the row in bytes."""


class WorkerRegistry:
    """Registrations of all workers.

    Handles thousands of workers that refresh their rows every second. Nearly all rows are such
    heartbeats, which change nothing that is decoded, so rows are compared one by one.

    Args:
        on_odd_row: Called for a row that names no worker, for example one of another writer; not
            again until the row is rejected for another reason.
    """

    def __init__(self, on_odd_row: OddRow = lambda worker_id, reason, size_bytes: None):
        self._registrations: dict[str, workers.Registration] = {}
        self._on_odd_row = on_odd_row
        self._odd_reasons: dict[str, str] = {}

    def apply_rows(self, rows: tuple[storage.Row, ...], is_full_table: bool) -> bool:
        """Applies changed rows, or the whole table; returns whether a registration may differ.

        A row that was deleted or that cannot be decoded registers no worker.
        """
        if is_full_table:
            self._registrations = {}
            keys = {row.key.key for row in rows}
            self._odd_reasons = {k: v for k, v in self._odd_reasons.items() if k in keys}
        has_changed = is_full_table
        for row in rows:
            worker_id = row.key.key
            registration = self._decode(row)
            if registration == self._registrations.get(worker_id):
                continue
            has_changed = True
            if registration is None:
                del self._registrations[worker_id]
            else:
                self._registrations[worker_id] = registration
        return has_changed

    def _decode(self, row: storage.Row) -> workers.Registration | None:
        worker_id = row.key.key
        if row.deleted:
            self._odd_reasons.pop(worker_id, None)
            return None
        try:
            registration = worker_calls.decode_registration(worker_id, row.value)
        except exceptions.ProtocolError as error:
            self._report_odd_row(row, str(error))
            return None
        except Exception as error:
            # The other rows of the answer are not delivered again, so they must be applied.
            self._report_odd_row(row, errors.describe(error).format())
            return None
        self._odd_reasons.pop(worker_id, None)
        return registration

    def _report_odd_row(self, row: storage.Row, reason: str) -> None:
        if self._odd_reasons.get(row.key.key) != reason:
            self._odd_reasons[row.key.key] = reason
            self._on_odd_row(row.key.key, reason, len(row.value))

    def list_registrations(self) -> list[workers.Registration]:
        """Returns the registrations of all workers."""
        return list(self._registrations.values())
