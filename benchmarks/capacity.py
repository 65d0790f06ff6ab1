"""Prints the table of docs/CAPACITY.md from slopes measured in this run.

``python -m benchmarks.capacity [--quick]``. Each slope is a least-squares line over three or more
sizes; each size is measured in a process of its own. ``--quick`` skips the idle polls, which take
minutes.
"""

import argparse
import dataclasses
import gc
import importlib
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from concurrent import futures

from benchmarks import decisions
from lycheegate.metrics import histograms
from lycheegate.model import releases, resources
from lycheegate.peers import messages
from lycheegate.release import encoding

__all__ = ["Slope", "fit_line", "main"]

WORKERS = 930
TASKS = 9_700
PARTITIONS = 16
ENTRY_VMS = 8
CLIENT_ACCOUNTS = 42
CLASSES = 5
CALLERS = 1_000
JOBS_A_DAY = 660
RELEASES_A_DAY = 320
VM_CHANGES_A_DAY = 367
DAY_S = 86_400
HEARTBEAT_INTERVAL_S = 0.5
RENEW_INTERVAL_S = 0.5
MEMBER_INTERVAL_S = 2.0
LEASE_READ_INTERVAL_S = 0.5
HEAD_READ_INTERVAL_S = 1.0
LIMIT_CORE_RATIO = 0.036
LIMIT_MB = 32.0
LIMIT_BYTES_PER_S = 20_000
# Owners are chosen by hashing, so the busiest VM owns more than the mean: 4 of 16 with 8 VMs.
PARTITIONS_OF_BUSIEST_VM = 4
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Line fitted to measurements.

    Attributes:
        name: Name of the figure, with its unit.
        sizes: Sizes at which the figure was measured.
        values: Figure at each size.
        intercept: Value of the line at 0.
        per_unit: Increase of the line per unit of size.
        error_ratio: Largest deviation from the line divided by the largest value.
    """

    name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    intercept: float
    per_unit: float
    error_ratio: float

    def extrapolate(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.per_unit * size


def fit_line(name: str, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Returns the least-squares line through the measurements."""
    line = statistics.linear_regression(sizes, values)
    deviations = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(map(abs, values)) or 1.0
    return Slope(
        name, tuple(sizes), tuple(values), line.intercept, line.slope, max(deviations) / largest
    )


def _read_resident_bytes() -> int:
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def _measure_histograms_mb(count: int) -> float:
    before_bytes = _read_resident_bytes()
    recorded = histograms.Histograms()
    for number in range(count):
        for duration_s in (0.01, 0.1, 1.0, 10.0, 1000.0):
            recorded.record(f"account{number}", "class", histograms.Kind.COMPLETION, duration_s)
    return (_read_resident_bytes() - before_bytes) / 1e6


def _make_release(callers: int) -> releases.Release:
    shape = resources.Shape(2, 8, resources.Adjacency.RACK)
    names = [f"account{number}" for number in range(CLIENT_ACCOUNTS)]
    return releases.Release(
        1,
        {name: releases.ClientAccount(name, 64) for name in names},
        {(name, "block"): releases.Guarantee(name, "block", shape, 1, "dc") for name in names},
        {
            f"caller{number}": releases.Caller(
                f"caller{number}", names[number % CLIENT_ACCOUNTS], "desk", "sha256$" + "0" * 96
            )
            for number in range(callers)
        },
    )


def _measure_release_bytes(callers: int) -> float:
    return float(len(json.dumps(encoding.encode_release(_make_release(callers)))))


def _measure_release_mb(callers: int) -> float:
    before_bytes = _read_resident_bytes()
    release = _make_release(callers)
    used_mb = (_read_resident_bytes() - before_bytes) / 1e6
    assert release.number == 1
    return used_mb


def _measure_release_adopt_ms(callers: int) -> float:
    text = json.dumps(encoding.encode_release(_make_release(callers)))
    before_s = time.process_time()
    for _ in range(10):
        encoding.decode_release(json.loads(text))
    return (time.process_time() - before_s) * 100.0


def _make_heartbeat(partitions: int) -> messages.Heartbeat:
    return messages.Heartbeat(
        vm_id="entry-vm-1",
        boot_id="0123456789abcdef",
        data_centre="suwon",
        release=1234,
        prepared=0,
        table_ok_age_s=0.25,
        settled=True,
        owned={f"suwon/{n}": messages.OwnedPartition(12, 100, 600) for n in range(partitions)},
        draining=False,
        sent_s=12345.678,
        echo_s=12345.678,
    )


