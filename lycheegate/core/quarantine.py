"""Quarantine of workers that fail tasks which succeed elsewhere, and probes that end it."""

from lycheegate.core import commands, scheduling
from lycheegate.core import state as partition_state
from lycheegate.model import requests

__all__ = [
    "count_short_units",
    "finish_probe",
    "is_healthy",
    "is_probe_candidate",
    "list_due_probes",
    "record_failure",
    "record_success",
    "restore_needed_workers",
    "restore_unprobed",
    "update_placeable",
]

# At most one worker in this many is in quarantine. Beyond that, a common cause is more likely than
# faulty workers.
_WORKERS_PER_QUARANTINED = 4
_MAX_PROBE_FACTOR = 16
_MAX_FAILURES_KEPT = 64
# A worker is restored if its probe is overdue by this time and requests are waiting: none of them
# may be suitable as a probe, and they may need this worker.
_MAX_PROBE_WAIT_S = 60.0


def is_healthy(state: partition_state.PartitionState, worker_id: str, request_id: str) -> bool:
    """Returns whether a worker is not quarantined and has failed few other requests."""
    worker = state.workers.get(worker_id)
    if worker is None or worker.quarantined_at_s is not None:
        return False
    others = len(worker.failures) - (request_id in worker.failures)
    return others < state.settings.quarantine_requests - 1


def count_short_units(state: partition_state.PartitionState) -> int:
    """Returns the number of guaranteed units that have no home."""
    return sum(short.short_units for short in scheduling.list_short_guarantees(state.scheduling))


def update_placeable(
    state: partition_state.PartitionState, worker: partition_state.WorkerState
) -> None:
    """Updates in the scheduling state whether a worker may be given new work."""
    if worker.lost_at_s is not None:
        return
    if state.unrefreshed is not None:
        state.unrefreshed[worker.worker.worker_id] = None
        return
    placeable = not worker.leaving and not worker.stale and worker.quarantined_at_s is None
    if placeable != worker.placeable:
        worker.placeable = placeable
        scheduling.set_placeable(state.scheduling, worker.worker.worker_id, placeable)
        state.plan_due = True
        state.capacity_changed = True


def record_success(
    state: partition_state.PartitionState, worker_id: str, out: list[commands.Command]
) -> None:
    """Records that a worker finished a task; ends its quarantine."""
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    worker.failures.clear()
    worker.succeeded_at_s = state.now_s
    if worker.quarantined_at_s is not None:
        _restore(state, worker, out)


def record_failure(
    state: partition_state.PartitionState,
    worker_id: str,
    job: partition_state.Job | None,
    attempt: partition_state.Attempt,
    out: list[commands.Command],
) -> None:
    """Records that a task failed on a worker; quarantines the worker after too many failures."""
    worker = state.workers.get(worker_id)
    if worker is None or worker.quarantined_at_s is not None:
        return
    request_id = attempt.request.request_id
    if job is not None and any(
        other != worker_id and is_healthy(state, other, request_id) for other in job.failed_on
    ):
        # The request also failed on a healthy worker, so its failure is not this worker's fault.
        return
    if not worker.failures:
        worker.failing_since_s = state.now_s
    worker.failures[request_id] = worker.failures.get(request_id, 0) + 1
    if len(worker.failures) > _MAX_FAILURES_KEPT:
        del worker.failures[next(iter(worker.failures))]
    settings = state.settings
    if (
        sum(worker.failures.values()) >= settings.quarantine_failures
        and len(worker.failures) >= settings.quarantine_requests
        and _do_others_succeed(state, worker)
    ):
        _quarantine(state, worker, out)


def _do_others_succeed(
    state: partition_state.PartitionState, worker: partition_state.WorkerState
) -> bool:
    return any(
        other is not worker
        and other.lost_at_s is None
        and other.succeeded_at_s is not None
        and other.succeeded_at_s >= worker.failing_since_s
        for other in state.workers.values()
    )


def _quarantine(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    out: list[commands.Command],
) -> None:
    present = sum(other.lost_at_s is None for other in state.workers.values())
    if len(state.quarantined) + 1 > max(1, present // _WORKERS_PER_QUARANTINED):
        return
    short_before = count_short_units(state)
    worker.quarantined_at_s = state.now_s
    update_placeable(state, worker)
    if count_short_units(state) > short_before:
        # A guarantee needs this worker. Its failures are counted again from zero.
        worker.quarantined_at_s = None
        worker.failures.clear()
        update_placeable(state, worker)
        return
    worker.probe_interval_s = state.settings.probe_interval_s
    worker.probe_at_s = state.now_s + worker.probe_interval_s
    state.quarantined[worker.worker.worker_id] = None
    out.append(
        commands.QuarantineWorker(
            worker.worker.worker_id,
            f"{sum(worker.failures.values())} consecutive failures of "
            f"{len(worker.failures)} requests",
        )
    )


def _restore(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    out: list[commands.Command],
) -> None:
    worker.quarantined_at_s = None
    worker.probe_attempt_id = None
    worker.failures.clear()
    state.quarantined.pop(worker.worker.worker_id, None)
    update_placeable(state, worker)
    out.append(commands.RestoreWorker(worker.worker.worker_id))


def restore_needed_workers(
    state: partition_state.PartitionState, out: list[commands.Command]
) -> None:
    """Restores quarantined workers that a short guarantee needs, longest quarantined first."""
    for worker_id in list(state.quarantined):
        worker = state.workers[worker_id]
        if worker.lost_at_s is not None:
            continue
        short_before = count_short_units(state)
        if not short_before:
            return
        since_s = worker.quarantined_at_s
        worker.quarantined_at_s = None
        update_placeable(state, worker)
        if count_short_units(state) < short_before:
            _restore(state, worker, out)
        else:
            worker.quarantined_at_s = since_s
            update_placeable(state, worker)


def list_due_probes(state: partition_state.PartitionState) -> list[partition_state.WorkerState]:
    """Returns the quarantined workers whose next probe is due."""
    return [
        worker
        for worker in (state.workers[worker_id] for worker_id in state.quarantined)
        if worker.lost_at_s is None
        and not worker.leaving
        and not worker.stale
        and worker.probe_attempt_id is None
        and state.now_s >= worker.probe_at_s
    ]


def restore_unprobed(
    state: partition_state.PartitionState,
    worker: partition_state.WorkerState,
    out: list[commands.Command],
) -> None:
    """Restores a worker whose probe is long overdue while requests are waiting."""
    if (
        worker.probe_attempt_id is None
        and state.waiting_total
        and state.now_s >= worker.probe_at_s + _MAX_PROBE_WAIT_S
    ):
        _restore(state, worker, out)


def is_probe_candidate(job: partition_state.Job) -> bool:
    """Returns whether a request may be the probe of a quarantined worker."""
    request: requests.Request = job.request
    return request.idempotent and request.shape.members == 1 and not job.failed_on


def finish_probe(state: partition_state.PartitionState, attempt: partition_state.Attempt) -> None:
    """Schedules the next probe of a worker, with a longer interval, after an unsuccessful one."""
    worker = state.workers.get(attempt.probe_of or "")
    if worker is None or worker.probe_attempt_id != attempt.attempt_id:
        return
    worker.probe_attempt_id = None
    longest_s = state.settings.probe_interval_s * _MAX_PROBE_FACTOR
    worker.probe_interval_s = min(longest_s, worker.probe_interval_s * 2)
    worker.probe_at_s = state.now_s + worker.probe_interval_s
