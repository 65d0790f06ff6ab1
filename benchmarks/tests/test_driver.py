"""Tests of the simulation that the benchmarks use."""

import pytest

from benchmarks import driver, faults, recorders, workloads
from lycheegate.core import engine, naive, policy
from lycheegate.model import requests, resources


def _run(plan: faults.FaultPlan) -> recorders.Recorder:
    workload = workloads.AGENCY
    bench = driver.Driver(
        engine, workload, policy.PolicySettings(), plan, window_s=120.0, partitioned=True
    )
    return bench.run(workloads.generate_arrivals(workload, 0.5, 120.0, 1), 600.0)


@pytest.mark.parametrize(
    "plan",
    [
        faults.FaultPlan(),
        faults.FaultPlan(lost_workers=((30.0, 3, 60.0),), cancel_waves=(60.0,)),
        faults.FaultPlan(broken_workers=((0.0, 60.0, 5),), table_outages=((20.0, 40.0),)),
    ],
)
def test_same_seed_gives_same_figures(plan):
    """Guards against figures that differ between two simulations with the same seed."""
    first, second = _run(plan), _run(plan)
    assert first.traces == second.traces
    assert first.busy_accelerator_s == second.busy_accelerator_s


def test_count_accelerators_of_overlapping_orders():
    """Guards against a driver that does not count accelerators assigned to two tasks."""
    bench = driver.Driver(naive, workloads.AGENCY, policy.PolicySettings())
    for number in range(2):
        request = requests.Request(
            f"r{number}",
            "hanbok-studio",
            "c",
            "preview",
            requests.Urgency.URGENT,
            resources.Shape(1, 1),
            True,
            True,
            0.0,
        )
        arrival = workloads.Arrival(request, 1.0)
        bench.recorder.traces[request.request_id] = recorders.RequestTrace(arrival)
        bench._request_partition[request.request_id] = "all"  # noqa: SLF001
        place = resources.MemberPlacement("w000", 0, 1)
        bench._handle_hold(  # noqa: SLF001
            driver.commands.HoldTask(f"r{number}-1-0.0", f"r{number}", 0, place, start=False)
        )
    assert bench.recorder.overbooked == 1


@pytest.mark.parametrize(
    ("free", "shape", "usable"),
    [
        ({"a": [[8], [8]]}, resources.Shape(2, 8, resources.Adjacency.RACK), 16),
        ({"a": [[8]], "b": [[8]]}, resources.Shape(2, 8, resources.Adjacency.RACK), 0),
        ({"a": [[4, 3]]}, resources.Shape(1, 4), 4),
        ({"a": [[4, 4]]}, resources.Shape(2, 4, resources.Adjacency.WORKER), 8),
        ({"a": [[4], [4]]}, resources.Shape(2, 4, resources.Adjacency.WORKER), 0),
        ({"a": [[4], [4]]}, resources.Shape(2, 4), 8),
    ],
)
def test_count_usable_accelerators(free, shape, usable):
    """Guards against a fragmentation ratio that ignores adjacency."""
    assert recorders.count_usable(free, shape) == usable
