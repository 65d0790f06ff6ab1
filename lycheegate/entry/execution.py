"""Carries out the commands of one partition owner on the bounded pools."""

import threading
import traceback
from collections.abc import Callable, Sequence
from typing import Any

from returns import result

from lycheegate.core import commands, events
from lycheegate.entry import answers, partitions, records
from lycheegate.metrics import logs
from lycheegate.model import releases, requests
from lycheegate.peers import hashing
from lycheegate.utils import exceptions, pools

__all__ = ["Executor", "find_carrier"]

_log = logs.Log("lycheegate.entry.owner")

COLLECT_TRIES = 3
"""Rounds of fetching an answer that stays broken, before its attempt counts as broken; the
worker client repeats within each round.
"""

ATTEMPT_TRIES = 8
"""Writes of an attempt that the store refuses, before the request is placed again."""

TRAVEL_BYTES = 1024 * 1024
"""Answers up to this size travel with the end to the entry VM that waits."""

LOAD_TRIES = 6
"""Reads of a payload from the object store, before the request is placed again."""

MAX_RETRY_S = 2.0


def find_carrier(guarantee: releases.Guarantee, partitions: Sequence[str]) -> str | None:
    """Returns the partition of a data centre that carries a guarantee."""
    return hashing.choose(f"{guarantee.client_account}/{guarantee.name}", partitions)


def _make_delay_s(number: int) -> float:
    return min(0.1 * 2**number, MAX_RETRY_S)


