"""Runs the state machine of ``machine``."""

import hypothesis

from lycheegate.core.tests import machine

TestScheduling = machine.SchedulingMachine.TestCase
# Shrinking a failure takes minutes, which exceeds the time-out of a test. To get a short sequence,
# add ``hypothesis.Phase.shrink`` and run with ``--timeout 0``.
TestScheduling.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, phases=[hypothesis.Phase.generate]
)
