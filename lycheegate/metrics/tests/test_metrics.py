"""Tests of logs, counters, histograms and the report."""

import io
import json
import socket
import sys

import hypothesis
import pytest
from hypothesis import strategies

from lycheegate.metrics import counters, histograms, logs, report
from lycheegate.settings import models
from lycheegate.utils import exceptions

_TOKEN = "lyg_00112233aabbccdd_" + "x" * 43
_DURATIONS = strategies.lists(strategies.floats(0.0, 1e6), max_size=30)


def _write_log(level: str, write) -> str:
    stream = io.StringIO()
    handler = logs.set_up(level, stream)
    try:
        write(logs.Log("test"))
    finally:
        handler.pop_application()
    return stream.getvalue()


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"number": 3, "operator": "kim"}, "number=3 operator=kim"),
        ({"payload": {"a": 1}}, "payload=[redacted]"),
        ({"token": "x"}, "token=[redacted]"),
        ({"Authorization": "x"}, "Authorization=[redacted]"),
        ({"data": b"image"}, "data=[redacted]"),
        ({"error": f"bad {_TOKEN}!"}, 'error="bad [redacted]!"'),
        ({"error": "Bearer abc"}, "error=[redacted]"),
        ({"reason": "two\nlines"}, r'reason="two\nlines"'),
        ({"reason": "a=b c"}, 'reason="a=b c"'),
        ({"vms": ["a", "b"]}, 'vms="a,b"'),
        ({"age_s": 1 / 3}, "age_s=0.333333"),
        ({"text": "{0.__class__}"}, 'text="{0.__class__}"'),
    ],
)
def test_log_lines_contain_no_credentials_bodies_or_line_breaks(fields, expected):
    """Guards against credentials or bodies in the log, and against injected log lines."""
    line = _write_log("info", lambda log: log.info("event_name", **fields))
    assert line.endswith(f"INFO test event_name {expected}\n")
    assert line.count("\n") == 1


def test_levels_and_request_identifiers():
    """Guards against lines below the configured level, and lines without request identifier."""

    def write(log):
        log.debug("hidden")
        with logs.bind_request("r-1"):
            log.warning("seen", detail="x" * 600)
        log.error("after")

    lines = _write_log("warning", write).splitlines()
    assert [line.split(" ")[1:4:2] for line in lines] == [["WARNING", "seen"], ["ERROR", "after"]]
    assert "request_id=r-1" in lines[0]
    assert "(600 characters)" in lines[0]
    assert "request_id" not in lines[1]


def test_counters_are_sent_as_statsd_lines():
    """Guards against names or values that a statsd server would misinterpret."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10.0)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        sender = counters.make_counters(models.StatsdSettings(address=address))
        sender.increment("end", "not_run")
        sender.increment("caller", "a.b:c|d", count=2)
        sender.set_gauge("queued", value=-1)
        sender.record_time("plan", duration_s=0.25)
        received = [server.recv(512).decode() for _ in range(4)]
        sender.close()
    assert received[:3] == [
        "lycheegate.end.not_run:1|c",
        "lycheegate.caller.a_b_c_d:2|c",
        "lycheegate.queued:0|g",
    ]
    assert received[3].startswith("lycheegate.plan:250.0")
    assert isinstance(counters.make_counters(None), counters.NoCounters)


@hypothesis.given(strategies.lists(_DURATIONS, max_size=4))
def test_merged_histograms_equal_a_single_histogram(durations_by_vm):
    """Guards against values that are lost or counted twice when histograms of VMs are merged."""
    single, documents = histograms.Histograms(), []
    for durations in durations_by_vm:
        recorder = histograms.Histograms()
        for duration_s in durations:
            for target in (recorder, single):
                target.record("studio", "preview", histograms.Kind.QUEUEING, duration_s)
        documents.append(json.loads(json.dumps(recorder.encode())))
    assert histograms.merge(documents) == single.encode()


def test_number_of_histograms_is_bounded_without_loss_of_values(monkeypatch):
    """Guards against memory that grows with the number of names, and against lost values."""
    monkeypatch.setattr(histograms, "_MAX_HISTOGRAMS", 2)
    recorder = histograms.Histograms()
    for number in range(5):
        recorder.record(f"account-{number}", "x", histograms.Kind.COMPLETION, 1.5)
    models_ = histograms.decode(recorder.encode())
    assert {m.client_account: m.count for m in models_} == {
        histograms.OTHER: 3,
        "account-0": 1,
        "account-1": 1,
    }
    assert models_[0].percentiles_s["p50"] == pytest.approx(1.5, rel=0.01)


@pytest.mark.parametrize(
    "document",
    [
        {},
        {"histograms": [{"client_account": "a"}]},
        {
            "histograms": [
                {
                    "client_account": "a",
                    "job_class": "x",
                    "kind": "queueing",
                    "count": 1,
                    "sum_ms": 1000,
                    "mean_s": 1.0,
                    "max_s": 1.0,
                    "percentiles_s": {},
                    "data": "no histogram",
                }
            ]
        },
    ],
)
def test_malformed_histograms_are_rejected(document):
    """Guards against an unexpected exception when a peer sends malformed data."""
    with pytest.raises(exceptions.ProtocolError):
        histograms.merge([document])


def test_report_has_a_row_and_a_curve_for_each_histogram(tmp_path, monkeypatch):
    """Guards against a report without some of the histograms.

    If the chart cannot be drawn, such as without the optional dependency, the reason is returned
    and no exception is raised.
    """
    recorder = histograms.Histograms()
    for number in range(200):
        recorder.record("studio", "preview", histograms.Kind.QUEUEING, number / 100)
        recorder.record("studio", "preview", histograms.Kind.COMPLETION, number / 10)
    document = recorder.encode()
    assert [row[:4] for row in report.list_rows(document)] == [
        ("studio", "preview", "completion", "200"),
        ("studio", "preview", "queueing", "200"),
    ]
    assert report.draw_chart(document, tmp_path / "times.png").unwrap() == 2
    assert (tmp_path / "times.png").read_bytes().startswith(b"\x89PNG")
    assert "cannot write" in report.draw_chart(document, tmp_path / "no" / "x.png").failure()
    assert "no histograms" in report.draw_chart({"histograms": []}, tmp_path / "x").failure()
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    assert "lycheegate[report]" in report.draw_chart(document, tmp_path / "x.png").failure()
