"""Release notes: parsed, checked, planned, accepted and read back."""

__all__ = ["capacity", "checks", "current", "encoding", "notes", "plans", "store"]
