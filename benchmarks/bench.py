"""Prints the figures of simulated workloads, one a line: name value unit baseline ratio.

``python -m benchmarks.bench [--quick] [--workload NAME] [--load L ...]``. The baseline is
``lycheegate.core.naive`` on the same seeds; the medians are taken over the seeds.
"""

import argparse
import dataclasses
import importlib
import itertools
import statistics
import sys
from collections.abc import Iterable, Sequence
from concurrent import futures

from benchmarks import driver, faults, recorders, workloads
from lycheegate.core import policy
from lycheegate.model import requests

__all__ = ["main", "run_case"]

SEEDS = (1, 2, 3)
LOADS = (0.7, 0.95, 1.5)
ARRIVALS_S = 7200.0
DRAIN_S = 3600.0
URGENT_START_LIMIT_S = 4.7
# A large job counts as starved if it has not started an hour after its submission. The simulation
# ends an hour after the last arrival, so that this holds for every large job still waiting then.
STARVED_AFTER_S = 3600.0
PROCESSES = 4
LARGE_ACCELERATORS = 8

FAULTS = faults.FaultPlan(
    lost_workers=((600.0, 3, 300.0), (1500.0, 9, 600.0), (1501.0, 10, 600.0)),
    broken_workers=((900.0, 1800.0, 5),),
    table_outages=((2000.0, 2120.0),),
    cancel_waves=(2400.0,),
)
_WORKLOADS = {w.name: w for w in (workloads.AGENCY, workloads.GLENMARA)}
_CORES = {"engine": "lycheegate.core.engine", "naive": "lycheegate.core.naive"}


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one simulation."""

    core: str
    workload: str
    load: float
    with_faults: bool
    seed: int


def run_case(case: Case) -> dict[str, float]:
    """Returns the figures of one simulation."""
    workload = _WORKLOADS[case.workload]
    settings = policy.PolicySettings(
        completion_weight=workload.completion_weight,
        fragmentation_weight=workload.fragmentation_weight,
    )
    simulation = driver.Driver(
        importlib.import_module(_CORES[case.core]),
        workload,
        settings,
        FAULTS if case.with_faults else faults.FaultPlan(),
        case.seed,
        window_s=ARRIVALS_S,
        # The baseline schedules all workers as one partition, its best case.
        partitioned=case.core == "engine",
    )
    arrivals = workloads.generate_arrivals(workload, case.load, ARRIVALS_S, case.seed)
    recorder = simulation.run(arrivals, ARRIVALS_S + DRAIN_S)
    return _summarize(recorder, workload, ARRIVALS_S + DRAIN_S)


def _summarize(
    recorder: recorders.Recorder, workload: workloads.Workload, until_s: float
) -> dict[str, float]:
    traces = list(recorder.traces.values())
    urgent = [t for t in traces if t.arrival.request.urgency is requests.Urgency.URGENT]
    large = [t for t in traces if t.arrival.request.shape.total_accelerators >= LARGE_ACCELERATORS]
    capacity_s = workload.workers * workload.accelerators * ARRIVALS_S
    reclaims = _list_reclaim_delays_s(traces, recorder, until_s)
    decision_us = sorted(s * 1e6 for s in recorder.decision_s)
    completed = [t for t in traces if t.end is not None and t.end.end is requests.End.ANSWERED]
    return {
        "urgent_start_p99_s": _quantile(_list_start_delays_s(urgent, until_s), 0.99),
        "urgent_completion_p99_s": _quantile(_list_completion_times_s(urgent, until_s), 0.99),
        "urgent_late": sum(s > URGENT_START_LIMIT_S for s in _list_start_delays_s(urgent, until_s)),
        "large_wait_p99_s": _quantile(_list_start_delays_s(large, until_s), 0.99),
        "large_starved": sum(
            t.started_at_s is None
            and t.end is None
            and until_s - t.arrival.request.submitted_at_s >= STARVED_AFTER_S
            for t in large
        ),
        "completion_mean_s": statistics.fmean(_list_completion_times_s(traces, until_s) or [0.0]),
        "fragmentation_ratio": recorder.unusable_samples / max(1.0, recorder.free_samples),
        "utilisation_ratio": recorder.busy_accelerator_s / capacity_s,
        "goodput_ratio": recorder.useful_accelerator_s / capacity_s,
        "wasted_accelerator_ratio": recorder.wasted_accelerator_s
        / max(1.0, recorder.busy_accelerator_s),
        "guarantee_reclaim_p99_s": _quantile(reclaims, 0.99),
        "guarantee_violations": sum(s > URGENT_START_LIMIT_S for s in reclaims),
        "partial_gangs": float(recorder.partial_gang_s > 2.0 + 3.0 + 1.0),
        "doubled_non_idempotent": sum(
            t.starts > 1 for t in traces if not t.arrival.request.idempotent
        ),
        "false_not_run": sum(
            t.end is not None and t.end.end is requests.End.NOT_RUN and t.starts > 0 for t in traces
        ),
        "ends_not_one": sum(t.ends > 1 for t in traces),
        "overbooked": recorder.overbooked,
        "answered": len(completed),
        "refused": sum(t.end is not None and t.end.end is requests.End.NOT_RUN for t in traces),
        "decision_p50_us": _quantile(decision_us, 0.5),
        "decision_p99_us": _quantile(decision_us, 0.99),
    }


_UNITS = {
    "urgent_late": "requests",
    "large_starved": "jobs",
    "guarantee_violations": "count",
    "partial_gangs": "count",
    "doubled_non_idempotent": "count",
    "false_not_run": "count",
    "ends_not_one": "count",
    "overbooked": "orders",
    "answered": "requests",
    "refused": "requests",
}


def _list_start_delays_s(traces: Iterable[recorders.RequestTrace], until_s: float) -> list[float]:
    """Returns the delays to the first start; a request still waiting counts up to the end."""
    waits = []
    for trace in traces:
        submitted_s = trace.arrival.request.submitted_at_s
        if trace.started_at_s is not None:
            waits.append(trace.started_at_s - submitted_s)
        elif trace.end is None:
            waits.append(until_s - submitted_s)
    return waits


def _list_completion_times_s(
    traces: Iterable[recorders.RequestTrace], until_s: float
) -> list[float]:
    times = []
    for trace in traces:
        submitted_s = trace.arrival.request.submitted_at_s
        if trace.end is None:
            times.append(until_s - submitted_s)
        elif trace.end.end is requests.End.ANSWERED:
            times.append(trace.ended_at_s - submitted_s)
    return times


def _list_reclaim_delays_s(
    traces: Iterable[recorders.RequestTrace], recorder: recorders.Recorder, until_s: float
) -> list[float]:
    """Returns the start delays of requests whose guarantee had an idle unit at submission."""
    short = {client_account for client_account, _ in recorder.short_guarantees}
    idle = [t for t in traces if t.guarantee_idle and t.arrival.request.client_account not in short]
    return _list_start_delays_s(idle, until_s)


def _quantile(values: Sequence[float], ratio: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def _format_line(name: str, value: float, unit: str, baseline: float | None) -> str:
    if baseline is None:
        return f"{name} {value:.4g} {unit} - -"
    ratio = f"{value / baseline:.4g}" if baseline else "-"
    return f"{name} {value:.4g} {unit} {baseline:.4g} {ratio}"


def _get_unit(name: str) -> str:
    return _UNITS.get(name) or name.rsplit("_", 1)[1]


def main(arguments: Sequence[str] | None = None) -> None:
    """Simulates all combinations and prints one line for each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one seed, load 0.95 only")
    parser.add_argument("--workload", choices=sorted(_WORKLOADS), action="append")
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--no-faults", action="store_true")
    options = parser.parse_args(arguments)
    seeds = SEEDS[:1] if options.quick else SEEDS
    loads = options.load or ((0.95,) if options.quick else LOADS)
    names = options.workload or sorted(_WORKLOADS)
    fault_choices = (False,) if options.no_faults else (False, True)
    cases = [
        Case(core, name, load, with_faults, seed)
        for name, load, with_faults, core, seed in itertools.product(
            names, loads, fault_choices, _CORES, seeds
        )
    ]
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(zip(cases, pool.map(run_case, cases), strict=True))
    for name, load, with_faults in itertools.product(names, loads, fault_choices):
        _print_group(results, name, load, with_faults, seeds)


def _print_group(
    results: dict[Case, dict[str, float]],
    name: str,
    load: float,
    with_faults: bool,
    seeds: Sequence[int],
) -> None:
    prefix = f"{name}/{load}/{'faults' if with_faults else 'clean'}"
    figures = {
        core: [results[Case(core, name, load, with_faults, seed)] for seed in seeds]
        for core in _CORES
    }
    for figure in figures["engine"][0]:
        value = statistics.median(run[figure] for run in figures["engine"])
        baseline = statistics.median(run[figure] for run in figures["naive"])
        print(_format_line(f"{prefix}/{figure}", value, _get_unit(figure), baseline))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
