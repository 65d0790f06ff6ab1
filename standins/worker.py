"""Stand-in of a worker."""

import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

import msgspec
from werkzeug import routing, wrappers

from standins import faults as faults_module
from standins import serving, tasks

__all__ = ["WorkerStandin", "main"]

_ROUTES = routing.Map(
    [
        routing.Rule("/v1/tasks/<task_id>", methods=["PUT"], endpoint="put"),
        routing.Rule("/v1/tasks/<task_id>", methods=["DELETE"], endpoint="delete"),
        routing.Rule("/v1/tasks/<task_id>/start", methods=["POST"], endpoint="start"),
        routing.Rule("/v1/tasks/<task_id>/stop", methods=["POST"], endpoint="stop"),
        routing.Rule("/v1/tasks/<task_id>/answer", methods=["GET"], endpoint="answer"),
        routing.Rule("/v1/fence", methods=["POST"], endpoint="fence"),
        routing.Rule("/v1/events", methods=["GET"], endpoint="events"),
    ]
)
_MAX_POLL_WAIT_S = 30.0
# A pending poll occupies a thread, also after its client has abandoned it. Above this number, the
# oldest poll is answered early.
_MAX_POLLS = 4


class _StartBody(msgspec.Struct):
    epoch: int


class _StopBody(msgspec.Struct):
    epoch: int
    mode: str = "kill"
    grace_s: float = 0.0


class _FenceBody(msgspec.Struct):
    partition: str
    epoch: int
    lease_s: float = 60.0


