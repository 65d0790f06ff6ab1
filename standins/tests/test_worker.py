"""Tests of the worker stand-in."""

import json
import urllib.error
import urllib.request

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from standins import tasks, worker

_TASK_IDS = st.sampled_from([f"{name}.0" for name in "abcdefgh"])
# Relative to the highest epoch so far: with absolute epochs, nearly all orders were fenced and no
# started task was ever deleted.
_EPOCH_STEPS = st.sampled_from([0, 0, 0, 0, -1, 1])


class Fencing(stateful.RuleBasedStateMachine):
    """Orders from owners with different epochs to one worker."""

    def __init__(self):
        super().__init__()
        self.state = tasks.WorkerState(slots=4, accelerators=8)
        self.now_s = 0.0
        self.highest = 1
        self.state.fence("p", 1, 20.0, 0.0)
        self.deleted: dict[str, bool] = {}
        self.started: set[str] = set()

    def _check_fencing(self, epoch: int, reply: tasks.Reply) -> bool:
        """Checks that exactly lower epochs are refused; returns whether the order was accepted."""
        fenced = reply.status == 409 and reply.body.get("error") == "fenced"
        assert fenced == (epoch < self.highest)
        if fenced:
            assert reply.body["epoch"] == self.highest
        else:
            self.highest = epoch
        return not fenced

    @stateful.rule(
        task_id=_TASK_IDS,
        epoch_step=_EPOCH_STEPS,
        state=st.sampled_from(["held", "running"]),
        run_s=st.sampled_from([0.0, 5.0]),
    )
    def put(self, task_id, epoch_step, state, run_s):
        """Assigns a task whose request identifier equals the task identifier."""
        epoch = self.highest + epoch_step
        order = tasks.Order(
            request_id=task_id,
            partition="p",
            epoch=epoch,
            lease_s=20.0,
            state=tasks.TaskState(state),
            payload={"run_s": run_s},
        )
        known = task_id in self.state.tasks
        reply = self.state.put_task(task_id, order, self.now_s)
        if not self._check_fencing(epoch, reply):
            return
        if task_id in self.deleted:
            assert (reply.status, reply.body) == (409, {"error": "tombstone"})
        elif known:
            assert reply.status == 200
        else:
            assert reply.status in (201, 507)
            if reply.status == 201 and state == "running":
                self.started.add(task_id)

    @stateful.rule(task_id=_TASK_IDS, epoch_step=_EPOCH_STEPS)
    def start(self, task_id, epoch_step):
        """Starts a task."""
        epoch = self.highest + epoch_step
        known = task_id in self.state.tasks
        reply = self.state.start_task(task_id, epoch, self.now_s)
        if not known:
            assert reply.status == (409 if task_id in self.deleted else 404)
        elif self._check_fencing(epoch, reply) and reply.status == 200:
            self.started.add(task_id)

    @stateful.rule(
        task_id=_TASK_IDS, epoch_step=_EPOCH_STEPS, mode=st.sampled_from(["checkpoint", "kill"])
    )
    def stop(self, task_id, epoch_step, mode):
        """Stops a task."""
        epoch = self.highest + epoch_step
        known = task_id in self.state.tasks
        reply = self.state.stop_task(task_id, epoch, mode, 1.0, self.now_s)
        if known and self._check_fencing(epoch, reply):
            assert self.state.tasks[task_id].state not in ("held", "running")

    @stateful.rule(task_id=_TASK_IDS, epoch_step=_EPOCH_STEPS)
    def delete(self, task_id, epoch_step):
        """Deletes a task and checks that the reply states whether it ever started."""
        epoch = self.highest + epoch_step
        reply = self.state.delete_task(task_id, epoch, "p", self.now_s)
        if self._check_fencing(epoch, reply):
            assert reply.body == {"started": task_id in self.started}
            self.deleted[task_id] = task_id in self.started

    @stateful.rule(epoch_step=_EPOCH_STEPS)
    def fence(self, epoch_step):
        """Fences the worker and checks the list of tasks in the reply."""
        epoch = self.highest + epoch_step
        reply = self.state.fence("p", epoch, 20.0, self.now_s)
        if self._check_fencing(epoch, reply):
            assert {task["task_id"] for task in reply.body["tasks"]} == set(self.state.tasks)

    @stateful.rule(step_s=st.sampled_from([1.0, 10.0, 30.0]))
    def advance(self, step_s):
        """Advances the time, so that tasks end and leases expire."""
        self.now_s += step_s
        self.state.advance(self.now_s)

    @stateful.invariant()
    def started_at_most_once(self):
        """Checks that no task starts twice or exists after its deletion."""
        assert all(count == 1 for count in self.state.starts.values())
        assert {request_id for request_id, _ in self.state.starts} == self.started
        assert not set(self.deleted) & set(self.state.tasks)

    @stateful.invariant()
    def events_are_complete(self):
        """Checks that events have no gaps and that the last one of a task gives its state."""
        listed = self.state.list_events(0, self.now_s)
        assert [event["seq"] for event in listed] == list(range(1, self.state.last_seq + 1))
        last = {event["task_id"]: event["state"] for event in listed}
        assert all(last[key] == task.state for key, task in self.state.tasks.items())


