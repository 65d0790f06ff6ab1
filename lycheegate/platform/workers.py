"""Client of the workers, and decoding of their registrations."""

import dataclasses
import enum
import re
from collections.abc import Callable
from typing import Annotated

import msgspec
from returns import result

from lycheegate.clients import http
from lycheegate.jobs import commands, model, runs, workers
from lycheegate.platform import foreign
from lycheegate.utils import addresses, exceptions, numbers

__all__ = [
    "REGISTRY_TABLE",
    "OrderResult",
    "PlatformWorkers",
    "StartOutcome",
    "WrongIncarnationError",
    "decode_registration",
    "format_task",
    "parse_task",
]

REGISTRY_TABLE = "servers"
_INSTANCE_HEADER = "X-Lycheegate-Expected-Instance"
_MISDIRECTED_STATUS = 421
_MAX_LISTED_ENDS = 500
"""Number of ends that a worker lists in one report; the others follow once these are acknowledged.
"""
_WORKER_ID = re.compile(r"[!-~]{1,200}")
_TASK_NAME = re.compile(r"([^.]*)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})")
MAX_CHECKPOINT_CHARACTERS = 4096
"""Longer checkpoints would not fit into the record of their job, which could not be stored."""
_END_BY_REASON = {
    "done": runs.End.DONE,
    "failed": runs.End.FAILED,
    "stopped": runs.End.INTERRUPTED,
    "lapsed": runs.End.INTERRUPTED,
    "broken": runs.End.INTERRUPTED,
    "alone": runs.End.INTERRUPTED,
}
MAX_CAPACITY = 10**9
"""Largest amount of a resource that a worker may register: a million cores, or a petabyte."""
MAX_COLD_S = 600.0
"""Longest time for which a worker is taken to be slow after its start."""
ORDER_TIMEOUT_S = 0.5
REPORT_GRACE_S = 0.8
"""Timeout of a report request beyond its wait time."""


class StartOutcome(enum.StrEnum):
    """Outcome of an order to start or stop a run."""

    STARTED = "started"
    """The worker has accepted the order; also used for stop orders."""
    FENCED = "fenced"
    """The worker has seen the epoch of a later scheduler term."""
    OLD_RUN = "old_run"
    """The worker has already seen this run, which is no longer present, or a later one."""
    LATE = "late"
    """The order arrived after its deadline."""
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    """The worker responded with status 429 or 503."""
    WRONG_INCARNATION = "wrong_incarnation"
    REJECTED = "rejected"
    """The worker refused the order for another reason."""
    UNKNOWN = "unknown"
    """No response was received; the worker may still execute the order."""


_OUTCOME_BY_REASON = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
}


class WrongIncarnationError(exceptions.LycheegateError):
    """Another worker process responds at the endpoint; the intended one no longer exists."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Response of a worker to an order.

    Attributes:
        outcome: Outcome of the order.
        clock_ms: Reading of the worker's clock, or 0 if not reported.
        was_sent: Whether any part of the order was sent.
    """

    outcome: StartOutcome
    clock_ms: int = 0
    was_sent: bool = True


_Capacity = Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)]


class _Resources(msgspec.Struct, rename="kebab"):
    cpu: _Capacity = 0
    mem_mb: _Capacity = 0
    gpu: _Capacity = 0


