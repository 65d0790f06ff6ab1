"""Communication with the workers during a term: reports, leases, and orders to start and stop runs.

All functions and callbacks run on the event thread.
"""

import collections
import dataclasses
from collections.abc import Callable

from returns import result

from lycheegate.jobs import (
    commands,
    crashes,
    data_centres,
    fencing,
    incarnations,
    leases,
    model,
    runs,
    state,
    strays,
    workers,
)
from lycheegate.metrics import jsonlog
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import errors, exceptions

__all__ = ["TermHooks", "WorkerExchange"]

REPORT_WAIT_S = 1.4
"""How long a poll waits for a change. A lease is renewed by each poll, so what is left of it when a
scheduler is lost shrinks by this time."""
UNRENEWED_REPORT_WAIT_S = 0.2
"""The same for a poll that renews no lease because leases are withheld, mostly until the next
heartbeat is stored. What is left of a lease after a change of the holder may be less than 1.4 s."""
IDLE_REPORT_WAIT_S = 1.8
"""The same for a worker without runs, which has no leases to renew. Its report must not become too
old for new work in between."""
REPORT_RETRY_S = 0.3
"""Delay before a poll is repeated. The first one whose answer is lost is repeated at once, because
until it reports again its worker gets no new work, and ends of its runs are not known."""
FIRST_POLLS = 64
"""Number of workers whose first polls are sent at once when a term begins. All of thousands would
keep the event thread busy for longer than the term's heartbeat may be overdue."""
FIRST_POLLS_PAUSE_S = 0.02
TRIAL_REPORT_DELAY_S = crashes.SURVIVAL_S + 0.05
"""Time after the start of a task that may crash its worker until an additional report is requested,
so that a later crash for another reason does not count for the task."""
DURABLE_ENDS_PAUSE_S = 0.4
"""Maximum delay before a worker whose reported ends are not yet stored is polled again. A worker
answers at once while it lists ends, so polling it without a delay would loop while the store is
unreachable."""


@dataclasses.dataclass(frozen=True, slots=True)
class TermHooks:
    """Functions of the scheduler that the exchange calls.

    Attributes:
        execute: Executes commands.
        request_pass: Requests a scheduling pass; False says that nothing has changed.
        end_term: Ends the term for the reason given.
        call_later: Runs a function after a delay in seconds, unless the term has ended.
        is_stopped: Returns whether the term has ended.
        get_renewed_at_s: Returns when the term was last renewed.
    """

    execute: Callable[[list[commands.Command]], None]
    request_pass: Callable[[bool], None]
    end_term: Callable[[str], None]
    call_later: Callable[[float, Callable[[], None]], None]
    is_stopped: Callable[[], bool]
    get_renewed_at_s: Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _SentStart:
    """A start order that was sent.

    Attributes:
        address: Endpoint to which it was sent.
        token: Its fencing token.
        recorded: Its lease deadline.
        sent_at_s: When it was sent.
    """

    address: str
    token: int
    recorded: leases.RecordedDeadline
    sent_at_s: float


