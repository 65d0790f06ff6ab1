"""Registrations of the workers, as the change feed of their table delivers them."""

from lycheegate.jobs import workers
from lycheegate.node import storage
from lycheegate.platform import workers as worker_calls

__all__ = ["WorkerRegistry"]


class WorkerRegistry:
    """Registrations of all workers.

    Handles thousands of workers that refresh their rows every second. Nearly all rows are such
    heartbeats, which change nothing that is decoded, so rows are compared one by one.
    """

    def __init__(self):
        self._registrations: dict[str, workers.Registration] = {}

    def apply_rows(self, rows: tuple[storage.Row, ...], is_full_table: bool) -> bool:
        """Applies changed rows, or the whole table; returns whether a registration may differ.

        A row that was deleted or that cannot be decoded registers no worker.
        """
        if is_full_table:
            self._registrations = {}
        has_changed = is_full_table
        for row in rows:
            worker_id = row.key.key
            registration = None
            if not row.deleted:
                registration = worker_calls.decode_registration(worker_id, row.value)
            if registration == self._registrations.get(worker_id):
                continue
            has_changed = True
            if registration is None:
                del self._registrations[worker_id]
            else:
                self._registrations[worker_id] = registration
        return has_changed

    def list_registrations(self) -> list[workers.Registration]:
        """Returns the registrations of all workers."""
        return list(self._registrations.values())
