"""Carries out the commands of one partition owner on the bounded pools."""

import collections
import threading
from collections.abc import Callable, Sequence
from typing import Any

import logbook
from returns import result

from lycheegate.core import commands, events
from lycheegate.entry import answers, orders, records
from lycheegate.model import releases, requests
from lycheegate.peers import hashing
from lycheegate.utils import exceptions, pools

__all__ = ["PHASES", "Executor", "find_carrier"]

_log = logbook.Logger("lycheegate.entry.owner")

PHASES = {
    events.TaskState.HELD: 0,
    events.TaskState.RUNNING: 1,
    events.TaskState.FINISHED: 2,
    events.TaskState.FAILED: 2,
    events.TaskState.STOPPED: 2,
}

COLLECT_TRIES = 5
"""Fetches of an answer that arrives cut or damaged, before its attempt counts as broken."""

ATTEMPT_TRIES = 8
"""Writes of an attempt that the store refuses, before the request is placed again."""

TRAVEL_BYTES = 1024 * 1024
"""Answers up to this size travel with the end to the entry VM that waits."""

MAX_RETRY_S = 2.0

TaskCommand = (
    commands.HoldTask
    | commands.StartTask
    | commands.StopTask
    | commands.ReleaseTask
    | commands.CollectAnswer
)


def find_carrier(guarantee: releases.Guarantee, partitions: Sequence[str]) -> str | None:
    """Returns the partition of a data centre that carries a guarantee."""
    return hashing.choose(f"{guarantee.client_account}/{guarantee.name}", partitions)


def _make_delay_s(number: int) -> float:
    return min(0.1 * 2**number, MAX_RETRY_S)


