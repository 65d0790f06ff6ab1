"""Stateful test of the engine with faults of workers, orders, the store and owners."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lycheegate.core import engine, events, scheduling
from lycheegate.core.tests import fakes, world
from lycheegate.model import releases, requests, resources

_WORKERS = st.sampled_from(["w0", "w1", "w2", "w3"])


class EngineMachine(stateful.RuleBasedStateMachine):
    """Draws requests and faults; the simulated world checks the invariants over time."""

    def __init__(self):
        super().__init__()
        self.world = world.World(workers=4)
        self.count = 0
        self.release = 0

    @stateful.rule(
        shape=st.sampled_from([(1, 0), (1, 1), (1, 4), (2, 2), (3, 4), (4, 1), (5, 4), (1, 5)]),
        idempotent=st.booleans(),
        urgency=st.sampled_from(requests.Urgency),
        run_s=st.sampled_from([0.25, 1.0, 5.0, 40.0]),
        deadline_s=st.sampled_from([None, None, 3.0, 20.0]),
        is_bad=st.sampled_from([False, False, False, True]),
        copies=st.sampled_from([1, 1, 3]),
        client_account=st.sampled_from(["hanbok-studio", "atelier"]),
        also_old=st.booleans(),
        pause_s=st.sampled_from([0.0, 0.5, 1.5, 4.0]),
    )
    def submit(
        self,
        shape,
        idempotent,
        urgency,
        run_s,
        deadline_s,
        is_bad,
        copies,
        client_account,
        also_old,
        pause_s,
    ):
        """Submits requests whose declared run time is wrong."""
        run = self.world
        for _ in range(copies):
            self.count += 1
            request = fakes.make_request(
                f"r-{self.count}",
                *shape,
                client_account=client_account,
                idempotent=idempotent,
                urgency=urgency,
                submitted_at_s=run.now_s,
                deadline_at_s=None if deadline_s is None else run.now_s + deadline_s,
                declared_run_s=0.01,
            )
            if is_bad:
                run.bad_jobs.add(request.request_id)
            run.submit(request, run_s, also_old)
        if pause_s:
            run.advance(pause_s)

    @stateful.rule(duration_s=st.sampled_from([0.25, 0.5, 1.0, 3.0, 7.0]))
    def advance(self, duration_s):
        """Advances the time."""
        self.world.advance(duration_s)

    @stateful.precondition(lambda self: self.count)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        """Cancels one request."""
        number = data.draw(st.integers(1, self.count))
        self.world.cancel(f"r-{number}")

    @stateful.precondition(lambda self: self.count > 3)
    @stateful.rule(divisor=st.integers(1, 3))
    def cancel_wave(self, divisor):
        """Cancels many requests at once."""
        for number in range(1, self.count + 1, divisor):
            self.world.cancel(f"r-{number}")

    @stateful.rule(fates=st.lists(st.sampled_from(fakes.FATES), min_size=1, max_size=6))
    def draw_fates(self, fates):
        """Sets whether the next orders and their replies are lost, delayed or repeated."""
        self.world.fates.extend(fates)

    @stateful.rule(worker_id=_WORKERS, reachable_by_old=st.booleans())
    def pause(self, worker_id, reachable_by_old):
        """Makes a worker unreachable for the current owner."""
        self.world.pause(worker_id, reachable_by_old)

    @stateful.rule(worker_id=_WORKERS)
    def resume(self, worker_id):
        """Makes a worker reachable again."""
        self.world.resume(worker_id)

    @stateful.rule(worker_id=_WORKERS)
    def crash(self, worker_id):
        """Crashes a worker, which loses its tasks."""
        self.world.crash(worker_id)

    @stateful.rule(worker_id=_WORKERS)
    def restart(self, worker_id):
        """Restarts a crashed worker."""
        self.world.restart(worker_id)

    @stateful.rule(
        worker_id=_WORKERS,
        outage_s=st.sampled_from([1.0, 4.0, 12.0]),
        crashes=st.booleans(),
        takes_over=st.booleans(),
    )
    def lose_and_return(self, worker_id, outage_s, crashes, takes_over):
        """Makes a worker unavailable for some time, optionally with a takeover meanwhile."""
        lose = self.world.crash if crashes else self.world.pause
        lose(worker_id)
        self.world.advance(outage_s)
        if takes_over:
            self.world.take_over()
            self.world.advance(0.5)
        self.world.resume(worker_id)
        self.world.restart(worker_id)
        self.world.advance(0.5)

    @stateful.rule(worker_id=_WORKERS)
    def leave(self, worker_id):
        """Makes a worker announce its departure."""
        self.world.leave(worker_id)

    @stateful.rule(worker_id=_WORKERS, fails_all=st.booleans())
    def fail_all(self, worker_id, fails_all):
        """Makes a worker fail all of its tasks, or none."""
        self.world.workers[worker_id].fails_all = fails_all

    @stateful.rule(store_up=st.booleans())
    def set_store(self, store_up):
        """Makes the store unavailable or available; writes wait, so their outcome is unknown."""
        self.world.store_up = store_up

    @stateful.precondition(lambda self: self.world.store_up)
    @stateful.rule(requests_first=st.booleans(), cut=st.none() | _WORKERS, also_old=st.booleans())
    def take_over(self, requests_first, cut, also_old):
        """Starts a second owner while the first continues to send orders."""
        if cut is not None:
            self.world.pause(cut, also_old)
        self.world.take_over(requests_first)

    @stateful.rule(worker_id=_WORKERS)
    def report_again(self, worker_id):
        """Fences a worker again, so that it reports tasks that are already known."""
        self.world.fence(self.world.workers[worker_id])

    @stateful.rule(count=st.integers(1, 3))
    def refuse_records(self, count):
        """Makes the next writes of attempts to the table fail."""
        self.world.refused_records = count

    @stateful.rule(worker_id=_WORKERS)
    def send_to_bad_worker(self, worker_id):
        """Submits small requests while one worker fails all of its tasks."""
        self.world.workers[worker_id].fails_all = True
        for _ in range(10):
            self.count += 1
            request = fakes.make_request(f"r-{self.count}", submitted_at_s=self.world.now_s)
            self.world.submit(request, 0.25)
        self.world.advance(2.0)

    @stateful.rule(
        units=st.integers(0, 3),
        accelerators=st.sampled_from([2, 4]),
        quota=st.sampled_from([None, 8, 16]),
    )
    def apply_release(self, units, accelerators, quota):
        """Changes guarantees and quotas."""
        self.release += 1
        shape = resources.Shape(1, accelerators)
        self.world.release = events.ReleaseApplied(
            self.release,
            (
                releases.ClientAccount("hanbok-studio", quota, 2.0),
                releases.ClientAccount("atelier"),
            ),
            (releases.Guarantee("atelier", "block", shape, units, "suwon"),) if units else (),
        )
        self.world.send(self.world.owner, self.world.release)

    @stateful.precondition(lambda self: self.world.past_events)
    @stateful.rule(indices=st.lists(st.integers(0, 49), min_size=1, max_size=5))
    def repeat_events(self, indices):
        """Sends earlier events to the owner again, in another order."""
        past = [
            event
            for event in self.world.past_events
            if not isinstance(
                event, events.WorkerReported | events.WorkerLost | events.WorkerLeaving
            )
        ]
        for index in indices:
            if index < len(past):
                self.world.send(self.world.owner, past[index])

    @stateful.rule()
    def snapshot(self):
        """Replaces the state of the owner by one restored from its snapshot."""
        owner = self.world.owner
        owner.state = engine.restore_snapshot(engine.make_snapshot(owner.state))

    @stateful.invariant()
    def check(self):
        """Checks runs and ends of requests, and the allocated capacity."""
        self.world.check()
        assert scheduling.check_invariants(self.world.owner.state.scheduling) == []

    def teardown(self):
        """Ends all faults, after which every request must end and no state may remain."""
        self.world.heal()
        self.world.check()
        missing = [key for key, record in self.world.records.items() if record.end is None]
        assert not missing, f"requests without an end: {missing}"
        state = self.world.owner.state
        assert not state.jobs
        assert not state.attempts
        assert not state.stale
        assert state.waiting_total == 0
        assert not state.waiting


# Shrinking a failing sequence takes minutes, and the sequences are readable without shrinking.
EngineMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    report_multiple_bugs=False,
)
TestEngineMachine = EngineMachine.TestCase
