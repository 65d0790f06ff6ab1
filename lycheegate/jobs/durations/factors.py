"""What was learned about durations: factors of workers and of steps."""

import dataclasses

__all__ = ["DurationModel", "Estimate", "get_worker_estimate"]


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate of a ratio of durations.

    Attributes:
        ratio: Expected value.
        upper_ratio: Value that is exceeded in about one of six cases.
        runs: Number of observations behind it.
    """

    ratio: float = 1.0
    upper_ratio: float = 1.0
    runs: int = 0


@dataclasses.dataclass(slots=True)
class DurationModel:
    """Learned factors of one scheduler."""


def get_worker_estimate(model: DurationModel, worker_id: str, now_s: float) -> Estimate:
    """Returns how long a worker takes for a task, relative to a typical worker."""
    return Estimate()
