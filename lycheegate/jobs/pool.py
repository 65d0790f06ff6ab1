"""Workers that may get work during one scheduling pass, with the room that is left on them.

Answers the load pattern in which hundreds of steps wait for hundreds of workers: what does not
change within a pass is computed once, and a need for which no room was found is not looked for
again, since room only shrinks while work is placed.
"""

from lycheegate.jobs import health, model, placement, state

__all__ = ["WorkerPool", "is_usable"]

NO_LIMIT = 1 << 30


def is_usable(current: state.SchedulerState, worker: state.WorkerState, now_s: float) -> bool:
    """Returns whether a worker may get new work."""
    return (
        worker.registered
        and worker.confirmed
        and not worker.draining
        and not worker.foreign
        and now_s - worker.reported_at_s < current.policy.report_stale_s
        and now_s >= worker.unreachable_until_s
        and not health.is_quarantined(worker, now_s)
    )


class WorkerPool:
    """Usable workers of all services; room that is claimed counts as taken.

    Args:
        current: The state.
        now_s: Time on the scheduler's clock.
    """

    def __init__(self, current: state.SchedulerState, now_s: float):
        self._by_service: dict[str, list[placement.Candidate]] = {}
        self._by_worker: dict[str, placement.Candidate] = {}
        self._labels = {w.worker_id: w.labels for w in current.workers.values()}
        self._by_label: dict[tuple[str, str], list[placement.Candidate]] = {}
        self._full: dict[tuple[str, str], list[model.Resources]] = {}
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
                worker.worker_id in stalled,
            )
            self._by_worker[worker.worker_id] = candidate
            self._by_service.setdefault(worker.service, []).append(candidate)
        for claim in current.claims.values():
            self.reserve(claim)

    def is_usable(self, worker_id: str) -> bool:
        """Returns whether a worker may get new work in this pass."""
        return worker_id in self._by_worker

    def list_candidates(self, service: str, step: state.StepState) -> list[placement.Candidate]:
        """Returns the workers that may run tasks of a step."""
        shared = self._list_labelled(service, step.step.label)
        if not step.avoid and not step.step.max_per_worker:
            return shared
        there: dict[str, int] = {}
        for run in step.runs.values():
            there[run.worker_id] = there.get(run.worker_id, 0) + 1
        limit = step.step.max_per_worker or NO_LIMIT
        return [
            placement.Candidate(
                candidate.worker_id,
                candidate.rack,
                candidate.room,
                candidate.capacity,
                limit - there.get(candidate.worker_id, 0),
                candidate.is_avoided or candidate.worker_id in step.avoid,
            )
            for candidate in shared
        ]

    def _list_labelled(self, service: str, label: str) -> list[placement.Candidate]:
        members = self._by_service.get(service, [])
        if not label:
            return members
        found = self._by_label.get((service, label))
        if found is None:
            found = [member for member in members if label in self._labels[member.worker_id]]
            self._by_label[service, label] = found
        return found

    def take(self, worker_id: str, need: model.Resources) -> None:
        """Takes room for a run that was placed."""
        candidate = self._by_worker.get(worker_id)
        if candidate is not None:
            candidate.room = candidate.room - need

    def reserve(self, claim: state.Claim) -> None:
        """Takes the room of a claim."""
        for worker_id in claim.placement.values():
            self.take(worker_id, claim.need)

    def release(self, claim: state.Claim) -> None:
        """Gives the room of a claim back."""
        for worker_id in claim.placement.values():
            candidate = self._by_worker.get(worker_id)
            if candidate is not None:
                candidate.room = candidate.room + claim.need

    def note_full(self, service: str, step: model.Step) -> None:
        """Notes that no worker has room for a task of a step."""
        if not step.max_per_worker:
            self._full.setdefault((service, step.label), []).append(step.need)

    def is_full(self, service: str, step: model.Step) -> bool:
        """Returns whether a task that needs no more was found not to fit."""
        known = self._full.get((service, step.label))
        return known is not None and any(need.fits(step.need) for need in known)
