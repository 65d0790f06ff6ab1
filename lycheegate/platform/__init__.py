"""Clients of the outside systems: table service, object store, VM list and workers."""

__all__: list[str] = []
