"""Workers that restart under their identifiers, and calls that reach another incarnation.

The next incarnation of a worker knows nothing of the former one: its clock and its numbers of ends
begin anew, and it has seen no epoch and no run. It carries out calls that were meant for the former
one, also seconds late. Only a report tells which incarnation has answered.
"""

from collections.abc import Callable

import pytest
from returns import result

from lycheegate.jobs import model, state
from lycheegate.node.tests import fake_workers, simulation
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

JOB_ID = "0" * 16
TASK = model.TaskKey(JOB_ID, 0, 0, 0)
FORMER_S = 20.0
"""Age of the former incarnations: a deadline on their clocks lies far ahead on the next one's."""
ORDER_TIMEOUT_S = 0.5
"""Time after which an order without an answer is repeated."""
LONGEST_PLAY_S = 25.0
"""The longest lease, and time in which a task whose run has ended starts again."""


def _make_world(
    monkeypatch, max_lease_s: float = 10.0, work_s: float = 60.0, worker_count: int = 2
) -> simulation.World:
    """Returns a world with a scheduler that has known its workers for a while."""
    world = simulation.World(1, worker_count=worker_count)
    world.faults.late_calls_survive_restarts = True
    world.policy = state.Policy(max_lease_s=max_lease_s)
    monkeypatch.setattr(fake_workers, "MAX_LEASE_S", max_lease_s)
    world.fleet.work_s = work_s
    world.claim_term("a")
    world.run(FORMER_S)
    return world


def _intercept_starts(monkeypatch, handle: Callable) -> None:
    """Lets a function handle the orders to start runs.

    It is called with the number of the order, the order, a function that sends it with a callback,
    and the callback of the scheduler.
    """
    send = fake_workers.FakeWorkers.start
    count = 0

    def start(client, address, order, epoch, deadline_ms, callback):
        nonlocal count
        count += 1

        def forward(handle_outcome):
            send(client, address, order, epoch, deadline_ms, handle_outcome)

        handle(count, order, forward, callback)

    monkeypatch.setattr(fake_workers.FakeWorkers, "start", start)


def _ignore(outcome) -> None:
    """Takes an answer that arrives nowhere."""


def _restart_before_an_order_is_answered(
    world: simulation.World,
    monkeypatch,
    down_s: float,
    registered_s: float | None,
    handle_started: Callable[[str], None],
) -> None:
    """Submits a job whose first order is lost as its worker crashes.

    The next incarnation carries out and answers the first repeat that reaches it. Polls are not
    answered meanwhile.
    """
    started: list[str] = []

    def handle(number, order, forward, callback):
        if number == 1:
            world.fleet.restart_silently(order.worker_id, down_s, registered_s)

        def pass_on(outcome):
            callback(outcome)
            if outcome.outcome is worker_calls.StartOutcome.STARTED and not started:
                started.append(order.worker_id)
                handle_started(order.worker_id)

        forward(pass_on)

    _intercept_starts(monkeypatch, handle)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    end_s = world.loop.now_s + 5.0
    while not started:
        assert world.loop.now_s < end_s
        world.run(0.01)
    assert world.fleet.starts[TASK] == 1


@pytest.mark.parametrize("registered_s", [0.0, 0.3, 1.0, 1.5, None])
@pytest.mark.parametrize("down_s", [0.499, 0.999])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
def test_run_that_a_new_incarnation_has_confirmed_keeps_the_longest_lease(
    monkeypatch, max_lease_s, down_s, registered_s
):
    """Guards against a second run while a restarted worker runs the first one unseen.

    The deadline of the order was computed on the clock of the former incarnation, so the next one
    grants its longest lease. It is silent from its answer on.
    """
    world = _make_world(monkeypatch, max_lease_s)
    unreachable = world.fleet.unreachable
    _restart_before_an_order_is_answered(world, monkeypatch, down_s, registered_s, unreachable.add)
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []
    assert world.fleet.starts == {TASK: 2}