class WorkerExchange:
    """Polls the workers and sends them orders during one term.

    Args:
        client: Client of the workers.
        current: State of the scheduler.
        now_s: Clock that includes time spent suspended.
        log: Log of decisions.
        hooks: Functions of the scheduler.
    """

    def __init__(
        self,
        client: worker_calls.PlatformWorkers,
        current: state.SchedulerState,
        now_s: Callable[[], float],
        log: jsonlog.JsonLog,
        hooks: TermHooks,
    ):
        self._client = client
        self._state = current
        self._now_s = now_s
        self._log = log
        self._hooks = hooks
        self._polled: set[str] = set()
        self._awaiting_durable_ends: set[str] = set()
        self._failed_polls: set[str] = set()
        self._logged_errors: dict[str, str] = {}
        self._suspected_restarts: dict[str, float] = {}
        """When a worker gave an answer that its known incarnation cannot have given."""
        self._unknown_starts: set[tuple[model.TaskKey, int]] = set()
        self._additional_reports: set[str] = set()
        """Workers of which a report is about to be requested beside the polls."""

    def poll_new_workers(self) -> None:
        """Starts polling the workers that are not polled yet, those with recorded runs first.

        A worker whose registration tells of a restart is asked for a report at once, which fences
        the calls that are on their way to its former incarnation.
        """
        for worker in self._state.workers.values():
            if worker.incarnation.known_since_s and not worker.incarnation.confirmed:
                self._request_report_soon(worker.worker_id)
        new_workers = [w for w in self._state.workers.values() if w.worker_id not in self._polled]
        new_workers.sort(key=lambda worker: not worker.runs)
        self._polled.update(worker.worker_id for worker in new_workers)
        self._send_first_polls(collections.deque(worker.worker_id for worker in new_workers))

    def _send_first_polls(self, worker_ids: collections.deque[str]) -> None:
        for _ in range(min(FIRST_POLLS, len(worker_ids))):
            self._poll(worker_ids.popleft(), 0.0)
        if worker_ids:
            self._hooks.call_later(FIRST_POLLS_PAUSE_S, lambda: self._send_first_polls(worker_ids))

    def resume_polls(self) -> None:
        """Resumes polling the workers whose reported ends have all been stored."""
        for worker_id in sorted(self._awaiting_durable_ends):
            worker = self._state.workers.get(worker_id)
            if worker is None or worker.incarnation.durable_end >= worker.incarnation.processed_end:
                self._resume_poll(worker_id)

    def _poll(self, worker_id: str, wait_s: float) -> None:
        """Requests a report from a worker, and renews the lease of its runs."""
        self._guard_poll(worker_id, lambda: self._send_poll(worker_id, wait_s))

    def _guard_poll(self, worker_id: str, run_step: Callable[[], None]) -> None:
        """Runs a step of polling a worker; after an unexpected error, the worker is polled again.

        A step sends or schedules the next poll last, so an error has not left two of them.
        """
        try:
            run_step()
        except Exception as error:
            text = f"{type(error).__name__}: {error!s:.200}"
            fields = errors.describe(error).make_fields(text)
            self._log.write("poll_failed", worker=worker_id, **fields)
            self._hooks.call_later(REPORT_RETRY_S, lambda: self._poll(worker_id, 0.0))

    def _send_poll(self, worker_id: str, wait_s: float) -> None:
        worker = self._state.workers.get(worker_id)
        if self._hooks.is_stopped() or worker is None:
            self._polled.discard(worker_id)
            self._failed_polls.discard(worker_id)
            self._logged_errors.pop(worker_id, None)
            return
        now_s = self._now_s()
        if not self._may_act(now_s):
            self._hooks.call_later(REPORT_RETRY_S, lambda: self._poll(worker_id, 0.0))
            return
        deadline_ms = recorded = None
        # Calls whose answers are lost would renew the leases on a worker that has probably left.
        is_gone = not worker.registered and worker_id in self._failed_polls
        if now_s - worker.reported_at_s < leases.MAX_REPORT_AGE_S and not is_gone:
            deadline_ms = leases.compute_deadline_ms(self._state, worker, now_s)
            if deadline_ms is None:
                wait_s = min(wait_s, UNRENEWED_REPORT_WAIT_S)
        if deadline_ms is not None:
            recorded = leases.record_deadline(self._state, worker, deadline_ms, now_s, wait_s)
        address = worker.address
        token = fencing.get_token(self._state, worker)
        self._client.report(
            address,
            worker_id,
            token,
            self._get_acknowledged_end(worker),
            deadline_ms,
            wait_s,
            lambda outcome: self._guard_poll(
                worker_id, lambda: self._handle_report(worker_id, address, token, recorded, outcome)
            ),
        )

    def _get_acknowledged_end(self, worker: state.WorkerState) -> int:
        """Returns the number up to which a worker may discard the ends of runs that it lists.

        A worker that may have restarted numbers its ends anew, and would discard ends that nobody
        has read.
        """
        worker_id = worker.worker_id
        if worker_id in self._failed_polls or worker_id in self._suspected_restarts:
            return 0
        return worker.incarnation.durable_end

    def _may_act(self, now_s: float) -> bool:
        """Returns whether this scheduler may renew leases and send orders.

        A new holder assumes that the previous one does neither once its last renewal of the term is
        older than the handover time, which a VM that was suspended notices only by its clock.
        """
        return now_s - self._hooks.get_renewed_at_s() <= self._state.policy.handover_s

    def _handle_report(
        self,
        worker_id: str,
        address: str,
        token: int,
        recorded: leases.RecordedDeadline | None,
        outcome: result.Result,
    ) -> None:
        if self._hooks.is_stopped():
            return
        worker = self._state.workers.get(worker_id)
        if not isinstance(outcome, result.Success):
            error = outcome.failure()
            is_unsent = isinstance(error, exceptions.NotSentError)
            if is_unsent and worker is not None and recorded is not None:
                leases.revoke_deadline(self._state, worker, recorded)
            self._handle_report_error(worker_id, address, token, error)
            return
        if worker is not None:
            worker.reported_address = address
        self._failed_polls.discard(worker_id)
        self._logged_errors.pop(worker_id, None)
        known = worker.incarnation if worker is not None else state.Incarnation()
        was_confirmed = known.confirmed
        report = outcome.unwrap()
        self._clear_suspicion(report)
        try:
            command_list = workers.apply_report(self._state, report)
            self._hooks.execute(command_list)
        except Exception as error:
            # A report that cannot be applied must not end the polling of its worker.
            self._handle_report_error(worker_id, address, token, error)
            return
        self._hooks.request_pass(bool(command_list or report.ended))
        # A further report at once shows what is absent for certain after a restart.
        if worker is None or not was_confirmed or worker.incarnation is not known:
            self._poll(worker_id, 0.0)
            return
        if worker.incarnation.processed_end > worker.incarnation.durable_end:
            self._awaiting_durable_ends.add(worker_id)
            self._hooks.call_later(DURABLE_ENDS_PAUSE_S, lambda: self._resume_poll(worker_id))
            return
        self._poll(worker_id, _get_report_wait_s(worker))

    def _clear_suspicion(self, report: workers.Report) -> None:
        """Ends the suspicion of a restart with a report that was requested since."""
        suspected_at_s = self._suspected_restarts.get(report.worker_id)
        if suspected_at_s is not None and report.sent_at_s >= suspected_at_s:
            del self._suspected_restarts[report.worker_id]

    def _check_trial(self, worker_id: str) -> None:
        """Requests a report beside the polls, to learn whether a task on trial has survived."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.trials:
            self._request_report(worker)

    def _check_late_start(self, worker_id: str) -> None:
        """Requests a report once an order without an answer can no longer arrive."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and incarnations.has_unverified_start(worker):
            self._request_report(worker)

    def _request_report_soon(self, worker_id: str) -> None:
        """Requests a report beside the polls.

        A poll that was sent before proves nothing about what has happened since, and waits for an
        end that may not come.
        """
        if worker_id in self._additional_reports:
            return
        self._additional_reports.add(worker_id)

        def check() -> None:
            self._additional_reports.discard(worker_id)
            worker = self._state.workers.get(worker_id)
            if worker is not None:
                self._request_report(worker)

        self._hooks.call_later(0.0, check)

    def _request_report(self, worker: state.WorkerState) -> None:
        """Requests a report at once that renews no lease."""
        if not self._may_act(self._now_s()):
            return
        self._client.report(
            worker.address,
            worker.worker_id,
            fencing.get_token(self._state, worker),
            self._get_acknowledged_end(worker),
            None,
            0.0,
            self._handle_additional_report,
        )

    def _handle_additional_report(self, outcome: result.Result) -> None:
        # The polls handle lost reports.
        if self._hooks.is_stopped() or not isinstance(outcome, result.Success):
            return
        report = outcome.unwrap()
        self._clear_suspicion(report)
        worker = self._state.workers.get(report.worker_id)
        known = worker.incarnation if worker is not None else None
        try:
            self._hooks.execute(workers.apply_report(self._state, report))
            if worker is not None and worker.incarnation is not known:
                self._request_report_soon(report.worker_id)
        except Exception as error:
            fields = errors.describe(error).make_fields(str(error))
            self._log.write("report_failed", worker=report.worker_id, **fields)
        self._hooks.request_pass(True)

    def _resume_poll(self, worker_id: str) -> None:
        """Resumes polling a worker whose last report listed ends that were not stored yet."""
        if worker_id in self._awaiting_durable_ends:
            self._awaiting_durable_ends.discard(worker_id)
            self._poll(worker_id, REPORT_WAIT_S)

    def _handle_report_error(
        self, worker_id: str, address: str, token: int, error: Exception
    ) -> None:
        worker = self._state.workers.get(worker_id)
        is_first_lost = worker_id not in self._failed_polls and isinstance(
            error, exceptions.OutcomeUnknownError
        )
        is_unsent_again = worker_id in self._failed_polls and isinstance(
            error, exceptions.NotSentError
        )
        self._failed_polls.add(worker_id)
        if isinstance(error, exceptions.FencedError):
            self._handle_fenced_call(worker_id, token)
        elif isinstance(error, worker_calls.WrongIncarnationError) and worker is not None:
            self._handle_replaced_worker(worker, address)
        elif isinstance(error, exceptions.OutcomeUnknownError | exceptions.UnavailableError):
            if worker is not None:
                if is_first_lost:
                    crashes.record_lost_report(worker, self._now_s())
                # A worker that has just been lost must get no work until it reports again. It may
                # have restarted, and then what was sent before must not be carried out any more.
                now_s = self._now_s()
                worker.unreachable_until_s = now_s + runs.UNREACHABLE_S
                if not is_unsent_again:
                    fencing.raise_token(self._state, worker, now_s)
        elif self._logged_errors.get(worker_id) != str(error):
            # A program that is no worker gives the same answer to each poll.
            self._logged_errors[worker_id] = str(error)
            fields = errors.describe(error).make_fields(str(error))
            self._log.write("report_failed", worker=worker_id, **fields)
        delay_s = 0.0 if is_first_lost else REPORT_RETRY_S
        self._hooks.call_later(delay_s, lambda: self._poll(worker_id, 0.0))

    def _handle_fenced_call(self, worker_id: str, token: int) -> None:
        """Ends the term because a worker has refused a call with its latest fencing token.

        A call with an earlier token of this term was overtaken by a later one.
        """
        worker = self._state.workers.get(worker_id)
        if fencing.is_overtaken(self._state, worker, token):
            return
        self._hooks.end_term(
            f"fenced by worker {worker_id}: it has seen a later epoch than {self._state.epoch}"
        )

    def _handle_replaced_worker(self, worker: state.WorkerState, address: str) -> None:
        """Ends the runs of a worker whose endpoint is now served by another worker.

        Another worker at an address from which this one never reported proves nothing: another
        writer may have changed its registration. Its runs end when their lease has expired.
        """
        if address != worker.address:
            # The worker has registered at another endpoint since.
            return
        now_s = self._now_s()
        worker.registered = False
        if address != worker.reported_address:
            worker.unreachable_until_s = now_s + runs.UNREACHABLE_S
            self._hooks.request_pass(True)
            return
        if not worker.is_replaced:
            worker.is_replaced = True
            crashes.record_worker_crash(self._state, worker, now_s)
        # A worker that has announced its departure has left as planned.
        end = runs.End.INTERRUPTED if worker.draining else runs.End.CRASHED
        for run in list(worker.runs.values()):
            if run.phase is not state.RunPhase.INTENDED:
                self._hooks.execute(runs.end_run(self._state, run, end, "worker_replaced", now_s))
        strays.clear_strays(self._state, worker)
        self._hooks.request_pass(True)

    def _find_run(self, order: commands.StartRun | commands.StopRun) -> state.Run | None:
        step = runs.find_step(self._state, order.task)
        run = step.runs.get(order.task.index) if step else None
        return run if run is not None and run.number == order.number else None

    def send_start(self, order: commands.StartRun) -> None:
        """Orders a worker to start a run whose intention has been stored."""
        worker = self._state.workers.get(order.worker_id)
        run = self._find_run(order)
        if run is None or run.phase is not state.RunPhase.ORDERED:
            return
        now_s = self._now_s()
        if not self._may_act(now_s):
            self._hooks.call_later(REPORT_RETRY_S, lambda: self.send_start(order))
            return
        is_repeated = (order.task, order.number) in self._unknown_starts
        if worker is not None and not is_repeated and (worker.draining or not worker.registered):
            # It has left or announced that while the intention was written, which may take seconds.
            self.record_refusal(order, "worker_draining" if worker.draining else "worker_gone")
            return
        if worker is not None and not worker.has_current_registration:
            self._withdraw_start(order, run, is_repeated, "worker_not_registered_anew")
            return
        if worker is not None and runs.exceeds_capacity(worker, run):
            self._withdraw_start(order, run, is_repeated, "worker_shrunk")
            return
        reason = self._find_evacuation_reason(worker, now_s)
        if reason:
            # A start order without an answer is not repeated either. If the run has started, a
            # report lists it and it goes on; otherwise it is stopped as unanswered.
            if not is_repeated:
                self.record_refusal(order, reason)
            return
        deadline_ms = worker and leases.compute_deadline_ms(self._state, worker, now_s)
        if worker is None or not deadline_ms:
            self._withdraw_start(order, run, is_repeated, "worker_unknown")
            return
        recorded = leases.record_deadline(self._state, worker, deadline_ms, now_s)
        incarnations.record_start_sent(run, now_s)
        token = fencing.get_token(self._state, worker)
        sent = _SentStart(worker.address, token, recorded, now_s)
        self._client.start(
            sent.address,
            order,
            sent.token,
            deadline_ms,
            lambda outcome: self._handle_start_result(order, sent, outcome),
        )

    def _find_evacuation_reason(self, worker: state.WorkerState | None, now_s: float) -> str:
        """Returns why a worker gets no orders as its data centre is, or may be, evacuated."""
        if worker is not None and data_centres.is_evacuated(self._state, worker):
            return "data_centre_evacuated"
        if not data_centres.is_view_confirmed(self._state, now_s):
            return "evacuations_unconfirmed"
        return ""

    def _withdraw_start(
        self, order: commands.StartRun, run: state.Run, may_have_started: bool, reason: str
    ) -> None:
        """Withdraws a run whose worker no longer is as it was when the run was placed."""
        if not may_have_started:
            self.record_refusal(order, reason)
            return
        now_s, stop_reason = self._now_s(), state.StopReason.UNANSWERED
        step = runs.find_step(self._state, run.task)
        if step is not None and step.step.gang:
            self._hooks.execute(runs.stop_step(self._state, step, stop_reason, now_s))
        else:
            self._hooks.execute(runs.stop_run(self._state, run, stop_reason, now_s))

    def record_refusal(self, order: commands.StartRun, reason: str) -> None:
        """Records that an order to start a run definitely had no effect."""
        run = self._find_run(order)
        if run is not None:
            now_s = self._now_s()
            self._hooks.execute(runs.handle_refused_start(self._state, run, reason, now_s))
            self._hooks.request_pass(True)

    def _handle_start_result(
        self, order: commands.StartRun, sent: "_SentStart", answer: worker_calls.OrderResult
    ) -> None:
        if self._hooks.is_stopped():
            return
        now_s = self._now_s()
        worker = self._state.workers.get(order.worker_id)
        run = self._find_run(order)
        outcome = answer.outcome
        if not answer.was_sent and worker is not None:
            leases.revoke_deadline(self._state, worker, sent.recorded)
        if run is not None and not answer.was_sent:
            incarnations.record_start_unsent(run)
        elif run is not None and outcome is worker_calls.StartOutcome.UNKNOWN:
            incarnations.record_start_unanswered(run, sent.sent_at_s, now_s)
        elif worker is not None and run is not None:
            is_known = self._check_clock(order, worker, sent.sent_at_s, answer, now_s)
            has_started = outcome is worker_calls.StartOutcome.STARTED
            incarnations.record_start_answered(run, is_known or not has_started, now_s)
        key = (order.task, order.number)
        if outcome is worker_calls.StartOutcome.FENCED:
            self._handle_fenced_call(order.worker_id, sent.token)
            if run is not None and not self._hooks.is_stopped():
                self._handle_start_refusal(order, run, worker, outcome, now_s)
        elif outcome is worker_calls.StartOutcome.UNKNOWN:
            self._unknown_starts.add(key)
            self._hooks.call_later(
                incarnations.LATE_AFTER_GIVING_UP_S, lambda: self._check_late_start(order.worker_id)
            )
            # Repeating the order is safe, and the answer shows whether the run has started.
            self._hooks.call_later(0.0, lambda: self.send_start(order))
        elif run is None:
            return
        elif outcome is worker_calls.StartOutcome.STARTED:
            self._unknown_starts.discard(key)
            if run.phase is state.RunPhase.ORDERED:
                runs.record_start_confirmed(self._state, run, now_s)
            if worker is not None and run.task in worker.trials:
                self._hooks.call_later(
                    TRIAL_REPORT_DELAY_S, lambda: self._check_trial(order.worker_id)
                )
        elif outcome is worker_calls.StartOutcome.OLD_RUN:
            # The run has already ended or been stopped; the next report shows which.
            if run.phase is state.RunPhase.ORDERED:
                run.confirmed_at_s = now_s
        elif outcome is worker_calls.StartOutcome.WRONG_INCARNATION:
            if worker is not None:
                self._handle_replaced_worker(worker, sent.address)
            if self._find_run(order) is run and run.phase is state.RunPhase.ORDERED:
                self._handle_start_refusal(order, run, worker, outcome, now_s)
        else:
            self._handle_start_refusal(order, run, worker, outcome, now_s)

    def _check_clock(
        self,
        order: commands.StartRun,
        worker: state.WorkerState,
        sent_at_s: float,
        answer: worker_calls.OrderResult,
        now_s: float,
    ) -> bool:
        """Returns whether the known incarnation of a worker can have given an answer.

        If not, the worker has probably restarted. It is asked for a report at once, which fences
        the calls that are on their way to its former incarnation.
        """
        possible = incarnations.compute_clock_range(self._state, worker, sent_at_s, now_s)
        if possible is not None and possible.includes(answer.clock_ms):
            return True
        if not answer.clock_ms:
            return False
        self._suspected_restarts[worker.worker_id] = now_s
        fencing.raise_token(self._state, worker, now_s)
        self._request_report_soon(worker.worker_id)
        self._log.write(
            "answer_of_other_incarnation",
            job=order.task.job_id,
            worker=order.worker_id,
            run=order.number,
            outcome=answer.outcome.value,
            clock_ms=answer.clock_ms,
            least_ms=possible and possible.least_ms,
            most_ms=possible and possible.most_ms,
            born_ms=worker.born_ms,
        )
        return False

    def _handle_start_refusal(
        self,
        order: commands.StartRun,
        run: state.Run,
        worker: state.WorkerState | None,
        outcome: worker_calls.StartOutcome,
        now_s: float,
    ) -> None:
        if worker is not None and outcome is not worker_calls.StartOutcome.LATE:
            worker.unreachable_until_s = now_s + runs.UNREACHABLE_S
        if (order.task, order.number) in self._unknown_starts:
            # An earlier order for the same run may still reach the worker.
            reason = state.StopReason.UNANSWERED
            self._hooks.execute(runs.stop_run(self._state, run, reason, now_s))
            return
        if run.phase is state.RunPhase.ORDERED:
            self.record_refusal(order, outcome.value)

    def send_stop(self, order: commands.StopRun) -> None:
        """Orders a worker to stop a run; an order that is not sent is repeated by the caller."""
        worker = self._state.workers.get(order.worker_id)
        if worker is None or not worker.address or not self._may_act(self._now_s()):
            return
        token = fencing.get_token(self._state, worker)
        self._client.stop(
            worker.address,
            order,
            token,
            lambda outcome: self._handle_stop_result(order, token, outcome),
        )

    def _handle_stop_result(
        self, order: commands.StopRun, token: int, answer: worker_calls.OrderResult
    ) -> None:
        if self._hooks.is_stopped():
            return
        now_s = self._now_s()
        if answer.outcome is worker_calls.StartOutcome.FENCED:
            self._handle_fenced_call(order.worker_id, token)
        elif answer.outcome is worker_calls.StartOutcome.STARTED:
            workers.record_stop_confirmed(self._state, order.task, order.number, now_s)
            run = self._find_run(order)
            if run is not None and run.running_since_s is None:
                self._request_report_soon(order.worker_id)


def _get_report_wait_s(worker: state.WorkerState) -> float:
    return REPORT_WAIT_S if worker.runs else IDLE_REPORT_WAIT_S
