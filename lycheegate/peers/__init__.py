"""Communication between entry VMs: messages, links, membership and partition ownership."""

__all__ = ["confirmation", "hashing", "links", "membership", "messages", "ownership"]
