"""Scheduler of jobs with steps, gangs and checkpoints on workers that hold leases.

Decisions are pure functions of the state, an event and the time; the daemon in ``lycheegate.node``
feeds them and carries out the commands that they return.
"""
