"""Release notes: parsed, checked, planned, accepted and read back."""

__all__ = ["capacity", "checks", "encoding", "holder", "notes", "plans", "store"]
