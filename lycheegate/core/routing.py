"""Choice of the partition that serves a request.

Each owner publishes a summary of its partition with its heartbeat. Summaries are up to a
heartbeat old, so that the choice samples two candidates at random instead of always taking the
best one: all entry VMs taking the same best partition would overload it until the next heartbeat.
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
        partition: Name, ``data_centre/number``.
        data_centre: Data centre that it lies in.
        has_owner: Whether a live owner is known.
        total_slots: Slots of all placeable workers.
        total_accelerators: Accelerators of all placeable workers.
        largest_rack_accelerators: Accelerators of the largest rack.
        largest_worker_accelerators: Accelerators of the largest worker.
        free_slots: Slots that are free.
        free_accelerators: Accelerators that are free.
        queued: Requests that wait.
        queued_accelerators: Accelerators that the waiting requests ask for.
        idle_guarantees: Client account and shape of guaranteed units that nobody uses.
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
    home_data_centre: str,
    rng: random.Random,
) -> str | None:
    """Returns the partition for a request, or None if no partition could ever hold it.

    A request goes where a guaranteed unit of its shape is idle, since that can be reclaimed at
    once. Other requests go to the less loaded of two candidates drawn at random; the entry VM's
    own data centre is one of the two.

    Args:
        request: The request.
        summaries: One for each partition.
        home_data_centre: Data centre of the entry VM.
        rng: Source of the random draw.
    """
    able = [s for s in summaries if _can_hold(s, request)]
    live = [s for s in able if s.has_owner] or able
    if not live:
        return None
    unit = (request.client_account, request.shape)
    preferred = [s for s in live if unit in s.idle_guarantees]
    if preferred:
        return min(preferred, key=_measure_load(request)).partition
    home = [s for s in live if s.data_centre == home_data_centre]
    first = rng.choice(home or live)
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
    """Returns a key function: the waiting share of the resource that the request needs."""

    def measure(summary: PartitionSummary) -> tuple[float, float, str]:
        if request.shape.accelerators:
            total = max(1, summary.total_accelerators)
            used = total - summary.free_accelerators + summary.queued_accelerators
        else:
            total = max(1, summary.total_slots)
            used = total - summary.free_slots + summary.queued
        return used / total, summary.queued / max(1, summary.total_slots), summary.partition

    return measure
