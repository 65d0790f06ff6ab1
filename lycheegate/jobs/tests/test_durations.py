"""Durations of steps and speeds of workers that are learned from runs."""

import math

import pytest

from lycheegate.jobs import model, runs, state, workers
from lycheegate.jobs.durations import factors, observations, predictions
from lycheegate.jobs.tests import durations_fleet

_WORKERS = 24
_RUNS_EACH = 36
"""Mean number of runs on each worker from which all factors are known to a tenth."""


def _play_jobs(fleet, count, interval_s=0.25):
    """Plays batches of 39 tasks and four times as many gangs of 5, on random workers."""
    for number in range(count):
        account = f"a{number % 10}"
        played = fleet.draw(fleet.add_job(account, count=39))
        for _ in range(4):
            gang = fleet.add_job(account, "urgent", count=5, gang=True, estimate_s=2.1)
            played += fleet.draw(gang)
        fleet.play_all(played, interval_s)


@pytest.mark.parametrize("interval_s", [0.05, 0.25])
def test_factors_of_an_uneven_fleet_are_recovered(interval_s):
    """Guards against slow workers that are not known after hundreds of runs.

    Of tasks that start together, those on fast workers end first, so that these appeared typical.
    Of a hundred workers, two may have just had several tasks that took seven times as long.
    """
    errors = []
    for seed in range(4):
        fleet = durations_fleet.Fleet(seed, _WORKERS, durations_fleet.UNEVEN)
        _play_jobs(fleet, 20, interval_s)
        observed = sum(effect.runs for effect in fleet.current.durations.workers.values())
        assert observed <= _RUNS_EACH * _WORKERS
        errors += fleet.list_errors()
        unknown = factors.get_worker_estimate(fleet.current.durations, "new", fleet.now_s)
        assert unknown.ratio == 1.0 and 1.3 < unknown.upper_ratio < 1.7
    assert sum(0.9 <= error <= 1.1 for error in errors) >= 0.98 * len(errors)
    assert all(0.75 <= error <= 1.25 for error in errors)


@pytest.mark.parametrize("seed", range(4))
def test_even_fleet_stays_typical(seed):
    """Guards against workers of the same speed that are told apart because of noise.

    In their first runs, tasks that take seven times as long may deceive about single workers.
    """
    fleet = durations_fleet.Fleet(seed, _WORKERS, durations_fleet.EVEN)
    for number in range(20):
        _play_jobs(fleet, 1)
        limit = 0.1 if number < 10 else 0.05
        assert all(abs(error - 1.0) <= limit for error in fleet.list_errors()), number
    unknown = factors.get_worker_estimate(fleet.current.durations, "new", fleet.now_s)
    assert unknown.ratio == 1.0 and unknown.upper_ratio < 1.05


@pytest.mark.parametrize(
    ("ratios", "count"), [(durations_fleet.EVEN, 15), (durations_fleet.UNEVEN, 10)]
)
@pytest.mark.parametrize("factor", [1.6, 1 / 1.6])
@pytest.mark.parametrize("seed", range(3))
def test_worker_that_changes_is_followed(seed, factor, ratios, count):
    """Guards against a worker that is taken for fast for minutes after it has become slow.

    One that starts to differ from all others is doubted for longer. The runs include tasks that
    take seven times as long as normal.
    """
    fleet = durations_fleet.Fleet(seed, _WORKERS, ratios)
    _play_jobs(fleet, 20)
    before = fleet.get_ratio("w1")
    fleet.ratios["w1"] *= factor
    for _ in range(count):
        job = fleet.add_job()
        job.step_effects[0] = factors.Effect(math.log(fleet.true_ratios[job.job.job_id]), 0.003, 9)
        fleet.play(fleet.draw(job, ["w1"])[0])
    change = math.log(fleet.get_ratio("w1") / before) / math.log(factor)
    assert 0.5 < change < 1.4


