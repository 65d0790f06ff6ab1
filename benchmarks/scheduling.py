"""Measures the duration of scheduling calls at the target size.

Run with ``python -m benchmarks.scheduling``. One partition has 930 workers with 1,700 accelerators,
42 client accounts, about 9,700 running tasks and 8,000 waiting requests.
"""

import argparse
import random
import time

from lycheegate.core import policy, scheduling
from lycheegate.model import releases, requests, resources

# Accelerators per worker and number of such workers: 930 workers, 1,700 accelerators.
_WORKER_KINDS = [(8, 100), (4, 150), (1, 300), (0, 380)]
_SLOTS = 12
_WORKERS_PER_RACK = 10
_ACCOUNTS = 42
_QUEUED_REQUESTS = 8000
_SHAPES = (
    [resources.Shape(1, 0)] * 50
    + [resources.Shape(1, 1)] * 24
    + [resources.Shape(1, 2)] * 8
    + [resources.Shape(1, 4)] * 6
    + [resources.Shape(1, 8)] * 4
    + [resources.Shape(2, 4, resources.Adjacency.WORKER)] * 2
    + [resources.Shape(4, 4, resources.Adjacency.RACK)] * 2
    + [resources.Shape(16, 1, resources.Adjacency.DATA_CENTRE)] * 2
    + [resources.Shape(8, 0, resources.Adjacency.RACK)]
    + [resources.Shape(64, 1, resources.Adjacency.DATA_CENTRE)]
)


