"""Jobs that had nothing running, from decision logs."""

import json
import random

import pytest

from lycheegate.cli import exits, main
from lycheegate.metrics import idle_jobs
from lycheegate.node.tests import simulation


def _line(at_s: float, event: str, node: str = "a", **fields) -> str:
    return json.dumps({"t": at_s, "node": node, "event": event, **fields})


def _accepted(at_s: float, version: int = 1, **fields) -> str:
    return _line(at_s, "job_accepted", job="j", version=version, **fields)


def _placed(at_s: float, run: int = 1, tasks: int = 1, workers=("w1",), step="0.0") -> str:
    return _line(
        at_s, "placed", job="j", step=step, tasks=tasks, run=run, workers=list(workers), level=2
    )


def _stopped(at_s: float, reason: str, run: int = 1, task: str = "0.0.0", worker="w1") -> str:
    return _line(at_s, "stop_ordered", job="j", task=task, worker=worker, run=run, reason=reason)


def _ended(at_s: float, end: str, run: int = 1, task: str = "0.0.0", worker="w1") -> str:
    return _line(at_s, "run_ended", job="j", task=task, worker=worker, run=run, end=end)


def _waiting(at_s: float, waited_s: float, reason: str = "no_room", **fields) -> str:
    return _line(
        at_s, "job_waiting", job="j", account="acme", reason=reason, waited_s=waited_s, **fields
    )


def _succeeded(at_s: float) -> str:
    return _line(at_s, "job_succeeded", job="j")


_CASES = {
    "runs at once": ([_accepted(1.0), _placed(1.1), _ended(9.0, "done"), _succeeded(9.0)], []),
    "runs after 3 s": ([_accepted(1.0), _placed(4.0), _succeeded(9.0)], [(1.0, 4.0, "placed")]),
    "runs after 2.9 s": ([_accepted(1.0), _placed(3.9), _succeeded(9.0)], []),
    "is seen by the holder only": (
        [_line(1.0, "job_seen", job="j", version=1), _placed(5.0), _succeeded(9.0)],
        [(1.0, 5.0, "placed")],
    ),
    "never runs": (
        [_accepted(1.0), _line(8.0, "stopped")],
        [(1.0, 8.0, "end_of_logs")],
    ),
    "runs at the end of the logs": ([_accepted(1.0), _placed(1.1), _line(9.0, "stopped")], []),
    "is cancelled": (
        [_accepted(1.0), _line(6.0, "job_cancelled", job="j"), _line(20.0, "stopped")],
        [(1.0, 6.0, "job_cancelled")],
    ),
    "fails while it waits": (
        [_accepted(1.0), _line(6.0, "job_failed", job="j", failures=3, limit=3)],
        [(1.0, 6.0, "job_failed")],
    ),
    "waits after an evacuation": (
        [
            _accepted(1.0),
            _placed(1.1),
            _stopped(2.0, "evacuated"),
            _ended(2.2, "stopped"),
            _placed(6.0, run=2),
            _ended(7.0, "done", run=2),
            _succeeded(7.0),
        ],
        [(2.0, 6.0, "placed")],
    ),
    "one of two tasks goes on": (
        [
            _accepted(1.0),
            _placed(1.1),
            _placed(1.1, workers=("w2",)),
            _stopped(2.0, "evacuated"),
            _ended(9.0, "done", task="0.0.1", worker="w2"),
            _placed(9.1, run=2),
        ],
        [],
    ),
    "members of a gang end one by one": (
        [
            _accepted(1.0),
            _placed(1.1, tasks=2, workers=("w1", "w2")),
            _ended(5.0, "lease_lapsed"),
            _stopped(5.0, "gang_ended", task="0.0.1", worker="w2"),
            _ended(5.5, "stopped", task="0.0.1", worker="w2"),
            _placed(9.0, run=2, tasks=2, workers=("w1", "w2")),
        ],
        [(5.0, 9.0, "placed")],
    ),
    "orders are not answered": (
        [
            _accepted(1.0),
            _placed(1.1),
            _line(2.6, "start_unanswered", job="j", worker="w1", run=1),
            _stopped(2.6, "unanswered"),
            _ended(3.0, "absent"),
            _placed(3.1, run=2),
            _line(3.2, "start_refused", job="j", worker="w1", run=2, reason="no_room"),
            _placed(4.5, run=3),
            _succeeded(9.0),
        ],
        [(1.0, 4.5, "placed")],
    ),
    "run of an earlier log ends": (
        [_accepted(1.0), _ended(8.0, "done"), _placed(8.1, run=2), _succeeded(9.0)],
        [(1.0, 8.0, "run_ended")],
    ),
    "run of an earlier log was absent": (
        [_accepted(1.0), _ended(8.0, "absent"), _placed(8.1, run=2), _succeeded(9.0)],
        [(1.0, 8.1, "placed")],
    ),
    "placed run is not confirmed": (
        [
            _accepted(1.0),
            _placed(1.1),
            _waiting(4.0, 3.0, "start_unconfirmed", worker="w1"),
            _line(5.0, "job_resumed", job="j", waited_s=4.0),
            _succeeded(9.0),
        ],
        [(1.0, 5.0, "job_resumed")],
    ),
    "holder knows of a longer wait": (
        [
            _accepted(1.0),
            _placed(5.0),
            _ended(6.0, "lease_lapsed"),
            _waiting(7.0, 6.0, "no_room"),
            _placed(8.0, run=2),
            _succeeded(9.0),
        ],
        [(1.0, 8.0, "placed")],
    ),
    "timed job between occurrences": (
        [_accepted(1.0, timed=True), _placed(20.0), _ended(21.0, "done"), _succeeded(40.0)],
        [],
    ),
    "timed job that a holder reports": (
        [_accepted(1.0, timed=True), _waiting(20.0, 4.0), _placed(21.0), _succeeded(40.0)],
        [(16.0, 21.0, "placed")],
    ),
    "acceptance is logged late": (
        [_line(1.0, "job_seen", job="j", version=1), _succeeded(2.0), _accepted(3.0)]
        + [_line(9.0, "stopped")],
        [],
    ),
    "identifier is reused": (
        [_accepted(1.0), _succeeded(2.0), _accepted(50.0, version=7), _placed(55.0)],
        [(50.0, 55.0, "placed")],
    ),
}


