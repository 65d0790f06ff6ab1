"""Credentials of callers, operators and peers."""

__all__ = ["peers", "tokens"]
