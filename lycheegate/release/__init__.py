"""Release notes: parsed, checked, planned, accepted and read back."""

__all__: list[str] = []