class _Registration(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Resources
    labels: list[str]
    """Kind of the worker, then its rack."""
    born: foreign.Amount = 0
    remaining_ms: foreign.SignedAmount | None = None
    """Minimum time until the worker shuts down; reported only while it drains."""
    # The other fields that the platform names are not used. An entry in which one of them has
    # another type comes from another writer, and names no worker.
    version: str = ""
    slots: foreign.Amount = 0
    seq: foreign.Amount = 0
    cold_left_ms: int | float = 0


class _Answer(msgspec.Struct, rename="kebab"):
    clock_ms: foreign.Amount = 0
    reason: str = ""


class _Report(msgspec.Struct, rename="kebab"):
    clock_ms: foreign.Amount = 0
    born: foreign.Amount = 0
    running: list[list] = []
    """Rows of task, run number, checkpoint, percent complete, and load."""
    ended: list[list] = []
    """Rows of end number, task, run number, reason of the end, and checkpoint."""
    reason: str = ""


def decode_registration(worker_id: str, data: bytes) -> workers.Registration:
    """Decodes an entry of the worker registry.

    Raises:
        ProtocolError: The entry names no worker to use: it is malformed, or the worker is neither
            ready nor draining.
    """
    entry = foreign.decode_json(data, _Registration)
    if entry.state not in ("ready", "draining"):
        raise exceptions.ProtocolError(f"state is {entry.state!r:.30}, not ready or draining")
    if not _WORKER_ID.fullmatch(worker_id):
        raise exceptions.ProtocolError("key is not 1 to 200 visible ASCII characters")
    if not addresses.is_address(entry.address):
        raise exceptions.ProtocolError("address is not a host and a port from 1 to 65535")
    capacity = entry.capacity
    return workers.Registration(
        worker_id=worker_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        rack=entry.labels[-1] if entry.labels else "",
        labels=frozenset(entry.labels),
        capacity=model.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        draining=entry.state == "draining",
        born_ms=entry.born,
        remaining_s=None if entry.remaining_ms is None else max(0, entry.remaining_ms) / 1000.0,
        cold_s=min(MAX_COLD_S, max(0.0, entry.cold_left_ms / 1000.0)),
    )


def format_task(task: model.TaskKey) -> str:
    """Returns the wire name of a task."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> model.TaskKey | None:
    """Returns the task with the given wire name, or None if the name is invalid."""
    found = _TASK_NAME.fullmatch(name)
    if found is None:
        return None
    job_id, *numbers = found.groups()
    return model.TaskKey(job_id, *(int(number) for number in numbers))


class PlatformWorkers:
    """Client of the workers; callbacks run on the thread of the HTTP client.

    Args:
        client: HTTP client.
        monotonic_s: Clock for the times at which reports are requested and received.
    """

    def __init__(self, client: http.HttpClient, monotonic_s: Callable[[], float]):
        self._client = client
        self._monotonic_s = monotonic_s

    def start(
        self,
        address: str,
        order: commands.StartRun,
        epoch: int,
        deadline_ms: int,
        callback: Callable[[OrderResult], None],
    ) -> None:
        """Orders a worker to start a run; the order is idempotent."""
        body = {
            "task": format_task(order.task),
            "run-id": order.number,
            "spec": order.spec,
            "deadline-ms": deadline_ms,
            "fencing-token": epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        self._order(address, "/run-start", order.worker_id, body, callback)

    def stop(
        self,
        address: str,
        order: commands.StopRun,
        epoch: int,
        callback: Callable[[OrderResult], None],
    ) -> None:
        """Orders a worker to stop a run."""
        body = {
            "task": format_task(order.task),
            "run-id": order.number,
            "fencing-token": epoch,
        }
        self._order(address, "/run-stop", order.worker_id, body, callback)

    def report(
        self,
        address: str,
        worker_id: str,
        epoch: int,
        durable_end: int,
        deadline_ms: int | None,
        wait_s: float,
        callback: Callable[[result.Result], None],
    ) -> None:
        """Renews the lease of a worker's runs and requests a report of its runs.

        Args:
            address: Endpoint of the worker.
            worker_id: Identifier of the worker.
            epoch: Epoch of the scheduler's term.
            durable_end: Number of the last recorded end; the worker deletes ends up to it.
            deadline_ms: New lease deadline on the worker's clock, or None to keep the current one.
            wait_s: Longest time that the worker may wait for a run to end before it responds.
            callback: Receives the report or an error.
        """
        body: dict[str, int] = {"fencing-token": epoch, "last-seen": durable_end}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait_s > 0:
            body["wait-ms"] = int(wait_s * 1000)
        sent_at_s = self._monotonic_s()
        request = _make_request(address, "/hold", worker_id, body, wait_s + REPORT_GRACE_S)

        def finish(done) -> None:
            callback(_decode_report(done.result(), worker_id, sent_at_s, self._monotonic_s()))

        self._client.send(request).add_done_callback(finish)

    def _order(
        self,
        address: str,
        path: str,
        worker_id: str,
        body: dict,
        callback: Callable[[OrderResult], None],
    ) -> None:
        request = _make_request(address, path, worker_id, body, ORDER_TIMEOUT_S)
        future = self._client.send(request)
        future.add_done_callback(lambda done: callback(_decode_order(done.result())))


def _make_request(
    address: str, path: str, worker_id: str, body: dict, timeout_s: float
) -> http.Request:
    headers = ("Content-Type: application/json", f"{_INSTANCE_HEADER}: {worker_id}")
    return http.Request(
        "POST", f"http://{address}{path}", msgspec.json.encode(body), headers, timeout_s
    )


def _decode_order(outcome: http.HttpResult) -> OrderResult:
    if not isinstance(outcome, result.Success):
        was_sent = not isinstance(outcome.failure(), exceptions.NotSentError)
        return OrderResult(StartOutcome.UNKNOWN, was_sent=was_sent)
    response = outcome.unwrap()
    if response.status == _MISDIRECTED_STATUS:
        return OrderResult(StartOutcome.WRONG_INCARNATION)
    if response.status in (429, 503):
        return OrderResult(StartOutcome.UNHEALTHY)
    try:
        answer = foreign.decode_json(response.body, _Answer)
    except exceptions.ProtocolError:
        # The status tells whether the order was executed.
        answer = _Answer()
    if response.status == 200:
        return OrderResult(StartOutcome.STARTED, answer.clock_ms)
    start_outcome = _OUTCOME_BY_REASON.get(answer.reason, StartOutcome.REJECTED)
    return OrderResult(start_outcome, answer.clock_ms)


def _decode_report(
    outcome: http.HttpResult, worker_id: str, sent_at_s: float, received_at_s: float
) -> result.Result:
    if not isinstance(outcome, result.Success):
        return outcome
    response = outcome.unwrap()
    if response.status == _MISDIRECTED_STATUS:
        return result.Failure(
            WrongIncarnationError(f"endpoint no longer belongs to worker {worker_id}")
        )
    if response.status not in (200, 409):
        return result.Failure(_make_refusal(worker_id, response.status))
    try:
        answer = foreign.decode_json(response.body, _Report)
        if response.status == 409:
            if answer.reason == "fence":
                return result.Failure(exceptions.FencedError(0))
            return result.Failure(_make_refusal(worker_id, response.status))
        if not answer.clock_ms:
            # A worker always reports its clock. Other programs may answer any call with an empty
            # object, which would be a report that no run is present.
            raise ValueError("no clock-ms")
        report = workers.Report(
            worker_id,
            answer.clock_ms,
            answer.born,
            tuple(_decode_running(row) for row in answer.running),
            tuple(_decode_ended(row) for row in answer.ended),
            sent_at_s,
            received_at_s,
            lists_all_ends=len(answer.ended) < _MAX_LISTED_ENDS,
        )
    except Exception as error:
        # Whatever a report holds, its worker must be polled again.
        text = f"cannot decode the report of worker {worker_id}: {error!s:.200}"
        failure = exceptions.ProtocolError(text)
        failure.__cause__ = error
        return result.Failure(failure)
    return result.Success(report)


def _make_refusal(worker_id: str, status: int) -> exceptions.UnavailableError:
    return exceptions.UnavailableError(
        f"worker {worker_id} responded with status {status} to /hold"
    )


def _decode_running(row: list) -> workers.ListedRun:
    name, number, checkpoint, percent, *_ = row
    _check_row(number, checkpoint)
    if type(percent) is not int or not 0 <= percent <= 100:
        percent = _limit_percent(percent)
    return workers.ListedRun(parse_task(name), name, number, checkpoint, percent)


def _limit_percent(percent: object) -> int:
    if not isinstance(percent, int | float):
        raise ValueError(f"expected a percentage, got {percent!r:.40}")
    return int(min(100, max(0, percent)))


def _decode_ended(row: list) -> workers.EndedRun:
    end_number, name, number, reason, *rest = row
    checkpoint = rest[0] if rest else ""
    _check_row(number, checkpoint)
    _check_row(end_number, "")
    end = _END_BY_REASON[reason]
    return workers.EndedRun(end_number, parse_task(name), number, end, reason, checkpoint)


def _check_row(number: object, checkpoint: object) -> None:
    """Raises ValueError for a number or a checkpoint that later calls could not send back."""
    if type(number) is not int or not 0 <= number <= numbers.MAX_WHOLE:
        raise ValueError(f"expected a number of a run or an end, got {number!r:.40}")
    if type(checkpoint) is not str or len(checkpoint) > MAX_CHECKPOINT_CHARACTERS:
        raise ValueError(f"expected a checkpoint, got {checkpoint!r:.40}")
