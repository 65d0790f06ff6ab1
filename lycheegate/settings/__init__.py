"""Settings of the daemons, read from YAML and validated."""

__all__ = ["loader", "models"]
