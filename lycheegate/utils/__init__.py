"""Utilities shared by all subpackages."""

__all__ = ["backoff", "clock", "documents", "exceptions", "findings", "pools"]
