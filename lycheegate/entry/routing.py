"""Assignment of requests and workers to partitions."""

import dataclasses
from collections.abc import Collection, Mapping

from lycheegate.model import releases, resources
from lycheegate.peers import hashing

__all__ = ["PartitionLoad", "choose_partition", "group_workers"]

LOCAL_PREFERENCE_RATIO = 0.1
"""Difference of load ratios up to which a partition of the local data centre is preferred."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionLoad:
    """Number of open requests and of slots of a partition that has an owner."""

    open_requests: int
    slots: int

    @property
    def ratio(self) -> float:
        """Open requests per slot."""
        return self.open_requests / self.slots if self.slots else float("inf")


def group_workers(
    workers: Collection[resources.Worker], partitions: Mapping[str, int]
) -> dict[str, dict[str, resources.Worker]]:
    """Returns the workers of each partition, keyed by worker identifier."""
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

    A request that fits a guaranteed unit of its client account and needs more than half of it goes
    to the data centre of the guarantee, where capacity can be reclaimed for it. Any other request
    goes to the least loaded partition.
    """
    usable = {name: load for name, load in loads.items() if load.slots > 0} or dict(loads)
    guarantee_data_centres = {
        guarantee.data_centre
        for guarantee in release.guarantees.values()
        if guarantee.client_account == client_account and _needs_most_of(shape, guarantee.shape)
    }
    in_guarantee_data_centres = {
        name: load
        for name, load in usable.items()
        if name.rpartition("/")[0] in guarantee_data_centres
    }
    candidates = in_guarantee_data_centres or usable
    if not candidates:
        return None

    def compute_adjusted_ratio(name: str) -> float:
        is_local = name.rpartition("/")[0] == data_centre
        return candidates[name].ratio - (LOCAL_PREFERENCE_RATIO if is_local else 0.0)

    least = min(compute_adjusted_ratio(name) for name in candidates)
    return hashing.choose(
        request_id, [name for name in candidates if compute_adjusted_ratio(name) <= least]
    )


def _needs_most_of(wanted: resources.Shape, guaranteed: resources.Shape) -> bool:
    fits = wanted.members <= guaranteed.members and wanted.accelerators <= guaranteed.accelerators
    return fits and 2 * wanted.total_accelerators > guaranteed.total_accelerators