def _measure_heartbeat_bytes(partitions: int) -> float:
    return float(len(messages.encode(_make_heartbeat(partitions))))


def _measure_heartbeat_us(partitions: int) -> float:
    heartbeat = _make_heartbeat(partitions)
    before_s = time.process_time()
    for _ in range(2000):
        messages.decode(messages.encode(heartbeat))
    return (time.process_time() - before_s) / 2000 * 1e6


def _measure_decisions(workers: int) -> tuple[float, float, float, float]:
    figures = decisions.measure("engine", workers)
    return figures.state_mb, figures.decision_p99_us, figures.recovery_s, figures.decision_p50_us


def _measure_imports_mb(modules: Sequence[str]) -> float:
    for module in modules:
        importlib.import_module(module)
    return _read_resident_bytes() / 1e6


def _run_in_new_process(function: Callable, *arguments: object) -> object:
    with futures.ProcessPoolExecutor(1) as pool:
        return pool.submit(function, *arguments).result()


def _measure_slope(name: str, function: Callable, sizes: Sequence[int]) -> Slope:
    return fit_line(name, sizes, [_run_in_new_process(function, size) for size in sizes])


def _measure_idle_polls(sizes: Sequence[int]) -> list[Slope]:
    command = [sys.executable, "-m", "benchmarks.platform_clients", "--requests", "100"]
    command += ["--writes", "160", "--workers", *map(str, sizes)]
    lines = subprocess.run(command, check=True, capture_output=True, text=True).stdout.splitlines()
    figures = [json.loads(line) for line in lines]
    polls = [entry for entry in figures if entry["measurement"] == "idle_polls"]
    return [
        fit_line("idle_polls_bytes_per_s", sizes, [entry["bytes_per_s"] for entry in polls]),
        fit_line("idle_polls_core_ratio", sizes, [entry["core_ratio"] for entry in polls]),
    ]


def _print_slope(slope: Slope) -> None:
    sizes = ",".join(f"{size:g}" for size in slope.sizes)
    values = ",".join(f"{value:.4g}" for value in slope.values)
    print(
        f"slope {slope.name} at {sizes}: {values}; "
        f"{slope.intercept:.4g} + {slope.per_unit:.4g} * n, error {slope.error_ratio:.1%}"
    )


def _print_row(role: str, figure: str, value: float, unit: str, limit: float | None) -> None:
    used_ratio = "-" if limit is None else f"{value / limit:.2f}"
    limit_text = "-" if limit is None else f"{limit:g}"
    print(f"row {role} | {figure} | {value:.4g} {unit} | limit {limit_text} | used {used_ratio}")


