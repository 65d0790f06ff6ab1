"""Baseline scheduler: first come first served, first fit, no guarantees and no preemption.

It has the same interface as ``lycheegate.core.engine`` and serves as the baseline of the
benchmarks and as the reference of the differential tests. A request that cannot be placed blocks
all requests behind it in the queue.
"""

import collections
import dataclasses
import itertools

from lycheegate.core import commands, events, policy
from lycheegate.model import requests, resources

__all__ = ["PartitionState", "create_state", "decide"]


@dataclasses.dataclass
class _WorkerState:
    worker: resources.Worker
    free_slots: int
    free: list[bool]
    placeable: bool = True


@dataclasses.dataclass
class _Attempt:
    attempt_id: str
    request: requests.Request
    placement: resources.Placement
    held: set[int] = dataclasses.field(default_factory=set)
    started: set[int] = dataclasses.field(default_factory=set)
    finished: set[int] = dataclasses.field(default_factory=set)
    closed: bool = False


@dataclasses.dataclass
class PartitionState:
    """State of the baseline scheduler for one partition.

    The places of ``releasing``, by task, stay allocated until their workers confirm the release.
    """

    partition: str
    settings: policy.PolicySettings
    epoch: int = 0
    attempt_number: itertools.count = dataclasses.field(default_factory=itertools.count)
    workers: dict[str, _WorkerState] = dataclasses.field(default_factory=dict)
    queue: collections.deque = dataclasses.field(default_factory=collections.deque)
    attempts: dict[str, _Attempt] = dataclasses.field(default_factory=dict)
    by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    releasing: dict[str, resources.MemberPlacement] = dataclasses.field(default_factory=dict)
    tries: dict[str, int] = dataclasses.field(default_factory=dict)


def create_state(
    partition: str, settings: policy.PolicySettings | None = None, seed: int = 0
) -> PartitionState:
    """Returns an empty state; ``seed`` is accepted for the common interface."""
    del seed
    return PartitionState(partition, settings or policy.PolicySettings())


def decide(state: PartitionState, event: events.Event, now_s: float) -> list[commands.Command]:
    """Applies an event to the state.

    Args:
        state: State, changed in place.
        event: What happened.
        now_s: Time of the event, in seconds; unused.

    Returns:
        Commands to execute, in order.
    """
    del now_s
    out: list[commands.Command] = []
    match event:
        case events.EpochGained():
            state.epoch = event.epoch
        case events.RequestSubmitted() | events.RecoveredRequest():
            state.queue.append(event.request)
        case events.CancelRequested():
            _cancel_request(state, event.request_id, out)
        case events.WorkerReported():
            state.workers[event.worker.worker_id] = _WorkerState(
                event.worker, event.worker.slots, [True] * event.worker.accelerators
            )
        case events.WorkerLeaving():
            if event.worker_id in state.workers:
                state.workers[event.worker_id].placeable = False
        case events.WorkerLost():
            _handle_worker_lost(state, event.worker_id, out)
        case events.AttemptRecorded():
            if event.attempt_id in state.attempts:
                _order_members(state.attempts[event.attempt_id], out)
        case events.AttemptNotRecorded():
            if event.attempt_id in state.attempts:
                _retry(state, state.attempts[event.attempt_id], out)
        case events.TaskHeld():
            _handle_task_held(state, event.task_id, out)
        case events.TaskStarted():
            attempt, member = _find_attempt(state, event.task_id)
            if attempt is not None:
                attempt.started.add(member)
        case events.TaskFinished():
            _handle_task_finished(state, event.task_id, out)
        case events.TaskRefused() | events.TaskStopped():
            attempt, _ = _find_attempt(state, event.task_id)
            if attempt is not None:
                _retry(state, attempt, out)
        case events.TaskReleased():
            place = state.releasing.pop(event.task_id, None)
            if place is not None:
                _set_free(state, (place,), True)
        case events.TaskFailed():
            attempt, _ = _find_attempt(state, event.task_id)
            if attempt is not None:
                _fail_request(state, attempt, event.error, out)
        case events.AnswerStored():
            attempt = state.attempts.get(event.attempt_id)
            if attempt is not None:
                _end_request(
                    state,
                    attempt,
                    commands.EndRequest(
                        attempt.request.request_id,
                        requests.End.ANSWERED,
                        requests.Outcome.OK,
                        attempt_id=attempt.attempt_id,
                    ),
                    out,
                )
        case events.AnswerBroken():
            attempt = state.attempts.get(event.attempt_id)
            if attempt is not None:
                _retry(state, attempt, out)
        case _:
            pass
    _place_queue(state, out)
    return out


def _find_attempt(state: PartitionState, task_id: str) -> tuple[_Attempt | None, int]:
    attempt_id, member = commands.split_task_id(task_id)
    return state.attempts.get(attempt_id), member


def _place_queue(state: PartitionState, out: list[commands.Command]) -> None:
    while state.queue:
        request = state.queue[0]
        placement = _find_first_fit(state, request.shape)
        if placement is None:
            return
        state.queue.popleft()
        _start_attempt(state, request, placement, out)


def _find_first_fit(state: PartitionState, shape: resources.Shape) -> resources.Placement | None:
    groups: dict[str, list[_WorkerState]] = {}
    for worker_state in state.workers.values():
        worker = worker_state.worker
        key = {
            resources.Adjacency.WORKER: worker.worker_id,
            resources.Adjacency.RACK: worker.rack,
            resources.Adjacency.DATA_CENTRE: worker.data_centre,
        }[shape.adjacency]
        if worker_state.placeable:
            groups.setdefault(key, []).append(worker_state)
    for group in groups.values():
        places = [place for member in group for place in _list_places(member, shape)]
        if len(places) >= shape.members:
            return tuple(places[: shape.members])
    return None


