"""The node daemon: accepts jobs on every VM and schedules them on the VM that holds the term."""
