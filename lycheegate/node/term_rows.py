"""Rows that the holder of the term writes with its heartbeat."""

import dataclasses
from collections.abc import Callable

from lycheegate.jobs import (
    admission,
    boundaries,
    commands,
    evacuation,
    health,
    leases,
    lifecycle,
    load_summary,
    refusal_switch,
    state,
)
from lycheegate.jobs.durations import encoding
from lycheegate.metrics import jsonlog
from lycheegate.node import division, load_row, storage, tables

__all__ = ["TermRows"]

HEARTBEAT_BYTES = 16_000
"""Maximum size of the heartbeat, which is written and sent to all VMs every 0.7 s."""
LOAD_INTERVAL_S = 1.0
"""Minimum time between two writes of the load."""
MAX_UNCHANGED_LOAD_S = 1.8
"""Age from which an unchanged load is written again while work waits, before VMs ignore it."""
DURATIONS_INTERVAL_S = 5.0
"""Interval at which learned durations are written at most. Their row may have 48 KB and is sent to
all VMs."""
DURATIONS_BYTES_PER_S = 4_000
"""Rate at which large rows of learned durations are written at most; a VM has 20 KB/s for all."""
DURATIONS_CHECK_S = 1.0
"""Interval at which they are compared with the row at most, and written again after a failure."""


