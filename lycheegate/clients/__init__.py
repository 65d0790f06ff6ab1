"""Clients of the external systems: table service, object store, VM list and workers."""

__all__ = [
    "answers",
    "batching",
    "guards",
    "http",
    "objects",
    "table",
    "table_client",
    "vms",
    "worker_links",
    "worker_protocol",
    "workers",
]
