"""State of the scheduler of jobs.

The state of one scheduler term: jobs that have not expired, workers, and the runs of tasks on
them. What must outlive the term is written by ``progress``; the rest is read from the workers.
"""

import dataclasses
import enum

from lycheegate.jobs import headroom, model

__all__ = [
    "Claim",
    "JobState",
    "JobStatus",
    "Policy",
    "Run",
    "RunPhase",
    "SchedulerState",
    "StepKey",
    "StepState",
    "WorkerState",
    "get_route",
    "iterate_open_jobs",
]

StepKey = tuple[int, int]
"""Occurrence and step number within a job."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits that the decisions use; times in seconds.

    Attributes:
        lease_s: Lease on what runs on a worker, renewed with each report.
        max_lease_s: Longest lease that workers grant.
        clock_slowness_ratio: How much slower than true time a worker's clock may run.
        stop_s: Longest time that a worker takes to stop a run.
        restore_s: Time that a worker needs to resume from a checkpoint.
        report_stale_s: Age of the last report above which a worker gets no new work.
        order_timeout_s: Time after which an unanswered start is given up.
        stop_repeat_s: Time after which an unconfirmed stop is repeated.
        claim_s: How long room is kept for work that waits for others to leave.
        retention_s: How long ended jobs can be asked for.
        handover_s: How long the previous scheduler may have renewed leases after its last renewal.
    """

    lease_s: float = 5.0
    max_lease_s: float = 6.0
    clock_slowness_ratio: float = 0.02
    stop_s: float = 0.2
    restore_s: float = 0.1
    report_stale_s: float = 2.5
    order_timeout_s: float = 1.5
    stop_repeat_s: float = 0.5
    claim_s: float = 20.0
    retention_s: float = 150.0
    handover_s: float = 8.0


class RunPhase(enum.IntEnum):
    """How far a run of a task has come."""

    INTENDED = 0
    """Placed; the intention is not yet durable, and no order was sent."""
    ORDERED = 1
    """The order may have been sent; the worker has not confirmed it."""
    RUNNING = 2
    STOPPING = 3
    """Must go; its room stays taken until its worker no longer lists it."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    Attributes:
        task: The task.
        worker_id: Where it runs.
        number: Number of the run; rises with each run of the task.
        need: Resources that it occupies.
        phase: How far it has come.
        since_s: When the phase began.
        percent: Progress that the worker reported, 0 to 100.
        advanced_at_s: When the progress last changed.
        checkpoint: Last checkpoint that the worker reported, or an empty string.
        confirmed_at_s: When the worker confirmed the last order for it, or None. Only reports
            requested later can prove its absence.
        stop_sent_at_s: When a stop was last ordered, or None.
    """

    task: model.TaskKey
    worker_id: str
    number: int
    need: model.Resources
    phase: RunPhase
    since_s: float
    percent: int = 0
    advanced_at_s: float = 0.0
    checkpoint: str = ""
    confirmed_at_s: float | None = None
    stop_sent_at_s: float | None = None