class Executor:
    """Runs commands; orders for one task are carried out one after the other."""

    def __init__(self, owner: Any):
        self._owner = owner
        self._deps = owner.deps
        self._chains: dict[str, collections.deque[TaskCommand]] = {}
        self._lock = threading.Lock()
        self._running = 0

    def is_busy(self) -> bool:
        """Whether an order or a write is under way."""
        return self._running > 0

    def run(self, pool: pools.BoundedPool, function: Callable[[], None]) -> None:
        """Runs a function on a pool; if the pool is full, later."""

        def work() -> None:
            try:
                if not self._owner.is_stopped:
                    function()
            except Exception:
                _log.exception("command_failed partition={}", self._owner.partition)
                self._deps.count("command_failed")
            finally:
                with self._lock:
                    self._running -= 1

        with self._lock:
            self._running += 1
        try:
            pool.submit(work)
        except exceptions.QueueFullError:
            with self._lock:
                self._running -= 1
            self._owner.later(0.05, lambda: self.run(pool, function))

    def execute(self, command: commands.Command) -> None:
        """Carries out a command; called in the owner's thread."""
        match command:
            case commands.RecordAttempt():
                self._record_attempt(command, 0)
            case commands.EndRequest():
                self._end(command)
            case commands.QuarantineWorker():
                self._owner.quarantined[command.worker_id] = command.reason
                _log.warning("quarantined worker={} reason={}", command.worker_id, command.reason)
            case commands.RestoreWorker():
                self._owner.quarantined.pop(command.worker_id, None)
                _log.info("restored worker={}", command.worker_id)
            case commands.ReportShortGuarantee():
                key = (command.client_account, command.guarantee)
                self._owner.short[key] = (command.short_units, command.reason)
                if not command.short_units:
                    del self._owner.short[key]
                _log.warning(
                    "guarantee_short client_account={} guarantee={} units={} reason={}",
                    *key,
                    command.short_units,
                    command.reason,
                )
            case _:
                self._queue_for_task(command)

    def deliver(self, entry: Any) -> None:
        """Tells the waiting entry VMs how a request ended."""
        if entry.waiters:
            request_id = entry.known.record.request_id
            self._deps.notify_ended(entry.waiters, request_id, entry.end, entry.body)
        if entry.body is not None:
            self._deps.budget.give_back(len(entry.body))
            entry.body = None

    def _queue_for_task(self, command: TaskCommand) -> None:
        owner = self._owner
        if isinstance(command, commands.HoldTask):
            owner.tasks[command.task_id] = command.request_id
        if isinstance(command, commands.ReleaseTask):
            entry = owner.open.get(owner.tasks.get(command.task_id, ""))
            if entry is not None and entry.end is not None:
                # The worker keeps the answer until the end is in the table.
                entry.deferred.append(command)
                return
        chain = self._chains.get(command.task_id)
        if chain is not None:
            chain.append(command)
            return
        self._chains[command.task_id] = collections.deque()
        self._start_command(command, 0)

    def _start_command(self, command: TaskCommand, number: int) -> None:
        """Runs the command of a task; ``number`` counts its failed tries."""
        carry_out = self._prepare(command, number)
        if carry_out is None:
            self._finish_command(command.task_id)
            return

        def work() -> None:
            again, produced = True, ()
            try:
                again, produced = carry_out()
            except Exception:
                # Repeated with backoff, so that the commands behind it are not lost.
                _log.exception("command_failed partition={}", self._owner.partition)
                self._deps.count("command_failed")
            self._owner.call(lambda: self._note_done(command, number, again, produced))

        self.run(self._deps.worker_pool, work)

    def _note_done(
        self, command: TaskCommand, number: int, again: bool, produced: Sequence[events.Event]
    ) -> None:
        if again:
            self._owner.later(
                _make_delay_s(number), lambda: self._start_command(command, number + 1)
            )
            return
        for event in produced:
            self._owner.apply(event)
        if isinstance(command, commands.ReleaseTask):
            self._owner.tasks.pop(command.task_id, None)
            self._owner.phases.pop(command.task_id, None)
        self._finish_command(command.task_id)

    def _finish_command(self, task_id: str) -> None:
        chain = self._chains[task_id]
        if chain:
            self._start_command(chain.popleft(), 0)
        else:
            del self._chains[task_id]

    def _prepare(
        self, command: TaskCommand, number: int
    ) -> Callable[[], tuple[bool, Sequence[events.Event]]] | None:
        """Returns the function that carries a command out, or None if it became pointless.

        The function returns whether to try again, and the events that answer the command.
        """
        owner, calls, epoch = self._owner, self._deps.calls, self._owner.epoch
        is_hold = isinstance(command, commands.HoldTask)
        worker_id = command.place.worker_id if is_hold else command.worker_id
        worker = owner.workers.get(worker_id)
        task_id = command.task_id
        if worker is None:
            return self._answer_for_lost_worker(command)
        endpoint = worker.endpoint
        match command:
            case commands.HoldTask():
                entry = owner.open.get(command.request_id)
                if entry is None:
                    return None
                return lambda: self._hold(endpoint, command, entry.known.record)
            case commands.StartTask():
                return lambda: self._conclude(orders.start_task(calls, endpoint, task_id, epoch))
            case commands.StopTask():
                return lambda: self._conclude(orders.stop_task(calls, endpoint, command, epoch))
            case commands.ReleaseTask():
                return lambda: self._conclude(
                    orders.release_task(calls, endpoint, task_id, owner.partition, epoch)
                )
            case commands.CollectAnswer():
                entry = owner.open.get(command.request_id)
                if entry is None:
                    return None
                return lambda: self._collect(endpoint, command, entry, number)

    def _answer_for_lost_worker(self, command: TaskCommand):
        match command:
            case commands.HoldTask() | commands.StartTask():
                event = events.TaskRefused(command.task_id, events.Refusal.UNREACHABLE)
                return lambda: (False, [event])
            case commands.CollectAnswer():
                return lambda: (False, [events.AnswerBroken(command.attempt_id)])
        # The loss of the worker was reported; the task is reported again if it returns.
        return None

    def _conclude(self, reply: result.Result) -> tuple[bool, Sequence[events.Event]]:
        match reply:
            case result.Success(event):
                return False, [event] if event is not None else []
            case result.Failure(exceptions.FencedError() as error):
                self._deps.on_fenced(self._owner.partition, error.epoch)
                return False, []
        return True, []

    def _hold(
        self, endpoint: str, command: commands.HoldTask, record: records.Record
    ) -> tuple[bool, Sequence[events.Event]]:
        payload = record.payload
        if payload is None and record.payload_key is not None:
            match answers.load_payload(self._deps.objects, record.payload_key):
                case result.Success(loaded):
                    payload = loaded
                case result.Failure():
                    # Nothing was sent to the worker, so a repetition is safe.
                    return True, []
        order = orders.TaskOrder(
            command.request_id,
            self._owner.partition,
            self._owner.epoch,
            command.member,
            orders.list_accelerators(command.place),
            command.start,
            record.job_class,
            payload or {},
        )
        return self._conclude(orders.order_task(self._deps.calls, endpoint, command.task_id, order))

    def _collect(
        self, endpoint: str, command: commands.CollectAnswer, entry: Any, number: int
    ) -> tuple[bool, Sequence[events.Event]]:
        broken = (False, [events.AnswerBroken(command.attempt_id)])
        fetched = self._deps.calls.fetch_answer(endpoint, command.task_id)
        checked = fetched.bind(
            lambda answer: answers.check(
                answer.body, answer.length, answer.sha256, command.request_id, answer.request_id
            )
        )
        match checked:
            case result.Success(body):
                pass
            case result.Failure(error):
                _log.warning("answer_rejected request={} reason={}", command.request_id, error)
                self._deps.count("answer_rejected")
                return broken if number + 1 >= COLLECT_TRIES else (True, [])
        if not self._deps.budget.take(len(body), 5.0):
            return True, []
        match self._keep(command, entry, body):
            case result.Success(reference):
                self._owner.call(lambda: self._note_stored(command, entry, reference, body))
                return False, []
        self._deps.budget.give_back(len(body))
        return True, []

    def _keep(self, command: commands.CollectAnswer, entry: Any, body: bytes) -> result.Result:
        if not entry.is_recorded:
            # There is nothing to find it by later; it goes to the caller that waits.
            return result.Success(answers.make_reference(body))
        return answers.store(self._deps.objects, command.request_id, command.attempt_id, body)

    def _note_stored(
        self,
        command: commands.CollectAnswer,
        entry: Any,
        reference: records.AnswerReference,
        body: bytes,
    ) -> None:
        entry.answer = (command.attempt_id, reference)
        if entry.body is not None:
            self._deps.budget.give_back(len(entry.body))
        entry.body = body
        if len(body) > TRAVEL_BYTES and entry.is_recorded:
            self._deps.budget.give_back(len(body))
            entry.body = None
        self._owner.apply(events.AnswerStored(command.attempt_id))

    def _record_attempt(self, command: commands.RecordAttempt, number: int) -> None:
        entry = self._owner.open.get(command.request_id)
        if entry is None or not entry.is_recorded:
            self._owner.apply(events.AttemptNotRecorded(command.attempt_id))
            return
        places = [(place.worker_id, place.first, place.count) for place in command.placement]
        attempt = records.Attempt(command.attempt_id, self._owner.epoch, places)
        known = entry.known

        def work() -> None:
            written = records.record_attempt(self._deps.table, known, attempt)
            self._owner.call(lambda: self._note_attempt(command, entry, written, number))

        self.run(self._deps.table_pool, work)

    def _note_attempt(
        self, command: commands.RecordAttempt, entry: Any, written: result.Result, number: int
    ) -> None:
        owner = self._owner
        match written:
            case result.Success(known):
                entry.known = known
                owner.apply(events.AttemptRecorded(command.attempt_id))
            case result.Failure(exceptions.ConditionFailedError() as error):
                owner.apply(events.AttemptNotRecorded(command.attempt_id))
                if error.version:
                    entry.known = records.Versioned(records.decode(error.value), error.version)
                # It has ended, or an owner with a higher epoch works on it.
                owner.apply(events.CancelRequested(command.request_id))
            case result.Failure(exceptions.UnavailableError()) if number >= ATTEMPT_TRIES:
                owner.apply(events.AttemptNotRecorded(command.attempt_id))
            case _:
                # Whether the attempt is in the table must be settled before anything else.
                owner.later(
                    _make_delay_s(number), lambda: self._record_attempt(command, number + 1)
                )

    def _end(self, command: commands.EndRequest) -> None:
        entry = self._owner.open.get(command.request_id)
        if entry is None or entry.end is not None:
            return
        wall_s = self._deps.clock.now().timestamp()
        reference = None
        if command.attempt_id is not None and entry.answer is not None:
            attempt_id, stored = entry.answer
            reference = stored if attempt_id == command.attempt_id else None
        entry.end = records.make_end(command, wall_s, reference)
        if entry.is_recorded:
            self._write_end(command.request_id, entry, 0)
        else:
            self._owner.close(command.request_id)

    def _write_end(self, request_id: str, entry: Any, number: int) -> None:
        known, end = entry.known, entry.end

        def work() -> None:
            written = records.write_end(self._deps.table, known, end)
            self._owner.call(lambda: self._note_ended(request_id, entry, written, number))

        self.run(self._deps.table_pool, work)

    def _note_ended(self, request_id: str, entry: Any, written: result.Result, number: int) -> None:
        match written:
            case result.Success(known):
                if known.record.end != entry.end:
                    entry.end = known.record.end
                    self._drop_body(entry)
                entry.known = known
                self._owner.close(request_id)
            case result.Failure(exceptions.ConditionFailedError()):
                _log.error("record_vanished request={}", request_id)
                self._owner.close(request_id)
            case _:
                if entry.end.end is requests.End.ANSWERED and entry.waiters:
                    # A complete answer is true whatever happens next, so it does not wait for
                    # the store. Every other end waits: an owner that has not read it could
                    # still run the request.
                    self._deps.notify_ended(entry.waiters, request_id, entry.end, entry.body)
                    entry.waiters.clear()
                self._owner.later(
                    _make_delay_s(number),
                    lambda: self._write_end(request_id, entry, number + 1),
                )

    def _drop_body(self, entry: Any) -> None:
        if entry.body is not None:
            self._deps.budget.give_back(len(entry.body))
            entry.body = None
