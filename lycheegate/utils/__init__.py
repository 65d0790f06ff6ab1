"""Small things shared by all subpackages."""

__all__ = ["backoff", "clock", "exceptions", "findings", "pools"]
