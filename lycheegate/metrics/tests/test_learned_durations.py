"""Learned factors from decision logs, and the histogram of errors of predicted durations."""

import json

from lycheegate.cli import main
from lycheegate.metrics import duration_errors, learned_durations


def _make_line(at_s, node="vm1", **fields):
    return json.dumps({"t": at_s, "node": node, "event": "durations_learned", **fields})


_LINES = [
    _make_line(5.0, fastest={"w1": 0.61}, slowest={"w2": 1.5}, queues={"batch": 1.2}),
    _make_line(12.0, "vm2", fastest={"w3": 0.7}, slowest={"w2": 1.62}),
    # The log of another VM is read later, but its lines are older.
    _make_line(3.0, "vm3", slowest={"w2": 1.1, "w1": 9.0}),
    _make_line(20.0, slowest={"w4": "many", "w5": True}, fastest=[1], queues=None),
    _make_line("late", slowest={"w6": 2.0}),
    '{"event":"placed","t":5,"slowest":{"w7":2.0}}',
    "not json {",
]


def test_latest_factors_are_listed():
    """Guards against outdated factors, and against lines that end the list."""
    rows = learned_durations.list_rows(learned_durations.find_factors(_LINES))
    assert rows == [
        ("worker", "w2", 1.62, 12.0, "vm2"),
        ("worker", "w3", 0.7, 12.0, "vm2"),
        ("worker", "w1", 0.61, 5.0, "vm1"),
        ("queue", "batch", 1.2, 5.0, "vm1"),
    ]


def test_durations_command(tmp_path, capsys):
    """Guards against a command that fails on log files, or accepts one that does not exist."""
    path = tmp_path / "vm.log"
    path.write_text("\n".join(_LINES))
    assert main.run(["durations", str(path)]) == 0
    assert "1.62" in capsys.readouterr().out
    assert main.run(["durations", "--json", str(path)]) == 0
    assert json.loads(capsys.readouterr().out)[0]["factor"] == 1.62
    assert main.run(["durations", str(tmp_path / "none")]) != 0


def test_errors_of_declared_and_learned_durations_are_told_apart():
    """Guards against a histogram from which the gain by learning cannot be seen."""
    errors = duration_errors.DurationErrors()
    for declared, learned in ((0.5, 1.0), (0.5, 1.05), (20.0, 1.3)):
        errors.record(declared, learned)
    lines = errors.format_metrics().splitlines()
    for expected in (
        'lycheegate_duration_error_bucket{source="declared",le="0.5"} 2',
        'lycheegate_duration_error_bucket{source="declared",le="8.0"} 2',
        'lycheegate_duration_error_bucket{source="declared",le="+Inf"} 3',
        'lycheegate_duration_error_bucket{source="learned",le="0.9"} 0',
        'lycheegate_duration_error_bucket{source="learned",le="1.1"} 2',
        'lycheegate_duration_error_count{source="learned"} 3',
        'lycheegate_duration_error_sum{source="declared"} 21.0',
    ):
        assert expected in lines
