"""What callers and workers saw in one run, and the measure of fragmentation."""

import dataclasses

from benchmarks import workloads
from lycheegate.core import commands
from lycheegate.model import resources

__all__ = ["Recorder", "RequestTrace", "count_usable", "list_runs"]


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """What callers and workers saw of one request."""

    arrival: workloads.Arrival
    started_at_s: float | None = None
    ended_at_s: float | None = None
    end: commands.EndRequest | None = None
    starts: int = 0
    ends: int = 0
    done_s: float = 0.0
    guarantee_idle: bool = False


@dataclasses.dataclass
class Recorder:
    """Figures of one run.

    Attributes:
        traces: One for each request.
        decision_s: Time of each decision, in seconds.
        busy_accelerator_s: Accelerator seconds that tasks ran.
        wasted_accelerator_s: Part of it whose work was lost.
        useful_accelerator_s: Part of it that led to an answer.
        free_samples: Time-averaged free accelerators.
        unusable_samples: Of them, those that the largest wanted shape cannot use.
        partial_gang_s: Longest time that a gang ran without some of its members.
        overbooked: Orders for accelerators that another task still held.
        short_guarantees: Client account and name of guarantees reported short.
    """

    traces: dict[str, RequestTrace] = dataclasses.field(default_factory=dict)
    decision_s: list[float] = dataclasses.field(default_factory=list)
    busy_accelerator_s: float = 0.0
    wasted_accelerator_s: float = 0.0
    useful_accelerator_s: float = 0.0
    free_samples: float = 0.0
    unusable_samples: float = 0.0
    partial_gang_s: float = 0.0
    overbooked: int = 0
    short_guarantees: set[tuple[str, str]] = dataclasses.field(default_factory=set)


def list_runs(taken: set[int], accelerators: int) -> list[int]:
    """Returns the lengths of the runs of accelerators that are not taken."""
    runs = []
    run = 0
    for index in range(accelerators):
        if index in taken:
            runs.append(run)
            run = 0
        else:
            run += 1
    runs.append(run)
    return [length for length in runs if length]


def count_usable(free: dict[str, list[list[int]]], shape: resources.Shape) -> int:
    """Returns how many free accelerators disjoint placements of the shape could use."""
    size = max(1, shape.accelerators)
    usable = 0
    all_members = 0
    for rack in free.values():
        per_worker = [sum(run // size for run in runs) for runs in rack]
        if shape.adjacency is resources.Adjacency.WORKER:
            groups = sum(count // shape.members for count in per_worker)
            usable += groups * shape.members * size
        elif shape.adjacency is resources.Adjacency.RACK:
            usable += sum(per_worker) // shape.members * shape.members * size
        else:
            all_members += sum(per_worker)
    return usable + all_members // shape.members * shape.members * size
