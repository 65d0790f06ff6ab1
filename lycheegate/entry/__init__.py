"""The entry daemon between callers, operators and workers."""

__all__: list[str] = []
