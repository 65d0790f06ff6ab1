"""Logs, counters, histograms, reports and request traces."""

__all__ = ["counters", "histograms", "logs", "report"]
