"""Contract tests of the worker pool against the worker stand-in."""

import queue
import random
import time

import pytest
from returns import result

from lycheegate.clients import http, workers
from lycheegate.core import commands, events
from lycheegate.model import resources
from lycheegate.utils import exceptions
from standins import worker as worker_standin

_WAIT_S = 20.0
_PLACE = resources.MemberPlacement("w1", 0, 2)
_FAST = workers.WorkerSettings(
    poll_wait_s=0.2, loss_timeout_s=0.6, check_interval_s=0.02, connect_timeout_s=0.3
)
_LONG = {"run_s": 600}


class _Owner:
    """Pool of one worker, with the events it has emitted."""

    def __init__(self, standin, epoch=1, settings=_FAST, monotonic_s=time.monotonic):
        self.standin = standin
        self.client = http.HttpClient()
        self.emitted: queue.Queue = queue.Queue()
        self.received: list[events.Event] = []
        self.fenced: queue.Queue = queue.Queue()
        self.pool = workers.WorkerPool(
            self.client,
            "p",
            epoch,
            self.emitted.put,
            self.fenced.put,
            random.Random(5),
            settings,
            monotonic_s,
        )
        self.pool.add(resources.Worker("w1", standin.address, "r", "dc", "rack", 1, 1))
        self.report = self.wait_for(events.WorkerReported)
        self.pool.accept_orders("w1")

    def wait_for(self, kind, **fields):
        """Waits for an event of a kind, and returns it; earlier ones are kept in ``received``."""
        ends_s = time.monotonic() + _WAIT_S
        while True:
            event = self.emitted.get(timeout=max(0.01, ends_s - time.monotonic()))
            self.received.append(event)
            if isinstance(event, kind):
                assert all(getattr(event, name) == value for name, value in fields.items())
                return event

    def hold(self, task_id, payload=_LONG, start=True, place=_PLACE):
        request_id = task_id.split(".")[0]
        self.pool.hold(commands.HoldTask(task_id, request_id, 0, place, start), "x", payload)

    def close(self):
        self.pool.close()
        self.client.close()


@pytest.fixture(name="standin")
def _standin():
    standin = worker_standin.WorkerStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture(name="owner")
def _owner(standin):
    owner = _Owner(standin)
    yield owner
    owner.close()


@pytest.mark.parametrize(
    ("payload", "start", "kinds"),
    [
        ({"run_s": 0.05}, True, [events.TaskStarted, events.TaskFinished]),
        ({"run_s": 0.05, "fail": "no input"}, True, [events.TaskStarted, events.TaskFailed]),
        (_LONG, False, [events.TaskHeld]),
    ],
)
def test_task_events(owner, payload, start, kinds):
    """Guards against a state of a task that is emitted never, twice or out of order."""
    owner.hold("a.0", payload, start)
    for kind in kinds:
        owner.wait_for(kind, task_id="a.0")
    # The event of another task comes after all events of the first one.
    owner.hold("z.0", place=resources.MemberPlacement("w1", 4, 1))
    owner.wait_for(events.TaskStarted, task_id="z.0")
    assert [type(event) for event in owner.received[1:-1]] == kinds


@pytest.mark.parametrize(
    ("arrange", "reason"),
    [
        (lambda owner: owner.standin.leave(), events.Refusal.LEAVING),
        (lambda owner: owner.pool.mark_leaving("w1"), events.Refusal.LEAVING),
        (lambda owner: owner.hold("b.0"), events.Refusal.CAPACITY),
        (
            lambda owner: owner.pool.release(commands.ReleaseTask("a.0", "w1")),
            events.Refusal.TOMBSTONE,
        ),
        (lambda owner: owner.standin.faults.set(refused=True), events.Refusal.UNREACHABLE),
        (lambda owner: owner.standin.faults.set(down=True), events.Refusal.UNREACHABLE),
        (lambda owner: owner.pool.remove("w1"), events.Refusal.UNREACHABLE),
    ],
)
def test_refusals(owner, arrange, reason):
    """Guards against a refused order that is reported as accepted or with a wrong reason."""
    arrange(owner)
    if reason is events.Refusal.TOMBSTONE:
        owner.wait_for(events.TaskReleased, task_id="a.0", started=False)
    if reason is events.Refusal.CAPACITY:
        owner.wait_for(events.TaskStarted, task_id="b.0")
    owner.hold("a.0")
    owner.wait_for(events.TaskRefused, task_id="a.0", reason=reason)
    assert "a" not in owner.standin.get_starts()


@pytest.mark.parametrize(
    ("mode", "can_checkpoint", "checkpointed"),
    [
        (commands.StopMode.CHECKPOINT, True, True),
        (commands.StopMode.CHECKPOINT, False, False),
        (commands.StopMode.KILL, True, False),
    ],
)
def test_stop(owner, mode, can_checkpoint, checkpointed):
    """Guards against a stop that is not reported, or reported with a checkpoint never made."""
    owner.standin.faults.set(checkpoint_on_stop=can_checkpoint)
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted)
    owner.pool.stop(commands.StopTask("a.0", "w1", mode, 0.05))
    owner.wait_for(events.TaskStopped, task_id="a.0", checkpointed=checkpointed)
    owner.pool.release(commands.ReleaseTask("a.0", "w1"))
    owner.wait_for(events.TaskReleased, task_id="a.0", started=True)


