"""Small driver that runs a scheduling state against work with given run times."""

import heapq
import itertools

from lycheegate.core import scheduling
from lycheegate.model import requests, resources

__all__ = ["Driver", "make_request", "make_worker"]

STOP_S = 1.0
"""Time that stopped work takes to leave."""


def make_worker(name, rack="rack", accelerators=8, slots=8):
    """Returns a worker of the only data centre."""
    return resources.Worker(name, "", "region", "dc", rack, slots, accelerators)


def make_request(request_id, shape, account="a", urgency=None, preemptible=False, at_s=0.0):
    """Returns a request; urgency is normal unless given."""
    urgency = requests.Urgency.NORMAL if urgency is None else urgency
    return requests.Request(
        request_id, account, "c", "k", urgency, shape, preemptible, preemptible, at_s
    )


class Driver:
    """Carries out plans; ``starts`` and ``stops`` record what was ordered and when."""

    def __init__(self, settings, workers=()):
        self.s = scheduling.create_scheduling_state(settings)
        self.now_s = 0.0
        self.requests = {}
        self.run_s = {}
        self.running = {}
        self.starts = {}
        self.stops = []
        self.ends = []
        self.serial = itertools.count()
        for worker in workers:
            scheduling.add_worker(self.s, worker)

    def submit(self, request, run_s=None):
        """Queues a request that runs for ``run_s`` seconds, or until it is ended."""
        self.requests[request.request_id] = request
        self.run_s[request.request_id] = run_s
        scheduling.enqueue(self.s, request, self.now_s)

    def plan(self):
        """Makes one plan; returns the names of requests started and stopped."""
        started, stopped = [], []
        for order in scheduling.plan(self.s, self.now_s):
            request_id = order.request_id
            if isinstance(order, scheduling.Start):
                started.append(request_id)
                self.running[request_id] = order.placement
                self.starts.setdefault(request_id, self.now_s)
                if self.run_s[request_id] is not None:
                    self._end_at(self.now_s + self.run_s[request_id], request_id, False)
            else:
                stopped.append(request_id)
                self.stops.append((self.now_s, request_id, order.for_request_id))
                self._end_at(self.now_s + STOP_S, request_id, True)
        return started, stopped

    def _end_at(self, at_s, request_id, again):
        entry = (at_s, next(self.serial), request_id, again, self.running[request_id])
        heapq.heappush(self.ends, entry)

    def end(self, request_id, again=False):
        """Ends a running request, and queues it again if it was stopped."""
        del self.running[request_id]
        scheduling.vacate(self.s, request_id, self.now_s)
        if again:
            scheduling.enqueue(self.s, self.requests[request_id], self.now_s)

    def advance(self, seconds_s):
        """Lets time pass and ends what has run its time or was stopped."""
        self.now_s += seconds_s
        while self.ends and self.ends[0][0] <= self.now_s:
            _, _, request_id, again, placement = heapq.heappop(self.ends)
            if self.running.get(request_id) is placement:
                self.end(request_id, again)