@dataclasses.dataclass(slots=True)
class StepState:
    """Progress of a step of one occurrence.

    Attributes:
        key: Occurrence and step number.
        step: The step.
        done: Tasks that have ended successfully.
        failures: Failed runs of each task; a gang counts under task 0.
        numbers: Number of the last run of each task.
        runs: Runs that may exist at a worker, by task.
        checkpoints: Last checkpoint of each task.
        avoid: Workers on which a task of the step has failed.
        not_before_s: Earliest time of the next start, after failures.
        last_failed_number: Run number of the gang that was last counted as failed.
        ready_since_s: When its tasks could first start, or None.
    """

    key: StepKey
    step: model.Step
    done: set[int] = dataclasses.field(default_factory=set)
    failures: dict[int, int] = dataclasses.field(default_factory=dict)
    numbers: dict[int, int] = dataclasses.field(default_factory=dict)
    runs: dict[int, Run] = dataclasses.field(default_factory=dict)
    checkpoints: dict[int, str] = dataclasses.field(default_factory=dict)
    avoid: set[str] = dataclasses.field(default_factory=set)
    not_before_s: float = 0.0
    last_failed_number: int = 0
    ready_since_s: float | None = None

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended successfully."""
        return len(self.done) >= self.step.count

    def list_missing(self) -> list[int]:
        """Returns the tasks that neither have ended nor may be at a worker."""
        if self.is_done:
            return []
        return [i for i in range(self.step.count) if i not in self.done and i not in self.runs]


@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """What callers are told about a job.

    Attributes:
        outcome: How it ended, or None.
        started: Whether a task was ever placed.
    """

    outcome: model.Outcome | None
    started: bool


@dataclasses.dataclass(slots=True)
class JobState:
    """A job.

    Attributes:
        job: The job.
        route: Its queue as it was when the job was accepted.
        version: Version of its progress record in the store, or 0 while there is none.
        accepted_version: Version of its record of acceptance.
        stored_status: What callers are told according to the stored record.
        steps: Steps of occurrences that are due and have not ended.
        outcome: How it ended, or None.
        cancelled: Whether its caller has cancelled it.
        started: Whether any task was ever placed.
        next_occurrence: First occurrence that is not due yet.
        dirty: Whether its progress differs from what was last written.
        ended_at_s: When it ended or was found ended, on the scheduler's clock.
    """

    job: model.Job
    route: model.Route
    version: int = 0
    accepted_version: int = 0
    stored_status: JobStatus = JobStatus(None, False)
    steps: dict[StepKey, StepState] = dataclasses.field(default_factory=dict)
    outcome: model.Outcome | None = None
    cancelled: bool = False
    started: bool = False
    next_occurrence: int = 0
    dirty: bool = False
    ended_at_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether tasks of it may still be started."""
        return self.outcome is None and not self.cancelled

    def list_runs(self) -> list[Run]:
        """Returns all runs that may be at workers."""
        return [run for step in self.steps.values() for run in step.runs.values()]


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker.

    Attributes:
        worker_id: Its identifier.
        service: Pool that it belongs to.
        address: Its endpoint.
        data_centre: Where it is.
        rack: Its rack.
        labels: Labels that steps may require.
        capacity: All of its resources.
        room: Resources that no run may be using.
        draining: Whether it gets no new work because it leaves.
        leaves_at_s: Earliest time at which it leaves, or None if that is not known.
        told_remaining_s: Remaining time that its registration told last.
        registered: Whether the registry lists it.
        born_ms: Start of its incarnation, or 0 if not known.
        confirmed: Whether it has reported under this scheduler's term.
        runs: Runs that may be there.
        strays: Listed runs that belong to no current one, with the resources they occupy.
        foreign: Listed runs whose resources are unknown; no work is placed beside them.
        reported_at_s: When its last report was received.
        report_sent_at_s: When its last report was requested.
        lapses_at_s: When the leases of everything there have lapsed for certain.
        clock_ms: Its clock in its last answer.
        clock_at_s: When that answer was received.
        max_deadline_ms: Highest lease deadline that was sent to it, on its clock.
        processed_end: Number of the last end that was processed.
        durable_end: Number of the last end whose effect is durable.
        failures: Consecutive failed runs, as jobs.
        quarantined_until_s: Until when it gets no work because of failures.
        quarantines: Consecutive quarantines; the time doubles with each.
        unreachable_until_s: Until when it gets no work because orders went unanswered.
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
    told_remaining_s: float | None = None
    registered: bool = True
    born_ms: int = 0
    confirmed: bool = False
    runs: dict[model.TaskKey, Run] = dataclasses.field(default_factory=dict)
    strays: dict[tuple[model.TaskKey, int], model.Resources] = dataclasses.field(
        default_factory=dict
    )
    foreign: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    reported_at_s: float = 0.0
    report_sent_at_s: float = 0.0
    lapses_at_s: float = 0.0
    clock_ms: int = 0
    clock_at_s: float = 0.0
    max_deadline_ms: int = 0
    processed_end: int = 0
    durable_end: int = 0
    failures: list[str] = dataclasses.field(default_factory=list)
    quarantined_until_s: float = 0.0
    quarantines: int = 0
    unreachable_until_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Claim:
    """Room that is kept for work that waits for others to leave.

    Attributes:
        placement: Worker of each task.
        need: Resources of one task.
        expires_s: When it is given up.
        preempts: Whether others were stopped for it.
    """

    placement: dict[int, str]
    need: model.Resources
    expires_s: float
    preempts: bool


ClaimKey = tuple[str, int, int, int]
"""Job, occurrence, step and task (or -1 for a gang) that a claim is for."""


@dataclasses.dataclass(slots=True)
class SchedulerState:
    """Everything that the decisions of one scheduler term depend on.

    Attributes:
        epoch: Number of the term; the fencing token of all orders.
        policy: Limits.
        began_at_s: When the term began.
        configuration: Configuration in force, or None before the first.
        jobs: Jobs by identifier.
        workers: Workers by identifier.
        claims: Room that is kept.
        stray_tasks: Tasks with a stray run somewhere, with the number of those.
        schedule_due: Whether something changed that may let work start.
        stalled: Workers on which some run stood still at the last check.
        stalled_at_s: When that was checked.
        urgent_demand: Recent peak of urgent demand, by service.
    """

    epoch: int
    policy: Policy
    began_at_s: float
    configuration: model.Configuration | None = None
    jobs: dict[str, JobState] = dataclasses.field(default_factory=dict)
    workers: dict[str, WorkerState] = dataclasses.field(default_factory=dict)
    claims: dict[ClaimKey, Claim] = dataclasses.field(default_factory=dict)
    stray_tasks: dict[model.TaskKey, int] = dataclasses.field(default_factory=dict)
    schedule_due: bool = True
    stalled: frozenset[str] = frozenset()
    stalled_at_s: float = 0.0
    urgent_demand: dict[str, headroom.UrgentDemand] = dataclasses.field(default_factory=dict)


def get_route(state: SchedulerState, job: JobState) -> model.Route:
    """Returns the current form of a job's queue, or the recorded one if it was removed."""
    if state.configuration is not None:
        current = state.configuration.routes.get(job.route.name)
        if current is not None:
            return current
    return job.route


def iterate_open_jobs(state: SchedulerState) -> list[JobState]:
    """Returns the jobs whose tasks may still be started."""
    return [job for job in state.jobs.values() if job.is_open]