@pytest.mark.parametrize("late_s", [0.3, 0.7, 0.9, 1.0, 1.5, 3.0])
@pytest.mark.parametrize("registered_s", [0.0, None])
def test_first_order_that_arrives_at_the_next_incarnation_starts_no_second_run(
    monkeypatch, registered_s, late_s
):
    """Guards against a run that starts twice because its first order reaches the next incarnation.

    The former incarnation has carried out the repeat of the order. The next one reports that it
    runs nothing, so the task starts elsewhere.
    """
    world = _make_world(monkeypatch, work_s=6.0)
    late: list[Callable] = []
    workers: list[str] = []

    def handle(number, order, forward, callback):
        if number == 1:
            late.append(forward)
            workers.append(order.worker_id)
            lost = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)
            world.loop.call_later(ORDER_TIMEOUT_S, lambda: callback(lost))
        else:
            forward(callback)

    _intercept_starts(monkeypatch, handle)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(ORDER_TIMEOUT_S + 0.3)
    assert world.fleet.starts[TASK] == 1
    world.fleet.restart_silently(workers[0], 0.1, registered_s)
    world.run(0.1 + late_s)
    late[0](_ignore)
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)


def _run_first_job(world: simulation.World) -> None:
    """Runs a job whose ends are acknowledged, so that the number of the last one is 3."""
    world.submit(simulation.make_job("f" * 16, simulation.make_step(3)))
    world.run(5.0)
    (worker,) = world.fleet.workers.values()
    assert worker.end_number == 3
    assert worker.ended == []


@pytest.mark.parametrize("registered_s", [0.0, 0.6, 3.0, None])
@pytest.mark.parametrize("work_s", [0.1, 0.2, 0.3])
def test_first_poll_after_a_restart_acknowledges_no_unread_end(monkeypatch, work_s, registered_s):
    """Guards against a lost success of a task that ended before the first poll after a restart.

    Ends are numbered anew. A poll that acknowledges an end of the former incarnation makes the next
    one forget an end that no report has listed, and the task starts again.
    """
    world = _make_world(monkeypatch, work_s=work_s, worker_count=1)
    _run_first_job(world)
    _restart_before_an_order_is_answered(world, monkeypatch, 0.499, registered_s, _ignore)
    world.run(10.0)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)
    assert world.fleet.starts[TASK] == 1


@pytest.mark.parametrize("restarts_s", [0.05, 0.5])
@pytest.mark.parametrize("late_s", [0.05, 0.3])
@pytest.mark.parametrize("silence", ["answers_lost", "unreachable"])
def test_late_acknowledgement_of_the_former_incarnation_forgets_no_end_of_the_next(
    monkeypatch, silence, late_s, restarts_s
):
    """Guards against a lost success that a late acknowledgement has removed from its worker.

    A request for a report of the former incarnation is carried out by the next one, which has been
    known for seconds, between the end of a run and the report that would have listed it.
    """
    world = _make_world(monkeypatch, work_s=1.0, worker_count=1)
    _run_first_job(world)
    (worker_id,) = world.fleet.workers
    request = fake_workers.FakeWorkers.report
    late: list[Callable] = []

    def report(client, address, worker_id, epoch, durable_end, deadline_ms, wait_s, callback):
        assert durable_end == 3
        monkeypatch.setattr(fake_workers.FakeWorkers, "report", request)
        late.append(
            lambda: request(
                client, address, worker_id, epoch, durable_end, deadline_ms, 0.0, _ignore
            )
        )
        error = exceptions.OutcomeUnknownError(f"no answer of worker {worker_id}")
        world.loop.call_later(0.8, lambda: callback(result.Failure(error)))

    monkeypatch.setattr(fake_workers.FakeWorkers, "report", report)
    while not late:
        world.run(0.05)
    world.run(restarts_s)
    world.fleet.restart_silently(worker_id, 0.3, 0.0)
    world.run(3.0)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while TASK not in world.fleet.starts:
        world.run(0.01)
    world.run(0.9)
    getattr(world.fleet, silence).add(worker_id)
    world.run(0.11 + late_s)
    assert world.fleet.workers[worker_id].count_live() == 0
    getattr(world.fleet, silence).discard(worker_id)
    late[0]()
    world.run(10.0)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)
    assert world.fleet.starts[TASK] == 1


