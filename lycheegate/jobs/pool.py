"""Workers that may get work during one scheduling pass, with the room that is left on them.

Handles loads in which hundreds of steps wait for hundreds of workers. Values that do not change
within a pass are computed once, and a need that fit on no worker is not tried again, because free
room only shrinks while tasks are placed.
"""

import collections
import dataclasses

from lycheegate.jobs import (
    adequacy,
    crashes,
    data_centres,
    failure_waves,
    health,
    model,
    placement,
    state,
)

__all__ = ["WorkerPool", "is_eligible", "is_usable"]

NO_LIMIT = 1 << 30
"""Value of ``Candidate.limit`` for steps without a limit of tasks per worker."""


def is_eligible(current: state.SchedulerState, worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether a worker may get new work as soon as it reports."""
    return _is_allowed(current, worker) and not health.is_quarantined(worker, now_s)


def _is_allowed(current: state.SchedulerState, worker: state.WorkerState) -> bool:
    return (
        worker.registered
        and worker.has_current_registration
        and not worker.draining
        and not worker.unknown_runs
        and not data_centres.is_evacuated(current, worker)
    )


def is_usable(current: state.SchedulerState, worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether a worker may get new work now."""
    return is_eligible(current, worker, now_s) and _is_reporting(current, worker, now_s)


def _is_reporting(current: state.SchedulerState, worker: state.WorkerState, now_s: float) -> bool:
    return (
        worker.incarnation.confirmed
        and now_s - worker.reported_at_s < current.policy.report_stale_s
        and now_s >= worker.unreachable_until_s
    )


class WorkerPool:
    """Usable workers of all services; reserved room counts as allocated.

    Args:
        current: State of the scheduler.
        now_s: Time on the scheduler's clock.
        stalled: Workers with a stalled run, or None to look for them.
    """

    def __init__(
        self,
        current: state.SchedulerState,
        now_s: float,
        stalled: frozenset[str] | None = None,
    ):
        self._current = current
        self._now_s = now_s
        self._by_service: dict[str, list[placement.Candidate]] = {}
        self._by_worker: dict[str, placement.Candidate] = {}
        self._workers = current.workers
        self.unproved = failure_waves.list_unproved(current)
        """Workers that are not proved sound in a wave of failures."""
        self._on_trial = {w.worker_id for w in current.workers.values() if w.trials}
        self._labels = {w.worker_id: w.labels for w in current.workers.values()}
        self._by_label: dict[tuple[str, str], list[placement.Candidate]] = {}
        self._tiers: dict[str, adequacy.Tiers | None] = {}
        self._capacities: dict[tuple[str, str], collections.Counter[model.Resources]] = {}
        self._unplaceable_needs: dict[tuple[str, str], list[model.Resources]] = {}
        if stalled is None:
            stalled = health.list_stalled(current, now_s)
        for worker in current.workers.values():
            if not is_usable(current, worker, now_s):
                continue
            candidate = placement.Candidate(
                worker.worker_id,
                worker.rack,
                worker.room,
                worker.capacity,
                NO_LIMIT,
                worker.worker_id in stalled or health.is_suspected(worker, now_s),
                placement.Tier.COLD if now_s < worker.cold_until_s else placement.Tier.PREFERRED,
            )
            self._by_worker[worker.worker_id] = candidate
            self._by_service.setdefault(worker.service, []).append(candidate)
        for reservation in current.reservations.values():
            self.add_reservation(reservation)

    def is_usable(self, worker_id: str) -> bool:
        """Returns whether a worker may get new work in this pass."""
        return worker_id in self._by_worker

    def list_rooms(self, service: str) -> list[tuple[str, model.Resources]]:
        """Returns the rack and the free room of each usable worker of a service."""
        return [(c.rack, c.room) for c in self._by_service.get(service, [])]

    def list_of_service(self, service: str) -> list[placement.Candidate]:
        """Returns the usable workers of a service."""
        return self._by_service.get(service, [])

    def set_tiers(self, service: str, tiers: adequacy.Tiers | None) -> None:
        """Sets the tiers of the workers of a service, until the next call; None for equal ones.

        Cold workers keep their tier.
        """
        if self._tiers.get(service) is tiers:
            return
        self._tiers[service] = tiers
        candidates = self.list_of_service(service)
        values = tiers.values if tiers else [placement.Tier.PREFERRED] * len(candidates)
        for candidate, tier in zip(candidates, values, strict=True):
            if candidate.tier != placement.Tier.COLD:
                candidate.tier = tier

    def has_tiers(self, service: str) -> bool:
        """Returns whether tiers are set that are not all equal."""
        return self._tiers.get(service) is not None

    def has_slow(self, service: str) -> bool:
        """Returns whether the tiers that are set are those of adequacy, and some worker is slow."""
        tiers = self._tiers.get(service)
        return tiers is not None and tiers.has_slow

    def is_on_trial(self, worker_id: str) -> bool:
        """Returns whether a worker runs a task that may crash it, and should get no other work."""
        return worker_id in self._on_trial

    def begin_trial(self, worker_id: str) -> None:
        """Keeps the other work of this pass from a worker on which a suspect task was placed."""
        self._on_trial.add(worker_id)

    def list_for_trial(self, candidates: list[placement.Candidate]) -> list[placement.Candidate]:
        """Returns the candidates for a task that may crash its worker.

        Workers with new runs are left out, because it would not be known which of them was the
        cause of a crash; those without any runs are preferred, because the others lose theirs.
        """
        return [
            dataclasses.replace(c, is_avoided=c.is_avoided or bool(self._workers[c.worker_id].runs))
            for c in candidates
            if not crashes.has_new_runs(self._workers[c.worker_id])
        ]

    def list_candidates(self, service: str, step: state.StepState) -> list[placement.Candidate]:
        """Returns the workers that may run tasks of a step."""
        labeled = self._list_labeled(service, step.step.label)
        if self._on_trial:
            labeled = [c for c in labeled if c.worker_id not in self._on_trial]
        avoided = step.avoided_workers.union(*step.crashed_workers.values())
        if not avoided and not step.step.max_per_worker:
            return labeled
        run_counts: dict[str, int] = {}
        for run in step.runs.values():
            run_counts[run.worker_id] = run_counts.get(run.worker_id, 0) + 1
        limit = step.step.max_per_worker or NO_LIMIT
        return [
            placement.Candidate(
                candidate.worker_id,
                candidate.rack,
                candidate.room,
                candidate.capacity,
                limit - run_counts.get(candidate.worker_id, 0),
                candidate.is_avoided or candidate.worker_id in avoided,
                candidate.tier,
            )
            for candidate in labeled
        ]

    def list_quarantined(self, service: str, step: state.StepState) -> list[placement.Candidate]:
        """Returns the workers without runs that could run tasks of a step but for a quarantine.

        Those whose quarantine ends first, which have not failed for longest, are first.
        """
        label = step.step.label
        return [
            placement.Candidate(
                worker.worker_id,
                worker.rack,
                worker.room,
                worker.capacity,
                step.step.max_per_worker or NO_LIMIT,
                worker.worker_id in step.avoided_workers,
            )
            for worker in sorted(self._workers.values(), key=lambda w: w.quarantined_until_s)
            if worker.service == service
            and (not label or label in worker.labels)
            and not worker.runs
            and health.is_quarantined(worker, self._now_s)
            and _is_allowed(self._current, worker)
            and _is_reporting(self._current, worker, self._now_s)
        ]

    def _list_labeled(self, service: str, label: str) -> list[placement.Candidate]:
        candidates = self._by_service.get(service, [])
        if not label:
            return candidates
        found = self._by_label.get((service, label))
        if found is None:
            found = [
                candidate for candidate in candidates if label in self._labels[candidate.worker_id]
            ]
            self._by_label[service, label] = found
        return found

    def sum_room(self, service: str) -> tuple[int, int, int]:
        """Returns the free millicores, megabytes and accelerators of a service."""
        rooms = [candidate.room for candidate in self._by_service.get(service, ())]
        return (
            sum(room.cpu_millicores for room in rooms),
            sum(room.memory_mb for room in rooms),
            sum(room.accelerators for room in rooms),
        )

    def count_places(self, service: str, label: str, need: model.Resources, limit: int) -> int:
        """Returns for how many tasks of a need there is room now, at most about ``limit``."""
        count = 0
        for candidate in self._list_labeled(service, label):
            count += placement.count_fitting(need, candidate.room, limit)
            if count >= limit:
                break
        return count

    def could_hold(self, service: str, step: model.Step) -> bool:
        """Returns whether the usable workers could hold a gang, or a single task, if empty.

        Many urgent steps may wait in each pass, and most workers are alike, so workers of the same
        capacity are looked at together.
        """
        capacities = self._capacities.get((service, step.label))
        if capacities is None:
            labeled = self._list_labeled(service, step.label)
            capacities = collections.Counter(candidate.capacity for candidate in labeled)
            self._capacities[service, step.label] = capacities
        limit = step.max_per_worker or NO_LIMIT
        held = 0
        for capacity, workers in capacities.items():
            held += workers * placement.count_fitting(step.need, capacity, limit)
            if held >= (step.count if step.gang else 1):
                return True
        return False

    def allocate(self, worker_id: str, need: model.Resources) -> None:
        """Subtracts the room of a run that was placed; unusable workers are ignored."""
        candidate = self._by_worker.get(worker_id)
        if candidate is not None:
            candidate.room = candidate.room - need

    def add_reservation(self, reservation: state.Reservation) -> None:
        """Subtracts the room of a reservation."""
        for worker_id in reservation.placement.values():
            self.allocate(worker_id, reservation.need)

    def remove_reservation(self, reservation: state.Reservation) -> None:
        """Adds the room of a reservation back."""
        for worker_id in reservation.placement.values():
            candidate = self._by_worker.get(worker_id)
            if candidate is not None:
                candidate.room = candidate.room + reservation.need

    def mark_full(self, service: str, step: model.Step) -> None:
        """Records that no worker has room for a task of a step.

        Steps with a limit of tasks per worker are not recorded, because the limit may be the reason
        why the task did not fit.
        """
        if not step.max_per_worker:
            self._unplaceable_needs.setdefault((service, step.label), []).append(step.need)

    def is_full(self, service: str, step: model.Step) -> bool:
        """Returns whether a task with the same or a smaller need has already failed to fit."""
        unplaceable_needs = self._unplaceable_needs.get((service, step.label))
        return unplaceable_needs is not None and any(
            need.fits(step.need) for need in unplaceable_needs
        )
