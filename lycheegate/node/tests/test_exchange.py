"""Orders to workers that a scheduler may no longer send."""

import pytest
from returns import result

from lycheegate.jobs import (
    commands,
    fencing,
    lifecycle,
    model,
    pool,
    scheduling,
    state,
    workers,
    writes,
)
from lycheegate.metrics import jsonlog
from lycheegate.node import exchange
from lycheegate.platform import workers as worker_calls
from lycheegate.utils import exceptions

_CAPACITY = model.Resources(8_000, 8_000, 8)
_ROUTE = model.Route("batch", "h", "/b/", "render", 1, 3, 3.0, 1.0)
_UNKNOWN = worker_calls.OrderResult(worker_calls.StartOutcome.UNKNOWN)


class _Client:
    """Client of the workers that records orders and leaves them without an answer."""

    def __init__(self):
        self.starts = []
        self.stops = []
        self.reports = []

    def start(self, address, order, epoch, deadline_ms, callback):
        self.starts.append(callback)

    def stop(self, address, order, epoch, callback):
        self.stops.append(callback)

    def report(self, *arguments):
        self.reports.append(arguments)


class _Term:
    """A scheduler's exchange with one worker, and the clock and renewals of its term."""

    def __init__(self):
        self.now_s = 1.0
        self.renewed_at_s = 1.0
        self.later = []
        self.delays_s = []
        self.end_reasons = []
        self.requested_passes = []
        self.client = _Client()
        self.current = state.SchedulerState(1, state.Policy(), 0.0)
        self.current.workers["w0"] = state.WorkerState(
            "w0",
            "render",
            "a:1",
            "z",
            "r0",
            frozenset(),
            _CAPACITY,
            _CAPACITY,
            incarnation=state.Incarnation(confirmed=True),
        )
        worker = self.current.workers["w0"]
        worker.reported_at_s = 1.0
        worker.incarnation.clock_ms, worker.incarnation.clock_at_s = 1_000, 1.0
        self.exchange = exchange.WorkerExchange(
            self.client,
            self.current,
            lambda: self.now_s,
            jsonlog.JsonLog("a", lambda: self.now_s, len),
            exchange.TermHooks(
                lambda command_list: None,
                self.requested_passes.append,
                self.end_reasons.append,
                self.call_later,
                lambda: False,
                lambda: self.renewed_at_s,
            ),
        )

    def call_later(self, delay_s, function):
        """Records a function that is to be run later, and its delay in seconds."""
        self.later.append(function)
        self.delays_s.append(delay_s)

    def place(self) -> commands.StartRun:
        """Places a task and returns the order to start it."""
        step = model.Step(1, model.Resources(1_000, 1_000, 1), 60.0)
        job = state.JobState(model.Job("0" * 16, "batch", "acme", "x", (step,), 0.0), _ROUTE)
        lifecycle.add_job(self.current, job, 0.0, 0.0)
        scheduling.schedule(self.current, 1.0, 1.0)
        (order,) = writes.complete_batch(
            self.current, writes.collect_batch(self.current, 1.0), 2, 1.0
        )
        return order

    def run_later(self) -> None:
        """Runs the functions that were delayed."""
        later, self.later = self.later, []
        for function in later:
            function()


@pytest.mark.parametrize(("paused_s", "sent"), [(0.5, 2), (7.9, 2), (8.1, 1), (60.0, 1)])
def test_start_order_is_not_repeated_after_a_pause(paused_s, sent):
    """Guards against a task that starts twice because its scheduler's VM was suspended.

    The order got no answer, and the VM wakes when another holder has assumed that the lease of the
    order has expired. The order must wait for a renewal of the term.
    """
    term = _Term()
    order = term.place()
    term.exchange.send_start(order)
    term.now_s += paused_s
    term.client.starts[0](_UNKNOWN)
    term.run_later()
    assert len(term.client.starts) == sent


@pytest.mark.parametrize(("is_repeated", "sent"), [(False, 0), (True, 2)])
def test_no_first_order_to_a_worker_that_leaves(is_repeated, sent):
    """Guards against a task that starts on a worker seconds after it announced its departure.

    Load pattern: the store loses answers, so the write of the intention takes seconds. An order
    that may have been received is repeated all the same, to learn what became of it.
    """
    term = _Term()
    order = term.place()
    if is_repeated:
        term.exchange.send_start(order)
    term.current.workers["w0"].draining = True
    if is_repeated:
        term.client.starts[0](_UNKNOWN)
        term.run_later()
    else:
        term.exchange.send_start(order)
    assert len(term.client.starts) == sent
    assert bool(term.current.jobs["0" * 16].list_runs()) is is_repeated


