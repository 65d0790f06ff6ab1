"""Loads all jobs at the start of a term."""

import dataclasses
from collections.abc import Callable

from lycheegate.node import reads, storage, tables

__all__ = ["LoadedJobs", "load_jobs"]


@dataclasses.dataclass(slots=True)
class LoadedJobs:
    """Rows of the jobs and of their progress.

    Attributes:
        jobs: Rows of accepted jobs, by job identifier.
        cancelled: Version of the row of each cancellation, by job identifier.
        progress: Rows of progress records, by job identifier.
        pages: Rows of the pages of each record that has any, in their order.
        version: Version from which to follow changes of the table of jobs.
    """

    jobs: dict[str, storage.Row] = dataclasses.field(default_factory=dict)
    cancelled: dict[str, int] = dataclasses.field(default_factory=dict)
    progress: dict[str, storage.Row] = dataclasses.field(default_factory=dict)
    pages: dict[str, list[storage.Row]] = dataclasses.field(default_factory=dict)
    version: int = 0

    def list_orphans(self) -> list[storage.Condition]:
        """Returns the rows of progress whose jobs have been deleted, with the versions read."""
        pages = [(job_id, row) for job_id, rows in self.pages.items() for row in rows]
        return [
            storage.Condition(row.key, row.version)
            for job_id, row in (*self.progress.items(), *pages)
            if job_id not in self.jobs
        ]


def load_jobs(
    store: storage.Store,
    call_later: Callable,
    on_loaded: Callable[[LoadedJobs], None],
    on_error: Callable[[Exception], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Reads all jobs, then their progress; pages that cannot be read are retried.

    Jobs are read first. Jobs accepted during the reads arrive through the change feed, and only
    the holder of the term changes progress, so none of it can have changed since the term was
    claimed. A job without a progress record has not started: only the holder deletes progress,
    and it deletes the job's row first.

    Args:
        store: The store.
        call_later: Runs a function after a delay in seconds.
        on_loaded: Called with the rows once all have been read.
        on_error: Called with the first error of each of the two reads.
        is_stopped: Returns whether the term has ended, in which case nothing more is read.
    """
    loaded = LoadedJobs()

    def read(parts: list[reads.TablePart], on_done: Callable[[reads.TableContent], None]) -> None:
        reads.TableRead(store, call_later, parts, on_done, on_error, is_stopped)

    def handle_jobs(content: reads.TableContent) -> None:
        loaded.version = content.version
        for row in content.rows:
            job_id, is_cancel = tables.split_job_key(row.key.key)
            if is_cancel:
                loaded.cancelled[job_id] = row.version
            else:
                loaded.jobs[job_id] = row
        read([(tables.PROGRESS, tables.PART), (tables.PAGES, tables.PART)], handle_progress)

    def handle_progress(content: reads.TableContent) -> None:
        for row in sorted(content.rows, key=lambda row: row.key.key):
            if row.key.table == tables.PROGRESS:
                loaded.progress[row.key.key] = row
            else:
                job_id = tables.split_page_key(row.key.key)
                loaded.pages.setdefault(job_id, []).append(row)
        on_loaded(loaded)

    read(tables.list_job_parts(), handle_jobs)
