"""Calls that reach another incarnation of a worker, as a review of the tests of these has found.

The sequences differ from those in ``test_worker_incarnations`` in when a late call arrives: before
the next incarnation has received a call with a raised fencing token, or later than after the two
seconds that the scheduler allows for.
"""

from collections.abc import Callable

import pytest
from returns import result

from lycheegate.jobs import commands, fencing, incarnations, state, workers
from lycheegate.node.tests import (
    fake_workers,
    simulation,
    test_exchange,
    test_worker_incarnations,
)
from lycheegate.platform import workers as worker_calls

JOB_ID = test_worker_incarnations.JOB_ID
TASK = test_worker_incarnations.TASK
ORDER_TIMEOUT_S = test_worker_incarnations.ORDER_TIMEOUT_S
LONGEST_PLAY_S = test_worker_incarnations.LONGEST_PLAY_S
LAST_ARRIVAL_S = 1.5
"""Age of a call from which it does not arrive at the next incarnation any more in these tests."""
_LOST = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)


def _delay_first_order(world: simulation.World, monkeypatch) -> tuple[list[Callable], list[str]]:
    """Lets the first start order arrive later; returns what sends it, and its worker."""
    late: list[Callable] = []
    worker_ids: list[str] = []

    def handle(number, order, forward, callback):
        if number == 1:
            late.append(forward)
            worker_ids.append(order.worker_id)
            world.loop.call_later(ORDER_TIMEOUT_S, lambda: callback(_LOST))
        else:
            forward(callback)

    test_worker_incarnations._intercept_starts(monkeypatch, handle)
    return late, worker_ids


def _run_until_started_elsewhere(
    world: simulation.World, worker_id: str, read_sent_at_s: Callable[[], float]
) -> None:
    """Lets time pass until the task has started, while its last order to a worker may still arrive.

    The worker announces its departure, so that the task starts on the other one.
    """
    world.register(worker_id, draining=True)
    while TASK not in world.fleet.starts and world.loop.now_s - read_sent_at_s() < LAST_ARRIVAL_S:
        world.run(0.01)


@pytest.mark.parametrize("late_s", [0.02, 0.1, 0.3])
def test_late_order_that_arrives_before_the_first_poll_after_a_restart(monkeypatch, late_s):
    """Guards against a second run from an order that the next incarnation is first to carry out.

    The former incarnation has confirmed the stop of the run, which the scheduler then takes for
    absent, so the task starts elsewhere. The worker restarts, and the last order for the first run,
    less than two seconds old, is the first call that it receives.
    """
    world = test_worker_incarnations._make_world(monkeypatch, work_s=8.0)
    late: list[tuple[float, Callable]] = []
    worker_ids: list[str] = []
    has_restarted = False

    def handle(number, order, forward, callback):
        if number == 1:
            worker_ids.append(order.worker_id)
        if order.worker_id != worker_ids[0] or has_restarted:
            forward(callback)
            return
        late.append((world.loop.now_s, forward))
        world.loop.call_later(ORDER_TIMEOUT_S, lambda: callback(_LOST))

    test_worker_incarnations._intercept_starts(monkeypatch, handle)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while not late:
        world.run(0.01)
    _run_until_started_elsewhere(world, worker_ids[0], lambda: late[-1][0])
    has_restarted = True
    world.fleet.restart_silently(worker_ids[0], 0.1, 0.0)
    world.run(0.1 + late_s)
    sent_at_s, forward = late[-1]
    assert world.loop.now_s - sent_at_s < incarnations.LATE_CALL_S
    forward(test_worker_incarnations._ignore)
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []
    simulation.assert_all_succeed(world)


@pytest.mark.parametrize("late_s", [1.5, 5.0, 6.0, 8.0, 11.0])
def test_first_order_that_arrives_at_a_restarted_worker_that_is_cut_off(monkeypatch, late_s):
    """Guards against a second run while a late order has begun the first one anew, unseen.

    The former incarnation has carried out the repeat of the order. The worker restarts, carries out
    the first order and is silent. Its longest lease counts from the arrival.
    """
    world = test_worker_incarnations._make_world(monkeypatch, work_s=60.0)
    late, worker_ids = _delay_first_order(world, monkeypatch)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(late_s - 0.3)
    assert world.fleet.starts[TASK] == 1
    world.fleet.restart_silently(worker_ids[0], 0.1, None)
    world.run(0.15)
    late[0](test_worker_incarnations._ignore)
    world.run(0.01)
    world.fleet.unreachable.add(worker_ids[0])
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []


