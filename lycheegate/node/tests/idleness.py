"""Check for jobs that have nothing running although a task of theirs could run.

It knows the accepted jobs and looks at the workers and the store, not at the scheduler. A task
could run if the tasks that it depends on have succeeded, there is room for it twice over, and less
than half of the capacity is in use.

A success counts if it is stored or if a worker still lists it. One that was lost with its worker
before it was stored does not: its task has to run again, and the tasks that depend on it wait. The
members of a gang end together, so the success of one is that of all.

Each task that lasts until its job is cancelled is checked by itself, from a while after its last
run, whether or not others of its job run and however much of the capacity is in use.
"""

import dataclasses
from collections.abc import Callable

from lycheegate.jobs import model, placement, runs
from lycheegate.node.tests import fake_store, fake_workers

MAX_IDLE_S = 3.0
"""Time for which a job may have nothing running while one of its tasks could run."""
SETTLING_S = 4.0
"""Time after the last fault that does not count."""
CHECK_S = 0.1
MAX_USED_RATIO = 0.5
LASTING_GRACE_S = 6.0
"""Time after the end of a run of a task that lasts which does not count."""
SPARE_FACTOR = 2
"""How many times over there must be room for a task."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleJob:
    """A job that had nothing running for too long, or a task of it that lasts.

    Attributes:
        job_id: The job.
        task: One of its tasks that could run.
        since_s: From when on the time without a run has counted.
    """

    job_id: str
    task: model.TaskKey
    since_s: float


class IdlenessCheck:
    """Finds idle jobs from the time of its creation on.

    Args:
        loop: Event loop.
        fleet: The workers, and the jobs that were accepted.
        is_open: Returns whether a job is stored and has neither ended nor been cancelled.
        is_usable: Returns whether a worker is registered and does not leave.
        list_stored: Returns the tasks of a job whose success is stored.
    """

    def __init__(
        self,
        loop: fake_store.EventLoop,
        fleet: fake_workers.Fleet,
        is_open: Callable[[str], bool],
        is_usable: Callable[[str], bool],
        list_stored: Callable[[str], frozenset[model.TaskKey]],
    ):
        self._loop = loop
        self._fleet = fleet
        self._is_open = is_open
        self._is_usable = is_usable
        self._list_stored = list_stored
        self._calm_from_s = loop.now_s + SETTLING_S
        self._idle_since_s: dict[str | model.TaskKey, float] = {}
        self._last_run_s: dict[model.TaskKey, float] = {}
        """When each task that lasts was last seen to run."""
        self.found: dict[str, IdleJob] = {}
        """First case of each job."""
        self.longest_s = 0.0
        """Longest time that counted for which any job, or task that lasts, was idle."""
        loop.call_later(CHECK_S, self._check)

    def record_fault(self) -> None:
        """Records that a fault has just begun, gone on or ended; the time up to here is excused."""
        self._calm_from_s = self._loop.now_s + SETTLING_S

    def _check(self) -> None:
        candidates, is_busy = self._list_candidates()
        for job_id, job in self._fleet.specs.items():
            is_open = self._is_open(job_id)
            is_counted = is_open and not is_busy
            task = self._find_startable(job, candidates) if is_counted else None
            self._count(job_id, job_id, task, 0.0)
            if any(step.long_running for step in job.steps):
                self._check_lasting(job, candidates if is_open else [])
        self._loop.call_later(CHECK_S, self._check)

    def _check_lasting(self, job: model.Job, candidates: list[placement.Candidate]) -> None:
        """Counts the time without a run of each task of a job that lasts."""
        now_s = self._loop.now_s
        live = {t for w in self._fleet.workers.values() for t in w.live if t.job_id == job.job_id}
        succeeded = self._list_succeeded(job) if candidates else frozenset()
        for number, step in enumerate(job.steps):
            if not step.long_running:
                continue
            tasks = self._list_tasks(job, number)
            self._last_run_s |= dict.fromkeys(live.intersection(tasks), now_s)
            is_startable = (
                not live.issuperset(tasks)
                and self._list_before(job, step) <= succeeded
                and self._has_room(job, number, candidates)
            )
            for task in tasks:
                waiting = task if is_startable and task not in live else None
                begin_s = self._last_run_s.get(task, -LASTING_GRACE_S) + LASTING_GRACE_S
                self._count(task, job.job_id, waiting, begin_s)

    def _count(
        self, key: str | model.TaskKey, job_id: str, task: model.TaskKey | None, begin_s: float
    ) -> None:
        """Counts the time for which a job or a task has been idle.

        Args:
            key: The job, or a task that lasts.
            job_id: The job.
            task: A task that could run, or None if nothing is idle.
            begin_s: From when on time counts.
        """
        now_s = self._loop.now_s
        if task is None:
            self._idle_since_s.pop(key, None)
            return
        since_s = max(self._idle_since_s.setdefault(key, now_s), begin_s, self._calm_from_s)
        self.longest_s = max(self.longest_s, now_s - since_s)
        if now_s - since_s > MAX_IDLE_S and job_id not in self.found:
            self.found[job_id] = IdleJob(job_id, task, since_s)

    def _list_lost(self) -> set[str]:
        fleet = self._fleet
        return fleet.unreachable | fleet.refusing | fleet.answers_lost | fleet.replaced

    def _list_candidates(self) -> tuple[list[placement.Candidate], bool]:
        """Returns the workers that can be used, and whether half of their capacity is in use."""
        fleet = self._fleet
        lost = self._list_lost()
        candidates: list[placement.Candidate] = []
        used = capacity = model.Resources()
        for worker_id, worker in fleet.workers.items():
            if worker_id in lost or not self._is_usable(worker_id):
                continue
            worker.advance()
            taken = sum((run.need for run in worker.live.values()), model.Resources())
            used, capacity = used + taken, capacity + worker.capacity
            room = worker.capacity - taken
            limit = sum(step.count for job in fleet.specs.values() for step in job.steps) + 1
            candidates.append(
                placement.Candidate(worker_id, worker.rack, room, worker.capacity, limit)
            )
        is_busy = (
            used.cpu_millicores >= MAX_USED_RATIO * capacity.cpu_millicores
            or used.accelerators >= MAX_USED_RATIO * capacity.accelerators
        )
        return candidates, is_busy

    def _find_startable(
        self, job: model.Job, candidates: list[placement.Candidate]
    ) -> model.TaskKey | None:
        """Returns a task that could run, or None if there is none or any task of the job runs."""
        for worker in self._fleet.workers.values():
            if any(task.job_id == job.job_id for task in worker.live):
                return None
        succeeded = self._list_succeeded(job)
        for number, step in enumerate(job.steps):
            waiting = [task for task in self._list_tasks(job, number) if task not in succeeded]
            if not waiting or not self._has_room(job, number, candidates):
                continue
            if self._list_before(job, step) <= succeeded:
                return waiting[0]
        return None

    def _list_before(self, job: model.Job, step: model.Step) -> set[model.TaskKey]:
        """Returns the tasks that a step depends on."""
        return {task for n in step.depends_on for task in self._list_tasks(job, n)}

    def _limit(
        self, job: model.Job, number: int, candidates: list[placement.Candidate]
    ) -> list[placement.Candidate]:
        """Returns the candidates with the number of further tasks of a step that they may run."""
        most = job.steps[number].max_per_worker
        if not most:
            return candidates
        key = (job.job_id, 0, number)
        limited: list[placement.Candidate] = []
        for candidate in candidates:
            live = self._fleet.workers[candidate.worker_id].live
            present = sum((task.job_id, task.occurrence, task.step) == key for task in live)
            limited.append(dataclasses.replace(candidate, limit=most - present))
        return limited

    def _list_succeeded(self, job: model.Job) -> set[model.TaskKey]:
        """Returns the tasks of a job whose success is stored or listed by a worker."""
        succeeded = set(self._list_stored(job.job_id))
        lost = self._list_lost()
        for worker_id, worker in self._fleet.workers.items():
            if worker_id not in lost:
                succeeded.update(e.task for e in worker.ended if e.end is runs.End.DONE)
        for number, step in enumerate(job.steps):
            members = self._list_tasks(job, number)
            if step.gang and not succeeded.isdisjoint(members):
                succeeded.update(members)
        return succeeded

    def _list_tasks(self, job: model.Job, number: int) -> list[model.TaskKey]:
        count = job.steps[number].count
        return [model.TaskKey(job.job_id, 0, number, index) for index in range(count)]

    def _has_room(self, job: model.Job, number: int, candidates: list[placement.Candidate]) -> bool:
        """Returns whether there is room twice over for a task of a step, or for its gang."""
        step = job.steps[number]
        count = SPARE_FACTOR * (step.count if step.gang else 1)
        labeled = [
            c
            for c in self._limit(job, number, candidates)
            if not step.label or step.label in self._fleet.workers[c.worker_id].labels
        ]
        # A gang that spans racks works, only slower.
        return placement.place_gang(count, step.need, labeled, same_rack=False) is not None
