"""Logs, counters, histograms and reports."""

__all__ = ["counters", "histograms", "logs", "report"]
