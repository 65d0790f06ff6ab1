"""Log lines about open jobs that have nothing running."""

import copy
import dataclasses
import itertools

import pytest

from lycheegate.jobs import (
    commands,
    failure_waves,
    headroom,
    lifecycle,
    model,
    runs,
    scheduling,
    state,
    waiting,
)

_NOW_S = 100.0
_CAPACITY = model.Resources(8_000, 8_000, 8)
_NEED = model.Resources(1_000, 1_000, 1)
_ROUTE = model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 1.0)
_STEP = model.Step(2, _NEED, 30.0)
_JOB_ID = "0" * 16


def _make_state(worker_count: int = 2) -> state.SchedulerState:
    """Returns a state whose workers have just reported."""
    current = state.SchedulerState(1, state.Policy(), 90.0)
    for number in range(worker_count):
        worker = state.WorkerState(
            f"w{number}", "render", "a:1", "z", "r0", frozenset("a"), _CAPACITY, _CAPACITY
        )
        worker.incarnation.confirmed = True
        worker.reported_at_s = _NOW_S
        worker.leases_expire_at_s = _NOW_S + 5.0
        current.workers[worker.worker_id] = worker
    return current


def _add_job(
    current: state.SchedulerState, job_id: str = _JOB_ID, step: model.Step = _STEP, **fields
) -> state.JobState:
    """Adds a job whose tasks have been ready for 5 s."""
    account = fields.pop("account", "acme")
    job = state.JobState(model.Job(job_id, "batch", account, "x", (step,), 0.0, **fields), _ROUTE)
    lifecycle.add_job(current, job, _NOW_S, _NOW_S)
    for step_state in job.steps.values():
        step_state.ready_since_s = _NOW_S - 5.0
    return job


def _add_run(
    current: state.SchedulerState, job: state.JobState, phase: state.RunPhase, worker_id: str = "w0"
) -> state.Run:
    step = next(iter(job.steps.values()))
    run = runs.add_run(current, job, step, 0, current.workers[worker_id], 3, _NOW_S)
    run.phase = phase
    return run


def _list_decisions(
    current: state.SchedulerState, now_s: float = _NOW_S
) -> list[commands.Decision]:
    found = waiting.check_waiting(current, now_s, now_s)
    assert all(isinstance(decision, commands.Decision) for decision in found)
    return found


def _make_silent(current: state.SchedulerState, is_registered: bool) -> dict:
    job = _add_job(current)
    _add_run(current, job, state.RunPhase.ORDERED)
    worker = current.workers["w0"]
    worker.registered = is_registered
    worker.reported_at_s = _NOW_S - 3.0
    return {"worker": "w0", "run": 3, "leases_expire_in_s": 5.0, "silent_s": 3.0}


def _make_unlisted(current: state.SchedulerState) -> dict:
    job = _add_job(current)
    run = _add_run(current, job, state.RunPhase.ORDERED)
    run.awaits_first_report = True
    del current.workers["w0"]
    return {
        "worker": "w0",
        "leases_expire_in_s": pytest.approx(4.222, abs=0.01),
        "silent_s": 10.0,
    }


def _make_stray(current: state.SchedulerState, is_silent: bool) -> dict:
    job = _add_job(current)
    task = model.TaskKey(job.job.job_id, 0, 0, 1)
    current.workers["w1"].strays[task, 7] = _NEED
    current.stray_tasks[task] = 1
    fields = {"worker": "w1", "run": 7}
    if is_silent:
        current.workers["w1"].reported_at_s = _NOW_S - 3.0
        fields |= {"leases_expire_in_s": 5.0, "silent_s": 3.0}
    return fields


def _make_lost_stray(current: state.SchedulerState) -> dict:
    job = _add_job(current)
    current.stray_tasks[model.TaskKey(job.job.job_id, 0, 0, 0)] = 1
    return {}


def _make_run(current: state.SchedulerState, phase: state.RunPhase, **fields) -> dict:
    run = _add_run(current, _add_job(current), phase)
    for name, value in fields.items():
        setattr(run, name, value)
    expected = {"worker": "w0", "run": 3}
    return expected | {"stopped": run.stop_reason.value} if run.stop_reason else expected


