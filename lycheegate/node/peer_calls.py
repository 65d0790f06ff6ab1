"""Calls between VMs: relayed store calls, notifications, and queries to the holder of the term.

A call is a CBOR list. Its first item is the name of the call, the others are its arguments.
"""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import cbor2
import werkzeug

from lycheegate.entry import server
from lycheegate.jobs import model, progress
from lycheegate.node import compression, relay, storage, waiting

__all__ = [
    "HOLDS_TERM",
    "JOB_STATUS",
    "NOTIFY",
    "PREVIEW",
    "PeerApplication",
    "PreviewAnswer",
    "PreviewQuery",
    "TermQueries",
    "decode_holds_term",
    "decode_preview",
    "decode_status",
    "encode_preview_query",
]

NOTIFY = "notify"
"""Notification that a row of the table of jobs was written."""
HOLDS_TERM = "holds_term"
"""Query whether this VM holds the term with a given epoch."""
JOB_STATUS = "job_status"
"""Query for the stored status of a job."""
PREVIEW = "where"
"""Query where a job would be placed. Builds that do not know it answer 400."""
PREVIEW_LAYOUT = 1
"""Layout of the answer to ``PREVIEW``."""
MAX_STORE_WAIT_S = 3.0
_CBOR = "application/cbor"
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What a call raises that has other types or another number of arguments than expected."""


def _cannot_send() -> bool:
    """Stands for a server that cannot send interim responses."""
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class PreviewQuery:
    """Query where a job would be placed.

    Attributes:
        epoch: Epoch of the term whose holder is asked.
        account: Client account that asks, or an empty string.
        job_id: The job.
        record: Record of acceptance that the job would get, or nothing for a job that waits.
    """

    epoch: int
    account: str
    job_id: str
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PreviewAnswer:
    """Answer to a query where a job would be placed.

    Attributes:
        problem: Why there is no preview, or an empty string.
        text: Description of the problem.
        document: The preview, which can be written as JSON.
    """

    problem: str
    text: str
    document: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class TermQueries:
    """Functions that answer the queries of peers to the holder of the term.

    Attributes:
        holds_term: Returns whether this VM holds, or is claiming, the term with an epoch.
        find_status: Returns the stored status of a job, or None if this VM does not know the job.
        preview: Returns where a job would be placed, and blocks the thread of the call. None if
            such queries are unknown, as to earlier builds.
    """

    holds_term: Callable[[int], bool]
    find_status: Callable[[str], progress.JobStatus | None]
    preview: Callable[[PreviewQuery], PreviewAnswer] | None = None


class PeerApplication:
    """WSGI application that serves the calls of peers.

    Args:
        store: Client that calls the store directly, not through peers. While its answer is
            arriving, the caller is told so, because its timeout is for silent peers.
        reachability: Whether direct calls reach the store.
        on_outcome: Receives the outcome of each direct call; called on the thread of the call.
        on_row: Receives a row that a peer has written.
        queries: Answers queries to the holder of the term.
    """

    def __init__(
        self,
        store: storage.DirectStore,
        reachability: relay.Reachability,
        on_outcome: Callable[[storage.StoreResult], None],
        on_row: Callable[[storage.Row], None],
        queries: TermQueries,
    ):
        self._store = store
        self._reachability = reachability
        self._on_outcome = on_outcome
        self._on_row = on_row
        self._queries = queries

    def __call__(self, environ: dict, start_response: Callable):
        """Serves one call."""
        request = werkzeug.Request(environ)
        body = environ["wsgi.input"].read(request.content_length or 0)
        response = self._answer(body, environ.get(server.SEND_PROCESSING, _cannot_send))
        compression.compress_response(response, request)
        return response(environ, start_response)

    def _answer(
        self, body: bytes, send_processing: Callable[[], bool] = _cannot_send
    ) -> werkzeug.Response:
        try:
            kind, *arguments = cbor2.loads(body)
            if kind == NOTIFY:
                table, part, key, value, version = arguments
                self._on_row(storage.Row(storage.RowKey(table, part, key), value, version))
                return werkzeug.Response(status=204)
            if kind == HOLDS_TERM:
                (epoch,) = arguments
                return _make_reply(self._queries.holds_term(epoch))
            if kind == JOB_STATUS:
                (job_id,) = arguments
                return self._answer_status(job_id)
            if kind == PREVIEW and self._queries.preview is not None:
                answer = self._queries.preview(_decode_preview_query(arguments))
                return _make_reply([PREVIEW_LAYOUT, answer.problem, answer.text, answer.document])
            return self._relay_store_call(kind, arguments, send_processing)
        except _DECODE_ERRORS as error:
            return werkzeug.Response(str(error), status=400)

    def _answer_status(self, job_id: str) -> werkzeug.Response:
        status = self._queries.find_status(job_id)
        if status is None:
            return werkzeug.Response(status=404)
        return _make_reply([status.outcome.value if status.outcome else "", status.started])

    def _relay_store_call(
        self, kind: str, arguments: list, send_processing: Callable[[], bool]
    ) -> werkzeug.Response:
        if self._reachability.is_unreachable:
            return werkzeug.Response(status=503)
        outcome = waiting.wait_for_store(
            self._make_store_call(kind, arguments),
            2.0 * MAX_STORE_WAIT_S,
            lambda: self._store.is_receiving() and send_processing(),
        )
        self._on_outcome(outcome)
        return werkzeug.Response(relay.encode_outcome(outcome), mimetype=_CBOR)

    def _make_store_call(self, kind: str, arguments: list) -> Callable[[Callable], None]:
        if kind == "read":
            *row_range, timeout_s = arguments
            timeout_s = min(timeout_s, MAX_STORE_WAIT_S)
            return functools.partial(self._store.read, *row_range, timeout_s)
        if kind == "follow":
            table, after, timeout_s = arguments
            timeout_s = min(timeout_s, MAX_STORE_WAIT_S)
            return functools.partial(self._store.follow, table, after, timeout_s)
        if kind == "transact":
            transaction, timeout_s = relay.decode_transact(arguments)
            timeout_s = min(timeout_s, MAX_STORE_WAIT_S)
            return functools.partial(self._store.transact, transaction, timeout_s)
        raise ValueError(f"unknown peer call {kind!r}")


def _make_reply(value: object) -> werkzeug.Response:
    return werkzeug.Response(cbor2.dumps(value), mimetype=_CBOR)


def _load(data: bytes) -> object:
    try:
        return cbor2.loads(data)
    except _DECODE_ERRORS as error:
        raise ValueError(f"cannot decode {len(data)} bytes as CBOR: {error}") from error


def decode_holds_term(data: bytes) -> bool:
    """Returns the answer to ``HOLDS_TERM``.

    Raises:
        ValueError: The answer cannot be decoded.
    """
    answer = _load(data)
    if not isinstance(answer, bool):
        raise ValueError(f"{HOLDS_TERM}: expected true or false, got {answer!r:.100}")
    return answer


def decode_status(data: bytes) -> progress.JobStatus:
    """Returns the answer to ``JOB_STATUS``.

    Raises:
        ValueError: The answer cannot be decoded.
    """
    try:
        outcome, started = _load(data)
    except TypeError as error:
        raise ValueError(f"{JOB_STATUS}: expected [outcome, started], got {data!r:.100}") from error
    return progress.JobStatus(model.Outcome(outcome) if outcome else None, bool(started))


def encode_preview_query(query: PreviewQuery) -> list:
    """Returns the call for a query where a job would be placed."""
    return [PREVIEW, query.epoch, query.account, query.job_id, query.record]


def _decode_preview_query(arguments: list) -> PreviewQuery:
    epoch, account, job_id, record = arguments
    kinds = (int, str, str, bytes)
    if not all(isinstance(each, kind) for each, kind in zip(arguments, kinds, strict=True)):
        raise ValueError(f"{PREVIEW}: expected a number, two strings and bytes")
    return PreviewQuery(epoch, account, job_id, record)


def decode_preview(data: bytes) -> PreviewAnswer:
    """Returns the answer to ``PREVIEW``.

    Raises:
        ValueError: The answer cannot be decoded.
    """
    try:
        layout, problem, text, document = _load(data)
    except TypeError as error:
        raise ValueError(f"{PREVIEW}: expected a list of four, got {data!r:.100}") from error
    kinds = (isinstance(problem, str), isinstance(text, str), isinstance(document, dict))
    if layout != PREVIEW_LAYOUT or not all(kinds):
        raise ValueError(f"{PREVIEW}: expected layout {PREVIEW_LAYOUT}, got {layout!r:.100}")
    return PreviewAnswer(problem, text, document)