def main(arguments: Sequence[str] | None = None) -> None:
    """Measures and prints all slopes, then the rows computed from them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args(arguments)
    slopes = _measure_slopes(options.quick)
    for slope in slopes.values():
        _print_slope(slope)
    _print_memory()
    _print_rows(slopes)


def _measure_slopes(quick: bool) -> dict[str, Slope]:
    sizes = decisions.SIZES
    measured = [_run_in_new_process(_measure_decisions, size) for size in sizes]
    names = ("state_mb", "decision_p99_us", "recovery_s", "decision_p50_us")
    slopes = [
        fit_line(f"{name}_by_workers", sizes, column)
        for name, column in zip(names, zip(*measured, strict=True), strict=True)
    ]
    callers = (10, 100, 1000)
    slopes += [
        _measure_slope("histograms_mb_by_count", _measure_histograms_mb, (20, 100, 420)),
        _measure_slope("release_bytes_by_callers", _measure_release_bytes, callers),
        _measure_slope("release_mb_by_callers", _measure_release_mb, callers),
        _measure_slope("release_adopt_ms_by_callers", _measure_release_adopt_ms, callers),
        _measure_slope("heartbeat_bytes_by_partitions", _measure_heartbeat_bytes, (1, 4, 16)),
        _measure_slope("heartbeat_us_by_partitions", _measure_heartbeat_us, (1, 4, 16)),
    ]
    if not quick:
        slopes += _measure_idle_polls((24, 120, 240))
    return {slope.name: slope for slope in slopes}


def _print_memory() -> None:
    interpreter_mb = _run_in_new_process(_measure_imports_mb, ())
    core_mb = _run_in_new_process(_measure_imports_mb, ("lycheegate.core.engine",))
    daemon_mb = _run_in_new_process(_measure_imports_mb, ("lycheegate.entry.daemon",))
    print(f"memory forked_interpreter_mb {interpreter_mb:.1f}")
    print(f"memory with_decisions_mb {core_mb:.1f}")
    print(f"memory with_daemon_mb {daemon_mb:.1f}")


def _print_rows(slopes: dict[str, Slope]) -> None:
    per_partition = WORKERS / PARTITIONS
    busiest = per_partition * PARTITIONS_OF_BUSIEST_VM
    _print_row(
        "owner",
        f"state of {PARTITIONS_OF_BUSIEST_VM} partitions, {busiest:.0f} workers",
        slopes["state_mb_by_workers"].extrapolate(busiest),
        "MB",
        LIMIT_MB,
    )
    _print_row(
        "owner",
        "recovery of one partition",
        slopes["recovery_s_by_workers"].extrapolate(per_partition),
        "s",
        1.0,
    )
    # A job has about 8 events: submitted, held, started, finished, stored, released, recorded.
    events_per_s = JOBS_A_DAY * 64 * 8 / DAY_S
    core_ratio = events_per_s * slopes["decision_p99_us_by_workers"].extrapolate(WORKERS) / 1e6
    _print_row("owner", "decisions, all jobs gangs of 64", core_ratio, "core", LIMIT_CORE_RATIO)
    if "idle_polls_bytes_per_s" in slopes:
        polls_bytes_per_s = slopes["idle_polls_bytes_per_s"].extrapolate(busiest)
        _print_row(
            "owner",
            f"worker polls, {busiest:.0f} workers",
            polls_bytes_per_s,
            "B/s",
            LIMIT_BYTES_PER_S,
        )
        polls_core_ratio = slopes["idle_polls_core_ratio"].extrapolate(busiest)
        _print_row(
            "owner",
            f"worker polls, {busiest:.0f} workers",
            polls_core_ratio,
            "core",
            LIMIT_CORE_RATIO,
        )
    heartbeats_per_s = 2 * (ENTRY_VMS - 1) / HEARTBEAT_INTERVAL_S
    heartbeat_bytes = slopes["heartbeat_bytes_by_partitions"].extrapolate(2)
    _print_row(
        "membership",
        "heartbeats both ways",
        heartbeats_per_s * heartbeat_bytes,
        "B/s",
        LIMIT_BYTES_PER_S,
    )
    heartbeat_us = slopes["heartbeat_us_by_partitions"].extrapolate(2)
    _print_row(
        "membership", "heartbeats", heartbeats_per_s * heartbeat_us / 1e6, "core", LIMIT_CORE_RATIO
    )
    document_bytes = slopes["release_bytes_by_callers"].extrapolate(CALLERS)
    _print_row(
        "releases",
        f"documents, {RELEASES_A_DAY} a day, {CALLERS} callers",
        document_bytes * RELEASES_A_DAY / DAY_S,
        "B/s",
        LIMIT_BYTES_PER_S,
    )
    _print_row(
        "releases",
        "release in force",
        slopes["release_mb_by_callers"].extrapolate(CALLERS),
        "MB",
        LIMIT_MB,
    )
    _print_row(
        "releases",
        "adoption",
        slopes["release_adopt_ms_by_callers"].extrapolate(CALLERS) / 1000,
        "s",
        4.0,
    )
    count = CLIENT_ACCOUNTS * CLASSES * 2
    _print_row(
        "metrics",
        f"{count} histograms",
        slopes["histograms_mb_by_count"].extrapolate(count),
        "MB",
        LIMIT_MB,
    )
    _print_store_rows()


def _print_store_rows() -> None:
    writes = {
        "partition leases": PARTITIONS / RENEW_INTERVAL_S,
        "member rows": ENTRY_VMS / MEMBER_INTERVAL_S,
        "jobs (record, attempt, end)": JOBS_A_DAY * 3 / DAY_S,
        "releases": RELEASES_A_DAY / DAY_S,
        "VM changes": VM_CHANGES_A_DAY / DAY_S,
    }
    reads = {
        "partition rows": ENTRY_VMS * PARTITIONS / LEASE_READ_INTERVAL_S,
        "release head": ENTRY_VMS / HEAD_READ_INTERVAL_S,
        "member rows": ENTRY_VMS / MEMBER_INTERVAL_S,
    }
    for name, rate in writes.items():
        _print_row("table service", f"writes: {name}", rate, "writes/s", 300.0)
    _print_row("table service", "writes: all", sum(writes.values()), "writes/s", 300.0)
    for name, rate in reads.items():
        _print_row("table service", f"reads: {name}", rate, "reads/s", 2000.0)
    _print_row("table service", "reads: all", sum(reads.values()), "reads/s", 2000.0)


if __name__ == "__main__":
    main()