def _make_held_back(current: state.SchedulerState) -> dict:
    job = _add_job(current)
    _add_run(current, job, state.RunPhase.INTENDED)
    job.write_not_before_s = _NOW_S + 4.0
    return {"worker": "w0", "retry_in_s": 4.0}


def _make_backoff(current: state.SchedulerState) -> dict:
    next(iter(_add_job(current).steps.values())).not_before_s = _NOW_S + 1.5
    return {"retry_in_s": 1.5}


def _make_reservation(current: state.SchedulerState) -> dict:
    job = _add_job(current, step=dataclasses.replace(_STEP, gang=True))
    reservation = state.Reservation({0: "w1", 1: "w0"}, _NEED, _NOW_S + 7.0, False)
    current.reservations[job.job.job_id, 0, 0, -1] = reservation
    return {"workers": ["w0", "w1"], "expires_in_s": 7.0}


def _make_label(current: state.SchedulerState) -> dict:
    _add_job(current, step=dataclasses.replace(_STEP, label="b"))
    return {"label": "b", "service": "render", "unusable": 0}


def _make_evacuated(current: state.SchedulerState) -> dict:
    _add_job(current)
    current.evacuations = state.Evacuations(frozenset({"z"}), _NOW_S)
    return {"unusable": 2}


def _make_unconfirmed(current: state.SchedulerState) -> dict:
    _add_job(current)
    current.policy = state.Policy(max_operator_view_age_s=3.5)
    current.evacuations = state.Evacuations(frozenset(), _NOW_S - 4.0)
    return {"confirmed": False}


def _make_draining(current: state.SchedulerState) -> dict:
    _add_job(current, step=dataclasses.replace(_STEP, label="a"))
    for worker in current.workers.values():
        worker.draining = True
    return {"label": "a", "unusable": 2}


def _make_trial(current: state.SchedulerState) -> dict:
    _add_job(current)
    for worker in current.workers.values():
        worker.trials.add(model.TaskKey("f" * 16, 0, 0, 0))
    return {}


def _make_large(current: state.SchedulerState) -> dict:
    _add_job(current, step=model.Step(3, _CAPACITY, 30.0, gang=True))
    return {"candidates": 2}


def _make_free(current: state.SchedulerState) -> dict:
    _add_job(current)
    return {}


def _make_headroom(current: state.SchedulerState) -> dict:
    for worker in current.workers.values():
        worker.room = model.Resources(1_000, 1_000, 1)
    current.urgent_demand["render"] = headroom.UrgentDemand(1.0, 1.0, _NOW_S)
    _add_job(current)
    return {}


def _make_reserved_for_others(current: state.SchedulerState) -> dict:
    placement = {0: "w0", 1: "w1"}
    current.reservations["f" * 16, 0, 0, -1] = state.Reservation(
        placement, _CAPACITY, _NOW_S + 9.0, False
    )
    _add_job(current)
    return {"reservations": 1}


def _make_far(current: state.SchedulerState) -> dict:
    current.workers["w1"].rack = "r1"
    current.workers["w1"].room = model.Resources()
    _add_job(current, step=dataclasses.replace(_STEP, near_rack="r1"))
    return {"rack": "r1", "expires_in_s": 25.0}


def _make_full(current: state.SchedulerState) -> dict:
    for worker in current.workers.values():
        worker.room = model.Resources()
    _add_job(current)
    return {"candidates": 2}


def _make_unproved(current: state.SchedulerState) -> dict:
    gang = model.Step(1, _NEED, 30.0, gang=True)
    current.failure_waves["render"] = state.FailureWave(_NOW_S - 2.0, _NOW_S - 1.0)
    for number in range(failure_waves.MAX_UNPROVED_GANGS):
        job = _add_job(current, f"{number + 1:016x}", gang)
        _add_run(current, job, state.RunPhase.RUNNING).running_since_s = _NOW_S
    _add_job(current, step=gang)
    return {"unproved": 2}


