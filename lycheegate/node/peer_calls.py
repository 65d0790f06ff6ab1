"""Calls that VMs answer for each other: store calls, notifications, questions to the holder.

A call is a CBOR list whose first item names it.
"""

import dataclasses
import functools
from collections.abc import Callable

import cbor2
import werkzeug

from lycheegate.jobs import model, progress
from lycheegate.node import relay, storage, waiting

__all__ = [
    "HOLDS_TERM",
    "JOB_STATUS",
    "NOTIFY",
    "PeerApplication",
    "TermQuestions",
    "decode_holds_term",
    "decode_status",
]

NOTIFY = "notify"
"""A row of the table of jobs was written."""
HOLDS_TERM = "holds_term"
"""Question whether this VM holds the term with a number."""
JOB_STATUS = "job_status"
"""Question for the state of a job as it is stored."""
MAX_WAIT_S = 3.0
_CBOR = "application/cbor"


@dataclasses.dataclass(frozen=True, slots=True)
class TermQuestions:
    """What peers ask the holder of the term.

    Attributes:
        holds_term: Returns whether this VM holds, or is just claiming, the term with a number.
        find_status: Returns the stored state of a job, or None if this VM does not know it.
    """

    holds_term: Callable[[int], bool]
    find_status: Callable[[str], progress.JobStatus | None]


class PeerApplication:
    """WSGI application of the peers' address.

    Args:
        store: The store, reached directly.
        reachability: Whether it is reached.
        on_row: Receives a row that a peer has written.
        questions: What this VM knows as holder of the term.
    """

    def __init__(
        self,
        store: storage.Store,
        reachability: relay.Reachability,
        on_row: Callable[[storage.Row], None],
        questions: TermQuestions,
    ):
        self._store = store
        self._reachability = reachability
        self._on_row = on_row
        self._questions = questions

    def __call__(self, environ: dict, start_response: Callable):
        """Makes one call."""
        request = werkzeug.Request(environ)
        body = environ["wsgi.input"].read(request.content_length or 0)
        return self._answer(body)(environ, start_response)

    def _answer(self, body: bytes) -> werkzeug.Response:
        try:
            kind, *rest = cbor2.loads(body)
            if kind == NOTIFY:
                table, part, key, value, version = rest
                self._on_row(storage.Row(storage.RowKey(table, part, key), value, version))
                return werkzeug.Response(status=204)
            if kind == HOLDS_TERM:
                (epoch,) = rest
                return _make_reply(self._questions.holds_term(epoch))
            if kind == JOB_STATUS:
                (job_id,) = rest
                return self._tell_status(job_id)
            return self._relay(kind, rest)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            return werkzeug.Response(str(error), status=400)

    def _tell_status(self, job_id: str) -> werkzeug.Response:
        status = self._questions.find_status(job_id)
        if status is None:
            return werkzeug.Response(status=404)
        return _make_reply([status.outcome.value if status.outcome else "", status.started])

    def _relay(self, kind: str, rest: list) -> werkzeug.Response:
        if self._reachability.is_away:
            return werkzeug.Response(status=503)
        outcome = self._call_store(kind, rest)
        self._reachability.note(outcome)
        return werkzeug.Response(relay.encode_outcome(outcome), mimetype=_CBOR)

    def _call_store(self, kind: str, rest: list) -> storage.StoreResult:
        if kind == "read":
            *where, timeout_s = rest
            timeout_s = min(timeout_s, MAX_WAIT_S)
            call = functools.partial(self._store.read, *where, timeout_s)
        elif kind == "follow":
            table, after, timeout_s = rest
            timeout_s = min(timeout_s, MAX_WAIT_S)
            call = functools.partial(self._store.follow, table, after, timeout_s)
        elif kind == "transact":
            transaction, timeout_s = relay.decode_transact(rest)
            timeout_s = min(timeout_s, MAX_WAIT_S)
            call = functools.partial(self._store.transact, transaction, timeout_s)
        else:
            raise ValueError(f"call {kind!r} is unknown")
        return waiting.wait_for_store(call, 2.0 * MAX_WAIT_S)


def _make_reply(value: object) -> werkzeug.Response:
    return werkzeug.Response(cbor2.dumps(value), mimetype=_CBOR)


def decode_holds_term(data: bytes) -> bool:
    """Returns the answer to ``HOLDS_TERM``.

    Raises:
        ValueError: The data cannot be read.
    """
    answer = cbor2.loads(data)
    if not isinstance(answer, bool):
        raise ValueError("expected true or false")
    return answer


def decode_status(data: bytes) -> progress.JobStatus:
    """Returns the answer to ``JOB_STATUS``.

    Raises:
        ValueError: The data cannot be read.
    """
    try:
        outcome, started = cbor2.loads(data)
    except TypeError as error:
        raise ValueError("expected an outcome and whether the job has started") from error
    return progress.JobStatus(model.Outcome(outcome) if outcome else None, bool(started))
