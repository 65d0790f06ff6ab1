"""WSGI application that serves the HTTP interface of callers."""

import dataclasses
import datetime
import math
import time
import traceback
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
from returns import result
from werkzeug import exceptions as http_exceptions
from werkzeug import routing, wrappers

from lycheegate.entry import admission, answers, following, records, replies
from lycheegate.metrics import logs
from lycheegate.model import releases, resources
from lycheegate.peers import confirmation
from lycheegate.settings import models
from lycheegate.utils import clock as clock_module
from lycheegate.utils import exceptions

__all__ = ["ROUTES", "CallersApplication", "Services"]

_log = logs.Log("lycheegate.entry.callers")

ROUTES = routing.Map(
    [
        routing.Rule("/v1/requests", methods=["POST"], endpoint="submit"),
        routing.Rule("/v1/requests/<request_id>", methods=["GET"], endpoint="status"),
        routing.Rule("/v1/requests/<request_id>", methods=["DELETE"], endpoint="cancel"),
        routing.Rule("/v1/requests/<request_id>/answer", methods=["GET"], endpoint="answer"),
        routing.Rule("/v1/ready", methods=["GET"], endpoint="ready"),
        routing.Rule("/v1/live", methods=["GET"], endpoint="live"),
    ]
)

MAX_KEY_LENGTH = 200
CANCEL_WAIT_S = 2.0
"""Time that a cancellation waits for the request to end, so that most responses report the end."""

RETRY_S = 1.0
"""Delay after which a caller is asked to retry a refused call."""


@dataclasses.dataclass(frozen=True)
class Services:
    """Functions and objects of the daemon that the interface uses.

    Attributes:
        settings: Settings of this entry VM.
        table: Table service.
        objects: Object store.
        get_release: Returns the release in force.
        authenticate: Returns the caller whose token is in an ``Authorization`` header.
        get_confirmation_status: Returns the confirmation status of the release in force; while it
            is unconfirmed, new requests are refused.
        is_draining: Returns whether this entry VM is about to exit.
        choose_partition: Returns the partition for a client account, shape and request identifier,
            or None if no partition has an owner.
        request_follower: Requests that this entry VM has submitted to partition owners.
        cancel: Asks the owner of a partition to cancel a request.
        acquire_waiting_slot: Acquires a slot for a waiting call; returns False if none is free.
        release_waiting_slot: Releases the slot.
        budget: Limit on the size of the answers in memory.
        clock: Source of time.
        record_duration: Records the duration of a call under its name.
        count: Increments a counter by name.
    """

    settings: models.EntrySettings
    table: Any
    objects: answers.ObjectStore
    get_release: Callable[[], releases.Release]
    authenticate: Callable[[str | None, datetime.date], result.Result[releases.Caller, Any]]
    get_confirmation_status: Callable[[], confirmation.ConfirmationStatus]
    is_draining: Callable[[], bool]
    choose_partition: Callable[[str, resources.Shape, str], str | None]
    request_follower: following.RequestFollower
    cancel: Callable[[str, str], None]
    acquire_waiting_slot: Callable[[], bool]
    release_waiting_slot: Callable[[], None]
    budget: answers.AnswerBudget
    clock: clock_module.Clock
    record_duration: Callable[[str, float], None] = lambda name, seconds_s: None
    count: Callable[[str], None] = lambda name: None


class _Refused(Exception):
    """Ends the handling of a call with a response."""

    def __init__(self, response: wrappers.Response):
        super().__init__()
        self.response = response


