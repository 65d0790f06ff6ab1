"""Previews of placements: the holder's answers, and the operators' path to them on each VM.

Handles repeated questions to a busy holder. It answers one at a time and one in two seconds, copies
its state on the event thread, and tries the pass on the thread of the call, of which it uses at
most a third, so that the event thread is not delayed.
"""

import dataclasses
import enum
import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any, Protocol

import msgspec
import werkzeug

from lycheegate.jobs import model, preview, progress, state, step_preview
from lycheegate.metrics import jsonlog
from lycheegate.node import acceptance, callers, holder, node_view, peer_calls
from lycheegate.platform import submissions
from lycheegate.utils import errors, exceptions

__all__ = ["PATH", "HolderPreviews", "PreviewApplication", "Problem", "make_document"]

PATH = "/where"
QUERY_TIMEOUT_S = 3.5
"""Time limit of the call to the holder; more than ``COPY_TIMEOUT_S`` and ``EXAMINE_TIMEOUT_S``."""
MIN_INTERVAL_S = 2.0
"""Minimum time between two previews of a holder. Each keeps the event thread for 0.04 s at the
design size, which is 2% of a core."""
COPY_TIMEOUT_S = 1.0
EXAMINE_TIMEOUT_S = 2.0
"""Time after which a preview is given up. Many urgent jobs that wait before the job each take a
search for runs to stop, of up to 0.4 s."""
RUN_S = 0.005
"""Time that a preview runs before it pauses; the interpreter switches threads after as long."""
PAUSE_RATIO = 2.0
"""Length of a pause as a multiple of the time that the preview has run before it."""
DEFAULT_JOB_ID = "f" * 16
"""Identifier for a submission without one. It breaks ties of the rank, as the last one."""


class Problem(enum.StrEnum):
    """Why there is no preview, beside ``preview.Problem`` and ``holder.HolderProblem``."""

    BUSY = "busy"
    """Another preview is being made, or was made less than ``MIN_INTERVAL_S`` ago."""
    NOT_LOADED = "not_loaded"
    """The holder is still loading its jobs, or its event thread is overloaded."""
    JOB_INVALID = "job_invalid"
    JOB_TOO_LARGE = "job_too_large"
    KEY_REFUSED = "key_refused"
    CONFIGURATION_NOT_CONFIRMED = "configuration_not_confirmed"
    BAD_QUERY = "bad_query"
    FAILED = "failed"
    """An unexpected error of lycheegate itself."""


_STATUSES = {
    Problem.BUSY: 429,
    Problem.NOT_LOADED: 503,
    Problem.JOB_INVALID: 400,
    Problem.JOB_TOO_LARGE: 413,
    Problem.KEY_REFUSED: 401,
    Problem.CONFIGURATION_NOT_CONFIRMED: 503,
    Problem.BAD_QUERY: 400,
    Problem.FAILED: 500,
    preview.Problem.QUEUE_UNKNOWN: 404,
    preview.Problem.JOB_UNKNOWN: 404,
    preview.Problem.JOB_EXISTS: 400,
    preview.Problem.JOB_ENDED: 410,
    preview.Problem.JOB_NOT_WAITING: 400,
    preview.Problem.TOO_LONG: 503,
    holder.HolderProblem.NO_HOLDER: 503,
    holder.HolderProblem.HOLDER_CHANGED: 409,
    holder.HolderProblem.HOLDER_SILENT: 504,
    holder.HolderProblem.UNSUPPORTED: 501,
}
Answer = peer_calls.PreviewAnswer


class PreviewScheduler(Protocol):
    """The part of a scheduler that previews use."""

    @property
    def epoch(self) -> int:
        """Number of the term."""

    def prepare_preview(
        self, job_or_id: model.Job | str, account: str
    ) -> tuple[state.SchedulerState, float, float] | None:
        """Returns a copy of the state with its times, or None until the jobs are loaded."""


def _refuse(problem: enum.StrEnum, text: str) -> Answer:
    return Answer(problem.value, text, {})


