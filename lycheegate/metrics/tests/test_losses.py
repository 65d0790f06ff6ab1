"""Summary of lost work from decision logs."""

import json

from lycheegate.cli import main
from lycheegate.metrics import losses

_LINES = [
    '{"event":"run_ended","job":"a","end":"stopped","stopped":"preempted","lost_core_s":30.5}',
    '1.0 vm1 {"event":"run_ended","end":"stopped","stopped":"preempted","lost_core_s":0.0}',
    '{"event":"run_ended","job":"c","end":"lapsed","lost_core_s":99}',
    '{"event":"run_ended","job":"d","end":"done"}',
    '{"event":"run_ended","job":"e","end":"failed","lost_core_s":"many"}',
    '{"event":"placed","job":"a","lost_core_s":7}',
    "not json {",
    "[" * 100_000,
    "{" * 100_000,
]


def test_summarize_losses():
    """Guards against a loss without its cause, and against lines that end the summary."""
    summaries = losses.summarize_losses(_LINES)
    assert losses.list_rows(summaries) == [("lapsed", 1, 0, 99.0), ("preempted", 2, 1, 30.5)]


def test_losses_command(tmp_path, capsys):
    """Guards against a command that fails on log files, or accepts one that does not exist."""
    path = tmp_path / "vm.log"
    path.write_text("\n".join(_LINES))
    assert main.run(["losses", str(path)]) == 0
    assert "99.0" in capsys.readouterr().out
    assert main.run(["losses", "--json", str(path)]) == 0
    assert json.loads(capsys.readouterr().out)[0]["core-seconds lost"] == 99.0
    assert main.run(["losses", str(tmp_path / "none")]) != 0
