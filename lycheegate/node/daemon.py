"""The node daemon, one process on each VM."""

import os
import random
import signal
import sys
import threading
import time

import werkzeug

from lycheegate.clients import http
from lycheegate.entry import server
from lycheegate.jobs import progress, refusal_switch, state
from lycheegate.metrics import duration_errors, error_log, exposition, histograms, jsonlog
from lycheegate.node import (
    callers,
    feeds,
    holder,
    members,
    node_view,
    peer_calls,
    previews,
    relay,
    scheduler,
    storage,
    store_clock,
    tables,
    terms,
)
from lycheegate.platform import configuration as configurations
from lycheegate.platform import settings as settings_
from lycheegate.platform import store as stores
from lycheegate.platform import workers as worker_calls
from lycheegate.settings import models
from lycheegate.utils import errors, exceptions

__all__ = ["Daemon", "main"]

CLAIM_CHECK_S = 0.15
CLAIM_TIMEOUT_S = 1.0
CALLER_THREADS = 24
READINESS_THREADS = 3
"""One of them may be busy with a preview."""
PEER_THREADS = 16
CONNECTIONS_PER_ORIGIN = 32
"""A VM that relays store calls has the feeds of several peers open in addition to its own."""
CONNECT_TIMEOUT_S = 0.8
METRICS_PATH = "/metrics"
KEY_REVOCATION_MARGIN_S = 1.5
"""Part of the time limit for rejecting revoked keys that allows for late answers of feeds."""
MAX_CONFIRMATION_AGE_S = 3.0
"""Age of the last confirmation of the configuration from which this VM reports not ready."""
DRAIN_S = 3.5
"""Time to keep serving callers while draining. The load balancer needs two checks to see that the
VM is not ready, and callers with open connections need a response that closes these."""
DRAIN_MARGIN_S = 1.0
EXIT_SETTINGS = 2


