"""Runs the worked example of docs/standins.md."""

import pathlib
import re

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "standins.md"


def test_worked_example():
    """Guards against a documentation page whose example fails."""
    blocks = re.findall(r"^```python\n(.*?)^```", _PAGE.read_text("utf-8"), re.M | re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], str(_PAGE), "exec"), {})
