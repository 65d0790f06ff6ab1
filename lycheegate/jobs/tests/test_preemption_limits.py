"""Limits on preemptions for urgent work beyond the guarantee, with replays of their load."""

import random

import pytest

from lycheegate.jobs import (
    headroom,
    model,
    ordering,
    pool,
    preemption_limits,
    state,
    units,
)
from lycheegate.jobs.tests import replay

_ACCELERATOR = model.Resources(1_000, 2_000, 1)


def _make_need(accelerators: int) -> model.Resources:
    return model.Resources(1_000 * accelerators, 2_000 * accelerators, accelerators)


def _make_unit(level=1, is_late=False, accepted_at_s=100.0, step=None, ratio=replay.LOSS_RATIO):
    """Returns the context at 100 s and a unit: a gang of 5 with 4 accelerators each, for 2 s.

    Its job counts in full until 103.3 s after 100 s, in part until 109.9 s.
    """
    current = state.SchedulerState(1, state.Policy(), 0.0)
    current.configuration = replay.make_configuration({}, ratio)
    step = step or model.Step(5, _make_need(4), 2.0, gang=True)
    job = model.Job("j", "urgent", "acme", "x", (step,), accepted_at_s)
    job_state = state.JobState(job, replay.ROUTES["urgent"])
    job_state.steps[0, 0] = state.StepState((0, 0), step)
    context = units.PassContext(current, 100.0, 100.0, set(), pool.WorkerPool(current, 100.0))
    context.capacities["render"] = headroom.ServiceCapacity(cores=10_000.0)
    rank = ordering.Rank(level, is_late, 0, 0, 0.0, "j")
    return context, units.Unit(job_state, job_state.steps[0, 0], list(range(5)), rank, "render")


@pytest.mark.parametrize(
    ("level", "is_late", "accepted_at_s", "lost_core_s", "wait_s", "expected"),
    [
        # Work of the job: 5 tasks of 36 cores for 2 s, so 360 core-seconds.
        (1, False, 100.0, 1_080.0, 0.0, None),
        (1, False, 100.0, 1_081.0, 0.0, "loss"),
        (1, True, 95.0, 216.0, 60.0, None),
        (1, True, 95.0, 217.0, 60.0, "loss"),
        # At 100 s it must start within 2.9 s to count in part.
        (1, True, 95.0, 10.0, 2.8, "awaits_ends"),
        (1, True, 95.0, 10.0, 3.0, None),
        (1, True, 92.0, 10.0, 60.0, "expired"),
        (1, True, 92.0, 0.0, 60.0, None),
        (0, False, 100.0, 1e9, 0.0, None),
        (0, True, 10.0, 1e9, 0.0, None),
    ],
)
def test_examine(level, is_late, accepted_at_s, lost_core_s, wait_s, expected):
    """Guards against more lost work than a job is worth, and against a limit of guaranteed work."""
    context, unit = _make_unit(level, is_late, accepted_at_s)
    denial = preemption_limits.examine(context, unit, lost_core_s, wait_s)
    assert (denial and denial.reason.value) == expected


def test_service_without_a_stated_limit_is_not_limited():
    """Guards against limits that take effect although the operators do not ask for them."""
    context, unit = _make_unit(ratio=None)
    assert preemption_limits.is_due(context, unit)
    assert preemption_limits.examine(context, unit, 1e9, 0.0) is None
    preemption_limits.spend(context, unit, 1e9)
    assert context.current.preemption.budgets == {}
    unit.step.preempted_at_s[0] = 99.0
    assert not preemption_limits.is_protected(
        context.current, "render", unit.step, 0, unit.rank.level, 100.0
    )


def test_tasks_of_a_job_share_its_worth():
    """Guards against single tasks that each stop as much as their whole job is worth."""
    context, unit = _make_unit(step=model.Step(10, _make_need(4), 2.0))
    unit.indices = [3]
    worth = preemption_limits.compute_worth_core_s(unit)
    assert worth == pytest.approx(preemption_limits.WORTH_FACTOR * 36.0 * 2.0)


