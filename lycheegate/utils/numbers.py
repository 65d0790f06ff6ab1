"""Limits of numbers that come from other systems."""

import math

__all__ = ["MAX_WHOLE", "is_finite", "is_whole"]

MAX_WHOLE = 1 << 53
"""Largest whole number that is accepted. Floats hold it exactly, and every format encodes it; a
division of a number with 400 digits raises, because no float holds the result."""


def is_whole(value: object, least: int = 0) -> bool:
    """Returns whether a value is a whole number, and not a truth value, within the limits."""
    return type(value) is int and least <= value <= MAX_WHOLE


def is_finite(value: object) -> bool:
    """Returns whether a value is a number, and not a truth value, of at most ``MAX_WHOLE``."""
    if type(value) is float:
        return math.isfinite(value) and abs(value) <= MAX_WHOLE
    return type(value) is int and abs(value) <= MAX_WHOLE
