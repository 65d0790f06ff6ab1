"""State machine of the engine with faults of workers, orders, store and owners."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lycheegate.core import engine, events, scheduling
from lycheegate.core.tests import fakes
from lycheegate.model import releases, requests, resources

_WORKERS = st.sampled_from(["w0", "w1", "w2", "w3"])


class EngineMachine(stateful.RuleBasedStateMachine):
    """Draws requests and faults; the fakes check the rules while time passes."""

    def __init__(self):
        super().__init__()
        self.world = fakes.World(workers=4)
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
    ):
        """Submits requests whose declared run time is untrue."""
        world = self.world
        for _ in range(copies):
            self.count += 1
            request = fakes.make_request(
                f"r-{self.count}",
                *shape,
                client_account=client_account,
                idempotent=idempotent,
                urgency=urgency,
                submitted_at_s=world.now_s,
                deadline_at_s=None if deadline_s is None else world.now_s + deadline_s,
                declared_run_s=0.01,
            )
            if is_bad:
                world.bad_jobs.add(request.request_id)
            world.submit(request, run_s, also_old)

    @stateful.rule(duration_s=st.sampled_from([0.25, 0.5, 1.0, 3.0, 7.0]))
    def advance(self, duration_s):
        """Lets time pass."""
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
        """Loses, delays or repeats the next orders or their answers."""
        self.world.fates.extend(fates)

    @stateful.rule(worker_id=_WORKERS, reachable_by_old=st.booleans())
    def pause(self, worker_id, reachable_by_old):
        """Cuts a worker off."""
        self.world.pause(worker_id, reachable_by_old)

    @stateful.rule(worker_id=_WORKERS)
    def resume(self, worker_id):
        """Connects it again."""
        self.world.resume(worker_id)

    @stateful.rule(worker_id=_WORKERS)
    def crash(self, worker_id):
        """Destroys a worker."""
        self.world.crash(worker_id)

    @stateful.rule(worker_id=_WORKERS)
    def restart(self, worker_id):
        """Brings it back."""
        self.world.restart(worker_id)

    @stateful.rule(worker_id=_WORKERS)
    def leave(self, worker_id):
        """Lets a worker leave."""
        self.world.leave(worker_id)

    @stateful.rule(worker_id=_WORKERS, fails_all=st.booleans())
    def fail_all(self, worker_id, fails_all):
        """Makes a worker fail everything, or nothing any more."""
        self.world.workers[worker_id].fails_all = fails_all

    @stateful.rule(store_up=st.booleans())
    def set_store(self, store_up):
        """Takes the store away or brings it back; writes wait, so their outcome is unknown."""
        self.world.store_up = store_up

    @stateful.precondition(lambda self: self.world.store_up)
    @stateful.rule()
    def take_over(self):
        """Starts a second owner while the first goes on sending orders."""
        self.world.take_over()

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
        """Repeats earlier events, in another order, to the owner."""
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
        """Goes on from a snapshot."""
        owner = self.world.owner
        owner.state = engine.restore_snapshot(engine.make_snapshot(owner.state))

    @stateful.invariant()
    def check(self):
        """Checks runs, ends and capacity."""
        self.world.check()
        assert scheduling.check_invariants(self.world.owner.state.scheduling) == []

    def teardown(self):
        """Ends the faults; then every request must end and nothing may remain."""
        self.world.heal()
        self.world.check()
        missing = [key for key, record in self.world.records.items() if record.end is None]
        assert not missing, missing
        state = self.world.owner.state
        assert not state.jobs
        assert not state.attempts
        assert not state.stale
        assert state.waiting_total == 0
        assert not state.waiting


# Shrinking a failing sequence takes minutes, and the sequences are readable without it.
EngineMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    report_multiple_bugs=False,
)
TestEngineMachine = EngineMachine.TestCase