@pytest.mark.parametrize("is_repeated", [False, True])
def test_no_order_without_a_lease(is_repeated):
    """Guards against a task that starts twice because its order cannot be repeated.

    The clock of the worker is unknown after its restart, so no lease can be granted. An order that
    it may have received before the restart was known has not been refused by it.
    """
    term = _Term()
    order = term.place()
    if is_repeated:
        term.exchange.send_start(order)
    term.current.workers["w0"].incarnation.clock_ms = 0
    if is_repeated:
        term.client.starts[0](_UNKNOWN)
        term.run_later()
    else:
        term.exchange.send_start(order)
    found = term.current.jobs["0" * 16].list_runs()
    assert [run.phase for run in found] == ([state.RunPhase.STOPPING] if is_repeated else [])
    assert len(term.client.starts) == is_repeated


@pytest.mark.parametrize("is_repeated", [False, True])
@pytest.mark.parametrize(("accelerators", "is_sent"), [(8, True), (1, True), (0, False)])
def test_no_order_beyond_a_capacity_that_has_shrunk(accelerators, is_sent, is_repeated):
    """Guards against a start on room that its worker lost after the task was placed.

    Load pattern: the store loses answers, so the write of the intention takes seconds. A first
    order is not sent. One that may have been received is stopped instead of repeated.
    """
    term = _Term()
    order = term.place()
    if is_repeated:
        term.exchange.send_start(order)
    capacity = model.Resources(8_000, 8_000, accelerators)
    registration = workers.Registration(
        "w0", "render", "a:1", "z", "r0", frozenset(), capacity, False, 1
    )
    workers.apply_registrations(term.current, [registration], 1.5)
    if is_repeated:
        term.client.starts[0](_UNKNOWN)
        term.run_later()
    else:
        term.exchange.send_start(order)
    assert len(term.client.starts) == is_sent + is_repeated
    phases = [run.phase for run in term.current.jobs["0" * 16].list_runs()]
    expected = [state.RunPhase.STOPPING] if is_repeated else []
    assert phases == ([state.RunPhase.ORDERED] if is_sent else expected)


@pytest.mark.parametrize("kind", ["start", "stop", "report"])
def test_orders_continue_once_the_term_is_renewed(kind):
    """Guards against orders that are lost for good after a pause that cost no change of holder."""
    term = _Term()
    order = term.place()
    stop = commands.StopRun("w0", order.task, order.number)
    send = {
        "start": lambda: term.exchange.send_start(order),
        "stop": lambda: term.exchange.send_stop(stop),
        "report": term.exchange.poll_new_workers,
    }[kind]
    sent = {"start": term.client.starts, "stop": term.client.stops, "report": term.client.reports}
    term.now_s += 9.0
    send()
    assert sent[kind] == []
    term.renewed_at_s = term.now_s
    if kind == "stop":
        send()
    term.run_later()
    assert len(sent[kind]) == 1


@pytest.mark.parametrize(
    "error", [exceptions.NotSentError("refused"), exceptions.OutcomeUnknownError("no answer")]
)
def test_worker_that_does_not_answer_gets_no_work_until_it_reports(error):
    """Guards against gangs that start on a worker which has just been lost.

    Load pattern: workers are lost for good during a burst. The report of a lost worker stays recent
    for two seconds, and a gang of which one start is not answered must be stopped as a whole.
    """
    term = _Term()
    worker = term.current.workers["w0"]
    term.exchange.poll_new_workers()
    term.client.reports[-1][-1](result.Failure(error))
    assert not pool.is_usable(term.current, worker, term.now_s)
    term.now_s += 0.3
    term.run_later()
    report = workers.Report("w0", 1_300, 0, (), (), term.now_s, term.now_s)
    term.client.reports[-1][-1](result.Success(report))
    assert pool.is_usable(term.current, worker, term.now_s)


