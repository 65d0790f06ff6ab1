"""Orders to workers that the scheduler returns, and decisions to be logged."""

import dataclasses
from typing import Any

from lycheegate.jobs import model

__all__ = ["Command", "Decision", "StartRun", "StopRun"]


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run of a task; its intention is durable.

    Attributes:
        worker_id: Where.
        task: The task.
        number: Number of the run.
        spec: What it runs.
        checkpoint: Where to resume, or an empty string.
    """

    worker_id: str
    task: model.TaskKey
    number: int
    spec: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, and make its worker refuse that run from then on."""

    worker_id: str
    task: model.TaskKey
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision that goes to the log.

    Attributes:
        event: What was decided.
        fields: What it is about, the inputs that decided it and the result.
    """

    event: str
    fields: dict[str, Any]


Command = StartRun | StopRun | Decision
