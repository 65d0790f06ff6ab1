"""Command line of operators."""

__all__ = ["base", "client", "exits", "main"]
