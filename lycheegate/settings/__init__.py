"""Settings of entry VMs, loaded from YAML files and validated."""

__all__ = ["loader", "models"]
