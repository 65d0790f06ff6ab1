"""Choice of the partition that serves a request.

Each owner publishes a summary of its partition with its heartbeat. A summary may be as old as one
heartbeat interval. The choice therefore samples two candidates at random instead of always taking
the least loaded: if all entry VMs chose the same partition, they would overload it until the next
heartbeat.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence

from lycheegate.model import requests, resources

__all__ = ["PartitionSummary", "choose_partition"]


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionSummary:
    """Load of a partition as its owner last published it.

    Attributes:
        partition: Name of the partition, ``data_centre/number``.
        data_centre: Data centre of the partition.
        has_owner: Whether a live owner is known.
        total_slots: Slots of all placeable workers.
        total_accelerators: Accelerators of all placeable workers.
        largest_rack_accelerators: Accelerators of the largest rack.
        largest_worker_accelerators: Accelerators of the largest worker.
        free_slots: Free slots.
        free_accelerators: Free accelerators.
        queued: Number of waiting requests.
        queued_accelerators: Accelerators requested by the waiting requests.
        idle_guarantees: Client accounts and shapes of guaranteed units that are not in use.
    """

    partition: str
    data_centre: str
    has_owner: bool
    total_slots: int
    total_accelerators: int
    largest_rack_accelerators: int
    largest_worker_accelerators: int
    free_slots: int
    free_accelerators: int
    queued: int = 0
    queued_accelerators: int = 0
    idle_guarantees: frozenset[tuple[str, resources.Shape]] = frozenset()


def choose_partition(
    request: requests.Request,
    summaries: Sequence[PartitionSummary],
    local_data_centre: str,
    rng: random.Random,
) -> str | None:
    """Returns the partition for a request, or None if no partition is large enough.

    A partition where a guaranteed unit of the request's shape is idle is preferred, because that
    capacity can be reclaimed immediately. Other requests go to the less loaded of two candidates
    drawn at random. One of the two is in the entry VM's own data centre if possible.

    Args:
        request: The request.
        summaries: One summary for each partition.
        local_data_centre: Data centre of the entry VM.
        rng: Random number generator of the draw.
    """
    capable = [s for s in summaries if _can_hold(s, request)]
    live = [s for s in capable if s.has_owner] or capable
    if not live:
        return None
    unit = (request.client_account, request.shape)
    preferred = [s for s in live if unit in s.idle_guarantees]
    if preferred:
        return min(preferred, key=_measure_load(request)).partition
    local = [s for s in live if s.data_centre == local_data_centre]
    first = rng.choice(local or live)
    second = rng.choice(live)
    return min((first, second), key=_measure_load(request)).partition


def _can_hold(summary: PartitionSummary, request: requests.Request) -> bool:
    shape = request.shape
    if shape.accelerators > summary.largest_worker_accelerators:
        return False
    limit = {
        "worker": summary.largest_worker_accelerators,
        "rack": summary.largest_rack_accelerators,
        "data_centre": summary.total_accelerators,
    }[shape.adjacency.value]
    return shape.total_accelerators <= limit and shape.members <= summary.total_slots


def _measure_load(
    request: requests.Request,
) -> Callable[[PartitionSummary], tuple[float, float, str]]:
    """Returns a key function for the load of the resource type that the request needs."""

    def measure(summary: PartitionSummary) -> tuple[float, float, str]:
        if request.shape.accelerators:
            total = max(1, summary.total_accelerators)
            used = total - summary.free_accelerators + summary.queued_accelerators
        else:
            total = max(1, summary.total_slots)
            used = total - summary.free_slots + summary.queued
        return used / total, summary.queued / max(1, summary.total_slots), summary.partition

    return measure
