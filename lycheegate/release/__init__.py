"""Release notes: parsing, checks, plans, acceptance and storage of releases."""

__all__ = ["capacity", "checks", "current", "encoding", "notes", "plans", "store"]
