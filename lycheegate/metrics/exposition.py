"""Text exposition of event counts and histograms, with one value per line."""

from collections.abc import Mapping

from lycheegate.metrics import histograms

__all__ = ["format_idle_jobs", "format_metrics"]


def format_metrics(
    counts: Mapping[str, int],
    durations: histograms.Histograms,
    refusals: Mapping[tuple[str, str], int] | None = None,
) -> str:
    """Returns event counts, and percentiles of queueing and completion times in seconds.

    Args:
        counts: Number of events by name.
        durations: Queueing and completion times.
        refusals: Number of jobs refused because of overload, by client account and queue.
    """
    lines = [
        f'lycheegate_events_total{{event="{event}"}} {count}'
        for event, count in sorted(counts.items())
    ]
    for (account, queue), count in sorted((refusals or {}).items()):
        labels = f'client_account="{account}",queue="{queue}",reason="overload"'
        lines.append(f"lycheegate_refused_total{{{labels}}} {count}")
    for model in histograms.decode(durations.encode()):
        labels = f'client_account="{model.client_account}",queue="{model.job_class}"'
        name = f"lycheegate_{model.kind}_seconds"
        lines.append(f"{name}_count{{{labels}}} {model.count}")
        for percentile, value_s in model.percentiles_s.items():
            lines.append(f'{name}{{{labels},percentile="{percentile}"}} {value_s}')
    return "\n".join(lines) + "\n"


def format_idle_jobs(
    jobs: int, longest_s: float, reasons: Mapping[str, int], check_age_s: float
) -> str:
    """Returns gauges of the open jobs that have nothing running although a step of them is ready.

    Args:
        jobs: Their number at the last check.
        longest_s: Longest time that one of them had had nothing running.
        reasons: Number of them by the reason that was found.
        check_age_s: Time since the check. If it grows, the numbers are not those of now.
    """
    lines = [
        f"lycheegate_idle_jobs {jobs}",
        f"lycheegate_idle_longest_seconds {longest_s}",
        f"lycheegate_idle_check_age_seconds {round(check_age_s, 3)}",
    ]
    lines += [
        f'lycheegate_waiting_jobs{{reason="{reason}"}} {count}'
        for reason, count in sorted(reasons.items())
    ]
    return "\n".join(lines) + "\n"