def test_lease_expiry(owner):
    """Guards against a task whose stop by an expired lease is not detected."""
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted)
    owner.standin.lapse_leases()
    owner.wait_for(events.TaskStopped, task_id="a.0", checkpointed=True)


def test_renew_leases(standin):
    """Guards against tasks that lose their lease although their owner is live."""
    settings = workers.WorkerSettings(poll_wait_s=0.1, lease_s=1.0)
    owner = _Owner(standin, settings=settings)
    owner.hold("a.0", {"run_s": 3.0})
    owner.wait_for(events.TaskStarted)
    owner.wait_for(events.TaskFinished)
    assert not any(isinstance(event, events.TaskStopped) for event in owner.received)
    owner.close()


_LOST_ORDERS = {
    "hold": (
        lambda owner: owner.hold("b.0", place=resources.MemberPlacement("w1", 2, 1)),
        events.TaskStarted,
    ),
    "start": (
        lambda owner: owner.pool.start(commands.StartTask("a.0", "w1")),
        events.TaskStarted,
    ),
    "stop": (
        lambda owner: owner.pool.stop(commands.StopTask("a.0", "w1", commands.StopMode.KILL, 0.0)),
        events.TaskStopped,
    ),
    "release": (
        lambda owner: owner.pool.release(commands.ReleaseTask("a.0", "w1")),
        events.TaskReleased,
    ),
}


@pytest.mark.parametrize("poll_first", [False, True])
@pytest.mark.parametrize("switch", ["lose_answers", "lose_requests"])
@pytest.mark.parametrize("order", list(_LOST_ORDERS))
def test_lost_messages(owner, switch, order, poll_first):
    """Guards against an order that has no effect, or a double effect, after a lost message.

    The fault hits the order or a poll. In the second case the worker is reported again, and the
    owner gives the order once it has applied the report.
    """
    give_order, kind = _LOST_ORDERS[order]
    owner.hold("a.0", start=order == "stop")
    owner.wait_for((events.TaskHeld, events.TaskStarted))
    owner.standin.faults.set(**{switch: 1})
    if not poll_first:
        give_order(owner)
    event = owner.wait_for((kind, events.TaskRefused, events.WorkerReported))
    if isinstance(event, events.WorkerReported):
        owner.pool.accept_orders("w1")
        give_order(owner)
        event = owner.wait_for((kind, events.TaskRefused))
    assert isinstance(event, kind)
    assert all(count == {0: 1} for count in owner.standin.get_starts().values())


@pytest.mark.parametrize(
    ("switches", "is_invalid"),
    [
        ({"cut_answers": 1}, False),
        ({"wrong_digests": 2}, False),
        ({"wrong_requests": 1}, False),
        ({"lose_answers": 1}, False),
        ({"cut_answers": 99}, True),
        ({"wrong_digests": 99}, True),
        ({"wrong_requests": 99}, True),
        ({"refused": True}, True),
    ],
)
def test_fetch_answer(owner, switches, is_invalid):
    """Guards against returning an answer that is cut, altered or of another request."""
    owner.hold("a.0", {"answer_bytes": 100_000})
    owner.wait_for(events.TaskFinished)
    owner.standin.faults.set(**switches)
    outcome = owner.pool.fetch_answer("w1", "a.0", "a").result(_WAIT_S)
    if is_invalid:
        assert isinstance(
            outcome.failure(), (exceptions.ProtocolError, exceptions.UnavailableError)
        )
    else:
        assert outcome.unwrap() == b"a" * 100_000


@pytest.mark.parametrize(("task_id", "worker_id"), [("none.0", "w1"), ("a.0", "other")])
def test_fetch_missing_answer(owner, task_id, worker_id):
    """Guards against a fetch that waits for an answer that does not exist."""
    outcome = owner.pool.fetch_answer(worker_id, task_id, "a").result(_WAIT_S)
    assert isinstance(outcome.failure(), exceptions.UnavailableError)


def test_answer_too_large(standin):
    """Guards against an answer that fills the memory of the entry VM."""
    owner = _Owner(standin, settings=workers.WorkerSettings(max_answer_bytes=1000))
    owner.hold("a.0", {"answer_bytes": 1001})
    owner.wait_for(events.TaskFinished)
    outcome = owner.pool.fetch_answer("w1", "a.0", "a").result(_WAIT_S)
    assert isinstance(outcome, result.Failure)
    owner.close()


def test_leaving_worker_is_reported(owner):
    """Guards against work that is placed on a worker that has announced its departure."""
    owner.standin.leave()
    owner.wait_for(events.WorkerLeaving, worker_id="w1")