class _Pace:
    """Pauses a thread so that it uses a limited part of the time, until a deadline.

    Args:
        now_s: Clock.
        pause: Waits for a time in seconds.
    """

    def __init__(self, now_s: Callable[[], float], pause: Callable[[float], None]):
        self._now_s = now_s
        self._pause = pause
        self._resumed_at_s = now_s()
        self._ends_s = self._resumed_at_s + EXAMINE_TIMEOUT_S

    def may_continue(self) -> bool:
        """Pauses if due; returns whether there is time left."""
        ran_s = self._now_s() - self._resumed_at_s
        if ran_s >= RUN_S:
            self._pause(min(PAUSE_RATIO * ran_s, max(0.0, self._ends_s - self._now_s())))
            self._resumed_at_s = self._now_s()
        return self._now_s() < self._ends_s


class HolderPreviews:
    """Answers queries where a job would be placed, on the VM that holds the term.

    Args:
        call_later: Runs a function on the event thread after a delay in seconds.
        find_scheduler: Returns the scheduler of this VM, or None if it does not hold the term.
        holds_term: Returns whether this VM holds the term with an epoch.
        now_s: Clock that includes time spent suspended.
        pause: Waits for a time in seconds.
        log: Log of decisions.
    """

    def __init__(
        self,
        call_later: Callable[[float, Callable[[], None]], Any],
        find_scheduler: Callable[[], PreviewScheduler | None],
        holds_term: Callable[[int], bool],
        now_s: Callable[[], float],
        pause: Callable[[float], None],
        log: jsonlog.JsonLog,
    ):
        self._call_later = call_later
        self._find_scheduler = find_scheduler
        self._holds_term = holds_term
        self._now_s = now_s
        self._pause = pause
        self._log = log
        self._lock = threading.Lock()
        self._answered_at_s: float | None = None

    def answer(self, query: peer_calls.PreviewQuery) -> Answer:
        """Returns where a job would be placed, or why there is no preview; blocks the thread."""
        if not self._lock.acquire(blocking=False):
            return _refuse(Problem.BUSY, "another preview is being made")
        try:
            return self._answer_alone(query)
        finally:
            self._lock.release()

    def _answer_alone(self, query: peer_calls.PreviewQuery) -> Answer:
        current = self._find_current(query.epoch)
        if current is None:
            text = f"this VM does not hold the term with epoch {query.epoch}"
            return _refuse(holder.HolderProblem.HOLDER_CHANGED, text)
        now_s = self._now_s()
        if self._answered_at_s is not None and now_s - self._answered_at_s < MIN_INTERVAL_S:
            text = f"the holder makes one preview in {MIN_INTERVAL_S:g} s"
            return _refuse(Problem.BUSY, text)
        self._answered_at_s = now_s
        defect: dict = {}
        try:
            found = self._make_preview(current, query)
        except preview.PreviewError as error:
            answer = _refuse(error.problem, str(error))
        except exceptions.ProtocolError as error:
            answer = _refuse(Problem.JOB_INVALID, str(error))
        except (TimeoutError, futures.CancelledError):
            answer = _refuse(Problem.NOT_LOADED, "the holder is loading its jobs or overloaded")
        except Exception as error:
            # The peer would take some of these errors for those of an older build.
            answer = _refuse(Problem.FAILED, f"{type(error).__name__}: {error!s:.200}")
            defect = errors.describe(error).make_fields(answer.text)
        else:
            answer = Answer("", "", make_document(found, query.account))
        if self._find_current(query.epoch) is not current:
            text = "the term ended while the preview was made"
            answer = _refuse(holder.HolderProblem.HOLDER_CHANGED, text)
        self._answered_at_s = self._now_s()
        self._log.write(
            "previewed",
            epoch=query.epoch,
            job=query.job_id if not query.record else "",
            account=query.account,
            problem=answer.problem,
            **defect or {"error": answer.text},
            took_s=round(self._answered_at_s - now_s, 3),
        )
        return answer

    def _find_current(self, epoch: int) -> PreviewScheduler | None:
        current = self._find_scheduler()
        is_current = current is not None and current.epoch == epoch and self._holds_term(epoch)
        return current if is_current else None

    def _make_preview(
        self, current: PreviewScheduler, query: peer_calls.PreviewQuery
    ) -> preview.Preview:
        subject: model.Job | str = query.job_id
        if query.record:
            subject = progress.decode_accepted(query.job_id, query.record).job
        prepared: futures.Future = futures.Future()

        def prepare() -> None:
            if not prepared.set_running_or_notify_cancel():
                return
            try:
                prepared.set_result(current.prepare_preview(subject, query.account))
            except Exception as error:
                prepared.set_exception(error)

        self._call_later(0.0, prepare)
        try:
            copied = prepared.result(COPY_TIMEOUT_S)
        except TimeoutError:
            # Nobody waits for the copy any more, so it is not made.
            prepared.cancel()
            raise
        if copied is None:
            raise TimeoutError("the jobs are not loaded")
        pace = _Pace(self._now_s, self._pause)
        copied_state, now_s, wall_s = copied
        return preview.examine(copied_state, query.job_id, now_s, wall_s, pace.may_continue)


