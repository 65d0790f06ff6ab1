"""Deletion of the records of jobs whose retention time is over.

A job is known to the scheduler until its row has been deleted. Otherwise the row would be taken for
that of a new job when the table is read again, and the job would run again.
"""

from collections.abc import Callable

from returns import result

from lycheegate.jobs import state
from lycheegate.metrics import jsonlog
from lycheegate.node import storage, tables

__all__ = ["MAX_DELETED_JOBS", "MAX_DELETED_ROWS", "RecordDeleter"]

MAX_DELETED_JOBS = 20
"""Maximum number of jobs that are deleted at a time."""
MAX_DELETED_ROWS = 45
"""A transaction holds at most 100 entries; each row needs a condition and a deletion."""
TIMEOUT_S = 2.0
RETRY_S = 2.0
"""Delay before a deletion that failed is repeated."""


class RecordDeleter:
    """Deletes records during one term.

    Progress that cannot be deleted is only logged: the holder of the next term finds it without its
    job and deletes it.

    Args:
        store: The store.
        log: Log of decisions.
        holder_version: Version of the row of the term's holder.
    """

    def __init__(self, store: storage.Store, log: jsonlog.JsonLog, holder_version: int):
        self._store = store
        self._log = log
        self._holder_version = holder_version

    def delete_job(self, job: state.JobState, on_done: Callable[[bool], None]) -> None:
        """Deletes a job, then its progress; in the other order, the job could run again.

        Args:
            job: The job.
            on_done: Called with whether the row of the job is known to be deleted.
        """
        job_key = tables.get_job_key(job.job.job_id)
        deletes = [job_key]
        if job.has_cancellation:
            deletes.append(tables.get_cancel_key(job.job.job_id))
        # The condition keeps a new job that reuses the identifier.
        condition = storage.Condition(job_key, job.accepted_version)

        def handle_deleted(outcome: storage.StoreResult) -> None:
            is_deleted = _is_deleted(outcome)
            if is_deleted:
                job_id = job.job.job_id
                pages = [tables.get_page_key(job_id, n) for n in range(job.stored_pages)]
                key = tables.get_progress_key(job_id)
                self.delete_progress([storage.Condition(key, job.version)], pages)
            else:
                self._log_failure(outcome)
            on_done(is_deleted)

        transaction = storage.Transaction((condition,), (), tuple(deletes))
        self._store.transact(transaction, TIMEOUT_S, handle_deleted)

    def delete_cancellation(
        self, job_id: str, version: int, on_done: Callable[[bool], None]
    ) -> None:
        """Deletes the cancellation of a job that is not known, unless it was written again.

        Args:
            job_id: Identifier of the job.
            version: Version of the cancellation's row.
            on_done: Called with whether the row is deleted or has another version.
        """
        key = tables.get_cancel_key(job_id)

        def handle_deleted(outcome: storage.StoreResult) -> None:
            is_deleted = _is_deleted(outcome)
            if not is_deleted:
                self._log_failure(outcome)
            on_done(is_deleted)

        transaction = storage.Transaction((storage.Condition(key, version),), (), (key,))
        self._store.transact(transaction, TIMEOUT_S, handle_deleted)

    def delete_progress(
        self, conditions: list[storage.Condition], pages: list[storage.RowKey]
    ) -> None:
        """Deletes progress records that still have the versions in the conditions.

        Args:
            conditions: The records and their versions.
            pages: Pages of these records.
        """
        term = storage.Condition(tables.HOLDER, self._holder_version)
        keys = tuple(condition.key for condition in conditions)
        transaction = storage.Transaction((term, *conditions), (), (*keys, *pages))
        self._store.transact(transaction, TIMEOUT_S, self._log_failure)

    def _log_failure(self, outcome: storage.StoreResult) -> None:
        if not isinstance(outcome, result.Success):
            self._log.write("deletion_failed", error=str(outcome.failure()))


def _is_deleted(outcome: storage.StoreResult) -> bool:
    """Returns whether a row is known to be deleted, or to have been written again.

    On a conflict, an earlier deletion whose answer was lost may have taken effect.
    """
    return isinstance(outcome, result.Success) or isinstance(
        outcome.failure(), storage.ConflictError
    )