_REASON = waiting.Reason
_ORDERED, _STOPPING = state.RunPhase.ORDERED, state.RunPhase.STOPPING
_STOPPED = {"stop_reason": state.StopReason.EVACUATED}
_CASES = {
    "not registered": (_REASON.WORKER_NOT_REGISTERED, lambda s: _make_silent(s, False)),
    "unlisted": (_REASON.WORKER_NOT_REGISTERED, _make_unlisted),
    "silent": (_REASON.WORKER_SILENT, lambda s: _make_silent(s, True)),
    "stray": (_REASON.STRAY_RUN, lambda s: _make_stray(s, False)),
    "stray on a silent worker": (_REASON.STRAY_RUN, lambda s: _make_stray(s, True)),
    "stray without a worker": (_REASON.STRAY_RUN, _make_lost_stray),
    "ordered": (_REASON.START_UNCONFIRMED, lambda s: _make_run(s, _ORDERED)),
    "stopping": (_REASON.STOP_UNCONFIRMED, lambda s: _make_run(s, _STOPPING, **_STOPPED)),
    "stopped": (
        _REASON.STOP_UNFINISHED,
        lambda s: _make_run(s, _STOPPING, confirmed_at_s=99.0, **_STOPPED),
    ),
    "intended": (
        _REASON.INTENTION_NOT_STORED,
        lambda s: _make_run(s, state.RunPhase.INTENDED),
    ),
    "held back": (_REASON.INTENTION_NOT_STORED, _make_held_back),
    "backoff": (_REASON.BACKOFF, _make_backoff),
    "reservation": (_REASON.RESERVATION, _make_reservation),
    "evacuated": (_REASON.EVACUATED, _make_evacuated),
    "unconfirmed": (_REASON.EVACUATED, _make_unconfirmed),
    "label": (_REASON.NO_USABLE_WORKER, _make_label),
    "draining": (_REASON.NO_USABLE_WORKER, _make_draining),
    "trial": (_REASON.TRIAL, _make_trial),
    "large": (_REASON.EXCEEDS_CAPACITY, _make_large),
    "free": (_REASON.NOT_PLACED, _make_free),
    "headroom": (_REASON.HEADROOM, _make_headroom),
    "reserved for others": (_REASON.ROOM_RESERVED, _make_reserved_for_others),
    "unproved": (_REASON.UNPROVED_WORKERS, _make_unproved),
    "far": (_REASON.RACK_OF_DATA, _make_far),
    "full": (_REASON.NO_ROOM, _make_full),
}


@pytest.mark.parametrize("case", _CASES)
def test_reason_of_a_waiting_job(case):
    """Guards against a job that stands still without a line that names the cause."""
    reason, prepare = _CASES[case]
    current = _make_state()
    expected = prepare(current)
    (decision,) = _list_decisions(current)
    assert decision.event == "job_waiting"
    header = {"job": _JOB_ID, "account": "acme", "step": "0.0", "reason": reason.value, "more": 0}
    assert decision.fields | header | expected == decision.fields
    assert decision.fields["waited_s"] == 5.0


def test_every_reason_has_a_case():
    """Guards against a reason that no test has seen."""
    assert {reason for reason, _ in _CASES.values()} == set(waiting.Reason)


@pytest.mark.parametrize("case", _CASES)
def test_a_check_changes_no_decision(case):
    """Guards against checks that change what the next scheduling pass places or stops.

    The state before and after a check is compared, and a pass with and without an earlier check.
    """
    current = _make_state()
    _CASES[case][1](current)
    unchecked = copy.deepcopy(current)
    _list_decisions(current)
    current.idle_jobs = state.IdleJobs()
    assert current == unchecked
    placed = [scheduling.schedule(each, _NOW_S, _NOW_S) for each in (current, unchecked)]
    assert placed[0] == placed[1]
    assert current == unchecked


def test_most_specific_reason_is_reported():
    """Guards against a full service, or a backoff, that hides the worker that a job waits for."""
    current = _make_state()
    _make_full(current)
    job = current.jobs[_JOB_ID]
    _add_run(current, job, _ORDERED)
    job.steps[0, 0].not_before_s = _NOW_S + 1.0
    (decision,) = _list_decisions(current)
    assert decision.fields["reason"] == "start_unconfirmed"


