"""Reports on histograms: a table, and a chart that requires the optional extra ``report``."""

import pathlib
from typing import Any

from returns import result

from lycheegate.metrics import histograms

__all__ = ["draw_chart", "list_rows"]

COLUMNS = ("client account", "class", "time", "count", "mean s", "p50 s", "p99 s", "max s")


def list_rows(document: dict[str, Any]) -> list[tuple[str, ...]]:
    """Returns one table row for each histogram, with the columns ``COLUMNS``.

    Raises:
        ProtocolError: The document does not contain valid histograms.
    """
    rows = []
    for model in histograms.decode(document):
        times_s = (model.mean_s, model.percentiles_s["p50"], model.percentiles_s["p99"])
        rows.append(
            (
                model.client_account,
                model.job_class,
                str(model.kind),
                str(model.count),
                *(f"{value_s:.3f}" for value_s in (*times_s, model.max_s)),
            )
        )
    return rows


def draw_chart(document: dict[str, Any], path: pathlib.Path) -> result.Result[int, str]:
    """Plots time against percentile, with one panel for each kind, into a PNG or SVG file.

    Returns:
        The number of curves, or the reason why no chart was written.

    Raises:
        ProtocolError: The document does not contain valid histograms.
    """
    models = histograms.decode(document)
    if not models:
        return result.Failure("the document contains no histograms")
    try:
        import matplotlib
    except ImportError:
        return result.Failure("matplotlib is not installed; install lycheegate[report]")
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(histograms.Kind), figsize=(14, 6), sharey=True)
    for axis, kind in zip(axes, histograms.Kind, strict=True):
        _draw_panel(axis, kind, [model for model in models if model.kind is kind])
    figure.tight_layout()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        return result.Failure(f"cannot write {path}: {error}")
    finally:
        pyplot.close(figure)
    return result.Success(len(models))


def _draw_panel(axis, kind: histograms.Kind, models: list[histograms.HistogramModel]) -> None:
    for model in models:
        points = [p for p in histograms.list_percentiles(model) if p[0] < 100.0]
        # 1 / (1 - percentile) expands the tail: 10 is p90, 100 is p99, 1000 is p99.9.
        tail_ratios = [100.0 / (100.0 - level) for level, _ in points]
        label = f"{model.client_account} {model.job_class} ({model.count})"
        axis.plot(
            tail_ratios, [value_s for _, value_s in points], label=label, drawstyle="steps-post"
        )
    axis.set_title(f"{kind} time")
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xlabel("1 / (1 - percentile)")
    axis.set_ylabel("seconds")
    axis.grid(visible=True, which="both", alpha=0.3)
    if models:
        axis.legend(fontsize="small")
