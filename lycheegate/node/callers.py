"""Callers' HTTP interface: submit a job, get its status, cancel it, count pending jobs."""

import collections
import random
import threading
import uuid
from collections.abc import Callable

import werkzeug
from returns import result

from lycheegate.entry import server
from lycheegate.jobs import model, progress, refusal_switch
from lycheegate.metrics import jsonlog
from lycheegate.node import (
    acceptance,
    node_view,
    responses,
    storage,
    store_calls,
    tables,
    terms,
)
from lycheegate.platform import submissions
from lycheegate.utils import errors, exceptions

__all__ = [
    "CallerApplication",
    "identify_account",
]

DEFAULT_DEADLINE_S = 3.0
RESPONSE_MARGIN_S = 0.3
"""Part of a caller's time limit that is reserved for returning the response."""
MAX_CACHED_STATUSES = 4096
HOLDER_TIMEOUT_S = 0.5


def identify_account(configuration: model.Configuration, request: werkzeug.Request) -> str:
    """Returns the client account of a request's key, or an empty string without a valid key."""
    key = submissions.parse_key(request.headers.get("Authorization", ""))
    return configuration.account_by_key.get(key, "") if key is not None else ""


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
        view: node_view.NodeView,
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
            return responses.respond_unavailable(
                self._log, "configuration_not_confirmed", request.path, age_s=round(age_s, 2)
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
            job, record = acceptance.decode_submission(
                body, job_id, route, account, self._wall_s(), self._max_row_bytes
            )
        except acceptance.TooLargeError as error:
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
        submission = acceptance.Submission(
            job, route, record, call_id, begun_at_s, deadline_s, is_connected, is_bound
        )
        return self._make_acceptance().answer(submission)

    def _make_acceptance(self) -> acceptance.Acceptance:
        return acceptance.Acceptance(
            self._store,
            self._view,
            self._now_s,
            self._log,
            self._max_configuration_age_s,
            self._notify,
            self._random,
            self._count_refusal,
        )

    def _count_refusal(self, account: str, route_name: str) -> None:
        with self._lock:
            self.refusals[account, route_name] += 1

    def _cancel(self, job_id: str, deadline_s: float) -> werkzeug.Response:
        outcome = self._read_status(job_id, deadline_s)
        if not isinstance(outcome, result.Success):
            return responses.respond_store_error(
                self._log, outcome.failure(), "cancel", job_id, is_write=False
            )
        status = outcome.unwrap()
        if status is not None and status.outcome is not None:
            return responses.make_json(submissions.encode_status(status))
        # The cancellation of an unknown job keeps a submission that is on its way from being
        # stored after this call was answered.
        transaction = storage.Transaction(
            writes=(storage.Write(tables.get_cancel_key(job_id), b"1"),)
        )
        written = store_calls.transact(self._store, transaction, deadline_s, self._now_s)
        if not isinstance(written, result.Success):
            return responses.respond_store_error(self._log, written.failure(), "cancel", job_id)
        self._notify(storage.Row(tables.get_cancel_key(job_id), b"1", written.unwrap()))
        is_known = status is not None
        self._log.write("cancel_accepted", job=job_id, version=written.unwrap(), known=is_known)
        if not is_known:
            return werkzeug.Response(status=410)
        return responses.make_json(b"{}")

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
                    return responses.respond_store_error(
                        self._log, outcome.failure(), "status", job_id, is_write=False
                    )
                self._log.write("status_of_holder", job=job_id, outcome=status.outcome)
        if status is None:
            return werkzeug.Response(status=410)
        if status.outcome is not None:
            self._cache_ended_status(job_id, status)
        return responses.make_json(submissions.encode_status(status))

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
        return responses.make_json(submissions.encode_pending(count))

    def _read_status(self, job_id: str, deadline_s: float) -> storage.StoreResult:
        """Reads the status of a job; success holds it, or None if there is no such job."""
        outcome = store_calls.read_row(
            self._store, tables.get_progress_key(job_id), deadline_s, self._now_s
        )
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
        outcome = store_calls.read_row(
            self._store, tables.get_job_key(job_id), deadline_s, self._now_s
        )
        if not isinstance(outcome, result.Success):
            return outcome
        is_queued = outcome.unwrap() is not None
        return result.Success(progress.JobStatus(None, False) if is_queued else None)


def _assume_connected() -> bool:
    return True