@pytest.mark.parametrize("change", ["running", "done", "not ready", "cancelled", "not due"])
def test_job_that_does_not_wait(change):
    """Guards against lines about jobs that run, or that have nothing to run."""
    current = _make_state()
    job = _add_job(current, start_at_s=200.0 if change == "not due" else 0.0)
    if change == "running":
        _add_run(current, job, state.RunPhase.RUNNING)
    elif change == "done":
        job.steps[0, 0].done = {0, 1}
    elif change == "cancelled":
        lifecycle.cancel_job(current, _JOB_ID, _NOW_S)
    elif change == "not ready":
        job.steps[0, 0].done = {0, 1}
        later = model.Step(1, _NEED, 1.0, depends_on=(2,))
        job.steps[0, 1] = state.StepState((0, 1), later)
        job.steps[0, 2] = state.StepState((0, 2), dataclasses.replace(_STEP, depends_on=(1,)))
        for step in job.steps.values():
            step.ready_since_s = _NOW_S - 5.0
    assert _list_decisions(current) == []


def test_time_without_a_run():
    """Guards against lines about jobs that wait as usual, and against waits counted too long.

    A job that has run waits from the end of its last run on, or from the order to stop it.
    """
    current = _make_state()
    job = _add_job(current)
    run = _add_run(current, job, state.RunPhase.RUNNING)
    assert _list_decisions(current) == []
    runs.stop_run(current, run, state.StopReason.PREEMPTED, _NOW_S + 0.4)
    assert _list_decisions(current, _NOW_S + 1.0) == []
    assert _list_decisions(current, _NOW_S + 2.0) == []
    current.workers["w0"].reported_at_s = _NOW_S + 3.0
    (decision,) = _list_decisions(current, _NOW_S + 3.0)
    assert (decision.fields["reason"], decision.fields["waited_s"]) == ("stop_unconfirmed", 2.6)


def test_end_of_a_run_between_two_checks():
    """Guards against a job of short tasks that seems to stand still because no check sees a run."""
    current = _make_state()
    for worker in current.workers.values():
        worker.room = model.Resources()
    job = _add_job(current, step=model.Step(9, _NEED, 30.0))
    for number in range(9):
        now_s = _NOW_S + 1.1 * number
        run = runs.add_run(
            current, job, job.steps[0, 0], number, current.workers["w0"], 1, now_s - 0.2
        )
        run.phase = state.RunPhase.RUNNING
        runs.end_run(current, run, runs.End.DONE, "done", now_s - 0.1)
        assert _list_decisions(current, now_s) == []


@pytest.mark.parametrize("is_seen", [False, True], ids=["between two checks", "at a check"])
def test_job_that_runs_again(is_seen):
    """Guards against a reported wait whose end is not logged, or is logged twice."""
    current = _make_state()
    _make_full(current)
    job = current.jobs[_JOB_ID]
    assert [decision.event for decision in _list_decisions(current)] == ["job_waiting"]
    run = _add_run(current, job, _ORDERED)
    runs.record_start_confirmed(current, run, _NOW_S + 0.5)
    if not is_seen:
        runs.end_run(current, run, runs.End.DONE, "done", _NOW_S + 0.7)
    (decision,) = _list_decisions(current, _NOW_S + 1.0)
    assert decision.event == "job_resumed"
    waited_s = 5.5 if is_seen else 5.7
    assert decision.fields == {"job": _JOB_ID, "account": "acme", "waited_s": waited_s}
    assert _list_decisions(current, _NOW_S + 2.0) == []


def test_job_that_was_not_reported_is_not_reported_as_resumed():
    """Guards against a line for each job that starts."""
    current = _make_state()
    job = _add_job(current)
    job.steps[0, 0].ready_since_s = _NOW_S
    assert _list_decisions(current) == []
    _add_run(current, job, state.RunPhase.RUNNING)
    assert _list_decisions(current, _NOW_S + 1.0) == []


def test_jobs_of_an_account_share_a_line():
    """Guards against a log that grows with the number of waiting jobs, or names only one of them.

    In 20 s there are 10 lines for each of two accounts with 5 jobs.
    """
    current = _make_state()
    _make_full(current)
    del current.jobs[_JOB_ID]
    for number in range(10):
        _add_job(current, f"{number:016x}", account=f"account{number % 2}")
    named = []
    for tick in range(80):
        now_s = _NOW_S + 0.25 * tick
        for worker in current.workers.values():
            worker.reported_at_s = now_s
        for decision in _list_decisions(current, now_s):
            assert decision.fields["more"] == 4
            named.append(decision.fields["job"])
    assert sorted(named) == sorted(2 * [f"{number:016x}" for number in range(10)])