def test_order_of_runs_hardly_matters():
    """Guards against factors that depend on which of two reports arrives first."""
    estimates = []
    for order in range(3):
        fleet = durations_fleet.Fleet(1, _WORKERS, durations_fleet.UNEVEN)
        jobs = [fleet.add_job(f"a{number % 10}", count=39) for number in range(20)]
        played = [item for job in jobs for item in fleet.draw(job)]
        if order:
            fleet.random.seed(order)
            fleet.random.shuffle(played)
        fleet.play_all(played)
        estimates.append([fleet.get_ratio(worker_id) for worker_id in fleet.ratios])
    for first, *others in zip(*estimates, strict=True):
        assert others == pytest.approx([first] * 2, rel=0.15)


def test_wrong_declarations_of_one_account_affect_no_other():
    """Guards against an account that makes others' work or workers appear slow.

    It declares a thirtieth of the true duration, and runs more work than any other account.
    """
    ratios = []
    for factor in (1.0, 30.0):
        fleet = durations_fleet.Fleet(3, _WORKERS, durations_fleet.UNEVEN)
        for number in range(20):
            for account, ratio in ((f"a{number % 9}", 1.2), ("wrong", factor), ("wrong", factor)):
                job = fleet.add_job(account, ratio=ratio, count=39, estimate_s=7.2 / ratio)
                fleet.play_all(fleet.draw(job))
        assert all(0.85 <= error <= 1.15 for error in fleet.list_errors()), factor
        for account in ("a0", "unknown"):
            job = fleet.add_job(account)
            estimate = predictions.get_step_estimate(fleet.current, job, job.steps[0, 0])
            ratios.append(estimate.ratio)
    assert ratios[2:] == pytest.approx(ratios[:2], rel=0.12)


def _make_fleet(**fields):
    """Returns a fleet with a fast and a slow worker, and a job whose step is known."""
    fleet = durations_fleet.Fleet(1, 40, durations_fleet.EVEN)
    for number in range(40):
        fleet.learn(f"w{number}", 1.0)
    fleet.learn("w1", 0.6)
    fleet.learn("w2", 1.6)
    job = fleet.add_job(**fields)
    job.step_effects[0] = factors.Effect(0.0, 0.003, 9)
    return fleet, job


def _count_runs(fleet):
    return {
        worker_id: effect.runs - 20
        for worker_id, effect in fleet.current.durations.workers.items()
        if effect.runs != 20
    }


def test_gang_is_an_observation_of_its_slowest_worker():
    """Guards against fast workers that appear slow because they wait for a slow member."""
    fleet, job = _make_fleet(count=3, gang=True)
    (played,) = fleet.draw(job, ["w1", "w2", "w1"])
    played.duration_s = 6.0 * 1.6
    fleet.play(played)
    assert _count_runs(fleet) == {"w2": 1}
    assert fleet.get_ratio("w1") == pytest.approx(0.6, rel=0.1)


@pytest.mark.parametrize(
    ("fields", "placement", "is_far"),
    [
        ({"near_rack": "r0"}, ["w0"], False),
        ({"near_rack": "r0"}, ["w30"], True),
        ({"count": 2, "gang": True, "same_rack": True}, ["w0", "w3"], False),
        ({"count": 2, "gang": True, "same_rack": True}, ["w0", "w30"], True),
        ({"count": 2, "gang": True}, ["w0", "w30"], False),
    ],
)
def test_run_far_from_its_data_does_not_make_its_worker_slow(fields, placement, is_far):
    """Guards against workers that appear slow because of where their work has its data."""
    fleet, job = _make_fleet(**fields)
    (played,) = fleet.draw(job, placement)
    played.duration_s = 18.0 if is_far else 6.0
    fleet.play(played)
    assert sum(_count_runs(fleet).values()) == 1
    assert all(
        fleet.get_ratio(worker_id) == pytest.approx(1.0, rel=0.03) for worker_id in placement
    )


def _make_cold(fleet, job, run):
    fleet.current.workers["w0"].cold_until_s = run.running_since_s + 1.0


def _make_trial(fleet, job, run):
    job.steps[0, 0].crash_weights[0] = 5


def _restart(fleet, job, run):
    fleet.current.workers["w0"].incarnation.born_ms = 2


def _inherit(fleet, job, run):
    run.baseline_percent = None


