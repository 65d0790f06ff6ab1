"""Acceptance of submitted jobs: a job is decoded, then stored or, under overload, refused.

Handles repeated submissions of a job, and its cancellation or refusal at another VM while a call
for it is on its way.
"""

import dataclasses
import math
import random
from collections.abc import Callable

import werkzeug
from returns import result

from lycheegate.jobs import admission, model, progress, refusal_switch
from lycheegate.metrics import jsonlog
from lycheegate.node import node_view, responses, storage, store_calls, tables, terms
from lycheegate.platform import submissions
from lycheegate.utils import exceptions

__all__ = ["Acceptance", "Submission", "TooLargeError", "decode_submission"]

REFUSAL_TIMEOUT_S = 0.7
"""Time for the mark of a refusal to be stored; after it, the job is accepted instead."""
MARK_MARGIN_S = 0.5
"""Time by which a mark ends before its caller is to come again, because the VMs' estimates of the
store's clock differ."""
MAX_MARK_CONFLICTS = 3
"""Number of times that a call meets a changed mark before it is refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """One call that submits a job.

    Attributes:
        job: The job.
        route: Its queue.
        record: The job as it is stored.
        call_id: Identifier of the call.
        begun_at_s: When the VM began to read the call.
        deadline_s: Time by which it is to be answered.
        is_connected: Returns whether the caller has not closed its connection.
        is_bound: Whether the job may only be stored if no call for it was refused.
    """

    job: model.Job
    route: model.Route
    record: bytes
    call_id: str
    begun_at_s: float
    deadline_s: float
    is_connected: Callable[[], bool]
    is_bound: bool


class TooLargeError(exceptions.ProtocolError):
    """A job takes more bytes than a row of the store may have."""


def decode_submission(
    body: bytes,
    job_id: str,
    route: model.Route,
    account: str,
    wall_s: float,
    max_row_bytes: int,
) -> tuple[model.Job, bytes]:
    """Returns a submitted job, and the record of its acceptance.

    Args:
        body: Job document.
        job_id: Identifier of the job.
        route: Its queue.
        account: Its client account, or an empty string.
        wall_s: Time of day, in seconds since 1970.
        max_row_bytes: Maximum size of a row in the store.

    Raises:
        TooLargeError: The record is larger than a row.
        ProtocolError: The document is malformed or exceeds another limit.
    """
    job = submissions.decode_job(body, job_id, route.name, account, wall_s)
    record = progress.encode_accepted(progress.AcceptedJob(job, route), max_row_bytes)
    if len(record) > max_row_bytes:
        raise TooLargeError(
            f"job {job_id}: expected a job that takes at most {max_row_bytes} bytes to "
            f"store, got {len(record)} bytes for {len(job.steps)} steps"
        )
    return job, record


class Acceptance:
    """Answers calls that submit a job.

    Args:
        store: The store.
        view: The VM's view of configuration and term.
        now_s: Clock that includes time spent suspended.
        log: Log of decisions.
        max_configuration_age_s: Age of the last confirmation above which no key is trusted.
        notify: Notifies the scheduler of a row that has been written.
        generator: Source of the times after which refused callers are to come again.
        count_refusal: Counts a refusal because of overload, by client account and queue.
    """

    def __init__(
        self,
        store: storage.Store,
        view: node_view.NodeView,
        now_s: Callable[[], float],
        log: jsonlog.JsonLog,
        max_configuration_age_s: float,
        notify: Callable[[storage.Row], None],
        generator: random.Random,
        count_refusal: Callable[[str, str], None],
    ):
        self._store = store
        self._view = view
        self._now_s = now_s
        self._log = log
        self._max_configuration_age_s = max_configuration_age_s
        self._notify = notify
        self._random = generator
        self._count_refusal = count_refusal

    def answer(self, submission: Submission) -> werkzeug.Response:
        """Stores or refuses a job, and returns the response to its caller."""
        if not submission.is_bound:
            return self._accept_unbound(submission)
        return self._refuse_under_overload(submission) or self._accept(submission)

    def _accept_unbound(self, submission: Submission) -> werkzeug.Response:
        """Stores a job of a queue that refuses no late jobs, unless it was cancelled before."""
        job_id = submission.job.job_id
        job_key, cancel_key = tables.get_job_key(job_id), tables.get_cancel_key(job_id)
        # The job may have been cancelled at another VM while this call was on its way.
        transaction = storage.Transaction(
            conditions=(
                storage.Condition(job_key, storage.ABSENT),
                storage.Condition(cancel_key, storage.ABSENT),
            ),
            writes=(storage.Write(job_key, submission.record),),
        )
        outcome = store_calls.transact(self._store, transaction, submission.deadline_s, self._now_s)
        if isinstance(outcome, result.Success):
            return self._respond_accepted(submission, outcome.unwrap())
        error = outcome.failure()
        if not isinstance(error, storage.ConflictError):
            return responses.respond_store_error(self._log, error, "submit", job_id)
        if error.rows and all(row.key == cancel_key for row in error.rows):
            return self._respond_cancelled(job_id)
        # The job already exists: an earlier answer was lost, or the call was repeated.
        return self._respond_repeated(job_id)

    def _respond_cancelled(self, job_id: str) -> werkzeug.Response:
        self._log.write("job_cancelled_before", job=job_id)
        return werkzeug.Response("the job was cancelled before", status=410)

    def _respond_repeated(self, job_id: str) -> werkzeug.Response:
        self._log.write("job_repeated", job=job_id)
        return responses.make_json(b"{}")

    def _refuse_under_overload(self, submission: Submission) -> werkzeug.Response | None:
        """Refuses a job that cannot end in time, or returns None if it is to be accepted.

        The refusal is stored as a mark on the condition that the job is not, so that no earlier
        call for the job whose answer was lost can store it after this answer. If the mark cannot be
        stored, the job is accepted.
        """
        job, route, now_s = submission.job, submission.route, self._now_s()
        max_age_s = self._max_configuration_age_s
        if not refusal_switch.may_refuse(self._view.switches, route, now_s, max_age_s):
            return None
        load, age_s = terms.find_load(self._view.term, now_s)
        account = self._view.configuration.accounts.get(job.account)
        decision = admission.decide(load, age_s, job, route, account, self._random.random)
        clock_ms = terms.estimate_clock_ms(self._view.term, now_s)
        if isinstance(decision, admission.Accept) or not clock_ms:
            return None
        held_s = decision.retry_after_s - MARK_MARGIN_S
        mark = tables.RefusalMark(clock_ms + int(1000.0 * held_s), submission.call_id)
        transaction = storage.Transaction(
            conditions=(
                storage.Condition(tables.get_job_key(job.job_id), storage.ABSENT),
                storage.Condition(tables.get_cancel_key(job.job_id), storage.ABSENT),
            ),
            writes=(
                storage.Write(tables.get_refusal_key(job.job_id), tables.encode_refusal_mark(mark)),
            ),
        )
        deadline_s = min(submission.deadline_s, now_s + REFUSAL_TIMEOUT_S)
        if not isinstance(
            store_calls.transact(self._store, transaction, deadline_s, self._now_s), result.Success
        ):
            return None
        figures = {
            "wait_s": round(decision.wait_s, 1),
            "limit_s": round(decision.limit_s, 1),
            "load_age_s": round(age_s, 2),
        }
        return self._respond_overload(submission, decision.retry_after_s, **figures)

    def _accept(self, submission: Submission) -> werkzeug.Response:
        """Stores a job, unless it was cancelled or refused before."""
        job, mark_version = submission.job, storage.ABSENT
        job_key = tables.get_job_key(job.job_id)
        # The job may have been cancelled at another VM while this call was on its way.
        cancel_key = tables.get_cancel_key(job.job_id)
        refusal_key = tables.get_refusal_key(job.job_id)
        for _ in range(MAX_MARK_CONFLICTS):
            transaction = storage.Transaction(
                conditions=(
                    storage.Condition(job_key, storage.ABSENT),
                    storage.Condition(cancel_key, storage.ABSENT),
                    storage.Condition(refusal_key, mark_version),
                ),
                writes=(storage.Write(job_key, submission.record),),
                deletes=(refusal_key,) if mark_version else (),
            )
            outcome = store_calls.transact(
                self._store, transaction, submission.deadline_s, self._now_s
            )
            if isinstance(outcome, result.Success):
                return self._respond_accepted(submission, outcome.unwrap())
            error = outcome.failure()
            if not isinstance(error, storage.ConflictError):
                return responses.respond_store_error(self._log, error, "submit", job.job_id)
            found = {row.key: row for row in error.rows}
            if job_key in found:
                # An earlier answer was lost, or the call was repeated.
                return self._respond_repeated(job.job_id)
            if cancel_key in found:
                return self._respond_cancelled(job.job_id)
            mark = found.get(refusal_key)
            if mark is None and not mark_version:
                return self._respond_to_unknown_conflict(submission)
            remaining_s = self._compute_marked_s(submission, mark) if mark is not None else 0.0
            if remaining_s > 0.0:
                return self._respond_overload(submission, math.ceil(remaining_s), repeated=True)
            mark_version = mark.version if mark is not None else storage.ABSENT
        return self._respond_overload(submission, responses.RETRY_AFTER_S, repeated=True)

    def _respond_accepted(self, submission: Submission, version: int) -> werkzeug.Response:
        job = submission.job
        self._notify(storage.Row(tables.get_job_key(job.job_id), submission.record, version))
        self._log.write(
            "job_accepted",
            job=job.job_id,
            route=submission.route.name,
            account=job.account,
            tasks=sum(step.count for step in job.steps),
            timed=job.is_timed,
            version=version,
        )
        return responses.make_json(b"{}")

    def _respond_to_unknown_conflict(self, submission: Submission) -> werkzeug.Response:
        """Responds to a call when the store does not tell what its transaction conflicts with."""
        job_id = submission.job.job_id
        outcome = store_calls.read_row(
            self._store, tables.get_job_key(job_id), submission.deadline_s, self._now_s
        )
        if isinstance(outcome, result.Success) and outcome.unwrap() is not None:
            return self._respond_repeated(job_id)
        self._log.write("outcome_unknown", call="submit", job=job_id, error="unknown conflict")
        return werkzeug.Response(status=504)

    def _compute_marked_s(self, submission: Submission, row: storage.Row) -> float:
        """Returns for how long the mark of a refusal still holds for a call, or 0.

        Calls that a VM began to read before the caller was to come again may be older than the
        refusal, as well as those whose caller has closed its connection. A call may remove its own
        mark, as it has not been answered.
        """
        try:
            mark = tables.decode_refusal_mark(row.value)
        except exceptions.ProtocolError as error:
            self._log.write("refusal_unreadable", job=submission.job.job_id, error=str(error))
            return 0.0
        if mark.call_id == submission.call_id:
            return 0.0
        begun_ms = terms.estimate_clock_ms(self._view.term, submission.begun_at_s)
        remaining_s = (mark.not_before_ms - begun_ms) / 1000.0
        if not begun_ms or (remaining_s <= 0.0 and not submission.is_connected()):
            return responses.RETRY_AFTER_S
        # A longer time than any refusal names shows that the store's clock was set back.
        return max(0.0, remaining_s) if remaining_s <= admission.MAX_RETRY_AFTER_S else 0.0

    def _respond_overload(
        self, submission: Submission, retry_after_s: int, **figures
    ) -> werkzeug.Response:
        job = submission.job
        retry_after_s = max(responses.RETRY_AFTER_S, retry_after_s)
        self._count_refusal(job.account, submission.route.name)
        return responses.respond_unavailable(
            self._log,
            "overload",
            job.job_id,
            retry_after_s,
            retry_after_s=retry_after_s,
            account=job.account,
            route=submission.route.name,
            priority=submission.route.priority,
            **figures,
        )