def test_long_running_work_is_limited_by_the_budget_only():
    """Guards against a service that never starts because its declared duration is short."""
    step = model.Step(5, _make_need(4), 0.2, long_running=True)
    context, unit = _make_unit(is_late=True, accepted_at_s=1.0, step=step)
    assert preemption_limits.examine(context, unit, 4_900.0, 60.0) is None
    denial = preemption_limits.examine(context, unit, 5_100.0, 60.0)
    assert denial.reason is preemption_limits.Reason.BUDGET


@pytest.mark.parametrize("seed", range(5))
def test_budget_bounds_the_loss_of_any_interval(seed):
    """Guards against bursts that lose more than the burst and the rate of the budget allow."""
    generator = random.Random(seed)
    context, unit = _make_unit()
    spent = []
    for _ in range(400):
        context.now_s += generator.expovariate(10.0)
        lost_core_s = generator.uniform(1.0, 1_080.0)
        if preemption_limits.examine(context, unit, lost_core_s, 0.0) is None:
            preemption_limits.spend(context, unit, lost_core_s)
            spent.append((context.now_s, lost_core_s))
    rate, size_core_s = replay.LOSS_RATIO * 10_000.0, 5_000.0
    for first in range(len(spent)):
        total = 0.0
        for now_s, lost_core_s in spent[first:]:
            total += lost_core_s
            assert total <= size_core_s + rate * (now_s - spent[first][0]) + 1e-6


def test_guaranteed_work_takes_nothing_from_the_budget():
    """Guards against guaranteed work that uses up what other urgent work may stop."""
    context, unit = _make_unit(level=0)
    preemption_limits.spend(context, unit, 1e9)
    assert context.current.preemption.budgets == {}


def test_declined_unit_is_searched_for_and_logged_at_limited_rates():
    """Guards against a search in each pass for each declined unit, and against a priced log."""
    context, unit = _make_unit()
    denial = preemption_limits.Denial(preemption_limits.Reason.LOSS, {"lost_core_s": 1.0})
    searches, lines = 0, 0
    for _ in range(200):
        context.declined_preemptions = 0
        if preemption_limits.is_due(context, unit):
            searches += 1
            lines += len(preemption_limits.decline(context, unit, denial)[1])
        context.now_s += 0.05
    assert (searches, lines) == (7, 5)


def _replay_burst(seed: int, gangs: int = 60, guaranteed_ratio: float = 0.15) -> replay.Replay:
    """Replays a burst of urgent gangs on 40 workers that are full of batch work.

    One account is guaranteed more accelerators than its gangs use; the others have no guarantee.
    """
    generator = random.Random(seed)
    run = replay.Replay(40, {"guaranteed": 1_000, "other": 0}, seed)
    for _ in range(14):
        if generator.random() < 0.6:
            run.submit("batch", "other", model.Step(39, _ACCELERATOR, 6.0))
        else:
            need = _make_need(generator.choice([1, 2, 4]))
            run.submit("gangs", "other", model.Step(13, need, 6.0, gang=True))
    due = sorted((14.0 + generator.uniform(0.0, 10.0), generator.random()) for _ in range(gangs))
    while run.now_s < 70.0:
        while due and due[0][0] <= run.now_s:
            account = "guaranteed" if due.pop(0)[1] < guaranteed_ratio else "other"
            step = model.Step(5, _make_need(generator.randint(1, 8)), 2.0, gang=True)
            run.submit("urgent", account, step)
        run.step()
    return run


def _remove_limits(monkeypatch):
    """Restores the former rule, which stops runs for any urgent work."""
    monkeypatch.setattr(preemption_limits, "examine", lambda *_: None)
    monkeypatch.setattr(preemption_limits, "is_protected", lambda *_: False)


