"""Scheduler for multi-accelerator jobs under client account guarantees."""

__all__ = ["__version__"]

__version__ = "0.1.0"
