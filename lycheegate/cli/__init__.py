"""Command line of operators."""

__all__: list[str] = []