def _resume_late(fleet, job, run):
    run.baseline_percent, run.baseline_at_s = 80, run.running_since_s + 1.0


def _remove_worker(fleet, job, run):
    del fleet.current.workers["w0"]


@pytest.mark.parametrize(
    ("change", "fields", "end"),
    [
        (None, {}, runs.End.FAILED),
        (None, {}, runs.End.CRASHED),
        (None, {}, runs.End.INTERRUPTED),
        (None, {"long_running": True}, runs.End.DONE),
        (_make_cold, {}, runs.End.DONE),
        (_make_trial, {}, runs.End.DONE),
        (_restart, {}, runs.End.DONE),
        (_inherit, {}, runs.End.DONE),
        (_resume_late, {}, runs.End.DONE),
        (_remove_worker, {}, runs.End.DONE),
    ],
)
def test_run_whose_duration_tells_nothing_is_no_observation(change, fields, end):
    """Guards against factors that are learned from times that are no durations of a task."""
    fleet, job = _make_fleet(**fields)
    (run,) = fleet.start(fleet.draw(job, ["w0"])[0])
    if change is not None:
        change(fleet, job, run)
    fleet.now_s += 60.0
    runs.end_run(fleet.current, run, end, "reported", fleet.now_s)
    assert _count_runs(fleet) == {}
    job_estimate = predictions.get_step_estimate(fleet.current, job, job.steps[0, 0])
    assert (job_estimate.ratio, job_estimate.runs) == (1.0, 9)


def test_run_that_resumes_is_measured_from_its_first_report():
    """Guards against a task that appears short because an earlier run did a part of it."""
    fleet, job = _make_fleet(checkpoints=True)
    (run,) = fleet.start(fleet.draw(job, ["w0"])[0])
    run.baseline_percent, run.baseline_at_s = 50, fleet.now_s + 1.0
    fleet.now_s += 4.0
    run.advanced_at_s = fleet.now_s
    runs.end_run(fleet.current, run, runs.End.DONE, "done", fleet.now_s)
    assert fleet.current.durations.workers["w0"].runs == 21
    assert fleet.get_ratio("w0") == pytest.approx(1.0, rel=0.03)


def _report(fleet, run, percent, clock_ms, born_ms=1):
    listed = workers.ListedRun(run.task, "", run.number, "", percent)
    return workers.apply_report(
        fleet.current,
        workers.Report(
            run.worker_id, clock_ms, born_ms, (listed,), (), fleet.now_s - 0.1, fleet.now_s
        ),
    )


def test_run_gives_one_observation_before_its_end():
    """Guards against a long run that counts as many, and ends that wait for a slow task."""
    fleet, job = _make_fleet()
    (run,) = fleet.start(fleet.draw(job, ["w0"])[0])
    counts = []
    for percent in (10, 20, 30, 40, 80):
        fleet.now_s += 1.5
        _report(fleet, run, percent, int(fleet.now_s * 1000))
        counts.append(fleet.current.durations.workers["w0"].runs)
    assert counts == [20, 20, 21, 21, 21]
    assert fleet.get_ratio("w0") > 1.0
    fleet.now_s += 1.5
    run.advanced_at_s = fleet.now_s
    variance = fleet.current.durations.workers["w0"].variance
    runs.end_run(fleet.current, run, runs.End.DONE, "done", fleet.now_s)
    # The end says much less than the first observation.
    assert 0.95 * variance < fleet.current.durations.workers["w0"].variance


@pytest.mark.parametrize(
    ("ran_s", "reported_after_s", "runs_observed"),
    [(3.0, 0.3, 0), (12.0, 0.3, 1), (12.0, -9.0, 0)],
    ids=["short", "overdue", "silent_worker"],
)
def test_stopped_run_tells_only_that_it_takes_longer(ran_s, reported_after_s, runs_observed):
    """Guards against stopped runs that make workers appear fast, or slow while they are silent."""
    fleet, job = _make_fleet()
    (run,) = fleet.start(fleet.draw(job, ["w0"])[0])
    fleet.now_s += ran_s
    runs.stop_run(fleet.current, run, state.StopReason.PREEMPTED, fleet.now_s)
    fleet.current.workers["w0"].reported_at_s = fleet.now_s + reported_after_s
    runs.end_run(fleet.current, run, runs.End.INTERRUPTED, "absent", fleet.now_s + 5.0)
    assert fleet.current.durations.workers["w0"].runs - 20 == runs_observed
    assert (fleet.get_ratio("w0") > 1.0) is bool(runs_observed)