@pytest.mark.parametrize(("has_runs", "longest_s"), [(False, 2.0), (True, 1.5)])
def test_polls_of_idle_workers_are_rarer(has_runs, longest_s):
    """Guards against a scheduler of thousands of workers whose polls take its processor time.

    A poll must end before the last report is too old for new work, and leave the lease of a run
    long enough for a change of schedulers.
    """
    term = _Term()
    if has_runs:
        term.place()
    term.exchange.poll_new_workers()
    report = workers.Report("w0", 1_000, 0, (), (), term.now_s, term.now_s)
    term.client.reports[-1][-1](result.Success(report))
    wait_s = term.client.reports[-1][5]
    assert 1.2 <= wait_s <= longest_s
    assert wait_s < term.current.policy.report_stale_s - 0.5


@pytest.mark.parametrize("kind", ["report", "start", "stop"])
def test_term_ends_when_a_worker_has_seen_a_later_one(kind):
    """Guards against two schedulers that both act after a change of the holder.

    The store is unreachable for the previous holder, so a worker is the first to tell it.
    """
    term = _Term()
    order = term.place()
    fenced = worker_calls.OrderResult(worker_calls.StartOutcome.FENCED)
    if kind == "report":
        term.exchange.poll_new_workers()
        term.client.reports[-1][-1](result.Failure(exceptions.FencedError("later epoch")))
    elif kind == "start":
        term.exchange.send_start(order)
        term.client.starts[-1](fenced)
    else:
        term.exchange.send_stop(commands.StopRun("w0", order.task, order.number))
        term.client.stops[-1](fenced)
    assert len(term.end_reasons) == 1


def test_report_that_cannot_be_applied_does_not_end_the_polls(monkeypatch):
    """Guards against a worker that is never polled again after one unexpected report."""
    term = _Term()
    term.exchange.poll_new_workers()

    def fail(current, report):
        raise KeyError("unexpected")

    monkeypatch.setattr(exchange.workers, "apply_report", fail)
    report = workers.Report("w0", 1_000, 0, (), (), term.now_s, term.now_s)
    term.client.reports[-1][-1](result.Success(report))
    term.run_later()
    assert len(term.client.reports) == 2


def test_trial_report_that_cannot_be_applied_is_logged(monkeypatch):
    """Guards against one report beside the polls that ends the event thread."""
    term = _Term()
    term.current.workers["w0"].trials.add(model.TaskKey("0" * 16, 0, 0, 0))

    def fail(current, report):
        raise TypeError("unexpected")

    monkeypatch.setattr(workers, "apply_report", fail)
    term.exchange._check_trial("w0")
    report = workers.Report("w0", 1_000, 1, (), (), 1.0, 1.0)
    (*_, callback) = term.client.reports[-1]
    callback(result.Success(report))
    assert term.requested_passes == [True]


def test_first_polls_are_spread():
    """Guards against a new scheduler that loses its term while it polls thousands of workers.

    Load pattern: a VM takes over 3,000 workers. Their first polls take seconds of processor time on
    the thread that also renews the term, and each successor would fail in the same way.
    """
    term = _Term()
    for number in range(3_000):
        term.current.workers[f"x{number}"] = state.WorkerState(
            f"x{number}", "render", "a:1", "z", "r0", frozenset(), _CAPACITY, _CAPACITY
        )
    order = term.place()
    term.exchange.poll_new_workers()
    rounds = [len(term.client.reports)]
    assert term.client.reports[0][1] == order.worker_id
    while term.later:
        term.run_later()
        rounds.append(len(term.client.reports) - sum(rounds))
    assert max(rounds) <= 100
    assert sum(rounds) == 3_001
    term.exchange.poll_new_workers()
    assert len(term.client.reports) == 3_001


@pytest.mark.parametrize("ends", [0, 1])
def test_report_without_change_requests_no_immediate_pass(ends):
    """Guards against passes after each of a thousand reports a second in which nothing changed."""
    term = _Term()
    term.exchange.poll_new_workers()
    ended = tuple(
        workers.EndedRun(n + 1, None, 1, exchange.runs.End.DONE, "done", "") for n in range(ends)
    )
    report = workers.Report("w0", 1_000, 0, (), ended, term.now_s, term.now_s)
    term.client.reports[-1][-1](result.Success(report))
    assert term.requested_passes == [bool(ends)]


