"""Simulation of workers, request table and daemon that drives the engine in tests.

Each order takes its outcome from the queue ``delivery_outcomes``, and succeeds if the queue is
empty. Time advances in steps of 0.25 s, with a tick at every second step.
"""

import collections

from lycheegate.core import commands, engine, events, policy
from lycheegate.core.tests import fakes
from lycheegate.model import requests

STEP_S = 0.25


class World:
    """Simulated workers, request table and owners, with faults.

    ``owner`` is the current owner. ``previous_owner`` continues to send orders until a worker
    refuses its epoch.

    Attributes:
        table_epoch: Epoch of the current owner in the table.
        refused_records: Number of the next writes of attempts that are rejected.
        records: Rows of the request table by request.
        delivery_outcomes: Outcomes of the next orders, from ``fakes.DELIVERY_OUTCOMES``.
        late: Events delivered in the next step, each with the epoch of its owner.
        late_orders: Orders delivered in the next step, each with its owner and connection.
        store_writes: Writes not processed yet, each with the epoch of its owner.
        releases: Release orders not delivered yet, each with the epoch of its owner.
        runs: Attempts that have started, by request.
        run_s: Run time of the tasks of each request.
        bad_jobs: Requests whose tasks fail.
        partial_since_s: Since when each partially running gang has been so, by attempt.
    """

    def __init__(
        self, workers: int = 3, settings: policy.PolicySettings | None = None, core=engine
    ):
        self.core = core
        self.settings = settings or policy.PolicySettings(outcome_wait_s=6.0, probe_interval_s=2.0)
        self.now_s = 0.0
        self.steps = 0
        self.table_epoch = 0
        self.store_up = True
        self.refused_records = 0
        self.records: dict[str, fakes.Record] = {}
        self.workers = {
            f"w{n}": fakes.FakeWorker(fakes.make_worker(f"w{n}")) for n in range(workers)
        }
        self.delivery_outcomes: collections.deque[str] = collections.deque()
        self.late: list[tuple[int, events.Event]] = []
        self.late_orders: list[tuple[fakes.Owner, int, commands.Command]] = []
        self.store_writes: list[tuple[int, commands.Command]] = []
        self.releases: list[tuple[int, commands.ReleaseTask]] = []
        self.past_events: collections.deque[events.Event] = collections.deque(maxlen=50)
        self.runs: dict[str, set[str]] = collections.defaultdict(set)
        self.run_s: dict[str, float] = {}
        self.bad_jobs: set[str] = set()
        self.commands: list[commands.Command] = []
        self.partial_since_s: dict[str, float] = {}
        self.taken_over_at_s = 0.0
        self.release: events.ReleaseApplied | None = None
        self.owner: fakes.Owner | None = None
        self.previous_owner: fakes.Owner | None = None
        self.take_over()

    # Owners.

    def take_over(self, requests_first: bool = False) -> None:
        """Starts a new owner; the previous one continues until a worker refuses its epoch."""
        self.previous_owner = self.owner
        self.table_epoch += 1
        state = self.core.create_state("suwon/0", self.settings, seed=7)
        self.owner = fakes.Owner(state, self.table_epoch)
        self.taken_over_at_s = self.now_s
        # The daemon resubmits a request only after it has read that its record has no end.
        submissions = (events.RequestSubmitted, events.RecoveredRequest)
        kept = [event for event in self.past_events if not isinstance(event, submissions)]
        self.past_events.clear()
        self.past_events.extend(kept)
        self.send(self.owner, events.EpochGained(self.table_epoch))
        if self.release is not None:
            self.send(self.owner, self.release)
        if requests_first:
            self.send_recovered()
        for worker in self.workers.values():
            worker.known_lost = False
            self.fence(worker)
        if not requests_first:
            self.send_recovered()
        self.send(self.owner, events.Tick())

    def send_recovered(self) -> None:
        """Sends the owner the requests that have not ended."""
        for record in list(self.records.values()):
            if record.end is None:
                self.send(
                    self.owner,
                    events.RecoveredRequest(
                        record.request,
                        record.attempt_id,
                        record.placement,
                        record.cancel_requested,
                        record.instances,
                    ),
                )

    def fence(self, worker: fakes.FakeWorker) -> None:
        """Sets the epoch of a worker and reports its tasks, if it is reachable."""
        if not (worker.reachable and worker.alive):
            return
        worker.epoch = self.table_epoch
        worker.known_lost = False
        tasks = tuple(
            events.TaskReport(
                task_id,
                task.order.request_id,
                task.order.member,
                task.state,
                task.order.place.first,
                task.order.place.count,
            )
            for task_id, task in worker.tasks.items()
        )
        is_leaving = worker.leaving_since_s is not None
        # A new owner does not know of earlier restarts, so the first report under an epoch counts
        # as one after a restart.
        restarted = worker.crashed or worker.reported_epoch != self.table_epoch
        worker.reported_epoch = self.table_epoch
        self.send(
            self.owner,
            events.WorkerReported(
                worker.worker, tasks, is_leaving, restarted, str(worker.instance_number)
            ),
        )

    def send(self, owner: fakes.Owner | None, event: events.Event) -> None:
        """Passes an event to an owner and applies the resulting commands."""
        if owner is None:
            return
        self.past_events.append(event)
        match event:
            case events.WorkerLeaving():
                owner.leaving.add(event.worker_id)
            case events.WorkerLost():
                owner.leaving.discard(event.worker_id)
            case events.WorkerReported() if event.leaving:
                owner.leaving.add(event.worker.worker_id)
        out = self.core.decide(owner.state, event, self.now_s)
        for command in out:
            self.apply_command(owner, command)

    def reply(self, owner: fakes.Owner, event: events.Event, outcome: str) -> None:
        """Delivers the reply to an order: now, later, or now and once more, by its outcome."""
        if outcome == "reply_late":
            self.late.append((owner.epoch, event))
            return
        self.send(owner, event)
        if outcome == "reply_repeated":
            self.send(owner, event)

    # Commands.

    def apply_command(self, owner: fakes.Owner, command: commands.Command) -> None:
        """Applies a command as the daemon does."""
        self.commands.append(command)
        match command:
            case commands.RecordAttempt() | commands.EndRequest():
                self.store_writes.append((owner.epoch, command))
                if isinstance(command, commands.EndRequest):
                    assert command.request_id not in owner.ended, (
                        f"{command.request_id} ended twice under epoch {owner.epoch}"
                    )
                    owner.ended.add(command.request_id)
            case commands.ReleaseTask():
                self.releases.append((owner.epoch, command))
            case commands.HoldTask() | commands.StartTask() | commands.StopTask():
                self.deliver_order(owner, command)
            case commands.CollectAnswer():
                worker = self.workers[command.worker_id]
                task = worker.tasks.get(command.task_id) if worker.reachable else None
                if task is not None and task.state is events.TaskState.FINISHED:
                    self.late.append((owner.epoch, events.AnswerStored(command.attempt_id)))
                else:
                    self.late.append((owner.epoch, events.AnswerBroken(command.attempt_id)))

    def deliver_order(self, owner: fakes.Owner, command, is_late: bool = False) -> None:
        """Delivers an order to its worker."""
        is_hold = isinstance(command, commands.HoldTask)
        worker = self.workers[command.place.worker_id if is_hold else command.worker_id]
        if not isinstance(command, commands.StopTask) and not is_late:
            assert worker.worker.worker_id not in owner.leaving, (
                f"order of {command.task_id} to the leaving worker {worker.worker.worker_id}"
            )
        outcome = self.delivery_outcomes.popleft() if self.delivery_outcomes else "ok"
        if outcome in ("late", "late_unreachable"):
            self.late_orders.append((owner, worker.connection, command))
            if outcome == "late" or isinstance(command, commands.StopTask):
                return
        is_reachable = worker.reachable or (
            worker.reachable_by_previous_owner and owner is self.previous_owner
        )
        is_lost = worker.known_lost and owner is self.owner
        if (
            outcome in ("lost", "late_unreachable")
            or not is_reachable
            or not worker.alive
            or is_lost
        ):
            if not isinstance(command, commands.StopTask):
                refusal = events.TaskRefused(command.task_id, events.Refusal.UNREACHABLE)
                self.late.append((owner.epoch, refusal))
            return
        if owner.epoch < worker.epoch:
            # An owner releases its ownership when a worker refuses its epoch.
            if owner is self.previous_owner:
                self.previous_owner = None
            return
        if is_hold:
            event = self.hold_task(worker, command)
        elif isinstance(command, commands.StartTask):
            event = self.start_task(worker, command.task_id)
        else:
            event = fakes.stop_task(worker, command)
        if event is None:
            return
        if outcome == "reply_lost" and not isinstance(command, commands.StopTask):
            event = events.TaskRefused(command.task_id, events.Refusal.UNREACHABLE)
        self.late.append((owner.epoch, event)) if outcome != "ok" else self.reply(
            owner, event, outcome
        )
        if outcome == "reply_repeated":
            self.late.append((owner.epoch, event))

    def hold_task(self, worker: fakes.FakeWorker, command: commands.HoldTask) -> events.Event:
        """Holds a task at a worker, if there is room."""
        task = worker.tasks.get(command.task_id)
        if task is None:
            if command.task_id in worker.tombstones:
                return events.TaskRefused(command.task_id, events.Refusal.TOMBSTONE)
            if worker.leaving_since_s is not None:
                return events.TaskRefused(command.task_id, events.Refusal.LEAVING)
            if not fakes.has_room(worker, command.place):
                return events.TaskRefused(command.task_id, events.Refusal.CAPACITY)
            run_s = self.run_s.get(command.request_id, 1.0)
            task = worker.tasks[command.task_id] = fakes.Task(command, events.TaskState.HELD, run_s)
            if command.start:
                self.mark_running(task)
        if task.state is events.TaskState.HELD:
            return events.TaskHeld(command.task_id)
        return events.TaskStarted(command.task_id)

    def mark_running(self, task: fakes.Task) -> None:
        """Marks a task as running and records the attempt it belongs to."""
        task.state = events.TaskState.RUNNING
        task.started = True
        self.runs[task.order.request_id].add(task.order.task_id.rpartition(".")[0])

    def start_task(self, worker: fakes.FakeWorker, task_id: str) -> events.Event:
        """Starts a held task."""
        task = worker.tasks.get(task_id)
        if task is None:
            return events.TaskRefused(task_id, events.Refusal.TOMBSTONE)
        if task.state is events.TaskState.HELD:
            self.mark_running(task)
        return events.TaskStarted(task_id)

    # Time.

    def advance(self, duration_s: float) -> None:
        """Advances time in steps, and processes what is due in each."""
        for _ in range(max(1, round(duration_s / STEP_S))):
            self.now_s += STEP_S
            self.steps += 1
            self.process_writes()
            self.deliver_late()
            self.repeat_releases()
            self.run_tasks()
            self.report_losses()
            if self.steps % 2 == 0:
                self.send(self.previous_owner, events.Tick())
                self.send(self.owner, events.Tick())
            self.check_partial_gangs()

    def find_owner(self, epoch: int) -> fakes.Owner | None:
        """Returns the current or previous owner with an epoch, or None."""
        for owner in (self.owner, self.previous_owner):
            if owner is not None and owner.epoch == epoch:
                return owner
        return None

    def process_writes(self) -> None:
        """Processes the pending writes; those under an outdated epoch are rejected."""
        if not self.store_up:
            return
        writes, self.store_writes = self.store_writes, []
        for epoch, command in writes:
            record = self.records[command.request_id]
            owner = self.find_owner(epoch)
            if epoch != self.table_epoch:
                continue
            if isinstance(command, commands.EndRequest):
                assert record.end is None, f"second end of {command.request_id}"
                record.end = command
            elif record.end is None and self.refused_records:
                self.refused_records -= 1
                self.send(owner, events.AttemptNotRecorded(command.attempt_id))
            elif record.end is None:
                record.attempt_id, record.placement = command.attempt_id, command.placement
                record.instances = tuple(
                    str(self.workers[place.worker_id].instance_number)
                    for place in command.placement
                )
                self.send(owner, events.AttemptRecorded(command.attempt_id))
            else:
                self.send(owner, events.AttemptNotRecorded(command.attempt_id))

    def deliver_late(self) -> None:
        """Delivers delayed orders and answers, the latest first.

        A delayed order is dropped if the connection to its worker was closed in the meantime.
        """
        orders, self.late_orders = self.late_orders, []
        for owner, connection, command in reversed(orders):
            is_hold = isinstance(command, commands.HoldTask)
            worker = self.workers[command.place.worker_id if is_hold else command.worker_id]
            if connection == worker.connection and owner in (self.owner, self.previous_owner):
                self.deliver_order(owner, command, is_late=True)
        late, self.late = self.late, []
        for epoch, event in reversed(late):
            self.send(self.find_owner(epoch), event)

    def repeat_releases(self) -> None:
        """Delivers release orders; undelivered ones are repeated until the worker is lost."""
        releases, self.releases = self.releases, []
        for epoch, command in releases:
            worker = self.workers[command.worker_id]
            owner = self.find_owner(epoch)
            is_end_pending = self.has_pending_end(command)
            if owner is None or epoch < worker.epoch or not worker.alive or worker.known_lost:
                continue
            if not worker.reachable or is_end_pending:
                self.releases.append((epoch, command))
                continue
            task = worker.tasks.pop(command.task_id, None)
            started = worker.tombstones.get(command.task_id, False)
            started = worker.tombstones[command.task_id] = started or (
                task is not None and task.started
            )
            self.send(owner, events.TaskReleased(command.task_id, started))

    def has_pending_end(self, release: commands.ReleaseTask) -> bool:
        """Returns whether the end of the task's request is not yet written to the store."""
        attempt_id = release.task_id.rpartition(".")[0]
        return any(
            isinstance(command, commands.EndRequest)
            and attempt_id.rsplit("-", 2)[0] == command.request_id
            for _, command in self.store_writes
        )

    def run_tasks(self) -> None:
        """Advances the running tasks; they finish after their run time, or fail if they are bad."""
        for worker in self.workers.values():
            if not worker.alive:
                continue
            for task_id, task in list(worker.tasks.items()):
                if task.state is not events.TaskState.RUNNING:
                    continue
                task.run_s -= STEP_S
                if worker.fails_all or task.order.request_id in self.bad_jobs:
                    task.state = events.TaskState.FAILED
                    event: events.Event = events.TaskFailed(task_id, "error")
                elif task.run_s <= 0:
                    task.state = events.TaskState.FINISHED
                    event = events.TaskFinished(task_id)
                else:
                    continue
                if worker.reachable and not worker.known_lost:
                    self.send(self.owner, event)

    def report_losses(self) -> None:
        """Reports workers to the owner that were lost or have come back."""
        for worker in self.workers.values():
            is_back = worker.reachable and worker.alive
            if is_back and worker.known_lost:
                self.fence(worker)
            elif (
                not is_back
                and not worker.known_lost
                and self.now_s >= worker.unreachable_since_s + fakes.LOSS_TIMEOUT_S
            ):
                worker.known_lost = True
                worker.connection += 1
                self.send(self.owner, events.WorkerLost(worker.worker.worker_id))

    # Faults.

    def pause(self, worker_id: str, reachable_by_previous_owner: bool = False) -> None:
        """Makes a worker unreachable, optionally not for the previous owner; its tasks continue."""
        worker = self.workers[worker_id]
        worker.reachable_by_previous_owner = reachable_by_previous_owner
        if worker.reachable and worker.alive:
            worker.reachable = False
            worker.unreachable_since_s = self.now_s

    def resume(self, worker_id: str) -> None:
        """Makes a worker reachable again; a pause shorter than the loss timeout is not noticed."""
        worker = self.workers[worker_id]
        if worker.reachable:
            return
        worker.reachable = True
        if worker.epoch < self.table_epoch and not worker.known_lost:
            self.fence(worker)
        for task_id, task in list(worker.tasks.items()):
            # The long poll for events returns what happened during the pause.
            if not worker.known_lost and task.state is events.TaskState.FINISHED:
                self.send(self.owner, events.TaskFinished(task_id))
            elif not worker.known_lost and task.state is events.TaskState.FAILED:
                self.send(self.owner, events.TaskFailed(task_id, "error"))

    def crash(self, worker_id: str) -> None:
        """Crashes a worker; its tasks and its memory are lost."""
        worker = self.workers[worker_id]
        if worker.alive:
            worker.alive = False
            worker.connection += 1
            worker.crashed = True
            worker.instance_number += 1
            worker.unreachable_since_s = self.now_s
            worker.tasks.clear()
            worker.tombstones.clear()

    def restart(self, worker_id: str) -> None:
        """Restarts a crashed worker, if its loss has been reported."""
        worker = self.workers[worker_id]
        if not worker.alive and worker.known_lost:
            worker.alive = True
            worker.reachable = True
            worker.leaving_since_s = None

    def leave(self, worker_id: str) -> None:
        """Makes a worker announce its departure."""
        worker = self.workers[worker_id]
        if worker.alive and worker.leaving_since_s is None:
            worker.leaving_since_s = self.now_s
            if worker.reachable and not worker.known_lost:
                self.send(self.owner, events.WorkerLeaving(worker_id))

    # Requests.

    def submit(
        self, request: requests.Request, run_s: float = 1.0, also_previous_owner: bool = False
    ) -> None:
        """Accepts a request; an entry VM may also still send it to the previous owner."""
        self.records[request.request_id] = fakes.Record(request)
        self.run_s[request.request_id] = run_s
        if also_previous_owner:
            self.send(self.previous_owner, events.RequestSubmitted(request))
        self.send(self.owner, events.RequestSubmitted(request, also_previous_owner))

    def cancel(self, request_id: str) -> None:
        """Requests the cancellation of a request."""
        self.records[request_id].cancel_requested = True
        self.send(self.owner, events.CancelRequested(request_id))

    # Checks.

    def check_partial_gangs(self) -> None:
        """Fails if a gang runs partially for more than 5.5 s.

        A gang runs partially from the loss of a member on. The loss is noticed after 3 s, the other
        members are stopped within 2 s of that, and waiting for a tick adds up to 0.5 s.
        """
        running: dict[str, int] = collections.Counter()
        alive: dict[str, int] = collections.Counter()
        sizes: dict[str, int] = {}
        for worker in self.workers.values():
            for task_id, task in worker.tasks.items():
                attempt_id = task_id.rpartition(".")[0]
                sizes[attempt_id] = self.records[task.order.request_id].request.shape.members
                is_running = task.state is events.TaskState.RUNNING
                if worker.reachable and worker.alive and is_running:
                    running[attempt_id] += 1
                if worker.reachable and task.state in (
                    events.TaskState.RUNNING,
                    events.TaskState.FINISHED,
                ):
                    alive[attempt_id] += 1
        partial = {a for a in running if alive[a] < sizes[a]}
        self.partial_since_s = {
            attempt_id: self.partial_since_s.get(attempt_id, self.now_s) for attempt_id in partial
        }
        for attempt_id, since_s in self.partial_since_s.items():
            partial_s = self.now_s - max(since_s, self.taken_over_at_s)
            assert partial_s <= fakes.LOSS_TIMEOUT_S + 2.5, (
                f"gang {attempt_id} ran partially for {partial_s} s"
            )

    def check(self) -> None:
        """Fails if a non-idempotent request ran twice, or if one that ended as not run did run."""
        for request_id, record in self.records.items():
            attempts_run = self.runs.get(request_id, set())
            if not record.request.idempotent:
                assert len(attempts_run) <= 1, f"{request_id} ran in attempts {attempts_run}"
            if record.end is not None and record.end.end is requests.End.NOT_RUN:
                assert not attempts_run, f"{request_id} ended not_run but ran in {attempts_run}"
        self.commands.clear()

    def heal(self) -> None:
        """Ends all faults and advances time until every request has ended."""
        self.store_up = True
        self.delivery_outcomes.clear()
        self.bad_jobs.clear()
        if self.release is not None:
            # Work of a shape other than the guaranteed one may have to wait while the guarantee
            # exists.
            self.send(self.owner, events.ReleaseApplied(self.release.number + 1, (), ()))
        for worker_id, worker in self.workers.items():
            worker.fails_all = False
            self.resume(worker_id)
        for _ in range(12):
            self.advance(5.0)
            for worker_id, worker in self.workers.items():
                self.restart(worker_id)
                if worker.leaving_since_s is not None and not worker.tasks:
                    # The machine is replaced.
                    self.crash(worker_id)
        for _ in range(60):
            self.advance(5.0)
            if all(record.end is not None for record in self.records.values()):
                break
        self.advance(5.0)
