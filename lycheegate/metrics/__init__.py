"""Logs, counters, histograms and reports."""

__all__: list[str] = []
