"""Exchange with the workers during a term: reports, leases and orders.

Everything runs on the event thread.
"""

import dataclasses
from collections.abc import Callable

from returns import result

from lycheegate.jobs import commands, model, runs, state, workers
from lycheegate.metrics import jsonlog
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

__all__ = ["TermHooks", "WorkerExchange"]

REPORT_WAIT_S = 1.0
REPORT_RETRY_S = 0.3
MAX_RENEWAL_AGE_S = 2.5
"""Age of a worker's last report above which its lease is not renewed. Calls whose answers are
lost may still arrive, so renewing a silent worker's lease would keep its runs alive unseen."""
UNKEPT_END_PAUSE_S = 0.4
"""Workers answer at once while they list ends, so a report waits until the ends are durable, and
for this time if the store is away."""


@dataclasses.dataclass(frozen=True, slots=True)
class TermHooks:
    """What the exchange uses of the term's holder.

    Attributes:
        carry_out: Carries out commands.
        request_pass: Asks for a scheduling pass.
        end_term: Ends the term, with the reason.
        call_later: Runs a function after a delay in seconds, unless the term has ended.
        is_stopped: Returns whether the term has ended.
        get_renewed_at_s: Returns when the term was last renewed.
    """

    carry_out: Callable[[list[commands.Command]], None]
    request_pass: Callable[[], None]
    end_term: Callable[[str], None]
    call_later: Callable[[float, Callable[[], None]], None]
    is_stopped: Callable[[], bool]
    get_renewed_at_s: Callable[[], float]