@pytest.mark.parametrize("case", _CASES)
def test_times_without_a_run(case):
    """Guards against a wait that is not listed, or is listed while something runs.

    Lines of several files are not in the order of their times.
    """
    lines, expected = _CASES[case]
    for seed in range(3):
        shuffled = sorted(lines, key=lambda line: json.loads(line)["t"])
        if seed and len({json.loads(line)["t"] for line in lines}) == len(lines):
            random.Random(seed).shuffle(shuffled)
        report = idle_jobs.find_idle_jobs(shuffled)
        found = [(item.from_s, item.to_s, item.until) for item in report.idle]
        assert (found, report.skipped) == (expected, 0)


_EVACUATED = [
    _line(0.5, "term_loaded", "vm1", epoch=2, jobs=0, open=0, runs=0, runs_of_ended_jobs=0),
    _accepted(1.0),
    _placed(1.1),
    _stopped(2.0, "evacuated"),
    _line(4.0, "term_loaded", "vm2", epoch=3, jobs=1, open=1, runs=1, runs_of_ended_jobs=0),
    _waiting(6.5, 2.0, "stray_run", worker="w1"),
    _waiting(8.5, 4.0, "stray_run", worker="w1"),
    _waiting(9.5, 5.0, "no_room"),
    _placed(10.0, run=2),
    _line(11.0, "term_loaded", "vm3", epoch=4, jobs=1, open=1, runs=1, runs_of_ended_jobs=0),
    _succeeded(12.0),
]


def test_reasons_and_holders():
    """Guards against a wait without the reasons and the changes of the holder during it."""
    (item,) = idle_jobs.find_idle_jobs(_EVACUATED).idle
    assert (item.job_id, item.from_s, item.to_s) == ("j", 2.0, 10.0)
    assert item.reasons == ("stray_run (w1)", "no_room")
    assert item.holders == ("vm2 epoch 3 at 4.000",)


@pytest.mark.parametrize(
    "line",
    [
        "not json {",
        "Traceback (most recent call last):",
        "[" * 100_000,
        "{" * 100_000,
        '{"event":"placed","job":"j"}',
        '{"t":"1.0","event":"placed","job":"j"}',
        '{"t":true,"event":"stopped"}',
        '{"t":NaN,"event":"stopped"}',
        '{"t":1e999,"event":"stopped"}',
        f'{{"t":{10**400},"event":"stopped"}}',
        _line(3.0, "job_succeeded"),
        _line(3.0, "job_succeeded", job=7),
        _line(3.0, "job_accepted", job="j"),
        _line(3.0, "placed", job="j", step="0.0", tasks=1, run=1),
        _line(3.0, "placed", job="j", step="0.0", tasks=1, run=1, workers=[1]),
        _line(3.0, "placed", job="j", step="0.0", tasks="many", run=1, workers=["w1"]),
        _line(3.0, "run_ended", job="j", task="0.0.0", worker="w1", run=True, end="done"),
        _line(3.0, "stop_ordered", job="j", task="0.0.0", worker="w1", run=1),
        _line(3.0, "job_waiting", job="j", reason="no_room", waited_s="long"),
        _line(3.0, "job_waiting", job="j", reason="no_room", waited_s=-1.0),
        _line(3.0, "term_loaded", epoch="x"),
        _waiting(3.0, 2.0, jobs="k"),
        _waiting(3.0, 2.0, jobs=["k", 7]),
    ],
    ids=range(23),
)
def test_malformed_line(line):
    """Guards against a line that ends the search, is taken for another, or is left out unseen."""
    report = idle_jobs.find_idle_jobs([_EVACUATED[0], line, "", *_EVACUATED[1:]])
    assert report.skipped == 1
    assert report.idle == idle_jobs.find_idle_jobs(_EVACUATED).idle