@pytest.mark.parametrize("late_s", [0.02, 0.1, 0.3])
def test_first_order_that_arrives_after_an_acknowledged_success(monkeypatch, late_s):
    """Guards against a run that starts again after its success, which was acknowledged.

    The former incarnation has carried out the repeat of the order, and the run has succeeded there.
    The worker restarts, and the first order is the first call that it receives.
    """
    world = test_worker_incarnations._make_world(monkeypatch, work_s=0.3)
    late, worker_ids = _delay_first_order(world, monkeypatch)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(ORDER_TIMEOUT_S + 0.5)
    assert TASK in world.fleet.acknowledged
    world.fleet.restart_silently(worker_ids[0], 0.1, 0.0)
    world.run(0.1 + late_s)
    late[0](test_worker_incarnations._ignore)
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []


def test_overtaken_answer_of_the_known_incarnation_is_in_its_clock_range():
    """Guards against a healthy worker that is taken for restarted, as a report overtook an answer.

    Its answer was given after the order was sent, and before the report that arrived first.
    """
    current = state.SchedulerState(1, state.Policy(), 0.0)
    worker = state.WorkerState("w0", "s", "a:1", "z", "r", frozenset(), None, None)
    worker.incarnation = state.Incarnation(1_000, confirmed=True)
    # The clock reads 50,000 at 10.0 s. The order is sent then, and answered at 10.001 s.
    worker.incarnation.clock_ms = 50_200
    worker.incarnation.clock_sent_at_s, worker.incarnation.clock_at_s = 10.1, 10.202
    possible = incarnations.compute_clock_range(current, worker, 10.0, 10.25)
    assert possible.includes(50_001)


def test_worker_with_an_overtaken_answer_refuses_no_order(monkeypatch):
    """Guards against orders that a healthy worker refuses, as its token was raised needlessly.

    An answer arrives after a report that was made later. Another order is on its way meanwhile.
    """
    world = test_worker_incarnations._make_world(monkeypatch, work_s=1.0, worker_count=1)
    world.submit(simulation.make_job("f" * 16, simulation.make_step(1)))
    while not world.fleet.starts:
        world.run(0.01)
    world.run(0.93)
    send = fake_workers.FakeWorkers.start
    sent: list[str] = []

    def start(client, address, order, epoch, deadline_ms, callback):
        sent.append(order.worker_id)

        def pass_on(answer):
            world.loop.call_later(0.15, lambda: callback(answer))

        def forward(handle):
            send(client, address, order, epoch, deadline_ms, handle)

        if len(sent) == 1:
            forward(pass_on)
        else:
            world.loop.call_later(0.25, lambda: forward(callback))

    monkeypatch.setattr(fake_workers.FakeWorkers, "start", start)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(2)))
    world.run(0.6)
    assert len(sent) >= 2
    monkeypatch.setattr(fake_workers.FakeWorkers, "start", send)
    world.run(5.0)
    simulation.assert_all_succeed(world)
    events = b"".join(world.lines)
    assert b"worker_restarted" not in events
    assert b'"end":"absent"' not in events


@pytest.mark.parametrize("raises", [0, fencing.EPOCHS_PER_TERM])
def test_run_that_a_restarted_worker_does_not_list_ends_without_a_higher_token(monkeypatch, raises):
    """Guards against a run that never ends once a term has used up its range of tokens.

    A worker of which each poll is lost uses up a million of them in 83 hours, and workers that are
    added later begin with the highest one.
    """
    world = test_worker_incarnations._make_world(monkeypatch, work_s=6.0)
    for worker in world.schedulers["a"]._state.workers.values():
        worker.token_raises = raises
    _, worker_ids = _delay_first_order(world, monkeypatch)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    world.run(ORDER_TIMEOUT_S + 0.3)
    assert world.fleet.starts[TASK] == 1
    world.fleet.restart_silently(worker_ids[0], 0.1, 0.0)
    world.run(60.0)
    simulation.assert_all_succeed(world)


