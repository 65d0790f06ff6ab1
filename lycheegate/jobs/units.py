"""Tasks that are placed together, and the context of one scheduling pass."""

import dataclasses

from lycheegate.jobs import (
    adequacy,
    commands,
    crashes,
    failure_waves,
    headroom,
    ordering,
    placement,
    pool,
    preemption,
    shares,
    state,
)

__all__ = [
    "GANG_INDEX",
    "PassContext",
    "Unit",
    "compute_share",
    "is_last_attempt",
    "is_limited_to_proved",
    "list_allowed",
    "list_candidates",
    "list_suitable",
    "make_reservation_key",
    "record_gang",
]

GANG_INDEX = -1
"""Stands for all tasks of a gang in keys of reservations and victims."""


@dataclasses.dataclass(slots=True)
class Unit:
    """Tasks that are placed together: a gang, or one task.

    Attributes:
        job: The job.
        step: The step.
        indices: Indices of the tasks within the step.
        rank: Rank of the job.
        service: Service whose workers run the tasks.
    """

    job: state.JobState
    step: state.StepState
    indices: list[int]
    rank: ordering.Rank
    service: str

    @property
    def reservation_key(self) -> state.ReservationKey:
        """Key of the reservation that the unit has or may get."""
        return make_reservation_key(self.job, self.step, self.indices[0])


@dataclasses.dataclass(slots=True)
class PassContext:
    """Inputs, caches and results of one scheduling pass.

    Attributes:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        wall_s: Time of day, in seconds since 1970.
        guaranteed: Client accounts whose urgent jobs are all within their guarantee.
        workers: Usable workers, with the room that is left on them.
        capacities: Capacity of each service.
        account_shares: Shares of client accounts, for services in which several compete for room.
        victims: Cache of the units that work of each level may preempt.
        ending_units: Cache of the units that end by themselves, or None before it is needed.
        result: Commands of the pass.
        planned_reservations: Number of reservations for which nothing was preempted.
        placed_tasks: Number of tasks that were placed.
        compared_steps: Steps whose choice of workers was compared with the one without speeds.
        speeds: Learned speeds.
        declined_preemptions: Number of preemptions that were declined.
        starting_gangs: Cache of the number of gangs of each service that are being started on
            unproved workers.
        loads: Cache of the share of each service that is in use, or None before it is needed.
        relief_searches: Number of searches for room for work that has stood still for too long.
        is_relief_limited: Whether some such work was not searched for as there were too many.
        unplaced_shapes: Kinds of such work for which no room was found.
        recovered_services: Services in which a gang or a last attempt was searched for on workers
            that may be sound again.
        spare_rooms: Cache of whether there is room twice over for a kind of such work.
    """

    current: state.SchedulerState
    now_s: float
    wall_s: float
    guaranteed: set[str]
    workers: pool.WorkerPool
    capacities: dict[str, headroom.ServiceCapacity] = dataclasses.field(default_factory=dict)
    account_shares: dict[str, shares.AccountShares] = dataclasses.field(default_factory=dict)
    victims: dict[int, dict[tuple, preemption.VictimUnit]] = dataclasses.field(default_factory=dict)
    ending_units: list[preemption.VictimUnit] | None = None
    result: list[commands.Command] = dataclasses.field(default_factory=list)
    planned_reservations: int = 0
    placed_tasks: int = 0
    compared_steps: set[tuple] = dataclasses.field(default_factory=set)
    declined_preemptions: int = 0
    starting_gangs: dict[str, int] = dataclasses.field(default_factory=dict)
    loads: dict[str, float] | None = None
    relief_searches: int = 0
    is_relief_limited: bool = False
    unplaced_shapes: set[tuple] = dataclasses.field(default_factory=set)
    recovered_services: set[str] = dataclasses.field(default_factory=set)
    spare_rooms: dict[tuple, bool] = dataclasses.field(default_factory=dict)
    speeds: adequacy.FleetSpeeds = dataclasses.field(init=False)

    def __post_init__(self):
        self.speeds = adequacy.FleetSpeeds(self.current, self.now_s, self.wall_s)


