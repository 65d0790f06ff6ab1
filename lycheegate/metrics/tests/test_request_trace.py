"""Tests of decision logs, request traces and the text exposition of metrics."""

import msgspec

from lycheegate.cli import main
from lycheegate.metrics import exposition, histograms, jsonlog, request_trace

_LINES = [
    '{"t":0.5,"node":"vm1","event":"claimed","epoch":1}',
    '  1.0 vm2 {"t":1.0,"node":"vm2","event":"job_accepted","job":"5c0e","version":9}',
    "not json {",
    '{"t":1.1,"node":"vm1","event":"placed","job":"5c0e","workers":["w1"]}',
    '{"t":1.2,"node":"vm1","event":"placed","job":"other","workers":["w1"]}',
    '{"t":2.0,"node":"vm3","event":"claimed","epoch":2}',
    '{"t":2.1,"node":"vm3","event":"preempted","job":"other","victims":["5c0e:0:0:-1"]}',
    '{"t":3.0,"node":"vm3","event":"job_succeeded","job":"5c0e","after_s":2.0}',
    '{"t":9.0,"node":"vm1","event":"claimed","epoch":3}',
]


def test_find_request_trace():
    """Guards against a trace without the lines of other VMs, or without a preemption.

    A preemption is logged under the job that preempts; the preempted one is among its victims.
    """
    found = [(line.node, line.event) for line in request_trace.find_request_trace(_LINES, "5c0e")]
    assert found == [
        ("vm2", "job_accepted"),
        ("vm1", "placed"),
        ("vm3", "claimed"),
        ("vm3", "preempted"),
        ("vm3", "job_succeeded"),
    ]
    assert request_trace.find_request_trace(_LINES, "absent") == []


def test_explain_command(tmp_path, capsys):
    """Guards against a command that fails on log files, or succeeds without a result."""
    path = tmp_path / "vm.log"
    path.write_text("\n".join(_LINES))
    assert main.run(["explain", "5c0e", str(path)]) == 0
    assert "job_succeeded" in capsys.readouterr().out
    assert main.run(["explain", "absent", str(path)]) != 0
    assert main.run(["explain", "5c0e", str(tmp_path / "none")]) != 0


def test_log_rate_is_limited():
    """Guards against a log that grows with the load, or that does not report dropped lines."""
    now = [0.0]
    lines = []

    def write(data):
        lines.append(msgspec.json.decode(data))
        return len(data)

    log = jsonlog.JsonLog("vm", lambda: now[0], write)
    for _ in range(5000):
        log.write("event")
    assert len(lines) == jsonlog.BURST_LINES
    now[0] = 1.0
    log.write("event")
    assert lines[-1]["dropped"] == 5000 - jsonlog.BURST_LINES
    assert log.counts["event"] == 5001


def test_log_never_blocks():
    """Guards against a full output pipe that blocks the daemon."""

    def block(data):
        raise BlockingIOError

    log = jsonlog.JsonLog("vm", lambda: 0.0, block)
    log.write("event")
    assert log.dropped == 1


def test_metrics_are_labeled():
    """Guards against metrics without event name, client account or queue."""
    times = histograms.Histograms()
    times.record("acme", "preview", histograms.Kind.COMPLETION, 2.0)
    text = exposition.format_metrics({"placed": 3}, times)
    assert 'lycheegate_events_total{event="placed"} 3' in text
    assert 'lycheegate_completion_seconds_count{client_account="acme",queue="preview"} 1' in text
