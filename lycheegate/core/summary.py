"""Summary of a partition, which its owner publishes for routing."""

from lycheegate.core import capacity, routing
from lycheegate.core import state as partition_state

__all__ = ["summarize"]


def summarize(state: partition_state.PartitionState) -> routing.PartitionSummary:
    """Returns the load of a partition.

    Takes time linear in the workers, allocations and queued groups of the partition.
    """
    scheduling = state.scheduling
    top, total = scheduling.top, capacity.Total
    racks = [
        sum(node.worker.accelerators for node in rack.nodes.values() if node.usable)
        for rack in top.racks.values()
    ]
    used_slots = used_accelerators = 0
    for allocation in scheduling.allocations.values():
        used_slots += allocation.request.shape.members
        used_accelerators += allocation.request.shape.total_accelerators
    queued = queued_accelerators = 0
    for account in scheduling.queue.accounts.values():
        for groups in account.groups.values():
            for group in groups.values():
                queued += len(group.requests)
                queued_accelerators += len(group.requests) * group.size
    return routing.PartitionSummary(
        partition=state.partition,
        data_centre=state.partition.rpartition("/")[0],
        has_owner=True,
        total_slots=top.totals[total.SLOTS],
        total_accelerators=top.totals[total.ACCELERATORS],
        largest_rack_accelerators=max(racks, default=0),
        largest_worker_accelerators=top.width,
        free_slots=top.totals[total.SLOTS] - used_slots,
        free_accelerators=top.totals[total.ACCELERATORS] - used_accelerators,
        queued=queued,
        queued_accelerators=queued_accelerators,
        idle_guarantees=frozenset(
            (client_account, shape)
            for client_account, shapes in scheduling.guaranteed.idle.items()
            for shape in shapes
        ),
    )
