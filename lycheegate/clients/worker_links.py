"""Connection to one worker: fence, event poll and what the worker has told."""

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
# Polls that return sooner, with or without events, follow each other at this distance, so that a
# worker with many events costs a bounded number of exchanges a second.
_MIN_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Times and limits of a worker pool.

    Attributes:
        poll_wait_s: Time that a worker may keep a long poll without events.
        loss_timeout_s: Time without any answer after which a worker is lost. The difference to
            ``poll_wait_s`` is what a slow worker or network may take for one answer.
        check_interval_s: Time between checks for lost workers; detection takes at most
            ``loss_timeout_s`` and this.
        lease_s: Lease of tasks; renewed each third of it while the worker has tasks.
        order_timeout_s: Time for an order, its repetitions included.
        connect_timeout_s: Time for each exchange of a reconnection.
        reconnect_cap_s: Longest backoff between reconnections.
        max_answer_bytes: Largest accepted answer of a task.
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
    """It is not known what runs there; orders are refused."""
    REPORTED = 1
    """The report was emitted and is not confirmed yet; orders are refused."""
    LIVE = 2
    LOST = 3
    REMOVED = 4


@dataclasses.dataclass
class PoolContext:
    """What all links of a pool share.

    Attributes:
        client: HTTP client.
        partition: The partition.
        epoch: Epoch of its owner.
        emit: Takes the events of the decisions.
        on_fenced: Takes the higher epoch when a worker refuses ours.
        generator: Source of jitter.
        settings: Times and limits.
        monotonic_s: Clock.
        lock: Guards all links; reentrant, because a request may fail at once.
        closed: Whether nothing is emitted any more.
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

    def take_fenced(self, reply: protocol.ReplyBody) -> bool:
        """Returns whether a reply says that our epoch is over, and passes it on."""
        if reply.error == "fenced" and not self.closed:
            self.on_fenced(reply.epoch)
        return reply.error == "fenced"

    def make_delete_path(self, task_id: str) -> str:
        """Returns the path that deletes a task."""
        query = urllib.parse.urlencode({"epoch": self.epoch, "partition": self.partition})
        return f"{protocol.make_task_path(task_id)}?{query}"


class WorkerLink:
    """Connection to a worker. All methods are called with the lock of the context held.

    Attributes:
        worker: The worker, with slots and accelerators as it states them.
        guard: Budget and breaker of orders to it.
        url: Its base URL.
        state: State of the connection.
        losses: Grows when the worker is lost or removed; older orders no longer count.
        was_reported: Whether the decisions know the worker.
        leaving: Whether it is leaving.
        last_answer_s: When it last answered an order or a poll.
        ranks: How far each task was told, by task identifier.
        finished: Length and digest of answers, by task identifier.
        pending: Orders that are under way.
        unsettled: Orders to take a task whose outcome is not known.
        usage: Usage as the worker reported it last.
    """

    def __init__(self, context: PoolContext, worker: resources.Worker):
        self.worker = worker
        self.guard = guards.create_guard(context.generator, context.monotonic_s)
        self.url = f"http://{worker.endpoint}"
        self.state = LinkState.FENCING
        self.losses = 0
        self.was_reported = False
        self.leaving = False
        self.last_answer_s = context.monotonic_s()
        self.ranks: dict[str, int] = {}
        self.finished: dict[str, tuple[int | None, str | None]] = {}
        self.pending: set[object] = set()
        self.unsettled: dict[str, commands.HoldTask] = {}
        self.usage: dict[str, Any] = {}
        self._context = context
        # Grows with each new connection; what was sent on behalf of an older one is ignored.
        self._generation = 0
        self._after = 0
        self.instance = ""
        self.reported_instance = ""
        self._polled_at_s = 0.0
        self._renew_at_s = 0.0

    def advance(
        self,
        task_id: str,
        state: events.TaskState,
        error: str = "",
        checkpointed: bool = False,
    ) -> None:
        """Emits a state that a task of ours has reached, once."""
        rank = protocol.get_rank(state)
        if self.ranks.get(task_id, rank) < rank:
            self.ranks[task_id] = rank
            self._context.emit(protocol.make_event(task_id, state, error, checkpointed))

    def mark_leaving(self) -> None:
        """Emits once that the worker is leaving."""
        if not self.leaving:
            self.leaving = True
            if self.was_reported:
                self._context.emit(events.WorkerLeaving(self.worker.worker_id))

    def lose(self) -> None:
        """Emits that the worker is lost, and goes on trying to reach it."""
        self.state = LinkState.LOST
        self.losses += 1
        self._context.emit(events.WorkerLost(self.worker.worker_id))
        self.connect()

    def remove(self) -> None:
        """Ends the link."""
        if self.was_reported and self.state is not LinkState.LOST and not self._context.closed:
            self._context.emit(events.WorkerLost(self.worker.worker_id))
        self.state = LinkState.REMOVED
        self.losses += 1
        self._generation += 1

    def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        taken: Callable[[http.HttpResult], None],
    ) -> None:
        """Sends an exchange of the connection itself; its backoff is that of ``connect``."""
        headers = JSON_HEADER if body is not None else ()
        request = http.Request(method, self.url + path, body, headers, timeout_s)
        generation = self._generation

        def finish(done: futures.Future[http.HttpResult]) -> None:
            with self._context.lock:
                if not self._context.closed and self._generation == generation:
                    taken(done.result())

        self._context.client.send(request).add_done_callback(finish)

    def connect(self, number: int = 1) -> None:
        """Learns where the events stand, fences the worker and reports its tasks."""
        self._generation += 1
        generation = self._generation
        context = self._context
        timeout_s = context.settings.connect_timeout_s

        def retry() -> None:
            delay_s = backoff.compute_delay_s(
                number, context.generator, cap_s=context.settings.reconnect_cap_s
            )
            context.client.call_later(delay_s, begin_again)

        def begin_again() -> None:
            with context.lock:
                if not context.closed and self._generation == generation:
                    self.connect(number + 1)

        def take_position(outcome: http.HttpResult) -> None:
            decoded = protocol.decode(outcome, protocol.PollBody)
            if isinstance(decoded, result.Failure) or self.pending:
                # An order that is under way would make the report incomplete.
                retry()
                return
            position = decoded.unwrap()
            self._after, self.instance = position.next, position.instance
            body = protocol.encode_fence(context.partition, context.epoch, context.settings.lease_s)
            self._send("POST", "/v1/fence", body, timeout_s, take_fence)

        def take_fence(outcome: http.HttpResult) -> None:
            if self._take_fenced(outcome):
                return
            decoded = protocol.decode(outcome, protocol.FenceBody)
            if isinstance(decoded, result.Failure):
                retry()
                return
            fence = decoded.unwrap()
            for task in fence.tasks:
                self.unsettled.pop(task.task_id, None)
            settle(fence, [protocol.make_report(task) for task in fence.tasks])

        def settle(fence: protocol.FenceBody, reports: list[events.TaskReport]) -> None:
            """Deletes the next order whose outcome is unknown, or reports if there is none."""
            if not self.unsettled:
                self._report(fence, tuple(reports))
                return
            task_id, command = next(iter(self.unsettled.items()))

            def take_deletion(outcome: http.HttpResult) -> None:
                if self._take_fenced(outcome):
                    return
                decoded = protocol.decode(outcome, protocol.ReplyBody)
                if isinstance(decoded, result.Failure):
                    retry()
                    return
                self.unsettled.pop(task_id, None)
                if decoded.unwrap().started or decoded.unwrap().instance != self.instance:
                    reports.append(_make_stopped_report(command))
                settle(fence, reports)

            path = context.make_delete_path(task_id)
            self._send("DELETE", path, None, timeout_s, take_deletion)

        path = f"/v1/events?after={protocol.AFTER_ALL_EVENTS}&wait_s=0"
        self._send("GET", path, None, timeout_s, take_position)

    def _take_fenced(self, outcome: http.HttpResult) -> bool:
        decoded = protocol.decode(outcome, protocol.ReplyBody, (409,))
        return isinstance(decoded, result.Success) and self._context.take_fenced(decoded.unwrap())

    def _report(
        self,
        fence: protocol.FenceBody,
        reports: tuple[events.TaskReport, ...],
    ) -> None:
        self.last_answer_s = self._context.monotonic_s()
        self.guard.breaker.record_success()
        self.ranks = {report.task_id: protocol.get_rank(report.state) for report in reports}
        self.finished.clear()
        self._renew_at_s = self._context.monotonic_s() + self._context.settings.lease_s / 3
        # The worker's own statement takes precedence over the VM list.
        self.worker = dataclasses.replace(
            self.worker, slots=fence.slots, accelerators=fence.accelerators
        )
        self.state = LinkState.REPORTED
        self.was_reported = True
        # Before the first report nothing is known of earlier starts of the worker, so that the
        # absence of a task proves nothing then either.
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
        path = f"/v1/events?after={self._after}&wait_s={settings.poll_wait_s:g}"
        taken = self._take_poll
        self._send("GET", path, None, settings.loss_timeout_s, taken)

    def _take_poll(self, outcome: http.HttpResult) -> None:
        decoded = protocol.decode(outcome, protocol.PollBody)
        if isinstance(decoded, result.Failure):
            self._reconnect()
            return
        now_s = self._context.monotonic_s()
        self.last_answer_s = now_s
        poll = decoded.unwrap()
        is_restarted = poll.instance != self.instance
        if is_restarted or poll.next != self._after + len(poll.events):
            # The worker has restarted, or no longer has all events. Event numbers alone do not
            # show the restart of an idle worker, which also forgets the epoch that fences it.
            self._reconnect()
            return
        for event in poll.events:
            if event.state is events.TaskState.FINISHED and event.task_id in self.ranks:
                self.finished[event.task_id] = (event.length, event.sha256)
            self.advance(event.task_id, event.state, event.error, event.checkpoint)
        self._after = poll.next
        self.usage = poll.usage
        if poll.leaving:
            self.mark_leaving()
        if self.ranks and now_s >= self._renew_at_s:
            self._renew_leases()
        pause_s = self._polled_at_s + _MIN_POLL_INTERVAL_S - now_s
        if pause_s > 0:
            generation = self._generation
            self._context.client.call_later(pause_s, lambda: self._poll_again(generation))
        else:
            self._poll()

    def _poll_again(self, generation: int) -> None:
        with self._context.lock:
            if self._generation == generation:
                self._poll()

    def _renew_leases(self) -> None:
        context = self._context
        self._renew_at_s = context.monotonic_s() + context.settings.lease_s / 3

        def take(outcome: http.HttpResult) -> None:
            renewed = isinstance(protocol.decode(outcome, protocol.FenceBody), result.Success)
            if not renewed and not self._take_fenced(outcome):
                # Tried again after the next poll.
                self._renew_at_s = 0.0

        body = protocol.encode_fence(context.partition, context.epoch, context.settings.lease_s)
        self._send("POST", "/v1/fence", body, context.settings.connect_timeout_s, take)

    def _reconnect(self) -> None:
        """Refuses orders until the worker has been fenced and reported again."""
        if self.state is not LinkState.LOST:
            self.state = LinkState.FENCING
        self.connect()


def _make_stopped_report(command: commands.HoldTask) -> events.TaskReport:
    """Returns the report of a task that had started and was deleted before the report."""
    return events.TaskReport(
        command.task_id,
        command.request_id,
        command.member,
        events.TaskState.STOPPED,
        command.place.first,
        command.place.count,
    )
