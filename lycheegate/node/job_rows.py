"""Rows of jobs in the store: which jobs a term begins with, which are added, and which are deleted.

All functions and callbacks run on the event thread.
"""

import collections
import functools
import math
from collections.abc import Callable

from lycheegate.jobs import cancellations, commands, leases, lifecycle, progress, state
from lycheegate.metrics import jsonlog
from lycheegate.node import deletion, recovery, storage, tables
from lycheegate.utils import errors, exceptions

__all__ = ["JobRows"]

MAX_DELETED_VERSIONS = 10_000
"""Number of deleted jobs that are remembered; a read of the table takes seconds."""
MAX_LOGGED_KEY = 40
"""Characters of a row's key in the log; keys of other writers have up to 200."""


class JobRows:
    """Applies the rows of jobs to the state of one term, and deletes those that have expired.

    Args:
        current: State of the scheduler.
        deleter: Deletes records.
        log: Log of decisions.
        now_s: Clock that includes time spent suspended.
        wall_s: Time of day, in seconds since 1970.
        execute: Executes commands.
        is_stopped: Returns whether the term has ended.
    """

    def __init__(
        self,
        current: state.SchedulerState,
        deleter: deletion.RecordDeleter,
        log: jsonlog.JsonLog,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        execute: Callable[[list[commands.Command]], None],
        is_stopped: Callable[[], bool],
    ):
        self._state = current
        self._deleter = deleter
        self._log = log
        self._now_s = now_s
        self._wall_s = wall_s
        self._execute = execute
        self._is_stopped = is_stopped
        self._unreadable_jobs: set[str] = set()
        """Jobs whose records could not be read at the start of the term; they may have run."""
        self._deleted_versions: collections.OrderedDict[str, int] = collections.OrderedDict()
        """Versions of the rows of the jobs that were deleted last."""
        self._reused_rows: dict[str, storage.Row] = {}
        """Rows of new jobs that have the identifier of one whose records are being deleted."""

    def apply_loaded(self, loaded: recovery.LoadedJobs) -> None:
        """Adds the jobs with which the term begins, and deletes progress without a job."""
        now_s, wall_s = self._now_s(), self._wall_s()
        recovered = 0
        for job_id, row in loaded.jobs.items():
            try:
                job = self._make_job(job_id, row)
                record = loaded.progress.get(job_id)
                pages = loaded.pages.get(job_id, [])
                if job is None or not self._restore_progress(job, record, pages, now_s):
                    self._unreadable_jobs.add(job_id)
                    continue
                lifecycle.add_job(self._state, job, now_s, wall_s)
            except Exception as error:
                # The other jobs must be scheduled; nothing is placed before all are loaded.
                self._unreadable_jobs.add(job_id)
                self._log_unreadable_job(job_id, error)
                continue
            recovered += job.is_open
        for job_id, version in loaded.cancelled.items():
            self._execute(cancellations.record_cancellation(self._state, job_id, version, now_s))
        self._log_loaded_term(len(loaded.jobs), recovered)
        orphans = loaded.list_orphans()[: deletion.MAX_DELETED_ROWS]
        if orphans:
            self._deleter.delete_progress(orphans, [])

    def _log_loaded_term(self, jobs: int, open_jobs: int) -> None:
        """Logs the jobs that the term begins with, and the runs that may exist on workers."""
        runs_by_openness = {True: 0, False: 0}
        known_ends = 0
        for job in self._state.jobs.values():
            runs = job.list_runs()
            runs_by_openness[job.is_open] += len(runs)
            known_ends += sum(leases.is_inherited_end_known(self._state, r.worker_id) for r in runs)
        self._log.write(
            "term_loaded",
            epoch=self._state.epoch,
            jobs=jobs,
            open=open_jobs,
            runs=runs_by_openness[True],
            runs_of_ended_jobs=runs_by_openness[False],
            runs_with_lease_end=known_ends,
            runs_without_lease_end=sum(runs_by_openness.values()) - known_ends,
        )

    def _restore_progress(
        self,
        job: state.JobState,
        record: storage.Row | None,
        pages: list[storage.Row],
        now_s: float,
    ) -> bool:
        """Restores a job's progress; returns whether the record could be decoded."""
        if record is None:
            return True
        try:
            contents = tuple(row.value for row in pages)
            progress.decode_progress(job, record.value, now_s, contents)
        except exceptions.ProtocolError as error:
            self._log_unreadable_job(job.job.job_id, error)
            return False
        job.version = record.version
        job.stored_pages = len(pages)
        job.stored_status = progress.make_status(job)
        return True

    def _make_job(self, job_id: str, row: storage.Row) -> state.JobState | None:
        try:
            accepted = progress.decode_accepted(job_id, row.value)
        except exceptions.ProtocolError as error:
            self._log_unreadable_job(job_id, error)
            return None
        return state.JobState(accepted.job, accepted.route, accepted_version=row.version)

    def apply_rows(self, rows: tuple[storage.Row, ...]) -> None:
        """Applies rows of the table of jobs, from its feed or announced by a VM."""
        now_s = self._now_s()
        for row in rows:
            job_id, is_cancel = tables.split_job_key(row.key.key)
            if row.deleted:
                if is_cancel:
                    cancellations.remove_cancellation(self._state, job_id)
                continue
            if is_cancel:
                self._execute(
                    cancellations.record_cancellation(self._state, job_id, row.version, now_s)
                )
            elif job_id in self._state.jobs:
                self._record_reused_row(self._state.jobs[job_id], row)
            elif self._is_new(job_id, row):
                self._add_seen_job(job_id, row, now_s)

    def _record_reused_row(self, job: state.JobState, row: storage.Row) -> None:
        """Keeps the row of a new job until the job that had its identifier has been removed."""
        is_being_deleted = job.delete_not_before_s == math.inf
        if is_being_deleted and row.version > job.accepted_version:
            self._reused_rows[job.job.job_id] = row

    def _is_new(self, job_id: str, row: storage.Row) -> bool:
        """Returns whether the row of a job that is not known is that of a new one.

        A read of the whole table that was made before a deletion may arrive after it.
        """
        if job_id in self._unreadable_jobs:
            return False
        return row.version > self._deleted_versions.get(job_id, storage.ABSENT)

    def _add_seen_job(self, job_id: str, row: storage.Row, now_s: float) -> None:
        try:
            job = self._make_job(job_id, row)
            if job is not None:
                lifecycle.add_job(self._state, job, now_s, self._wall_s())
                self._log.write("job_seen", job=job_id, version=row.version)
                self._execute(cancellations.apply_to_new_job(self._state, job_id, now_s))
        except Exception as error:
            # The other rows of the answer are not delivered again.
            self._log_unreadable_job(job_id, error)

    def _log_unreadable_job(self, job_id: str, error: Exception) -> None:
        text = f"{type(error).__name__}: {error!s:.200}"
        fields = errors.describe(error).make_fields(text)
        self._log.write("record_unreadable", job=job_id[:MAX_LOGGED_KEY], **fields)

    def delete_expired(self, now_s: float) -> None:
        """Deletes the records of jobs and cancellations that are no longer needed."""
        expired = lifecycle.list_expired(self._state, now_s)
        for job in expired[: deletion.MAX_DELETED_JOBS]:
            job.delete_not_before_s = math.inf
            self._deleter.delete_job(job, functools.partial(self._handle_deleted, job))
        # Those of jobs that could not be read are kept, because the next holder may read them.
        unneeded = set(cancellations.list_expired(self._state, now_s)) - self._unreadable_jobs
        for job_id in sorted(unneeded)[: deletion.MAX_DELETED_JOBS]:
            version = self._state.unknown_cancellations[job_id].version
            cancellations.postpone_deletion(self._state, job_id, math.inf)
            on_done = functools.partial(self._handle_deleted_cancellation, job_id)
            self._deleter.delete_cancellation(job_id, version, on_done)

    def _handle_deleted_cancellation(self, job_id: str, is_deleted: bool) -> None:
        """Removes a cancellation whose row was deleted, or deletes the row again later."""
        if is_deleted:
            cancellations.remove_cancellation(self._state, job_id)
            return
        retry_at_s = self._now_s() + deletion.RETRY_S
        cancellations.postpone_deletion(self._state, job_id, retry_at_s)

    def _handle_deleted(self, job: state.JobState, is_deleted: bool) -> None:
        """Removes a job whose row was deleted, or deletes the row again later."""
        if self._is_stopped():
            return
        if not is_deleted:
            job.delete_not_before_s = self._now_s() + deletion.RETRY_S
            return
        job_id = job.job.job_id
        lifecycle.remove_job(self._state, job_id)
        self._deleted_versions[job_id] = job.accepted_version
        if len(self._deleted_versions) > MAX_DELETED_VERSIONS:
            self._deleted_versions.popitem(last=False)
        # A new job may have got the identifier while the deletion was on its way.
        row = self._reused_rows.pop(job_id, None)
        if row is not None:
            self._add_seen_job(job_id, row, self._now_s())
