"""The command that shows where a job would be placed, against the readiness address of a VM."""

import json
import threading

import pytest
import werkzeug

from lycheegate.cli import exits
from lycheegate.jobs import exclusions, model, preview, step_preview, waiting
from lycheegate.node import node_view, peer_calls, previews

_JOB = '{"spec":"x","steps":[{"count":2,"cpu":1000}]}'
_WAITING_ID = "5c0e7a21d94b36f8"
_GROUP = step_preview.Group("z0", "r<b>1", 4, 2, 2, {exclusions.Exclusion.DRAINING: 1})
_PLACED = step_preview.StepPreview(
    "0.0", 2, 3, {0: "w1", 1: "w1"}, {}, (_GROUP,), 2.0, 0.0, is_learned=True
)
_BLOCKED = step_preview.StepPreview(
    "0.1",
    2,
    4,
    reserved={0: "w2"},
    groups=(_GROUP,),
    duration_s=2.0,
    starts_in_s=0.6,
    victims=(step_preview.Victim("1" * 16, "other", "batch", "0.0", 2),),
    awaited=1,
    lost_core_s=7.25,
    reason=waiting.Reason.RESERVATION,
    fields={"workers": ["w2"]},
)


class _Vm:
    """VM whose holder has a given answer."""

    def __init__(self, *steps, problem="", due_in_s=0.0):
        document = previews.make_document(
            preview.Preview(
                _WAITING_ID, "acme", "urgent", "render", 0, True, 7, due_in_s, tuple(steps)
            ),
            "acme",
        )
        text = "no <b>preview" if problem else ""
        self.answer = peer_calls.PreviewAnswer(problem, text, {} if problem else document)
        self.asked = []
        route = model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.3)
        account = model.Account("acme", frozenset({"k"}))
        configuration = model.Configuration(
            1, {"urgent": route}, {}, {"acme": account}, {"k": "acme"}, 1_000
        )
        self.application = previews.PreviewApplication(
            node_view.NodeView(configuration, confirmed_at_s=50.0),
            lambda: 50.0,
            lambda: 100.0,
            3.5,
            49_152,
            self._query,
        )

    def _query(self, account, job_id, record):
        self.asked.append((account, job_id, bool(record)))
        return self.answer


@pytest.fixture
def where(cli, server, monkeypatch, tmp_path):
    """Runs the command with a job file against a VM; returns exit code, output and errors."""
    monkeypatch.setenv("LYCHEEGATE_READY_SERVER", server.url)
    monkeypatch.setenv("LYCHEEGATE_KEY", "k")
    monkeypatch.delenv("LYCHEEGATE_KEY_FILE", raising=False)
    path = tmp_path / "job.json"
    path.write_text(_JOB)

    def run(vm, *arguments):
        server.application = vm.application if isinstance(vm, _Vm) else vm
        return cli.run("where", *[str(path) if a == "FILE" else a for a in arguments])

    return run


@pytest.mark.parametrize(
    "arguments",
    [
        ("FILE", "--queue", "urgent"),
        ("FILE", "--host", "h", "--path", "/u/"),
        ("FILE", "--queue", "urgent", "--id", "a" * 16),
        (_WAITING_ID,),
    ],
)
def test_job_that_would_start(where, arguments):
    """Guards against options that do not reach the VM, and against output that leaves out parts."""
    vm = _Vm(_PLACED)
    exit_code, out, err = where(vm, *arguments)
    job_id = _WAITING_ID if arguments == (_WAITING_ID,) else "f" * 16
    job_id = "a" * 16 if "--id" in arguments else job_id
    assert (exit_code, err) == (0, "")
    assert vm.asked == [("acme", job_id, arguments != (_WAITING_ID,))]
    for text in (
        "queue urgent, service render",
        "level 0, its objective can no longer be met; 7 units wait in all",
        "step 0.0: 2 tasks, 3 units before it",
        "starts now: w1 (2)",
        "takes 2.0 s (learned): starts in 0.0 s, ends in 2.0 s",
        "r<b>1",
        "1 draining",
    ):
        assert text in out


def test_job_that_would_wait(where):
    """Guards against victims, reservations and reasons that are left out, and a wrong exit code."""
    exit_code, out, _ = where(_Vm(_PLACED, _BLOCKED, due_in_s=2.0), "FILE", "--queue", "urgent")
    assert exit_code == exits.Exit.FINDINGS
    for text in (
        "not due for 2.0 s",
        "room reserved: w2 (1)",
        "starts in 0.6 s, ends in 2.6 s",
        "stops 2 tasks of job of another account, queue batch",
        "work lost by that: 7.2 core-seconds",
        "awaits the end of 1 units",
        "tasks wait: reservation, workers ['w2']",
    ):
        assert text in out


