"""Pacing of scheduling passes."""

import pytest

from lycheegate.node import passes


@pytest.mark.parametrize(
    ("duration_s", "expected_s"),
    [(0.0, 0.004), (0.001, 0.004), (0.01, 0.02), (0.03, 0.06), (5.0, 0.06), (-1.0, 0.004)],
)
def test_passes_leave_processor_time_for_other_work(duration_s, expected_s):
    """Guards against passes that take all processor time, and against urgent work that waits."""
    assert passes.compute_pass_delay_s(duration_s) == pytest.approx(expected_s)


@pytest.mark.parametrize("duration_s", [0.002, 0.01, 0.03])
def test_share_of_passes_under_continuous_events(duration_s):
    """Guards against a share above a third while events arrive all the time.

    Load pattern: a run ends every 2 ms, each end requests a pass, and each pass has to look at
    hundreds of waiting steps.
    """
    now_s = busy_s = 0.0
    while now_s < 10.0:
        now_s += passes.compute_pass_delay_s(duration_s) + duration_s
        busy_s += duration_s
    assert busy_s / now_s <= 1.0 / 3.0 + 0.01
