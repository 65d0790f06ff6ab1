"""Execution of the commands of one partition owner, on bounded pools."""

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

__all__ = ["Executor", "find_guarantee_partition"]

_log = logs.Log("lycheegate.entry.owner")

MAX_COLLECT_ROUNDS = 3
"""Rounds of fetching an answer before the attempt counts as broken.

The worker client retries within each round.
"""

MAX_ATTEMPT_RETRIES = 8
"""Retries of the write of an attempt while the store is unavailable, before the request is placed
again.
"""

MAX_NOTIFIED_ANSWER_BYTES = 1024 * 1024
"""Largest answer of a recorded request that is sent with the end to the waiting entry VMs."""

MAX_PAYLOAD_RETRIES = 6
"""Retries of the read of a payload from the object store, before the request is placed again."""

MAX_RETRY_DELAY_S = 2.0


def find_guarantee_partition(
    guarantee: releases.Guarantee, partitions: Sequence[str]
) -> str | None:
    """Returns the partition that is responsible for a guarantee.

    Args:
        guarantee: The guarantee.
        partitions: Partitions of its data centre.
    """
    return hashing.choose(f"{guarantee.client_account}/{guarantee.name}", partitions)


def _compute_retry_delay_s(retries: int) -> float:
    return min(0.1 * 2**retries, MAX_RETRY_DELAY_S)


