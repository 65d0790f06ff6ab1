"""Gangs while many workers fail what they start, with a replay of that load."""

import dataclasses
import random

import pytest

from lycheegate.jobs import failure_waves, health, model, state
from lycheegate.jobs.tests import replay

_ACCELERATOR = model.Resources(1_000, 2_000, 1)
_GANG = model.Step(8, _ACCELERATOR, 2.0, gang=True)


def _make_replay(suspected_at_s: list[float], workers: int = 8) -> replay.Replay:
    """Returns workers at 10 s of which the first became suspected at the given times."""
    run = replay.Replay(workers, {"guaranteed": 100, "other": 0}, 1)
    for worker, at_s in zip(run.current.workers.values(), suspected_at_s, strict=False):
        worker.suspected_until_s = at_s + health.SUSPICION_S
    return run


@pytest.mark.parametrize(
    ("suspected_at_s", "now_s", "expected"),
    [
        ([9.0, 9.1, 9.2], 10.0, None),
        ([9.0, 9.1, 9.2, 9.3], 10.0, (9.0, 9.3)),
        ([5.0, 7.0, 9.0, 9.3], 10.0, None),
        ([4.9, 7.0, 7.5, 8.0, 9.5], 10.0, (7.0, 9.5)),
        # Their suspicion has ended.
        ([9.0, 9.1, 9.2, 9.3], 19.3, None),
    ],
)
def test_wave_begins_with_several_workers(suspected_at_s, now_s, expected):
    """Guards against a wave because of one faulty job or worker, and one that is not noticed."""
    current = _make_replay(suspected_at_s).current
    failure_waves.update_waves(current, now_s)
    wave = current.failure_waves.get("render")
    assert (wave and (wave.began_at_s, wave.last_at_s)) == (expected and pytest.approx(expected))


def test_no_wave_unless_the_configuration_asks_for_it():
    """Guards against gangs that wait for proved workers although the operators want none."""
    current = _make_replay([9.0, 9.1, 9.2, 9.3]).current
    services = {"render": model.Service("render")}
    current.configuration = dataclasses.replace(current.configuration, services=services)
    assert failure_waves.update_waves(current, 10.0) == []
    assert current.failure_waves == {}


def test_wave_is_extended_and_ends():
    """Guards against a limit of gangs that stays after the failures have ended."""
    current = _make_replay([9.0, 9.1, 9.2, 9.3]).current
    began = failure_waves.update_waves(current, 10.0)
    current.workers["w005"].suspected_until_s = 14.0 + health.SUSPICION_S
    assert failure_waves.update_waves(current, 20.0) == []
    assert failure_waves.list_unproved(current) == set(current.workers)
    ended = failure_waves.update_waves(current, 24.0)
    events = [decision.event for decision in began + ended]
    assert events == ["failure_wave_began", "failure_wave_ended"]
    assert failure_waves.list_unproved(current) == frozenset()


@pytest.mark.parametrize(
    ("running_since_s", "listed_at_s", "proved"),
    [(9.5, 10.0, True), (9.5, 9.9, False), (8.9, 12.0, False), (None, 12.0, False)],
    ids=["proved", "silent_since", "began_before_the_wave", "unconfirmed"],
)
def test_listed_run_proves_its_worker(running_since_s, listed_at_s, proved):
    """Guards against trust in a worker that is silent or was sound only before the wave."""
    run = _make_replay([9.0, 9.1, 9.2, 9.3])
    worker = run.current.workers["w007"]
    task = model.TaskKey("j", 0, 0, 0)
    worker.runs[task] = state.Run(task, "w007", 1, _ACCELERATOR, state.RunPhase.RUNNING, 9.0)
    worker.runs[task].running_since_s = running_since_s
    worker.listed_at_s = listed_at_s
    failure_waves.update_waves(run.current, 12.0)
    assert ("w007" not in failure_waves.list_unproved(run.current)) is proved


def test_failure_takes_the_proof_of_a_worker_back():
    """Guards against gangs on a worker that became faulty during the wave."""
    run = _make_replay([9.0, 9.1, 9.2, 9.3])
    failure_waves.update_waves(run.current, 10.0)
    health.record_success(run.current, "w007", 10.5)
    assert "w007" not in failure_waves.list_unproved(run.current)
    task = model.TaskKey("j", 0, 0, 0)
    failed = state.Run(task, "w007", 1, _ACCELERATOR, state.RunPhase.RUNNING, 11.0)
    health.record_failure(run.current, failed, 0, 11.0)
    assert "w007" in failure_waves.list_unproved(run.current)