@pytest.mark.parametrize("late_s", [1.0, 1.5, 3.0])
@pytest.mark.parametrize("restarts_s", [0.0, 0.1, 1.0])
def test_late_order_for_a_run_that_the_former_incarnation_has_stopped(
    monkeypatch, restarts_s, late_s
):
    """Guards against a second run from a late order that the former incarnation would have refused.

    No order to start the run is answered, so it is stopped. The worker confirms the stop, restarts
    and has forgotten it when the first order arrives.
    """
    world = _make_world(monkeypatch, work_s=8.0)
    late: list[Callable] = []
    stop = fake_workers.FakeWorkers.stop
    stopped: list[str] = []

    def handle(number, order, forward, callback):
        if stopped:
            forward(callback)
            return
        late.append(forward)
        lost = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)
        world.loop.call_later(ORDER_TIMEOUT_S, lambda: callback(lost))

    def send_stop(client, address, order, epoch, callback):
        def pass_on(outcome):
            if not stopped and outcome.outcome is worker_calls.StartOutcome.STARTED:
                stopped.append(order.worker_id)
                world.loop.call_later(
                    restarts_s, lambda: world.fleet.restart_silently(order.worker_id, 0.1, 0.0)
                )
            callback(outcome)

        stop(client, address, order, epoch, pass_on)

    _intercept_starts(monkeypatch, handle)
    monkeypatch.setattr(fake_workers.FakeWorkers, "stop", send_stop)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    end_s = world.loop.now_s + 5.0
    while not stopped:
        assert world.loop.now_s < end_s
        world.run(0.01)
    world.run(restarts_s + 0.1 + late_s)
    late[0](_ignore)
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("registered_s", [0.0, None])
@pytest.mark.parametrize("answers_lost_s", [0.5, 2.0, 3.0])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
def test_renewal_without_an_answer_by_a_new_incarnation_counts(
    monkeypatch, max_lease_s, answers_lost_s, registered_s
):
    """Guards against a second run while the lease of the first one was renewed unseen.

    The new incarnation carries out requests for reports, with deadlines on the clock of the former
    one, but none of their answers arrive. It receives no calls afterwards.
    """
    world = _make_world(monkeypatch, max_lease_s)
    fleet = world.fleet

    def lose_answers(worker_id):
        fleet.answers_lost.add(worker_id)
        world.loop.call_later(answers_lost_s, lambda: fleet.unreachable.add(worker_id))

    _restart_before_an_order_is_answered(world, monkeypatch, 0.499, registered_s, lose_answers)
    world.run(LONGEST_PLAY_S)
    assert fleet.violations == []
    assert fleet.starts == {TASK: 2}


@pytest.mark.parametrize("registered_s", [0.0, None])
@pytest.mark.parametrize("is_released", [True, False])
@pytest.mark.parametrize("changes_s", [0.1, 1.0, 4.0])
@pytest.mark.parametrize("is_unregistered", [True, False])
def test_next_holder_counts_the_longest_lease_of_a_new_incarnation(
    monkeypatch, is_unregistered, changes_s, is_released, registered_s
):
    """Guards against a second run after a change of the holder.

    The holder releases the term, or is lost, while a run that a new incarnation has confirmed was
    not reported yet. The worker is silent, and its registration may expire. What the holder tells
    of the end of its leases must count the longest one.
    """
    world = _make_world(monkeypatch)

    def silence(worker_id):
        world.fleet.unreachable.add(worker_id)
        if is_unregistered:
            # After the return, so that the former registration does not come back.
            world.loop.call_later(0.7, lambda: world.unregister(worker_id))

    _restart_before_an_order_is_answered(world, monkeypatch, 0.499, registered_s, silence)
    world.run(changes_s)
    if is_released:
        world.schedulers["a"].release()
        world.run(0.1)
    else:
        world.schedulers["a"].stop("killed")
    world.claim_term("b")
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []
    assert world.fleet.starts == {TASK: 2}


