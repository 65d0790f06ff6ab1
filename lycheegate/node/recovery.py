"""Loading of all jobs at the beginning of a term."""

import dataclasses
from collections.abc import Callable

from returns import result

from lycheegate.node import storage, tables

__all__ = ["LoadedJobs", "load_jobs"]

READ_TIMEOUT_S = 2.0
RETRY_S = 0.2


@dataclasses.dataclass(slots=True)
class LoadedJobs:
    """Rows found.

    Attributes:
        jobs: Accepted jobs.
        cancelled: Jobs that were cancelled.
        progress: Progress records.
        version: Version from which changes of the table of jobs are to be followed.
    """

    jobs: dict[str, storage.Row] = dataclasses.field(default_factory=dict)
    cancelled: list[str] = dataclasses.field(default_factory=list)
    progress: dict[str, storage.Row] = dataclasses.field(default_factory=dict)
    version: int = 0


def load_jobs(
    store: storage.Store,
    call_later: Callable,
    on_loaded: Callable[[LoadedJobs], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Reads jobs, then their progress.

    Jobs are read first: a job that is accepted meanwhile comes with the changes, and nothing
    else can have changed its progress since the term was claimed.
    """
    loaded = LoadedJobs()

    def read(table: str, first: str) -> None:
        if is_stopped():
            return
        store.read(
            table,
            tables.PART,
            first,
            "",
            READ_TIMEOUT_S,
            lambda outcome: take(table, first, outcome),
        )

    def take(table: str, first: str, outcome: storage.StoreResult) -> None:
        if is_stopped():
            return
        if not isinstance(outcome, result.Success):
            call_later(RETRY_S, lambda: read(table, first))
            return
        page = outcome.unwrap()
        loaded.version = loaded.version or page.version
        _add_rows(loaded, table, page.rows)
        if page.is_truncated and page.rows:
            read(table, page.rows[-1].key.key + "\0")
        elif table == tables.JOBS:
            read(tables.PROGRESS, "")
        else:
            on_loaded(loaded)

    read(tables.JOBS, "")


def _add_rows(loaded: LoadedJobs, table: str, rows: tuple[storage.Row, ...]) -> None:
    for row in rows:
        if table == tables.PROGRESS:
            loaded.progress[row.key.key] = row
            continue
        job_id, is_cancel = tables.split_job_key(row.key.key)
        if is_cancel:
            loaded.cancelled.append(job_id)
        else:
            loaded.jobs[job_id] = row
