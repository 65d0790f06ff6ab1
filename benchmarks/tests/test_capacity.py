"""Tests of the capacity table."""

import pytest

from benchmarks import capacity


@pytest.mark.parametrize(
    ("sizes", "values", "size", "expected", "error"),
    [
        ((1, 2, 3), (2.0, 4.0, 6.0), 10, 20.0, 0.0),
        ((0, 10, 20), (5.0, 5.0, 5.0), 100, 5.0, 0.0),
        ((0, 1, 2), (0.0, 3.0, 0.0), 4, 1.0, 2.0 / 3.0),
    ],
)
def test_fit(sizes, values, size, expected, error):
    """Guards against capacity figures from a wrong line or an understated deviation."""
    slope = capacity.fit_line("x", sizes, values)
    assert slope.extrapolate(size) == pytest.approx(expected)
    assert slope.error_ratio == pytest.approx(error, abs=1e-9)
