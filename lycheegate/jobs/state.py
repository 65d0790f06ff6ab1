"""State of the job scheduler during one term.

It holds the jobs that have not expired, the workers, and the runs of tasks on them. ``progress``
encodes the part that must survive the term; the rest is restored from the reports of the workers.
"""

import dataclasses
import enum

from lycheegate.jobs import headroom, model, shares
from lycheegate.jobs.durations import factors

__all__ = [
    "AnnouncedDeparture",
    "CountedCrash",
    "MAX_BATCH_JOBS",
    "DeclinedUnit",
    "EndSource",
    "Evacuations",
    "FailureWave",
    "IdleJob",
    "IdleJobs",
    "Incarnation",
    "InheritedLeases",
    "JobState",
    "JobStatus",
    "Policy",
    "PreemptionBudget",
    "PreemptionMemory",
    "Reservation",
    "ReservationKey",
    "Run",
    "RunPhase",
    "SchedulerState",
    "StageError",
    "StepKey",
    "StepState",
    "StopReason",
    "UnknownCancellation",
    "WorkerState",
    "get_route",
    "iterate_open_jobs",
]

StepKey = tuple[int, int]
"""Occurrence and step number within a job."""
MAX_BATCH_JOBS = 40
"""Maximum number of jobs in one transaction; each takes a condition and a write out of the 100
entries that a transaction may have."""
EndSource = tuple[str, int]
"""Worker that numbers ends of runs, and its incarnation in milliseconds since 1970."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits that the decisions use; times in seconds.

    Attributes:
        lease_s: Duration of the lease on the runs of a worker, renewed with each report.
        max_lease_s: Longest lease that workers grant.
        clock_slowness_ratio: Maximum ratio by which a worker's clock runs slower than true time.
        stop_s: Maximum time that a worker takes to stop a run.
        restore_s: Time that a worker needs to resume a run from a checkpoint.
        report_stale_s: Age of its last report above which a worker gets no new work.
        order_timeout_s: Time after which the scheduler stops a run whose start order was not
            answered.
        stop_retry_s: Time after which an unconfirmed stop order is sent again.
        reservation_s: How long room is reserved for a blocked gang.
        retention_s: How long the status of ended jobs is kept for callers.
        handover_s: How long after its last renewal of the term the previous scheduler may have
            renewed leases of runs.
        max_row_bytes: Maximum size of a row in the store.
        max_operator_view_age_s: Age of the last confirmation of the operators' requests from which
            nothing is started, or None where data centres are not evacuated.
        far_factor: Factor of the duration of a run outside the rack of its data, or in a gang that
            spans racks although it should not.
    """

    lease_s: float = 5.0
    max_lease_s: float = 6.0
    clock_slowness_ratio: float = 0.02
    stop_s: float = 0.2
    restore_s: float = 0.1
    report_stale_s: float = 2.5
    order_timeout_s: float = 1.5
    stop_retry_s: float = 0.5
    reservation_s: float = 20.0
    retention_s: float = 150.0
    handover_s: float = 8.0
    max_row_bytes: int = 49_152
    max_operator_view_age_s: float | None = None
    far_factor: float = 3.0


class RunPhase(enum.IntEnum):
    """Phase of a run of a task."""

    INTENDED = 0
    """Placed, but the intention is not yet durable and no start order was sent."""
    ORDERED = 1
    """The start order may have been sent, by this scheduler or by that of an earlier term, but the
    worker has not confirmed it."""
    RUNNING = 2
    STOPPING = 3
    """To be stopped; its room stays allocated until its worker no longer lists it."""


