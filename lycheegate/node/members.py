"""Addresses at which the VMs of the system reach each other.

Handles the start of hundreds of VMs at the same time, for example after a power failure. Their rows
share a part of the store with the scheduler's term, and a part executes its transactions one after
another. A VM therefore writes its address only if the store does not hold it yet, and the VMs that
have to write spread their writes, so that the scheduler's writes are not delayed.
"""

import random
import time
from collections.abc import Callable

from returns import result

from lycheegate.node import feeds, storage, tables
from lycheegate.utils import addresses as address_checks

__all__ = ["MemberDirectory"]

FEED_WAIT_S = 10.0
WRITE_TIMEOUT_S = 1.0
WRITE_SPACING_S = 0.01
"""Mean time between the writes of VMs that start together; a transaction takes about 4 ms."""
MIN_SPREAD_S = 0.5
"""Time over which writes are spread if few VMs are known, as at the first start of a deployment."""
MAX_SPREAD_S = 10.0
"""Limit of that time, because rows of VMs that left count as well."""
RETRY_S = 1.0


class MemberDirectory:
    """Follows the addresses of all VMs and announces its own; runs on the event thread.

    Args:
        store: The store.
        call_later: Runs a function after a delay in seconds.
        own_vm: Name of this VM.
        own_address: Address at which peers reach this VM.
        on_error: Called with errors of the feed, to log them.
        now_s: Clock of the feed.
        jitter: Generator of the delays of writes.
    """

    def __init__(
        self,
        store: storage.Store,
        call_later: Callable,
        own_vm: str,
        own_address: str,
        on_error: Callable[[Exception], None],
        now_s: Callable[[], float] = time.monotonic,
        jitter: random.Random | None = None,
    ):
        self._store = store
        self._call_later = call_later
        self._own_vm = own_vm
        self._own_address = own_address
        self._jitter = jitter or random.Random()
        self._addresses: dict[str, str] = {}
        self._announcing = False
        self.feed = feeds.TableFeed(
            store,
            call_later,
            tables.MEMBERS,
            (tables.PART,),
            self._apply_rows,
            on_error,
            wait_s=FEED_WAIT_S,
            now_s=now_s,
        )

    @property
    def count(self) -> int:
        """Number of VMs that have announced an address."""
        return len(self._addresses)

    def find_address(self, vm: str) -> str | None:
        """Returns the address of a VM, or None if it is unknown; for any thread."""
        return self._addresses.get(vm)

    def list_peers(self) -> list[str]:
        """Returns the addresses of all other VMs; for any thread."""
        return [address for vm, address in self._addresses.copy().items() if vm != self._own_vm]

    def _apply_rows(self, rows: tuple[storage.Row, ...], is_full_table: bool, _: int) -> None:
        addresses = {} if is_full_table else self._addresses.copy()
        for row in rows:
            address = row.value.decode("ascii", errors="replace")
            # The own address comes from the settings. Others may come from other writers.
            is_usable = address == self._own_address or address_checks.is_address(address)
            if row.deleted or not is_usable:
                addresses.pop(row.key.key, None)
            else:
                addresses[row.key.key] = address
        self._addresses = addresses
        if addresses.get(self._own_vm) != self._own_address and not self._announcing:
            self._announcing = True
            self._call_later(self._draw_delay_s(), self._announce)

    def _announce(self) -> None:
        """Writes the address of this VM."""
        key = storage.RowKey(tables.MEMBERS, tables.PART, self._own_vm)
        write = storage.Write(key, self._own_address.encode())
        transaction = storage.Transaction(writes=(write,))
        self._store.transact(transaction, WRITE_TIMEOUT_S, self._handle_announced)

    def _handle_announced(self, outcome: storage.StoreResult) -> None:
        if isinstance(outcome, result.Success):
            self._announcing = False
        else:
            self._call_later(RETRY_S + self._draw_delay_s(), self._announce)

    def _draw_delay_s(self) -> float:
        """Returns a delay that spreads the writes of all VMs."""
        spread_s = max(MIN_SPREAD_S, min(MAX_SPREAD_S, self.count * WRITE_SPACING_S))
        return self._jitter.uniform(0.0, spread_s)
