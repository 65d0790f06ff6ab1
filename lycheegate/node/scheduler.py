"""The scheduler of a VM that holds the term.

Passes events to the decision functions of ``lycheegate.jobs`` and executes the commands that these
return. Except where noted, all functions and callbacks run on the event thread.
"""

import dataclasses
import functools
import random
from collections.abc import Callable

from lycheegate.jobs import (
    boundaries,
    commands,
    data_centres,
    evacuation,
    leases,
    lifecycle,
    model,
    preview,
    progress,
    refusal_switch,
    scheduling,
    state,
    waiting,
    workers,
)
from lycheegate.jobs.durations import encoding, factors
from lycheegate.metrics import duration_errors, histograms, jsonlog
from lycheegate.node import (
    deletion,
    exchange,
    feeds,
    job_rows,
    passes,
    recovery,
    refusals,
    registry,
    storage,
    tables,
    term_rows,
    term_writer,
    terms,
)
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import errors, exceptions

__all__ = ["Runtime", "Scheduler"]

TICK_S = 0.25
MAX_TICK_DELAY_S = 0.5
"""Delay of a tick from which the process was probably suspended. Answers that arrived meanwhile
wait in their sockets, so nothing is concluded from their absence until the next tick."""
REGISTRY_PAUSE_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """Clients, clocks and logs that the daemon provides to the scheduler.

    Attributes:
        store: The store.
        workers: Client of the workers.
        call_later: Runs a function on the event thread after a delay in seconds.
        now_s: Clock that includes time spent suspended.
        wall_s: Time of day, in seconds since 1970.
        store_clock_ms: The store's clock, as estimated from its last answer, or 0.
        latest_store_clock_ms: Latest time that the store's clock can show at a time, or 0.
        log: Log of decisions.
        histograms: Completion and queueing times, by client account and queue.
        duration_errors: Predicted over measured durations.
        jitter: Generator of the random part of the delays between retries.
    """

    store: storage.Store
    workers: worker_calls.PlatformWorkers
    call_later: Callable
    now_s: Callable[[], float]
    wall_s: Callable[[], float]
    store_clock_ms: Callable[[], int]
    latest_store_clock_ms: Callable[[float], int]
    log: jsonlog.JsonLog
    histograms: histograms.Histograms
    duration_errors: duration_errors.DurationErrors
    jitter: random.Random = dataclasses.field(default_factory=random.Random)


