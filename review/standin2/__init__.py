"""Stand-ins of the platform, the workers and the clients, written for the second review."""
