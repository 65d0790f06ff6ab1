"""Test of the example in docs/decisions.md."""

import doctest
import pathlib


def test_run_example():
    """Guards against a page whose example no longer holds."""
    page = pathlib.Path(__file__).parents[3] / "docs" / "decisions.md"
    result = doctest.testfile(str(page), module_relative=False)
    assert result.attempted > 5
    assert result.failed == 0
