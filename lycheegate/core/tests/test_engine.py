"""Tests of the engine with sequences of events, most of which include faults."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from lycheegate.core import (
    commands,
    engine,
    events,
    naive,
    policy,
    quarantine,
    retries,
    scheduling,
)
from lycheegate.core.tests import fakes, world
from lycheegate.model import releases, requests, resources
from lycheegate.utils import exceptions

_End = requests.End
_WORKERS = tuple(fakes.make_worker(f"w{number}", 8, 8) for number in range(4))


def _make_ready_state(workers: int = 1, now_s: float = 0.0, **settings) -> engine.PartitionState:
    """Returns a state at 10 s, after its takeover, with the given number of workers."""
    state = engine.create_state("suwon/0", policy.PolicySettings(**settings), seed=1)
    engine.decide(state, events.EpochGained(1), now_s)
    for worker in _WORKERS[:workers]:
        engine.decide(state, events.WorkerReported(worker), now_s)
    engine.decide(state, events.Tick(), 10.0)
    return state


def _send(state: engine.PartitionState, steps) -> list[commands.Command]:
    """Passes events to the engine and returns its commands; a float is the time of a tick."""
    out = []
    for step in steps:
        event, now_s = (step, 0.0) if not isinstance(step, float) else (events.Tick(), step)
        out += engine.decide(state, event, now_s)
    return out


def _select(out, kind):
    return [command for command in out if isinstance(command, kind)]


def _make_report(*tasks, restarted=False, instance=""):
    reported = tuple(
        events.TaskReport(task_id, task_id.split("-")[0], 0, task_state, 0, 1)
        for task_id, task_state in tasks
    )
    return events.WorkerReported(_WORKERS[0], reported, restarted=restarted, instance=instance)


_TASK = "r-1-1.0"
_WORKER_LOST = events.WorkerLost("w0")
_CANCEL = events.CancelRequested("r")
_TASK_FINISHED = events.TaskFinished(_TASK)
_ANSWER_STORED = events.AnswerStored("r-1-1")
_RELEASED_UNSTARTED = events.TaskReleased(_TASK, False)
_REFUSED_UNREACHABLE = events.TaskRefused(_TASK, events.Refusal.UNREACHABLE)
_RUNNING = events.TaskState.RUNNING


@pytest.mark.parametrize(
    ("steps", "ends", "records"),
    [
        ([_TASK_FINISHED, _ANSWER_STORED], [_End.ANSWERED], 0),
        (
            [_TASK_FINISHED, _TASK_FINISHED, _ANSWER_STORED, _ANSWER_STORED, _WORKER_LOST],
            [_End.ANSWERED],
            0,
        ),
        ([_TASK_FINISHED, events.TaskStarted(_TASK), _ANSWER_STORED], [_End.ANSWERED], 0),
        ([events.TaskFailed(_TASK, "x")], [_End.ANSWERED], 0),
        ([_TASK_FINISHED, events.AnswerBroken("r-1-1")], [_End.MAY_HAVE_RUN], 0),
        ([_WORKER_LOST, 39.0], [], 0),
        ([_WORKER_LOST, 40.5], [_End.MAY_HAVE_RUN], 0),
        (
            [_WORKER_LOST, 40.5, _make_report((_TASK, _RUNNING)), _TASK_FINISHED],
            [_End.MAY_HAVE_RUN],
            0,
        ),
        (
            [_WORKER_LOST, _make_report((_TASK, _RUNNING)), _TASK_FINISHED, _ANSWER_STORED],
            [_End.ANSWERED],
            0,
        ),
        (
            [_WORKER_LOST, _make_report((_TASK, events.TaskState.FINISHED)), _ANSWER_STORED],
            [_End.ANSWERED],
            0,
        ),
        ([_WORKER_LOST, _make_report((_TASK, events.TaskState.STOPPED))], [_End.MAY_HAVE_RUN], 0),
        ([_WORKER_LOST, _make_report(), 12.0], [], 0),
        ([_WORKER_LOST, _make_report(), _RELEASED_UNSTARTED, 12.0], [], 1),
        ([_WORKER_LOST, _make_report(), events.TaskReleased(_TASK, True)], [_End.MAY_HAVE_RUN], 0),
        ([_WORKER_LOST, _make_report(restarted=True)], [_End.MAY_HAVE_RUN], 0),
        ([events.TaskRefused(_TASK, events.Refusal.CAPACITY), 12.0], [], 1),
        ([_REFUSED_UNREACHABLE, 12.0], [], 0),
        (
            [_REFUSED_UNREACHABLE, 11.0, events.TaskRefused(_TASK, events.Refusal.CAPACITY), 14.0],
            [],
            0,
        ),
        ([events.TaskRefused(_TASK, events.Refusal.TOMBSTONE), _RELEASED_UNSTARTED, 12.0], [], 1),
        ([_CANCEL], [], 0),
        ([_CANCEL, _RELEASED_UNSTARTED], [_End.CANCELLED], 0),
        ([_CANCEL, _TASK_FINISHED, _ANSWER_STORED], [_End.ANSWERED], 0),
        ([_CANCEL, _WORKER_LOST, 40.5], [_End.MAY_HAVE_RUN], 0),
        ([events.TaskStarted(_TASK), _CANCEL, events.TaskStopped(_TASK, False)], ["cancelled"], 0),
        ([events.TaskStopped(_TASK, False)], [_End.MAY_HAVE_RUN], 0),
        (
            [events.TaskStarted(_TASK), _WORKER_LOST, _make_report(), _RELEASED_UNSTARTED],
            [_End.MAY_HAVE_RUN],
            0,
        ),
        (
            [
                _WORKER_LOST,
                _make_report((_TASK, _RUNNING)),
                _WORKER_LOST,
                _make_report(),
                _RELEASED_UNSTARTED,
            ],
            ["may_have_run"],
            0,
        ),
    ],
)
def test_end_non_idempotent_request(steps, ends, records):
    """Guards against a second run, a wrong ``not_run``, and a missing or repeated end."""
    state = _make_ready_state()
    request = fakes.make_request("r", idempotent=False)
    out = _send(state, [events.RequestSubmitted(request), events.AttemptRecorded("r-1-1")])
    assert [type(command) for command in out] == [commands.RecordAttempt, commands.HoldTask]
    out = _send(state, steps)
    assert [end.end for end in _select(out, commands.EndRequest)] == ends
    assert len(_select(out, commands.RecordAttempt)) == records


@pytest.mark.parametrize(
    ("steps", "end"),
    [
        ([_CANCEL], _End.CANCELLED),
        ([_WORKER_LOST], None),
        ([events.AttemptNotRecorded("r-1-1")], None),
        ([events.AttemptNotRecorded("r-1-1", "r-0-1"), 45.0], _End.MAY_HAVE_RUN),
        ([11.0, _CANCEL, events.AttemptRecorded("r-1-1")], _End.CANCELLED),
        ([events.WorkerLeaving("w0"), events.AttemptRecorded("r-1-1")], None),
        ([60.0], _End.NOT_RUN),
    ],
)
def test_order_nothing_without_record(steps, end):
    """Guards against an order for an attempt that is not recorded or must no longer start."""
    state = _make_ready_state()
    request = fakes.make_request("r", idempotent=False, deadline_at_s=50.0)
    _send(state, [events.RequestSubmitted(request)])
    out = _send(state, steps)
    assert [command.end for command in _select(out, commands.EndRequest)] == ([end] if end else [])
    assert not _select(out, commands.HoldTask)


_UNKNOWN_EVENTS = [
    events.CancelRequested("unknown"),
    events.AttemptRecorded("x-1-1"),
    events.AttemptNotRecorded("x-1-1"),
    events.WorkerLeaving("w9"),
    events.WorkerLost("w9"),
    events.EpochGained(1),
    events.EpochGained(0),
    events.AnswerStored("r-1-1"),
    events.AnswerBroken("x"),
    events.RequestSubmitted(fakes.make_request("r")),
    events.RecoveredRequest(fakes.make_request("r"), "r-0-1"),
    *(
        make(task_id)
        for task_id in ("x-1-1.0", "r-1-1.7", "r-1-1.x", "", "r-1-1.-1")
        for make in (
            events.TaskHeld,
            events.TaskStarted,
            events.TaskFinished,
            lambda task_id: events.TaskFailed(task_id, "x"),
            lambda task_id: events.TaskStopped(task_id, True),
            lambda task_id: events.TaskReleased(task_id, True),
            lambda task_id: events.TaskRefused(task_id, events.Refusal.LEAVING),
        )
    ),
]


@pytest.mark.parametrize("event", _UNKNOWN_EVENTS, ids=repr)
def test_ignore_unknown_event(event):
    """Guards against effects of late, repeated or unknown events."""
    state = _make_ready_state()
    _send(state, [events.RequestSubmitted(fakes.make_request("r"))])
    assert engine.decide(state, event, 10.0) == []
    assert [
        end.end for end in _send(state, [_TASK_FINISHED, _ANSWER_STORED]) if hasattr(end, "end")
    ] == [_End.ANSWERED]


_GANG = fakes.make_request("g", 3, 8)


@pytest.mark.parametrize(
    ("steps", "starts", "stops", "releases"),
    [
        ([], 0, 0, 0),
        (["held"], 3, 0, 0),
        (["held", "started", events.WorkerLost("w0")], 3, 2, 0),
        (["held", "started", events.TaskFailed("g-1-1.2", "x"), "stopped"], 3, 2, 3),
        (["held", events.TaskStarted("g-1-1.0"), 11.5], 3, 3, 0),
        ([events.TaskHeld("g-1-1.0"), 12.5], 0, 0, 3),
        ([events.TaskHeld("g-1-1.0"), events.WorkerLost("w1")], 0, 0, 2),
        ([events.TaskHeld("g-1-1.0"), events.WorkerLeaving("w0")], 0, 0, 3),
        ([events.TaskHeld("g-1-1.0"), events.CancelRequested("g")], 0, 0, 3),
        ([events.TaskRefused("g-1-1.1", events.Refusal.CAPACITY)], 0, 0, 2),
    ],
)
def test_start_gang_completely_or_not_at_all(steps, starts, stops, releases):
    """Guards against a gang that runs with only some of its members."""
    state = _make_ready_state(3)
    _send(state, [events.RequestSubmitted(_GANG)])
    factories = {
        "held": events.TaskHeld,
        "started": events.TaskStarted,
        "stopped": lambda task_id: events.TaskStopped(task_id, True),
    }
    expanded = []
    for step in steps:
        if isinstance(step, str):
            expanded += [factories[step](f"g-1-1.{member}") for member in range(3)]
        else:
            expanded.append(step)
    out = _send(state, expanded)
    assert len(_select(out, commands.StartTask)) == starts
    assert len(_select(out, commands.StopTask)) == stops
    assert len(_select(out, commands.ReleaseTask)) == releases


def test_preempt_with_grace():
    """Guards against preemption without a grace period, or counted as a failed attempt."""
    state = _make_ready_state(1)
    _send(
        state, [events.RequestSubmitted(fakes.make_request("r", 1, 8)), events.TaskStarted(_TASK)]
    )
    urgent = fakes.make_request("u", 1, 8, urgency=requests.Urgency.URGENT, preemptible=False)
    (stop,) = _send(state, [events.RequestSubmitted(urgent)])
    assert stop == commands.StopTask(_TASK, "w0", commands.StopMode.CHECKPOINT, 2.0)
    out = _send(state, [events.TaskStopped(_TASK, True)])
    assert [hold.request_id for hold in _select(out, commands.HoldTask)] == ["u"]
    assert state.jobs["r"].attempts == 0


@pytest.mark.parametrize(
    ("changes", "reason", "retry_after_s"),
    [
        ({"shape": resources.Shape(1, 9)}, "worker", None),
        ({"shape": resources.Shape(5, 8)}, "data_centre", None),
        ({"client_account": "small", "shape": resources.Shape(1, 4)}, "quota", None),
        ({"deadline_at_s": 9.0}, "deadline", None),
        ({"client_account": "full"}, "overload", 10.0),
        ({"caller": "slow", "deadline_at_s": 30.0}, "deadline", None),
        ({"client_account": "other"}, None, None),
    ],
)
def test_reject_request_at_submission(changes, reason, retry_after_s):
    """Guards against accepting requests that fit nowhere, are too late, or exceed a limit.

    The limits are the quota of the client account and its share of the queue.
    """
    state = _make_ready_state(2, max_queued=40)
    accounts = (
        releases.ClientAccount("small", 2),
        releases.ClientAccount("full"),
        releases.ClientAccount("other"),
    )
    state.estimates["slow", "hero-shot"] = [5.0] * 9
    _send(state, [events.ReleaseApplied(1, accounts, ())])
    for number in range(40):
        request = fakes.make_request(f"f{number}", 1, 8, client_account="full")
        _send(state, [events.RequestSubmitted(request)])
    request = dataclasses.replace(fakes.make_request("r"), **changes)
    ends = _select(_send(state, [events.RequestSubmitted(request)]), commands.EndRequest)
    assert [(end.end, end.reason, end.retry_after_s) for end in ends] == (
        [(_End.NOT_RUN, reason, retry_after_s)] if reason else []
    )


_SUBMITTED = events.RequestSubmitted(fakes.make_request("r"))
_RECOVERED = events.RecoveredRequest(fakes.make_request("r"))


@pytest.mark.parametrize(
    ("steps", "reason", "retry_after_s"),
    [
        ([(_SUBMITTED, 0.0), (events.Tick(), 59.0)], None, None),
        ([(_RECOVERED, 0.0), (events.Tick(), 0.5), (events.Tick(), 59.0)], None, None),
        ([(events.Tick(), 5.0), (_SUBMITTED, 5.0), (events.Tick(), 59.0)], None, None),
        ([(_SUBMITTED, 0.0), (events.Tick(), 60.0)], "worker", 60.0),
        ([(events.Tick(), 61.0), (_SUBMITTED, 61.0)], "worker", 60.0),
        (
            [(_SUBMITTED, 0.0), (events.Tick(), 5.0), (events.WorkersListed(()), 6.0)],
            "worker",
            None,
        ),
        (
            [(_SUBMITTED, 0.0), (events.WorkersListed(()), 1.0), (events.Tick(), 5.0)],
            "worker",
            None,
        ),
    ],
)
def test_await_first_reports_of_listed_workers(steps, reason, retry_after_s):
    """Guards against ending accepted work because its worker is silent at a takeover.

    A listed worker that does not report within 3 s of the takeover may be unreachable for a few
    seconds only. One that is no longer listed is not awaited.
    """
    state = engine.create_state("suwon/0", policy.PolicySettings(), seed=1)
    engine.decide(state, events.EpochGained(1), 0.0)
    engine.decide(state, events.WorkersListed(("w0",)), 0.0)
    if all(event != _RECOVERED for event, _ in steps):
        engine.decide(state, events.Tick(), 0.0)
    out = [command for event, now_s in steps for command in engine.decide(state, event, now_s)]
    ends = _select(out, commands.EndRequest)
    assert [(end.end, end.reason, end.retry_after_s) for end in ends] == (
        [(_End.NOT_RUN, reason, retry_after_s)] if reason else []
    )
    if not reason:
        out = engine.decide(state, events.WorkerReported(_WORKERS[0]), 59.5)
        assert [hold.request_id for hold in _select(out, commands.HoldTask)] == ["r"]


def test_reject_impossible_request_after_the_last_first_report():
    """Guards against a request that fits nowhere and waits although all workers have reported."""
    state = engine.create_state("suwon/0", policy.PolicySettings(), seed=1)
    engine.decide(state, events.EpochGained(1), 0.0)
    engine.decide(state, events.WorkersListed(("w0", "w1")), 0.0)
    engine.decide(state, events.Tick(), 0.0)
    large = fakes.make_request("r", 1, 9)
    assert not engine.decide(state, events.RequestSubmitted(large), 5.0)
    assert not engine.decide(state, events.WorkerReported(_WORKERS[0]), 6.0)
    (end,) = engine.decide(state, events.WorkerReported(_WORKERS[1]), 7.0)
    assert (end.end, end.reason, end.retry_after_s) == (_End.NOT_RUN, "worker", None)


def test_cancel_request_before_its_submission():
    """Guards against running a request whose cancellation arrived before its submission."""
    state = _make_ready_state()
    out = _send(state, [_CANCEL, events.RequestSubmitted(fakes.make_request("r"))])
    assert [end.end for end in out] == [_End.CANCELLED]


@pytest.mark.parametrize(
    ("guaranteed", "healthy", "expected"), [(0, True, True), (0, False, False), (4, True, False)]
)
def test_quarantine_bad_worker(guaranteed, healthy, expected):
    """Guards against a faulty worker that attracts all work, and quarantine of a healthy one."""
    state = _make_ready_state(4)
    shape = resources.Shape(1, 8)
    guarantee = releases.Guarantee("atelier", "block", shape, guaranteed, "suwon")
    accounts = (releases.ClientAccount("hanbok-studio"), releases.ClientAccount("atelier"))
    _send(state, [events.ReleaseApplied(1, accounts, (guarantee,) if guaranteed else ())])
    quarantined = []
    for number in range(60):
        request = fakes.make_request(f"q{number}", 1, 4)
        out = _send(state, [events.RequestSubmitted(request), 10.0 + number])
        while holds := _select(out, commands.HoldTask):
            results = []
            for hold in holds:
                fails = hold.place.worker_id == "w0" or not healthy
                task_id, attempt_id = hold.task_id, hold.task_id.rpartition(".")[0]
                results += (
                    [events.TaskFailed(task_id, "x")]
                    if fails
                    else [events.TaskFinished(task_id), events.AnswerStored(attempt_id)]
                )
            out = _send(state, results)
            quarantined += _select(out, commands.QuarantineWorker)
    assert bool(quarantined) is expected
    assert {command.worker_id for command in quarantined} <= {"w0"}
    assert not scheduling.list_short_guarantees(state.scheduling)


def test_end_job_that_fails_on_every_worker():
    """Guards against endless retries of a job that fails on every worker."""
    state = _make_ready_state(4)
    out = _send(state, [events.RequestSubmitted(fakes.make_request("r"))])
    workers, now_s = [], 10.0
    while holds := _select(out, commands.HoldTask):
        workers.append(holds[0].place.worker_id)
        now_s += 5.0
        out = _send(state, [events.TaskFailed(holds[0].task_id, "no such file"), now_s])
    (end,) = _select(out, commands.EndRequest)
    assert (end.end, end.outcome, end.detail) == (_End.ANSWERED, "failed", "no such file")
    assert len(set(workers)) == 3


def test_end_after_last_attempt():
    """Guards against endless retries after losses of workers, and against a missing end."""
    state = _make_ready_state()
    out = _send(state, [events.RequestSubmitted(fakes.make_request("r"))])
    for number in range(4):
        out = _send(state, [_WORKER_LOST, events.WorkerReported(_WORKERS[0]), 20.0 + 10 * number])
    assert [(end.end, end.reason) for end in out] == [(_End.ANSWERED, "attempts_exhausted")]


def test_delay_retries_within_budget():
    """Guards against retries without backoff, and against a burst of retries after a loss."""
    state = _make_ready_state(workers=4)
    for number in range(30):
        request = fakes.make_request(f"r{number}", 1, 1)
        _send(state, [events.RequestSubmitted(request)])
    state.retry_free_s["hanbok-studio"] = 10.0
    _send(state, [events.WorkerLost(f"w{number}") for number in range(4)])
    delays = sorted(job.delayed_until_s for job in state.jobs.values())
    assert delays[0] > 10.0
    assert delays[-1] > 12.99
    state.retry_free_s.clear()
    first = [retries.compute_backoff_s(state, f"r{number}", 0) for number in range(20)]
    assert len(set(first)) == 20
    assert max(first) <= 0.2 < retries.compute_backoff_s(state, "r0", 9)


def test_expire_recovered_request_as_failed():
    """Guards against a ``not_run`` end of a request that an earlier owner may have run."""
    state = engine.create_state("suwon/0")
    _send(state, [events.EpochGained(2)])
    request = fakes.make_request("r", deadline_at_s=20.0)
    out = _send(state, [events.RecoveredRequest(request), 1.0, 21.0])
    assert [(end.end, end.outcome) for end in out] == [(_End.ANSWERED, requests.Outcome.FAILED)]


def test_order_nothing_to_leaving_worker():
    """Guards against new or repeated orders to a worker that is leaving."""
    state = _make_ready_state()
    _send(state, [events.RequestSubmitted(fakes.make_request("r")), _REFUSED_UNREACHABLE])
    out = _send(state, [events.WorkerLeaving("w0"), 11.0])
    out += _send(state, [events.RequestSubmitted(fakes.make_request("n")), 12.0])
    assert not _select(out, commands.HoldTask)
    assert state.attempt_number == 1


@pytest.mark.parametrize("succeeds", [True, False])
def test_probe_quarantined_worker(succeeds):
    """Guards against a quarantine that outlasts a successful probe or ends after a failed one."""
    state = _make_ready_state()
    worker = state.workers["w0"]
    worker.quarantined_at_s, worker.probe_at_s, worker.probe_interval_s = 10.0, 20.0, 30.0
    state.quarantined["w0"] = None
    quarantine.update_placeable(state, worker)
    for number in range(2):
        _send(state, [events.RequestSubmitted(fakes.make_request(f"r{number}"))])
    (probe,) = _send(state, [19.0, 21.0])
    result = events.TaskFinished if succeeds else lambda task_id: events.TaskFailed(task_id, "x")
    out = _send(state, [result(probe.task_id)])
    kinds = [commands.RestoreWorker, commands.CollectAnswer, commands.HoldTask]
    assert [type(command) for command in out] == (kinds if succeeds else [commands.ReleaseTask])
    if not succeeds:
        assert _send(state, [22.0, 80.0]) == []
        assert len(_select(_send(state, [82.0]), commands.HoldTask)) == 1


def test_restore_quarantined_worker_for_guarantee():
    """Guards against a guarantee that is short because a worker is quarantined."""
    state = _make_ready_state(2)
    worker = state.workers["w0"]
    worker.quarantined_at_s, worker.probe_at_s = 10.0, 99.0
    state.quarantined["w0"] = None
    quarantine.update_placeable(state, worker)
    shape = resources.Shape(1, 8)
    guarantee = releases.Guarantee("atelier", "block", shape, 2, "suwon")
    account = releases.ClientAccount("atelier")
    assert _send(state, [events.ReleaseApplied(1, (account,), (guarantee,))]) == [
        commands.RestoreWorker("w0")
    ]
    assert _send(state, [_WORKER_LOST]) == [
        commands.ReportShortGuarantee("atelier", "block", 1, "capacity_lost")
    ]


def test_restore_unprobed_worker():
    """Guards against an endless quarantine if no waiting request is suitable as a probe."""
    state = _make_ready_state()
    worker = state.workers["w0"]
    worker.quarantined_at_s, worker.probe_at_s = 10.0, 20.0
    state.quarantined["w0"] = None
    quarantine.update_placeable(state, worker)
    request = fakes.make_request("r", idempotent=False)
    assert _send(state, [events.RequestSubmitted(request), 79.0]) == []
    out = _send(state, [80.5])
    assert [type(command) for command in out] == [commands.RestoreWorker, commands.RecordAttempt]


def test_adopt_running_task_and_release_stale_task():
    """Guards against a second run of an adopted task, and new work beside a stale task."""
    state = engine.create_state("suwon/0")
    out = _send(
        state, [events.EpochGained(4), _make_report(("r-3-1.0", _RUNNING), ("x-3-2.0", _RUNNING))]
    )
    out += _send(state, [events.RecoveredRequest(fakes.make_request("r")), 0.1])
    assert out == [commands.ReleaseTask("x-3-2.0", "w0")]
    assert _send(state, [events.RequestSubmitted(fakes.make_request("n"))]) == []
    out = _send(state, [events.TaskReleased("x-3-2.0", True), events.TaskFinished("r-3-1.0")])
    assert [type(command) for command in out] == [commands.HoldTask, commands.CollectAnswer]


@pytest.mark.parametrize("reported_first", [False, True])
@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        # The worker has not restarted, so its reply to the release proves that nothing started.
        (("i1",), [commands.ReleaseTask]),
        # The worker has restarted since; the task may have run before the restart.
        (("i0",), [commands.EndRequest]),
    ],
)
def test_recover_recorded_attempt_that_was_never_ordered(recorded, expected, reported_first):
    """Guards against abandoning an accepted request whose order was never sent.

    The owner failed after it recorded the attempt and before it sent the order. For a new owner,
    the first report of a worker always counts as one after a restart, so only the recorded
    instance shows whether the worker has restarted.
    """
    state = engine.create_state("suwon/0")
    request = fakes.make_request("r", idempotent=False)
    place = resources.MemberPlacement("w0", 0, 1)
    recovered = events.RecoveredRequest(request, "r-1-1", (place,), instances=recorded)
    steps = [recovered, _make_report(restarted=True, instance="i1")]
    if reported_first:
        steps.reverse()
    out = _send(state, [events.EpochGained(2), *steps])
    assert [type(command) for command in out] == expected
    if expected == [commands.EndRequest]:
        assert out[0].end is _End.MAY_HAVE_RUN
        return
    out = _send(state, [events.TaskReleased("r-1-1.0", False), 0.1, 20.0])
    assert [type(command) for command in out] == [commands.RecordAttempt]


_SNAPSHOT = engine.make_snapshot(engine.create_state("a"))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 100,
        _SNAPSHOT[:8] + bytes([_SNAPSHOT[8] + 1]) + _SNAPSHOT[9:],
        _SNAPSHOT[:9] + bytes([_SNAPSHOT[9] ^ 1]) + _SNAPSHOT[10:],
        _SNAPSHOT[:-1],
    ],
)
def test_reject_unreadable_snapshot(data):
    """Guards against restoring a snapshot of another format or damaged data."""
    with pytest.raises(exceptions.SnapshotFormatError):
        engine.restore_snapshot(data)


_SHAPES = st.sampled_from([(1, 0), (1, 1), (1, 4), (2, 2), (3, 4), (2, 1)])


@hypothesis.given(
    drawn=st.lists(st.tuples(_SHAPES, st.booleans(), st.booleans(), st.booleans()), max_size=12)
)
def test_agree_with_baseline(drawn):
    """Guards against ends and runs that differ from the baseline's without faults of workers."""
    worlds = []
    for core in (engine, naive):
        run = world.World(workers=4, core=core)
        run.advance(4.0)
        for number, (shape, idempotent, is_bad, pause) in enumerate(drawn):
            request = fakes.make_request(f"r{number}", *shape, idempotent=idempotent)
            if is_bad and not idempotent:
                run.bad_jobs.add(request.request_id)
            run.submit(request, 1.0)
            run.advance(0.5 if pause else 0.0)
        run.advance(60.0)
        run.check()
        worlds.append(run)
    for request_id, record in worlds[0].records.items():
        other = worlds[1].records[request_id]
        assert record.end is not None
        assert other.end is not None
        assert (record.end.end, record.end.outcome) == (other.end.end, other.end.outcome)
        assert len(worlds[0].runs[request_id]) == len(worlds[1].runs[request_id]) == 1


def test_agree_with_baseline_after_failed_gang():
    """Guards against a difference from the baseline that a drawn case of the test above found.

    A gang fails for a reason of its own while a larger gang waits. The baseline then ends the
    larger gang as failed with its attempts exhausted; the engine answers it.
    """
    drawn = [
        ((1, 1), False, False, False),
        ((3, 4), False, False, False),
        ((1, 1), False, False, False),
        ((2, 2), False, True, False),
        ((3, 4), True, False, False),
    ]
    test_agree_with_baseline.hypothesis.inner_test(drawn)
