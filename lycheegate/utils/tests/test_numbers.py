"""Limits of numbers that come from other systems."""

import pytest

from lycheegate.utils import numbers

_WHOLE = [0, 1, numbers.MAX_WHOLE]
_NEGATIVE = [-1, -numbers.MAX_WHOLE]
_FRACTIONS = [0.0, -1.5, float(numbers.MAX_WHOLE)]
_OTHERS = [
    numbers.MAX_WHOLE + 1,
    10**400,
    -(10**400),
    1e300,
    float("inf"),
    float("nan"),
    True,
    None,
    "1",
    [],
]


@pytest.mark.parametrize(
    "value", [*_WHOLE, *_NEGATIVE, *_FRACTIONS, *_OTHERS], ids=lambda v: f"{v!r:.9}"
)
def test_limits(value):
    """Guards against a number that is accepted and raises in arithmetic with floats."""
    assert numbers.is_whole(value) is (type(value) is int and value in _WHOLE)
    is_number = type(value) in (int, float) and value in [*_WHOLE, *_NEGATIVE, *_FRACTIONS]
    assert numbers.is_finite(value) is is_number


def test_least_value():
    """Guards against a run or an attempt with the number 0."""
    assert not numbers.is_whole(0, 1)
    assert numbers.is_whole(-5, -5)
