"""Measures the time of scheduling calls at the target size.

Run with ``python -m benchmarks.scheduling``. One partition has 930 workers with 1,700 accelerators,
42 client accounts, about 9,700 running tasks and 8,000 waiting requests.
"""

import argparse
import random
import time

from lycheegate.core import policy, scheduling
from lycheegate.model import releases, requests, resources

# Accelerators of a worker, and workers of that kind: 930 workers, 1,700 accelerators.
_KINDS = [(8, 100), (4, 150), (1, 300), (0, 380)]
_SLOTS = 12
_WORKERS_PER_RACK = 10
_ACCOUNTS = 42
_QUEUE = 8000
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
    """State of a run, and the measured times by call in seconds."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.serial = 0
        self.s = scheduling.create_scheduling_state(policy.PolicySettings())
        self.running: list[str] = []
        self.position: dict[str, int] = {}
        self.stopping: list[str] = []
        self.known: dict[str, requests.Request] = {}
        self.where: dict[str, resources.Placement] = {}
        self.times: dict[str, list[float]] = {}

    def measure(self, name, call, *arguments):
        """Returns the result of a call and records its time."""
        started = time.perf_counter()
        result = call(self.s, *arguments)
        self.times.setdefault(name, []).append(time.perf_counter() - started)
        return result

    def submit(self):
        """Queues a random request."""
        rng = self.rng
        urgency = rng.choices(list(requests.Urgency), [0.05, 0.55, 0.4])[0]
        shape = rng.choice(_SHAPES[:74] if urgency is requests.Urgency.URGENT else _SHAPES)
        preemptible = urgency is not requests.Urgency.URGENT and rng.random() < 0.6
        account = f"account-{rng.randrange(_ACCOUNTS)}"
        request = requests.Request(
            f"r{self.serial}",
            account,
            "c",
            "k",
            urgency,
            shape,
            preemptible,
            preemptible,
            self.now_s,
        )
        self.serial += 1
        self.known[request.request_id] = request
        self.measure("enqueue", scheduling.enqueue, request, self.now_s)

    def plan(self, name):
        """Plans and carries the orders out."""
        for order in self.measure(name, scheduling.plan, self.now_s):
            if isinstance(order, scheduling.Start):
                self.position[order.request_id] = len(self.running)
                self.running.append(order.request_id)
                self.where[order.request_id] = order.placement
            else:
                self.stopping.append(order.request_id)

    def vacate(self, request_id, again):
        """Ends a task, or queues it again."""
        index = self.position.pop(request_id)
        last = self.running.pop()
        if last != request_id:
            self.running[index] = last
            self.position[last] = index
        del self.where[request_id]
        self.measure("vacate", scheduling.free_allocation, request_id, self.now_s)
        if again:
            self.measure("enqueue", scheduling.enqueue, self.known[request_id], self.now_s)

    def step(self):
        """Applies one event and plans."""
        self.now_s += 0.05
        kind = self.rng.random()
        if self.stopping and kind < 0.5:
            request_id = self.stopping.pop()
            if request_id in self.position:
                self.vacate(request_id, True)
        elif kind < 0.75 and self.running:
            self.vacate(self.rng.choice(self.running), False)
        elif kind < 0.95:
            self.submit()
        else:
            waiting = self.rng.choice(list(self.s.queue.places))
            self.measure("withdraw", scheduling.withdraw, waiting)
        self.plan("plan")

    def lose_worker(self, worker):
        """Loses a worker with its tasks, and takes it back."""
        self.measure("remove_worker", scheduling.remove_worker, worker.worker_id)
        for request_id, placement in list(self.where.items()):
            if any(place.worker_id == worker.worker_id for place in placement):
                self.vacate(request_id, True)
        self.plan("plan after loss")
        self.measure("add_worker", scheduling.add_worker, worker)
        self.plan("plan after return")


def _make_workers() -> list[resources.Worker]:
    sizes = [size for size, count in _KINDS for _ in range(count)]
    return [
        resources.Worker(f"w{n}", "", "region", "dc", f"rack{n // _WORKERS_PER_RACK}", _SLOTS, size)
        for n, size in enumerate(sizes)
    ]


def _make_release(changed: int = 0):
    accounts = tuple(releases.ClientAccount(f"account-{n}", 300) for n in range(_ACCOUNTS))
    units = [(resources.Shape(1, 4), 2), (resources.Shape(1, 1), 6), (resources.Shape(2, 4), 1)]
    guarantees = tuple(
        releases.Guarantee(f"account-{n}", f"g{i}", shape, count + (n < changed), "dc")
        for n in range(0, _ACCOUNTS, 2)
        for i, (shape, count) in enumerate(units)
    )
    return accounts, guarantees


def main() -> None:
    """Runs the benchmark and prints percentiles for each call."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=4000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    bench = _Bench(options.seed)
    workers = _make_workers()
    for worker in workers:
        scheduling.add_worker(bench.s, worker)
    bench.measure("apply_release", scheduling.apply_release, *_make_release())
    while len(bench.s.queue.places) < _QUEUE:
        for _ in range(50):
            bench.submit()
        bench.now_s += 0.5
        bench.plan("fill")
        while bench.stopping:
            bench.vacate(bench.stopping.pop(), True)
    _print_size(bench)
    bench.times.clear()
    for step in range(options.steps):
        bench.step()
        if step % 400 == 399:
            bench.lose_worker(bench.rng.choice(workers))
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
    s = bench.s
    tasks = sum(map(len, bench.where.values()))
    print(
        f"running {len(bench.running)} with {tasks} tasks, waiting {len(s.queue.places)}, groups "
        f"{len(s.queue.groups)}, large waiting {len(s.queue.waits)}, reservations "
        f"{len(s.reservations)}, pending {len(s.pending)}, short "
        f"{len(s.guaranteed.short)}, stopping {len(bench.stopping)}"
    )


if __name__ == "__main__":
    main()
