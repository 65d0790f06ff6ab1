"""State machine of the engine with faults of workers, orders, store and owners."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lycheegate.core import engine, events, scheduling
from lycheegate.core.tests import fakes, world
from lycheegate.model import releases, requests, resources

_WORKERS = st.sampled_from(["w0", "w1", "w2", "w3"])


class EngineMachine(stateful.RuleBasedStateMachine):
    """Draws requests and faults; the fakes check the rules while time passes."""

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
        then_s=st.sampled_from([0.0, 0.5, 1.5, 4.0]),
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
        then_s,
    ):
        """Submits requests whose declared run time is untrue."""
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
        if then_s:
            run.advance(then_s)

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
    @stateful.rule(requests_first=st.booleans(), cut=st.none() | _WORKERS, also_old=st.booleans())
    def take_over(self, requests_first, cut, also_old):
        """Starts a second owner while the first goes on sending orders."""
        if cut is not None:
            self.world.pause(cut, also_old)
        self.world.take_over(requests_first)

    @stateful.rule(worker_id=_WORKERS)
    def report_again(self, worker_id):
        """Fences a worker again, so that its report meets what is known already."""
        self.world.fence(self.world.workers[worker_id])

    @stateful.rule(count=st.integers(1, 3))
    def refuse_records(self, count):
        """Refuses the next attempt records."""
        self.world.refused_records = count

    @stateful.rule(worker_id=_WORKERS)
    def send_to_bad_worker(self, worker_id):
        """Sends small requests while one worker fails them all."""
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
