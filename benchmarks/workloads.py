"""Synthetic workloads of the two deployments.

The render service gives more weight to completion time, the rostering service to fragmentation.
Shares are fractions of the accelerators of all workers at load 1.0.
"""

import dataclasses
import random
from collections.abc import Iterator, Sequence

from lycheegate.model import releases, requests, resources

__all__ = [
    "AGENCY",
    "GLENMARA",
    "Arrival",
    "JobClass",
    "Workload",
    "generate_arrivals",
    "make_workers",
]


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Class of jobs.

    Attributes:
        name: Name of the class.
        urgency: Urgency of the class.
        shapes: Shapes, one of which is drawn for each job.
        idempotent: Whether a job may run more than once.
        preemptible: Whether a job may be stopped and run again.
        median_run_s: Median of the actual run time.
        run_sigma: Standard deviation of the logarithm of the run time.
        share_ratio: Share of the accelerators that the class uses at load 1.0.
        burst_size: Mean number of jobs that arrive together.
        client_accounts: Client accounts, one of which is drawn for each burst.
        deadline_s: Time from arrival to the deadline, or None.
    """

    name: str
    urgency: requests.Urgency
    shapes: tuple[resources.Shape, ...]
    idempotent: bool
    preemptible: bool
    median_run_s: float
    run_sigma: float
    share_ratio: float
    burst_size: float
    client_accounts: tuple[str, ...]
    deadline_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Synthetic deployment: its workers, client accounts, guarantees and job classes."""

    name: str
    data_centres: tuple[str, ...]
    workers: int
    workers_per_rack: int
    slots: int
    accelerators: int
    client_accounts: tuple[releases.ClientAccount, ...]
    guarantees: tuple[releases.Guarantee, ...]
    classes: tuple[JobClass, ...]
    completion_weight: float
    fragmentation_weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Request with its actual run time, which is hidden from the decisions."""

    request: requests.Request
    run_s: float
    cancel_after_s: float | None = None
    always_fails: bool = False


_RACK = resources.Adjacency.RACK
_WORKER = resources.Adjacency.WORKER
_HERO = (
    resources.Shape(1, 8, _WORKER),
    resources.Shape(2, 8, _RACK),
    resources.Shape(4, 8, _RACK),
)


def _make_accounts(names: Sequence[str]) -> tuple[releases.ClientAccount, ...]:
    return tuple(
        releases.ClientAccount(name, None, weight=2.0 if index < 2 else 1.0, since_release=1)
        for index, name in enumerate(names)
    )


_LABELS = ("hanbok-studio", "seoul-denim", "jeju-knit", "busan-silk")
AGENCY = Workload(
    name="agency",
    data_centres=("suwon", "seongnam", "goyang", "bucheon"),
    workers=24,
    workers_per_rack=6,
    slots=8,
    accelerators=8,
    client_accounts=_make_accounts(_LABELS),
    guarantees=(
        releases.Guarantee("hanbok-studio", "hero", _HERO[1], 1, "suwon", 1),
        releases.Guarantee("seoul-denim", "hero", _HERO[1], 1, "seongnam", 1),
        releases.Guarantee("jeju-knit", "hero", _HERO[0], 1, "goyang", 1),
        releases.Guarantee("busan-silk", "hero", _HERO[0], 1, "bucheon", 1),
    ),
    classes=(
        JobClass(
            "preview",
            requests.Urgency.URGENT,
            (resources.Shape(1, 1),),
            True,
            True,
            1.5,
            0.5,
            0.02,
            4.0,
            _LABELS,
        ),
        JobClass(
            "hero-shot",
            requests.Urgency.NORMAL,
            _HERO,
            True,
            True,
            600.0,
            0.8,
            0.47,
            1.5,
            _LABELS,
        ),
        JobClass(
            "batch",
            requests.Urgency.BATCH,
            (resources.Shape(1, 1), resources.Shape(1, 2)),
            False,
            False,
            180.0,
            0.8,
            0.50,
            16.0,
            _LABELS[:3],
        ),
    ),
    completion_weight=0.7,
    fragmentation_weight=0.3,
)

_BRANDS = ("glen-clean", "mara-home", "brightside", "head-office")
GLENMARA = Workload(
    name="glenmara",
    data_centres=("dublin", "wicklow", "kildare"),
    workers=24,
    workers_per_rack=8,
    slots=8,
    accelerators=8,
    client_accounts=_make_accounts(_BRANDS),
    guarantees=(
        releases.Guarantee("glen-clean", "rebuild", _HERO[1], 1, "dublin", 1),
        releases.Guarantee("mara-home", "rebuild", _HERO[1], 1, "wicklow", 1),
        releases.Guarantee("brightside", "rebuild", _HERO[0], 1, "kildare", 1),
    ),
    classes=(
        JobClass(
            "match",
            requests.Urgency.URGENT,
            (resources.Shape(1, 1),),
            False,
            False,
            0.8,
            0.5,
            0.02,
            3.0,
            _BRANDS[:3],
        ),
        JobClass(
            "shift-check",
            requests.Urgency.NORMAL,
            (resources.Shape(1, 0),),
            True,
            True,
            0.3,
            0.5,
            0.0,
            3.0,
            _BRANDS[:3],
        ),
        JobClass(
            "rebuild",
            requests.Urgency.NORMAL,
            (_HERO[0], _HERO[1]),
            True,
            True,
            900.0,
            0.8,
            0.47,
            1.5,
            _BRANDS,
        ),
        JobClass(
            "route-refresh",
            requests.Urgency.BATCH,
            (resources.Shape(1, 1), resources.Shape(1, 2)),
            True,
            True,
            120.0,
            0.8,
            0.30,
            12.0,
            _BRANDS,
        ),
        JobClass(
            "billing",
            requests.Urgency.BATCH,
            (resources.Shape(1, 1),),
            False,
            False,
            120.0,
            0.8,
            0.20,
            8.0,
            _BRANDS,
        ),
    ),
    completion_weight=0.3,
    fragmentation_weight=0.7,
)

_PROCESSOR_ONLY_RATE_PER_S = 2.0
_DECLARED_SIGMA = 1.5  # declared run times are often wrong by a factor of four or more
_CANCELLED_RATIO = 0.03
_ALWAYS_FAILS_RATIO = 0.005


def make_workers(workload: Workload) -> list[resources.Worker]:
    """Returns the workers, distributed over racks and data centres."""
    workers = []
    for number in range(workload.workers):
        rack = number // workload.workers_per_rack
        workers.append(
            resources.Worker(
                worker_id=f"w{number:03d}",
                endpoint="",
                region="region",
                data_centre=workload.data_centres[rack % len(workload.data_centres)],
                rack=f"rack{rack}",
                slots=workload.slots,
                accelerators=workload.accelerators,
            )
        )
    return workers


def generate_arrivals(
    workload: Workload, load: float, duration_s: float, seed: int
) -> Iterator[tuple[float, Arrival]]:
    """Yields arrivals in order of time, as (time in seconds, arrival)."""
    rng = random.Random(f"{workload.name}/{seed}")
    capacity = workload.workers * workload.accelerators
    arrivals: list[tuple[float, Arrival]] = []
    for job_class in workload.classes:
        arrivals.extend(_draw_class(job_class, capacity, load, duration_s, rng))
    arrivals.sort(key=lambda pair: (pair[0], pair[1].request.request_id))
    yield from arrivals


def _draw_class(
    job_class: JobClass, capacity: int, load: float, duration_s: float, rng: random.Random
) -> Iterator[tuple[float, Arrival]]:
    mean_run_s = job_class.median_run_s * 2.718281828 ** (job_class.run_sigma**2 / 2)
    mean_accelerators = sum(s.total_accelerators for s in job_class.shapes) / len(job_class.shapes)
    if mean_accelerators == 0:
        job_rate_per_s = _PROCESSOR_ONLY_RATE_PER_S * load
    else:
        work = mean_run_s * mean_accelerators
        job_rate_per_s = load * job_class.share_ratio * capacity / work
    burst_rate_per_s = job_rate_per_s / job_class.burst_size
    now_s = 0.0
    number = 0
    while True:
        now_s += rng.expovariate(burst_rate_per_s)
        if now_s >= duration_s:
            return
        client_account = rng.choice(job_class.client_accounts)
        while True:
            yield now_s, _draw_job(job_class, client_account, now_s, number, rng)
            number += 1
            if rng.random() < 1.0 / job_class.burst_size:
                break


def _draw_job(
    job_class: JobClass, client_account: str, now_s: float, number: int, rng: random.Random
) -> Arrival:
    run_s = rng.lognormvariate(0.0, job_class.run_sigma) * job_class.median_run_s
    request = requests.Request(
        request_id=f"{job_class.name}-{number}",
        client_account=client_account,
        caller=f"{client_account}/{job_class.name}",
        job_class=job_class.name,
        urgency=job_class.urgency,
        shape=rng.choice(job_class.shapes),
        idempotent=job_class.idempotent,
        preemptible=job_class.preemptible,
        submitted_at_s=now_s,
        deadline_at_s=None if job_class.deadline_s is None else now_s + job_class.deadline_s,
        declared_run_s=run_s * rng.lognormvariate(0.0, _DECLARED_SIGMA),
    )
    cancel_after_s = None
    if rng.random() < _CANCELLED_RATIO:
        cancel_after_s = rng.expovariate(1.0 / (2 * job_class.median_run_s))
    return Arrival(request, run_s, cancel_after_s, rng.random() < _ALWAYS_FAILS_RATIO)
