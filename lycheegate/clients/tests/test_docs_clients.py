"""Runs the worked example of docs/clients.md."""

import pathlib
import re

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "clients.md"


def test_worked_example():
    """Guards against a page whose example no longer works."""
    blocks = re.findall(r"^```python\n(.*?)^```", _PAGE.read_text("utf-8"), re.M | re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], str(_PAGE), "exec"), {})
