"""Client of the workers of one partition: orders, answers and loss detection."""

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

# Longest backoff of orders that are repeated until the worker answers: the worker counts as lost
# after 3 s, so a longer one would leave few repetitions.
_ORDER_BACKOFF_CAP_S = 0.5

# A check that comes later than this means that this process was paused. Answers may have waited
# for it meanwhile, so the pause is no sign that workers are lost.
_MAX_DELAY_S = 0.5


class WorkerPool:
    """The workers of a partition, as seen by its owner under one epoch.

    ``emit`` gets the events of ``lycheegate.core.events`` in order. It is called with the pool's
    lock held, often on the thread of the HTTP client, so it must only put the event into a queue.
    ``on_fenced`` is called likewise, with the higher epoch, when a worker refuses ours; the
    ownership is over then.

    After ``WorkerReported``, orders to the worker are refused until ``accept_orders`` is called.
    It is to be called once the decisions have taken the report, so that no order is given on the
    strength of what was known before it.

    A report is complete: an order whose outcome was unknown and whose task the worker does not
    know is deleted before the report is emitted, so that the task cannot start afterwards.
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
        """Begins to fence and poll a worker; a known one is left as it is."""
        with self._context.lock:
            known = self._links.get(worker.worker_id)
            if known is not None and known.worker.endpoint == worker.endpoint:
                return
            self.remove(worker.worker_id)
            link = WorkerLink(self._context, worker)
            self._links[worker.worker_id] = link
            link.connect()

    def remove(self, worker_id: str) -> None:
        """Forgets a worker that is gone from the VM list; it counts as lost."""
        with self._context.lock:
            link = self._links.pop(worker_id, None)
            if link is not None:
                link.remove()

    def mark_leaving(self, worker_id: str) -> None:
        """Takes the VM list's word that a worker is leaving."""
        with self._context.lock:
            link = self._links.get(worker_id)
            if link is not None:
                link.mark_leaving()

    def accept_orders(self, worker_id: str) -> None:
        """Lets orders through again, after the decisions have taken ``WorkerReported``."""
        with self._context.lock:
            link = self._links.get(worker_id)
            if link is not None and link.state is LinkState.REPORTED:
                link.state = LinkState.LIVE

    def get_usage(self, worker_id: str) -> dict[str, Any]:
        """Returns the usage that the worker reported last; it lags."""
        with self._context.lock:
            link = self._links.get(worker_id)
            return dict(link.usage) if link is not None else {}

    def get_instance(self, worker_id: str) -> str:
        """Returns the instance that the worker reported last, or an empty string."""
        with self._context.lock:
            link = self._links.get(worker_id)
            return link.reported_instance if link is not None else ""

    def close(self) -> None:
        """Stops polling; emits nothing any more. The workers keep their tasks."""
        with self._context.lock:
            self._context.closed = True
            self._check_timer.cancel()
            for link in self._links.values():
                link.remove()
            self._links.clear()

    def hold(self, command: commands.HoldTask, job_class: str, payload: Mapping[str, Any]) -> None:
        """Orders a worker to take a task; emits its start, hold or refusal."""
        context = self._context
        with context.lock:
            link = self._get_live(command.place.worker_id)
            if link is None:
                self._refuse(command.task_id, events.Refusal.UNREACHABLE)
                return
            if link.leaving:
                self._refuse(command.task_id, events.Refusal.LEAVING)
                return
            link.ranks.setdefault(command.task_id, 0)
            link.unsettled[command.task_id] = command
            body = protocol.encode_order(
                command,
                context.partition,
                context.epoch,
                context.settings.lease_s,
                job_class,
                payload,
            )
            path = protocol.make_task_path(command.task_id)
            taken = functools.partial(self._take_start, link, command.task_id)
            self._order(link, "PUT", path, body, taken)

    def start(self, command: commands.StartTask) -> None:
        """Starts a held task; emits its start or refusal."""
        with self._context.lock:
            link = self._get_live(command.worker_id)
            if link is None:
                self._refuse(command.task_id, events.Refusal.UNREACHABLE)
                return
            path = f"{protocol.make_task_path(command.task_id)}/start"
            body = protocol.encode_start(self._context.epoch)
            taken = functools.partial(self._take_start, link, command.task_id)
            self._order(link, "POST", path, body, taken)

    def stop(self, command: commands.StopTask) -> None:
        """Stops a task; repeated until the worker answers or is lost."""
        path = f"{protocol.make_task_path(command.task_id)}/stop"
        body = protocol.encode_stop(command, self._context.epoch)

        def take(link: WorkerLink, status: int, _reply: protocol.ReplyBody) -> None:
            if status != 200:
                # The worker does not know the task, so it does not run there.
                link.advance(command.task_id, events.TaskState.STOPPED)

        self._order_until_answered(command.worker_id, "POST", path, body, take)

    def release(self, command: commands.ReleaseTask) -> None:
        """Deletes a task; repeated until the worker answers or is lost."""
        task_id = command.task_id

        def take(link: WorkerLink, status: int, reply: protocol.ReplyBody) -> None:
            link.ranks.pop(task_id, None)
            link.finished.pop(task_id, None)
            link.unsettled.pop(task_id, None)
            # A worker that has restarted no longer knows whether the task had started.
            started = reply.started or reply.instance != link.instance
            self._context.emit(events.TaskReleased(task_id, started))

        path = self._context.make_delete_path(task_id)
        self._order_until_answered(command.worker_id, "DELETE", path, None, take)

    def fetch_answer(
        self, worker_id: str, task_id: str, request_id: str
    ) -> futures.Future[answers.AnswerResult]:
        """Fetches the answer of a finished task and checks it."""
        with self._context.lock:
            link = self._links.get(worker_id)
            if link is None:
                failed: futures.Future[answers.AnswerResult] = futures.Future()
                error = exceptions.UnavailableError("worker not known")
                failed.set_result(result.Failure(error))
                return failed
            length, sha256 = link.finished.get(task_id, (None, None))
            request = answers.AnswerRequest(
                f"{link.url}{protocol.make_task_path(task_id)}/answer",
                request_id,
                length,
                sha256,
                max_bytes=self._context.settings.max_answer_bytes,
            )
            return answers.fetch_answer(self._context.client, link.guard, request)

    def _get_live(self, worker_id: str) -> WorkerLink | None:
        link = self._links.get(worker_id)
        return link if link is not None and link.state is LinkState.LIVE else None

    def _refuse(self, task_id: str, reason: events.Refusal) -> None:
        if not self._context.closed:
            self._context.emit(events.TaskRefused(task_id, reason))

    def _order(
        self,
        link: WorkerLink,
        method: str,
        path: str,
        body: bytes | None,
        taken: Callable[[http.HttpResult], None],
    ) -> None:
        """Sends an order; all orders may be repeated, because they name the task."""
        context = self._context
        request = http.Request(
            method,
            link.url + path,
            body,
            worker_links.JSON_HEADER,
            context.settings.order_timeout_s,
        )
        order = object()
        link.pending.add(order)
        losses = link.losses
        sent = guards.send(context.client, link.guard, request, True, protocol.find_error)

        def finish(done: futures.Future[http.HttpResult]) -> None:
            with context.lock:
                link.pending.discard(order)
                outcome = done.result()
                if isinstance(outcome, result.Success):
                    link.last_answer_s = context.monotonic_s()
                if not context.closed and link.losses == losses:
                    taken(outcome)

        sent.add_done_callback(finish)

    def _take_start(self, link: WorkerLink, task_id: str, outcome: http.HttpResult) -> None:
        """Takes the outcome of an order to take or start a task."""
        decoded = protocol.decode(outcome, protocol.ReplyBody, (200, 201, 404, 409, 503, 507))
        if isinstance(decoded, result.Failure):
            if isinstance(decoded.failure(), exceptions.UnavailableError):
                link.unsettled.pop(task_id, None)
            self._refuse(task_id, events.Refusal.UNREACHABLE)
            return
        reply = decoded.unwrap()
        link.unsettled.pop(task_id, None)
        if self._context.take_fenced(reply):
            return
        refusal = protocol.interpret_refusal(outcome.unwrap().status, reply)
        if refusal is events.Refusal.LEAVING:
            link.mark_leaving()
        if refusal is not None:
            self._refuse(task_id, refusal)
        elif reply.state is events.TaskState.HELD:
            link.advance(task_id, events.TaskState.HELD)
        else:
            # A later state than running is told by the poll, with its details.
            link.advance(task_id, events.TaskState.RUNNING)

    def _order_until_answered(
        self,
        worker_id: str,
        method: str,
        path: str,
        body: bytes | None,
        taken: Callable[[WorkerLink, int, protocol.ReplyBody], None],
    ) -> None:
        context = self._context
        with context.lock:
            link = self._links.get(worker_id)
            if link is None or link.state is LinkState.LOST:
                return
            losses = link.losses

        def attempt(number: int) -> None:
            with context.lock:
                if context.closed or link.losses != losses:
                    return
                allowed = number == 1 or link.guard.budget.take()
                if link.state is LinkState.LIVE and allowed:
                    self._order(link, method, path, body, functools.partial(take, number))
                else:
                    repeat(number)

        def take(number: int, outcome: http.HttpResult) -> None:
            decoded = protocol.decode(outcome, protocol.ReplyBody, (200, 404, 409))
            if isinstance(decoded, result.Failure):
                repeat(number + 1)
            elif not context.take_fenced(decoded.unwrap()):
                taken(link, outcome.unwrap().status, decoded.unwrap())

        def repeat(number: int) -> None:
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
                if pause_s > _MAX_DELAY_S:
                    link.last_answer_s = min(now_s, link.last_answer_s + pause_s)
                silent = link.last_answer_s <= oldest_s
                if silent and link.was_reported and link.state is not LinkState.LOST:
                    link.lose()
            self._check_timer = context.client.call_later(
                context.settings.check_interval_s, self._check_losses
            )