class StopReason(enum.StrEnum):
    """Why the scheduler stops a run."""

    PREEMPTED = "preempted"
    EVACUATED = "evacuated"
    CANCELLED = "cancelled"
    JOB_FAILED = "job_failed"
    GANG_ENDED = "gang_ended"
    """Another member of its gang ended or was refused."""
    UNANSWERED = "unanswered"
    """Its start order was not answered."""
    SUPERSEDED = "superseded"
    """An earlier run of the task has succeeded."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    Attributes:
        task: The task.
        worker_id: Worker that it was placed on.
        number: Number of the run; increases with each run of the task.
        need: Resources that it uses.
        phase: Its phase.
        phase_began_at_s: When the phase began.
        percent: Progress that the worker last reported, 0 to 100.
        advanced_at_s: When the progress last changed.
        checkpoint: Last checkpoint that the worker reported, or an empty string.
        confirmed_at_s: When the worker confirmed the last order for the run, or None. Only a
            report that was requested after this can prove that the run is absent.
        stop_sent_at_s: When the last stop order was sent, or None.
        stop_reason: Why it was stopped, or None.
        running_since_s: When its worker confirmed its start, or None.
        start_sent_at_s: When this scheduler last sent a start order for it, or None.
        awaits_answer: Whether the last start order that was sent for it is still to be answered.
        unanswered_until_s: Until when a start order for it that was not answered may be carried
            out, or None if none may.
        unverified_until_s: Until when an incarnation of the worker that is not known yet may have
            carried out a start order for it, or None if none may have.
        baseline_percent: Progress from which its speed is measured, or None until it is known.
        baseline_at_s: When that progress was reported, or None for the start of the phase.
        worker_born_ms: Incarnation of the worker that it was placed on, or that has listed it, in
            milliseconds since 1970, or 0 if unknown.
        may_have_started: Whether its worker was lost so soon after the order for the run that the
            run may be the cause, although its start was not confirmed.
        has_survived: Whether its worker has listed it long enough after its start that it is not
            the cause of a later crash.
        awaits_first_report: Whether it comes from the records of an earlier term, and its worker
            has not listed it since. This scheduler has sent no start order for it.
        was_recovered: Whether it comes from the records of an earlier term, so that its start is
            not known.
        predicted_s: Predicted duration of the task on its worker when it was placed, or 0.
        was_observed: Whether its duration has been learned from, its gang's for a gang.
        had_end_observed: Whether the same has been done at its end.
    """

    task: model.TaskKey
    worker_id: str
    number: int
    need: model.Resources
    phase: RunPhase
    phase_began_at_s: float
    percent: int = 0
    advanced_at_s: float = 0.0
    checkpoint: str = ""
    confirmed_at_s: float | None = None
    stop_sent_at_s: float | None = None
    stop_reason: StopReason | None = None
    running_since_s: float | None = None
    start_sent_at_s: float | None = None
    awaits_answer: bool = False
    unanswered_until_s: float | None = None
    unverified_until_s: float | None = None
    baseline_percent: int | None = 0
    baseline_at_s: float | None = None
    worker_born_ms: int = 0
    may_have_started: bool = False
    has_survived: bool = False
    awaits_first_report: bool = False
    was_recovered: bool = False
    predicted_s: float = 0.0
    was_observed: bool = False
    had_end_observed: bool = False