def test_burst_loses_half_of_the_work_of_the_former_rule(monkeypatch):
    """Guards against work that urgent gangs stop for little gain.

    Load pattern: 60 urgent gangs in 10 s while the workers are full of long tasks and gangs.
    """
    limited = [_replay_burst(seed) for seed in range(3)]
    _remove_limits(monkeypatch)
    former = [_replay_burst(seed) for seed in range(3)]
    assert sum(r.lost_core_s for r in limited) < 0.5 * sum(r.lost_core_s for r in former)
    for run, before in zip(limited, former, strict=True):
        in_time, total = run.count_in_time(0)
        assert in_time == total == before.count_in_time(0)[0] > 0
        assert all(r.ended_after_s is not None for r in run.records.values())
        assert _find_oldest_wait_s(run, 2) <= _find_oldest_wait_s(before, 2)
        # The burst is over after 10 s; declined gangs then start before all other work.
        assert _find_oldest_wait_s(run, 1) < 20.0


def _find_oldest_wait_s(run: replay.Replay, level: int) -> float:
    return max(r.started_after_s for r in run.records.values() if r.level == level)


def test_light_preemption_is_as_before(monkeypatch):
    """Guards against limits that change decisions while little work is lost."""
    limited = [_replay_burst(seed, gangs=6) for seed in range(5)]
    _remove_limits(monkeypatch)
    former = [_replay_burst(seed, gangs=6) for seed in range(5)]
    assert sum(len(run.list_events("preempted")) for run in limited) >= 5
    for run, before in zip(limited, former, strict=True):
        assert run.events == before.events


def test_guaranteed_work_is_never_declined():
    """Guards against a limit of guaranteed work, and against a log line in each pass."""
    run = _replay_burst(7, gangs=90, guaranteed_ratio=0.3)
    guaranteed = {job_id for job_id, record in run.records.items() if record.level == 0}
    declined = [(fields["job"], at_s) for at_s, fields in run.list_events("preemption_declined")]
    assert declined and not guaranteed & {job_id for job_id, _ in declined}
    declined.sort()
    for (job_id, at_s), (next_id, next_s) in zip(declined, declined[1:], strict=False):
        assert job_id != next_id or next_s - at_s >= preemption_limits.REPORT_INTERVAL_S - 1e-6


@pytest.mark.parametrize("seed", range(3))
def test_no_task_is_stopped_twice_in_a_short_time(seed):
    """Guards against work that is stopped again as soon as it has started again."""
    run = _replay_burst(seed, guaranteed_ratio=0.0)
    stopped_at_s: dict[tuple, float] = {}
    for at_s, fields in run.list_events("stop_ordered"):
        task = (fields["job"], fields["task"])
        assert at_s - stopped_at_s.get(task, 0.0) >= preemption_limits.PROTECTED_S
        stopped_at_s[task] = at_s
    assert stopped_at_s


def test_silent_worker_with_victims_does_not_use_up_the_budget():
    """Guards against ever more stops for a gang whose victims are on a worker that is silent."""
    run = replay.Replay(8, {"other": 0}, 1)
    run.submit("batch", "other", model.Step(64, _ACCELERATOR, 60.0))
    for _ in range(20):
        run.step()
    record = run.submit("urgent", "other", model.Step(2, _make_need(8), 4.0, gang=True))
    run.step()
    stopping = sorted(w.worker_id for w in run.current.workers.values() if _has_stopping(w))
    run.silent.update(stopping[:1])
    for _ in range(60):
        run.step()
    assert record.started_after_s is not None
    lost_core_s = [fields["lost_core_s"] for _, fields in run.list_events("preempted")]
    assert 1 < len(lost_core_s) < 5
    rate = replay.LOSS_RATIO * 8 * ordering.compute_usage(replay.CAPACITY)
    assert sum(lost_core_s) <= preemption_limits.MIN_BURST_CORE_S + 60 * replay.TICK_S * rate


def _has_stopping(worker: state.WorkerState) -> bool:
    return any(run.phase is state.RunPhase.STOPPING for run in worker.runs.values())