class Executor:
    """Executes commands: orders through the worker client, writes on the bounded table pool."""

    def __init__(self, owner: Any):
        self._owner = owner
        self._deps = owner.deps
        self._lock = threading.Lock()
        self._running_count = 0

    def is_busy(self) -> bool:
        """Returns whether a read or write on a pool is in progress."""
        return self._running_count > 0

    def run(self, pool: pools.BoundedPool, function: Callable[[], None]) -> None:
        """Runs a function on a pool; retries later if the pool is full."""

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
                    self._running_count -= 1

        with self._lock:
            self._running_count += 1
        try:
            pool.submit(work)
        except exceptions.QueueFullError:
            with self._lock:
                self._running_count -= 1
            self._owner.call_later(0.05, lambda: self.run(pool, function))

    def execute(self, command: commands.Command) -> None:
        """Executes a command; called in the owner's thread."""
        match command:
            case commands.RecordAttempt():
                self._record_attempt(command, 0)
            case commands.EndRequest():
                self._end_request(command)
            case commands.QuarantineWorker():
                self._owner.quarantined[command.worker_id] = command.reason
                _log.warning("quarantined", worker=command.worker_id, reason=command.reason)
            case commands.RestoreWorker():
                self._owner.quarantined.pop(command.worker_id, None)
                _log.info("restored", worker=command.worker_id)
            case commands.ReportShortGuarantee():
                key = (command.client_account, command.guarantee)
                self._owner.short_guarantees[key] = (command.short_units, command.reason)
                if not command.short_units:
                    del self._owner.short_guarantees[key]
                _log.warning(
                    "guarantee_short",
                    client_account=key[0],
                    guarantee=key[1],
                    units=command.short_units,
                    reason=command.reason,
                )
            case commands.HoldTask():
                self._hold_task(command, 0)
            case commands.StartTask():
                self._owner.workers.start(command)
            case commands.StopTask():
                self._owner.workers.stop(command)
            case commands.ReleaseTask():
                self._release_task(command)
            case commands.CollectAnswer():
                self._collect_answer(command, 0)

    def notify_waiters(self, open_request: Any) -> None:
        """Sends the end of a request to the waiting entry VMs and frees its answer."""
        if open_request.waiters:
            request_id = open_request.versioned.record.request_id
            self._deps.notify_ended(
                open_request.waiters, request_id, open_request.end, open_request.body
            )
        if open_request.body is not None:
            self._deps.budget.release_bytes(len(open_request.body))
            open_request.body = None

    def _release_task(self, command: commands.ReleaseTask) -> None:
        attempt_id, _ = commands.split_task_id(command.task_id)
        open_request = self._owner.open.get(self._owner.attempts.get(attempt_id, ""))
        if open_request is not None and open_request.end is not None:
            # The worker must keep the answer until the end is in the table.
            open_request.deferred.append(command)
            return
        self._owner.workers.release(command)

    def _hold_task(self, command: commands.HoldTask, retries: int) -> None:
        open_request = self._owner.open.get(command.request_id)
        if open_request is None:
            return
        attempt_id, _ = commands.split_task_id(command.task_id)
        self._owner.attempts[attempt_id] = command.request_id
        open_request.task_placements[command.task_id] = command.place
        record = open_request.versioned.record
        if record.payload_key is None:
            self._owner.workers.hold(command, record.job_class, record.payload or {})
            return

        def work() -> None:
            loaded = answers.load_payload(self._deps.objects, record.payload_key)
            self._owner.call(lambda: handle_loaded(loaded))

        def handle_loaded(loaded: result.Result) -> None:
            match loaded:
                case result.Success(payload):
                    self._owner.workers.hold(command, record.job_class, payload)
                case _ if retries >= MAX_PAYLOAD_RETRIES:
                    # Nothing was sent to the worker, so the order counts as refused by a worker
                    # that does not know the task.
                    refused = events.TaskRefused(command.task_id, events.Refusal.TOMBSTONE)
                    self._owner.apply(refused)
                case _:
                    self._owner.call_later(
                        _compute_retry_delay_s(retries),
                        lambda: self._hold_task(command, retries + 1),
                    )

        self.run(self._deps.table_pool, work)

    def _collect_answer(self, command: commands.CollectAnswer, retries: int) -> None:
        open_request = self._owner.open.get(command.request_id)
        if open_request is None:
            return
        if open_request.answer is not None and open_request.answer[0] == command.attempt_id:
            self._owner.apply(events.AnswerStored(command.attempt_id))
            return
        fetched = self._owner.workers.fetch_answer(
            command.worker_id, command.task_id, command.request_id
        )
        fetched.add_done_callback(
            lambda done: self._owner.call(
                lambda: self._handle_fetched_answer(command, open_request, retries, done.result())
            )
        )

    def _handle_fetched_answer(
        self,
        command: commands.CollectAnswer,
        open_request: Any,
        retries: int,
        fetched: result.Result,
    ) -> None:
        match fetched:
            case result.Success(body):
                self._store_answer(command, open_request, body, 0)
                return
            case result.Failure(error):
                _log.warning("answer_rejected", request=command.request_id, reason=str(error))
                self._deps.count("answer_rejected")
        if retries + 1 >= MAX_COLLECT_ROUNDS:
            self._owner.apply(events.AnswerBroken(command.attempt_id))
            return
        self._owner.call_later(
            _compute_retry_delay_s(retries), lambda: self._collect_answer(command, retries + 1)
        )

    def _store_answer(
        self, command: commands.CollectAnswer, open_request: Any, body: bytes, retries: int
    ) -> None:
        """Stores an answer; retried while there is no memory or the store is unavailable."""

        def retry_later() -> None:
            self._owner.call_later(
                _compute_retry_delay_s(retries),
                lambda: self._store_answer(command, open_request, body, retries + 1),
            )

        if not self._deps.budget.acquire_bytes(len(body), 0.0):
            # The answer is fetched again later, so that it does not occupy memory until then.
            self._owner.call_later(
                _compute_retry_delay_s(retries), lambda: self._collect_answer(command, 0)
            )
            return
        if not open_request.is_recorded:
            # Without a record, the answer can only be sent to the caller that waits.
            self._record_stored_answer(command, open_request, answers.make_reference(body), body)
            return

        def work() -> None:
            stored = answers.store(self._deps.objects, command.request_id, command.attempt_id, body)
            self._owner.call(lambda: handle_stored(stored))

        def handle_stored(stored: result.Result) -> None:
            match stored:
                case result.Success(reference):
                    self._record_stored_answer(command, open_request, reference, body)
                case _:
                    self._deps.budget.release_bytes(len(body))
                    retry_later()

        if len(body) <= records.INLINE_BYTES:
            handle_stored(
                answers.store(self._deps.objects, command.request_id, command.attempt_id, body)
            )
        else:
            self.run(self._deps.table_pool, work)

    def _record_stored_answer(
        self,
        command: commands.CollectAnswer,
        open_request: Any,
        reference: records.AnswerReference,
        body: bytes,
    ) -> None:
        open_request.answer = (command.attempt_id, reference)
        if open_request.body is not None:
            self._deps.budget.release_bytes(len(open_request.body))
        open_request.body = body
        if len(body) > MAX_NOTIFIED_ANSWER_BYTES and open_request.is_recorded:
            self._deps.budget.release_bytes(len(body))
            open_request.body = None
        self._owner.apply(events.AnswerStored(command.attempt_id))

    def _record_attempt(self, command: commands.RecordAttempt, retries: int) -> None:
        open_request = self._owner.open.get(command.request_id)
        if open_request is None or not open_request.is_recorded:
            self._owner.apply(events.AttemptNotRecorded(command.attempt_id))
            return
        places = [(place.worker_id, place.first, place.count) for place in command.placement]
        instances = [self._owner.workers.get_instance(place[0]) for place in places]
        attempt = records.Attempt(command.attempt_id, self._owner.epoch, places, instances)
        versioned = open_request.versioned

        def work() -> None:
            written = records.record_attempt(self._deps.table, versioned, attempt)
            self._owner.call(
                lambda: self._handle_attempt_written(command, open_request, written, retries)
            )

        self.run(self._deps.table_pool, work)

    def _handle_attempt_written(
        self,
        command: commands.RecordAttempt,
        open_request: Any,
        written: result.Result,
        retries: int,
    ) -> None:
        owner = self._owner
        match written:
            case result.Success(versioned):
                open_request.versioned = versioned
                owner.apply(events.AttemptRecorded(command.attempt_id))
            case result.Failure(exceptions.ConditionFailedError() as error):
                self._report_attempt_not_recorded(command, open_request, error)
            case result.Failure(exceptions.UnavailableError()) if retries >= MAX_ATTEMPT_RETRIES:
                owner.apply(events.AttemptNotRecorded(command.attempt_id))
            case _:
                # The request cannot proceed until it is known whether the attempt is in the table.
                owner.call_later(
                    _compute_retry_delay_s(retries),
                    lambda: self._record_attempt(command, retries + 1),
                )

    def _report_attempt_not_recorded(
        self,
        command: commands.RecordAttempt,
        open_request: Any,
        error: exceptions.ConditionFailedError,
    ) -> None:
        """Reports that the record has an end or the attempt of another owner."""
        owner = self._owner
        if error.version:
            open_request.versioned = records.VersionedRecord(
                records.decode(error.value), error.version
            )
        record = open_request.versioned.record
        if record.end is None and record.attempt is not None and error.version:
            placement = partitions.make_placement(record.attempt)
            found = record.attempt.attempt_id
            instances = tuple(record.attempt.instances)
            owner.apply(events.AttemptNotRecorded(command.attempt_id, found, placement, instances))
            return
        owner.apply(events.AttemptNotRecorded(command.attempt_id))
        # The cancellation leads to the write of an end, which returns the end in the record.
        owner.apply(events.CancelRequested(command.request_id))

    def _end_request(self, command: commands.EndRequest) -> None:
        open_request = self._owner.open.get(command.request_id)
        if open_request is None or open_request.end is not None:
            return
        wall_s = self._deps.clock.now().timestamp()
        reference = None
        if command.attempt_id is not None and open_request.answer is not None:
            attempt_id, stored = open_request.answer
            reference = stored if attempt_id == command.attempt_id else None
        open_request.end = records.make_end(command, wall_s, reference)
        if open_request.is_recorded:
            self._write_end(command.request_id, open_request, 0)
        else:
            self._owner.close_request(command.request_id)

    def _write_end(self, request_id: str, open_request: Any, retries: int) -> None:
        versioned, end = open_request.versioned, open_request.end

        def work() -> None:
            written = records.write_end(self._deps.table, versioned, end)
            self._owner.call(
                lambda: self._handle_end_written(request_id, open_request, written, retries)
            )

        self.run(self._deps.table_pool, work)

    def _handle_end_written(
        self, request_id: str, open_request: Any, written: result.Result, retries: int
    ) -> None:
        match written:
            case result.Success(versioned):
                if versioned.record.end != open_request.end:
                    open_request.end = versioned.record.end
                    self._discard_body(open_request)
                open_request.versioned = versioned
                self._owner.close_request(request_id)
            case result.Failure(exceptions.ConditionFailedError()):
                _log.error("record_vanished", request=request_id)
                self._owner.close_request(request_id)
            case _:
                if open_request.end.end is requests.End.ANSWERED and open_request.waiters:
                    # A complete answer stays valid, so it is sent before its end is stored. Every
                    # other end is sent only once it is stored: a new owner that does not find it
                    # could still run the request.
                    self._deps.notify_ended(
                        open_request.waiters, request_id, open_request.end, open_request.body
                    )
                    open_request.waiters.clear()
                self._owner.call_later(
                    _compute_retry_delay_s(retries),
                    lambda: self._write_end(request_id, open_request, retries + 1),
                )

    def _discard_body(self, open_request: Any) -> None:
        if open_request.body is not None:
            self._deps.budget.release_bytes(len(open_request.body))
            open_request.body = None