class Scheduler:
    """Scheduler during one term.

    Args:
        runtime: Clients, clocks and logs of the daemon.
        policy: Limits.
        holder: The term and this VM's claim of it.
        holder_version: Version of the holder's row.
        claimed_at_s: When the claim was sent. Its answer may be processed much later.
        configuration: Configuration in force, or None.
        evacuations: Data centres that are being evacuated.
        suspects: For how many seconds from now on the last scheduler suspected each worker.
        departures: Departures of workers that the last scheduler knew of.
        inherited_leases: Ends of leases that earlier schedulers have granted.
        lease_row: Row that tells them, which the claim has carried on, or None.
        durations: Record of what earlier schedulers have learned about durations, or nothing.
        on_ended: Called once, with the reason, when the term is lost or released.
    """

    def __init__(
        self,
        runtime: Runtime,
        policy: state.Policy,
        holder: tables.Holder,
        holder_version: int,
        claimed_at_s: float,
        configuration: model.Configuration | None,
        evacuations: state.Evacuations,
        suspects: dict[str, float],
        departures: dict[str, state.AnnouncedDeparture],
        inherited_leases: state.InheritedLeases,
        lease_row: tables.LeaseEnds | None,
        durations: bytes,
        on_ended: Callable[[str], None],
    ):
        self._runtime = runtime
        self._holder = holder
        self._on_ended = on_ended
        self._state = state.SchedulerState(holder.epoch, policy, runtime.now_s())
        self._state.configuration = configuration
        self._state.evacuations = evacuations
        self._state.inherited_suspects = {
            worker_id: self._state.began_at_s + duration_s
            for worker_id, duration_s in suspects.items()
        }
        self._state.inherited_departures = departures
        self._state.inherited_leases = inherited_leases
        self._state.durations = self._decode_durations(durations)
        self._stopped = False
        self._ticked_at_s = runtime.now_s()
        self._loaded = False
        self._has_carried_leases = lease_row is not None
        self._are_workers_known = False
        """Whether the jobs have been loaded and the registry has been read."""
        self._pass_due = False
        self._pass_delay_s = passes.MIN_PASS_DELAY_S
        self._passed_at_s = 0.0
        self._registry = registry.WorkerRegistry(self._log_odd_registration)
        self._deleter = deletion.RecordDeleter(runtime.store, runtime.log, holder_version)
        self._refusal_sweeper = refusals.RefusalSweeper(
            runtime.store,
            runtime.store_clock_ms,
            policy.retention_s,
            lambda: refusal_switch.is_any_on(self._state.configuration),
            runtime.log,
        )
        self._writer = term_writer.TermWriter(
            runtime.store,
            self._state,
            term_rows.TermRows(
                self._state,
                runtime.now_s,
                runtime.wall_s,
                runtime.store_clock_ms,
                runtime.latest_store_clock_ms,
                runtime.log,
                lease_row,
            ),
            holder_version,
            claimed_at_s,
            runtime.now_s,
            runtime.log,
            term_writer.WriterHooks(
                self._execute,
                self._handle_completed_write,
                self.stop,
                self._call_later,
                self._is_stopped,
                lambda: self._loaded,
                lambda: self._are_workers_known,
            ),
        )
        self._job_rows = job_rows.JobRows(
            self._state,
            self._deleter,
            runtime.log,
            runtime.now_s,
            runtime.wall_s,
            self._execute,
            self._is_stopped,
        )
        self._exchange = exchange.WorkerExchange(
            runtime.workers,
            self._state,
            runtime.now_s,
            runtime.log,
            exchange.TermHooks(
                self._execute,
                self._request_pass,
                self.stop,
                self._call_later,
                self._is_stopped,
                lambda: self._writer.renewed_at_s,
            ),
        )
        self._jobs_feed = feeds.TableFeed(
            runtime.store,
            runtime.call_later,
            tables.JOBS,
            [part for _, part in tables.list_job_parts()],
            self._apply_job_rows,
            self._make_error_logger(tables.JOBS),
            wait_s=2.0,
            jitter=runtime.jitter,
        )
        self._registry_feed = feeds.TableFeed(
            runtime.store,
            runtime.call_later,
            worker_calls.REGISTRY_TABLE,
            ("",),
            self._apply_registry_rows,
            self._make_error_logger(worker_calls.REGISTRY_TABLE),
            pause_s=REGISTRY_PAUSE_S,
            jitter=runtime.jitter,
        )

    @property
    def epoch(self) -> int:
        """Number of the term."""
        return self._holder.epoch

    def start(self) -> None:
        """Loads all jobs and starts scheduling."""
        recovery.load_jobs(
            self._runtime.store,
            self._runtime.call_later,
            self._apply_loaded_jobs,
            self._log_load_error,
            self._is_stopped,
        )
        self._tick()

    def _log_load_error(self, error: Exception) -> None:
        fields = errors.describe(error).make_fields(str(error))
        self._runtime.log.write("term_load_failed", **fields)

    def stop(self, reason: str) -> None:
        """Ends the term without writing to the store."""
        if not self._stopped:
            self._stopped = True
            self._jobs_feed.stop()
            self._registry_feed.stop()
            self._on_ended(reason)

    def release(self) -> None:
        """Releases the term so that another VM can claim it at once.

        Nothing more is placed. Work that has been placed is stored and ordered before the term is
        released.
        """
        self._writer.release()

    def retry_store_calls(self) -> None:
        """Makes the store calls at once that wait for a retry."""
        self._jobs_feed.retry_now()
        self._registry_feed.retry_now()
        self._writer.retry_now()

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Applies a newer configuration."""
        self._state.configuration = configuration
        self._state.schedule_due = True
        self._request_pass()

    def set_evacuations(self, evacuations: state.Evacuations) -> None:
        """Applies the data centres to evacuate, or confirms those that are known."""
        now_s = self._runtime.now_s()
        decisions = data_centres.apply_evacuations(self._state, evacuations, now_s)
        if decisions:
            self._execute(decisions)
            self._request_pass()

    def _decode_durations(self, data: bytes) -> factors.DurationModel:
        """Returns the model that earlier schedulers have learned, or an empty one."""
        if not data:
            return factors.DurationModel()
        now_s, clock_ms = self._runtime.now_s(), self._runtime.store_clock_ms()
        try:
            return encoding.decode_model(data, now_s, clock_ms)
        except exceptions.ProtocolError as error:
            self._runtime.log.write(
                "durations_unreadable", epoch=self.epoch, bytes=len(data), error=str(error)
            )
            return factors.DurationModel()

    def _is_stopped(self) -> bool:
        return self._stopped

    def _make_error_logger(self, table: str) -> Callable[[Exception], None]:
        def log(error: Exception) -> None:
            self._runtime.log.write(
                "feed_failed", table=table, **errors.describe(error).make_fields(str(error))
            )

        return log

    def _apply_loaded_jobs(self, loaded: recovery.LoadedJobs) -> None:
        self._state.began_at_s = self._runtime.now_s()
        self._job_rows.apply_loaded(loaded)
        self._loaded = True
        self._jobs_feed.follow_from(loaded.version)
        self._registry_feed.start()
        self._request_pass()

    def _apply_job_rows(self, rows: tuple[storage.Row, ...], is_full_table: bool, _: int) -> None:
        self._job_rows.apply_rows(rows)
        self._request_pass()

    def apply_notified_row(self, row: storage.Row) -> None:
        """Applies a row of the table of jobs that a VM announced before the feed delivered it."""
        if self._loaded and row.key.table == tables.JOBS:
            self._apply_job_rows((row,), False, 0)

    def holds_term(self, epoch: int, is_store_unreachable: bool = False) -> bool:
        """Returns whether this term has the epoch and was renewed recently; for any thread.

        Args:
            epoch: Number of the term.
            is_store_unreachable: Whether the store is unreachable for this VM, so that another VM
                should take over sooner.
        """
        limit_s = (
            terms.MAX_RENEWAL_AGE_WITHOUT_STORE_S
            if is_store_unreachable
            else terms.MAX_RENEWAL_AGE_S
        )
        return epoch == self.epoch and self._runtime.now_s() - self._writer.renewed_at_s < limit_s

    def find_status(self, job_id: str) -> progress.JobStatus | None:
        """Returns the stored status of a job, or None if it is unknown; for any thread."""
        job = self._state.jobs.get(job_id)
        return job.stored_status if job is not None and self._loaded else None

    def get_idle_summary(self) -> state.IdleSummary | None:
        """Returns the summary of the jobs that have nothing running, or None; for any thread."""
        return self._state.idle_jobs.summary

    def prepare_preview(
        self, job_or_id: model.Job | str, account: str
    ) -> tuple[state.SchedulerState, float, float] | None:
        """Returns a copy of the state for a preview, with the times of the scheduler's clocks.

        Returns None until the jobs have been loaded.

        Args:
            job_or_id: A job as it would be accepted now, or the identifier of a job.
            account: Client account that asks. Waiting jobs of others are unknown to it.

        Raises:
            preview.PreviewError: There is no preview for the job.
        """
        if not self._loaded:
            return None
        if isinstance(job_or_id, str):
            known = self._state.jobs.get(job_or_id)
            if known is not None and known.job.account not in (account, ""):
                raise preview.PreviewError(preview.Problem.JOB_UNKNOWN, job_or_id)
        now_s, wall_s = self._runtime.now_s(), self._runtime.wall_s()
        return preview.prepare(self._state, job_or_id, now_s, wall_s), now_s, wall_s

    def _log_odd_registration(self, worker_id: str, reason: str, size_bytes: int) -> None:
        self._runtime.log.write(
            "registration_unreadable",
            worker=worker_id[: job_rows.MAX_LOGGED_KEY],
            reason=reason,
            bytes=size_bytes,
        )

    def _apply_registry_rows(
        self, rows: tuple[storage.Row, ...], is_full_table: bool, _: int
    ) -> None:
        if not self._registry.apply_rows(rows, is_full_table):
            return
        now_s = self._runtime.now_s()
        self._execute(
            workers.apply_registrations(self._state, self._registry.list_registrations(), now_s)
        )
        is_first, self._are_workers_known = not self._are_workers_known, True
        if leases.has_untold_departure(self._state):
            self._writer.renew_soon()
        if is_first and self._has_carried_leases:
            # Until this heartbeat is stored, no lease is granted against the ends carried on.
            self._writer.renew_soon()
            self._writer.write()
        self._exchange.poll_new_workers()
        self._request_pass()

    def _call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        def run() -> None:
            if not self._stopped:
                function()

        self._runtime.call_later(delay_s, run)

    def _request_pass(self, has_changed: bool = True) -> None:
        age_s = self._runtime.now_s() - self._passed_at_s
        if not has_changed and not self._state.schedule_due and age_s < passes.IDLE_PASS_INTERVAL_S:
            return
        if not self._pass_due and self._loaded:
            self._pass_due = True
            self._call_later(self._pass_delay_s, self._run_pass)

    def _run_pass(self) -> None:
        self._pass_due = False
        now_s, wall_s = self._runtime.now_s(), self._runtime.wall_s()
        self._passed_at_s = now_s
        self._run_stage(
            "advance", now_s, lambda: lifecycle.advance_jobs(self._state, now_s, wall_s)
        )
        self._run_stage("evacuate", now_s, lambda: evacuation.evacuate(self._state, now_s))
        if self._state.schedule_due and not self._writer.is_releasing:
            self._run_stage(
                "schedule", now_s, lambda: scheduling.schedule(self._state, now_s, wall_s), True
            )
        self._pass_delay_s = passes.compute_pass_delay_s(self._runtime.now_s() - now_s)
        self._writer.write()

    def _run_stage(
        self,
        stage: str,
        now_s: float,
        function: Callable[[], list[commands.Command]],
        is_repeated: bool = False,
    ) -> None:
        """Executes the commands of a stage; its error must not keep the later ones from running.

        Args:
            stage: Name of the stage, for the log.
            now_s: Time on the scheduler's clock.
            function: The stage.
            is_repeated: Whether it runs again with the next pass if it raises.
        """
        errors: list[commands.Command] = []
        # All jobs wait for such a stage, so it is tried again soon.
        max_retry_s = boundaries.BASE_RETRY_S
        result = boundaries.run_guarded(self._state, (stage,), now_s, function, errors, max_retry_s)
        self._execute(errors + (result or []))
        if result is None and is_repeated:
            self._state.schedule_due = True

    def _tick(self) -> None:
        if self._stopped:
            return
        try:
            self._run_tick()
        finally:
            # An unexpected error must not end the ticks, on which leases and due times depend.
            self._call_later(TICK_S, self._tick)

    def _run_tick(self) -> None:
        now_s = self._runtime.now_s()
        delay_s = now_s - self._ticked_at_s - TICK_S
        self._ticked_at_s = now_s
        if delay_s > MAX_TICK_DELAY_S:
            self._runtime.log.write("tick_delayed", epoch=self.epoch, by_s=round(delay_s, 3))
        if self._loaded:
            if delay_s <= MAX_TICK_DELAY_S:
                self._run_stage("leases", now_s, lambda: leases.check_leases(self._state, now_s))
            self._run_stage("delete", now_s, lambda: self._job_rows.delete_expired(now_s) or [])
            self._run_stage("sweep", now_s, lambda: self._refusal_sweeper.sweep(now_s) or [])
            # Due times, backoffs and the age of reports affect what may start.
            self._state.schedule_due = True
            self._request_pass()
        self._writer.write()
        if self._loaded:
            self._run_stage(
                "waiting",
                now_s,
                lambda: waiting.check_waiting(self._state, now_s, self._runtime.wall_s()),
            )

    def _handle_completed_write(self, orders: list[commands.Command], sent_at_s: float) -> None:
        """Sends the start orders that a write allows."""
        self._exchange.resume_polls()
        if self._runtime.now_s() - sent_at_s > term_writer.TIMEOUT_S:
            # The VM may have been suspended, and another holder may have placed the tasks again.
            for order in orders:
                self._exchange.record_refusal(order, "stale_intention")
            return
        self._execute(orders)

    def _execute(self, command_list: list[commands.Command]) -> None:
        for command in command_list:
            if isinstance(command, commands.Decision):
                self._log_decision(command)
            elif isinstance(command, commands.StartRun):
                send = functools.partial(self._exchange.send_start, command)
                self._send_guarded("start", command.task.job_id, send)
            else:
                send = functools.partial(self._exchange.send_stop, command)
                self._send_guarded("stop", command.task.job_id, send)

    def _send_guarded(self, stage: str, job_id: str, send: Callable[[], None]) -> None:
        """Sends an order; its error must not keep the orders after it from being sent.

        An order that was not sent counts as unanswered, so none is held back for a retry.
        """
        errors: list[commands.Command] = []
        # Without a delay before the next try, the time does not matter.
        boundaries.run_guarded(self._state, (stage, job_id), 0.0, send, errors, max_retry_s=0.0)
        for decision in errors:
            self._log_decision(decision)

    def _log_decision(self, decision: commands.Decision) -> None:
        self._runtime.log.write(decision.event, epoch=self.epoch, **decision.fields)
        self._record_time(decision)

    def _record_time(self, decision: commands.Decision) -> None:
        fields = decision.fields
        if "learned_error" in fields:
            self._runtime.duration_errors.record(fields["declared_error"], fields["learned_error"])
        if decision.event == "job_succeeded":
            kind, duration_s = histograms.Kind.COMPLETION, fields["after_s"]
        elif decision.event == "placed":
            kind, duration_s = histograms.Kind.QUEUEING, fields["waited_s"]
        else:
            return
        job = self._state.jobs[fields["job"]].job
        self._runtime.histograms.record(job.account, job.route, kind, duration_s)