def make_reservation_key(
    job: state.JobState, step: state.StepState, index: int
) -> state.ReservationKey:
    """Returns the key of the reservation for a task, or for its gang."""
    return (job.job.job_id, *step.key, GANG_INDEX if step.step.gang else index)


def is_last_attempt(context: PassContext, unit: Unit) -> bool:
    """Returns whether one more failure of a unit's tasks fails its job."""
    if unit.step.step.long_running:
        return False
    failures = max(unit.step.failures.get(index, 0) for index in unit.indices)
    return failures + 1 >= state.get_route(context.current, unit.job).max_attempts


def compute_share(context: PassContext, unit: Unit) -> float:
    """Returns the share of the capacity of its service that a unit takes up, in workers."""
    capacity = context.capacities.get(unit.service)
    if capacity is None:
        return 0.0
    return len(unit.indices) * headroom.compute_share(unit.step.step.need, capacity.largest)


def list_candidates(context: PassContext, unit: Unit) -> list[placement.Candidate]:
    """Returns the workers on which a unit may be placed, in this pass or once room is free.

    Their tiers are those for the unit, until candidates for another unit are listed.
    """
    of_service = context.workers.list_of_service(unit.service)
    is_urgent = unit.rank.level < 2
    tiers = context.speeds.get_tiers(unit.service, of_service, unit.job, unit.step, is_urgent)
    context.workers.set_tiers(unit.service, tiers)
    candidates = list_suitable(context, unit)
    if not context.workers.has_slow(unit.service):
        return candidates
    step = unit.step.step
    same_rack = step.gang and step.same_rack
    if adequacy.may_hold(len(unit.indices), step.need, candidates, same_rack):
        return candidates
    tiers = context.speeds.get_tiers_by_speed(unit.service, of_service)
    context.workers.set_tiers(unit.service, tiers)
    return list_suitable(context, unit)


def list_allowed(context: PassContext, unit: Unit) -> list[placement.Candidate]:
    """Returns the workers on which a unit may be placed without regard to preferences."""
    candidates = context.workers.list_candidates(unit.service, unit.step)
    if crashes.is_suspect(unit.step, unit.indices):
        candidates = context.workers.list_for_trial(candidates)
    return candidates


def list_suitable(context: PassContext, unit: Unit) -> list[placement.Candidate]:
    """Returns the workers on which a unit may be placed, with the tiers that are set."""
    candidates = list_allowed(context, unit)
    if unit.step.step.gang or is_last_attempt(context, unit):
        candidates = placement.list_sound(len(unit.indices), unit.step.step.need, candidates)
    unproved = context.workers.unproved
    if not unproved or not unit.step.step.gang:
        return candidates
    if is_limited_to_proved(context, unit):
        return [c for c in candidates if c.worker_id not in unproved]
    if unit.rank.level > 0 and is_last_attempt(context, unit):
        marked = [
            dataclasses.replace(c, is_avoided=c.is_avoided or c.worker_id in unproved)
            for c in candidates
        ]
        proved = placement.list_sound(len(unit.indices), unit.step.step.need, marked)
        if proved is not marked:
            return proved
    return [
        dataclasses.replace(c, tier=max(c.tier, placement.Tier.UNPROVED))
        if c.worker_id in unproved
        else c
        for c in candidates
    ]


def is_limited_to_proved(context: PassContext, unit: Unit) -> bool:
    """Returns whether a gang must wait for proved workers, as enough others start on unproved ones.

    Guaranteed work need not, because it has to start in time.
    """
    if not context.workers.unproved or not unit.step.step.gang or unit.rank.level == 0:
        return False
    return _count_starting_gangs(context, unit.service) >= failure_waves.MAX_UNPROVED_GANGS


def _count_starting_gangs(context: PassContext, service: str) -> int:
    if service not in context.starting_gangs:
        context.starting_gangs[service] = failure_waves.count_starting_gangs(
            context.current, service, context.workers.unproved
        )
    return context.starting_gangs[service]


def record_gang(context: PassContext, unit: Unit, chosen: list[str]) -> None:
    """Counts a gang that is about to be placed if it starts on unproved workers."""
    if unit.step.step.gang and not context.workers.unproved.isdisjoint(chosen):
        count = _count_starting_gangs(context, unit.service)
        context.starting_gangs[unit.service] = count + 1