class WorkerStandin:
    """Worker over HTTP. One timer thread serves all tasks.

    The answer faults ``cut_answers``, ``wrong_digests`` and ``wrong_requests``, and the switches
    ``stalled`` (the worker process is suspended), ``fail_everything`` and ``checkpoint_on_stop``
    are set with ``faults`` or over ``/control/faults``. ``POST /control/leave`` and
    ``/control/lapse`` call ``leave`` and ``lapse_leases``; ``GET /control/starts`` returns the
    number of starts.

    Attributes:
        faults: Fault switches.
        address: ``host:port`` after ``start``.
    """

    def __init__(
        self,
        slots: int = 8,
        accelerators: int = 8,
        port: int = 0,
        threads: int = 12,
        monotonic_s: Callable[[], float] = time.monotonic,
    ):
        self.faults = faults_module.Faults(self._notify_waiters)
        self.application = faults_module.FaultyApplication(
            self._serve, self.faults, self._serve_control
        )
        self.address = ""
        self._server = serving.Server(self.application, port, threads)
        self._state = tasks.WorkerState(slots, accelerators)
        self._clock = monotonic_s
        self._changed = threading.Condition()
        self._instance = uuid.uuid4().hex[:8]
        self._pending_polls: list[int] = []
        self._poll_count = 0
        self._is_stopped = False
        self._timer = threading.Thread(target=self._run_timers, name="worker-timer", daemon=True)

    def start(self) -> None:
        """Starts serving."""
        self._server.start()
        self.address = self._server.address
        self._timer.start()

    def stop(self) -> None:
        """Stops serving; the tasks are kept only in this object."""
        self.faults.set(stalled=False)
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()
        self._server.stop()
        self._timer.join(5.0)

    def leave(self, leaving: bool = True) -> None:
        """Makes the worker refuse new tasks and announce its departure, or reverts that."""
        with self._changed:
            self._state.leaving = leaving
            self._changed.notify_all()

    def lapse_leases(self) -> None:
        """Makes all leases expire now."""
        with self._changed:
            self._state.lapse_leases(self._clock())
            self._changed.notify_all()

    def get_starts(self) -> dict[str, dict[int, int]]:
        """Returns the number of task starts, by request identifier and member."""
        counts: dict[str, dict[int, int]] = {}
        with self._changed:
            for (request_id, member), count in self._state.starts.items():
                counts.setdefault(request_id, {})[member] = count
        return counts

    def list_tasks(self) -> dict[str, tasks.TaskState]:
        """Returns the state of each task that has not been deleted."""
        with self._changed:
            self._state.advance(self._clock())
            return {task_id: task.state for task_id, task in self._state.tasks.items()}

    def _notify_waiters(self) -> None:
        with self._changed:
            self._changed.notify_all()

    def _run_timers(self) -> None:
        """Executes due timers and notifies the pending polls of new events."""
        with self._changed:
            while not self._is_stopped:
                due_s = self._state.get_next_due_s()
                self._changed.wait(None if due_s is None else max(0.0, due_s - self._clock()))
                if self.faults.get().stalled:
                    # A suspended process executes nothing; due timers wait until it resumes.
                    self._changed.wait(0.02)
                    continue
                seq = self._state.last_seq
                self._state.advance(self._clock())
                if self._state.last_seq != seq:
                    self._changed.notify_all()

    def _serve_control(self, request: wrappers.Request) -> wrappers.Response:
        if request.path == "/control/starts":
            return faults_module.make_json_response(self.get_starts())
        if request.path == "/control/leave":
            self.leave()
        elif request.path == "/control/lapse":
            self.lapse_leases()
        else:
            return faults_module.make_json_response({"error": "no such path"}, 404)
        return faults_module.make_json_response({})

    def _serve(self, request: wrappers.Request) -> wrappers.Response:
        endpoint, arguments = _ROUTES.bind_to_environ(request.environ).match()
        if endpoint == "events":
            return self._serve_poll(request)
        if endpoint == "answer":
            return self._serve_answer(request, arguments["task_id"])
        try:
            reply = self._handle_order(endpoint, arguments.get("task_id", ""), request)
        except (msgspec.DecodeError, ValueError, TypeError) as error:
            return faults_module.make_json_response({"error": str(error)}, 400)
        if endpoint == "delete":
            body = {**reply.body, "instance": self._instance}
            return faults_module.make_json_response(body, reply.status)
        return faults_module.make_json_response(reply.body, reply.status)

    def _handle_order(self, endpoint: str, task_id: str, request: wrappers.Request) -> tasks.Reply:
        data = request.get_data()
        with self._changed:
            seq, now_s, state = self._state.last_seq, self._clock(), self._state
            switches = self.faults.get()
            state.fail_everything = switches.fail_everything
            state.checkpoint_on_stop = switches.checkpoint_on_stop
            due_s = state.get_next_due_s()
            if endpoint == "put":
                reply = state.put_task(task_id, msgspec.json.decode(data, type=tasks.Order), now_s)
            elif endpoint == "start":
                body = msgspec.json.decode(data, type=_StartBody)
                reply = state.start_task(task_id, body.epoch, now_s)
            elif endpoint == "stop":
                stop = msgspec.json.decode(data, type=_StopBody)
                reply = state.stop_task(task_id, stop.epoch, stop.mode, stop.grace_s, now_s)
            elif endpoint == "fence":
                fence = msgspec.json.decode(data, type=_FenceBody)
                reply = state.fence(fence.partition, fence.epoch, fence.lease_s, now_s)
            else:
                epoch = int(request.args.get("epoch", "0"))
                reply = state.delete_task(task_id, epoch, request.args.get("partition"), now_s)
            if state.last_seq != seq or state.get_next_due_s() != due_s:
                self._changed.notify_all()
        return reply

    def _serve_poll(self, request: wrappers.Request) -> wrappers.Response:
        after = request.args.get("after", 0, int)
        wait_s = min(request.args.get("wait_s", 0.0, float), _MAX_POLL_WAIT_S)
        with self._changed:
            state = self._state
            state.advance(self._clock())
            leaving = state.leaving
            self._poll_count += 1
            poll_number = self._poll_count
            self._pending_polls.append(poll_number)
            if len(self._pending_polls) > _MAX_POLLS:
                del self._pending_polls[0]
                self._changed.notify_all()
            # A sequence number above that of the newest event comes from before a restart of the
            # worker, or asks for the current number; both polls are answered immediately.
            self._changed.wait_for(
                lambda: (
                    state.last_seq != after
                    or state.leaving != leaving
                    or self._is_stopped
                    or self.faults.get().down
                    or poll_number not in self._pending_polls
                ),
                wait_s,
            )
            if poll_number in self._pending_polls:
                self._pending_polls.remove(poll_number)
            body: dict[str, Any] = {
                "next": state.last_seq,
                "events": state.list_events(after, self._clock()),
                "leaving": state.leaving,
                "usage": state.get_usage(self._clock()),
                "instance": self._instance,
            }
        # A process that was suspended while the poll was pending answers only after it resumes.
        self.faults.wait_while_stalled()
        return faults_module.make_json_response(body)

    def _serve_answer(self, request: wrappers.Request, task_id: str) -> wrappers.Response:
        with self._changed:
            self._state.advance(self._clock())
            task = self._state.tasks.get(task_id)
            if task is None or task.state is not tasks.TaskState.FINISHED:
                return faults_module.make_json_response({"error": "no answer"}, 404)
            answer, request_id = task.answer, task.order.request_id
        return faults_module.make_answer_response(request, answer, request_id, self.faults)


def main() -> None:
    """Runs workers until a signal arrives."""
    parser = serving.create_parser(__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--accelerators", type=int, default=8)
    parser.add_argument(
        "--count", type=int, default=1, help="number of workers, each on its own port"
    )
    parser.add_argument("--threads", type=int, default=12, help="server threads of each worker")
    arguments = parser.parse_args()
    serving.run_until_stopped(
        "worker",
        [
            WorkerStandin(
                arguments.slots,
                arguments.accelerators,
                arguments.port if number == 0 else 0,
                arguments.threads,
            )
            for number in range(arguments.count)
        ],
    )


if __name__ == "__main__":
    main()