def test_reason_of_a_job_that_a_line_about_another_one_names():
    """Guards against jobs of a group that are listed without a cause, as no line is their own.

    The worker of the line is that of the other job. A job whose placement the line disproves waits
    on, and one that has ended is not listed.
    """
    lines = [_accepted(1.0), _line(1.0, "job_accepted", job="k", version=1)]
    lines += [_line(1.0, "job_accepted", job="gone", version=1)]
    lines += [_line(1.5, "job_succeeded", job="gone")]
    lines += [
        _line(
            1.6, "placed", job="k", step="0.0", tasks=1, run=1, workers=["w2"], level=2, waited_s=0
        )
    ]
    lines += [_waiting(4.0, 3.0, "worker_silent", worker="w1", jobs=["k", "gone", "other"])]
    lines += [_line(9.0, "stopped")]
    found = {item.job_id: item for item in idle_jobs.find_idle_jobs(lines).idle}
    assert {name: (i.from_s, i.to_s, i.reasons) for name, i in found.items()} == {
        "j": (1.0, 9.0, ("worker_silent (w1)",)),
        "k": (1.0, 9.0, ("worker_silent",)),
        "other": (2.0, 9.0, ("worker_silent",)),
    }


@pytest.mark.parametrize(
    "line", ['{"t":3.0,"event":["x"]}', '{"t":3.0,"event":"unknown","job":5}', '{"t":3,"event":""}']
)
def test_other_line(line):
    """Guards against lines of other builds that count as malformed or end the search."""
    report = idle_jobs.find_idle_jobs([line, *_EVACUATED])
    assert (report.skipped, len(report.idle)) == (0, 1)


def test_idle_command(tmp_path, capsys):
    """Guards against a command that fails on log files, or by whose exit code nothing is found."""
    first, second = tmp_path / "vm1.log", tmp_path / "vm2.log"
    first.write_text("\n".join(_EVACUATED[::2]))
    second.write_text("\n".join(["not json {", *_EVACUATED[1::2]]))
    assert main.run(["idle", str(first), str(second)]) == exits.Exit.FINDINGS
    out, err = capsys.readouterr()
    assert "stray_run (w1), no_room" in out
    assert "vm2 epoch 3 at 4.000" in out
    assert err == "lines that could not be read: 1\n"
    assert main.run(["idle", "--json", str(first), str(second)]) == exits.Exit.FINDINGS
    (row,) = json.loads(capsys.readouterr().out)
    assert (row["job"], row["from s"], row["to s"], row["until"]) == ("j", 2.0, 10.0, "placed")
    calm = tmp_path / "calm.log"
    calm.write_text("\n".join(_CASES["runs at once"][0]))
    assert main.run(["idle", str(calm)]) == exits.Exit.OK
    assert main.run(["idle", str(tmp_path / "none")]) == exits.Exit.REFUSED


def test_dropped_lines_are_named(tmp_path, capsys):
    """Guards against a list that seems complete although the VMs left out lines."""
    path = tmp_path / "vm.log"
    path.write_text(_line(1.0, "stopped", dropped=12))
    assert main.run(["idle", str(path)]) == exits.Exit.OK
    assert capsys.readouterr().err.endswith("may be wrong: 12\n")


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_lines_of_a_simulated_scheduler(is_cut_off):
    """Guards against fields that the scheduler writes under other names or with other types.

    Workers that answer the next holder only after 6 s keep a job of the simulation from running.
    """
    world = simulation.World(1)
    world.fleet.work_s = 4.0
    job_id = "0" * 16
    world.submit(simulation.make_job(job_id, simulation.make_step(2, max_per_worker=1)))
    first = world.claim_term("a")
    world.run(1.0)
    first.stop("killed")
    if is_cut_off:
        world.fleet.answers_lost |= set(world.fleet.workers)
    world.claim_term("b")
    world.run(6.0)
    world.fleet.answers_lost.clear()
    world.run(10.0)
    simulation.assert_all_succeed(world)
    report = idle_jobs.find_idle_jobs([line.decode() for line in world.lines])
    assert report.skipped == 0
    assert [item.job_id for item in report.idle] == [job_id] * is_cut_off
    for item in report.idle:
        assert item.reasons[0].startswith("worker_silent (w")
