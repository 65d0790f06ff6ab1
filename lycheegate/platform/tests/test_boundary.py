"""Tests of the boundaries between packages."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parents[2]
_WIRE_NAMES = re.compile(
    r'"(run-id|fencing-token|last-seen|depends-on|checkpointing|expected-rev|mem-mb|gpu|api-keys'
    r"|path-prefix|target-duration-ms|heartbeat-ms|now-ms|wait-ms)\""
    r"|/(rows-tx|rows-get|rows-feed|run-start|run-stop|hold|pace|machine-move|advise)\b"
)
_FORBIDDEN_PACKAGES = (
    "lycheegate.node",
    "lycheegate.platform",
    "lycheegate.clients",
    "lycheegate.entry",
)


def _list_sources(folder: str) -> list[pathlib.Path]:
    return [p for p in (_ROOT / folder).rglob("*.py") if "tests" not in p.parts]


def test_wire_names_appear_only_in_platform():
    """Guards against wire names of the platform in other packages."""
    found = [
        f"{path.relative_to(_ROOT)}: {match.group(0)}"
        for path in _list_sources("")
        if path.parent.name != "platform"
        for match in _WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_scheduling_decisions_are_pure():
    """Guards against scheduling code that reads a clock, does I/O or imports the daemon."""
    for path in _list_sources("jobs"):
        text = path.read_text()
        assert not re.search(r"^import (time|socket|threading|random)\b", text, re.M), path
        for package in _FORBIDDEN_PACKAGES:
            assert package not in text.replace("``lycheegate.node``", ""), path