def _list_places(
    worker_state: _WorkerState, shape: resources.Shape
) -> list[resources.MemberPlacement]:
    worker_id = worker_state.worker.worker_id
    if shape.accelerators == 0:
        return [resources.MemberPlacement(worker_id, 0, 0)] * worker_state.free_slots
    places = []
    run_length = 0
    for index, is_free in enumerate(worker_state.free):
        run_length = run_length + 1 if is_free else 0
        if run_length == shape.accelerators:
            places.append(
                resources.MemberPlacement(worker_id, index + 1 - run_length, shape.accelerators)
            )
            run_length = 0
    return places[: worker_state.free_slots]


def _set_free(state: PartitionState, placement: resources.Placement, is_free: bool) -> None:
    for place in placement:
        worker_state = state.workers.get(place.worker_id)
        if worker_state is None:
            continue
        worker_state.free_slots += 1 if is_free else -1
        for index in range(place.first, place.first + place.count):
            worker_state.free[index] = is_free


def _start_attempt(
    state: PartitionState,
    request: requests.Request,
    placement: resources.Placement,
    out: list[commands.Command],
) -> None:
    attempt_id = f"{request.request_id}-{state.epoch}-{next(state.attempt_number)}"
    attempt = _Attempt(attempt_id, request, placement)
    state.attempts[attempt_id] = attempt
    state.by_request[request.request_id] = attempt_id
    _set_free(state, placement, False)
    if request.idempotent:
        _order_members(attempt, out)
    else:
        out.append(commands.RecordAttempt(request.request_id, attempt_id, placement))


def _order_members(attempt: _Attempt, out: list[commands.Command]) -> None:
    for member, place in enumerate(attempt.placement):
        out.append(
            commands.HoldTask(
                commands.format_task_id(attempt.attempt_id, member),
                attempt.request.request_id,
                member,
                place,
                start=len(attempt.placement) == 1,
            )
        )


def _handle_task_held(state: PartitionState, task_id: str, out: list[commands.Command]) -> None:
    attempt, member = _find_attempt(state, task_id)
    if attempt is None:
        return
    attempt.held.add(member)
    if len(attempt.held) == len(attempt.placement):
        for number, place in enumerate(attempt.placement):
            out.append(
                commands.StartTask(
                    commands.format_task_id(attempt.attempt_id, number), place.worker_id
                )
            )


def _handle_task_finished(state: PartitionState, task_id: str, out: list[commands.Command]) -> None:
    attempt, member = _find_attempt(state, task_id)
    if attempt is None or member in attempt.finished:
        return
    attempt.finished.add(member)
    if len(attempt.finished) == len(attempt.placement):
        out.append(
            commands.CollectAnswer(
                attempt.request.request_id,
                attempt.attempt_id,
                commands.format_task_id(attempt.attempt_id, 0),
                attempt.placement[0].worker_id,
            )
        )


def _close_attempt(state: PartitionState, attempt: _Attempt, out: list[commands.Command]) -> None:
    for member, place in enumerate(attempt.placement):
        task_id = commands.format_task_id(attempt.attempt_id, member)
        out.append(commands.ReleaseTask(task_id, place.worker_id))
        if place.worker_id in state.workers:
            state.releasing[task_id] = place
    del state.attempts[attempt.attempt_id]
    state.by_request.pop(attempt.request.request_id, None)


def _end_request(
    state: PartitionState,
    attempt: _Attempt,
    command: commands.EndRequest,
    out: list[commands.Command],
) -> None:
    out.append(command)
    state.tries.pop(attempt.request.request_id, None)
    _close_attempt(state, attempt, out)


def _retry(state: PartitionState, attempt: _Attempt, out: list[commands.Command]) -> None:
    request = attempt.request
    if not request.idempotent and (attempt.held or attempt.started):
        _end_request(
            state,
            attempt,
            commands.EndRequest(request.request_id, requests.End.MAY_HAVE_RUN, reason="lost"),
            out,
        )
        return
    tries = state.tries.get(request.request_id, 0) + 1
    if tries >= state.settings.max_attempts:
        _fail_request(state, attempt, "attempts exhausted", out)
        return
    _close_attempt(state, attempt, out)
    state.tries[request.request_id] = tries
    state.queue.append(request)


def _fail_request(
    state: PartitionState, attempt: _Attempt, error: str, out: list[commands.Command]
) -> None:
    _end_request(
        state,
        attempt,
        commands.EndRequest(
            attempt.request.request_id,
            requests.End.ANSWERED,
            requests.Outcome.FAILED,
            reason="job_failed",
            detail=error,
        ),
        out,
    )


def _cancel_request(state: PartitionState, request_id: str, out: list[commands.Command]) -> None:
    for request in state.queue:
        if request.request_id == request_id:
            state.queue.remove(request)
            out.append(commands.EndRequest(request_id, requests.End.CANCELLED))
            return
    attempt_id = state.by_request.get(request_id)
    if attempt_id is not None:
        _end_request(
            state,
            state.attempts[attempt_id],
            commands.EndRequest(request_id, requests.End.CANCELLED),
            out,
        )


def _handle_worker_lost(state: PartitionState, worker_id: str, out: list[commands.Command]) -> None:
    state.workers.pop(worker_id, None)
    for task_id, place in list(state.releasing.items()):
        if place.worker_id == worker_id:
            del state.releasing[task_id]
    for attempt in list(state.attempts.values()):
        if any(place.worker_id == worker_id for place in attempt.placement):
            _retry(state, attempt, out)
