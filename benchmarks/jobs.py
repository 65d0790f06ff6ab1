"""Processor time of the scheduler of jobs at several sizes; ``python -m benchmarks.jobs``.

Prints lines of name, value, unit, baseline and ratio, like the other benchmarks; there is no
naive version to compare with.
"""

import statistics
import time

from lycheegate.jobs import lifecycle, model, progress, scheduling, state, workers, writes

SIZES = (24, 176, 930)
TASKS_PER_WORKER = 10
GANG = 64
ROUNDS = 9


def build(worker_count: int) -> state.SchedulerState:
    """Returns a scheduler with workers that are nearly full."""
    current = state.SchedulerState(1, state.Policy(), 100.0)
    route = model.Route("q", "h", "/q/", "s", 1, 3, 3.0, 1.0)
    urgent = model.Route("u", "h", "/u/", "s", 0, 3, 1.5, 0.3)
    current.configuration = model.Configuration(
        1, {"q": route, "u": urgent}, {}, {"a": model.Account("a", frozenset(), 64)}, {}, 1000
    )
    registrations = [
        workers.Registration(
            f"w{n}",
            "s",
            "h:1",
            "z",
            f"r{n // 8}",
            frozenset({"a"}),
            model.Resources(TASKS_PER_WORKER * 1000 + 2000, 64_000, 12),
            False,
            1,
        )
        for n in range(worker_count)
    ]
    workers.apply_registrations(current, registrations, 100.0)
    for n in range(worker_count):
        report(current, f"w{n}", 100.1)
    for n in range(worker_count // 4 + 1):
        step = model.Step(4 * TASKS_PER_WORKER, model.Resources(1000, 100, 1), 3600.0)
        add(current, f"{n:016x}", step, route)
    run_pass(current, 100.2)
    return current


def add(current: state.SchedulerState, job_id: str, step: model.Step, route: model.Route) -> None:
    """Adds a job."""
    job = model.Job(job_id, route.name, "a", "spec", (step,), 100.0)
    lifecycle.add_job(current, state.JobState(job, route, 1), 100.2, 100.2)


def report(current: state.SchedulerState, worker_id: str, now_s: float) -> None:
    """Applies a report that lists what the scheduler expects."""
    worker = current.workers[worker_id]
    listed = tuple(
        workers.ListedRun(run.task, "", run.number, "", 5) for run in worker.runs.values()
    )
    workers.apply_report(current, workers.Report(worker_id, 1000, 1, listed, (), now_s, now_s))


def run_pass(current: state.SchedulerState, now_s: float) -> None:
    """Runs a pass and takes its writes as done."""
    scheduling.schedule(current, now_s, now_s)
    while (batch := writes.collect_batch(current)) is not None:
        writes.complete_batch(current, batch, 2, now_s)


def measure(function, rounds: int = ROUNDS) -> float:
    """Returns the median processor time in milliseconds."""
    times: list[float] = []
    for _ in range(rounds):
        began = time.process_time()
        function()
        times.append((time.process_time() - began) * 1000.0)
    return statistics.median(times)


def make_gang_placer(current: state.SchedulerState, count: int):
    """Returns a function that adds an urgent gang and places it."""
    numbers = iter(range(10**6))

    def place_gang() -> None:
        step = model.Step(count, model.Resources(1000, 100, 1), 60.0, gang=True)
        add(current, f"{next(numbers):015x}g", step, current.configuration.routes["u"])
        run_pass(current, 100.3)

    return place_gang


def main() -> None:
    """Prints the figures."""
    for size in SIZES:
        current = build(size)
        figures = {"idle_pass_ms": measure(lambda c=current: run_pass(c, 100.3))}
        figures["report_ms"] = measure(lambda c=current: report(c, "w3", 100.4))
        figures["lease_check_ms"] = measure(lambda c=current: workers.check_leases(c, 100.5))
        first = next(iter(current.jobs.values()))
        figures["progress_write_ms"] = measure(lambda job=first: progress.encode_progress(job))
        figures["urgent_gang_ms"] = measure(make_gang_placer(current, min(GANG, size // 2)), 3)
        for name, value in figures.items():
            print(f"jobs_{name}_{size} {value:.3f} ms - -")


if __name__ == "__main__":
    main()