def make_document(found: preview.Preview, account: str) -> dict[str, Any]:
    """Returns a preview as plain values.

    Jobs of other accounts are not named, because whoever knows the identifier of a job can cancel
    it.

    Args:
        found: The preview.
        account: Client account that it is for.
    """
    return {
        "job": found.job_id,
        "account": found.account,
        "queue": found.queue,
        "service": found.service,
        "level": found.level,
        "late": found.is_late,
        "units_waiting": found.units_waiting,
        "due_in_s": round(found.due_in_s, 3),
        "steps": [_make_step_document(step, account) for step in found.steps],
    }


def _make_step_document(step: step_preview.StepPreview, account: str) -> dict[str, Any]:
    victims = [
        {
            "job": victim.job_id if victim.account == account else None,
            "queue": victim.queue,
            "step": victim.step,
            "tasks": victim.tasks,
        }
        for victim in step.victims
    ]
    return {
        "step": step.step,
        "tasks": step.tasks,
        "units_before": step.units_before,
        "placed": [[index, worker_id] for index, worker_id in sorted(step.placed.items())],
        "reserved": [[index, worker_id] for index, worker_id in sorted(step.reserved.items())],
        "duration_s": _round(step.duration_s),
        "starts_in_s": _round(step.starts_in_s),
        "ends_in_s": _round(step.ends_in_s),
        "learned": step.is_learned,
        "victims": victims,
        "awaited": step.awaited,
        "lost_core_s": round(step.lost_core_s, 1),
        "reason": step.reason.value if step.reason else None,
        "reason_fields": step.fields,
        "groups": [
            {
                "data_centre": group.data_centre,
                "rack": group.rack,
                "workers": group.workers,
                "fitting": group.fitting,
                "chosen": group.chosen,
                "excluded": {reason.value: count for reason, count in group.excluded.items()},
            }
            for group in step.groups
        ],
    }


