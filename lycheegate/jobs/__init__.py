"""Scheduler for jobs with steps, gangs and checkpoints, on workers whose runs are under leases.

Decisions depend only on the scheduler's state, an event and the time, and perform no input or
output. The daemon in ``lycheegate.node`` passes events to them and executes the commands that
they return.
"""