def test_call_with_an_earlier_token_to_a_removed_worker_does_not_end_the_term():
    """Guards against a term that ends as a removed worker has seen a higher token of the same term.

    The token was raised while the call was on its way, and the worker was removed before its answer
    arrived.
    """
    term = test_exchange._Term()
    term.current.epoch = fencing.EPOCHS_PER_TERM
    worker = term.current.workers["w0"]
    order = commands.StopRun("w0", TASK, 1)
    term.exchange.send_stop(order)
    fencing.raise_token(term.current, worker, term.now_s)
    del term.current.workers["w0"]
    term.client.stops[0](worker_calls.OrderResult(worker_calls.StartOutcome.FENCED))
    assert term.end_reasons == []


def test_late_time_of_an_order_counts_from_when_it_was_given_up():
    """Guards against an order that counts as too old to arrive right after its VM was suspended.

    The order was handed to the client before the VM was suspended for 5 s, and was sent after it.
    """
    term = test_exchange._Term()
    order = term.place()
    term.exchange.send_start(order)
    term.now_s += 5.5
    term.client.starts[0](_LOST)
    (run,) = term.current.workers["w0"].runs.values()
    incarnations.verify_starts(term.current.workers["w0"], term.now_s + 0.01)
    assert run.unverified_until_s is not None


@pytest.mark.parametrize("late_s", [0.02, 0.3])
def test_order_of_an_earlier_holder_that_arrives_first_after_a_restart(monkeypatch, late_s):
    """Guards against a second run from an order of an earlier holder.

    The next holder has ended the run, as the worker has answered a call of its term and listed no
    run. Then the worker restarts, and the order is the first call that it receives.
    """
    world = test_worker_incarnations._make_world(monkeypatch, work_s=8.0)
    late, worker_ids = _delay_first_order(world, monkeypatch)
    world.submit(simulation.make_job(JOB_ID, simulation.make_step(1)))
    while not late:
        world.run(0.01)
    sent_at_s = world.loop.now_s
    world.schedulers["a"].stop("killed")
    world.claim_term("b")
    _run_until_started_elsewhere(world, worker_ids[0], lambda: sent_at_s)
    world.fleet.restart_silently(worker_ids[0], 0.1, 0.0)
    world.run(0.1 + late_s)
    late[0](test_worker_incarnations._ignore)
    world.run(LONGEST_PLAY_S)
    assert world.fleet.violations == []


def test_earlier_report_does_not_clear_the_suspicion_of_a_restart():
    """Guards against ends that are acknowledged to the next incarnation, which nobody has read.

    The poll was requested before the order whose answer shows another clock. Its answer comes from
    the former incarnation and arrives last.
    """
    term = test_exchange._Term()
    worker = term.current.workers["w0"]
    worker.incarnation.born_ms = 1
    worker.incarnation.processed_end = worker.incarnation.durable_end = 7
    order = term.place()
    term.exchange.poll_new_workers()
    requested_at_s = term.now_s
    term.exchange.send_start(order)
    term.now_s += 0.1
    started = worker_calls.OrderResult(worker_calls.StartOutcome.STARTED, 500)
    term.client.starts[-1](started)
    report = workers.Report("w0", 1_000, 1, (), (), requested_at_s, term.now_s)
    term.client.reports[0][-1](result.Success(report))
    assert len(term.client.reports) > 1
    assert [arguments[3] for arguments in term.client.reports[1:]] == [0]


def test_another_worker_at_the_former_address_ends_no_run_at_the_present_one():
    """Guards against a second run of a task on a worker that has moved to another address.

    A poll of its former address is answered by another worker, after a run has started at the
    present one.
    """
    term = test_exchange._Term()
    worker = term.current.workers["w0"]
    worker.reported_address = "a:1"
    term.exchange.poll_new_workers()
    worker.address = "b:1"
    order = term.place()
    term.exchange.send_start(order)
    started = worker_calls.OrderResult(worker_calls.StartOutcome.STARTED, 1_000)
    term.client.starts[-1](started)
    error = worker_calls.WrongIncarnationError("endpoint no longer belongs to worker w0")
    term.client.reports[0][-1](result.Failure(error))
    assert order.task in worker.runs
