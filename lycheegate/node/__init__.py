"""The daemon: accepts jobs on every VM, and schedules them on the one that holds the term."""