def read_boottime_s() -> float:
    """Returns seconds on a clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Daemon:
    """Serves callers and peers, follows the store, and schedules while this VM holds the term.

    Args:
        settings: Settings of the node.
        log: Log of decisions.
    """

    def __init__(self, settings: settings_.NodeSettings, log: jsonlog.JsonLog):
        self._settings = settings
        self._log = log
        self._random = random.Random()
        self._client = http.HttpClient(
            limits=http.HttpLimits(
                connections_per_origin=CONNECTIONS_PER_ORIGIN, connect_timeout_s=CONNECT_TIMEOUT_S
            )
        )
        self._feeds: list[feeds.TableFeed] = []
        direct = stores.PlatformStore(self._client, settings.store_address)
        self._store = relay.FallbackStore(
            direct,
            self._client,
            lambda: self._members.list_peers(),
            read_boottime_s,
            self._handle_reachability,
            direct.is_receiving,
        )
        self._members = members.MemberDirectory(
            self._store,
            self._client.call_later,
            settings.node_name,
            "{}:{}".format(*settings.peer_address),
            self._make_error_logger(tables.MEMBERS),
        )
        self._workers = worker_calls.PlatformWorkers(self._client, read_boottime_s)
        self._view = node_view.NodeView()
        self._store_clock = store_clock.StoreClock()
        self._histograms = histograms.Histograms()
        self._duration_errors = duration_errors.DurationErrors()
        self._holder_client = holder.HolderClient(
            self._client,
            settings.node_name,
            self._view.term,
            self._members.find_address,
            self._holds_term,
            read_boottime_s,
            log,
        )
        self._scheduler: scheduler.Scheduler | None = None
        self._claiming = False
        self._stopped = threading.Event()
        self._claim_draw = self._random.random()
        self._application = callers.CallerApplication(
            self._store,
            self._view,
            read_boottime_s,
            time.time,
            log,
            settings.revoke_s - KEY_REVOCATION_MARGIN_S,
            self._notify_scheduler,
            self._query_holder,
            settings.policy.max_row_bytes,
        )
        self._holder_previews = previews.HolderPreviews(
            self._client.call_later,
            lambda: self._scheduler,
            self._holds_term,
            read_boottime_s,
            time.sleep,
            log,
        )
        self._preview_application = previews.PreviewApplication(
            self._view,
            read_boottime_s,
            time.time,
            settings.revoke_s - KEY_REVOCATION_MARGIN_S,
            settings.policy.max_row_bytes,
            self._query_preview,
        )
        self._caller_server = server.CallersServer(
            *settings.callers_address,
            self._application,
            models.LimitSettings(caller_threads=CALLER_THREADS),
        )
        self._readiness_server = server.CallersServer(
            *settings.ready_address,
            self._answer_readiness,
            models.LimitSettings(caller_threads=READINESS_THREADS),
        )
        self._peer_server = server.CallersServer(
            *settings.peer_address,
            peer_calls.PeerApplication(
                direct,
                self._store.reachability,
                self._store.record_peer_outcome,
                self._apply_notified_row,
                peer_calls.TermQueries(
                    self._holds_term, self._find_status, self._holder_previews.answer
                ),
            ),
            models.LimitSettings(caller_threads=PEER_THREADS),
        )

    @property
    def _is_draining(self) -> bool:
        return self._view.drain_ends_s is not None

    def start(self) -> None:
        """Starts the servers and begins to follow the store."""
        self._client.call_later(0.0, self._start_feeds)
        self._readiness_server.start()
        self._peer_server.start()
        self._caller_server.start()
        self._log.write("started", data_centre=self._settings.data_centre)

    def drain(self) -> None:
        """Releases the term, answers pending calls, and stops."""
        began_s = read_boottime_s()
        # Every call must be answered a margin before the process is ended.
        self._view.drain_ends_s = began_s + self._settings.grace_s - DRAIN_MARGIN_S
        self._client.call_later(0.0, self._release_term)
        self._log.write("draining")
        self._stopped.wait(DRAIN_S)
        self._caller_server.stop(max(0.0, self._view.drain_ends_s - read_boottime_s()))
        self._log.write("stopped", after_s=round(read_boottime_s() - began_s, 2))

    def _start_feeds(self) -> None:
        self._feeds = [
            feeds.TableFeed(
                self._store,
                self._client.call_later,
                configurations.TABLE,
                ("",),
                self._apply_operator_rows,
                self._make_error_logger(configurations.TABLE),
                on_answer=self._confirm_operator_view,
                now_s=read_boottime_s,
            ),
            feeds.TableFeed(
                self._store,
                self._client.call_later,
                tables.TERMS,
                (tables.PART,),
                self._apply_term_rows,
                self._make_error_logger(tables.TERMS),
                on_answer=self._locate_answer,
                now_s=read_boottime_s,
            ),
            self._members.feed,
        ]
        for feed in self._feeds:
            feed.start()
        self._check_claim_periodically()

    def _notify_scheduler(self, row: storage.Row) -> None:
        """Notifies the scheduler of a job or a cancellation before its feed delivers the row."""
        if self._scheduler is not None:
            self._apply_notified_row(row)
        else:
            self._holder_client.notify(row)

    def _apply_notified_row(self, row: storage.Row) -> None:
        def apply() -> None:
            if self._scheduler is not None:
                self._scheduler.apply_notified_row(row)

        self._client.call_later(0.0, apply)

    def _holds_term(self, epoch: int) -> bool:
        current = self._scheduler
        return self._claiming or (
            current is not None
            and current.holds_term(epoch, self._store.reachability.is_unreachable)
        )

    def _find_status(self, job_id: str) -> progress.JobStatus | None:
        current = self._scheduler
        return current.find_status(job_id) if current is not None else None

    def _query_holder(self, job_id: str, timeout_s: float) -> progress.JobStatus | None:
        if self._scheduler is not None:
            return self._find_status(job_id)
        return self._holder_client.query_status(job_id, timeout_s)

    def _query_preview(self, account: str, job_id: str, record: bytes) -> peer_calls.PreviewAnswer:
        current = self._scheduler
        if current is not None:
            query = peer_calls.PreviewQuery(current.epoch, account, job_id, record)
            return self._holder_previews.answer(query)
        return self._holder_client.query_preview(account, job_id, record, previews.QUERY_TIMEOUT_S)

    def _handle_reachability(self, is_unreachable: bool) -> None:
        self._log.write("store_lost" if is_unreachable else "store_reached")
        if not is_unreachable:
            self._client.call_later(0.0, self._retry_store_calls)

    def _retry_store_calls(self) -> None:
        """Makes the store calls at once that wait for a retry."""
        for feed in self._feeds:
            feed.retry_now()
        if self._scheduler is not None:
            self._scheduler.retry_store_calls()

    def _make_error_logger(self, table: str):
        def log(error: Exception) -> None:
            self._log.write(
                "feed_failed", table=table, **errors.describe(error).make_fields(str(error))
            )

        return log

    def _apply_operator_rows(
        self, rows: tuple[storage.Row, ...], is_full_table: bool, _: int
    ) -> None:
        """Applies rows that operators have written: the configuration, and evacuations."""
        before = frozenset() if is_full_table else self._view.evacuated
        self._view.evacuated = configurations.apply_evacuation_rows(before, rows)
        self._apply_configuration_rows(rows)

    def _apply_configuration_rows(self, rows: tuple[storage.Row, ...]) -> None:
        for row in rows:
            if row.key.key != configurations.KEY or row.deleted:
                continue
            try:
                configuration = configurations.decode_configuration(row.value)
            except exceptions.ProtocolError as error:
                self._log.write("configuration_unreadable", error=str(error))
                continue
            current = self._view.configuration
            if current is None or configuration.version > current.version:
                self._view.switches = refusal_switch.apply_configuration(
                    self._view.switches, configuration, read_boottime_s()
                )
                self._view.configuration = configuration
                self._log.write("configuration", version=configuration.version, row=row.version)
                for finding in configuration.findings:
                    self._log.write(
                        "configuration_finding", version=configuration.version, finding=finding
                    )
                if self._scheduler is not None:
                    self._scheduler.set_configuration(configuration)

    def _locate_answer(self, sent_at_s: float, clock_ms: int) -> float:
        return store_clock.locate_answer(self._store_clock, sent_at_s, clock_ms, read_boottime_s())

    def _confirm_operator_view(self, sent_at_s: float, clock_ms: int) -> None:
        """Records that the operators' rows were the newest when the store answered."""
        answered_at_s = self._locate_answer(sent_at_s, clock_ms)
        self._view.confirmed_at_s = max(self._view.confirmed_at_s, answered_at_s)
        if self._scheduler is not None:
            self._scheduler.set_evacuations(self._make_evacuations())

    def _make_evacuations(self) -> state.Evacuations:
        return state.Evacuations(self._view.evacuated, self._view.confirmed_at_s)

    def _apply_term_rows(
        self, rows: tuple[storage.Row, ...], is_full_table: bool, clock_ms: int
    ) -> None:
        try:
            terms.apply_rows(self._view.term, rows, read_boottime_s(), clock_ms)
        except exceptions.ProtocolError as error:
            self._log.write("term_unreadable", error=str(error))
        term_holder = self._view.term.holder
        if (
            self._scheduler is not None
            and term_holder
            and term_holder.epoch > self._scheduler.epoch
        ):
            self._scheduler.stop(
                f"another VM holds the term: {term_holder.vm} claimed epoch {term_holder.epoch}"
            )
        if self._view.term.heartbeat is not None and self._view.term.heartbeat.is_released:
            delay_s = terms.RELEASED_JITTER_RATIO * self._compute_claim_jitter_s()
            self._client.call_later(delay_s, self._claim_if_free)

    def _compute_claim_jitter_s(self) -> float:
        cores = self._settings.processor_cores
        return terms.compute_jitter_s(cores, self._claim_draw, self._members.count)

    def _check_claim_periodically(self) -> None:
        try:
            self._claim_if_free()
        finally:
            # An unexpected error must not end the checks, without which this VM claims no term.
            self._client.call_later(CLAIM_CHECK_S, self._check_claim_periodically)

    def _claim_if_free(self) -> None:
        if self._scheduler is not None or self._claiming or self._is_draining:
            return
        if self._view.configuration is None:
            return
        self._holder_client.probe()
        now_s = read_boottime_s()
        if not terms.may_claim(self._view.term, now_s, self._compute_claim_jitter_s()):
            return
        self._claiming = True
        claim_id = tables.make_claim_id(self._settings.node_name)
        term_holder, transaction = terms.make_claim(self._view.term, claim_id, now_s)
        inherited_leases = terms.find_lease_ends(self._view.term, now_s)
        lease_row = terms.find_lease_row(self._view.term)
        self._store.transact(
            transaction,
            CLAIM_TIMEOUT_S,
            lambda outcome: self._handle_claim_result(
                term_holder, now_s, inherited_leases, lease_row, outcome
            ),
        )

    def _handle_claim_result(
        self,
        term_holder: tables.Holder,
        claimed_at_s: float,
        inherited_leases: state.InheritedLeases,
        lease_row: tables.LeaseEnds | None,
        outcome: storage.StoreResult,
    ) -> None:
        self._claiming = False
        holder_version = terms.find_claimed_version(outcome, term_holder)
        if holder_version is None:
            self._log.write("claim_failed", epoch=term_holder.epoch, error=str(outcome.failure()))
            error = outcome.failure()
            if isinstance(error, storage.ConflictError):
                self._apply_term_rows(error.rows, False, 0)
            return
        if self._is_draining:
            return
        self._log.write("claimed", epoch=term_holder.epoch)
        runtime = scheduler.Runtime(
            self._store,
            self._workers,
            self._client.call_later,
            read_boottime_s,
            time.time,
            lambda: terms.estimate_clock_ms(self._view.term, read_boottime_s()),
            lambda at_s: store_clock.compute_latest_ms(self._store_clock, at_s),
            self._log,
            self._histograms,
            self._duration_errors,
        )
        self._scheduler = scheduler.Scheduler(
            runtime,
            self._settings.policy,
            term_holder,
            holder_version,
            claimed_at_s,
            self._view.configuration,
            self._make_evacuations(),
            terms.list_suspects(self._view.term, read_boottime_s()),
            terms.list_departures(self._view.term, read_boottime_s()),
            inherited_leases,
            lease_row,
            self._view.term.durations,
            self._handle_term_end,
        )
        try:
            self._scheduler.start()
        except Exception as error:
            # Otherwise this VM would hold a term in which nothing is scheduled.
            self._scheduler.stop(f"cannot start: {errors.describe(error).format()}")

    def _handle_term_end(self, reason: str) -> None:
        self._log.write("term_ended", epoch=self._scheduler.epoch, reason=reason)
        self._scheduler = None
        self._view.term.changed_at_s = read_boottime_s()

    def _release_term(self) -> None:
        if self._scheduler is not None:
            self._scheduler.release()

    def _format_idle_jobs(self) -> str:
        """Returns the gauges of idle jobs, or nothing at a VM that has not checked any lately."""
        current = self._scheduler
        summary = current.get_idle_summary() if current is not None else None
        if summary is None:
            return ""
        age_s = read_boottime_s() - summary.checked_at_s
        return exposition.format_idle_jobs(summary.jobs, summary.longest_s, summary.reasons, age_s)

    def _answer_readiness(self, environ: dict, start_response):
        if environ.get("PATH_INFO") == METRICS_PATH:
            text = exposition.format_metrics(
                self._log.counts, self._histograms, self._application.refusals.copy()
            )
            text += self._duration_errors.format_metrics()
            text += self._format_idle_jobs()
            return werkzeug.Response(text, mimetype="text/plain")(environ, start_response)
        if environ.get("PATH_INFO") == previews.PATH:
            return self._preview_application(environ, start_response)
        age_s = read_boottime_s() - self._view.confirmed_at_s
        is_ready = (
            self._view.configuration is not None
            and not self._is_draining
            and age_s < MAX_CONFIRMATION_AGE_S
        )
        return werkzeug.Response(status=200 if is_ready else 503)(environ, start_response)


def main() -> int:
    """Runs the daemon until it receives SIGTERM; returns the exit status."""
    try:
        settings = settings_.load_settings()
    except settings_.SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        return EXIT_SETTINGS
    os.set_blocking(jsonlog.STDOUT_FD, False)
    log = jsonlog.JsonLog(settings.node_name, read_boottime_s)
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: log.write("reload_ignored"))
    with error_log.install(error_log.ErrorLog(log)):
        daemon = Daemon(settings, log)
        daemon.start()
        stop_requested.wait()
        daemon.drain()
    return 0