@dataclasses.dataclass(slots=True)
class StepState:
    """Progress of a step in one occurrence; tasks are identified by their index in the step.

    Attributes:
        key: Occurrence and step number.
        step: The step.
        done: Tasks that have succeeded.
        failures: Number of failed runs of each task; failures of a gang count for task 0.
        run_numbers: Number of the last run of each task.
        runs: Current run of each task, while it may exist on a worker.
        checkpoints: Last checkpoint of each task.
        avoided_workers: Workers on which a task of the step has failed.
        not_before_s: Earliest time of the next start, after a failed or refused run.
        last_failed_number: Number of the last run that was counted as failed; failed runs of
            several members of a gang count once.
        ready_since_s: When its tasks could first start, or None.
        crash_weights: Sum of the weights of the crashes of workers that each task may have caused;
            those of a gang count for task 0.
        last_crashed_numbers: Number of the last run of each task for which a crash was counted.
        crashed_workers: Workers that have crashed under each task during this term.
        wave: Its tasks whose durations were observed first, or None before that.
        preempted_at_s: When each task was last preempted during this term; for a gang, task 0.
        absent_since_s: When each task without a run was first found to have none during this term,
            in a step that lasts.
    """

    key: StepKey
    step: model.Step
    done: set[int] = dataclasses.field(default_factory=set)
    failures: dict[int, int] = dataclasses.field(default_factory=dict)
    run_numbers: dict[int, int] = dataclasses.field(default_factory=dict)
    runs: dict[int, Run] = dataclasses.field(default_factory=dict)
    checkpoints: dict[int, str] = dataclasses.field(default_factory=dict)
    avoided_workers: set[str] = dataclasses.field(default_factory=set)
    not_before_s: float = 0.0
    last_failed_number: int = 0
    ready_since_s: float | None = None
    crash_weights: dict[int, int] = dataclasses.field(default_factory=dict)
    last_crashed_numbers: dict[int, int] = dataclasses.field(default_factory=dict)
    crashed_workers: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    wave: factors.Wave | None = None
    preempted_at_s: dict[int, float] = dataclasses.field(default_factory=dict)
    absent_since_s: dict[int, float] = dataclasses.field(default_factory=dict)

    @property
    def is_done(self) -> bool:
        """Whether all tasks have succeeded."""
        return len(self.done) >= self.step.count

    def get_counted_index(self, index: int) -> int:
        """Returns the task for which failures and crashes of a task count; 0 for a gang."""
        return 0 if self.step.gang else index

    def compute_waited_s(self, now_s: float) -> float:
        """Returns for how long tasks have been ready to start, or 0 if none is."""
        return 0.0 if self.ready_since_s is None else now_s - self.ready_since_s

    def list_unplaced(self) -> list[int]:
        """Returns the tasks that have neither succeeded nor a run that may exist on a worker."""
        if self.is_done:
            return []
        return [i for i in range(self.step.count) if i not in self.done and i not in self.runs]


@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """Status of a job as callers see it.

    Attributes:
        outcome: How the job ended, or None.
        started: Whether any of its tasks was ever placed.
    """

    outcome: model.Outcome | None
    started: bool


