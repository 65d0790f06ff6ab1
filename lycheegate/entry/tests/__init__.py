"""Tests of the entry daemon, with real processes where faults of processes matter."""
