"""Durations of work and speeds of workers, learned from running and ended runs.

``factors`` holds what was learned, ``observations`` learns from runs, and ``predictions`` tells how
long a task takes on a worker.
"""
