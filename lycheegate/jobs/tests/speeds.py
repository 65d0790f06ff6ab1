"""Learned speeds with fixed values, and states for tests of placement by speed."""

import contextlib
from collections.abc import Iterator

import pytest

from lycheegate.jobs import lifecycle, model, scheduling, state
from lycheegate.jobs.durations import factors

CAPACITY = model.Resources(64_000, 256_000, 8)
ROUTES = {
    "urgent": model.Route("urgent", "h", "/u/", "render", 0, 3, 1.5, 0.3),
    "gang": model.Route("gang", "h", "/g/", "render", 1, 3, 3.0, 1.0),
    "batch": model.Route("batch", "h", "/b/", "render", 2, 3, 3.0, 3.0),
}
Speed = float | tuple[float, float]


@contextlib.contextmanager
def fix_speeds(speed_by_worker: dict[str, Speed]) -> Iterator[None]:
    """Replaces the estimates of workers; workers that are left out count as typical.

    Args:
        speed_by_worker: Ratio of each worker, known well, or the expected and the upper ratio of
            one that is not.
    """

    def get_worker_estimate(_, worker_id: str, now_s: float) -> factors.Estimate:
        speed = speed_by_worker.get(worker_id, 1.0)
        if isinstance(speed, tuple):
            return factors.Estimate(*speed, 0)
        return factors.Estimate(speed, speed * 1.1, 9)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(factors, "get_worker_estimate", get_worker_estimate)
        yield


def make_state(rooms: list[int], rack_size: int = 100, guaranteed: int = 0) -> state.SchedulerState:
    """Returns a state with workers ``w0``, ``w1`` and so on with some free accelerators each."""
    current = state.SchedulerState(1, state.Policy(), 0.0)
    account = model.Account("acme", frozenset(), guaranteed)
    services = {"render": model.Service("render")}
    current.configuration = model.Configuration(1, ROUTES, services, {"acme": account}, {}, 1)
    for number, accelerators in enumerate(rooms):
        worker_id, rack = f"w{number}", f"r{number // rack_size}"
        room = model.Resources(8_000 * accelerators, 32_000 * accelerators, accelerators)
        current.workers[worker_id] = state.WorkerState(
            worker_id,
            "render",
            "a:1",
            "z",
            rack,
            frozenset(),
            CAPACITY,
            room,
            incarnation=state.Incarnation(confirmed=True),
        )
    return current


def make_need(accelerators: int) -> model.Resources:
    """Returns the resources of a task with some accelerators, and their share of the others."""
    return model.Resources(8_000 * accelerators, 32_000 * accelerators, accelerators)


def add_job(
    current: state.SchedulerState, job_id: str, route: str, step: model.Step, now_s: float
) -> state.JobState:
    """Adds a job that is accepted now."""
    job = model.Job(job_id, route, "acme", "x", (step,), now_s)
    lifecycle.add_job(current, state.JobState(job, ROUTES[route]), now_s, now_s)
    return current.jobs[job_id]


def schedule(current: state.SchedulerState, now_s: float) -> list:
    """Makes a scheduling pass with fresh reports of all workers."""
    for worker in current.workers.values():
        worker.reported_at_s = now_s
    return scheduling.schedule(current, now_s, now_s)


def list_workers(job: state.JobState) -> list[str]:
    """Returns the workers on which a job was placed, in the order of its tasks."""
    return [run.worker_id for run in sorted(job.list_runs(), key=lambda run: run.task)]