class _Bench:
    """Scheduling state under test, the work it was given and the durations of its calls.

    Attributes:
        rng: Source of the random events.
        now_s: Simulated time.
        submitted_count: Number of requests submitted.
        state: State under test.
        running: Identifiers of the running requests.
        running_index: Position of each running request in ``running``.
        stopping: Identifiers of the requests that the scheduler has ordered to stop.
        submitted: All requests submitted, by identifier.
        placements: Placements of the running requests.
        times: Durations in seconds, by name of the call.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.submitted_count = 0
        self.state = scheduling.create_scheduling_state(policy.PolicySettings())
        self.running: list[str] = []
        self.running_index: dict[str, int] = {}
        self.stopping: list[str] = []
        self.submitted: dict[str, requests.Request] = {}
        self.placements: dict[str, resources.Placement] = {}
        self.times: dict[str, list[float]] = {}

    def measure(self, name, call, *arguments):
        """Makes a scheduling call, records its duration and returns its result."""
        began_s = time.perf_counter()
        result = call(self.state, *arguments)
        self.times.setdefault(name, []).append(time.perf_counter() - began_s)
        return result

    def submit(self):
        """Queues a random request."""
        rng = self.rng
        urgency = rng.choices(list(requests.Urgency), [0.05, 0.55, 0.4])[0]
        shape = rng.choice(_SHAPES[:74] if urgency is requests.Urgency.URGENT else _SHAPES)
        preemptible = urgency is not requests.Urgency.URGENT and rng.random() < 0.6
        account = f"account-{rng.randrange(_ACCOUNTS)}"
        request = requests.Request(
            f"r{self.submitted_count}",
            account,
            "c",
            "k",
            urgency,
            shape,
            preemptible,
            preemptible,
            self.now_s,
        )
        self.submitted_count += 1
        self.submitted[request.request_id] = request
        self.measure("enqueue", scheduling.enqueue, request, self.now_s)

    def plan(self, name):
        """Plans and applies the resulting orders."""
        for order in self.measure(name, scheduling.plan, self.now_s):
            if isinstance(order, scheduling.Start):
                self.running_index[order.request_id] = len(self.running)
                self.running.append(order.request_id)
                self.placements[order.request_id] = order.placement
            else:
                self.stopping.append(order.request_id)

    def end_request(self, request_id, requeue):
        """Ends a running request and, with ``requeue``, queues it again."""
        index = self.running_index.pop(request_id)
        last_id = self.running.pop()
        if last_id != request_id:
            self.running[index] = last_id
            self.running_index[last_id] = index
        del self.placements[request_id]
        self.measure("vacate", scheduling.free_allocation, request_id, self.now_s)
        if requeue:
            self.measure("enqueue", scheduling.enqueue, self.submitted[request_id], self.now_s)

    def step(self):
        """Applies one random event and plans."""
        self.now_s += 0.05
        draw = self.rng.random()
        if self.stopping and draw < 0.5:
            request_id = self.stopping.pop()
            if request_id in self.running_index:
                self.end_request(request_id, True)
        elif draw < 0.75 and self.running:
            self.end_request(self.rng.choice(self.running), False)
        elif draw < 0.95:
            self.submit()
        else:
            request_id = self.rng.choice(list(self.state.queue.places))
            self.measure("withdraw", scheduling.withdraw, request_id)
        self.plan("plan")

    def cycle_worker(self, worker):
        """Removes a worker, requeues its requests and adds the worker again."""
        self.measure("remove_worker", scheduling.remove_worker, worker.worker_id)
        for request_id, placement in list(self.placements.items()):
            if any(place.worker_id == worker.worker_id for place in placement):
                self.end_request(request_id, True)
        self.plan("plan after loss")
        self.measure("add_worker", scheduling.add_worker, worker)
        self.plan("plan after return")


def _make_workers() -> list[resources.Worker]:
    sizes = [size for size, count in _WORKER_KINDS for _ in range(count)]
    return [
        resources.Worker(f"w{n}", "", "region", "dc", f"rack{n // _WORKERS_PER_RACK}", _SLOTS, size)
        for n, size in enumerate(sizes)
    ]


def _make_release(changed: int = 0):
    """Returns client accounts and guarantees, with one more unit each up to number ``changed``."""
    accounts = tuple(releases.ClientAccount(f"account-{n}", 300) for n in range(_ACCOUNTS))
    units = [(resources.Shape(1, 4), 2), (resources.Shape(1, 1), 6), (resources.Shape(2, 4), 1)]
    guarantees = tuple(
        releases.Guarantee(f"account-{n}", f"g{i}", shape, count + (n < changed), "dc")
        for n in range(0, _ACCOUNTS, 2)
        for i, (shape, count) in enumerate(units)
    )
    return accounts, guarantees


def main() -> None:
    """Runs the benchmark and prints percentiles of the duration of each call."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=4000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    bench = _Bench(options.seed)
    workers = _make_workers()
    for worker in workers:
        scheduling.add_worker(bench.state, worker)
    bench.measure("apply_release", scheduling.apply_release, *_make_release())
    while len(bench.state.queue.places) < _QUEUED_REQUESTS:
        for _ in range(50):
            bench.submit()
        bench.now_s += 0.5
        bench.plan("fill")
        while bench.stopping:
            bench.end_request(bench.stopping.pop(), True)
    _print_size(bench)
    bench.times.clear()
    for step in range(options.steps):
        bench.step()
        if step % 400 == 399:
            bench.cycle_worker(bench.rng.choice(workers))
        if step % 1000 == 999:
            changed = step // 1000 + 1
            bench.measure("apply_release", scheduling.apply_release, *_make_release(changed))
    _print_size(bench)
    for name, times in sorted(bench.times.items()):
        times.sort()
        quantiles = [times[min(len(times) - 1, int(q * len(times)))] for q in (0.5, 0.99, 1.0)]
        figures = "  ".join(f"{value * 1000:8.3f}" for value in quantiles)
        print(f"{name:18} n {len(times):6}  p50/p99/max ms  {figures}")


def _print_size(bench: _Bench) -> None:
    state = bench.state
    tasks = sum(map(len, bench.placements.values()))
    print(
        f"running {len(bench.running)} with {tasks} tasks, waiting {len(state.queue.places)}, "
        f"groups {len(state.queue.groups)}, large waiting {len(state.queue.waits)}, reservations "
        f"{len(state.reservations)}, pending {len(state.pending)}, short "
        f"{len(state.guaranteed.short)}, stopping {len(bench.stopping)}"
    )


if __name__ == "__main__":
    main()
