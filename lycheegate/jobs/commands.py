"""Commands that the scheduler's decisions return: orders to workers and entries for the log."""

import dataclasses
from typing import Any

from lycheegate.jobs import model

__all__ = ["Command", "Decision", "StartRun", "StopRun"]


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run of a task; returned only once the intention is durable.

    Attributes:
        worker_id: Worker that runs it.
        task: The task.
        number: Number of the run.
        spec: What the task runs, as the caller submitted it.
        checkpoint: Checkpoint to resume from, or an empty string.
    """

    worker_id: str
    task: model.TaskKey
    number: int
    spec: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run; its worker refuses any later order to start that run.

    Attributes:
        worker_id: Worker that runs it.
        task: The task.
        number: Number of the run.
    """

    worker_id: str
    task: model.TaskKey
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision to be logged.

    Attributes:
        event: Name of the log event.
        fields: Subject, inputs and result of the decision.
    """

    event: str
    fields: dict[str, Any]


Command = StartRun | StopRun | Decision
