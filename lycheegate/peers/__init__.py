"""Communication between entry VMs, membership and partition ownership."""

__all__: list[str] = []
