"""Figures that callers and workers observe in one simulation, and a fragmentation measure."""

import dataclasses

from benchmarks import workloads
from lycheegate.core import commands
from lycheegate.model import resources

__all__ = ["Recorder", "RequestTrace", "count_usable", "list_free_range_lengths"]


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """Observed course of one request.

    Attributes:
        arrival: The request and its actual run time.
        started_at_s: Time of the first start of a task.
        ended_at_s: Time of the end.
        end: Last end that was reported.
        starts: Number of starts of its first member.
        ends: Number of ends that were reported.
        checkpointed_s: Run time preserved by checkpoints.
        guarantee_idle: Whether its client account had an unused guaranteed unit at submission.
    """

    arrival: workloads.Arrival
    started_at_s: float | None = None
    ended_at_s: float | None = None
    end: commands.EndRequest | None = None
    starts: int = 0
    ends: int = 0
    checkpointed_s: float = 0.0
    guarantee_idle: bool = False


@dataclasses.dataclass
class Recorder:
    """Figures of one simulation.

    Attributes:
        traces: Traces of all requests, by request identifier.
        decision_s: Duration of each decision.
        busy_accelerator_s: Accelerator seconds used by tasks.
        wasted_accelerator_s: Part of ``busy_accelerator_s`` whose work was lost.
        useful_accelerator_s: Part of ``busy_accelerator_s`` whose work was kept.
        free_samples: Sum of the free accelerators over all samples.
        unusable_samples: Part of ``free_samples`` that the largest requested shape cannot use.
        partial_gang_s: Longest time for which a gang ran without all of its members.
        overbooked: Accelerators assigned while another task still held them.
        short_guarantees: Client account and name of each guarantee reported short of capacity.
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


def list_free_range_lengths(taken: set[int], accelerators: int) -> list[int]:
    """Returns the lengths of the contiguous ranges of free accelerators of a worker."""
    lengths = []
    length = 0
    for index in range(accelerators):
        if index in taken:
            lengths.append(length)
            length = 0
        else:
            length += 1
    lengths.append(length)
    return [length for length in lengths if length]


def count_usable(free: dict[str, list[list[int]]], shape: resources.Shape) -> int:
    """Returns how many free accelerators disjoint placements of a shape could use.

    Args:
        free: Lengths of the free ranges of each worker, by rack.
        shape: Shape to place.
    """
    size = max(1, shape.accelerators)
    usable = 0
    all_members = 0
    for rack in free.values():
        per_worker = [sum(length // size for length in lengths) for lengths in rack]
        if shape.adjacency is resources.Adjacency.WORKER:
            groups = sum(count // shape.members for count in per_worker)
            usable += groups * shape.members * size
        elif shape.adjacency is resources.Adjacency.RACK:
            usable += sum(per_worker) // shape.members * shape.members * size
        else:
            all_members += sum(per_worker)
    return usable + all_members // shape.members * shape.members * size
