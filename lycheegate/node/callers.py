"""Calls of callers: submit a job, ask for its state, cancel it, count what waits."""

import collections
import dataclasses
import functools
import threading
from collections.abc import Callable

import werkzeug
from returns import result

from lycheegate.jobs import model, progress
from lycheegate.metrics import jsonlog
from lycheegate.node import storage, tables, terms, waiting
from lycheegate.platform import submissions
from lycheegate.utils import exceptions

__all__ = ["CallerApplication", "View"]

STORE_TIMEOUT_S = 0.7
DEFAULT_DEADLINE_S = 3.0
CLIENT_GRACE_S = 1.0
"""Time for the store client beyond the limit of a call, which may try peers."""
ANSWER_MARGIN_S = 0.3
"""Kept of a caller's time limit for the way back."""
RETRY_AFTER_S = 1
UNAVAILABLE_RETRIES = 2
MAX_LOST_ANSWERS = 3
"""Lost answers after which a caller does better at another VM."""
UNAVAILABLE_PAUSE_S = 0.03
MAX_CACHED_ENDS = 4096
HOLDER_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True)
class View:
    """What a VM knows that decides on calls.

    Attributes:
        configuration: Configuration in force, or None before the first.
        confirmed_at_s: When it was last confirmed to be the newest.
        term: What was read of the scheduler's term.
        drain_ends_s: When the process will have answered all calls and ends, or None.
    """

    configuration: model.Configuration | None = None
    confirmed_at_s: float = 0.0
    term: terms.TermView = dataclasses.field(default_factory=terms.TermView)
    drain_ends_s: float | None = None


