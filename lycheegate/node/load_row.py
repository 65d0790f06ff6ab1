"""Row of the load of the services, which the holder of the term writes and all VMs read.

Handles configurations of many services: what does not fit into the row is left out, and jobs for it
are accepted.
"""

import dataclasses

import cbor2

from lycheegate.jobs import admission, model
from lycheegate.node import tables
from lycheegate.utils import exceptions, numbers

__all__ = ["MAX_LOAD_BYTES", "LoadRow", "decode_load", "divide_load", "encode_load"]

MAX_LOAD_BYTES = 8_000
"""Maximum size of the row, which is sent to all VMs about once a second."""
_LAYOUT = 1
_HEADER_BYTES = 64
MAX_HEAVY_ACCOUNTS = 64
"""Maximum number of client accounts that are listed for a service; others are not refused."""
MAX_PRIORITIES = 8
"""Maximum number of priorities that are listed for a service, the most urgent ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRow:
    """Load as published.

    Attributes:
        epoch: Number of the term.
        sent_at_ms: When it was summarised, on the store's clock.
        load: The load.
    """

    epoch: int
    sent_at_ms: int
    load: admission.Load


def encode_load(row: LoadRow) -> bytes:
    """Returns the content of the row; ``row.load`` must have been divided."""
    services = {name: _encode_service(service) for name, service in row.load.items()}
    return cbor2.dumps([_LAYOUT, row.epoch, row.sent_at_ms, services])


def divide_load(load: admission.Load) -> tuple[admission.Load, int]:
    """Returns the services that fit into a row, those with most waiting work, and how many do not.

    Leaving something out never leads to a refusal, as a job for which nothing is known is accepted.
    """
    room_bytes = MAX_LOAD_BYTES - _HEADER_BYTES
    kept: admission.Load = {}

    def sort_key(item: tuple[str, admission.ServiceLoad]) -> tuple[int, str]:
        return -sum(priority.waiting_core_s for priority in item[1].priorities), item[0]

    for name, service in sorted(load.items(), key=sort_key):
        shortened = dataclasses.replace(
            service,
            heavy_accounts=frozenset(sorted(service.heavy_accounts)[:MAX_HEAVY_ACCOUNTS]),
            priorities=service.priorities[:MAX_PRIORITIES],
        )
        size_bytes = len(cbor2.dumps([name, _encode_service(shortened)]))
        if size_bytes <= room_bytes:
            kept[name] = shortened
            room_bytes -= size_bytes
    return kept, len(load) - len(kept)


def decode_load(data: bytes) -> LoadRow:
    """Returns the load that a row holds.

    Raises:
        ProtocolError: The row cannot be decoded, or has another layout.
    """
    layout, epoch, sent_at_ms, services = tables.decode_items(data, (int, int, int, dict))
    if layout != _LAYOUT:
        raise exceptions.ProtocolError(f"expected a load of layout {_LAYOUT}, got {layout}")
    try:
        load = {_check(name, str): _decode_service(service) for name, service in services.items()}
    except (TypeError, ValueError, IndexError) as error:
        raise exceptions.ProtocolError(f"cannot decode load: {error!s:.100}") from error
    return LoadRow(epoch, sent_at_ms, load)


def _encode_service(service: admission.ServiceLoad) -> list:
    amounts = (service.total, service.free, service.urgent_free, service.largest_free)
    priorities = [
        [
            load.priority,
            load.running_core_s,
            load.waiting_core_s,
            load.wait_s,
            [[item.is_late, item.size_class, *item.amounts] for item in load.backlogs],
        ]
        for load in service.priorities
    ]
    return [
        [dataclasses.astuple(amount) for amount in amounts],
        sorted(service.heavy_accounts),
        priorities,
    ]


def _decode_service(items: list) -> admission.ServiceLoad:
    amounts, accounts, priorities = _check(items, list)
    total, free, urgent_free, largest_free = (
        model.Resources(*map(_check_number, amount)) for amount in _check(amounts, list)
    )
    heavy_accounts = frozenset(_check(name, str) for name in _check(accounts, list))
    loads = tuple(_decode_priority(item) for item in _check(priorities, list))
    return admission.ServiceLoad(total, free, urgent_free, largest_free, heavy_accounts, loads)


def _decode_priority(items: list) -> admission.PriorityLoad:
    *figures, backlogs = _check(items, list)
    priority, running_core_s, waiting_core_s, wait_s = map(_check_number, figures)
    return admission.PriorityLoad(
        priority,
        running_core_s,
        waiting_core_s,
        wait_s,
        tuple(_decode_backlog(item) for item in _check(backlogs, list)),
    )


def _decode_backlog(items: list) -> admission.Backlog:
    is_late, size_class, *amounts = _check(items, list)
    cores, memory, accelerators = map(_check_number, amounts)
    return admission.Backlog(
        _check(is_late, bool), _check_number(size_class), (cores, memory, accelerators)
    )


def _check(item: object, type_: type) -> object:
    if not isinstance(item, type_):
        raise ValueError(f"expected {type_.__name__}, got {item!r:.50}")
    return item


def _check_number(item: object) -> int:
    if not numbers.is_whole(item):
        raise ValueError(f"expected a whole number, got {item!r:.50}")
    return item