def test_json(where):
    """Guards against JSON that differs from the answer."""
    vm = _Vm(_BLOCKED)
    exit_code, out, _ = where(vm, "FILE", "--queue", "urgent", "--json")
    assert exit_code == exits.Exit.FINDINGS
    assert json.loads(out) == {"preview": vm.answer.document}


@pytest.mark.parametrize(
    ("problem", "expected"),
    [
        ("no_holder", exits.Exit.UNREACHABLE),
        ("holder_changed", exits.Exit.LOST_RACE),
        ("holder_silent", exits.Exit.UNREACHABLE),
        ("unsupported", exits.Exit.REFUSED),
        ("busy", exits.Exit.UNREACHABLE),
        ("too_long", exits.Exit.UNREACHABLE),
        ("queue_unknown", exits.Exit.REFUSED),
        ("job_not_waiting", exits.Exit.REFUSED),
        ("failed", exits.Exit.DEFECT),
        ("of_a_later_build", exits.Exit.REFUSED),
    ],
)
def test_problem_of_the_holder(where, problem, expected):
    """Guards against an error without its name, or with the exit code of another one."""
    exit_code, out, err = where(_Vm(problem=problem), "FILE", "--queue", "urgent")
    assert (exit_code, out, err) == (expected, "", f"{problem}: no <b>preview\n")


@pytest.mark.parametrize(
    ("content", "key", "arguments", "name"),
    [
        (_JOB, "wrong", ("--queue", "urgent"), "key_refused"),
        (_JOB, "", ("--queue", "urgent"), "key_refused"),
        (_JOB, "k", ("--queue", "strange"), "queue_unknown"),
        (_JOB, "k", ("--queue", "urgent", "--id", "x"), "bad_query"),
        ("{", "k", ("--queue", "urgent"), "job_invalid"),
        (" " * 1_001, "k", ("--queue", "urgent"), "job_too_large"),
    ],
)
def test_refusal_of_the_vm(where, monkeypatch, tmp_path, content, key, arguments, name):
    """Guards against a wrong key, queue or job that is not reported as such."""
    monkeypatch.setenv("LYCHEEGATE_KEY", key)
    path = tmp_path / "other.json"
    path.write_text(content)
    vm = _Vm(_PLACED)
    exit_code, _, err = where(vm, str(path), *arguments)
    assert (exit_code, err.split(":")[0], vm.asked) == (exits.Exit.REFUSED, name, [])


@pytest.mark.parametrize(
    ("arguments", "expected", "text"),
    [
        (("FILE",), exits.Exit.USAGE, "--queue"),
        (("FILE", "--queue", "urgent", "--host", "h"), exits.Exit.USAGE, "--queue"),
        (("FILE", "--host", "h"), exits.Exit.USAGE, "--path"),
        ((_WAITING_ID, "--queue", "urgent"), exits.Exit.USAGE, "--queue is not used"),
        (("FILE", "--queue", "urgent", "--timeout", "x"), exits.Exit.USAGE, "--timeout"),
        (("FILE", "--queue", "urgent", "--server", "ftp://x"), exits.Exit.USAGE, "server"),
        (("FILE", "--queue", "urgent", "--key-file", "/none"), exits.Exit.USAGE, "key file"),
        (("/none", "--queue", "urgent"), exits.Exit.REFUSED, "cannot read /none"),
        (
            ("FILE", "--queue", "urgent", "--server", "http://127.0.0.1:1"),
            exits.Exit.UNREACHABLE,
            "cannot reach",
        ),
    ],
)
def test_wrong_use(where, arguments, expected, text):
    """Guards against a wrong option or an unreachable VM without a clear message."""
    exit_code, _, err = where(_Vm(_PLACED), *arguments)
    assert (exit_code, text in err) == (expected, True)


def test_no_server(where, monkeypatch):
    """Guards against a question without a VM to ask."""
    monkeypatch.delenv("LYCHEEGATE_READY_SERVER")
    exit_code, _, err = where(_Vm(_PLACED), "FILE", "--queue", "urgent")
    assert (exit_code, "LYCHEEGATE_READY_SERVER" in err) == (exits.Exit.USAGE, True)


@pytest.mark.parametrize("status", [200, 503])
def test_vm_of_an_older_build(where, status):
    """Guards against the answer of a readiness address without previews taken for a preview."""
    exit_code, out, err = where(werkzeug.Response(status=status), "FILE", "--queue", "urgent")
    assert (exit_code, out) == (exits.Exit.UNREACHABLE, "")
    assert "of a build with previews?" in err


def test_vm_that_does_not_answer(where):
    """Guards against a command that waits for ever."""
    given_up = threading.Event()

    def stall(environ, start_response):
        given_up.wait(10.0)
        return werkzeug.Response()(environ, start_response)

    exit_code, _, err = where(stall, "FILE", "--queue", "urgent", "--timeout", "0.1")
    given_up.set()
    assert (exit_code, "timeout 0.1 s" in err) == (exits.Exit.UNREACHABLE, True)
