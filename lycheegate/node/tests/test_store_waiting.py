"""Threads that wait for the outcome of a store call."""

import time

import pytest
from returns import result

from lycheegate.node import waiting
from lycheegate.utils import exceptions

_LIMIT_S = 0.3


@pytest.mark.parametrize("reports", [0, 1, 4])
def test_wait_ends_after_the_last_progress(reports):
    """Guards against a thread that waits without bound, or not while an outcome is on its way."""
    progress = [True] * reports
    began_s = time.monotonic()
    outcome = waiting.wait_for_store(
        lambda callback: None, _LIMIT_S, lambda: bool(progress) and progress.pop()
    )
    elapsed_s = time.monotonic() - began_s
    assert type(outcome.failure()) is exceptions.OutcomeUnknownError
    assert elapsed_s >= reports * min(_LIMIT_S, waiting.PROGRESS_INTERVAL_S) + _LIMIT_S
    assert not progress


def test_outcome_after_the_limit_is_passed_on_while_there_is_progress():
    """Guards against a large answer that is dropped because it takes longer than the limit."""
    callbacks, reports = [], []

    def report_progress():
        reports.append(True)
        if len(reports) == 4:
            callbacks[0](result.Success(5))
        return True

    outcome = waiting.wait_for_store(callbacks.append, _LIMIT_S, report_progress)
    assert outcome == result.Success(5)


def test_outcome_that_is_there_needs_no_report():
    """Guards against interim responses before each answer, however small."""
    reports = []
    outcome = waiting.wait_for_store(
        lambda callback: callback(result.Success(5)), _LIMIT_S, lambda: reports.append(True)
    )
    assert outcome == result.Success(5)
    assert reports == []