def test_silence_counts_from_the_begin_of_the_term_on():
    """Guards against a worker that has never reported to this holder and seems silent for hours."""
    current = _make_state()
    job = _add_job(current)
    _add_run(current, job, state.RunPhase.ORDERED).awaits_first_report = True
    current.workers["w0"].incarnation.confirmed = False
    current.workers["w0"].reported_at_s = 0.0
    (decision,) = _list_decisions(current)
    assert (decision.fields["reason"], decision.fields["silent_s"]) == ("worker_silent", 10.0)


@pytest.mark.parametrize("is_quarantined", [False, True])
def test_load_of_the_service_is_that_of_all_registered_workers(is_quarantined):
    """Guards against a line that cannot tell a full service from one with unusable workers.

    The load is that by which preferences give way, so a job that waits beside an empty service
    shows as one.
    """
    current = _make_state(4)
    current.workers["w0"].room = model.Resources()
    current.workers["w1"].room = model.Resources(0, 0, 4)
    current.workers["w3"].registered = False
    if is_quarantined:
        for worker in current.workers.values():
            worker.quarantined_until_s = _NOW_S + 20.0
    _add_job(current, step=dataclasses.replace(_STEP, label="b"))
    (decision,) = _list_decisions(current)
    assert decision.fields["load"] == 0.5
    current.workers.clear()
    (decision,) = _list_decisions(current, _NOW_S + 2.0)
    assert decision.fields["load"] is None


def _list_named(decision: commands.Decision) -> list[str]:
    return [decision.fields["job"], *decision.fields.get("jobs", [])]


@pytest.mark.parametrize("stagger_s", [0.0, 0.3, 0.9])
def test_each_job_of_a_group_of_a_dozen_is_named_within_2_s(stagger_s):
    """Guards against a group that moves before most of its jobs were named in any line.

    With one job in a line and one line in 2 s, 3 s without a run would leave ten of twelve jobs
    without a cause. The lines stay as few as they were.
    """
    current = _make_state()
    _make_full(current)
    del current.jobs[_JOB_ID]
    due_s = {}
    for number in range(12):
        job = _add_job(current, f"{number:016x}")
        since_s = _NOW_S + stagger_s * number
        next(iter(job.steps.values())).ready_since_s = since_s
        due_s[job.job.job_id] = since_s + waiting.WAITING_REPORT_S
    named_at_s, lines_s = {}, []
    for tick in range(80):
        now_s = _NOW_S + 0.25 * tick
        for worker in current.workers.values():
            worker.reported_at_s = now_s
        for decision in _list_decisions(current, now_s):
            lines_s.append(now_s)
            for job_id in _list_named(decision):
                named_at_s.setdefault(job_id, now_s)
    assert {job_id for job_id in due_s if named_at_s[job_id] - due_s[job_id] > 2.0} == set()
    assert all(later - earlier >= 2.0 for earlier, later in itertools.pairwise(lines_s))


def test_further_jobs_of_a_line_are_limited():
    """Guards against lines that grow with the number of waiting jobs; all jobs get their turn."""
    current = _make_state()
    _make_full(current)
    del current.jobs[_JOB_ID]
    for number in range(40):
        _add_job(current, f"{number:016x}")
    for number in range(40):
        _add_job(current, f"{number:0200x}", account="wide")
    named = {"acme": [], "wide": []}
    for tick in range(40):
        now_s = _NOW_S + 0.25 * tick
        for worker in current.workers.values():
            worker.reported_at_s = now_s
        for decision in _list_decisions(current, now_s):
            further = decision.fields["jobs"]
            assert len(further) <= waiting.MAX_FURTHER_JOBS
            assert sum(map(len, further)) <= waiting.MAX_FURTHER_CHARACTERS
            assert len(set(_list_named(decision))) == 1 + len(further)
            named[decision.fields["account"]] += _list_named(decision)
    assert len(set(named["acme"])) == 40
    assert len(named["wide"]) == 5 * 3


def test_job_that_was_only_named_is_not_reported_as_resumed():
    """Guards against a dozen lines about the end of a wait where one was logged about it."""
    current = _make_state()
    _make_full(current)
    del current.jobs[_JOB_ID]
    jobs = [_add_job(current, f"{number:016x}") for number in range(3)]
    (line,) = _list_decisions(current)
    assert len(_list_named(line)) == 3
    for job in jobs:
        run = _add_run(current, job, state.RunPhase.RUNNING)
        run.running_since_s = _NOW_S + 0.5
    resumed = _list_decisions(current, _NOW_S + 1.0)
    assert [(d.event, d.fields["job"]) for d in resumed] == [("job_resumed", line.fields["job"])]


