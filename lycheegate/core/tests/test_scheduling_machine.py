"""Runs the state machine of the scheduling."""

import hypothesis

from lycheegate.core.tests import machine

TestScheduling = machine.SchedulingMachine.TestCase
# Shrinking a failure takes minutes, longer than the time-out of a test; add
# ``hypothesis.Phase.shrink`` and run with ``--timeout 0`` to get a short sequence.
TestScheduling.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, phases=[hypothesis.Phase.generate]
)