def _list_placed(run: replay.Replay) -> dict[str, set[str]]:
    return {f["job"]: set(f["workers"]) for _, f in run.list_events("placed")}


def test_gangs_start_on_proved_workers_and_few_on_others():
    """Guards against many gangs that fail at the same time, and guaranteed work that waits.

    Load pattern: gangs wait when half of the workers begin to fail what they start. Each gang
    takes a whole worker.
    """
    run = _make_replay([9.0, 9.1, 9.2, 9.3], workers=14)
    health.record_success(run.current, "w013", 9.5)
    gangs = [run.submit("gangs", "other", _GANG) for _ in range(6)]
    urgent = [run.submit("urgent", "guaranteed", _GANG) for _ in range(3)]
    run.step()
    placed = _list_placed(run)
    assert {"w013"} in placed.values()
    # Guaranteed gangs come first; two of them count as starting on unproved workers.
    assert {r.job.job.job_id for r in urgent} == placed.keys()
    for _ in range(40):
        run.step()
    assert {r.job.job.job_id for r in gangs} <= _list_placed(run).keys()


def test_limit_holds_while_gangs_start():
    """Guards against more gangs on unproved workers than the limit, in one pass or several."""
    run = _make_replay([9.0, 9.1, 9.2, 9.3], workers=14)
    for _ in range(6):
        run.submit("gangs", "other", _GANG)
    for passes in range(8):
        run.step()
        expected = failure_waves.MAX_UNPROVED_GANGS
        assert len(_list_placed(run)) == expected, passes


def _replay_failures(seed: int) -> replay.Replay:
    """Replays 40 gangs in 2 s on 40 workers of which half have begun to fail what they start."""
    run = replay.Replay(40, {"guaranteed": 1_000, "other": 0}, seed)
    run.submit("batch", "other", model.Step(120, _ACCELERATOR, 4.0))
    for _ in range(40):
        run.step()
    failing = random.Random(seed).sample(sorted(run.current.workers), 20)
    run.failing_since_s = dict.fromkeys(failing, run.now_s)
    run.submit("batch", "other", model.Step(40, _ACCELERATOR, 3.0))
    for tick in range(400):
        if tick < 40:
            run.submit("gangs", "other", model.Step(13, _ACCELERATOR, 5.8, gang=True))
            if tick % 10 == 0:
                run.submit("urgent", "guaranteed", model.Step(5, _ACCELERATOR, 2.1, gang=True))
        run.step()
    return run


def test_wave_fails_fewer_gangs_than_the_former_rule(monkeypatch):
    """Guards against gangs that use up their attempts on workers which fail everything."""
    limited = [_replay_failures(seed) for seed in range(4)]
    monkeypatch.setattr(failure_waves, "update_waves", lambda *_: [])
    former = [_replay_failures(seed) for seed in range(4)]
    failed, failed_before = (
        sum(len(run.list_events("job_failed")) for run in runs) for runs in (limited, former)
    )
    assert failed < 0.75 * failed_before
    for run in limited:
        in_time, total = run.count_in_time(0)
        assert in_time == total > 0


def test_even_failures_of_one_worker_change_nothing(monkeypatch):
    """Guards against a limit that takes effect without a wave."""

    def replay_one_failing() -> replay.Replay:
        run = replay.Replay(10, {"other": 0}, 3)
        run.failing_since_s = {"w002": 10.5}
        for tick in range(200):
            if tick % 10 == 0:
                run.submit("gangs", "other", _GANG)
            run.step()
        return run

    limited = replay_one_failing()
    monkeypatch.setattr(failure_waves, "update_waves", lambda *_: [])
    former = replay_one_failing()
    assert limited.list_events("worker_suspected") != []
    assert limited.events == former.events


def test_next_holder_finds_the_wave():
    """Guards against a new holder that starts all gangs at once on workers that fail them."""
    former = _make_replay([9.0, 9.1, 9.2, 9.3]).current
    # The clock of the next holder starts at 0 when that of the former one shows 12 s.
    suspects = health.list_suspects(former, 12.0)
    current = _make_replay([]).current
    for worker_id, duration_s in suspects.items():
        current.workers[worker_id].suspected_until_s = duration_s
    failure_waves.update_waves(current, 0.0)
    assert current.failure_waves["render"].began_at_s == pytest.approx(-3.0)
    assert failure_waves.list_unproved(current) == set(current.workers)