class Executor:
    """Runs commands: orders through the worker client, writes on the bounded table pool."""

    def __init__(self, owner: Any):
        self._owner = owner
        self._deps = owner.deps
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
                _log.error(
                    "command_failed",
                    partition=self._owner.partition,
                    error=traceback.format_exc()[-500:],
                )
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
                _log.warning("quarantined", worker=command.worker_id, reason=command.reason)
            case commands.RestoreWorker():
                self._owner.quarantined.pop(command.worker_id, None)
                _log.info("restored", worker=command.worker_id)
            case commands.ReportShortGuarantee():
                key = (command.client_account, command.guarantee)
                self._owner.short[key] = (command.short_units, command.reason)
                if not command.short_units:
                    del self._owner.short[key]
                _log.warning(
                    "guarantee_short",
                    client_account=key[0],
                    guarantee=key[1],
                    units=command.short_units,
                    reason=command.reason,
                )
            case commands.HoldTask():
                self._hold(command, 0)
            case commands.StartTask():
                self._owner.workers.start(command)
            case commands.StopTask():
                self._owner.workers.stop(command)
            case commands.ReleaseTask():
                self._release(command)
            case commands.CollectAnswer():
                self._collect(command, 0)

    def deliver(self, entry: Any) -> None:
        """Tells the waiting entry VMs how a request ended."""
        if entry.waiters:
            request_id = entry.known.record.request_id
            self._deps.notify_ended(entry.waiters, request_id, entry.end, entry.body)
        if entry.body is not None:
            self._deps.budget.give_back(len(entry.body))
            entry.body = None

    def _release(self, command: commands.ReleaseTask) -> None:
        attempt_id, _ = commands.split_task_id(command.task_id)
        entry = self._owner.open.get(self._owner.attempts.get(attempt_id, ""))
        if entry is not None and entry.end is not None:
            # The worker keeps the answer until the end is in the table.
            entry.deferred.append(command)
            return
        self._owner.workers.release(command)

    def _hold(self, command: commands.HoldTask, number: int) -> None:
        entry = self._owner.open.get(command.request_id)
        if entry is None:
            return
        attempt_id, _ = commands.split_task_id(command.task_id)
        self._owner.attempts[attempt_id] = command.request_id
        entry.places[command.task_id] = command.place
        record = entry.known.record
        if record.payload_key is None:
            self._owner.workers.hold(command, record.job_class, record.payload or {})
            return

        def work() -> None:
            loaded = answers.load_payload(self._deps.objects, record.payload_key)
            self._owner.call(lambda: take(loaded))

        def take(loaded: result.Result) -> None:
            match loaded:
                case result.Success(payload):
                    self._owner.workers.hold(command, record.job_class, payload)
                case _ if number >= LOAD_TRIES:
                    # Nothing was sent to the worker, so this is as good as an unknown task.
                    refused = events.TaskRefused(command.task_id, events.Refusal.TOMBSTONE)
                    self._owner.apply(refused)
                case _:
                    self._owner.later(
                        _make_delay_s(number), lambda: self._hold(command, number + 1)
                    )

        self.run(self._deps.table_pool, work)

    def _collect(self, command: commands.CollectAnswer, number: int) -> None:
        entry = self._owner.open.get(command.request_id)
        if entry is None:
            return
        if entry.answer is not None and entry.answer[0] == command.attempt_id:
            self._owner.apply(events.AnswerStored(command.attempt_id))
            return
        fetched = self._owner.workers.fetch_answer(
            command.worker_id, command.task_id, command.request_id
        )
        fetched.add_done_callback(
            lambda done: self._owner.call(
                lambda: self._take_answer(command, entry, number, done.result())
            )
        )

    def _take_answer(
        self, command: commands.CollectAnswer, entry: Any, number: int, fetched: result.Result
    ) -> None:
        match fetched:
            case result.Success(body):
                self._keep(command, entry, body, 0)
                return
            case result.Failure(error):
                _log.warning("answer_rejected", request=command.request_id, reason=str(error))
                self._deps.count("answer_rejected")
        if number + 1 >= COLLECT_TRIES:
            self._owner.apply(events.AnswerBroken(command.attempt_id))
            return
        self._owner.later(_make_delay_s(number), lambda: self._collect(command, number + 1))

    def _keep(self, command: commands.CollectAnswer, entry: Any, body: bytes, number: int) -> None:
        """Stores an answer; repeated while there is no room or the store is unavailable."""

        def again() -> None:
            self._owner.later(
                _make_delay_s(number), lambda: self._keep(command, entry, body, number + 1)
            )

        if not self._deps.budget.take(len(body), 0.0):
            # Fetched again later, so that the bytes are not held meanwhile.
            self._owner.later(_make_delay_s(number), lambda: self._collect(command, 0))
            return
        if not entry.is_recorded:
            # There is nothing to find it by later; it goes to the caller that waits.
            self._note_stored(command, entry, answers.make_reference(body), body)
            return

        def work() -> None:
            stored = answers.store(self._deps.objects, command.request_id, command.attempt_id, body)
            self._owner.call(lambda: take(stored))

        def take(stored: result.Result) -> None:
            match stored:
                case result.Success(reference):
                    self._note_stored(command, entry, reference, body)
                case _:
                    self._deps.budget.give_back(len(body))
                    again()

        if len(body) <= records.INLINE_BYTES:
            take(answers.store(self._deps.objects, command.request_id, command.attempt_id, body))
        else:
            self.run(self._deps.table_pool, work)

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
        instances = [self._owner.workers.get_instance(place[0]) for place in places]
        attempt = records.Attempt(command.attempt_id, self._owner.epoch, places, instances)
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
                self._give_up_attempt(command, entry, error)
            case result.Failure(exceptions.UnavailableError()) if number >= ATTEMPT_TRIES:
                owner.apply(events.AttemptNotRecorded(command.attempt_id))
            case _:
                # Whether the attempt is in the table must be settled before anything else.
                owner.later(
                    _make_delay_s(number), lambda: self._record_attempt(command, number + 1)
                )

    def _give_up_attempt(
        self,
        command: commands.RecordAttempt,
        entry: Any,
        error: exceptions.ConditionFailedError,
    ) -> None:
        """Tells that the record has ended or holds the attempt of another owner."""
        owner = self._owner
        if error.version:
            entry.known = records.Versioned(records.decode(error.value), error.version)
        record = entry.known.record
        if record.end is None and record.attempt is not None and error.version:
            placement = partitions.make_placement(record.attempt)
            found = record.attempt.attempt_id
            instances = tuple(record.attempt.instances)
            owner.apply(events.AttemptNotRecorded(command.attempt_id, found, placement, instances))
            return
        owner.apply(events.AttemptNotRecorded(command.attempt_id))
        # The write of an end finds the one that is there.
        owner.apply(events.CancelRequested(command.request_id))

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
                _log.error("record_vanished", request=request_id)
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
