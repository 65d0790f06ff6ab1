"""Benchmarks and capacity measurements."""