def test_interval_of_checks(monkeypatch):
    """Guards against checks of thousands of jobs at each tick, four times as often as intended."""
    current = _make_state()
    _make_full(current)
    checked_at_s = []
    update = waiting._update_idle_jobs

    def record(state_, now_s):
        checked_at_s.append(now_s)
        return update(state_, now_s)

    monkeypatch.setattr(waiting, "_update_idle_jobs", record)
    for tick in range(13):
        _list_decisions(current, _NOW_S + 0.25 * tick)
    assert checked_at_s == [_NOW_S + second for second in range(4)]


def test_lines_of_a_check_are_limited():
    """Guards against a log that grows with the number of client accounts; all get their turn."""
    current = _make_state()
    _make_full(current)
    del current.jobs[_JOB_ID]
    for number in range(50):
        _add_job(current, f"{number:016x}", account=f"account{number}")
    named = []
    for second in range(3):
        found = _list_decisions(current, _NOW_S + second)
        assert len(found) <= waiting.MAX_LINES
        named += [decision.fields["account"] for decision in found]
    assert sorted(named[:50]) == sorted(f"account{number}" for number in range(50))


def test_searches_of_a_check_are_limited(monkeypatch):
    """Guards against checks that take long because no two jobs need the same room.

    Jobs for which no search is left come first in the next check.
    """
    current = _make_state()
    searches = []
    search = waiting._search_room

    def count(check, unit):
        searches.append(unit.job.job.job_id)
        return search(check, unit)

    monkeypatch.setattr(waiting, "_search_room", count)
    for number in range(2 * waiting.MAX_SEARCHES):
        _add_job(current, f"{number:016x}", model.Step(1, model.Resources(number + 1, 1, 0)))
    _list_decisions(current)
    assert len(searches) == waiting.MAX_SEARCHES
    _list_decisions(current, _NOW_S + 1.0)
    assert len(set(searches)) == len(searches) == 2 * waiting.MAX_SEARCHES


def test_jobs_that_need_the_same_room_share_a_search(monkeypatch):
    """Guards against jobs that are not explained because others of their kind used all searches."""
    current = _make_state()
    searches = []
    search = waiting._search_room
    monkeypatch.setattr(
        waiting, "_search_room", lambda *args: searches.append(args) or search(*args)
    )
    for number in range(2 * waiting.MAX_SEARCHES):
        _add_job(current, f"{number:016x}")
    (decision,) = _list_decisions(current)
    assert (len(searches), decision.fields["more"]) == (1, 2 * waiting.MAX_SEARCHES - 1)


def test_summary_of_a_check():
    """Guards against metrics that show no job standing still while some do, or the reverse.

    A job that has waited for less than 2 s counts, and has no reason yet.
    """
    current = _make_state()
    _make_full(current)
    del current.jobs[_JOB_ID]
    assert current.idle_jobs.summary is None
    for number in range(30):
        _add_job(current, f"{number:016x}", account=f"account{number}")
    jobs = list(current.jobs.values())
    next(iter(jobs[0].steps.values())).not_before_s = _NOW_S + 9.0
    next(iter(jobs[1].steps.values())).ready_since_s = _NOW_S - 7.5
    next(iter(jobs[2].steps.values())).ready_since_s = _NOW_S - 1.5
    _list_decisions(current)
    summary = current.idle_jobs.summary
    assert (summary.checked_at_s, summary.jobs, summary.longest_s) == (_NOW_S, 30, 7.5)
    assert set(summary.reasons) == set(waiting.Reason)
    assert {reason: n for reason, n in summary.reasons.items() if n} == {
        "backoff": 1,
        "no_room": 28,
    }
    for job in jobs:
        _add_run(current, job, state.RunPhase.RUNNING)
    _list_decisions(current, _NOW_S + 1.0)
    summary = current.idle_jobs.summary
    assert (summary.checked_at_s, summary.jobs, summary.longest_s) == (_NOW_S + 1.0, 0, 0.0)
    assert set(summary.reasons.values()) == {0}
