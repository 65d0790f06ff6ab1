"""Hypothesis state machine for the scheduling of a small partition."""

import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from lycheegate.core import policy, scheduling
from lycheegate.model import releases, requests, resources

_WORKERS = {
    f"w{number}": resources.Worker(f"w{number}", "", "r", "dc", rack, slots, accelerators)
    for number, (rack, slots, accelerators) in enumerate(
        [("a", 3, 4), ("a", 2, 2), ("b", 3, 4), ("b", 1, 1)]
    )
}
_SHAPES = st.builds(
    resources.Shape,
    members=st.sampled_from([1, 1, 1, 2, 3]),
    accelerators=st.sampled_from([0, 1, 1, 2, 4]),
    adjacency=st.sampled_from(list(resources.Adjacency)),
)
_UNITS = st.builds(
    resources.Shape,
    members=st.sampled_from([1, 1, 2]),
    accelerators=st.sampled_from([0, 1, 2]),
    adjacency=st.sampled_from(list(resources.Adjacency)),
)
_ACCOUNTS = ("x", "y")


class SchedulingMachine(stateful.RuleBasedStateMachine):
    """Drives ``scheduling`` and keeps an independent record of the running requests."""

    def __init__(self):
        super().__init__()
        self.settings = policy.PolicySettings(
            max_bypass_count=2, max_bypass_s=5.0, max_reservation_wait_s=5.0, large_accelerators=4
        )
        self.state = scheduling.create_scheduling_state(self.settings)
        self.now_s = 0.0
        self.serial = itertools.count()
        self.waiting = {}
        self.running = {}
        self.stopping = set()
        self.lost = set()
        self.unplaceable = set()
        self.quota = dict.fromkeys(_ACCOUNTS)
        for worker in _WORKERS.values():
            scheduling.add_worker(self.state, worker)

    @stateful.rule(
        shape=_SHAPES,
        account=st.sampled_from(_ACCOUNTS),
        urgency=st.sampled_from(list(requests.Urgency)),
        preemptible=st.booleans(),
    )
    def enqueue(self, shape, account, urgency, preemptible):
        """Adds a request, unless it could never run."""
        request_id = f"r{next(self.serial)}"
        request = requests.Request(
            request_id, account, "c", "k", urgency, shape, preemptible, preemptible, self.now_s
        )
        if scheduling.find_infeasibility_reason(self.state, request) is None:
            self.waiting[request_id] = request
            scheduling.enqueue(self.state, request, self.now_s)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def withdraw(self, data):
        """Cancels a waiting request."""
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[request_id]
        assert scheduling.withdraw(self.state, request_id)

    @stateful.rule(elapsed_s=st.sampled_from([0.0, 1.0, 10.0]))
    def plan(self, elapsed_s):
        """Advances time and applies a plan."""
        self.now_s += elapsed_s
        self.record_orders(scheduling.plan(self.state, self.now_s))

    def record_orders(self, orders):
        """Checks orders against the record and records them."""
        for order in orders:
            if isinstance(order, scheduling.Preempt):
                assert order.request_id in self.running
                assert order.request_id not in self.stopping
                assert self.running[order.request_id][0].preemptible
                self.stopping.add(order.request_id)
            else:
                request = self.waiting.pop(order.request_id)
                self.check_start(request, order.placement)
                self.running[order.request_id] = (request, order.placement)

    def check_start(self, request, placement):
        """Checks that a start has room and the right shape, and is within the quota."""
        shape = request.shape
        assert len(placement) == shape.members
        assert all(place.count == shape.accelerators for place in placement)
        workers = [_WORKERS[place.worker_id] for place in placement]
        if shape.adjacency is resources.Adjacency.WORKER:
            assert len({worker.worker_id for worker in workers}) == 1
        if shape.adjacency is resources.Adjacency.RACK:
            assert len({worker.rack for worker in workers}) == 1
        for place in placement:
            assert place.worker_id not in self.lost | self.unplaceable
        taken, slots = self.collect_occupied(self.running.values())
        for place in placement:
            cells = {(place.worker_id, index) for index in _list_indexes(place)}
            assert not cells & taken
            taken |= cells
            slots[place.worker_id] -= 1
            assert slots[place.worker_id] >= 0
            assert all(index < _WORKERS[place.worker_id].accelerators for _, index in cells)
        quota = self.quota[request.client_account]
        held = [r for r, _ in self.running.values() if r.client_account == request.client_account]
        total = sum(r.shape.total_accelerators for r in held) + shape.total_accelerators
        assert quota is None or total <= quota

    def collect_occupied(self, allocations):
        """Returns the occupied accelerators, and the free slots of every worker."""
        taken = set()
        slots = {worker_id: worker.slots for worker_id, worker in _WORKERS.items()}
        for _, placement in allocations:
            for place in placement:
                taken |= {(place.worker_id, index) for index in _list_indexes(place)}
                slots[place.worker_id] -= 1
        return taken, slots

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), is_requeued=st.booleans())
    def end_request(self, data, is_requeued):
        """Ends a running request, or requeues it."""
        candidates = sorted(self.stopping) or sorted(self.running)
        if data.draw(st.booleans()):
            candidates = sorted(self.running)
        request_id = data.draw(st.sampled_from(candidates))
        request, _ = self.running.pop(request_id)
        self.stopping.discard(request_id)
        scheduling.free_allocation(self.state, request_id, self.now_s)
        if is_requeued:
            self.waiting[request_id] = request
            scheduling.enqueue(self.state, request, self.now_s)

    @stateful.rule(worker_id=st.sampled_from(sorted(_WORKERS)))
    def lose_worker(self, worker_id):
        """Loses a worker with the requests on it, or adds it again."""
        if worker_id in self.lost:
            self.lost.discard(worker_id)
            scheduling.add_worker(self.state, _WORKERS[worker_id])
            return
        self.lost.add(worker_id)
        self.unplaceable.discard(worker_id)
        scheduling.remove_worker(self.state, worker_id)
        for request_id, (_, placement) in list(self.running.items()):
            if any(place.worker_id == worker_id for place in placement):
                del self.running[request_id]
                self.stopping.discard(request_id)
                scheduling.free_allocation(self.state, request_id, self.now_s)

    @stateful.rule(worker_id=st.sampled_from(sorted(_WORKERS)))
    def change_placeable(self, worker_id):
        """Toggles whether a worker may get new work."""
        if worker_id in self.lost:
            return
        placeable = worker_id in self.unplaceable
        self.unplaceable ^= {worker_id}
        scheduling.set_placeable(self.state, worker_id, placeable)

    @stateful.rule(
        units=st.dictionaries(
            st.tuples(st.sampled_from(_ACCOUNTS), st.sampled_from(["g", "h"])),
            st.tuples(_UNITS, st.integers(1, 2)),
        ),
        quota=st.sampled_from([None, None, 4, 8]),
    )
    def change_release(self, units, quota):
        """Applies other guarantees and quotas."""
        self.quota = {"x": quota, "y": None}
        scheduling.apply_release(
            self.state,
            tuple(releases.ClientAccount(name, self.quota[name]) for name in _ACCOUNTS),
            tuple(
                releases.Guarantee(account, name, shape, count, "dc")
                for (account, name), (shape, count) in units.items()
            ),
        )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule()
    def take_over(self):
        """Rebuilds the state from workers, release and running tasks, as a new owner does."""
        previous = self.state
        self.state = scheduling.create_scheduling_state(self.settings)
        self.stopping.clear()
        units = {}
        for unit in previous.guaranteed.units.values():
            account, name, _ = unit.key
            _, count = units.get((account, name), (None, 0))
            units[account, name] = (unit.shape, count + 1)
        for worker_id, worker in _WORKERS.items():
            if worker_id not in self.lost:
                scheduling.add_worker(self.state, worker)
                if worker_id in self.unplaceable:
                    scheduling.set_placeable(self.state, worker_id, False)
        self.change_release(units, self.quota["x"])
        for request, placement in self.running.values():
            scheduling.restore(self.state, request, placement, self.now_s)
        for request in self.waiting.values():
            scheduling.enqueue(self.state, request, self.now_s)

    @stateful.invariant()
    def check(self):
        """Guards against violated invariants, and against guarantees that cannot be reclaimed."""
        assert scheduling.check_invariants(self.state) == []
        assert self.can_reclaim_all()

    def can_reclaim_all(self):
        """Returns whether all unused units that are not short fit at once, by exhaustive search."""
        fixed = {
            request_id: (request, placement)
            for request_id, (request, placement) in self.running.items()
            if not request.preemptible
        }
        for request_id, allocation in self.state.pending.items():
            if not allocation.request.preemptible:
                fixed[request_id] = (allocation.request, allocation.placement)
        unused = []
        used_by = set()
        for unit in self.state.guaranteed.units.values():
            if unit.user is None:
                unused += [unit.shape] if unit.home is not None else []
                continue
            request = (self.running.get(unit.user) or (self.waiting.get(unit.user),))[0]
            assert unit.user not in used_by
            used_by.add(unit.user)
            assert request.client_account == unit.client_account
            assert request.shape.members <= unit.shape.members
            assert request.shape.accelerators <= unit.shape.accelerators
            # The home of a used unit is not available to other units.
            fixed[unit.user] = (request, unit.home)
        taken, slots = self.collect_occupied(fixed.values())
        for worker_id in self.lost | self.unplaceable:
            slots[worker_id] = 0
        unused.sort(key=lambda shape: -shape.total_accelerators)
        return search_room(unused, taken, slots)