@dataclasses.dataclass(slots=True)
class JobState:
    """A job and its progress.

    Attributes:
        job: The job as it was accepted.
        route: Its queue as it was when the job was accepted.
        version: Version of its progress record in the store, or 0 if there is none.
        stored_pages: Number of pages of that record; the highest that is possible while the outcome
            of a write is unknown.
        accepted_version: Version of its record of acceptance in the store.
        stored_status: Status according to the stored progress record, which callers see.
        steps: Steps of the open occurrences.
        outcome: How it ended, or None.
        cancelled: Whether its caller has cancelled it before it ended.
        has_cancellation: Whether the store holds a cancellation of it.
        started: Whether any of its tasks was ever placed.
        next_occurrence: First occurrence that was not opened yet.
        dirty: Whether its progress has changed since it was last written.
        ended_at_s: When it ended, or when this scheduler loaded it as ended, on the scheduler's
            clock.
        delete_not_before_s: Time before which its records are not deleted; infinite while they are
            being deleted.
        unstored_ends: First end of a run whose effect is not stored yet, by worker and its
            incarnation.
        written_at_s: When its progress was last written, on the scheduler's clock.
        write_not_before_s: Time before which its progress is not written, on the scheduler's clock.
        rejections: Number of times in a row that the store rejected its progress.
        max_batch_jobs: Maximum number of jobs in a batch that holds its progress.
        ran_until_s: When a confirmed run of it last ended or was ordered to stop during this term,
            or 0 if none did.
        step_effects: Effects of its steps on durations, by number of the step.
    """

    job: model.Job
    route: model.Route
    version: int = 0
    stored_pages: int = 0
    accepted_version: int = 0
    stored_status: JobStatus = JobStatus(None, False)
    steps: dict[StepKey, StepState] = dataclasses.field(default_factory=dict)
    outcome: model.Outcome | None = None
    cancelled: bool = False
    has_cancellation: bool = False
    started: bool = False
    next_occurrence: int = 0
    dirty: bool = False
    ended_at_s: float | None = None
    delete_not_before_s: float = 0.0
    unstored_ends: dict[EndSource, int] = dataclasses.field(default_factory=dict)
    written_at_s: float = 0.0
    write_not_before_s: float = 0.0
    rejections: int = 0
    max_batch_jobs: int = MAX_BATCH_JOBS
    ran_until_s: float = 0.0
    step_effects: dict[int, factors.Effect] = dataclasses.field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Whether its tasks may still be started."""
        return self.outcome is None and not self.cancelled

    def end(self, outcome: model.Outcome, now_s: float) -> None:
        """Records how the job has ended, which is written without a delay."""
        self.outcome = outcome
        self.ended_at_s = now_s
        self.dirty = True
        self.write_not_before_s = 0.0

    def list_runs(self) -> list[Run]:
        """Returns all runs that may exist on workers."""
        return [run for step in self.steps.values() for run in step.runs.values()]


@dataclasses.dataclass(slots=True)
class Incarnation:
    """What is known of one incarnation of a worker; a restart replaces it as a whole.

    Attributes:
        born_ms: Its start in milliseconds since 1970, or 0 if unknown.
        known_since_s: When it became known that the worker had restarted, or 0 if it has not since
            this scheduler knows it.
        confirmed: Whether it has reported to this scheduler.
        clock_ms: Its clock in its last report.
        clock_sent_at_s: When that report was requested.
        clock_at_s: When that report was received.
        listed_clock_ms: Its clock when it made the latest list of its runs.
        max_deadline_ms: Latest lease deadline that was sent to it, on its clock.
        deadlines_recorded: Number of changes of that deadline.
        least_expiry_s: When the leases have expired that it may have granted on calls which were
            meant for the former incarnation, or 0 if there was none.
        processed_end: Number of the last end of a run that was processed.
        durable_end: Number of the last end of a run whose effect is durable.
    """

    born_ms: int = 0
    known_since_s: float = 0.0
    confirmed: bool = False
    clock_ms: int = 0
    clock_sent_at_s: float = 0.0
    clock_at_s: float = 0.0
    listed_clock_ms: int = 0
    max_deadline_ms: int = 0
    deadlines_recorded: int = 0
    least_expiry_s: float = 0.0
    processed_end: int = 0
    durable_end: int = 0


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker.

    Attributes:
        worker_id: Its identifier.
        service: Service (pool of workers) that it belongs to.
        address: Address of its endpoint.
        data_centre: Its data centre.
        rack: Its rack.
        labels: Labels that steps may require.
        capacity: Its total resources.
        room: Resources that are certainly free: its capacity without all runs that may exist.
        draining: Whether it gets no new work because it is leaving.
        leaves_at_s: Earliest time at which it leaves, or None if unknown.
        registered_remaining_s: Time until it leaves according to its last registration, or None.
        registered: Whether the registry lists it.
        incarnation: What is known of its present incarnation.
        token_raises: How often the fencing token of its calls was raised during this term.
        token_raised_at_s: When it was last raised, or None if it was not.
        registered_born_ms: Start of its incarnation according to its last registration, in
            milliseconds since 1970, or 0 if unknown.
        runs: Current runs that may exist on it.
        strays: Resources of its stray runs: runs that it lists and that are not the current run
            of their task.
        unknown_runs: Name and number of listed runs whose job is unknown or whose name cannot be
            parsed. Their resources are unknown, so no work is placed beside them.
        reported_address: Address from which its last report came, or an empty string.
        reported_at_s: When its last report was received.
        listed_at_s: When the latest list of its runs was received.
        leases_expire_at_s: When the leases that its known incarnation grants have certainly
            expired.
        deadline_open_until_s: Until when a call with a lease deadline that was sent to it may be
            carried out.
        failures: Jobs of its failed runs since its last success or quarantine.
        quarantined_until_s: When its quarantine after failures ends.
        quarantines: Number of consecutive quarantines; the duration doubles with each.
        failed_at_s: When a run last failed on it during this term, or 0 if none did.
        suspected_until_s: Time until which it is suspected to fail what it runs.
        proved_at_s: When a run last succeeded on it or had been running for long enough, or None if
            none has since a run failed early on it.
        unreachable_until_s: Time until which it gets no work because orders were not answered.
        is_replaced: Whether another worker was found at its endpoint.
        cold_until_s: Time until which it is slow because it has started recently.
        registered_cold_s: For how long it stays slow according to its last registration.
        trials: Tasks that run on it although other workers have crashed soon after their start.
            Until they have survived, no other work is placed beside them.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: model.Resources
    room: model.Resources
    draining: bool = False
    leaves_at_s: float | None = None
    registered_remaining_s: float | None = None
    registered: bool = True
    incarnation: Incarnation = dataclasses.field(default_factory=Incarnation)
    token_raises: int = 0
    token_raised_at_s: float | None = None
    registered_born_ms: int = 0
    runs: dict[model.TaskKey, Run] = dataclasses.field(default_factory=dict)
    strays: dict[tuple[model.TaskKey, int], model.Resources] = dataclasses.field(
        default_factory=dict
    )
    unknown_runs: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    reported_address: str = ""
    reported_at_s: float = 0.0
    listed_at_s: float = 0.0
    leases_expire_at_s: float = 0.0
    deadline_open_until_s: float = 0.0
    failures: list[str] = dataclasses.field(default_factory=list)
    quarantined_until_s: float = 0.0
    quarantines: int = 0
    failed_at_s: float = 0.0
    suspected_until_s: float = 0.0
    proved_at_s: float | None = None
    unreachable_until_s: float = 0.0
    is_replaced: bool = False
    cold_until_s: float = 0.0
    registered_cold_s: float = 0.0
    trials: set[model.TaskKey] = dataclasses.field(default_factory=set)

    @property
    def born_ms(self) -> int:
        """Start of its incarnation in milliseconds since 1970, or 0 if unknown."""
        return self.incarnation.born_ms

    @property
    def has_current_registration(self) -> bool:
        """Whether its registration is not that of an earlier incarnation.

        A worker may return under its identifier with other capacity, labels or service.
        """
        return not self.registered_born_ms or self.registered_born_ms >= self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class CountedCrash:
    """A crash of a worker that was counted for a task.

    Attributes:
        counted_at_s: When it was counted.
        job_id: Job of the task.
        step_key: Step of the task.
        index: Index under which it was counted.
    """

    counted_at_s: float
    job_id: str
    step_key: StepKey
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownCancellation:
    """Cancellation of a job that is not known.

    Attributes:
        version: Version of its row in the store.
        recorded_at_s: When it was recorded.
        delete_not_before_s: Time before which its row is not deleted; infinite while it is being
            deleted.
    """

    version: int
    recorded_at_s: float
    delete_not_before_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Reservation:
    """Room that is reserved for waiting tasks until the runs that still use it have ended.

    Attributes:
        placement: Worker of each task.
        need: Resources of one task.
        expires_s: When the reservation expires.
        preempts: Whether runs were preempted for it.
    """

    placement: dict[int, str]
    need: model.Resources
    expires_s: float
    preempts: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionBudget:
    """Work that may be lost to preemptions for urgent work beyond the guarantee.

    Attributes:
        available_core_s: What is left of it, in core-seconds.
        updated_at_s: When it was last refilled.
    """

    available_core_s: float
    updated_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeclinedUnit:
    """Waiting tasks for which a preemption was declined.

    Attributes:
        retry_at_s: When victims for them are searched for again.
        interval_s: Time between the last search and that one.
    """

    retry_at_s: float
    interval_s: float


@dataclasses.dataclass(slots=True)
class PreemptionMemory:
    """What limits preemptions for urgent work beyond the guarantee.

    Attributes:
        budgets: Budget of each service.
        declined: Waiting tasks for which a preemption was declined.
        reported_at_s: When a declined preemption was last logged, by job.
    """

    budgets: dict[str, PreemptionBudget] = dataclasses.field(default_factory=dict)
    declined: dict["ReservationKey", DeclinedUnit] = dataclasses.field(default_factory=dict)
    reported_at_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FailureWave:
    """A time in which many workers fail the runs that they start.

    Attributes:
        began_at_s: When the first of these workers became suspected.
        last_at_s: When the last one did.
    """

    began_at_s: float
    last_at_s: float


@dataclasses.dataclass(slots=True)
class IdleJob:
    """An open job that has no confirmed run although tasks of it are ready.

    Attributes:
        since_s: From when on it has had none; not before this term knew of it.
        searched_at_s: When room for its tasks was last searched for, or 0 if never.
        reported_at_s: When a log line last described it, or 0 if none did.
        named_at_s: When a log line last described or named it, or 0 if none did.
    """

    since_s: float
    searched_at_s: float = 0.0
    reported_at_s: float = 0.0
    named_at_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class IdleSummary:
    """Idle jobs at one check, for the metrics.

    Attributes:
        checked_at_s: When the check was made, on the scheduler's clock.
        jobs: Number of idle jobs.
        longest_s: Longest time that one of them has been idle, or 0.
        reasons: Number of the jobs that were reported by each reason. Those that have been idle for
            a short time, and those for which too many searches would be needed, have none.
    """

    checked_at_s: float
    jobs: int
    longest_s: float
    reasons: dict[str, int]


@dataclasses.dataclass(slots=True)
class IdleJobs:
    """Idle jobs at the last check, and the log lines about them.

    Attributes:
        checked_at_s: When they were last checked.
        jobs: The idle jobs by identifier.
        reported_at_s: When a line was last logged, by client account and reason.
        summary: Summary of the last check, or None before the first one. It is replaced as a whole,
            so that any thread may read it.
    """

    checked_at_s: float = 0.0
    jobs: dict[str, IdleJob] = dataclasses.field(default_factory=dict)
    reported_at_s: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    summary: IdleSummary | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StageError:
    """Errors in a row of one stage of a pass for one job or worker.

    Attributes:
        count: Number of errors.
        retry_at_s: When the stage is tried again, on the scheduler's clock.
    """

    count: int
    retry_at_s: float


ReservationKey = tuple[str, int, int, int]
"""Job, occurrence, step and task (or -1 for a gang) that a reservation is for."""


@dataclasses.dataclass(frozen=True, slots=True)
class InheritedLeases:
    """Ends of leases that earlier schedulers have granted, on this scheduler's clock.

    Attributes:
        workers: Time by which those on each of some workers have certainly expired.
        others_s: The same for all other workers, or None if it is not known.
    """

    workers: dict[str, float] = dataclasses.field(default_factory=dict)
    others_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedDeparture:
    """A departure of a worker that a registration has announced.

    Attributes:
        leaves_at_s: Earliest time at which it leaves, on this scheduler's clock.
        remaining_s: Time until then according to that registration.
        born_ms: Start of the worker's incarnation in milliseconds since 1970, or 0.
    """

    leaves_at_s: float
    remaining_s: float
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """Data centres to whose workers nothing may be sent, as the operators request it.

    Attributes:
        data_centres: Names of the data centres.
        confirmed_at_s: When the store last confirmed that there are no others, or None if these
            requests are not followed.
    """

    data_centres: frozenset[str] = frozenset()
    confirmed_at_s: float | None = None


@dataclasses.dataclass(slots=True)
class SchedulerState:
    """Everything that the decisions of one scheduler term depend on.

    Attributes:
        epoch: Epoch of the term, the last of its range of fencing tokens.
        policy: Limits that the decisions use.
        began_at_s: When the term began.
        configuration: Configuration in force, or None before the first one arrives.
        jobs: Jobs by identifier.
        workers: Workers by identifier.
        reservations: Room that is reserved for waiting tasks.
        stray_tasks: Number of stray runs of each task that has any.
        schedule_due: Whether a change may allow a waiting task to start.
        stalled: Workers that had a stalled run at the last check.
        stall_checked_at_s: When stalled runs were last checked.
        urgent_demand: Recent peak of urgent demand, by service.
        inherited_suspects: Time until which the previous scheduler suspected workers.
        inherited_departures: Departures of workers that the previous scheduler knew of.
        inherited_leases: Ends of leases that earlier schedulers have granted.
        withheld_leases: Workers to which no lease is granted, because the next scheduler may rely
            on the end of those that they have.
        lease_limits: Time that no lease granted to a worker may exceed, on the scheduler's clock,
            because the next scheduler may rely on it.
        withholds_all_leases: Whether no lease is granted to any worker.
        unlisted_runs_ended: Whether the runs on workers that never registered have been ended.
        other_crashes_at_s: When workers without new runs were last found to have crashed.
        counted_crashes: Crashes with full weight that were counted lately.
        unknown_cancellations: Cancellations of jobs that are not known, by job.
        idle_jobs: Jobs that have nothing running; affects the log only.
        evacuations: The operators' requests to evacuate data centres.
        durations: Learned durations of work and speeds of workers.
        uneven_services: Services whose workers differ so much that learned durations are used.
        unevenness_checked_at_s: When the unevenness was last checked, or None.
        preemption: What limits preemptions for urgent work beyond the guarantee.
        failure_waves: Current waves of failures on workers, by service.
        recent_use: What client accounts have used of each service during this term.
        unconfirmed_since_s: Last confirmation of these requests whose age was logged as too high.
        errors: Stages that have raised, with the jobs or workers for which they have.
        deferred_shapes: Kinds of work that stand still and were searched for in vain, while some
            other such work has not been searched for yet.
        max_token_raises: How often the fencing token of any worker was raised at most.
    """

    epoch: int
    policy: Policy
    began_at_s: float
    configuration: model.Configuration | None = None
    jobs: dict[str, JobState] = dataclasses.field(default_factory=dict)
    workers: dict[str, WorkerState] = dataclasses.field(default_factory=dict)
    reservations: dict[ReservationKey, Reservation] = dataclasses.field(default_factory=dict)
    stray_tasks: dict[model.TaskKey, int] = dataclasses.field(default_factory=dict)
    schedule_due: bool = True
    stalled: frozenset[str] = frozenset()
    stall_checked_at_s: float = 0.0
    urgent_demand: dict[str, headroom.UrgentDemand] = dataclasses.field(default_factory=dict)
    inherited_suspects: dict[str, float] = dataclasses.field(default_factory=dict)
    inherited_departures: dict[str, AnnouncedDeparture] = dataclasses.field(default_factory=dict)
    inherited_leases: InheritedLeases = InheritedLeases()
    withheld_leases: frozenset[str] = frozenset()
    lease_limits: dict[str, float] = dataclasses.field(default_factory=dict)
    withholds_all_leases: bool = False
    unlisted_runs_ended: bool = False
    other_crashes_at_s: list[float] = dataclasses.field(default_factory=list)
    counted_crashes: list[CountedCrash] = dataclasses.field(default_factory=list)
    unknown_cancellations: dict[str, UnknownCancellation] = dataclasses.field(default_factory=dict)
    idle_jobs: IdleJobs = dataclasses.field(default_factory=IdleJobs)
    evacuations: Evacuations = Evacuations()
    durations: factors.DurationModel = dataclasses.field(default_factory=factors.DurationModel)
    uneven_services: frozenset[str] = frozenset()
    unevenness_checked_at_s: float | None = None
    preemption: PreemptionMemory = dataclasses.field(default_factory=PreemptionMemory)
    failure_waves: dict[str, FailureWave] = dataclasses.field(default_factory=dict)
    recent_use: shares.RecentUse = dataclasses.field(default_factory=shares.RecentUse)
    unconfirmed_since_s: float | None = -1.0
    errors: dict[tuple[str, ...], StageError] = dataclasses.field(default_factory=dict)
    deferred_shapes: frozenset[tuple] = frozenset()
    max_token_raises: int = 0


def get_route(state: SchedulerState, job: JobState) -> model.Route:
    """Returns the queue of a job from the current configuration.

    If the queue was removed, the one that was recorded with the job is returned.
    """
    if state.configuration is not None:
        current = state.configuration.routes.get(job.route.name)
        if current is not None:
            return current
    return job.route


def iterate_open_jobs(state: SchedulerState) -> list[JobState]:
    """Returns the jobs whose tasks may still be started."""
    return [job for job in state.jobs.values() if job.is_open]