class CallersApplication:
    """Serves callers; all state but the rate limits is in ``services``."""

    def __init__(self, services: Services):
        self._services = services
        limits = services.settings.limits
        self._rates = admission.RateLimiter(limits.rate_per_caller_per_s, limits.burst_per_caller)

    def __call__(self, environ: Mapping, start_response: Callable) -> Iterable[bytes]:
        """Serves one call."""
        request = wrappers.Request(environ)
        began_s = time.perf_counter()
        name = "unknown"
        try:
            name, arguments = ROUTES.bind_to_environ(environ).match()
            response = getattr(self, f"_{name}")(request, **arguments)
        except _Refused as refused:
            response = refused.response
        except http_exceptions.HTTPException as error:
            response = replies.refuse(error.code or 400, "no_such_path", str(error.name))
        except Exception:
            _log.error("call_failed", name=name, error=traceback.format_exc()[-500:])
            self._services.count("call_failed")
            response = replies.make_unknown("internal_error")
        self._services.record_duration(name, time.perf_counter() - began_s)
        return response(environ, start_response)

    def _live(self, request: wrappers.Request) -> wrappers.Response:
        del request
        return replies.make_json(200, {"live": True})

    def _ready(self, request: wrappers.Request) -> wrappers.Response:
        del request
        status = self._services.get_confirmation_status()
        is_ready = not self._services.is_draining() and (
            status is not confirmation.ConfirmationStatus.UNCONFIRMED
        )
        body = {
            "ready": is_ready,
            "draining": self._services.is_draining(),
            "release": self._services.get_release().number,
            "confirmation": status,
        }
        return replies.make_json(200 if is_ready else 503, body)

    def _submit(self, request: wrappers.Request) -> wrappers.Response:
        services = self._services
        if services.is_draining():
            return replies.refuse(503, "draining", retry_after_s=RETRY_S)
        caller = self._authenticate(request)
        key = request.headers.get("Idempotency-Key", "")
        if not 0 < len(key) <= MAX_KEY_LENGTH:
            return replies.refuse(
                400,
                "idempotency_key",
                f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters, got {len(key)}",
            )
        data = self._read_body(request)
        body = _unwrap(admission.decode_body(data))
        status = services.get_confirmation_status()
        if status is confirmation.ConfirmationStatus.UNCONFIRMED:
            return replies.refuse(503, "release_unconfirmed", retry_after_s=RETRY_S)
        wall_s = services.clock.now().timestamp()
        job_classes = services.settings.job_classes
        record = _unwrap(admission.make_record(body, caller, key, job_classes, wall_s))
        shape = resources.Shape(record.members, record.accelerators, record.adjacency)
        partition = services.choose_partition(caller.client_account, shape, record.request_id)
        if partition is None:
            return replies.refuse(503, "no_owner", retry_after_s=RETRY_S)
        record = msgspec.structs.replace(record, partition=partition)
        wait_s = min(body.wait_s, services.settings.limits.max_wait_s)
        waits = wait_s > 0 and services.acquire_waiting_slot()
        try:
            return self._accept(record, len(data), wait_s if waits else 0.0)
        finally:
            if waits:
                services.release_waiting_slot()

    def _accept(self, record: records.Record, size_bytes: int, wait_s: float) -> wrappers.Response:
        """Creates the record and submits the request; earlier refusals have stored nothing."""
        services = self._services
        if size_bytes > records.INLINE_BYTES:
            key = f"payload-{record.request_id}-{record.spec_digest[:16]}"
            put = services.objects.put(key, msgspec.json.encode(record.payload))
            if isinstance(put, result.Failure):
                return self._serve_without_store(record, wait_s)
            record = msgspec.structs.replace(record, payload=None, payload_key=key)
        match records.create(services.table, record):
            case result.Success((versioned, is_created)):
                pass
            case result.Failure(exceptions.UnavailableError()):
                return self._serve_without_store(record, wait_s)
            case _:
                # The record may exist; in that case the request may run.
                return replies.make_unknown("store_unavailable", record.request_id)
        if versioned.record.spec_digest != record.spec_digest:
            return replies.refuse(
                400, "key_reused", "the idempotency key was already used for another request"
            )
        if versioned.record.end is not None:
            return self._make_end_response(
                versioned.record, following.SettledRequest(versioned.record.end)
            )
        return self._wait_for_end(versioned, wait_s, is_repeated=not is_created)

    def _serve_without_store(self, record: records.Record, wait_s: float) -> wrappers.Response:
        """Runs an idempotent request whose caller waits, without a record; refuses any other."""
        if not record.idempotent or wait_s <= 0:
            return replies.refuse(
                503, "store_unavailable", retry_after_s=2 * RETRY_S, request_id=record.request_id
            )
        self._services.count("served_without_record")
        versioned = records.VersionedRecord(record, 0)
        followed = self._services.request_follower.follow(versioned, waits=True, is_repeated=False)
        try:
            followed.done.wait(wait_s)
        finally:
            self._services.request_follower.stop_waiting(followed)
        if followed.settled is not None:
            return self._make_end_response(record, followed.settled)
        self._services.cancel(record.partition, record.request_id)
        return replies.make_unknown("store_unavailable", record.request_id)

    def _wait_for_end(
        self, versioned: records.VersionedRecord, wait_s: float, is_repeated: bool
    ) -> wrappers.Response:
        followed = self._services.request_follower.follow(versioned, wait_s > 0, is_repeated)
        if wait_s > 0:
            try:
                followed.done.wait(wait_s)
            finally:
                self._services.request_follower.stop_waiting(followed)
        if followed.settled is not None:
            return self._make_end_response(versioned.record, followed.settled)
        return replies.make_accepted(versioned.record)

    def _status(self, request: wrappers.Request, request_id: str) -> wrappers.Response:
        versioned = self._find_record(request, request_id)
        if versioned.record.end is None:
            return replies.make_accepted(versioned.record)
        return replies.make_end(versioned.record, versioned.record.end, self._get_wall_s())

    def _answer(self, request: wrappers.Request, request_id: str) -> wrappers.Response:
        wait_s = request.args.get("wait_s", 0.0, float)
        if not math.isfinite(wait_s) or wait_s < 0:
            return replies.refuse(
                400, "wait_s", f"expected a finite number of at least 0, got {wait_s}"
            )
        versioned = self._find_record(request, request_id)
        if versioned.record.end is not None:
            return self._make_end_response(
                versioned.record, following.SettledRequest(versioned.record.end)
            )
        wait_s = min(wait_s, self._services.settings.limits.max_wait_s)
        waits = wait_s > 0 and self._services.acquire_waiting_slot()
        try:
            return self._wait_for_end(versioned, wait_s if waits else 0.0, is_repeated=True)
        finally:
            if waits:
                self._services.release_waiting_slot()

    def _cancel(self, request: wrappers.Request, request_id: str) -> wrappers.Response:
        services = self._services
        versioned = self._find_record(request, request_id)
        match records.request_cancel(services.table, request_id):
            case result.Success(records.VersionedRecord() as updated):
                versioned = updated
            case _:
                return replies.make_unknown("store_unavailable", request_id)
        if versioned.record.end is not None:
            return replies.make_end(versioned.record, versioned.record.end, self._get_wall_s())
        services.cancel(versioned.record.partition, request_id)
        waits = services.acquire_waiting_slot()
        followed = services.request_follower.follow(versioned, waits, is_repeated=True)
        if waits:
            try:
                followed.done.wait(CANCEL_WAIT_S)
            finally:
                services.request_follower.stop_waiting(followed)
                services.release_waiting_slot()
        if followed.settled is not None:
            return replies.make_end(versioned.record, followed.settled.end, self._get_wall_s())
        return replies.make_accepted(versioned.record)

    def _make_end_response(
        self, record: records.Record, settled: following.SettledRequest
    ) -> wrappers.Response:
        """Returns the response with the answer of an ended request, or its end if it has none."""
        end = settled.end
        if end.answer is None:
            return replies.make_end(record, end, self._get_wall_s())
        size_bytes = end.answer.length
        if not self._services.budget.acquire_bytes(size_bytes, 10.0):
            return replies.make_unavailable("answers_in_memory", record.request_id)
        try:
            match self._load_answer(end.answer, settled.body):
                case result.Success(body):
                    return replies.make_answer(record, end, body)
        finally:
            # The answer counts against the budget only while it is loaded; cheroot sends it right
            # afterwards.
            self._services.budget.release_bytes(size_bytes)
        return replies.make_unavailable("store_unavailable", record.request_id)

    def _load_answer(self, reference: records.AnswerReference, body: bytes | None) -> result.Result:
        if body is not None:
            return answers.check(body, reference.length, reference.sha256, "", "")
        return answers.load(self._services.objects, reference)

    def _find_record(self, request: wrappers.Request, request_id: str) -> records.VersionedRecord:
        """Returns a record of the caller; records of other callers are reported as absent."""
        caller = self._authenticate(request)
        match records.read(self._services.table, request_id):
            case result.Success(records.VersionedRecord() as versioned):
                if versioned.record.caller == caller.name:
                    return versioned
            case result.Success():
                pass
            case _:
                raise _Refused(replies.make_unavailable("store_unavailable", request_id))
        raise _Refused(replies.refuse(404, "no_such_request"))

    def _authenticate(self, request: wrappers.Request) -> releases.Caller:
        services = self._services
        today = services.clock.now().date()
        match services.authenticate(request.headers.get("Authorization"), today):
            case result.Success(caller):
                pass
            case _ if (
                services.get_confirmation_status() is confirmation.ConfirmationStatus.UNCONFIRMED
            ):
                # The token may be from a newer release that this entry VM does not know yet.
                refused = replies.refuse(503, "release_unconfirmed", retry_after_s=RETRY_S)
                raise _Refused(refused)
            case _:
                raise _Refused(replies.refuse(401, "token"))
        retry_after_s = self._rates.take(caller.name, services.clock.monotonic_s())
        if retry_after_s > 0:
            services.count("rate_limited")
            raise _Refused(replies.refuse(429, "rate", retry_after_s=retry_after_s))
        return caller

    def _read_body(self, request: wrappers.Request) -> bytes:
        limit = self._services.settings.limits.max_body_bytes
        length = request.content_length
        if length is None:
            raise _Refused(
                replies.refuse(400, "content_length", "the header Content-Length is required")
            )
        if length > limit:
            raise _Refused(
                replies.refuse(
                    413,
                    "body_too_large",
                    f"body of {length} bytes exceeds the limit of {limit} bytes",
                )
            )
        try:
            data = request.environ["wsgi.input"].read(length)
        except OSError:
            data = b""
        if len(data) != length:
            raise _Refused(replies.refuse(400, "body_incomplete"))
        return data

    def _get_wall_s(self) -> float:
        return self._services.clock.now().timestamp()


def _unwrap(found: result.Result) -> Any:
    match found:
        case result.Success(value):
            return value
        case result.Failure(admission.Fault() as fault):
            raise _Refused(replies.refuse(400, fault.reason, fault.detail))
    raise TypeError(found)