class TermRows:
    """Heartbeat, and the rows that go with it, of one term.

    These are counts of waiting jobs, the load of services, and what the next holder is to know.

    Args:
        current: State of the scheduler.
        now_s: Clock that includes time spent suspended.
        wall_s: Time of day, in seconds since 1970.
        store_clock_ms: The store's clock, as estimated from its last answer, or 0.
        latest_store_clock_ms: Latest time that the store's clock can show at a time, or 0.
        log: Log of decisions.
        lease_row: Ends of leases that the claim has carried on, or None.
    """

    def __init__(
        self,
        current: state.SchedulerState,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        store_clock_ms: Callable[[], int],
        latest_store_clock_ms: Callable[[float], int],
        log: jsonlog.JsonLog,
        lease_row: tables.LeaseEnds | None = None,
    ):
        self._state = current
        self._now_s = now_s
        self._wall_s = wall_s
        self._store_clock_ms = store_clock_ms
        self._latest_store_clock_ms = latest_store_clock_ms
        self._log = log
        self._written_suspects: set[str] | None = None
        self._written_departures: dict[str, state.AnnouncedDeparture] = {}
        self._written_counts: dict[int, dict[str, int] | None] = {}
        """Counts of waiting jobs in each further row, or None if these may differ."""
        self._omitted_counts = 0
        self._written_durations = encoding.make_snapshot(current.durations, now_s())
        """Estimates in the stored row of durations."""
        self._are_durations_stored = True
        self._are_durations_sent = False
        """Whether durations went with the last heartbeat, whose outcome is not known."""
        self._durations_not_before_s = 0.0
        self._listed_workers: frozenset[str] = frozenset()
        """Workers whose ends of leases went with the last heartbeat that was sent."""
        self._sent_limits: dict[str, float] = {}
        """Limits of leases that went with the last heartbeat that was sent."""
        self._carried = lease_row
        self._withholds_all = False
        """Whether the last heartbeat that was sent tells the ends of the leases of all workers."""
        self._may_list_workers = lease_row is not None
        """Whether the stored row of the ends of leases may tell any."""
        if lease_row is not None:
            current.withheld_leases = frozenset(lease_row.workers)
            current.withholds_all_leases = bool(lease_row.others_ms)
        self._written_load: admission.Load | None = None
        self._load_written_at_s = 0.0
        self._omitted_services = 0

    def make_writes(
        self, release: bool, is_loaded: bool, are_workers_known: bool
    ) -> list[storage.Write]:
        """Returns the writes of the heartbeat and of what has changed beside it.

        Args:
            release: Whether the heartbeat releases the term.
            is_loaded: Whether the jobs of the term have been loaded.
            are_workers_known: Whether the registry has been read as well.
        """
        clock_ms = self._store_clock_ms()
        return [
            *self._make_heartbeat_writes(release, clock_ms),
            *self._make_suspects_write(is_loaded),
            *self._make_departures_write(is_loaded, clock_ms),
            *self._make_leases_write(release, are_workers_known, clock_ms),
            *self._make_guarded(
                "load_row", lambda: self._make_load_write(release, is_loaded, clock_ms)
            ),
            *self._make_guarded("durations_row", lambda: self._make_durations_write(clock_ms)),
        ]

    def _make_guarded(
        self, stage: str, make: Callable[[], list[storage.Write]]
    ) -> list[storage.Write]:
        """Returns the write of a row without which the term goes on, or nothing if that raises.

        An error in what is learned or summarised must not keep the heartbeat, and with it all
        progress, from being written.
        """
        errors: list[commands.Command] = []
        # It is tried with each heartbeat, so the time does not matter.
        result = boundaries.run_guarded(self._state, (stage,), 0.0, make, errors, max_retry_s=0.0)
        for decision in errors:
            self._log.write(decision.event, epoch=self._state.epoch, **decision.fields)
        return result or []

    def handle_stored(self) -> None:
        """Lets leases be granted again to workers that the stored heartbeat does not list."""
        self._are_durations_sent = False
        self._may_list_workers = bool(
            self._listed_workers or self._sent_limits or self._withholds_all
        )
        self._state.lease_limits = self._sent_limits
        self._state.withheld_leases = self._listed_workers
        self._state.withholds_all_leases = self._withholds_all

    def handle_failure(self) -> None:
        """Lets the next writes include all rows, as the last ones may not have been stored."""
        self._written_suspects = None
        self._written_departures = {}
        if self._are_durations_sent:
            self._are_durations_sent = self._are_durations_stored = False
            self._durations_not_before_s = self._now_s() + DURATIONS_CHECK_S
        self._written_counts = dict.fromkeys(self._written_counts)
        self._written_load = None

    def _make_heartbeat_writes(self, release: bool, clock_ms: int) -> list[storage.Write]:
        """Returns the writes of the heartbeat and of the counts that have no room in it."""
        pending = division.divide_entries(
            sorted(lifecycle.count_pending(self._state).items()),
            HEARTBEAT_BYTES,
            self._state.policy.max_row_bytes,
            1 + tables.MAX_COUNT_ROWS,
        )
        if pending.omitted != self._omitted_counts:
            self._omitted_counts = pending.omitted
            self._log.write("counts_omitted", queues=pending.omitted)
        first, *others = pending.rows
        heartbeat = tables.Heartbeat(self._state.epoch, release, first, clock_ms)
        result = [storage.Write(tables.HEARTBEAT, tables.encode_heartbeat(heartbeat))]
        # Rows that are not needed any more are emptied.
        others += [{}] * (len(self._written_counts) - len(others))
        for number, counts in enumerate(others):
            if self._written_counts.get(number) != counts:
                self._written_counts[number] = counts
                data = tables.encode_counts(tables.PendingCounts(self._state.epoch, counts))
                result.append(storage.Write(tables.get_counts_key(number), data))
        return result

    def _make_suspects_write(self, is_loaded: bool) -> list[storage.Write]:
        """Returns the write of the suspected workers, if others are suspected than were written."""
        suspects = health.list_suspects(self._state, self._now_s())
        clock_ms = self._store_clock_ms()
        if not clock_ms or not is_loaded or suspects.keys() == self._written_suspects:
            return []
        self._written_suspects = set(suspects)
        until_ms = {w: clock_ms + int(1000.0 * s) for w, s in suspects.items()}
        return [storage.Write(tables.SUSPECTS, tables.encode_suspects(until_ms))]

    def _make_departures_write(self, is_loaded: bool, clock_ms: int) -> list[storage.Write]:
        """Returns the write of the announced departures, if any differ from those written.

        Those of workers that have left or have no runs any more are harmless, so nothing is written
        only to remove them.
        """
        departures = evacuation.list_departures(self._state)
        if not clock_ms or not is_loaded or departures.items() <= self._written_departures.items():
            return []
        self._written_departures = departures
        now_s = self._now_s()
        entries = {
            worker_id: tables.Departure(
                max(0, clock_ms + int(1000.0 * (departure.leaves_at_s - now_s))),
                max(0, round(1000.0 * departure.remaining_s)),
                departure.born_ms,
            )
            for worker_id, departure in departures.items()
        }
        return [storage.Write(tables.DEPARTURES, tables.encode_departures(entries))]

    def _make_durations_write(self, clock_ms: int) -> list[storage.Write]:
        """Returns the write of the learned durations, if some have changed since the last one."""
        now_s = self._now_s()
        if not clock_ms or now_s < self._durations_not_before_s:
            return []
        model = self._state.durations
        durations = encoding.make_snapshot(model, now_s)
        has_changed = encoding.has_changed(self._written_durations, durations)
        if self._are_durations_stored and not has_changed:
            self._durations_not_before_s = now_s + DURATIONS_CHECK_S
            return []
        self._written_durations = durations
        self._are_durations_stored = self._are_durations_sent = True
        max_bytes = self._state.policy.max_row_bytes
        data = encoding.encode_model(model, now_s, clock_ms, max_bytes)
        interval_s = max(DURATIONS_INTERVAL_S, len(data) / DURATIONS_BYTES_PER_S)
        self._durations_not_before_s = now_s + interval_s
        return [storage.Write(tables.DURATIONS, data)]

    def _make_leases_write(
        self, release: bool, are_workers_known: bool, clock_ms: int
    ) -> list[storage.Write]:
        """Returns the write of the ends of leases, and withholds further leases that it rules out.

        A row from before the heartbeat does not count, so none is written if nothing is known. One
        that names workers is emptied all the same, as the estimate of the store's clock may recur.
        Before the registry is read, no lease is granted, so what earlier terms tell still holds.
        Workers that are still there cannot be told from those that have left until then, and to
        list them all would withhold their leases until the next heartbeat.
        """
        self._listed_workers = frozenset()
        self._sent_limits = {}
        self._withholds_all = release
        now_s = self._now_s()
        if not are_workers_known:
            return self._make_carried_write(clock_ms)
        if not clock_ms or not self._latest_store_clock_ms(now_s):
            return []
        ends = leases.list_lease_ends(self._state, now_s, release)
        departed = frozenset(ends.workers)
        limits = {} if release else leases.list_lease_limits(self._state, now_s, departed)
        if not departed and not limits and not release and not self._may_list_workers:
            return []
        self._may_list_workers = True
        latest_ms = {
            w: self._latest_store_clock_ms(end_s) for w, end_s in (ends.workers | limits).items()
        }
        others_ms = 0 if ends.others_s is None else self._latest_store_clock_ms(ends.others_s)
        self._listed_workers = departed
        self._sent_limits = limits
        # Any row that was sent may be the one that is stored, until a later one certainly is.
        earlier = self._state.lease_limits
        self._state.lease_limits = earlier | {
            w: min(limit_s, earlier.get(w, limit_s)) for w, limit_s in limits.items()
        }
        self._state.withheld_leases |= self._listed_workers
        self._state.withholds_all_leases |= release
        row = tables.LeaseEnds(self._state.epoch, clock_ms, latest_ms, others_ms)
        return [storage.Write(tables.LEASES, tables.encode_lease_ends(row))]

    def _make_carried_write(self, clock_ms: int) -> list[storage.Write]:
        """Returns the write of the ends of leases of earlier terms."""
        if self._carried is None or not clock_ms:
            return []
        self._listed_workers = frozenset(self._carried.workers)
        self._withholds_all |= bool(self._carried.others_ms)
        row = dataclasses.replace(self._carried, epoch=self._state.epoch, sent_at_ms=clock_ms)
        return [storage.Write(tables.LEASES, tables.encode_lease_ends(row))]

    def _make_load_write(
        self, release: bool, is_loaded: bool, clock_ms: int
    ) -> list[storage.Write]:
        """Returns the write of the load if it has changed, or would become too old to count.

        The load of a released term does not count, and one without waiting work refuses nothing
        however old it is. It is not even summarised where no queue refuses late jobs.
        """
        if not refusal_switch.is_any_on(self._state.configuration):
            return []
        now_s = self._now_s()
        age_s = now_s - self._load_written_at_s
        if release or not is_loaded or not clock_ms or age_s < LOAD_INTERVAL_S:
            return []
        load, omitted = load_row.divide_load(
            load_summary.summarise_load(self._state, now_s, self._wall_s())
        )
        if omitted != self._omitted_services:
            self._omitted_services = omitted
            self._log.write("load_omitted", services=omitted)
        has_waiting_work = any(service.has_waiting_work for service in load.values())
        is_needed = has_waiting_work or self._may_refuse()
        is_current = load == self._written_load and age_s < MAX_UNCHANGED_LOAD_S
        if not is_needed or is_current:
            return []
        self._written_load, self._load_written_at_s = load, now_s
        row = load_row.LoadRow(self._state.epoch, clock_ms, load)
        return [storage.Write(tables.LOAD, load_row.encode_load(row))]

    def _may_refuse(self) -> bool:
        """Returns whether the row that was last written holds waiting work, or may do so."""
        written = self._written_load
        if written is None:
            return self._load_written_at_s > 0.0
        return any(service.has_waiting_work for service in written.values())