def test_takeover(standin, owner):
    """Guards against orders of a former owner that take effect after the worker was fenced."""
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted)
    successor = _Owner(standin, epoch=2)
    assert [task.task_id for task in successor.report.tasks] == ["a.0"]
    owner.hold("b.0", place=resources.MemberPlacement("w1", 2, 1))
    assert owner.fenced.get(timeout=_WAIT_S) == 2
    assert "b" not in standin.get_starts()
    successor.pool.stop(commands.StopTask("a.0", "w1", commands.StopMode.KILL, 0.0))
    successor.wait_for(events.TaskStopped, task_id="a.0")
    successor.close()


def test_reconnect_to_paused_worker(owner):
    """Guards against a paused worker that is not detected, or executes late orders on its return.

    The order to the paused worker is resolved before the worker is reported: its task is either in
    the report or can no longer start.
    """
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted)
    owner.standin.faults.set(stalled=True)
    owner.hold("b.0", place=resources.MemberPlacement("w1", 2, 1))
    owner.wait_for(events.WorkerLost, worker_id="w1")
    owner.standin.faults.set(stalled=False)
    report = owner.wait_for(events.WorkerReported)
    states = {task.task_id: task.state for task in report.tasks}
    assert states["a.0"] is events.TaskState.RUNNING
    if "b.0" not in states:
        assert "b" not in owner.standin.get_starts()
    owner.hold("c.0", place=resources.MemberPlacement("w1", 3, 1))
    owner.wait_for(events.TaskRefused, task_id="c.0", reason=events.Refusal.UNREACHABLE)
    owner.pool.accept_orders("w1")
    owner.hold("d.0", place=resources.MemberPlacement("w1", 3, 1))
    owner.wait_for(events.TaskStarted, task_id="d.0")


def test_own_pause_loses_no_worker(standin):
    """Guards against an owner that reports all workers as lost after its own suspension."""
    suspended_s = [0.0]
    owner = _Owner(standin, monotonic_s=lambda: time.monotonic() + suspended_s[0])
    with owner.pool._context.lock:
        # The lock keeps answers from being handled between the pause and the check.
        suspended_s[0] = 60.0
        owner.pool._check_losses()
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted, task_id="a.0")
    assert not any(isinstance(event, events.WorkerLost) for event in owner.received)
    owner.close()


def test_repeat_release(standin):
    """Guards against a release that is abandoned, so that the task identifier remains usable."""
    settings = workers.WorkerSettings(poll_wait_s=0.2, loss_timeout_s=15.0, order_timeout_s=0.2)
    owner = _Owner(standin, settings=settings)
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted)
    standin.faults.set(refused=True)
    owner.pool.release(commands.ReleaseTask("a.0", "w1"))
    while owner.pool._links["w1"].pending_orders:
        time.sleep(0.01)
    standin.faults.clear()
    # The poll was refused as well, so the worker is reported first.
    assert [task.task_id for task in owner.wait_for(events.WorkerReported).tasks] == ["a.0"]
    owner.pool.accept_orders("w1")
    owner.wait_for(events.TaskReleased, task_id="a.0", started=True)
    owner.close()


def test_delete_unresolved_order_before_the_report(owner):
    """Guards against a report that omits a task which starts later.

    All attempts of the order are lost without effect, so its outcome is unknown to the pool.
    """
    owner.standin.faults.set(lose_requests=1000)
    owner.hold("a.0")
    owner.wait_for(events.WorkerLost)
    owner.standin.faults.set(lose_requests=0)
    report = owner.wait_for(events.WorkerReported)
    assert report.tasks == ()
    # The tombstone of the deleted task refuses an order that arrives late.
    owner.pool.accept_orders("w1")
    owner.hold("a.0")
    owner.wait_for(events.TaskRefused, task_id="a.0", reason=events.Refusal.TOMBSTONE)
    assert owner.standin.get_starts() == {}


@pytest.mark.parametrize("busy", [True, False])
def test_restarted_worker(standin, owner, busy):
    """Guards against a worker whose restart, and loss of tasks, is not detected."""
    if busy:
        owner.hold("a.0")
        owner.wait_for(events.TaskStarted)
    port = int(standin.address.rpartition(":")[2])
    standin.stop()
    restarted = worker_standin.WorkerStandin(port=port)
    restarted.start()
    try:
        report = owner.wait_for(events.WorkerReported)
        assert (report.tasks, report.restarted) == ((), True)
    finally:
        # The threads of a running server would keep the test process from exiting.
        restarted.stop()
    owner.wait_for(events.WorkerLost)


def test_event_gap(standin, owner):
    """Guards against events that the worker has dropped and no report replaces."""
    owner.hold("a.0")
    owner.wait_for(events.TaskStarted)
    with standin._changed:
        standin._state.last_seq += 3
    assert [task.task_id for task in owner.wait_for(events.WorkerReported).tasks] == ["a.0"]


def test_remove(owner):
    """Guards against a worker that is removed from the VM list but not reported as lost."""
    owner.pool.remove("w1")
    owner.wait_for(events.WorkerLost, worker_id="w1")