@pytest.mark.parametrize(
    ("errors", "delays_s"),
    [
        ([exceptions.OutcomeUnknownError("reset")], [0.0]),
        ([exceptions.OutcomeUnknownError("reset")] * 3, [0.0, 0.3, 0.3]),
        ([exceptions.OutcomeUnknownError("reset"), None] * 2, [0.0, 0.0]),
        ([exceptions.NotSentError("refused")], [0.3]),
        ([exceptions.UnavailableError("status 503")], [0.3]),
    ],
    ids=["one", "three", "one_at_a_time", "not_sent", "refused"],
)
def test_first_lost_report_is_requested_again_at_once(errors, delays_s):
    """Guards against a worker that gets no work, and whose ends wait, after one lost answer.

    Load pattern: some workers lose a share of their answers for seconds. Polls of a worker that
    cannot be reached must not follow each other without a pause.
    """
    term = _Term()
    term.exchange.poll_new_workers()
    for error in errors:
        *_, callback = term.client.reports[-1]
        report = workers.Report("w0", 1_000, 1, (), (), term.now_s, term.now_s)
        callback(result.Success(report) if error is None else result.Failure(error))
        term.run_later()
    assert term.delays_s == delays_s


@pytest.mark.parametrize("kind", ["report", "start", "stop"])
def test_call_that_a_later_call_of_the_term_has_overtaken_does_not_end_the_term(kind):
    """Guards against a term that ends because it has raised the token of a worker itself.

    A call with the earlier token may arrive after one with the raised token, and is refused.
    """
    term = _Term()
    term.current.epoch = fencing.EPOCHS_PER_TERM
    order = term.place()
    fenced = worker_calls.OrderResult(worker_calls.StartOutcome.FENCED)
    if kind == "report":
        term.exchange.poll_new_workers()
    elif kind == "start":
        term.exchange.send_start(order)
    else:
        term.exchange.send_stop(commands.StopRun(order.worker_id, order.task, order.number))
    fencing.raise_token(term.current, term.current.workers["w0"], term.now_s)
    if kind == "report":
        term.client.reports[-1][-1](result.Failure(exceptions.FencedError(0)))
    else:
        (term.client.starts or term.client.stops)[-1](fenced)
    assert term.end_reasons == []


@pytest.mark.parametrize(
    ("error", "is_raised"),
    [
        (exceptions.OutcomeUnknownError("lost"), True),
        (exceptions.NotSentError("refused"), True),
        (exceptions.ProtocolError("malformed"), False),
    ],
    ids=["lost", "refused", "malformed"],
)
def test_lost_poll_raises_the_token(error, is_raised):
    """Guards against a late order that a worker carries out after a restart nobody has noticed."""
    term = _Term()
    term.current.epoch = fencing.EPOCHS_PER_TERM
    term.exchange.poll_new_workers()
    term.client.reports[-1][-1](result.Failure(error))
    term.run_later()
    tokens = [arguments[2] for arguments in term.client.reports]
    assert tokens == ([1, 2] if is_raised else [1, 1])


def test_polls_that_are_not_sent_do_not_use_up_the_tokens():
    """Guards against a term that has no tokens left because a dead worker stays registered."""
    term = _Term()
    term.current.epoch = fencing.EPOCHS_PER_TERM
    term.exchange.poll_new_workers()
    for _ in range(5):
        term.client.reports[-1][-1](result.Failure(exceptions.NotSentError("refused")))
        term.run_later()
    assert term.current.max_token_raises == 1


@pytest.mark.parametrize(
    ("is_lost", "clock_ms", "expected"),
    [(False, 1_000, 7), (True, 1_000, 0), (False, 500, 0)],
    ids=["in_touch", "lost_poll", "other_clock"],
)
def test_ends_are_not_acknowledged_to_a_worker_that_may_have_restarted(is_lost, clock_ms, expected):
    """Guards against a success that is lost, and whose task runs again, after a restart.

    The next incarnation numbers its ends anew and discards those up to the acknowledged number,
    which belongs to the former one.
    """
    term = _Term()
    worker = term.current.workers["w0"]
    worker.incarnation.processed_end = worker.incarnation.durable_end = 7
    order = term.place()
    term.exchange.send_start(order)
    started = worker_calls.OrderResult(worker_calls.StartOutcome.STARTED, clock_ms)
    term.client.starts[-1](started)
    term.exchange.poll_new_workers()
    assert term.client.reports[-1][3] == expected or is_lost
    if is_lost:
        term.client.reports[-1][-1](result.Failure(exceptions.OutcomeUnknownError("lost")))
        term.run_later()
    assert term.client.reports[-1][3] == expected
    listed = workers.ListedRun(order.task, "", order.number, "", 1)
    report = workers.Report("w0", 2_000, 0, (listed,), (), term.now_s, term.now_s)
    term.client.reports[-1][-1](result.Success(report))
    assert term.client.reports[-1][3] == 7
