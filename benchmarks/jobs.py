"""Measures processor times of the job scheduler at several sizes.

``python -m benchmarks.jobs`` prints lines of name, value, unit, baseline and ratio, like the other
benchmarks. Baseline and ratio are ``-`` where there is no naive implementation to compare with.
"""

import random
import statistics
import time

from lycheegate.jobs import leases, lifecycle, model, progress, scheduling, state, workers, writes

LIMITS = progress.RecordLimits(49_152, 600_000)
SIZES = (24, 176, 930)
LARGE_JOBS = ((2_000, 24), (5_000, 24), (20_000, 930), (100_000, 930))
"""Number of tasks of a large job, and of the workers that run them."""
TASKS_PER_WORKER = 10
GANG = 64
ROUNDS = 9


def build_scheduler(worker_count: int) -> state.SchedulerState:
    """Returns the state of a scheduler whose workers are nearly full."""
    scheduler_state = state.SchedulerState(1, state.Policy(), 100.0)
    route = model.Route("q", "h", "/q/", "s", 1, 3, 3.0, 1.0)
    urgent = model.Route("u", "h", "/u/", "s", 0, 3, 1.5, 0.3)
    scheduler_state.configuration = model.Configuration(
        1, {"q": route, "u": urgent}, {}, {"a": model.Account("a", frozenset(), 64)}, {}, 1000
    )
    registrations = [make_registration(f"w{n}") for n in range(worker_count)]
    workers.apply_registrations(scheduler_state, registrations, 100.0)
    for n in range(worker_count):
        apply_report(scheduler_state, f"w{n}", 100.1)
    for n in range(worker_count // 4 + 1):
        step = model.Step(4 * TASKS_PER_WORKER, model.Resources(1000, 100, 1), 3600.0)
        add_job(scheduler_state, f"{n:016x}", step, route)
    run_pass(scheduler_state, 100.2)
    for n in range(worker_count):
        apply_report(scheduler_state, f"w{n}", 100.3)
    return scheduler_state


def make_registration(worker_id: str) -> workers.Registration:
    """Returns the registration of a worker with room for two more tasks than it gets."""
    return workers.Registration(
        worker_id,
        "s",
        "h:1",
        "z",
        f"r{int(worker_id[1:]) // 8}",
        frozenset({"a"}),
        model.Resources(TASKS_PER_WORKER * 1000 + 2000, 64_000, 12),
        False,
        1,
    )


def add_job(
    scheduler_state: state.SchedulerState, job_id: str, step: model.Step, route: model.Route
) -> None:
    """Adds a job of one step."""
    job = model.Job(job_id, route.name, "a", "spec", (step,), 100.0)
    lifecycle.add_job(scheduler_state, state.JobState(job, route, 1), 100.2, 100.2)


def apply_report(scheduler_state: state.SchedulerState, worker_id: str, now_s: float) -> None:
    """Applies a worker report that lists exactly the runs that the scheduler expects."""
    worker = scheduler_state.workers[worker_id]
    listed = tuple(
        workers.ListedRun(run.task, "", run.number, "", 5) for run in worker.runs.values()
    )
    workers.apply_report(
        scheduler_state, workers.Report(worker_id, 1000, 1, listed, (), now_s, now_s)
    )


def run_pass(scheduler_state: state.SchedulerState, now_s: float) -> None:
    """Runs a scheduling pass and completes its writes immediately."""
    scheduling.schedule(scheduler_state, now_s, now_s)
    while (batch := writes.collect_batch(scheduler_state, now_s)) is not None:
        writes.complete_batch(scheduler_state, batch, 2, now_s)


def measure_median_ms(function, rounds: int = ROUNDS) -> float:
    """Returns the median processor time of a call in milliseconds."""
    times: list[float] = []
    for _ in range(rounds):
        began_s = time.process_time()
        function()
        times.append((time.process_time() - began_s) * 1000.0)
    return statistics.median(times)


def make_gang_placer(scheduler_state: state.SchedulerState, count: int):
    """Returns a function that adds an urgent gang job and runs the pass that places it."""
    numbers = iter(range(10**6))

    def place_gang() -> None:
        step = model.Step(count, model.Resources(1000, 100, 1), 60.0, gang=True)
        add_job(
            scheduler_state,
            f"{next(numbers):015x}g",
            step,
            scheduler_state.configuration.routes["u"],
        )
        run_pass(scheduler_state, 100.3)

    return place_gang


def measure_takeover(previous: state.SchedulerState) -> tuple[float, int]:
    """Restores the state of a scheduler from its records, as the next holder of the term does.

    All workers register and report, and an urgent gang is placed. Reads of the store and calls of
    workers are not included.

    Returns:
        The processor time in milliseconds, and the size of the records in bytes.
    """
    records = [
        (
            job.job.job_id,
            progress.encode_accepted(progress.AcceptedJob(job.job, job.route), 49_152),
            progress.encode_progress(job, LIMITS).data,
        )
        for job in previous.jobs.values()
    ]
    registrations = [make_registration(worker_id) for worker_id in previous.workers]
    began_s = time.process_time()
    restored = state.SchedulerState(2, state.Policy(), 200.0)
    restored.configuration = previous.configuration
    for job_id, accepted_record, progress_record in records:
        accepted = progress.decode_accepted(job_id, accepted_record)
        job = state.JobState(accepted.job, accepted.route, 1)
        progress.decode_progress(job, progress_record, 200.0)
        lifecycle.add_job(restored, job, 200.0, 200.0)
    workers.apply_registrations(restored, registrations, 200.1)
    for registration in registrations:
        apply_report(restored, registration.worker_id, 200.2)
    make_gang_placer(restored, min(GANG, len(registrations) // 2))()
    elapsed_ms = (time.process_time() - began_s) * 1000.0
    return elapsed_ms, sum(len(first) + len(second) for _, first, second in records)


def build_large_job(tasks: int, worker_count: int) -> state.JobState:
    """Returns a job of one step whose tasks all run, spread over the workers at random."""
    draw = random.Random(tasks)
    route = model.Route("q", "h", "/q/", "s", 1, 3, 3.0, 1.0)
    step = model.Step(tasks, model.Resources(100, 128, 0), 30.0)
    job = state.JobState(model.Job(f"{tasks:016x}", "q", "a", "spec", (step,), 100.0), route)
    step_state = job.steps[0, 0] = state.StepState((0, 0), step)
    for index in range(tasks):
        number = draw.randrange(worker_count)
        task = model.TaskKey(job.job.job_id, 0, 0, index)
        run = state.Run(task, f"i-7f3a91{number:04x}", 1, step.need, state.RunPhase.RUNNING, 100.0)
        run.worker_born_ms = 1_700_000_000_000 + number
        step_state.runs[index] = run
        step_state.run_numbers[index] = draw.choice((1, 1, 1, 2))
    return job


def measure_large_records() -> None:
    """Prints the size of the progress of large jobs, and the time to encode it.

    The baseline is the plain form, which fits into no row.
    """
    plain_limits = progress.RecordLimits(1 << 30, 1 << 30)
    for tasks, worker_count in LARGE_JOBS:
        job = build_large_job(tasks, worker_count)
        record, plain = (progress.encode_progress(job, x) for x in (LIMITS, plain_limits))
        size, plain_size = len(record.data) + sum(map(len, record.pages)), len(plain.data)
        print(f"jobs_record_{tasks} {size} bytes {plain_size} {size / plain_size:.3f}")
        time_ms, plain_ms = (
            measure_median_ms(lambda j=job, x=x: progress.encode_progress(j, x), 5)
            for x in (LIMITS, plain_limits)
        )
        ratio = time_ms / plain_ms
        print(f"jobs_record_encode_{tasks} {time_ms:.3f} ms {plain_ms:.3f} {ratio:.3f}")


def main() -> None:
    """Measures and prints the figures of all sizes."""
    measure_large_records()
    for size in SIZES:
        scheduler_state = build_scheduler(size)
        figures = {"idle_pass_ms": measure_median_ms(lambda c=scheduler_state: run_pass(c, 100.3))}
        figures["report_ms"] = measure_median_ms(
            lambda c=scheduler_state: apply_report(c, "w3", 100.4)
        )
        figures["lease_check_ms"] = measure_median_ms(
            lambda c=scheduler_state: leases.check_leases(c, 100.5)
        )
        first_job = next(iter(scheduler_state.jobs.values()))
        figures["progress_write_ms"] = measure_median_ms(
            lambda job=first_job: progress.encode_progress(job, LIMITS).data
        )
        figures["urgent_gang_ms"] = measure_median_ms(
            make_gang_placer(scheduler_state, min(GANG, size // 2)), 3
        )
        figures["takeover_ms"], record_bytes = measure_takeover(build_scheduler(size))
        for name, value in figures.items():
            print(f"jobs_{name}_{size} {value:.3f} ms - -")
        print(f"jobs_takeover_records_{size} {record_bytes} bytes - -")


if __name__ == "__main__":
    main()
