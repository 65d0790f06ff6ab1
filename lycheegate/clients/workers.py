"""Client of the workers of one partition: orders, answers and detection of lost workers."""

import functools
import random
import time
from collections.abc import Callable, Mapping
from concurrent import futures
from typing import Any

from returns import result

from lycheegate.clients import answers, guards, http, worker_links
from lycheegate.clients import worker_protocol as protocol
from lycheegate.core import commands, events
from lycheegate.model import resources
from lycheegate.utils import backoff, exceptions

__all__ = ["WorkerPool", "WorkerSettings"]

LinkState = worker_links.LinkState
WorkerLink = worker_links.WorkerLink
WorkerSettings = worker_links.WorkerSettings

# Maximum backoff of orders that are repeated until the worker answers. The worker counts as lost
# after 3 s, so a longer backoff would allow only a few attempts.
_ORDER_BACKOFF_CAP_S = 0.5

# Delay of a check beyond which this process is assumed to have been suspended. Answers may have
# arrived meanwhile without being read, so the time does not count towards the loss of workers.
_MAX_CHECK_DELAY_S = 0.5


class WorkerPool:
    """Connections of the owner of a partition to its workers, under one epoch.

    ``emit`` is called with the events of ``lycheegate.core.events`` in order. The pool's lock is
    held during the call, which is often on the thread of the HTTP client, so ``emit`` must only put
    the event into a queue. ``on_fenced`` is called under the same conditions with the higher epoch
    when a worker refuses the epoch of this owner, whose ownership has then ended.

    After ``WorkerReported``, orders to the worker are refused until ``accept_orders`` is called.
    The owner calls it once it has applied the report, so that no order is based on an older state
    of the worker.

    A report is complete: if the outcome of an order is unknown and the worker does not list its
    task, the task is deleted before the report is emitted, so that it cannot start afterwards.
    """

    def __init__(
        self,
        client: http.HttpClient,
        partition: str,
        epoch: int,
        emit: Callable[[events.Event], None],
        on_fenced: Callable[[int], None],
        generator: random.Random,
        settings: WorkerSettings | None = None,
        monotonic_s: Callable[[], float] = time.monotonic,
    ):
        self._context = worker_links.PoolContext(
            client,
            partition,
            epoch,
            emit,
            on_fenced,
            generator,
            settings or WorkerSettings(),
            monotonic_s,
        )
        self._links: dict[str, WorkerLink] = {}
        self._checked_at_s = monotonic_s()
        self._check_timer = client.call_later(
            self._context.settings.check_interval_s, self._check_losses
        )

    def add(self, worker: resources.Worker) -> None:
        """Adds a worker, which is then fenced and polled.

        A known worker is only replaced if its endpoint has changed.
        """
        with self._context.lock:
            existing = self._links.get(worker.worker_id)
            if existing is not None and existing.worker.endpoint == worker.endpoint:
                return
            self.remove(worker.worker_id)
            link = WorkerLink(self._context, worker)
            self._links[worker.worker_id] = link
            link.connect()

    def remove(self, worker_id: str) -> None:
        """Removes a worker that is no longer in the VM list; it counts as lost."""
        with self._context.lock:
            link = self._links.pop(worker_id, None)
            if link is not None:
                link.remove()

    def mark_leaving(self, worker_id: str) -> None:
        """Marks a worker as leaving, according to the VM list."""
        with self._context.lock:
            link = self._links.get(worker_id)
            if link is not None:
                link.mark_leaving()

    def accept_orders(self, worker_id: str) -> None:
        """Accepts orders to a worker again, after its ``WorkerReported`` was applied."""
        with self._context.lock:
            link = self._links.get(worker_id)
            if link is not None and link.state is LinkState.REPORTED:
                link.state = LinkState.LIVE

    def get_usage(self, worker_id: str) -> dict[str, Any]:
        """Returns the latest usage that a worker has reported, which lags behind."""
        with self._context.lock:
            link = self._links.get(worker_id)
            return dict(link.usage) if link is not None else {}

    def get_instance(self, worker_id: str) -> str:
        """Returns the instance in the latest report of a worker, or an empty string."""
        with self._context.lock:
            link = self._links.get(worker_id)
            return link.reported_instance if link is not None else ""

    def close(self) -> None:
        """Stops polling and emitting events; tasks continue to run on the workers."""
        with self._context.lock:
            self._context.closed = True
            self._check_timer.cancel()
            for link in self._links.values():
                link.remove()
            self._links.clear()

    def hold(self, command: commands.HoldTask, job_class: str, payload: Mapping[str, Any]) -> None:
        """Orders a worker to accept a task; emits that it is started, held or refused."""
        context = self._context
        with context.lock:
            link = self._get_live_link(command.place.worker_id)
            if link is None:
                self._emit_refusal(command.task_id, events.Refusal.UNREACHABLE)
                return
            if link.leaving:
                self._emit_refusal(command.task_id, events.Refusal.LEAVING)
                return
            link.state_ranks.setdefault(command.task_id, 0)
            link.unresolved_orders[command.task_id] = command
            body = protocol.encode_order(
                command,
                context.partition,
                context.epoch,
                context.settings.lease_s,
                job_class,
                payload,
            )
            path = protocol.make_task_path(command.task_id)
            handler = functools.partial(self._handle_start_reply, link, command.task_id)
            self._send_order(link, "PUT", path, body, handler)

    def start(self, command: commands.StartTask) -> None:
        """Orders a worker to start a held task; emits that it is started or refused."""
        with self._context.lock:
            link = self._get_live_link(command.worker_id)
            if link is None:
                self._emit_refusal(command.task_id, events.Refusal.UNREACHABLE)
                return
            path = f"{protocol.make_task_path(command.task_id)}/start"
            body = protocol.encode_start(self._context.epoch)
            handler = functools.partial(self._handle_start_reply, link, command.task_id)
            self._send_order(link, "POST", path, body, handler)

    def stop(self, command: commands.StopTask) -> None:
        """Orders a worker to stop a task; repeated until the worker answers or is lost."""
        path = f"{protocol.make_task_path(command.task_id)}/stop"
        body = protocol.encode_stop(command, self._context.epoch)

        def handle_reply(link: WorkerLink, status: int, _reply: protocol.ReplyBody) -> None:
            if status != 200:
                # The worker does not know the task, so the task does not run.
                link.emit_state(command.task_id, events.TaskState.STOPPED)

        self._send_order_until_answered(command.worker_id, "POST", path, body, handle_reply)

    def release(self, command: commands.ReleaseTask) -> None:
        """Orders a worker to delete a task; repeated until the worker answers or is lost."""
        task_id = command.task_id

        def handle_reply(link: WorkerLink, status: int, reply: protocol.ReplyBody) -> None:
            link.state_ranks.pop(task_id, None)
            link.finished_answers.pop(task_id, None)
            link.unresolved_orders.pop(task_id, None)
            # A restarted worker does not know whether the task started, so it counts as started.
            started = reply.started or reply.instance != link.instance
            self._context.emit(events.TaskReleased(task_id, started))

        path = self._context.make_delete_path(task_id)
        self._send_order_until_answered(command.worker_id, "DELETE", path, None, handle_reply)

    def fetch_answer(
        self, worker_id: str, task_id: str, request_id: str
    ) -> futures.Future[answers.AnswerResult]:
        """Fetches the answer of a finished task and verifies it."""
        with self._context.lock:
            link = self._links.get(worker_id)
            if link is None:
                failed: futures.Future[answers.AnswerResult] = futures.Future()
                error = exceptions.UnavailableError(
                    f"task {task_id}: worker {worker_id} is not in the pool"
                )
                failed.set_result(result.Failure(error))
                return failed
            length, sha256 = link.finished_answers.get(task_id, (None, None))
            request = answers.AnswerRequest(
                f"{link.url}{protocol.make_task_path(task_id)}/answer",
                request_id,
                length,
                sha256,
                max_bytes=self._context.settings.max_answer_bytes,
            )
            return answers.fetch_answer(self._context.client, link.guard, request)

    def _get_live_link(self, worker_id: str) -> WorkerLink | None:
        link = self._links.get(worker_id)
        return link if link is not None and link.state is LinkState.LIVE else None

    def _emit_refusal(self, task_id: str, reason: events.Refusal) -> None:
        if not self._context.closed:
            self._context.emit(events.TaskRefused(task_id, reason))

    def _send_order(
        self,
        link: WorkerLink,
        method: str,
        path: str,
        body: bytes | None,
        on_outcome: Callable[[http.HttpResult], None],
    ) -> None:
        """Sends an order; orders are idempotent, because they name the task."""
        context = self._context
        request = http.Request(
            method,
            link.url + path,
            body,
            worker_links.JSON_HEADER,
            context.settings.order_timeout_s,
        )
        order = object()
        link.pending_orders.add(order)
        loss_count = link.loss_count
        sent = guards.send(context.client, link.guard, request, True, protocol.find_error)

        def finish(done: futures.Future[http.HttpResult]) -> None:
            with context.lock:
                link.pending_orders.discard(order)
                outcome = done.result()
                if isinstance(outcome, result.Success):
                    link.last_answer_s = context.monotonic_s()
                if not context.closed and link.loss_count == loss_count:
                    on_outcome(outcome)

        sent.add_done_callback(finish)

    def _handle_start_reply(self, link: WorkerLink, task_id: str, outcome: http.HttpResult) -> None:
        """Handles the outcome of an order to accept or start a task."""
        decoded = protocol.decode(outcome, protocol.ReplyBody, (200, 201, 404, 409, 503, 507))
        if isinstance(decoded, result.Failure):
            if isinstance(decoded.failure(), exceptions.UnavailableError):
                link.unresolved_orders.pop(task_id, None)
            self._emit_refusal(task_id, events.Refusal.UNREACHABLE)
            return
        reply = decoded.unwrap()
        link.unresolved_orders.pop(task_id, None)
        if self._context.handle_fenced(reply):
            return
        refusal = protocol.interpret_refusal(outcome.unwrap().status, reply)
        if refusal is events.Refusal.LEAVING:
            link.mark_leaving()
        if refusal is not None:
            self._emit_refusal(task_id, refusal)
        elif reply.state is events.TaskState.HELD:
            link.emit_state(task_id, events.TaskState.HELD)
        else:
            # A state later than running is emitted by the poll, with its details.
            link.emit_state(task_id, events.TaskState.RUNNING)

    def _send_order_until_answered(
        self,
        worker_id: str,
        method: str,
        path: str,
        body: bytes | None,
        on_reply: Callable[[WorkerLink, int, protocol.ReplyBody], None],
    ) -> None:
        context = self._context
        with context.lock:
            link = self._links.get(worker_id)
            if link is None or link.state is LinkState.LOST:
                return
            loss_count = link.loss_count

        def attempt(number: int) -> None:
            with context.lock:
                if context.closed or link.loss_count != loss_count:
                    return
                allowed = number == 1 or link.guard.budget.take()
                if link.state is LinkState.LIVE and allowed:
                    self._send_order(
                        link, method, path, body, functools.partial(handle_outcome, number)
                    )
                else:
                    schedule_attempt(number)

        def handle_outcome(number: int, outcome: http.HttpResult) -> None:
            decoded = protocol.decode(outcome, protocol.ReplyBody, (200, 404, 409))
            if isinstance(decoded, result.Failure):
                schedule_attempt(number + 1)
            elif not context.handle_fenced(decoded.unwrap()):
                on_reply(link, outcome.unwrap().status, decoded.unwrap())

        def schedule_attempt(number: int) -> None:
            delay_s = backoff.compute_delay_s(number, context.generator, cap_s=_ORDER_BACKOFF_CAP_S)
            context.client.call_later(delay_s, functools.partial(attempt, number))

        attempt(1)

    def _check_losses(self) -> None:
        context = self._context
        with context.lock:
            if context.closed:
                return
            now_s = context.monotonic_s()
            pause_s = now_s - self._checked_at_s - context.settings.check_interval_s
            self._checked_at_s = now_s
            oldest_s = now_s - context.settings.loss_timeout_s
            for link in list(self._links.values()):
                if pause_s > _MAX_CHECK_DELAY_S:
                    link.last_answer_s = min(now_s, link.last_answer_s + pause_s)
                is_silent = link.last_answer_s <= oldest_s
                if is_silent and link.was_reported and link.state is not LinkState.LOST:
                    link.mark_lost()
            self._check_timer = context.client.call_later(
                context.settings.check_interval_s, self._check_losses
            )
