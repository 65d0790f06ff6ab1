"""Scheduling decisions as deterministic functions of state, event and time.

The functions do no input or output, start no thread and read no clock. The entry daemon, the
tests and the benchmarks drive the same code: they feed events to ``decide`` and carry out the
commands that it returns.
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
