"""Stand-ins for the platform, the workers and the clients, and a runner for real processes."""
