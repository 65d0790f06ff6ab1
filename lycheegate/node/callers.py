"""Callers' HTTP interface: submit a job, get its status, cancel it, count pending jobs."""

import collections
import dataclasses
import functools
import math
import random
import threading
import uuid
from collections.abc import Callable

import werkzeug
from returns import result

from lycheegate.entry import server
from lycheegate.jobs import admission, model, progress, refusal_switch
from lycheegate.metrics import jsonlog
from lycheegate.node import storage, tables, terms, waiting
from lycheegate.platform import submissions
from lycheegate.utils import errors, exceptions

__all__ = [
    "CallerApplication",
    "NodeView",
    "TooLargeError",
    "decode_submission",
    "identify_account",
]

STORE_TIMEOUT_S = 0.7
DEFAULT_DEADLINE_S = 3.0
STORE_CLIENT_GRACE_S = 1.0
"""Time beyond the limit of a call for the store client to try peers."""
RESPONSE_MARGIN_S = 0.3
"""Part of a caller's time limit that is reserved for returning the response."""
RETRY_AFTER_S = 1
UNAVAILABLE_RETRIES = 2
UNAVAILABLE_PAUSE_S = 0.03
LOST_ANSWER_PAUSE_S = 0.05
"""Delay after the first lost answer of a call; doubles with each further one."""
MAX_LOST_ANSWER_PAUSE_S = 0.4
MAX_LOST_READS = 3
"""Lost answers of a read after which the holder of the term is asked instead."""
MAX_CACHED_STATUSES = 4096
HOLDER_TIMEOUT_S = 0.5
REFUSAL_TIMEOUT_S = 0.7
"""Time for the mark of a refusal to be stored; after it, the job is accepted instead."""
MARK_MARGIN_S = 0.5
"""Time by which a mark ends before its caller is to come again, because the VMs' estimates of the
store's clock differ."""
MAX_MARK_CONFLICTS = 3
"""Number of times that a call meets a changed mark before it is refused."""


@dataclasses.dataclass(slots=True)
class NodeView:
    """This VM's view of the configuration, the term and its own shutdown.

    Attributes:
        configuration: Configuration in force, or None if none has been read.
        evacuated: Data centres that the operators evacuate.
        switches: Queues that refuse late jobs, or did so; updated before the configuration.
        confirmed_at_s: When configuration and evacuations were last confirmed to be the newest.
        term: View of the scheduler's term.
        drain_ends_s: Time by which all calls must be answered, or None unless draining.
    """

    configuration: model.Configuration | None = None
    switches: refusal_switch.Switches = dataclasses.field(default_factory=refusal_switch.Switches)
    evacuated: frozenset[str] = frozenset()
    confirmed_at_s: float = 0.0
    term: terms.TermView = dataclasses.field(default_factory=terms.TermView)
    drain_ends_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Submission:
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


def identify_account(configuration: model.Configuration, request: werkzeug.Request) -> str:
    """Returns the client account of a request's key, or an empty string without a valid key."""
    key = submissions.parse_key(request.headers.get("Authorization", ""))
    return configuration.account_by_key.get(key, "") if key is not None else ""


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


