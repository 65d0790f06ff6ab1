"""Scheduling decisions as deterministic functions of state, event and time.

The functions do no input or output, start no threads and read no clock. The entry daemon, the
tests and the benchmarks use the same code: they pass events to ``decide`` and execute the commands
that it returns.
"""

__all__ = [
    "allocations",
    "blocks",
    "capacity",
    "commands",
    "engine",
    "events",
    "guarantees",
    "invariants",
    "limits",
    "naive",
    "placement",
    "policy",
    "queueing",
    "reservations",
    "scheduling",
    "starting",
    "topology",
]