@pytest.mark.parametrize("away_s", [0.5, 4.0, 20.0])
@pytest.mark.parametrize("has_restarted", [False, True])
def test_worker_that_is_registered_again_does_not_end_the_term(monkeypatch, has_restarted, away_s):
    """Guards against a holder that takes its own fencing token for that of a later one.

    The worker has carried out calls that were not answered, and may have restarted before them. It
    leaves the registry, and the scheduler forgets it once nothing runs there.
    """
    world = _make_world(monkeypatch, work_s=2.0)
    worker_id, other_id = world.fleet.workers
    if has_restarted:
        world.fleet.restart_silently(worker_id, 0.1, 0.0)
        world.run(2.0)
    world.fleet.answers_lost.add(worker_id)
    world.run(4.0)
    world.unregister(worker_id)
    world.run(away_s)
    # Workers that have left are forgotten with a change of the registry.
    world.resize(other_id, model.Resources(16_000, 31_000, 8))
    world.run(0.5)
    world.fleet.answers_lost.discard(worker_id)
    world.register(worker_id)
    both = simulation.make_step(2, simulation.WHOLE, gang=True)
    world.submit(simulation.make_job(JOB_ID, both))
    world.run(6.0)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("is_stop", [False, True])
def test_order_that_a_newer_call_has_overtaken_does_not_end_the_term(monkeypatch, is_stop):
    """Guards against a holder that ends its term because a worker refuses an overtaken order.

    A request for a report is lost while the order is on its way, and the next one arrives before
    the order.
    """
    world = _make_world(monkeypatch, work_s=60.0 if is_stop else 2.0, worker_count=1)
    name = "stop" if is_stop else "start"
    if is_stop:
        world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
        world.run(3.0)
    request = fake_workers.FakeWorkers.report
    lost_at_s: list[float] = []

    def report(client, address, worker_id, epoch, durable_end, deadline_ms, wait_s, callback):
        monkeypatch.setattr(fake_workers.FakeWorkers, "report", request)
        lost_at_s.append(world.loop.now_s + 0.8)
        error = exceptions.OutcomeUnknownError(f"no answer of worker {worker_id}")
        world.loop.call_later(0.8, lambda: callback(result.Failure(error)))

    monkeypatch.setattr(fake_workers.FakeWorkers, "report", report)
    while not lost_at_s:
        world.run(0.01)
    send = getattr(fake_workers.FakeWorkers, name)

    def delay(*arguments):
        monkeypatch.setattr(fake_workers.FakeWorkers, name, send)
        assert world.loop.now_s < lost_at_s[0]
        world.loop.call_later(0.3, lambda: send(*arguments))

    world.run(0.7)
    monkeypatch.setattr(fake_workers.FakeWorkers, name, delay)
    if is_stop:
        world.cancel(JOB_ID)
    else:
        world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(8.0)
    assert getattr(fake_workers.FakeWorkers, name) is send
    assert world.fleet.violations == []
    expected = model.Outcome.CANCELLED if is_stop else model.Outcome.SUCCEEDED
    assert world.read_status(JOB_ID).outcome is expected
    (worker,) = world.fleet.workers.values()
    assert worker.count_live() == 0
    # The term goes on.
    world.submit(simulation.make_job("1" * 16, simulation.make_step(1)))
    world.fleet.job_work_s["1" * 16] = 1.0
    world.run(4.0)
    assert world.read_status("1" * 16).outcome is model.Outcome.SUCCEEDED
