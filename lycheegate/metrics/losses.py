"""Summary of the work that was lost with runs, by cause, from the decision logs."""

import dataclasses
from collections.abc import Iterable

from lycheegate.metrics import log_records

__all__ = ["COLUMNS", "LossSummary", "list_rows", "summarize_losses"]

COLUMNS = ("cause", "runs", "without loss", "core-seconds lost")


@dataclasses.dataclass(slots=True)
class LossSummary:
    """Runs that ended without success for one cause.

    Attributes:
        runs: Number of runs.
        runs_without_loss: Those that had not begun, or whose work a checkpoint preserves.
        lost_core_s: Lost work, in core-seconds; an accelerator counts as several cores.
    """

    runs: int = 0
    runs_without_loss: int = 0
    lost_core_s: float = 0.0


def summarize_losses(lines: Iterable[str]) -> dict[str, LossSummary]:
    """Returns the lost work by cause.

    The cause is why the scheduler stopped a run, or else how the run ended. Lines that are not
    records of the end of a run without success are skipped.
    """
    summaries: dict[str, LossSummary] = {}
    for text in lines:
        record = log_records.parse_record(text)
        if record is None or record["event"] != "run_ended":
            continue
        lost_core_s = record.get("lost_core_s")
        if not isinstance(lost_core_s, int | float):
            continue
        cause = str(record.get("stopped", record.get("end", "")))
        summary = summaries.setdefault(cause, LossSummary())
        summary.runs += 1
        summary.runs_without_loss += lost_core_s <= 0.0
        summary.lost_core_s += lost_core_s
    return summaries


def list_rows(summaries: dict[str, LossSummary]) -> list[tuple[str, int, int, float]]:
    """Returns one row for each cause, with the columns ``COLUMNS``, the largest loss first."""
    rows = [
        (cause, summary.runs, summary.runs_without_loss, summary.lost_core_s)
        for cause, summary in summaries.items()
    ]
    return sorted(rows, key=lambda row: (-row[3], row[0]))
