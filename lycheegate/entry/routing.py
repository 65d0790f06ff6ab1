"""Which partition takes a request, and who owns a partition."""

import dataclasses
from collections.abc import Collection, Mapping

from lycheegate.model import releases, resources
from lycheegate.peers import hashing

__all__ = ["PartitionLoad", "choose_partition", "group_workers"]

NEAR_ADVANTAGE_RATIO = 0.1
"""Load difference up to which the own data centre is preferred."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionLoad:
    """Open requests and slots of a partition that has an owner."""

    open_requests: int
    slots: int

    @property
    def ratio(self) -> float:
        """Open requests for each slot."""
        return self.open_requests / self.slots if self.slots else float("inf")


def group_workers(
    workers: Collection[resources.Worker], partitions: Mapping[str, int]
) -> dict[str, dict[str, resources.Worker]]:
    """Returns the workers of each partition, by identifier."""
    groups: dict[str, dict[str, resources.Worker]] = {}
    for worker in workers:
        partition = hashing.partition_of_rack(
            worker.data_centre, worker.rack, partitions.get(worker.data_centre, 1)
        )
        groups.setdefault(partition, {})[worker.worker_id] = worker
    return groups


def choose_partition(
    loads: Mapping[str, PartitionLoad],
    release: releases.Release,
    client_account: str,
    shape: resources.Shape,
    data_centre: str,
    request_id: str,
) -> str | None:
    """Returns the partition for a new request, or None if no partition has an owner.

    A request that needs more than half of a guaranteed unit of its client account goes to the data
    centre that holds the guarantee, where it can be reclaimed. Any other request goes to the least
    loaded partition.
    """
    usable = {name: load for name, load in loads.items() if load.slots > 0} or dict(loads)
    homes = {
        guarantee.data_centre
        for guarantee in release.guarantees.values()
        if guarantee.client_account == client_account and _fills(shape, guarantee.shape)
    }
    at_home = {name: load for name, load in usable.items() if name.rpartition("/")[0] in homes}
    candidates = at_home or usable
    if not candidates:
        return None

    def weigh(name: str) -> float:
        is_near = name.rpartition("/")[0] == data_centre
        return candidates[name].ratio - (NEAR_ADVANTAGE_RATIO if is_near else 0.0)

    least = min(weigh(name) for name in candidates)
    return hashing.choose(request_id, [name for name in candidates if weigh(name) <= least])


def _fills(wanted: resources.Shape, guaranteed: resources.Shape) -> bool:
    fits = wanted.members <= guaranteed.members and wanted.accelerators <= guaranteed.accelerators
    return fits and 2 * wanted.total_accelerators > guaranteed.total_accelerators
