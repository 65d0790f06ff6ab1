"""Simulation of a partition that executes scheduling plans for requests with given run times."""

import heapq
import itertools

from lycheegate.core import scheduling
from lycheegate.model import requests, resources

__all__ = ["Driver", "make_request", "make_worker"]

STOP_S = 1.0
"""Time from a stop order until the stopped work has released its capacity."""


def make_worker(name, rack="rack", accelerators=8, slots=8):
    """Returns a worker in the data centre of the tests."""
    return resources.Worker(name, "", "region", "dc", rack, slots, accelerators)


def make_request(request_id, shape, account="a", urgency=None, preemptible=False, at_s=0.0):
    """Returns a request, by default with normal urgency."""
    urgency = requests.Urgency.NORMAL if urgency is None else urgency
    return requests.Request(
        request_id, account, "c", "k", urgency, shape, preemptible, preemptible, at_s
    )


class Driver:
    """Executes plans; ``starts`` and ``stops`` record the ordered starts and stops with times."""

    def __init__(self, settings, workers=()):
        self.state = scheduling.create_scheduling_state(settings)
        self.now_s = 0.0
        self.requests = {}
        self.run_s = {}
        self.running = {}
        self.starts = {}
        self.stops = []
        self.ends = []
        self.serial = itertools.count()
        for worker in workers:
            scheduling.add_worker(self.state, worker)

    def submit(self, request, run_s=None):
        """Queues a request that runs for ``run_s`` seconds, or until ``end`` is called if None."""
        self.requests[request.request_id] = request
        self.run_s[request.request_id] = run_s
        scheduling.enqueue(self.state, request, self.now_s)

    def plan(self):
        """Executes one plan and returns the identifiers of started and of stopped requests."""
        started, stopped = [], []
        for order in scheduling.plan(self.state, self.now_s):
            request_id = order.request_id
            if isinstance(order, scheduling.Start):
                started.append(request_id)
                self.running[request_id] = order.placement
                self.starts.setdefault(request_id, self.now_s)
                if self.run_s[request_id] is not None:
                    self._schedule_end(self.now_s + self.run_s[request_id], request_id, False)
            else:
                stopped.append(request_id)
                self.stops.append((self.now_s, request_id, order.for_request_id))
                self._schedule_end(self.now_s + STOP_S, request_id, True)
        return started, stopped

    def _schedule_end(self, at_s, request_id, requeue):
        entry = (at_s, next(self.serial), request_id, requeue, self.running[request_id])
        heapq.heappush(self.ends, entry)

    def end(self, request_id, requeue=False):
        """Ends a running request and queues it again if ``requeue`` is set."""
        del self.running[request_id]
        scheduling.free_allocation(self.state, request_id, self.now_s)
        if requeue:
            scheduling.enqueue(self.state, self.requests[request_id], self.now_s)

    def advance(self, duration_s):
        """Advances the time and ends requests that have finished or were stopped."""
        self.now_s += duration_s
        while self.ends and self.ends[0][0] <= self.now_s:
            _, _, request_id, requeue, placement = heapq.heappop(self.ends)
            if self.running.get(request_id) is placement:
                self.end(request_id, requeue)