@pytest.mark.parametrize(("born_ms", "ratio"), [(1, 1.6), (2, 1.0), (0, 1.6)])
@pytest.mark.parametrize("source", ["report", "registration", "first_registration"])
def test_worker_of_another_incarnation_starts_anew(source, born_ms, ratio):
    """Guards against a replaced machine that is avoided because of its predecessor."""
    fleet, job = _make_fleet()
    worker = fleet.current.workers["w2"]
    if source == "report":
        report = workers.Report("w2", 1, born_ms, (), (), fleet.now_s, fleet.now_s)
        workers.apply_report(fleet.current, report)
    else:
        if source == "first_registration":
            del fleet.current.workers["w2"]
        registration = workers.Registration(
            "w2", "render", "a:1", "z", "r0", frozenset(), worker.capacity, False, born_ms
        )
        workers.apply_registrations(fleet.current, [registration], fleet.now_s)
    assert fleet.get_ratio("w2") == pytest.approx(ratio, rel=0.05)


def test_departed_worker_is_forgotten():
    """Guards against a model that grows with each worker that has ever been there."""
    fleet, _ = _make_fleet()
    del fleet.current.workers["w2"]
    worker = fleet.current.workers["w0"]
    known = []
    for _ in range(2):
        fleet.now_s += 0.6 * observations.FORGET_S
        observations.observe_report(fleet.current, worker, fleet.now_s)
        known.append("w2" in fleet.current.durations.workers)
    assert known == [True, False]


def test_queue_that_is_no_longer_configured_is_forgotten():
    """Guards against a model that grows with each change of the configuration."""
    fleet, job = _make_fleet()
    fleet.current.configuration = model.Configuration(1, {"batch": job.route}, {}, {}, {}, 1)
    fleet.current.durations.queues = {name: {} for name in ("batch", "former")}
    observations.observe_report(fleet.current, fleet.current.workers["w0"], fleet.now_s)
    assert list(fleet.current.durations.queues) == ["batch"]


@pytest.mark.parametrize("estimate_s", [1e-300, 1e300])
def test_absurd_declaration_does_not_end_predictions(estimate_s):
    """Guards against an overflow in each scheduling pass because of one job's declaration."""
    fleet = durations_fleet.Fleet(1, _WORKERS, durations_fleet.EVEN)
    for _ in range(5):
        job = fleet.add_job(estimate_s=estimate_s, count=39)
        played = fleet.draw(job)
        for item in played:
            item.duration_s = 6.0
        fleet.play_all(played)
    estimate = predictions.get_step_estimate(fleet.current, job, job.steps[0, 0])
    assert math.isfinite(estimate.upper_ratio) and estimate.ratio > 0.0
    assert all(0.9 <= error <= 1.1 for error in fleet.list_errors())


def test_prediction_combines_step_and_worker():
    """Guards against predictions that ignore what is known, or fail where nothing is known."""
    fleet, job = _make_fleet()
    job.step_effects[0].mean = math.log(2.0)
    step = job.steps[0, 0]
    slow_s = predictions.predict_s(fleet.current, job, step, "w2", fleet.now_s)
    assert slow_s == pytest.approx(6.0 * 2.0 * 1.6, rel=0.05)
    empty = state.SchedulerState(1, state.Policy(), 0.0)
    assert predictions.predict_s(empty, fleet.add_job(), step, "w2", 1.0) == 6.0


def test_estimate_of_a_step_holds_for_all_occurrences():
    """Guards against repeated work whose duration is learned anew with each occurrence."""
    fleet, job = _make_fleet()
    job.step_effects[0].mean = math.log(2.0)
    later = state.StepState((1, 0), job.job.steps[0])
    assert predictions.get_step_estimate(fleet.current, job, later).ratio == pytest.approx(2.0)