def _list_indexes(place):
    return range(place.first, place.first + place.count)


def search_room(shapes, taken, slots, members=()):
    """Returns whether all shapes fit at once, trying every placement.

    Args:
        shapes: Shapes to place.
        taken: Occupied accelerators, as pairs of worker and index.
        slots: Free slots of each worker.
        members: Workers of those members of the first shape that are already placed.
    """
    if not shapes:
        return True
    shape = shapes[0]
    if len(members) == shape.members:
        return search_room(shapes[1:], taken, slots)
    for worker_id, worker in _WORKERS.items():
        if slots[worker_id] <= 0 or (members and not _is_adjacent(shape, members[0], worker_id)):
            continue
        starts = range(worker.accelerators - shape.accelerators + 1)
        for first in starts if shape.accelerators else [0]:
            cells = {(worker_id, first + offset) for offset in range(shape.accelerators)}
            if cells & taken:
                continue
            left = {**slots, worker_id: slots[worker_id] - 1}
            if search_room(shapes, taken | cells, left, (*members, worker_id)):
                return True
    return False


def _is_adjacent(shape, one, other):
    if shape.adjacency is resources.Adjacency.WORKER:
        return one == other
    if shape.adjacency is resources.Adjacency.RACK:
        return _WORKERS[one].rack == _WORKERS[other].rack
    return True
