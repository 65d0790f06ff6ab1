"""Tests of the entry daemon; those of process failures run real processes."""
