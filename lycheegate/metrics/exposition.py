"""Text exposition of event counts and histograms, with one value per line."""

from collections.abc import Mapping

from lycheegate.metrics import histograms

__all__ = ["format_metrics"]


def format_metrics(counts: Mapping[str, int], durations: histograms.Histograms) -> str:
    """Returns event counts, and percentiles of queueing and completion times in seconds."""
    lines = [
        f'lycheegate_events_total{{event="{event}"}} {count}'
        for event, count in sorted(counts.items())
    ]
    for model in histograms.decode(durations.encode()):
        labels = f'client_account="{model.client_account}",queue="{model.job_class}"'
        name = f"lycheegate_{model.kind}_seconds"
        lines.append(f"{name}_count{{{labels}}} {model.count}")
        for percentile, value_s in model.percentiles_s.items():
            lines.append(f'{name}{{{labels},percentile="{percentile}"}} {value_s}')
    return "\n".join(lines) + "\n"