def _round(value_s: float | None) -> float | None:
    return None if value_s is None else round(value_s, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """A question that has passed the checks of the VM that received it."""

    account: str
    job_id: str
    record: bytes


class PreviewApplication:
    """WSGI application that serves previews on the readiness address of each VM.

    A submission is never stored here, in whatever form it arrives. ``POST`` asks for a job in the
    body, ``GET`` for a waiting job.

    Args:
        view: The VM's view of the configuration.
        now_s: Clock that includes time spent suspended.
        wall_s: Time of day, in seconds since 1970.
        max_configuration_age_s: Age of the last confirmation above which no key is trusted.
        max_row_bytes: Maximum size of a row in the store.
        query: Asks the holder for an account, a job's identifier, and its record or nothing.
    """

    def __init__(
        self,
        view: node_view.NodeView,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        max_configuration_age_s: float,
        max_row_bytes: int,
        query: Callable[[str, str, bytes], Answer],
    ):
        self._view = view
        self._now_s = now_s
        self._wall_s = wall_s
        self._max_configuration_age_s = max_configuration_age_s
        self._max_row_bytes = max_row_bytes
        self._query = query
        # The other threads of the readiness address stay free for the load balancer's checks.
        self._lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable):
        """Serves one question."""
        request = werkzeug.Request(environ)
        if request.method not in ("GET", "POST"):
            return werkzeug.Response(status=405)(environ, start_response)
        if not self._lock.acquire(blocking=False):
            answer = _refuse(Problem.BUSY, "this VM is asking for another preview")
        else:
            try:
                asked = self._read_question(request)
                answer = (
                    asked
                    if isinstance(asked, Answer)
                    else self._query(asked.account, asked.job_id, asked.record)
                )
            finally:
                self._lock.release()
        return _respond(answer)(environ, start_response)

    def _read_question(self, request: werkzeug.Request) -> _Question | Answer:
        configuration = self._view.configuration
        age_s = self._now_s() - self._view.confirmed_at_s
        if configuration is None or age_s > self._max_configuration_age_s:
            text = f"this VM has confirmed the configuration {age_s:.1f} s ago"
            return _refuse(Problem.CONFIGURATION_NOT_CONFIRMED, text)
        account = callers.identify_account(configuration, request)
        job_id = request.args.get("job", DEFAULT_JOB_ID if request.method == "POST" else "")
        if not submissions.JOB_ID.fullmatch(job_id):
            return _refuse(Problem.BAD_QUERY, "job: expected 16 lower-case hexadecimal digits")
        if request.method == "GET":
            has_public = any(route.is_public for route in configuration.routes.values())
            if not account and not has_public:
                return _refuse(Problem.KEY_REFUSED, "the key belongs to no client account")
            return _Question(account, job_id, b"")
        route = _find_route(configuration, request)
        if route is None:
            text = "no queue has this name, or this host and path"
            return _refuse(preview.Problem.QUEUE_UNKNOWN, text)
        if not account and not route.is_public:
            return _refuse(Problem.KEY_REFUSED, "the key belongs to no client account")
        return self._read_job(request, configuration, route, account, job_id)

    def _read_job(
        self,
        request: werkzeug.Request,
        configuration: model.Configuration,
        route: model.Route,
        account: str,
        job_id: str,
    ) -> _Question | Answer:
        length = request.content_length or 0
        if length > configuration.max_body_bytes:
            text = f"expected at most {configuration.max_body_bytes} bytes, got {length}"
            return _refuse(Problem.JOB_TOO_LARGE, text)
        body = request.environ["wsgi.input"].read(length)
        try:
            _, record = acceptance.decode_submission(
                body, job_id, route, account, self._wall_s(), self._max_row_bytes
            )
        except acceptance.TooLargeError as error:
            return _refuse(Problem.JOB_TOO_LARGE, str(error))
        except exceptions.ProtocolError as error:
            return _refuse(Problem.JOB_INVALID, str(error))
        return _Question(account, job_id, record)


def _find_route(
    configuration: model.Configuration, request: werkzeug.Request
) -> model.Route | None:
    """Returns the queue that a question names, or to which it gives a host and a path."""
    name = request.args.get("queue")
    if name is not None:
        return configuration.routes.get(name)
    return configuration.find_route(request.args.get("host", ""), request.args.get("path", ""))


def _respond(answer: Answer) -> werkzeug.Response:
    if not answer.problem:
        body = {"preview": answer.document}
        return werkzeug.Response(msgspec.json.encode(body), mimetype="application/json")
    body = {"error": answer.problem, "message": answer.text}
    # A holder of a later build may have other problems.
    status = _STATUSES.get(answer.problem, 503)
    return werkzeug.Response(msgspec.json.encode(body), status=status, mimetype="application/json")
