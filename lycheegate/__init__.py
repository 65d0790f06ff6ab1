"""Scheduler for multi-accelerator jobs with capacity guarantees for client accounts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
