"""Small fakes of workers, request table and daemon that drive the engine in tests.

Orders pass through ``fates``: each order takes the next fate, and works when none is left. Time
moves in steps of 0.25 s, with a tick at every second step.
"""

import collections

from lycheegate.core import commands, engine, events, policy
from lycheegate.core.tests import fakes
from lycheegate.model import requests

STEP_S = 0.25


class World:
    """Workers, table and owners, with faults."""

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
        self.fates: collections.deque[str] = collections.deque()
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
        self.old: fakes.Owner | None = None
        self.take_over()

    # fakes.Owners.

    def take_over(self, requests_first: bool = False) -> None:
        """Starts a new owner; the one before goes on until a worker refuses it."""
        self.old = self.owner
        self.table_epoch += 1
        state = self.core.create_state("suwon/0", self.settings, seed=7)
        self.owner = fakes.Owner(state, self.table_epoch)
        self.taken_over_at_s = self.now_s
        # The daemon submits a request again only after it has read that its record has no end.
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
        """Tells the owner which requests have not ended."""
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
        """Tells a worker the epoch and reports its tasks, if it can be reached."""
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
        # A new owner knows nothing of earlier restarts, so its first report counts as one after.
        restarted = worker.crashed or worker.reported_epoch != self.table_epoch
        worker.reported_epoch = self.table_epoch
        self.send(
            self.owner,
            events.WorkerReported(
                worker.worker, tasks, is_leaving, restarted, str(worker.instance_number)
            ),
        )

    def send(self, owner: fakes.Owner | None, event: events.Event) -> None:
        """Feeds an event to an owner and carries out its commands."""
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
            self.carry_out(owner, command)

    def reply(self, owner: fakes.Owner, event: events.Event, fate: str) -> None:
        """Answers an order, as its fate says."""
        if fate == "reply_late":
            self.late.append((owner.epoch, event))
            return
        self.send(owner, event)
        if fate == "reply_repeated":
            self.send(owner, event)

    # Commands.

    def carry_out(self, owner: fakes.Owner, command: commands.Command) -> None:
        """Does what the daemon does for a command."""
        self.commands.append(command)
        match command:
            case commands.RecordAttempt() | commands.EndRequest():
                self.store_writes.append((owner.epoch, command))
                if isinstance(command, commands.EndRequest):
                    assert command.request_id not in owner.ended, "ended twice by one owner"
                    owner.ended.add(command.request_id)
            case commands.ReleaseTask():
                self.releases.append((owner.epoch, command))
            case commands.HoldTask() | commands.StartTask() | commands.StopTask():
                self.order(owner, command)
            case commands.CollectAnswer():
                worker = self.workers[command.worker_id]
                task = worker.tasks.get(command.task_id) if worker.reachable else None
                if task is not None and task.state is events.TaskState.FINISHED:
                    self.late.append((owner.epoch, events.AnswerStored(command.attempt_id)))
                else:
                    self.late.append((owner.epoch, events.AnswerBroken(command.attempt_id)))

    def order(self, owner: fakes.Owner, command, is_late: bool = False) -> None:
        """Delivers an order to its worker."""
        is_hold = isinstance(command, commands.HoldTask)
        worker = self.workers[command.place.worker_id if is_hold else command.worker_id]
        if not isinstance(command, commands.StopTask) and not is_late:
            assert worker.worker.worker_id not in owner.leaving, "order to a leaving worker"
        fate = self.fates.popleft() if self.fates else "ok"
        if fate in ("late", "late_unreachable"):
            self.late_orders.append((owner, worker.connection, command))
            if fate == "late" or isinstance(command, commands.StopTask):
                return
        is_reachable = worker.reachable or (worker.reachable_by_old and owner is self.old)
        is_lost = worker.known_lost and owner is self.owner
        if fate in ("lost", "late_unreachable") or not is_reachable or not worker.alive or is_lost:
            if not isinstance(command, commands.StopTask):
                refusal = events.TaskRefused(command.task_id, events.Refusal.UNREACHABLE)
                self.late.append((owner.epoch, refusal))
            return
        if owner.epoch < worker.epoch:
            # The owner drops its ownership when a worker refuses its epoch.
            if owner is self.old:
                self.old = None
            return
        if is_hold:
            event = self.hold(worker, command)
        elif isinstance(command, commands.StartTask):
            event = self.start(worker, command.task_id)
        else:
            event = fakes.stop_task(worker, command)
        if event is None:
            return
        if fate == "reply_lost" and not isinstance(command, commands.StopTask):
            event = events.TaskRefused(command.task_id, events.Refusal.UNREACHABLE)
        self.late.append((owner.epoch, event)) if fate != "ok" else self.reply(owner, event, fate)
        if fate == "reply_repeated":
            self.late.append((owner.epoch, event))

    def hold(self, worker: fakes.FakeWorker, command: commands.HoldTask) -> events.Event:
        """Takes a task, if there is room."""
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
                self.run(task)
        if task.state is events.TaskState.HELD:
            return events.TaskHeld(command.task_id)
        return events.TaskStarted(command.task_id)

    def run(self, task: fakes.Task) -> None:
        """Starts a task and counts the run."""
        task.state = events.TaskState.RUNNING
        task.started = True
        self.runs[task.order.request_id].add(task.order.task_id.rpartition(".")[0])

    def start(self, worker: fakes.FakeWorker, task_id: str) -> events.Event:
        """Starts a held task."""
        task = worker.tasks.get(task_id)
        if task is None:
            return events.TaskRefused(task_id, events.Refusal.TOMBSTONE)
        if task.state is events.TaskState.HELD:
            self.run(task)
        return events.TaskStarted(task_id)

    # Time.

    def advance(self, duration_s: float) -> None:
        """Lets time pass."""
        for _ in range(max(1, round(duration_s / STEP_S))):
            self.now_s += STEP_S
            self.steps += 1
            self.write_store()
            self.deliver_late()
            self.repeat_releases()
            self.run_tasks()
            self.notice_losses()
            if self.steps % 2 == 0:
                self.send(self.old, events.Tick())
                self.send(self.owner, events.Tick())
            self.check_partial_gangs()

    def find_owner(self, epoch: int) -> fakes.Owner | None:
        """Returns the owner with an epoch, if it still acts."""
        for owner in (self.owner, self.old):
            if owner is not None and owner.epoch == epoch:
                return owner
        return None

    def write_store(self) -> None:
        """Does the pending writes; a write is refused if the owner's epoch is outdated."""
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
        """Delivers orders and answers that were held back, last one first.

        An order does not outlive the connection to its worker.
        """
        orders, self.late_orders = self.late_orders, []
        for owner, connection, command in reversed(orders):
            is_hold = isinstance(command, commands.HoldTask)
            worker = self.workers[command.place.worker_id if is_hold else command.worker_id]
            if connection == worker.connection and owner in (self.owner, self.old):
                self.order(owner, command, is_late=True)
        late, self.late = self.late, []
        for epoch, event in reversed(late):
            self.send(self.find_owner(epoch), event)

    def repeat_releases(self) -> None:
        """Delivers release orders until they are answered or the worker is lost."""
        releases, self.releases = self.releases, []
        for epoch, command in releases:
            worker = self.workers[command.worker_id]
            owner = self.find_owner(epoch)
            end = self.find_pending_end(command)
            if owner is None or epoch < worker.epoch or not worker.alive or worker.known_lost:
                continue
            if not worker.reachable or end:
                self.releases.append((epoch, command))
                continue
            task = worker.tasks.pop(command.task_id, None)
            started = worker.tombstones.get(command.task_id, False)
            started = worker.tombstones[command.task_id] = started or (
                task is not None and task.started
            )
            self.send(owner, events.TaskReleased(command.task_id, started))

    def find_pending_end(self, release: commands.ReleaseTask) -> bool:
        """Returns whether the end of the request of a task is not durable yet."""
        attempt_id = release.task_id.rpartition(".")[0]
        return any(
            isinstance(command, commands.EndRequest)
            and attempt_id.rsplit("-", 2)[0] == command.request_id
            for _, command in self.store_writes
        )

    def run_tasks(self) -> None:
        """Finishes tasks whose run time is over."""
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

    def notice_losses(self) -> None:
        """Tells the owner about lost workers and those that came back."""
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

    def pause(self, worker_id: str, reachable_by_old: bool = False) -> None:
        """Cuts a worker off; its tasks go on, and an earlier owner may still reach it."""
        worker = self.workers[worker_id]
        worker.reachable_by_old = reachable_by_old
        if worker.reachable and worker.alive:
            worker.reachable = False
            worker.unreachable_since_s = self.now_s

    def resume(self, worker_id: str) -> None:
        """Connects a worker again; a short pause passes unnoticed."""
        worker = self.workers[worker_id]
        if worker.reachable:
            return
        worker.reachable = True
        if worker.epoch < self.table_epoch and not worker.known_lost:
            self.fence(worker)
        for task_id, task in list(worker.tasks.items()):
            # The long poll for events tells what happened in between.
            if not worker.known_lost and task.state is events.TaskState.FINISHED:
                self.send(self.owner, events.TaskFinished(task_id))
            elif not worker.known_lost and task.state is events.TaskState.FAILED:
                self.send(self.owner, events.TaskFailed(task_id, "error"))

    def crash(self, worker_id: str) -> None:
        """Destroys a worker with its tasks and its memory."""
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
        """Brings a crashed worker back after its loss was noticed."""
        worker = self.workers[worker_id]
        if not worker.alive and worker.known_lost:
            worker.alive = True
            worker.reachable = True
            worker.leaving_since_s = None

    def leave(self, worker_id: str) -> None:
        """Lets a worker leave."""
        worker = self.workers[worker_id]
        if worker.alive and worker.leaving_since_s is None:
            worker.leaving_since_s = self.now_s
            if worker.reachable and not worker.known_lost:
                self.send(self.owner, events.WorkerLeaving(worker_id))

    # Requests.

    def submit(self, request: requests.Request, run_s: float = 1.0, also_old: bool = False) -> None:
        """Accepts a request; an entry VM may still send it to the earlier owner as well."""
        self.records[request.request_id] = fakes.Record(request)
        self.run_s[request.request_id] = run_s
        if also_old:
            self.send(self.old, events.RequestSubmitted(request))
        self.send(self.owner, events.RequestSubmitted(request, also_old))

    def cancel(self, request_id: str) -> None:
        """Asks for a request to be cancelled."""
        self.records[request_id].cancel_requested = True
        self.send(self.owner, events.CancelRequested(request_id))

    # Checks.

    def check_partial_gangs(self) -> None:
        """Fails if a gang runs partially for longer than the stated time.

        A gang is partial from the loss of a member on. The loss is noticed after 3 s, the others
        are stopped within 2 s of that, and a tick adds up to 0.5 s.
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
            assert partial_s <= fakes.LOSS_TIMEOUT_S + 2.5, f"gang {attempt_id} ran partially"

    def check(self) -> None:
        """Fails if a rule on runs and ends is broken."""
        for request_id, record in self.records.items():
            attempts_run = self.runs.get(request_id, set())
            if not record.request.idempotent:
                assert len(attempts_run) <= 1, f"{request_id} ran as {attempts_run}"
            if record.end is not None and record.end.end is requests.End.NOT_RUN:
                assert not attempts_run, f"{request_id} ended not_run but ran"
        self.commands.clear()

    def heal(self) -> None:
        """Ends all faults and lets every request end."""
        self.store_up = True
        self.fates.clear()
        self.bad_jobs.clear()
        if self.release is not None:
            # Work of another shape than the guaranteed one may have to wait for the guarantee.
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
