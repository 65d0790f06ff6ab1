"""Runs the worked example of ``docs/placement.md``."""

import doctest
import pathlib

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "placement.md"


def test_worked_example():
    """Guards against an example on the page that no longer matches the code."""
    results = doctest.testfile(str(_PAGE), module_relative=False)
    assert results.attempted > 10
    assert results.failed == 0