class CallerApplication:
    """WSGI application of the callers' address.

    Args:
        store: The store.
        view: What the daemon knows.
        now_s: Clock that goes on while the VM is suspended.
        wall_s: Time of day, in seconds since 1970.
        log: Log of decisions.
        max_configuration_age_s: Age of the last confirmation above which no key is trusted.
        notify: Tells the scheduler of a row that was written.
        ask_holder: Returns the stored state of a job as the term's holder knows it, or None.
    """

    def __init__(
        self,
        store: storage.Store,
        view: View,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        log: jsonlog.JsonLog,
        max_configuration_age_s: float,
        notify: Callable[[storage.Row], None],
        ask_holder: Callable[[str, float], progress.JobStatus | None],
    ):
        self._store = store
        self._view = view
        self._now_s = now_s
        self._wall_s = wall_s
        self._log = log
        self._max_configuration_age_s = max_configuration_age_s
        self._notify = notify
        self._ask_holder = ask_holder
        self._ends: collections.OrderedDict[str, progress.JobStatus] = collections.OrderedDict()
        self._lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable):
        """Answers one call."""
        request = werkzeug.Request(environ)
        response = self._answer(request)
        if self._view.drain_ends_s is not None:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _answer(self, request: werkzeug.Request) -> werkzeug.Response:
        configuration = self._view.configuration
        age_s = self._now_s() - self._view.confirmed_at_s
        if configuration is None or age_s > self._max_configuration_age_s:
            return self._refuse("configuration_not_confirmed", request.path, age_s=round(age_s, 2))
        host = request.host.partition(":")[0]
        route = configuration.find_route(host, request.path)
        if route is None:
            return werkzeug.Response(status=404)
        account = ""
        key = submissions.parse_key(request.headers.get("Authorization", ""))
        if key is not None:
            account = configuration.account_by_key.get(key, "")
        if not account and not route.is_public:
            return werkzeug.Response(status=401)
        job_id = request.path.removeprefix(route.path_prefix).strip("/")
        return self._dispatch(request, configuration, route, account, job_id)

    def _dispatch(
        self,
        request: werkzeug.Request,
        configuration: model.Configuration,
        route: model.Route,
        account: str,
        job_id: str,
    ) -> werkzeug.Response:
        if not job_id:
            return self._count_pending(request, route)
        if not submissions.JOB_ID.fullmatch(job_id):
            return werkzeug.Response(status=404)
        deadline_s = self._now_s() + self._read_limit_s(request)
        if self._view.drain_ends_s is not None:
            deadline_s = min(deadline_s, self._view.drain_ends_s)
        if request.method == "POST":
            if (request.content_length or 0) > configuration.max_body_bytes:
                return werkzeug.Response(status=413)
            # The server's stream ends with the connection, so it is read by length.
            body = request.environ["wsgi.input"].read(request.content_length or 0)
            return self._submit(body, job_id, route, account, deadline_s)
        if request.method == "DELETE":
            return self._cancel(job_id, deadline_s)
        if request.method in ("GET", "HEAD"):
            return self._tell_status(job_id, deadline_s)
        return werkzeug.Response(status=405)

    def _read_limit_s(self, request: werkzeug.Request) -> float:
        text = request.headers.get(submissions.DEADLINE_HEADER, "")
        try:
            limit_s = float(text) / 1000.0
        except ValueError:
            limit_s = DEFAULT_DEADLINE_S
        return max(0.1, min(limit_s, 60.0) - ANSWER_MARGIN_S)

    def _submit(
        self, body: bytes, job_id: str, route: model.Route, account: str, deadline_s: float
    ) -> werkzeug.Response:
        try:
            job = submissions.decode_job(body, job_id, route.name, account, self._wall_s())
        except exceptions.ProtocolError as error:
            self._log.write("job_invalid", job=job_id, error=str(error))
            return werkzeug.Response(str(error), status=400)
        record = progress.encode_accepted(progress.AcceptedJob(job, route))
        job_key = tables.get_job_key(job_id)
        transaction = storage.Transaction(
            conditions=(storage.Condition(job_key, storage.ABSENT),),
            writes=(storage.Write(job_key, record),),
        )
        outcome = self._transact(transaction, deadline_s)
        if isinstance(outcome, result.Success):
            self._notify(storage.Row(job_key, record, outcome.unwrap()))
            self._log.write(
                "job_accepted",
                job=job_id,
                route=route.name,
                account=account,
                tasks=sum(step.count for step in job.steps),
                version=outcome.unwrap(),
            )
            return _make_json(b"{}")
        error = outcome.failure()
        if isinstance(error, storage.ConflictError):
            # The job is there already: an earlier answer was lost, or the call was repeated.
            self._log.write("job_repeated", job=job_id)
            return _make_json(b"{}")
        return self._fail(error, "submit", job_id)

    def _cancel(self, job_id: str, deadline_s: float) -> werkzeug.Response:
        outcome = self._read_status(job_id, deadline_s)
        if not isinstance(outcome, result.Success):
            return self._fail(outcome.failure(), "cancel", job_id, is_write=False)
        status = outcome.unwrap()
        if status is None:
            return werkzeug.Response(status=410)
        if status.outcome is not None:
            return _make_json(submissions.encode_status(status))
        transaction = storage.Transaction(
            writes=(storage.Write(tables.get_cancel_key(job_id), b"1"),)
        )
        written = self._transact(transaction, deadline_s)
        if not isinstance(written, result.Success):
            return self._fail(written.failure(), "cancel", job_id)
        self._notify(storage.Row(tables.get_cancel_key(job_id), b"1", written.unwrap()))
        self._log.write("cancel_accepted", job=job_id, version=written.unwrap())
        return _make_json(b"{}")

    def _tell_status(self, job_id: str, deadline_s: float) -> werkzeug.Response:
        status = self._ends.get(job_id)
        if status is None:
            outcome = self._read_status(job_id, deadline_s)
            if isinstance(outcome, result.Success):
                status = outcome.unwrap()
            else:
                # The holder knows what is stored, also while nobody reaches the store.
                status = self._ask_holder(job_id, HOLDER_TIMEOUT_S)
                if status is None:
                    return self._fail(outcome.failure(), "status", job_id, is_write=False)
                self._log.write("status_of_holder", job=job_id, outcome=status.outcome)
        if status is None:
            return werkzeug.Response(status=410)
        if status.outcome is not None:
            self._remember_end(job_id, status)
        return _make_json(submissions.encode_status(status))

    def _remember_end(self, job_id: str, status: progress.JobStatus) -> None:
        with self._lock:
            self._ends[job_id] = status
            if len(self._ends) > MAX_CACHED_ENDS:
                self._ends.popitem(last=False)

    def _count_pending(self, request: werkzeug.Request, route: model.Route) -> werkzeug.Response:
        if request.method != "GET":
            return werkzeug.Response(status=405)
        beat = self._view.term.beat
        if beat is None:
            return _make_json(submissions.encode_pending(0))
        return _make_json(submissions.encode_pending(beat.pending.get(route.name, 0)))

    def _read_status(self, job_id: str, deadline_s: float) -> storage.StoreResult:
        """Reads what has happened to a job; success holds a status, or None if there is no job."""
        outcome = self._read_row(tables.get_progress_key(job_id), deadline_s)
        if not isinstance(outcome, result.Success):
            return outcome
        row = outcome.unwrap()
        if row is not None:
            return result.Success(progress.decode_status(row.value))
        # Progress is written with the first start, so most jobs are found by now.
        outcome = self._read_row(tables.get_job_key(job_id), deadline_s)
        if not isinstance(outcome, result.Success):
            return outcome
        is_queued = outcome.unwrap() is not None
        return result.Success(progress.JobStatus(None, False) if is_queued else None)

    def _read_row(self, key: storage.RowKey, deadline_s: float) -> storage.StoreResult:
        """Reads one row; success holds it, or None."""

        def send(timeout_s: float, callback: Callable) -> None:
            self._store.read(key.table, key.part, key.key, key.key + "\0", timeout_s, callback)

        outcome = self._call(send, deadline_s)
        if not isinstance(outcome, result.Success):
            return outcome
        rows = outcome.unwrap().rows
        return result.Success(rows[0] if rows else None)

    def _transact(self, transaction: storage.Transaction, deadline_s: float) -> storage.StoreResult:
        def send(timeout_s: float, callback: Callable) -> None:
            self._store.transact(transaction, timeout_s, callback)

        return self._call(send, deadline_s)

    def _call(self, send: Callable[[float, Callable], None], deadline_s: float):
        """Calls the store until its answer is known, or time or patience run out.

        The calls are conditional or idempotent, so repeating one whose answer was lost is safe.
        Once an answer was lost, a refusal of a later call proves nothing about the first.
        """
        refusals = lost = 0
        unknown: storage.StoreResult | None = None
        while True:
            left_s = deadline_s - self._now_s()
            if left_s <= 0.0:
                error = exceptions.OutcomeUnknownError("time limit of the caller")
                return unknown or result.Failure(error)
            timeout_s = min(left_s, STORE_TIMEOUT_S)
            outcome = waiting.wait_for_store(
                functools.partial(send, timeout_s), timeout_s + CLIENT_GRACE_S
            )
            if isinstance(outcome, result.Success):
                return outcome
            error = outcome.failure()
            if isinstance(error, exceptions.OutcomeUnknownError):
                unknown = outcome
                lost += 1
                if lost > MAX_LOST_ANSWERS:
                    return unknown
            elif isinstance(error, exceptions.UnavailableError):
                refusals += 1
                if refusals > UNAVAILABLE_RETRIES:
                    return unknown or outcome
                threading.Event().wait(UNAVAILABLE_PAUSE_S)
            else:
                return outcome

    def _fail(
        self, error: Exception, call: str, job_id: str, is_write: bool = True
    ) -> werkzeug.Response:
        if is_write and not isinstance(error, exceptions.UnavailableError):
            # The change may have been made, so this must not read as a refusal.
            self._log.write("outcome_unknown", call=call, job=job_id, error=str(error))
            return werkzeug.Response(status=504)
        return self._refuse("store_unavailable", job_id, call=call, error=str(error))

    def _refuse(self, reason: str, subject: str, **fields) -> werkzeug.Response:
        self._log.write("refused", reason=reason, subject=subject, **fields)
        response = werkzeug.Response(status=503)
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
        return response


def _make_json(body: bytes) -> werkzeug.Response:
    return werkzeug.Response(body, mimetype="application/json")
