"""Tests that the documentation matches the program."""

import ast
import pathlib
import re
import shlex

import pytest
from cleo.io.inputs import argv_input

from lycheegate.cli import exits, main
from lycheegate.entry import services
from lycheegate.settings import loader
from standins import entry_services

_ROOT = pathlib.Path(__file__).parents[3]
_DOCS = _ROOT / "docs"
_BLOCK = re.compile(r"^```(\w+)(?: (\S+))?\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_CLASSES = "job_classes: {preview: {idempotent: true}, hero-shot: {idempotent: true}}\n"


def _read(name: str) -> str:
    return (_DOCS / name).read_text(encoding="utf-8")


def _list_commands(text: str) -> list[str]:
    blocks = [match[3] for match in _BLOCK.finditer(text) if match[1] in ("sh", "console")]
    lines = [line.removeprefix("$ ") for block in blocks for line in block.splitlines()]
    return [line for line in lines if line.startswith("lycheegate ")]


def run_page(text: str, cli, directory: pathlib.Path) -> str:
    """Returns a page in which the output in console blocks is replaced by the actual output.

    Args:
        text: Text of the page.
        cli: Command line that runs the commands.
        directory: Directory to which the named YAML blocks of the page are written.
    """
    last_exit_code = 0

    def run_block(match: re.Match) -> str:
        nonlocal last_exit_code
        kind, file, content = match.groups()
        if kind == "yaml" and file:
            (directory / file).write_text(content)
        if kind != "console":
            return match[0]
        lines = []
        for line in content.splitlines():
            if not line.startswith("$ "):
                continue
            lines.append(line)
            if line == "$ echo $?":
                lines.append(str(last_exit_code))
                continue
            last_exit_code, out, err = cli.run(*shlex.split(line)[2:])
            lines += [shown.rstrip() for shown in (out + err).splitlines()]
        return "```console\n" + "\n".join(lines) + "\n```"

    return _BLOCK.sub(run_block, text)


@pytest.fixture
def agency(entry_vm):
    """The agency's 24 workers in four data centres, with one rack of 6 workers in each."""
    settings = re.sub(r"job_classes: .*\n", _CLASSES, entry_services.SETTINGS)
    settings = settings.replace("max_body_bytes: 2048", "max_body_bytes: 65536")
    entry_vm.get_settings = lambda: loader.parse_settings(settings, "entry.yaml").unwrap()
    entry_vm.workers = [
        services.WorkerView(
            worker_id=f"{data_centre}-{number}",
            endpoint="127.0.0.1:1",
            region="kr",
            data_centre=data_centre,
            rack=f"{data_centre}-r1",
            slots=8,
            accelerators=8,
        )
        for data_centre in ("suwon", "seongnam", "goyang", "bucheon")
        for number in range(6)
    ]
    return entry_vm


def test_worked_example_of_release_notes(agency, cli, tmp_path, monkeypatch):
    """Guards against a page whose example fails or gives other output than the page shows."""
    monkeypatch.chdir(tmp_path)
    text = _read("release-notes.md")
    assert run_page(text, cli, tmp_path) == text
    assert agency.current_release.get().number == 2


def test_settings_table_is_that_of_the_models():
    """Guards against a setting that is undocumented or has another default or range."""
    assert loader.format_table() in _read("OPERATIONS.md")


def test_settings_example_is_valid():
    """Guards against an example of settings that an entry VM rejects."""
    match = next(m for m in _BLOCK.finditer(_read("OPERATIONS.md")) if m[2] == "entry.yaml")
    example = match[3].replace("peer_key_file: /etc/lycheegate/peer.key", f"peer_key: {'k' * 32}")
    assert loader.parse_settings(example, "entry.yaml").unwrap().vm_id == "entry-1"


def test_every_exit_code_is_documented():
    """Guards against an exit code that is not documented."""
    text = _read("OPERATIONS.md")
    for code in exits.Exit:
        assert f"| {code.value} |" in text, code


def test_every_log_event_is_documented():
    """Guards against a log event that is not documented."""
    events = set()
    for path in (_ROOT / "lycheegate").rglob("*.py"):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "_log"
            ):
                assert isinstance(node.args[0], ast.Constant), f"{path}: event is no constant"
                events.add(node.args[0].value)
    text = _read("OPERATIONS.md")
    assert len(events) >= 8
    assert [event for event in sorted(events) if f"| `{event}` |" not in text] == []


def test_every_finding_is_documented():
    """Guards against the code of a finding that is not documented."""
    codes = {"account_unknown", "guarantee_unknown", "caller_unknown"}
    methods = {"add", "add_error", "add_warning", "_add", "_add_at"}
    for name in ("release/checks.py", "utils/documents.py"):
        source = (_ROOT / "lycheegate" / name).read_text(encoding="utf-8")
        for node in ast.walk(ast.parse(source)):
            if isinstance(node, ast.Call) and getattr(node.func, "attr", "") in methods:
                texts = [a.value for a in node.args[:3] if isinstance(a, ast.Constant)]
                codes |= {t for t in texts if isinstance(t, str) and re.fullmatch("[a-z_]+", t)}
    text = _read("release-notes.md")
    assert len(codes) >= 25
    assert [code for code in sorted(codes) if f"`{code}`" not in text] == []


@pytest.mark.parametrize("page", ["OPERATIONS.md", "release-notes.md"])
def test_commands_in_the_pages_exist(page):
    """Guards against a page that uses a command or option that does not exist."""
    app = main.make_application()
    commands = _list_commands(_read(page))
    assert commands
    for line in commands:
        words = shlex.split(line.partition(" > ")[0])[1:]
        two_words = " ".join(words[:2])
        name = two_words if app.has(two_words) else words[0]
        command = app.find(name)
        command.merge_application_definition()
        rest = words[len(name.split()) :]
        source = argv_input.ArgvInput(["lycheegate", name, *rest], command.definition)
        source.validate()
