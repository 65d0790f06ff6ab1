"""Stand-ins of external systems, for tests and the demo."""
