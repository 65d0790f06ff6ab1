"""Connection to one worker: fencing, event polls and the reported state of the worker."""

import dataclasses
import enum
import random
import threading
import urllib.parse
from collections.abc import Callable
from concurrent import futures
from typing import Any

from returns import result

from lycheegate.clients import guards, http
from lycheegate.clients import worker_protocol as protocol
from lycheegate.core import commands, events
from lycheegate.model import resources
from lycheegate.utils import backoff

__all__ = ["JSON_HEADER", "LinkState", "PoolContext", "WorkerLink", "WorkerSettings"]

JSON_HEADER = ("Content-Type: application/json",)
# Minimum time between the starts of two polls, which limits the polls per second of a worker with
# many events.
_MIN_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Timeouts and limits of a worker pool.

    Attributes:
        poll_wait_s: Time for which a worker may hold a long poll open without events.
        loss_timeout_s: Time without any answer after which a worker is lost. The difference to
            ``poll_wait_s`` is the time that a slow worker or network may take for one answer.
        check_interval_s: Interval between checks for lost workers. A loss is detected after at most
            ``loss_timeout_s`` plus this interval.
        lease_s: Lease of tasks, renewed after a third of it while the worker has tasks.
        order_timeout_s: Timeout of an order, including retries.
        connect_timeout_s: Timeout of each request of a reconnection.
        reconnect_cap_s: Maximum backoff between reconnections.
        max_answer_bytes: Maximum size of the answer of a task.
    """

    poll_wait_s: float = 2.4
    loss_timeout_s: float = 2.9
    check_interval_s: float = 0.1
    lease_s: float = 60.0
    order_timeout_s: float = 2.0
    connect_timeout_s: float = 1.0
    reconnect_cap_s: float = 2.0
    max_answer_bytes: int = 64 << 20


class LinkState(enum.Enum):
    """State of the connection to a worker."""

    FENCING = 0
    """The tasks on the worker are unknown; orders are refused."""
    REPORTED = 1
    """The report was emitted and is not yet applied; orders are refused."""
    LIVE = 2
    LOST = 3
    REMOVED = 4


@dataclasses.dataclass
class PoolContext:
    """State and callbacks that all links of a pool share.

    Attributes:
        client: HTTP client.
        partition: The partition.
        epoch: Epoch of the owner of the partition.
        emit: Called with each event.
        on_fenced: Called with the higher epoch when a worker refuses ``epoch``.
        generator: Source of jitter.
        settings: Timeouts and limits.
        monotonic_s: Returns the monotonic time in seconds.
        lock: Protects all links. It is reentrant, because a request may fail while it is sent, with
            its callback on the same thread.
        closed: Whether the pool is closed, so that no more events are emitted.
    """

    client: http.HttpClient
    partition: str
    epoch: int
    emit: Callable[[events.Event], None]
    on_fenced: Callable[[int], None]
    generator: random.Random
    settings: WorkerSettings
    monotonic_s: Callable[[], float]
    lock: threading.RLock = dataclasses.field(default_factory=threading.RLock)
    closed: bool = False

    def handle_fenced(self, reply: protocol.ReplyBody) -> bool:
        """Calls ``on_fenced`` if a reply refuses the epoch, and returns whether it does."""
        if reply.error == "fenced" and not self.closed:
            self.on_fenced(reply.epoch)
        return reply.error == "fenced"

    def make_delete_path(self, task_id: str) -> str:
        """Returns the URL path and query to delete a task."""
        query = urllib.parse.urlencode({"epoch": self.epoch, "partition": self.partition})
        return f"{protocol.make_task_path(task_id)}?{query}"


class WorkerLink:
    """Connection to a worker. All methods are called with the lock of the context held.

    Attributes:
        worker: The worker, with the slots and accelerators that it has reported.
        guard: Retry budget and circuit breaker for orders to the worker.
        url: Base URL of the worker.
        state: State of the connection.
        loss_count: Number of times that the worker was lost or removed. Outcomes of orders that
            were sent at a lower count are ignored.
        was_reported: Whether ``WorkerReported`` has been emitted.
        leaving: Whether the worker is leaving.
        last_answer_s: Time of its latest answer to an order or a poll.
        state_ranks: Rank of the latest emitted state of each task, by task identifier.
        finished_answers: Length and SHA-256 checksum of answers, by task identifier.
        pending_orders: Orders in flight.
        unresolved_orders: Orders to accept a task whose outcome is unknown, by task identifier.
        usage: Latest usage that the worker has reported.
        instance: Instance of the worker, from the start of the latest connection.
        reported_instance: Instance in the latest ``WorkerReported``, or an empty string.
    """

    def __init__(self, context: PoolContext, worker: resources.Worker):
        self.worker = worker
        self.guard = guards.create_guard(context.generator, context.monotonic_s)
        self.url = f"http://{worker.endpoint}"
        self.state = LinkState.FENCING
        self.loss_count = 0
        self.was_reported = False
        self.leaving = False
        self.last_answer_s = context.monotonic_s()
        self.state_ranks: dict[str, int] = {}
        self.finished_answers: dict[str, tuple[int | None, str | None]] = {}
        self.pending_orders: set[object] = set()
        self.unresolved_orders: dict[str, commands.HoldTask] = {}
        self.usage: dict[str, Any] = {}
        self._context = context
        # Incremented by each new connection; answers to requests of an older one are ignored.
        self._generation = 0
        self._last_seq = 0
        self.instance = ""
        self.reported_instance = ""
        self._polled_at_s = 0.0
        self._renew_at_s = 0.0

    def emit_state(
        self,
        task_id: str,
        state: events.TaskState,
        error: str = "",
        checkpointed: bool = False,
    ) -> None:
        """Emits a state that a known task has reached, unless it was emitted before."""
        rank = protocol.get_state_rank(state)
        if self.state_ranks.get(task_id, rank) < rank:
            self.state_ranks[task_id] = rank
            self._context.emit(protocol.make_event(task_id, state, error, checkpointed))

    def mark_leaving(self) -> None:
        """Marks the worker as leaving; emits ``WorkerLeaving`` on the first call."""
        if not self.leaving:
            self.leaving = True
            if self.was_reported:
                self._context.emit(events.WorkerLeaving(self.worker.worker_id))

    def mark_lost(self) -> None:
        """Marks the worker as lost, emits ``WorkerLost`` and tries to reconnect."""
        self.state = LinkState.LOST
        self.loss_count += 1
        self._context.emit(events.WorkerLost(self.worker.worker_id))
        self.connect()

    def remove(self) -> None:
        """Closes the link; emits ``WorkerLost`` if the worker counted as present."""
        if self.was_reported and self.state is not LinkState.LOST and not self._context.closed:
            self._context.emit(events.WorkerLost(self.worker.worker_id))
        self.state = LinkState.REMOVED
        self.loss_count += 1
        self._generation += 1

    def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_outcome: Callable[[http.HttpResult], None],
    ) -> None:
        """Sends a request of the connection itself, without retries.

        ``connect`` retries as a whole. An outcome that arrives after a newer connection has begun
        is ignored.
        """
        headers = JSON_HEADER if body is not None else ()
        request = http.Request(method, self.url + path, body, headers, timeout_s)
        generation = self._generation

        def finish(done: futures.Future[http.HttpResult]) -> None:
            with self._context.lock:
                if not self._context.closed and self._generation == generation:
                    on_outcome(done.result())

        self._context.client.send(request).add_done_callback(finish)

    def connect(self, number: int = 1) -> None:
        """Connects to the worker and reports its tasks.

        Reads the latest event number, fences the worker, deletes the orders whose outcome is
        unknown, emits ``WorkerReported`` and begins to poll.

        Args:
            number: Number of the attempt, which determines the backoff.
        """
        self._generation += 1
        generation = self._generation
        context = self._context
        timeout_s = context.settings.connect_timeout_s

        def schedule_retry() -> None:
            delay_s = backoff.compute_delay_s(
                number, context.generator, cap_s=context.settings.reconnect_cap_s
            )
            context.client.call_later(delay_s, reconnect)

        def reconnect() -> None:
            with context.lock:
                if not context.closed and self._generation == generation:
                    self.connect(number + 1)

        def handle_position(outcome: http.HttpResult) -> None:
            decoded = protocol.decode(outcome, protocol.PollBody)
            if isinstance(decoded, result.Failure) or self.pending_orders:
                # An order in flight could start a task that the report does not contain.
                schedule_retry()
                return
            position = decoded.unwrap()
            self._last_seq, self.instance = position.next, position.instance
            body = protocol.encode_fence(context.partition, context.epoch, context.settings.lease_s)
            self._send("POST", "/v1/fence", body, timeout_s, handle_fence)

        def handle_fence(outcome: http.HttpResult) -> None:
            if self._handle_fenced(outcome):
                return
            decoded = protocol.decode(outcome, protocol.FenceBody)
            if isinstance(decoded, result.Failure):
                schedule_retry()
                return
            fence = decoded.unwrap()
            for task in fence.tasks:
                self.unresolved_orders.pop(task.task_id, None)
            resolve_next(fence, [protocol.make_report(task) for task in fence.tasks])

        def resolve_next(fence: protocol.FenceBody, reports: list[events.TaskReport]) -> None:
            """Deletes the next order whose outcome is unknown; without any, emits the report."""
            if not self.unresolved_orders:
                self._emit_report(fence, tuple(reports))
                return
            task_id, command = next(iter(self.unresolved_orders.items()))

            def handle_deletion(outcome: http.HttpResult) -> None:
                if self._handle_fenced(outcome):
                    return
                decoded = protocol.decode(outcome, protocol.ReplyBody)
                if isinstance(decoded, result.Failure):
                    schedule_retry()
                    return
                self.unresolved_orders.pop(task_id, None)
                if decoded.unwrap().started or decoded.unwrap().instance != self.instance:
                    reports.append(_make_stopped_report(command))
                resolve_next(fence, reports)

            path = context.make_delete_path(task_id)
            self._send("DELETE", path, None, timeout_s, handle_deletion)

        path = f"/v1/events?after={protocol.AFTER_ALL_EVENTS}&wait_s=0"
        self._send("GET", path, None, timeout_s, handle_position)

    def _handle_fenced(self, outcome: http.HttpResult) -> bool:
        decoded = protocol.decode(outcome, protocol.ReplyBody, (409,))
        return isinstance(decoded, result.Success) and self._context.handle_fenced(decoded.unwrap())

    def _emit_report(
        self,
        fence: protocol.FenceBody,
        reports: tuple[events.TaskReport, ...],
    ) -> None:
        self.last_answer_s = self._context.monotonic_s()
        self.guard.breaker.record_success()
        self.state_ranks = {
            report.task_id: protocol.get_state_rank(report.state) for report in reports
        }
        self.finished_answers.clear()
        self._renew_at_s = self._context.monotonic_s() + self._context.settings.lease_s / 3
        # The capacity that the worker reports takes precedence over that in the VM list.
        self.worker = dataclasses.replace(
            self.worker, slots=fence.slots, accelerators=fence.accelerators
        )
        self.state = LinkState.REPORTED
        self.was_reported = True
        # Before the first report, earlier instances of the worker are unknown, so it counts as
        # restarted and the absence of a task proves nothing.
        restarted = self.reported_instance != self.instance
        self.reported_instance = self.instance
        self._context.emit(
            events.WorkerReported(self.worker, reports, restarted=restarted, instance=self.instance)
        )
        if self.leaving:
            self._context.emit(events.WorkerLeaving(self.worker.worker_id))
        elif fence.leaving:
            self.mark_leaving()
        self._poll()

    def _poll(self) -> None:
        settings = self._context.settings
        self._polled_at_s = self._context.monotonic_s()
        path = f"/v1/events?after={self._last_seq}&wait_s={settings.poll_wait_s:g}"
        on_outcome = self._handle_poll
        self._send("GET", path, None, settings.loss_timeout_s, on_outcome)

    def _handle_poll(self, outcome: http.HttpResult) -> None:
        decoded = protocol.decode(outcome, protocol.PollBody)
        if isinstance(decoded, result.Failure):
            self._reconnect()
            return
        now_s = self._context.monotonic_s()
        self.last_answer_s = now_s
        poll = decoded.unwrap()
        is_restarted = poll.instance != self.instance
        if is_restarted or poll.next != self._last_seq + len(poll.events):
            # The worker has restarted, or has dropped events. Event numbers alone do not reveal the
            # restart of an idle worker, which also loses the epoch of the fence.
            self._reconnect()
            return
        for event in poll.events:
            if event.state is events.TaskState.FINISHED and event.task_id in self.state_ranks:
                self.finished_answers[event.task_id] = (event.length, event.sha256)
            self.emit_state(event.task_id, event.state, event.error, event.checkpoint)
        self._last_seq = poll.next
        self.usage = poll.usage
        if poll.leaving:
            self.mark_leaving()
        if self.state_ranks and now_s >= self._renew_at_s:
            self._renew_leases()
        delay_s = self._polled_at_s + _MIN_POLL_INTERVAL_S - now_s
        if delay_s > 0:
            generation = self._generation
            self._context.client.call_later(delay_s, lambda: self._poll_if_current(generation))
        else:
            self._poll()

    def _poll_if_current(self, generation: int) -> None:
        with self._context.lock:
            if self._generation == generation:
                self._poll()

    def _renew_leases(self) -> None:
        context = self._context
        self._renew_at_s = context.monotonic_s() + context.settings.lease_s / 3

        def handle_renewal(outcome: http.HttpResult) -> None:
            renewed = isinstance(protocol.decode(outcome, protocol.FenceBody), result.Success)
            if not renewed and not self._handle_fenced(outcome):
                # Retried after the next poll.
                self._renew_at_s = 0.0

        body = protocol.encode_fence(context.partition, context.epoch, context.settings.lease_s)
        self._send("POST", "/v1/fence", body, context.settings.connect_timeout_s, handle_renewal)

    def _reconnect(self) -> None:
        """Connects again; orders are refused until the worker has been fenced and reported."""
        if self.state is not LinkState.LOST:
            self.state = LinkState.FENCING
        self.connect()


def _make_stopped_report(command: commands.HoldTask) -> events.TaskReport:
    """Returns the report of a task that had started before ``connect`` deleted it."""
    return events.TaskReport(
        command.task_id,
        command.request_id,
        command.member,
        events.TaskState.STOPPED,
        command.place.first,
        command.place.count,
    )