class TestFencing(Fencing.TestCase):
    """Guards against orders from an earlier owner, or to a deleted task, that take effect."""

    settings = hypothesis.settings(
        max_examples=150, stateful_step_count=40, derandomize=True, deadline=None, database=None
    )


@pytest.fixture(name="standin")
def _standin():
    standin = worker.WorkerStandin(accelerators=2)
    standin.start()
    yield standin
    standin.stop()


def _call(standin, method, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{standin.address}{path}", data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def _order(**changes):
    order = {"request_id": "r", "partition": "p", "epoch": 1, "payload": {}, "accelerators": [0]}
    return order | changes


@pytest.mark.parametrize(
    ("prepare_worker", "order", "expected"),
    [
        (lambda s: None, _order(), (201, {"state": "finished"})),
        (lambda s: None, _order(payload={"run_s": 60}), (201, {"state": "running"})),
        (lambda s: None, _order(state="held"), (201, {"state": "held"})),
        (lambda s: None, _order(payload={"fail": "bad input"}), (201, {"state": "failed"})),
        (lambda s: s.faults.set(fail_everything=True), _order(), (201, {"state": "failed"})),
        (lambda s: s.leave(), _order(), (503, {"error": "leaving"})),
        (lambda s: None, _order(accelerators=[2]), (507, {"error": "capacity"})),
        (lambda s: s.faults.set(refused=True), _order(), (503, {"error": "unavailable"})),
    ],
)
def test_order(standin, prepare_worker, order, expected):
    """Guards against replies to an order that deviate from the protocol."""
    prepare_worker(standin)
    assert _call(standin, "PUT", "/v1/tasks/a.0", order) == expected


@pytest.mark.parametrize(
    ("can_checkpoint", "payload", "checkpointed"),
    [
        (True, {"run_s": 60}, True),
        (False, {"run_s": 60}, False),
        (True, {"run_s": 60, "checkpoint": False}, False),
        (True, {"run_s": 60, "checkpoint_s": 9}, False),
    ],
)
def test_stop_with_checkpoint(standin, can_checkpoint, payload, checkpointed):
    """Guards against the report of a checkpoint that the task could not write."""
    standin.faults.set(checkpoint_on_stop=can_checkpoint)
    _call(standin, "PUT", "/v1/tasks/a.0", _order(payload=payload))
    stop = {"epoch": 1, "mode": "checkpoint", "grace_s": 0.01}
    _call(standin, "POST", "/v1/tasks/a.0/stop", stop)
    _, body = _call(standin, "GET", "/v1/events?after=1&wait_s=10")
    assert body["events"][-1]["state"] == "stopped"
    assert body["events"][-1].get("checkpoint", False) == checkpointed


def test_poll_wakes_for_events_and_for_leaving(standin):
    """Guards against a long poll that misses an event or the departure of the worker."""
    _call(standin, "PUT", "/v1/tasks/a.0", _order(payload={"run_s": 0.05}))
    _, body = _call(standin, "GET", "/v1/events?after=1&wait_s=30")
    assert [event["state"] for event in body["events"]] == ["finished"]
    assert _call(standin, "POST", "/control/leave")[0] == 200
    _, body = _call(standin, "GET", "/v1/events?after=2&wait_s=0")
    assert body["leaving"]
    # A sequence number from before a restart is answered immediately.
    assert _call(standin, "GET", "/v1/events?after=99&wait_s=30")[1]["next"] == 2


def test_lease_expiry_stops_the_task(standin):
    """Guards against a task that keeps running after its lease has expired."""
    _call(standin, "PUT", "/v1/tasks/a.0", _order(payload={"run_s": 60}, lease_s=60))
    _call(standin, "POST", "/control/lapse")
    assert standin.list_tasks() == {"a.0": "stopped"}
    assert standin.get_starts() == {"r": {0: 1}}


def test_faults_over_http(standin):
    """Guards against a control path that is subject to faults or accepts unknown switches."""
    status, body = _call(standin, "PUT", "/control/faults", {"refused": True})
    assert (status, body["refused"]) == (200, True)
    assert _call(standin, "PUT", "/control/faults", {"reboot": 1})[0] == 400
    assert _call(standin, "GET", "/v1/events")[0] == 503
    assert _call(standin, "DELETE", "/control/faults")[1]["refused"] is False
    assert _call(standin, "GET", "/v1/events")[0] == 200
