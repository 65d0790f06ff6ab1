"""Test of the example in docs/decisions.md."""

import doctest
import pathlib


def test_run_example():
    """Guards against an example on the page that no longer gives the documented results."""
    page = pathlib.Path(__file__).parents[3] / "docs" / "decisions.md"
    result = doctest.testfile(str(page), module_relative=False)
    assert result.attempted > 5
    assert result.failed == 0
