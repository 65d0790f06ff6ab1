"""Tests of what is believed of a start until its incarnation is known."""

import pytest

from lycheegate.jobs import incarnations, leases, model, state

_CAPACITY = model.Resources(8_000, 8_000, 8)
_POLICY = state.Policy(max_lease_s=10.0)
_LONGEST_S = leases.compute_longest_lease_s(_POLICY)
_TASK = model.TaskKey("0" * 16, 0, 0, 0)


def _make_worker(clock_ms: int = 50_000) -> tuple[state.SchedulerState, state.WorkerState]:
    """Returns a worker that has reported, requested at 99.99 s and received at 100 s."""
    current = state.SchedulerState(1, _POLICY, 0.0)
    incarnation = state.Incarnation(
        1_000, confirmed=True, clock_ms=clock_ms, clock_sent_at_s=99.99, clock_at_s=100.0
    )
    worker = state.WorkerState(
        "w0",
        "render",
        "a:1",
        "z",
        "r0",
        frozenset(),
        _CAPACITY,
        _CAPACITY,
        incarnation=incarnation,
        reported_at_s=100.0,
    )
    current.workers["w0"] = worker
    return current, worker


def _add_run(worker: state.WorkerState) -> state.Run:
    run = state.Run(_TASK, "w0", 1, _CAPACITY, state.RunPhase.ORDERED, 100.0)
    worker.runs[_TASK] = run
    return run


@pytest.mark.parametrize(
    ("clock_ms", "expected"),
    [
        (50_980, True),
        (51_000, True),
        (51_030, True),
        (50_959, False),
        (51_050, False),
        (1_000, False),
        (3_229_465, False),
    ],
    ids=["slowest", "exact", "latest", "too_early", "too_late", "anew", "anew_and_ahead"],
)
def test_clock_that_the_known_incarnation_can_show(clock_ms, expected):
    """Guards against an answer of a later incarnation that counts as one of the known one.

    The answer came 1.01 s after the last report, to an order sent 1 s after it.
    """
    current, worker = _make_worker()
    possible = incarnations.compute_clock_range(current, worker, 101.0, 101.01)
    assert possible.includes(clock_ms) is expected


def test_answer_that_a_report_has_overtaken_is_one_of_the_known_incarnation():
    """Guards against a healthy worker that counts as restarted because of a slow connection.

    The order was sent 0.19 s before the report arrived, and is answered after it.
    """
    current, worker = _make_worker()
    possible = incarnations.compute_clock_range(current, worker, 99.81, 100.2)
    assert possible.includes(49_815)
    assert not possible.includes(49_700)


def test_clock_without_a_report_tells_nothing():
    """Guards against an order that counts as answered by an incarnation that never reported."""
    current, worker = _make_worker(clock_ms=0)
    assert incarnations.compute_clock_range(current, worker, 101.0, 101.01) is None


@pytest.mark.parametrize(
    ("fates", "expected_s"),
    [
        (["known"], None),
        (["other"], 101.01),
        (["lost"], 101.0 + incarnations.LATE_CALL_S),
        (["unsent"], None),
        (["lost", "known"], 101.0 + incarnations.LATE_CALL_S),
        (["lost", "unsent"], 101.0 + incarnations.LATE_CALL_S),
        (["unsent", "known"], None),
        (["lost", "lost"], 102.0 + incarnations.LATE_CALL_S),
        (["lost", "other"], 101.0 + incarnations.LATE_CALL_S),
    ],
    ids=lambda value: "_".join(value) if isinstance(value, list) else "",
)
def test_until_when_an_order_may_have_been_carried_out(fates, expected_s):
    """Guards against a start that counts as verified while one of its orders is on its way."""
    _, worker = _make_worker()
    run = _add_run(worker)
    for number, fate in enumerate(fates):
        sent_at_s = 101.0 + number
        incarnations.record_start_sent(run, sent_at_s)
        assert run.unverified_until_s >= sent_at_s + incarnations.LATE_CALL_S
        match fate:
            case "lost":
                incarnations.record_start_unanswered(run, sent_at_s, sent_at_s + 0.5)
            case "unsent":
                incarnations.record_start_unsent(run)
            case _:
                incarnations.record_start_answered(run, fate == "known", sent_at_s + 0.01)
    assert run.unverified_until_s == (expected_s and pytest.approx(expected_s))


@pytest.mark.parametrize(
    ("requested_at_s", "expected"), [(101.0, True), (103.0, False), (104.0, False)]
)
def test_report_verifies_a_start_once_no_order_is_on_its_way(requested_at_s, expected):
    """Guards against a report that verifies a start which a later incarnation may carry out."""
    _, worker = _make_worker()
    run = _add_run(worker)
    incarnations.record_start_sent(run, 101.0)
    incarnations.record_start_unanswered(run, 101.0, 101.5)
    incarnations.verify_starts(worker, requested_at_s)
    assert incarnations.has_unverified_start(worker) is expected


def test_run_lapses_with_the_longest_lease_that_any_incarnation_may_have_granted():
    """Guards against a second run while an unknown incarnation runs the first one.

    A renewal that is sent after the start prolongs its lease there. The lapse of what the known
    incarnation runs stays as it is.
    """
    current, worker = _make_worker()
    run = _add_run(worker)
    verified = state.Run(_TASK, "w0", 2, _CAPACITY, state.RunPhase.RUNNING, 100.0)
    incarnations.record_start_sent(run, 101.0)
    incarnations.record_start_answered(run, False, 101.01)
    leases.record_deadline(current, worker, 56_000, 102.0)
    lapse_s = leases.compute_lapse_s(current, worker, run)
    assert lapse_s == pytest.approx(102.0 + incarnations.LATE_CALL_S + _LONGEST_S)
    assert leases.compute_lapse_s(current, worker, verified) < 107.0
    recorded = leases.record_deadline(current, worker, 57_000, 103.0)
    leases.revoke_deadline(current, worker, recorded)
    assert leases.compute_lapse_s(current, worker, run) == pytest.approx(lapse_s)