class CallerApplication:
    """WSGI application that serves callers.

    Args:
        store: The store.
        view: The VM's view of configuration and term, updated by the daemon.
        now_s: Clock that includes time spent suspended.
        wall_s: Time of day, in seconds since 1970.
        log: Log of decisions.
        max_configuration_age_s: Age of the last confirmation above which no key is trusted.
        notify: Notifies the scheduler of a row that has been written.
        query_holder: Returns the stored status of a job as the term's holder reports it, or None.
        max_row_bytes: Maximum size of a row in the store.
        generator: Source of the times after which refused callers are to come again.

    Attributes:
        refusals: Number of jobs refused because of overload, by client account and queue.
    """

    def __init__(
        self,
        store: storage.Store,
        view: NodeView,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        log: jsonlog.JsonLog,
        max_configuration_age_s: float,
        notify: Callable[[storage.Row], None],
        query_holder: Callable[[str, float], progress.JobStatus | None],
        max_row_bytes: int,
        generator: random.Random | None = None,
    ):
        self._store = store
        self._view = view
        self._now_s = now_s
        self._wall_s = wall_s
        self._log = log
        self._max_configuration_age_s = max_configuration_age_s
        self._notify = notify
        self._query_holder = query_holder
        self._max_row_bytes = max_row_bytes
        self._random = generator or random.Random()
        self.refusals: collections.Counter[tuple[str, str]] = collections.Counter()
        self._ended_statuses: collections.OrderedDict[str, progress.JobStatus] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable):
        """Serves one call."""
        request = werkzeug.Request(environ)
        try:
            response = self._answer(request)
        except Exception as error:
            # A change may have been made, so the caller must come again with the same identifier,
            # as after any 504. It gives up after 500.
            text = f"{type(error).__name__}: {error!s:.200}"
            fields = errors.describe(error).make_fields(text)
            self._log.write("call_failed", method=request.method, path=request.path, **fields)
            response = werkzeug.Response(status=504)
        if self._view.drain_ends_s is not None:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _answer(self, request: werkzeug.Request) -> werkzeug.Response:
        # Read in this order, the configuration is at least as new as its confirmation says, also if
        # this VM is suspended in between. Refusals rely on the age of other VMs' views.
        confirmed_at_s = self._view.confirmed_at_s
        configuration = self._view.configuration
        begun_at_s = self._now_s()
        age_s = begun_at_s - confirmed_at_s
        if configuration is None or age_s > self._max_configuration_age_s:
            return self._respond_unavailable(
                "configuration_not_confirmed", request.path, age_s=round(age_s, 2)
            )
        host = request.host.partition(":")[0]
        route = configuration.find_route(host, request.path)
        if route is None:
            return werkzeug.Response(status=404)
        account = identify_account(configuration, request)
        if not account and not route.is_public:
            return werkzeug.Response(status=401)
        job_id = request.path.removeprefix(route.path_prefix).strip("/")
        return self._dispatch(request, configuration, route, account, job_id, begun_at_s)

    def _dispatch(
        self,
        request: werkzeug.Request,
        configuration: model.Configuration,
        route: model.Route,
        account: str,
        job_id: str,
        begun_at_s: float,
    ) -> werkzeug.Response:
        if not job_id:
            return self._get_pending_count(request, route)
        if not submissions.JOB_ID.fullmatch(job_id):
            return werkzeug.Response(status=404)
        deadline_s = begun_at_s + self._parse_time_limit_s(request)
        if self._view.drain_ends_s is not None:
            deadline_s = min(deadline_s, self._view.drain_ends_s)
        if request.method == "POST":
            if (request.content_length or 0) > configuration.max_body_bytes:
                return werkzeug.Response(status=413)
            # The input stream ends only with the connection, so the body is read by its length.
            body = request.environ["wsgi.input"].read(request.content_length or 0)
            is_connected = request.environ.get(server.IS_CONNECTED, _assume_connected)
            return self._submit(body, job_id, route, account, begun_at_s, deadline_s, is_connected)
        if request.method == "DELETE":
            return self._cancel(job_id, deadline_s)
        if request.method in ("GET", "HEAD"):
            return self._get_status(job_id, deadline_s)
        return werkzeug.Response(status=405)

    def _parse_time_limit_s(self, request: werkzeug.Request) -> float:
        text = request.headers.get(submissions.DEADLINE_HEADER, "")
        try:
            limit_s = float(text) / 1000.0
        except ValueError:
            limit_s = DEFAULT_DEADLINE_S
        return max(0.1, min(limit_s, refusal_switch.MAX_TIME_LIMIT_S) - RESPONSE_MARGIN_S)

    def _submit(
        self,
        body: bytes,
        job_id: str,
        route: model.Route,
        account: str,
        begun_at_s: float,
        deadline_s: float,
        is_connected: Callable[[], bool],
    ) -> werkzeug.Response:
        try:
            job, record = decode_submission(
                body, job_id, route, account, self._wall_s(), self._max_row_bytes
            )
        except TooLargeError as error:
            self._log.write("job_invalid", job=job_id, error=str(error))
            return werkzeug.Response(str(error), status=413)
        except exceptions.ProtocolError as error:
            self._log.write("job_invalid", job=job_id, error=str(error))
            return werkzeug.Response(str(error), status=400)
        call_id = uuid.uuid4().hex[:12]
        is_bound = refusal_switch.is_bound(
            self._view.switches,
            route,
            self._now_s(),
            self._max_configuration_age_s,
            terms.find_load_age_s(self._view.term, self._now_s()),
        )
        submission = _Submission(
            job, route, record, call_id, begun_at_s, deadline_s, is_connected, is_bound
        )
        if not is_bound:
            return self._accept_unbound(submission)
        return self._refuse_under_overload(submission) or self._accept(submission)

    def _accept_unbound(self, submission: _Submission) -> werkzeug.Response:
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
        outcome = self._transact(transaction, submission.deadline_s)
        if isinstance(outcome, result.Success):
            return self._respond_accepted(submission, outcome.unwrap())
        error = outcome.failure()
        if not isinstance(error, storage.ConflictError):
            return self._respond_store_error(error, "submit", job_id)
        if error.rows and all(row.key == cancel_key for row in error.rows):
            return self._respond_cancelled(job_id)
        # The job already exists: an earlier answer was lost, or the call was repeated.
        return self._respond_repeated(job_id)

    def _respond_cancelled(self, job_id: str) -> werkzeug.Response:
        self._log.write("job_cancelled_before", job=job_id)
        return werkzeug.Response("the job was cancelled before", status=410)

    def _respond_repeated(self, job_id: str) -> werkzeug.Response:
        self._log.write("job_repeated", job=job_id)
        return _make_json(b"{}")

    def _refuse_under_overload(self, submission: _Submission) -> werkzeug.Response | None:
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
        if not isinstance(self._transact(transaction, deadline_s), result.Success):
            return None
        figures = {
            "wait_s": round(decision.wait_s, 1),
            "limit_s": round(decision.limit_s, 1),
            "load_age_s": round(age_s, 2),
        }
        return self._respond_overload(submission, decision.retry_after_s, **figures)

    def _accept(self, submission: _Submission) -> werkzeug.Response:
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
            outcome = self._transact(transaction, submission.deadline_s)
            if isinstance(outcome, result.Success):
                return self._respond_accepted(submission, outcome.unwrap())
            error = outcome.failure()
            if not isinstance(error, storage.ConflictError):
                return self._respond_store_error(error, "submit", job.job_id)
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
        return self._respond_overload(submission, RETRY_AFTER_S, repeated=True)

    def _respond_accepted(self, submission: _Submission, version: int) -> werkzeug.Response:
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
        return _make_json(b"{}")

    def _respond_to_unknown_conflict(self, submission: _Submission) -> werkzeug.Response:
        """Responds to a call when the store does not tell what its transaction conflicts with."""
        job_id = submission.job.job_id
        outcome = self._read_row(tables.get_job_key(job_id), submission.deadline_s)
        if isinstance(outcome, result.Success) and outcome.unwrap() is not None:
            return self._respond_repeated(job_id)
        self._log.write("outcome_unknown", call="submit", job=job_id, error="unknown conflict")
        return werkzeug.Response(status=504)

    def _compute_marked_s(self, submission: _Submission, row: storage.Row) -> float:
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
            return RETRY_AFTER_S
        # A longer time than any refusal names shows that the store's clock was set back.
        return max(0.0, remaining_s) if remaining_s <= admission.MAX_RETRY_AFTER_S else 0.0

    def _respond_overload(
        self, submission: _Submission, retry_after_s: int, **figures
    ) -> werkzeug.Response:
        job = submission.job
        retry_after_s = max(RETRY_AFTER_S, retry_after_s)
        with self._lock:
            self.refusals[job.account, submission.route.name] += 1
        return self._respond_unavailable(
            "overload",
            job.job_id,
            retry_after_s,
            retry_after_s=retry_after_s,
            account=job.account,
            route=submission.route.name,
            priority=submission.route.priority,
            **figures,
        )

    def _cancel(self, job_id: str, deadline_s: float) -> werkzeug.Response:
        outcome = self._read_status(job_id, deadline_s)
        if not isinstance(outcome, result.Success):
            return self._respond_store_error(outcome.failure(), "cancel", job_id, is_write=False)
        status = outcome.unwrap()
        if status is not None and status.outcome is not None:
            return _make_json(submissions.encode_status(status))
        # The cancellation of an unknown job keeps a submission that is on its way from being
        # stored after this call was answered.
        transaction = storage.Transaction(
            writes=(storage.Write(tables.get_cancel_key(job_id), b"1"),)
        )
        written = self._transact(transaction, deadline_s)
        if not isinstance(written, result.Success):
            return self._respond_store_error(written.failure(), "cancel", job_id)
        self._notify(storage.Row(tables.get_cancel_key(job_id), b"1", written.unwrap()))
        is_known = status is not None
        self._log.write("cancel_accepted", job=job_id, version=written.unwrap(), known=is_known)
        if not is_known:
            return werkzeug.Response(status=410)
        return _make_json(b"{}")

    def _get_status(self, job_id: str, deadline_s: float) -> werkzeug.Response:
        status = self._ended_statuses.get(job_id)
        if status is None:
            outcome = self._read_status(job_id, deadline_s)
            if isinstance(outcome, result.Success):
                status = outcome.unwrap()
            else:
                # The holder keeps the stored status in memory, also while the store is unreachable.
                status = self._query_holder(job_id, HOLDER_TIMEOUT_S)
                if status is None:
                    return self._respond_store_error(
                        outcome.failure(), "status", job_id, is_write=False
                    )
                self._log.write("status_of_holder", job=job_id, outcome=status.outcome)
        if status is None:
            return werkzeug.Response(status=410)
        if status.outcome is not None:
            self._cache_ended_status(job_id, status)
        return _make_json(submissions.encode_status(status))

    def _cache_ended_status(self, job_id: str, status: progress.JobStatus) -> None:
        with self._lock:
            self._ended_statuses[job_id] = status
            if len(self._ended_statuses) > MAX_CACHED_STATUSES:
                self._ended_statuses.popitem(last=False)

    def _get_pending_count(
        self, request: werkzeug.Request, route: model.Route
    ) -> werkzeug.Response:
        if request.method != "GET":
            return werkzeug.Response(status=405)
        count = terms.count_pending(self._view.term, route.name)
        return _make_json(submissions.encode_pending(count))

    def _read_status(self, job_id: str, deadline_s: float) -> storage.StoreResult:
        """Reads the status of a job; success holds it, or None if there is no such job."""
        outcome = self._read_row(tables.get_progress_key(job_id), deadline_s)
        if not isinstance(outcome, result.Success):
            return outcome
        row = outcome.unwrap()
        if row is not None:
            try:
                return result.Success(progress.decode_status(row.value))
            except exceptions.ProtocolError as error:
                return result.Failure(error)
        # Progress is written with the first start, so most jobs have a record of it. A job without
        # one has not started.
        outcome = self._read_row(tables.get_job_key(job_id), deadline_s)
        if not isinstance(outcome, result.Success):
            return outcome
        is_queued = outcome.unwrap() is not None
        return result.Success(progress.JobStatus(None, False) if is_queued else None)

    def _read_row(self, key: storage.RowKey, deadline_s: float) -> storage.StoreResult:
        """Reads one row; success holds it, or None if it does not exist."""

        def send(timeout_s: float, callback: Callable) -> None:
            self._store.read(key.table, key.part, key.key, key.key + "\0", timeout_s, callback)

        outcome = self._call_store(send, deadline_s, MAX_LOST_READS)
        if not isinstance(outcome, result.Success):
            return outcome
        rows = outcome.unwrap().rows
        return result.Success(rows[0] if rows else None)

    def _transact(self, transaction: storage.Transaction, deadline_s: float) -> storage.StoreResult:
        def send(timeout_s: float, callback: Callable) -> None:
            self._store.transact(transaction, timeout_s, callback)

        return self._call_store(send, deadline_s)

    def _call_store(
        self,
        send: Callable[[float, Callable], None],
        deadline_s: float,
        max_lost_answers: int | None = None,
    ) -> storage.StoreResult:
        """Calls the store until it answers, refuses several times in a row, or the time is up.

        The calls are conditional or idempotent, so repeating one whose answer was lost is safe, and
        the answer to the repetition shows what became of it. After a lost answer, the outcome stays
        unknown even if later calls are refused, because the call whose answer was lost may have
        taken effect.

        Args:
            send: Makes the call with a time limit in seconds and a callback.
            deadline_s: Time until which calls are made.
            max_lost_answers: Number of lost answers after which no more calls are made, or None.
        """
        refusals = lost_answers = 0
        unknown: storage.StoreResult | None = None
        while True:
            remaining_s = deadline_s - self._now_s()
            if remaining_s <= 0.0:
                error = exceptions.UnavailableError(
                    f"time limit of the call reached after {refusals} refused store calls"
                )
                return unknown or result.Failure(error)
            timeout_s = min(remaining_s, STORE_TIMEOUT_S)
            outcome = waiting.wait_for_store(
                functools.partial(send, timeout_s), timeout_s + STORE_CLIENT_GRACE_S
            )
            if isinstance(outcome, result.Success):
                return outcome
            error = outcome.failure()
            if isinstance(error, exceptions.OutcomeUnknownError):
                unknown = outcome
                refusals = 0
                pause_s = LOST_ANSWER_PAUSE_S * 2.0 ** min(lost_answers, 8)
                lost_answers += 1
                if max_lost_answers is not None and lost_answers > max_lost_answers:
                    return unknown
                threading.Event().wait(min(pause_s, MAX_LOST_ANSWER_PAUSE_S))
            elif isinstance(error, exceptions.UnavailableError):
                refusals += 1
                if refusals > UNAVAILABLE_RETRIES:
                    return unknown or outcome
                threading.Event().wait(UNAVAILABLE_PAUSE_S)
            else:
                return outcome

    def _respond_store_error(
        self, error: Exception, call: str, job_id: str, is_write: bool = True
    ) -> werkzeug.Response:
        if is_write and not isinstance(error, exceptions.UnavailableError):
            # The change may have been made, so the response must not be a refusal.
            self._log.write("outcome_unknown", call=call, job=job_id, error=str(error))
            return werkzeug.Response(status=504)
        return self._respond_unavailable("store_unavailable", job_id, call=call, error=str(error))

    def _respond_unavailable(
        self, reason: str, subject: str, delay_s: int = RETRY_AFTER_S, **fields
    ) -> werkzeug.Response:
        self._log.write("refused", reason=reason, subject=subject, **fields)
        response = werkzeug.Response(status=503)
        response.headers["Retry-After"] = str(delay_s)
        return response


def _assume_connected() -> bool:
    return True


def _make_json(body: bytes) -> werkzeug.Response:
    return werkzeug.Response(body, mimetype="application/json")