class WorkerExchange:
    """Calls to all workers in one term.

    Args:
        client: Client of the workers.
        current: State of the scheduler.
        now_s: Clock that goes on while the VM is suspended.
        log: Log of decisions.
        hooks: The term's holder.
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
        self._unkept: set[str] = set()
        self._unknown_starts: set[tuple[model.TaskKey, int]] = set()

    def poll_new_workers(self) -> None:
        """Begins to ask workers that are not asked yet."""
        for worker_id in list(self._state.workers):
            if worker_id not in self._polled:
                self._polled.add(worker_id)
                self._poll(worker_id, 0.0)

    def resume_polls(self) -> None:
        """Asks workers again whose ends have become durable."""
        for worker_id in list(self._unkept):
            worker = self._state.workers.get(worker_id)
            if worker is None or worker.durable_end >= worker.processed_end:
                self._resume_poll(worker_id)

    def _poll(self, worker_id: str, wait_s: float) -> None:
        """Asks a worker what it runs, and renews the lease of that."""
        worker = self._state.workers.get(worker_id)
        if self._hooks.is_stopped() or worker is None:
            self._polled.discard(worker_id)
            return
        now_s = self._now_s()
        if now_s - self._hooks.get_renewed_at_s() > self._state.policy.handover_s:
            # The next holder counts on this holder to renew no lease for longer.
            self._hooks.call_later(REPORT_RETRY_S, lambda: self._poll(worker_id, 0.0))
            return
        deadline_ms = None
        if now_s - worker.reported_at_s < MAX_RENEWAL_AGE_S:
            deadline_ms = workers.compute_deadline_ms(self._state, worker, now_s)
        if deadline_ms is not None:
            workers.record_deadline(self._state, worker, deadline_ms)
        self._client.report(
            worker.address,
            worker_id,
            self._state.epoch,
            worker.durable_end,
            deadline_ms,
            wait_s,
            lambda outcome: self._take_report(worker_id, outcome),
        )

    def _take_report(self, worker_id: str, outcome: result.Result) -> None:
        if self._hooks.is_stopped():
            return
        if not isinstance(outcome, result.Success):
            self._take_report_error(worker_id, outcome.failure())
            return
        worker = self._state.workers.get(worker_id)
        was_confirmed = worker is not None and worker.confirmed
        self._hooks.carry_out(workers.apply_report(self._state, outcome.unwrap()))
        self._hooks.request_pass()
        if worker is None or not was_confirmed:
            self._poll(worker_id, 0.0)
            return
        if worker.processed_end > worker.durable_end:
            self._unkept.add(worker_id)
            self._hooks.call_later(UNKEPT_END_PAUSE_S, lambda: self._resume_poll(worker_id))
            return
        self._poll(worker_id, REPORT_WAIT_S)

    def _resume_poll(self, worker_id: str) -> None:
        """Asks a worker again whose ends were not durable at its last report."""
        if worker_id in self._unkept:
            self._unkept.discard(worker_id)
            self._poll(worker_id, REPORT_WAIT_S)

    def _take_report_error(self, worker_id: str, error: Exception) -> None:
        worker = self._state.workers.get(worker_id)
        if isinstance(error, exceptions.FencedError):
            self._hooks.end_term(f"fenced by {worker_id}")
        elif isinstance(error, worker_calls.WrongIncarnationError) and worker is not None:
            self._lose_worker(worker)
        elif not isinstance(error, exceptions.OutcomeUnknownError | exceptions.UnavailableError):
            self._log.write("report_failed", worker=worker_id, error=str(error))
        self._hooks.call_later(REPORT_RETRY_S, lambda: self._poll(worker_id, 0.0))

    def _lose_worker(self, worker: state.WorkerState) -> None:
        """Handles an endpoint at which another worker answers: this one is gone."""
        now_s = self._now_s()
        worker.registered = False
        for run in list(worker.runs.values()):
            if run.phase is not state.RunPhase.INTENDED:
                self._hooks.carry_out(
                    runs.end_run(self._state, run, runs.End.INTERRUPTED, "worker_replaced", now_s)
                )
        self._hooks.request_pass()

    def _find_run(self, order: commands.StartRun | commands.StopRun) -> state.Run | None:
        step = runs.find_step(self._state, order.task)
        run = step.runs.get(order.task.index) if step else None
        return run if run is not None and run.number == order.number else None

    def send_start(self, order: commands.StartRun) -> None:
        """Orders a run whose intention is durable."""
        worker = self._state.workers.get(order.worker_id)
        run = self._find_run(order)
        if run is None or run.phase is not state.RunPhase.ORDERED:
            return
        now_s = self._now_s()
        deadline_ms = worker and workers.compute_deadline_ms(self._state, worker, now_s)
        if worker is None or not deadline_ms:
            self.refuse(order, "worker_unknown")
            return
        workers.record_deadline(self._state, worker, deadline_ms)
        self._client.start(
            worker.address,
            order,
            self._state.epoch,
            deadline_ms,
            lambda outcome: self._take_started(order, outcome),
        )

    def refuse(self, order: commands.StartRun, reason: str) -> None:
        """Handles an order that certainly had no effect."""
        run = self._find_run(order)
        if run is not None:
            now_s = self._now_s()
            self._hooks.carry_out(runs.handle_refused_start(self._state, run, reason, now_s))
            self._hooks.request_pass()

    def _take_started(self, order: commands.StartRun, answer: worker_calls.OrderResult) -> None:
        if self._hooks.is_stopped():
            return
        now_s = self._now_s()
        worker = self._state.workers.get(order.worker_id)
        run = self._find_run(order)
        if worker is not None and answer.clock_ms:
            workers.update_clock(worker, answer.clock_ms, now_s)
        outcome = answer.outcome
        key = (order.task, order.number)
        if outcome is worker_calls.StartOutcome.FENCED:
            self._hooks.end_term(f"fenced by {order.worker_id}")
        elif outcome is worker_calls.StartOutcome.UNKNOWN:
            self._unknown_starts.add(key)
            # The same order again is safe, and settles what became of the first.
            self._hooks.call_later(0.0, lambda: self.send_start(order))
        elif run is None:
            return
        elif outcome is worker_calls.StartOutcome.STARTED:
            self._unknown_starts.discard(key)
            if run.phase is state.RunPhase.ORDERED:
                runs.record_start_confirmed(self._state, run, now_s)
        elif outcome is worker_calls.StartOutcome.OLD_RUN:
            # It has run and ended, or was stopped; the next report tells.
            if run.phase is state.RunPhase.ORDERED:
                run.confirmed_at_s = now_s
        elif outcome is worker_calls.StartOutcome.WRONG_INCARNATION:
            if worker is not None:
                self._lose_worker(worker)
        else:
            self._take_refusal(order, run, worker, outcome, now_s)

    def _take_refusal(
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
            # An earlier order for the same run may still be carried out.
            self._hooks.carry_out(runs.stop_run(self._state, run, now_s))
            return
        if run.phase is state.RunPhase.ORDERED:
            self.refuse(order, outcome.value)

    def send_stop(self, order: commands.StopRun) -> None:
        """Orders the end of a run."""
        worker = self._state.workers.get(order.worker_id)
        if worker is None or not worker.address:
            return
        self._client.stop(
            worker.address,
            order,
            self._state.epoch,
            lambda outcome: self._take_stopped(order, outcome),
        )

    def _take_stopped(self, order: commands.StopRun, answer: worker_calls.OrderResult) -> None:
        if self._hooks.is_stopped():
            return
        now_s = self._now_s()
        if answer.outcome is worker_calls.StartOutcome.FENCED:
            self._hooks.end_term(f"fenced by {order.worker_id}")
        elif answer.outcome is worker_calls.StartOutcome.STARTED:
            workers.record_stop_confirmed(self._state, order.task, order.number, now_s)
